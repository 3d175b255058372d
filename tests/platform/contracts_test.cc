/**
 * @file contracts_test.cc
 * @brief Contracts of the platform turn on switches of the gateway.
 */
#include <string>
#include <vector>

#include <gtest/gtest.h>

extern "C" {
#include "adapters/deployment.h"
}

namespace
{

struct ContractsCase {
	const char *name;
	std::vector<const char *> contracts;
	bool fair_shares;
	bool avoid_failing;
};

class Contracts : public ::testing::TestWithParam<ContractsCase>
{
};

TEST_P(Contracts, TurnOnSwitches)
{
	const jj_deployment_t *deployment = jj_deployment_find("objects");
	jj_gateway_switches_t switches = {false, false};

	ASSERT_NE(nullptr, deployment);
	for (const char *name : GetParam().contracts)
		deployment->read_contract(name, &switches);
	EXPECT_EQ(GetParam().fair_shares, switches.fair_shares);
	EXPECT_EQ(GetParam().avoid_failing, switches.avoid_failing);
}

const ContractsCase cases[] = {
    {"None", {}, false, false},
    {"Pressure", {"pressure"}, true, false},
    {"Health", {"health"}, false, true},
    {"BothAndOthers", {"health", "x", "pressure", "health"}, true, true},
    {"Unknown", {"", "Health", "pressures", "press"}, false, false},
};

INSTANTIATE_TEST_SUITE_P(All, Contracts, ::testing::ValuesIn(cases),
    [](const auto &info) { return std::string(info.param.name); });

} // namespace
