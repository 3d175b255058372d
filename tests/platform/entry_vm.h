/**
 * @file entry_vm.h
 * @brief A whole entry VM with two teams, a server and an object store.
 */
#ifndef TESTS_PLATFORM_ENTRY_VM_H
#define TESTS_PLATFORM_ENTRY_VM_H

#include <chrono>
#include <fstream>
#include <functional>
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

inline constexpr int WAIT_LIMIT_MS = 20000;

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
		jj_http_call_answer(call, &head, "id: 0\ndata: a\n\n", 15);
	}
};

/** Two teams, a route of each kind, and one that needs no key. */
inline std::string
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

class EntryVm : public ::testing::Test
{
      protected:
	FakeStore store;
	RecordingServer server;
	std::string files =
	    ::testing::TempDir() + "/entry_vm." + std::to_string(getpid());
	std::string log_file = files + ".log";
	std::string callers = free_address();
	std::string operators = free_address();
	std::string contracts = "[]"; /**< of the platform */
	jj_settings_t settings = {};
	jj_deployment_t deployment = *jj_deployment_find("objects");
	jj_gateway_node *node = nullptr;
	std::string answers; /**< all that callers received */

	void
	SetUp() override
	{
		std::string file = files + ".toml";
		char why[JJ_SETTINGS_ERROR_MAX];

		std::ofstream(file)
		    << "name = \"vm-1\"\ndomain = \"d\"\n"
		    << "region = \"r\"\nshards = 1\n[listen]\n"
		    << "callers = \"" << callers << "\"\n"
		    << "operators = \"" << operators << "\"\nneighbours = \""
		    << free_address() << "\"\n[platform]\nform = \"objects\"\n"
		    << "address = \"" << store.address
		    << "\"\ntimeout_ms = 1000\n"
		    << "contracts = " << contracts << "\n"
		    << "[gateway]\nspacing_ms = 10\n";
		(void)remove(log_file.c_str());
		ASSERT_TRUE(jj_log_open(JJ_LOG_DEBUG, log_file.c_str()));
		ASSERT_TRUE(
		    jj_settings_load(&settings, file.c_str(), why, sizeof(why)))
		    << why;
		list_server("s1", "s", server);
		store.put("config/main",
		    config_of(1, R"("key-1-of-ice","key-2-of-ice")"));
		node = jj_gateway_node_create(&settings, &deployment);
		ASSERT_NE(nullptr, node);
		wait_until_serving();
	}
	virtual void
	wait_until_serving()
	{
		wait_for_status("GET", "/r/x", "key-of-fish", 200);
	}
	void
	list_server(const std::string &id, const std::string &service,
	    const RecordingServer &listed)
	{
		store.put("servers/" + id,
		    R"({"zone":"d","state":"ready","slots":8,"service":")" +
			service + R"(","address":")" + listed.address + "\"}");
	}
	void
	TearDown() override
	{
		if (node != nullptr)
			jj_gateway_node_destroy(node);
		jj_log_close();
		jj_settings_clear(&settings);
		(void)remove(log_file.c_str());
		(void)remove((files + ".toml").c_str());
	}
	/** Sends a call and returns its status. */
	int
	send(const std::string &method, const std::string &path,
	    const std::string &headers, const std::string &body = "")
	{
		return read_status(start(method, path, headers, body));
	}
	/** Sends a call; returns the socket to read the answer from. */
	int
	start(const std::string &method, const std::string &path,
	    const std::string &headers, const std::string &body = "")
	{
		return send_request(callers,
		    method + " " + path + " HTTP/1.1\r\nHost: h\r\n" + headers +
			"Connection: close\r\nContent-Length: " +
			std::to_string(body.size()) + "\r\n\r\n" + body);
	}
	int
	read_status(int fd)
	{
		std::string got = read_to_end(fd);

		(void)close(fd);
		answers += got;
		return got.size() > 12 ? std::stoi(got.substr(9, 3)) : 0;
	}
	static std::string
	key_header(const std::string &key)
	{
		return "X-Jujubeswitch-Credential: " + key + "\r\n";
	}
	static void
	wait_until(const std::function<bool()> &condition)
	{
		for (int i = 0; i < WAIT_LIMIT_MS / 20 && !condition(); i++)
			std::this_thread::sleep_for(
			    std::chrono::milliseconds(20));
	}
	void
	wait_for_status(const std::string &method, const std::string &path,
	    const std::string &key, int wanted)
	{
		int status = 0;

		wait_until([&] {
			status = send(method, path,
			    key_header(key) +
				"X-Jujubeswitch-Request-Id: wait\r\n");
			return status == wanted;
		});
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

#endif
