#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "runs.h"

#define HEX16_SIZE 17

static void count_key(runs_t *, const char *);
static void run_free(void *);
static json_t *run_json(const run_t *);

void
runs_init(runs_t *runs)
{
	memset(runs, 0, sizeof(*runs));
	runs->list = g_ptr_array_new_with_free_func(run_free);
	runs->per_key =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void
runs_destroy(runs_t *runs)
{
	g_hash_table_destroy(runs->per_key);
	g_ptr_array_free(runs->list, TRUE);
}

const run_t *
runs_add(runs_t *runs, const run_t *run)
{
	run_t *added = g_new0(run_t, 1);

	*added = *run;
	added->number = runs->list->len + 1;
	added->name = g_strdup(run->name);
	added->key = g_strdup(run->key);
	added->request = g_strdup(run->request);
	g_ptr_array_add(runs->list, added);
	if (added->key != NULL)
		count_key(runs, added->key);
	return added;
}

json_t *
runs_list(const runs_t *runs)
{
	json_t *list = json_array();
	guint i;

	for (i = 0; i < runs->list->len; i++)
		json_array_append_new(
		    list, run_json(g_ptr_array_index(runs->list, i)));
	return list;
}

json_t *
runs_count(const runs_t *runs)
{
	return json_pack("{s:I,s:I,s:I}", "runs", (json_int_t)runs->list->len,
	    "keys", (json_int_t)g_hash_table_size(runs->per_key), "doubled",
	    (json_int_t)runs->doubled);
}

static void
count_key(runs_t *runs, const char *key)
{
	guint count =
	    GPOINTER_TO_UINT(g_hash_table_lookup(runs->per_key, key)) + 1;

	g_hash_table_replace(
	    runs->per_key, g_strdup(key), GUINT_TO_POINTER(count));
	if (count == 2)
		runs->doubled++;
}

static void
run_free(void *ctx)
{
	run_t *run = ctx;

	g_free(run->name);
	g_free(run->key);
	g_free(run->request);
	g_free(run);
}

static json_t *
run_json(const run_t *run)
{
	char hash[HEX16_SIZE];

	snprintf(hash, sizeof(hash), "%016" PRIx64, run->body_hash);
	return json_pack("{s:I,s:s,s:s?,s:s?,s:s,s:I}", "run",
	    (json_int_t)run->number, "name", run->name, "key", run->key,
	    "request", run->request, "body_hash", hash, "at_ms",
	    (json_int_t)run->at_ms);
}
