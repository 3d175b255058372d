/**
 * @file team_test.cc
 * @brief Who a caller is: keys, unsound teams, scopes of jobs.
 */
#include <chrono>
#include <string>
#include <vector>

#include <gtest/gtest.h>

extern "C" {
#include "core/team/team.h"
}

namespace
{

uint32_t
add(jj_teams_t *teams, const std::string &name,
    const std::vector<std::string> &keys, bool usable = true)
{
	jj_team_entry_t team = {};

	jj_name_set(&team.name, name.c_str());
	team.usable = usable;
	uint32_t number = jj_teams_add(teams, &team);
	for (const std::string &key : keys)
		jj_teams_add_key(teams, number, key.data(), key.size());
	return number;
}

struct AccessCase {
	const char *name;
	bool has_teams;
	bool optional;
	const char *key; /**< nullptr: no such header */
	size_t count;
	jj_access_t access;
	const char *team; /**< nullptr: none */
};

class TeamAccess : public ::testing::TestWithParam<AccessCase>
{
};

/* Guards against a caller that gets another team's rights, or any by luck. */
TEST_P(TeamAccess, FollowsTheKey)
{
	const AccessCase &row = GetParam();
	jj_teams_t *teams = row.has_teams ? jj_teams_create() : nullptr;
	const jj_team_entry_t *team = nullptr;

	if (teams != nullptr) {
		add(teams, "ice", {"k1", "k2", "shared"});
		add(teams, "fish", {"k3", "shared"});
		add(teams, "broken", {"k4"}, false);
	}
	EXPECT_EQ(row.access,
	    jj_teams_check(teams, row.optional, row.key, row.count, &team));
	EXPECT_STREQ(row.team, team != nullptr ? team->name.text : nullptr);
	jj_teams_release(teams);
}

INSTANTIATE_TEST_SUITE_P(Keys, TeamAccess,
    ::testing::Values(AccessCase{"NoTeams", false, false, nullptr, 0,
			  JJ_ACCESS_GRANTED, nullptr},
	AccessCase{
	    "NoTeamsKey", false, false, "k1", 1, JJ_ACCESS_GRANTED, nullptr},
	AccessCase{"First", true, false, "k1", 1, JJ_ACCESS_GRANTED, "ice"},
	AccessCase{"Second", true, false, "k2", 1, JJ_ACCESS_GRANTED, "ice"},
	AccessCase{"Other", true, false, "k3", 1, JJ_ACCESS_GRANTED, "fish"},
	AccessCase{
	    "Missing", true, false, nullptr, 0, JJ_ACCESS_DENIED, nullptr},
	AccessCase{"Empty", true, false, "", 1, JJ_ACCESS_DENIED, nullptr},
	AccessCase{"Unknown", true, false, "k9", 1, JJ_ACCESS_DENIED, nullptr},
	AccessCase{
	    "OtherCase", true, false, "K1", 1, JJ_ACCESS_DENIED, nullptr},
	AccessCase{"Prefix", true, false, "k", 1, JJ_ACCESS_DENIED, nullptr},
	AccessCase{"WithScheme", true, false, "Bearer k1", 1, JJ_ACCESS_DENIED,
	    nullptr},
	AccessCase{
	    "TwoInOne", true, false, "k1, k1", 1, JJ_ACCESS_DENIED, nullptr},
	AccessCase{
	    "TwoHeaders", true, false, "k1", 2, JJ_ACCESS_DENIED, nullptr},
	AccessCase{
	    "OfTwoTeams", true, false, "shared", 1, JJ_ACCESS_UNCLEAR, nullptr},
	AccessCase{
	    "OfUnusable", true, false, "k4", 1, JJ_ACCESS_UNCLEAR, nullptr},
	AccessCase{
	    "OptionalNone", true, true, nullptr, 0, JJ_ACCESS_GRANTED, nullptr},
	AccessCase{
	    "OptionalValid", true, true, "k3", 1, JJ_ACCESS_GRANTED, "fish"},
	AccessCase{
	    "OptionalUnknown", true, true, "k9", 1, JJ_ACCESS_GRANTED, nullptr},
	AccessCase{"OptionalTwoHeaders", true, true, "k1", 2, JJ_ACCESS_GRANTED,
	    nullptr}),
    [](const auto &info) { return std::string(info.param.name); });

struct ProblemCase {
	const char *name;
	std::vector<std::pair<std::string, std::vector<std::string>>> teams;
	size_t problems;
	const char *text; /**< part of the first problem */
};

class TeamProblem : public ::testing::TestWithParam<ProblemCase>
{
};

/* Guards against unsound teams that are dropped without a word. */
TEST_P(TeamProblem, IsCountedAndNamed)
{
	jj_teams_t *teams = jj_teams_create();
	const char *first;

	for (const auto &team : GetParam().teams)
		add(teams, team.first, team.second);
	EXPECT_EQ(GetParam().problems, jj_teams_problems(teams, &first));
	EXPECT_NE(std::string::npos, std::string(first).find(GetParam().text))
	    << first;
	EXPECT_EQ(std::string::npos, std::string(first).find("secret"))
	    << "a key in the log";
	jj_teams_release(teams);
}

INSTANTIATE_TEST_SUITE_P(Teams, TeamProblem,
    ::testing::Values(ProblemCase{"None", {{"a", {"k"}}, {"b", {"l"}}}, 0, ""},
	ProblemCase{"KeyTwiceInATeam", {{"a", {"k", "k"}}}, 0, ""},
	ProblemCase{"EmptyKey", {{"a", {""}}}, 1, "team=a field=key"},
	ProblemCase{"LongKey", {{"a", {std::string(4097, 'k')}}}, 1,
	    "value=\"4097 bytes\""},
	ProblemCase{"KeyOfTwoTeams", {{"a", {"secret"}}, {"b", {"secret"}}}, 1,
	    "team=b field=key"},
	ProblemCase{
	    "TeamTwice", {{"a", {"k"}}, {"a", {"l"}}}, 1, "field=name"}),
    [](const auto &info) { return std::string(info.param.name); });

struct NameCase {
	const char *name;
	const char *text;
	bool valid;
};

class TeamName : public ::testing::TestWithParam<NameCase>
{
};

/* Guards against a name that would end its header and begin another one. */
TEST_P(TeamName, IsAHeaderValueOrNot)
{
	EXPECT_EQ(GetParam().valid, jj_team_is_header_value(GetParam().text));
}

INSTANTIATE_TEST_SUITE_P(Names, TeamName,
    ::testing::Values(NameCase{"Usual", "kaje80", true},
	NameCase{"Inner", "a b", true}, NameCase{"Empty", "", false},
	NameCase{"Leading", " a", false}, NameCase{"Trailing", "a ", false},
	NameCase{"Newline", "a\r\nX: y", false}, NameCase{"Tab", "a\tb", false},
	NameCase{"Utf8", "caf\xc3\xa9", false}),
    [](const auto &info) { return std::string(info.param.name); });

struct PriorityCase {
	const char *name;
	uint32_t route;
	uint32_t team;
	uint32_t priority;
};

class TeamPriority : public ::testing::TestWithParam<PriorityCase>
{
};

/* Guards against a team whose own priority has no effect. */
TEST_P(TeamPriority, GoesBeforeTheRoutes)
{
	jj_team_entry_t team = {};

	team.priority = GetParam().team;
	EXPECT_EQ(
	    GetParam().priority, jj_team_priority(&team, GetParam().route));
	EXPECT_EQ(
	    GetParam().route, jj_team_priority(nullptr, GetParam().route));
}

INSTANTIATE_TEST_SUITE_P(Priorities, TeamPriority,
    ::testing::Values(PriorityCase{"NoneOfItsOwn", 2, JJ_TEAM_PRIORITY_NONE, 2},
	PriorityCase{"Higher", 2, 0, 0}, PriorityCase{"Lower", 0, 3, 3}),
    [](const auto &info) { return std::string(info.param.name); });

/* Guards against a team that finds another team's job under the same id. */
TEST(TeamScope, KeepsJobsApart)
{
	jj_name_t none = {}, a = {}, b = {};
	char plain[128], of_a[128], of_b[128], longer[128], other[128];

	jj_name_set(&a, "ice");
	jj_name_set(&b, "fish");
	jj_team_scope_id(&none, "j1", plain, sizeof(plain));
	jj_team_scope_id(&a, "j1", of_a, sizeof(of_a));
	jj_team_scope_id(&b, "j1", of_b, sizeof(of_b));
	EXPECT_STREQ("j1", plain);
	EXPECT_STRNE(of_a, of_b);
	EXPECT_STRNE(of_a, plain);
	std::string id(120, 'x');
	jj_team_scope_id(&a, (id + "1").c_str(), longer, sizeof(longer));
	jj_team_scope_id(&a, (id + "2").c_str(), other, sizeof(other));
	EXPECT_STRNE(longer, other);
}

/* Guards against a table that stops requests while it is replaced. */
TEST(TeamTable, OfTenThousandIsBuiltInTime)
{
	auto start = std::chrono::steady_clock::now();
	jj_teams_t *teams = jj_teams_create();
	const jj_team_entry_t *team;

	for (int i = 0; i < 10000; i++) {
		std::string name = "team-" + std::to_string(i);

		add(teams, name,
		    {name + "-a", name + "-b", name + "-c", name + "-d"});
	}
	auto took = std::chrono::steady_clock::now() - start;
	EXPECT_LT(std::chrono::duration<double>(took).count(), 0.05);
	ASSERT_EQ(JJ_KEY_VALID, jj_teams_find_key(teams, "team-9999-d", &team));
	EXPECT_STREQ("team-9999", team->name.text);
	EXPECT_EQ(team, jj_teams_find_hash(teams, jj_team_hash("team-9999")));
	jj_teams_release(teams);
}

} // namespace
