/**
 * @file ctl_config.c
 * @brief Commands on the numbered configuration and its services.
 */
#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/ctl_api.h"
#include "ctl/ctl_print.h"

static char *patch_key;
static char *patch_operator;
static gint64 patch_base = -1;
static gint64 history_after = -1;

static const GOptionEntry patch_options[] = {
    {"base", 0, 0, G_OPTION_ARG_INT64, &patch_base,
	"Version the patch is based on; 0: no configuration yet", "N"},
    {"operator", 0, 0, G_OPTION_ARG_STRING, &patch_operator,
	"Name recorded in the history (default: the user's name)", "NAME"},
    {"key", 0, 0, G_OPTION_ARG_STRING, &patch_key,
	"Idempotency key, to retry a patch safely", "KEY"},
    {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

static const GOptionEntry history_options[] = {
    {"after", 0, 0, G_OPTION_ARG_INT64, &history_after, "Only versions after N",
	"N"},
    {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

static const jj_ctl_column_t service_columns[] = {
    {"NAME", "name"},
    {"KIND", "kind"},
    {"IDEMPOTENT", "idempotent"},
    {"TIMEOUT_MS", "timeout_ms"},
    {"DEADLINE_MS", "deadline_ms"},
    {"ATTEMPTS", "attempts"},
    {"TRADE", "trade"},
    {"QUEUE_LIMIT", "queue_limit"},
    {NULL, NULL},
};

static const jj_ctl_column_t history_columns[] = {
    {"VERSION", "version"},
    {"OPERATOR", "operator"},
    {"PATCH", "patch"},
    {NULL, NULL},
};

static jj_ctl_exit_t list_services(const jj_ctl_t *, char **);
static jj_ctl_exit_t show_service(const jj_ctl_t *, char **);
static jj_ctl_exit_t get_config(const jj_ctl_t *, char **);
static jj_ctl_exit_t patch_config(const jj_ctl_t *, char **);
static jj_ctl_exit_t show_history(const jj_ctl_t *, char **);
static jj_ctl_exit_t read_config(const jj_ctl_t *, json_t **, char *, size_t);
static jj_ctl_exit_t
send_patch(const jj_ctl_t *, const char *, const char *, size_t);
static void print_patch_result(const jj_ctl_t *, const json_t *);

const jj_ctl_command_t jj_ctl_config_commands[] = {
    {"service", "list", "", "services of the configuration in force", 0, 0,
	NULL, list_services},
    {"service", "show", "NAME", "one service's configuration", 1, 1, NULL,
	show_service},
    {"config", "get", "", "the configuration in force; version on stderr", 0, 0,
	NULL, get_config},
    {"config", "patch", "FILE", "apply a JSON Merge Patch to --base N", 1, 1,
	patch_options, patch_config},
    {"config", "history", "", "versions with their operator and patch", 0, 0,
	history_options, show_history},
    {NULL, NULL, NULL, NULL, 0, 0, NULL, NULL},
};

static jj_ctl_exit_t
list_services(const jj_ctl_t *ctl, char **arguments)
{
	json_t *document;
	json_t *rows;
	json_t *service;
	const char *name;
	char version[40];
	jj_ctl_exit_t outcome =
	    read_config(ctl, &document, version, sizeof(version));

	(void)arguments;
	if (outcome != JJ_CTL_OK)
		return outcome;
	rows = json_array();
	json_object_foreach(
	    json_object_get(document, "services"), name, service)
	{
		(void)json_object_set_new(service, "name", json_string(name));
		(void)json_array_append(rows, service);
	}
	jj_ctl_print_rows(ctl, rows, service_columns);
	json_decref(rows);
	json_decref(document);
	return JJ_CTL_OK;
}

static jj_ctl_exit_t
show_service(const jj_ctl_t *ctl, char **arguments)
{
	json_t *document;
	const json_t *service;
	char version[40];
	jj_ctl_exit_t outcome =
	    read_config(ctl, &document, version, sizeof(version));

	if (outcome != JJ_CTL_OK)
		return outcome;
	service = json_object_get(
	    json_object_get(document, "services"), arguments[0]);
	if (service == NULL) {
		warnx("version %s has no service '%s'", version, arguments[0]);
		outcome = JJ_CTL_FAILED;
	} else {
		jj_ctl_print_json(service);
	}
	json_decref(document);
	return outcome;
}

static jj_ctl_exit_t
get_config(const jj_ctl_t *ctl, char **arguments)
{
	json_t *document;
	char version[40];
	jj_ctl_exit_t outcome =
	    read_config(ctl, &document, version, sizeof(version));

	(void)arguments;
	if (outcome != JJ_CTL_OK)
		return outcome;
	if (ctl->json)
		document = json_pack("{s:i,s:o}", "version", atoi(version),
		    "document", document);
	else
		(void)fprintf(stderr, "version %s\n", version);
	jj_ctl_print_json(document);
	json_decref(document);
	return JJ_CTL_OK;
}

static jj_ctl_exit_t
patch_config(const jj_ctl_t *ctl, char **arguments)
{
	char generated_key[JJ_CTL_KEY_SIZE];
	const char *key = patch_key;
	jj_ctl_exit_t outcome;
	size_t size;
	char *patch;

	if (patch_base < 0) {
		warnx("--base N is required: the version that `config get` "
		      "printed, 0 for the first");
		return JJ_CTL_USAGE;
	}
	patch = jj_ctl_read_file(arguments[0], &size);
	if (patch == NULL)
		return JJ_CTL_USAGE;
	if (key == NULL) {
		jj_ctl_generate_key(generated_key);
		key = generated_key;
	}
	outcome = send_patch(ctl, key, patch, size);
	if (outcome == JJ_CTL_UNKNOWN)
		warnx("to retry safely: --base %" G_GINT64_FORMAT " --key %s",
		    patch_base, key);
	g_free(patch);
	return outcome;
}

static jj_ctl_exit_t
show_history(const jj_ctl_t *ctl, char **arguments)
{
	char path[64] = "/v1/config/history";
	json_t *rows;
	jj_ctl_exit_t outcome;

	(void)arguments;
	if (history_after >= 0)
		(void)snprintf(path, sizeof(path),
		    "/v1/config/history?after=%" G_GINT64_FORMAT,
		    history_after);
	outcome = jj_ctl_get(ctl, jj_ctl_operators_address(ctl), path, &rows);
	if (outcome == JJ_CTL_OK)
		jj_ctl_print_rows(ctl, rows, history_columns);
	json_decref(rows);
	return outcome;
}

/** Gets the configuration in force; its version is in the ETag. */
static jj_ctl_exit_t
read_config(
    const jj_ctl_t *ctl, json_t **document, char *version, size_t version_size)
{
	jj_ctl_request_t request = {.method = "GET",
	    .address = jj_ctl_operators_address(ctl),
	    .path = "/v1/config",
	    .timeout_ms = ctl->timeout_ms};
	jj_ctl_response_t response;
	jj_ctl_exit_t outcome;

	*document = NULL;
	if (request.address == NULL)
		return JJ_CTL_USAGE;
	jj_ctl_http_send(&request, &response);
	outcome = jj_ctl_check_response(&response, false);
	if (outcome == JJ_CTL_OK) {
		*document =
		    json_loadb(response.body->str, response.body->len, 0, NULL);
		(void)g_strlcpy(version, response.etag, version_size);
		(void)g_strdelimit(version, "\"", ' ');
		(void)g_strstrip(version);
		if (*document == NULL) {
			warnx("the configuration is not JSON");
			outcome = JJ_CTL_FAILED;
		}
	}
	jj_ctl_http_clear(&response);
	return outcome;
}

static jj_ctl_exit_t
send_patch(const jj_ctl_t *ctl, const char *key, const char *patch, size_t size)
{
	char match[40];
	const char *operator_name =
	    patch_operator != NULL ? patch_operator : g_get_user_name();
	jj_ctl_request_t request = {.method = "PATCH",
	    .address = jj_ctl_operators_address(ctl),
	    .path = "/v1/config",
	    .headers = {{"If-Match", match}, {"Idempotency-Key", key},
		{"Jujube-Operator", operator_name},
		{"Content-Type", "application/merge-patch+json"}},
	    .body = patch,
	    .body_size = size,
	    .timeout_ms = ctl->timeout_ms};
	jj_ctl_exit_t outcome;
	json_t *answer;

	if (request.address == NULL)
		return JJ_CTL_USAGE;
	(void)snprintf(
	    match, sizeof(match), "\"%" G_GINT64_FORMAT "\"", patch_base);
	outcome = jj_ctl_fetch_json(&request, true, &answer);
	if (outcome == JJ_CTL_OK)
		print_patch_result(ctl, answer);
	json_decref(answer);
	return outcome;
}

static void
print_patch_result(const jj_ctl_t *ctl, const json_t *answer)
{
	if (ctl->json)
		jj_ctl_print_json(answer);
	else
		(void)printf("applied as version %lld\n",
		    (long long)json_integer_value(
			json_object_get(answer, "version")));
}
