#include <stddef.h>

#include "faults.h"

static bool is_count(const json_t *);
static bool take_one(long *);

const char *
faults_set(faults_t *faults, const json_t *json)
{
	static const char *const count_names[] = {
	    "delay_ms", "run_then_503", "run_then_break", "run_then_hang"};
	static const char *const flag_names[] = {"leaving", "refuse"};
	long delay_ms = (long)faults->delay_ms;
	long *counts[] = {&delay_ms, &faults->run_then_503,
	    &faults->run_then_break, &faults->run_then_hang};
	bool *flags[] = {&faults->leaving, &faults->refuse};
	const json_t *share = json_object_get(json, "fail_share");
	const json_t *value;
	size_t i;

	if (share != NULL && !json_is_number(share))
		return "fail_share";
	for (i = 0; i < sizeof(counts) / sizeof(counts[0]); i++) {
		if (!is_count(json_object_get(json, count_names[i])))
			return count_names[i];
	}
	for (i = 0; i < sizeof(flags) / sizeof(flags[0]); i++) {
		value = json_object_get(json, flag_names[i]);
		if (value != NULL && !json_is_boolean(value))
			return flag_names[i];
	}
	for (i = 0; i < sizeof(counts) / sizeof(counts[0]); i++) {
		value = json_object_get(json, count_names[i]);
		if (value != NULL)
			*counts[i] = (long)json_integer_value(value);
	}
	for (i = 0; i < sizeof(flags) / sizeof(flags[0]); i++) {
		value = json_object_get(json, flag_names[i]);
		if (value != NULL)
			*flags[i] = json_is_true(value);
	}
	faults->delay_ms = delay_ms;
	if (share != NULL)
		faults->fail_share = json_number_value(share);
	return NULL;
}

run_response_t
faults_next_response(faults_t *faults)
{
	if (take_one(&faults->run_then_503))
		return RESPONSE_503;
	if (take_one(&faults->run_then_break))
		return RESPONSE_BREAK;
	if (take_one(&faults->run_then_hang))
		return RESPONSE_HANG;
	if (process_random_bool(&faults->failures, faults->fail_share))
		return RESPONSE_500;
	return RESPONSE_NORMAL;
}

/* An absent field is valid. */
static bool
is_count(const json_t *value)
{
	if (value == NULL)
		return true;
	return json_is_integer(value) && json_integer_value(value) >= 0;
}

static bool
take_one(long *count)
{
	if (*count <= 0)
		return false;
	(*count)--;
	return true;
}
