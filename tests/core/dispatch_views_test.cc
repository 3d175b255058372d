// Tests of dispatch's views of the servers, which follow changes of the fleet.

#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "core/dispatch.h"
}

namespace
{

jj_name_t
Name(const std::string &text)
{
	jj_name_t name;

	EXPECT_TRUE(jj_name_set(&name, text.c_str()));
	return name;
}

/*
 * A server restarts, or the list says that it is leaving, while nothing else
 * changes. The change was not recognised as one, so the views were not
 * refreshed: callers of a service with one server were refused for seconds, or
 * sent to a draining server.
 */
class DispatchViews : public ::testing::Test
{
      protected:
	DispatchViews()
	{
		jj_member_settings_t member_settings = {};
		jj_quarantine_settings_t quarantine_settings = {
		    2, 600000, 3600000, 1024};
		jj_config_settings_t config_settings = {};
		jj_dispatch_settings_t settings = {};

		member_settings.name = Name("vm-a");
		member_settings.domain = Name("sala-a");
		member_settings.heartbeat_ms = 500;
		member_settings.suspect_ms = 2000;
		member = jj_member_create(&member_settings);
		jj_member_set_state(member, JJ_VM_SERVING);
		fleet = jj_fleet_create(&member_settings.domain);
		quarantine = jj_quarantine_create(&quarantine_settings);
		config = jj_config_create(&config_settings);
		TAILQ_INIT(&out);
		SetConfig();
		settings.name = member_settings.name;
		settings.domain = member_settings.domain;
		settings.retry_share = 0.1;
		settings.retry_floor = 10;
		settings.batch_start = 2;
		dispatch = jj_dispatch_create(
		    &settings, config, fleet, member, quarantine);
	}
	~DispatchViews() override
	{
		jj_actions_clear(&out);
		jj_dispatch_destroy(dispatch);
		jj_quarantine_destroy(quarantine);
		jj_config_destroy(config);
		jj_fleet_destroy(fleet);
		jj_member_destroy(member);
	}
	void
	SetConfig()
	{
		jj_bytes_t object = jj_bytes_from_text(
		    "{\"version\":1,\"previous\":0,\"operator\":\"o\","
		    "\"writer\":\"w\",\"operation\":1,\"recent\":[],"
		    "\"document\":{\"services\":{\"s\":{\"kind\":\"model\","
		    "\"idempotent\":true,\"timeout_ms\":5000,"
		    "\"deadline_ms\":10000,\"attempts\":3,\"trade\":0,"
		    "\"queue_limit\":64,\"server_slots\":8}}}}");

		EXPECT_TRUE(jj_config_take(config, &object, &out));
		jj_bytes_free(&object);
	}
	void
	List(const std::string &state, const std::string &domain)
	{
		std::string text = "{\"revision\":1,\"vms\":["
				   "{\"id\":\"near\",\"kind\":\"server\","
				   "\"domain\":\"" +
		    domain +
		    "\",\"address\":\"127.0.0.1:1\",\"service\":\"s\","
		    "\"state\":\"" +
		    state + "\"}," + far + "]}";
		jj_bytes_t json = jj_bytes_from_text(text.c_str());

		EXPECT_TRUE(jj_fleet_take_list(
		    fleet, &json, now, nullptr, nullptr, &out));
		jj_bytes_free(&json);
		Tick();
	}
	void
	Note(const char *server, jj_server_state_t state)
	{
		jj_name_t name = Name(server);
		bool is_news;

		jj_fleet_note_state(
		    fleet, &name, state, 7, now, &out, &is_news);
		Tick();
	}
	void
	Notice(const char *server, jj_server_state_t state)
	{
		jj_server_notice_t notice = {};

		notice.server = Name(server);
		notice.boot = 7;
		notice.state = state;
		jj_fleet_take_notice(fleet, &notice, now);
		Tick();
	}
	void
	Tick()
	{
		now += 100;
		jj_dispatch_tick(dispatch, now, &out);
	}
	// The server that a request is sent to, or "" for none.
	std::string
	Send()
	{
		jj_request_t request = {};
		jj_action_t *action;
		std::string server;

		jj_actions_clear(&out);
		request.request = ++last;
		request.service = Name("s");
		request.team = Name("t");
		request.idempotent = true;
		request.deadline_ms = now + 5000;
		jj_dispatch_begin(dispatch, &request, now, &out);
		TAILQ_FOREACH(action, &out, link)
		{
			if (action->kind == JJ_ACTION_BACKEND_START)
				server = action->body.start.server.text;
		}
		jj_dispatch_cancel(dispatch, last, now, &out);
		return server;
	}

	std::string far =
	    "{\"id\":\"far\",\"kind\":\"server\",\"domain\":\"sala-b\","
	    "\"address\":\"127.0.0.1:2\",\"service\":\"s\","
	    "\"state\":\"live\"}";
	jj_ms_t now = 1000;
	uint64_t last = 0;
	jj_actions_t out;
	jj_member_t *member;
	jj_fleet_t *fleet;
	jj_quarantine_t *quarantine;
	jj_config_t *config;
	jj_dispatch_t *dispatch;
};

TEST_F(DispatchViews, FollowOwnObservations)
{
	List("live", "sala-a");
	EXPECT_EQ(Send(), "near");
	Note("near", JJ_SERVER_DOWN);
	EXPECT_EQ(Send(), "far");
	Note("near", JJ_SERVER_UP);
	EXPECT_EQ(Send(), "near");
}

TEST_F(DispatchViews, FollowNeighboursNotices)
{
	List("live", "sala-a");
	Notice("near", JJ_SERVER_DOWN);
	EXPECT_EQ(Send(), "far");
	Notice("near", JJ_SERVER_UP);
	EXPECT_EQ(Send(), "near");
}

TEST_F(DispatchViews, FollowTheList)
{
	List("live", "sala-a");
	List("leaving", "sala-a");
	EXPECT_EQ(Send(), "far");
	List("live", "sala-a");
	EXPECT_EQ(Send(), "near");
}

/*
 * A server of this domain that was listed after those of other domains got no
 * batch and was in no load report: code that needs only local servers stops at
 * the first remote one. Local servers stay first, in whatever order they
 * arrive.
 */
TEST_F(DispatchViews, FollowAMoveBetweenDomains)
{
	jj_load_t loads[4];

	List("live", "sala-b");
	EXPECT_NE(Send(), "");
	EXPECT_EQ(jj_dispatch_batch_capacity(dispatch, now), 0u);
	EXPECT_EQ(jj_dispatch_loads(dispatch, loads, 4), 0u);
	List("live", "sala-a");
	EXPECT_EQ(Send(), "near");
	EXPECT_EQ(jj_dispatch_batch_capacity(dispatch, now), 2u);
	EXPECT_EQ(jj_dispatch_loads(dispatch, loads, 4), 1u);
	List("live", "sala-b");
	EXPECT_EQ(jj_dispatch_batch_capacity(dispatch, now), 0u);
	EXPECT_EQ(jj_dispatch_loads(dispatch, loads, 4), 0u);
}

} // namespace
