/**
 * @file gateway_views_test.cc
 * @brief What a gateway lists for operators.
 */
#include "tests/core/gateway_fleet.h"

namespace
{

constexpr int TEAMS = 20;

bool
read_teams(void *ctx, const jj_bytes_t *object, jj_routes_t *routes, char *why,
    size_t why_size)
{
	jj_team_entry_t team = {};

	if (!read_routes(ctx, object, routes, why, why_size))
		return false;
	routes->teams = jj_teams_create();
	team.usable = true;
	for (int i = 1; i <= TEAMS; i++) {
		jj_name_set(&team.name, ("team-" + std::to_string(i)).c_str());
		(void)jj_teams_add(routes->teams, &team);
	}
	return true;
}

/** One VM with two servers, of which s1 fails each request. */
class OperatorViews : public GatewayFleet
{
      protected:
	std::vector<jj_backend_start_t> starts;

	OperatorViews()
	    : GatewayFleet(
		  0, 1, read_teams, "7", [](jj_gateway_settings_t *settings) {
			  settings->avoid_failing = true;
			  settings->fair_shares = true;
		  })
	{
		platform.put("servers/s2", "verona ready");
		create("verona-1", 1);
		run(3000);
	}
	void
	take(const std::string &, const jj_action_t &action) override
	{
		if (action.kind == JJ_ACTION_BACKEND_START)
			starts.push_back(action.body.start);
	}
	jj_gateway_t *
	gateway()
	{
		return vms["verona-1"].gateway;
	}
	void
	send_and_end(int requests)
	{
		for (int i = 0; i < requests; i++) {
			(void)begin("verona-1", "/online/x");
			run(FLEET_STEP_MS);
			end(starts.back());
		}
	}
	void
	end(const jj_backend_start_t &start)
	{
		bool fails = std::string(start.server.text) == "s1";
		jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);
		jj_backend_event_t event = {};
		jj_bytes_t text = {};

		event.request = start.request;
		event.attempt = start.attempt;
		event.kind = fails ? JJ_BACKEND_REJECTED : JJ_BACKEND_DONE;
		jj_gateway_take_backend_event(
		    gateway(), &event, fails ? 500 : 200, &text, now, &out);
		carry_out("verona-1", &out);
	}
};

TEST_F(OperatorViews, AvoidedServersAreListedFirst)
{
	jj_gateway_outcome_t rows[8];

	send_and_end(30);
	ASSERT_EQ(2U, jj_gateway_list_outcomes(gateway(), rows, 8, now));
	EXPECT_STREQ("s1", rows[0].server.text);
	EXPECT_TRUE(rows[0].failing);
	EXPECT_TRUE(rows[0].avoided);
	EXPECT_DOUBLE_EQ(1, rows[0].failure_rate);
	EXPECT_GT(rows[0].answers, 0);
	EXPECT_GT(rows[0].since_ms, 0);
	EXPECT_STREQ("s2", rows[1].server.text);
	EXPECT_FALSE(rows[1].avoided);
	EXPECT_DOUBLE_EQ(0, rows[1].failure_rate);
}

/* Guards against metrics whose number grows with the teams. */
TEST_F(OperatorViews, TeamsBeyondTheBoundAreAddedUp)
{
	jj_gateway_share_t rows[17];
	double demand = 0;

	/* Team i sends i requests; the last one's name is unknown. */
	for (int i = 1; i <= TEAMS + 1; i++) {
		for (int j = 0; j < i; j++) {
			jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);
			jj_gateway_request_t request = {};
			std::string team = "team-" + std::to_string(i);

			request.request = ++last;
			request.host = "h";
			request.path = "/online/1";
			jj_name_set(&request.team, team.c_str());
			request.budget_ms = 4000;
			request.fingerprint = last;
			request.routes = jj_gateway_routes(gateway());
			jj_gateway_begin(gateway(), &request, now, &out);
			carry_out("verona-1", &out);
		}
	}
	ASSERT_EQ(17U, jj_gateway_list_shares(gateway(), rows, 17, now));
	EXPECT_STREQ("team-20", rows[0].name.text);
	EXPECT_STREQ("team-5", rows[15].name.text);
	EXPECT_STREQ("", rows[16].name.text);
	/* The rest: teams 1 to 4, and 21, in units of one request. */
	demand = rows[0].demand / 20;
	EXPECT_NEAR(31, rows[16].demand / demand, 0.1);
	EXPECT_NEAR(5, rows[15].demand / demand, 0.1);
}

} // namespace
