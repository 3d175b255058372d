/**
 * @file slots_test.cc
 * @brief Request slots at servers: online first, batch in the remaining ones.
 */
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

extern "C" {
#include "core/slots.h"
}

namespace
{

class Slots : public ::testing::Test
{
      protected:
	jj_slots_t *slots;
	jj_name_t service;
	bool full = false;
	jj_ms_t within = JJ_MS_NEVER;

	Slots()
	{
		jj_slots_settings_t settings = {};

		jj_name_set(&settings.name, "verona-1");
		jj_name_set(&settings.domain, "verona");
		settings.reserve = 1;
		settings.queue_most = 2;
		settings.seed = 7;
		slots = jj_slots_create(&settings);
		jj_name_set(&service, "ordini");
	}
	~Slots() override
	{
		jj_slots_destroy(slots);
	}

	jj_slot_server_t *
	learn(const char *id, const char *domain = "verona",
	    bool draining = false, uint32_t places = 4)
	{
		jj_slot_info_t info = {};

		jj_name_set(&info.id, id);
		jj_name_set(&info.service, "ordini");
		jj_name_set(&info.domain, domain);
		snprintf(info.address, sizeof(info.address), "10.0.0.1:80");
		info.slots = places;
		info.draining = draining;
		(void)jj_slots_update(slots, &info, 1000);
		return jj_slots_find(slots, id);
	}
	/** Counts requests of this VM as running there. */
	static void
	fill(jj_slot_server_t *server, int online, int batch)
	{
		for (int i = 0; i < online + batch; i++) {
			jj_slots_add(server,
			    i < online ? JJ_CLASS_ONLINE : JJ_CLASS_BATCH);
			jj_slots_note_first(server, 50, 1000);
		}
	}
	void
	neighbour(jj_slot_server_t *server, uint32_t online, uint32_t batch)
	{
		jj_load_t load = {server->hash, online, batch, 0};
		jj_name_t vm;

		jj_name_set(&vm, "verona-2");
		jj_slots_take_loads(slots, &vm, &load, 1, false);
	}
	uint64_t weights = 0; /**< that requests ask for */

	std::string
	online(const char *avoid = nullptr, jj_ms_t now = 1000)
	{
		jj_name_t name;
		jj_slot_server_t *server;

		if (avoid != nullptr)
			jj_name_set(&name, avoid);
		jj_slots_criteria_t wish = {&service,
		    avoid != nullptr ? &name : nullptr, within, 0, 0, weights};
		server = jj_slots_choose_online(slots, &wish, now, &full);
		return server != nullptr ? server->info.id.text : "";
	}
	std::string
	batch(jj_ms_t now = 1000)
	{
		jj_slot_server_t *server =
		    jj_slots_choose_batch(slots, &service, 0, now);

		return server != nullptr ? server->info.id.text : "";
	}
};

TEST_F(Slots, OnlineTakesTheEmptiestServer)
{
	fill(learn("s1"), 2, 0);
	fill(learn("s2"), 1, 0);
	neighbour(jj_slots_find(slots, "s2"), 2, 0);
	EXPECT_EQ("s1", online());
}

TEST_F(Slots, OnlineTakesAPlaceOfBatchBeforeItWaits)
{
	fill(learn("s1"), 4, 0);
	fill(learn("s2"), 2, 2);
	EXPECT_EQ("s2", online());
}

TEST_F(Slots, OnlinePrefersBatchOfThisVm)
{
	jj_slot_server_t *other = learn("s1");

	fill(learn("s2"), 0, 4);
	neighbour(other, 0, 4);
	EXPECT_EQ("s2", online());
	jj_slots_note_failure(jj_slots_find(slots, "s2"), 1000);
	EXPECT_EQ("s1", online());
	EXPECT_STREQ("verona-2", jj_slots_choose_vm_to_yield(other)->text);
	EXPECT_EQ(3U, other->others_batch);
}

TEST_F(Slots, OnlineIsRefusedWhenAllQueuesAreFull)
{
	fill(learn("s1"), 6, 0);
	EXPECT_EQ("", online());
	EXPECT_TRUE(full);
}

TEST_F(Slots, OnlineWithoutAServerIsNotCalledFull)
{
	learn("s1", "verona", true);
	EXPECT_EQ("", online());
	EXPECT_FALSE(full);
}

/*
 * Guards against a server that stays full in the other VMs' records when the VM
 * that filled it runs requests at very many servers.
 */
TEST_F(Slots, AWholeListOfLoadsReplacesTheLastOne)
{
	constexpr uint32_t COUNT = 300;
	std::vector<jj_load_t> loads;
	jj_name_t vm;

	jj_name_set(&vm, "verona-2");
	neighbour(learn("s1"), 6, 0);
	for (uint32_t i = 0; i < COUNT; i++)
		loads.push_back({i + 1, 1, 0, 0});
	for (uint32_t count : {128U, COUNT}) {
		neighbour(jj_slots_find(slots, "s1"), 6, 0);
		EXPECT_EQ("", online());
		jj_slots_take_loads(slots, &vm, loads.data(), count, true);
		EXPECT_EQ("s1", online()) << count;
	}
}

TEST_F(Slots, BatchLeavesAPlaceForTheNextRequest)
{
	fill(learn("s1"), 1, 1);
	EXPECT_EQ("s1", batch());
	fill(jj_slots_find(slots, "s1"), 0, 1);
	EXPECT_EQ("", batch());
}

TEST_F(Slots, BatchStaysAtHomeWhileThereIsRoom)
{
	learn("s1", "mantova");
	fill(learn("s2"), 1, 0);
	EXPECT_EQ("s2", batch());
	fill(jj_slots_find(slots, "s2"), 2, 0);
	EXPECT_EQ("s1", batch());
}

TEST_F(Slots, AServerThatFailedRestsLongerEachTime)
{
	jj_slot_server_t *server = learn("s1");

	jj_slots_note_failure(server, 1000);
	EXPECT_EQ("", online(nullptr, 1100));
	EXPECT_EQ("s1", online(nullptr, 1200));
	jj_slots_note_failure(server, 1200);
	EXPECT_EQ("", online(nullptr, 1500));
	EXPECT_EQ("s1", online(nullptr, 1600));
	jj_slots_note_first(server, 40, 1900);
	jj_slots_note_failure(server, 2000);
	EXPECT_EQ("s1", online(nullptr, 2200))
	    << "a success ends the cool-down";
}

/*
 * Three servers were unreachable. They seemed empty, so each VM sent online
 * requests there after each cool-down, and each of these was late by the
 * timeout of a connection that was never accepted. Batch items test such a
 * server first.
 */
/* Guards against a process that is idle, as it refuses all that it is sent. */
TEST_F(Slots, AServerThatRefusesThoughItIsIdleRestsLongerEachTime)
{
	jj_slot_server_t *server = learn("s1");

	jj_slots_add(server, JJ_CLASS_ONLINE);
	jj_slots_note_refusal(server, 0, 1000);
	jj_slots_remove(server, JJ_CLASS_ONLINE);
	EXPECT_EQ("", online(nullptr, 1199));
	EXPECT_EQ("s1", online(nullptr, 1200));
	jj_slots_note_refusal(server, 0, 1200);
	EXPECT_EQ("", online(nullptr, 1599));
	fill(learn("s2"), 2, 0);
	EXPECT_EQ("s2", online(nullptr, 1600)) << "it may refuse again";
	fill(server, 2, 0);
	jj_slots_note_refusal(server, 0, 2000);
	jj_slots_remove(server, JJ_CLASS_ONLINE);
	EXPECT_EQ("s2", online(nullptr, 2049)) << "it is full";
	EXPECT_EQ("s1", online(nullptr, 2050));
}

TEST_F(Slots, ASuspectedServerIsTriedByBatch)
{
	jj_slot_server_t *dark = learn("s1");
	jj_slot_server_t *busy = learn("s2");

	EXPECT_TRUE(jj_slots_note_failure(dark, 1000));
	fill(busy, 0, 4);
	EXPECT_EQ("s2", online(nullptr, 1300))
	    << "a batch item can be cancelled";
	EXPECT_EQ(
	    dark, jj_slots_choose_batch(slots, &dark->info.service, 0, 1300));
	for (int i = 0; i < 4; i++)
		jj_slots_remove(busy, JJ_CLASS_BATCH);
	fill(busy, 4, 0);
	EXPECT_EQ("s1", online(nullptr, 1300)) << "better than a queue";
	jj_slots_note_first(dark, 40, 1400);
	EXPECT_EQ("s1", online(nullptr, 1400));
}

TEST_F(Slots, AnotherVmsFailureCountsUnlessTheServerHasJustAnswered)
{
	jj_slot_server_t *server = learn("s1");

	jj_slots_note_first(server, 40, 1000);
	jj_slots_note_remote_failure(server, 1299);
	EXPECT_EQ("s1", online(nullptr, 1299));
	jj_slots_note_remote_failure(server, 1300);
	EXPECT_EQ("", online(nullptr, 1400));
	EXPECT_EQ("s1", online(nullptr, 1500));
}

TEST_F(Slots, AServerOfAnEarlierTryIsTheLastResort)
{
	fill(learn("s1"), 0, 0);
	fill(learn("s2"), 3, 0);
	EXPECT_EQ("s2", online("s1"));
	jj_slots_note_unlisted(slots, "s2", 1000, 1000);
	EXPECT_EQ("s1", online("s1"));
}

/* Guards against requests for certain weights at servers that lack them. */
TEST_F(Slots, KnownWeightsAreUsed)
{
	jj_slot_server_t *old = learn("s1");
	jj_slot_server_t *fresh = learn("s2");

	old->weights = 1;
	weights = 1;
	fill(old, 1, 0);
	EXPECT_EQ("s2", online()) << "its weights are not known";
	fresh->weights = 2;
	EXPECT_EQ("s1", online());
	weights = 2;
	EXPECT_EQ("s2", online());
	weights = 3;
	EXPECT_NE("", online()) << "a server says that it lacks them";
	weights = 1;
	fill(old, 8, 0);
	EXPECT_EQ("", online());
	EXPECT_TRUE(full) << "it waits for a server that has them";
}

/*
 * The platform is down, so servers cannot renew their entries, which expire.
 * After it returns its list is empty for a moment: requests must go to the
 * known servers until they had time to register again, and no longer.
 */
TEST_F(Slots, AnEntryThatLapsedIsKeptForAWhile)
{
	learn("s1");
	jj_slots_begin_list(slots);
	jj_slots_end_list(slots, 1000, 3000);
	EXPECT_EQ("s1", online(nullptr, 2999));
	EXPECT_EQ("", online(nullptr, 3000));
	learn("s1");
	EXPECT_EQ("s1", online(nullptr, 9000));
	jj_slots_note_unlisted(slots, "s1", 9000, 9000);
	EXPECT_EQ("", online(nullptr, 9000));
	jj_slots_tick(slots, 9000);
	EXPECT_EQ(nullptr, jj_slots_find(slots, "s1"));
}

TEST_F(Slots, ASlowServerIsTakenForFuller)
{
	jj_slot_server_t *slow = learn("s1");

	fill(learn("s2"), 2, 0);
	jj_slots_note_first(slow, 900, 1000);
	EXPECT_EQ("s2", online());
}

/*
 * Thirty VMs of other domains have the same outdated loads of this server: all
 * saw it empty and sent requests at once, three times its slots.
 */
TEST_F(Slots, ARemoteServerIsAssignedToAFewVms)
{
	int offered = 0;

	for (int i = 0; i < 200; i++)
		learn(("m" + std::to_string(i)).c_str(), "mantova");
	jj_slots_set_vms(slots, 10, 20);
	for (jj_slot_server_t *server = jj_slots_first(slots);
	     server != nullptr; server = TAILQ_NEXT(server, link)) {
		for (int i = 0; i < 5 && batch() != ""; i++)
			jj_slots_add(jj_slots_find(slots, batch().c_str()),
			    JJ_CLASS_BATCH);
	}
	for (jj_slot_server_t *server = jj_slots_first(slots);
	     server != nullptr; server = TAILQ_NEXT(server, link))
		offered += server->batch > 0;
	EXPECT_LT(8, offered);
	EXPECT_GT(40, offered) << "about a tenth of them";
	EXPECT_NE("", online())
	    << "online uses any server before it is refused";
}

struct IdleCase {
	const char *name;
	const char *domain;
	uint32_t places;
	uint32_t far_vms;
};

class SlotsIdle : public Slots, public ::testing::WithParamInterface<IdleCase>
{
};

/*
 * Guards against items that wait for ever though one of their servers is idle.
 */
TEST_P(SlotsIdle, TakesAnItem)
{
	jj_slot_server_t *server =
	    learn("s1", GetParam().domain, false, GetParam().places);

	jj_slots_set_vms(slots, 10, GetParam().far_vms);
	EXPECT_EQ("s1", batch());
	fill(server, (int)GetParam().places, 0);
	EXPECT_EQ("", batch()) << "online has priority";
}

INSTANTIATE_TEST_SUITE_P(Servers, SlotsIdle,
    ::testing::Values(IdleCase{"OnePlace", "verona", 1, 0},
	IdleCase{"TwoPlaces", "verona", 2, 0},
	IdleCase{"OnePlaceAbroad", "mantova", 1, 0},
	IdleCase{"TwoPlacesAbroad", "mantova", 2, 0},
	IdleCase{"OfferedToOtherVms", "mantova", 8, 1000}),
    [](const auto &info) { return std::string(info.param.name); });

/* Each request considers some of the servers, but is never refused for that. */
TEST_F(Slots, ManyVmsDoNotAllChooseTheSameServer)
{
	std::set<std::string> chosen;

	for (int i = 0; i < 30; i++)
		fill(learn(("s" + std::to_string(i)).c_str()), 2, 0);
	fill(learn("best"), 1, 0);
	jj_slots_set_vms(slots, 18, 0);
	for (int i = 0; i < 50; i++)
		chosen.insert(online());
	EXPECT_LT(10U, chosen.size());
	EXPECT_EQ(0U, chosen.count(""));
}

/* Guards against a version taken for the only one after a server changed. */
TEST_F(Slots, AServerThatChangesItsSoftwareHadBothVersions)
{
	jj_slot_info_t info = {};

	jj_name_set(&info.id, "s1");
	jj_name_set(&info.service, "ordini");
	jj_name_set(&info.version, "v1");
	(void)jj_slots_update(slots, &info, 1000);
	jj_name_set(&info.version, "v2");
	EXPECT_EQ(JJ_SLOTS_KNOWN, jj_slots_update(slots, &info, 3000));
	EXPECT_EQ(
	    JJ_SOFTWARE_MIXED, jj_slots_sole_software(slots, &service, 2000));
	EXPECT_EQ(jj_slots_find(slots, "s1")->software,
	    jj_slots_sole_software(slots, &service, 3001));
}

TEST_F(Slots, NeighboursAreToldWhatTheyDoNotKnow)
{
	jj_load_t loads[4];

	fill(learn("s1"), 1, 1);
	learn("s2");
	ASSERT_EQ(
	    1U, jj_slots_take_changes(slots, JJ_SLOTS_SCOPE_DOMAIN, loads, 4));
	EXPECT_EQ(1U, loads[0].online);
	EXPECT_EQ(
	    0U, jj_slots_take_changes(slots, JJ_SLOTS_SCOPE_DOMAIN, loads, 4));
	EXPECT_EQ(
	    1U, jj_slots_take_changes(slots, JJ_SLOTS_SCOPE_ALL, loads, 4))
	    << "VMs of other domains have no report yet";
	jj_slots_remove(jj_slots_find(slots, "s1"), JJ_CLASS_BATCH);
	EXPECT_EQ(
	    1U, jj_slots_take_changes(slots, JJ_SLOTS_SCOPE_ALL, loads, 4));
	EXPECT_EQ(
	    0U, jj_slots_take_changes(slots, JJ_SLOTS_SCOPE_DOMAIN, loads, 4));
}

TEST_F(Slots, AHeartbeatNamesAllThatItsVmRuns)
{
	jj_slot_server_t *first = learn("s1");
	jj_slot_server_t *second = learn("s2");
	jj_load_t load = {second->hash, 1, 0, 0};
	jj_name_t vm;

	neighbour(first, 2, 1);
	jj_name_set(&vm, "verona-2");
	jj_slots_take_loads(slots, &vm, &load, 1, true);
	EXPECT_EQ(0U, first->others_online + first->others_batch);
	EXPECT_EQ(1U, second->others_online);
	jj_slots_forget_neighbours(
	    slots,
	    [](void *ctx, const jj_name_t *name) {
		    return jj_name_equal(name, static_cast<jj_name_t *>(ctx));
	    },
	    &vm);
	EXPECT_EQ(0U, second->others_online);
}

} // namespace
