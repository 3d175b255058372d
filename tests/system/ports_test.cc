/*
 * Port allocation for fleets that run at the same time.
 */
#include <set>

#include <gtest/gtest.h>

#include "tests/system/ports.h"

using harness::ports_t;

namespace
{

/* Guards against a fleet that connects to processes of another fleet. */
TEST(Ports, FleetsSideBySideShareNone)
{
	std::set<std::string> chosen;
	ports_t ports[3];

	for (int i = 0; i < 150; i++) {
		for (ports_t &fleet : ports) {
			std::string address = fleet.choose_address();
			EXPECT_TRUE(chosen.insert(address).second) << address;
		}
	}
}

} // namespace
