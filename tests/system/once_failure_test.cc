/*
 * Failures of non-idempotent calls: each runs at most once, and a call that
 * ran is never reported as "not run".
 */
#include <algorithm>

#include "tests/system/harness.h"

using namespace harness;

namespace
{

fleet_options_t
once_options(int domains, int vms)
{
	fleet_options_t options;

	options.domains = domains;
	options.vms = vms;
	options.engines = 0;
	options.services = 2;
	options.pallets = ",\"timeout_ms\":600,\"deadline_ms\":3000";
	options.settings = "[member]\nheartbeat_ms = 100\nsuspect_ms = 600\n"
			   "[ledger]\nack_timeout_ms = 300\ntakeover_ms = 800\n"
			   "[core]\nresend_ms = 100\n";
	return options;
}

/* Key slots of a domain's ledger: JJ_LEDGER_SLOTS. */
constexpr size_t KEY_SLOTS = 64;

/* Complete key slots that have this VM as their home and a synced witness. */
size_t
count_served_slots(const vm_t &vm)
{
	json_view_t status(call("GET", vm.operators + "/v1/status").body);
	size_t served = 0;

	for (size_t i = 0; i < status.size("ledger.slots"); i++) {
		std::string slot = "ledger.slots." + std::to_string(i) + ".";
		served += status.text(slot + "home") == vm.name &&
		    status.is_true(slot + "complete") &&
		    status.is_true(slot + "synced");
	}
	return served;
}

/*
 * Waits until each key slot of the ledger has a home and each VM runs calls
 * under new keys. Calls alone would not show the former: 72 random keys miss a
 * third of the 64 slots.
 */
bool
wait_settled(const fleet_t &fleet)
{
	static int round;
	std::string name = "settled-" + std::to_string(++round) + "-";
	std::string body;

	if (!wait_until("all slots have homes", [&fleet] {
		    std::map<std::string, size_t> served;
		    for (const std::unique_ptr<vm_t> &vm : fleet.vms)
			    served[vm->domain] += count_served_slots(*vm);
		    return std::all_of(
			served.begin(), served.end(), [](const auto &row) {
				return row.second == KEY_SLOTS;
			});
	    }))
		return false;
	for (const std::unique_ptr<vm_t> &vm : fleet.vms) {
		for (int i = 0; i < 24; i++) {
			std::string key = name + std::to_string(i) + vm->name;
			if (!wait_until(vm->name + " runs calls", [&] {
				    reply_t reply = vm->book(key);
				    body = reply.body;
				    return reply.status == 200;
			    })) {
				ADD_FAILURE() << body;
				return false;
			}
		}
	}
	return true;
}

long
count_runs(const fleet_t &fleet, const std::string &key)
{
	long runs = 0;

	for (const standin_t &service : fleet.services) {
		json_view_t list(service.ask("/runs").body);
		for (size_t i = 0; i < list.size(); i++)
			runs += list.text(std::to_string(i) + ".key") == key;
	}
	return runs;
}

/* The VM that sent a key's call to its server; null: none did. */
vm_t *
find_sender(const fleet_t &fleet, const std::string &key)
{
	for (const standin_t &service : fleet.services) {
		json_view_t list(service.ask("/runs").body);
		for (size_t i = 0; i < list.size(); i++) {
			std::string at = std::to_string(i);
			std::string request = list.text(at + ".request");
			if (list.text(at + ".key") != key)
				continue;
			for (const std::unique_ptr<vm_t> &vm : fleet.vms) {
				if (request.rfind(vm->name + "-", 0) == 0)
					return vm.get();
			}
		}
	}
	return nullptr;
}

void
fault_services(const fleet_t &fleet, const std::string &json)
{
	for (const standin_t &service : fleet.services)
		service.fault(json);
}

/* Checks that only a call that did not run is reported as "not run". */
void
expect_consistent_run_status(
    const fleet_t &fleet, const std::string &key, const reply_t &reply)
{
	std::string run = reply.text("run");

	if (reply.status == 200 || reply.status == 0)
		return;
	EXPECT_TRUE(run == "not_run" || run == "unknown") << reply.body;
	if (run == "not_run") {
		EXPECT_FALSE(fleet.has_run(key)) << key << " " << reply.body;
	}
}

/*
 * A booking reaches its server and runs there, but the answer is a 503, a
 * broken connection, or missing until the timeout. A retry by this VM or
 * another would book twice; reporting "not run" would make the caller retry.
 */
TEST(OnceFailure, UncertainCallIsNeverSentAgain)
{
	static const char *const faults[] = {
	    "run_then_503", "run_then_break", "run_then_hang"};
	fleet_t fleet(once_options(1, 2));

	/* Also opens the connections: libcurl resends a request by itself when
	 * a reused connection breaks before the first byte of the answer. */
	ASSERT_TRUE(wait_settled(fleet));
	for (const char *fault : faults) {
		SCOPED_TRACE(fault);
		std::string on = std::string("{\"") + fault + "\":";
		fault_services(fleet, on + "100}");
		for (const std::unique_ptr<vm_t> &vm : fleet.vms) {
			std::string key = std::string(fault) + vm->name;
			reply_t reply = vm->book(key);
			EXPECT_GE(reply.status, 500) << reply.body;
			EXPECT_EQ(reply.text("run"), "unknown") << reply.body;
		}
		fault_services(fleet, on + "0}");
		for (const std::unique_ptr<vm_t> &vm : fleet.vms) {
			std::string key = std::string(fault) + vm->name;
			for (const std::unique_ptr<vm_t> &at : fleet.vms) {
				reply_t reply = at->book(key);
				EXPECT_EQ(reply.text("run"), "unknown")
				    << reply.body;
			}
			EXPECT_EQ(count_runs(fleet, key), 1);
		}
	}
	EXPECT_EQ(fleet.runs("doubled"), 0);
}

/*
 * As above, but the connection that breaks after the run is a new one: the VMs
 * were just started and have no open connections.
 */
TEST(OnceFailure, BreakOnAFreshConnectionIsNotSentAgain)
{
	fleet_t fleet(once_options(1, 2));
	reply_t reply;

	fault_services(fleet, "{\"run_then_break\":1000}");
	wait_until("a call reaches a server", [&] {
		reply = fleet.vm(0, 0).book("fresh");
		return fleet.has_run("fresh");
	});
	EXPECT_EQ(reply.text("run"), "unknown") << reply.body;
	fault_services(fleet, "{\"run_then_break\":0}");
	EXPECT_EQ(fleet.vm(0, 1).book("fresh").text("run"), "unknown");
	EXPECT_EQ(fleet.runs("doubled"), 0);
}

/*
 * A caller resends a booking whose answer was too large to be stored. An empty
 * answer would be taken for the complete one, so the VM must report that the
 * call ran but its answer was not kept.
 */
TEST(OnceFailure, AnswerThatWasNotKeptIsSaidToBe)
{
	fleet_t fleet(once_options(1, 2));
	const std::string url = "/services/pallets/call/book";
	const std::string body =
	    "{\"note\":\"" + std::string(20000, 'x') + "\"}";
	const strings_t headers = {"Idempotency-Key: long"};
	reply_t reply;

	wait_until("the call runs", [&] {
		reply =
		    call("POST", fleet.vm(0, 0).callers + url, body, headers);
		return reply.status == 200;
	});
	EXPECT_GT(reply.body.size(), body.size());
	reply = call("POST", fleet.vm(0, 1).callers + url, body, headers);
	EXPECT_EQ(reply.status, 410) << reply.body;
	EXPECT_EQ(reply.text("code"), "answer_not_kept");
	EXPECT_EQ(reply.text("run"), "run");
	EXPECT_EQ(fleet.runs("doubled"), 0);
}

/*
 * The VM that sent a booking to its server fails before it gets the answer.
 * The caller resends it through the other VMs, immediately and after they have
 * taken the failed VM's keys over. The record that it was sent must survive
 * the sender.
 */
TEST(OnceFailure, VmLostAfterSendingLeavesOutcomeUnknown)
{
	fleet_t fleet(once_options(1, 3));
	const std::string key = "lost-sender";
	vm_t *sender = nullptr;

	ASSERT_TRUE(wait_settled(fleet));
	fault_services(fleet, "{\"delay_ms\":500}");
	std::future<reply_t> first = fleet.vm(0, 0).book_later(key);
	wait_until("the call runs", [&] {
		sender = find_sender(fleet, key);
		return sender != nullptr;
	});
	ASSERT_NE(sender, nullptr);
	sender->process->kill();
	expect_consistent_run_status(fleet, key, first.get());
	fault_services(fleet, "{\"delay_ms\":0}");
	for (const std::unique_ptr<vm_t> &vm : fleet.vms) {
		if (vm.get() == sender)
			continue;
		expect_consistent_run_status(fleet, key, vm->book(key));
		reply_t reply;
		wait_until("the outcome is reported as unknown", [&] {
			reply = vm->book(key);
			return reply.text("code") == "outcome_unknown";
		});
	}
	sender->process->start();
	wait_until(sender->name + " is ready",
	    [sender] { return sender->is_ready(); });
	EXPECT_EQ(sender->book(key).text("run"), "unknown");
	EXPECT_EQ(fleet.runs("doubled"), 0);
}

/*
 * A caller sends one booking to VMs of two failure domains at the same time.
 * One runs it; the others must wait, replay its answer, or report that it is
 * in progress, and none may run it again.
 */
TEST(OnceFailure, SameKeyAtAllVmsRunsOnce)
{
	fleet_t fleet(once_options(2, 2));
	int count = 25;

	ASSERT_TRUE(wait_settled(fleet));
	fault_services(fleet, "{\"delay_ms\":20}");
	for (int i = 0; i < count; i++) {
		std::string key = "at-once-" + std::to_string(i);
		std::vector<std::future<reply_t>> sent;
		long run = -1;
		for (const std::unique_ptr<vm_t> &vm : fleet.vms)
			sent.push_back(vm->book_later(key));
		for (std::future<reply_t> &later : sent) {
			reply_t reply = later.get();
			if (reply.status == 200) {
				run = run < 0 ? reply.number("run") : run;
				EXPECT_EQ(reply.number("run"), run);
			}
			expect_consistent_run_status(fleet, key, reply);
		}
		EXPECT_EQ(count_runs(fleet, key), 1) << key;
		reply_t again = fleet.vm(1, 1).book(key);
		EXPECT_EQ(again.number("run"), run) << again.body;
		EXPECT_EQ(
		    fleet.vm(0, 0).book(key, "{\"other\":1}").status, 422);
	}
	EXPECT_EQ(fleet.runs("doubled"), 0);
}

/*
 * Bookings are sent while VMs can't reach each other, the platform, or both,
 * and are resent at all VMs during the partition and after it. A side that
 * treats the other as failed and runs the same keys again would book twice.
 */
TEST(OnceFailure, CutsNeverRunACallTwice)
{
	static const struct {
		const char *name;
		bool within_domain; /* between the VMs of a domain */
		bool between_domains; /* between the domains */
		bool platform;
	} cases[] = {
	    {"inside a domain", true, false, false},
	    {"between domains", false, true, false},
	    {"from the platform", false, false, true},
	    {"between domains and from the platform", false, true, true},
	    {"all", true, true, true},
	};
	fleet_t fleet(once_options(2, 2));

	for (const auto &row : cases) {
		SCOPED_TRACE(row.name);
		std::map<std::string, std::future<reply_t>> sent;
		ASSERT_TRUE(wait_settled(fleet));
		fault_services(fleet, "{\"delay_ms\":100}");
		for (int i = 0; i < 40; i++) {
			std::string key =
			    std::string(row.name) + std::to_string(i);
			sent[key] = fleet.vms[i % 4]->book_later(key);
			if (i == 10 && row.within_domain)
				fleet.cut(fleet.vm(0, 0), fleet.vm(0, 1), true);
			if (i == 10 && row.between_domains)
				fleet.cut_domain(0, true);
			if (i == 10 && row.platform)
				fleet.cut_platform_from_domain(0);
		}
		std::map<std::string, reply_t> first;
		for (auto &later : sent)
			first[later.first] = later.second.get();
		for (const auto &answer : first) {
			EXPECT_NE(answer.second.status, 0) << answer.first;
			expect_consistent_run_status(
			    fleet, answer.first, answer.second);
		}
		fault_services(fleet, "{\"delay_ms\":0}");
		for (int i = 0; i < 10; i++) {
			std::string key =
			    std::string(row.name) + std::to_string(i * 4);
			for (const std::unique_ptr<vm_t> &vm : fleet.vms)
				expect_consistent_run_status(
				    fleet, key, vm->book(key));
		}
		fleet.cut(fleet.vm(0, 0), fleet.vm(0, 1), false);
		fleet.cut_domain(0, false);
		fleet.cut_platform({});
		ASSERT_TRUE(wait_settled(fleet));
		for (const auto &answer : first) {
			for (const std::unique_ptr<vm_t> &vm : fleet.vms)
				expect_consistent_run_status(fleet,
				    answer.first, vm->book(answer.first));
			if (answer.second.status == 200) {
				EXPECT_EQ(count_runs(fleet, answer.first), 1);
			}
		}
		EXPECT_EQ(fleet.runs("doubled"), 0);
	}
}

/*
 * A VM that has run bookings is killed or paused, and others take its keys
 * over. Then it restarts with empty memory, or resumes with outdated state. It
 * must not run a key again that it no longer has in memory.
 */
TEST(OnceFailure, TakenOverKeysAreRemembered)
{
	static const struct {
		const char *name;
		bool paused;
	} cases[] = {{"killed", false}, {"frozen", true}};

	for (const auto &row : cases) {
		SCOPED_TRACE(row.name);
		fleet_t fleet(once_options(1, 3));
		vm_t &lost_vm = fleet.vm(0, 0);
		std::map<std::string, long> runs;
		ASSERT_TRUE(wait_settled(fleet));
		for (int i = 0; i < 60; i++) {
			std::string key = "kept-" + std::to_string(i);
			runs[key] = fleet.vms[i % 3]->book(key).number("run");
			EXPECT_GT(runs[key], 0) << key;
		}
		if (row.paused)
			lost_vm.process->freeze();
		else
			lost_vm.process->kill();
		for (const auto &run : runs) {
			reply_t reply;
			wait_until(
			    run.first + " is answered from the ledger", [&] {
				    reply = fleet.vm(0, 1).book(run.first);
				    return reply.status == 200;
			    });
			EXPECT_EQ(reply.number("run"), run.second);
		}
		if (row.paused)
			lost_vm.process->thaw();
		else
			lost_vm.process->start();
		wait_until("the VM is ready again",
		    [&] { return lost_vm.is_ready(); });
		for (const auto &run : runs) {
			reply_t reply = lost_vm.book(run.first);
			expect_consistent_run_status(fleet, run.first, reply);
			if (reply.status == 200) {
				EXPECT_EQ(reply.number("run"), run.second);
			}
		}
		EXPECT_EQ(fleet.runs("doubled"), 0);
	}
}

} // namespace
