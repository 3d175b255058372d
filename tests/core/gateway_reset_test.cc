/**
 * @file gateway_reset_test.cc
 * @brief Connections that break while their servers are alive.
 */
#include "tests/core/prompt_fleet.h"

namespace
{

/** A part that no answer has completed with. */
constexpr uint64_t RARE = 777;
/** Parts that many requests have, so that all servers are in use. */
constexpr uint64_t USUAL = 100;
/** Items that wait because of a reset are completed within this time. */
constexpr jj_ms_t ITEM_MS = 5000;

/** Three VMs whose connections break while the servers are alive. */
class ResetFleet : public PromptFleet
{
      protected:
	std::set<std::string> dark; /**< VMs that reach no server */

	ResetFleet()
	{
		cured = true;
		for (int i = 0; i < 12; i++)
			send(name_of(i), {FIRST, USUAL});
		play(1000);
		service_ms = 600;
	}
	void
	take(const std::string &vm, const jj_action_t &action) override
	{
		const jj_backend_start_t &start = action.body.start;

		if (action.kind != JJ_ACTION_BACKEND_START ||
		    dark.count(vm) == 0) {
			PromptFleet::take(vm, action);
			if (action.kind == JJ_ACTION_BACKEND_START)
				progress({vm, start.request, start.attempt,
				    start.server.text});
			return;
		}
		Attempt attempt = {
		    vm, start.request, start.attempt, start.server.text};

		due.emplace(now + 1, [this, attempt]() {
			report(attempt, JJ_BACKEND_NOT_SENT);
		});
	}
	/** The server writes an event each 100 ms until the attempt ends. */
	void
	progress(const Attempt &attempt)
	{
		due.emplace(now + 100, [this, attempt]() {
			for (const Attempt &other : open)
				if (other.vm == attempt.vm &&
				    other.request == attempt.request &&
				    other.number == attempt.number) {
					report(attempt, JJ_BACKEND_FIRST);
					progress(attempt);
					return;
				}
		});
	}
	/** Breaks the connections of VMs; @p server empty: to all servers. */
	void
	reset(const std::set<std::string> &names,
	    const std::string &server = std::string())
	{
		for (const Attempt &attempt : std::vector<Attempt>(open))
			if (names.count(attempt.vm) == 1 &&
			    (server.empty() || attempt.server == server) &&
			    end_attempt(
				attempt.vm, attempt.request, attempt.number))
				report(attempt, JJ_BACKEND_BROKEN);
	}
	/** Each VM has requests with the rare part at many servers, and items. */
	void
	load(int count, uint64_t part = RARE)
	{
		for (int i = 0; i < count; i++)
			for (int vm = 0; vm < 3; vm++)
				send(name_of(vm), {FIRST, part});
		for (int vm = 0; vm < 3; vm++)
			submit(name_of(vm),
			    "item" + std::to_string(vm) + std::to_string(now),
			    ("1," + std::to_string(part)).c_str());
		play(50);
	}
	std::string
	server_of(uint64_t request)
	{
		for (const Attempt &attempt : open)
			if (attempt.request == request)
				return attempt.server;
		return "";
	}
	size_t
	count_open(const std::string &vm, const std::string &server)
	{
		return (size_t)std::count_if(
		    open.begin(), open.end(), [&](const Attempt &attempt) {
			    return attempt.vm == vm && attempt.server == server;
		    });
	}
	int
	count(const std::string &event)
	{
		int sum = 0;

		for (auto &vm : vms)
			sum += vm.second.events[event];
		return sum;
	}
	void
	expect_no_crash()
	{
		for (const char *event :
		    {"server_crashed", "part_suspected", "part_refused",
			"request_struck", "request_quarantined"})
			EXPECT_EQ(0, count(event)) << event;
	}
	/** A request with the part is served at once by each VM. */
	void
	expect_served(uint64_t part = RARE)
	{
		for (int vm = 0; vm < 3; vm++) {
			answered = {};
			send(name_of(vm), {FIRST, part});
			EXPECT_EQ(JJ_FAILURE_NONE, answered.reason) << vm;
		}
	}
};

struct ResetCase {
	const char *name;
	std::set<std::string> vms;
};

class ResetCases : public ResetFleet,
		   public ::testing::WithParamInterface<ResetCase>
{
};

INSTANTIATE_TEST_SUITE_P(Vms, ResetCases,
    ::testing::Values(ResetCase{"One", {"verona-1"}},
	ResetCase{"Two", {"verona-1", "verona-2"}},
	ResetCase{"All", {"verona-1", "verona-2", "verona-3"}}),
    [](const auto &info) { return info.param.name; });

/* Guards against live servers that count as crashed after a reset of VMs. */
TEST_P(ResetCases, NoCrashIsCountedAndItemsAreCompleted)
{
	load(20);
	reset(GetParam().vms);
	play(10);
	expect_no_crash();
	play(ITEM_MS);
	expect_no_crash();
	EXPECT_EQ(3U, finished_poisons) << "items";
	expect_served();
}

/* Guards against crashes that VMs conclude which are cut off from all others. */
TEST_P(ResetCases, VmsThatReachNoServerCountNoCrash)
{
	load(20);
	dark = GetParam().vms;
	for (const std::string &vm : dark)
		set_cut(vm, true);
	reset(dark);
	for (int i = 0; i < 30; i++) {
		for (int vm = 0; vm < 3; vm++)
			send(name_of(vm), {FIRST, vm == 0 ? RARE : USUAL});
		play(100);
	}
	dark.clear();
	for (const std::string &vm : GetParam().vms)
		set_cut(vm, false);
	play(ITEM_MS);
	expect_no_crash();
	EXPECT_EQ(3U, finished_poisons) << "items";
	expect_served();
}

/* Guards against a crash that is missed, or counted at live servers, too. */
TEST_F(ResetFleet, AServerThatCrashesDuringAResetIsTheOnlyOneCounted)
{
	std::string server;

	load(20);
	send("verona-1", {FIRST, POISON});
	server = server_of(last);
	crashed.insert(server);
	crash(server);
	reset({"verona-1", "verona-2", "verona-3"});
	for (int i = 0; i < 10; i++) {
		send(name_of(i), {FIRST, USUAL});
		play(ITEM_MS / 10);
	}
	for (auto &vm : vms)
		EXPECT_EQ(1, vm.second.events["part_suspected"]) << vm.first;
	EXPECT_EQ(0, count("part_refused"));
	EXPECT_EQ(3U, finished_poisons) << "items";
	expect_served();
}

/* Guards against crashes that are missed as two servers end at one moment. */
TEST_F(ResetFleet, TwoServersThatCrashAtOneMomentAreBothCounted)
{
	std::set<std::string> servers;

	load(20);
	while (servers.size() < 2) {
		send("verona-1", {FIRST, POISON});
		servers.insert(server_of(last));
	}
	for (const std::string &server : servers) {
		crashed.insert(server);
		crash(server);
	}
	for (int i = 0; i < 10; i++) {
		send(name_of(i), {FIRST, USUAL});
		play(ITEM_MS / 10);
	}
	for (auto &vm : vms)
		EXPECT_EQ(2, vm.second.events["part_suspected"]) << vm.first;
}

/** What happens between reports of crashes and the servers' next answers. */
struct WithdrawalCase {
	const char *name;
	const char *ends; /**< VM that ends */
	const char *loses; /**< VM that gets no messages for a while */
	bool idle; /**< no other request runs at the servers */
};

class Withdrawals : public ResetFleet,
		    public ::testing::WithParamInterface<WithdrawalCase>
{
      protected:
	static constexpr uint64_t CONTENT = 5000;

	/** Three servers in turn count as crashed, as seen by verona-1 alone. */
	void
	report_crashes(bool idle)
	{
		for (int i = 0; i < 3; i++) {
			std::string server;

			prompt.count = 2;
			prompt.ids[0] = FIRST;
			prompt.ids[1] = RARE;
			/* After two crashes the content is refused. */
			begin("verona-1", "/online/p", i < 2 ? CONTENT : 0);
			server = server_of(last);
			for (int k = 0; k < 60 &&
			     (count_open("verona-1", server) < 2 ||
				 (!idle && count_open("verona-2", server) < 1));
			     k++)
				send(name_of(idle ? 0 : k % 2), {FIRST, RARE});
			play(50);
			reset({"verona-1"}, server);
			play(450);
		}
		EXPECT_GE(count("part_suspected") + count("part_refused"), 3);
	}
	void
	expect_content_served()
	{
		for (int vm = 0; vm < 3; vm++) {
			answered = {};
			begin(name_of(vm), "/online/p", CONTENT);
			EXPECT_EQ(JJ_FAILURE_NONE, answered.reason) << vm;
		}
	}
};

INSTANTIATE_TEST_SUITE_P(Cases, Withdrawals,
    ::testing::Values(WithdrawalCase{"Streams", "", "", false},
	WithdrawalCase{"LaterAnswers", "", "", true},
	WithdrawalCase{"WitnessEnds", "verona-1", "", false},
	WithdrawalCase{"SeerEnds", "verona-2", "", true},
	WithdrawalCase{"LostMessages", "", "verona-3", false}),
    [](const auto &info) { return info.param.name; });

/*
 * Guards against refusals of parts and contents because of servers that answer
 * afterwards.
 */
TEST_P(Withdrawals, CrashesOfServersThatGoOnAreWithdrawnAtAllVms)
{
	const WithdrawalCase &row = GetParam();

	service_ms = 3900;
	if (row.loses[0] != '\0')
		due.emplace(now + 1400,
		    [this, row]() { vms[row.loses].loses_messages = true; });
	report_crashes(row.idle);
	if (row.ends[0] != '\0')
		restart(row.ends);
	play(500);
	if (row.loses[0] != '\0')
		vms[row.loses].loses_messages = false;
	if (row.idle || row.loses[0] != '\0') {
		service_ms = SERVICE_MS;
		for (int i = 0; i < 30; i++) {
			send(name_of(i), {FIRST, USUAL});
			send(name_of(i + 1), {FIRST, USUAL});
			play(100);
		}
	}
	expect_served();
	expect_content_served();
}

/* Guards against wrong crashes that a VM tells which was cut off and ends. */
TEST_F(Withdrawals, CrashesThatACutOffVmToldAreWithdrawn)
{
	service_ms = 3900;
	set_cut("verona-1", true);
	play(STABLE_MS);
	report_crashes(false);
	set_cut("verona-1", false);
	play(1000);
	EXPECT_GE(vms["verona-3"].events["part_refused"], 1);
	restart("verona-1");
	service_ms = SERVICE_MS;
	for (int i = 0; i < 30; i++) {
		send(name_of(i), {FIRST, USUAL});
		send(name_of(i + 1), {FIRST, USUAL});
		play(100);
	}
	expect_served();
	expect_content_served();
}

/* Guards against a removed entry as proof while the process goes on. */
TEST_F(Withdrawals, ACrashIsWithdrawnWhenTheEntryOfALiveServerReturns)
{
	std::string server;
	std::string key;

	service_ms = 3900;
	for (int i = 0; i < 40; i++)
		send(name_of(i % 2), {FIRST, RARE});
	play(50);
	for (const Attempt &attempt : open)
		if (attempt.vm == "verona-1" &&
		    count_open("verona-2", attempt.server) > 0)
			server = attempt.server;
	key = "servers/" + server;
	reset({"verona-1"}, server);
	play(SERVICE_MS);
	platform.objects.erase(key);
	announce(key, true);
	play(1000);
	EXPECT_EQ(3, count("part_suspected"));
	platform.put(key, entry_text);
	announce(key, false);
	play(500);
	EXPECT_EQ(3, count("part_crash_withdrawn"));
}

/* Guards against a crash withdrawn because of the server's successor. */
TEST_F(Withdrawals, AnAnswerOfTheNextProcessUnderTheIdWithdrawsNothing)
{
	std::set<std::string> servers;

	service_ms = 3900;
	report_crashes(true);
	service_ms = SERVICE_MS;
	for (int i = 0; i < 10; i++) {
		send(name_of(i), {FIRST, USUAL});
		send(name_of(i + 1), {FIRST, USUAL});
		play(100);
	}
	for (int i = 0; i <= server_count; i++) {
		std::string key =
		    i == 0 ? "servers/s1" : "servers/n" + std::to_string(i);

		for (auto &vm : vms)
			see(vm.first, WATCH_SERVERS, key.c_str(),
			    "verona ready -1");
	}
	play(ITEM_MS);
	EXPECT_EQ(0, count("part_crash_withdrawn"));
	EXPECT_EQ(0, count("request_crash_withdrawn"));
}

/** Items with a part that is refused because of servers that did crash. */
class RefusedItems : public ResetFleet,
		     public ::testing::WithParamInterface<int>
{
      protected:
	void
	refuse_part()
	{
		service_ms = SERVICE_MS;
		cured = false;
		for (int i = 0; i < 8; i++) {
			send(name_of(i), {FIRST, POISON});
			play(250);
		}
		play(STABLE_MS);
		cured = true;
		EXPECT_GE(count("part_refused"), 3);
		EXPECT_EQ(0U, finished_poisons);
	}
};

INSTANTIATE_TEST_SUITE_P(Vms, RefusedItems, ::testing::Values(0, 1, 2));

/* Guards against an item that waits for a probe that no VM sends. */
TEST_P(RefusedItems, AnItemIsTriedThoughNoOtherVmSendsAProbe)
{
	refuse_part();
	submit(name_of(GetParam()), "item", "1,66");
	play(routes[0].retention_ms / 4);
	EXPECT_EQ(1U, finished_poisons);
}

/* Guards against an item that waits for a part that requests crashed with. */
TEST_P(RefusedItems, AnItemIsPlacedAtOnce)
{
	refuse_part();
	submit(name_of(GetParam()), "item", "1,66");
	play(2 * HEARTBEAT_MS + service_ms);
	EXPECT_EQ(1U, finished_poisons);
}

/* Guards against the same where items are kept for hours. */
TEST_P(RefusedItems, AnItemThatIsKeptLongIsTriedAtTheNextProbe)
{
	routes[0].retention_ms = 14400000;
	for (int vm = 0; vm < 3; vm++)
		see_config(name_of(vm), 9);
	refuse_part();
	submit(name_of(GetParam()), "item", "1,66");
	/* The second probe is due 30 s after the first one. */
	play(30000 + 2 * ITEM_MS);
	EXPECT_EQ(1U, finished_poisons);
}

/* Guards against a probe that an online request preempts and that counts. */
TEST_P(RefusedItems, APreemptedItemIsTriedAgainSoon)
{
	std::string vm = name_of(GetParam());

	refuse_part();
	service_ms = 1000;
	submit(vm, "item", "1,66");
	for (int i = 0; i < 100 && count("item_sent") == 0; i++)
		play(200);
	for (int i = 0; i < 200 && count("item_cut") == 0; i++)
		send(vm, {FIRST, USUAL});
	ASSERT_EQ(1, count("item_cut"));
	play(ITEM_MS);
	EXPECT_EQ(1U, finished_poisons);
}

} // namespace
