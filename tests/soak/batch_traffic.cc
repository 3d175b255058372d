/*
 * Traffic of batch callers, and of callers whose prompts crash engines.
 */
#include "tests/soak/traffic.h"

namespace soak
{

namespace
{

constexpr int SUBMIT_TRIES = 8;
constexpr long JOB_POLL_MS = 15000;
constexpr int POISON_TRIES = 6;
constexpr long POISON_JOB_POLL_MS = 60000;
/* After a second all VMs of the domain know that the prompt is refused. */
constexpr long POISON_GAP_MS = 1200;
constexpr long CRASHES_MAX = 2;

std::string
write_item(const item_t &item)
{
	std::string head =
	    "{\"custom_id\":\"" + item.id + "\",\"method\":\"POST\",\"url\":\"";

	if (item.kind == item_kind_t::BOOKING)
		return head +
		    "/services/pallets/call/book\",\"body\":{\"order\":\"" +
		    item.id + "\"}}\n";
	return head +
	    "/v1/completions\",\"body\":{\"model\":\"narrador\",\"prompt\":\"" +
	    item.id + "\",\"max_tokens\":" + std::to_string(item.tokens) +
	    "}}\n";
}

item_t
draw_item(caller_t &caller, const std::string &id)
{
	item_t item = {
	    item_kind_t::PLAIN, id, static_cast<int>(caller.draw(2, 10))};

	if (caller.chance(10))
		item.kind = item_kind_t::BOOKING;
	else if (caller.chance(2))
		item = {item_kind_t::REFUSED, id + " <<refuse>>", 2};
	return item;
}

bool
upload(caller_t &caller, const job_t &job, std::string &file)
{
	vm_request_t request;

	request.operation = "upload";
	request.method = "POST";
	for (const item_t &item : job.items)
		request.body += write_item(item);
	for (int i = 0; i < SUBMIT_TRIES && !caller.context.stop; i++) {
		const harness::vm_t &vm = caller.pick_vm();
		request.url = vm.callers + "/v1/files";
		harness::reply_t reply = send_to_vm(caller, vm, request);
		file = reply.text("id");
		if (reply.status == 200)
			return true;
		caller.pause_after(reply);
	}
	return false;
}

vm_request_t
make_submission(const job_t &job, const std::string &file)
{
	vm_request_t request;

	request.operation = "submit";
	request.key = job.key;
	request.method = "POST";
	request.body = "{\"input_file_id\":\"" + file +
	    "\",\"endpoint\":\"/v1/completions\","
	    "\"completion_window\":\"24h\"}";
	if (!job.key.empty())
		request.headers = {"Idempotency-Key: " + job.key};
	request.records_body = true;
	return request;
}

/* Sends the cancel to randomly picked VMs until one confirms it. */
void
cancel(caller_t &caller, job_t &job)
{
	vm_request_t request;

	request.operation = "cancel";
	request.key = job.id;
	request.method = "POST";
	request.records_body = true;
	for (int i = 0; i < SUBMIT_TRIES && !caller.context.stop; i++) {
		const harness::vm_t &vm = caller.pick_vm();
		request.url = vm.callers + "/v1/batches/" + job.id + "/cancel";
		harness::reply_t reply = send_to_vm(caller, vm, request);
		if (reply.status == 200) {
			job.cancelled_ms = harness::now_ms();
			return;
		}
		caller.pause_after(reply);
	}
}

bool
is_final_status(const std::string &status)
{
	return status == "completed" || status == "cancelled" ||
	    status == "failed";
}

/* Polls the job at randomly picked VMs until it ends or the time is up. */
void
poll_until_ended(caller_t &caller, job_t &job, long timeout_ms)
{
	long until_ms = harness::now_ms() + timeout_ms;

	while (harness::now_ms() < until_ms && !caller.context.stop &&
	    job.ended.empty()) {
		std::string status = fetch_status(caller, job.id);
		if (is_final_status(status))
			job.ended = status;
		caller.pause(100, 500);
	}
}

/* Resends a crashing prompt with a new key each time, to picked VMs. */
void
resend_poison(caller_t &caller, const std::string &prompt)
{
	vm_request_t request;

	request.operation = "poison";
	request.key = prompt;
	request.method = "POST";
	request.body = "{\"model\":\"narrador\",\"prompt\":\"" + prompt +
	    "\",\"max_tokens\":4}";
	for (int i = 0; i < POISON_TRIES && !caller.context.stop; i++) {
		const harness::vm_t &vm = caller.pick_vm();
		request.url = vm.callers + "/v1/completions";
		request.headers = {"Idempotency-Key: " + caller.name + "-" +
		    std::to_string(caller.random())};
		send_to_vm(caller, vm, request);
		caller.pause(POISON_GAP_MS, POISON_GAP_MS);
	}
}

/* Submits the crashing prompt in a job whose other items must complete. */
void
submit_poison(caller_t &caller, const std::string &prompt)
{
	job_t job;

	job.key = caller.name + prompt.substr(0, prompt.find(' '));
	for (int i = 0; i < 20; i++)
		job.items.push_back({item_kind_t::PLAIN,
		    prompt.substr(0, prompt.find(' ')) + " beside " +
			std::to_string(i),
		    4});
	job.items[10] = {item_kind_t::POISON, prompt, 4};
	if (!submit_job(caller, job))
		return;
	poll_until_ended(caller, job, POISON_JOB_POLL_MS);
	caller.context.add_job(job);
}

} // namespace

bool
submit_job(caller_t &caller, job_t &job)
{
	std::string file;
	vm_request_t request;

	if (!upload(caller, job, file))
		return false;
	request = make_submission(job, file);
	for (int i = 0; i < SUBMIT_TRIES && !caller.context.stop; i++) {
		const harness::vm_t &vm = caller.pick_vm();
		request.url = vm.callers + "/v1/batches";
		harness::reply_t reply = send_to_vm(caller, vm, request);
		job.id = reply.text("id");
		if (reply.status == 200 && reply.code == CURLE_OK) {
			/* As if the client had lost the answer: resubmit. */
			if (!job.key.empty() && caller.chance(25)) {
				const harness::vm_t &other = caller.pick_vm();
				request.url = other.callers + "/v1/batches";
				send_to_vm(caller, other, request);
			}
			return true;
		}
		/* Without a key, a repeat could create a second job. */
		if (job.key.empty() && reply.code != CURLE_COULDNT_CONNECT)
			return false;
		caller.pause_after(reply);
	}
	return false;
}

std::string
fetch_status(caller_t &caller, const std::string &id)
{
	const harness::vm_t &vm = caller.pick_vm();
	vm_request_t request;

	request.operation = "status";
	request.key = id;
	request.method = "GET";
	request.url = vm.callers + "/v1/batches/" + id;
	request.records_body = true;
	harness::reply_t reply = send_to_vm(caller, vm, request);
	return reply.status == 200 ? reply.text("status") : "";
}

void
submit_jobs(caller_t &caller)
{
	int max_items = caller.context.options.shape->job_items;

	for (int i = 0; !caller.context.stop; i++) {
		std::string name = caller.name + "-job-" + std::to_string(i);
		long items = caller.draw(1, max_items);
		job_t job;
		for (long j = 0; j < items; j++)
			job.items.push_back(draw_item(
			    caller, name + " item " + std::to_string(j)));
		if (caller.chance(60))
			job.key = name;
		if (!submit_job(caller, job))
			continue;
		if (caller.chance(20)) {
			caller.pause(50, 1000);
			cancel(caller, job);
		}
		poll_until_ended(caller, job, JOB_POLL_MS);
		caller.context.add_job(job);
		caller.pause(200, 1000);
	}
}

void
send_poison(caller_t &caller)
{
	run_context_t &context = caller.context;

	for (int i = 0; !context.stop; i++) {
		std::string prompt =
		    "poison-" + std::to_string(i) + " <<crash>>";
		std::map<std::string, long> before;
		for (const auto &domain : context.crashes)
			before[domain.first] = domain.second;
		if (i % 3 == 2)
			submit_poison(caller, prompt);
		else
			resend_poison(caller, prompt);
		caller.pause(2000, 3000);
		for (const auto &domain : context.crashes) {
			long crashes = domain.second - before[domain.first];
			context.verdicts.expect(
			    "poison: two crashes in a domain",
			    crashes <= CRASHES_MAX,
			    prompt + " crashed " + std::to_string(crashes) +
				" engines of " + domain.first);
		}
	}
}

} // namespace soak
