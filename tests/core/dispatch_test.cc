// Dispatch: routing, fairness, retries, deadlines, batch beside online.

#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "core/dispatch.h"
#include "core/dispatch_headroom.h"
#include "core/retry_budget.h"
}

namespace
{

struct Answer {
	uint64_t request;
	jj_give_up_t reason;
	jj_run_t run;
	jj_ms_t retry_after_ms;
};

struct Start {
	uint64_t request;
	uint32_t attempt;
	std::string server;
};

jj_name_t
Name(const std::string &text)
{
	jj_name_t name;

	EXPECT_TRUE(jj_name_set(&name, text.c_str()));
	return name;
}

// One VM, "vm-a", with a live neighbour "vm-b" when asked for.
class DispatchTest : public ::testing::Test
{
      protected:
	void
	Build(int servers, int slots, int queue_limit = 64)
	{
		jj_member_settings_t member = {};
		jj_quarantine_settings_t quarantine = {
		    2, 600000, 3600000, 1024};
		jj_config_settings_t config = {};
		jj_dispatch_settings_t settings = {};

		TAILQ_INIT(&out);
		member.name = Name("vm-a");
		member.domain = Name("sala-a");
		member.incarnation = 1;
		member.heartbeat_ms = 500;
		member.suspect_ms = 2000;
		member.forget_ms = 3600000;
		member_a = jj_member_create(&member);
		member.name = Name("vm-b");
		member.incarnation = 2;
		member_b = jj_member_create(&member);
		jj_member_set_state(member_a, JJ_VM_SERVING);
		jj_member_set_state(member_b, JJ_VM_SERVING);
		fleet = jj_fleet_create(&member.domain);
		tested_quarantine = jj_quarantine_create(&quarantine);
		config.call_timeout_ms = 4000;
		tested_config = jj_config_create(&config);
		SetConfig(slots, queue_limit);
		for (int i = 0; i < servers; i++)
			LearnServer(i);
		settings.name = Name("vm-a");
		settings.domain = Name("sala-a");
		settings.seed = 1;
		settings.retry_share = 0.1;
		settings.retry_floor = retry_floor;
		settings.withdraw_retry_ms = 250;
		settings.batch_start = 2;
		settings.batch_most = 64;
		dispatch = jj_dispatch_create(&settings, tested_config, fleet,
		    member_a, tested_quarantine);
	}

	void
	SetConfig(int slots, int queue_limit)
	{
		std::string text =
		    "{\"version\":1,\"previous\":0,\"operator\":\"o\","
		    "\"writer\":\"w\",\"operation\":1,\"recent\":[],"
		    "\"document\":{\"services\":{\"s\":{\"kind\":\"model\","
		    "\"idempotent\":true,\"timeout_ms\":5000,"
		    "\"deadline_ms\":10000,\"attempts\":3,\"trade\":0,"
		    "\"queue_limit\":" +
		    std::to_string(queue_limit) +
		    ",\"server_slots\":" + std::to_string(slots) + "}}}}";
		jj_bytes_t object = jj_bytes_from_text(text.c_str());

		ASSERT_TRUE(jj_config_take(tested_config, &object, &out));
		jj_bytes_free(&object);
		Drain();
	}

	void
	LearnServer(int i)
	{
		jj_server_t server = {};

		server.name = Name("server-" + std::to_string(i));
		server.domain = Name("sala-a");
		server.service = Name("s");
		server.boot = 7;
		server.state = JJ_SERVER_UP;
		jj_fleet_learn(fleet, &server);
	}

	void
	TearDown() override
	{
		Drain();
		jj_dispatch_destroy(dispatch);
		jj_quarantine_destroy(tested_quarantine);
		jj_config_destroy(tested_config);
		jj_fleet_destroy(fleet);
		jj_member_destroy(member_a);
		jj_member_destroy(member_b);
	}

	// Sorts what dispatch asked for into the lists below.
	void
	Drain()
	{
		jj_action_t *action;

		while ((action = TAILQ_FIRST(&out)) != nullptr) {
			TAILQ_REMOVE(&out, action, link);
			if (action->kind == JJ_ACTION_BACKEND_START)
				starts.push_back({action->body.start.request,
				    action->body.start.attempt,
				    action->body.start.server.text});
			if (action->kind == JJ_ACTION_BACKEND_CANCEL)
				cancels.push_back(action->body.cancel.request);
			if (action->kind == JJ_ACTION_ANSWER)
				answers.push_back({action->body.answer.request,
				    action->body.answer.reason,
				    action->body.answer.run,
				    action->body.answer.retry_after_ms});
			if (action->kind == JJ_ACTION_SEND)
				sent.push_back(action->body.send.message->kind);
			jj_action_free(action);
		}
	}

	// Heartbeats and probes until both VMs know each other.
	void
	MeetNeighbour()
	{
		jj_name_t a = Name("vm-a");
		jj_name_t b = Name("vm-b");
		jj_name_t domain = Name("sala-a");

		jj_member_learn(member_a, &b, &domain, "");
		jj_member_learn(member_b, &a, &domain, "");
		for (int i = 0; i < 6; i++, now += 500) {
			jj_member_tick(member_a, now, &out);
			Deliver(member_a, member_b, 2);
			jj_member_tick(member_b, now, &out);
			Deliver(member_b, member_a, 2);
		}
		ASSERT_TRUE(jj_member_is_live(member_a, &b));
		jj_dispatch_tick(dispatch, now, &out);
		Drain();
	}

	void
	Deliver(jj_member_t *from, jj_member_t *to, int depth)
	{
		jj_actions_t mail;
		jj_action_t *action;

		TAILQ_INIT(&mail);
		TAILQ_CONCAT(&mail, &out, link);
		while ((action = TAILQ_FIRST(&mail)) != nullptr) {
			TAILQ_REMOVE(&mail, action, link);
			if (action->kind == JJ_ACTION_SEND) {
				jj_member_stamp(
				    from, action->body.send.message);
				(void)jj_member_accept(
				    to, action->body.send.message, now, &out);
			}
			jj_action_free(action);
		}
		if (depth > 0)
			Deliver(to, from, depth - 1);
	}

	jj_request_t
	Request(uint64_t number, const std::string &team = "shops")
	{
		jj_request_t request = {};

		request.request = number;
		request.service = Name("s");
		request.team = Name(team);
		request.fingerprint = 1000 + number;
		request.idempotent = true;
		request.deadline_ms = now + 10000;
		request.output_tokens = 20;
		return request;
	}

	void
	Begin(const jj_request_t &request)
	{
		jj_dispatch_begin(dispatch, &request, now, &out);
		Drain();
	}

	void
	BeginOnline(uint64_t number, const std::string &team = "shops")
	{
		Begin(Request(number, team));
	}

	void
	BeginBatch(uint64_t number, bool idempotent = true)
	{
		jj_request_t request = Request(number, "");

		request.class_of = JJ_CLASS_BATCH;
		request.idempotent = idempotent;
		Begin(request);
	}

	void
	Event(uint64_t request, uint32_t attempt, jj_backend_kind_t kind,
	    bool relayed = false, uint32_t tokens = 1)
	{
		jj_backend_event_t event = {};

		event.request = request;
		event.attempt = attempt;
		event.kind = kind;
		event.tokens = tokens;
		event.relayed = relayed;
		jj_dispatch_take_event(dispatch, &event, now, &out);
		Drain();
	}

	void
	Tick(jj_ms_t passed)
	{
		now += passed;
		jj_dispatch_tick(dispatch, now, &out);
		Drain();
	}

	void
	NeighbourLoad(int server, uint32_t online, uint32_t batch)
	{
		jj_name_t from = Name("vm-b");
		jj_load_t load = {};

		jj_name_t name = Name("server-" + std::to_string(server));
		load.server = jj_dispatch_hash_server(&name);
		load.online = online;
		load.batch = batch;
		jj_dispatch_take_loads(dispatch, &from, &load, 1, now);
	}

	void
	Crash(int server, uint64_t boot)
	{
		jj_name_t name = Name("server-" + std::to_string(server));

		jj_dispatch_take_crash(dispatch, &name, boot, now, &out);
		Drain();
	}

	void
	Up(int server, uint64_t boot)
	{
		jj_name_t name = Name("server-" + std::to_string(server));
		bool is_news;

		now += 60000;
		jj_fleet_note(
		    fleet, &name, JJ_SERVER_UP, boot, now, &out, &is_news);
		Tick(200);
	}

	const Answer *
	AnswerOf(uint64_t request) const
	{
		for (const Answer &answer : answers)
			if (answer.request == request)
				return &answer;
		return nullptr;
	}

	int
	StartsOf(uint64_t request) const
	{
		int count = 0;

		for (const Start &start : starts)
			count += start.request == request;
		return count;
	}

	jj_ms_t now = 100000;
	uint32_t retry_floor = 2;
	jj_actions_t out;
	jj_member_t *member_a = nullptr;
	jj_member_t *member_b = nullptr;
	jj_fleet_t *fleet = nullptr;
	jj_quarantine_t *tested_quarantine = nullptr;
	jj_config_t *tested_config = nullptr;
	jj_dispatch_t *dispatch = nullptr;
	std::vector<Start> starts;
	std::vector<Answer> answers;
	std::vector<uint64_t> cancels;
	std::vector<jj_message_kind_t> sent;
};

// Stories 10, 12, 13: a caller books pallets; the connection breaks after the
// request was sent, or the server answers 503 when it may have begun. Sent
// again, the pallets are booked twice; told "not run", the shop books again.
TEST_F(DispatchTest, RetriesOnlyWhatCannotRunTwice)
{
	struct Case {
		const char *name;
		jj_backend_kind_t kind;
		bool idempotent;
		bool relayed;
		bool again;
		jj_give_up_t reason;
		jj_run_t run;
	} cases[] = {
	    {"not sent", JJ_BACKEND_NOT_SENT, false, false, true,
		JJ_GIVE_UP_NONE, JJ_RUN_NOT_RUN},
	    {"refused unbegun", JJ_BACKEND_REFUSED, false, false, true,
		JJ_GIVE_UP_NONE, JJ_RUN_NOT_RUN},
	    {"leaving", JJ_BACKEND_LEAVING, false, false, true, JJ_GIVE_UP_NONE,
		JJ_RUN_NOT_RUN},
	    {"failed, idempotent", JJ_BACKEND_FAILED, true, false, true,
		JJ_GIVE_UP_NONE, JJ_RUN_NOT_RUN},
	    {"failed", JJ_BACKEND_FAILED, false, false, false,
		JJ_GIVE_UP_BROKEN, JJ_RUN_UNKNOWN},
	    {"broken, idempotent", JJ_BACKEND_BROKEN, true, false, true,
		JJ_GIVE_UP_NONE, JJ_RUN_NOT_RUN},
	    {"broken", JJ_BACKEND_BROKEN, false, false, false,
		JJ_GIVE_UP_BROKEN, JJ_RUN_UNKNOWN},
	    {"timeout", JJ_BACKEND_TIMEOUT, false, false, false,
		JJ_GIVE_UP_BROKEN, JJ_RUN_UNKNOWN},
	    {"broken in mid answer", JJ_BACKEND_BROKEN, true, true, false,
		JJ_GIVE_UP_BROKEN, JJ_RUN_UNKNOWN},
	};
	uint64_t number = 0;

	for (const Case &row : cases) {
		SCOPED_TRACE(row.name);
		Build(3, 8);
		jj_request_t request = Request(++number);
		request.idempotent = row.idempotent;
		Begin(request);
		ASSERT_EQ(1, StartsOf(number));
		Event(number, 1, row.kind, row.relayed);
		EXPECT_EQ(row.again ? 2 : 1, StartsOf(number));
		const Answer *answer = AnswerOf(number);
		EXPECT_EQ(row.again, answer == nullptr);
		if (answer != nullptr) {
			EXPECT_EQ(row.reason, answer->reason);
			EXPECT_EQ(row.run, answer->run);
		}
		TearDown();
	}
	Build(1, 8);
}

// Story 12: the first attempt may have run, the second was surely not sent.
// An answer about the request speaks for both: "not run" would be a lie.
TEST_F(DispatchTest, RunOfEarlierAttemptIsNotForgotten)
{
	Build(1, 8);
	BeginOnline(1);
	Event(1, 1, JJ_BACKEND_FAILED);
	ASSERT_EQ(2, StartsOf(1));
	Event(1, 2, JJ_BACKEND_NOT_SENT);
	ASSERT_NE(nullptr, AnswerOf(1));
	EXPECT_EQ(JJ_RUN_UNKNOWN, AnswerOf(1)->run);
}

// Story 18: a server's late answer for an attempt given up on arrives when
// the retry runs elsewhere. The caller would get the end of a stream that is
// not its own, and the retry's place would be freed twice.
TEST_F(DispatchTest, LateEventOfOldAttemptIsIgnored)
{
	Build(2, 8);
	BeginOnline(1);
	Event(1, 1, JJ_BACKEND_TIMEOUT);
	ASSERT_EQ(2, StartsOf(1));
	Event(1, 1, JJ_BACKEND_DONE);
	EXPECT_EQ(1u, jj_dispatch_in_flight(dispatch, JJ_CLASS_ONLINE));
	Event(1, 2, JJ_BACKEND_DONE);
	EXPECT_EQ(0u, jj_dispatch_in_flight(dispatch, JJ_CLASS_ONLINE));
}

// Story 16: a back end fails all its calls. Callers see errors either way;
// with unbounded retries the back end gets three times the load and never
// recovers. Floor 2 and a tenth of 40 first attempts: 6 retries.
TEST_F(DispatchTest, RetriesStayWithinBudget)
{
	Build(4, 32);
	for (uint64_t i = 1; i <= 40; i++)
		BeginOnline(i);
	for (uint64_t i = 1; i <= 40; i++)
		Event(i, 1, JJ_BACKEND_FAILED);
	EXPECT_EQ(46u, starts.size());
	ASSERT_EQ(34u, answers.size());
	for (const Answer &answer : answers) {
		EXPECT_EQ(JJ_GIVE_UP_RETRIES, answer.reason);
		EXPECT_GE(answer.retry_after_ms, 1000);
	}
}

TEST(RetryBudget, Table)
{
	struct Case {
		const char *name;
		int firsts;
		jj_ms_t wait_ms;
		int allowed;
	} cases[] = {
	    {"floor alone", 0, 0, 2},
	    {"floor and share", 100, 0, 12},
	    {"old attempts lapse", 100, 11000, 2},
	};

	for (const Case &row : cases) {
		SCOPED_TRACE(row.name);
		jj_retry_budget_t budget;
		jj_ms_t now = 50000;
		int taken = 0;

		jj_retry_budget_reset(&budget, 0.1, 2);
		for (int i = 0; i < row.firsts; i++)
			jj_retry_budget_note_first(&budget, now);
		now += row.wait_ms;
		while (jj_retry_budget_take(&budget, now))
			taken++;
		EXPECT_EQ(row.allowed, taken);
	}
}

// Story 16: a request that cannot be answered in time is answered now, with
// a time to come back; held until its deadline the caller could do nothing
// else meanwhile, and sent late it wastes a place.
TEST_F(DispatchTest, HopelessRequestsAreAnsweredAtOnce)
{
	Build(1, 1);
	BeginOnline(1);
	Tick(1000);
	Event(1, 1, JJ_BACKEND_DONE);
	BeginOnline(2);
	for (uint64_t i = 3; i <= 6; i++)
		BeginOnline(i);
	ASSERT_TRUE(answers.empty());
	jj_request_t request = Request(7);
	request.deadline_ms = now + 3000;
	Begin(request);
	ASSERT_NE(nullptr, AnswerOf(7));
	EXPECT_EQ(JJ_GIVE_UP_DEADLINE, AnswerOf(7)->reason);
	EXPECT_EQ(JJ_RUN_NOT_RUN, AnswerOf(7)->run);
	EXPECT_GE(AnswerOf(7)->retry_after_ms, 4000);
}

// Story 16: a request arrives when its deadline has passed already, and a
// server has a place. Sent on, it would run for a caller who has gone.
TEST_F(DispatchTest, RequestPastItsDeadlineIsNotSent)
{
	Build(1, 8);
	jj_request_t request = Request(1);
	request.deadline_ms = now;
	Begin(request);
	ASSERT_NE(nullptr, AnswerOf(1));
	EXPECT_EQ(JJ_GIVE_UP_DEADLINE, AnswerOf(1)->reason);
	EXPECT_EQ(JJ_RUN_NOT_RUN, AnswerOf(1)->run);
	EXPECT_EQ(0, StartsOf(1));
}

// Story 16: a queued request's time runs out while others are served. It is
// answered as soon as even a quick answer would be late, not when it is late.
TEST_F(DispatchTest, QueuedRequestIsGivenUpBeforeItsDeadline)
{
	Build(1, 1);
	BeginOnline(1);
	Tick(1000);
	Event(1, 1, JJ_BACKEND_DONE);
	BeginOnline(2);
	jj_request_t request = Request(3);
	request.deadline_ms = now + 2500;
	Begin(request);
	ASSERT_EQ(nullptr, AnswerOf(3));
	Tick(1400);
	EXPECT_EQ(nullptr, AnswerOf(3));
	Tick(200);
	ASSERT_NE(nullptr, AnswerOf(3));
	EXPECT_EQ(JJ_GIVE_UP_DEADLINE, AnswerOf(3)->reason);
	EXPECT_EQ(0, StartsOf(3));
}

// Story 17: one team sends fifty requests at once, then a shop sends one. In
// order of arrival the shop waits for all fifty.
TEST_F(DispatchTest, FloodingTeamDoesNotHoldUpOthers)
{
	Build(1, 2);
	for (uint64_t i = 1; i <= 50; i++)
		BeginOnline(i, "flood");
	BeginOnline(100, "shops");
	EXPECT_EQ(0, StartsOf(100));
	Event(starts[0].request, 1, JJ_BACKEND_DONE);
	EXPECT_EQ(1, StartsOf(100));
}

// Story 17: the queue is full of one team's requests. Refusing whoever comes
// next would refuse the shops; the flood's newest request goes instead.
TEST_F(DispatchTest, FullQueueRefusesTheFloodingTeam)
{
	Build(1, 1, 10);
	for (uint64_t i = 1; i <= 11; i++)
		BeginOnline(i, "flood");
	ASSERT_TRUE(answers.empty());
	BeginOnline(100, "shops");
	EXPECT_EQ(nullptr, AnswerOf(100));
	ASSERT_NE(nullptr, AnswerOf(11));
	EXPECT_EQ(JJ_GIVE_UP_OVERLOADED, AnswerOf(11)->reason);
	EXPECT_GT(AnswerOf(11)->retry_after_ms, 0);
}

// Story 23: a server refuses as it leaves; the platform's list still has it.
// Each request would find out anew, and so would each other VM.
TEST_F(DispatchTest, LeavingServerGetsNoNewWork)
{
	Build(2, 64);
	MeetNeighbour();
	BeginOnline(1);
	std::string left = starts[0].server;
	Event(1, 1, JJ_BACKEND_LEAVING);
	for (uint64_t i = 2; i <= 20; i++)
		BeginOnline(i);
	for (size_t i = 1; i < starts.size(); i++)
		EXPECT_NE(left, starts[i].server);
	EXPECT_NE(sent.end(),
	    std::find(sent.begin(), sent.end(), JJ_MESSAGE_SERVER_STATE));
}

// Story 27: a request kills the server it runs on, is retried, and kills the
// next. Others that were in flight with it must not be blamed for good.
TEST_F(DispatchTest, CrashingRequestIsRefusedAfterItsSecondServer)
{
	Build(3, 1);
	BeginOnline(1);
	BeginOnline(2);
	std::string first = starts[0].server;
	// The connection breaks before anybody knows that the server died.
	Event(1, 1, JJ_BACKEND_BROKEN);
	ASSERT_EQ(2, StartsOf(1));
	Crash(first.back() - '0', 7);
	Crash(starts.back().server.back() - '0', 7);
	ASSERT_NE(nullptr, AnswerOf(1));
	EXPECT_EQ(JJ_GIVE_UP_QUARANTINED, AnswerOf(1)->reason);
	EXPECT_EQ(0, AnswerOf(1)->retry_after_ms);
	EXPECT_EQ(nullptr, AnswerOf(2));
	Event(2, 1, JJ_BACKEND_DONE);
	jj_request_t again = Request(3);
	again.fingerprint = 1001;
	Begin(again);
	ASSERT_NE(nullptr, AnswerOf(3));
	EXPECT_EQ(JJ_GIVE_UP_QUARANTINED, AnswerOf(3)->reason);
}

// Story 27: the connections break at once, the probes see the deaths later.
// A request that is sent on meanwhile has killed its third server before the
// first death is known; refused after its second it has not.
TEST_F(DispatchTest, RequestThatBrokeTwiceWaitsForTheProbes)
{
	retry_floor = 20;
	Build(4, 8);
	BeginOnline(1);
	Event(1, 1, JJ_BACKEND_BROKEN);
	Event(1, 2, JJ_BACKEND_BROKEN);
	Tick(100);
	ASSERT_EQ(2, StartsOf(1));
	Crash(starts[0].server.back() - '0', 7);
	Crash(starts[1].server.back() - '0', 7);
	ASSERT_NE(nullptr, AnswerOf(1));
	EXPECT_EQ(JJ_GIVE_UP_QUARANTINED, AnswerOf(1)->reason);
	EXPECT_EQ(2, StartsOf(1));
	// Without a death it was the network: on it goes.
	BeginOnline(2);
	Event(2, 1, JJ_BACKEND_BROKEN);
	Event(2, 2, JJ_BACKEND_BROKEN);
	Tick(600);
	EXPECT_EQ(3, StartsOf(2));
}

// Story 27: two VMs each run one suspect on the same server. It dies, and
// the innocent one has its second strike: refused for an hour.
TEST_F(DispatchTest, SuspectsKeepToServersOfTheirSteward)
{
	retry_floor = 20;
	Build(8, 8);
	MeetNeighbour();
	for (uint64_t i = 1; i <= 8; i++) {
		BeginOnline(i);
		Event(i, 1, JJ_BACKEND_BROKEN);
	}
	jj_name_t domain = Name("sala-a");
	size_t stewarded = 0;
	std::map<uint64_t, std::string> first;
	for (const Start &start : starts) {
		if (start.attempt == 1)
			first[start.request] = start.server;
		if (start.attempt != 2)
			continue;
		jj_name_t steward;
		ASSERT_TRUE(jj_member_choose(member_a, &domain,
		    jj_hash_bytes(start.server.data(), start.server.size(), 0),
		    &steward));
		EXPECT_STREQ("vm-a", steward.text);
		// Where it broke is probably dead.
		EXPECT_NE(first[start.request], start.server);
		stewarded++;
	}
	EXPECT_GT(stewarded, 0u);
	ASSERT_LT(stewarded, 8u);
	// The rest are not kept for ever.
	Tick(1100);
	EXPECT_EQ(16u, starts.size());
}

// Story 27: this VM's only server broke the connection because it died. Sent
// back there, the request uses up an attempt on a server known to be doubtful.
TEST_F(DispatchTest, SuspectDoesNotGoBackAtOnce)
{
	Build(1, 8);
	BeginOnline(1);
	Event(1, 1, JJ_BACKEND_BROKEN);
	Tick(100);
	EXPECT_EQ(1, StartsOf(1));
	// The server was well after all.
	Tick(1000);
	EXPECT_EQ(2, StartsOf(1));
}

// Story 27: eight requests were on the server that died. Run together again
// on one server, the next death would give all eight their second strike.
TEST_F(DispatchTest, SuspectsRunOnePerServer)
{
	Build(1, 16);
	for (uint64_t i = 1; i <= 4; i++)
		BeginOnline(i);
	LearnServer(1);
	LearnServer(2);
	Tick(200);
	Crash(0, 7);
	EXPECT_EQ(6u, starts.size());
	EXPECT_NE(starts[4].server, starts[5].server);
	EXPECT_TRUE(answers.empty());
	BeginOnline(9);
	EXPECT_EQ(1, StartsOf(9));
	Event(starts[4].request, 2, JJ_BACKEND_DONE);
	EXPECT_EQ(8u, starts.size());
}

// Story 14: batch fills a server; another VM sends a burst there, which this
// one learns of by a message. Callers wait behind batch until it gives way.
TEST_F(DispatchTest, BatchGivesWayToANeighboursBurst)
{
	Build(1, 32);
	MeetNeighbour();
	jj_name_t steward;
	jj_name_t domain = Name("sala-a");
	jj_name_t server = Name("server-0");
	ASSERT_TRUE(jj_member_choose(member_a, &domain,
	    jj_hash_bytes(server.text, strlen(server.text), 0), &steward));
	ASSERT_STREQ("vm-a", steward.text) << "choose another server name";
	EXPECT_EQ(2u, jj_dispatch_batch_room(dispatch, now));
	BeginBatch(1);
	BeginBatch(2);
	ASSERT_EQ(2u, starts.size());
	EXPECT_EQ(0u, jj_dispatch_batch_room(dispatch, now));
	Event(1, 1, JJ_BACKEND_FIRST);
	Event(1, 1, JJ_BACKEND_TOKENS, false, 9);
	NeighbourLoad(0, 3, 0);
	EXPECT_LE(jj_dispatch_next(dispatch), now);
	Tick(0);
	// Both go, the one that loses least work first.
	ASSERT_EQ(2u, cancels.size());
	EXPECT_EQ(2u, cancels[0]);
	EXPECT_EQ(JJ_GIVE_UP_OVERLOADED, AnswerOf(2)->reason);
	EXPECT_GT(AnswerOf(2)->retry_after_ms, 0);
	NeighbourLoad(0, 0, 0);
	EXPECT_EQ(0u, jj_dispatch_batch_room(dispatch, now));
	Tick(100);
	EXPECT_EQ(2u, jj_dispatch_batch_room(dispatch, now));
}

// Story 14 with 10: a batch item whose service must not run twice is stopped
// for a burst. It may have run, so it can never be sent again: no result.
TEST_F(DispatchTest, NonIdempotentItemsAreNotWithdrawn)
{
	Build(1, 32);
	BeginBatch(1, false);
	BeginBatch(2, true);
	for (uint64_t i = 10; i < 20; i++)
		BeginOnline(i);
	Tick(20);
	ASSERT_EQ(1u, cancels.size());
	EXPECT_EQ(2u, cancels[0]);
}

// Story 31: a neighbour freezes after it told of a hundred requests in
// flight. Its word would keep a healthy server full for ever.
TEST_F(DispatchTest, SilentNeighboursLoadLapses)
{
	Build(1, 8);
	MeetNeighbour();
	NeighbourLoad(0, 100, 0);
	// Beyond its own share, 4 of 8, this VM has to believe it.
	for (uint64_t i = 1; i <= 5; i++)
		BeginOnline(i);
	EXPECT_EQ(0, StartsOf(5));
	for (int i = 0; i < 6; i++)
		jj_member_tick(member_a, now += 500, &out);
	Tick(0);
	EXPECT_EQ(1, StartsOf(5));
}

// Story 31: as above, for batch: a server whose neighbours seem to run a
// hundred requests gets no batch until the frozen one is no longer believed.
TEST_F(DispatchTest, SilentNeighboursLoadDoesNotStopBatch)
{
	Build(1, 8);
	MeetNeighbour();
	NeighbourLoad(0, 100, 0);
	EXPECT_EQ(0u, jj_dispatch_batch_room(dispatch, now));
	for (int i = 0; i < 6; i++)
		jj_member_tick(member_a, now += 500, &out);
	Tick(0);
	EXPECT_EQ(2u, jj_dispatch_batch_room(dispatch, now));
}

// Story 17: a team floods the other VM, which refills each place as it gets
// free. This VM's caller would wait until the flood ends.
TEST_F(DispatchTest, FloodElsewhereLeavesThisVmItsShare)
{
	Build(1, 8);
	MeetNeighbour();
	NeighbourLoad(0, 8, 0);
	BeginOnline(1);
	EXPECT_EQ(1, StartsOf(1));
}

// Story 24: a VM stops as planned. Requests in progress go on to their end,
// new ones are told at once to ask elsewhere.
TEST_F(DispatchTest, LeavingVmFinishesWhatItHas)
{
	Build(1, 8);
	BeginOnline(1);
	jj_dispatch_leave(dispatch);
	BeginOnline(2);
	ASSERT_NE(nullptr, AnswerOf(2));
	EXPECT_EQ(JJ_GIVE_UP_STOPPING, AnswerOf(2)->reason);
	EXPECT_EQ(0u, jj_dispatch_batch_room(dispatch, now));
	EXPECT_TRUE(cancels.empty());
	Event(1, 1, JJ_BACKEND_DONE);
	EXPECT_EQ(0u, jj_dispatch_in_flight(dispatch, JJ_CLASS_ONLINE));
}

TEST_F(DispatchTest, PrefixHintYieldsToLoadAndState)
{
	struct Case {
		const char *name;
		uint32_t others_online;
		bool leaving;
		bool follows;
	} cases[] = {
	    {"idle", 0, false, true},
	    {"a little load", 1, false, true},
	    {"full", 32, false, false},
	    {"much load", 28, false, false},
	    {"leaving", 0, true, false},
	};

	for (const Case &row : cases) {
		SCOPED_TRACE(row.name);
		starts.clear();
		Build(4, 32);
		MeetNeighbour();
		jj_request_t request = Request(1);
		request.prefix_count = 8;
		for (int i = 0; i < 8; i++)
			request.prefix[i] = 77 + i;
		Begin(request);
		Event(1, 1, JJ_BACKEND_DONE);
		jj_name_t home = Name(starts[0].server);
		bool is_news;
		NeighbourLoad(
		    starts[0].server.back() - '0', row.others_online, 0);
		if (row.leaving)
			jj_fleet_note(fleet, &home, JJ_SERVER_LEAVING, 0, now,
			    &out, &is_news);
		request.request = 2;
		Begin(request);
		ASSERT_EQ(2u, starts.size());
		EXPECT_EQ(row.follows, starts[1].server == home.text);
		TearDown();
	}
	Build(1, 8);
}

TEST_F(DispatchTest, NoServerIsSaidAtOnce)
{
	Build(0, 8);
	BeginOnline(1);
	ASSERT_NE(nullptr, AnswerOf(1));
	EXPECT_EQ(JJ_GIVE_UP_NO_SERVER, AnswerOf(1)->reason);
	EXPECT_EQ(JJ_RUN_NOT_RUN, AnswerOf(1)->run);
	EXPECT_GT(AnswerOf(1)->retry_after_ms, 0);
}

// A server whose step takes 10 ms up to `soft` streams and longer beyond.
struct Curve {
	uint32_t soft;
	double slow;
};

uint32_t
GapOf(const Curve &curve, uint32_t running)
{
	double gap = 10000 * curve.slow;

	return (
	    uint32_t)(running <= curve.soft ? gap : gap * running / curve.soft);
}

// Story 14: the load report lags, so a limit taken from it is wrong by what
// came since. The limit must be found from the gaps between tokens alone.
TEST(Headroom, FindsTheBendOfTheCurve)
{
	struct Case {
		const char *name;
		Curve before;
		Curve after;
		uint32_t online;
		uint32_t least;
		uint32_t most;
		bool items_end;
	} cases[] = {
	    {"idle server", {16, 1}, {16, 1}, 0, 15, 18, true},
	    {"beside online", {16, 1}, {16, 1}, 6, 15, 18, true},
	    {"small server", {8, 1}, {8, 1}, 2, 7, 10, true},
	    {"grows", {8, 1}, {16, 1}, 2, 15, 18, true},
	    {"shrinks", {16, 1}, {8, 1}, 2, 7, 10, true},
	    {"slower for good", {16, 1}, {16, 3}, 2, 13, 18, true},
	    {"slower, online steady", {16, 1}, {16, 3}, 6, 13, 18, true},
	    {"slower, endless items", {16, 1}, {16, 3}, 2, 13, 18, false},
	};

	for (const Case &row : cases) {
		SCOPED_TRACE(row.name);
		jj_headroom_t headroom;
		jj_headroom_use_t use = {row.online, 0, 64, 0, 64};
		jj_ms_t now = 1000;

		jj_headroom_reset(&headroom, 2);
		for (int step = 0; step < 8000; step++, now += 20) {
			Curve curve = step < 4000 ? row.before : row.after;
			uint32_t excess = jj_headroom_excess(&headroom, &use);
			use.batch -= excess;
			if (row.items_end && step % 5 == 0 && use.batch > 0)
				use.batch--;
			use.batch += jj_headroom_room(&headroom, &use, now);
			uint32_t running = use.online + use.batch;
			for (uint32_t i = 0; i < 2 * running; i++)
				jj_headroom_add_gap(
				    &headroom, GapOf(curve, running));
			jj_headroom_adjust(&headroom, &use, now);
		}
		EXPECT_GE(use.online + use.batch, row.least);
		EXPECT_LE(use.online + use.batch, row.most);
	}
}

} // namespace
