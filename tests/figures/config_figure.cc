/*
 * Time until a patch of the configuration is in force at the last of nine VMs,
 * without faults and with one domain cut off from the platform.
 */
#include "tests/figures/figures.h"

#include <algorithm>

using namespace figures;
using namespace harness;

namespace
{

constexpr int PATCHES = 200;

struct patch_t {
	long version;
	double sent_ms;
	double answered_ms;
};

std::string
describe_patch(int number)
{
	char text[80];

	snprintf(text, sizeof(text),
	    "{\"services\":{\"narrador\":{\"trade\":%.3f}}}",
	    number % 500 / 1000.0);
	return text;
}

/* When the VM adopted the version or a newer one; -1: never. */
double
find_adoption(const std::vector<std::pair<double, long>> &events, long version)
{
	for (const auto &[at, adopted] : events) {
		if (adopted >= version)
			return at;
	}
	return -1;
}

void
measure(const fleet_t &fleet, const std::string &name,
    const std::vector<const vm_t *> &entries)
{
	std::vector<patch_t> patches;
	sample_t from_sent;
	sample_t from_answer;
	sample_t answer;
	long version = 0;

	for (const vm_t *vm : entries)
		version = std::max(version, vm->version());
	for (int i = 0; i < PATCHES; i++) {
		const vm_t &vm = *entries[i % entries.size()];
		wait_until(vm.name + " has the newest version",
		    [&] { return vm.version() >= version; });
		double sent = wall_ms();
		reply_t reply = vm.patch(version, describe_patch(i));
		ASSERT_EQ(reply.status, 200) << reply.body;
		patches.push_back({++version, sent, wall_ms()});
	}
	for (const std::unique_ptr<vm_t> &vm : fleet.vms)
		wait_until(vm->name + " has the last version",
		    [&] { return vm->version() >= version; });
	std::vector<std::vector<std::pair<double, long>>> adopted;
	for (const std::unique_ptr<vm_t> &vm : fleet.vms)
		adopted.push_back(
		    read_events(*vm, "config_adopted", "version"));
	for (const patch_t &patch : patches) {
		double last = 0;
		for (const auto &events : adopted) {
			double at = find_adoption(events, patch.version);
			EXPECT_GT(at, 0);
			last = std::max(last, at);
		}
		from_sent.add(last - patch.sent_ms);
		from_answer.add(std::max(0.0, last - patch.answered_ms));
		answer.add(patch.answered_ms - patch.sent_ms);
	}
	answer.print(name + "_answer_ms");
	from_sent.print(name + "_sent_to_last_vm_ms");
	from_answer.print(name + "_answer_to_last_vm_ms");
}

/*
 * An operator's patch is accepted while one domain is cut off from the
 * platform. Its VMs can receive the patch only from a neighbour.
 */
TEST(Figures, ConfigurationInForce)
{
	fleet_options_t options;

	options.domains = 3;
	options.vms = 3;
	fleet_t fleet(options);
	std::vector<const vm_t *> all;
	std::vector<const vm_t *> others;

	for (const std::unique_ptr<vm_t> &vm : fleet.vms) {
		all.push_back(vm.get());
		if (vm->domain != fleet.vms[0]->domain)
			others.push_back(vm.get());
	}
	measure(fleet, "config_calm", all);
	fleet.cut_platform_from_domain(0);
	sleep_ms(1000);
	measure(fleet, "config_domain_cut_from_platform", others);
}

} // namespace
