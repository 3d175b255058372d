/**
 * @file gateway_lend_test.cc
 * @brief A VM that does not reach the platform, or a server, beside others.
 */
#include "tests/core/gateway_fleet.h"

namespace
{

class Lend : public GatewayFleet
{
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
	run(2 * FLEET_STEP_MS);
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
