#include <string.h>

#include "batcher.h"
#include "control.h"
#include "engine.h"

static void serve_fault(engine_t *, const web_request_t *, web_answer_t *);

void
control_serve(void *ctx, const web_request_t *request, web_answer_t *answer)
{
	engine_t *engine = ctx;
	json_t *body = NULL;

	if (strcmp(request->path, "/control/fault") == 0) {
		serve_fault(engine, request, answer);
		return;
	}
	pthread_mutex_lock(&engine->lock);
	if (strcmp(request->path, "/control/records") == 0)
		body = records_list(&engine->records);
	else if (strcmp(request->path, "/control/counts") == 0)
		body = records_count(&engine->records);
	else if (strcmp(request->path, "/control/health") == 0)
		body = json_pack("{s:s}", "status", "ok");
	pthread_mutex_unlock(&engine->lock);
	if (body != NULL)
		web_answer_json(answer, 200, body);
	else
		web_answer_problem(answer, 404, "unknown", "no such call");
}

static void
serve_fault(
    engine_t *engine, const web_request_t *request, web_answer_t *answer)
{
	json_t *body = json_loadb(request->body, request->body_size, 0, NULL);
	const char *invalid_field = "the body";

	if (json_is_object(body)) {
		pthread_mutex_lock(&engine->lock);
		invalid_field = faults_set(&engine->faults, body);
		batcher_end_cut_clients(engine);
		pthread_mutex_unlock(&engine->lock);
	}
	if (invalid_field == NULL)
		web_answer_json(answer, 200, json_object());
	else
		web_answer_problem(answer, 400, "malformed", invalid_field);
	json_decref(body);
}
