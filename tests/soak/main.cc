/*
 * Soak test: runs small fleets with the users' traffic under a seeded schedule
 * of faults, then compares the records of engines, services and the platform
 * with the answers that callers received. Exits with 1 if a check fails; the
 * seed of that run is then added as a test.
 */
#include <cstdio>

#include <curl/curl.h>
#include <gtest/gtest.h>

#include "tests/soak/checks.h"
#include "tests/soak/injector.h"
#include "tests/soak/options.h"
#include "tests/soak/traffic.h"

using namespace soak;

namespace
{

/* Leases are short, so that take-overs happen within the pauses and cuts of a
 * run. Keys are stored longer than any caller here resends them. */
const char *const SETTINGS =
    "[batch]\nlease_ms = 1500\nmargin_ms = 300\ncheckpoint_ms = 500\n"
    "relist_ms = 2000\nitem_retry_ms = 50\nitem_attempts = 100\n"
    "[intake]\npart_items = 20\n"
    "[member]\nheartbeat_ms = 200\nsuspect_ms = 1000\n"
    "[ledger]\nretention_ms = 60000\ntakeover_ms = 1500\n"
    "[lease]\nlease_ms = 2000\nmargin_ms = 500\n";

harness::fleet_options_t
describe_fleet(const shape_t &shape)
{
	harness::fleet_options_t fleet;

	fleet.domains = 3;
	fleet.vms = 3;
	fleet.engines = shape.engines;
	fleet.services = 1;
	fleet.settings = SETTINGS;
	fleet.narrador = shape.narrador;
	fleet.pallets = ",\"timeout_ms\":1500,\"deadline_ms\":4000";
	return fleet;
}

bool
run(const options_t &options)
{
	harness::fleet_t fleet(describe_fleet(*options.shape));
	history_t history(options.history);
	verdicts_t verdicts;
	run_context_t context(options, fleet, history, verdicts);
	injector_t injector(context);
	std::vector<std::thread> traffic = start_traffic(context);

	injector.run();
	context.stop = true;
	std::atomic<bool> checks_done{false};
	std::thread restarter([&] { injector.restart_crashed(checks_done); });
	for (std::thread &thread : traffic)
		thread.join();
	wait_for_jobs(context);
	check_calls(context);
	check_online(context);
	check_jobs(context);
	check_config(context);
	checks_done = true;
	restarter.join();
	verdicts.expect("run: no failure in the harness",
	    !testing::Test::HasFailure(), "see standard error");
	history.print_counts();
	printf("\nto repeat: %s\n", options.command().c_str());
	if (verdicts.print())
		return true;
	/* On a failure, the harness prints and keeps the processes' logs. */
	ADD_FAILURE() << options.command();
	return false;
}

} // namespace

int
main(int argc, char **argv)
{
	options_t options;

	testing::InitGoogleTest(&argc, argv);
	curl_global_init(CURL_GLOBAL_ALL);
	if (!read_options(argc, argv, options))
		return 2;
	printf("%s\n", options.command().c_str());
	fflush(stdout);
	return run(options) ? 0 : 1;
}
