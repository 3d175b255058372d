/**
 * @file keys_test.cc
 * @brief A whole entry VM with teams: who is served, and where keys go.
 */
#include <string>

#include <gtest/gtest.h>

#include "tests/platform/entry_vm.h"

extern "C" {
#include "adapters/metrics.h"
}

namespace
{

class Keys : public EntryVm
{
};

struct HeaderCase {
	const char *name;
	const char *path;
	const char *headers;
	int status;
	const char *team; /**< that the server receives; nullptr: none */
};

const HeaderCase header_cases[] = {
    {"Valid", "/r/1", "X-Jujubeswitch-Credential: key-1-of-ice\r\n", 200,
	"ice"},
    {"OtherKey", "/r/2", "X-Jujubeswitch-Credential: key-2-of-ice\r\n", 200,
	"ice"},
    {"OtherSpelling", "/r/3", "x-jujubeswitch-CREDENTIAL:   key-1-of-ice \r\n",
	200, "ice"},
    {"None", "/r/4", "", 401, nullptr},
    {"Unknown", "/r/5", "X-Jujubeswitch-Credential: key-of-nobody\r\n", 401,
	nullptr},
    {"WithMore", "/r/6", "X-Jujubeswitch-Credential: Key key-1-of-ice\r\n", 401,
	nullptr},
    {"TwoHeaders", "/r/7",
	"X-Jujubeswitch-Credential: key-1-of-ice\r\n"
	"X-Jujubeswitch-Credential: key-of-fish\r\n",
	401, nullptr},
    {"FalseTeam", "/r/8",
	"X-Jujubeswitch-Credential: key-1-of-ice\r\n"
	"x-jujubeswitch-tenant: fish\r\nX-Jujubeswitch-Tenant: fish\r\n",
	200, "ice"},
    {"TeamWithoutKey", "/r/9", "X-Jujubeswitch-Tenant: fish\r\n", 401, nullptr},
    {"OpenNone", "/open/1", "", 200, nullptr},
    {"OpenValid", "/open/2", "X-Jujubeswitch-Credential: key-of-fish\r\n", 200,
	"fish"},
    {"OpenUnknown", "/open/3", "X-Jujubeswitch-Credential: key-of-nobody\r\n",
	200, nullptr},
    {"OpenFalseTeam", "/open/4", "X-Jujubeswitch-Tenant: fish\r\n", 200,
	nullptr},
};

/*
 * Guards against keys that leave the entry VM, and against rights that a caller
 * claims for itself.
 */
TEST_F(Keys, EndAtTheEntryVm)
{
	for (const HeaderCase &row : header_cases) {
		std::string id = std::string("id-") + row.name;
		int status = send("GET", row.path,
		    std::string(row.headers) +
			"X-Jujubeswitch-Request-Id: " + id + "\r\n");
		std::string got = find_received(id);
		std::string team = row.team == nullptr
		    ? "X-Jujubeswitch-Tenant"
		    : std::string("X-Jujubeswitch-Tenant: ") + row.team + "\n";

		EXPECT_EQ(row.status, status) << row.name;
		EXPECT_EQ(row.status == 200, !got.empty()) << row.name;
		EXPECT_EQ(
		    row.team != nullptr, got.find(team) != std::string::npos)
		    << row.name << ": " << got;
		EXPECT_EQ(got.find("enant"), got.rfind("enant")) << row.name;
	}
	/* A job whose item tries to bring both headers. */
	std::string body =
	    R"({"items":[{"id":"item-1","path":"/b/x","tokens":5,"headers":)"
	    R"({"x-jujubeswitch-credential":"key-1-of-ice",)"
	    R"("X-Jujubeswitch-Tenant":"fish"},"body":"YQ=="}]})";
	EXPECT_EQ(202,
	    send("POST", "/b/1",
		key_header("key-1-of-ice") +
		    "X-Jujubeswitch-Request-Id: job-1\r\n",
		body));
	wait_until([&] { return !find_received("item-1").empty(); });
	std::string item = find_received("item-1");
	EXPECT_NE(std::string::npos, item.find("X-Jujubeswitch-Tenant: ice\n"))
	    << item;

	jj_bytes_t metrics = jj_metrics_text();
	std::string all[] = {read_log(), store.history(), answers,
	    std::string(metrics.data, metrics.size)};
	jj_bytes_free(&metrics);
	for (const char *key :
	    {"key-1-of-ice", "key-2-of-ice", "key-of-fish", "key-of-nobody"}) {
		for (const std::string &request : server.received())
			EXPECT_EQ(std::string::npos, request.find(key))
			    << request;
		for (const std::string &text : all)
			EXPECT_EQ(std::string::npos, text.find(key)) << key;
	}
}

/* Guards against a team that learns anything of another team's job. */
TEST_F(Keys, JobsAreOfOneTeam)
{
	const char *body =
	    R"({"items":[{"id":"item-1","path":"/b/x","body":"YQ=="}]})";
	const char *id = "X-Jujubeswitch-Request-Id: job-1\r\n";

	EXPECT_EQ(
	    202, send("POST", "/b/1", key_header("key-1-of-ice") + id, body));
	wait_for_status("GET", "/api/lots/job-1?after=0", "key-2-of-ice", 200);
	EXPECT_EQ(404,
	    send("GET", "/api/lots/job-1?after=0", key_header("key-of-fish")));
	EXPECT_EQ(404,
	    send("GET", "/api/items/job-1?id=item-1",
		key_header("key-of-fish")));
	EXPECT_EQ(
	    404, send("DELETE", "/api/lots/job-1", key_header("key-of-fish")));
	EXPECT_EQ(404,
	    send("GET", "/api/lots/job-2?after=0", key_header("key-of-fish")));
	EXPECT_EQ(401, send("GET", "/api/lots/job-1?after=0", ""));
	/* The same id is another job of the other team. */
	EXPECT_EQ(
	    202, send("POST", "/b/1", key_header("key-of-fish") + id, body));
	EXPECT_EQ(
	    200, send("DELETE", "/api/lots/job-1", key_header("key-of-fish")));
	EXPECT_EQ(200,
	    send("GET", "/api/lots/job-1?after=0", key_header("key-1-of-ice")));
}

/* Guards against wrong keys that load the platform or the servers. */
TEST_F(Keys, UnknownOnesCostNoCalls)
{
	size_t received = server.received().size();
	size_t calls = store.calls();

	for (int i = 0; i < 300; i++)
		EXPECT_EQ(401,
		    send("GET", "/r/x",
			key_header("wrong-" + std::to_string(i))));
	EXPECT_EQ(received, server.received().size());
	/* The list of VMs may be read meanwhile, each few seconds. */
	EXPECT_LE(store.calls(), calls + 2);
}

/* Guards against a key that is served after it was taken away. */
TEST_F(Keys, TakenAwayAreRefused)
{
	const char *body =
	    R"({"items":[{"id":"item-1","path":"/b/x","body":"YQ=="}]})";

	EXPECT_EQ(202,
	    send("POST", "/b/1",
		key_header("key-1-of-ice") +
		    "X-Jujubeswitch-Request-Id: job-1\r\n",
		body));
	store.put("config/main", config_of(2, R"("key-3-of-ice")"));
	wait_for_status("GET", "/r/x", "key-1-of-ice", 401);
	wait_for_status("GET", "/r/x", "key-3-of-ice", 200);
	EXPECT_EQ(401,
	    send("GET", "/api/lots/job-1?after=0", key_header("key-1-of-ice")));
	EXPECT_EQ(200,
	    send("GET", "/api/lots/job-1?after=0", key_header("key-3-of-ice")));
	EXPECT_NE(std::string::npos, answers.find("WWW-Authenticate: ApiKey"));
}

} // namespace
