/*
 * Planned stops: a leaving backend server gets no new requests, and the
 * graceful stop of a VM interrupts no request in progress.
 */
#include "tests/system/harness.h"

using namespace harness;

namespace
{

/* Whether a VM would still send new requests to a server. */
bool
takes_work(const vm_t &vm, const std::string &server)
{
	json_view_t status(call("GET", vm.operators + "/v1/status").body);

	for (size_t i = 0; i < status.size("servers"); i++) {
		std::string at = "servers." + std::to_string(i);
		if (status.text(at + ".name") == server)
			return status.is_true(at + ".takes_work");
	}
	return false;
}

/*
 * An engine is about to be replaced. Either it refuses requests as leaving
 * before the platform's list shows that, or only the list shows it. Requests
 * sent to it afterwards would be lost when it stops.
 */
TEST(LeaveFailure, LeavingServerGetsNoNewWork)
{
	static const struct {
		const char *name;
		bool refuses; /* else the platform lists it as leaving */
	} cases[] = {{"by its own refusals", true}, {"by the list", false}};

	for (const auto &row : cases) {
		SCOPED_TRACE(row.name);
		fleet_options_t options;
		options.domains = 1;
		options.engines = 2;
		options.settings = "[core]\nvms_poll_ms = 500\n";
		fleet_t fleet(options);
		const standin_t &engine = fleet.engines[0];
		auto serve = [&fleet](const std::string &name) {
			for (int i = 0; i < 20; i++) {
				std::string prompt = name + std::to_string(i);
				reply_t reply =
				    fleet.vms[i % 2]->complete(prompt, 2);
				EXPECT_TRUE(is_answer_to(reply, prompt, 2))
				    << reply.body;
			}
		};
		serve("before ");
		EXPECT_GT(engine.count("started"), 0);
		if (row.refuses)
			engine.fault("{\"leaving\":true}");
		else
			fleet.list_leaving({engine.name});
		long requested_ms = now_ms();
		serve("meanwhile ");
		for (const std::unique_ptr<vm_t> &vm : fleet.vms)
			wait_until(vm->name + " sends it no new requests",
			    [&] { return !takes_work(*vm, engine.name); });
		printf("%s: no new work after %ld ms\n", row.name,
		    now_ms() - requested_ms);
		long started = engine.count("started");
		serve("after ");
		EXPECT_EQ(engine.count("started"), started);
	}
}

/* The requests in progress at a VM when it is stopped. */
struct load_t {
	std::map<std::string, std::future<reply_t>> unstreamed;
	std::vector<std::unique_ptr<stream_t>> streams;
	std::future<reply_t> booking;
	strings_t prompts = make_prompts("item", 60);
	std::string job;
};

void
begin_load(load_t &load, const fleet_t &fleet, const vm_t &vm)
{
	load.job = vm.submit(vm.upload(load.prompts, 6), "stop").text("id");
	wait_until(
	    "calls run", [&vm] { return vm.book("warm").status == 200; });
	for (const std::string &prompt : make_prompts("whole", 6)) {
		load.unstreamed[prompt] = vm.complete_later(prompt, 60);
		load.streams.push_back(
		    std::make_unique<stream_t>(vm.callers + "/v1/completions",
			"{\"model\":\"narrador\",\"prompt\":\"s\","
			"\"max_tokens\":60,\"stream\":true}"));
	}
	fleet.services[0].fault("{\"delay_ms\":800}");
	load.booking = vm.book_later("in-progress");
	for (const std::unique_ptr<stream_t> &stream : load.streams)
		wait_until("a stream runs",
		    [&stream] { return stream->received().size() > 0; });
	wait_until("the booking runs",
	    [&fleet] { return fleet.has_run("in-progress"); });
}

/* Checks that all requests in progress get complete answers; returns the answer
 * to the booking. */
reply_t
expect_all_complete(load_t &load)
{
	for (auto &later : load.unstreamed) {
		reply_t reply = later.second.get();
		EXPECT_TRUE(is_answer_to(reply, later.first, 60))
		    << reply.status << reply.body;
	}
	for (const std::unique_ptr<stream_t> &stream : load.streams) {
		const reply_t &reply = stream->finish();
		EXPECT_EQ(reply.code, CURLE_OK);
		EXPECT_TRUE(reply.has("data: [DONE]")) << reply.body;
	}
	reply_t booked = load.booking.get();
	EXPECT_EQ(booked.status, 200) << booked.body;
	return booked;
}

/* A request that arrives after the stop began is either served or refused as
 * not run, with a Retry-After header. */
void
expect_served_or_refused(const vm_t &vm)
{
	reply_t late = vm.complete("late", 2);

	EXPECT_TRUE(late.status == 0 || late.status == 503 ||
	    is_answer_to(late, "late", 2))
	    << late.body;
	if (late.status == 503) {
		EXPECT_EQ(late.text("run"), "not_run");
		EXPECT_NE(late.header("Retry-After"), "");
	}
}

/*
 * A VM is stopped for its replacement under load: streams and unstreamed
 * answers in progress, a booking at its server, chunks of a job. All of them
 * must complete, new requests must be refused as not run, and the process must
 * exit.
 */
TEST(LeaveFailure, PlannedStopCutsNoRequestOff)
{
	static const struct {
		const char *name;
		bool drained; /* by an operator's request, else by SIGTERM */
	} cases[] = {{"SIGTERM", false}, {"drain", true}};

	for (const auto &row : cases) {
		SCOPED_TRACE(row.name);
		fleet_options_t options;
		options.domains = 1;
		options.services = 1;
		options.engine_options = {"--step-ms", "20"};
		options.settings = "[intake]\npart_items = 20\n";
		fleet_t fleet(options);
		vm_t &vm = fleet.vm(0, 0);
		load_t load;

		begin_load(load, fleet, vm);
		if (row.drained)
			call("POST", vm.operators + "/v1/drain");
		else
			vm.process->terminate();
		long requested_ms = now_ms();
		expect_served_or_refused(vm);
		reply_t booked = expect_all_complete(load);
		EXPECT_EQ(vm.process->wait_exit(), 0);
		printf("%s: ended after %ld ms\n", row.name,
		    now_ms() - requested_ms);
		EXPECT_EQ(vm.process->log_text().find("stop_forced"),
		    std::string::npos);
		fleet.services[0].fault("{\"delay_ms\":0}");
		reply_t again;
		wait_until("the other VM has the booking's answer", [&] {
			again = fleet.vm(0, 1).book("in-progress");
			return again.status == 200;
		});
		EXPECT_EQ(again.number("run"), booked.number("run"));
		fleet.wait_job(fleet.vm(0, 1), load.job);
		printf("its job ended after %ld ms\n", now_ms() - requested_ms);
		expect_results(
		    fleet.vm(0, 1).results(load.job), load.prompts, 6);
		EXPECT_EQ(fleet.runs("doubled"), 0);
	}
}

} // namespace
