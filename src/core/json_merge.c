/**
 * @file json_merge.c
 * @brief JSON Merge Patch (RFC 7396).
 */
#include "core/json_merge.h"

json_t *
jj_json_merge(const json_t *target, const json_t *patch)
{
	const char *name;
	json_t *value;
	json_t *merged;

	if (!json_is_object(patch))
		return json_deep_copy(patch);
	merged = json_is_object(target) ? json_copy((json_t *)target)
					: json_object();
	json_object_foreach((json_t *)patch, name, value)
	{
		if (json_is_null(value))
			(void)json_object_del(merged, name);
		else
			(void)json_object_set_new(merged, name,
			    jj_json_merge(
				json_object_get(merged, name), value));
	}
	return merged;
}
