/**
 * @file objects.c
 * @brief Fuzz target: decoders of values stored on the platform, and of
 * configurations that operators send.
 */
#include <stdint.h>

#include <jansson.h>

#include "core/batch_line.h"
#include "core/batch_record.h"
#include "core/config.h"
#include "core/job.h"
#include "core/ledger_table.h"

int LLVMFuzzerTestOneInput(const uint8_t *, size_t);

static void check_config(const jj_bytes_t *);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	jj_bytes_t value = jj_bytes_copy(data, size);
	jj_chunk_record_t record;
	jj_result_counts_t counts;
	jj_ledger_table_t table;
	jj_batch_line_t line;
	jj_name_t service = {""};
	jj_job_t job;

	if (jj_chunk_record_decode(&record, &value, 1))
		jj_chunk_record_clear(&record);
	if (value.data != NULL) {
		(void)jj_batch_line_decode(&line, value.data, &service);
		jj_batch_line_clear(&line);
	}
	(void)jj_out_count(&value, &counts);
	(void)jj_ledger_table_parse(&value, &table);
	if (jj_job_decode(&job, &value, 1))
		jj_job_clear(&job);
	check_config(&value);
	jj_bytes_free(&value);
	return 0;
}

static void
check_config(const jj_bytes_t *value)
{
	jj_config_settings_t settings = {"fuzz/0000000000000001", 1, 1000};
	jj_config_t *config = jj_config_create(&settings);
	jj_actions_t actions = TAILQ_HEAD_INITIALIZER(actions);
	json_t *document = json_loadb(
	    value->data != NULL ? value->data : "", value->size, 0, NULL);
	char why[256];

	(void)jj_config_take(config, value, &actions);
	if (document != NULL)
		(void)jj_config_check(document, why, sizeof(why));
	json_decref(document);
	jj_actions_clear(&actions);
	jj_config_destroy(config);
}
