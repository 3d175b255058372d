/**
 * @file gateway_borrow_test.cc
 * @brief VMs that can't reach the platform, or a server, while others can.
 */
#include "tests/core/gateway_fleet.h"

namespace
{

class Lend : public GatewayFleet
{
};

/*
 * Guards against jobs that a VM refuses while its neighbours reach the
 * platform. A VM lost its connection to the platform alone for ten seconds. It
 * received jobs all the time and accepted none, and the clients' retries
 * reached the same VMs again.
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
	EXPECT_EQ(before, vms["verona-1"].calls)
	    << "no call of its own times out at the platform";
}

/*
 * The first lender can't reach the platform either, or does not answer: the
 * next neighbour is asked.
 */
TEST_F(Lend, ANeighbourThatCannotHelpIsSkipped)
{
	for (bool loses_messages : {false, true}) {
		vms["verona-1"].cut = JJ_PLATFORM_UNKNOWN;
		vms["verona-2"].cut =
		    loses_messages ? JJ_PLATFORM_OK : JJ_PLATFORM_DOWN;
		vms["verona-2"].loses_messages = loses_messages;
		uint64_t operation =
		    submit("verona-1", loses_messages ? "a" : "b");
		run(2500);
		EXPECT_EQ(202, vms["verona-1"].answers[operation])
		    << loses_messages;
		EXPECT_EQ(1U,
		    platform.objects.count(
			loses_messages ? "batch-jobs/a" : "batch-jobs/b"));
	}
}

/*
 * No VM reaches the platform: the submission ends in time, and calls are not
 * passed from VM to VM.
 */
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
 * Guards against a flood of borrowed calls. While no VM reached the platform,
 * 66 VMs sent their jobs of 0.1 MB each from one to the next: 1.7 GB in a
 * minute, and messages to servers came too late.
 */
TEST_F(Lend, ManyJobsAreNotPassedOnWhileNoVmReachesThePlatform)
{
	for (auto &vm : vms)
		vm.second.cut = JJ_PLATFORM_DOWN;
	for (int i = 0; i < 30; i++)
		(void)submit("verona-1", "j" + std::to_string(i));
	run(4000);
	EXPECT_LE(vms["verona-1"].events["platform_call_lent"], 4000 / 500 + 1);
}

/*
 * One VM cannot connect to a server: it notifies the others before they send
 * online requests there that would wait for a connection in vain.
 */
TEST_F(Lend, WhatOneVmCannotReachTheOthersSuspect)
{
	jj_gateway_request_t request = {};
	jj_backend_event_t event = {};
	jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);
	jj_gateway_t *gateway = vms["verona-1"].gateway;

	request.request = 1;
	request.host = "h";
	request.path = "/online/1";
	request.budget_ms = 4000;
	request.routes = jj_gateway_routes(gateway);
	jj_gateway_begin(gateway, &request, now, &out);
	carry_out("verona-1", &out);
	event.request = 1;
	event.attempt = 1;
	event.kind = JJ_BACKEND_NOT_SENT;
	jj_gateway_take_backend_event(gateway, &event, 0, nullptr, now, &out);
	carry_out("verona-1", &out);
	run(2 * FLEET_STEP_MS);
	for (const char *name : {"verona-1", "verona-2", "verona-3"}) {
		const jj_slot_server_t *server =
		    jj_slots_find(jj_gateway_slots(vms[name].gateway), "s1");
		ASSERT_NE(nullptr, server);
		EXPECT_EQ(1U, server->failures) << name;
	}
}

/*
 * A rate limit is an answer: it is respected, not bypassed through a neighbour.
 */
TEST_F(Lend, ARateLimitIsNotBypassed)
{
	vms["verona-1"].cut = JJ_PLATFORM_LIMITED;
	uint64_t operation = submit("verona-1", "j");
	run(4000);
	EXPECT_EQ(503, vms["verona-1"].answers[operation]);
	EXPECT_EQ(0, vms["verona-1"].events["platform_call_lent"]);
	EXPECT_EQ(0U, platform.objects.count("batch-jobs/j"));
}

/* Once the platform is reachable again, the VM makes its calls itself. */
TEST_F(Lend, AVmThatReachesThePlatformAgainBorrowsNoCalls)
{
	vms["verona-1"].cut = JJ_PLATFORM_DOWN;
	(void)submit("verona-1", "j");
	run(6000);
	vms["verona-1"].cut = JJ_PLATFORM_OK;
	run(6000);
	int borrowed = vms["verona-1"].events["platform_call_lent"];
	uint64_t operation = submit("verona-1", "k");
	run(500);
	EXPECT_EQ(202, vms["verona-1"].answers[operation]);
	EXPECT_EQ(borrowed, vms["verona-1"].events["platform_call_lent"]);
	EXPECT_EQ(1, vms["verona-1"].events["platform_reached"]);
}

} // namespace
