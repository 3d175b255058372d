/**
 * @file fake_store.h
 * @brief The platform's object store in memory, over HTTP on loopback.
 */
#ifndef TESTS_PLATFORM_FAKE_STORE_H
#define TESTS_PLATFORM_FAKE_STORE_H

#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include <jansson.h>

#include "tests/adapters/loopback.h"

extern "C" {
#include "adapters/http_server.h"
}

class FakeStore
{
      public:
	std::string address = free_address();

	FakeStore()
	{
		jj_http_limits_t limits = {
		    address.c_str(), 4, 100, 16384, 1 << 20, 65536, 60000};
		jj_http_port_t port = {
		    this, on_call, nullptr, nullptr, nullptr, nullptr, nullptr};

		server = jj_http_server_create(&limits, &port);
	}
	~FakeStore()
	{
		jj_http_server_destroy(server);
	}
	FakeStore(const FakeStore &) = delete;
	FakeStore &operator=(const FakeStore &) = delete;

	void
	put(const std::string &key, const std::string &spec)
	{
		std::lock_guard<std::mutex> guard(lock);

		objects[key] = {spec, ++revision};
	}
	/** Number of calls that did not wait for changes. */
	size_t
	calls()
	{
		std::lock_guard<std::mutex> guard(lock);

		return call_count;
	}
	/** All that was ever written, in one text. */
	std::string
	history()
	{
		std::lock_guard<std::mutex> guard(lock);

		return written;
	}

      private:
	struct Object {
		std::string spec;
		uint64_t revision;
	};

	static constexpr auto PREFIX = "/api/objects/";
	std::mutex lock;
	std::map<std::string, Object> objects;
	uint64_t revision = 0;
	size_t call_count = 0;
	std::string written;
	jj_http_server_t *server;

	static void
	on_call(void *ctx, jj_http_call_t *call)
	{
		static_cast<FakeStore *>(ctx)->answer(call);
	}
	void
	answer(jj_http_call_t *call)
	{
		std::string key = jj_http_call_path(call) + strlen(PREFIX);
		std::string method = jj_http_call_method(call);
		const char *watch = jj_http_call_query(call, "watch");
		const jj_bytes_t *body = jj_http_call_body(call);
		jj_http_answer_t head = {
		    200, "application/json", {{nullptr, nullptr}}, nullptr, 0};
		std::string text;

		if (watch != nullptr)
			std::this_thread::sleep_for(
			    std::chrono::milliseconds(50));
		std::lock_guard<std::mutex> guard(lock);
		call_count += watch == nullptr;
		if (method == "GET" && key.find('/') == std::string::npos)
			text = list(key, watch);
		else if (method == "GET")
			head.status = get(key, &text);
		else if (method == "DELETE")
			head.status = objects.erase(key) > 0 ? 200 : 404;
		else
			head.status = write(key, method == "POST",
			    std::string(body->data, body->size), &text);
		jj_http_call_answer(call, &head, text.data(), text.size());
	}
	std::string
	describe(const std::string &key, const Object &object)
	{
		return R"({"metadata":{"name":")" +
		    key.substr(key.find('/') + 1) + R"(","revision":)" +
		    std::to_string(object.revision) + R"(},"spec":)" +
		    object.spec + "}";
	}
	std::string
	list(const std::string &kind, const char *watch)
	{
		uint64_t since = watch != nullptr ? std::stoull(watch) : 0;
		std::string items;

		for (const auto &object : objects) {
			if (object.first.rfind(kind + "/", 0) != 0 ||
			    (watch != nullptr &&
				object.second.revision <= since))
				continue;
			std::string text =
			    describe(object.first, object.second);

			items += (items.empty() ? "" : ",") +
			    (watch != nullptr ? R"({"object":)" + text + "}"
					      : text);
		}
		return (watch != nullptr ? R"({"events":[)" : R"({"items":[)") +
		    items + R"(],"at":)" + std::to_string(revision) + "}";
	}
	int
	get(const std::string &key, std::string *text)
	{
		auto found = objects.find(key);

		if (found == objects.end())
			return 404;
		*text = describe(key, found->second);
		return 200;
	}
	int
	write(const std::string &path, bool creates, const std::string &body,
	    std::string *text)
	{
		json_t *root = json_loads(body.c_str(), 0, nullptr);
		const json_t *meta = json_object_get(root, "metadata");
		std::string key = creates ? path + "/" +
			json_string_value(json_object_get(meta, "name"))
					  : path;
		auto asked = (uint64_t)json_integer_value(
		    json_object_get(meta, "revision"));
		auto found = objects.find(key);
		int status = 200;

		written += body + "\n";
		if (creates ? found != objects.end()
			    : found == objects.end() ||
			    asked != found->second.revision) {
			status = found != objects.end() ? 409 : 404;
		} else {
			char *spec = json_dumps(json_object_get(root, "spec"),
			    JSON_COMPACT | JSON_ENCODE_ANY);

			objects[key] = {spec, ++revision};
			free(spec);
		}
		json_decref(root);
		if (status != 404)
			*text = describe(key, objects[key]);
		return status;
	}
};

#endif
