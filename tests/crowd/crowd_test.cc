/*
 * One VM of the users' platform, with the memory of its smallest machine, and
 * callers that stay inside no limit. Nothing that depends on the machine's
 * speed is checked; LIMIT_MS only ends a test that hangs.
 */
#include <fstream>

#include "tests/crowd/crowd.h"
#include "tests/crowd/flood.h"
#include "tests/platform/fake_store.h"
#include "tests/system/harness.h"

using namespace harness;
using namespace crowd;

namespace
{

/* Long enough for every limit of a body's time. */
constexpr long SLOW_LIMIT_MS = 90000;
/* An answer is stalled when so many polls in a row see no progress. */
constexpr int STALL_POLLS = 20;
constexpr int STALL_POLL_MS = 50;
/* Bytes of a streamed answer. */
constexpr size_t STREAM_BYTES = 12 * MIB;

/* Streams at paths with "stream", does not answer at those with "hold". */
class backend_t
{
      public:
	std::string address;
	std::atomic<size_t> written{0}; /* events of all streams */

	explicit backend_t(std::string at) : address(std::move(at))
	{
		jj_http_limits_t limits = {
		    address.c_str(), 2, 200, 65536, BODY_MAX, 65536, 60000};
		jj_http_port_t port = {this, on_call, nullptr, nullptr,
		    on_disconnect, on_writable, nullptr};

		server = jj_http_server_create(&limits, &port);
		EXPECT_NE(nullptr, server);
	}
	~backend_t()
	{
		jj_http_answer_t head = {503, nullptr, {}, nullptr, 0};

		jj_http_server_destroy(server);
		for (jj_http_call_t *call : held)
			jj_http_call_answer(call, &head, "", 0);
	}
	backend_t(const backend_t &) = delete;

      private:
	struct stream_t {
		std::mutex lock;
		size_t next = 0; /* event */
		bool ended = false;
	};
	static constexpr size_t EVENT_BYTES = 16384;
	jj_http_server_t *server;
	std::mutex lock;
	std::vector<jj_http_call_t *> held; /* answered at the end */

	void
	hold(jj_http_call_t *call)
	{
		std::lock_guard<std::mutex> guard(lock);

		held.push_back(call);
	}

	static void
	on_call(void *ctx, jj_http_call_t *call)
	{
		const char *id =
		    jj_http_call_header(call, "X-Jujubeswitch-Request-Id");
		jj_http_answer_t head = {200, "text/event-stream",
		    {{"X-Jujubeswitch-Response-Stamp", "s"},
			{"X-Jujubeswitch-Request-Id", id}},
		    nullptr, 0};

		if (strstr(jj_http_call_path(call), "hold") != nullptr) {
			static_cast<backend_t *>(ctx)->hold(call);
			return;
		}
		if (strstr(jj_http_call_path(call), "stream") == nullptr) {
			jj_http_call_answer(
			    call, &head, "id: 0\ndata: a\n\n", 15);
			return;
		}
		jj_http_call_set_context(call, new stream_t);
		jj_http_call_begin_stream(call, &head);
		on_writable(ctx, call);
	}
	static void
	on_writable(void *ctx, jj_http_call_t *call)
	{
		auto *stream =
		    static_cast<stream_t *>(jj_http_call_context(call));
		std::lock_guard<std::mutex> guard(stream->lock);

		while (!stream->ended) {
			std::string event =
			    "id: " + std::to_string(stream->next) +
			    "\ndata: " + std::string(EVENT_BYTES, 'd') + "\n\n";

			if (!jj_http_call_write(
				call, event.data(), event.size(), false))
				return;
			static_cast<backend_t *>(ctx)->written++;
			if (++stream->next * EVENT_BYTES < STREAM_BYTES)
				continue;
			stream->ended = true;
			jj_http_call_end_stream(call, false);
		}
	}
	static void
	on_disconnect(void *, jj_http_call_t *call)
	{
		auto *stream =
		    static_cast<stream_t *>(jj_http_call_context(call));

		if (stream == nullptr)
			return;
		std::lock_guard<std::mutex> guard(stream->lock);

		if (!stream->ended)
			jj_http_call_end_stream(call, true);
		stream->ended = true;
	}
};

/* Limits of the operator's configuration. */
struct limits_t {
	size_t header_bytes = 16384;
	size_t body_bytes = BODY_MAX;
	long header_ms = 3000;
	long idle_ms = 15000;
};

class Crowd : public ::testing::Test
{
      protected:
	ports_t ports;
	FakeStore store;
	std::unique_ptr<backend_t> backend;
	std::string folder =
	    ::testing::TempDir() + "/crowd-" + std::to_string(getpid());
	std::string callers;
	std::string operators;
	std::string ready;
	std::string neighbours;
	std::unique_ptr<process_t> vm;
	size_t connections = CONNECTIONS; /* of callers */
	std::string routes; /* more routes, with a comma before each */

	Crowd()
	{
		curl_global_init(CURL_GLOBAL_ALL);
		backend = std::make_unique<backend_t>(ports.choose_address());
		store.put("servers/s",
		    R"({"zone":"d","state":"ready","slots":64,)"
		    R"("service":"s","address":")" +
			backend->address + "\"}");
		callers = ports.choose_address();
		operators = ports.choose_address();
		ready = ports.choose_address();
		neighbours = ports.choose_address();
	}
	~Crowd() override
	{
		if (vm != nullptr)
			vm->kill();
		if (!HasFailure())
			unlink((folder + ".log").c_str());
		unlink((folder + ".toml").c_str());
		curl_global_cleanup();
	}
	void
	start(const limits_t &limits = limits_t(),
	    const std::string &settings = "")
	{
		std::ofstream(folder + ".toml")
		    << "name = \"vm\"\ndomain = \"d\"\nregion = \"r\"\n"
		    << "shards = 1\n[listen]\ncallers = \"" << callers
		    << "\"\noperators = \"" << operators << "\"\nready = \""
		    << ready << "\"\nneighbours = \"" << neighbours
		    << "\"\n[platform]\nform = \"objects\"\naddress = \""
		    << store.address << "\"\ntimeout_ms = 5000\n"
		    << "contracts = []\n[callers]\nheader_bytes = 40960\n"
		    << "body_bytes = " << BODY_MAX
		    << "\nconnections = " << connections << "\n"
		    << settings << "[log]\nfile = \"-\"\n";
		store.put("config/main",
		    R"({"version":1,"routes":[)" + route("r", "streaming") +
			"," +
			route("b", "batch",
			    R"(,"runDeadlineMs":9000,"retentionS":60)") +
			routes + R"(],"limits":{"maxHeaderBytes":)" +
			std::to_string(limits.header_bytes) +
			R"(,"maxBodyBytes":)" +
			std::to_string(limits.body_bytes) +
			R"(,"headerTimeoutMs":)" +
			std::to_string(limits.header_ms) +
			R"(,"idleTimeoutMs":)" +
			std::to_string(limits.idle_ms) + "}}");
		vm = std::make_unique<process_t>("jujubed",
		    strings_t{"--settings", folder + ".toml"}, folder + ".log");
		vm->start();
		expect_served("at first");
	}
	static std::string
	route(const std::string &name, const std::string &kind,
	    const std::string &more = "", const std::string &service = "s")
	{
		return R"({"name":")" + name +
		    R"(","host":"h","pathPrefix":"/)" + name +
		    R"(/","kind":")" + kind + R"(","service":")" + service +
		    R"(","maxAttempts":2,"timeoutMs":30000,)"
		    R"("resumable":true)" +
		    more + "}";
	}
	static std::string
	head(const std::string &path, const std::string &more)
	{
		static std::atomic<int> last{0};

		return "POST " + path +
		    " HTTP/1.1\r\nHost: h\r\nX-Jujubeswitch-Request-Id: c" +
		    std::to_string(last++) + "\r\n" + more + "\r\n";
	}
	static std::string
	with_length(const std::string &path, const std::string &body)
	{
		return head(path,
			   "Content-Length: " + std::to_string(body.size()) +
			       "\r\n") +
		    body;
	}
	/* A submission of one JSON value over and over. */
	static std::string
	job_of(const std::string &value)
	{
		std::string body = R"({"items":[)";

		while (body.size() + value.size() + 4 < BODY_MAX)
			body += value + ",";
		return body + "0]}";
	}
	/* A job of 200 items, as large as a body may be. */
	static std::string
	whole_job(const std::string &id, const std::string &path)
	{
		std::string rest = R"(","path":")" + path + R"(","body":")" +
		    std::string((BODY_MAX / 200 - 100) / 4 * 4, 'A') + "\"}";
		std::string job = R"({"items":[)";

		for (int i = 0; i < 200; i++)
			job += (i > 0 ? "," : "") + std::string(R"({"id":")") +
			    id + "-" + std::to_string(i) + rest;
		return job + "]}";
	}
	/* Answers of an ordinary caller. */
	bool
	is_served()
	{
		static std::atomic<int> last{0};

		return call("POST", "http://" + callers + "/r/x", "body",
			   {"Host: h",
			       "X-Jujubeswitch-Request-Id: o" +
				   std::to_string(last++)})
			   .status == 200;
	}
	/* Until no server can write more of its answer. */
	void
	wait_until_stalled()
	{
		size_t seen = 0;
		int unchanged = 0;

		wait_until("answers are stalled", [&] {
			size_t written = backend->written;

			unchanged =
			    written == seen && written > 0 ? unchanged + 1 : 0;
			seen = written;
			(void)poll(nullptr, 0, STALL_POLL_MS);
			return unchanged == STALL_POLLS;
		});
	}
	void
	expect_served(const std::string &when)
	{
		wait_until("an ordinary caller is served " + when,
		    [this] { return is_served(); });
	}
	/* Sends until each caller has sent all or can't send more. */
	void
	send_all(crowd_t &crowd)
	{
		wait_until("the crowd has sent what is taken", [&] {
			crowd.step();
			return crowd.sent() == CROWD ||
			    vm->status_kb("VmHWM") > MACHINE_KB;
		});
	}
	void
	expect_alive()
	{
		EXPECT_TRUE(vm->is_alive()) << vm->log_tail(2000);
		EXPECT_LE(vm->status_kb("VmHWM"), MACHINE_KB) << "kB at most";
		EXPECT_LE(
		    vm->descriptor_count(), connections + OTHER_DESCRIPTORS);
	}
	void
	expect_calm()
	{
		expect_served("afterwards");
		wait_until("memory is released",
		    [this] { return vm->status_kb("VmRSS") <= CALM_KB; });
		EXPECT_LE(vm->status_kb("VmRSS"), CALM_KB) << "kB afterwards";
		expect_alive();
	}
	/* A crowd at one address, with ordinary callers during and after. */
	void
	withstand(const std::string &address, const behaviour_t &behaviour)
	{
		crowd_t crowd(address, CROWD, behaviour);

		send_all(crowd);
		expect_served("beside the crowd");
		expect_alive();
		crowd.leave();
		expect_calm();
	}
	/* The answer to one caller; it sends no more until then. */
	void
	expect_answer(crowd_t &caller, int status)
	{
		wait_until("the answer is " + std::to_string(status), [&] {
			caller.step();
			return caller.answered(status) == 1;
		});
	}
	/* One caller that is answered although its body has not ended. */
	void
	expect_refused(const std::string &bytes, int status)
	{
		crowd_t caller(callers, 1, {bytes});

		expect_answer(caller, status);
		wait_until("the connection is closed", [&] {
			caller.step();
			return caller.closed() == 1;
		});
	}
	/* One whole submission that is no valid job. */
	void
	expect_invalid_job(const std::string &body)
	{
		crowd_t caller(callers, 1, {with_length("/b/a", body)});

		expect_answer(caller, 400);
		caller.leave();
		expect_calm();
	}
	/* Callers whose connections must end, whatever they send. */
	void
	expect_closed(const std::string &address, size_t count,
	    const behaviour_t &behaviour, long limit_ms)
	{
		crowd_t crowd(address, count, behaviour);

		wait_until(
		    "the connections are closed",
		    [&] {
			    crowd.step();
			    return crowd.closed() == count;
		    },
		    limit_ms);
	}
};

struct body_case_t {
	const char *name;
	const char *path;
	const char *header;
	std::string body;
};

std::ostream &
operator<<(std::ostream &out, const body_case_t &body)
{
	return out << body.name;
}

const body_case_t bodies[] = {
    {"LargeChunks", "/r/a", "Transfer-Encoding: chunked\r\n",
	in_chunks(BODY_MAX - 1, 65536)},
    {"ShortOfTheirLength", "/r/a", "Content-Length: 4194304\r\n",
	std::string(BODY_MAX - 1, 'x')},
    {"NoRoute", "/no/", "Transfer-Encoding: chunked\r\n",
	in_chunks(BODY_MAX - 1, 65536)},
    {"LargerThanAnnounced", "/r/a", "Content-Length: 100000000000\r\n",
	std::string(3 * BODY_MAX, 'x')},
    {"LargerThanAllowed", "/r/a", "Transfer-Encoding: chunked\r\n",
	in_chunks(3 * BODY_MAX, 65536)},
    {"TinyChunks", "/r/a", "Transfer-Encoding: chunked\r\n",
	in_chunks(BODY_MAX / 8, 1)},
    {"TinyChunksWithExtensions", "/r/a", "Transfer-Encoding: chunked\r\n",
	in_chunks(BODY_MAX / 32, 1, ";a=bbbbbbbbbbbbbbbbbbbb")},
    {"Submissions", "/b/a", "Content-Length: 4194304\r\n",
	std::string(BODY_MAX - 1, '[')},
};

class CrowdBodies : public Crowd,
		    public ::testing::WithParamInterface<body_case_t>
{
};

/* Guards against memory that grows with the number of unfinished bodies. */
TEST_P(CrowdBodies, StayInTheMachinesMemory)
{
	start();
	withstand(callers,
	    {head(GetParam().path, GetParam().header) + GetParam().body});
}
INSTANTIATE_TEST_SUITE_P(Cases, CrowdBodies, ::testing::ValuesIn(bodies),
    [](const auto &info) { return info.param.name; });

/* Guards against bodies without a bound at the address of operators. */
TEST_F(Crowd, OperatorsBodiesStayInTheMachinesMemory)
{
	start();
	withstand(operators,
	    {head("/metrics", "Content-Length: 4194304\r\n") +
		std::string(BODY_MAX - 1, 'x')});
}

/* Guards against bodies without a bound at the address of readiness. */
TEST_F(Crowd, ReadinessBodiesStayInTheMachinesMemory)
{
	start();
	withstand(ready,
	    {head("/api/ready", "Content-Length: 4194304\r\n") +
		std::string(BODY_MAX - 1, 'x')});
}

/* Guards against requests whose copies outgrow the memory while they run. */
TEST_F(Crowd, WholeBodiesStayInTheMachinesMemory)
{
	start();
	withstand(callers, {with_length("/r/a", std::string(BODY_MAX, 'x'))});
}

/* Guards against a parse tree that is far larger than the body. */
TEST_F(Crowd, JobOfSmallObjectsStaysInTheMachinesMemory)
{
	start();
	expect_invalid_job(job_of(R"({"a":{}})"));
}

/* Guards against a parse tree that is far larger than the body. */
TEST_F(Crowd, JobOfNumbersStaysInTheMachinesMemory)
{
	start();
	expect_invalid_job(job_of("0"));
}

/* Guards against a parse tree of a header table. */
TEST_F(Crowd, JobWithManyHeadersStaysInTheMachinesMemory)
{
	std::string body = R"({"items":[{"id":"i","path":"/b/x","headers":{)";

	for (int i = 0; body.size() < BODY_MAX - 64; i++)
		body += "\"h" + std::to_string(i) + "\":\"\",";
	start();
	expect_invalid_job(body + R"("h":""}}]})");
}

/* Guards against callers that use all connections by heads without an end. */
TEST_F(Crowd, EndlessHeadsDoNotShutOutOthers)
{
	behaviour_t behaviour = {"POST /r/a HTTP/1.1\r\nHost: h\r\nX-Long: " +
		std::string(12000, 'x'),
	    "x"};

	start({16384, BODY_MAX, 30000, 15000});

	crowd_t first(callers, CROWD, behaviour);
	crowd_t second(callers, CROWD, behaviour);

	for (int i = 0; i < 100; i++) {
		first.step();
		second.step();
	}
	expect_served("beside the crowd");
	expect_alive();
	first.leave();
	second.leave();
	expect_calm();
}

/* Guards against callers that use all connections by silence. */
TEST_F(Crowd, SilentConnectionsDoNotShutOutOthers)
{
	start({16384, BODY_MAX, 30000, 15000});

	crowd_t crowd(callers, 2 * CROWD, {""});

	crowd.step();
	expect_served("beside the crowd");
	expect_alive();
	crowd.leave();
	expect_calm();
}

/* Guards against answers that nobody reads. */
TEST_F(Crowd, UnreadAnswersStayInTheMachinesMemory)
{
	behaviour_t behaviour = {with_length("/r/stream", "ok")};

	behaviour.reads = false;
	start(limits_t(), "stream_bytes = 8388608\n");

	crowd_t crowd(callers, CROWD, behaviour);

	send_all(crowd);
	wait_until_stalled();
	expect_served("beside the crowd");
	expect_alive();
	crowd.leave();
	expect_calm();
}

/* Guards against accepted jobs that add up while servers are busy. */
TEST_F(Crowd, AcceptedJobsStayInTheMachinesMemory)
{
	start();
	for (size_t i = 0; i < CROWD; i++) {
		std::string id = "job" + std::to_string(i);
		reply_t reply = call("POST", "http://" + callers + "/b/x",
		    whole_job(id, "/b/hold"),
		    {"Host: h", "X-Jujubeswitch-Request-Id: " + id});

		EXPECT_TRUE(reply.status == 202 || reply.status == 503 ||
		    reply.status == 429)
		    << reply.status;
		if (vm->status_kb("VmHWM") > MACHINE_KB)
			break;
	}
	expect_served("beside the jobs");
	expect_alive();
}

/* Guards against bytes that are no message between VMs. */
TEST_F(Crowd, NeighboursBytesStayInTheMachinesMemory)
{
	start();
	withstand(neighbours, {std::string(BODY_MAX, '\xff')});
}

/* Guards against callers that end their half of a connection in a body. */
TEST_F(Crowd, HalfClosedBodiesStayInTheMachinesMemory)
{
	behaviour_t behaviour = {
	    head("/r/a", "Transfer-Encoding: chunked\r\n") +
	    in_chunks(BODY_MAX - 1, 65536)};

	behaviour.half_closes = true;
	start();
	withstand(callers, behaviour);
}

/* Guards against bytes that follow a whole request without an end. */
TEST_F(Crowd, BytesAfterARequestStayInTheMachinesMemory)
{
	start();
	withstand(
	    callers, {with_length("/r/a", "ok") + std::string(BODY_MAX, 'x')});
}

/* Guards against forms that hold together what none holds alone. */
TEST_F(Crowd, SeveralFormsAtOnceStayInTheMachinesMemory)
{
	start();

	crowd_t chunks(callers, CROWD / 4,
	    {head("/r/a", "Transfer-Encoding: chunked\r\n") +
		in_chunks(BODY_MAX - 1, 65536)});
	crowd_t jobs(callers, CROWD / 4,
	    {head("/b/a", "Content-Length: 4194304\r\n") +
		std::string(BODY_MAX - 1, '[')});
	crowd_t heads(callers, CROWD / 4,
	    {"POST /r/a HTTP/1.1\r\nX-Long: " + std::string(39000, 'x')});
	crowd_t unread(
	    callers, CROWD / 4, {with_length("/r/stream", "ok"), "", false});

	wait_until("the crowds have sent what is taken", [&] {
		size_t sent = 0;

		for (crowd_t *crowd : {&chunks, &jobs, &heads, &unread}) {
			crowd->step();
			sent += crowd->sent();
		}
		return sent == CROWD || vm->status_kb("VmHWM") > MACHINE_KB;
	});
	wait_until_stalled();
	expect_served("beside the crowds");
	expect_alive();
	for (crowd_t *crowd : {&chunks, &jobs, &heads, &unread})
		crowd->leave();
	expect_calm();
}

struct refusal_case_t {
	const char *name;
	const char *path;
	std::string header;
	int status;
};

std::ostream &
operator<<(std::ostream &out, const refusal_case_t &refusal)
{
	return out << refusal.name;
}

const refusal_case_t refusals[] = {
    {"BodyLargerThanAllowed", "/r/a", "Content-Length: 100000000000\r\n", 413},
    {"NoRouteWithLength", "/no/", "Content-Length: 4000\r\n", 404},
    {"NoRouteInChunks", "/no/", "Transfer-Encoding: chunked\r\n", 404},
    {"NoRouteExpected", "/no/",
	"Content-Length: 4000\r\nExpect: 100-continue\r\n", 404},
    {"BodyExpectedLarger", "/r/a",
	"Content-Length: 5000000\r\nExpect: 100-continue\r\n", 413},
    {"InvalidEvent", "/r/a", "Last-Event-Id: x\r\nContent-Length: 4000\r\n",
	400},
    {"HeadLargerThanAllowed", "/r/a",
	"X-Long: " + std::string(20000, 'x') + "\r\nContent-Length: 4\r\n",
	431},
};

class CrowdRefusals : public Crowd,
		      public ::testing::WithParamInterface<refusal_case_t>
{
};

/* Guards against refusals that wait for a body though the head decides. */
TEST_P(CrowdRefusals, ComeAfterTheHead)
{
	start();
	expect_refused(
	    head(GetParam().path, GetParam().header), GetParam().status);
	expect_served("afterwards");
}
INSTANTIATE_TEST_SUITE_P(Cases, CrowdRefusals, ::testing::ValuesIn(refusals),
    [](const auto &info) { return info.param.name; });

/* Guards against a body limit of the configuration that is not in force. */
TEST_F(Crowd, BodyLimitOfTheConfigurationIsInForce)
{
	start({16384, 100000, 3000, 15000});
	expect_refused(head("/r/a", "Content-Length: 100001\r\n"), 413);
	expect_refused(head("/r/a", "Transfer-Encoding: chunked\r\n") +
		in_chunks(100001, 1000),
	    413);
	expect_served("afterwards");
}

/* Guards against heads that never end. */
TEST_F(Crowd, HeadsEndInTime)
{
	start({16384, BODY_MAX, 500, 15000});
	expect_closed(
	    callers, 10, {"POST /r/a HTTP/1.1\r\nX: ", "x"}, LIMIT_MS);
	expect_closed(callers, 10, {"", "\r\n"}, LIMIT_MS);
	expect_served("afterwards");
}

/* Guards against kept connections whose next head never ends. */
TEST_F(Crowd, HeadsOfKeptConnectionsEndInTime)
{
	start({16384, BODY_MAX, 500, 1000});
	expect_closed(callers, 10,
	    {with_length("/r/a", "ok") + "POST /r/a HTTP/1.1\r\nX: ", "x"},
	    LIMIT_MS);
	expect_served("afterwards");
}

/* Guards against connections that are kept without use. */
TEST_F(Crowd, IdleConnectionsEndInTime)
{
	start({16384, BODY_MAX, 500, 1000});
	expect_closed(callers, 10, {with_length("/r/a", "ok")}, LIMIT_MS);
	expect_served("afterwards");
}

/* Guards against bodies that come too slowly to end. */
TEST_F(Crowd, BodiesEndInTime)
{
	start();
	expect_closed(callers, 4,
	    {head("/r/a", "Content-Length: 4000000\r\n"), "x"}, SLOW_LIMIT_MS);
	expect_closed(callers, 4,
	    {head("/r/a", "Transfer-Encoding: chunked\r\n"), "1\r\nx\r\n"},
	    SLOW_LIMIT_MS);
	expect_served("afterwards");
}

/* Guards against ordinary requests that are refused for their size. */
TEST_F(Crowd, RequestsOfAnyLegalSizeAreServed)
{
	reply_t reply;

	start();
	reply = call("POST", "http://" + callers + "/r/x",
	    std::string(BODY_MAX, 'x'),
	    {"Host: h", "X-Jujubeswitch-Request-Id: large"});
	EXPECT_EQ(200, reply.status);
	reply = call("POST", "http://" + callers + "/r/x", "x",
	    {"Host: h", "X-Jujubeswitch-Request-Id: head",
		"X-Long: " + std::string(16000, 'x')});
	EXPECT_EQ(200, reply.status);
	reply =
	    call("POST", "http://" + callers + "/b/x", whole_job("i", "/b/x"),
		{"Host: h", "X-Jujubeswitch-Request-Id: job"});
	EXPECT_EQ(202, reply.status) << reply.body;
	expect_alive();
}

/* When a caller leaves, and what it has sent by then. */
struct leaver_t {
	const char *name;
	const char *method;
	const char *path;
	const char *header;
	bool waits; /* until the answer has begun */
};

const leaver_t leavers[] = {
    {"InAHead", "POST", "/r/x", "X-A: ", false},
    {"InABody", "POST", "/r/x", "Content-Length: 9\r\n\r\nabc", false},
    {"BeforeTheAnswer", "POST", "/r/hold", "Content-Length: 0\r\n\r\n", false},
    {"InAStream", "POST", "/r/stream", "Content-Length: 0\r\n\r\n", true},
    {"InARead", "GET", "/api/lots/kept",
	"X-Jujubeswitch-Wait-Ms: 30000\r\n\r\n", false},
    {"InASubmission", "POST", "/b/a",
	"Content-Length: 12\r\n\r\n{\"items\":[]}", false},
};

class CrowdLeavers : public Crowd,
		     public ::testing::WithParamInterface<leaver_t>
{
      protected:
	static constexpr size_t ROUNDS = 100;
	static constexpr size_t CALLERS = 40;
	static constexpr size_t STEPS = 3;
	static constexpr long KEPT_KB = 3072;

	void
	leave_all(size_t rounds)
	{
		for (size_t i = 0; i < rounds; i++) {
			crowd_t crowd(callers, CALLERS,
			    {std::string(GetParam().method) + " " +
				GetParam().path +
				" HTTP/1.1\r\nHost: h\r\n"
				"X-Jujubeswitch-Request-Id: l" +
				std::to_string(i) + "\r\n" +
				GetParam().header});

			wait_until("all were sent", [&] {
				crowd.step();
				return crowd.sent() == CALLERS &&
				    (!GetParam().waits ||
					crowd.answered(200) > 0);
			});
			/* Most leave after their bytes were read. */
			for (size_t k = 0; k < 2 + i % STEPS; k++)
				crowd.step();
		}
		expect_served("afterwards");
	}
};

/* Guards against callers that leave and of whom something is kept. */
TEST_P(CrowdLeavers, LeaveNothingBehind)
{
	long before;

	start();
	EXPECT_EQ(202,
	    call("POST", "http://" + callers + "/b/x",
		R"({"items":[{"id":"i","path":"/b/hold","body":"YQ=="}]})",
		{"Host: h", "X-Jujubeswitch-Request-Id: kept"})
		.status);
	leave_all(ROUNDS / 5);
	before = vm->status_kb("VmRSS");
	leave_all(ROUNDS);
	wait_until("memory is released",
	    [&] { return vm->status_kb("VmRSS") <= before + KEPT_KB; });
	EXPECT_LE(vm->status_kb("VmRSS"), before + KEPT_KB) << "kB afterwards";
	wait_until("no call waits any more", [&] {
		return call("GET", "http://" + operators + "/metrics")
			   .body.find("\njujube_pending_calls 0\n") !=
		    std::string::npos;
	});
	expect_alive();
}
INSTANTIATE_TEST_SUITE_P(Cases, CrowdLeavers, ::testing::ValuesIn(leavers),
    [](const auto &info) { return info.param.name; });

#define FLOOD_HEAD                                              \
	"HTTP/1.1 200 OK\r\nX-Jujubeswitch-Request-Id: %ID\r\n" \
	"X-Jujubeswitch-Response-Stamp: s\r\n"

const flood_t floods[] = {
    {"HeaderLines", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
    {"HeaderLine", "HTTP/1.1 200 OK\r\nX-A: ", "b"},
    {"LongHeaderLines", "HTTP/1.1 200 OK\r\n",
	"X-A: " + std::string(2000, 'b') + "\r\n"},
    {"EmptyNames", "HTTP/1.1 200 OK\r\n", ":\r\n"},
    {"InformationalHeads", "", "HTTP/1.1 103 Early\r\nX-A: b\r\n\r\n"},
    {"NoAnswer", "", "garbage "},
    {"BodyToItsClose", FLOOD_HEAD "\r\n", "x"},
    {"BodyOfALength", FLOOD_HEAD "Content-Length: 900000000\r\n\r\n", "x"},
    {"BodyInChunks", FLOOD_HEAD "Transfer-Encoding: chunked\r\n\r\n",
	"4000\r\n" + std::string(0x4000, 'x') + "\r\n"},
    {"Trailers", FLOOD_HEAD "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n",
	"X-A: b\r\n"},
    {"Errors",
	"HTTP/1.1 500 Error\r\nX-Jujubeswitch-Request-Id: %ID\r\n"
	"X-Jujubeswitch-Response-Stamp: s\r\n\r\n",
	"x"},
    {"OneEvent",
	FLOOD_HEAD "Content-Type: text/event-stream\r\n\r\ndata: ", "x"},
    {"ManyEvents", FLOOD_HEAD "Content-Type: text/event-stream\r\n\r\nid: 0\n",
	"data: x\n\n"},
};

class CrowdFloods : public Crowd, public ::testing::WithParamInterface<flood_t>
{
      protected:
	static constexpr size_t CALLERS = 200;
	static constexpr size_t REQUESTS = 20; /* of each */
	static constexpr size_t FLOOD_BYTES = 400 * MIB;
	std::unique_ptr<flood_server_t> server;
	size_t seen = 0; /* bytes sent */
	long seen_ms = now_ms(); /* when they changed last */

	/* True if much was sent, or nothing more is taken. */
	bool
	is_flooded()
	{
		if (server->sent != seen)
			seen_ms = now_ms();
		seen = server->sent;
		return seen >= FLOOD_BYTES ||
		    (seen > 0 &&
			now_ms() - seen_ms >= STALL_POLLS * STALL_POLL_MS);
	}
	/* All callers' requests go to a server that sends without end. */
	void
	withstand_answers(const std::string &kind, const std::string &path)
	{
		std::string requests;

		connections = CALLERS + 20;
		routes = "," + route("f", kind, "", "flood");
		server = std::make_unique<flood_server_t>(
		    ports.choose_address(), GetParam());
		store.put("servers/f",
		    R"({"zone":"d","state":"ready","slots":512,)"
		    R"("service":"flood","address":")" +
			server->address + "\"}");
		start();
		for (size_t i = 0; i < REQUESTS; i++)
			requests += with_length(path, "ok");
		{
			crowd_t crowd(callers, CALLERS, {requests});

			wait_until("answers are flooded", [&] {
				crowd.step();
				return is_flooded() ||
				    vm->status_kb("VmHWM") > MACHINE_KB;
			});
			expect_served("beside the floods");
			expect_alive();
		}
		server.reset();
		expect_calm();
	}
};

/* Guards against servers' answers without end that outgrow the memory. */
TEST_P(CrowdFloods, OfStreamsStayInTheMachinesMemory)
{
	withstand_answers("streaming", "/f/a");
}

/* Guards against the same where answers are forwarded whole. */
TEST_P(CrowdFloods, OfWholeAnswersStayInTheMachinesMemory)
{
	withstand_answers("safe", "/f/a");
}
INSTANTIATE_TEST_SUITE_P(Cases, CrowdFloods, ::testing::ValuesIn(floods),
    [](const auto &info) { return info.param.name; });

} // namespace
