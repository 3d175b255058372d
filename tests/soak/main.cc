/*
 * The soak: small users' fleets under a seeded schedule of faults, then the
 * records of engines, services and the platform against what callers were
 * told. Ends with 1 when a check fails; its seed then becomes a test.
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

/* Leases short enough for take-overs within the pauses and cuts of a run;
 * keys are remembered for longer than any caller here resends them. */
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
	stage_t stage(options, fleet, history, verdicts);
	injector_t injector(stage);
	std::vector<std::thread> traffic = start_traffic(stage);

	injector.run();
	stage.stop = true;
	std::atomic<bool> over{false};
	std::thread guard([&] { injector.look_after(over); });
	for (std::thread &thread : traffic)
		thread.join();
	wait_quiet(stage);
	check_calls(stage);
	check_online(stage);
	check_jobs(stage);
	check_config(stage);
	over = true;
	guard.join();
	verdicts.judge("run: the processes could be steered",
	    !testing::Test::HasFailure(), "see standard error");
	history.print_counts();
	printf("\nagain: %s\n", options.command().c_str());
	if (verdicts.print())
		return true;
	/* The logs of the processes are printed and kept then. */
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
