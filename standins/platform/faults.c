/**
 * @file faults.c
 * @brief The faults set by tests, under one mutex; see faults.h.
 */
#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "faults.h"

/* One hour, milliseconds; a longer delay amounts to a hang. */
#define DELAY_MAX_MS 3600000
#define COUNT_MAX 1000000000

typedef struct {
	fault_treatment_t outage;
	fault_vms_t vms_outage;
	int64_t delay_ms;
	int64_t vms_lag_ms;
	int64_t lose_answers;
	const json_t *lose_prefix; /* borrowed while a change is parsed */
	const json_t *cut; /* borrowed while a change is parsed */
} fault_values_t;

struct faults {
	pthread_mutex_t lock;
	fault_values_t current;
	char *lose_prefix;
	GHashTable *cut; /* set of client names */
};

static bool
read_change(json_t *, fault_values_t *, fault_actions_t *, const char **);
static bool
read_field(const char *, const json_t *, fault_values_t *, fault_actions_t *);
static bool read_choice(const json_t *, const char *const *, int *);
static bool read_number(const json_t *, int64_t, int64_t *);
static bool is_string_array(const json_t *);
static void replace_cut(faults_t *, const json_t *);

faults_t *
fault_create(void)
{
	faults_t *faults = g_new0(faults_t, 1);

	pthread_mutex_init(&faults->lock, NULL);
	faults->lose_prefix = g_strdup("");
	faults->cut =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return faults;
}

void
fault_destroy(faults_t *faults)
{
	g_hash_table_destroy(faults->cut);
	g_free(faults->lose_prefix);
	pthread_mutex_destroy(&faults->lock);
	g_free(faults);
}

bool
fault_set(faults_t *faults, json_t *change, fault_actions_t *actions,
    char *reason, size_t reason_size)
{
	const char *field = "body";
	fault_values_t next;
	bool valid;

	actions->watch_gap = false;
	actions->watch_drop = -1;
	pthread_mutex_lock(&faults->lock);
	next = faults->current;
	valid = read_change(change, &next, actions, &field);
	if (valid) {
		if (next.lose_prefix != NULL) {
			g_free(faults->lose_prefix);
			faults->lose_prefix =
			    g_strdup(json_string_value(next.lose_prefix));
		}
		if (next.cut != NULL)
			replace_cut(faults, next.cut);
		next.lose_prefix = NULL;
		next.cut = NULL;
		faults->current = next;
	}
	pthread_mutex_unlock(&faults->lock);
	if (!valid)
		snprintf(reason, reason_size, "%s: unknown field or bad value",
		    field);
	return valid;
}

fault_treatment_t
fault_treatment(faults_t *faults, const char *client)
{
	fault_treatment_t treatment;

	pthread_mutex_lock(&faults->lock);
	treatment = faults->current.outage;
	if (g_hash_table_contains(faults->cut, client))
		treatment = FAULT_CUT;
	pthread_mutex_unlock(&faults->lock);
	return treatment;
}

int64_t
fault_delay_ms(faults_t *faults)
{
	int64_t delay_ms;

	pthread_mutex_lock(&faults->lock);
	delay_ms = faults->current.delay_ms;
	pthread_mutex_unlock(&faults->lock);
	return delay_ms;
}

int64_t
fault_vms_lag_ms(faults_t *faults)
{
	int64_t lag_ms;

	pthread_mutex_lock(&faults->lock);
	lag_ms = faults->current.vms_lag_ms;
	pthread_mutex_unlock(&faults->lock);
	return lag_ms;
}

fault_vms_t
fault_vms(faults_t *faults)
{
	fault_vms_t outage;

	pthread_mutex_lock(&faults->lock);
	outage = faults->current.vms_outage;
	pthread_mutex_unlock(&faults->lock);
	return outage;
}

bool
fault_consume_lost_answer(faults_t *faults, const char *key)
{
	bool lost;

	pthread_mutex_lock(&faults->lock);
	lost = faults->current.lose_answers > 0 &&
	    g_str_has_prefix(key, faults->lose_prefix);
	if (lost)
		faults->current.lose_answers--;
	pthread_mutex_unlock(&faults->lock);
	return lost;
}

static bool
read_change(json_t *change, fault_values_t *next, fault_actions_t *actions,
    const char **field)
{
	const char *name;
	json_t *value;

	if (!json_is_object(change))
		return false;
	json_object_foreach(change, name, value)
	{
		*field = name;
		if (!read_field(name, value, next, actions))
			return false;
	}
	return true;
}

static bool
read_field(const char *name, const json_t *value, fault_values_t *next,
    fault_actions_t *actions)
{
	static const char *const outages[] = {"none", "refuse", "hang", NULL};
	static const char *const vms[] = {"none", "refuse", "empty", NULL};
	int64_t number = 0;
	int choice = 0;
	bool valid = false;

	if (strcmp(name, "outage") == 0) {
		valid = read_choice(value, outages, &choice);
		next->outage = (fault_treatment_t)choice;
	} else if (strcmp(name, "vms_outage") == 0) {
		valid = read_choice(value, vms, &choice);
		next->vms_outage = (fault_vms_t)choice;
	} else if (strcmp(name, "delay_ms") == 0) {
		valid = read_number(value, DELAY_MAX_MS, &next->delay_ms);
	} else if (strcmp(name, "vms_lag_ms") == 0) {
		valid = read_number(value, DELAY_MAX_MS, &next->vms_lag_ms);
	} else if (strcmp(name, "lose_answers") == 0) {
		valid = read_number(value, COUNT_MAX, &next->lose_answers);
	} else if (strcmp(name, "lose_answers_prefix") == 0) {
		valid = json_is_string(value);
		next->lose_prefix = value;
	} else if (strcmp(name, "cut") == 0) {
		valid = is_string_array(value);
		next->cut = value;
	} else if (strcmp(name, "watch_gap") == 0) {
		valid = json_is_boolean(value);
		actions->watch_gap = json_is_true(value);
	} else if (strcmp(name, "watch_drop") == 0) {
		valid = read_number(value, COUNT_MAX, &number);
		actions->watch_drop = (long)number;
	}
	return valid;
}

static bool
read_choice(const json_t *value, const char *const *names, int *choice)
{
	const char *text = json_string_value(value);
	int i;

	for (i = 0; text != NULL && names[i] != NULL; i++) {
		if (strcmp(text, names[i]) != 0)
			continue;
		*choice = i;
		return true;
	}
	return false;
}

static bool
read_number(const json_t *value, int64_t max, int64_t *number)
{
	*number = json_integer_value(value);
	return json_is_integer(value) && *number >= 0 && *number <= max;
}

static bool
is_string_array(const json_t *value)
{
	size_t i;

	for (i = 0; i < json_array_size(value); i++) {
		if (!json_is_string(json_array_get(value, i)))
			return false;
	}
	return json_is_array(value);
}

static void
replace_cut(faults_t *faults, const json_t *names)
{
	size_t i;

	g_hash_table_remove_all(faults->cut);
	for (i = 0; i < json_array_size(names); i++)
		g_hash_table_add(faults->cut,
		    g_strdup(json_string_value(json_array_get(names, i))));
}
