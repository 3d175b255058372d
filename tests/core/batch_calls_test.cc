/**
 * @file batch_calls_test.cc
 * @brief Upper bounds of the platform calls that batch work makes, by kind.
 *
 * The platform accepts several hundred writes and about two thousand reads a
 * second in total. The counts are those of the fake platform, the same in each
 * run. Workers get the event of each write after one round, as from the watch
 * relay.
 */
#include "batch_fleet.h"

namespace
{

using Calls = std::map<std::string, int>;

/** Kind of a call: operation and sort of key. */
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
	/* Each worker gets ten events a second; checks for the end at
	 * intervals. */
	while (!fleet.has_ended())
		fleet.run_rounds(1000, 100);
	EXPECT_FALSE(fleet.platform.has(fleet.entry_key()));
	return calls;
}

/*
 * A chunk takes 3 writes (claim, out object, done record) and 2 reads (job and
 * part). All other calls depend on the run time of the job.
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
		int writes, reads, claims, record_reads; /**< at most */
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
		EXPECT_LE(calls["get_chunk"], c.record_reads);
		EXPECT_EQ(calls["list_jobs"], 0)
		    << "a worker listed jobs/ instead of the index";
		EXPECT_EQ(calls["get_out"], 0);
		/* Only one VM sums up the job and deletes its entry. */
		EXPECT_EQ(calls["list_values"], c.chunks > 200 ? 4 : 1);
		EXPECT_EQ(calls["delete_active"], 1);
	}
}

/*
 * The events of 59,000 jobs a day reach 330 VMs: 225 reads a second with one
 * read for each event.
 */
TEST(BatchCalls, NewJobCostsABusyWorkerOneRead)
{
	Fleet fleet(Rows{{true}, {true}}, 1);
	Calls calls;

	fleet.workers[0]->free_capacity = 0;
	fleet.platform.before = [&](const jj_platform_call_t &call) {
		calls[kind_of(call)]++;
	};
	fleet.change(0, fleet.job_key());
	fleet.run_rounds(20, 100);
	EXPECT_EQ(calls["get_job"], 1);
	EXPECT_EQ(calls["list_active"], 1) << "not only the first listing";
	EXPECT_EQ(calls.size(), 2u);
}

/*
 * Hundreds of idle VMs get the events of each renewal of each claim. Guards
 * against each of them reading the records four times a second, to see whether
 * they were released.
 */
TEST(BatchCalls, IdleWorkersRarelyLookAtRenewedClaims)
{
	Fleet fleet(Rows{{true}});
	int record_reads = 0;

	fleet.hints = true;
	fleet.platform.before = [&](const jj_platform_call_t &call) {
		record_reads += kind_of(call) == "get_chunk";
	};
	/* One worker holds the chunk with a long-running item; the other has
	 * free capacity. */
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
	printf(
	    "batch_calls job=renewed seconds=600 get_chunk=%d\n", record_reads);
	EXPECT_LE(record_reads, 100);
}

} // namespace
