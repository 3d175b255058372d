/**
 * @file gateway_fixture.h
 * @brief A test fixture with one whole gateway and a platform in memory; tests
 * make its calls one by one.
 */
#ifndef TESTS_CORE_GATEWAY_FIXTURE_H
#define TESTS_CORE_GATEWAY_FIXTURE_H

#include <map>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "tests/core/gateway_helpers.h"

/** What the gateway did with a request. */
struct RequestOutcome {
	/** servers of the attempts, in order */
	std::vector<std::string> servers;
	std::vector<uint32_t> cancelled; /**< numbers of cancelled attempts */
	int answers = 0;
	jj_answer_t answer = {};
};

class Gateway : public ::testing::Test
{
      protected:
	FakePlatform platform;
	std::vector<jj_route_t> routes;
	jj_gateway_t *gateway = nullptr;
	jj_actions_t out;
	jj_ms_t now = 1000;
	uint64_t last = 0;
	std::map<uint64_t, RequestOutcome> outcomes;
	std::vector<std::string> sent; /**< messages sent: "NAME KIND" */
	std::map<int, jj_action_t *> watches; /**< open watches, by token */
	std::vector<std::string> item_servers;

	Gateway()
	{
		TAILQ_INIT(&out);
		add_route("once", "/once/", JJ_ROUTE_STREAM, false, 2);
		add_route("again", "/again/", JJ_ROUTE_STREAM, true, 2);
		add_route("batch", "/batch/", JJ_ROUTE_BATCH, true, 3);
		platform.put("config/main", "7");
		platform.put("servers/s1", "verona ready");
		create(true);
	}
	~Gateway() override
	{
		jj_gateway_destroy(gateway);
		for (auto &watch : watches)
			jj_action_free(watch.second);
		jj_actions_clear(&out);
	}
	void
	add_route(const char *name, const char *prefix, jj_route_kind_t kind,
	    bool resumable, uint32_t attempts)
	{
		jj_route_t route = make_route(name, prefix, kind);

		route.resumable = resumable;
		route.attempts = attempts;
		routes.push_back(route);
	}
	void
	create(bool serves)
	{
		jj_gateway_settings_t settings =
		    describe_gateway("verona-1", 1);
		jj_gateway_port_t port = {&routes, read_routes, read_server,
		    write_page, unix_ms, read_prompt, on_routes};

		jj_gateway_destroy(gateway);
		for (auto &watch : watches)
			jj_action_free(watch.second);
		watches.clear();
		snprintf(settings.retire_prefix, sizeof(settings.retire_prefix),
		    "%s", serves ? "" : "retire/");
		settings.serves = serves;
		gateway = jj_gateway_create(&settings, &port);
		tick(0);
		tick(0);
	}
	void
	tick(jj_ms_t ms)
	{
		now += ms;
		jj_gateway_tick(gateway, now, &out);
		run_actions();
	}
	void
	run_actions()
	{
		jj_action_t *action;

		while ((action = TAILQ_FIRST(&out)) != nullptr) {
			TAILQ_REMOVE(&out, action, link);
			if (action->kind == JJ_ACTION_PLATFORM &&
			    action->body.platform.op == JJ_PLATFORM_WATCH) {
				watches[watch_token(action->body.platform)] =
				    action;
				continue;
			}
			take(action);
			jj_action_free(action);
		}
	}
	void
	take(jj_action_t *action)
	{
		switch (action->kind) {
		case JJ_ACTION_PLATFORM: {
			jj_platform_result_t result =
			    platform.execute(action->body.platform);

			jj_gateway_take_platform(gateway, &result, now, &out);
			jj_platform_result_clear(&result);
			break;
		}
		case JJ_ACTION_BACKEND_START:
			outcomes[action->body.start.request].servers.push_back(
			    action->body.start.server.text);
			break;
		case JJ_ACTION_BACKEND_CANCEL:
			outcomes[action->body.cancel.request]
			    .cancelled.push_back(action->body.cancel.attempt);
			break;
		case JJ_ACTION_ANSWER:
			outcomes[action->body.answer.request].answers++;
			outcomes[action->body.answer.request].answer =
			    action->body.answer;
			break;
		case JJ_ACTION_SEND:
			sent.push_back(std::string(action->body.send.to.text) +
			    " " +
			    std::to_string(action->body.send.message->kind));
			break;
		default:
			break;
		}
	}
	/** Token of a call; 100 is added for calls of the jobs. */
	static int
	watch_token(const jj_platform_call_t &call)
	{
		return (int)call.token +
		    (call.owner == JJ_OWNER_INLINE ? 100 : 0);
	}
	/** The watch of that token returns a change of one object. */
	void
	see(int token, const char *key, const char *value, bool gone = false)
	{
		jj_action_t *watch;
		jj_platform_item_t item = {};
		jj_platform_result_t result = {};

		tick(0);
		watch = watches[token];
		ASSERT_NE(nullptr, watch);
		snprintf(item.key, sizeof(item.key), "%s", key);
		item.version = ++platform.revision;
		item.deleted = gone;
		if (!gone)
			item.value = jj_bytes_from_text(value);
		result.owner = watch->body.platform.owner;
		result.token = (uint64_t)token;
		result.op = JJ_PLATFORM_WATCH;
		result.version = platform.revision;
		result.items = &item;
		result.item_count = 1;
		jj_action_free(watch);
		watches.erase(token);
		jj_gateway_take_platform(gateway, &result, now, &out);
		jj_bytes_free(&item.value);
		run_actions();
	}
	/** The watch of that token ends as the platform's history is gone. */
	void
	lose_history(int token)
	{
		end_watch(token, JJ_PLATFORM_GAP);
	}
	void
	end_watch(int token, jj_platform_outcome_t outcome)
	{
		jj_platform_result_t result = {};

		tick(0);
		ASSERT_NE(nullptr, watches[token]);
		result.owner = watches[token]->body.platform.owner;
		result.token = (uint64_t)token;
		result.op = JJ_PLATFORM_WATCH;
		result.outcome = outcome;
		jj_action_free(watches[token]);
		watches.erase(token);
		jj_gateway_take_platform(gateway, &result, now, &out);
		run_actions();
		tick(0);
	}
	uint64_t
	begin(const char *path, uint64_t fingerprint = 0,
	    jj_ms_t budget_ms = 4000)
	{
		return begin_resumed(path, nullptr, fingerprint, budget_ms);
	}
	uint64_t weights = 0; /**< that requests ask for; 0: any */
	uint64_t answered_weights = 0; /**< of the servers that answer */

	/** @param resumes request that began the stream, or nullptr. */
	uint64_t
	begin_resumed(const char *path, const char *resumes,
	    uint64_t fingerprint = 0, jj_ms_t budget_ms = 4000)
	{
		jj_gateway_request_t request = {};

		request.request = ++last;
		snprintf(request.id, sizeof(request.id), "r%d", (int)last);
		request.host = "h";
		request.path = path;
		request.budget_ms = budget_ms;
		request.fingerprint =
		    fingerprint != 0 ? fingerprint : 1000 + last;
		request.resumed = resumes != nullptr;
		snprintf(request.resumes, sizeof(request.resumes), "%s",
		    resumes != nullptr ? resumes : "");
		request.routes = jj_gateway_routes(gateway);
		request.weights = weights;
		jj_gateway_begin(gateway, &request, now, &out);
		run_actions();
		return last;
	}
	void
	report_event(uint64_t request, jj_backend_kind_t kind, int status = 200,
	    bool relayed = false)
	{
		jj_backend_event_t event = {};
		jj_bytes_t text = {};

		event.request = request;
		event.attempt = (uint32_t)outcomes[request].servers.size();
		event.kind = kind;
		event.relayed = relayed;
		event.weights = answered_weights;
		jj_gateway_take_backend_event(
		    gateway, &event, status, &text, now, &out);
		jj_bytes_free(&text);
		run_actions();
	}
	size_t
	attempts(uint64_t request)
	{
		return outcomes[request].servers.size();
	}
	void
	expect_end(uint64_t request, jj_failure_t reason, jj_run_t run)
	{
		EXPECT_EQ(1, outcomes[request].answers);
		EXPECT_EQ(reason, outcomes[request].answer.reason);
		EXPECT_EQ(run, outcomes[request].answer.run);
	}
	void
	submit(const char *id, int count)
	{
		jj_inline_job_t job = {};

		snprintf(job.id, sizeof(job.id), "%s", id);
		job.host = strdup("h");
		job.path = strdup("/batch/1");
		for (int i = 0; i < count; i++) {
			jj_inline_item_t *item = jj_inline_job_add(&job);

			item->id = strdup(
			    (std::string(id) + std::to_string(i)).c_str());
			item->path = strdup("/batch/x");
			item->body = jj_bytes_from_text(item->id);
		}
		jj_gateway_submit(gateway, ++last, &job,
		    jj_gateway_routes(gateway), now, &out);
		run_actions();
	}
	jj_slot_server_t *
	server(const char *id)
	{
		return jj_slots_find(jj_gateway_slots(gateway), id);
	}
};

#endif
