/**
 * @file mirror_test.cc
 * @brief A table kept up to date by list and watch, or by relayed polls.
 */
#include <map>
#include <string>

#include <gtest/gtest.h>

extern "C" {
#include "core/mirror.h"
}

namespace
{

/** A mirror and its table. */
class Mirror : public ::testing::Test
{
      protected:
	jj_mirror_t mirror;
	jj_actions_t out;
	jj_ms_t now = 1000;
	std::map<std::string, uint64_t> table;
	std::map<std::string, uint64_t> listing;
	int relayed = 0;
	std::vector<std::string> events; /**< log lines, NAME TEXT */
	uint64_t token = 0; /**< of the last call */

	Mirror()
	{
		jj_mirror_settings_t settings = {
		    JJ_OWNER_GATEWAY, 5, "s/", 20000, 400, 100, 800, 600, 1400};
		jj_mirror_port_t port = {this, begin, take, drop, end, relay};

		TAILQ_INIT(&out);
		jj_mirror_init(&mirror, &settings, &port);
		jj_mirror_set_active(&mirror, true, now);
	}
	~Mirror() override
	{
		jj_actions_clear(&out);
	}
	static Mirror *
	self(void *ctx)
	{
		return static_cast<Mirror *>(ctx);
	}
	static void
	begin(void *ctx)
	{
		self(ctx)->table.clear();
	}
	static void
	take(void *ctx, const jj_platform_item_t *item)
	{
		self(ctx)->table[item->key] = item->version;
	}
	static void
	drop(void *ctx, const char *key)
	{
		self(ctx)->table.erase(key);
	}
	static void
	end(void *, bool, jj_ms_t)
	{
	}
	static void
	relay(void *ctx, uint64_t, uint64_t, uint64_t,
	    const jj_platform_item_t *, size_t)
	{
		self(ctx)->relayed++;
	}
	/**
	 * The call that a tick starts, as "list AFTER" or "watch SINCE WAIT".
	 */
	std::string
	tick(jj_ms_t ms)
	{
		std::string call_text;

		now += ms;
		jj_mirror_tick(&mirror, now, &out);
		jj_action_t *action = TAILQ_FIRST(&out);
		if (action == nullptr)
			return "";
		const jj_platform_call_t &call = action->body.platform;
		token = call.token;
		call_text = call.op == JJ_PLATFORM_LIST
		    ? std::string("list ") + call.after
		    : "watch " + std::to_string(call.version) + " " +
			std::to_string(call.wait_ms);
		jj_actions_clear(&out);
		return call_text;
	}
	static jj_platform_item_t
	item(const char *key, uint64_t version, bool deletion = false)
	{
		jj_platform_item_t made = {};

		snprintf(made.key, sizeof(made.key), "%s", key);
		made.version = version;
		made.deleted = deletion;
		return made;
	}
	void
	answer(jj_platform_op_t op, jj_platform_outcome_t outcome,
	    uint64_t version, std::vector<jj_platform_item_t> items = {},
	    bool more = false)
	{
		jj_actions_t logged = TAILQ_HEAD_INITIALIZER(logged);
		jj_platform_result_t result = {};
		const jj_action_t *action;

		result.token = token;
		result.op = op;
		result.outcome = outcome;
		result.version = version;
		result.items = items.data();
		result.item_count = items.size();
		result.more = more;
		EXPECT_TRUE(
		    jj_mirror_take_result(&mirror, &result, now, &logged));
		TAILQ_FOREACH(action, &logged, link)
		{
			events.push_back(std::string(action->body.event.name) +
			    " " + action->body.event.detail);
		}
		jj_actions_clear(&logged);
	}
	/** Delivers the result of a watch call that another module sent. */
	void
	check(jj_platform_outcome_t outcome, uint64_t version,
	    std::vector<jj_platform_item_t> items = {})
	{
		jj_platform_result_t result = {};

		result.op = JJ_PLATFORM_WATCH;
		result.outcome = outcome;
		result.version = version;
		result.items = items.data();
		result.item_count = items.size();
		jj_mirror_take_check(&mirror, &result, now);
	}
	void
	list(uint64_t version)
	{
		EXPECT_EQ("list ", tick(0));
		answer(JJ_PLATFORM_LIST, JJ_PLATFORM_OK, version,
		    {item("s/a", version)});
	}
};

class MirrorFailure : public Mirror
{
};

TEST_F(Mirror, ListsThenWatches)
{
	EXPECT_EQ("list ", tick(0));
	answer(JJ_PLATFORM_LIST, JJ_PLATFORM_OK, 50, {item("s/a", 3)}, true);
	EXPECT_EQ("list s/a", tick(0));
	answer(JJ_PLATFORM_LIST, JJ_PLATFORM_OK, 60, {item("s/b", 55)});
	EXPECT_EQ(2U, table.size());
	EXPECT_EQ("watch 50 20000", tick(0))
	    << "from the first page on, to see what changed since";
	answer(JJ_PLATFORM_WATCH, JJ_PLATFORM_OK, 70,
	    {item("s/a", 65, true), item("s/c", 70)});
	EXPECT_EQ(0U, table.count("s/a"));
	EXPECT_EQ("", tick(399)) << "delayed, to collect events";
	EXPECT_EQ("watch 70 20000", tick(1));
	answer(JJ_PLATFORM_WATCH, JJ_PLATFORM_OK, 71);
	EXPECT_EQ("watch 71 20000", tick(0)) << "no events: no delay";
}

TEST_F(MirrorFailure, ALostHistoryIsListedAgain)
{
	list(50);
	EXPECT_EQ("watch 50 20000", tick(0));
	answer(JJ_PLATFORM_WATCH, JJ_PLATFORM_GAP, 0);
	EXPECT_EQ("list ", tick(0));
	answer(JJ_PLATFORM_LIST, JJ_PLATFORM_OK, 90, {item("s/z", 80)});
	EXPECT_EQ(1U, table.size());
}

/*
 * Calls that the platform refused at once, or did not understand, were repeated
 * at once: each of nine VMs made 125 calls a second, each with a price.
 */
TEST_F(MirrorFailure, ARefusedCallIsRetriedWithBackoff)
{
	const jj_ms_t waits[] = {100, 200, 400, 800, 800};

	EXPECT_EQ("list ", tick(0));
	for (jj_ms_t wait : waits) {
		answer(JJ_PLATFORM_LIST, JJ_PLATFORM_UNKNOWN, 0);
		EXPECT_EQ("", tick(wait - 1)) << wait;
		EXPECT_EQ("list ", tick(1)) << wait;
	}
	EXPECT_FALSE(jj_mirror_is_current(&mirror));
}

TEST_F(Mirror, ARelayForwardsEachPoll)
{
	jj_mirror_set_duty(&mirror, JJ_MIRROR_RELAY, now);
	list(50);
	EXPECT_EQ("watch 50 600", tick(0));
	answer(JJ_PLATFORM_WATCH, JJ_PLATFORM_OK, 51);
	EXPECT_EQ("watch 51 600", tick(0));
	answer(JJ_PLATFORM_WATCH, JJ_PLATFORM_OK, 52, {item("s/b", 52)});
	EXPECT_EQ(2, relayed);
}

TEST_F(Mirror, AListenerReceivesPollsAndDoesNotPoll)
{
	jj_platform_item_t update = item("s/b", 55);

	jj_mirror_set_duty(&mirror, JJ_MIRROR_LISTENER, now);
	list(50);
	jj_mirror_take_relay(&mirror, 50, 55, &update, 1, now);
	EXPECT_EQ(2U, table.size());
	EXPECT_EQ("", tick(1399));
	jj_mirror_take_relay(&mirror, 55, 56, nullptr, 0, now);
	EXPECT_EQ("", tick(1399));
	EXPECT_EQ(0, relayed);
}

/*
 * The relay of a domain is disconnected or paused. Its listeners receive
 * nothing, and must not use their copy for longer than updates may take: they
 * poll for themselves, from the revision they have.
 */
TEST_F(MirrorFailure, AListenerPollsWhenRelayedPollsStop)
{
	jj_mirror_set_duty(&mirror, JJ_MIRROR_LISTENER, now);
	list(50);
	jj_mirror_take_relay(&mirror, 50, 55, nullptr, 0, now);
	EXPECT_EQ("watch 55 20000", tick(1400));
}

/*
 * A domain was disconnected, and polls of its listeners failed. After the
 * reconnect relayed polls arrive before a listener's next attempt, so that it
 * need not poll. Such a listener counted as disconnected from then on, for
 * ever: it took over no job, not even one that no other VM takes.
 */
TEST_F(MirrorFailure, ARelayedPollEndsAFailure)
{
	jj_mirror_set_duty(&mirror, JJ_MIRROR_LISTENER, now);
	list(50);
	jj_mirror_take_relay(&mirror, 50, 55, nullptr, 0, now);
	EXPECT_EQ("watch 55 20000", tick(1400));
	answer(JJ_PLATFORM_WATCH, JJ_PLATFORM_UNKNOWN, 0);
	ASSERT_FALSE(jj_mirror_is_current(&mirror));
	now += 50;
	jj_mirror_take_relay(&mirror, 55, 60, nullptr, 0, now);
	EXPECT_TRUE(jj_mirror_is_current(&mirror));
	EXPECT_EQ("", tick(1399));
}

/*
 * During an outage of the platform all entries expired and were created again.
 * A listener had seen both by its own poll; its relay, a little behind,
 * forwarded both again. The listener applied the deletions again and skipped
 * the entries, which it knew: fourteen VMs of a domain had no server from then
 * on, and refused requests.
 */
TEST_F(MirrorFailure, ARepeatedDeletionDoesNotRemoveARecreatedObject)
{
	jj_platform_item_t deletion = item("s/a", 3);
	jj_platform_item_t recreated = item("s/a", 58);
	jj_platform_item_t left = item("s/b", 4);

	deletion.deleted = true;
	left.deleted = true;
	jj_mirror_set_duty(&mirror, JJ_MIRROR_LISTENER, now);
	list(50);
	EXPECT_EQ("watch 50 20000", tick(0));
	answer(
	    JJ_PLATFORM_WATCH, JJ_PLATFORM_OK, 60, {deletion, recreated, left});
	ASSERT_EQ(58U, table["s/a"]);
	jj_platform_item_t again[] = {
	    deletion, recreated, left, item("s/c", 61)};
	jj_mirror_take_relay(&mirror, 50, 62, again, 4, now);
	EXPECT_EQ(58U, table["s/a"]);
	EXPECT_EQ(61U, table["s/c"]);
	EXPECT_EQ(0U, table.count("s/b"));
	deletion.version = 60;
	jj_mirror_take_relay(&mirror, 55, 63, &deletion, 1, now);
	EXPECT_EQ(0U, table.count("s/a")) << "deleted after it was recreated";
}

/* A relayed message was lost: the next one must not hide its changes. */
TEST_F(MirrorFailure, AListenerPollsAfterAGap)
{
	jj_platform_item_t update = item("s/c", 70);

	jj_mirror_set_duty(&mirror, JJ_MIRROR_LISTENER, now);
	list(50);
	jj_mirror_take_relay(&mirror, 50, 55, nullptr, 0, now);
	jj_mirror_take_relay(&mirror, 60, 70, &update, 1, now);
	EXPECT_EQ(0U, table.count("s/c"));
	EXPECT_EQ("watch 55 20000", tick(0));
	answer(JJ_PLATFORM_WATCH, JJ_PLATFORM_OK, 70,
	    {item("s/b", 58), item("s/c", 70)});
	EXPECT_EQ(3U, table.size());
}

/*
 * A check between two pages of a list must not make the later page count as the
 * first one.
 */
TEST_F(MirrorFailure, ACheckBetweenPagesLosesNoPage)
{
	EXPECT_EQ("list ", tick(0));
	answer(JJ_PLATFORM_LIST, JJ_PLATFORM_OK, 50, {item("s/a", 3)}, true);
	EXPECT_EQ("list s/a", tick(0));
	check(JJ_PLATFORM_GAP, 0);
	answer(JJ_PLATFORM_LIST, JJ_PLATFORM_OK, 60, {item("s/b", 55)});
	EXPECT_TRUE(jj_mirror_is_current(&mirror));
	EXPECT_EQ(1U, table.count("s/a"));
	EXPECT_EQ(1U, table.count("s/b"));
	EXPECT_EQ("watch 50 20000", tick(0));
}

/*
 * A check between two pages must not consume a deletion: the later page was
 * read before it and still has the object.
 */
TEST_F(MirrorFailure, ACheckBetweenPagesHidesNoDeletion)
{
	jj_platform_item_t deletion = item("s/b", 55, true);

	EXPECT_EQ("list ", tick(0));
	answer(JJ_PLATFORM_LIST, JJ_PLATFORM_OK, 50, {item("s/a", 3)}, true);
	EXPECT_EQ("list s/a", tick(0));
	check(JJ_PLATFORM_OK, 70, {deletion});
	answer(JJ_PLATFORM_LIST, JJ_PLATFORM_OK, 52, {item("s/b", 4)});
	ASSERT_EQ("watch 50 20000", tick(0));
	answer(JJ_PLATFORM_WATCH, JJ_PLATFORM_OK, 70, {deletion});
	EXPECT_EQ(0U, table.count("s/b"));
}

/* The list must start without waiting for the end of the pending watch. */
TEST_F(MirrorFailure, AHistoryLostToACheckIsListedAgainAtOnce)
{
	list(50);
	EXPECT_EQ("watch 50 20000", tick(0));
	uint64_t watch = token;
	check(JJ_PLATFORM_GAP, 0);
	EXPECT_FALSE(jj_mirror_is_current(&mirror));
	ASSERT_EQ("list ", tick(0));
	answer(JJ_PLATFORM_LIST, JJ_PLATFORM_OK, 90, {item("s/z", 80)});
	EXPECT_TRUE(jj_mirror_is_current(&mirror));
	EXPECT_EQ("watch 90 20000", tick(0));
	token = watch;
	answer(JJ_PLATFORM_WATCH, JJ_PLATFORM_GAP, 0);
	EXPECT_TRUE(jj_mirror_is_current(&mirror))
	    << "result of the abandoned watch";
	EXPECT_EQ("", tick(1000)) << "one watch is pending";
	EXPECT_EQ(1U, table.size());
}

/* Guards against a platform that is back for long before a VM notices it. */
TEST_F(MirrorFailure, WatchesWaitForLessUntilThePlatformAnswersAgain)
{
	list(50);
	EXPECT_EQ("watch 50 20000", tick(0));
	answer(JJ_PLATFORM_WATCH, JJ_PLATFORM_UNKNOWN, 0);
	EXPECT_EQ("watch 50 600", tick(100));
	answer(JJ_PLATFORM_WATCH, JJ_PLATFORM_UNKNOWN, 0);
	EXPECT_EQ("watch 50 600", tick(200));
	answer(JJ_PLATFORM_WATCH, JJ_PLATFORM_OK, 50);
	EXPECT_EQ("watch 50 20000", tick(0));
}

/* A table that is stale because its watch is unanswered must show in logs. */
TEST_F(MirrorFailure, AFailedWatchIsLoggedWithTheAgeOfItsTable)
{
	list(50);
	EXPECT_EQ("watch 50 20000", tick(0));
	EXPECT_EQ("", tick(21000));
	answer(JJ_PLATFORM_WATCH, JJ_PLATFORM_UNKNOWN, 0);
	EXPECT_EQ("watch 50 600", tick(100));
	answer(JJ_PLATFORM_WATCH, JJ_PLATFORM_OK, 60, {item("s/a", 60)});
	EXPECT_EQ((std::vector<std::string>{
		      "watch_failed watch=s op=watch outcome=6 after_ms=21000 "
		      "revision=50 confirmed_ms_ago=21000 failures=1 "
		      "again_ms=100",
		      "watch_recovered watch=s revision=50 "
		      "confirmed_ms_ago=21100 failures=1"}),
	    events);
}

/* Outdated changes arrive late, by a repeated message or a long poll. */
TEST_F(MirrorFailure, OutdatedChangesAreIgnored)
{
	jj_platform_item_t update = item("s/a", 60);
	jj_platform_item_t old = item("s/a", 51);

	jj_mirror_set_duty(&mirror, JJ_MIRROR_LISTENER, now);
	list(50);
	EXPECT_EQ("watch 50 20000", tick(0));
	jj_mirror_take_relay(&mirror, 50, 60, &update, 1, now);
	jj_mirror_take_relay(&mirror, 50, 55, &old, 1, now);
	answer(JJ_PLATFORM_WATCH, JJ_PLATFORM_OK, 55, {old});
	EXPECT_EQ(60U, table["s/a"]);
	EXPECT_EQ(60U, mirror.since);
}

} // namespace
