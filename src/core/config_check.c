/**
 * @file config_check.c
 * @brief Bounds of each field of a configuration document.
 */
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "core/config.h"

/*
 * A shorter attempt ends before a healthy server can answer; one longer than an
 * hour holds its slot for a caller that has long disconnected.
 */
#define TIMEOUT_MIN_MS 10
#define TIMEOUT_MAX_MS 3600000
/* One day: no online caller waits longer, and sums cannot overflow. */
#define DEADLINE_MAX_MS 86400000
/* More attempts only feed a retry storm. */
#define ATTEMPTS_MAX 10
/* A longer queue holds more than minutes of work of any VM. */
#define QUEUE_MAX 100000
/* Greater than the batch size of any known engine. */
#define SLOTS_MAX 4096
/* Size of the array in jj_service_t. */
#define KEY_DOMAINS_MAX 8
/* Weights are ratios; a wider range lets one team starve the others. */
#define WEIGHT_MIN 0.001
#define WEIGHT_MAX 1000.0
/* Greater than what fits into the memory of one VM. */
#define IN_FLIGHT_MAX 1000000

typedef enum {
	FIELD_KIND,
	FIELD_BOOLEAN,
	FIELD_INTEGER,
	FIELD_NUMBER,
	FIELD_DOMAINS,
	FIELD_WISH,
	FIELD_NAME,
} field_type_t;

typedef struct {
	const char *name;
	field_type_t type;
	bool required;
	double min;
	double max;
} field_t;

/** Output of an error message, and the path of the checked object. */
typedef struct {
	const char *path;
	char *why;
	size_t why_size;
} report_t;

static const field_t SERVICE_FIELDS[] = {
    {"kind", FIELD_KIND, true, 0, 0},
    {"idempotent", FIELD_BOOLEAN, true, 0, 0},
    {"timeout_ms", FIELD_INTEGER, false, TIMEOUT_MIN_MS, TIMEOUT_MAX_MS},
    {"deadline_ms", FIELD_INTEGER, false, TIMEOUT_MIN_MS, DEADLINE_MAX_MS},
    {"attempts", FIELD_INTEGER, false, 1, ATTEMPTS_MAX},
    {"trade", FIELD_NUMBER, false, 0, 1},
    {"queue_limit", FIELD_INTEGER, false, 0, QUEUE_MAX},
    {"server_slots", FIELD_INTEGER, false, 1, SLOTS_MAX},
    {"key_domains", FIELD_DOMAINS, false, 0, KEY_DOMAINS_MAX},
    {"model_wish", FIELD_WISH, false, 0, 0},
    {NULL, FIELD_KIND, false, 0, 0},
};

static const field_t TEAM_FIELDS[] = {
    {"weight", FIELD_NUMBER, false, WEIGHT_MIN, WEIGHT_MAX},
    {"in_flight", FIELD_INTEGER, false, 0, IN_FLIGHT_MAX},
    {NULL, FIELD_KIND, false, 0, 0},
};

static const field_t WISH_FIELDS[] = {
    {"model", FIELD_NAME, true, 0, 0},
    {"version", FIELD_NAME, false, 0, 0},
    {"role", FIELD_NAME, false, 0, 0},
    {NULL, FIELD_KIND, false, 0, 0},
};

static bool
check_map(const json_t *, const char *, const field_t *, report_t *);
static bool check_object(const json_t *, const field_t *, report_t *);
static bool check_field(const json_t *, const field_t *, report_t *);
static bool check_kind(const json_t *, report_t *);
static bool check_boolean(const json_t *, const field_t *, report_t *);
static bool check_number(const json_t *, const field_t *, report_t *);
static bool check_domains(const json_t *, report_t *);
static bool check_name(const json_t *, const char *, report_t *);
static bool is_name(const char *);
static bool
fail_unknown(report_t *, const char *, const json_t *, const field_t *);
static bool fail(report_t *, const char *, const json_t *, const char *, ...)
    __attribute__((format(printf, 4, 5)));

bool
jj_config_check(const json_t *document, char *why, size_t why_size)
{
	report_t report = {"document", why, why_size};
	const char *name;
	json_t *value;

	if (!json_is_object(document))
		return fail(&report, NULL, document, "must be an object");
	json_object_foreach((json_t *)document, name, value)
	{
		if (strcmp(name, "services") == 0) {
			if (!check_map(value, name, SERVICE_FIELDS, &report))
				return false;
		} else if (strcmp(name, "teams") == 0) {
			if (!check_map(value, name, TEAM_FIELDS, &report))
				return false;
		} else {
			return fail(&report, name, value,
			    "is unknown; known are services, teams");
		}
	}
	return true;
}

bool
jj_config_check_change(
    const json_t *before, const json_t *after, char *why, size_t why_size)
{
	const json_t *services = json_object_get(after, "services");
	const json_t *old_services = json_object_get(before, "services");
	const json_t *old;
	const char *name;
	json_t *service;

	json_object_foreach((json_t *)services, name, service)
	{
		old = json_object_get(old_services, name);
		if (old == NULL ||
		    json_is_true(json_object_get(old, "idempotent")))
			continue;
		if (json_equal(json_object_get(old, "key_domains"),
			json_object_get(service, "key_domains")))
			continue;
		(void)snprintf(why, why_size,
		    "services.%s.key_domains cannot change: keys in use "
		    "would get a second home; make a new service",
		    name);
		return false;
	}
	return true;
}

static bool
fail_unknown(report_t *report, const char *name, const json_t *value,
    const field_t *fields)
{
	char known[512] = "";
	size_t used = 0;
	const field_t *field;

	for (field = fields; field->name != NULL; field++)
		used += (size_t)snprintf(known + used, sizeof(known) - used,
		    "%s%s", used > 0 ? ", " : "", field->name);
	return fail(report, name, value,
	    "is no field of this object; known are %s", known);
}

/* Checks a map from names to objects of one kind. */
static bool
check_map(const json_t *map, const char *kind, const field_t *fields,
    report_t *report)
{
	char path[2 * JJ_NAME_MAX];
	report_t inner = *report;
	const char *name;
	json_t *value;

	inner.path = path;
	if (!json_is_object(map))
		return fail(report, kind, map, "must be an object");
	json_object_foreach((json_t *)map, name, value)
	{
		(void)snprintf(path, sizeof(path), "%s.%s", kind, name);
		if (!is_name(name))
			return fail(&inner, NULL, value,
			    "has a name that is not 1 to %d of A-Z a-z 0-9 "
			    ". _ -",
			    JJ_NAME_MAX);
		if (!check_object(value, fields, &inner))
			return false;
	}
	return true;
}

static bool
check_object(const json_t *object, const field_t *fields, report_t *report)
{
	const field_t *field;
	const char *name;
	json_t *value;

	if (!json_is_object(object))
		return fail(report, NULL, object, "must be an object");
	json_object_foreach((json_t *)object, name, value)
	{
		for (field = fields; field->name != NULL; field++)
			if (strcmp(field->name, name) == 0)
				break;
		if (field->name == NULL)
			return fail_unknown(report, name, value, fields);
		if (!check_field(value, field, report))
			return false;
	}
	for (field = fields; field->name != NULL; field++)
		if (field->required &&
		    json_object_get(object, field->name) == NULL)
			return fail(report, field->name, NULL, "is required");
	return true;
}

static bool
check_field(const json_t *value, const field_t *field, report_t *report)
{
	char path[4 * JJ_NAME_MAX];
	report_t inner = *report;

	switch (field->type) {
	case FIELD_KIND:
		return check_kind(value, report);
	case FIELD_BOOLEAN:
		return check_boolean(value, field, report);
	case FIELD_INTEGER:
	case FIELD_NUMBER:
		return check_number(value, field, report);
	case FIELD_DOMAINS:
		return check_domains(value, report);
	case FIELD_NAME:
		return check_name(value, field->name, report);
	case FIELD_WISH:
		(void)snprintf(
		    path, sizeof(path), "%s.%s", report->path, field->name);
		inner.path = path;
		return check_object(value, WISH_FIELDS, &inner);
	}
	return false;
}

static bool
check_kind(const json_t *value, report_t *report)
{
	const char *kind = json_string_value(value);

	if (kind != NULL &&
	    (strcmp(kind, "model") == 0 || strcmp(kind, "plain") == 0))
		return true;
	return fail(report, "kind", value, "must be \"model\" or \"plain\"");
}

static bool
check_boolean(const json_t *value, const field_t *field, report_t *report)
{
	if (json_is_boolean(value))
		return true;
	return fail(report, field->name, value, "must be true or false");
}

static bool
check_number(const json_t *value, const field_t *field, report_t *report)
{
	bool has_type = field->type == FIELD_INTEGER ? json_is_integer(value)
						     : json_is_number(value);
	double number = json_number_value(value);

	if (has_type && number >= field->min && number <= field->max)
		return true;
	return fail(report, field->name, value, "must be %s from %g to %.10g",
	    field->type == FIELD_INTEGER ? "an integer" : "a number",
	    field->min, field->max);
}

static bool
check_domains(const json_t *value, report_t *report)
{
	size_t i;
	size_t j;

	if (!json_is_array(value) || json_array_size(value) > KEY_DOMAINS_MAX)
		return fail(report, "key_domains", value,
		    "must be a list of at most %d failure domains",
		    KEY_DOMAINS_MAX);
	for (i = 0; i < json_array_size(value); i++) {
		const json_t *domain = json_array_get(value, i);

		if (!check_name(domain, "key_domains", report))
			return false;
		for (j = 0; j < i; j++)
			if (json_equal(domain, json_array_get(value, j)))
				return fail(report, "key_domains", domain,
				    "names a failure domain twice");
	}
	return true;
}

static bool
check_name(const json_t *value, const char *field, report_t *report)
{
	const char *name = json_string_value(value);

	if (name != NULL && is_name(name))
		return true;
	return fail(report, field, value,
	    "must be a name of 1 to %d of A-Z a-z 0-9 . _ -", JJ_NAME_MAX);
}

static bool
is_name(const char *name)
{
	size_t length = strlen(name);

	return length >= 1 && length <= JJ_NAME_MAX &&
	    strspn(name,
		"ABCDEFGHIJKLMNOPQRSTUVWXYZ"
		"abcdefghijklmnopqrstuvwxyz"
		"0123456789._-") == length;
}

/* Writes "PATH.FIELD = VALUE BOUND"; always false. */
static bool
fail(report_t *report, const char *field, const json_t *value,
    const char *bound, ...)
{
	char value_text[64] = "absent";
	char rule[160];
	size_t size;
	va_list arguments;

	va_start(arguments, bound);
	(void)vsnprintf(rule, sizeof(rule), bound, arguments);
	va_end(arguments);
	if (value != NULL) {
		size = json_dumpb(value, value_text, sizeof(value_text) - 1,
		    JSON_ENCODE_ANY | JSON_COMPACT);
		if (size < sizeof(value_text))
			value_text[size] = '\0';
		else
			(void)snprintf(value_text, sizeof(value_text),
			    "(%zu bytes)", size);
	}
	(void)snprintf(report->why, report->why_size, "%s%s%s = %s %s",
	    report->path, field != NULL ? "." : "", field != NULL ? field : "",
	    value_text, rule);
	return false;
}
