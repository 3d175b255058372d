/**
 * @file route_test.cc
 * @brief Hosts and paths find their route; weights share it out.
 */
#include <string>
#include <vector>

#include <gtest/gtest.h>

extern "C" {
#include "core/route.h"
}

namespace
{

jj_route_t
make_route(const char *name, const char *host, const char *prefix)
{
	jj_route_t route = {};

	jj_name_set(&route.name, name);
	snprintf(route.host, sizeof(route.host), "%s", host);
	snprintf(route.prefix, sizeof(route.prefix), "%s", prefix);
	return route;
}

struct MatchCase {
	const char *name;
	const char *host;
	const char *path;
	const char *route; /**< nullptr: none */
};

class RouteMatch : public ::testing::TestWithParam<MatchCase>
{
};

TEST_P(RouteMatch, IsTheLongestPrefix)
{
	std::vector<jj_route_t> list = {make_route("all", "a.example", "/"),
	    make_route("one", "a.example", "/x/"),
	    make_route("two", "a.example", "/x/y/"),
	    make_route("other", "b.example", "/x/y/z/")};
	jj_routes_t routes = {1, list.data(), list.size()};
	const jj_route_t *found =
	    jj_routes_match(&routes, GetParam().host, GetParam().path);

	if (GetParam().route == nullptr)
		EXPECT_EQ(nullptr, found);
	else
		EXPECT_STREQ(GetParam().route, found->name.text);
}

INSTANTIATE_TEST_SUITE_P(Paths, RouteMatch,
    ::testing::Values(MatchCase{"Root", "a.example", "/", "all"},
	MatchCase{"Short", "a.example", "/x/1", "one"},
	MatchCase{"Long", "a.example", "/x/y/1", "two"},
	MatchCase{"NoSlash", "a.example", "/x/y", "one"},
	MatchCase{"Query", "a.example", "/x?p=/x/y/", "all"},
	MatchCase{"HostCase", "A.Example", "/x/", "one"},
	MatchCase{"OtherHost", "b.example", "/x/y/", nullptr},
	MatchCase{"OtherHostWhole", "b.example", "/x/y/z/", "other"},
	MatchCase{"NoHost", "c.example", "/", nullptr}),
    [](const auto &info) { return std::string(info.param.name); });

TEST(Route, SharesRequestsByWeight)
{
	jj_route_t route = make_route("split", "a", "/");
	int counts[3] = {};

	route.backend_count = 3;
	jj_name_set(&route.backends[0].service, "s0");
	jj_name_set(&route.backends[1].service, "s1");
	jj_name_set(&route.backends[2].service, "s2");
	route.backends[0].weight = 90;
	route.backends[1].weight = 0;
	route.backends[2].weight = 10;
	for (uint64_t i = 0; i < 1000; i++)
		counts[jj_route_pick(&route, i)->text[1] - '0']++;
	EXPECT_EQ(900, counts[0]);
	EXPECT_EQ(0, counts[1]);
	EXPECT_EQ(100, counts[2]);
}

TEST(Route, KnowsWhatMayRunAgain)
{
	jj_route_t route = {};

	route.kind = JJ_ROUTE_SAFE;
	EXPECT_TRUE(jj_route_is_repeatable(&route));
	route.kind = JJ_ROUTE_ONCE;
	EXPECT_FALSE(jj_route_is_repeatable(&route));
	route.kind = JJ_ROUTE_STREAM;
	EXPECT_FALSE(jj_route_is_repeatable(&route));
	route.resumable = true;
	EXPECT_TRUE(jj_route_is_repeatable(&route));
}

} // namespace
