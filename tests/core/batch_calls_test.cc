/**
 * @file batch_calls_test.cc
 * @brief How many platform calls batch work costs, by kind, with bounds.
 *
 * The platform takes several hundred writes and about two thousand reads a
 * second for everything. The counts are of the fake platform: the same in
 * each run. Workers hear of each write after one round, as from the relay.
 */
#include "batch_fleet.h"

namespace
{

using Calls = std::map<std::string, int>;

/** Kind of a call: what is done to which sort of key. */
std::string
kind_of(const jj_platform_call_t &call)
{
	static const char *const names[] = {
	    "get", "create", "update", "delete", "list", "watch", "vms"};
	std::string key = call.key;
	std::string sort = "job";

	for (const char *part : {"/chunk", "/out", "/part"}) {
		if (key.find(part) != std::string::npos)
			sort = part + 1;
	}
	if (key.find("active/") == 0)
		sort = "active";
	if (key == "jobs/")
		sort = "jobs";
	if (call.values)
		sort = "values";
	return std::string(names[call.op]) + "_" + sort;
}

Calls
count_calls(Fleet &fleet)
{
	Calls calls;

	fleet.platform.before = [&](const jj_platform_call_t &call) {
		calls[kind_of(call)]++;
		bool write = call.op == JJ_PLATFORM_CREATE ||
		    call.op == JJ_PLATFORM_UPDATE ||
		    call.op == JJ_PLATFORM_DELETE;
		calls[write ? "writes" : "reads"]++;
	};
	/* Each worker has ten events a second; the end shows at times. */
	while (!fleet.has_ended())
		fleet.run_rounds(1000, 100);
	EXPECT_FALSE(fleet.platform.has(fleet.entry_key()));
	return calls;
}

/*
 * A claim, its job and part, the results and the end are 3 writes and 2
 * reads for a chunk; the rest goes with the time that the job runs.
 */
TEST(BatchCalls, AreFewForEachChunk)
{
	enum Hints {
		kNone,
		kOfTheJob, /**< of its creation only */
		kAll
	};
	const struct {
		const char *name;
		size_t chunks, items;
		int workers;
		Hints hints;
		int writes, reads, claims, looks; /**< at most */
	} cases[] = {
	    {"small", 2, 500, 3, kAll, 34, 88, 4, 20},
	    {"small_no_hints", 2, 500, 3, kNone, 34, 88, 4, 20},
	    {"large", 780, 500, 3, kAll, 11300, 15800, 800, 20},
	    {"large_no_hints", 780, 50, 3, kNone, 3300, 3100, 830, 40},
	    {"large_then_no_hints", 780, 50, 3, kOfTheJob, 3300, 3100, 830, 40},
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		Fleet fleet(Rows(c.chunks, std::vector<bool>(c.items, true)),
		    c.workers);
		fleet.hints = c.hints == kAll;
		for (int w = 0; w < c.workers && c.hints == kOfTheJob; w++)
			fleet.change(w, fleet.job_key());
		Calls calls = count_calls(fleet);
		double thousands = c.chunks * c.items / 1000.0;
		std::string line;
		for (const auto &entry : calls)
			line += " " + entry.first + "=" +
			    std::to_string(entry.second);
		printf("batch_calls job=%s items=%zu%s "
		       "writes_per_1000=%.2f reads_per_1000=%.2f\n",
		    c.name, c.chunks * c.items, line.c_str(),
		    calls["writes"] / thousands, calls["reads"] / thousands);
		EXPECT_LE(calls["writes"], c.writes);
		EXPECT_LE(calls["reads"], c.reads);
		EXPECT_LE(calls["create_chunk"], c.claims);
		EXPECT_LE(calls["get_chunk"], c.looks);
		EXPECT_EQ(calls["list_jobs"], 0) << "only the index is listed";
		EXPECT_EQ(calls["get_out"], 0);
		/* One VM sums up and deletes the entry, not each. */
		EXPECT_EQ(calls["list_values"], c.chunks > 200 ? 4 : 1);
		EXPECT_EQ(calls["delete_active"], 1);
	}
}

/* 59,000 jobs a day are told to 330 VMs: 225 reads a second at one read. */
TEST(BatchCalls, NewJobCostsABusyWorkerOneRead)
{
	Fleet fleet(Rows{{true}, {true}}, 1);
	Calls calls;

	fleet.workers[0]->room = 0;
	fleet.platform.before = [&](const jj_platform_call_t &call) {
		calls[kind_of(call)]++;
	};
	fleet.change(0, fleet.job_key());
	fleet.run_rounds(20, 100);
	EXPECT_EQ(calls["get_job"], 1);
	EXPECT_EQ(calls["list_active"], 1) << "at the start";
	EXPECT_EQ(calls.size(), 2u);
}

/*
 * Hundreds of idle VMs hear of each renewal of each claim; each of them read
 * the record four times a second, to see whether it had been released.
 */
TEST(BatchCalls, IdleWorkersRarelyLookAtRenewedClaims)
{
	Fleet fleet(Rows{{true}});
	int looks = 0;

	fleet.hints = true;
	fleet.platform.before = [&](const jj_platform_call_t &call) {
		looks += kind_of(call) == "get_chunk";
	};
	/* One holds the chunk, whose item runs on; the other has room. */
	for (int i = 0; i < 6000; i++) {
		for (size_t w = 0; w < fleet.workers.size(); w++) {
			fleet.tick(w);
			while (!fleet.is_waiting(w))
				fleet.call(w);
		}
		fleet.now += 100;
		fleet.deliver_hints();
	}
	EXPECT_EQ(1u, fleet.counts(0).chunks_held);
	EXPECT_EQ(0u, fleet.counts(1).takeovers);
	EXPECT_GE(fleet.counts(0).checkpoints, 100u);
	printf("batch_calls job=renewed seconds=600 get_chunk=%d\n", looks);
	EXPECT_LE(looks, 100);
}

} // namespace
