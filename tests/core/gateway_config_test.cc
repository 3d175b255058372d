/**
 * @file gateway_config_test.cc
 * @brief How a configuration spreads among VMs, and what that costs.
 */
#include "tests/core/gateway_fleet.h"

namespace
{

constexpr int VMS = 12;
/** Time within which each VM has the configuration: news_ms of the settings. */
constexpr jj_ms_t NEWS_MS = 2000;

class ConfigSpread : public GatewayFleet
{
      protected:
	/** reasons of refusals, by request */
	std::map<uint64_t, jj_failure_t> refused;

	ConfigSpread() : GatewayFleet(VMS)
	{
	}
	size_t
	documents()
	{
		size_t sum = 0;

		for (const auto &vm : vms)
			sum += vm.second.documents.size();
		return sum;
	}
	/** Maximum number of documents that one VM sent within that time. */
	size_t
	max_within(jj_ms_t ms)
	{
		size_t max = 0;

		for (const auto &vm : vms) {
			const std::vector<jj_ms_t> &times = vm.second.documents;

			for (size_t i = 0; i < times.size(); i++) {
				size_t j = i;

				while (j < times.size() &&
				    times[j] < times[i] + ms)
					j++;
				max = std::max(max, j - i);
			}
		}
		return max;
	}
	void
	take(const std::string &, const jj_action_t &action) override
	{
		if (action.kind == JJ_ACTION_ANSWER)
			refused[action.body.answer.request] =
			    action.body.answer.reason;
	}
	void
	expect_all_have(uint64_t version)
	{
		for (const auto &vm : vms)
			EXPECT_EQ(version, version_of(vm.first)) << vm.first;
	}
};

/*
 * Guards against documents that nobody needs. When a configuration of 0.3 MB
 * changed, each of 56 VMs learned it from its own watch and sent it to all that
 * seemed to be behind: 30 MB a VM. Links of 30 Mbit/s were busy for eight
 * seconds, heartbeats were lost, and stopping servers were sent requests.
 */
TEST_F(ConfigSpread, NoDocumentIsSentWhenEachVmReadsItItself)
{
	for (const auto &vm : vms) {
		see_config(vm.first, 9);
		run(2 * FLEET_STEP_MS);
	}
	run(NEWS_MS);
	expect_all_have(9);
	EXPECT_EQ(0U, documents());
}

/*
 * Only one VM learns the version from the platform: the others have it in time,
 * each receives it about once, and no VM sends it to all of them.
 */
TEST_F(ConfigSpread, WhatOneVmReadsAllHaveInTime)
{
	for (int i = 1; i < VMS; i++)
		vms["verona-" + std::to_string(i)].cut = JJ_PLATFORM_UNKNOWN;
	see_config("verona-" + std::to_string(VMS), 9);
	run(NEWS_MS);
	expect_all_have(9);
	EXPECT_LE(documents(), 2U * VMS);
	EXPECT_LE(max_within(NEWS_MS / 6), 4U);
}

/* The VM that is asked first does not answer: another one is asked. */
TEST_F(ConfigSpread, AnotherVmIsAskedWhenOneDoesNotAnswer)
{
	see_config("verona-1", 9);
	see_config("verona-2", 9);
	run(2 * FLEET_STEP_MS);
	vms["verona-1"].loses_messages = true;
	run(NEWS_MS);
	for (int i = 2; i <= VMS; i++)
		EXPECT_EQ(9U, version_of("verona-" + std::to_string(i))) << i;
}

/* Guards against a VM that requests a configuration ever more rarely. */
TEST_F(ConfigSpread, AVmWhoseDocumentsWereLostHasItInTimeAfterwards)
{
	vms["verona-2"].cut = JJ_PLATFORM_UNKNOWN;
	vms["verona-2"].loses_documents = true;
	see_config("verona-12", 9);
	run(3 * NEWS_MS);
	ASSERT_EQ(7U, version_of("verona-2"));
	vms["verona-2"].loses_documents = false;
	run(NEWS_MS);
	expect_all_have(9);
}

/*
 * Versions in quick succession: the newest is in force, older documents are not
 * sent.
 */
TEST_F(ConfigSpread, OfVersionsInQuickSuccessionTheNewestCounts)
{
	for (uint64_t version = 9; version < 20; version++) {
		see_config("verona-3", version);
		run(50);
	}
	run(NEWS_MS);
	expect_all_have(19);
	EXPECT_LE(documents(), 4U * VMS);
}

struct BehindCase {
	const char *name;
	const char *seen; /**< what the watch of verona-1 returns, or NULL */
	uint64_t elsewhere; /**< version in force at verona-2, or 0 */
	/** reason of refusal of a request without a route */
	jj_failure_t reason;
	int status; /**< answer to a job without a route */
};

class ConfigBehind : public ConfigSpread,
		     public ::testing::WithParamInterface<BehindCase>
{
      protected:
	/** A configuration without the batch route is in force at all VMs. */
	ConfigBehind()
	{
		routes.erase(routes.begin());
		see_config("verona-1", 8);
		run(NEWS_MS);
		vms["verona-2"].loses_messages = true;
	}
	void
	expect_refused(jj_failure_t reason, int status)
	{
		uint64_t request = begin("verona-1", "/none/1");
		uint64_t job = submit("verona-1", "a");

		ASSERT_EQ(1U, refused.count(request));
		EXPECT_EQ(reason, refused[request]);
		EXPECT_EQ(status, vms["verona-1"].answers[job]);
		EXPECT_EQ(0U, refused.count(begin("verona-1", "/online/1")));
	}
};

/* Guards against a 404 for a route that only a newer configuration has. */
TEST_P(ConfigBehind, RefusesWithARetryDelay)
{
	const BehindCase &param = GetParam();

	if (param.elsewhere > 0)
		see_config("verona-2", param.elsewhere);
	if (param.seen != nullptr)
		see("verona-1", 1, "config/main", param.seen);
	run(2 * FLEET_STEP_MS);
	expect_refused(param.reason, param.status);
	see_config("verona-1", 30);
	expect_refused(JJ_FAILURE_NO_SERVICE, 404);
}

/* Guards against a VM whose configuration stays stale without a log line. */
TEST_P(ConfigBehind, IsLoggedAtDoublingIntervals)
{
	const BehindCase &param = GetParam();

	if (param.seen != nullptr)
		see("verona-1", 1, "config/main", param.seen);
	run(NEWS_MS / 2);
	EXPECT_EQ(0, vms["verona-1"].events["config_behind"]);
	run(8 * NEWS_MS);
	EXPECT_EQ(param.seen != nullptr ? 4 : 0,
	    vms["verona-1"].events["config_behind"]);
}

INSTANTIATE_TEST_SUITE_P(Newest, ConfigBehind,
    ::testing::Values(
	BehindCase{"IsInForce", nullptr, 0, JJ_FAILURE_NO_SERVICE, 404},
	BehindCase{"IsElsewhere", nullptr, 9, JJ_FAILURE_NO_CONFIG, 503},
	BehindCase{"CannotBeRead", "?", 0, JJ_FAILURE_NO_CONFIG, 503}),
    [](const auto &one) { return one.param.name; });

} // namespace
