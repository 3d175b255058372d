/**
 * @file fleet_test.cc
 * @brief Which backend servers take work: own signs, neighbours, lists.
 */
#include <string>
#include <vector>

#include <gtest/gtest.h>

extern "C" {
#include "core/fleet.h"
}

namespace
{

class Fleet : public ::testing::Test
{
      protected:
	Fleet()
	{
		jj_name_t domain;

		(void)jj_name_set(&domain, "sala-a");
		fleet = jj_fleet_create(&domain);
		TAILQ_INIT(&out);
	}
	~Fleet() override
	{
		jj_actions_clear(&out);
		jj_fleet_destroy(fleet);
	}
	bool
	list(const std::vector<std::string> &servers,
	    const std::string &leaving = "")
	{
		std::string json = "{\"revision\":1,\"vms\":[";

		for (size_t i = 0; i < servers.size(); i++)
			json += std::string(i > 0 ? "," : "") + "{\"id\":\"" +
			    servers[i] +
			    "\",\"kind\":\"server\",\"domain\":\"sala-a\","
			    "\"address\":\"127.0.0.1:1\",\"service\":\"n\","
			    "\"state\":\"" +
			    (servers[i] == leaving ? "leaving" : "live") +
			    "\"}";
		return take(json + "]}");
	}
	bool
	take(const std::string &json)
	{
		jj_bytes_t bytes = jj_bytes_from_text(json.c_str());
		bool taken = jj_fleet_take_list(
		    fleet, &bytes, now, nullptr, nullptr, &out);

		jj_bytes_free(&bytes);
		return taken;
	}
	bool
	note(const std::string &server, jj_server_state_t state, uint64_t boot)
	{
		jj_name_t name;
		bool news;

		(void)jj_name_set(&name, server.c_str());
		jj_fleet_note(fleet, &name, state, boot, now, &out, &news);
		return news;
	}
	void
	notice(
	    const std::string &server, jj_server_state_t state, uint64_t boot)
	{
		jj_server_notice_t told = {};

		(void)jj_name_set(&told.server, server.c_str());
		told.state = state;
		told.boot = boot;
		jj_fleet_take_notice(fleet, &told, now);
	}
	bool
	works(const std::string &server)
	{
		jj_name_t name;

		(void)jj_name_set(&name, server.c_str());
		return jj_fleet_takes_work(fleet, &name, now);
	}

	jj_fleet_t *fleet;
	jj_actions_t out;
	jj_ms_t now = 1000;
};

/* A server drains: it refuses new work with the drain header and finishes
 * what it has. The platform's list still says live, and its answers still
 * come in; neither may bring new work to it. */
TEST_F(Fleet, ALeavingServerGetsNoNewWork)
{
	ASSERT_TRUE(list({"s1", "s2"}));
	(void)note("s1", JJ_SERVER_UP, 7);
	EXPECT_TRUE(works("s1"));
	EXPECT_TRUE(note("s1", JJ_SERVER_LEAVING, 7));
	EXPECT_FALSE(works("s1"));
	EXPECT_FALSE(note("s1", JJ_SERVER_LEAVING, 7)) << "no news twice";
	now += 3000;
	ASSERT_TRUE(list({"s1", "s2"}));
	(void)note("s1", JJ_SERVER_UP, 7);
	notice("s1", JJ_SERVER_UP, 7);
	EXPECT_FALSE(works("s1"));
	(void)note("s1", JJ_SERVER_DOWN, 7);
	(void)note("s1", JJ_SERVER_UP, 7);
	EXPECT_FALSE(works("s1")) << "a broken connection is no return";
	EXPECT_TRUE(note("s1", JJ_SERVER_UP, 8));
	EXPECT_TRUE(works("s1")) << "another run";
}

TEST_F(Fleet, TheListSaysLeaving)
{
	ASSERT_TRUE(list({"s1", "s2"}, "s1"));
	(void)note("s1", JJ_SERVER_UP, 7);
	EXPECT_FALSE(works("s1"));
	EXPECT_TRUE(works("s2"));
}

TEST_F(Fleet, NoticesOfNeighbours)
{
	const struct {
		const char *story;
		bool own_sign_fresh;
		jj_server_state_t state;
		uint64_t boot;
		bool works;
	} cases[] = {
	    {"leaving", false, JJ_SERVER_LEAVING, 7, false},
	    {"leaving, though it answers us", true, JJ_SERVER_LEAVING, 7,
		false},
	    {"leaving, an earlier run", true, JJ_SERVER_LEAVING, 6, true},
	    {"down", false, JJ_SERVER_DOWN, 7, false},
	    {"down, but it answers us", true, JJ_SERVER_DOWN, 7, true},
	    {"up", false, JJ_SERVER_UP, 7, true},
	};

	for (const auto &row : cases) {
		jj_server_t server = {};

		(void)jj_name_set(&server.name, row.story);
		jj_fleet_learn(fleet, &server);
		(void)note(row.story, JJ_SERVER_UP, 7);
		now += row.own_sign_fresh ? 100 : 60000;
		notice(row.story, row.state, row.boot);
		EXPECT_EQ(works(row.story), row.works) << row.story;
	}
}

TEST_F(Fleet, ProbesOfADeadServerGrowApart)
{
	jj_name_t name;
	jj_ms_t waits[] = {500, 1000, 2000, 4000};

	(void)jj_name_set(&name, "s1");
	ASSERT_TRUE(list({"s1"}));
	for (jj_ms_t wait : waits) {
		(void)note("s1", JJ_SERVER_DOWN, 7);
		(void)note("s1", JJ_SERVER_DOWN, 7);
		EXPECT_EQ(
		    jj_fleet_find(fleet, &name)->down_until_ms, now + wait);
		now += wait;
	}
	EXPECT_FALSE(works("s1"));
	(void)note("s1", JJ_SERVER_UP, 7);
	EXPECT_TRUE(works("s1"));
}

/* The platform's list is out, empty, cut short or malformed while all servers
 * are well. Users would see every request refused if that were taken for a
 * mass death. One server that is missing for long is held for gone. */
TEST_F(Fleet, AWrongListIsNoMassDeath)
{
	const struct {
		const char *story;
		const char *json;
		bool taken;
	} cases[] = {
	    {"empty body", "", false},
	    {"not JSON", "{\"vms\":[", false},
	    {"no list", "{\"revision\":3}", false},
	    {"a line without an address",
		"{\"vms\":[{\"id\":\"x\",\"kind\":\"server\"}]}", false},
	    {"empty list", "{\"revision\":3,\"vms\":[]}", true},
	    {"one of four",
		"{\"vms\":[{\"id\":\"s1\",\"kind\":\"server\",\"domain\":"
		"\"sala-a\",\"address\":\"a\",\"state\":\"live\"}]}",
		true},
	};

	ASSERT_TRUE(list({"s1", "s2", "s3", "s4"}));
	for (const auto &row : cases) {
		for (int i = 0; i < 20; i++) {
			EXPECT_EQ(take(row.json), row.taken) << row.story;
			now += 2000;
		}
		for (const char *server : {"s1", "s2", "s3", "s4"})
			EXPECT_TRUE(works(server)) << row.story;
	}
}

TEST_F(Fleet, AServerMissingFromSeveralListsIsHeldForGone)
{
	ASSERT_TRUE(list({"s1", "s2", "s3"}));
	ASSERT_TRUE(list({"s1", "s2"}));
	ASSERT_TRUE(list({"s1", "s2"}));
	ASSERT_TRUE(list({"s1", "s2"}));
	EXPECT_TRUE(works("s3")) << "three lists in a burst";
	now += 6000;
	ASSERT_TRUE(list({"s1", "s2"}));
	EXPECT_FALSE(works("s3"));
	(void)note("s3", JJ_SERVER_UP, 7);
	EXPECT_TRUE(works("s3")) << "its own sign goes first";
	ASSERT_TRUE(list({"s1", "s2", "s3"}));
	for (int i = 0; i < 10; i++) {
		ASSERT_TRUE(list({"s1", "s2"}));
		EXPECT_TRUE(works("s3")) << "and goes on doing so";
		now += 2000;
		(void)note("s3", JJ_SERVER_UP, 7);
	}
}

} // namespace
