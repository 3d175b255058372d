/**
 * @file gateway_fleet.h
 * @brief A test fixture with whole gateways of one failure domain in virtual
 * time.
 *
 * Messages take one step. The platform answers at once, except for watches,
 * which a test answers itself.
 */
#ifndef TESTS_CORE_GATEWAY_FLEET_H
#define TESTS_CORE_GATEWAY_FLEET_H

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>

#include <gtest/gtest.h>

#include "tests/core/gateway_helpers.h"

constexpr jj_ms_t FLEET_STEP_MS = 5;

struct FleetWatch {
	jj_platform_call_t call; /**< its value is not set */
	jj_ms_t begun;
	bool lost; /**< no answer will come */
};

struct FleetVm {
	jj_gateway_t *gateway = nullptr;
	/** outcome of its platform calls */
	jj_platform_outcome_t cut = JJ_PLATFORM_OK;
	bool loses_messages = false; /**< messages to this VM are lost */
	bool loses_sent = false; /**< messages from this VM are lost */
	/** configurations to this VM are lost, smaller messages arrive */
	bool loses_documents = false;
	/** answers to submissions, by operation */
	std::map<uint64_t, int> answers;
	std::map<std::string, int> events; /**< number of log lines, by name */
	std::map<int, size_t> sent; /**< number of messages, by kind */
	int calls = 0; /**< calls for single objects at the platform */
	/** times at which it sent a configuration */
	std::vector<jj_ms_t> documents;
	std::vector<FleetWatch> watches; /**< that were not answered yet */
};

/** Whole gateways in virtual time; messages take one step. */
class GatewayFleet : public ::testing::Test
{
      protected:
	FakePlatform platform;
	std::vector<jj_route_t> routes;
	std::map<std::string, FleetVm> vms;
	std::deque<std::pair<std::string, jj_action_t *>> messages;
	jj_ms_t now = 1000;
	uint64_t last = 0;
	int count;
	jj_prompt_t prompt = {}; /**< of the requests that begin() sends */
	jj_ms_t budget_ms =
	    4000; /**< of those requests: how long callers wait */
	uint32_t queue_most; /**< online requests that may wait at a server */
	decltype(jj_gateway_port_t::read_routes) reader;
	/** changes the settings of each gateway before it is created */
	std::function<void(jj_gateway_settings_t *)> adjust;
	bool fair_shares; /**< of the VMs that create() starts */
	/** messages between these VMs and the others are lost */
	std::set<std::string> cut_off;
	/** part of the messages that come twice, or up to 20 steps late */
	double disorder = 0;
	std::mt19937_64 disorder_random;

	explicit GatewayFleet(int count = 3, uint32_t queue_most = 1,
	    decltype(jj_gateway_port_t::read_routes) reader = read_routes,
	    const std::string &config = "7",
	    std::function<void(jj_gateway_settings_t *)> adjust = nullptr,
	    bool fair_shares = false)
	    : count(count), queue_most(queue_most), reader(reader),
	      adjust(std::move(adjust)), fair_shares(fair_shares)
	{
		routes.push_back(
		    make_route("batch", "/batch/", JJ_ROUTE_BATCH));
		routes.push_back(
		    make_route("online", "/online/", JJ_ROUTE_STREAM));
		platform.put("servers/s1", "verona ready");
		platform.put("config/main", config);
		for (int i = 1; i <= count; i++)
			create("verona-" + std::to_string(i), i);
		run(3000);
	}
	~GatewayFleet() override
	{
		for (auto &vm : vms)
			jj_gateway_destroy(vm.second.gateway);
		for (auto &message : messages)
			jj_action_free(message.second);
	}
	void
	create(const std::string &name, jj_incarnation_t incarnation)
	{
		jj_gateway_settings_t settings =
		    describe_gateway(name.c_str(), incarnation);
		jj_gateway_port_t port = {&routes, reader, read_server,
		    write_page, unix_ms, read_prompt, on_routes};

		settings.serves = true;
		settings.member.seed = incarnation;
		settings.slots.queue_most = queue_most;
		settings.fair_shares = fair_shares;
		if (adjust)
			adjust(&settings);
		vms[name].gateway = jj_gateway_create(&settings, &port);
		for (int i = 1; i <= count; i++) {
			jj_name_t other;
			std::string text = "verona-" + std::to_string(i);

			jj_name_set(&other, text.c_str());
			if (text != name)
				jj_gateway_learn_vm(vms[name].gateway, &other,
				    &settings.member.domain, "127.0.0.1:1");
		}
	}
	void
	run(jj_ms_t ms)
	{
		for (jj_ms_t until = now + ms; now < until;
		     now += FLEET_STEP_MS) {
			deliver();
			for (auto &vm : vms) {
				jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);

				if (jj_gateway_next(vm.second.gateway) > now)
					continue;
				jj_gateway_tick(vm.second.gateway, now, &out);
				carry_out(vm.first, &out);
			}
		}
	}
	static bool
	is_document(const jj_action_t &action)
	{
		const jj_message_t *message = action.body.send.message;

		return message->kind == JJ_MESSAGE_CONFIG &&
		    message->body.config.document.size > 0;
	}
	virtual void
	deliver()
	{
		std::deque<std::pair<std::string, jj_action_t *>> batch;

		batch.swap(messages);
		for (auto &message : batch) {
			jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);
			std::string to = message.second->body.send.to.text;

			if (is_disordered() && disorder_random() % 20 != 0) {
				messages.push_back(message);
				continue;
			}
			if (vms.count(to) == 1 && !vms[to].loses_messages &&
			    cut_off.count(message.first) == cut_off.count(to) &&
			    !vms[message.first].loses_sent &&
			    !(vms[to].loses_documents &&
				is_document(*message.second))) {
				jj_gateway_take_message(vms[to].gateway,
				    message.second->body.send.message, now,
				    &out);
				if (is_disordered())
					jj_gateway_take_message(vms[to].gateway,
					    message.second->body.send.message,
					    now, &out);
				carry_out(to, &out);
			}
			jj_action_free(message.second);
		}
	}
	bool
	is_disordered()
	{
		return disorder > 0 &&
		    std::uniform_real_distribution<>(0, 1)(disorder_random) <
		    disorder;
	}
	void
	carry_out(const std::string &name, jj_actions_t *out)
	{
		FleetVm &vm = vms[name];
		jj_action_t *action;

		while ((action = TAILQ_FIRST(out)) != nullptr) {
			TAILQ_REMOVE(out, action, link);
			if (action->kind == JJ_ACTION_SEND) {
				if (is_document(*action))
					vm.documents.push_back(now);
				vm.sent[action->body.send.message->kind]++;
				messages.push_back({name, action});
				continue;
			}
			if (action->kind == JJ_ACTION_PLATFORM)
				call(name, action->body.platform);
			else if (action->kind == JJ_ACTION_JOB_ANSWER)
				vm.answers[action->body.job.operation] =
				    action->body.job.status;
			else if (action->kind == JJ_ACTION_EVENT)
				vm.events[action->body.event.name]++;
			else
				take(name, *action);
			jj_action_free(action);
		}
	}
	/** Takes the actions that concern backend servers and callers. */
	virtual void
	take(const std::string &, const jj_action_t &)
	{
	}
	virtual void
	call(const std::string &name, const jj_platform_call_t &call)
	{
		jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);
		jj_platform_result_t result = {};

		if (call.op == JJ_PLATFORM_WATCH) {
			vms[name].watches.push_back({call, now, false});
			return;
		}
		vms[name].calls += call.op <= JJ_PLATFORM_DELETE;
		if (vms[name].cut == JJ_PLATFORM_OK)
			result = platform.execute(call);
		else {
			result.owner = call.owner;
			result.token = call.token;
			result.op = call.op;
			result.outcome = vms[name].cut;
		}
		jj_gateway_take_platform(vms[name].gateway, &result, now, &out);
		jj_platform_result_clear(&result);
		carry_out(name, &out);
	}
	/** The VM's watch of the configuration returns that version. */
	void
	see_config(const std::string &name, uint64_t version)
	{
		see(name, 1, "config/main", std::to_string(version).c_str());
	}
	/** The VM's watch of that token returns an object. */
	void
	see(const std::string &name, uint64_t token, const char *key,
	    const char *text, bool gone = false)
	{
		jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);
		jj_platform_item_t item = {};
		jj_platform_result_t result = {};

		snprintf(item.key, sizeof(item.key), "%s", key);
		item.version = ++platform.revision;
		item.deleted = gone;
		if (!gone)
			item.value = jj_bytes_from_text(text);
		result.owner = JJ_OWNER_GATEWAY;
		result.token = token;
		result.op = JJ_PLATFORM_WATCH;
		result.version = item.version;
		result.items = &item;
		result.item_count = 1;
		jj_gateway_take_platform(vms[name].gateway, &result, now, &out);
		jj_bytes_free(&item.value);
		carry_out(name, &out);
	}
	uint64_t
	begin(const std::string &name, const char *path,
	    uint64_t fingerprint = 0, const char *resumes = nullptr)
	{
		jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);
		jj_gateway_request_t request = {};

		request.request = ++last;
		snprintf(request.id, sizeof(request.id), "r%d", (int)last);
		request.resumed = resumes != nullptr;
		snprintf(request.resumes, sizeof(request.resumes), "%s",
		    resumes != nullptr ? resumes : "");
		request.host = "h";
		request.path = path;
		request.budget_ms = budget_ms;
		request.fingerprint = fingerprint != 0 ? fingerprint : last;
		request.prompt = prompt;
		request.routes = jj_gateway_routes(vms[name].gateway);
		jj_gateway_begin(vms[name].gateway, &request, now, &out);
		carry_out(name, &out);
		return last;
	}
	/** The first attempt of the last request ends with that event. */
	void
	fail(const std::string &name, jj_backend_kind_t kind)
	{
		jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);
		jj_backend_event_t event = {};
		jj_bytes_t text = {};

		event.request = last;
		event.attempt = 1;
		event.kind = kind;
		jj_gateway_take_backend_event(
		    vms[name].gateway, &event, 0, &text, now, &out);
		carry_out(name, &out);
	}
	uint64_t
	version_of(const std::string &name)
	{
		return jj_gateway_routes(vms[name].gateway)->version;
	}
	uint64_t
	submit(const std::string &name, const std::string &id,
	    const char *header = nullptr)
	{
		jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);
		jj_inline_job_t job = {};
		jj_inline_item_t *item;

		snprintf(job.id, sizeof(job.id), "%s", id.c_str());
		job.host = strdup("h");
		job.path = strdup("/batch/1");
		item = jj_inline_job_add(&job);
		item->id = strdup((id + "-0").c_str());
		item->path = strdup("/batch/x");
		item->body = jj_bytes_from_text("x");
		if (header != nullptr)
			jj_inline_item_add_header(item, "prompt", header);
		jj_gateway_submit(vms[name].gateway, ++last, &job,
		    jj_gateway_routes(vms[name].gateway), now, &out);
		carry_out(name, &out);
		return last;
	}
};

#endif
