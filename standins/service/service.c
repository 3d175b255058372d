#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <xxhash.h>

#include "service.h"

#define CALL_PATH "/call/"
#define CRASH_MARK "<<crash>>"
/* Retry-After of a leaving service, seconds. */
#define LEAVING_RETRY_AFTER_S "1"
/* Interval between checks whether the caller hung up, milliseconds. */
#define CALLER_CHECK_MS 20

static void serve_call(service_t *, const web_request_t *, web_answer_t *);
static void wait_delay(const web_request_t *, int64_t);
static bool refuse(const faults_t *, web_answer_t *);
static run_response_t run(service_t *, const web_request_t *, uint64_t *);
static void print_run(const run_t *);
static void
answer_run(run_response_t, const web_request_t *, uint64_t, web_answer_t *);
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
	run_response_t response;
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
	response = run(service, request, &number);
	wait_delay(request, delay_ms);
	answer_run(response, request, number, answer);
	/* A hung call must not delay the exit of the process. */
	pthread_mutex_lock(&service->lock);
	service->open--;
	pthread_mutex_unlock(&service->lock);
	if (response == RESPONSE_HANG)
		hang(request);
}

static void
wait_delay(const web_request_t *request, int64_t delay_ms)
{
	int64_t until_ms = web_now_ms() + delay_ms;

	while (web_now_ms() < until_ms && !web_is_abandoned(request))
		web_sleep_ms(CALLER_CHECK_MS);
}

/* Refuses a call while the leaving or refuse fault is set. Locked. */
static bool
refuse(const faults_t *faults, web_answer_t *answer)
{
	if (faults->leaving) {
		web_add_header(answer, "Jujube-Leaving", "1");
		web_add_header(answer, "Retry-After", LEAVING_RETRY_AFTER_S);
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

/* Records the call and chooses how it is answered. */
static run_response_t
run(service_t *service, const web_request_t *request, uint64_t *number)
{
	run_t record = {0};
	const run_t *added;
	run_response_t response;

	record.name = (char *)request->path + strlen(CALL_PATH);
	record.key = (char *)web_header(request, "Idempotency-Key");
	record.request = (char *)web_header(request, "Jujube-Request");
	record.body_hash = XXH3_64bits(request->body, request->body_size);
	record.at_ms = web_now_ms();
	pthread_mutex_lock(&service->lock);
	added = runs_add(&service->runs, &record);
	*number = added->number;
	response = faults_next_response(&service->faults);
	if (strstr(request->body, CRASH_MARK) != NULL &&
	    !service->options.no_crash) {
		print_run(added);
		_exit(1);
	}
	pthread_mutex_unlock(&service->lock);
	return response;
}

/* Lets a test count a run whose record is lost with the process. */
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
answer_run(run_response_t response, const web_request_t *request,
    uint64_t number, web_answer_t *answer)
{
	switch (response) {
	case RESPONSE_NORMAL:
		web_answer_json(answer, 200, echo_json(request, number));
		break;
	case RESPONSE_503:
		web_answer_problem(
		    answer, 503, "overloaded", "this server refuses work");
		break;
	case RESPONSE_500:
		web_answer_problem(answer, 500, "failed", "failed after run");
		break;
	case RESPONSE_BREAK:
	case RESPONSE_HANG:
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

/* Waits until the caller hangs up. */
static void
hang(const web_request_t *request)
{
	while (!web_is_abandoned(request))
		web_sleep_ms(CALLER_CHECK_MS);
}

static void
serve_fault(
    service_t *service, const web_request_t *request, web_answer_t *answer)
{
	json_t *body = json_loadb(request->body, request->body_size, 0, NULL);
	const char *invalid_field = "the body";

	if (json_is_object(body)) {
		pthread_mutex_lock(&service->lock);
		invalid_field = faults_set(&service->faults, body);
		pthread_mutex_unlock(&service->lock);
	}
	if (invalid_field == NULL)
		web_answer_json(answer, 200, json_object());
	else
		web_answer_problem(answer, 400, "malformed", invalid_field);
	json_decref(body);
}
