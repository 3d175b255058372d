#include <string.h>

#include "faults.h"

/* The type of a field. */
typedef enum {
	FIELD_BOOL,
	FIELD_COUNT,
	FIELD_NUMBER,
	FIELD_NAMES,
} field_kind_t;

static bool field_is_valid(const json_t *, field_kind_t);
static void set_flag(const json_t *, const char *, bool *);
static void set_count(const json_t *, const char *, long *);
static void set_number(const json_t *, const char *, double *);

void
faults_init(faults_t *faults, uint64_t seed)
{
	memset(faults, 0, sizeof(*faults));
	faults->slow = 1;
	faults->failures.seed = seed;
}

void
faults_destroy(faults_t *faults)
{
	json_decref(faults->cut);
}

const char *
faults_set(faults_t *faults, const json_t *json)
{
	static const struct {
		const char *name;
		field_kind_t kind;
	} fields[] = {
	    {"leaving", FIELD_BOOL},
	    {"refuse", FIELD_BOOL},
	    {"load_frozen", FIELD_BOOL},
	    {"slow", FIELD_NUMBER},
	    {"fail_share", FIELD_NUMBER},
	    {"truncate_next", FIELD_COUNT},
	    {"break_next", FIELD_COUNT},
	    {"late_next", FIELD_COUNT},
	    {"late_ms", FIELD_COUNT},
	    {"cut", FIELD_NAMES},
	};
	json_t *cut;
	long late_ms = (long)faults->late_ms;
	size_t i;

	for (i = 0; i < sizeof(fields) / sizeof(fields[0]); i++) {
		if (!field_is_valid(
			json_object_get(json, fields[i].name), fields[i].kind))
			return fields[i].name;
	}
	set_flag(json, "leaving", &faults->leaving);
	set_flag(json, "refuse", &faults->refuse);
	set_flag(json, "load_frozen", &faults->load_frozen);
	set_number(json, "slow", &faults->slow);
	set_number(json, "fail_share", &faults->fail_share);
	set_count(json, "truncate_next", &faults->truncate_next);
	set_count(json, "break_next", &faults->break_next);
	set_count(json, "late_next", &faults->late_next);
	set_count(json, "late_ms", &late_ms);
	faults->late_ms = late_ms;
	cut = json_object_get(json, "cut");
	if (cut != NULL) {
		json_decref(faults->cut);
		faults->cut = json_deep_copy(cut);
	}
	return NULL;
}

bool
faults_is_cut(const faults_t *faults, const char *client)
{
	json_t *name;
	size_t i;

	if (client == NULL || client[0] == '\0')
		return false;
	json_array_foreach(faults->cut, i, name)
	{
		if (strcmp(json_string_value(name), client) == 0)
			return true;
	}
	return false;
}

bool
faults_draw_failure(faults_t *faults)
{
	return process_random_bool(&faults->failures, faults->fail_share);
}

bool
faults_consume(long *count)
{
	if (*count <= 0)
		return false;
	(*count)--;
	return true;
}

/* An absent field is valid. */
static bool
field_is_valid(const json_t *value, field_kind_t kind)
{
	json_t *name;
	size_t i;

	if (value == NULL)
		return true;
	switch (kind) {
	case FIELD_BOOL:
		return json_is_boolean(value);
	case FIELD_COUNT:
		return json_is_integer(value) && json_integer_value(value) >= 0;
	case FIELD_NUMBER:
		return json_is_number(value) && json_number_value(value) >= 0;
	case FIELD_NAMES:
		json_array_foreach(value, i, name)
		{
			if (!json_is_string(name))
				return false;
		}
		return json_is_array(value);
	}
	return false;
}

static void
set_flag(const json_t *json, const char *name, bool *flag)
{
	const json_t *value = json_object_get(json, name);

	if (value != NULL)
		*flag = json_is_true(value);
}

static void
set_count(const json_t *json, const char *name, long *count)
{
	const json_t *value = json_object_get(json, name);

	if (value != NULL)
		*count = (long)json_integer_value(value);
}

static void
set_number(const json_t *json, const char *name, double *number)
{
	const json_t *value = json_object_get(json, name);

	if (value != NULL)
		*number = json_number_value(value);
}
