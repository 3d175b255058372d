/**
 * @file gateway_teams_test.cc
 * @brief Teams in whole gateways: one team that sends many times its usual
 * through all VMs, and teams that share few slots.
 */
#include <map>
#include <string>

#include <gtest/gtest.h>

extern "C" {
#include "core/gateway_state.h"
#include "core/team/usage_window.h"
}
#include "tests/core/gateway_fleet.h"

namespace
{

constexpr double RATE_PER_S = 20;
constexpr double BURST = 20;

/** Reads a configuration "VERSION": two teams, of which one has a limit. */
bool
read_with_teams(void *ctx, const jj_bytes_t *object, jj_routes_t *routes,
    char *why, size_t why_size)
{
	jj_team_entry_t team = {};

	if (!read_routes(ctx, object, routes, why, why_size))
		return false;
	routes->teams = jj_teams_create();
	team.usable = true;
	jj_name_set(&team.name, "free");
	(void)jj_teams_add(routes->teams, &team);
	jj_name_set(&team.name, "limited");
	team.rate_per_s = RATE_PER_S;
	team.burst = BURST;
	(void)jj_teams_add(routes->teams, &team);
	return true;
}

class TeamFleet : public GatewayFleet
{
      protected:
	std::map<uint64_t, jj_answer_t> ended;
	size_t sent = 0;

	TeamFleet() : GatewayFleet(3, 1, read_with_teams)
	{
	}
	void
	take(const std::string &, const jj_action_t &action) override
	{
		sent += action.kind == JJ_ACTION_BACKEND_START;
		if (action.kind == JJ_ACTION_ANSWER)
			ended[action.body.answer.request] = action.body.answer;
	}
	uint64_t
	ask(const std::string &vm, const char *team)
	{
		jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);
		jj_gateway_request_t request = {};

		request.request = ++last;
		request.host = "h";
		request.path = "/online/1";
		jj_name_set(&request.team, team);
		request.budget_ms = 4000;
		request.fingerprint = last;
		request.routes = jj_gateway_routes(vms[vm].gateway);
		jj_gateway_begin(vms[vm].gateway, &request, now, &out);
		carry_out(vm, &out);
		return last;
	}
	/** The request's server answers at once. */
	void
	finish(const std::string &vm, uint64_t request)
	{
		jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);
		jj_backend_event_t event = {};
		jj_bytes_t text = {};

		event.request = request;
		event.attempt = 1;
		event.kind = JJ_BACKEND_DONE;
		jj_gateway_take_backend_event(
		    vms[vm].gateway, &event, 200, &text, now, &out);
		carry_out(vm, &out);
	}
	/** Asks @p per_step times a step, round robin; returns how many ran. */
	size_t
	press(const char *team, jj_ms_t ms, int per_step)
	{
		size_t ran = 0;

		for (jj_ms_t until = now + ms; now < until;
		     run(FLEET_STEP_MS)) {
			for (int i = 0; i < per_step; i++) {
				std::string vm =
				    "verona-" + std::to_string(1 + last % 3);
				uint64_t request = ask(vm, team);

				if (ended.count(request) != 0)
					continue;
				ran++;
				finish(vm, request);
			}
		}
		return ran;
	}
};

/*
 * Pattern: one team sends ten times its limit through all VMs at once. Guards
 * against a limit that holds for each VM by itself.
 */
TEST_F(TeamFleet, HotTeamIsHeldToItsLimitOverAllVms)
{
	size_t ran;

	run(6000);
	ran = press("limited", JJ_USAGE_WINDOW_MS, 1);
	EXPECT_LE((double)ran,
	    (RATE_PER_S * JJ_USAGE_WINDOW_MS / 1000 + BURST) * 1.1 + 20);
	EXPECT_GE((double)ran, RATE_PER_S * JJ_USAGE_WINDOW_MS / 1000);
	for (const auto &answer : ended) {
		EXPECT_EQ(JJ_FAILURE_TEAM_LIMIT, answer.second.reason);
		EXPECT_EQ(JJ_RUN_NOT_RUN, answer.second.run);
		EXPECT_GT(answer.second.retry_after_ms, 0);
	}
}

/* Guards against a team without a limit that pays for another team's load. */
TEST_F(TeamFleet, TeamWithoutALimitIsNotRefused)
{
	run(6000);
	(void)press("limited", 2000, 2);
	ended.clear();
	(void)press("free", 1000, 1);
	EXPECT_TRUE(ended.empty());
}

/* Guards against a team near its limit that operators can't see. */
TEST_F(TeamFleet, AMeteredTeamIsLoggedAtItsHome)
{
	int lines = 0;

	run(6000);
	(void)press("limited", 11000, 1);
	for (const auto &vm : vms) {
		auto found = vm.second.events.find("team_metered");

		lines += found != vm.second.events.end() ? found->second : 0;
	}
	EXPECT_GE(lines, 1);
	EXPECT_LE(lines, 3);
}

/* Guards against a team refused within its limit at another VM. */
TEST_F(TeamFleet, ATeamWithinItsLimitIsServedAtAnyVm)
{
	constexpr jj_ms_t GAP_MS = (jj_ms_t)(1000 / (0.8 * RATE_PER_S));
	constexpr jj_ms_t CROWDED_MS = 6000;
	constexpr jj_ms_t STABLE_MS = 3000;
	size_t asked = 0;
	size_t ran = 0;

	run(6000);
	for (int i = 0; i < 100; i++, run(GAP_MS))
		finish("verona-1", ask("verona-1", "limited"));
	for (const char *vm : {"verona-3", "verona-2", "verona-1"}) {
		for (jj_ms_t from = now; now < from + CROWDED_MS; run(GAP_MS)) {
			uint64_t request = ask(vm, "limited");

			if (ended.count(request) == 0)
				finish(vm, request);
			if (now < from + STABLE_MS)
				continue;
			asked++;
			ran += ended.count(request) == 0;
		}
	}
	EXPECT_GE((double)ran, 0.75 * (double)asked);
}

/* Guards against a log that grows with each refused request. */
TEST_F(TeamFleet, RefusalsAreLoggedOnceInAWhile)
{
	run(6000);
	(void)press("limited", 2000, 5);
	ASSERT_GT(ended.size(), 1000U);
	for (const auto &vm : vms) {
		const auto &events = vm.second.events;
		auto found = events.find("team_over_limit");

		EXPECT_LE(found != events.end() ? found->second : 0, 21);
		EXPECT_EQ(0U, events.count("request_refused"));
	}
}

/** Reads a configuration "VERSION": from 8 on, the team has a limit. */
bool
read_with_later_limit(void *ctx, const jj_bytes_t *object, jj_routes_t *routes,
    char *why, size_t why_size)
{
	jj_team_entry_t team = {};

	if (!read_routes(ctx, object, routes, why, why_size))
		return false;
	routes->teams = jj_teams_create();
	team.usable = true;
	jj_name_set(&team.name, "ice");
	team.priority = routes->version < 8 ? 3 : 1;
	team.rate_per_s = routes->version < 8 ? 0 : 1;
	team.burst = 1;
	(void)jj_teams_add(routes->teams, &team);
	return true;
}

class TeamVersions : public GatewayFleet
{
      protected:
	TeamVersions() : GatewayFleet(1, 1, read_with_later_limit)
	{
		see("verona-1", 2, "servers/s1", "verona ready places=90");
	}
	/** Begins requests by a version; returns how many are in progress. */
	size_t
	begin_by(const jj_routes_t *version, uint32_t priority, int count)
	{
		jj_gateway_t *gateway = vms["verona-1"].gateway;
		jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);
		size_t begun = 0;

		for (int i = 0; i < count; i++) {
			jj_gateway_request_t request = {};
			const jj_gateway_entry_t *entry;

			request.request = ++last;
			request.host = "h";
			request.path = "/online/1";
			request.routes = version;
			jj_name_set(&request.team, "ice");
			request.budget_ms = 4000;
			request.fingerprint = last;
			jj_gateway_begin(gateway, &request, now, &out);
			entry = jj_gateway_find_entry(gateway, last);
			if (entry == nullptr)
				continue;
			begun++;
			EXPECT_EQ(priority, entry->priority);
		}
		carry_out("verona-1", &out);
		return begun;
	}
};

/* Guards against a team of one version with the limit of another. */
TEST_F(TeamVersions, LimitAndPriorityAreOfTheCallsVersion)
{
	const jj_routes_t *before =
	    jj_routes_retain(jj_gateway_routes(vms["verona-1"].gateway));

	see_config("verona-1", 8);
	ASSERT_EQ(8U, version_of("verona-1"));
	EXPECT_EQ(20U, begin_by(before, 3, 20));
	EXPECT_GT(
	    20U, begin_by(jj_gateway_routes(vms["verona-1"].gateway), 1, 20));
	jj_routes_release(before);
}

} // namespace
