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
#include "core/dispatch_server.h"
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
	uint32_t resume_from;
};

// The word of a death is with all VMs after so long, ms.
const jj_ms_t SPREAD_MS = 30;

// A load message that was sent.
struct Told {
	std::string to;
	std::vector<jj_load_t> loads;
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
		for (const auto &one : others)
			jj_member_destroy(one.second);
		others.clear();
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
				    action->body.start.server.text,
				    action->body.start.resume_from});
			if (action->kind == JJ_ACTION_BACKEND_CANCEL)
				cancels.push_back(action->body.cancel.request);
			if (action->kind == JJ_ACTION_ANSWER)
				answers.push_back({action->body.answer.request,
				    action->body.answer.reason,
				    action->body.answer.run,
				    action->body.answer.retry_after_ms});
			if (action->kind == JJ_ACTION_SEND)
				NoteSent(action->body.send.to,
				    *action->body.send.message);
			jj_action_free(action);
		}
	}

	void
	NoteSent(const jj_name_t &to, const jj_message_t &message)
	{
		const jj_load_t *loads = message.body.load.loads;

		sent.push_back(message.kind);
		if (message.kind == JJ_MESSAGE_LOAD)
			told.push_back({to.text,
			    {loads, loads + message.body.load.count}});
	}

	// The newest of what a VM was told of a server; -1: nothing.
	int
	ToldOnline(const std::string &vm, const std::string &server) const
	{
		jj_name_t name = Name(server);
		int online = -1;

		for (const Told &one : told)
			for (const jj_load_t &load : one.loads)
				if (one.to == vm &&
				    load.server ==
					jj_dispatch_hash_server(&name))
					online = (int)load.online;
		return online;
	}

	// The VM that decides on batch at a server.
	std::string
	StewardOf(const std::string &server) const
	{
		jj_name_t name = Name(server);
		jj_name_t domain = Name("sala-a");
		jj_name_t steward;

		EXPECT_TRUE(jj_member_choose(member_a, &domain,
		    jj_dispatch_hash_server(&name), &steward));
		return steward.text;
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

	// Neighbours "vm-c0" and on, in this domain.
	void
	MeetMany(int count)
	{
		jj_name_t a = Name("vm-a");
		jj_name_t domain = Name("sala-a");
		jj_member_settings_t settings = {};

		settings.domain = domain;
		settings.heartbeat_ms = 500;
		settings.suspect_ms = 2000;
		settings.forget_ms = 3600000;
		for (int i = 0; i < count; i++) {
			settings.name = Name("vm-c" + std::to_string(i));
			settings.incarnation = 10 + i;
			jj_member_t *member = jj_member_create(&settings);
			jj_member_set_state(member, JJ_VM_SERVING);
			jj_member_learn(member_a, &settings.name, &domain, "");
			jj_member_learn(member, &a, &domain, "");
			others[settings.name.text] = member;
		}
		for (int i = 0; i < 6; i++, now += 500) {
			jj_member_tick(member_a, now, &out);
			Exchange(member_a, 2);
			for (const auto &one : others) {
				jj_member_tick(one.second, now, &out);
				Exchange(one.second, 2);
			}
		}
		for (const auto &one : others) {
			jj_name_t name = Name(one.first);
			ASSERT_TRUE(jj_member_is_live(member_a, &name));
		}
		jj_dispatch_tick(dispatch, now, &out);
		Drain();
	}

	// Delivers what one member sent, and what that brings about.
	void
	Exchange(jj_member_t *from, int depth)
	{
		jj_actions_t mail;
		jj_action_t *action;

		TAILQ_INIT(&mail);
		TAILQ_CONCAT(&mail, &out, link);
		while ((action = TAILQ_FIRST(&mail)) != nullptr) {
			TAILQ_REMOVE(&mail, action, link);
			if (action->kind == JJ_ACTION_SEND) {
				jj_message_t *message =
				    action->body.send.message;
				auto to =
				    others.find(action->body.send.to.text);
				jj_member_t *member =
				    to != others.end() ? to->second : member_a;
				jj_member_stamp(from, message);
				(void)jj_member_accept(
				    member, message, now, &out);
				if (depth > 0)
					Exchange(member, depth - 1);
			}
			jj_action_free(action);
		}
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
	    bool relayed = false, uint32_t tokens = 1, bool resumable = false,
	    bool look_cut = false)
	{
		jj_backend_event_t event = {};

		event.request = request;
		event.attempt = attempt;
		event.kind = kind;
		event.tokens = tokens;
		event.relayed = relayed;
		event.resumable = resumable;
		event.look_cut = look_cut;
		jj_dispatch_take_event(dispatch, &event, now, &out);
		Drain();
	}

	// The connection broke, and so did that of the look at its server.
	void
	BreakWithItsLook(uint64_t request, uint32_t attempt)
	{
		Event(
		    request, attempt, JJ_BACKEND_BROKEN, false, 1, false, true);
	}

	// A neighbour's report of a death that this request may have caused.
	void
	Strike(uint64_t fingerprint, const std::string &server)
	{
		jj_crash_t crash = {};

		crash.server = Name(server);
		crash.boot = 7;
		crash.suspects[0] = fingerprint;
		crash.suspect_count = 1;
		jj_quarantine_take_crash(tested_quarantine, &crash, now, &out);
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
	std::vector<Told> told;
	std::map<std::string, jj_member_t *> others;
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

/* Guards against a second attempt before the first server's death is known. */
TEST_F(DispatchTest, ABreakAtADyingServerWaitsForItsDeath)
{
	Build(3, 8);
	BeginOnline(1);
	BreakWithItsLook(1, 1);
	Tick(100);
	ASSERT_EQ(1, StartsOf(1));
	Crash(starts[0].server.back() - '0', 7);
	Tick(20);
	EXPECT_EQ(1, StartsOf(1));
	Tick(10);
	EXPECT_EQ(2, StartsOf(1));
}

/* Guards against a wait for the death of a server that lives. */
TEST_F(DispatchTest, ABreakAtALivingServerIsSentOnAtOnce)
{
	Build(3, 8);
	BeginOnline(1);
	BreakWithItsLook(1, 1);
	ASSERT_EQ(1, StartsOf(1));
	jj_name_t other = Name("server-other");
	jj_dispatch_note_alive(dispatch, &other, now, &out);
	Drain();
	EXPECT_EQ(1, StartsOf(1));
	jj_name_t first = Name(starts[0].server);
	jj_dispatch_note_alive(dispatch, &first, now, &out);
	Drain();
	EXPECT_EQ(2, StartsOf(1));
}

/* Guards against a wait without an end for a look that shows nothing. */
TEST_F(DispatchTest, ABreakAtAnUnknownServerIsSentOnAfterAWhile)
{
	Build(3, 8);
	BeginOnline(1);
	BreakWithItsLook(1, 1);
	Tick(400);
	EXPECT_EQ(1, StartsOf(1));
	Tick(100);
	EXPECT_EQ(2, StartsOf(1));
}

/* Guards against a resend that is ahead of the news of the second death. */
TEST_F(DispatchTest, ASuspectWaitsForNewsOfAnotherDeath)
{
	Build(3, 8);
	Strike(1001, "server-8");
	Strike(1002, "server-8");
	BeginOnline(1);
	BeginOnline(2);
	EXPECT_EQ(0u, starts.size());
	Strike(1001, "server-9");
	Tick(30);
	ASSERT_NE(nullptr, AnswerOf(1));
	EXPECT_EQ(JJ_GIVE_UP_QUARANTINED, AnswerOf(1)->reason);
	EXPECT_EQ(JJ_RUN_NOT_RUN, AnswerOf(1)->run);
	EXPECT_EQ(1, StartsOf(2));
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
	// The rest are not kept for ever: theirs are the others in the next turn.
	for (int i = 0; i < 11; i++)
		Tick(100);
	EXPECT_EQ(16u, starts.size());
}

// Story 27: each VM has suspects of the same death and servers that it is not
// steward of. Sent anywhere after a second, two VMs' suspects meet on one
// server; it dies, and the innocent one is refused for an hour.
TEST_F(DispatchTest, NoServerIsOpenToTwoVmsInOneTurn)
{
	jj_member_info_t vms[3] = {};
	jj_request_t request = Request(1);
	jj_server_views_t views;
	std::vector<jj_server_view_t *> all;

	Build(1, 8);
	TAILQ_INIT(&views);
	for (int i = 0; i < 3; i++)
		vms[i].name = Name("vm-" + std::to_string(i));
	for (int i = 0; i < 12; i++) {
		jj_server_t server = {};
		server.name = Name("server-" + std::to_string(i));
		jj_server_view_t *view = jj_server_view_create(&server);
		view->up = true;
		view->local = true;
		TAILQ_INSERT_TAIL(&views, view, link);
		all.push_back(view);
	}
	std::map<std::pair<int, jj_server_view_t *>, int> turns;
	for (uint32_t turn = 0; turn < 3; turn++) {
		std::map<jj_server_view_t *, int> open;
		for (int vm = 0; vm < 3; vm++) {
			jj_server_need_t need = {};
			need.request = &request;
			need.suspect = true;
			need.online_most = 8;
			need.online_share = 8;
			need.turn = turn;
			need.self = &vms[vm].name;
			need.vms = vms;
			need.vm_count = 3;
			jj_server_view_t *view;
			std::vector<jj_server_view_t *> mine;
			while ((view = jj_server_choose_online(
				    &views, &need, now)) != nullptr) {
				view->suspects = 1;
				mine.push_back(view);
				open[view]++;
				turns[{vm, view}]++;
			}
			for (jj_server_view_t *one : mine)
				one->suspects = 0;
		}
		EXPECT_EQ(12u, open.size());
		for (const auto &one : open)
			EXPECT_EQ(1, one.second);
	}
	// Each VM has had its turn at each server.
	EXPECT_EQ(36u, turns.size());
	// One that runs there still since an earlier turn holds it.
	jj_server_need_t need = {};
	need.request = &request;
	need.suspect = true;
	need.online_most = 8;
	need.self = &vms[0].name;
	jj_load_t load = {all[0]->hash, 1, 0, 1};
	jj_server_view_take_load(all[0], &vms[1].name, &load);
	for (int i = 0; i < 11; i++) {
		jj_server_view_t *view =
		    jj_server_choose_online(&views, &need, now);
		ASSERT_NE(nullptr, view);
		EXPECT_NE(all[0], view);
		view->suspects = 1;
	}
	EXPECT_EQ(nullptr, jj_server_choose_online(&views, &need, now));
	for (jj_server_view_t *view : all)
		jj_server_view_destroy(view);
}

// Story 27: a request that had killed a server was sent on to another domain,
// whose VMs did not know that a suspect came. It met an innocent one there;
// the server died, and the innocent one was refused for an hour. Loads are
// told within a domain, so a suspect leaves it only when no server there is up.
TEST_F(DispatchTest, SuspectsStayInTheirDomainWhileAServerIsUp)
{
	jj_member_info_t self = {};
	jj_request_t request = Request(1);
	jj_server_views_t views;
	jj_server_t server = {};
	jj_server_view_t *local[2];

	Build(1, 8);
	TAILQ_INIT(&views);
	self.name = Name("vm-0");
	for (int i = 0; i < 2; i++) {
		server.name = Name("home-" + std::to_string(i));
		local[i] = jj_server_view_create(&server);
		local[i]->up = true;
		local[i]->local = true;
		TAILQ_INSERT_TAIL(&views, local[i], link);
	}
	server.name = Name("abroad");
	jj_server_view_t *abroad = jj_server_view_create(&server);
	abroad->up = true;
	TAILQ_INSERT_TAIL(&views, abroad, link);
	jj_server_need_t need = {};
	need.request = &request;
	need.online_most = 8;
	need.self = &self.name;
	need.vms = &self;
	need.vm_count = 1;
	struct {
		const char *name;
		bool suspect;
		uint32_t suspects; /**< that run on each server at home */
		uint32_t online; /**< requests likewise */
		bool up;
		bool goes_abroad;
	} cases[] = {
	    {"free", true, 0, 0, true, false},
	    {"each runs a suspect", true, 1, 1, true, false},
	    {"full", true, 0, 8, true, false},
	    {"down", true, 0, 0, false, true},
	    {"full, no suspect", false, 0, 8, true, true},
	};
	for (const auto &one : cases) {
		for (jj_server_view_t *view : local) {
			view->suspects = one.suspects;
			view->online = one.online;
			view->up = one.up;
		}
		need.suspect = one.suspect;
		EXPECT_EQ(one.goes_abroad,
		    jj_server_choose_online(&views, &need, now) == abroad)
		    << one.name;
	}
	for (jj_server_view_t *view : {local[0], local[1], abroad})
		jj_server_view_destroy(view);
}

// Story 27: a VM's suspect runs for seconds. Its neighbours have to know at
// once that the server is taken, however far from full it is.
TEST_F(DispatchTest, AllHearWhereASuspectRuns)
{
	retry_floor = 20;
	Build(3, 32);
	MeetMany(9);
	Tick(1000);
	BeginOnline(1);
	Event(1, 1, JJ_BACKEND_BROKEN);
	told.clear();
	for (int i = 0; i < 600 && starts.size() < 2; i++)
		Tick(20);
	ASSERT_EQ(2u, starts.size());
	for (int i = 0; i < 25; i++)
		Tick(20);
	for (const auto &one : others)
		EXPECT_EQ(1, ToldOnline(one.first, starts[1].server));
}

// Story 27: two servers die together. A request of the second meets the first
// on its way: found dead twice, it would have used up its attempts without
// having run anywhere since.
TEST_F(DispatchTest, ServersFoundDeadUseUpNoAttempts)
{
	retry_floor = 20;
	Build(4, 8);
	BeginOnline(1);
	Event(1, 1, JJ_BACKEND_NOT_SENT);
	Event(1, 2, JJ_BACKEND_NOT_SENT);
	Event(1, 3, JJ_BACKEND_NOT_SENT);
	EXPECT_EQ(4, StartsOf(1));
	EXPECT_EQ(nullptr, AnswerOf(1));
	// None is left: that is said at once, and that it was not run.
	Event(1, 4, JJ_BACKEND_NOT_SENT);
	ASSERT_NE(nullptr, AnswerOf(1));
	EXPECT_EQ(JJ_RUN_NOT_RUN, AnswerOf(1)->run);
	EXPECT_EQ(JJ_GIVE_UP_NO_SERVER, AnswerOf(1)->reason);
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
	// The word of the death goes first, so that resends elsewhere rest.
	EXPECT_EQ(4u, starts.size());
	Tick(30);
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

// Stories 18 and 28: a network fault breaks a stream in the middle, or an
// engine ends it early without its end mark. The caller has half an order; the
// engine is well and still has the rest. Sent anew, the caller would get the
// beginning twice; not resumed, it has to ask again for all of it.
TEST_F(DispatchTest, BrokenStreamGoesOnAtItsServer)
{
	struct Case {
		const char *name;
		bool resumable;
		bool relayed;
		jj_backend_kind_t then; // how the second attempt ends
		bool then_resumable;
		int starts; // all, with those elsewhere
		bool answered;
		jj_give_up_t reason;
	} cases[] = {
	    {"goes on", true, true, JJ_BACKEND_DONE, false, 2, false,
		JJ_GIVE_UP_NONE},
	    {"breaks again", true, true, JJ_BACKEND_BROKEN, true, 3, false,
		JJ_GIVE_UP_NONE},
	    {"another boot", true, true, JJ_BACKEND_FAILED, false, 2, true,
		JJ_GIVE_UP_BROKEN},
	    {"unknown stream", true, true, JJ_BACKEND_REJECTED, false, 2, true,
		JJ_GIVE_UP_BROKEN},
	    {"leaving", true, true, JJ_BACKEND_LEAVING, false, 2, true,
		JJ_GIVE_UP_BROKEN},
	    {"died", true, true, JJ_BACKEND_NOT_SENT, false, 2, true,
		JJ_GIVE_UP_BROKEN},
	    {"unseen, died", true, false, JJ_BACKEND_NOT_SENT, false, 3, false,
		JJ_GIVE_UP_NONE},
	    {"unseen, refused", true, false, JJ_BACKEND_REJECTED, false, 3,
		false, JJ_GIVE_UP_NONE},
	    {"no stream", false, true, JJ_BACKEND_DONE, false, 1, true,
		JJ_GIVE_UP_BROKEN},
	};
	uint64_t number = 0;

	retry_floor = 20;
	for (const Case &row : cases) {
		SCOPED_TRACE(row.name);
		starts.clear();
		Build(3, 8);
		BeginOnline(++number);
		Event(number, 1, JJ_BACKEND_FIRST, row.relayed);
		Event(number, 1, JJ_BACKEND_BROKEN, row.relayed, 0,
		    row.resumable);
		if (row.resumable) {
			ASSERT_EQ(2u, starts.size());
			EXPECT_EQ(starts[0].server, starts[1].server);
			EXPECT_EQ(1u, starts[1].resume_from);
			EXPECT_EQ(2u, starts[1].attempt);
		}
		Event(number, 2, row.then, row.relayed, 0, row.then_resumable);
		Tick(SPREAD_MS);
		ASSERT_EQ((size_t)row.starts, starts.size());
		// A resume goes to its own server, a fresh start elsewhere.
		if (row.starts == 3) {
			EXPECT_EQ(row.then_resumable ? 1u : 0u,
			    starts[2].resume_from);
			EXPECT_EQ(row.then_resumable,
			    starts[2].server == starts[0].server);
		}
		const Answer *answer = AnswerOf(number);
		ASSERT_EQ(row.answered, answer != nullptr);
		if (answer != nullptr) {
			EXPECT_EQ(row.reason, answer->reason);
			EXPECT_EQ(JJ_RUN_UNKNOWN, answer->run);
		}
		TearDown();
	}
	Build(1, 8);
}

// Story 16 with 18: an engine breaks each stream again and again. Resumed
// without a bound its streams come back for ever, as a retry storm would.
TEST_F(DispatchTest, ResumesAreBounded)
{
	retry_floor = 4;
	Build(3, 32);
	for (uint64_t i = 1; i <= 2; i++) {
		BeginOnline(i);
		for (uint32_t attempt = 1; attempt <= 3; attempt++)
			Event(i, attempt, JJ_BACKEND_BROKEN, true, 0, true);
		EXPECT_EQ(3, StartsOf(i));
		ASSERT_NE(nullptr, AnswerOf(i));
		EXPECT_EQ(JJ_GIVE_UP_BROKEN, AnswerOf(i)->reason);
	}
	// The floor's four are used up: they count as retries.
	BeginOnline(3);
	Event(3, 1, JJ_BACKEND_BROKEN, true, 0, true);
	EXPECT_EQ(1, StartsOf(3));
	ASSERT_NE(nullptr, AnswerOf(3));
}

// Story 18 with 27: the break was the server's death. A resume would go to a
// dead server; what broke there is a suspect, whoever sees the death first.
TEST_F(DispatchTest, NothingIsResumedAtADeadServer)
{
	bool is_news;

	retry_floor = 20;
	Build(3, 8);
	BeginOnline(1);
	std::string first = starts[0].server;
	jj_name_t name = Name(first);
	// A neighbour has told of it already.
	jj_fleet_note(fleet, &name, JJ_SERVER_DOWN, 7, now, &out, &is_news);
	Event(1, 1, JJ_BACKEND_BROKEN, false, 0, true);
	Tick(SPREAD_MS);
	ASSERT_EQ(2u, starts.size());
	EXPECT_NE(first, starts[1].server);
	EXPECT_EQ(0u, starts[1].resume_from);
	// The own probe sees it while the resume is under way.
	BeginOnline(2);
	std::string second = starts[2].server;
	Event(2, 1, JJ_BACKEND_BROKEN, false, 0, true);
	ASSERT_EQ(1u, starts[3].resume_from);
	Crash(second.back() - '0', 7);
	EXPECT_EQ(JJ_QUARANTINE_SUSPECT,
	    jj_quarantine_check(tested_quarantine, 1002, now));
	for (size_t i = 4; i < starts.size(); i++) {
		EXPECT_NE(second, starts[i].server);
		EXPECT_EQ(0u, starts[i].resume_from);
	}
}

// Story 27 with 18: streams break as their server dies; their resumes find
// nobody there, and the probes see the death last. Each of them may be the one
// that killed it: one per server from now on, and all are in the report.
TEST_F(DispatchTest, VainResumesAreSuspects)
{
	retry_floor = 20;
	Build(1, 8);
	for (uint64_t i = 1; i <= 3; i++) {
		BeginOnline(i);
		Event(i, 1, JJ_BACKEND_FIRST, i == 3);
		Event(i, 1, JJ_BACKEND_BROKEN, i == 3, 0, true);
	}
	ASSERT_EQ(6u, starts.size());
	LearnServer(1);
	Tick(200);
	for (uint64_t i = 1; i <= 3; i++)
		Event(i, 2, JJ_BACKEND_NOT_SENT, i == 3);
	Tick(SPREAD_MS);
	EXPECT_EQ(7u, starts.size());
	EXPECT_EQ("server-1", starts.back().server);
	ASSERT_NE(nullptr, AnswerOf(3));
	Crash(0, 7);
	for (uint64_t fingerprint : {1001, 1002, 1003})
		EXPECT_EQ(JJ_QUARANTINE_SUSPECT,
		    jj_quarantine_check(tested_quarantine, fingerprint, now));
}

// Story 16 with 18: a server dies with many streams. Were both the resume that
// finds it dead and the fresh start charged, the budget would be gone with
// the first few, and the other callers refused though servers are free.
TEST_F(DispatchTest, StartAfterAVainResumeIsNotCharged)
{
	retry_floor = 1;
	Build(3, 8);
	BeginOnline(1);
	Event(1, 1, JJ_BACKEND_BROKEN, false, 0, true);
	Event(1, 2, JJ_BACKEND_NOT_SENT);
	Tick(SPREAD_MS);
	ASSERT_EQ(3u, starts.size());
	EXPECT_NE(starts[0].server, starts[2].server);
	EXPECT_EQ(0u, starts[2].resume_from);
}

// A batch item's stream goes on too: what it has generated is not lost.
TEST_F(DispatchTest, BrokenBatchStreamGoesOn)
{
	Build(1, 32);
	BeginBatch(1);
	Event(1, 1, JJ_BACKEND_BROKEN, false, 0, true);
	ASSERT_EQ(2u, starts.size());
	EXPECT_EQ(1u, starts[1].resume_from);
	EXPECT_EQ(nullptr, AnswerOf(1));
	Event(1, 2, JJ_BACKEND_FAILED);
	ASSERT_NE(nullptr, AnswerOf(1));
	EXPECT_EQ(JJ_GIVE_UP_BROKEN, AnswerOf(1)->reason);
}

// Story 14 in a domain of ten VMs: a caller's request is on its way to a
// server full of batch. Its steward hears of it in the same step; the eight
// others, who only weigh servers, need not.
TEST_F(DispatchTest, StewardHearsAtOnce)
{
	Build(8, 32);
	MeetMany(9);
	Tick(1000);
	told.clear();
	for (uint64_t i = 1; i <= 8; i++) {
		Tick(10);
		BeginOnline(i);
	}
	Tick(10);
	for (const Start &start : starts) {
		std::string steward = StewardOf(start.server);
		if (steward != "vm-a") {
			EXPECT_EQ(1, ToldOnline(steward, start.server));
		}
	}
	size_t stewarded = 0;
	for (int i = 0; i < 8; i++)
		stewarded += StewardOf("server-" + std::to_string(i)) == "vm-a";
	ASSERT_EQ(8u, starts.size());
	EXPECT_EQ(8 - stewarded, told.size());
}

// A steward that is never told that requests ended keeps batch away from an
// idle server. It is told when there is something else to say, or in time.
TEST_F(DispatchTest, StewardHearsOfTheEndInTime)
{
	Build(1, 32);
	MeetMany(9);
	std::string steward = StewardOf("server-0");
	ASSERT_NE("vm-a", steward) << "choose other VM names";
	Tick(1000);
	BeginOnline(1);
	Event(1, 1, JJ_BACKEND_DONE);
	for (int i = 0; i < 40; i++)
		Tick(20);
	EXPECT_EQ(0, ToldOnline(steward, "server-0"));
}

// What VMs tell each other has to fit their control budget at any rate of
// requests: here a request begins and ends each millisecond for 200 ms. With
// 2 VMs all loads go out each 16 ms, and a steward hears of more each 5 ms.
TEST_F(DispatchTest, LoadMessagesAreSpaced)
{
	Build(4, 32);
	MeetNeighbour();
	told.clear();
	for (uint64_t i = 1; i <= 200; i++, now++) {
		BeginOnline(i);
		Event(i, 1, JJ_BACKEND_DONE);
	}
	EXPECT_LE(told.size(), 200u / 16 + 200u / 5 + 2);
	EXPECT_GE(told.size(), 10u);
}

// A server nearly has all the requests it can run. Here one more decides
// whether the next VM's caller waits in a queue: all are told of it.
TEST_F(DispatchTest, AllHearOfANearlyFullServer)
{
	struct Case {
		const char *name;
		uint32_t others;
		uint32_t own;
		bool told;
	} cases[] = {
	    {"far from full", 2, 1, false},
	    {"by two", 2, 2, true},
	    {"nearly full", 23, 1, true},
	};

	for (const Case &row : cases) {
		SCOPED_TRACE(row.name);
		starts.clear();
		Build(1, 32);
		MeetMany(9);
		jj_name_t from = Name("vm-c0");
		jj_name_t server = Name("server-0");
		jj_load_t load = {
		    jj_dispatch_hash_server(&server), row.others, 0, 0};
		jj_dispatch_take_loads(dispatch, &from, &load, 1, now);
		Tick(1000);
		told.clear();
		for (uint32_t i = 1; i <= row.own; i++)
			BeginOnline(i);
		Tick(500);
		int heard = 0;
		for (const auto &one : others)
			heard +=
			    ToldOnline(one.first, "server-0") == (int)row.own;
		EXPECT_EQ(row.told ? 9 : 1, heard);
		TearDown();
	}
	Build(1, 8);
}

// A load message is lost, or its change was too small to be told: a neighbour
// would be wrong about that server for ever. Heartbeats name all in turn.
TEST_F(DispatchTest, HeartbeatsNameAllServersInTurn)
{
	for (int servers : {1, 8, 9, 100}) {
		SCOPED_TRACE(servers);
		Build(servers, 32);
		Tick(200);
		std::map<uint64_t, int> named;
		jj_load_t loads[JJ_MESSAGE_LOADS_MAX];
		for (int round = 0; round < (servers + 7) / 8; round++) {
			uint32_t count = jj_dispatch_loads(
			    dispatch, loads, JJ_MESSAGE_LOADS_MAX);
			EXPECT_LE(count, 8u);
			for (uint32_t i = 0; i < count; i++)
				named[loads[i].server]++;
		}
		EXPECT_EQ((size_t)servers, named.size());
		TearDown();
	}
	Build(1, 8);
}

// Story 29: a VM is replaced. Nothing changes meanwhile, so nobody would tell
// the new one what runs; it takes full servers for idle ones.
TEST_F(DispatchTest, NewNeighbourIsToldOfAllThatRuns)
{
	Build(3, 32);
	for (uint64_t i = 1; i <= 3; i++)
		BeginOnline(i);
	Tick(200);
	told.clear();
	MeetNeighbour();
	Tick(200);
	for (const Start &start : starts)
		EXPECT_EQ(1, ToldOnline("vm-b", start.server));
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

// One server as the engine's interface describes it: it takes requests in at
// its next step and reports snapshots taken between two steps.
class BatchAtEngineTest : public DispatchTest
{
      protected:
	static constexpr jj_ms_t STEP_MS = 40;
	static constexpr jj_ms_t TOKENS_MS = 200;
	static constexpr jj_ms_t REPORT_MS = 500;
	static constexpr jj_ms_t SETTLED_MS = 10000;
	static constexpr int TOKENS = 8;

	struct Run {
		uint64_t request;
		int tokens;
		int told;
		jj_ms_t told_ms;
	};

	// Time until so many items are done, the first report after @p first.
	jj_ms_t
	RunItems(uint64_t items, size_t slots, jj_ms_t first, jj_ms_t most)
	{
		jj_ms_t begun = now;
		jj_ms_t report = now + first;
		jj_ms_t step = now;

		done = 0;
		while (done < items && now - begun < most) {
			if (now >= step) {
				Step();
				if (now >= report) {
					Report();
					report += REPORT_MS;
				}
				Admit(slots);
				step = now + STEP_MS;
			}
			while (sent_items < items &&
			    jj_dispatch_batch_room(dispatch, now) > 0) {
				BeginBatch(++sent_items);
				waiting.push_back(sent_items);
				/* An idle engine begins a step at once. */
				if (running.empty()) {
					Admit(slots);
					step = now + STEP_MS;
				}
			}
			if (now - begun >= SETTLED_MS)
				most_late = std::max(
				    most_late, waiting.size() + running.size());
			Tick(5);
		}
		return now - begun;
	}

	void
	Step()
	{
		for (auto run = running.begin(); run != running.end();) {
			if (++run->tokens == 1) {
				Event(run->request, 1, JJ_BACKEND_FIRST);
				run->told = 1;
				run->told_ms = now;
			}
			if (run->tokens < TOKENS) {
				if (now >= run->told_ms + TOKENS_MS)
					Tell(*run);
				run++;
				continue;
			}
			Tell(*run);
			Event(run->request, 1, JJ_BACKEND_DONE);
			run = running.erase(run);
			done++;
		}
	}

	void
	Tell(Run &run)
	{
		Event(run.request, 1, JJ_BACKEND_TOKENS, false,
		    run.tokens - run.told);
		run.told = run.tokens;
		run.told_ms = now;
	}

	void
	Report()
	{
		jj_name_t name = Name("server-0");

		jj_dispatch_take_report(
		    dispatch, &name, running.size(), waiting.size(), 0, now);
	}

	void
	Admit(size_t slots)
	{
		while (running.size() < slots && !waiting.empty()) {
			running.push_back({waiting.front(), 0, 0, 0});
			waiting.erase(waiting.begin());
		}
	}

	uint64_t done = 0;
	uint64_t sent_items = 0;
	size_t most_late = 0; // at the server once the limit has settled
	std::vector<uint64_t> waiting;
	std::vector<Run> running;
};

/* Guards against a server with free places that gets one batch item at a time. */
TEST_F(BatchAtEngineTest, RunsManyItemsWhateverAReportCatches)
{
	for (jj_ms_t first = 0; first < REPORT_MS; first += STEP_MS / 2) {
		SCOPED_TRACE(first);
		Build(1, 32);
		Tick(100);
		EXPECT_LE(RunItems(200, 32, first, 60000), 15000);
		TearDown();
		running.clear();
		waiting.clear();
		sent_items = 0;
	}
	Build(1, 32);
}

/* Guards against batch that fills the queue of a server with fewer places. */
TEST_F(BatchAtEngineTest, KeepsToThePlacesAServerHas)
{
	Build(1, 32);
	Tick(100);
	EXPECT_LT(RunItems(600, 8, 0, 60000), 60000);
	EXPECT_GE(most_late, 8u);
	EXPECT_LE(most_late, 12u);
}

/* Guards against a server that got its places back and stays at one item. */
TEST_F(BatchAtEngineTest, FindsPlacesThatCameFree)
{
	Build(1, 32);
	Tick(100);
	RunItems(10, 1, 0, 60000);
	EXPECT_EQ(running.size() + waiting.size(), 0u);
	sent_items = 0;
	EXPECT_LE(RunItems(200, 32, 0, 60000), 20000);
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
