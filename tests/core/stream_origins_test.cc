/**
 * @file stream_origins_test.cc
 * @brief What is remembered of streams: by request, by content, for how long.
 */
#include <gtest/gtest.h>

extern "C" {
#include "core/stream_origins.h"
}

namespace
{

class StreamOrigins : public ::testing::Test
{
      protected:
	jj_stream_origins_t *origins = jj_stream_origins_create();

	~StreamOrigins() override
	{
		jj_stream_origins_destroy(origins);
	}
	void
	add(uint64_t id, uint64_t content, uint64_t software, jj_ms_t now = 0,
	    jj_ms_t keep_ms = 1000)
	{
		jj_stream_origin_t origin = {id, content, software, keep_ms};

		jj_stream_origins_add(origins, &origin, now);
	}
	uint64_t
	find(uint64_t id, uint64_t content, jj_ms_t now = 0)
	{
		return jj_stream_origins_find(origins, id, content, now);
	}
};

TEST_F(StreamOrigins, AreFoundByRequestThenByContent)
{
	add(1, 100, 7);
	add(2, 100, 7);
	add(3, 101, 8);
	EXPECT_EQ(7U, find(1, 0));
	EXPECT_EQ(8U, find(3, 100)) << "the request is named";
	EXPECT_EQ(0U, find(4, 100)) << "its request is another one";
	EXPECT_EQ(7U, find(0, 100));
	EXPECT_EQ(0U, find(0, 102));
}

/* Guards against one of several streams with the same content taken for another. */
TEST_F(StreamOrigins, OneContentAtTwoVersionsIsMixed)
{
	add(1, 100, 7);
	add(2, 100, 8, 500);
	EXPECT_EQ(JJ_SOFTWARE_MIXED, find(0, 100, 900));
	EXPECT_EQ(7U, find(1, 100, 900));
	EXPECT_EQ(8U, find(0, 100, 1000)) << "the first one has expired";
	jj_stream_origins_tick(origins, 1000);
	EXPECT_EQ(1U, jj_stream_origins_count(origins));
	EXPECT_EQ(8U, find(0, 100, 1000));
	jj_stream_origins_tick(origins, 1500);
	EXPECT_EQ(0U, jj_stream_origins_count(origins));
	EXPECT_EQ(0U, find(0, 100, 1500));
}

TEST_F(StreamOrigins, ARepeatedRequestReplacesTheFirst)
{
	add(1, 100, 7);
	add(1, 100, 7, 500);
	EXPECT_EQ(1U, jj_stream_origins_count(origins));
	EXPECT_EQ(7U, find(1, 0, 1400));
	EXPECT_EQ(7U, find(0, 100, 1400));
}

/* Guards against memory that grows with the number of streams. */
TEST_F(StreamOrigins, AreBounded)
{
	for (uint64_t i = 1; i <= 20000; i++)
		add(i, i % 50, 7);
	EXPECT_EQ(16384U, jj_stream_origins_count(origins));
	EXPECT_EQ(0U, find(1, 0));
	EXPECT_EQ(7U, find(20000, 0));
}

} // namespace
