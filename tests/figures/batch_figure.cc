/*
 * Batch together with online requests, with real processes: batch throughput
 * and online latency with the setting "trade" at 0 and at 1, compared with the
 * same arrivals without batch.
 */
#include "tests/figures/figures.h"

using namespace figures;
using namespace harness;

namespace
{

constexpr int SEEDS = 2;
constexpr double ONLINE_PER_SECOND = 40;
constexpr int ONLINE_TOKENS = 30;
constexpr int ITEMS = 8000;
constexpr int ITEM_TOKENS = 20;
constexpr long WARM_MS = 20000;
constexpr long RUN_MS = 30000;

struct outcome_t {
	double first_p99;
	double end_p99;
	double items_per_second;
};

outcome_t
run(const std::string &name, bool batch, double trade, unsigned seed)
{
	fleet_options_t options;

	options.domains = 1;
	options.engines = 2;
	options.narrador = ",\"trade\":" + std::to_string(trade);
	fleet_t fleet(options);
	if (batch) {
		std::string file = fleet.vm(0, 0).upload(
		    make_prompts("item", ITEMS), ITEM_TOKENS);
		EXPECT_EQ(fleet.vm(0, 0).submit(file, "beside").status, 200);
	}
	arrivals_t warm(fleet, ONLINE_PER_SECOND, ONLINE_TOKENS, seed + 1000);
	warm.run(WARM_MS);
	arrivals_t online(fleet, ONLINE_PER_SECOND, ONLINE_TOKENS, seed);
	long begin = now_ms();
	online.run(RUN_MS);
	long done = 0;
	for (const standin_t &engine : fleet.engines)
		done += count_batch_done(engine, begin, begin + RUN_MS);
	outcome_t outcome = {online.first.quantile(0.99),
	    online.end.quantile(0.99), done * 1000.0 / RUN_MS};
	printf("figure=%s_seed%u trials=%zu first_p50=%.4g first_p99=%.4g "
	       "whole_p99=%.4g failed=%ld items_per_second=%.1f\n",
	    name.c_str(), seed, online.first.size(), online.first.quantile(0.5),
	    outcome.first_p99, outcome.end_p99, online.failed,
	    outcome.items_per_second);
	fflush(stdout);
	return outcome;
}

TEST(Figures, BatchBesideOnline)
{
	for (unsigned seed = 1; seed <= SEEDS; seed++) {
		outcome_t none = run("beside_none", false, 0.5, seed);
		for (int trade : {0, 1}) {
			outcome_t with =
			    run("beside_trade" + std::to_string(trade), true,
				trade, seed);
			printf("figure=beside_trade%d_ratio_seed%u trials=1 "
			       "first_p99=%.3f whole_p99=%.3f "
			       "items_per_second=%.1f\n",
			    trade, seed, with.first_p99 / none.first_p99,
			    with.end_p99 / none.end_p99, with.items_per_second);
		}
	}
}

} // namespace
