// Tests of dispatch: routing, fairness, retries, deadlines, batch beside
// online.

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
	jj_failure_t reason;
	jj_run_t run;
	jj_ms_t retry_after_ms;
};

struct Start {
	uint64_t request;
	uint32_t attempt;
	std::string server;
	uint32_t resume_from;
};

// Time in which a crash report reaches all VMs, ms.
const jj_ms_t CRASH_PROPAGATION_MS = 30;

// A load message that was sent.
struct SentLoads {
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

// One VM, "vm-a", and on request a live neighbour, "vm-b".
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
		jj_fleet_add_server(fleet, &server);
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

	// Moves the actions of dispatch into the lists below.
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
			sent_loads.push_back({to.text,
			    {loads, loads + message.body.load.count}});
	}

	// Online count last reported to a VM for a server; -1: none.
	int
	ReportedOnline(const std::string &vm, const std::string &server) const
	{
		jj_name_t name = Name(server);
		int online = -1;

		for (const SentLoads &one : sent_loads)
			for (const jj_load_t &load : one.loads)
				if (one.to == vm &&
				    load.server ==
					jj_dispatch_hash_server(&name))
					online = (int)load.online;
		return online;
	}

	// The steward of a server.
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

	// Exchanges heartbeats and probes until both VMs know each other.
	void
	ConnectNeighbour()
	{
		jj_name_t a = Name("vm-a");
		jj_name_t b = Name("vm-b");
		jj_name_t domain = Name("sala-a");

		jj_member_add_vm(member_a, &b, &domain, "");
		jj_member_add_vm(member_b, &a, &domain, "");
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

	// Adds neighbours "vm-c0", "vm-c1", ... in this domain.
	void
	ConnectNeighbours(int count)
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
			jj_member_add_vm(member_a, &settings.name, &domain, "");
			jj_member_add_vm(member, &a, &domain, "");
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

	// Delivers the messages of one member and the replies that they cause.
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
	    bool probe_cut = false)
	{
		jj_backend_event_t event = {};

		event.request = request;
		event.attempt = attempt;
		event.kind = kind;
		event.tokens = tokens;
		event.relayed = relayed;
		event.resumable = resumable;
		event.probe_cut = probe_cut;
		jj_dispatch_take_event(dispatch, &event, now, &out);
		Drain();
	}

	// The connection broke, and so did that of the probe of its server.
	void
	BreakWithProbe(uint64_t request, uint32_t attempt)
	{
		Event(
		    request, attempt, JJ_BACKEND_BROKEN, false, 1, false, true);
	}

	// A neighbour's report of a crash with this request in flight.
	void
	ReportCrash(uint64_t fingerprint, const std::string &server)
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
		jj_fleet_note_state(
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
	std::vector<SentLoads> sent_loads;
	std::map<std::string, jj_member_t *> others;
};

// Stories 10, 12, 13: a caller books pallets; the connection breaks after the
// request was sent, or the server answers 503 when it may have started. If it
// is sent again, the pallets are booked twice; if the answer says "not run",
// the shop books again.
TEST_F(DispatchTest, RetriesOnlyWhatCannotRunTwice)
{
	struct Case {
		const char *name;
		jj_backend_kind_t kind;
		bool idempotent;
		bool relayed;
		bool again;
		jj_failure_t reason;
		jj_run_t run;
	} cases[] = {
	    {"not sent", JJ_BACKEND_NOT_SENT, false, false, true,
		JJ_FAILURE_NONE, JJ_RUN_NOT_RUN},
	    {"refused unbegun", JJ_BACKEND_REFUSED, false, false, true,
		JJ_FAILURE_NONE, JJ_RUN_NOT_RUN},
	    {"leaving", JJ_BACKEND_LEAVING, false, false, true, JJ_FAILURE_NONE,
		JJ_RUN_NOT_RUN},
	    {"failed, idempotent", JJ_BACKEND_FAILED, true, false, true,
		JJ_FAILURE_NONE, JJ_RUN_NOT_RUN},
	    {"failed", JJ_BACKEND_FAILED, false, false, false,
		JJ_FAILURE_BROKEN, JJ_RUN_UNKNOWN},
	    {"broken, idempotent", JJ_BACKEND_BROKEN, true, false, true,
		JJ_FAILURE_NONE, JJ_RUN_NOT_RUN},
	    {"broken", JJ_BACKEND_BROKEN, false, false, false,
		JJ_FAILURE_BROKEN, JJ_RUN_UNKNOWN},
	    {"timeout", JJ_BACKEND_TIMEOUT, false, false, false,
		JJ_FAILURE_BROKEN, JJ_RUN_UNKNOWN},
	    {"broken in mid answer", JJ_BACKEND_BROKEN, true, true, false,
		JJ_FAILURE_BROKEN, JJ_RUN_UNKNOWN},
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

// Story 12: the first attempt may have run, the second was not sent. The answer
// covers both attempts: "not run" would be wrong.
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

// Story 18: a late answer for an abandoned attempt arrives while the retry runs
// at another server. The caller would get the end of another stream, and the
// retry's request slot would be released twice.
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

// Story 16: a server fails all requests. Callers see errors either way, but
// unlimited retries would triple the load, and the server would never recover.
// With a floor of 2 and a tenth of 40 first attempts, 6 retries are allowed.
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
		EXPECT_EQ(JJ_FAILURE_RETRIES, answer.reason);
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

// Story 16: a request that cannot be answered in time is answered at once, with
// a Retry-After. Kept until its deadline, it would only block the caller; sent
// late, it would waste a request slot.
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
	EXPECT_EQ(JJ_FAILURE_DEADLINE, AnswerOf(7)->reason);
	EXPECT_EQ(JJ_RUN_NOT_RUN, AnswerOf(7)->run);
	EXPECT_GE(AnswerOf(7)->retry_after_ms, 4000);
}

// Story 16: a request arrives after its deadline while a server has a free
// slot. It must not run, as its caller has gone.
TEST_F(DispatchTest, RequestPastItsDeadlineIsNotSent)
{
	Build(1, 8);
	jj_request_t request = Request(1);
	request.deadline_ms = now;
	Begin(request);
	ASSERT_NE(nullptr, AnswerOf(1));
	EXPECT_EQ(JJ_FAILURE_DEADLINE, AnswerOf(1)->reason);
	EXPECT_EQ(JJ_RUN_NOT_RUN, AnswerOf(1)->run);
	EXPECT_EQ(0, StartsOf(1));
}

// Story 16: a queued request's deadline comes closer while others run. It is
// answered as soon as even a fast answer would be late, not at the deadline.
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
	EXPECT_EQ(JJ_FAILURE_DEADLINE, AnswerOf(3)->reason);
	EXPECT_EQ(0, StartsOf(3));
}

// Story 17: one team sends fifty requests at once, then another team sends one.
// In order of arrival that one would wait for all fifty.
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

// Story 17: the queue is full of one team's requests. Refusing the next arrival
// would refuse other teams; the newest request of the flooding team is refused
// instead.
TEST_F(DispatchTest, FullQueueRefusesTheFloodingTeam)
{
	Build(1, 1, 10);
	for (uint64_t i = 1; i <= 11; i++)
		BeginOnline(i, "flood");
	ASSERT_TRUE(answers.empty());
	BeginOnline(100, "shops");
	EXPECT_EQ(nullptr, AnswerOf(100));
	ASSERT_NE(nullptr, AnswerOf(11));
	EXPECT_EQ(JJ_FAILURE_OVERLOADED, AnswerOf(11)->reason);
	EXPECT_GT(AnswerOf(11)->retry_after_ms, 0);
}

// Story 23: a server that is leaving refuses a request while the platform's
// list still has it. Without a notification each further request, and each
// other VM, would have to find that out again.
TEST_F(DispatchTest, LeavingServerGetsNoNewWork)
{
	Build(2, 64);
	ConnectNeighbour();
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

// Story 27: a request crashes the server it runs on, is retried, and crashes
// the next one. Other requests that were in flight with it must not stay
// suspects.
TEST_F(DispatchTest, CrashingRequestIsRefusedAfterItsSecondServer)
{
	Build(3, 1);
	BeginOnline(1);
	BeginOnline(2);
	std::string first = starts[0].server;
	// The connection breaks before the crash is detected.
	Event(1, 1, JJ_BACKEND_BROKEN);
	ASSERT_EQ(2, StartsOf(1));
	Crash(first.back() - '0', 7);
	Crash(starts.back().server.back() - '0', 7);
	ASSERT_NE(nullptr, AnswerOf(1));
	EXPECT_EQ(JJ_FAILURE_QUARANTINED, AnswerOf(1)->reason);
	EXPECT_EQ(0, AnswerOf(1)->retry_after_ms);
	EXPECT_EQ(nullptr, AnswerOf(2));
	Event(2, 1, JJ_BACKEND_DONE);
	jj_request_t again = Request(3);
	again.fingerprint = 1001;
	Begin(again);
	ASSERT_NE(nullptr, AnswerOf(3));
	EXPECT_EQ(JJ_FAILURE_QUARANTINED, AnswerOf(3)->reason);
}

// Story 27: connections break at once, but probes detect the crashes later. A
// request that is retried in the meantime would crash a third server before the
// first crash is known.
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
	EXPECT_EQ(JJ_FAILURE_QUARANTINED, AnswerOf(1)->reason);
	EXPECT_EQ(2, StartsOf(1));
	// Without a crash report the network was the cause: the request is
	// retried.
	BeginOnline(2);
	Event(2, 1, JJ_BACKEND_BROKEN);
	Event(2, 2, JJ_BACKEND_BROKEN);
	Tick(600);
	EXPECT_EQ(3, StartsOf(2));
}

/* Guards against a second attempt before the first server's crash is known. */
TEST_F(DispatchTest, ABreakAtADyingServerWaitsForItsDeath)
{
	Build(3, 8);
	BeginOnline(1);
	BreakWithProbe(1, 1);
	Tick(100);
	ASSERT_EQ(1, StartsOf(1));
	Crash(starts[0].server.back() - '0', 7);
	Tick(20);
	EXPECT_EQ(1, StartsOf(1));
	Tick(10);
	EXPECT_EQ(2, StartsOf(1));
}

/* Guards against waiting for the crash of a server that is alive. */
TEST_F(DispatchTest, ABreakAtALivingServerIsSentOnAtOnce)
{
	Build(3, 8);
	BeginOnline(1);
	BreakWithProbe(1, 1);
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

/* Guards against waiting for ever for a probe without a result. */
TEST_F(DispatchTest, ABreakAtAnUnknownServerIsSentOnAfterAWhile)
{
	Build(3, 8);
	BeginOnline(1);
	BreakWithProbe(1, 1);
	Tick(400);
	EXPECT_EQ(1, StartsOf(1));
	Tick(100);
	EXPECT_EQ(2, StartsOf(1));
}

/* Guards against a retry that is faster than the report of the second crash. */
TEST_F(DispatchTest, ASuspectWaitsForNewsOfAnotherDeath)
{
	Build(3, 8);
	ReportCrash(1001, "server-8");
	ReportCrash(1002, "server-8");
	BeginOnline(1);
	BeginOnline(2);
	EXPECT_EQ(0u, starts.size());
	ReportCrash(1001, "server-9");
	Tick(30);
	ASSERT_NE(nullptr, AnswerOf(1));
	EXPECT_EQ(JJ_FAILURE_QUARANTINED, AnswerOf(1)->reason);
	EXPECT_EQ(JJ_RUN_NOT_RUN, AnswerOf(1)->run);
	EXPECT_EQ(1, StartsOf(2));
}

// Story 27: two VMs each run one suspect on the same server. It crashes, and
// the crash is the second one counted against the innocent request, which is
// then refused for an hour.
TEST_F(DispatchTest, SuspectsKeepToServersOfTheirSteward)
{
	retry_floor = 20;
	Build(8, 8);
	ConnectNeighbour();
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
		// The server where it broke has probably crashed.
		EXPECT_NE(first[start.request], start.server);
		stewarded++;
	}
	EXPECT_GT(stewarded, 0u);
	ASSERT_LT(stewarded, 8u);
	// The remaining ones get other servers in the next round.
	for (int i = 0; i < 11; i++)
		Tick(100);
	EXPECT_EQ(16u, starts.size());
}

// Story 27: each VM has suspects of the same crash, and servers of which it is
// not steward. If suspects could use any server after a second, those of two
// VMs would meet on one server; it crashes, and the innocent one is refused for
// an hour.
TEST_F(DispatchTest, NoServerIsOpenToTwoVmsInOneRound)
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
	std::map<std::pair<int, jj_server_view_t *>, int> rounds;
	for (uint32_t round = 0; round < 3; round++) {
		std::map<jj_server_view_t *, int> open;
		for (int vm = 0; vm < 3; vm++) {
			jj_server_need_t need = {};
			need.request = &request;
			need.suspect = true;
			need.online_max = 8;
			need.online_share = 8;
			need.round = round;
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
				rounds[{vm, view}]++;
			}
			for (jj_server_view_t *one : mine)
				one->suspects = 0;
		}
		EXPECT_EQ(12u, open.size());
		for (const auto &one : open)
			EXPECT_EQ(1, one.second);
	}
	// Over all rounds each VM may use each server once.
	EXPECT_EQ(36u, rounds.size());
	// A suspect that still runs there from an earlier round blocks the
	// server.
	jj_server_need_t need = {};
	need.request = &request;
	need.suspect = true;
	need.online_max = 8;
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

// Story 27: a suspect was sent to another domain, whose VMs did not know of it.
// It shared a server with an innocent suspect there; the server crashed, and
// the innocent one was refused for an hour. As loads are reported within a
// domain only, a suspect leaves its domain only when no server there is up.
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
	jj_server_view_t *remote = jj_server_view_create(&server);
	remote->up = true;
	TAILQ_INSERT_TAIL(&views, remote, link);
	jj_server_need_t need = {};
	need.request = &request;
	need.online_max = 8;
	need.self = &self.name;
	need.vms = &self;
	need.vm_count = 1;
	struct {
		const char *name;
		bool suspect;
		uint32_t suspects; /**< suspects on each local server */
		uint32_t online; /**< online requests on each local server */
		bool up;
		bool leaves_domain;
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
		EXPECT_EQ(one.leaves_domain,
		    jj_server_choose_online(&views, &need, now) == remote)
		    << one.name;
	}
	for (jj_server_view_t *view : {local[0], local[1], remote})
		jj_server_view_destroy(view);
}

// Story 27: a VM's suspect runs for seconds. Its neighbours must learn at once
// that the server is in use for a suspect, however low its load is.
TEST_F(DispatchTest, NeighboursAreNotifiedWhereASuspectRuns)
{
	retry_floor = 20;
	Build(3, 32);
	ConnectNeighbours(9);
	Tick(1000);
	BeginOnline(1);
	Event(1, 1, JJ_BACKEND_BROKEN);
	sent_loads.clear();
	for (int i = 0; i < 600 && starts.size() < 2; i++)
		Tick(20);
	ASSERT_EQ(2u, starts.size());
	for (int i = 0; i < 25; i++)
		Tick(20);
	for (const auto &one : others)
		EXPECT_EQ(1, ReportedOnline(one.first, starts[1].server));
}

// Story 27: two servers crash together. The retry of a request from the second
// one meets the first one, which refuses the connection. If that counted, the
// request would use up its attempts without having run again.
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
	// No server is left: the answer comes at once and says that it was not
	// run.
	Event(1, 4, JJ_BACKEND_NOT_SENT);
	ASSERT_NE(nullptr, AnswerOf(1));
	EXPECT_EQ(JJ_RUN_NOT_RUN, AnswerOf(1)->run);
	EXPECT_EQ(JJ_FAILURE_NO_SERVER, AnswerOf(1)->reason);
}

// Story 27: this VM's only server broke the connection because it crashed. A
// retry sent back at once would waste an attempt on a server that is suspected
// to be down.
TEST_F(DispatchTest, SuspectDoesNotGoBackAtOnce)
{
	Build(1, 8);
	BeginOnline(1);
	Event(1, 1, JJ_BACKEND_BROKEN);
	Tick(100);
	EXPECT_EQ(1, StartsOf(1));
	// The server turned out to be healthy.
	Tick(1000);
	EXPECT_EQ(2, StartsOf(1));
}

// Story 27: eight requests were in flight on the server that crashed. Sent to
// one server together, all eight would be blamed for the next crash.
TEST_F(DispatchTest, SuspectsRunOnePerServer)
{
	Build(1, 16);
	for (uint64_t i = 1; i <= 4; i++)
		BeginOnline(i);
	LearnServer(1);
	LearnServer(2);
	Tick(200);
	Crash(0, 7);
	// The crash report is sent first, so that copies at other VMs are
	// delayed.
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

// Story 14: batch fills a server; another VM sends a burst of online requests
// there, which this VM learns of by a message. Callers wait behind batch until
// batch items are cancelled.
TEST_F(DispatchTest, BatchGivesWayToANeighboursBurst)
{
	Build(1, 32);
	ConnectNeighbour();
	jj_name_t steward;
	jj_name_t domain = Name("sala-a");
	jj_name_t server = Name("server-0");
	ASSERT_TRUE(jj_member_choose(member_a, &domain,
	    jj_hash_bytes(server.text, strlen(server.text), 0), &steward));
	ASSERT_STREQ("vm-a", steward.text) << "choose another server name";
	EXPECT_EQ(2u, jj_dispatch_batch_capacity(dispatch, now));
	BeginBatch(1);
	BeginBatch(2);
	ASSERT_EQ(2u, starts.size());
	EXPECT_EQ(0u, jj_dispatch_batch_capacity(dispatch, now));
	Event(1, 1, JJ_BACKEND_FIRST);
	Event(1, 1, JJ_BACKEND_TOKENS, false, 9);
	NeighbourLoad(0, 3, 0);
	EXPECT_LE(jj_dispatch_next(dispatch), now);
	Tick(0);
	// Both are cancelled, the one with least lost work first.
	ASSERT_EQ(2u, cancels.size());
	EXPECT_EQ(2u, cancels[0]);
	EXPECT_EQ(JJ_FAILURE_OVERLOADED, AnswerOf(2)->reason);
	EXPECT_GT(AnswerOf(2)->retry_after_ms, 0);
	NeighbourLoad(0, 0, 0);
	EXPECT_EQ(0u, jj_dispatch_batch_capacity(dispatch, now));
	Tick(100);
	EXPECT_EQ(2u, jj_dispatch_batch_capacity(dispatch, now));
}

// Stories 14 and 10: a batch item of a non-idempotent service is cancelled for
// a burst. As it may have run, it could never be retried and would have no
// result.
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

/* Guards against a sound item that fails as two servers crashed under it. */
TEST_F(DispatchTest, AnItemIsSentThoughServersCrashedUnderItsContent)
{
	Build(4, 8);
	for (const char *server : {"server-0", "server-1"})
		ReportCrash(1001, server);
	BeginBatch(1);
	ASSERT_EQ(1u, starts.size());
	EXPECT_EQ(nullptr, AnswerOf(1));
	Event(1, 1, JJ_BACKEND_BROKEN);
	Tick(CRASH_PROPAGATION_MS);
	ASSERT_NE(nullptr, AnswerOf(1)) << "its job sends it again";
	EXPECT_NE(JJ_FAILURE_QUARANTINED, AnswerOf(1)->reason);
}

// Story 31: a neighbour stalls after it reported a hundred requests in flight.
// That report would keep a healthy server full for ever.
TEST_F(DispatchTest, SilentNeighboursLoadLapses)
{
	Build(1, 8);
	ConnectNeighbour();
	NeighbourLoad(0, 100, 0);
	// Above its own share, 4 of 8, this VM relies on the reported load.
	for (uint64_t i = 1; i <= 5; i++)
		BeginOnline(i);
	EXPECT_EQ(0, StartsOf(5));
	for (int i = 0; i < 6; i++)
		jj_member_tick(member_a, now += 500, &out);
	Tick(0);
	EXPECT_EQ(1, StartsOf(5));
}

// Story 31: the same for batch: a server at which a stalled neighbour seems to
// run a hundred requests gets no batch until that report expires.
TEST_F(DispatchTest, SilentNeighboursLoadDoesNotStopBatch)
{
	Build(1, 8);
	ConnectNeighbour();
	NeighbourLoad(0, 100, 0);
	EXPECT_EQ(0u, jj_dispatch_batch_capacity(dispatch, now));
	for (int i = 0; i < 6; i++)
		jj_member_tick(member_a, now += 500, &out);
	Tick(0);
	EXPECT_EQ(2u, jj_dispatch_batch_capacity(dispatch, now));
}

// Stories 18 and 28: a network fault breaks a stream in the middle, or an
// engine ends it without its end mark. The caller has half the answer; the
// engine is healthy and still has the rest. Restarted, the stream would repeat
// its beginning; not resumed, the caller has to request all of it again.
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
		jj_failure_t reason;
	} cases[] = {
	    {"goes on", true, true, JJ_BACKEND_DONE, false, 2, false,
		JJ_FAILURE_NONE},
	    {"breaks again", true, true, JJ_BACKEND_BROKEN, true, 3, false,
		JJ_FAILURE_NONE},
	    {"another boot", true, true, JJ_BACKEND_FAILED, false, 2, true,
		JJ_FAILURE_BROKEN},
	    {"unknown stream", true, true, JJ_BACKEND_REJECTED, false, 2, true,
		JJ_FAILURE_BROKEN},
	    {"leaving", true, true, JJ_BACKEND_LEAVING, false, 2, true,
		JJ_FAILURE_BROKEN},
	    {"died", true, true, JJ_BACKEND_NOT_SENT, false, 2, true,
		JJ_FAILURE_BROKEN},
	    {"unseen, died", true, false, JJ_BACKEND_NOT_SENT, false, 3, false,
		JJ_FAILURE_NONE},
	    {"unseen, refused", true, false, JJ_BACKEND_REJECTED, false, 3,
		false, JJ_FAILURE_NONE},
	    {"no stream", false, true, JJ_BACKEND_DONE, false, 1, true,
		JJ_FAILURE_BROKEN},
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
		Tick(CRASH_PROPAGATION_MS);
		ASSERT_EQ((size_t)row.starts, starts.size());
		// A resume goes to the same server, a new start to another one.
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

// Stories 16 and 18: an engine breaks each stream repeatedly. Without a limit
// its streams would be resumed for ever, like a retry storm.
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
		EXPECT_EQ(JJ_FAILURE_BROKEN, AnswerOf(i)->reason);
	}
	// The floor of four is used up: resumes count as retries.
	BeginOnline(3);
	Event(3, 1, JJ_BACKEND_BROKEN, true, 0, true);
	EXPECT_EQ(1, StartsOf(3));
	ASSERT_NE(nullptr, AnswerOf(3));
}

// Stories 18 and 27: the stream broke because the server crashed. A resume
// would go to a crashed server; the requests that broke there are suspects,
// whoever detects the crash first.
TEST_F(DispatchTest, NothingIsResumedAtADeadServer)
{
	bool is_news;

	retry_floor = 20;
	Build(3, 8);
	BeginOnline(1);
	std::string first = starts[0].server;
	jj_name_t name = Name(first);
	// A neighbour has reported the crash already.
	jj_fleet_note_state(
	    fleet, &name, JJ_SERVER_DOWN, 7, now, &out, &is_news);
	Event(1, 1, JJ_BACKEND_BROKEN, false, 0, true);
	Tick(CRASH_PROPAGATION_MS);
	ASSERT_EQ(2u, starts.size());
	EXPECT_NE(first, starts[1].server);
	EXPECT_EQ(0u, starts[1].resume_from);
	// This VM's probe detects the crash while the resume is in progress.
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

// Stories 27 and 18: streams break because their server crashed; their resumes
// are refused there, and probes detect the crash last. Each of the requests may
// have caused it: a server runs one of them at a time, and all are in the crash
// report.
TEST_F(DispatchTest, FailedResumesAreSuspects)
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
	Tick(CRASH_PROPAGATION_MS);
	EXPECT_EQ(7u, starts.size());
	EXPECT_EQ("server-1", starts.back().server);
	ASSERT_NE(nullptr, AnswerOf(3));
	Crash(0, 7);
	for (uint64_t fingerprint : {1001, 1002, 1003})
		EXPECT_EQ(JJ_QUARANTINE_SUSPECT,
		    jj_quarantine_check(tested_quarantine, fingerprint, now));
}

// Stories 16 and 18: a server crashes with many streams. If both the failed
// resume and the new start were charged, the first few requests would use up
// the retry budget, and other callers would be refused though servers are free.
TEST_F(DispatchTest, StartAfterAFailedResumeIsNotCharged)
{
	retry_floor = 1;
	Build(3, 8);
	BeginOnline(1);
	Event(1, 1, JJ_BACKEND_BROKEN, false, 0, true);
	Event(1, 2, JJ_BACKEND_NOT_SENT);
	Tick(CRASH_PROPAGATION_MS);
	ASSERT_EQ(3u, starts.size());
	EXPECT_NE(starts[0].server, starts[2].server);
	EXPECT_EQ(0u, starts[2].resume_from);
}

// A batch item's stream is resumed, too: its tokens so far are not lost.
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
	EXPECT_EQ(JJ_FAILURE_BROKEN, AnswerOf(1)->reason);
}

// Story 14 in a domain of ten VMs: an online request goes to a server full of
// batch items. The steward is notified in the same step; the eight others only
// use loads to order servers and can wait.
TEST_F(DispatchTest, StewardIsNotifiedAtOnce)
{
	Build(8, 32);
	ConnectNeighbours(9);
	Tick(1000);
	sent_loads.clear();
	for (uint64_t i = 1; i <= 8; i++) {
		Tick(10);
		BeginOnline(i);
	}
	Tick(10);
	for (const Start &start : starts) {
		std::string steward = StewardOf(start.server);
		if (steward != "vm-a") {
			EXPECT_EQ(1, ReportedOnline(steward, start.server));
		}
	}
	size_t stewarded = 0;
	for (int i = 0; i < 8; i++)
		stewarded += StewardOf("server-" + std::to_string(i)) == "vm-a";
	ASSERT_EQ(8u, starts.size());
	EXPECT_EQ(8 - stewarded, sent_loads.size());
}

// A steward that does not learn that requests ended keeps batch away from an
// idle server. It learns of that with the next report of an increase, or with
// the next regular report.
TEST_F(DispatchTest, StewardIsNotifiedOfTheEndInTime)
{
	Build(1, 32);
	ConnectNeighbours(9);
	std::string steward = StewardOf("server-0");
	ASSERT_NE("vm-a", steward) << "choose other VM names";
	Tick(1000);
	BeginOnline(1);
	Event(1, 1, JJ_BACKEND_DONE);
	for (int i = 0; i < 40; i++)
		Tick(20);
	EXPECT_EQ(0, ReportedOnline(steward, "server-0"));
}

// Messages between VMs have to fit the control budget at any request rate: here
// a request begins and ends each millisecond for 200 ms. With 2 VMs all loads
// are sent each 16 ms, and an increase goes to the steward each 5 ms.
TEST_F(DispatchTest, LoadMessagesAreSpaced)
{
	Build(4, 32);
	ConnectNeighbour();
	sent_loads.clear();
	for (uint64_t i = 1; i <= 200; i++, now++) {
		BeginOnline(i);
		Event(i, 1, JJ_BACKEND_DONE);
	}
	EXPECT_LE(sent_loads.size(), 200u / 16 + 200u / 5 + 2);
	EXPECT_GE(sent_loads.size(), 10u);
}

// A server is nearly full. One more request decides whether a caller at another
// VM waits in a queue, so all VMs are notified.
TEST_F(DispatchTest, NeighboursAreNotifiedOfANearlyFullServer)
{
	struct Case {
		const char *name;
		uint32_t others;
		uint32_t own;
		bool sent_loads;
	} cases[] = {
	    {"far from full", 2, 1, false},
	    {"by two", 2, 2, true},
	    {"nearly full", 23, 1, true},
	};

	for (const Case &row : cases) {
		SCOPED_TRACE(row.name);
		starts.clear();
		Build(1, 32);
		ConnectNeighbours(9);
		jj_name_t from = Name("vm-c0");
		jj_name_t server = Name("server-0");
		jj_load_t load = {
		    jj_dispatch_hash_server(&server), row.others, 0, 0};
		jj_dispatch_take_loads(dispatch, &from, &load, 1, now);
		Tick(1000);
		sent_loads.clear();
		for (uint32_t i = 1; i <= row.own; i++)
			BeginOnline(i);
		Tick(500);
		int heard = 0;
		for (const auto &one : others)
			heard += ReportedOnline(one.first, "server-0") ==
			    (int)row.own;
		EXPECT_EQ(row.sent_loads ? 9 : 1, heard);
		TearDown();
	}
	Build(1, 8);
}

// A load message is lost, or a change was too small to be reported: without the
// rotation of servers in heartbeats a neighbour would be wrong for ever.
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

// Story 29: a VM is replaced. Loads do not change meanwhile, so nothing would
// be reported to the new process, which would take full servers for idle ones.
TEST_F(DispatchTest, NewNeighbourIsToldOfAllThatRuns)
{
	Build(3, 32);
	for (uint64_t i = 1; i <= 3; i++)
		BeginOnline(i);
	Tick(200);
	sent_loads.clear();
	ConnectNeighbour();
	Tick(200);
	for (const Start &start : starts)
		EXPECT_EQ(1, ReportedOnline("vm-b", start.server));
}

// Story 17: a team floods the other VM, which refills each slot as it becomes
// free. A caller at this VM would wait until the flood ends.
TEST_F(DispatchTest, FloodElsewhereLeavesThisVmItsShare)
{
	Build(1, 8);
	ConnectNeighbour();
	NeighbourLoad(0, 8, 0);
	BeginOnline(1);
	EXPECT_EQ(1, StartsOf(1));
}

// Story 24: a planned stop. Requests in progress run to their end; new ones are
// refused at once, so that callers use another VM.
TEST_F(DispatchTest, LeavingVmFinishesWhatItHas)
{
	Build(1, 8);
	BeginOnline(1);
	jj_dispatch_drain(dispatch);
	BeginOnline(2);
	ASSERT_NE(nullptr, AnswerOf(2));
	EXPECT_EQ(JJ_FAILURE_STOPPING, AnswerOf(2)->reason);
	EXPECT_EQ(0u, jj_dispatch_batch_capacity(dispatch, now));
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
		ConnectNeighbour();
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
			jj_fleet_note_state(fleet, &home, JJ_SERVER_LEAVING, 0,
			    now, &out, &is_news);
		request.request = 2;
		Begin(request);
		ASSERT_EQ(2u, starts.size());
		EXPECT_EQ(row.follows, starts[1].server == home.text);
		TearDown();
	}
	Build(1, 8);
}

TEST_F(DispatchTest, AbsenceOfServersIsReportedAtOnce)
{
	Build(0, 8);
	BeginOnline(1);
	ASSERT_NE(nullptr, AnswerOf(1));
	EXPECT_EQ(JJ_FAILURE_NO_SERVER, AnswerOf(1)->reason);
	EXPECT_EQ(JJ_RUN_NOT_RUN, AnswerOf(1)->run);
	EXPECT_GT(AnswerOf(1)->retry_after_ms, 0);
}

// A server whose step takes 10 ms with up to `soft` streams, longer with more.
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

// One server that behaves as the engine's interface specifies: it admits
// requests at its next step and reports snapshots taken between two steps.
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
		int reported_tokens;
		jj_ms_t reported_ms;
	};

	// Time until `items` items are done; the first report comes `first` ms
	// after the start.
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
			    jj_dispatch_batch_capacity(dispatch, now) > 0) {
				BeginBatch(++sent_items);
				waiting.push_back(sent_items);
				/* An idle engine begins a step at once. */
				if (running.empty()) {
					Admit(slots);
					step = now + STEP_MS;
				}
			}
			if (now - begun >= SETTLED_MS)
				settled_max = std::max(settled_max,
				    waiting.size() + running.size());
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
				run->reported_tokens = 1;
				run->reported_ms = now;
			}
			if (run->tokens < TOKENS) {
				if (now >= run->reported_ms + TOKENS_MS)
					ReportTokens(*run);
				run++;
				continue;
			}
			ReportTokens(*run);
			Event(run->request, 1, JJ_BACKEND_DONE);
			run = running.erase(run);
			done++;
		}
	}

	void
	ReportTokens(Run &run)
	{
		Event(run.request, 1, JJ_BACKEND_TOKENS, false,
		    run.tokens - run.reported_tokens);
		run.reported_tokens = run.tokens;
		run.reported_ms = now;
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
	size_t settled_max = 0; // at the server, with a settled limit
	std::vector<uint64_t> waiting;
	std::vector<Run> running;
};

/*
 * Guards against a server with free slots that gets one batch item at a time.
 */
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

/* Guards against batch that fills the queue of a server with fewer slots. */
TEST_F(BatchAtEngineTest, KeepsToThePlacesAServerHas)
{
	Build(1, 32);
	Tick(100);
	EXPECT_LT(RunItems(600, 8, 0, 60000), 60000);
	EXPECT_GE(settled_max, 8u);
	EXPECT_LE(settled_max, 12u);
}

/* Guards against a server that regains slots but stays at one item. */
TEST_F(BatchAtEngineTest, FindsPlacesThatCameFree)
{
	Build(1, 32);
	Tick(100);
	RunItems(10, 1, 0, 60000);
	EXPECT_EQ(running.size() + waiting.size(), 0u);
	sent_items = 0;
	EXPECT_LE(RunItems(200, 32, 0, 60000), 20000);
}

// Story 14: a load report lags, so a limit derived from it ignores the requests
// since. The limit must be found from the gaps between tokens alone.
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
			use.batch +=
			    jj_headroom_free_slots(&headroom, &use, now);
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
