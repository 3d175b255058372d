/**
 * @file platform.c
 * @brief Fuzz target: answers of the platform, and the server and route
 * objects in them.
 */
#include <stdint.h>

#include "platform/parts.h"

int LLVMFuzzerTestOneInput(const uint8_t *, size_t);

static void check_item(const jj_platform_item_t *);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static const jj_platform_op_t ops[] = {
	    JJ_PLATFORM_LIST, JJ_PLATFORM_WATCH, JJ_PLATFORM_GET};
	jj_http_head_t head = {.status = 200};
	size_t i;
	size_t k;

	for (i = 0; i < sizeof(ops) / sizeof(ops[0]); i++) {
		jj_platform_result_t result = {.op = ops[i]};

		jj_platform_objects_codec.read(
		    &result, "servers/", &head, (const char *)data, size);
		for (k = 0; k < result.item_count; k++)
			check_item(&result.items[k]);
		jj_platform_result_clear(&result);
	}
	return 0;
}

static void
check_item(const jj_platform_item_t *item)
{
	jj_slot_info_t info;
	jj_routes_t routes;
	char why[100];

	(void)jj_platform_read_server(
	    jj_object_name(item->key), &item->value, &info, why, sizeof(why));
	if (jj_platform_read_routes(&item->value, &routes, why, sizeof(why)))
		jj_routes_clear(&routes);
}
