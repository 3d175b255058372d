/**
 * @file fleet_test.cc
 * @brief Which backend servers get work, by own observations, neighbours and
 * lists.
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
		bool changed;

		(void)jj_name_set(&name, server.c_str());
		jj_fleet_note_state(
		    fleet, &name, state, boot, now, &out, &changed);
		return changed;
	}
	void
	notice(
	    const std::string &server, jj_server_state_t state, uint64_t boot)
	{
		jj_server_notice_t report = {};

		(void)jj_name_set(&report.server, server.c_str());
		report.state = state;
		report.boot = boot;
		jj_fleet_take_notice(fleet, &report, now);
	}
	bool
	takes_work(const std::string &server)
	{
		jj_name_t name;

		(void)jj_name_set(&name, server.c_str());
		return jj_fleet_takes_work(fleet, &name, now);
	}

	jj_fleet_t *fleet;
	jj_actions_t out;
	jj_ms_t now = 1000;
};

/*
 * A server drains: it refuses new work with the drain header and finishes its
 * running requests. The platform's list still has it as live, and its answers
 * still arrive; neither may bring it new work.
 */
TEST_F(Fleet, ALeavingServerGetsNoNewWork)
{
	ASSERT_TRUE(list({"s1", "s2"}));
	(void)note("s1", JJ_SERVER_UP, 7);
	EXPECT_TRUE(takes_work("s1"));
	EXPECT_TRUE(note("s1", JJ_SERVER_LEAVING, 7));
	EXPECT_FALSE(takes_work("s1"));
	EXPECT_FALSE(note("s1", JJ_SERVER_LEAVING, 7))
	    << "an unchanged state is not reported again";
	now += 3000;
	ASSERT_TRUE(list({"s1", "s2"}));
	(void)note("s1", JJ_SERVER_UP, 7);
	notice("s1", JJ_SERVER_UP, 7);
	EXPECT_FALSE(takes_work("s1"));
	(void)note("s1", JJ_SERVER_DOWN, 7);
	(void)note("s1", JJ_SERVER_UP, 7);
	EXPECT_FALSE(takes_work("s1"))
	    << "a broken connection does not end its leaving";
	EXPECT_TRUE(note("s1", JJ_SERVER_UP, 8));
	EXPECT_TRUE(takes_work("s1")) << "it has restarted";
}

TEST_F(Fleet, AServerThatIsListedAsLeavingGetsNoWork)
{
	ASSERT_TRUE(list({"s1", "s2"}, "s1"));
	(void)note("s1", JJ_SERVER_UP, 7);
	EXPECT_FALSE(takes_work("s1"));
	EXPECT_TRUE(takes_work("s2"));
}

TEST_F(Fleet, NoticesOfNeighbours)
{
	const struct {
		const char *label;
		bool own_sign_fresh;
		jj_server_state_t state;
		uint64_t boot;
		bool takes_work;
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

		(void)jj_name_set(&server.name, row.label);
		jj_fleet_add_server(fleet, &server);
		(void)note(row.label, JJ_SERVER_UP, 7);
		now += row.own_sign_fresh ? 100 : 60000;
		notice(row.label, row.state, row.boot);
		EXPECT_EQ(takes_work(row.label), row.takes_work) << row.label;
	}
}

TEST_F(Fleet, ProbeIntervalsOfAFailedServerDouble)
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
	EXPECT_FALSE(takes_work("s1"));
	(void)note("s1", JJ_SERVER_UP, 7);
	EXPECT_TRUE(takes_work("s1"));
}

/*
 * The platform's list is unavailable, empty, incomplete or malformed while all
 * servers are up. If that counted as a failure of all servers, every request
 * would be refused. A single server that is missing for long is taken as gone.
 */
TEST_F(Fleet, AWrongListIsNoFailureOfAllServers)
{
	const struct {
		const char *label;
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
			EXPECT_EQ(take(row.json), row.taken) << row.label;
			now += 2000;
		}
		for (const char *server : {"s1", "s2", "s3", "s4"})
			EXPECT_TRUE(takes_work(server)) << row.label;
	}
}

TEST_F(Fleet, AServerMissingFromSeveralListsIsTakenAsGone)
{
	ASSERT_TRUE(list({"s1", "s2", "s3"}));
	ASSERT_TRUE(list({"s1", "s2"}));
	ASSERT_TRUE(list({"s1", "s2"}));
	ASSERT_TRUE(list({"s1", "s2"}));
	EXPECT_TRUE(takes_work("s3")) << "three lists in a burst";
	now += 6000;
	ASSERT_TRUE(list({"s1", "s2"}));
	EXPECT_FALSE(takes_work("s3"));
	(void)note("s3", JJ_SERVER_UP, 7);
	EXPECT_TRUE(takes_work("s3")) << "its own sign of life takes priority";
	ASSERT_TRUE(list({"s1", "s2", "s3"}));
	for (int i = 0; i < 10; i++) {
		ASSERT_TRUE(list({"s1", "s2"}));
		EXPECT_TRUE(takes_work("s3")) << "and still does";
		now += 2000;
		(void)note("s3", JJ_SERVER_UP, 7);
	}
}

} // namespace
