/**
 * @file load.c
 * @brief Sends requests at a rate or at a concurrency and times the answers.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>

#include "load.h"

/** Buffer sizes of a prompt and of a request's body, bytes. */
#define PROMPT_SIZE 64
#define BODY_SIZE 256
/** Interval between samples of the entry VM's memory, microseconds. */
#define SAMPLE_US 100000
/** Delay before full load is measured, microseconds after all requests that
 * the plan allows were first open: connections are established by then. */
#define SETTLE_US 1000000
/** Timeout of a request, seconds. */
#define REQUEST_TIMEOUT_S 60L

typedef struct run run_t;

/** An open request; its handle is reused for the next one. */
typedef struct exchange {
	struct exchange *next_free;
	run_t *run;
	CURL *curl;
	uint32_t target;
	int64_t due_us;
	int64_t first_us; /**< time of the first byte; 0: none yet */
	char prompt[PROMPT_SIZE];
	char body[BODY_SIZE];
	jj_bytes_t answer;
	size_t capacity;
} exchange_t;

struct run {
	const load_plan_t *plan;
	load_result_t *result;
	CURLM *multi;
	struct curl_slist *headers;
	exchange_t *exchanges;
	exchange_t *free;
	uint32_t started;
	uint32_t ended;
	uint32_t open;
	uint64_t newlines; /**< received; two per server-sent event */
	int64_t begin_us;
	int64_t next_sample_us;
	int64_t filled_us; /**< first time at full load; 0: not yet */
	usage_t full_before;
	uint64_t full_newlines;
	int64_t full_begin_us; /**< start of measurement; 0: not started */
};

static bool prepare(run_t *);
static void run_requests(run_t *);
static bool is_due(const run_t *, int64_t);
static int64_t due_time(const run_t *, uint32_t);
static void start(run_t *);
static void set_options(exchange_t *, const load_target_t *);
static size_t take_bytes(char *, size_t, size_t, void *);
static void finish_all(run_t *);
static void finish(run_t *, exchange_t *, CURLcode);
static void sample_usage(run_t *);
static void sample_full_load(run_t *, int64_t);
static void wait_for_more(run_t *);
static void clean_up(run_t *);
static int compare(const void *, const void *);

bool
load_run(const load_plan_t *plan, load_result_t *result)
{
	run_t run = {.plan = plan, .result = result};
	uint32_t i;

	memset(result, 0, sizeof(*result));
	for (i = 0; i < plan->target_count; i++) {
		result->outcomes[i].first_us =
		    jj_alloc(plan->count * sizeof(int64_t));
		result->outcomes[i].whole_us =
		    jj_alloc(plan->count * sizeof(int64_t));
	}
	if (!prepare(&run)) {
		clean_up(&run);
		return false;
	}
	result->before = usage_read(plan->pid);
	run.begin_us = usage_now_us();
	run_requests(&run);
	result->elapsed_us = usage_now_us() - run.begin_us;
	result->after = usage_read(plan->pid);
	clean_up(&run);
	for (i = 0; i < plan->target_count; i++) {
		load_outcome_t *outcome = &result->outcomes[i];

		qsort(outcome->first_us, outcome->answered, sizeof(int64_t),
		    compare);
		qsort(outcome->whole_us, outcome->answered, sizeof(int64_t),
		    compare);
	}
	return true;
}

void
load_clear(load_result_t *result)
{
	uint32_t i;

	for (i = 0; i < LOAD_TARGETS_MAX; i++) {
		free(result->outcomes[i].first_us);
		free(result->outcomes[i].whole_us);
	}
	memset(result, 0, sizeof(*result));
}

int64_t
load_quantile(const int64_t *sorted, uint32_t count, double share)
{
	uint32_t at = (uint32_t)(share * count);

	if (count == 0)
		return 0;
	return sorted[at < count ? at : count - 1];
}

static bool
prepare(run_t *run)
{
	uint32_t i;

	run->exchanges = jj_alloc(run->plan->open * sizeof(exchange_t));
	run->multi = curl_multi_init();
	run->headers =
	    curl_slist_append(NULL, "Content-Type: application/json");
	if (run->multi == NULL || run->headers == NULL)
		return false;
	(void)curl_multi_setopt(
	    run->multi, CURLMOPT_MAXCONNECTS, (long)run->plan->open * 2);
	for (i = 0; i < run->plan->open; i++) {
		exchange_t *exchange = &run->exchanges[i];

		exchange->run = run;
		exchange->curl = curl_easy_init();
		if (exchange->curl == NULL)
			return false;
		exchange->next_free = run->free;
		run->free = exchange;
	}
	return true;
}

static void
run_requests(run_t *run)
{
	uint32_t all = run->plan->count * run->plan->target_count;
	int running;

	while (run->ended < all) {
		while (run->started < all && run->free != NULL &&
		    is_due(run, usage_now_us()))
			start(run);
		(void)curl_multi_perform(run->multi, &running);
		finish_all(run);
		sample_usage(run);
		wait_for_more(run);
	}
}

static bool
is_due(const run_t *run, int64_t now_us)
{
	return now_us >= due_time(run, run->started);
}

/** Due time of a request by its number; requests alternate between targets. */
static int64_t
due_time(const run_t *run, uint32_t number)
{
	double rate = run->plan->rate * run->plan->target_count;

	if (run->plan->rate <= 0)
		return 0;
	return run->begin_us + (int64_t)(number * 1e6 / rate);
}

static void
start(run_t *run)
{
	const load_plan_t *plan = run->plan;
	exchange_t *exchange = run->free;

	run->free = exchange->next_free;
	exchange->target = run->started % plan->target_count;
	/* Latency counts from the due time, to include a delayed start. */
	exchange->due_us =
	    plan->rate > 0 ? due_time(run, run->started) : usage_now_us();
	exchange->first_us = 0;
	exchange->answer.size = 0;
	(void)snprintf(exchange->prompt, sizeof(exchange->prompt),
	    "request %u of %lld", run->started, (long long)run->begin_us);
	(void)snprintf(exchange->body, sizeof(exchange->body),
	    "{\"model\":\"%s\",\"prompt\":\"%s\",\"max_tokens\":%u,"
	    "\"stream\":%s}",
	    plan->model, exchange->prompt, plan->tokens,
	    plan->kind == ANSWER_STREAM ? "true" : "false");
	set_options(exchange, &plan->targets[exchange->target]);
	(void)curl_multi_add_handle(run->multi, exchange->curl);
	run->started++;
	run->open++;
	if (run->open > run->result->max_open)
		run->result->max_open = run->open;
}

static void
set_options(exchange_t *exchange, const load_target_t *target)
{
	CURL *curl = exchange->curl;

	curl_easy_reset(curl);
	(void)curl_easy_setopt(curl, CURLOPT_URL, target->url);
	(void)curl_easy_setopt(curl, CURLOPT_PROXY, "");
	(void)curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	(void)curl_easy_setopt(
	    curl, CURLOPT_HTTPHEADER, exchange->run->headers);
	(void)curl_easy_setopt(curl, CURLOPT_POSTFIELDS, exchange->body);
	(void)curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, take_bytes);
	(void)curl_easy_setopt(curl, CURLOPT_WRITEDATA, exchange);
	(void)curl_easy_setopt(curl, CURLOPT_PRIVATE, exchange);
	(void)curl_easy_setopt(curl, CURLOPT_TIMEOUT, REQUEST_TIMEOUT_S);
}

static size_t
take_bytes(char *data, size_t size, size_t count, void *ctx)
{
	exchange_t *exchange = ctx;
	size_t more = size * count;
	size_t need = exchange->answer.size + more + 1;
	const char *at;
	const char *end = data + more;

	if (exchange->first_us == 0)
		exchange->first_us = usage_now_us();
	if (need > exchange->capacity) {
		exchange->capacity = need * 2;
		exchange->answer.data =
		    jj_realloc(exchange->answer.data, exchange->capacity);
	}
	memcpy(exchange->answer.data + exchange->answer.size, data, more);
	exchange->answer.size += more;
	exchange->answer.data[exchange->answer.size] = '\0';
	for (at = data; at != NULL && at < end; at++) {
		at = memchr(at, '\n', (size_t)(end - at));
		if (at == NULL)
			break;
		exchange->run->newlines++;
	}
	return more;
}

static void
finish_all(run_t *run)
{
	exchange_t *exchange;
	CURLMsg *message;
	CURLcode code;
	int left;

	while ((message = curl_multi_info_read(run->multi, &left)) != NULL) {
		if (message->msg != CURLMSG_DONE)
			continue;
		code = message->data.result;
		(void)curl_easy_getinfo(
		    message->easy_handle, CURLINFO_PRIVATE, (char **)&exchange);
		(void)curl_multi_remove_handle(run->multi, exchange->curl);
		finish(run, exchange, code);
	}
}

static void
finish(run_t *run, exchange_t *exchange, CURLcode code)
{
	load_outcome_t *outcome = &run->result->outcomes[exchange->target];
	int64_t now_us = usage_now_us();
	long status = 0;

	(void)curl_easy_getinfo(
	    exchange->curl, CURLINFO_RESPONSE_CODE, &status);
	run->ended++;
	run->open--;
	exchange->next_free = run->free;
	run->free = exchange;
	if (code != CURLE_OK) {
		outcome->lost++;
		return;
	}
	if (status != 200) {
		outcome->refused++;
		return;
	}
	switch (answer_check(run->plan->kind, &exchange->answer,
	    exchange->prompt, run->plan->tokens)) {
	case ANSWER_CORRECT:
		outcome->first_us[outcome->answered] =
		    exchange->first_us - exchange->due_us;
		outcome->whole_us[outcome->answered++] =
		    now_us - exchange->due_us;
		outcome->tokens += run->plan->tokens;
		break;
	case ANSWER_TRUNCATED:
		outcome->lost++;
		break;
	case ANSWER_MIXED:
		outcome->mixed++;
		break;
	case ANSWER_MALFORMED:
		outcome->malformed++;
		break;
	}
}

static void
sample_usage(run_t *run)
{
	int64_t now_us = usage_now_us();
	usage_t usage;

	if (run->plan->pid == 0 || now_us < run->next_sample_us)
		return;
	run->next_sample_us = now_us + SAMPLE_US;
	usage = usage_read(run->plan->pid);
	if (usage.rss_kb > run->result->max_rss_kb)
		run->result->max_rss_kb = usage.rss_kb;
	sample_full_load(run, now_us);
}

/** Measures the time at full load, without its ramp-up and its end. */
static void
sample_full_load(run_t *run, int64_t now_us)
{
	load_result_t *result = run->result;
	bool is_full = run->open == run->plan->open;
	usage_t usage;

	if (run->filled_us == 0) {
		if (is_full)
			run->filled_us = now_us;
		return;
	}
	if (run->full_begin_us == 0) {
		if (!is_full || now_us - run->filled_us < SETTLE_US)
			return;
		run->full_begin_us = now_us;
		run->full_before = usage_read(run->plan->pid);
		run->full_newlines = run->newlines;
		return;
	}
	if (!is_full)
		return;
	usage = usage_read(run->plan->pid);
	result->full_us = now_us - run->full_begin_us;
	result->full_cpu_us = usage.cpu_us - run->full_before.cpu_us;
	/* A server-sent event is a line and an empty line. */
	result->full_tokens = (run->newlines - run->full_newlines) / 2;
}

/** Waits until bytes arrive or the next request is due, in whole ms. */
static void
wait_for_more(run_t *run)
{
	uint32_t all = run->plan->count * run->plan->target_count;
	int64_t wait_us = SAMPLE_US;

	if (run->started < all && run->free != NULL)
		wait_us = due_time(run, run->started) - usage_now_us();
	if (wait_us > SAMPLE_US)
		wait_us = SAMPLE_US;
	if (wait_us >= 1000)
		(void)curl_multi_poll(
		    run->multi, NULL, 0, (int)(wait_us / 1000), NULL);
}

static void
clean_up(run_t *run)
{
	uint32_t i;

	for (i = 0; run->exchanges != NULL && i < run->plan->open; i++) {
		if (run->exchanges[i].curl != NULL)
			curl_easy_cleanup(run->exchanges[i].curl);
		free(run->exchanges[i].answer.data);
	}
	free(run->exchanges);
	if (run->multi != NULL)
		(void)curl_multi_cleanup(run->multi);
	curl_slist_free_all(run->headers);
}

static int
compare(const void *a, const void *b)
{
	int64_t left = *(const int64_t *)a;
	int64_t right = *(const int64_t *)b;

	return (left > right) - (left < right);
}
