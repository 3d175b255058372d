/**
 * @file batch_slopes.c
 * @brief What batch costs a worker and the platform: jobs, chunks, items.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "core/batch.h"
#include "slopes.h"
#include "world.h"

#define WORKERS_MAX 8
/** One step of the world, ms. */
#define STEP_MS 5
/** Most rounds of 100 ms until all is done. */
#define ROUNDS_MOST 20000
/** How long a server takes for an item, ms. */
#define ITEM_MS 100
/** Bytes of an item's prompt, and of its answer. */
#define PROMPT_BYTES 800
#define ANSWER_BYTES 1200
/** Bytes of one item of a list at the platform. */
#define ITEM_BYTES 80
/** Settings' defaults, as in settings.c. */
#define LEASE_MS 15000
#define RELIST_MS 30000

/** An item at a server. */
typedef struct item {
	STAILQ_ENTRY(item) link;
	size_t worker;
	uint64_t number;
	jj_ms_t due_ms;
} item_t;

/** A platform call under way. */
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
	uint32_t room; /**< items of a worker at servers at once */
	bool serves; /**< items end */
	uint64_t reads;
	uint64_t writes;
	uint64_t read_bytes;
	uint64_t write_bytes;
	uint64_t ended;
	int64_t cpu_ns;
} farm_t;

static void measure_jobs(fit_t[], uint32_t);
static void measure_parts(fit_t *, uint32_t);
static void measure_items(fit_t *, uint32_t);
static void measure_chunks(fit_t[], uint32_t);
static void measure_workers(fit_t[], uint32_t);
static farm_t *create_farm(size_t);
static void destroy_farm(farm_t *);
static void reset_counts(farm_t *);
static void put_job(farm_t *, uint32_t, uint32_t, uint32_t);
static void put_entry(farm_t *, const char *);
static void put_part(farm_t *, const char *, uint32_t, uint32_t);
static void run_farm(farm_t *, jj_ms_t);
static void set_room(farm_t *, size_t);
static void end_items(farm_t *);
static void answer_calls(farm_t *);
static void answer_call(farm_t *, const call_t *);
static bool is_write_call(const jj_platform_call_t *);
static void add_call(farm_t *, size_t, jj_platform_call_t *);
static void add_item(farm_t *, size_t, uint64_t);
static void tell_change(farm_t *, const char *);
static void carry_out(farm_t *, size_t, jj_actions_t *);
static size_t weigh_worker(farm_t *);
static bool is_idempotent(void *, const char *);
static void print_all(const fit_t *, size_t, fit_bounds_t *);

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
	print_all(by_job, sizeof(by_job) / sizeof(by_job[0]), bounds);
	fit_print(&by_part, bounds);
	fit_print(&by_item, bounds);
	print_all(by_chunk, sizeof(by_chunk) / sizeof(by_chunk[0]), bounds);
	print_all(by_worker, sizeof(by_worker) / sizeof(by_worker[0]), bounds);
}

/** Jobs of four chunks that this worker has no room for. */
static void
measure_jobs(fit_t fits[], uint32_t jobs)
{
	farm_t *farm = create_farm(1);
	const jj_ms_t calm_ms = 4 * RELIST_MS;
	uint32_t i;

	for (i = 0; i < jobs; i++)
		put_job(farm, i, 4, 10);
	run_farm(farm, 2 * RELIST_MS);
	fit_add(&fits[1], jobs, (double)farm->reads);
	reset_counts(farm);
	run_farm(farm, calm_ms);
	fit_add(&fits[2], jobs, (double)farm->reads * 1e3 / calm_ms);
	fit_add(&fits[3], jobs, (double)farm->read_bytes * 1e3 / calm_ms);
	fit_add(&fits[4], jobs, (double)farm->cpu_ns / calm_ms);
	fit_add(&fits[0], jobs, (double)weigh_worker(farm));
	destroy_farm(farm);
}

/** One job of many chunks. */
static void
measure_parts(fit_t *fit, uint32_t parts)
{
	farm_t *farm = create_farm(1);

	put_job(farm, 0, parts, 1);
	run_farm(farm, 2 * RELIST_MS);
	fit_add(fit, parts, (double)weigh_worker(farm));
	destroy_farm(farm);
}

/** One chunk that is held while its first item runs. */
static void
measure_items(fit_t *fit, uint32_t items)
{
	farm_t *farm = create_farm(1);

	farm->serves = false;
	farm->room = 1;
	put_job(farm, 0, 1, items);
	run_farm(farm, 4000);
	JJ_INVARIANT(jj_batch_counts(farm->workers[0]).chunks_held == 1);
	fit_add(fit, items, (double)weigh_worker(farm));
	destroy_farm(farm);
}

/** A job's chunks of 100 items each, from claim to out object. */
static void
measure_chunks(fit_t fits[], uint32_t chunks)
{
	farm_t *farm = create_farm(1);
	uint32_t rounds = 0;

	farm->room = 40;
	put_job(farm, 0, chunks, 100);
	while (jj_batch_counts(farm->workers[0]).published < chunks &&
	    rounds++ < ROUNDS_MOST)
		run_farm(farm, 100);
	run_farm(farm, 500);
	JJ_INVARIANT(jj_batch_counts(farm->workers[0]).published == chunks);
	fit_add(&fits[0], chunks, (double)farm->writes);
	fit_add(&fits[1], chunks, (double)farm->reads);
	fit_add(&fits[2], chunks, (double)farm->write_bytes);
	fit_add(&fits[3], chunks, (double)farm->cpu_ns / 1e3);
	destroy_farm(farm);
}

/** Small jobs before several workers: calls at the platform for each job. */
static void
measure_workers(fit_t fits[], uint32_t workers)
{
	static const uint32_t jobs = 100;
	farm_t *farm = create_farm(workers);
	uint32_t rounds = 0;
	uint32_t i;

	farm->room = 16;
	run_farm(farm, 1000);
	reset_counts(farm);
	/* As they come in, two each second. */
	for (i = 0; i < jobs; i++) {
		put_job(farm, i, 1, 20);
		run_farm(farm, 500);
	}
	while (farm->ended < jobs * 20 && rounds++ < ROUNDS_MOST)
		run_farm(farm, 100);
	run_farm(farm, 1000);
	fit_add(&fits[0], workers, (double)farm->writes / jobs);
	fit_add(&fits[1], workers, (double)farm->reads / jobs);
	destroy_farm(farm);
}

static farm_t *
create_farm(size_t workers)
{
	farm_t *farm = jj_alloc(sizeof(*farm));
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

	farm->now = 1000;
	farm->worker_count = workers;
	farm->serves = true;
	farm->store = store_create();
	STAILQ_INIT(&farm->items);
	STAILQ_INIT(&farm->calls);
	for (i = 0; i < workers; i++) {
		(void)snprintf(settings.name.text, sizeof(settings.name.text),
		    "entry-vm-%02zu", i);
		jj_core_write_writer(&settings.name, 1000 + i, settings.writer,
		    sizeof(settings.writer));
		settings.seed = i;
		farm->workers[i] = jj_batch_create(&settings);
		jj_batch_set_idempotent(farm->workers[i], is_idempotent, NULL);
	}
	return farm;
}

static void
destroy_farm(farm_t *farm)
{
	call_t *call;
	item_t *item;
	size_t i;

	while ((call = STAILQ_FIRST(&farm->calls)) != NULL) {
		STAILQ_REMOVE_HEAD(&farm->calls, link);
		jj_platform_call_clear(&call->call);
		free(call);
	}
	while ((item = STAILQ_FIRST(&farm->items)) != NULL) {
		STAILQ_REMOVE_HEAD(&farm->items, link);
		free(item);
	}
	for (i = 0; i < farm->worker_count; i++)
		jj_batch_destroy(farm->workers[i]);
	store_destroy(farm->store);
	free(farm);
}

static void
reset_counts(farm_t *farm)
{
	farm->reads = 0;
	farm->writes = 0;
	farm->read_bytes = 0;
	farm->write_bytes = 0;
	farm->cpu_ns = 0;
}

static void
put_job(farm_t *farm, uint32_t number, uint32_t parts, uint32_t items)
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
		put_part(farm, job.input_file, i, items);
	}
	put_entry(farm, job.id);
	value = jj_job_encode(&job, "entry-vm-00/0");
	(void)snprintf(key, sizeof(key), "jobs/%s/job", job.id);
	store_put(farm->store, key, &value);
	tell_change(farm, key);
	jj_bytes_free(&value);
	jj_job_clear(&job);
}

/** The job's entry in the index of those that have not ended. */
static void
put_entry(farm_t *farm, const char *id)
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
	store_put(farm->store, key, &value);
}

static void
put_part(farm_t *farm, const char *file, uint32_t part, uint32_t items)
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
	store_put(farm->store, key, &value);
	json_decref(object);
	jj_bytes_free(&value);
}

static void
run_farm(farm_t *farm, jj_ms_t ms)
{
	jj_actions_t actions = TAILQ_HEAD_INITIALIZER(actions);
	jj_ms_t end = farm->now + ms;
	int64_t begin_ns;
	size_t i;

	while (farm->now < end) {
		answer_calls(farm);
		end_items(farm);
		for (i = 0; i < farm->worker_count; i++) {
			set_room(farm, i);
			if (jj_batch_next(farm->workers[i]) > farm->now)
				continue;
			begin_ns = world_cpu_ns();
			jj_batch_tick(farm->workers[i], farm->now, &actions);
			farm->cpu_ns += world_cpu_ns() - begin_ns;
			carry_out(farm, i, &actions);
		}
		farm->now += STEP_MS;
	}
}

static void
set_room(farm_t *farm, size_t worker)
{
	uint32_t running = jj_batch_counts(farm->workers[worker]).items_running;

	jj_batch_set_room(farm->workers[worker],
	    running < farm->room ? farm->room - running : 0);
}

static void
end_items(farm_t *farm)
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
	while ((item = STAILQ_FIRST(&farm->items)) != NULL &&
	    item->due_ms <= farm->now && farm->serves) {
		STAILQ_REMOVE_HEAD(&farm->items, link);
		begin_ns = world_cpu_ns();
		jj_batch_end_item(farm->workers[item->worker], item->number,
		    JJ_ITEM_DONE, 200, &body, farm->now, &actions);
		farm->cpu_ns += world_cpu_ns() - begin_ns;
		farm->ended++;
		carry_out(farm, item->worker, &actions);
		free(item);
	}
}

/** Each call is answered a step after it was made. */
static void
answer_calls(farm_t *farm)
{
	call_t *call;

	while ((call = STAILQ_FIRST(&farm->calls)) != NULL &&
	    call->due_ms <= farm->now) {
		STAILQ_REMOVE_HEAD(&farm->calls, link);
		answer_call(farm, call);
		jj_platform_call_clear(&call->call);
		free(call);
	}
}

static void
answer_call(farm_t *farm, const call_t *call)
{
	jj_actions_t actions = TAILQ_HEAD_INITIALIZER(actions);
	jj_platform_result_t result;
	int64_t begin_ns;
	bool is_write = is_write_call(&call->call);

	(void)store_answer(farm->store, &call->call, true, &result);
	farm->read_bytes += result.value.size + result.item_count * ITEM_BYTES;
	begin_ns = world_cpu_ns();
	jj_batch_take_result(
	    farm->workers[call->worker], &result, farm->now, &actions);
	farm->cpu_ns += world_cpu_ns() - begin_ns;
	carry_out(farm, call->worker, &actions);
	if (is_write && result.outcome == JJ_PLATFORM_OK)
		tell_change(farm, call->call.key);
	jj_platform_result_clear(&result);
}

/** The domains' watch relays bring each change to each worker. */
static void
tell_change(farm_t *farm, const char *key)
{
	jj_actions_t actions = TAILQ_HEAD_INITIALIZER(actions);
	int64_t begin_ns;
	size_t i;

	if (strncmp(key, "jobs/", 5) != 0)
		return;
	for (i = 0; i < farm->worker_count; i++) {
		begin_ns = world_cpu_ns();
		jj_batch_take_change(farm->workers[i], key,
		    store_revision(farm->store), farm->now, &actions);
		farm->cpu_ns += world_cpu_ns() - begin_ns;
		carry_out(farm, i, &actions);
	}
}

static void
carry_out(farm_t *farm, size_t worker, jj_actions_t *actions)
{
	jj_action_t *action;

	while ((action = TAILQ_FIRST(actions)) != NULL) {
		TAILQ_REMOVE(actions, action, link);
		if (action->kind == JJ_ACTION_ITEM_READY)
			add_item(farm, worker, action->body.item.item);
		else if (action->kind == JJ_ACTION_PLATFORM)
			add_call(farm, worker, &action->body.platform);
		jj_action_free(action);
	}
}

static void
add_item(farm_t *farm, size_t worker, uint64_t number)
{
	item_t *item = jj_alloc(sizeof(*item));

	item->worker = worker;
	item->number = number;
	item->due_ms = farm->now + ITEM_MS;
	STAILQ_INSERT_TAIL(&farm->items, item, link);
}

/** The call's value moves over. */
static void
add_call(farm_t *farm, size_t worker, jj_platform_call_t *made)
{
	call_t *call = jj_alloc(sizeof(*call));

	call->worker = worker;
	call->due_ms = farm->now + STEP_MS;
	call->call = *made;
	made->value = (jj_bytes_t){NULL, 0};
	if (is_write_call(&call->call))
		farm->writes++;
	else
		farm->reads++;
	farm->write_bytes += call->call.value.size;
	STAILQ_INSERT_TAIL(&farm->calls, call, link);
}

static bool
is_write_call(const jj_platform_call_t *call)
{
	return call->op == JJ_PLATFORM_CREATE ||
	    call->op == JJ_PLATFORM_UPDATE || call->op == JJ_PLATFORM_DELETE;
}

/** What the heap gives back when the first worker is gone. */
static size_t
weigh_worker(farm_t *farm)
{
	size_t before = world_heap();

	jj_batch_destroy(farm->workers[0]);
	farm->workers[0] = NULL;
	return before - world_heap();
}

static bool
is_idempotent(void *ctx, const char *service)
{
	(void)ctx;
	(void)service;
	return true;
}

static void
print_all(const fit_t *fits, size_t count, fit_bounds_t *bounds)
{
	size_t i;

	for (i = 0; i < count; i++)
		fit_print(&fits[i], bounds);
}
