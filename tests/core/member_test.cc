/**
 * @file member_test.cc
 * @brief Which VMs are live: heartbeats, probes, restarts, pauses, speakers.
 */
#include <deque>
#include <map>
#include <string>

#include <gtest/gtest.h>

extern "C" {
#include "core/member.h"
}

namespace
{

jj_name_t
name(const std::string &text)
{
	jj_name_t result;

	EXPECT_TRUE(jj_name_set(&result, text.c_str()));
	return result;
}

/** VMs in virtual time; links can be cut, delayed and held back. */
class Net
{
      public:
	~Net()
	{
		for (auto &vm : vms)
			jj_member_destroy(vm.second);
	}
	void
	start(const std::string &vm, const std::string &domain,
	    jj_incarnation_t incarnation)
	{
		jj_member_settings_t settings = {};

		settings.name = name(vm);
		settings.domain = name(domain);
		settings.incarnation = incarnation;
		settings.heartbeat_ms = 500;
		settings.suspect_ms = 2000;
		settings.forget_ms = 3600000;
		settings.seed = incarnation;
		if (vms.count(vm) > 0)
			jj_member_destroy(vms[vm]);
		domains[vm] = domain;
		vms[vm] = jj_member_create(&settings);
		jj_member_set_state(vms[vm], JJ_VM_SERVING);
		for (const auto &a : domains)
			for (const auto &b : domains)
				learn(a.first, b.first);
	}
	void
	learn(const std::string &at, const std::string &of)
	{
		jj_name_t vm = name(of);
		jj_name_t domain = name(domains[of]);

		jj_member_add_vm(vms[at], &vm, &domain, "127.0.0.1:1");
	}
	void
	run(jj_ms_t duration)
	{
		jj_ms_t end = now + duration;

		for (; now < end; now += 100) {
			for (auto &vm : vms)
				if (paused.count(vm.first) == 0)
					tick(vm.first);
			deliver();
		}
	}
	void
	tick(const std::string &vm)
	{
		jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);

		jj_member_tick(vms[vm], now, &out);
		queue(vm, &out);
	}
	void
	queue(const std::string &from, jj_actions_t *out)
	{
		jj_action_t *action;

		while ((action = TAILQ_FIRST(out)) != nullptr) {
			TAILQ_REMOVE(out, action, link);
			if (action->kind == JJ_ACTION_SEND) {
				jj_message_t *message =
				    action->body.send.message;
				std::string to = action->body.send.to.text;

				jj_member_stamp(vms[from], message);
				sent[from]++;
				if (lost.count(from) == 0) {
					links[{from, to}].push_back(*message);
					due[{from, to}].push_back(
					    now + delay_ms);
				}
			}
			jj_action_free(action);
		}
	}
	void
	deliver()
	{
		for (int round = 0; round < 4; round++)
			for (auto &link : links)
				if (held.count(link.first.first) == 0 &&
				    paused.count(link.first.second) == 0)
					deliver_due(link.first);
	}
	/** Increases the delay of messages by 300 ms each second. */
	void
	increase_delay(jj_ms_t to_ms)
	{
		for (; delay_ms < to_ms; delay_ms += 300)
			run(1000);
		delay_ms = to_ms;
	}
	/** Delivers the messages whose delay is over. */
	void
	deliver_due(const std::pair<std::string, std::string> &link)
	{
		std::deque<jj_message_t> &messages = links[link];
		std::deque<jj_ms_t> &times = due[link];

		while (!messages.empty() && times.front() <= now) {
			jj_message_t message = messages.front();

			messages.pop_front();
			times.pop_front();
			(void)accept(link.second, message);
		}
	}
	bool
	accept(const std::string &to, const jj_message_t &message)
	{
		jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);
		bool accepted;

		if (vms.count(to) == 0)
			return false;
		accepted = jj_member_accept(vms[to], &message, now, &out);
		queue(to, &out);
		return accepted;
	}
	bool
	live(const std::string &at, const std::string &of)
	{
		jj_name_t vm = name(of);

		return jj_member_is_live(vms[at], &vm);
	}
	const jj_member_info_t *
	info(const std::string &at, const std::string &of)
	{
		jj_name_t vm = name(of);

		return jj_member_find(vms[at], &vm);
	}

	jj_ms_t now = 10000;
	jj_ms_t delay_ms = 0; /* one way, of messages sent from now on */
	std::map<std::pair<std::string, std::string>, std::deque<jj_ms_t>> due;
	std::map<std::string, jj_member_t *> vms;
	std::map<std::string, std::string> domains;
	std::map<std::pair<std::string, std::string>, std::deque<jj_message_t>>
	    links;
	/* paused VMs neither tick nor receive */
	std::map<std::string, bool> paused;
	/* senders whose messages are held back */
	std::map<std::string, bool> held;
	std::map<std::string, bool> lost; /* senders whose messages are lost */
	std::map<std::string, int> sent;
};

jj_message_t
message(const std::string &from, jj_message_kind_t kind,
    jj_incarnation_t incarnation, uint64_t sequence)
{
	jj_message_t result = {};

	result.kind = kind;
	result.from = name(from);
	result.incarnation = incarnation;
	result.sequence = sequence;
	return result;
}

TEST(Member, FindsItsDomainAndForgetsUnreachableVms)
{
	Net net;
	jj_member_info_t infos[8];
	jj_name_t domain = name("sala-a");

	for (const char *vm : {"a2", "a1", "a3"})
		net.start(vm, "sala-a", 100 + vm[1]);
	EXPECT_EQ(jj_member_list(net.vms["a2"], &domain, infos, 8), 1u);
	net.run(1500);
	ASSERT_EQ(jj_member_list(net.vms["a2"], &domain, infos, 8), 3u);
	EXPECT_STREQ(infos[0].name.text, "a1");
	EXPECT_STREQ(infos[1].name.text, "a2");
	net.paused["a1"] = true;
	net.run(1500);
	EXPECT_TRUE(net.live("a2", "a1"));
	net.run(3000);
	EXPECT_FALSE(net.live("a2", "a1"));
	EXPECT_TRUE(jj_member_is_speaker(net.vms["a2"]));
	net.run(3600000);
	EXPECT_EQ(net.info("a2", "a1"), nullptr);
}

/*
 * Guards against a new VM whose heartbeats are dropped, as entries of gone VMs
 * fill the table: two days of 330 VMs of which 270 are replaced a day.
 */
TEST(Member, AcceptsANewVmWhateverIsListed)
{
	Net net;
	jj_name_t domain = name("sala-a");

	net.start("a1", "sala-a", 101);
	for (int i = 0; i < 330 + 2 * 270; i++) {
		jj_name_t gone = name("a0-" + std::to_string(i));

		jj_member_add_vm(net.vms["a1"], &gone, &domain, "127.0.0.1:1");
	}
	net.start("a2", "sala-a", 102);
	net.run(2000);
	EXPECT_TRUE(net.live("a1", "a2"));
	EXPECT_EQ(330U + 2 * 270 + 1, jj_member_count(net.vms["a1"]));
}

/*
 * Guards against work for a failed VM. A VM fails while its neighbour is cut
 * off from it. When the link is back ZeroMQ delivers all heartbeats that the
 * failed VM had queued, with rising sequences; they must not make it live
 * again.
 */
TEST(Member, QueuedHeartbeatsOfAFailedVmDoNotReviveIt)
{
	Net net;

	net.start("a1", "sala-a", 1);
	net.start("a2", "sala-a", 2);
	net.run(1500);
	net.held["a1"] = true;
	net.run(20000);
	EXPECT_FALSE(net.live("a2", "a1"));
	net.paused["a1"] = true; /* failed from here on */
	net.run(5000);
	ASSERT_GT((net.links[{"a1", "a2"}].size()), 20u);
	net.held.clear();
	for (int i = 0; i < 50; i++) {
		net.run(100);
		EXPECT_FALSE(net.live("a2", "a1")) << i;
	}
}

/*
 * Guards against live VMs that suspect each other. On a loaded machine each
 * heartbeat arrives, one every 500 ms, but so late that the round trip exceeds
 * suspect_ms. None counted as a sign of life, and both VMs suspected each other
 * while they answered their callers (in 20 of 32 suspicions at a suspect_ms of
 * 600, heartbeats had arrived in that time whose acknowledgements were 605 to
 * 2,116 ms old). What counts is the time without a heartbeat: here it is never
 * longer than a heartbeat interval and the growth of the delay.
 */
TEST(Member, HeartbeatsLongInTransitAreNoFailure)
{
	for (jj_ms_t delay_ms : {900, 1100, 1300, 1800, 2400}) {
		SCOPED_TRACE(delay_ms);
		Net net;

		net.start("a1", "sala-a", 1);
		net.start("a2", "sala-a", 2);
		net.run(1500);
		net.increase_delay(delay_ms);
		for (int i = 0; i < 300; i++) {
			net.run(100);
			ASSERT_TRUE(net.live("a2", "a1")) << i;
			ASSERT_TRUE(net.live("a1", "a2")) << i;
		}
	}
}

/*
 * The same link, and one of the two VMs fails. Its messages arrive for as long
 * as they are in transit, and must not count for longer.
 */
TEST(Member, AFailedVmBehindASlowLinkBecomesUnreachable)
{
	for (jj_ms_t delay_ms : {0, 900, 1300, 2400}) {
		SCOPED_TRACE(delay_ms);
		Net net;

		net.start("a1", "sala-a", 1);
		net.start("a2", "sala-a", 2);
		net.run(1500);
		net.increase_delay(delay_ms);
		net.run(10000);
		ASSERT_TRUE(net.live("a2", "a1"));
		net.paused["a1"] = true;
		net.run(delay_ms + 2000 + 500);
		EXPECT_FALSE(net.live("a2", "a1"));
		net.run(20000);
		EXPECT_FALSE(net.live("a2", "a1"));
	}
}

/*
 * A cut in one direction: a1 receives from a2, but nothing of a1 arrives. Each
 * must suspect the other, or a1 would still give a2 work that never arrives:
 * the side that receives nothing at once, the other within suspect_ms more, as
 * the heartbeats that it receives acknowledge nothing new.
 */
TEST(Member, ACutInOneDirectionIsSeenAtBothEnds)
{
	Net net;

	net.start("a1", "sala-a", 1);
	net.start("a2", "sala-a", 2);
	net.run(10000);
	net.lost["a1"] = true;
	net.run(2000 + 500);
	EXPECT_FALSE(net.live("a2", "a1"));
	net.run(2000);
	EXPECT_FALSE(net.live("a1", "a2"));
	for (int i = 0; i < 100; i++) {
		net.run(100);
		EXPECT_FALSE(net.live("a1", "a2")) << i;
	}
}

/*
 * Guards against VMs that never find each other. Two VMs start on a loaded
 * machine: a probe and its echo take 0.8 s. Each heartbeat without an
 * acknowledgement was answered by a probe with a new nonce, the echo of the
 * probe before no longer counted, and the two were not live to each other for
 * as long as the load lasted.
 */
TEST(Member, AnEchoMayComeAfterTheNextProbe)
{
	for (jj_ms_t delay_ms : {300, 400, 600, 900}) {
		SCOPED_TRACE(delay_ms);
		Net net;

		net.delay_ms = delay_ms;
		net.start("a1", "sala-a", 1);
		net.start("a2", "sala-a", 2);
		net.run(5000);
		EXPECT_TRUE(net.live("a2", "a1"));
		EXPECT_TRUE(net.live("a1", "a2"));
	}
}

TEST(Member, RejoinsAfterACut)
{
	Net net;

	net.start("a1", "sala-a", 1);
	net.start("a2", "sala-a", 2);
	net.run(1500);
	net.lost["a1"] = true;
	net.run(5000);
	EXPECT_FALSE(net.live("a2", "a1"));
	net.lost.clear();
	net.run(1200);
	EXPECT_TRUE(net.live("a2", "a1"));
	EXPECT_TRUE(net.live("a1", "a2"));
}

/*
 * A VM is replaced by one with the same name and address and no state. Late
 * messages of the old process must not count for the new one, and the old
 * process cannot take its place again.
 */
TEST(Member, LateMessagesOfAReplacedProcessAreDropped)
{
	const struct {
		const char *label;
		jj_message_kind_t kind;
		jj_incarnation_t incarnation;
		uint64_t sequence;
		bool accepted;
	} cases[] = {
	    {"old process, intent ack", JJ_MESSAGE_INTENT_ACK, 1, 9000, false},
	    {"old process, heartbeat", JJ_MESSAGE_HEARTBEAT, 1, 9001, false},
	    {"old process, echo of an unknown nonce", JJ_MESSAGE_PROBE_ECHO, 1,
		9002, false},
	    {"process never seen", JJ_MESSAGE_INTENT_ACK, 77, 9003, false},
	    {"new process, next message", JJ_MESSAGE_INTENT_ACK, 11, 9004,
		true},
	    {"new process, repeated", JJ_MESSAGE_INTENT_ACK, 11, 9004, false},
	    {"new process, reordered", JJ_MESSAGE_INTENT_ACK, 11, 9003, false},
	};
	Net net;

	net.start("a1", "sala-a", 1);
	net.start("a2", "sala-a", 2);
	net.run(1500);
	ASSERT_EQ(net.info("a2", "a1")->incarnation, 1u);
	net.start("a1", "sala-a", 11);
	net.run(1500);
	ASSERT_EQ(net.info("a2", "a1")->incarnation, 11u);
	for (const auto &row : cases) {
		jj_message_t late =
		    message("a1", row.kind, row.incarnation, row.sequence);

		late.body.heartbeat.domain = name("sala-a");
		EXPECT_EQ(net.accept("a2", late), row.accepted) << row.label;
		EXPECT_EQ(net.info("a2", "a1")->incarnation, 11u);
	}
	net.run(1000);
	EXPECT_EQ(net.info("a2", "a1")->incarnation, 11u);
}

/*
 * A VM is paused for a minute. When it resumes it has received nothing; if it
 * took all others as failed it would take over their work. It detects the
 * pause, and the others get time to send a sign of life.
 */
TEST(Member, AVmThatResumesDoesNotTakeTheOthersAsFailed)
{
	Net net;

	for (const char *vm : {"a1", "a2", "a3"})
		net.start(vm, "sala-a", 100 + vm[1]);
	net.run(1500);
	net.paused["a2"] = true;
	net.run(60000);
	net.paused.clear();
	EXPECT_TRUE(jj_member_was_paused(net.vms["a2"], net.now, 1000));
	net.tick("a2");
	EXPECT_TRUE(net.live("a2", "a1")) << "before it has received anything";
	for (int i = 0; i < 30; i++) {
		net.run(100);
		EXPECT_TRUE(net.live("a2", "a1")) << i;
		EXPECT_TRUE(net.live("a2", "a3")) << i;
	}
	EXPECT_FALSE(jj_member_was_paused(net.vms["a2"], net.now, 1000));
	EXPECT_TRUE(net.live("a1", "a2"));
}

TEST(Member, LeavingVmsAreNotChosen)
{
	Net net;
	jj_name_t domain = name("sala-a");
	jj_name_t chosen;

	net.start("a1", "sala-a", 1);
	net.start("a2", "sala-a", 2);
	net.run(1500);
	jj_member_set_state(net.vms["a1"], JJ_VM_LEAVING);
	net.run(200);
	EXPECT_FALSE(net.live("a2", "a1"));
	EXPECT_TRUE(jj_member_is_speaker(net.vms["a2"]));
	EXPECT_FALSE(jj_member_is_speaker(net.vms["a1"]));
	for (uint64_t item = 0; item < 50; item++) {
		ASSERT_TRUE(
		    jj_member_choose(net.vms["a2"], &domain, item, &chosen));
		EXPECT_STREQ(chosen.text, "a2");
	}
}

TEST(Member, SpeakersJoinDomainsAndAreReplaced)
{
	Net net;

	for (const char *vm : {"a1", "a2", "a3"})
		net.start(vm, "sala-a", 100 + vm[1]);
	for (const char *vm : {"b1", "b2", "b3"})
		net.start(vm, "sala-b", 200 + vm[1]);
	net.run(6000);
	EXPECT_TRUE(net.live("a1", "b1"));
	EXPECT_TRUE(net.live("b1", "a1"));
	net.sent.clear();
	net.run(10000);
	/* 20 rounds: two VMs of its own domain and one of another domain. */
	EXPECT_LE(net.sent["a1"], 20 * 3 + 2);
	EXPECT_LE(net.sent["a2"], 20 * 2 + 2);
	EXPECT_FALSE(net.live("a2", "b1"));
	net.paused["b1"] = true;
	net.run(12000);
	EXPECT_TRUE(net.live("a1", "b2"));
	EXPECT_TRUE(net.live("b2", "a1"));
	net.paused.clear();
	net.run(6000);
	EXPECT_TRUE(net.live("a1", "b1"));
}

} // namespace
