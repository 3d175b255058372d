/**
 * @file route_test.cc
 * @brief How hosts and paths match routes, and how weights share requests.
 */
#include <random>
#include <string>

#include <strings.h>

#include <gtest/gtest.h>

extern "C" {
#include "core/route.h"
}

namespace
{

/** A table of routes; owns them. */
class Table
{
      public:
	jj_routes_t routes = {};

	~Table()
	{
		jj_routes_clear(&routes);
	}
	void
	add(const char *name, const char *host, const char *prefix)
	{
		jj_route_t route = {};

		jj_name_set(&route.name, name);
		route.host = const_cast<char *>(host);
		route.prefix = const_cast<char *>(prefix);
		jj_routes_add(&routes, &route);
	}
};

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
	Table table;

	table.add("all", "a.example", "/");
	table.add("one", "a.example", "/x/");
	table.add("two", "a.example", "/x/y/");
	table.add("other", "b.example", "/x/y/z/");
	table.add("later", "a.example", "/x/");
	jj_routes_build_index(&table.routes);
	const jj_route_t *found =
	    jj_routes_match(&table.routes, GetParam().host, GetParam().path);

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

/**
 * The first of the longest matching prefixes, found by a scan of all routes.
 */
const jj_route_t *
match_by_scan(
    const jj_routes_t &routes, const char *host, const std::string &path)
{
	std::string plain = path.substr(0, path.find_first_of("?#"));
	const jj_route_t *best = nullptr;

	for (size_t i = 0; i < routes.route_count; i++) {
		const jj_route_t *route = &routes.routes[i];
		std::string prefix = route->prefix;

		if (strcasecmp(route->host, host) == 0 &&
		    plain.compare(0, prefix.size(), prefix) == 0 &&
		    (best == nullptr || prefix.size() > strlen(best->prefix)))
			best = route;
	}
	return best;
}

/* Guards against an index that finds other routes than a scan does. */
TEST(Route, IndexAgreesWithAScan)
{
	const char *const hosts[] = {"h", "H", "h.x", "h.x:80", "", "\xc3\x89"};
	std::mt19937 random(7);
	auto word = [&random](size_t most) {
		std::string text = "/";

		for (size_t size = random() % most; size > 0; size--)
			text += "/ab"[random() % 3];
		return text;
	};
	int found = 0;

	for (int round = 0; round < 2000; round++) {
		Table table;

		for (size_t routes = random() % 12; routes > 0; routes--) {
			std::string path = word(5) + "/";

			table.add(std::to_string(routes).c_str(),
			    hosts[random() % 6], path.c_str());
		}
		jj_routes_build_index(&table.routes);
		const jj_routes_t *shared = jj_routes_share(&table.routes);
		jj_routes_release(jj_routes_retain(shared));
		for (int look = 0; look < 20; look++) {
			const char *host = hosts[random() % 6];
			std::string path = word(8);

			if (random() % 3 == 0)
				path += "?/a/";
			const jj_route_t *expected =
			    match_by_scan(*shared, host, path);
			EXPECT_EQ(expected,
			    jj_routes_match(shared, host, path.c_str()))
			    << host << path;
			found += expected != nullptr;
		}
		jj_routes_release(shared);
	}
	EXPECT_LT(1000, found);
}

TEST(Route, SharesRequestsByWeight)
{
	const jj_name_t services[] = {{"s0"}, {"s1"}, {"s2"}};
	jj_route_t route = {};
	int counts[3] = {};

	jj_route_add_backend(&route, &services[0], 90);
	jj_route_add_backend(&route, &services[1], 0);
	jj_route_add_backend(&route, &services[2], 10);
	for (uint64_t i = 0; i < 1000; i++)
		counts[jj_route_pick(&route, i)->text[1] - '0']++;
	EXPECT_EQ(900, counts[0]);
	EXPECT_EQ(0, counts[1]);
	EXPECT_EQ(100, counts[2]);
	jj_route_clear(&route);
}

TEST(Route, KnowsWhatMayRunAgain)
{
	jj_route_t route = {};

	route.kind = JJ_ROUTE_IDEMPOTENT;
	EXPECT_TRUE(jj_route_is_repeatable(&route));
	route.kind = JJ_ROUTE_NON_IDEMPOTENT;
	EXPECT_FALSE(jj_route_is_repeatable(&route));
	route.kind = JJ_ROUTE_STREAM;
	EXPECT_FALSE(jj_route_is_repeatable(&route));
	route.resumable = true;
	EXPECT_TRUE(jj_route_is_repeatable(&route));
}

} // namespace
