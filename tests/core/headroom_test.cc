/**
 * @file headroom_test.cc
 * @brief Reports of a server's load against the batch limit.
 */
#include <gtest/gtest.h>

extern "C" {
#include "core/dispatch_headroom.h"
}

namespace
{

struct ReportCase {
	const char *name;
	uint32_t running;
	uint32_t room;
};

class HeadroomReport : public ::testing::TestWithParam<ReportCase>
{
};

/*
 * A batch job stands still for good although its engine is idle. A load
 * report was taken after a request arrived and before it was admitted:
 * nothing runs, one waits. The limit became 0, so no stream ran that could
 * have shown that the engine has room.
 */
TEST_P(HeadroomReport, NeverLeavesAnIdleServerWithoutRoom)
{
	jj_headroom_t headroom;
	jj_headroom_use_t use = {0, 0, 32, 0.5, 256};

	jj_headroom_reset(&headroom, 2);
	jj_headroom_note_waiting(&headroom, GetParam().running);
	EXPECT_EQ(GetParam().room, jj_headroom_room(&headroom, &use, 1000));
}

INSTANTIATE_TEST_SUITE_P(Reports, HeadroomReport,
    ::testing::Values(ReportCase{"nothing_runs", 0, 2},
	ReportCase{"one_runs", 1, 1}, ReportCase{"more_than_limit", 9, 2}),
    [](const ::testing::TestParamInfo<ReportCase> &info) {
	    return std::string(info.param.name);
    });

} // namespace
