/**
 * @file large_fleet_test.cc
 * @brief What a VM sends, calls and uses in a region of hundreds of VMs.
 */
#include <map>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "tests/core/gateway_fleet.h"
#include "tests/core/inline_world.h"

extern "C" {
#include "core/member.h"
#include "core/slots.h"
}

namespace
{

jj_name_t
name_of(const std::string &text)
{
	jj_name_t name;

	jj_name_set(&name, text.c_str());
	return name;
}

struct IntervalCase {
	const char *name;
	int vms; /**< other VMs of the domain */
	uint32_t heartbeat_vms;
	jj_ms_t interval_ms;
};

class HeartbeatInterval : public ::testing::TestWithParam<IntervalCase>
{
      protected:
	static constexpr int ROUNDS = 10;
};

/*
 * Guards against heartbeats that take up small VMs: with a fixed interval each
 * VM of 250 sent and received 620 of them a second.
 */
TEST_P(HeartbeatInterval, GrowsWithTheDomain)
{
	jj_member_settings_t settings = {};
	jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);
	std::map<std::string, int> sent;

	settings.name = name_of("verona-0");
	settings.domain = name_of("pianura");
	settings.incarnation = 1;
	settings.heartbeat_ms = 400;
	settings.suspect_ms = 1600;
	settings.forget_ms = 3600000;
	settings.heartbeat_vms = GetParam().heartbeat_vms;
	jj_member_t *member = jj_member_create(&settings);
	for (int i = 1; i <= GetParam().vms; i++) {
		jj_name_t vm = name_of("verona-" + std::to_string(i));

		jj_member_add_vm(member, &vm, &settings.domain, "127.0.0.1:1");
	}
	EXPECT_EQ(GetParam().interval_ms, jj_member_interval(member));
	for (jj_ms_t now = 1000; now < 1000 + ROUNDS * GetParam().interval_ms;
	     now += 50)
		if (now >= jj_member_next(member))
			jj_member_tick(member, now, &out);
	for (jj_action_t *action = TAILQ_FIRST(&out); action != nullptr;
	     action = TAILQ_NEXT(action, link))
		if (action->kind == JJ_ACTION_SEND)
			sent[action->body.send.to.text]++;
	for (const auto &vm : sent)
		EXPECT_EQ(ROUNDS, vm.second) << vm.first;
	EXPECT_EQ((size_t)GetParam().vms, sent.size());
	jj_actions_clear(&out);
	jj_member_destroy(member);
}

INSTANTIATE_TEST_SUITE_P(Domains, HeartbeatInterval,
    ::testing::Values(IntervalCase{"Few", 29, 80, 400},
	IntervalCase{"JustBelow", 79, 80, 400},
	IntervalCase{"Twice", 80, 80, 800},
	IntervalCase{"Hundreds", 249, 80, 2400},
	IntervalCase{"Fixed", 249, 0, 400}),
    [](const auto &info) { return std::string(info.param.name); });

/** The servers and users of one failure domain, as one of its VMs sees them. */
class Subsets : public ::testing::Test
{
      protected:
	static jj_slots_t *
	create(const std::string &vm)
	{
		jj_slots_settings_t settings = {};

		settings.name = name_of(vm);
		settings.domain = name_of("verona");
		settings.reserve = 1;
		settings.queue_most = 2;
		settings.seed = 7;
		return jj_slots_create(&settings);
	}
	static void
	fill(jj_slots_t *slots, int servers, int vms)
	{
		std::vector<jj_slot_user_t> users;

		for (int i = 0; i < servers; i++) {
			jj_slot_info_t info = {};

			info.id = name_of("s" + std::to_string(i));
			info.service = name_of("ordini");
			info.domain = name_of("verona");
			snprintf(info.address, sizeof(info.address), "a:1");
			info.slots = 7;
			(void)jj_slots_update(slots, &info, 1000);
		}
		for (int i = 0; i < vms; i++)
			users.push_back({name_of("verona-" + std::to_string(i)),
			    name_of("verona")});
		for (int i = 0; i < vms; i++)
			users.push_back({name_of("parma-" + std::to_string(i)),
			    name_of("parma")});
		jj_slots_set_users(slots, users.data(), users.size());
	}
	static std::set<std::string>
	users_of(const jj_slots_t *slots, const jj_slot_server_t *server)
	{
		const jj_name_t *names[400];
		std::set<std::string> users;
		size_t count = jj_slots_list_users(slots, server, names, 400);

		for (size_t i = 0; i < count; i++)
			users.insert(names[i]->text);
		return users;
	}
};

struct SubsetCase {
	const char *name;
	int servers;
	int vms;
	size_t least_servers; /**< that each VM uses */
	size_t most_servers;
	size_t least_vms; /**< that use each server */
	size_t most_vms;
};

class SubsetSizes : public Subsets,
		    public ::testing::WithParamInterface<SubsetCase>
{
};

/*
 * Guards against servers that few VMs use while others are used by many, and
 * against load reports to VMs that do not use the server.
 */
TEST_P(SubsetSizes, EachServerIsUsedByEquallyMany)
{
	std::map<std::string, std::set<std::string>> used;
	const SubsetCase &param = GetParam();

	for (int i = 0; i < param.vms; i++) {
		std::string self = "verona-" + std::to_string(i);
		jj_slots_t *slots = create(self);
		size_t servers = 0;

		fill(slots, param.servers, param.vms);
		for (jj_slot_server_t *server = jj_slots_first(slots);
		     server != nullptr; server = TAILQ_NEXT(server, link)) {
			std::set<std::string> users = users_of(slots, server);

			if (server->used)
				users.insert(self);
			servers += server->used;
			EXPECT_LE(param.least_vms, users.size());
			EXPECT_GE(param.most_vms, users.size());
			if (i == 0)
				used[server->info.id.text] = users;
			EXPECT_EQ(used[server->info.id.text], users)
			    << "all VMs agree";
		}
		EXPECT_LE(param.least_servers, servers);
		EXPECT_GE(param.most_servers, servers);
		jj_slots_destroy(slots);
	}
}

INSTANTIATE_TEST_SUITE_P(Domains, SubsetSizes,
    ::testing::Values(SubsetCase{"Small", 4, 3, 4, 4, 3, 3},
	SubsetCase{"Eight", 30, 8, 30, 30, 8, 8},
	SubsetCase{"Fifty", 31, 50, 5, 5, 8, 10},
	SubsetCase{"FewServers", 5, 66, 4, 4, 52, 54},
	SubsetCase{"OneServer", 1, 50, 1, 1, 50, 50}),
    [](const auto &info) { return std::string(info.param.name); });

/* Guards against loads of a VM that is gone, or at a server that is gone. */
TEST_F(Subsets, LoadsAreForgottenWithTheirVmOrServer)
{
	jj_slots_t *slots = create("verona-0");
	jj_name_t vm = name_of("verona-1");
	jj_name_t other = name_of("verona-2");

	fill(slots, 2, 3);
	jj_slot_server_t *first = jj_slots_first(slots);
	jj_slot_server_t *second = TAILQ_NEXT(first, link);
	jj_load_t loads[] = {{first->hash, 2, 1, 0}, {second->hash, 1, 0, 0}};
	jj_slots_take_loads(slots, &vm, loads, 2, false);
	jj_slots_take_loads(slots, &other, loads, 1, false);
	EXPECT_EQ(4U, first->others_online);
	EXPECT_EQ(2U, first->others_batch);
	jj_slots_forget_neighbours(
	    slots,
	    [](void *ctx, const jj_name_t *name) {
		    return jj_name_equal(name, static_cast<jj_name_t *>(ctx));
	    },
	    &vm);
	EXPECT_EQ(2U, first->others_online);
	EXPECT_EQ(1U, first->others_batch);
	EXPECT_EQ(0U, second->others_online);
	jj_slots_note_unlisted(slots, "s0", 1000, 1000);
	jj_slots_tick(slots, 2000);
	EXPECT_EQ(nullptr, jj_slots_find(slots, "s0"));
	loads[0] = {second->hash, 3, 0, 0};
	jj_slots_take_loads(slots, &other, loads, 1, true);
	EXPECT_EQ(3U, second->others_online);
	jj_slots_destroy(slots);
}

/*
 * A peak in which the servers that this VM uses are full. Guards against all
 * VMs choosing the one server of another domain that seemed empty in the last
 * heartbeat.
 */
TEST_F(Subsets, AFullSubsetSpillsToManyServers)
{
	jj_slots_t *slots = create("verona-0");
	jj_name_t service = name_of("ordini");
	jj_slots_criteria_t criteria = {
	    &service, nullptr, JJ_MS_NEVER, 0, 0, 0};
	std::map<std::string, int> chosen;
	bool full;

	fill(slots, 31, 50);
	jj_slots_set_vms(slots, 50, 200);
	for (jj_slot_server_t *server = jj_slots_first(slots);
	     server != nullptr; server = TAILQ_NEXT(server, link)) {
		jj_load_t load = {server->hash, 1, 0, 0};
		jj_name_t vm = name_of("verona-1");

		if (server->used)
			load.online = 9;
		else if (strcmp(server->info.id.text, "s0") == 0)
			continue;
		jj_slots_take_loads(slots, &vm, &load, 1, false);
	}
	for (int i = 0; i < 200; i++) {
		jj_slot_server_t *server =
		    jj_slots_choose_online(slots, &criteria, 1000, &full);

		ASSERT_NE(nullptr, server);
		chosen[server->info.id.text]++;
	}
	EXPECT_LT(15U, chosen.size());
	for (const auto &server : chosen)
		EXPECT_GT(40, server.second) << server.first;
	jj_slots_destroy(slots);
}

/*
 * The step into a peak: the servers that this VM uses have filled up within a
 * second, and the last heartbeats show the others as they were before. Guards
 * against requests that are sent there and wait behind those of other VMs,
 * where a refusal would bring them back in time.
 */
TEST_F(Subsets, OthersAreTakenForFullAtTheStepIntoAPeak)
{
	jj_slots_t *slots = create("verona-0");
	jj_name_t service = name_of("ordini");
	jj_slots_criteria_t criteria = {&service, nullptr, 225, 0, 0, 0};
	jj_name_t vm = name_of("verona-1");
	jj_slot_server_t *server;
	bool full;

	fill(slots, 31, 50);
	jj_slots_set_vms(slots, 50, 200);
	for (jj_ms_t now = 1000; now < 30000; now += 1000) {
		jj_slots_tick(slots, now);
		for (server = jj_slots_first(slots); server != nullptr;
		     server = TAILQ_NEXT(server, link)) {
			jj_load_t load = {server->hash, 2, 0, 0};

			jj_slots_take_loads(slots, &vm, &load, 1, false);
			jj_slots_note_first(server, 50, now);
			jj_slots_note_service_time(server, 720);
		}
		EXPECT_NE(nullptr,
		    jj_slots_choose_online(slots, &criteria, now, &full));
	}
	for (server = jj_slots_first(slots); server != nullptr;
	     server = TAILQ_NEXT(server, link)) {
		jj_load_t load = {server->hash, 9, 0, 0};

		if (server->used)
			jj_slots_take_loads(slots, &vm, &load, 1, false);
	}
	EXPECT_EQ(
	    nullptr, jj_slots_choose_online(slots, &criteria, 30000, &full));
	EXPECT_TRUE(full);
	/* Heartbeats have come meanwhile, and the others are free. */
	for (jj_ms_t now = 31000; now < 40000; now += 1000)
		server = jj_slots_choose_online(slots, &criteria, now, &full);
	EXPECT_NE(nullptr, server);
	jj_slots_destroy(slots);
}

/** A VM that reads a job of another one, whose reports are rare. */
class RareReports : public InlineWorld
{
      protected:
	InlineVm &a = add_vm("a");
	InlineVm &b = add_vm("b");

	RareReports()
	{
		jj_inline_set_intervals(a.jobs, 5000, 0);
		jj_inline_set_intervals(b.jobs, 5000, 0);
	}
	/** Messages from a reader's VM to the owner, and back. */
	void
	exchange()
	{
		b.deliver(a);
		a.deliver(b);
	}
};

/*
 * Guards against reads of results that each cost a platform call: in a large
 * region no VM can report the state of its jobs to all others often enough.
 */
TEST_F(RareReports, ResultsAreReadFromTheVmThatRunsTheJob)
{
	(void)a.submit("j", 2);
	pass(300);
	int reads = platform.reads;
	uint64_t read = b.read("j", 0, 1000);
	exchange();
	EXPECT_EQ(0, b.answer(read).status) << "it waits for results";
	EXPECT_TRUE(a.finish("j-1", "eins"));
	pass(600);
	exchange();
	EXPECT_EQ("2 0: j-1=eins", b.answer(read).body);
	read = b.read("j", 1, 1000);
	exchange();
	for (int i = 0; i < 12; i++) {
		pass(100);
		exchange();
	}
	EXPECT_EQ("2 1:", b.answer(read).body) << "when its wait is over";
	EXPECT_EQ(reads, platform.reads);
}

/* Guards against a VM that ticks each millisecond while a reader waits. */
TEST_F(RareReports, AReportDuringRepeatedQueriesLeavesNoTimeInThePast)
{
	(void)a.submit("j", 2);
	pass(300);
	(void)b.read("j", 0, 2000);
	exchange();
	pass(300);
	a.report_states(b);
	pass(200);
	EXPECT_LE(now, jj_inline_next(b.jobs));
}

struct SilentCase {
	const char *name;
	bool is_lost; /**< the owner is known to be lost, else only silent */
};

class RareReportsFailure : public RareReports,
			   public ::testing::WithParamInterface<SilentCase>
{
};

/* Guards against readers that wait for a VM that does not answer. */
TEST_P(RareReportsFailure, ThePlatformIsReadInPlaceOfASilentVm)
{
	(void)a.submit("j", 2);
	pass(300);
	EXPECT_TRUE(a.finish("j-1", "eins"));
	pass(600);
	if (GetParam().is_lost)
		lost_writers.insert(a.writer);
	int reads = platform.reads;
	uint64_t results = b.read("j", 0, 500);
	uint64_t item = b.read_item("j", "j-0");
	pass(700);
	EXPECT_EQ("2 0: j-1=eins", b.answer(results).body);
	EXPECT_EQ("bbb", b.answer(item).body);
	EXPECT_LT(reads, platform.reads);
}

INSTANTIATE_TEST_SUITE_P(Owners, RareReportsFailure,
    ::testing::Values(SilentCase{"Lost", true}, SilentCase{"Silent", false}),
    [](const auto &info) { return std::string(info.param.name); });

/* Guards against reads of items' bodies that each cost a platform call. */
TEST_F(RareReports, AnItemIsReadFromTheVmThatRunsTheJob)
{
	(void)a.submit("j", 2, 10, 3);
	pass(300);
	int reads = platform.reads;
	uint64_t item = b.read_item("j", "j-1");
	exchange();
	EXPECT_EQ("bbb", b.answer(item).body);
	EXPECT_EQ(reads, platform.reads);
	uint64_t missing = b.read_item("j", "j-9");
	exchange();
	pass(100);
	EXPECT_EQ(404, b.answer(missing).status) << "only the platform knows";
	EXPECT_LT(reads, platform.reads);
}

/** Gateways that find each other by the platform's list alone. */
class Discovery : public GatewayFleet
{
      protected:
	std::map<std::string, int> lists; /**< reads of the list, by VM */
	std::map<std::string, int> exact_lists;

	Discovery() : GatewayFleet(0)
	{
	}
	void
	call(const std::string &name, const jj_platform_call_t &call) override
	{
		if (call.op == JJ_PLATFORM_LIST &&
		    strcmp(call.key, "vms/") == 0) {
			lists[name]++;
			exact_lists[name] += !call.stale;
		}
		GatewayFleet::call(name, call);
	}
};

/*
 * Guards against a price for platform calls that grows with the square of the
 * VMs: each read the whole list each few seconds. VMs that start at once find
 * each other all the same.
 */
TEST_F(Discovery, TheListIsReadAtTheStartAndThenByTheSpeaker)
{
	constexpr int VMS = 12;

	for (int i = 0; i < VMS; i++)
		create("vm-" + std::to_string(10 + i), 100 + i);
	run(60000);
	for (const auto &vm : vms) {
		const jj_member_t *member =
		    jj_gateway_member(vm.second.gateway);

		EXPECT_EQ((size_t)VMS - 1, jj_member_count(member));
		EXPECT_EQ(1, exact_lists[vm.first]);
		for (const auto &other : vms) {
			jj_name_t name = name_of(other.first);

			EXPECT_TRUE(jj_member_is_live(member, &name))
			    << other.first << " at " << vm.first;
		}
		if (vm.first == "vm-10")
			EXPECT_LE(10, lists[vm.first]) << "the speaker";
		else
			EXPECT_GE(4, lists[vm.first]) << vm.first;
	}
}

} // namespace
