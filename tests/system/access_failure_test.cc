/*
 * VMs of the users' platform that are all killed, start without a configuration
 * or get a new one, while callers of several teams, of none and with unknown
 * keys go on.
 */
#include <algorithm>

#include "tests/platform/fake_store.h"
#include "tests/system/entry_vms.h"

using namespace harness;

namespace
{

constexpr int VMS = 4;
constexpr int THREADS_PER_VM = 4;
constexpr int SERVICES = 4;
/* Routes that nobody calls: reading a configuration takes some ms. */
constexpr int FURTHER_ROUTES = 3000;
constexpr int STARTS = 3;
constexpr int CHANGES = 4;
/* Answers of each VM that a phase waits for. */
constexpr int ANSWERS_LEAST = 20;
constexpr long CALL_MS = 10000;
constexpr int PACE_MS = 4;

/* A configuration: each version gives the keys to teams of its own and leads
 * its routes to the service that its number selects. */
struct version_t {
	int number;

	bool
	is_open() const
	{
		return number % 2 == 1;
	}
	int
	service() const
	{
		return number % SERVICES;
	}
	std::string
	route(const std::string &name, const std::string &kind,
	    const std::string &more = "") const
	{
		return R"({"name":")" + name +
		    R"(","host":"h","pathPrefix":"/)" + name +
		    R"(/","kind":")" + kind + R"(","service":"s)" +
		    std::to_string(service()) +
		    R"(","maxAttempts":2,"timeoutMs":5000)" + more + "}";
	}
	static std::string
	team(int key, int number)
	{
		return "team-" + std::to_string(key) + "-" +
		    std::to_string(number);
	}
	std::string
	text() const
	{
		std::string text = R"({"version":)" + std::to_string(number) +
		    R"(,"routes":[)" + route("r", "safe") + "," +
		    route("open", "safe",
			is_open() ? R"(,"allowAnonymous":true)" : "") +
		    "," +
		    route("b", "batch",
			R"(,"runDeadlineMs":9000,"retentionS":60)");

		for (int i = 0; i < FURTHER_ROUTES; i++)
			text += "," + route("f" + std::to_string(i), "safe");
		text += R"(],"tenants":[)";
		for (int key = 1; key <= 2; key++)
			text += std::string(key > 1 ? "," : "") +
			    R"({"name":")" + team(key, number) +
			    R"(","apiKeys":["key-)" + std::to_string(key) +
			    R"("]})";
		return text + "]}";
	}
};

struct call_t {
	std::string path;
	std::string key; /* "": none */

	/* 1 and 2: of a team in each version; 0: of none. */
	int
	key_number() const
	{
		return key == "key-1" ? 1 : key == "key-2" ? 2 : 0;
	}
};

struct received_t {
	std::string id;
	std::string team; /* "": none */
	int service;
	bool has_key; /* the caller's key was passed on */
};

/* What servers received, and the newest version seen from each VM. */
class record_t
{
      public:
	void
	add(const received_t &request)
	{
		std::lock_guard<std::mutex> guard(lock);
		size_t dash = request.team.rfind('-');
		size_t vm = request.id.find("vm");

		requests.push_back(request);
		if (dash == std::string::npos || vm == std::string::npos)
			return;
		int &seen = newest[request.id[vm + 2] - '0'];

		seen = std::max(seen, std::stoi(request.team.substr(dash + 1)));
	}
	bool
	has_seen(int version)
	{
		std::lock_guard<std::mutex> guard(lock);
		int seen = 0;

		for (int vm : newest)
			seen += vm >= version;
		return seen == VMS;
	}
	std::vector<received_t>
	all()
	{
		std::lock_guard<std::mutex> guard(lock);

		return requests;
	}

      private:
	std::mutex lock;
	std::vector<received_t> requests;
	int newest[VMS] = {};
};

/* A backend server. */
class backend_t
{
      public:
	std::string address;

	backend_t(record_t *record, int service, std::string at)
	    : address(std::move(at)), record(record), service(service)
	{
		jj_http_limits_t limits = {
		    address.c_str(), 2, 200, 65536, 1 << 20, 65536, 60000};
		jj_http_port_t port = {
		    this, on_call, nullptr, nullptr, nullptr, nullptr, nullptr};

		server = jj_http_server_create(&limits, &port);
		EXPECT_NE(nullptr, server);
	}
	~backend_t()
	{
		jj_http_server_destroy(server);
	}
	backend_t(const backend_t &) = delete;

      private:
	record_t *record;
	int service;
	jj_http_server_t *server;

	static void
	check_header(void *ctx, const char *, const char *value)
	{
		if (strstr(value, "key-") != nullptr)
			static_cast<received_t *>(ctx)->has_key = true;
	}
	static void
	on_call(void *ctx, jj_http_call_t *call)
	{
		auto *self = static_cast<backend_t *>(ctx);
		const char *id =
		    jj_http_call_header(call, "X-Jujubeswitch-Request-Id");
		const char *team =
		    jj_http_call_header(call, "X-Jujubeswitch-Tenant");
		received_t request = {id != nullptr ? id : "",
		    team != nullptr ? team : "", self->service, false};
		jj_http_answer_t head = {200, "text/event-stream",
		    {{"X-Jujubeswitch-Response-Stamp", "s"},
			{"X-Jujubeswitch-Request-Id", id}},
		    nullptr, 0};

		jj_http_call_each_header(call, check_header, &request);
		self->record->add(request);
		jj_http_call_answer(call, &head, "id: 0\ndata: a\n\n", 15);
	}
};

class AccessFailure : public ::testing::Test
{
      protected:
	/* Answers of one VM in the current phase. */
	struct tally_t {
		std::atomic<int> served{0};
		std::atomic<int> unavailable{0}; /* 503 */
	};
	ports_t ports;
	FakeStore store;
	record_t record;
	std::vector<std::unique_ptr<backend_t>> backends;
	entry_vms_t vms{"access"};
	/* Odd: no VM has a configuration. */
	std::atomic<int> phase{0};
	tally_t tallies[VMS];
	std::atomic<bool> stopping{false};
	std::vector<std::thread> threads;
	std::mutex lock; /* guards the next two */
	std::map<std::string, call_t> calls; /* by id */
	std::map<std::string, int> wrong; /* wrong answers, counted */
	std::atomic<int> answered{0};
	version_t version = {0};

	AccessFailure()
	{
		curl_global_init(CURL_GLOBAL_ALL);
		for (int i = 0; i < SERVICES; i++) {
			std::string service = "s" + std::to_string(i);

			backends.push_back(std::make_unique<backend_t>(
			    &record, i, ports.choose_address()));
			store.put("servers/" + service,
			    R"({"zone":"d","state":"ready","slots":64,)"
			    R"("service":")" +
				service + R"(","address":")" +
				backends.back()->address + "\"}");
		}
		for (int i = 0; i < VMS; i++)
			vms.add(&ports, store.address, "d", 5000,
			    "spacing_ms = 10\n");
	}
	~AccessFailure() override
	{
		stop_callers();
		vms.kill_all();
		curl_global_cleanup();
	}
	void
	begin_phase()
	{
		phase++;
		for (tally_t &tally : tallies) {
			tally.served = 0;
			tally.unavailable = 0;
		}
	}
	void
	publish()
	{
		version.number++;
		store.put("config/main", version.text());
	}
	static bool
	have_all(const std::function<bool(const tally_t &)> &condition,
	    const tally_t (&list)[VMS])
	{
		return std::all_of(std::begin(list), std::end(list), condition);
	}

	/* Callers. */

	void
	start_callers()
	{
		for (int i = 0; i < VMS * THREADS_PER_VM; i++)
			threads.emplace_back([this, i] { send_calls(i); });
	}
	void
	stop_callers()
	{
		stopping = true;
		for (std::thread &thread : threads)
			thread.join();
		threads.clear();
	}
	void
	send_calls(int thread)
	{
		static const call_t kinds[] = {{"/r/x", "key-1"},
		    {"/r/x", "key-2"}, {"/r/x", ""}, {"/r/x", "key-of-nobody"},
		    {"/open/x", ""}, {"/open/x", "key-of-nobody"},
		    {"/open/x", "key-1"}, {"/r/x", "key-2"}};
		static const char *job_keys[] = {"key-1", "", "key-of-nobody"};
		CURL *curl = curl_easy_init();
		int vm = thread % VMS;

		for (int i = thread; !stopping; i++) {
			call_t call = kinds[i % 8];
			std::string id = "vm" + std::to_string(vm) + "-" +
			    std::to_string(thread) + "-" + std::to_string(i);

			if (i % 32 == 31)
				call = {"/b/x", job_keys[i / 32 % 3]};
			{
				std::lock_guard<std::mutex> guard(lock);
				calls[id] = call;
			}
			send_call(curl, vm, id, call);
			std::this_thread::sleep_for(
			    std::chrono::milliseconds(PACE_MS));
		}
		curl_easy_cleanup(curl);
	}
	/* The handle keeps its connection open until that breaks. */
	void
	send_call(CURL *curl, int vm, const std::string &id, const call_t &call)
	{
		std::string url = "http://" + vms.addresses[vm] + call.path;
		std::string body = R"({"items":[{"id":"i-)" + id +
		    R"(","path":"/b/x","body":"YQ=="}]})";
		curl_slist *headers = curl_slist_append(nullptr, "Host: h");
		int begun = phase;
		long status = 0;

		headers = curl_slist_append(
		    headers, ("X-Jujubeswitch-Request-Id: " + id).c_str());
		if (!call.key.empty())
			headers = curl_slist_append(headers,
			    ("X-Jujubeswitch-Credential: " + call.key).c_str());
		curl_easy_reset(curl);
		curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
		curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
		curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, CALL_MS);
		curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
		curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, discard);
		if (call.path[1] == 'b')
			curl_easy_setopt(
			    curl, CURLOPT_POSTFIELDS, body.c_str());
		if (curl_easy_perform(curl) == CURLE_OK)
			curl_easy_getinfo(
			    curl, CURLINFO_RESPONSE_CODE, &status);
		curl_slist_free_all(headers);
		take_answer(vm, call, status, begun);
	}
	static size_t
	discard(char *, size_t size, size_t count, void *)
	{
		return size * count;
	}
	void
	take_answer(int vm, const call_t &call, long status, int begun)
	{
		bool is_bare = begun % 2 == 1 && phase == begun;
		bool is_open = call.path[1] == 'o';
		bool is_right = status == 0 || status == 503;

		answered++;
		if (phase == begun) {
			tallies[vm].served += status == 200;
			tallies[vm].unavailable += status == 503;
		}
		if (!is_bare && call.key_number() == 0)
			is_right = is_right || status == 401;
		/* The process of the servers may stand still for seconds. */
		if (!is_bare && (call.key_number() > 0 || is_open))
			is_right = is_right ||
			    status == (call.path[1] == 'b' ? 202 : 200) ||
			    status == 502 || status == 504;
		if (is_right)
			return;
		std::lock_guard<std::mutex> guard(lock);
		wrong[call.path + " with '" + call.key + "' got " +
		    std::to_string(status) +
		    (is_bare ? " without a configuration" : "")]++;
	}

	/* Checks. */

	/* "" or what is wrong with a request at a server. */
	std::string
	find_fault(const received_t &request)
	{
		bool is_item = request.id.rfind("i-", 0) == 0;
		auto found =
		    calls.find(is_item ? request.id.substr(2) : request.id);

		if (found == calls.end())
			return "of no caller";
		const call_t &call = found->second;
		int key = call.key_number();

		if (request.has_key)
			return "with its caller's key";
		if (key == 0)
			return call.path[1] != 'o' ? "without a valid key"
			    : !request.team.empty()
			    ? "with a team, without a key"
			    : request.service % 2 == 0
			    ? "at the service of versions that need a key"
			    : "";
		if (request.team.empty())
			return "without the team of its key";
		for (int number = 1; number <= version.number; number++) {
			if (request.team != version_t::team(key, number))
				continue;
			return is_item ||
				version_t{number}.service() == request.service
			    ? ""
			    : "by a team of one version and a route of another";
		}
		return "with a team that its key never had";
	}
	size_t
	check_received()
	{
		std::vector<received_t> requests = record.all();
		std::lock_guard<std::mutex> guard(lock);
		std::map<std::string, strings_t> faults;

		for (const received_t &request : requests) {
			std::string fault = find_fault(request);

			if (!fault.empty())
				faults[fault].push_back(request.id);
		}
		for (const auto &fault : faults)
			ADD_FAILURE()
			    << fault.second.size() << " requests at servers "
			    << fault.first << ", as " << fault.second[0]
			    << "; logs: " << vms.folder << "-vm*";
		for (const auto &answer : wrong)
			ADD_FAILURE()
			    << answer.second << " times " << answer.first;
		return requests.size();
	}

	/* Steps; each waits for what callers and servers observe. */

	void
	serve()
	{
		wait_until("each VM serves", [this] {
			return have_all(
			    [](const tally_t &tally) {
				    return tally.served >= ANSWERS_LEAST;
			    },
			    tallies);
		});
	}
	void
	restart_without_config()
	{
		store.hold("config");
		vms.kill_all();
		begin_phase();
		publish();
		vms.start_all();
		wait_until("each VM answers without a configuration", [this] {
			return have_all(
			    [](const tally_t &tally) {
				    return tally.unavailable >= ANSWERS_LEAST;
			    },
			    tallies);
		});
		begin_phase();
		store.release();
		serve();
	}
	void
	change()
	{
		publish();
		wait_until("each VM has the new version",
		    [this] { return record.has_seen(version.number); });
	}
};

/* Guards against requests at servers without the team of their key. */
TEST_F(AccessFailure, NoStartAndNoChangeLetsACallPassItsTeam)
{
	size_t received;

	publish();
	vms.start_all();
	start_callers();
	serve();
	for (int start = 0; start < STARTS && !HasFailure(); start++) {
		restart_without_config();
		for (int i = 0; i < CHANGES; i++)
			change();
		for (int i = 0; i < CHANGES; i++)
			publish();
		wait_until("each VM has the last version",
		    [this] { return record.has_seen(version.number); });
		vms.kill_all();
		begin_phase();
		begin_phase();
		vms.start_all();
		serve();
	}
	stop_callers();
	received = check_received();
	RecordProperty("answered", answered);
	RecordProperty("received", (int)received);
	EXPECT_GT(received, 1000U);
}

} // namespace
