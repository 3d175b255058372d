/*
 * Ports of test programs that run side by side.
 */
#include <set>

#include <gtest/gtest.h>

#include "tests/system/ports.h"

using harness::ports_t;

namespace
{

/* Guards against a fleet that talks to processes of another one. */
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
