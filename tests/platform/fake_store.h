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
#include <vector>

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
		release();
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
	/** Reads of objects of that kind wait until release(). */
	void
	hold(const std::string &kind)
	{
		std::lock_guard<std::mutex> guard(lock);

		held_kind = kind;
	}
	void
	release()
	{
		std::vector<Question> waiting;

		{
			std::lock_guard<std::mutex> guard(lock);
			held_kind.clear();
			waiting.swap(held);
		}
		for (const Question &question : waiting)
			answer(question);
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

	/** A call, as far as it is needed to answer it later. */
	struct Question {
		jj_http_call_t *call;
		std::string method;
		std::string key;
		bool watches;
		uint64_t since; /**< of a watch */
		std::string body;
	};

	static constexpr auto PREFIX = "/api/objects/";
	std::mutex lock;
	std::string held_kind; /**< "": none */
	std::vector<Question> held;
	std::map<std::string, Object> objects;
	uint64_t revision = 0;
	size_t call_count = 0;
	std::string written;
	jj_http_server_t *server;

	static void
	on_call(void *ctx, jj_http_call_t *call)
	{
		auto *store = static_cast<FakeStore *>(ctx);
		const char *watch = jj_http_call_query(call, "watch");
		const jj_bytes_t *body = jj_http_call_body(call);
		Question question = {call, jj_http_call_method(call),
		    jj_http_call_path(call) + strlen(PREFIX), watch != nullptr,
		    watch != nullptr ? std::stoull(watch) : 0,
		    std::string(
			body->data != nullptr ? body->data : "", body->size)};

		if (store->keep(question))
			return;
		if (question.watches)
			std::this_thread::sleep_for(
			    std::chrono::milliseconds(50));
		store->answer(question);
	}
	/** True if the call waits for release(). */
	bool
	keep(const Question &question)
	{
		std::lock_guard<std::mutex> guard(lock);
		const std::string &key = question.key;

		if (question.method != "GET" || held_kind.empty() ||
		    key.substr(0, key.find('/')) != held_kind)
			return false;
		held.push_back(question);
		return true;
	}
	void
	answer(const Question &question)
	{
		const std::string &method = question.method;
		const std::string &key = question.key;
		jj_http_answer_t head = {
		    200, "application/json", {{nullptr, nullptr}}, nullptr, 0};
		std::string text;

		std::lock_guard<std::mutex> guard(lock);
		call_count += !question.watches;
		if (method == "GET" && key.find('/') == std::string::npos)
			text = list(key, question.watches, question.since);
		else if (method == "GET")
			head.status = get(key, &text);
		else if (method == "DELETE")
			head.status = objects.erase(key) > 0 ? 200 : 404;
		else
			head.status =
			    write(key, method == "POST", question.body, &text);
		jj_http_call_answer(
		    question.call, &head, text.data(), text.size());
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
	list(const std::string &kind, bool watches, uint64_t since)
	{
		std::string items;

		for (const auto &object : objects) {
			if (object.first.rfind(kind + "/", 0) != 0 ||
			    (watches && object.second.revision <= since))
				continue;
			std::string text =
			    describe(object.first, object.second);

			items += (items.empty() ? "" : ",") +
			    (watches ? R"({"object":)" + text + "}" : text);
		}
		return (watches ? R"({"events":[)" : R"({"items":[)") + items +
		    R"(],"at":)" + std::to_string(revision) + "}";
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
