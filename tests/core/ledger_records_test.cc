/**
 * @file ledger_records_test.cc
 * @brief Bound on the memory of the answers that the ledger stores.
 */
#include <gtest/gtest.h>

extern "C" {
#include "core/ledger_records.h"
}

namespace
{

/*
 * Many large answers to bookings, each kept for hours, would let the memory of
 * the VM grow until the process is killed, and the history of its keys with it.
 * The records must stay; the answers need not.
 */
TEST(LedgerRecordsFailure, AnswersAreBoundedRecordsAreNot)
{
	const size_t size = 8192;
	const size_t fit = JJ_LEDGER_ANSWER_BYTES_MAX / size;
	jj_ledger_records_t *records = jj_ledger_records_create(1000);
	std::string text(size, 'x');
	jj_bytes_t answer = {text.data(), text.size()};
	jj_ledger_entry_t *first = nullptr;
	jj_hash_t key = {};
	size_t kept = 0;

	for (size_t i = 0; i < fit + 100; i++) {
		key.low = key.high = i + 1;
		jj_ledger_entry_t *entry = jj_ledger_records_add(records, &key);
		jj_ledger_records_keep_answer(records, entry, &answer);
		kept += entry->answer.size > 0;
		if (first == nullptr)
			first = entry;
	}
	EXPECT_EQ(fit, kept);
	EXPECT_EQ(fit + 100, jj_ledger_records_count(records));
	jj_ledger_records_remove(records, first);
	key.low = key.high = fit + 1000;
	jj_ledger_entry_t *entry = jj_ledger_records_add(records, &key);
	jj_ledger_records_keep_answer(records, entry, &answer);
	EXPECT_EQ(size, entry->answer.size);
	jj_ledger_records_destroy(records);
}

} // namespace
