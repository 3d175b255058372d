/*
 * Callers with batch jobs, and the callers of prompts that crash engines.
 */
#include "tests/soak/traffic.h"

namespace soak
{

namespace
{

constexpr int SUBMIT_TRIES = 8;
constexpr long WATCH_MS = 15000;
constexpr int POISON_TRIES = 6;
constexpr long POISON_JOB_MS = 60000;
/* A refusal is known in the whole domain within a second. */
constexpr long POISON_GAP_MS = 1200;
constexpr long CRASHES_MOST = 2;

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
	question_t question;

	question.operation = "upload";
	question.method = "POST";
	for (const item_t &item : job.items)
		question.body += write_item(item);
	for (int i = 0; i < SUBMIT_TRIES && !caller.stage.stop; i++) {
		const harness::vm_t &vm = caller.pick_vm();
		question.url = vm.callers + "/v1/files";
		harness::reply_t reply = ask(caller, vm, question);
		file = reply.text("id");
		if (reply.status == 200)
			return true;
		caller.rest_after(reply);
	}
	return false;
}

question_t
ask_job(const job_t &job, const std::string &file)
{
	question_t question;

	question.operation = "submit";
	question.key = job.key;
	question.method = "POST";
	question.body = "{\"input_file_id\":\"" + file +
	    "\",\"endpoint\":\"/v1/completions\","
	    "\"completion_window\":\"24h\"}";
	if (!job.key.empty())
		question.headers = {"Idempotency-Key: " + job.key};
	question.keeps_answer = true;
	return question;
}

/* Cancels the job at some VM, until one confirms it. */
void
cancel(caller_t &caller, job_t &job)
{
	question_t question;

	question.operation = "cancel";
	question.key = job.id;
	question.method = "POST";
	question.keeps_answer = true;
	for (int i = 0; i < SUBMIT_TRIES && !caller.stage.stop; i++) {
		const harness::vm_t &vm = caller.pick_vm();
		question.url = vm.callers + "/v1/batches/" + job.id + "/cancel";
		harness::reply_t reply = ask(caller, vm, question);
		if (reply.status == 200) {
			job.cancelled_ms = harness::now_ms();
			return;
		}
		caller.rest_after(reply);
	}
}

bool
is_end(const std::string &status)
{
	return status == "completed" || status == "cancelled" ||
	    status == "failed";
}

/* Looks at the job from all sides, for a bounded time. */
void
follow(caller_t &caller, job_t &job, long most_ms)
{
	long until_ms = harness::now_ms() + most_ms;

	while (harness::now_ms() < until_ms && !caller.stage.stop &&
	    job.ended.empty()) {
		std::string status = ask_status(caller, job.id);
		if (is_end(status))
			job.ended = status;
		caller.rest(100, 500);
	}
}

/* One prompt that crashes, resent under other keys and at other VMs. */
void
resend_poison(caller_t &caller, const std::string &prompt)
{
	question_t question;

	question.operation = "poison";
	question.key = prompt;
	question.method = "POST";
	question.body = "{\"model\":\"narrador\",\"prompt\":\"" + prompt +
	    "\",\"max_tokens\":4}";
	for (int i = 0; i < POISON_TRIES && !caller.stage.stop; i++) {
		const harness::vm_t &vm = caller.pick_vm();
		question.url = vm.callers + "/v1/completions";
		question.headers = {"Idempotency-Key: " + caller.name + "-" +
		    std::to_string(caller.random())};
		ask(caller, vm, question);
		caller.rest(POISON_GAP_MS, POISON_GAP_MS);
	}
}

/* The same within a job, between items that shall complete. */
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
	follow(caller, job, POISON_JOB_MS);
	caller.stage.keep(job);
}

} // namespace

bool
submit_job(caller_t &caller, job_t &job)
{
	std::string file;
	question_t question;

	if (!upload(caller, job, file))
		return false;
	question = ask_job(job, file);
	for (int i = 0; i < SUBMIT_TRIES && !caller.stage.stop; i++) {
		const harness::vm_t &vm = caller.pick_vm();
		question.url = vm.callers + "/v1/batches";
		harness::reply_t reply = ask(caller, vm, question);
		job.id = reply.text("id");
		if (reply.status == 200 && reply.code == CURLE_OK) {
			/* Its client has not heard, and asks once more. */
			if (!job.key.empty() && caller.chance(25)) {
				const harness::vm_t &other = caller.pick_vm();
				question.url = other.callers + "/v1/batches";
				ask(caller, other, question);
			}
			return true;
		}
		/* Without a key it could become two jobs. */
		if (job.key.empty() && reply.code != CURLE_COULDNT_CONNECT)
			return false;
		caller.rest_after(reply);
	}
	return false;
}

std::string
ask_status(caller_t &caller, const std::string &id)
{
	const harness::vm_t &vm = caller.pick_vm();
	question_t question;

	question.operation = "status";
	question.key = id;
	question.method = "GET";
	question.url = vm.callers + "/v1/batches/" + id;
	question.keeps_answer = true;
	harness::reply_t reply = ask(caller, vm, question);
	return reply.status == 200 ? reply.text("status") : "";
}

void
submit_jobs(caller_t &caller)
{
	int most = caller.stage.options.shape->job_items;

	for (int i = 0; !caller.stage.stop; i++) {
		std::string name = caller.name + "-job-" + std::to_string(i);
		long items = caller.draw(1, most);
		job_t job;
		for (long j = 0; j < items; j++)
			job.items.push_back(draw_item(
			    caller, name + " item " + std::to_string(j)));
		if (caller.chance(60))
			job.key = name;
		if (!submit_job(caller, job))
			continue;
		if (caller.chance(20)) {
			caller.rest(50, 1000);
			cancel(caller, job);
		}
		follow(caller, job, WATCH_MS);
		caller.stage.keep(job);
		caller.rest(200, 1000);
	}
}

void
send_poison(caller_t &caller)
{
	stage_t &stage = caller.stage;

	for (int i = 0; !stage.stop; i++) {
		std::string prompt =
		    "poison-" + std::to_string(i) + " <<crash>>";
		std::map<std::string, long> before;
		for (const auto &domain : stage.crashes)
			before[domain.first] = domain.second;
		if (i % 3 == 2)
			submit_poison(caller, prompt);
		else
			resend_poison(caller, prompt);
		caller.rest(2000, 3000);
		for (const auto &domain : stage.crashes) {
			long crashes = domain.second - before[domain.first];
			stage.verdicts.judge("poison: two crashes in a domain",
			    crashes <= CRASHES_MOST,
			    prompt + " crashed " + std::to_string(crashes) +
				" engines of " + domain.first);
		}
	}
}

} // namespace soak
