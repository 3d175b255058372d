/**
 * @file batch_record_test.cc
 * @brief Results of items are stored so that they can be read back.
 */
#include <string>

#include <gtest/gtest.h>

extern "C" {
#include "core/batch_record.h"
}

namespace
{

struct BodyCase {
	const char *name;
	std::string body; /**< of a backend server's answer */
};

class StoredBody : public ::testing::TestWithParam<BodyCase>
{
};

/* Guards against an answer that makes all results of its chunk unreadable. */
TEST_P(StoredBody, CanBeReadBack)
{
	jj_bytes_t body =
	    jj_bytes_copy(GetParam().body.data(), GetParam().body.size());
	jj_item_result_t results[2] = {
	    jj_result_answered("one", "r-1", 200, &body),
	    jj_result_answered("two", "r-2", 200, nullptr)};
	jj_chunk_record_t record = {};
	jj_chunk_record_t decoded;
	jj_item_record_t items[2] = {};
	jj_result_counts_t counts;
	const bool started[2] = {};

	jj_bytes_t text = jj_chunk_record_encode(
	    &record, results, started, 2, JJ_OBJECT_VALUE_MAX);
	ASSERT_TRUE(jj_chunk_record_decode(&decoded, &text, 7));
	jj_chunk_record_read_items(&decoded, items, 2);
	for (jj_item_record_t &item : items) {
		EXPECT_NE(nullptr, item.result.text.data);
		jj_result_clear(&item.result);
	}
	jj_chunk_record_clear(&decoded);
	jj_bytes_free(&text);

	text = jj_out_encode(results, 2, "vm/1", "0011");
	ASSERT_TRUE(jj_out_count(&text, &counts));
	EXPECT_EQ(2U, counts.by_kind[JJ_RESULT_DONE]);
	jj_bytes_free(&text);
	for (jj_item_result_t &result : results)
		jj_result_clear(&result);
	jj_bytes_free(&body);
}

INSTANTIATE_TEST_SUITE_P(Bodies, StoredBody,
    ::testing::Values(BodyCase{"Empty", ""}, BodyCase{"Object", "{\"a\":1}"},
	BodyCase{"Text", "plain"}, BodyCase{"Nul", std::string("a\0b", 3)},
	BodyCase{"NotUtf8", "a\xff\xc0\x80z"},
	BodyCase{"LoneSurrogate", "{\"a\":\"\\ud800\"}"},
	BodyCase{"NumberOutOfRange", "[1e999,99999999999999999999]"},
	BodyCase{"Nested", std::string(2048, '[') + std::string(2048, ']')}),
    [](const auto &info) { return std::string(info.param.name); });

} // namespace
