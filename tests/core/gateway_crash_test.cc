/**
 * @file gateway_crash_test.cc
 * @brief Requests and items that crash the servers they run on, and servers
 * that end for other reasons.
 */
#include <random>
#include <set>

#include "tests/core/crash_fleet.h"
#include "tests/core/gateway_fixture.h"

namespace
{

/** Servers that a request crashes before few copies may reach a server. */
constexpr size_t CRASHES = 3;
constexpr size_t RETRIES = 3;
constexpr uint64_t POISON = 77;
/** Time for which describe_gateway() has a content refused. */
constexpr jj_ms_t QUARANTINE_MS = 600000;
/** Number of series of disturbances; more are played by hand. */
constexpr unsigned SERIES_SEEDS = 60;

/** How a server ends under a request. */
enum class End {
	BREAKS, /**< the connection breaks */
	BREAKS_AFTER_FIRST, /**< the same, after a first event */
	SILENT, /**< the connection stays open without an event */
	RESTARTS, /**< breaks, and a later start is listed under the id */
};

class GatewayCrash : public Gateway
{
      protected:
	int server_count = 4;

	GatewayCrash()
	{
		for (const char *id : {"s2", "s3", "s4"})
			see(WATCH_SERVERS,
			    (std::string("servers/") + id).c_str(),
			    "verona ready");
	}
	/** The server's process ends and another one starts elsewhere. */
	void
	replace(const std::string &server)
	{
		run(LAPSE_MS);
		see(WATCH_SERVERS, ("servers/" + server).c_str(), "", true);
		see(WATCH_SERVERS,
		    ("servers/s" + std::to_string(++server_count)).c_str(),
		    "verona ready");
	}
	/** Runs the fixture's clock in the steps of the gateway's ticks. */
	void
	run(jj_ms_t ms)
	{
		for (jj_ms_t until = now + ms; now < until;)
			tick(25);
	}
	/** The current attempt of a request ends with its server. */
	void
	crash(uint64_t request, End end)
	{
		std::string server = outcomes[request].servers.back();
		size_t sent = outcomes[request].servers.size();

		if (end == End::BREAKS_AFTER_FIRST)
			report_event(request, JJ_BACKEND_FIRST, 200, true);
		if (end == End::RESTARTS) {
			report_event(request, JJ_BACKEND_BROKEN);
			now += 500;
			see(WATCH_SERVERS, ("servers/" + server).c_str(),
			    ("verona ready " + std::to_string(++starts))
				.c_str());
			return;
		}
		if (end != End::SILENT)
			report_event(request, JJ_BACKEND_BROKEN);
		replace(server);
		if (end == End::SILENT &&
		    outcomes[request].servers.size() == sent &&
		    outcomes[request].answers == 0)
			run(4000);
	}
	int starts = 0;
};

struct CrashCase {
	const char *name;
	const char *path;
	End end;
};

class GatewayCrashCases : public GatewayCrash,
			  public ::testing::WithParamInterface<CrashCase>
{
};

INSTANTIATE_TEST_SUITE_P(Ends, GatewayCrashCases,
    ::testing::Values(CrashCase{"OnceBreaks", "/once/p", End::BREAKS},
	CrashCase{"AgainBreaks", "/again/p", End::BREAKS},
	CrashCase{"OnceBreaksAfterFirst", "/once/p", End::BREAKS_AFTER_FIRST},
	CrashCase{"AgainBreaksAfterFirst", "/again/p", End::BREAKS_AFTER_FIRST},
	CrashCase{"OnceSilent", "/once/p", End::SILENT},
	CrashCase{"AgainSilent", "/again/p", End::SILENT},
	CrashCase{"OnceRestarts", "/once/p", End::RESTARTS},
	CrashCase{"AgainRestarts", "/again/p", End::RESTARTS}),
    [](const auto &info) { return info.param.name; });

/*
 * Guards against a request that crashes one server after another as its VM sees
 * only one connection break, or none.
 */
TEST_P(GatewayCrashCases, ALoneRequestThatCrashesItsServersIsRefused)
{
	std::set<std::string> reached;

	for (int copy = 0; copy < 10; copy++) {
		uint64_t request = begin(GetParam().path, POISON);

		for (size_t attempt = 1; attempts(request) >= attempt;
		     attempt++)
			crash(request, GetParam().end);
		for (const std::string &server : outcomes[request].servers)
			reached.insert(server + std::to_string(now));
		run(STABLE_MS);
	}
	EXPECT_LE(reached.size(), CRASHES + RETRIES);
	expect_end(begin(GetParam().path, POISON), JJ_FAILURE_QUARANTINED,
	    JJ_RUN_NOT_RUN);
	EXPECT_EQ(QUARANTINE_MS, outcomes[last].answer.retry_after_ms);
}

/*
 * Guards against requests refused for good as their servers ended for reasons
 * of their own: a release, an entry that expires and comes back.
 */
TEST_F(GatewayCrash, AServerThatLeavesOrIsListedAgainDidNotCrash)
{
	const struct {
		const char *name;
		bool announced; /**< it was listed as draining first */
		bool returns; /**< its entry only expired */
	} cases[] = {
	    {"announced", true, false},
	    {"expired with most others", false, true},
	};

	for (const auto &row : cases) {
		uint64_t fingerprint = row.announced ? 500 : 501;

		for (int copy = 0; copy < 4; copy++) {
			uint64_t request = begin("/once/o", fingerprint);
			std::string entry;

			ASSERT_EQ(1U, attempts(request)) << row.name << copy;
			entry = "servers/" + outcomes[request].servers[0];
			report_event(request, JJ_BACKEND_BROKEN);
			if (row.announced)
				see(WATCH_SERVERS, entry.c_str(),
				    "verona draining");
			else
				for (const char *id : {"s1", "s2", "s3", "s4",
					 "s5", "s6", "s7", "s8"})
					if (server(id) != nullptr)
						see(WATCH_SERVERS,
						    (std::string("servers/") +
							id)
							.c_str(),
						    "", true);
			run(1000);
			if (!row.returns) {
				replace(outcomes[request].servers[0]);
				continue;
			}
			for (const char *id : {"s5", "s6", "s7", "s8"})
				see(WATCH_SERVERS,
				    (std::string("servers/") + id).c_str(),
				    "verona ready");
			run(STABLE_MS);
		}
		EXPECT_EQ(1U, attempts(begin("/once/o", fingerprint)))
		    << row.name;
	}
}

/*
 * Guards against lost answers that count as crashes when their servers leave
 * without notice much later.
 */
TEST_F(GatewayCrash, AServerThatLeavesLongAfterALostAnswerDidNotCrash)
{
	for (int copy = 0; copy < 4; copy++) {
		uint64_t request = begin("/once/o", 600);

		ASSERT_EQ(1U, attempts(request)) << copy;
		report_event(request, JJ_BACKEND_BROKEN);
		for (int s = 0; s < 15; s++) {
			run(1000);
			see(WATCH_SERVERS, "servers/other", "mantova ready");
		}
		replace(outcomes[request].servers[0]);
		run(STABLE_MS);
	}
	EXPECT_EQ(1U, attempts(begin("/once/o", 600)));
}

/*
 * Guards against forty innocent requests refused after the server crashed that
 * they ran on, beside the one that crashed it.
 */
TEST_F(GatewayCrash, RequestsBesideTheOneThatCrashesServersAreServed)
{
	for (int round = 0; round < 4; round++) {
		uint64_t poison = begin("/once/p", POISON);
		std::vector<uint64_t> others;
		std::string server;

		if (attempts(poison) == 0)
			break;
		server = outcomes[poison].servers[0];
		for (int i = 0; i < 40; i++) {
			uint64_t other = begin("/once/o", 900 + (uint64_t)i);

			ASSERT_EQ(0,
			    outcomes[other].answer.reason ==
				JJ_FAILURE_QUARANTINED)
			    << round;
			if (attempts(other) == 1)
				others.push_back(other);
		}
		report_event(poison, JJ_BACKEND_BROKEN);
		for (uint64_t other : others)
			report_event(other,
			    outcomes[other].servers[0] == server
				? JJ_BACKEND_BROKEN
				: JJ_BACKEND_DONE);
		replace(server);
		run(STABLE_MS);
	}
	for (int i = 0; i < 40; i++) {
		uint64_t other = begin("/once/o", 900 + (uint64_t)i);

		EXPECT_EQ(1U, attempts(other)) << i;
		report_event(other, JJ_BACKEND_DONE);
	}
}

/** Three VMs, and servers that crash under one content. */
class GatewayCrashFleet : public CrashFleet
{
      protected:
	/** A copy of the content, and the VM that its caller tries next. */
	struct Copy {
		std::string vm;
		std::string next;
	};
	std::map<uint64_t, Copy> copies;
	bool cured = false; /**< no server crashes any more */
	size_t finished = 0;

	void
	take(const std::string &vm, const jj_action_t &action) override
	{
		const jj_backend_start_t &start = action.body.start;

		if (action.kind == JJ_ACTION_BACKEND_CANCEL)
			end_attempt(vm, action.body.cancel.request);
		if (action.kind == JJ_ACTION_ANSWER)
			retry(action.body.answer);
		if (action.kind != JJ_ACTION_BACKEND_START)
			return;
		open.push_back(
		    {vm, start.request, start.attempt, start.server.text});
		reached.push_back(now);
		if (cured) {
			finish(open.back());
			return;
		}
		std::string server = start.server.text;
		due.emplace(now + 20, [this, server]() { crash(server); });
	}
	/** The caller sends its copy again, once. */
	void
	retry(const jj_answer_t &answer)
	{
		auto copy = copies.find(answer.request);

		if (copy == copies.end() || copy->second.next.empty() ||
		    answer.reason == JJ_FAILURE_QUARANTINED)
			return;
		std::string vm = copy->second.next;
		std::string path = paths[answer.request];

		due.emplace(now + 10,
		    [this, vm, path]() { send(vm, "", path.c_str()); });
	}
	std::map<uint64_t, std::string> paths;
	void
	send(const std::string &vm, const std::string &next, const char *path)
	{
		copies[last + 1] = {vm, next};
		paths[last + 1] = path;
		begin(vm, path, POISON);
	}
	void
	finish(const Attempt &attempt)
	{
		due.emplace(now + 20, [this, attempt]() {
			if (!end_attempt(attempt.vm, attempt.request))
				return;
			report(attempt, JJ_BACKEND_DONE);
			finished++;
		});
	}
	/** Copies that reached a server in touch after the third crash. */
	size_t
	retries() const
	{
		size_t count = 0;

		for (jj_ms_t ms : reached)
			count += reached.size() >= CRASHES &&
			    ms > reached[CRASHES - 1] + STABLE_MS;
		return count;
	}
	/** Copies come once a second, at each VM in turn. */
	void
	send_copies(int count, const char *path)
	{
		for (int i = 0; i < count; i++) {
			send("verona-" + std::to_string(i % 3 + 1),
			    "verona-" + std::to_string((i + 1) % 3 + 1), path);
			play(1000);
		}
	}
};

/*
 * Guards against a request that crashes servers without end as its copies come
 * through different VMs, each of which sees one connection break.
 */
TEST_F(GatewayCrashFleet, CrashesThatDifferentVmsSawAreCountedTogether)
{
	send_copies(20, "/online/p");
	EXPECT_LE(retries(), RETRIES) << reached.size();
}

/*
 * The same where each VM tries a second server by itself.
 */
TEST_F(GatewayCrashFleet, RepeatableRequestsThatCrashServersAreCountedTogether)
{
	send_copies(20, "/again/p");
	EXPECT_LE(retries(), RETRIES) << reached.size();
}

/*
 * Guards against crashes that count for nothing as the VM that saw them was cut
 * off from all others and from the platform.
 */
TEST_F(GatewayCrashFleet, CrashesThatACutOffVmSawCountWhenItIsBack)
{
	cut_off({"verona-2"});
	for (int i = 0; i < 3; i++) {
		send("verona-2", "", "/online/p");
		play(500);
	}
	play(3000);
	cut_off({});
	read_servers("verona-2");
	play(3000);
	for (int i = 0; i < 9; i++) {
		send(i % 2 == 0 ? "verona-1" : "verona-3", "verona-2",
		    "/online/p");
		play(1000);
	}
	EXPECT_LE(retries(), RETRIES) << reached.size();
}

/*
 * Guards against crashes that count for nothing as the VM that saw them ended
 * before it knew that they were crashes.
 */
TEST_F(GatewayCrashFleet, CrashesThatAKilledVmSawCountAtTheOthers)
{
	for (int i = 0; i < 3; i++) {
		send("verona-2", "", "/online/p");
		play(100);
	}
	restart("verona-2");
	play(4000);
	send_copies(10, "/again/p");
	EXPECT_LE(retries(), RETRIES) << reached.size();
}

/*
 * Guards against a content that crashes servers again from the start as all VMs
 * were restarted.
 */
TEST_F(GatewayCrashFleet, AfterARestartOfAllVmsFewServersAreReached)
{
	send_copies(5, "/online/p");
	for (const char *vm : {"verona-1", "verona-2", "verona-3"})
		restart(vm);
	play(4000);
	send_copies(10, "/online/p");
	EXPECT_LE(retries(), RETRIES) << reached.size();
}

/** A sound item is placed within this time after the last crash under it. */
constexpr jj_ms_t PLACED_MS = 2 * HEARTBEAT_MS;

/** Number of servers that crash while they run one item. */
class UnluckyItem : public GatewayCrashFleet,
		    public ::testing::WithParamInterface<size_t>
{
};

/* Guards against an item that is not placed again as servers died under it. */
TEST_P(UnluckyItem, IsPlacedAndListedOnceAllIsCalm)
{
	submit("verona-1", "sound");
	for (int i = 0; i < 200 && reached.size() < GetParam(); i++)
		play(50);
	ASSERT_EQ(GetParam(), reached.size());
	play(40);
	cured = true;
	play(PLACED_MS);
	EXPECT_EQ(GetParam() + 1, reached.size());
	EXPECT_EQ(1U, finished);
	play(HEARTBEAT_MS);
	EXPECT_TRUE(platform.has("batch-out/sound.0"));
	EXPECT_FALSE(platform.has("batch-open/sound"));
}

INSTANTIATE_TEST_SUITE_P(
    Crashes, UnluckyItem, ::testing::Values(1, 2, 3, 4, 5, 10, 20));

/**
 * Copies of a content that crashes servers, while VMs are cut off and killed one
 * at a time.
 */
class CrashSeries : public GatewayCrashFleet,
		    public ::testing::WithParamInterface<unsigned>
{
      protected:
	size_t reached_in_touch = 0;

	std::string
	any_vm()
	{
		return "verona-" + std::to_string(1 + draw(3));
	}
	void
	take(const std::string &vm, const jj_action_t &action) override
	{
		GatewayCrashFleet::take(vm, action);
		reached_in_touch += action.kind == JJ_ACTION_BACKEND_START &&
		    reached.size() > CRASHES && now > disturbed[vm] &&
		    now > reached[CRASHES - 1] + STABLE_MS;
	}
	void
	play_series(unsigned seed)
	{
		std::string isolated;

		random.seed(seed);
		for (int i = 0; i < 40; i++) {
			std::string vm = any_vm();

			if (draw(6) == 0 && cut.empty()) {
				isolated = any_vm();
				set_cut(isolated, true);
			} else if (draw(3) == 0 && !cut.empty()) {
				set_cut(isolated, false);
			} else if (draw(12) == 0 && cut.count(vm) == 0) {
				restart(vm);
			}
			const char *path =
			    draw(2) == 0 ? "/online/p" : "/again/p";
			std::string second = any_vm();
			std::string first = any_vm();

			send(first, second, path);
			play(100 + draw(1500));
		}
	}
};

/*
 * Guards against a content that crashes servers again and again where the VMs
 * that saw its crashes are cut off and killed.
 */
TEST_P(CrashSeries, FewServersAreReachedAfterTheThirdCrash)
{
	play_series(GetParam());
	EXPECT_LE(reached_in_touch, RETRIES) << reached.size();
}

INSTANTIATE_TEST_SUITE_P(
    Seeds, CrashSeries, ::testing::Range(1U, SERIES_SEEDS + 1));

} // namespace
