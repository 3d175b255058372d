/**
 * @file access_test.cc
 * @brief A whole entry VM while a configuration comes into force: each call is
 * decided by one version.
 */
#include <condition_variable>
#include <mutex>
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
	/** service and team of the version before; "": not sent */
	const char *reached;
	int status;
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
	SAFE("s2") WAIT TEAMS("", "\"k\""), "s -", 200},
    {{"NeedsNoKeyNow", "GET", "/x/1", "", ""},
	SAFE("s") WAIT TEAMS("", "\"k\""), OPEN("s2") WAIT TEAMS("", "\"k\""),
	"", 401},
    {{"TeamsAreNew", "GET", "/x/1", KEY("k"), ""}, SAFE("s") WAIT "]",
	SAFE("s2") WAIT TEAMS("", "\"k\""), "s -", 200},
    {{"KeyIsAnotherTeams", "GET", "/x/1", KEY("k"), ""},
	SAFE("s") WAIT TEAMS("\"k\"", "\"l\""),
	SAFE("s2") WAIT TEAMS("\"l\"", "\"k\""), "s ice", 200},
    {{"KeyIsGone", "GET", "/x/1", KEY("k"), ""},
	SAFE("s") WAIT TEAMS("\"k\"", "\"l\""),
	SAFE("s2") WAIT TEAMS("", "\"l\""), "s ice", 200},
    {{"RouteIsNew", "GET", "/x/1", KEY("k"), ""},
	ROUTE("r", "safe", "s") "}" TEAMS("\"k\"", "\"l\""),
	SAFE("s2") WAIT TEAMS("\"l\"", "\"k\""), "", 503},
    {{"RouteIsGone", "GET", "/x/1", KEY("k"), ""},
	SAFE("s") WAIT TEAMS("\"k\"", "\"l\""),
	ROUTE("r", "safe", "s") "}" TEAMS("\"k\"", "\"l\""), "s ice", 200},
    {{"BatchRouteIsNew", "POST", "/x/1", KEY("k"), JOB},
	ROUTE("r", "safe", "s") "}" TEAMS("\"k\"", "\"l\""),
	BATCH WAIT TEAMS("\"k\"", "\"l\""), "", 503},
    {{"TakesJobsNow", "POST", "/x/1", KEY("k"), JOB},
	SAFE("s") WAIT TEAMS("\"k\"", "\"l\""),
	BATCH WAIT TEAMS("\"k\"", "\"l\""), "s ice", 200},
    {{"TakesNoJobsNow", "POST", "/x/1", KEY("k"), JOB},
	BATCH WAIT TEAMS("\"k\"", "\"l\""),
	SAFE("s") WAIT TEAMS("\"k\"", "\"l\""), "", 202},
};

class AccessAtChange : public Access,
		       public ::testing::WithParamInterface<ChangeCase>
{
      protected:
	/** Service and team of the requests with that id at servers. */
	std::string
	services_reached(const std::string &id)
	{
		std::string found;

		for (const std::string &request : server.received())
			if (request.find(id) != std::string::npos)
				found += "s " + team_in(request);
		for (const std::string &request : other.received())
			if (request.find(id) != std::string::npos)
				found += "s2 " + team_in(request);
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
	EXPECT_EQ(row.status, read_status(fd)) << answers;
	EXPECT_EQ(row.reached, services_reached(id));
}

class AccessBehind : public Access
{
      protected:
	void
	wait_until_serving() override
	{
		Access::wait_until_serving();
		store.put("config/main", R"({"x":1})");
		wait_until([&] {
			return read_log().find("event=config_unreadable") !=
			    std::string::npos;
		});
	}
};

const Call behind_calls[] = {
    {"UnknownKey", "GET", "/r/1", KEY("key-of-nobody"), ""},
    {"UnknownKeyAnonymous", "GET", "/open/1", KEY("key-of-nobody"), ""},
    {"UnknownRoute", "GET", "/none/1", KEY("key-1-of-ice"), ""},
    {"Submission", "POST", "/b/1", KEY("key-of-nobody"), JOB},
    {"Results", "GET", "/api/lots/job-1?after=0", KEY("key-of-nobody"), ""},
};

/* Guards against calls denied, or served without a team, by an old version. */
TEST_F(AccessBehind, WhatANewerVersionMayAllowIsAnsweredLater)
{
	for (const Call &call : behind_calls) {
		EXPECT_EQ(503, read_status(start_call(call))) << call.name;
		EXPECT_EQ(
		    "", find_received(std::string("id-") + call.name + "\n"))
		    << call.name;
	}
	EXPECT_EQ(200, send("GET", "/open/2", ""));
	EXPECT_EQ(200, send("GET", "/r/2", key_header("key-1-of-ice")));
}

/* Guards against a key that is taken away while the body of its call comes. */
TEST_F(Access, AKeyTakenAwayBeforeTheBodyEndsIsRefused)
{
	int fd = send_request(callers,
	    "POST /r/1 HTTP/1.1\r\nHost: h\r\n" KEY(
		"key-1-of-ice") "Connection: close\r\nContent-Length: 2\r\n\r\na");

	wait_until_read();
	store.put("config/main", config_of(2, R"("key-2-of-ice")"));
	wait_for_status("GET", "/r/2", "key-1-of-ice", 401);
	ASSERT_EQ(1, ::send(fd, "b", 1, MSG_NOSIGNAL));
	EXPECT_EQ(401, read_status(fd));
}

INSTANTIATE_TEST_SUITE_P(Cases, AccessAtChange,
    ::testing::ValuesIn(change_cases),
    [](const auto &info) { return std::string(info.param.call.name); });

} // namespace
