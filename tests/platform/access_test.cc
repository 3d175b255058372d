/**
 * @file access_test.cc
 * @brief A whole entry VM while a configuration comes into force: each call is
 * decided by one version.
 */
#include <condition_variable>
#include <mutex>
#include <set>
#include <string>

#include <gtest/gtest.h>

#include "tests/platform/entry_vm.h"

namespace
{

/** Holds the loop of the VM while it reads a configuration. */
class Gate
{
      public:
	static void
	close()
	{
		std::lock_guard<std::mutex> guard(lock);

		closed = true;
	}
	static void
	open()
	{
		std::lock_guard<std::mutex> guard(lock);

		closed = false;
		changed.notify_all();
	}
	static void
	wait_until_reached()
	{
		std::unique_lock<std::mutex> guard(lock);

		EXPECT_TRUE(changed.wait_for(guard,
		    std::chrono::milliseconds(WAIT_LIMIT_MS),
		    [] { return waiting > 0; }));
	}
	static bool
	read_routes(const jj_bytes_t *object, jj_routes_t *routes, char *why,
	    size_t why_size)
	{
		std::unique_lock<std::mutex> guard(lock);

		waiting++;
		changed.notify_all();
		changed.wait(guard, [] { return !closed; });
		waiting--;
		return jj_deployment_find("objects")->read_routes(
		    object, routes, why, why_size);
	}

      private:
	static std::mutex lock;
	static std::condition_variable changed;
	static bool closed;
	static int waiting;
};

std::mutex Gate::lock;
std::condition_variable Gate::changed;
bool Gate::closed = false;
int Gate::waiting = 0;

#define KEY(key) "X-Jujubeswitch-Credential: " key "\r\n"
#define JOB "{\"items\":[{\"id\":\"i\",\"path\":\"/b/x\",\"body\":\"YQ==\"}]}"

struct Call {
	const char *name;
	const char *method;
	const char *path;
	const char *headers;
	const char *body;
};

class Access : public EntryVm
{
      protected:
	RecordingServer other;

	Access()
	{
		deployment.read_routes = Gate::read_routes;
	}
	void
	TearDown() override
	{
		Gate::open();
		EntryVm::TearDown();
	}
	int
	start_call(const Call &call)
	{
		return start(call.method, call.path,
		    std::string(call.headers) +
			"X-Jujubeswitch-Request-Id: id-" + call.name + "\r\n",
		    call.body);
	}
	/** All calls that were sent before have reached the loop's queue. */
	void
	wait_until_read()
	{
		/* One thread reads all calls and answers these by itself. */
		for (int i = 0; i < 3; i++)
			(void)send("GET", "/api/ready", "");
	}
	static std::string
	team_in(const std::string &request)
	{
		static const std::string name = "X-Jujubeswitch-Tenant: ";
		size_t at = request.find(name);

		if (at == std::string::npos)
			return "-";
		at += name.size();
		return request.substr(at, request.find('\n', at) - at);
	}
};

class AccessAtStart : public Access
{
      protected:
	AccessAtStart()
	{
		Gate::close();
	}
	void
	wait_until_serving() override
	{
		Gate::wait_until_reached();
	}
};

const Call start_calls[] = {
    {"ValidKey", "GET", "/r/1", KEY("key-1-of-ice"), ""},
    {"NoKey", "GET", "/r/2", "", ""},
    {"UnknownKey", "GET", "/r/3", KEY("key-of-nobody"), ""},
    {"Anonymous", "GET", "/open/1", "", ""},
    {"UnknownRoute", "GET", "/none/1", KEY("key-1-of-ice"), ""},
    {"Submission", "POST", "/b/1", KEY("key-1-of-ice"), JOB},
    {"SubmissionWithoutKey", "POST", "/b/2", "", JOB},
    {"Results", "GET", "/api/lots/job-1?after=0", KEY("key-1-of-ice"), ""},
    {"Item", "GET", "/api/items/job-1?id=i", KEY("key-1-of-ice"), ""},
    {"End", "DELETE", "/api/lots/job-1", KEY("key-1-of-ice"), ""},
};

/* Guards against calls that are granted or denied without a configuration. */
TEST_F(AccessAtStart, NothingIsDecidedWithoutAConfiguration)
{
	std::vector<int> sockets;
	size_t i = 0;

	for (const Call &call : start_calls)
		sockets.push_back(start_call(call));
	wait_until_read();
	Gate::open();
	for (const Call &call : start_calls) {
		EXPECT_EQ(503, read_status(sockets[i++])) << call.name;
		EXPECT_EQ(
		    "", find_received(std::string("id-") + call.name + "\n"))
		    << call.name;
	}
	EXPECT_EQ(std::string::npos, store.history().find("\"items\""));
}

struct ChangeCase {
	Call call;
	const char *before; /**< routes and teams */
	const char *after;
	/** service and team that some version allows */
	std::set<std::string> allowed;
	std::set<int> statuses;
};

#define ROUTE(prefix, kind, service)                                        \
	"{\"name\":\"" prefix "\",\"host\":\"h\",\"pathPrefix\":\"/" prefix \
	"/\",\"kind\":\"" kind "\",\"service\":\"" service                  \
	"\",\"maxAttempts\":2,\"timeoutMs\":5000"
#define TEAMS(ice, fish)                                     \
	"],\"tenants\":[{\"name\":\"ice\",\"apiKeys\":[" ice \
	"]},{\"name\":\"fish\",\"apiKeys\":[" fish ",\"key-of-fish\"]}]"
#define SAFE(service) ROUTE("x", "safe", service) "}"
#define OPEN(service) ROUTE("x", "safe", service) ",\"allowAnonymous\":true}"
#define BATCH \
	ROUTE("x", "batch", "s") ",\"runDeadlineMs\":9000,\"retentionS\":60}"
#define WAIT "," ROUTE("r", "safe", "s") "}"

const ChangeCase change_cases[] = {
    {{"NeedsAKeyNow", "GET", "/x/1", "", ""}, OPEN("s") WAIT TEAMS("", "\"k\""),
	SAFE("s2") WAIT TEAMS("", "\"k\""), {"s -"}, {200, 401, 503}},
    {{"NeedsNoKeyNow", "GET", "/x/1", "", ""},
	SAFE("s") WAIT TEAMS("", "\"k\""), OPEN("s2") WAIT TEAMS("", "\"k\""),
	{"s2 -"}, {200, 401, 503}},
    {{"TeamsAreNew", "GET", "/x/1", KEY("k"), ""}, SAFE("s") WAIT "]",
	SAFE("s2") WAIT TEAMS("", "\"k\""), {"s -", "s2 fish"}, {200, 503}},
    {{"KeyIsAnotherTeams", "GET", "/x/1", KEY("k"), ""},
	SAFE("s") WAIT TEAMS("\"k\"", "\"l\""),
	SAFE("s2") WAIT TEAMS("\"l\"", "\"k\""), {"s ice", "s2 fish"},
	{200, 503}},
    {{"KeyIsGone", "GET", "/x/1", KEY("k"), ""},
	SAFE("s") WAIT TEAMS("\"k\"", "\"l\""),
	SAFE("s2") WAIT TEAMS("", "\"l\""), {"s ice"}, {200, 401, 503}},
    {{"RouteIsNew", "GET", "/x/1", KEY("k"), ""},
	ROUTE("r", "safe", "s") "}" TEAMS("\"k\"", "\"l\""),
	SAFE("s2") WAIT TEAMS("\"l\"", "\"k\""), {"s2 fish"}, {200, 404, 503}},
    {{"RouteIsGone", "GET", "/x/1", KEY("k"), ""},
	SAFE("s") WAIT TEAMS("\"k\"", "\"l\""),
	ROUTE("r", "safe", "s") "}" TEAMS("\"k\"", "\"l\""), {"s ice"},
	{200, 404, 503}},
    {{"TakesJobsNow", "POST", "/x/1", KEY("k"), JOB},
	SAFE("s") WAIT TEAMS("\"k\"", "\"l\""),
	BATCH WAIT TEAMS("\"k\"", "\"l\""), {"s ice"}, {200, 202, 503}},
    {{"TakesNoJobsNow", "POST", "/x/1", KEY("k"), JOB},
	BATCH WAIT TEAMS("\"k\"", "\"l\""),
	SAFE("s") WAIT TEAMS("\"k\"", "\"l\""), {"s ice"}, {200, 202, 503}},
};

class AccessAtChange : public Access,
		       public ::testing::WithParamInterface<ChangeCase>
{
      protected:
	/** Service and team of each request with that id at a server. */
	std::vector<std::string>
	services_reached(const std::string &id)
	{
		std::vector<std::string> found;

		for (const std::string &request : server.received())
			if (request.find(id) != std::string::npos)
				found.push_back("s " + team_in(request));
		for (const std::string &request : other.received())
			if (request.find(id) != std::string::npos)
				found.push_back("s2 " + team_in(request));
		return found;
	}
	int
	version_in_force()
	{
		std::string log = read_log();
		size_t at = log.rfind("event=config_in_force");

		if (at == std::string::npos)
			return 0;
		return std::stoi(log.substr(log.find(" version=", at) + 9));
	}
	static std::string
	version(int number, const char *routes_and_teams)
	{
		return R"({"version":)" + std::to_string(number) +
		    R"(,"routes":[)" + routes_and_teams + "}";
	}
};

/* Guards against a call with the team of one version and the route of another. */
TEST_P(AccessAtChange, IsDecidedByOneVersion)
{
	const ChangeCase &row = GetParam();
	std::string id = std::string("id-") + row.call.name + "\n";
	int fd;

	list_server("s2", "s2", other);
	store.put("config/main", version(2, row.before));
	wait_until([&] { return version_in_force() == 2; });
	Gate::close();
	store.put("config/main", version(3, row.after));
	Gate::wait_until_reached();
	fd = start_call(row.call);
	wait_until_read();
	Gate::open();
	EXPECT_EQ(1U, row.statuses.count(read_status(fd))) << answers;
	for (const std::string &at : services_reached(id))
		EXPECT_EQ(1U, row.allowed.count(at)) << at;
}

INSTANTIATE_TEST_SUITE_P(Cases, AccessAtChange,
    ::testing::ValuesIn(change_cases),
    [](const auto &info) { return std::string(info.param.call.name); });

} // namespace
