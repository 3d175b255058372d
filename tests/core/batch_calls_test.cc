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
	EXPECT_TRUE(fleet.run_to_end(1000000));
	/* What the workers still want to do to a job that has ended. */
	for (int i = 0; i < 50; i++) {
		for (size_t w = 0; w < fleet.workers.size(); w++)
			fleet.step(w);
	}
	return calls;
}

TEST(BatchCalls, AreFewForEachChunk)
{
	const struct {
		const char *name;
		size_t chunks, items;
		int workers;
		bool hints;
		int writes, reads; /**< at most */
	} cases[] = {
	    {"small_job", 2, 500, 3, true, 100000, 100000},
	    {"small_job_no_hints", 2, 500, 3, false, 100000, 100000},
	    {"large_job", 780, 500, 3, true, 100000, 100000},
	    {"large_job_no_hints", 780, 500, 3, false, 100000, 100000},
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		Fleet fleet(Rows(c.chunks, std::vector<bool>(c.items, true)),
		    c.workers);
		fleet.hints = c.hints;
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
	}
}

} // namespace
