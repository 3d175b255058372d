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

/* Guards against crashes that a VM concludes which is cut off from servers. */
TEST_F(ResetFleet, AVmThatReachesNoServerCountsNoCrash)
{
	load(20);
	set_cut("verona-2", true);
	dark.insert("verona-2");
	reset({"verona-2"});
	for (int i = 0; i < 30; i++) {
		send("verona-2", {FIRST, RARE});
		send("verona-1", {FIRST, USUAL});
		play(100);
	}
	dark.clear();
	set_cut("verona-2", false);
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

/*
 * Guards against refusals of parts and contents because of servers that answer
 * afterwards.
 */
TEST_F(ResetFleet, CrashesOfServersThatGoOnAreWithdrawnAtAllVms)
{
	constexpr uint64_t CONTENT = 5000;

	service_ms = 3900;
	for (int i = 0; i < 3; i++) {
		std::string server;

		prompt.count = 2;
		prompt.ids[0] = FIRST;
		prompt.ids[1] = RARE;
		begin("verona-1", "/online/p", CONTENT);
		server = server_of(last);
		for (int k = 0; k < 60 &&
		     (count_open("verona-1", server) < 2 ||
			 count_open("verona-2", server) < 1);
		     k++)
			send(name_of(k % 2), {FIRST, RARE});
		play(50);
		reset({"verona-1"}, server);
		play(450);
	}
	EXPECT_GE(count("server_crashed"), 1);
	EXPECT_GE(count("part_suspected"), 3);
	play(500);
	expect_served();
	for (int vm = 0; vm < 3; vm++) {
		answered = {};
		begin(name_of(vm), "/online/p", CONTENT);
		EXPECT_EQ(JJ_FAILURE_NONE, answered.reason) << vm;
	}
}

} // namespace
