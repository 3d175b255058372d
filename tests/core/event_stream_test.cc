/**
 * @file event_stream_test.cc
 * @brief Only complete events in sequence are returned.
 */
#include <string>
#include <vector>

#include <gtest/gtest.h>

extern "C" {
#include "core/event_stream.h"
}

namespace
{

struct StreamCase {
	const char *name;
	int64_t last_id; /**< event after which the run resumes */
	const char *bytes;
	const char *passed; /**< bytes of the events returned */
	jj_event_result_t end;
	bool rest;
};

class EventStreamFailure : public ::testing::Test
{
      protected:
	jj_event_stream_t stream = {};
	std::string passed;
	jj_event_result_t found = JJ_EVENT_INCOMPLETE;

	~EventStreamFailure() override
	{
		jj_event_stream_clear(&stream);
	}
	void
	feed(const std::string &bytes)
	{
		jj_stream_event_t piece;

		jj_event_stream_feed(&stream, bytes.data(), bytes.size());
		while ((found = jj_event_stream_next(&stream, &piece)) ==
		    JJ_EVENT_COMPLETE)
			passed += std::string(piece.raw, piece.raw_size);
	}
};

class EventStream : public EventStreamFailure,
		    public ::testing::WithParamInterface<StreamCase>
{
};

TEST_P(EventStream, ReturnsEventsInSequence)
{
	jj_event_stream_begin(&stream, GetParam().last_id);
	feed(GetParam().bytes);
	EXPECT_EQ(GetParam().passed, passed);
	EXPECT_EQ(GetParam().end, found);
	EXPECT_EQ(GetParam().rest, jj_event_stream_has_incomplete(&stream));
}

/* The result does not depend on how the bytes are split. */
TEST_P(EventStream, ResultDoesNotDependOnSplits)
{
	jj_event_stream_begin(&stream, GetParam().last_id);
	for (const char *at = GetParam().bytes; *at != '\0'; at++)
		feed(std::string(1, *at));
	EXPECT_EQ(GetParam().passed, passed);
}

#define E0 "id: 0\ndata: a\n\n"
#define E1 "id: 1\ndata: b\n\n"
#define E2 "id: 2\ndata: c\n\n"
#define E3 "id: 3\ndata: d\n\n"

INSTANTIATE_TEST_SUITE_P(Streams, EventStream,
    ::testing::Values(
	StreamCase{"FromZero", -1, E0 E1, E0 E1, JJ_EVENT_INCOMPLETE, false},
	StreamCase{"FromOne", -1, E1 E2, E1 E2, JJ_EVENT_INCOMPLETE, false},
	StreamCase{
	    "CutInside", -1, E0 "id: 1\nda", E0, JJ_EVENT_INCOMPLETE, true},
	StreamCase{"GoesOn", 1, E2 E3, E2 E3, JJ_EVENT_INCOMPLETE, false},
	/* A server that was to resume the run restarted it. */
	StreamCase{"BeganAnew", 1, E0 E1, "", JJ_EVENT_OUT_OF_SEQUENCE, true},
	/* A second run follows the first in one answer. */
	StreamCase{
	    "TwoRuns", -1, E0 E1 E0 E1, E0 E1, JJ_EVENT_OUT_OF_SEQUENCE, true},
	StreamCase{"Gap", -1, E0 E2, E0, JJ_EVENT_OUT_OF_SEQUENCE, true},
	StreamCase{"Repeat", -1, E0 E0, E0, JJ_EVENT_OUT_OF_SEQUENCE, true},
	StreamCase{"StartsLate", -1, E3, "", JJ_EVENT_OUT_OF_SEQUENCE, true},
	StreamCase{
	    "NoId", -1, "data: x\n\n", "", JJ_EVENT_OUT_OF_SEQUENCE, true},
	StreamCase{"Comment", -1, ": hi\n\n" E0, ": hi\n\n" E0,
	    JJ_EVENT_INCOMPLETE, false},
	StreamCase{"FieldBefore", -1, "versions: 3\n" E0, "versions: 3\n" E0,
	    JJ_EVENT_INCOMPLETE, false},
	StreamCase{"CarriageReturns", -1, "id:0\r\ndata:a\r\n\r\n",
	    "id:0\r\ndata:a\r\n\r\n", JJ_EVENT_INCOMPLETE, false},
	StreamCase{"NotUtf8", -1, E0 "id: 1\ndata: \x9b\xff\n\n" E2, E0,
	    JJ_EVENT_OUT_OF_SEQUENCE, true},
	StreamCase{"Overlong", -1, E0 "id: 1\ndata: \xc0\xaf\n\n", E0,
	    JJ_EVENT_OUT_OF_SEQUENCE, true},
	StreamCase{"Surrogate", -1, E0 "id: 1\ndata: \xed\xa0\x80\n\n", E0,
	    JJ_EVENT_OUT_OF_SEQUENCE, true},
	StreamCase{"CommentNotUtf8", -1, E0 ": \xff\n\n" E1, E0,
	    JJ_EVENT_OUT_OF_SEQUENCE, true},
	StreamCase{"Utf8", -1, E0 "id: 1\ndata: \xe2\x82\xac\n\n",
	    E0 "id: 1\ndata: \xe2\x82\xac\n\n", JJ_EVENT_INCOMPLETE, false},
	StreamCase{"LastId", INT64_MAX, E0, "", JJ_EVENT_OUT_OF_SEQUENCE, true},
	StreamCase{"Garbage", -1, "\x01\x02 zz\n\n", "\x01\x02 zz\n\n",
	    JJ_EVENT_INCOMPLETE, false}),
    [](const auto &info) { return std::string(info.param.name); });

/* Guards against bytes that are no text in the output of a run. */
TEST_F(EventStreamFailure, AnEventWithANulIsNotReturned)
{
	jj_event_stream_begin(&stream, JJ_EVENT_NO_ID);
	feed(E0 + std::string("id: 1\ndata: \x12\0x\n\n", 17) + E2);
	EXPECT_EQ(E0, passed);
	EXPECT_EQ(JJ_EVENT_OUT_OF_SEQUENCE, found);
}

TEST(EventPiece, JoinsItsDataByLineFeeds)
{
	const char raw[] = "id: 4\ndata: one\ndata:two\n\n";
	jj_stream_event_t piece = {raw, sizeof(raw) - 1, 4, true};
	jj_bytes_t text = {};

	jj_stream_event_append_data(&piece, true, &text);
	jj_stream_event_append_data(&piece, false, &text);
	EXPECT_STREQ("one\ntwo\none\ntwo", text.data);
	jj_bytes_free(&text);
}

} // namespace
