/**
 * @file core_world.h
 * @brief Several complete cores joined by delayed messages, in virtual time.
 *
 * Not a cluster simulator: one queue of messages with a fixed delay, one
 * platform that answers after a fixed delay, backend servers that answer at
 * once. Partitions are sets of pairs.
 */
#ifndef TESTS_CORE_CORE_WORLD_H
#define TESTS_CORE_CORE_WORLD_H

#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "tests/core/fake_platform.h"

extern "C" {
#include "adapters/settings.h"
#include "core/core.h"
}

struct WorldCore {
	std::string name;
	std::string domain;
	jj_settings_t settings;
	jj_core_t *core = nullptr;
	bool frozen = false;
	bool cut_from_platform = false;
	uint64_t platform_calls = 0;
	std::vector<std::pair<jj_ms_t, uint64_t>> adopted;
	std::vector<std::pair<uint64_t, int>> patch_answers;
	std::vector<std::pair<uint64_t, jj_call_outcome_t>> call_answers;
	std::map<uint64_t, jj_failure_t> given_up;
	/** when this VM reported other VMs as lost */
	std::vector<jj_ms_t> losses;
	std::string status;
};

class World
{
      public:
	jj_ms_t now = 1000;
	jj_ms_t message_ms = 1;
	jj_ms_t platform_ms = 3;
	FakePlatform platform;
	std::vector<std::unique_ptr<WorldCore>> cores;
	std::set<std::pair<std::string, std::string>> cut_domains;
	bool cut_vms = false; /**< no message arrives at any VM */
	jj_ms_t run_ms = 1; /**< how long a call runs at its backend server */
	/** Runs of non-idempotent calls at backend servers, by key. */
	std::map<std::string, int> runs;
	uint64_t messages = 0;
	uint64_t calls_sent = 0; /**< CALL messages sent */

	World(int domains, int vms)
	{
		for (int d = 0; d < domains; d++) {
			for (int v = 0; v < vms; v++)
				add(domain_name(d), v);
		}
		for (auto &core : cores)
			add_known_vms(*core);
	}
	~World()
	{
		while (!events.empty())
			events.pop();
		for (auto &core : cores) {
			jj_core_destroy(core->core);
			jj_settings_clear(&core->settings);
		}
	}
	static std::string
	domain_name(int d)
	{
		return "d" + std::to_string(100 + d);
	}
	WorldCore &
	at(int d, int v)
	{
		for (auto &core : cores) {
			if (core->name ==
			    domain_name(d) + "-" + std::to_string(10 + v))
				return *core;
		}
		abort();
	}
	void
	handle(WorldCore &at, const jj_event_t &event)
	{
		jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);

		if (at.frozen)
			return;
		jj_core_handle(at.core, &event, now, &out);
		carry_out(at, &out);
	}
	/** Replaces the process by a new one with empty memory. */
	void
	restart(WorldCore &core, uint64_t incarnation)
	{
		jj_core_destroy(core.core);
		build(core, incarnation);
		add_known_vms(core);
	}
	void
	run_until(jj_ms_t until)
	{
		jj_event_t tick = {};

		tick.kind = JJ_EVENT_TICK;
		while (now < until) {
			while (!events.empty() && events.top().at <= now) {
				auto act = events.top().act;
				events.pop();
				act();
			}
			for (auto &core : cores) {
				if (jj_core_next(core->core) <= now)
					handle(*core, tick);
			}
			now++;
		}
	}
	/** Number of quarantined requests in the status for operators. */
	int
	quarantined(WorldCore &at)
	{
		static const char FIELD[] = "\"quarantined\":";
		jj_event_t event = {};

		event.kind = JJ_EVENT_STATUS;
		at.status.clear();
		handle(at, event);
		size_t found = at.status.find(FIELD);
		return found == std::string::npos
		    ? -1
		    : atoi(at.status.c_str() + found + sizeof(FIELD) - 1);
	}
	void
	patch(WorldCore &at, uint64_t base, const std::string &text)
	{
		jj_event_t event = {};

		event.kind = JJ_EVENT_PATCH;
		event.body.patch.operation = base + 1;
		event.body.patch.operation_key = base + 77;
		event.body.patch.operator_name = "op";
		event.body.patch.base_version = base;
		event.body.patch.patch.data = const_cast<char *>(text.data());
		event.body.patch.patch.size = text.size();
		handle(at, event);
	}
	/** The platform answers no call from now on, nor those that wait. */
	void
	silence_platform()
	{
		silent = true;
		for (auto &watch : watches)
			lose_answer(watch.core, watch.call, watch.until);
		watches.clear();
	}
	void
	restore_platform()
	{
		silent = false;
	}
	void
	call(WorldCore &at, uint64_t number, const std::string &key)
	{
		jj_event_t event = {};
		static char body[] = "{}";

		event.kind = JJ_EVENT_REQUEST;
		event.body.request.request.request = number;
		(void)jj_name_set(
		    &event.body.request.request.service, "pallets");
		event.body.request.request.fingerprint = 5;
		event.body.request.key = key.c_str();
		event.body.request.path = "/call/book";
		event.body.request.body.data = body;
		event.body.request.body.size = 2;
		event.body.request.trace = "";
		handle(at, event);
	}

      private:
	struct Event {
		jj_ms_t at;
		uint64_t order;
		std::function<void()> act;
		bool
		operator<(const Event &other) const
		{
			return at != other.at ? at > other.at
					      : order > other.order;
		}
	};
	struct Watch {
		WorldCore *core;
		jj_platform_call_t call;
		jj_ms_t until;
	};
	std::priority_queue<Event> events;
	uint64_t order = 0;
	std::vector<Watch> watches;
	bool silent = false; /**< the platform answers no call */
	/** Keys of calls, by the VM that runs them and the run number there. */
	std::map<std::pair<std::string, uint64_t>, std::string> run_keys;

	void
	schedule(jj_ms_t wait, std::function<void()> act)
	{
		events.push({now + wait, order++, std::move(act)});
	}
	void
	add(const std::string &domain, int v)
	{
		auto core = std::make_unique<WorldCore>();
		char why[JJ_SETTINGS_ERROR_MAX];

		core->domain = domain;
		core->name = domain + "-" + std::to_string(10 + v);
		std::string text = "name = \"" + core->name +
		    "\"\ndomain = \"" + domain +
		    "\"\nregion = \"r\"\n[listen]\n"
		    "callers = \"127.0.0.1:1\"\noperators = \"127.0.0.1:2\"\n"
		    "neighbours = \"127.0.0.1:3\"\n[platform]\n"
		    "address = \"127.0.0.1:4\"\n";
		if (!jj_settings_parse(&core->settings, text.data(),
			text.size(), "world", why, sizeof(why)))
			abort();
		build(*core, cores.size() + 1);
		cores.push_back(std::move(core));
	}
	void
	build(WorldCore &core, uint64_t seed)
	{
		jj_core_settings_t settings = core.settings.core;

		settings.incarnation = seed;
		settings.member.incarnation = seed;
		settings.member.seed = seed;
		settings.ledger.incarnation = seed;
		settings.ledger.seed = seed * 7;
		settings.config.seed = seed * 11;
		settings.lease.seed = seed * 13;
		settings.dispatch.seed = seed * 17;
		jj_core_write_writer(&settings.name, seed,
		    settings.config.writer, sizeof(settings.config.writer));
		memcpy(settings.lease.writer, settings.config.writer,
		    sizeof(settings.lease.writer));
		snprintf(settings.lease.key, sizeof(settings.lease.key),
		    "leases/%s/orders", core.domain.c_str());
		core.core = jj_core_create(&settings);
	}
	/**
	 * Adds all VMs of its domain to the core, and two of each other one.
	 */
	void
	add_known_vms(WorldCore &core)
	{
		std::map<std::string, int> known;
		jj_server_t server = {};

		for (auto &other : cores) {
			jj_name_t name, domain;
			if (other->name == core.name ||
			    (other->domain != core.domain &&
				known[other->domain]++ >= 2))
				continue;
			jj_name_set(&name, other->name.c_str());
			jj_name_set(&domain, other->domain.c_str());
			jj_core_add_vm(
			    core.core, &name, &domain, "127.0.0.1:3");
		}
		jj_name_set(&server.name, ("svc-" + core.domain).c_str());
		jj_name_set(&server.domain, core.domain.c_str());
		jj_name_set(&server.service, "pallets");
		snprintf(server.address, sizeof(server.address), "127.0.0.1:9");
		jj_core_add_server(core.core, &server);
	}
	WorldCore *
	find(const char *name)
	{
		for (auto &core : cores) {
			if (core->name == name)
				return core.get();
		}
		return nullptr;
	}
	void
	carry_out(WorldCore &at, jj_actions_t *out)
	{
		jj_action_t *action;

		while ((action = TAILQ_FIRST(out)) != nullptr) {
			TAILQ_REMOVE(out, action, link);
			if (action->kind == JJ_ACTION_SEND)
				send(at, action);
			else if (action->kind == JJ_ACTION_PLATFORM)
				call_platform(at, &action->body.platform);
			else if (action->kind == JJ_ACTION_CONFIG_ADOPTED)
				at.adopted.push_back(
				    {now, action->body.adopted.version});
			else if (action->kind == JJ_ACTION_CONFIG_ANSWER)
				at.patch_answers.push_back(
				    {action->body.config.operation,
					action->body.config.status});
			else if (action->kind == JJ_ACTION_CALL_ANSWER)
				at.call_answers.push_back(
				    {action->body.call.call,
					action->body.call.answer.outcome});
			else if (action->kind == JJ_ACTION_JOB_ANSWER)
				at.status = action->body.job.body.data;
			else if (action->kind == JJ_ACTION_ANSWER)
				at.given_up[action->body.answer.request] =
				    action->body.answer.reason;
			else if (action->kind == JJ_ACTION_VM_LOST)
				at.losses.push_back(now);
			else if (action->kind == JJ_ACTION_CALL_READY)
				run_keys[{at.name, action->body.item.item}] =
				    action->body.item.key;
			else if (action->kind == JJ_ACTION_BACKEND_START)
				run(at, action->body.start);
			jj_action_free(action);
		}
	}
	void
	send(WorldCore &from, jj_action_t *action)
	{
		WorldCore *to = find(action->body.send.to.text);
		jj_message_t *message = action->body.send.message;

		action->body.send.message =
		    (jj_message_t *)jj_alloc(sizeof(jj_message_t));
		messages++;
		calls_sent += message->kind == JJ_MESSAGE_CALL;
		std::shared_ptr<jj_message_t> owned(
		    message, [](jj_message_t *gone) {
			    jj_message_clear(gone);
			    free(gone);
		    });
		if (to == nullptr || cut_vms ||
		    cut_domains.count({from.domain, to->domain}) ||
		    cut_domains.count({to->domain, from.domain}))
			return;
		schedule(message_ms, [this, to, owned] {
			jj_event_t event = {};
			event.kind = JJ_EVENT_MESSAGE;
			event.body.message = owned.get();
			handle(*to, event);
		});
	}
	void
	call_platform(WorldCore &at, jj_platform_call_t *call)
	{
		jj_platform_call_t own = *call;
		WorldCore *core = &at;

		memset(&call->value, 0, sizeof(call->value));
		at.platform_calls++;
		schedule(platform_ms, [this, core, own]() mutable {
			if (core->cut_from_platform) {
				answer_failure(core, own, JJ_PLATFORM_DOWN);
				return;
			}
			if (silent) {
				lose_answer(core, own, now + own.wait_ms);
				return;
			}
			if (own.op == JJ_PLATFORM_WATCH) {
				watches.push_back(
				    {core, own, now + own.wait_ms});
				answer_watches();
				return;
			}
			jj_platform_result_t result = platform.execute(own);
			answer(core, &result);
			jj_platform_call_clear(&own);
			answer_watches();
		});
		if (own.op == JJ_PLATFORM_WATCH)
			schedule(own.wait_ms + platform_ms + 1,
			    [this] { answer_watches(); });
	}
	/** A call without an answer fails this long after its wait, ms. */
	static constexpr jj_ms_t ANSWER_TIMEOUT_MS = 1000;
	void
	lose_answer(WorldCore *core, jj_platform_call_t call, jj_ms_t end_ms)
	{
		schedule(end_ms + ANSWER_TIMEOUT_MS - now,
		    [this, core, call]() mutable {
			    answer_failure(core, call, JJ_PLATFORM_UNKNOWN);
		    });
	}
	void
	answer_failure(WorldCore *core, jj_platform_call_t &call,
	    jj_platform_outcome_t outcome)
	{
		jj_platform_result_t result = {};

		result.owner = call.owner;
		result.token = call.token;
		result.op = call.op;
		result.outcome = outcome;
		answer(core, &result);
		jj_platform_call_clear(&call);
	}
	void
	answer(WorldCore *core, jj_platform_result_t *result)
	{
		jj_event_t event = {};

		event.kind = JJ_EVENT_PLATFORM;
		event.body.platform = result;
		handle(*core, event);
		jj_platform_result_clear(result);
	}
	void
	answer_watches()
	{
		std::vector<Watch> waiting;

		waiting.swap(watches);
		for (auto &watch : waiting) {
			jj_platform_result_t result = {};
			std::vector<std::pair<std::string, uint64_t>> changes;
			uint64_t newest = watch.call.version;

			for (auto &object : platform.objects) {
				if (object.first.find(watch.call.key) != 0 ||
				    object.second.version <= watch.call.version)
					continue;
				changes.push_back(
				    {object.first, object.second.version});
				if (object.second.version > newest)
					newest = object.second.version;
			}
			if (changes.empty() && now < watch.until) {
				watches.push_back(watch);
				continue;
			}
			result.owner = watch.call.owner;
			result.token = watch.call.token;
			result.op = JJ_PLATFORM_WATCH;
			result.outcome = watch.core->cut_from_platform
			    ? JJ_PLATFORM_UNKNOWN
			    : JJ_PLATFORM_OK;
			result.version = newest;
			result.item_count = changes.size();
			result.items = (jj_platform_item_t *)jj_alloc(
			    changes.size() * sizeof(*result.items));
			for (size_t i = 0; i < changes.size(); i++) {
				snprintf(result.items[i].key,
				    sizeof(result.items[i].key), "%s",
				    changes[i].first.c_str());
				result.items[i].version = changes[i].second;
			}
			answer(watch.core, &result);
		}
	}
	void
	run(WorldCore &at, const jj_backend_start_t &start)
	{
		WorldCore *core = &at;

		runs[run_keys[{at.name, start.request}]]++;
		schedule(run_ms, [this, core, start] {
			static char body[] = "{\"ok\":1}";
			jj_event_t event = {};
			event.kind = JJ_EVENT_BACKEND;
			event.body.backend.event.request = start.request;
			event.body.backend.event.attempt = start.attempt;
			event.body.backend.event.kind = JJ_BACKEND_DONE;
			event.body.backend.status = 200;
			event.body.backend.body.data = body;
			event.body.backend.body.size = 8;
			handle(*core, event);
		});
	}
};

#endif
