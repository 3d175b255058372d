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
constexpr long DISCONNECT_MS = 120;
constexpr int DISCONNECT_PERCENT = 4;
constexpr long CALL_TIMEOUT_MS = 4000;
constexpr int CALL_TRIES = 8;
constexpr long STATUS_TIMEOUT_MS = 1000;
constexpr int PATCH_TRIES = 5;
constexpr int HOT_CALLERS = 6;

/* The text of a streamed answer; sets whole if it contains the end. */
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
check_online_answer(run_context_t &context, const harness::reply_t &reply,
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
		context.verdicts.expect(
		    "online: a whole answer belongs to its prompt",
		    text == expected, prompt + ": " + reply.body);
	else if (streamed)
		context.verdicts.expect(
		    "online: a partial answer belongs to its prompt",
		    expected.compare(0, text.size(), text) == 0,
		    prompt + ": " + reply.body);
	context.verdicts.count(
	    whole ? "online answers, whole" : "online answers, cut off");
}

vm_request_t
make_completion(const std::string &prompt, int tokens, bool streamed)
{
	vm_request_t request;

	request.operation = streamed ? "stream" : "complete";
	request.key = prompt;
	request.method = "POST";
	request.body = "{\"model\":\"narrador\",\"prompt\":\"" + prompt +
	    "\",\"max_tokens\":" + std::to_string(tokens) +
	    (streamed ? ",\"stream\":true}" : "}");
	request.timeout_ms = ONLINE_TIMEOUT_MS;
	return request;
}

vm_request_t
make_call(const std::string &key)
{
	vm_request_t request;

	request.operation = "call";
	request.key = key;
	request.method = "POST";
	request.body = "{\"order\":\"" + key + "\"}";
	request.headers = {"Idempotency-Key: " + key};
	request.timeout_ms = CALL_TIMEOUT_MS;
	request.records_body = true;
	return request;
}

harness::reply_t
send_call(caller_t &caller, vm_request_t request)
{
	const harness::vm_t &vm = caller.pick_vm();

	request.url = vm.callers + "/services/pallets/call/book";
	return send_to_vm(caller, vm, request);
}

/* Sends the order until a VM answers that it is done, or tries run out. */
void
place_order(caller_t &caller, const vm_request_t &request)
{
	harness::reply_t reply;
	std::thread duplicate;
	caller_t other(caller.context, request.key, 0);

	/* A duplicate: the browser sends the order twice at once. */
	if (caller.chance(10))
		duplicate = std::thread([&] { send_call(other, request); });
	for (int i = 0; i < CALL_TRIES && !caller.context.stop; i++) {
		reply = send_call(caller, request);
		if (reply.status == 200)
			break;
		caller.pause_after(reply);
	}
	if (reply.status == 200 && caller.chance(20))
		send_call(caller, request);
	if (duplicate.joinable())
		duplicate.join();
}

void
send_online(caller_t &caller, int number, int team)
{
	std::string prompt = caller.name + " asks " + std::to_string(number);
	bool streamed = caller.chance(50);
	int tokens = static_cast<int>(caller.draw(2, 24));
	const harness::vm_t &vm = caller.pick_vm();
	vm_request_t request = make_completion(prompt, tokens, streamed);

	request.url = vm.callers + "/v1/completions";
	request.headers = {"Jujube-Deadline-Ms: 6000",
	    "Jujube-Team: shop-" + std::to_string(team)};
	if (caller.chance(DISCONNECT_PERCENT))
		request.timeout_ms = DISCONNECT_MS;
	check_online_answer(caller.context, send_to_vm(caller, vm, request),
	    prompt, tokens, streamed);
}

/* A patch whose name is its team, key and operator, to find it later. */
vm_request_t
make_patch(const std::string &name, long version)
{
	vm_request_t request;

	request.operation = "patch";
	request.key = name;
	request.method = "PATCH";
	request.body = "{\"teams\":{\"" + name + "\":{\"weight\":2}}}";
	request.headers = {"If-Match: \"" + std::to_string(version) + "\"",
	    "Idempotency-Key: " + name, "Jujube-Operator: " + name};
	request.records_body = true;
	return request;
}

} // namespace

void
call_online(caller_t &caller)
{
	for (int i = 0; !caller.context.stop; i++) {
		send_online(caller, i, i % ONLINE_TEAMS);
		caller.pause(50, 250);
	}
}

void
call_as_hot_team(caller_t &caller)
{
	for (int i = 0; !caller.context.stop; i++) {
		int team = caller.context.hot_team;
		if (team >= 0)
			send_online(caller, i, team);
		else
			caller.pause(50, 50);
	}
}

void
call_service(caller_t &caller)
{
	for (int i = 0; !caller.context.stop; i++) {
		place_order(caller,
		    make_call(caller.name + "-order-" + std::to_string(i)));
		caller.pause(50, 400);
	}
}

void
patch_config(caller_t &caller)
{
	for (int i = 0; !caller.context.stop; i++) {
		long version = caller.pick_vm().version();
		std::string name = caller.name + "-" + std::to_string(i);
		vm_request_t request = make_patch(name, version);
		for (int j = 0; version > 0 && j < PATCH_TRIES; j++) {
			const harness::vm_t &vm = caller.pick_vm();
			request.url = vm.operators + "/v1/config";
			harness::reply_t reply =
			    send_to_vm(caller, vm, request);
			if (reply.status != 0 && reply.status != 503)
				break;
			caller.pause_after(reply);
		}
		caller.pause(500, 2000);
	}
}

void
watch_versions(caller_t &caller)
{
	run_context_t &context = caller.context;
	std::vector<long> seen(context.fleet.vms.size());
	std::vector<int> transitions(context.fleet.vms.size());

	while (!context.stop) {
		for (size_t i = 0; i < seen.size(); i++) {
			const harness::vm_t &vm = *context.fleet.vms[i];
			int transition = context.transitions[i];
			long version =
			    harness::call("GET", vm.operators + "/v1/status",
				"", {}, STATUS_TIMEOUT_MS)
				.number("config_version");
			if (transition % 2 != 0 ||
			    transition != context.transitions[i] || version < 0)
				continue;
			if (transition != transitions[i])
				seen[i] = 0;
			transitions[i] = transition;
			context.verdicts.expect(
			    "configuration: the version of a VM never decreases",
			    version >= seen[i],
			    vm.name + " went from " + std::to_string(seen[i]) +
				" to " + std::to_string(version));
			seen[i] = version;
		}
		caller.pause(100, 200);
	}
}

std::vector<std::thread>
start_traffic(run_context_t &context)
{
	const shape_t &shape = *context.options.shape;
	const struct {
		const char *role;
		int count;
		void (*work)(caller_t &);
	} rows[] = {
	    {"online", shape.online_callers, call_online},
	    {"hot", HOT_CALLERS, call_as_hot_team},
	    {"service", shape.call_callers, call_service},
	    {"batch", shape.batch_callers, submit_jobs},
	    {"operator", 3, patch_config},
	    {"observer", 1, watch_versions},
	    {"poison", context.options.includes("poison") ? 1 : 0, send_poison},
	};
	std::vector<std::thread> threads;

	for (const auto &row : rows) {
		for (int i = 0; i < row.count; i++) {
			threads.emplace_back([&context, row, i] {
				caller_t caller(context, row.role, i);
				row.work(caller);
			});
		}
	}
	return threads;
}

} // namespace soak
