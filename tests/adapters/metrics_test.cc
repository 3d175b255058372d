/**
 * @file metrics_test.cc
 * @brief Series and their text. Tests use distinct names, as series persist.
 */
#include <algorithm>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

extern "C" {
#include "adapters/metrics.h"
}

static std::string
text_of(const std::string &name)
{
	jj_bytes_t bytes = jj_metrics_text();
	std::string all(bytes.data, bytes.size);
	size_t begin = all.find("# HELP " + name + " ");
	size_t end = all.find("# HELP ", begin + 1);

	jj_bytes_free(&bytes);
	return begin == std::string::npos ? "" : all.substr(begin, end - begin);
}

TEST(Metrics, CountersAndGauges)
{
	jj_counter_t *counter =
	    jj_metrics_counter("t_calls_total", "Calls.", "outcome", "done");

	jj_counter_add(counter, 2);
	EXPECT_EQ(counter,
	    jj_metrics_counter("t_calls_total", "Calls.", "outcome", "done"));
	jj_counter_add(jj_metrics_counter(
			   "t_calls_total", "Calls.", "outcome", "a\"b\\c\nd"),
	    1);
	jj_gauge_t *gauge = jj_metrics_gauge(
	    "t_depth", "Depth\\\nof queues.", nullptr, nullptr);
	jj_gauge_set(gauge, 5);
	jj_gauge_add(gauge, -7);
	EXPECT_EQ("# HELP t_calls_total Calls.\n"
		  "# TYPE t_calls_total counter\n"
		  "t_calls_total{outcome=\"done\"} 2\n"
		  "t_calls_total{outcome=\"a\\\"b\\\\c\\nd\"} 1\n",
	    text_of("t_calls_total"));
	EXPECT_EQ("# HELP t_depth Depth\\\\\\nof queues.\n"
		  "# TYPE t_depth gauge\nt_depth -2\n",
	    text_of("t_depth"));
}

TEST(Metrics, RowsAreReplaced)
{
	const jj_metrics_row_t first[] = {{"a", 0.25}, {"b\"", 1000000}};
	const jj_metrics_row_t second[] = {{"c", -3}};
	std::string head = "# HELP t_rows Rows.\n# TYPE t_rows gauge\n";

	jj_metrics_set_rows("t_rows", "Rows.", "team", first, 2);
	EXPECT_EQ(head +
		"t_rows{team=\"a\"} 0.25\n"
		"t_rows{team=\"b\\\"\"} 1e+06\n",
	    text_of("t_rows"));
	jj_metrics_set_rows("t_rows", "Rows.", "team", second, 1);
	EXPECT_EQ(head + "t_rows{team=\"c\"} -3\n", text_of("t_rows"));
	jj_metrics_set_rows("t_rows", "Rows.", "team", nullptr, 0);
	EXPECT_EQ(head, text_of("t_rows"));
}

TEST(Metrics, RowsAreBounded)
{
	std::vector<std::string> labels;
	std::vector<jj_metrics_row_t> rows;

	for (int i = 0; i < JJ_METRICS_SERIES_MAX + 50; i++)
		labels.push_back("l" + std::to_string(i));
	for (const std::string &label : labels)
		rows.push_back({label.c_str(), 1});
	jj_metrics_set_rows("t_many", "Many.", "x", rows.data(), rows.size());
	std::string text = text_of("t_many");
	EXPECT_EQ(JJ_METRICS_SERIES_MAX + 2,
	    std::count(text.begin(), text.end(), '\n'));
}

/*
 * Failure: a rate shows a huge spike. Two threads read a total elsewhere, the
 * older reading is set last, and the counter decreases, which Prometheus takes
 * for a restart.
 */
TEST(MetricsFailure, CountersNeverStepBack)
{
	jj_counter_t *counter =
	    jj_metrics_counter("t_back_total", "Back.", nullptr, nullptr);

	jj_counter_set(counter, 10);
	jj_counter_set(counter, 9);
	EXPECT_EQ(10U, jj_counter_value(counter));
}

TEST(Metrics, HistogramBuckets)
{
	const struct {
		uint64_t us;
		const char *bound;
	} cases[] = {
	    {0, "0.0001"},
	    {100, "0.0001"},
	    {101, "0.00015"},
	    {150, "0.00015"},
	    {200, "0.0002"},
	    {1000, "0.0012"},
	    {209715200, "209.7152"},
	    {209715201, "+Inf"},
	};

	for (const auto &row : cases) {
		std::string label = std::to_string(row.us);
		jj_histogram_t *histogram = jj_metrics_histogram(
		    "t_wait_seconds", "Wait.", "us", label.c_str());

		jj_histogram_observe(histogram, row.us);
		std::string text = text_of("t_wait_seconds");
		std::string head =
		    "t_wait_seconds_bucket{us=\"" + label + "\",le=\"";
		std::string first = text.substr(text.find(head),
		    text.find(head + row.bound) - text.find(head));

		EXPECT_NE(
		    std::string::npos, text.find(head + row.bound + "\"} 1\n"))
		    << row.us;
		EXPECT_EQ(std::string::npos, first.find("} 1\n")) << row.us;
		EXPECT_NE(std::string::npos,
		    text.find("_count{us=\"" + label + "\"} 1\n"));
	}
	EXPECT_NE(std::string::npos,
	    text_of("t_wait_seconds")
		.find("t_wait_seconds_sum{us=\"1000\"} 0.001000\n"));
}

/*
 * Failure: a VM's memory grows over months. Callers keep sending new team
 * names, each name adds a series, and series are never freed.
 */
TEST(MetricsFailure, LabelValuesAreBounded)
{
	for (int i = 0; i < 2 * JJ_METRICS_SERIES_MAX; i++)
		jj_counter_add(jj_metrics_counter("t_team_total", "Teams.",
				   "team", std::to_string(i).c_str()),
		    1);
	jj_counter_t *other =
	    jj_metrics_counter("t_team_total", "Teams.", "team", "other");
	EXPECT_EQ(uint64_t{JJ_METRICS_SERIES_MAX}, jj_counter_value(other));
	EXPECT_EQ(1U,
	    jj_counter_value(
		jj_metrics_counter("t_team_total", "Teams.", "team", "7")));
	std::string text = text_of("t_team_total");
	EXPECT_EQ(JJ_METRICS_SERIES_MAX + 1 + 2,
	    std::count(text.begin(), text.end(), '\n'));
}

TEST(Metrics, ThreadsLoseNoCount)
{
	std::vector<std::thread> threads;

	for (int thread = 0; thread < 4; thread++)
		threads.emplace_back([] {
			for (int i = 0; i < 1000; i++) {
				jj_counter_add(
				    jj_metrics_counter("t_threads_total",
					"Threads.", "n",
					std::to_string(i % 3).c_str()),
				    1);
				jj_histogram_observe(
				    jj_metrics_histogram("t_threads_seconds",
					"Threads.", nullptr, nullptr),
				    static_cast<uint64_t>(i));
				if (i % 100 == 0)
					text_of("t_threads_total");
			}
		});
	for (std::thread &thread : threads)
		thread.join();
	EXPECT_EQ(1336U,
	    jj_counter_value(
		jj_metrics_counter("t_threads_total", "Threads.", "n", "0")));
	EXPECT_EQ(4000U,
	    jj_histogram_count(jj_metrics_histogram(
		"t_threads_seconds", "Threads.", nullptr, nullptr)));
}
