/**
 * @file inline_world.h
 * @brief Simulation for tests: VMs that run inline jobs on one in-memory
 * platform, with a simulated clock.
 */
#ifndef JJ_TESTS_CORE_INLINE_WORLD_H
#define JJ_TESTS_CORE_INLINE_WORLD_H

#include <algorithm>
#include <cstdio>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "tests/core/fake_platform.h"

extern "C" {
#include "core/inline.h"
#include "core/json_text.h"
}

/** An answer to an operation. */
struct InlineAnswer {
	int status = 0;
	std::string body;
};

class InlineVm;

/** The simulated VMs, their platform and the clock. */
class InlineWorld : public ::testing::Test
{
      public:
	FakePlatform platform;
	jj_ms_t now = 1000;
	/** Processes that other VMs consider lost. */
	std::set<std::string> lost_writers;
	std::vector<std::unique_ptr<InlineVm>> vms;
	jj_route_t route = {};
	/** No VM receives heartbeats of the others. */
	bool heartbeats_missing = false;
	bool servers_full = false; /**< items wait for a server */

	InlineWorld();
	~InlineWorld() override;
	InlineVm &add_vm(const std::string &name);
	/** Advances the clock; all VMs tick and their calls are executed. */
	void pass(jj_ms_t ms);
	/** Ids of a job's stored results, in their order. */
	std::vector<std::string> stored(const std::string &id) const;
};

class InlineVm
{
      public:
	InlineWorld &world;
	std::string writer;
	jj_inline_t *jobs;
	jj_actions_t out;
	uint64_t last_operation = 0;
	uint64_t last_request = 0;
	std::map<uint64_t, InlineAnswer> answers;
	/** Items queued for a server, by request. */
	std::map<uint64_t, std::string> items;
	std::vector<std::string> ended_notices;
	std::vector<std::string> log; /**< events: "NAME DETAIL" */
	std::list<jj_action_t *> sent; /**< messages not delivered yet */
	/** True for calls that are deferred instead of executed. */
	std::function<bool(const jj_platform_call_t &)> defers;
	std::list<jj_action_t *> deferred;
	jj_action_t *watch = nullptr; /**< pending watch */
	bool paused = false;
	jj_ms_t reached_ms = 0; /**< see jj_inline_port_t */
	bool watch_stalled = false; /**< its watch returns no changes */
	bool defers_checks = false; /**< checks of the list are deferred */

	InlineVm(InlineWorld &in, const std::string &name);
	~InlineVm();
	uint64_t submit(const std::string &id, int items, uint64_t tokens = 10,
	    size_t body = 3);
	uint64_t
	read(const std::string &id, uint32_t after, jj_ms_t wait_ms = 0);
	uint64_t read_item(const std::string &id, const std::string &item);
	uint64_t end(const std::string &id);
	/** Ends the run of an item that this VM has started. */
	bool finish(const std::string &item, const std::string &text,
	    jj_inline_item_end_t how = JJ_INLINE_DONE);
	void finish_all(const std::string &text);
	/** Executes the requested actions; a watch stays pending. */
	void run_actions();
	/** Executes the deferred calls. */
	void release();
	/** Reports the jobs that this VM runs to another VM. */
	void report_states(InlineVm &to);
	/**
	 * Delivers this VM's messages to another VM, whatever their
	 * destination.
	 */
	void deliver(InlineVm &to);
	/** Ends the pending watch with what has changed. */
	void deliver_changes();
	/** Ends the pending watch without an answer. */
	void fail_watch();
	/** Ends the pending watch with a lost history. */
	void drop_history();
	InlineAnswer &
	answer(uint64_t operation)
	{
		return answers[operation];
	}

      private:
	void end_watch(jj_platform_outcome_t outcome);
	void answer_watch(jj_action_t *call);
	void take(const jj_platform_result_t &result);
	void take_other(jj_action_t *action);
	uint64_t
	next_operation()
	{
		return ++last_operation;
	}
};

inline InlineWorld::InlineWorld()
{
	jj_name_set(&route.name, "notturno");
	route.host = const_cast<char *>("ordini.example");
	route.prefix = const_cast<char *>("/liste/");
	route.kind = JJ_ROUTE_BATCH;
	route.attempts = 3;
	route.run_due_ms = 18000;
	route.retention_ms = 60000;
	route.max_waiting_tokens = 1000;
	route.backend_count = 1;
}

inline InlineWorld::~InlineWorld()
{
	vms.clear();
}

inline InlineVm &
InlineWorld::add_vm(const std::string &name)
{
	vms.push_back(std::make_unique<InlineVm>(*this, name));
	return *vms.back();
}

inline void
InlineWorld::pass(jj_ms_t ms)
{
	for (jj_ms_t until = now + ms; now < until; now += 50)
		for (auto &vm : vms) {
			if (vm->paused)
				continue;
			if (!vm->watch_stalled)
				vm->deliver_changes();
			jj_inline_tick(vm->jobs, now, &vm->out);
			vm->run_actions();
		}
}

inline std::vector<std::string>
InlineWorld::stored(const std::string &id) const
{
	std::vector<std::string> ids;

	for (int part = 0;; part++) {
		auto found = platform.objects.find(
		    "batch-out/" + id + "." + std::to_string(part));
		if (found == platform.objects.end())
			return ids;
		jj_bytes_t text = {
		    const_cast<char *>(found->second.value.data()),
		    found->second.value.size()};
		jj_inline_segment_t segment;
		EXPECT_TRUE(jj_inline_segment_decode(&segment, &text));
		EXPECT_EQ(ids.size(), segment.first);
		for (uint32_t i = 0; i < segment.count; i++)
			ids.push_back(segment.results[i].id);
		jj_inline_segment_clear(&segment);
	}
}

namespace inline_port
{

inline InlineVm *
vm(void *ctx)
{
	return static_cast<InlineVm *>(ctx);
}

inline bool
is_live(void *ctx, const char *writer)
{
	return vm(ctx)->world.lost_writers.count(writer) == 0;
}

/** VMs that are not lost take jobs over in the order of their creation. */
inline uint32_t
rank(void *ctx, const char *, uint32_t limit)
{
	uint32_t before = 0;

	for (auto &other : vm(ctx)->world.vms) {
		if (other.get() == vm(ctx))
			break;
		before += vm(ctx)->world.lost_writers.count(other->writer) == 0;
	}
	return std::min(before, limit);
}

/** Heartbeats are missing while any VM is lost, or by order of the test. */
inline bool
misses_any_heartbeat(void *ctx)
{
	return vm(ctx)->world.heartbeats_missing ||
	    vm(ctx)->world.lost_writers.size() > 0;
}

inline jj_ms_t
reached_ms(void *ctx)
{
	return vm(ctx)->reached_ms;
}

inline bool
receives_any_heartbeat(void *ctx)
{
	return vm(ctx)->world.vms.size() >
	    vm(ctx)->world.lost_writers.size() + 1;
}

inline const jj_route_t *
find_route(void *ctx, const char *host, const char *)
{
	const jj_route_t &route = vm(ctx)->world.route;

	return strcmp(route.host, host) == 0 ? &route : nullptr;
}

inline int64_t
unix_ms(void *ctx)
{
	return vm(ctx)->world.now + 1700000000000;
}

inline uint64_t
begin_item(void *ctx, const jj_inline_job_t *, const jj_inline_item_t *item,
    const jj_route_t *, jj_ms_t, jj_ms_t)
{
	InlineVm *self = vm(ctx);

	self->items[++self->last_request] = item->id;
	return self->last_request;
}

inline void
cancel_item(void *ctx, uint64_t request)
{
	vm(ctx)->items.erase(request);
}

inline bool
is_item_sent(void *ctx, uint64_t request, uint32_t *attempts)
{
	*attempts = 1;
	return vm(ctx)->items.count(request) == 1 &&
	    !vm(ctx)->world.servers_full;
}

/** "TOTAL FROM: ID=TEXT ID!" */
inline jj_bytes_t
write_page(void *, const jj_inline_page_t *page)
{
	std::string text = std::to_string(page->total) + " " +
	    std::to_string(page->first) + ":";

	for (uint32_t i = 0; i < page->count; i++) {
		const jj_inline_result_t &result = page->results[i];

		text += std::string(" ") + result.id;
		if (result.done)
			text += "=" +
			    std::string(result.text.data != nullptr
				    ? result.text.data
				    : "",
				result.text.size);
		else
			text += "!";
	}
	return jj_bytes_copy(text.data(), text.size());
}

inline void
relay(void *, uint64_t, uint64_t, const jj_platform_item_t *, size_t)
{
}

inline void
notify_ended(void *ctx, const char *writer, const char *id)
{
	vm(ctx)->ended_notices.push_back(std::string(writer) + " " + id);
}

} // namespace inline_port

/** What a VM may keep of jobs in memory; far more than most tests use. */
constexpr size_t JOBS_BYTES = 16 << 20;

inline InlineVm::InlineVm(InlineWorld &in, const std::string &name)
    : world(in), writer(name + "/0000000000000001")
{
	jj_inline_settings_t settings = {};
	jj_inline_port_t port = {this, inline_port::is_live, inline_port::rank,
	    inline_port::receives_any_heartbeat,
	    inline_port::misses_any_heartbeat, inline_port::reached_ms,
	    inline_port::find_route, inline_port::unix_ms,
	    inline_port::begin_item, inline_port::cancel_item,
	    inline_port::is_item_sent, inline_port::write_page,
	    inline_port::relay, inline_port::notify_ended};

	snprintf(
	    settings.writer, sizeof(settings.writer), "%s", writer.c_str());
	settings.publish_ms = 500;
	settings.takeover_ms = 1500;
	settings.alone_ms = 6000;
	settings.retry_ms = 50;
	settings.retry_most_ms = 400;
	settings.submit_ms = 3000;
	settings.read_ms = 1500;
	settings.orphan_ms = 5000;
	settings.keep_ms = 1000;
	settings.item_retry_ms = 100;
	settings.mirror_wait_ms = 20000;
	settings.mirror_spacing_ms = 100;
	settings.state_fresh_ms = 850;
	settings.retry_after_ms = 500;
	settings.memory_bytes = JOBS_BYTES;
	TAILQ_INIT(&out);
	jobs = jj_inline_create(&settings, &port);
}

inline InlineVm::~InlineVm()
{
	jj_inline_destroy(jobs);
	for (jj_action_t *action : deferred)
		jj_action_free(action);
	for (jj_action_t *action : sent)
		jj_action_free(action);
	if (watch != nullptr)
		jj_action_free(watch);
	jj_actions_clear(&out);
}

inline uint64_t
InlineVm::submit(const std::string &id, int count, uint64_t tokens, size_t body)
{
	jj_inline_job_t job = {};
	uint64_t operation = next_operation();
	std::string text(body, 'b');

	snprintf(job.id, sizeof(job.id), "%s", id.c_str());
	job.host = strdup("ordini.example");
	job.path = strdup("/liste/notte");
	job.submitted_unix_ms = inline_port::unix_ms(this);
	for (int i = 0; i < count; i++) {
		jj_inline_item_t *item = jj_inline_job_add(&job);

		item->id = strdup((id + "-" + std::to_string(i)).c_str());
		item->path = strdup("/liste/1");
		item->tokens = tokens;
		item->body = jj_bytes_copy(text.data(), text.size());
		jj_inline_item_add_header(item, "X-Model", "m");
		job.tokens += tokens;
	}
	jj_inline_submit(jobs, operation, &job, &world.route, world.now, &out);
	run_actions();
	return operation;
}

inline uint64_t
InlineVm::read(const std::string &id, uint32_t after, jj_ms_t wait_ms)
{
	uint64_t operation = next_operation();

	jj_inline_read(
	    jobs, operation, id.c_str(), after, wait_ms, world.now, &out);
	run_actions();
	return operation;
}

inline uint64_t
InlineVm::read_item(const std::string &id, const std::string &item)
{
	uint64_t operation = next_operation();

	jj_inline_read_item(
	    jobs, operation, id.c_str(), item.c_str(), world.now, &out);
	run_actions();
	return operation;
}

inline uint64_t
InlineVm::end(const std::string &id)
{
	uint64_t operation = next_operation();

	jj_inline_end_job(jobs, operation, id.c_str(), world.now, &out);
	run_actions();
	return operation;
}

inline bool
InlineVm::finish(
    const std::string &item, const std::string &text, jj_inline_item_end_t how)
{
	for (auto &entry : items) {
		if (entry.second != item)
			continue;
		uint64_t request = entry.first;
		jj_bytes_t bytes = jj_bytes_copy(text.data(), text.size());

		items.erase(request);
		jj_inline_end_item(jobs, request, how, &bytes, world.now, &out);
		jj_bytes_free(&bytes);
		run_actions();
		return true;
	}
	return false;
}

inline void
InlineVm::finish_all(const std::string &text)
{
	std::map<uint64_t, std::string> started = items;

	for (auto &entry : started)
		(void)finish(entry.second, text);
}

inline void
InlineVm::run_actions()
{
	jj_action_t *action;

	while ((action = TAILQ_FIRST(&out)) != nullptr) {
		TAILQ_REMOVE(&out, action, link);
		if (action->kind != JJ_ACTION_PLATFORM) {
			take_other(action);
			continue;
		}
		if (action->body.platform.op == JJ_PLATFORM_WATCH &&
		    action->body.platform.wait_ms > 0) {
			watch = action;
			continue;
		}
		if (action->body.platform.op == JJ_PLATFORM_WATCH &&
		    !defers_checks) {
			answer_watch(action);
			continue;
		}
		if (action->body.platform.op == JJ_PLATFORM_WATCH ||
		    (defers && defers(action->body.platform))) {
			deferred.push_back(action);
			continue;
		}
		jj_platform_result_t result =
		    world.platform.execute(action->body.platform);
		jj_action_free(action);
		take(result);
		jj_platform_result_clear(&result);
	}
}

inline void
InlineVm::release()
{
	std::list<jj_action_t *> calls;

	calls.swap(deferred);
	for (jj_action_t *action : calls) {
		if (action->body.platform.op == JJ_PLATFORM_WATCH) {
			answer_watch(action);
			continue;
		}
		jj_platform_result_t result =
		    world.platform.execute(action->body.platform);
		jj_action_free(action);
		take(result);
		jj_platform_result_clear(&result);
	}
	run_actions();
}

/** Includes deletions, of all entries that the VM may know. */
inline void
InlineVm::deliver_changes()
{
	jj_action_t *waiting = watch;

	if (waiting == nullptr ||
	    waiting->body.platform.version >= world.platform.revision)
		return;
	watch = nullptr;
	answer_watch(waiting);
	run_actions();
}

inline void
InlineVm::fail_watch()
{
	end_watch(JJ_PLATFORM_UNKNOWN);
}

inline void
InlineVm::drop_history()
{
	end_watch(JJ_PLATFORM_GAP);
}

inline void
InlineVm::end_watch(jj_platform_outcome_t outcome)
{
	jj_platform_result_t result = {};

	if (watch == nullptr)
		return;
	result.op = watch->body.platform.op;
	result.token = watch->body.platform.token;
	result.outcome = outcome;
	jj_action_free(watch);
	watch = nullptr;
	take(result);
}

/** Answers the call with what has changed since its version, and frees it. */
inline void
InlineVm::answer_watch(jj_action_t *call)
{
	std::vector<jj_platform_item_t> changed;
	jj_platform_result_t result = {};

	for (auto &object : world.platform.objects) {
		jj_platform_item_t item = {};

		if (object.first.find("batch-open/") != 0 ||
		    object.second.version <= call->body.platform.version)
			continue;
		snprintf(
		    item.key, sizeof(item.key), "%s", object.first.c_str());
		item.version = object.second.version;
		item.value = jj_bytes_copy(
		    object.second.value.data(), object.second.value.size());
		changed.push_back(item);
	}
	for (const std::string &key : world.platform.log) {
		jj_platform_item_t item = {};

		if (key.find("batch-open/") != 0 || world.platform.has(key))
			continue;
		snprintf(item.key, sizeof(item.key), "%s", key.c_str());
		item.deleted = true;
		changed.push_back(item);
	}
	result.owner = JJ_OWNER_INLINE;
	result.token = call->body.platform.token;
	result.op = JJ_PLATFORM_WATCH;
	result.outcome = JJ_PLATFORM_OK;
	result.version = world.platform.revision;
	result.items = changed.data();
	result.item_count = changed.size();
	jj_action_free(call);
	jj_inline_take_result(jobs, &result, world.now, &out);
	for (jj_platform_item_t &item : changed)
		jj_bytes_free(&item.value);
}

inline void
InlineVm::take(const jj_platform_result_t &result)
{
	jj_inline_take_result(jobs, &result, world.now, &out);
}

inline void
InlineVm::report_states(InlineVm &to)
{
	jj_job_progress_t states[8];
	jj_name_t vm = {};
	uint32_t count = jj_inline_list_states(jobs, states, 8);

	jj_name_set(&vm, writer.substr(0, writer.find('/')).c_str());
	jj_inline_take_states(
	    to.jobs, &vm, states, count, world.now, world.now, &to.out);
	to.run_actions();
}

inline void
InlineVm::deliver(InlineVm &to)
{
	std::list<jj_action_t *> messages;

	messages.swap(sent);
	for (jj_action_t *action : messages) {
		jj_message_t *message = action->body.send.message;

		jj_name_set(
		    &message->from, writer.substr(0, writer.find('/')).c_str());
		if (message->kind == JJ_MESSAGE_JOB_READ)
			jj_inline_take_peer_read(to.jobs, message, &to.out);
		if (message->kind == JJ_MESSAGE_JOB_PAGE)
			jj_inline_take_peer_page(
			    to.jobs, message, world.now, &to.out);
		jj_action_free(action);
	}
	to.run_actions();
}

inline void
InlineVm::take_other(jj_action_t *action)
{
	if (action->kind == JJ_ACTION_SEND) {
		sent.push_back(action);
		return;
	}
	if (action->kind == JJ_ACTION_JOB_ANSWER) {
		InlineAnswer &given = answers[action->body.job.operation];

		EXPECT_EQ(0, given.status) << "answered twice";
		given.status = action->body.job.status;
		given.body = std::string(action->body.job.body.data != nullptr
			? action->body.job.body.data
			: "",
		    action->body.job.body.size);
	}
	if (action->kind == JJ_ACTION_EVENT)
		log.push_back(std::string(action->body.event.name) + " " +
		    action->body.event.detail);
	jj_action_free(action);
}

#endif
