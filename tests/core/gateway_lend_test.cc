/**
 * @file gateway_lend_test.cc
 * @brief A VM that does not reach the platform, or a server, beside others.
 */
#include <deque>
#include <map>
#include <memory>

#include <gtest/gtest.h>

#include "tests/core/gateway_world.h"

namespace
{

constexpr jj_ms_t STEP_MS = 5;

struct Vm {
	jj_gateway_t *gateway = nullptr;
	jj_platform_outcome_t cut = JJ_PLATFORM_OK; /**< what calls end with */
	bool deaf = false; /**< messages to it are lost */
	std::map<uint64_t, int> answers; /**< of submissions, by operation */
	std::map<std::string, int> events; /**< log lines, by name */
	int calls = 0; /**< of single objects at the platform */
};

/** Whole gateways in virtual time; messages take one step. */
class Lend : public ::testing::Test
{
      protected:
	FakePlatform platform;
	std::vector<jj_route_t> routes;
	std::map<std::string, Vm> vms;
	std::deque<std::pair<std::string, jj_action_t *>> messages;
	jj_ms_t now = 1000;
	uint64_t last = 0;

	Lend()
	{
		add_route("batch", "/batch/", JJ_ROUTE_BATCH);
		add_route("online", "/online/", JJ_ROUTE_STREAM);
		platform.put("servers/s1", "verona ready");
		platform.put("config/main", "7");
		for (int i = 1; i <= 3; i++)
			create("verona-" + std::to_string(i), i);
		run(3000);
	}
	~Lend() override
	{
		for (auto &vm : vms)
			jj_gateway_destroy(vm.second.gateway);
		for (auto &message : messages)
			jj_action_free(message.second);
	}
	void
	add_route(const char *name, const char *prefix, jj_route_kind_t kind)
	{
		jj_route_t route = {};

		jj_name_set(&route.name, name);
		snprintf(route.host, sizeof(route.host), "h");
		snprintf(route.prefix, sizeof(route.prefix), "%s", prefix);
		route.kind = kind;
		route.attempts = 3;
		route.timeout_ms = 5000;
		route.run_due_ms = 18000;
		route.retention_ms = 60000;
		route.backend_count = 1;
		jj_name_set(&route.backends[0].service, "ordini");
		route.backends[0].weight = 1;
		routes.push_back(route);
	}
	void
	create(const std::string &name, jj_incarnation_t incarnation)
	{
		jj_gateway_settings_t settings =
		    describe_gateway(name.c_str(), incarnation);
		jj_gateway_port_t port = {&routes, read_routes, read_server,
		    write_page, unix_ms, on_routes};

		settings.serves = true;
		settings.member.seed = incarnation;
		vms[name].gateway = jj_gateway_create(&settings, &port);
		for (int i = 1; i <= 3; i++) {
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
		for (jj_ms_t until = now + ms; now < until; now += STEP_MS) {
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
	void
	deliver()
	{
		std::deque<std::pair<std::string, jj_action_t *>> batch;

		batch.swap(messages);
		for (auto &message : batch) {
			jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);
			std::string to = message.second->body.send.to.text;

			if (vms.count(to) == 1 && !vms[to].deaf) {
				jj_gateway_take_message(vms[to].gateway,
				    message.second->body.send.message, now,
				    &out);
				carry_out(to, &out);
			}
			jj_action_free(message.second);
		}
	}
	void
	carry_out(const std::string &name, jj_actions_t *out)
	{
		Vm &vm = vms[name];
		jj_action_t *action;

		while ((action = TAILQ_FIRST(out)) != nullptr) {
			TAILQ_REMOVE(out, action, link);
			if (action->kind == JJ_ACTION_SEND) {
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
			jj_action_free(action);
		}
	}
	void
	call(const std::string &name, const jj_platform_call_t &call)
	{
		jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);
		jj_platform_result_t result = {};

		if (call.op == JJ_PLATFORM_WATCH)
			return;
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
	uint64_t
	submit(const std::string &name, const std::string &id)
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
		jj_gateway_submit(vms[name].gateway, ++last, &job, now, &out);
		carry_out(name, &out);
		return last;
	}
};

/*
 * A VM was cut off from the platform alone for ten seconds. It was sent jobs
 * all the time, accepted none of them, and their clients met the same VMs
 * again. Its neighbours, whom it heard, reached the platform.
 */
TEST_F(Lend, AVmThatIsCutOffAcceptsJobsThroughANeighbour)
{
	vms["verona-1"].cut = JJ_PLATFORM_UNKNOWN;
	uint64_t operation = submit("verona-1", "j");
	run(1000);
	EXPECT_EQ(202, vms["verona-1"].answers[operation]);
	EXPECT_EQ(1U, platform.objects.count("batch-jobs/j"));
	EXPECT_EQ(1U, platform.objects.count("batch-open/j"));
	EXPECT_GT(vms["verona-1"].events["platform_call_lent"], 0);

	int before = vms["verona-1"].calls;
	(void)submit("verona-1", "k");
	run(200);
	EXPECT_EQ(before, vms["verona-1"].calls) << "no call waits in vain";
}

/* The neighbour that is asked is cut off too, or does not answer: the next
 * one is asked. */
TEST_F(Lend, ANeighbourThatCannotIsPassedOver)
{
	for (bool deaf : {false, true}) {
		vms["verona-1"].cut = JJ_PLATFORM_UNKNOWN;
		vms["verona-2"].cut = deaf ? JJ_PLATFORM_OK : JJ_PLATFORM_DOWN;
		vms["verona-2"].deaf = deaf;
		uint64_t operation = submit("verona-1", deaf ? "a" : "b");
		run(2500);
		EXPECT_EQ(202, vms["verona-1"].answers[operation]) << deaf;
		EXPECT_EQ(1U,
		    platform.objects.count(
			deaf ? "batch-jobs/a" : "batch-jobs/b"));
	}
}

/* All are cut off: the submission ends in time, and nothing goes round. */
TEST_F(Lend, WhereNobodyReachesThePlatformNothingIsAccepted)
{
	for (auto &vm : vms)
		vm.second.cut = JJ_PLATFORM_DOWN;
	uint64_t operation = submit("verona-1", "j");
	run(4000);
	EXPECT_EQ(503, vms["verona-1"].answers[operation]);
	EXPECT_EQ(0U, platform.objects.count("batch-jobs/j"));
	EXPECT_LT(vms["verona-1"].events["platform_call_lent"], 40);
}

/*
 * Nobody reached the platform, and 66 VMs sent their jobs, 0.1 MB each, from
 * one to the next: 1.7 GB in a minute, and servers were told too late.
 */
TEST_F(Lend, ManyJobsDoNotGoRoundWhileNobodyReachesThePlatform)
{
	for (auto &vm : vms)
		vm.second.cut = JJ_PLATFORM_DOWN;
	for (int i = 0; i < 30; i++)
		(void)submit("verona-1", "j" + std::to_string(i));
	run(4000);
	EXPECT_LE(vms["verona-1"].events["platform_call_lent"], 4000 / 500 + 1);
}

/* One VM cannot connect to a server: the others hear of it before they send
 * online requests there, each to wait for a connection in vain. */
TEST_F(Lend, WhatOneVmCannotReachTheOthersDoubt)
{
	jj_gateway_request_t request = {};
	jj_backend_event_t event = {};
	jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);
	jj_gateway_t *gateway = vms["verona-1"].gateway;

	request.request = 1;
	request.host = "h";
	request.path = "/online/1";
	request.budget_ms = 4000;
	jj_gateway_begin(gateway, &request, now, &out);
	carry_out("verona-1", &out);
	event.request = 1;
	event.attempt = 1;
	event.kind = JJ_BACKEND_NOT_SENT;
	jj_gateway_take_backend(gateway, &event, 0, nullptr, now, &out);
	carry_out("verona-1", &out);
	run(2 * STEP_MS);
	for (const char *name : {"verona-1", "verona-2", "verona-3"}) {
		const jj_slot_server_t *server =
		    jj_slots_find(jj_gateway_slots(vms[name].gateway), "s1");
		ASSERT_NE(nullptr, server);
		EXPECT_EQ(1U, server->failures) << name;
	}
}

/* A limit is an answer: it is kept, not passed by through a neighbour. */
TEST_F(Lend, ALimitIsNotPassedBy)
{
	vms["verona-1"].cut = JJ_PLATFORM_LIMITED;
	uint64_t operation = submit("verona-1", "j");
	run(4000);
	EXPECT_EQ(503, vms["verona-1"].answers[operation]);
	EXPECT_EQ(0, vms["verona-1"].events["platform_call_lent"]);
	EXPECT_EQ(0U, platform.objects.count("batch-jobs/j"));
}

/* Reached again: its calls are its own. */
TEST_F(Lend, AVmThatReachesThePlatformAgainAsksNobody)
{
	vms["verona-1"].cut = JJ_PLATFORM_DOWN;
	(void)submit("verona-1", "j");
	run(6000);
	vms["verona-1"].cut = JJ_PLATFORM_OK;
	run(6000);
	int lent = vms["verona-1"].events["platform_call_lent"];
	uint64_t operation = submit("verona-1", "k");
	run(500);
	EXPECT_EQ(202, vms["verona-1"].answers[operation]);
	EXPECT_EQ(lent, vms["verona-1"].events["platform_call_lent"]);
	EXPECT_EQ(1, vms["verona-1"].events["platform_reached"]);
}

} // namespace
