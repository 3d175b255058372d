/**
 * @file batch_slopes.c
 * @brief Cost of batch at a worker and at the platform: jobs, chunks, items.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "core/batch.h"
#include "slopes.h"
#include "world.h"

#define WORKERS_MAX 8
/** Time step of the simulation, ms. */
#define STEP_MS 5
/** Maximum of rounds of 100 ms until all chunks or items have ended. */
#define ROUNDS_MAX 20000
/** Service time of an item at a server, ms. */
#define ITEM_MS 100
/** Sizes of an item's prompt and of its answer, bytes. */
#define PROMPT_BYTES 800
#define ANSWER_BYTES 1200
/** Size of one item in the answer to a list call, bytes. */
#define ITEM_BYTES 80
/** Defaults of the settings, as in settings.c. */
#define LEASE_MS 15000
#define RELIST_MS 30000

/** An item that runs at a server. */
typedef struct item {
	STAILQ_ENTRY(item) link;
	size_t worker;
	uint64_t number;
	jj_ms_t due_ms;
} item_t;

/** An open platform call. */
typedef struct call {
	STAILQ_ENTRY(call) link;
	size_t worker;
	jj_ms_t due_ms;
	jj_platform_call_t call;
} call_t;

typedef struct {
	jj_ms_t now;
	size_t worker_count;
	jj_batch_t *workers[WORKERS_MAX];
	store_t *store;
	STAILQ_HEAD(, item) items;
	STAILQ_HEAD(, call) calls;
	uint32_t max_running; /**< maximum of running items per worker */
	bool items_end; /**< running items end; false: they run forever */
	uint64_t reads;
	uint64_t writes;
	uint64_t read_bytes;
	uint64_t write_bytes;
	uint64_t ended;
	int64_t cpu_ns;
} bench_t;

static void measure_jobs(fit_t[], uint32_t);
static void measure_parts(fit_t *, uint32_t);
static void measure_items(fit_t *, uint32_t);
static void measure_chunks(fit_t[], uint32_t);
static void measure_workers(fit_t[], uint32_t);
static bench_t *create_bench(size_t);
static void destroy_bench(bench_t *);
static void reset_counts(bench_t *);
static void put_job(bench_t *, uint32_t, uint32_t, uint32_t);
static void put_entry(bench_t *, const char *);
static void put_part(bench_t *, const char *, uint32_t, uint32_t);
static void run_bench(bench_t *, jj_ms_t);
static void set_capacity(bench_t *, size_t);
static void end_items(bench_t *);
static void answer_calls(bench_t *);
static void answer_call(bench_t *, const call_t *);
static bool is_write_call(const jj_platform_call_t *);
static void add_call(bench_t *, size_t, jj_platform_call_t *);
static void add_item(bench_t *, size_t, uint64_t);
static void notify_change(bench_t *, const char *);
static void carry_out(bench_t *, size_t, jj_actions_t *);
static size_t free_worker(bench_t *);
static bool is_idempotent(void *, const char *);
static void print_fits(const fit_t *, size_t, fit_bounds_t *);

void
slopes_of_batch(fit_bounds_t *bounds)
{
	static const uint32_t jobs[] = {250, 500, 1000, 2000};
	static const uint32_t parts[] = {100, 200, 400, 780};
	static const uint32_t items[] = {100, 200, 300, 500};
	static const uint32_t chunks[] = {8, 16, 32, 64};
	static const uint32_t workers[] = {1, 2, 4, 8};
	fit_t by_job[] = {
	    {.name = "job_state_bytes", .unit = "B", .counted = true},
	    {.name = "job_learn_reads", .unit = "reads", .counted = true},
	    {.name = "job_calm_reads", .unit = "reads/s", .counted = true},
	    {.name = "job_calm_read_bytes", .unit = "B/s", .counted = true},
	    {.name = "job_calm_cpu", .unit = "us/s"},
	};
	fit_t by_part = {
	    .name = "chunk_state_bytes", .unit = "B", .counted = true};
	fit_t by_item = {
	    .name = "item_held_state_bytes", .unit = "B", .counted = true};
	fit_t by_chunk[] = {
	    {.name = "chunk_writes", .unit = "writes", .counted = true},
	    {.name = "chunk_reads", .unit = "reads", .counted = true},
	    {.name = "chunk_write_bytes", .unit = "B", .counted = true},
	    {.name = "chunk_cpu", .unit = "us"},
	};
	fit_t by_worker[] = {
	    {.name = "worker_job_writes", .unit = "writes", .counted = true},
	    {.name = "worker_job_reads", .unit = "reads", .counted = true},
	};
	size_t i;

	for (i = 0; i < 4; i++) {
		measure_jobs(by_job, jobs[i]);
		measure_parts(&by_part, parts[i]);
		measure_items(&by_item, items[i]);
		measure_chunks(by_chunk, chunks[i]);
		measure_workers(by_worker, workers[i]);
	}
	print_fits(by_job, sizeof(by_job) / sizeof(by_job[0]), bounds);
	fit_print(&by_part, bounds);
	fit_print(&by_item, bounds);
	print_fits(by_chunk, sizeof(by_chunk) / sizeof(by_chunk[0]), bounds);
	print_fits(by_worker, sizeof(by_worker) / sizeof(by_worker[0]), bounds);
}

/** Jobs of four chunks, while the worker has no capacity for items. */
static void
measure_jobs(fit_t fits[], uint32_t jobs)
{
	bench_t *bench = create_bench(1);
	const jj_ms_t idle_ms = 4 * RELIST_MS;
	uint32_t i;

	for (i = 0; i < jobs; i++)
		put_job(bench, i, 4, 10);
	run_bench(bench, 2 * RELIST_MS);
	fit_add(&fits[1], jobs, (double)bench->reads);
	reset_counts(bench);
	run_bench(bench, idle_ms);
	fit_add(&fits[2], jobs, (double)bench->reads * 1e3 / idle_ms);
	fit_add(&fits[3], jobs, (double)bench->read_bytes * 1e3 / idle_ms);
	fit_add(&fits[4], jobs, (double)bench->cpu_ns / idle_ms);
	fit_add(&fits[0], jobs, (double)free_worker(bench));
	destroy_bench(bench);
}

/** One job of many chunks. */
static void
measure_parts(fit_t *fit, uint32_t parts)
{
	bench_t *bench = create_bench(1);

	put_job(bench, 0, parts, 1);
	run_bench(bench, 2 * RELIST_MS);
	fit_add(fit, parts, (double)free_worker(bench));
	destroy_bench(bench);
}

/** One chunk that stays held, as its first item does not end. */
static void
measure_items(fit_t *fit, uint32_t items)
{
	bench_t *bench = create_bench(1);

	bench->items_end = false;
	bench->max_running = 1;
	put_job(bench, 0, 1, items);
	run_bench(bench, 4000);
	JJ_INVARIANT(jj_batch_counts(bench->workers[0]).chunks_held == 1);
	fit_add(fit, items, (double)free_worker(bench));
	destroy_bench(bench);
}

/** A job's chunks of 100 items each, from the claim to the output object. */
static void
measure_chunks(fit_t fits[], uint32_t chunks)
{
	bench_t *bench = create_bench(1);
	uint32_t rounds = 0;

	bench->max_running = 40;
	put_job(bench, 0, chunks, 100);
	while (jj_batch_counts(bench->workers[0]).published < chunks &&
	    rounds++ < ROUNDS_MAX)
		run_bench(bench, 100);
	run_bench(bench, 500);
	JJ_INVARIANT(jj_batch_counts(bench->workers[0]).published == chunks);
	fit_add(&fits[0], chunks, (double)bench->writes);
	fit_add(&fits[1], chunks, (double)bench->reads);
	fit_add(&fits[2], chunks, (double)bench->write_bytes);
	fit_add(&fits[3], chunks, (double)bench->cpu_ns / 1e3);
	destroy_bench(bench);
}

/** Platform calls per small job, by the number of competing workers. */
static void
measure_workers(fit_t fits[], uint32_t workers)
{
	static const uint32_t jobs = 100;
	bench_t *bench = create_bench(workers);
	uint32_t rounds = 0;
	uint32_t i;

	bench->max_running = 16;
	run_bench(bench, 1000);
	reset_counts(bench);
	/* Jobs arrive at two per second. */
	for (i = 0; i < jobs; i++) {
		put_job(bench, i, 1, 20);
		run_bench(bench, 500);
	}
	while (bench->ended < jobs * 20 && rounds++ < ROUNDS_MAX)
		run_bench(bench, 100);
	run_bench(bench, 1000);
	fit_add(&fits[0], workers, (double)bench->writes / jobs);
	fit_add(&fits[1], workers, (double)bench->reads / jobs);
	destroy_bench(bench);
}

static bench_t *
create_bench(size_t workers)
{
	bench_t *bench = jj_alloc(sizeof(*bench));
	jj_batch_settings_t settings = {
	    .lease_ms = LEASE_MS,
	    .margin_ms = 3000,
	    .checkpoint_ms = 5000,
	    .chunks = 4,
	    .item_attempts = 4,
	    .item_retry_ms = 500,
	    .relist_ms = RELIST_MS,
	    .retry_ms = 200,
	    .checkpoint_bytes = 600000,
	};
	size_t i;

	bench->now = 1000;
	bench->worker_count = workers;
	bench->items_end = true;
	bench->store = store_create();
	STAILQ_INIT(&bench->items);
	STAILQ_INIT(&bench->calls);
	for (i = 0; i < workers; i++) {
		(void)snprintf(settings.name.text, sizeof(settings.name.text),
		    "entry-vm-%02zu", i);
		jj_core_write_writer(&settings.name, 1000 + i, settings.writer,
		    sizeof(settings.writer));
		settings.seed = i;
		bench->workers[i] = jj_batch_create(&settings);
		jj_batch_set_idempotent(bench->workers[i], is_idempotent, NULL);
	}
	return bench;
}

static void
destroy_bench(bench_t *bench)
{
	call_t *call;
	item_t *item;
	size_t i;

	while ((call = STAILQ_FIRST(&bench->calls)) != NULL) {
		STAILQ_REMOVE_HEAD(&bench->calls, link);
		jj_platform_call_clear(&call->call);
		free(call);
	}
	while ((item = STAILQ_FIRST(&bench->items)) != NULL) {
		STAILQ_REMOVE_HEAD(&bench->items, link);
		free(item);
	}
	for (i = 0; i < bench->worker_count; i++)
		jj_batch_destroy(bench->workers[i]);
	store_destroy(bench->store);
	free(bench);
}

static void
reset_counts(bench_t *bench)
{
	bench->reads = 0;
	bench->writes = 0;
	bench->read_bytes = 0;
	bench->write_bytes = 0;
	bench->cpu_ns = 0;
}

static void
put_job(bench_t *bench, uint32_t number, uint32_t parts, uint32_t items)
{
	char key[JJ_OBJECT_KEY_MAX + 1];
	jj_job_t job = {.due_after_ms = 86400000, .part_count = parts};
	jj_bytes_t value;
	uint32_t i;

	(void)snprintf(job.id, sizeof(job.id), "%024x", number + 1);
	(void)snprintf(
	    job.input_file, sizeof(job.input_file), "%024x", number + 1);
	(void)snprintf(job.operation, sizeof(job.operation), "%016x", number);
	(void)jj_name_set(&job.team, "team-00001");
	job.items = parts * items;
	job.state = JJ_JOB_RUNNING;
	job.part_items = jj_alloc(parts * sizeof(*job.part_items));
	for (i = 0; i < parts; i++) {
		job.part_items[i] = items;
		put_part(bench, job.input_file, i, items);
	}
	put_entry(bench, job.id);
	value = jj_job_encode(&job, "entry-vm-00/0");
	(void)snprintf(key, sizeof(key), "jobs/%s/job", job.id);
	store_put(bench->store, key, &value);
	notify_change(bench, key);
	jj_bytes_free(&value);
	jj_job_clear(&job);
}

/** Adds the job to the index of jobs that have not ended. */
static void
put_entry(bench_t *bench, const char *id)
{
	char key[JJ_OBJECT_KEY_MAX + 1];
	char text[JJ_OBJECT_KEY_MAX + 1];
	jj_bytes_t value = {text, 0};

	(void)snprintf(key, sizeof(key), "active/%s", id);
	(void)snprintf(text, sizeof(text),
	    "{\"job\":\"%s\",\"writer\":\"entry-vm-00/0\","
	    "\"operation\":\"0000000000000001\"}",
	    id);
	value.size = strlen(text);
	store_put(bench->store, key, &value);
}

static void
put_part(bench_t *bench, const char *file, uint32_t part, uint32_t items)
{
	char key[JJ_OBJECT_KEY_MAX + 1];
	char prompt[PROMPT_BYTES + 1];
	char line[PROMPT_BYTES + 256];
	json_t *lines = json_array();
	json_t *object;
	jj_bytes_t value;
	uint32_t i;

	memset(prompt, 'x', PROMPT_BYTES);
	prompt[PROMPT_BYTES] = '\0';
	for (i = 0; i < items; i++) {
		(void)snprintf(line, sizeof(line),
		    "{\"custom_id\":\"item-%u-%u\",\"method\":\"POST\","
		    "\"url\":\"/v1/completions\",\"body\":{\"model\":"
		    "\"service-00\",\"prompt\":\"%s\",\"max_tokens\":24}}",
		    part, i, prompt);
		json_array_append_new(lines, json_string(line));
	}
	object = json_pack("{s:o}", "items", lines);
	value.data = json_dumps(object, JSON_COMPACT);
	value.size = strlen(value.data);
	(void)snprintf(key, sizeof(key), "files/%s/part/%06u", file, part);
	store_put(bench->store, key, &value);
	json_decref(object);
	jj_bytes_free(&value);
}

static void
run_bench(bench_t *bench, jj_ms_t ms)
{
	jj_actions_t actions = TAILQ_HEAD_INITIALIZER(actions);
	jj_ms_t end = bench->now + ms;
	int64_t begin_ns;
	size_t i;

	while (bench->now < end) {
		answer_calls(bench);
		end_items(bench);
		for (i = 0; i < bench->worker_count; i++) {
			set_capacity(bench, i);
			if (jj_batch_next(bench->workers[i]) > bench->now)
				continue;
			begin_ns = world_cpu_ns();
			jj_batch_tick(bench->workers[i], bench->now, &actions);
			bench->cpu_ns += world_cpu_ns() - begin_ns;
			carry_out(bench, i, &actions);
		}
		bench->now += STEP_MS;
	}
}

static void
set_capacity(bench_t *bench, size_t worker)
{
	uint32_t running =
	    jj_batch_counts(bench->workers[worker]).items_running;

	jj_batch_set_free_capacity(bench->workers[worker],
	    running < bench->max_running ? bench->max_running - running : 0);
}

static void
end_items(bench_t *bench)
{
	jj_actions_t actions = TAILQ_HEAD_INITIALIZER(actions);
	char text[ANSWER_BYTES + 1];
	jj_bytes_t body = {text, ANSWER_BYTES};
	int64_t begin_ns;
	item_t *item;

	(void)snprintf(text, sizeof(text),
	    "{\"choices\":[{\"index\":0,\"text\":\"%0*d\"}]}",
	    ANSWER_BYTES - 39, 0);
	body.size = strlen(text);
	while ((item = STAILQ_FIRST(&bench->items)) != NULL &&
	    item->due_ms <= bench->now && bench->items_end) {
		STAILQ_REMOVE_HEAD(&bench->items, link);
		begin_ns = world_cpu_ns();
		jj_batch_end_item(bench->workers[item->worker], item->number,
		    JJ_ITEM_DONE, 200, &body, bench->now, &actions);
		bench->cpu_ns += world_cpu_ns() - begin_ns;
		bench->ended++;
		carry_out(bench, item->worker, &actions);
		free(item);
	}
}

/** Each call is answered one step after it was made. */
static void
answer_calls(bench_t *bench)
{
	call_t *call;

	while ((call = STAILQ_FIRST(&bench->calls)) != NULL &&
	    call->due_ms <= bench->now) {
		STAILQ_REMOVE_HEAD(&bench->calls, link);
		answer_call(bench, call);
		jj_platform_call_clear(&call->call);
		free(call);
	}
}

static void
answer_call(bench_t *bench, const call_t *call)
{
	jj_actions_t actions = TAILQ_HEAD_INITIALIZER(actions);
	jj_platform_result_t result;
	int64_t begin_ns;
	bool is_write = is_write_call(&call->call);

	(void)store_answer(bench->store, &call->call, true, &result);
	bench->read_bytes += result.value.size + result.item_count * ITEM_BYTES;
	begin_ns = world_cpu_ns();
	jj_batch_take_result(
	    bench->workers[call->worker], &result, bench->now, &actions);
	bench->cpu_ns += world_cpu_ns() - begin_ns;
	carry_out(bench, call->worker, &actions);
	if (is_write && result.outcome == JJ_PLATFORM_OK)
		notify_change(bench, call->call.key);
	jj_platform_result_clear(&result);
}

/** Notifies all workers of a change, as the domains' watch relays do. */
static void
notify_change(bench_t *bench, const char *key)
{
	jj_actions_t actions = TAILQ_HEAD_INITIALIZER(actions);
	int64_t begin_ns;
	size_t i;

	if (strncmp(key, "jobs/", 5) != 0)
		return;
	for (i = 0; i < bench->worker_count; i++) {
		begin_ns = world_cpu_ns();
		jj_batch_take_change(bench->workers[i], key,
		    store_revision(bench->store), bench->now, &actions);
		bench->cpu_ns += world_cpu_ns() - begin_ns;
		carry_out(bench, i, &actions);
	}
}

static void
carry_out(bench_t *bench, size_t worker, jj_actions_t *actions)
{
	jj_action_t *action;

	while ((action = TAILQ_FIRST(actions)) != NULL) {
		TAILQ_REMOVE(actions, action, link);
		if (action->kind == JJ_ACTION_ITEM_READY)
			add_item(bench, worker, action->body.item.item);
		else if (action->kind == JJ_ACTION_PLATFORM)
			add_call(bench, worker, &action->body.platform);
		jj_action_free(action);
	}
}

static void
add_item(bench_t *bench, size_t worker, uint64_t number)
{
	item_t *item = jj_alloc(sizeof(*item));

	item->worker = worker;
	item->number = number;
	item->due_ms = bench->now + ITEM_MS;
	STAILQ_INSERT_TAIL(&bench->items, item, link);
}

/** Takes over the call's value. */
static void
add_call(bench_t *bench, size_t worker, jj_platform_call_t *made)
{
	call_t *call = jj_alloc(sizeof(*call));

	call->worker = worker;
	call->due_ms = bench->now + STEP_MS;
	call->call = *made;
	made->value = (jj_bytes_t){NULL, 0};
	if (is_write_call(&call->call))
		bench->writes++;
	else
		bench->reads++;
	bench->write_bytes += call->call.value.size;
	STAILQ_INSERT_TAIL(&bench->calls, call, link);
}

static bool
is_write_call(const jj_platform_call_t *call)
{
	return call->op == JJ_PLATFORM_CREATE ||
	    call->op == JJ_PLATFORM_UPDATE || call->op == JJ_PLATFORM_DELETE;
}

/** Destroys the first worker; returns the heap bytes that this frees. */
static size_t
free_worker(bench_t *bench)
{
	size_t before = world_heap_bytes();

	jj_batch_destroy(bench->workers[0]);
	bench->workers[0] = NULL;
	return before - world_heap_bytes();
}

static bool
is_idempotent(void *ctx, const char *service)
{
	(void)ctx;
	(void)service;
	return true;
}

static void
print_fits(const fit_t *fits, size_t count, fit_bounds_t *bounds)
{
	size_t i;

	for (i = 0; i < count; i++)
		fit_print(&fits[i], bounds);
}
