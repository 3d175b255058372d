#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "records.h"

#define HEX8_SIZE 9
#define ID_SIZE 24

static void record_clear(void *);
static json_t *record_json(const record_t *);

void
records_init(records_t *records)
{
	memset(records, 0, sizeof(*records));
	records->list = g_array_new(FALSE, TRUE, sizeof(record_t));
	g_array_set_clear_func(records->list, record_clear);
}

void
records_destroy(records_t *records)
{
	g_array_free(records->list, TRUE);
}

void
records_begin(records_t *records, stream_t *stream, int64_t now_ms)
{
	record_t record = {0};

	if (stream->request[0] != '\0')
		record.request = g_strdup(stream->request);
	record.stream = stream->id;
	record.prompt_hash = stream->prompt_hash;
	record.batch = stream->batch;
	record.started_ms = now_ms;
	stream->record = records->list->len;
	g_array_append_val(records->list, record);
}

void
records_end(records_t *records, const stream_t *stream, int64_t now_ms)
{
	record_t *record =
	    &g_array_index(records->list, record_t, stream->record);

	record->ended_ms = now_ms;
	record->outcome = stream->outcome;
	record->tokens = stream->generated;
	if (stream->outcome == OUTCOME_DONE)
		records->done++;
	if (stream->outcome == OUTCOME_CANCELLED)
		records->cancelled++;
}

json_t *
records_list(const records_t *records)
{
	json_t *list = json_array();
	guint i;

	for (i = 0; i < records->list->len; i++)
		json_array_append_new(list,
		    record_json(&g_array_index(records->list, record_t, i)));
	return list;
}

json_t *
records_count(const records_t *records)
{
	return json_pack("{s:I,s:I,s:I,s:I,s:I}", "started",
	    (json_int_t)records->list->len, "done", (json_int_t)records->done,
	    "cancelled", (json_int_t)records->cancelled, "tokens",
	    (json_int_t)records->tokens, "peak_running",
	    (json_int_t)records->peak_running);
}

static void
record_clear(void *record)
{
	g_free(((record_t *)record)->request);
}

static json_t *
record_json(const record_t *record)
{
	char hash[HEX8_SIZE];
	char stream[ID_SIZE];

	snprintf(hash, sizeof(hash), "%08" PRIx32, record->prompt_hash);
	snprintf(stream, sizeof(stream), "%" PRIu64, record->stream);
	return json_pack("{s:s?,s:s,s:s,s:b,s:I,s:I,s:s,s:I}", "request",
	    record->request, "stream", stream, "prompt_hash", hash, "batch",
	    record->batch, "started_ms", (json_int_t)record->started_ms,
	    "ended_ms", (json_int_t)record->ended_ms, "outcome",
	    stream_outcome_name(record->outcome), "tokens",
	    (json_int_t)record->tokens);
}
