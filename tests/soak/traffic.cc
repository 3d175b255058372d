/*
 * Online callers, callers of the plain service, and operators.
 */
#include <sstream>

#include "tests/soak/traffic.h"

namespace soak
{

namespace
{

constexpr long ONLINE_TIMEOUT_MS = 10000;
constexpr long VANISH_MS = 120;
constexpr int VANISH_PERCENT = 4;
constexpr long CALL_TIMEOUT_MS = 4000;
constexpr int CALL_TRIES = 8;
constexpr long STATUS_TIMEOUT_MS = 1000;
constexpr int PATCH_TRIES = 5;

/* The text of a streamed answer; whole tells whether its end was sent. */
std::string
read_stream(const std::string &body, bool &whole)
{
	std::stringstream lines(body);
	std::string line;
	std::string text;

	whole = false;
	while (std::getline(lines, line)) {
		if (line.rfind("data: ", 0) != 0)
			continue;
		if (line.rfind("data: [DONE]", 0) == 0)
			whole = true;
		else
			text += harness::json_view_t(line.substr(6))
				    .text("choices.0.text");
	}
	return text;
}

void
judge_online(stage_t &stage, const harness::reply_t &reply,
    const std::string &prompt, int tokens, bool streamed)
{
	std::string expected = harness::text_of(prompt, tokens);
	bool whole = reply.code == CURLE_OK;
	std::string text;

	if (reply.status != 200)
		return;
	text = streamed ? read_stream(reply.body, whole)
			: reply.text("choices.0.text");
	if (whole)
		stage.verdicts.judge("online: a whole answer is its own",
		    text == expected, prompt + ": " + reply.body);
	else if (streamed)
		stage.verdicts.judge("online: a part of an answer is its own",
		    expected.compare(0, text.size(), text) == 0,
		    prompt + ": " + reply.body);
	stage.verdicts.count(
	    whole ? "online answers, whole" : "online answers, cut off");
}

question_t
ask_model(const std::string &prompt, int tokens, bool streamed)
{
	question_t question;

	question.operation = streamed ? "stream" : "complete";
	question.key = prompt;
	question.method = "POST";
	question.body = "{\"model\":\"narrador\",\"prompt\":\"" + prompt +
	    "\",\"max_tokens\":" + std::to_string(tokens) +
	    (streamed ? ",\"stream\":true}" : "}");
	question.timeout_ms = ONLINE_TIMEOUT_MS;
	return question;
}

question_t
ask_service(const std::string &key)
{
	question_t question;

	question.operation = "call";
	question.key = key;
	question.method = "POST";
	question.body = "{\"order\":\"" + key + "\"}";
	question.headers = {"Idempotency-Key: " + key};
	question.timeout_ms = CALL_TIMEOUT_MS;
	question.keeps_answer = true;
	return question;
}

harness::reply_t
send_call(caller_t &caller, question_t question)
{
	const harness::vm_t &vm = caller.pick_vm();

	question.url = vm.callers + "/services/pallets/call/book";
	return ask(caller, vm, question);
}

/* Sends the order until somebody says what became of it. */
void
place_order(caller_t &caller, const question_t &question)
{
	harness::reply_t reply;
	std::thread twin;
	caller_t other(caller.stage, question.key, 0);

	/* Its shop's browser sends it twice at once. */
	if (caller.chance(10))
		twin = std::thread([&] { send_call(other, question); });
	for (int i = 0; i < CALL_TRIES && !caller.stage.stop; i++) {
		reply = send_call(caller, question);
		if (reply.status == 200)
			break;
		caller.rest_after(reply);
	}
	if (reply.status == 200 && caller.chance(20))
		send_call(caller, question);
	if (twin.joinable())
		twin.join();
}

/* The patch of one operator; what it says is found by the patch's name. */
question_t
ask_patch(const std::string &name, long version)
{
	question_t question;

	question.operation = "patch";
	question.key = name;
	question.method = "PATCH";
	question.body = "{\"teams\":{\"" + name + "\":{\"weight\":2}}}";
	question.headers = {"If-Match: \"" + std::to_string(version) + "\"",
	    "Idempotency-Key: " + name, "Jujube-Operator: " + name};
	question.keeps_answer = true;
	return question;
}

} // namespace

void
call_online(caller_t &caller)
{
	for (int i = 0; !caller.stage.stop; i++) {
		std::string prompt = caller.name + " asks " + std::to_string(i);
		bool streamed = caller.chance(50);
		int tokens = static_cast<int>(caller.draw(2, 24));
		const harness::vm_t &vm = caller.pick_vm();
		question_t question = ask_model(prompt, tokens, streamed);
		question.url = vm.callers + "/v1/completions";
		question.headers = {"Jujube-Deadline-Ms: 6000",
		    "Jujube-Team: shop-" + std::to_string(i % 3)};
		if (caller.chance(VANISH_PERCENT))
			question.timeout_ms = VANISH_MS;
		judge_online(caller.stage, ask(caller, vm, question), prompt,
		    tokens, streamed);
		caller.rest(50, 250);
	}
}

void
call_service(caller_t &caller)
{
	for (int i = 0; !caller.stage.stop; i++) {
		place_order(caller,
		    ask_service(caller.name + "-order-" + std::to_string(i)));
		caller.rest(50, 400);
	}
}

void
patch_config(caller_t &caller)
{
	for (int i = 0; !caller.stage.stop; i++) {
		long version = caller.pick_vm().version();
		std::string name = caller.name + "-" + std::to_string(i);
		question_t question = ask_patch(name, version);
		for (int j = 0; version > 0 && j < PATCH_TRIES; j++) {
			const harness::vm_t &vm = caller.pick_vm();
			question.url = vm.operators + "/v1/config";
			harness::reply_t reply = ask(caller, vm, question);
			if (reply.status != 0 && reply.status != 503)
				break;
			caller.rest_after(reply);
		}
		caller.rest(500, 2000);
	}
}

void
watch_versions(caller_t &caller)
{
	stage_t &stage = caller.stage;
	std::vector<long> seen(stage.fleet.vms.size());
	std::vector<int> lives(stage.fleet.vms.size());

	while (!stage.stop) {
		for (size_t i = 0; i < seen.size(); i++) {
			const harness::vm_t &vm = *stage.fleet.vms[i];
			int life = stage.lives[i];
			long version =
			    harness::call("GET", vm.operators + "/v1/status",
				"", {}, STATUS_TIMEOUT_MS)
				.number("config_version");
			if (life % 2 != 0 || life != stage.lives[i] ||
			    version < 0)
				continue;
			if (life != lives[i])
				seen[i] = 0;
			lives[i] = life;
			stage.verdicts.judge(
			    "configuration: its version never goes back",
			    version >= seen[i],
			    vm.name + " went from " + std::to_string(seen[i]) +
				" to " + std::to_string(version));
			seen[i] = version;
		}
		caller.rest(100, 200);
	}
}

std::vector<std::thread>
start_traffic(stage_t &stage)
{
	const shape_t &shape = *stage.options.shape;
	const struct {
		const char *role;
		int count;
		void (*work)(caller_t &);
	} rows[] = {
	    {"online", shape.online_callers, call_online},
	    {"service", shape.call_callers, call_service},
	    {"batch", shape.batch_callers, submit_jobs},
	    {"operator", 3, patch_config},
	    {"observer", 1, watch_versions},
	    {"poison", stage.options.brings("poison") ? 1 : 0, send_poison},
	};
	std::vector<std::thread> threads;

	for (const auto &row : rows) {
		for (int i = 0; i < row.count; i++) {
			threads.emplace_back([&stage, row, i] {
				caller_t caller(stage, row.role, i);
				row.work(caller);
			});
		}
	}
	return threads;
}

} // namespace soak
