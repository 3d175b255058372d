/**
 * @file headroom_test.cc
 * @brief A server's load reports and the batch limit derived from them.
 */
#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "core/dispatch_headroom.h"
}

namespace
{

struct Report {
	jj_ms_t taken_ms;
	uint32_t running;
	uint32_t waiting;
};

struct ReportCase {
	const char *name;
	std::vector<Report> reports;
	uint32_t room; /* free capacity afterwards; 12 at the start */
};

class HeadroomReport : public ::testing::TestWithParam<ReportCase>
{
};

/* Guards against a limit derived from arrivals, or above the server's slots. */
TEST_P(HeadroomReport, BoundsTheLimitByAQueueThatLasts)
{
	jj_headroom_t headroom;
	jj_headroom_use_t use = {0, 0, 32, 0.5, 256};

	jj_headroom_reset(&headroom, 12);
	for (const Report &report : GetParam().reports)
		jj_headroom_note_report(
		    &headroom, report.running, report.waiting, report.taken_ms);
	EXPECT_EQ(
	    GetParam().room, jj_headroom_free_slots(&headroom, &use, 99000));
}

INSTANTIATE_TEST_SUITE_P(Reports, HeadroomReport,
    ::testing::Values(ReportCase{"nothing_runs", {{1000, 0, 1}}, 12},
	ReportCase{"nothing_ever_runs",
	    {{1000, 0, 1}, {1500, 0, 1}, {2000, 0, 1}}, 12},
	ReportCase{"one_runs", {{1000, 1, 1}}, 12},
	ReportCase{"arrivals_twice", {{1000, 1, 1}, {1500, 2, 1}}, 12},
	ReportCase{"arrivals_now_and_then",
	    {{1000, 1, 1}, {1500, 2, 0}, {2000, 1, 1}, {2500, 1, 1}}, 12},
	ReportCase{"queue", {{1000, 1, 1}, {1500, 1, 1}, {2000, 1, 1}}, 1},
	ReportCase{"queue_at_all_places",
	    {{1000, 8, 4}, {1500, 7, 4}, {2000, 6, 3}}, 8},
	ReportCase{"queue_after_arrivals",
	    {{1000, 9, 1}, {1500, 9, 0}, {2000, 8, 4}, {2500, 8, 4},
		{3000, 8, 4}},
	    8},
	ReportCase{"queue_gets_shorter",
	    {{1000, 8, 4}, {1500, 8, 4}, {2000, 8, 4}, {2500, 6, 1},
		{3000, 6, 1}, {3500, 6, 1}, {4000, 6, 1}},
	    6},
	ReportCase{"one_snapshot_again",
	    {{1000, 1, 1}, {1000, 1, 1}, {1000, 1, 1}, {1000, 1, 1}}, 12},
	ReportCase{"reports_far_apart",
	    {{1000, 1, 1}, {9000, 1, 1}, {17000, 1, 1}}, 12},
	ReportCase{"more_than_limit",
	    {{1000, 19, 1}, {1500, 19, 1}, {2000, 19, 1}}, 12}),
    [](const ::testing::TestParamInfo<ReportCase> &info) {
	    return std::string(info.param.name);
    });

} // namespace
