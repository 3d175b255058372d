/**
 * @file batch_fleet.h
 * @brief Several batch workers on one in-memory platform, run event by event.
 *
 * Checks invariants after each event: an out object is written once, a
 * non-idempotent item is sent at most once, and a worker that has read the
 * cancel starts no item.
 */
#ifndef JJ_TESTS_CORE_BATCH_FLEET_H
#define JJ_TESTS_CORE_BATCH_FLEET_H

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <set>

#include "fake_platform.h"

extern "C" {
#include <jansson.h>

#include "core/batch.h"
}

/** Chunks of a job, each a row of items; true: idempotent. */
using Rows = std::vector<std::vector<bool>>;

inline const std::string kJob = "0123456789abcdef01234567";
inline const std::string kFile = "abcdefabcdefabcdefabcdef";

inline std::string
number(uint32_t chunk)
{
	char text[16];

	snprintf(text, sizeof(text), "%06u", chunk);
	return text;
}

/** An item sent to a backend server. */
struct Run {
	uint64_t item;
	std::string body;
	bool idempotent;
};

struct Worker {
	jj_batch_t *batch = nullptr;
	jj_actions_t actions;
	std::string writer;
	std::deque<Run> running;
	uint32_t free_capacity = 8;
	bool has_read_cancel = false;
	int cancelled_runs = 0;
	int items_sent = 0;

	Worker(const std::string &name, uint64_t seed)
	{
		jj_batch_settings_t settings = {};
		char writer_text[JJ_NAME_MAX + 20];

		snprintf(writer_text, sizeof(writer_text), "%s/%016llx",
		    name.c_str(), (unsigned long long)seed);
		writer = writer_text;
		jj_name_set(&settings.name, name.c_str());
		memcpy(settings.writer, writer_text, sizeof(writer_text));
		settings.seed = seed;
		settings.lease_ms = 15000;
		settings.margin_ms = 3000;
		settings.checkpoint_ms = 5000;
		settings.chunks = 4;
		settings.item_attempts = 4;
		settings.item_retry_ms = 500;
		settings.relist_ms = 30000;
		settings.retry_ms = 200;
		settings.checkpoint_bytes = 600000;
		TAILQ_INIT(&actions);
		batch = jj_batch_create(&settings);
		jj_batch_set_idempotent(batch, is_idempotent, nullptr);
	}
	~Worker()
	{
		jj_actions_clear(&actions);
		jj_batch_destroy(batch);
	}
	Worker(const Worker &) = delete;

	static bool
	is_idempotent(void *, const char *service)
	{
		return strcmp(service, "narrador") == 0;
	}
};

class Fleet
{
      public:
	FakePlatform platform;
	jj_ms_t now = 1000;
	std::vector<std::unique_ptr<Worker>> workers;
	/** Times an item was sent, by request body; without runs that ended as
	 * not run. */
	std::map<std::string, int> sent;
	std::map<std::string, bool> ever_sent;
	uint64_t next_seed = 1;
	/** Violated invariants. */
	std::vector<std::string> violations;
	Rows chunks;
	/** All workers get the event of each write in the next round. */
	bool hints = false;

	explicit Fleet(const Rows &rows, int count = 2) : chunks(rows)
	{
		platform.put(entry_key(),
		    "{\"job\":\"" + kJob +
			"\",\"writer\":\"w/1\",\"operation\":"
			"\"0000000000000002\"}");
		put_job("running");
		for (uint32_t i = 0; i < rows.size(); i++)
			put_part(i);
		for (int i = 0; i < count; i++)
			add(std::string(1, (char)('a' + i)));
	}

	void
	add(const std::string &name)
	{
		workers.push_back(std::make_unique<Worker>(name, next_seed++));
	}

	void
	put_job(const char *state)
	{
		uint32_t items = 0;
		std::string parts;

		for (auto &row : chunks) {
			items += row.size();
			parts += (parts.empty() ? "" : ",") +
			    std::to_string(row.size());
		}
		platform.put(job_key(),
		    "{\"id\":\"" + kJob +
			"\",\"key\":\"k\",\"fingerprint\":"
			"\"00000000000000aa\",\"team\":\"t\",\"service\":\"\","
			"\"endpoint\":\"/v1/completions\",\"input_file\":\"" +
			kFile + "\",\"items\":" + std::to_string(items) +
			",\"parts\":[" + parts +
			"],\"due_ms_after_submit\":3600000,"
			"\"submitted_at\":1700000000,\"state\":\"" +
			state +
			"\",\"done\":0,\"failed\":0,\"cancelled_items\":0,"
			"\"writer\":\"w/1\",\"operation\":"
			"\"0000000000000001\"}");
	}

	static std::string
	job_key()
	{
		return "jobs/" + kJob + "/job";
	}
	/** Key of the job's entry in the index of active jobs. */
	static std::string
	entry_key()
	{
		return "active/" + kJob;
	}
	static std::string
	out_key(uint32_t chunk)
	{
		return "jobs/" + kJob + "/out/" + number(chunk);
	}
	static std::string
	record_key(uint32_t chunk)
	{
		return "jobs/" + kJob + "/chunk/" + number(chunk);
	}

	/** One event at a worker: result of a call, end of a run, or tick. */
	void
	step(size_t index, Fault fault = Fault::kNone)
	{
		Worker &worker = *workers[index];

		if (FakePlatform::find_call(&worker.actions))
			call(index, fault);
		else if (!worker.running.empty())
			end(index, JJ_ITEM_DONE);
		else
			tick(index);
		check();
	}

	void
	tick(size_t index)
	{
		Worker &worker = *workers[index];

		jj_batch_set_free_capacity(worker.batch, worker.free_capacity);
		jj_batch_tick(worker.batch, now, &worker.actions);
		collect(worker);
	}

	void
	call(size_t index, Fault fault = Fault::kNone)
	{
		Worker &worker = *workers[index];
		jj_action_t *action = FakePlatform::find_call(&worker.actions);

		if (action == nullptr)
			return;
		TAILQ_REMOVE(&worker.actions, action, link);
		std::string key = action->body.platform.key;
		Fault before = platform.fault;
		platform.fault = fault == Fault::kNone ? before : fault;
		jj_platform_result_t result =
		    platform.execute(action->body.platform);
		platform.fault = before;
		if (key == job_key() && result.outcome == JJ_PLATFORM_OK &&
		    result.value.data != nullptr &&
		    strstr(result.value.data, "\"cancelled\"") != nullptr)
			worker.has_read_cancel = true;
		jj_action_free(action);
		jj_batch_take_result(
		    worker.batch, &result, now, &worker.actions);
		jj_platform_result_clear(&result);
		collect(worker);
	}

	void
	end(size_t index, jj_item_outcome_t outcome, int status = 200)
	{
		Worker &worker = *workers[index];

		if (worker.running.empty())
			return;
		Run run = worker.running.front();
		worker.running.pop_front();
		jj_bytes_t body = jj_bytes_from_text(
		    ("{\"answer\":" + run.body + "}").c_str());
		if (outcome == JJ_ITEM_NOT_RUN)
			sent[run.body]--;
		jj_batch_end_item(worker.batch, run.item, outcome, status,
		    &body, now, &worker.actions);
		jj_bytes_free(&body);
		collect(worker);
	}

	void
	leave(size_t index)
	{
		jj_batch_leave(
		    workers[index]->batch, now, &workers[index]->actions);
		collect(*workers[index]);
	}

	/** Replaces a VM by a new process without state; all are notified. */
	void
	kill(size_t index)
	{
		std::string writer = workers[index]->writer;
		std::string name = writer.substr(0, writer.find('/'));

		workers[index] = std::make_unique<Worker>(name, next_seed++);
		for (auto &worker : workers) {
			jj_batch_mark_writer_failed(worker->batch,
			    writer.c_str(), now, &worker->actions);
			collect(*worker);
		}
	}

	/** Reports a worker as failed to another one, though it still runs. */
	void
	report_false_failure(size_t running_worker, size_t receiver)
	{
		Worker &worker = *workers[receiver];

		jj_batch_mark_writer_failed(worker.batch,
		    workers[running_worker]->writer.c_str(), now,
		    &worker.actions);
		collect(worker);
	}

	void
	change(size_t index, const std::string &key)
	{
		Worker &worker = *workers[index];

		jj_batch_take_change(worker.batch, key.c_str(),
		    platform.objects[key].version, now, &worker.actions);
		collect(worker);
	}

	void
	cancel()
	{
		if (job_state() == "running")
			put_job("cancelled");
	}

	/** Steps all workers while time passes; false: the job hasn't ended. */
	bool
	run_to_end(int max_rounds = 3000)
	{
		for (int i = 0; i < max_rounds && violations.empty(); i++) {
			if (has_ended())
				return true;
			bool idle = true;
			for (size_t w = 0; w < workers.size(); w++) {
				idle &= is_idle(w);
				step(w);
			}
			now += idle ? 1000 : 5;
			deliver_hints();
		}
		return has_ended();
	}

	/** Each round: one event at each worker, then @p ms, then the hints. */
	void
	run_rounds(int rounds, jj_ms_t ms)
	{
		for (int i = 0; i < rounds; i++) {
			for (size_t w = 0; w < workers.size(); w++)
				step(w);
			now += ms;
			deliver_hints();
		}
	}

	void
	deliver_hints()
	{
		for (; hints && hinted < platform.log.size(); hinted++) {
			for (size_t w = 0; w < workers.size(); w++)
				change(w, std::string(platform.log[hinted]));
		}
	}

	bool
	is_idle(size_t index)
	{
		return workers[index]->running.empty() && is_waiting(index);
	}

	bool
	is_waiting(size_t index)
	{
		return !FakePlatform::find_call(&workers[index]->actions);
	}

	std::string
	job_state()
	{
		return text_of(job_key(), "state");
	}

	bool
	has_ended()
	{
		json_t *job = load(job_key());
		json_int_t counted = 0;
		std::string state =
		    json_string_value(json_object_get(job, "state"));

		for (const char *name : {"done", "failed", "cancelled_items"})
			counted +=
			    json_integer_value(json_object_get(job, name));
		bool all = counted ==
		    json_integer_value(json_object_get(job, "items"));
		json_decref(job);
		return all && state != "running";
	}

	std::string
	text_of(const std::string &key, const char *name)
	{
		json_t *document = load(key);
		const char *text =
		    json_string_value(json_object_get(document, name));
		std::string copy = text ? text : "";

		json_decref(document);
		return copy;
	}

	/** Error code of an item's published result; "" if it was answered. */
	std::string
	code(uint32_t chunk, size_t item, const char *name = "code")
	{
		json_t *out = load(out_key(chunk));
		json_t *error = json_object_get(
		    json_array_get(json_object_get(out, "results"), item),
		    "error");
		const char *text =
		    json_string_value(json_object_get(error, name));
		std::string copy = text ? text : "";

		json_decref(out);
		return copy;
	}

	json_t *
	load(const std::string &key)
	{
		const std::string &value = platform.objects[key].value;

		return json_loadb(value.data(), value.size(), 0, nullptr);
	}

	/**
	 * Checks that each out object has one result per item, in order, and
	 * that results agree with what was sent.
	 */
	void
	check_outs()
	{
		for (uint32_t c = 0; c < chunks.size(); c++) {
			if (platform.has(out_key(c)))
				check_out(c);
		}
	}

	jj_batch_counts_t
	counts(size_t index)
	{
		return jj_batch_counts(workers[index]->batch);
	}

      private:
	size_t log_seen = 0;
	size_t hinted = 0;
	std::set<std::string> outs_seen;

	void
	put_part(uint32_t chunk)
	{
		json_t *items = json_array();

		for (size_t i = 0; i < chunks[chunk].size(); i++) {
			std::string id =
			    std::to_string(chunk) + "-" + std::to_string(i);
			const char *model =
			    chunks[chunk][i] ? "narrador" : "ordini";
			json_array_append_new(items,
			    json_sprintf(
				"{\"custom_id\":\"%s\",\"method\":\"POST\","
				"\"url\":\"/v1/completions\",\"body\":"
				"{\"model\":\"%s\",\"n\":\"%s\"}}",
				id.c_str(), model, id.c_str()));
		}
		json_t *part = json_pack("{s:o}", "items", items);
		char *text = json_dumps(part, 0);
		platform.put("files/" + kFile + "/part/" + number(chunk), text);
		free(text);
		json_decref(part);
	}

	/** Removes and handles the actions that are not platform calls. */
	void
	collect(Worker &worker)
	{
		jj_action_t *action = TAILQ_FIRST(&worker.actions);

		while (action != nullptr) {
			jj_action_t *next = TAILQ_NEXT(action, link);

			if (action->kind != JJ_ACTION_PLATFORM) {
				TAILQ_REMOVE(&worker.actions, action, link);
				take(worker, action);
				jj_action_free(action);
			}
			action = next;
		}
	}

	void
	take(Worker &worker, jj_action_t *action)
	{
		if (action->kind == JJ_ACTION_ITEM_READY) {
			auto &item = action->body.item;
			Run run = {item.item, item.body.data, item.idempotent};

			if (worker.has_read_cancel)
				violations.push_back(
				    "sent by a worker that read the cancel");
			if (++sent[run.body] > 1 && !run.idempotent)
				violations.push_back("non-idempotent item sent "
						     "twice: " +
				    run.body);
			ever_sent[run.body] = true;
			worker.items_sent++;
			worker.running.push_back(run);
		}
		if (action->kind == JJ_ACTION_ITEM_CANCEL) {
			auto &running = worker.running;
			uint64_t item = action->body.item.item;

			running.erase(
			    std::remove_if(running.begin(), running.end(),
				[item](const Run &run) {
					return run.item == item;
				}),
			    running.end());
			worker.cancelled_runs++;
		}
	}

	void
	check()
	{
		for (; log_seen < platform.log.size(); log_seen++) {
			const std::string &key = platform.log[log_seen];

			if (key.find("/out/") != std::string::npos &&
			    !outs_seen.insert(key).second)
				violations.push_back(
				    "out object written twice: " + key);
		}
	}

	void
	check_out(uint32_t chunk)
	{
		json_t *out = load(out_key(chunk));
		json_t *results = json_object_get(out, "results");

		if (json_array_size(results) != chunks[chunk].size())
			violations.push_back("number of results is not that of "
					     "the items");
		for (size_t i = 0; i < json_array_size(results); i++) {
			std::string id =
			    std::to_string(chunk) + "-" + std::to_string(i);
			check_result(
			    json_array_get(results, i), id, chunks[chunk][i]);
		}
		json_decref(out);
	}

	void
	check_result(json_t *result, const std::string &id, bool idempotent)
	{
		std::string body = std::string("{\"model\":\"") +
		    (idempotent ? "narrador" : "ordini") + "\",\"n\":\"" + id +
		    "\"}";
		const char *custom_id =
		    json_string_value(json_object_get(result, "custom_id"));
		const char *run = json_string_value(
		    json_object_get(json_object_get(result, "error"), "run"));

		if (custom_id == nullptr || id != custom_id)
			violations.push_back("result of another item at " + id);
		if (run != nullptr && strcmp(run, "not_run") == 0 &&
		    ever_sent[body])
			violations.push_back(
			    "reported as not run, but was sent: " + id);
		if (json_is_object(json_object_get(result, "response")) &&
		    !ever_sent[body])
			violations.push_back("answered, but never sent: " + id);
	}
};

#endif
