/**
 * @file gateway_vms_test.cc
 * @brief Entries of VMs at the platform, and how those of gone VMs are removed.
 */
#include "tests/core/gateway_fleet.h"

namespace
{

class Vms : public GatewayFleet
{
      protected:
	static constexpr jj_ms_t FORGET_MS = 60000;

	void
	list_vm(const std::string &name, const std::string &region = "pianura")
	{
		platform.put("vms/" + name,
		    R"({"domain":"verona","address":"a:1","region":")" +
			region + "\"}");
	}
};

/*
 * Guards against entries of gone VMs that no VM ever removes: each list,
 * heartbeat round and table would grow with all replacements ever made.
 */
TEST_F(Vms, EntriesOfVmsLongGoneAreRemoved)
{
	list_vm("verona-9");
	list_vm("bolzano-1", "montagna");
	run(FORGET_MS / 2);
	list_vm("verona-8");
	EXPECT_TRUE(platform.has("vms/verona-9")) << "not at once";
	run(FORGET_MS / 2 + 15000);
	EXPECT_FALSE(platform.has("vms/verona-9"));
	EXPECT_TRUE(platform.has("vms/verona-8"));
	for (const auto &vm : vms)
		EXPECT_TRUE(platform.has("vms/" + vm.first));
	run(FORGET_MS);
	EXPECT_FALSE(platform.has("vms/verona-8"));
	EXPECT_TRUE(platform.has("vms/bolzano-1")) << "of another region";
	run(FORGET_MS);
	jj_name_t gone;
	jj_name_set(&gone, "verona-9");
	EXPECT_EQ(nullptr,
	    jj_member_find(jj_gateway_member(vms["verona-1"].gateway), &gone));
}

/*
 * Guards against a VM that others can't find, as its entry was removed like
 * that of a gone VM.
 */
TEST_F(Vms, AVmThatMissesItsEntryWritesItAgain)
{
	platform.objects.erase("vms/verona-2");
	run(3 * FORGET_MS);
	EXPECT_TRUE(platform.has("vms/verona-2"));
}

/*
 * Guards against the removal of the entry of a VM that restarted and has not
 * sent a heartbeat yet.
 */
TEST_F(Vms, ANewEntryOfTheSameNameIsNotRemoved)
{
	list_vm("verona-9");
	run(FORGET_MS - 10000);
	list_vm("verona-9");
	run(30000);
	EXPECT_TRUE(platform.has("vms/verona-9"));
}

} // namespace
