/*
 * One VM of the users' platform that is stopped, while callers go on using
 * their connections until its process is gone.
 */
#include <unistd.h>

#include <algorithm>
#include <condition_variable>
#include <fstream>
#include <set>

#include "tests/platform/fake_store.h"
#include "tests/system/harness.h"

using namespace harness;

namespace
{

/* The deploy file's times, halved. */
constexpr long GRACE_MS = 4000;
constexpr long LEAST_MS = 1300;
/* Limit of the routes whose requests fit into the grace. */
constexpr long SHORT_MS = 1500;
constexpr long CALL_MS = 20000;
constexpr long PACE_MS = 10;
constexpr int THREADS = 4; /* of each form */
/* When callers send requests that outlast the grace, after the stop's begin. */
constexpr long LATE_MS[] = {100, 600, 1100};
/* Answers before the stop. */
constexpr int ANSWERS_LEAST = 20;

/* A server that answers after the time that the path ends with, ms. */
class slow_server_t
{
      public:
	std::string address;

	explicit slow_server_t(std::string at) : address(std::move(at))
	{
		jj_http_limits_t limits = {
		    address.c_str(), 2, 400, 65536, 1 << 20, 65536, 60000};
		jj_http_port_t port = {
		    this, on_call, nullptr, nullptr, nullptr, nullptr, nullptr};

		server = jj_http_server_create(&limits, &port);
		EXPECT_NE(nullptr, server);
		thread = std::thread([this] { answer_all(); });
	}
	~slow_server_t()
	{
		{
			std::lock_guard<std::mutex> guard(lock);
			stops = true;
		}
		changed.notify_all();
		thread.join();
		jj_http_server_destroy(server);
	}
	slow_server_t(const slow_server_t &) = delete;
	std::set<std::string>
	received()
	{
		std::lock_guard<std::mutex> guard(lock);

		return ids;
	}

      private:
	std::mutex lock;
	std::condition_variable changed;
	struct waiting_t {
		jj_http_call_t *call;
		std::string id;
	};
	std::multimap<long, waiting_t> due; /* by time */
	std::set<std::string> ids;
	bool stops = false;
	std::thread thread;
	jj_http_server_t *server;

	static void
	on_call(void *ctx, jj_http_call_t *call)
	{
		auto *self = static_cast<slow_server_t *>(ctx);
		std::string path = jj_http_call_path(call);
		std::string id =
		    jj_http_call_header(call, "X-Jujubeswitch-Request-Id");
		std::lock_guard<std::mutex> guard(self->lock);

		self->ids.insert(id);
		self->due.emplace(
		    now_ms() + std::stol(path.substr(path.rfind('/') + 1)),
		    waiting_t{call, id});
		self->changed.notify_all();
	}
	void
	answer_all()
	{
		std::unique_lock<std::mutex> guard(lock);

		while (!stops || !due.empty()) {
			long now = now_ms();

			if (due.empty() || (due.begin()->first > now && !stops))
				changed.wait_for(
				    guard, std::chrono::milliseconds(5));
			else {
				answer(due.begin()->second);
				due.erase(due.begin());
			}
		}
	}
	static void
	answer(const waiting_t &waiting)
	{
		jj_http_answer_t head = {200, "text/event-stream",
		    {{"X-Jujubeswitch-Response-Stamp", "s"},
			{"X-Jujubeswitch-Request-Id", waiting.id.c_str()}},
		    nullptr, 0};

		jj_http_call_answer(
		    waiting.call, &head, "id: 0\ndata: a\n\n", 15);
	}
};

struct form_t {
	const char *name; /* of the route */
	const char *kind;
	bool resumable;
	long limit_ms;
	std::vector<long> times; /* of the answers, in turn */
};

const form_t forms[] = {
    {"safe", "safe", false, SHORT_MS, {20, 700}},
    {"once", "non_idempotent", false, SHORT_MS, {20, 700}},
    {"stream", "streaming", false, SHORT_MS, {20, 700}},
    {"again", "streaming", true, SHORT_MS, {20, 700}},
    {"never", "non_idempotent", false, SHORT_MS, {CALL_MS}},
    {"long-safe", "safe", false, 30000, {20}},
    {"long-once", "non_idempotent", false, 30000, {20}},
    {"long-stream", "streaming", false, 30000, {20}},
    {"long-again", "streaming", true, 30000, {20}},
};

/* What became of one request. */
struct outcome_t {
	const form_t *form;
	long sent_ms;
	bool complete;
	long status;
};

class StopFailure : public ::testing::Test
{
      protected:
	ports_t ports;
	FakeStore store;
	std::unique_ptr<slow_server_t> server;
	std::string folder =
	    ::testing::TempDir() + "/stop-" + std::to_string(getpid());
	std::string callers;
	std::unique_ptr<process_t> vm;
	std::atomic<bool> gone{false};
	std::vector<std::thread> threads;
	std::mutex lock; /* guards the next one */
	std::map<std::string, outcome_t> outcomes; /* by id */
	std::atomic<int> served{0};

	StopFailure()
	{
		curl_global_init(CURL_GLOBAL_ALL);
		server =
		    std::make_unique<slow_server_t>(ports.choose_address());
		store.put("servers/s",
		    R"({"zone":"d","state":"ready","slots":200,)"
		    R"("service":"s","address":")" +
			server->address + "\"}");
		callers = ports.choose_address();
	}
	~StopFailure() override
	{
		vm->kill();
		join();
		if (!HasFailure())
			unlink((folder + ".log").c_str());
		unlink((folder + ".toml").c_str());
		server.reset();
		curl_global_cleanup();
	}
	void
	join()
	{
		gone = true;
		for (std::thread &thread : threads)
			thread.join();
		threads.clear();
	}
	void
	start()
	{
		std::string routes;

		for (const form_t &form : forms)
			routes += std::string(routes.empty() ? "" : ",") +
			    R"({"name":")" + form.name +
			    R"(","host":"h","pathPrefix":"/)" + form.name +
			    R"(/","kind":")" + form.kind +
			    R"(","service":"s","maxAttempts":1,"timeoutMs":)" +
			    std::to_string(form.limit_ms) +
			    (form.resumable ? R"(,"resumable":true})" : "}");
		store.put("config/main",
		    R"({"version":1,"routes":[)" + routes + "]}");
		std::ofstream(folder + ".toml")
		    << "name = \"vm\"\ndomain = \"d\"\nregion = \"r\"\n"
		    << "shards = 1\n[listen]\ncallers = \"" << callers
		    << "\"\noperators = \"" << ports.choose_address()
		    << "\"\nready = \"" << ports.choose_address()
		    << "\"\nneighbours = \"" << ports.choose_address()
		    << "\"\n[platform]\nform = \"objects\"\naddress = \""
		    << store.address << "\"\ncontracts = []\n"
		    << "[stop]\ngrace_s = " << GRACE_MS / 1000
		    << ".0\nleast_ms = " << LEAST_MS
		    << "\n[log]\nfile = \"-\"\n";
		vm = std::make_unique<process_t>("jujubed",
		    strings_t{"--settings", folder + ".toml"}, folder + ".log");
		vm->start();
		wait_until("a caller is served", [this] {
			return call("GET", "http://" + callers + "/safe/1", "",
				   {"Host: h", "X-Jujubeswitch-Request-Id: p"})
				   .status == 200;
		});
	}
	void
	start_callers()
	{
		for (const form_t &form : forms)
			for (int i = 0; i < THREADS; i++)
				threads.emplace_back(
				    [this, &form, i] { send_all(form, i); });
		wait_until("callers are served",
		    [this] { return served >= ANSWERS_LEAST; });
	}
	/* Requests whose limit and answer lie behind the end of the grace. */
	void
	start_late_callers(long stop_ms)
	{
		for (const form_t &form : forms)
			for (long late : LATE_MS)
				if (form.limit_ms > GRACE_MS)
					threads.emplace_back([=, &form] {
						send_late(form, stop_ms, late);
					});
	}
	void
	send_late(const form_t &form, long stop_ms, long late)
	{
		CURL *curl = curl_easy_init();

		std::this_thread::sleep_for(
		    std::chrono::milliseconds(stop_ms + late - now_ms()));
		send(curl, form,
		    std::string(form.name) + "-late-" + std::to_string(late),
		    CALL_MS);
		curl_easy_cleanup(curl);
	}
	/* On one connection, as long as it is kept. */
	void
	send_all(const form_t &form, int thread)
	{
		CURL *curl = curl_easy_init();

		for (size_t i = 0; !gone; i++) {
			std::string id = std::string(form.name) + "-" +
			    std::to_string(thread) + "-" + std::to_string(i);

			send(curl, form, id,
			    form.times[(i + (size_t)thread) %
				form.times.size()]);
			std::this_thread::sleep_for(
			    std::chrono::milliseconds(PACE_MS));
		}
		curl_easy_cleanup(curl);
	}
	void
	send(CURL *curl, const form_t &form, const std::string &id, long time)
	{
		std::string url = "http://" + callers + "/" + form.name + "/" +
		    std::to_string(time);
		curl_slist *headers = curl_slist_append(nullptr, "Host: h");
		outcome_t outcome = {&form, now_ms(), false, 0};

		headers = curl_slist_append(
		    headers, ("X-Jujubeswitch-Request-Id: " + id).c_str());
		curl_easy_reset(curl);
		curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
		curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
		curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, CALL_MS);
		curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
		curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, discard);
		outcome.complete = curl_easy_perform(curl) == CURLE_OK;
		if (outcome.complete)
			curl_easy_getinfo(
			    curl, CURLINFO_RESPONSE_CODE, &outcome.status);
		curl_slist_free_all(headers);
		served += outcome.status == 200;
		std::lock_guard<std::mutex> guard(lock);
		outcomes[id] = outcome;
	}
	static size_t
	discard(char *, size_t size, size_t count, void *)
	{
		return size * count;
	}
};

/* Guards against requests that are passed on late in the grace and cut. */
TEST_F(StopFailure, RequestsAreFinishedOrRefused)
{
	int served_late = 0;
	int refused_late = 0;
	long stop_ms;

	start();
	start_callers();
	stop_ms = now_ms();
	vm->terminate();
	start_late_callers(stop_ms);
	EXPECT_EQ(0, vm->wait_exit());
	EXPECT_LE(now_ms() - stop_ms, GRACE_MS) << "ms";
	join();
	std::set<std::string> passed_on = server->received();
	for (const auto &entry : outcomes) {
		const outcome_t &outcome = entry.second;
		long late = outcome.sent_ms - stop_ms;

		if (late < 0)
			continue;
		served_late += outcome.status == 200;
		refused_late += outcome.status == 503;
		if (passed_on.count(entry.first) == 0)
			continue;
		EXPECT_TRUE(outcome.complete)
		    << entry.first << ", sent " << late
		    << " ms after the stop, has no answer";
		EXPECT_NE(503, outcome.status) << entry.first;
	}
	EXPECT_GT(served_late, 0) << "the VM goes on serving";
	EXPECT_GT(refused_late, 0) << "the VM refuses late requests";
}

/* Guards against requests that run at the end of the grace and get no answer. */
TEST_F(StopFailure, UnansweredRequestsAreAnsweredAtTheEnd)
{
	std::vector<std::future<reply_t>> replies;
	size_t before;

	start();
	before = server->received().size();
	for (int i = 0; i < 20; i++)
		replies.push_back(call_later("POST",
		    "http://" + callers + "/long-once/" +
			std::to_string(CALL_MS),
		    "x",
		    {"Host: h",
			"X-Jujubeswitch-Request-Id: u" + std::to_string(i)},
		    CALL_MS));
	wait_until("requests run",
	    [&] { return server->received().size() == before + 20; });
	vm->terminate();
	for (std::future<reply_t> &reply : replies) {
		long status = reply.get().status;

		EXPECT_TRUE(status == 502 || status == 504) << status;
	}
	EXPECT_EQ(0, vm->wait_exit());
}

} // namespace
