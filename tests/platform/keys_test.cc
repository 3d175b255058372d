/**
 * @file keys_test.cc
 * @brief A whole entry VM with teams: who is served, and where keys go.
 */
#include <chrono>
#include <fstream>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include "tests/platform/fake_store.h"

extern "C" {
#include "adapters/deployment.h"
#include "adapters/log.h"
#include "adapters/metrics.h"
#include "adapters/settings.h"
/* daemon/gateway_node.h has C11 atomics, which C++ can't read. */
struct jj_gateway_node;
struct jj_gateway_node *jj_gateway_node_create(
    const jj_settings_t *settings, const jj_deployment_t *deployment);
void jj_gateway_node_destroy(struct jj_gateway_node *node);
}

namespace
{

constexpr int WAIT_LIMIT_MS = 20000;

/** A backend server that keeps what it receives. */
class RecordingServer
{
      public:
	std::string address = free_address();

	RecordingServer()
	{
		jj_http_limits_t limits = {
		    address.c_str(), 2, 100, 65536, 1 << 20, 65536, 60000};
		jj_http_port_t port = {
		    this, on_call, nullptr, nullptr, nullptr, nullptr, nullptr};

		server = jj_http_server_create(&limits, &port);
	}
	~RecordingServer()
	{
		jj_http_server_destroy(server);
	}
	std::vector<std::string>
	received()
	{
		std::lock_guard<std::mutex> guard(lock);

		return requests;
	}

      private:
	std::mutex lock;
	std::vector<std::string> requests;
	jj_http_server_t *server;

	static void
	add_header(void *ctx, const char *name, const char *value)
	{
		*static_cast<std::string *>(ctx) +=
		    std::string(name) + ": " + value + "\n";
	}
	static void
	on_call(void *ctx, jj_http_call_t *call)
	{
		auto *self = static_cast<RecordingServer *>(ctx);
		const jj_bytes_t *body = jj_http_call_body(call);
		std::string text = std::string(jj_http_call_uri(call)) + "\n";
		const char *id =
		    jj_http_call_header(call, "X-Jujubeswitch-Request-Id");
		jj_http_answer_t head = {200, "text/event-stream",
		    {{"X-Jujubeswitch-Response-Stamp", "s"},
			{"X-Jujubeswitch-Request-Id", id}},
		    nullptr, 0};

		jj_http_call_each_header(call, add_header, &text);
		text += std::string(
		    body->data != nullptr ? body->data : "", body->size);
		{
			std::lock_guard<std::mutex> guard(self->lock);
			self->requests.push_back(text);
		}
		jj_http_call_answer(call, &head, "id: 0\ndata: a\n\n", 16);
	}
};

/** Two teams, a route of each kind, and one that needs no key. */
std::string
config_of(int version, const std::string &keys_of_ice)
{
	std::string routes;

	for (const char *route :
	    {R"("name":"r","pathPrefix":"/r/","kind":"safe")",
		R"("name":"open","pathPrefix":"/open/","kind":"safe",)"
		R"("allowAnonymous":true)",
		R"("name":"b","pathPrefix":"/b/","kind":"batch",)"
		R"("runDeadlineMs":9000,"retentionS":60)"})
		routes += (routes.empty() ? "{" : ",{") + std::string(route) +
		    R"(,"host":"h","service":"s","maxAttempts":2,)"
		    R"("timeoutMs":5000})";
	return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
	    routes + R"(],"tenants":[{"name":"ice","apiKeys":[)" + keys_of_ice +
	    R"(]},{"apiKeys":["key-of-fish"],"name":"fish"}]})";
}

class Keys : public ::testing::Test
{
      protected:
	FakeStore store;
	RecordingServer server;
	std::string log_file = ::testing::TempDir() + "/keys_test.log";
	std::string callers = free_address();
	jj_settings_t settings = {};
	jj_gateway_node *node = nullptr;
	std::string answers; /**< all that callers received */

	void
	SetUp() override
	{
		std::string file = ::testing::TempDir() + "/keys_test.toml";
		char why[JJ_SETTINGS_ERROR_MAX];

		std::ofstream(file) << "name = \"vm-1\"\ndomain = \"d\"\n"
				    << "region = \"r\"\nshards = 1\n[listen]\n"
				    << "callers = \"" << callers << "\"\n"
				    << "operators = \"" << free_address()
				    << "\"\nneighbours = \"" << free_address()
				    << "\"\n[platform]\nform = \"objects\"\n"
				    << "address = \"" << store.address
				    << "\"\ntimeout_ms = 1000\n"
				    << "[gateway]\nspacing_ms = 10\n";
		(void)remove(log_file.c_str());
		ASSERT_TRUE(jj_log_open(JJ_LOG_DEBUG, log_file.c_str()));
		ASSERT_TRUE(
		    jj_settings_load(&settings, file.c_str(), why, sizeof(why)))
		    << why;
		store.put("servers/s1",
		    R"({"service":"s","zone":"d","state":"ready","slots":8,)"
		    R"("address":")" +
			server.address + "\"}");
		store.put("config/main",
		    config_of(1, R"("key-1-of-ice","key-2-of-ice")"));
		node = jj_gateway_node_create(
		    &settings, jj_deployment_find("objects"));
		ASSERT_NE(nullptr, node);
		wait_for_status("GET", "/r/x", "key-of-fish", 200);
	}
	void
	TearDown() override
	{
		if (node != nullptr)
			jj_gateway_node_destroy(node);
		jj_log_close();
		jj_settings_clear(&settings);
	}
	/** Sends a call and returns its status. */
	int
	send(const std::string &method, const std::string &path,
	    const std::string &headers, const std::string &body = "")
	{
		int fd = send_request(callers,
		    method + " " + path + " HTTP/1.1\r\nHost: h\r\n" + headers +
			"Connection: close\r\nContent-Length: " +
			std::to_string(body.size()) + "\r\n\r\n" + body);
		std::string got = read_until(fd, "no such text");

		(void)close(fd);
		answers += got;
		return got.size() > 12 ? std::stoi(got.substr(9, 3)) : 0;
	}
	static std::string
	key_header(const std::string &key)
	{
		return "X-Jujubeswitch-Credential: " + key + "\r\n";
	}
	void
	wait_for_status(const std::string &method, const std::string &path,
	    const std::string &key, int wanted)
	{
		int status = 0;

		for (int i = 0; i < WAIT_LIMIT_MS / 20; i++) {
			status = send(method, path,
			    key_header(key) +
				"X-Jujubeswitch-Request-Id: wait\r\n");
			if (status == wanted)
				return;
			std::this_thread::sleep_for(
			    std::chrono::milliseconds(20));
		}
		EXPECT_EQ(wanted, status) << path;
	}
	std::string
	find_received(const std::string &part)
	{
		for (const std::string &request : server.received())
			if (request.find(part) != std::string::npos)
				return request;
		return "";
	}
	std::string
	read_log()
	{
		std::ifstream stream(log_file);
		std::stringstream text;

		text << stream.rdbuf();
		return text.str();
	}
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
	for (int i = 0;
	     i < WAIT_LIMIT_MS / 20 && find_received("item-1").empty(); i++)
		std::this_thread::sleep_for(std::chrono::milliseconds(20));
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
