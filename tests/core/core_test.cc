/**
 * @file core_test.cc
 * @brief Complete cores together: configuration and calls across VMs.
 */
#include <algorithm>

#include <gtest/gtest.h>

#include "tests/core/core_world.h"

namespace
{

/** Requirement: a patch is in force everywhere within 3 s. */
const jj_ms_t kInForceMs = 3000;

const char kServices[] =
    "{\"services\":{\"pallets\":{\"kind\":\"plain\",\"idempotent\":false,"
    "\"key_domains\":[\"d100\",\"d101\",\"d102\"]}}}";

struct SpreadCase {
	const char *name;
	int domains;
	int vms;
	int patches;
	/** Partitions of domain 1: from the platform, from domains 0 and 2. */
	bool platform;
	bool others;
	/** The speaker of domain 1 is frozen during the patches. */
	bool frozen;
};

class ConfigSpread : public ::testing::TestWithParam<SpreadCase>
{
};

/** When the last reachable VM had adopted the version. */
jj_ms_t
last_adoption(const World &world, uint64_t version, const std::string &skip)
{
	jj_ms_t last = 0;

	for (auto &core : world.cores) {
		jj_ms_t found = JJ_MS_NEVER;

		if (core->domain == skip || core->frozen)
			continue;
		for (auto &adopted : core->adopted) {
			if (adopted.second >= version)
				found = std::min(found, adopted.first);
		}
		last = std::max(last, found);
	}
	return last;
}

/*
 * Guards against a VM that still uses the old configuration half a minute after
 * an operator's patch was accepted: watch events are late or lost, a domain is
 * cut off from the platform, or the VM that watches for its domain is frozen.
 */
TEST_P(ConfigSpread, IsInForceAtTheLastVmInTime)
{
	const SpreadCase &c = GetParam();
	World world(c.domains, c.vms);
	std::vector<jj_ms_t> times;

	world.run_until(6000);
	world.patch(world.at(0, 1), 0, kServices);
	world.run_until(9000);
	for (auto &core : world.cores)
		core->cut_from_platform = c.platform && core->domain == "d101";
	if (c.others) {
		world.cut_domains.insert({"d100", "d101"});
		world.cut_domains.insert({"d102", "d101"});
	}
	world.at(1, 0).frozen = c.frozen;
	for (int i = 1; i <= c.patches; i++) {
		jj_ms_t started_ms = world.now;
		std::string text =
		    "{\"teams\":{\"t\":{\"weight\":" + std::to_string(i) +
		    "}}}";

		WorldCore &taker = world.at(i % 2 * 2, i % c.vms);
		world.patch(taker, (uint64_t)i, text);
		world.run_until(started_ms + kInForceMs + 500);
		ASSERT_EQ(200, taker.patch_answers.back().second);
		times.push_back(
		    last_adoption(world, (uint64_t)i + 1, "") - started_ms);
	}
	std::sort(times.begin(), times.end());
	printf("config_spread case=%s vms=%zu patches=%d p50_ms=%lld "
	       "max_ms=%lld\n",
	    c.name, world.cores.size(), c.patches,
	    (long long)times[times.size() / 2], (long long)times.back());
	EXPECT_LE(times.back(), kInForceMs);
	for (auto &core : world.cores) {
		for (size_t i = 1; i < core->adopted.size(); i++)
			EXPECT_GT(core->adopted[i].second,
			    core->adopted[i - 1].second);
	}
}

/* Guards against a configuration that no VM reads, as all watches were lost. */
TEST(ConfigFailure, IsInForceInTimeThoughAllWatchesWereLost)
{
	World world(3, 2);

	world.run_until(6000);
	world.patch(world.at(0, 1), 0, kServices);
	world.run_until(9000);
	world.silence_platform();
	world.run_until(9500);
	world.restore_platform();
	world.run_until(12500);
	std::string stored = world.platform.objects["config/current"].value;
	size_t digit = stored.find("\"version\":1") + strlen("\"version\":");
	ASSERT_LT(digit, stored.size()) << stored;
	stored[digit] = '2';
	world.platform.put("config/current", stored);
	world.run_until(12500 + kInForceMs);
	EXPECT_LE(last_adoption(world, 2, ""), 12500 + kInForceMs);
}

INSTANTIATE_TEST_SUITE_P(Cuts, ConfigSpread,
    ::testing::Values(SpreadCase{"calm", 3, 3, 200, false, false, false},
	SpreadCase{"cut_from_platform", 3, 3, 200, true, false, false},
	SpreadCase{"cut_from_others", 3, 3, 50, false, true, false},
	SpreadCase{"speaker_frozen", 3, 3, 50, false, false, true},
	SpreadCase{"target_size", 23, 14, 3, false, false, false}),
    [](const ::testing::TestParamInfo<SpreadCase> &info) {
	    return std::string(info.param.name);
    });

struct CallCase {
	const char *name;
	int domain;
	int vm;
	const char *key;
};

class CallRoute : public ::testing::TestWithParam<CallCase>
{
};

/*
 * A driver's app reaches any VM through the load balancer. Guards against an
 * order that most VMs refuse, because only a domain's speaker knows VMs of the
 * key's domain.
 */
TEST_P(CallRoute, ReachesTheKeysHomeFromAnyVmAndRunsOnce)
{
	const CallCase &c = GetParam();
	World world(3, 3);

	world.run_until(6000);
	world.patch(world.at(0, 1), 0, kServices);
	world.run_until(12000);
	world.call(world.at(c.domain, c.vm), 1, c.key);
	world.run_until(13000);
	world.call(world.at(0, 2), 2, c.key);
	world.call(world.at(2, 1), 3, c.key);
	world.run_until(15000);
	EXPECT_EQ(1, world.runs[c.key]);
	ASSERT_EQ(1u, world.at(c.domain, c.vm).call_answers.size());
	EXPECT_EQ(
	    JJ_CALL_DONE, world.at(c.domain, c.vm).call_answers[0].second);
	EXPECT_EQ(JJ_CALL_REPLAYED, world.at(0, 2).call_answers.back().second);
	EXPECT_EQ(JJ_CALL_REPLAYED, world.at(2, 1).call_answers.back().second);
}

/*
 * Guards against "not run" for an order that is booked: a late answer comes
 * from a VM that had refused an earlier call with the same number, while the
 * call itself runs at its home.
 */
TEST(CallAnswer, CountsOnlyFromTheProcessThatHasTheCall)
{
	World world(3, 3);
	jj_message_t late = {};
	jj_event_t event = {};
	WorldCore &entry = world.at(1, 2);

	world.run_until(6000);
	world.patch(world.at(0, 1), 0, kServices);
	world.run_until(12000);
	world.call(entry, 1, "d102/late");
	late.kind = JJ_MESSAGE_CALL_ANSWER;
	(void)jj_name_set(&late.from, world.at(1, 1).name.c_str());
	late.incarnation = 5;
	late.sequence = 1U << 30;
	late.body.call_answer.call = 1;
	late.body.call_answer.outcome = JJ_CALL_NOT_RUN;
	event.kind = JJ_EVENT_MESSAGE;
	event.body.message = &late;
	world.handle(entry, event);
	world.run_until(14000);
	EXPECT_EQ(1, world.runs["d102/late"]);
	ASSERT_EQ(1u, entry.call_answers.size());
	EXPECT_EQ(JJ_CALL_DONE, entry.call_answers[0].second);
}

struct UnknownCase {
	const char *name;
	uint64_t
	    reported_version; /**< version in the heartbeat of another VM */
	jj_failure_t reason;
};

class UnknownService : public ::testing::TestWithParam<UnknownCase>
{
};

/* Guards against a 404 for a service that only the newest configuration has. */
TEST_P(UnknownService, IsRefusedByTheNewestConfigurationOnly)
{
	World world(1, 2);
	WorldCore &entry = world.at(0, 1);
	jj_message_t heartbeat = {};
	jj_event_t event = {};

	world.run_until(6000);
	world.patch(world.at(0, 0), 0, kServices);
	world.run_until(8000);
	heartbeat.kind = JJ_MESSAGE_HEARTBEAT;
	(void)jj_name_set(&heartbeat.from, world.at(0, 0).name.c_str());
	heartbeat.incarnation = 1;
	heartbeat.sequence = 1U << 30;
	heartbeat.body.heartbeat.domain =
	    jj_member_find(jj_core_member(entry.core), &heartbeat.from)->domain;
	heartbeat.body.heartbeat.config_version = GetParam().reported_version;
	event.kind = JJ_EVENT_MESSAGE;
	event.body.message = &heartbeat;
	world.handle(entry, event);
	event = {};
	event.kind = JJ_EVENT_REQUEST;
	event.body.request.request.request = 1;
	(void)jj_name_set(&event.body.request.request.service, "nowhere");
	event.body.request.request.deadline_ms = world.now + 4000;
	event.body.request.path = "/v1/completions";
	event.body.request.trace = "";
	world.handle(entry, event);
	ASSERT_EQ(1u, entry.given_up.count(1));
	EXPECT_EQ(GetParam().reason, entry.given_up[1]);
}

INSTANTIATE_TEST_SUITE_P(Newest, UnknownService,
    ::testing::Values(UnknownCase{"IsInForce", 1, JJ_FAILURE_NO_SERVICE},
	UnknownCase{"IsElsewhere", 99, JJ_FAILURE_NO_CONFIG}),
    [](const auto &one) { return std::string(one.param.name); });

/** Sends a report of VM @p from that a request crashed two engines. */
static void
report_two_crashes(World &world, const WorldCore &from,
    const std::vector<WorldCore *> &to, uint64_t fingerprint)
{
	jj_message_t crash = {};
	jj_event_t event = {};

	crash.kind = JJ_MESSAGE_CRASH;
	(void)jj_name_set(&crash.from, from.name.c_str());
	crash.incarnation = 3;
	(void)jj_name_set(&crash.body.crash.server, "engine");
	crash.body.crash.suspect_count = 1;
	crash.body.crash.suspects[0] = fingerprint;
	event.kind = JJ_EVENT_MESSAGE;
	event.body.message = &crash;
	for (uint64_t boot : {1, 2}) {
		crash.body.crash.boot = boot;
		crash.sequence = (1U << 30) + boot;
		for (WorldCore *core : to)
			world.handle(*core, event);
	}
}

struct CrashHistoryCase {
	const char *name;
	jj_ms_t message_ms; /**< message delay between VMs */
	/** time since the restart; 20: no VM has answered it yet */
	jj_ms_t after_ms;
};

/*
 * A request has crashed two engines and is refused. One VM of the domain was
 * killed meanwhile and restarts with empty memory; the caller sends the request
 * there, and it crashes two more. The same when the request arrives before the
 * VM has received a message of another one.
 */
class Struck : public ::testing::TestWithParam<CrashHistoryCase>
{
};

TEST_P(Struck, RestartedVmReceivesTheCrashHistory)
{
	constexpr uint64_t POISON = 666;
	const CrashHistoryCase &c = GetParam();
	World world(1, 3);
	WorldCore &gone = world.at(0, 2);
	jj_event_t event = {};

	world.message_ms = c.message_ms;
	world.run_until(6000);
	world.patch(world.at(0, 1), 0, kServices);
	world.run_until(8000);
	report_two_crashes(world, gone, {&world.at(0, 0)}, POISON);
	world.restart(gone, 99);
	world.run_until(world.now + c.after_ms);

	event.kind = JJ_EVENT_REQUEST;
	event.body.request.request.request = 1;
	(void)jj_name_set(&event.body.request.request.service, "pallets");
	event.body.request.request.fingerprint = POISON;
	event.body.request.request.deadline_ms = world.now + 4000;
	event.body.request.path = "/v1/completions";
	event.body.request.trace = "";
	world.handle(gone, event);
	world.run_until(world.now + 2000);
	ASSERT_EQ(1u, gone.given_up.count(1));
	EXPECT_EQ(JJ_FAILURE_QUARANTINED, gone.given_up[1]);
}

/*
 * The request has crashed two engines in a remote domain while the domains
 * could not reach each other. Then one VM of each domain receives the other's
 * crash history; a resend at a VM that has not received it crashed two more
 * engines.
 */
TEST(StruckAbroad, DomainReceivesWhatOneVmReceived)
{
	constexpr uint64_t POISON = 666;
	World world(2, 3);

	world.run_until(6000);
	world.cut_domains.insert({"d100", "d101"});
	world.run_until(10000);
	report_two_crashes(
	    world, world.at(0, 2), {&world.at(0, 0), &world.at(0, 1)}, POISON);
	world.cut_domains.clear();
	world.run_until(10100);
	for (int v = 0; v < 3; v++)
		EXPECT_EQ(1, world.quarantined(world.at(1, v))) << v;
}

INSTANTIATE_TEST_SUITE_P(Times, Struck,
    ::testing::Values(CrashHistoryCase{"later", 20, 2000},
	CrashHistoryCase{"at_once", 20, 20},
	CrashHistoryCase{"at_once_slow", 150, 20}),
    [](const ::testing::TestParamInfo<CrashHistoryCase> &info) {
	    return std::string(info.param.name);
    });

INSTANTIATE_TEST_SUITE_P(Entries, CallRoute,
    ::testing::Values(CallCase{"speaker_own_domain", 0, 0, "d100/a"},
	CallCase{"other_vm_own_domain", 1, 2, "d101/a"},
	CallCase{"speaker_abroad", 1, 0, "d100/b"},
	CallCase{"other_vm_abroad", 1, 2, "d102/c"},
	CallCase{"hashed_key", 1, 1, "order-77"}),
    [](const ::testing::TestParamInfo<CallCase> &info) {
	    return std::string(info.param.name);
    });

} // namespace
