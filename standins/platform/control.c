/**
 * @file control.c
 * @brief The control port: faults, the VM list, counts and the journal.
 */
#include <stdio.h>
#include <string.h>

#include "routes.h"

#define REASON_SIZE 160

typedef struct {
	const char *method;
	const char *path;
	void (*run)(platform_t *, const web_request_t *, web_answer_t *);
} control_t;

static void run_fault(platform_t *, const web_request_t *, web_answer_t *);
static void run_vms(platform_t *, const web_request_t *, web_answer_t *);
static void run_counts(platform_t *, const web_request_t *, web_answer_t *);
static void run_reset(platform_t *, const web_request_t *, web_answer_t *);
static void run_log(platform_t *, const web_request_t *, web_answer_t *);
static void run_health(platform_t *, const web_request_t *, web_answer_t *);

static const control_t controls[] = {
    {"POST", "/control/fault", run_fault},
    {"POST", "/control/vms", run_vms},
    {"GET", "/control/counts", run_counts},
    {"POST", "/control/reset-counts", run_reset},
    {"GET", "/control/log", run_log},
    {"GET", "/control/health", run_health},
};

void
route_control(void *ctx, const web_request_t *request, web_answer_t *answer)
{
	const control_t *control;
	size_t i;

	for (i = 0; i < sizeof(controls) / sizeof(controls[0]); i++) {
		control = &controls[i];
		if (strcmp(control->method, request->method) != 0 ||
		    strcmp(control->path, request->path) != 0)
			continue;
		control->run(ctx, request, answer);
		return;
	}
	web_answer_problem(
	    answer, 404, "no-such-call", "unknown method or path");
}

static void
run_fault(
    platform_t *platform, const web_request_t *request, web_answer_t *answer)
{
	json_t *change = json_loads(request->body, 0, NULL);
	fault_actions_t actions;
	char reason[REASON_SIZE];
	bool valid;

	valid = fault_set(
	    platform->faults, change, &actions, reason, sizeof(reason));
	json_decref(change);
	if (!valid) {
		web_answer_problem(answer, 400, "bad-fault", reason);
		return;
	}
	if (actions.watch_gap)
		store_clear_history(platform->store);
	if (actions.watch_drop >= 0)
		store_drop_events(platform->store, actions.watch_drop);
	answer->status = 204;
}

static void
run_vms(
    platform_t *platform, const web_request_t *request, web_answer_t *answer)
{
	int64_t visible_ms = web_now_ms() + fault_vms_lag_ms(platform->faults);
	json_t *document = json_loads(request->body, 0, NULL);
	char reason[REASON_SIZE];
	bool valid;

	valid = vms_replace(
	    platform->vms, document, visible_ms, reason, sizeof(reason));
	json_decref(document);
	if (valid)
		answer->status = 204;
	else
		web_answer_problem(answer, 400, "bad-vms", reason);
}

static void
run_counts(
    platform_t *platform, const web_request_t *request, web_answer_t *answer)
{
	(void)request;
	web_answer_json(answer, 200, count_dump(platform->counts));
}

static void
run_reset(
    platform_t *platform, const web_request_t *request, web_answer_t *answer)
{
	(void)request;
	count_reset(platform->counts);
	answer->status = 204;
}

static void
run_log(
    platform_t *platform, const web_request_t *request, web_answer_t *answer)
{
	const char *prefix = web_query(request, "prefix");
	char number[24];
	uint64_t dropped;
	json_t *log;

	log = store_journal(
	    platform->store, prefix != NULL ? prefix : "", &dropped);
	snprintf(number, sizeof(number), "%llu", (unsigned long long)dropped);
	web_add_header(answer, "Jujube-Log-Dropped", number);
	web_answer_json(answer, 200, log);
}

static void
run_health(
    platform_t *platform, const web_request_t *request, web_answer_t *answer)
{
	(void)platform;
	(void)request;
	answer->status = 200;
	answer->body = strdup("ok");
	answer->body_size = 2;
}
