/*
 * Failures around the configuration: operators never overwrite each other,
 * an accepted version is in force at all VMs within seconds, and no VM ever
 * reverts to an older version.
 */
#include "tests/system/harness.h"

using namespace harness;

namespace
{

std::string
weight_patch(const std::string &team, int weight)
{
	return "{\"teams\":{\"" + team +
	    "\":{\"weight\":" + std::to_string(weight) + "}}}";
}

fleet_options_t
config_options()
{
	fleet_options_t options;

	options.engines = 0;
	options.settings = "[member]\nheartbeat_ms = 100\nsuspect_ms = 600\n";
	return options;
}

/*
 * Several operators have read the same version and patch it at different VMs
 * at the same time. One patch is applied; the others must be refused with the
 * current version. If two were applied, the second would silently overwrite
 * the first.
 */
TEST(ConfigFailure, TwoOperatorsNeverOverwriteEachOther)
{
	fleet_t fleet(config_options());
	long version = fleet.vm(0, 0).version();

	for (int round = 0; round < 10; round++) {
		std::vector<std::future<reply_t>> sent;
		int applied = 0;
		for (int i = 0; i < 4; i++) {
			const vm_t &vm = *fleet.vms[i];
			sent.push_back(std::async(std::launch::async, [=, &vm] {
				return vm.patch(version,
				    weight_patch(
					"op-" + std::to_string(i), round + 1));
			}));
		}
		for (std::future<reply_t> &later : sent) {
			reply_t reply = later.get();
			applied += reply.status == 200;
			EXPECT_TRUE(reply.status == 200 || reply.status == 412)
			    << reply.status << reply.body;
			EXPECT_EQ(reply.number("version"), version + 1)
			    << reply.body;
		}
		EXPECT_EQ(applied, 1);
		version++;
	}
	json_view_t history(
	    call("GET", fleet.vm(1, 1).operators + "/v1/config/history").body);
	EXPECT_GE(history.size(), static_cast<size_t>(version));
}

/*
 * A patch is applied, but its answers are lost, and the operator resends it,
 * also through other VMs. If it were applied twice, or refused as a conflict
 * with itself, the operator might revert a change that is in force.
 */
TEST(ConfigFailure, ResentPatchIsAppliedOnce)
{
	static const struct {
		const char *name;
		int lost; /* number of lost platform answers */
	} cases[] = {{"resent", 0}, {"one lost", 1}, {"three lost", 3}};
	fleet_t fleet(config_options());

	for (const auto &row : cases) {
		SCOPED_TRACE(row.name);
		long version = fleet.vm(0, 0).version();
		std::string patch = weight_patch("members", row.lost + 2);
		strings_t key = {
		    std::string("Idempotency-Key: change ") + row.name};
		fleet.platform.fault(
		    "{\"lose_answers\":" + std::to_string(row.lost) +
		    ",\"lose_answers_prefix\":\"config/\"}");
		for (const std::unique_ptr<vm_t> &vm : fleet.vms) {
			reply_t reply = vm->patch(version, patch, key);
			EXPECT_EQ(reply.status, 200) << reply.body;
			EXPECT_EQ(reply.number("version"), version + 1);
		}
		for (const std::unique_ptr<vm_t> &vm : fleet.vms)
			wait_until(vm->name + " has it",
			    [&] { return vm->version() == version + 1; });
	}
}

/*
 * An operator sends an invalid patch. The error must name the field, the value
 * and the bound, and no part of the patch may be applied.
 */
TEST(ConfigFailure, InvalidPatchNamesItsFaultAndChangesNothing)
{
	static const struct {
		const char *patch;
		const char *field;
		const char *value;
		const char *bound;
	} cases[] = {
	    {"{\"services\":{\"narrador\":{\"timeout_ms\":5}}}", "timeout_ms",
		"5", "3600000"},
	    {"{\"services\":{\"narrador\":{\"attempts\":11}}}", "attempts",
		"11", "10"},
	    {"{\"services\":{\"narrador\":{\"kind\":\"mode\"}}}", "kind",
		"mode", "model"},
	    {"{\"services\":{\"narrador\":{\"tiemout_ms\":50}}}", "tiemout_ms",
		"50", "timeout_ms"},
	    {"{\"teams\":{\"a\":{\"weight\":2}},\"service\":{}}", "service",
		"{}", "services"},
	};
	fleet_t fleet(config_options());
	const vm_t &vm = fleet.vm(0, 0);
	std::string before = call("GET", vm.operators + "/v1/config").body;

	for (const auto &row : cases) {
		reply_t reply = vm.patch(vm.version(), row.patch);
		EXPECT_TRUE(reply.status == 422 || reply.status == 400)
		    << reply.status;
		for (const char *part : {row.field, row.value, row.bound})
			EXPECT_NE(
			    reply.text("detail").find(part), std::string::npos)
			    << part << " is not in " << reply.body;
	}
	EXPECT_EQ(call("GET", vm.operators + "/v1/config").body, before);
	EXPECT_EQ(vm.version(), 1);
}

/*
 * A VM is paused while patches are accepted, in some rounds with gaps in the
 * platform's watch, and resumes with an outdated version. Reverting to an
 * older version would undo a change that was reported to the operator as in
 * force.
 */
TEST(ConfigFailure, NoVmRevertsToAnOlderVersion)
{
	fleet_t fleet(config_options());
	std::vector<long> newest(fleet.vms.size(), 0);
	std::atomic<bool> stop{false};
	std::thread watcher([&] {
		while (!stop) {
			for (size_t i = 0; i < fleet.vms.size(); i++) {
				reply_t reply = call("GET",
				    fleet.vms[i]->operators + "/v1/config", "",
				    {}, 100);
				if (reply.status != 200)
					continue;
				long version =
				    atol(reply.header("ETag").c_str() + 1);
				EXPECT_GE(version, newest[i])
				    << fleet.vms[i]->name
				    << " reverted to an older version";
				newest[i] = version;
			}
		}
	});
	vm_t &paused_vm = fleet.vm(0, 1);
	long version = 1;

	for (int round = 0; round < 4; round++) {
		paused_vm.process->freeze();
		if (round % 2 == 1)
			fleet.platform.fault("{\"watch_gap\":true,"
					     "\"watch_drop\":2}");
		for (int i = 0; i < 3; i++) {
			reply_t reply = fleet.vm(1, i % 2).patch(
			    version, weight_patch("t", round * 3 + i + 1));
			EXPECT_EQ(reply.status, 200) << reply.body;
			version = reply.number("version");
		}
		paused_vm.process->thaw();
		for (const std::unique_ptr<vm_t> &vm : fleet.vms)
			wait_until(vm->name + " has the newest",
			    [&] { return vm->version() == version; });
	}
	stop = true;
	watcher.join();
}

/*
 * A VM that was replaced reads the configuration, and the platform answers
 * late. Meanwhile patches are accepted and reach the VM through its
 * neighbours. If the VM adopted the late answer, it would revert them.
 */
TEST(ConfigFailure, LateReadNeverRevertsAVm)
{
	constexpr long read_delay_ms = 1200; /* below platform.timeout_ms */
	fleet_t fleet(config_options());
	vm_t &slow = fleet.vm(0, 1);
	long reads = fleet.platform.count("by_prefix.config/.get");
	long version = 1;

	fleet.platform.fault(
	    "{\"delay_ms\":" + std::to_string(read_delay_ms) + "}");
	fleet.replace(slow);
	wait_until("the VM reads at the platform", [&] {
		return fleet.platform.count("by_prefix.config/.get") > reads;
	});
	long due = now_ms() + read_delay_ms + read_delay_ms / 4;
	fleet.platform.fault("{\"delay_ms\":0}");
	for (int i = 0; i < 3; i++) {
		reply_t reply =
		    fleet.vm(1, 0).patch(version, weight_patch("quick", i + 1));
		ASSERT_EQ(reply.status, 200) << reply.body;
		version = reply.number("version");
	}
	wait_until(
	    "the VM has the newest", [&] { return slow.version() == version; });
	EXPECT_LT(now_ms(), due) << "the answer was not late";
	while (now_ms() < due)
		ASSERT_EQ(slow.version(), version)
		    << "the VM reverted to an older version";
}

/*
 * A VM starts or is replaced while the platform is unavailable. Unless it gets
 * the configuration from its neighbours, it can't serve until the outage ends.
 * It must get the newest version, even if one neighbour is behind.
 */
TEST(ConfigFailure, VmStartedInAnOutageLearnsFromItsNeighbours)
{
	fleet_t fleet(config_options());
	reply_t patch = fleet.vm(0, 0).patch(1, weight_patch("a", 3));

	ASSERT_EQ(patch.status, 200) << patch.body;
	for (const std::unique_ptr<vm_t> &vm : fleet.vms)
		wait_until(
		    "it is in force", [&] { return vm->version() == 2; });
	for (const char *outage : {"refuse", "hang"}) {
		SCOPED_TRACE(outage);
		fleet.platform.fault(
		    std::string("{\"outage\":\"") + outage + "\"}");
		for (int number : {0, 1}) {
			vm_t &vm = fleet.vm(1, number);
			fleet.replace(vm);
			wait_until(vm.name + " learns the newest",
			    [&] { return vm.version() == 2; });
			EXPECT_TRUE(vm.is_ready());
		}
		fleet.platform.fault("{\"outage\":\"none\"}");
	}
}

/*
 * A change is accepted while some VMs are disconnected from the platform. As
 * long as one neighbour has the change, these VMs must have it within three
 * seconds. The time is measured at the last VM.
 */
TEST(ConfigFailure, InForceEverywhereAlsoBehindACut)
{
	static const struct {
		const char *name;
		std::vector<int> cut;
	} cases[] = {
	    {"no cut", {}},
	    {"one VM", {3}},
	    {"a domain", {2, 3}},
	    {"all but one", {1, 2, 3}},
	};
	fleet_t fleet(config_options());
	long version = 1;

	for (const auto &row : cases) {
		SCOPED_TRACE(row.name);
		std::vector<const vm_t *> cut;
		for (int number : row.cut)
			cut.push_back(fleet.vms[number].get());
		fleet.cut_platform(cut);
		reply_t reply = fleet.vm(0, 0).patch(
		    version, weight_patch("b", static_cast<int>(version)));
		long accepted = now_ms();
		ASSERT_EQ(reply.status, 200) << reply.body;
		version = reply.number("version");
		for (const std::unique_ptr<vm_t> &vm : fleet.vms)
			wait_until(vm->name + " has it",
			    [&] { return vm->version() == version; });
		printf("%s: in force after %ld ms\n", row.name,
		    now_ms() - accepted);
		RecordProperty(row.name, static_cast<int>(now_ms() - accepted));
		fleet.cut_platform({});
	}
}

} // namespace
