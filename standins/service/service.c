#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <xxhash.h>

#include "service.h"

#define CALL_PATH "/call/"
#define CRASH_MARK "<<crash>>"
/* Seconds after which a leaving service's caller may ask again. */
#define LEAVING_RETRY "1"
/* Between looks at whether a hung call's caller is still there. */
#define PROBE_MS 20

static void serve_call(service_t *, const web_request_t *, web_answer_t *);
static void wait_delay(const web_request_t *, int64_t);
static bool refuse(const faults_t *, web_answer_t *);
static after_run_t run(service_t *, const web_request_t *, uint64_t *);
static void print_run(const run_t *);
static void
answer_after(after_run_t, const web_request_t *, uint64_t, web_answer_t *);
static json_t *echo_json(const web_request_t *, uint64_t);
static void hang(const web_request_t *);
static void serve_fault(service_t *, const web_request_t *, web_answer_t *);

void
service_serve(void *ctx, const web_request_t *request, web_answer_t *answer)
{
	service_t *service = ctx;
	const char *name = web_header(request, "Jujube-Request");

	if (name != NULL)
		web_add_header(answer, "Jujube-Request", name);
	if (strcmp(request->path, "/health") == 0)
		web_answer_json(answer, 200,
		    json_pack(
			"{s:s,s:s}", "status", "ok", "boot", service->boot));
	else if (strncmp(request->path, CALL_PATH, strlen(CALL_PATH)) == 0)
		serve_call(service, request, answer);
	else
		web_answer_problem(answer, 404, "unknown", "no such call");
}

void
service_control(void *ctx, const web_request_t *request, web_answer_t *answer)
{
	service_t *service = ctx;
	json_t *body = NULL;

	if (strcmp(request->path, "/control/fault") == 0) {
		serve_fault(service, request, answer);
		return;
	}
	pthread_mutex_lock(&service->lock);
	if (strcmp(request->path, "/control/runs") == 0)
		body = runs_list(&service->runs);
	else if (strcmp(request->path, "/control/counts") == 0)
		body = runs_count(&service->runs);
	else if (strcmp(request->path, "/control/health") == 0)
		body = json_pack("{s:s}", "status", "ok");
	pthread_mutex_unlock(&service->lock);
	if (body != NULL)
		web_answer_json(answer, 200, body);
	else
		web_answer_problem(answer, 404, "unknown", "no such call");
}

static void
serve_call(
    service_t *service, const web_request_t *request, web_answer_t *answer)
{
	after_run_t after;
	uint64_t number;
	int64_t delay_ms;
	bool refused;

	pthread_mutex_lock(&service->lock);
	refused = refuse(&service->faults, answer);
	delay_ms = service->faults.delay_ms;
	if (!refused)
		service->open++;
	pthread_mutex_unlock(&service->lock);
	if (refused)
		return;
	after = run(service, request, &number);
	wait_delay(request, delay_ms);
	answer_after(after, request, number, answer);
	/* A hung call does not hold up the end of the process. */
	pthread_mutex_lock(&service->lock);
	service->open--;
	pthread_mutex_unlock(&service->lock);
	if (after == AFTER_HANG)
		hang(request);
}

static void
wait_delay(const web_request_t *request, int64_t delay_ms)
{
	int64_t until_ms = web_now_ms() + delay_ms;

	while (web_now_ms() < until_ms && !web_is_abandoned(request))
		web_sleep_ms(PROBE_MS);
}

/* Refuses a call that is not run while leaving or refusing. Locked. */
static bool
refuse(const faults_t *faults, web_answer_t *answer)
{
	if (faults->leaving) {
		web_add_header(answer, "Jujube-Leaving", "1");
		web_add_header(answer, "Retry-After", LEAVING_RETRY);
		web_answer_problem(
		    answer, 503, "leaving", "this server is leaving");
		return true;
	}
	if (faults->refuse) {
		web_answer_problem(
		    answer, 503, "overloaded", "this server refuses work");
		return true;
	}
	return false;
}

/* Records the call and draws what becomes of its answer. */
static after_run_t
run(service_t *service, const web_request_t *request, uint64_t *number)
{
	run_t record = {0};
	const run_t *added;
	after_run_t after;

	record.name = (char *)request->path + strlen(CALL_PATH);
	record.key = (char *)web_header(request, "Idempotency-Key");
	record.request = (char *)web_header(request, "Jujube-Request");
	record.body_hash = XXH3_64bits(request->body, request->body_size);
	record.at_ms = web_now_ms();
	pthread_mutex_lock(&service->lock);
	added = runs_add(&service->runs, &record);
	*number = added->number;
	after = faults_take(&service->faults);
	if (strstr(request->body, CRASH_MARK) != NULL &&
	    !service->options.no_crash) {
		print_run(added);
		_exit(1);
	}
	pthread_mutex_unlock(&service->lock);
	return after;
}

/* Lets a test count a run whose record dies with the process. */
static void
print_run(const run_t *run)
{
	printf("event=run run=%" PRIu64 " name=%s key=%s request=%s "
	       "body_hash=%016" PRIx64 "\n",
	    run->number, run->name, run->key != NULL ? run->key : "",
	    run->request != NULL ? run->request : "", run->body_hash);
	fflush(stdout);
}

static void
answer_after(after_run_t after, const web_request_t *request, uint64_t number,
    web_answer_t *answer)
{
	switch (after) {
	case AFTER_ANSWER:
		web_answer_json(answer, 200, echo_json(request, number));
		break;
	case AFTER_503:
		web_answer_problem(
		    answer, 503, "overloaded", "this server refuses work");
		break;
	case AFTER_500:
		web_answer_problem(answer, 500, "failed", "failed after run");
		break;
	case AFTER_BREAK:
	case AFTER_HANG:
		answer->status = 0;
		break;
	}
}

static json_t *
echo_json(const web_request_t *request, uint64_t number)
{
	json_t *body = json_loadb(
	    request->body, request->body_size, JSON_DECODE_ANY, NULL);

	return json_pack("{s:I,s:s,s:s?,s:o?}", "run", (json_int_t)number,
	    "name", request->path + strlen(CALL_PATH), "key",
	    web_header(request, "Idempotency-Key"), "echo", body);
}

/* Returns when the caller has hung up. */
static void
hang(const web_request_t *request)
{
	while (!web_is_abandoned(request))
		web_sleep_ms(PROBE_MS);
}

static void
serve_fault(
    service_t *service, const web_request_t *request, web_answer_t *answer)
{
	json_t *body = json_loadb(request->body, request->body_size, 0, NULL);
	const char *wrong = "the body";

	if (json_is_object(body)) {
		pthread_mutex_lock(&service->lock);
		wrong = faults_set(&service->faults, body);
		pthread_mutex_unlock(&service->lock);
	}
	if (wrong == NULL)
		web_answer_json(answer, 200, json_object());
	else
		web_answer_problem(answer, 400, "malformed", wrong);
	json_decref(body);
}
