/**
 * @file batch_line.c
 * @brief Decodes lines of batch input files.
 */
#include <string.h>

#include <jansson.h>

#include "core/batch_line.h"

/** Urls whose body names the service as its model. */
static const char *const model_urls[] = {
    "/v1/chat/completions", "/v1/completions"};
/** Prefix of urls of other services: the name follows, then the path. */
static const char services_url[] = "/services/";

static bool is_model_url(const char *);
static bool
find_target(jj_batch_line_t *, const char *, const json_t *, const jj_name_t *);
static bool find_plain_service(jj_batch_line_t *, const char *);
static uint64_t fingerprint(const jj_batch_line_t *);

bool
jj_batch_line_decode(
    jj_batch_line_t *line, const char *text, const jj_name_t *job_service)
{
	json_t *document = json_loads(text, 0, NULL);
	const json_t *id = json_object_get(document, "custom_id");
	const json_t *url = json_object_get(document, "url");
	json_t *body = json_object_get(document, "body");
	bool known = false;

	memset(line, 0, sizeof(*line));
	if (json_is_string(id))
		line->custom_id = jj_bytes_from_text(json_string_value(id));
	if (!json_is_string(url) || body == NULL)
		goto out;
	if (!find_target(line, json_string_value(url), body, job_service))
		goto out;
	line->body.data = json_dumps(body, JSON_COMPACT | JSON_ENCODE_ANY);
	if (line->body.data == NULL)
		goto out;
	line->body.size = strlen(line->body.data);
	line->fingerprint = fingerprint(line);
	known = true;
out:
	json_decref(document);
	return known;
}

void
jj_batch_line_clear(jj_batch_line_t *line)
{
	jj_bytes_free(&line->custom_id);
	jj_bytes_free(&line->path);
	jj_bytes_free(&line->body);
}

static bool
is_model_url(const char *url)
{
	size_t i;

	for (i = 0; i < sizeof(model_urls) / sizeof(model_urls[0]); i++) {
		if (strcmp(url, model_urls[i]) == 0)
			return true;
	}
	return false;
}

static bool
find_target(jj_batch_line_t *line, const char *url, const json_t *body,
    const jj_name_t *job_service)
{
	const char *model;

	if (strncmp(url, services_url, sizeof(services_url) - 1) == 0)
		return find_plain_service(line, url);
	line->path = jj_bytes_from_text(url);
	if (!jj_name_is_empty(job_service)) {
		line->service = *job_service;
		return true;
	}
	model = json_string_value(json_object_get(body, "model"));
	if (!is_model_url(url) || model == NULL || model[0] == '\0')
		return false;
	return jj_name_set(&line->service, model);
}

static bool
find_plain_service(jj_batch_line_t *line, const char *url)
{
	const char *name = url + sizeof(services_url) - 1;
	size_t size = strcspn(name, "/");

	if (size == 0 || size > JJ_NAME_MAX)
		return false;
	memcpy(line->service.text, name, size);
	line->path = jj_bytes_from_text(name[size] != '\0' ? name + size : "/");
	return true;
}

static uint64_t
fingerprint(const jj_batch_line_t *line)
{
	uint64_t hash =
	    jj_hash_bytes(line->service.text, strlen(line->service.text), 0);

	hash = jj_hash_bytes(line->path.data, line->path.size, hash);
	return jj_hash_bytes(line->body.data, line->body.size, hash);
}
