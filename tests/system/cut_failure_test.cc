/*
 * Network partitions of a failure domain: from the other domain, from the
 * platform, or from both. Both sides keep serving what they can, and once the
 * partition ends, everything is served again.
 */
#include "tests/system/harness.h"

using namespace harness;

namespace
{

struct cut_row_t {
	const char *name;
	bool others; /* disconnects the domain from the other one */
	bool platform; /* disconnects it from the platform */
};

const cut_row_t ROWS[] = {
    {"from the others", true, false},
    {"from the platform", false, true},
    {"from both", true, true},
};

fleet_options_t
cut_options()
{
	fleet_options_t options;

	options.services = 1;
	options.settings =
	    "[member]\nheartbeat_ms = 100\nsuspect_ms = 600\n"
	    "[ledger]\nack_timeout_ms = 300\ntakeover_ms = 800\n"
	    "[jobs]\noperation_ms = 1500\n[config]\ncall_timeout_ms = 1500\n"
	    "[batch]\nlease_ms = 1500\nmargin_ms = 300\ncheckpoint_ms = 400\n"
	    "relist_ms = 2000\n[intake]\npart_items = 20\n";
	return options;
}

/* Sends 16 bookings under new keys to a VM; returns how many were served. */
int
book_many(const fleet_t &fleet, const vm_t &vm, const std::string &name)
{
	int served = 0;

	for (int i = 0; i < 16; i++) {
		std::string key = name + vm.name + std::to_string(i);
		reply_t reply = vm.book(key);
		served += reply.status == 200;
		if (reply.status == 200)
			continue;
		EXPECT_NE(reply.header("Retry-After"), "") << reply.body;
		EXPECT_FALSE(
		    reply.text("run") == "not_run" && fleet.has_run(key))
		    << key;
	}
	return served;
}

/* Waits until every VM serves all of its bookings. */
void
wait_all_served(const fleet_t &fleet, const std::string &name)
{
	int round = 0;

	for (const std::unique_ptr<vm_t> &vm : fleet.vms) {
		wait_until(vm->name + " serves all bookings", [&] {
			return book_many(fleet, *vm,
				   name + std::to_string(round++)) == 16;
		});
	}
}

/* Checks that all VMs, on both sides of a partition, serve online requests of
 * a model. */
void
expect_online_served(const fleet_t &fleet, const std::string &name)
{
	for (const std::unique_ptr<vm_t> &vm : fleet.vms) {
		for (const std::string &prompt : make_prompts(name, 4)) {
			reply_t reply = vm->complete(prompt, 2);
			EXPECT_TRUE(is_answer_to(reply, prompt, 2))
			    << vm->name << ": " << reply.body;
		}
	}
}

/* Checks that a VM accepts new jobs and patches exactly if it reaches the
 * platform. Returns the version after the patch. */
long
expect_storage_requests(const vm_t &vm, const std::string &file, long version,
    bool platform, const std::string &name)
{
	reply_t job = vm.submit(file, name + vm.name);
	reply_t patch = vm.patch(version, "{\"teams\":{}}");

	EXPECT_EQ(job.status, platform ? 200 : 503) << job.body;
	EXPECT_EQ(patch.status, platform ? 200 : 503) << patch.body;
	if (platform)
		return version + 1;
	EXPECT_NE(job.header("Retry-After"), "");
	EXPECT_NE(patch.header("Retry-After"), "");
	return version;
}

/*
 * One domain is partitioned while callers on both sides send requests. Guards
 * against a side that stops serving what it still can, and against one that
 * accepts what it can't store, which would run bookings twice or lose jobs.
 */
TEST(CutFailure, EachSideServesWhatItCan)
{
	fleet_t fleet(cut_options());
	strings_t prompts = make_prompts("cut item", 40);
	std::string file = fleet.vm(1, 0).upload(prompts, 2);
	long version = fleet.vm(0, 0).version();

	for (const cut_row_t &row : ROWS) {
		SCOPED_TRACE(row.name);
		std::string name = row.name;
		wait_all_served(fleet, name + "-before-");
		if (row.others)
			fleet.cut_domain(0, true);
		if (row.platform)
			fleet.cut_platform_from_domain(0);
		expect_online_served(fleet, name);
		for (const std::unique_ptr<vm_t> &vm : fleet.vms) {
			/* At least the keys homed in the VM's domain. */
			EXPECT_GT(book_many(fleet, *vm, name), 0) << vm->name;
		}
		version = expect_storage_requests(
		    fleet.vm(0, 1), file, version, !row.platform, name);
		version = expect_storage_requests(
		    fleet.vm(1, 1), file, version, true, name);
		expect_online_served(fleet, name + " later");

		fleet.cut_domain(0, false);
		fleet.cut_platform({});
		wait_all_served(fleet, name + "-after-");
		std::string id =
		    fleet.vm(0, 0).submit(file, name + "sala-b-2").text("id");
		fleet.wait_job(fleet.vm(0, 0), id);
		expect_results(fleet.vm(0, 1).results(id), prompts, 2);
		expect_written_once(fleet.platform, id);
		for (const std::unique_ptr<vm_t> &vm : fleet.vms)
			wait_until(vm->name + " has the newest",
			    [&] { return vm->version() == version; });
		EXPECT_EQ(fleet.runs("doubled"), 0);
	}
}

} // namespace
