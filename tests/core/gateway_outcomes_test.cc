/**
 * @file gateway_outcomes_test.cc
 * @brief What a server's answers with an error say of it.
 */
#include "tests/core/gateway_fleet.h"

namespace
{

/** Gateways whose attempts a test ends itself. */
class GatewayOutcomes : public GatewayFleet
{
      protected:
	explicit GatewayOutcomes(bool avoids = false)
	    : GatewayFleet(1, 1, read_routes, "7",
		  [avoids](jj_gateway_settings_t *settings) {
			  settings->avoid_failing = avoids;
		  })
	{
	}
	std::vector<jj_backend_start_t> starts;

	void
	take(const std::string &, const jj_action_t &action) override
	{
		if (action.kind == JJ_ACTION_BACKEND_START)
			starts.push_back(action.body.start);
	}
	void
	end(const jj_backend_start_t &start, jj_backend_kind_t kind, int status)
	{
		jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);
		jj_backend_event_t event = {};
		jj_bytes_t text = {};

		event.request = start.request;
		event.attempt = start.attempt;
		event.kind = kind;
		jj_gateway_take_backend_event(
		    vms["verona-1"].gateway, &event, status, &text, now, &out);
		carry_out("verona-1", &out);
	}
	const jj_slot_server_t *
	server()
	{
		return jj_slots_find(
		    jj_gateway_slots(vms["verona-1"].gateway), "s1");
	}
};

struct ErrorCase {
	const char *name;
	bool is_item;
	int status;
	bool is_answer; /**< counts as an answer of a sound server */
};

class GatewayErrors : public GatewayOutcomes,
		      public ::testing::WithParamInterface<ErrorCase>
{
};

/* A server that fails at once was rated the fastest, and its cool-down ended.
 */
TEST_P(GatewayErrors, OnlyAnAnswerEndsACooldown)
{
	(void)begin("verona-1", "/online/x");
	run(100);
	end(starts.back(), JJ_BACKEND_FIRST, 0);
	run(100);
	end(starts.back(), JJ_BACKEND_DONE, 200);
	double first_ms = server()->first_ms;
	double service_ms = server()->service_ms;
	(void)begin("verona-1", "/online/x");
	if (GetParam().is_item)
		(void)submit("verona-1", "job");
	else
		(void)begin("verona-1", "/online/x");
	run(10);
	ASSERT_EQ(3U, starts.size());
	end(starts[1], JJ_BACKEND_BROKEN, 0);
	ASSERT_EQ(1U, server()->failures);
	end(starts[2], JJ_BACKEND_REJECTED, GetParam().status);
	EXPECT_EQ(GetParam().is_answer ? 0U : 1U, server()->failures);
	EXPECT_EQ(GetParam().is_answer, now >= server()->rest_until_ms);
	EXPECT_EQ(GetParam().is_answer, first_ms != server()->first_ms);
	EXPECT_EQ(GetParam().is_answer && !GetParam().is_item,
	    service_ms != server()->service_ms);
	EXPECT_EQ(0, server()->open_connects);
	EXPECT_EQ(GetParam().is_item, vms["verona-1"].events["item_ended"] > 0);
}

INSTANTIATE_TEST_SUITE_P(Answers, GatewayErrors,
    ::testing::Values(ErrorCase{"Request500", false, 500, false},
	ErrorCase{"Request501", false, 501, false},
	ErrorCase{"Request599", false, 599, false},
	ErrorCase{"Request404", false, 404, true},
	ErrorCase{"Item500", true, 500, false},
	ErrorCase{"Item422", true, 422, true}),
    [](const auto &info) { return std::string(info.param.name); });

struct AgainCase {
	const char *name;
	bool is_item;
	bool resumable; /**< the route may be run again */
	uint32_t attempts; /**< of the route */
	uint32_t sent; /**< attempts of a request that always fails */
};

class GatewayAgain : public GatewayOutcomes,
		     public ::testing::WithParamInterface<AgainCase>
{
      protected:
	GatewayAgain() : GatewayOutcomes(true)
	{
	}
};

/* An error ends a request that may not run again, or has no attempt left. */
TEST_P(GatewayAgain, ErrorsAreSentAgainWhereAllowed)
{
	jj_gateway_attempt_t attempt;

	routes[1].resumable = GetParam().resumable;
	routes[0].attempts = routes[1].attempts = GetParam().attempts;
	platform.put("config/main", "9");
	see_config("verona-1", 9);
	if (GetParam().is_item)
		(void)submit("verona-1", "job");
	else
		(void)begin("verona-1", "/online/x");
	run(10);
	for (uint32_t sent = 1; sent < GetParam().sent; sent++) {
		ASSERT_EQ(sent, starts.size());
		ASSERT_TRUE(jj_gateway_find_attempt(vms["verona-1"].gateway,
		    starts.back().request, now, &attempt));
		EXPECT_TRUE(attempt.retries_errors);
		end(starts.back(), JJ_BACKEND_FAILED, 500);
		for (int i = 0; i < 200 && starts.size() == sent; i++)
			run(10);
	}
	ASSERT_EQ(GetParam().sent, starts.size());
	ASSERT_TRUE(jj_gateway_find_attempt(
	    vms["verona-1"].gateway, starts.back().request, now, &attempt));
	EXPECT_FALSE(attempt.retries_errors);
	end(starts.back(), JJ_BACKEND_REJECTED, 500);
	run(2000);
	EXPECT_EQ(GetParam().sent, starts.size());
	EXPECT_FALSE(server()->avoided);
}

INSTANTIATE_TEST_SUITE_P(Routes, GatewayAgain,
    ::testing::Values(AgainCase{"OneAttempt", false, true, 1, 1},
	AgainCase{"TwoAttempts", false, true, 2, 2},
	AgainCase{"NotRepeatable", false, false, 3, 1},
	AgainCase{"ItemOnce", true, false, 1, 1}),
    [](const auto &info) { return std::string(info.param.name); });

/* A single error may be the request's own: its server is chosen again. */
TEST_F(GatewayOutcomes, AnErrorAloneCausesNoCooldown)
{
	(void)begin("verona-1", "/online/x");
	run(10);
	end(starts[0], JJ_BACKEND_REJECTED, 500);
	EXPECT_EQ(0U, server()->failures);
	EXPECT_GE(now, server()->rest_until_ms);
	EXPECT_EQ(0, server()->first_ms);
	(void)begin("verona-1", "/online/x");
	EXPECT_EQ(2U, starts.size());
}

} // namespace
