/**
 * @file teams_test.cc
 * @brief Teams of configurations: sound ones, and unsound ones among them.
 */
#include <string>

#include <gtest/gtest.h>

extern "C" {
#include "platform/parts.h"
}

namespace
{

/** A configuration with one route and that value of its teams. */
bool
read_teams(const std::string &teams, jj_routes_t *routes)
{
	std::string text = R"({"version":7,"routes":[{"name":"r","host":"h",)"
			   R"("pathPrefix":"/r/","kind":"safe","service":"s",)"
			   R"("allowAnonymous":true}])" +
	    (teams.empty() ? "" : R"(,"tenants":)" + teams) + "}";
	jj_bytes_t object = jj_bytes_copy(text.data(), text.size());
	char why[200] = "";
	bool valid = jj_platform_read_routes(&object, routes, why, sizeof(why));

	jj_bytes_free(&object);
	return valid;
}

struct KeyCase {
	const char *name;
	const char *teams; /**< as the operator writes them */
	const char *key;
	jj_access_t access;
	const char *team; /**< nullptr: none */
	const char *problem; /**< part of the log's text; "": none */
};

class ConfigTeams : public ::testing::TestWithParam<KeyCase>
{
};

/* Guards against an unsound team that takes sound ones, or routes, with it. */
TEST_P(ConfigTeams, AreReadAsFarAsTheyAreSound)
{
	const KeyCase &row = GetParam();
	const jj_team_entry_t *team = nullptr;
	const char *problem;
	jj_routes_t routes;

	ASSERT_TRUE(read_teams(row.teams, &routes));
	EXPECT_EQ(1U, routes.route_count);
	EXPECT_TRUE(routes.routes[0].anonymous);
	EXPECT_EQ(
	    row.access, jj_teams_check(routes.teams, false, row.key, 1, &team));
	EXPECT_STREQ(row.team, team != nullptr ? team->name.text : nullptr);
	(void)jj_teams_problems(routes.teams, &problem);
	EXPECT_EQ(
	    std::string(row.problem).empty(), std::string(problem).empty())
	    << problem;
	EXPECT_NE(std::string::npos, std::string(problem).find(row.problem))
	    << problem;
	jj_routes_clear(&routes);
}

INSTANTIATE_TEST_SUITE_P(Teams, ConfigTeams,
    ::testing::Values(
	KeyCase{"Absent", "", "k", JJ_ACCESS_GRANTED, nullptr, ""},
	KeyCase{"None", "[]", "k", JJ_ACCESS_DENIED, nullptr, ""},
	KeyCase{"Null", "null", "k", JJ_ACCESS_DENIED, nullptr, ""},
	KeyCase{"NoList", "{}", "k", JJ_ACCESS_DENIED, nullptr, ""},
	KeyCase{"Usual", R"([{"name":"a","apiKeys":["k"],"ratePerS":5}])", "k",
	    JJ_ACCESS_GRANTED, "a", ""},
	KeyCase{"KeysFirst", R"([{"apiKeys":["k"],"name":"a"}])", "k",
	    JJ_ACCESS_GRANTED, "a", ""},
	KeyCase{"Nested", R"([{"name":"a","apiKeys":[["k"],{"x":"k"}]}])", "k",
	    JJ_ACCESS_DENIED, nullptr, ""},
	KeyCase{"NegativeRate",
	    R"([{"name":"a","apiKeys":["k"],"ratePerS":-1}])", "k",
	    JJ_ACCESS_UNCLEAR, nullptr, "team=a field=rate value=-1 bound="},
	KeyCase{"NegativeBurst", R"([{"name":"a","apiKeys":["k"],"burst":-1}])",
	    "k", JJ_ACCESS_UNCLEAR, nullptr, "team=a field=burst"},
	KeyCase{"NegativePriority",
	    R"([{"name":"a","apiKeys":["k"],"priority":-1}])", "k",
	    JJ_ACCESS_GRANTED, "a", "team=a field=priority"},
	KeyCase{"OtherIsUnsound",
	    R"([{"name":"b","apiKeys":["l"],"ratePerS":-1},)"
	    R"({"name":"a","apiKeys":["k"]}])",
	    "k", JJ_ACCESS_GRANTED, "a", "team=b"},
	KeyCase{"NameIsNoHeaderValue",
	    R"([{"name":"a\r\nX: b","apiKeys":["k"]}])", "k", JJ_ACCESS_UNCLEAR,
	    nullptr, "field=name"},
	KeyCase{"NoName", R"([{"apiKeys":["k"]}])", "k", JJ_ACCESS_UNCLEAR,
	    nullptr, "field=name"},
	KeyCase{"SharedKey",
	    R"([{"name":"a","apiKeys":["k"]},{"name":"b","apiKeys":["k"]}])",
	    "k", JJ_ACCESS_UNCLEAR, nullptr, "field=key"},
	KeyCase{"TwoOfAName",
	    R"([{"name":"a","apiKeys":["x"]},{"name":"a","apiKeys":["k"]}])",
	    "k", JJ_ACCESS_GRANTED, "a", "field=name"}),
    [](const auto &info) { return std::string(info.param.name); });

/* Guards against limits that are read from another field. */
TEST(ConfigTeamLimits, AreRead)
{
	jj_routes_t routes;
	const jj_team_entry_t *team;

	ASSERT_TRUE(read_teams(
	    R"([{"name":"a","ratePerS":9.5,"burst":20,"priority":2},)"
	    R"({"name":"b"}])",
	    &routes));
	team = jj_teams_find(routes.teams, "a");
	ASSERT_NE(nullptr, team);
	EXPECT_EQ(9.5, team->rate_per_s);
	EXPECT_EQ(20, team->burst);
	EXPECT_EQ(2U, team->priority);
	team = jj_teams_find(routes.teams, "b");
	ASSERT_NE(nullptr, team);
	EXPECT_EQ(0, team->rate_per_s);
	EXPECT_EQ(JJ_TEAM_PRIORITY_NONE, team->priority);
	jj_routes_clear(&routes);
}

} // namespace
