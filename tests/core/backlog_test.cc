/**
 * @file backlog_test.cc
 * @brief Batch over capacity beside online requests that come in steps.
 */
#include <map>

#include "tests/core/gateway_fixture.h"

namespace
{

/**
 * One server whose slots are all needed by online requests in each peak, and
 * jobs of ten items that need three times the slots of the troughs.
 */
class Backlog : public Gateway
{
      protected:
	static constexpr jj_ms_t STEP_MS = 25;
	static constexpr jj_ms_t ITEM_MS = 2000; /**< run time of an item */
	static constexpr jj_ms_t DUE_MS = 9000;
	static constexpr jj_ms_t PEAK_MS = 1400;
	static constexpr jj_ms_t CYCLE_MS = 3300;
	static constexpr int SLOTS = 8;
	static constexpr int ITEMS = 10;

	struct Run {
		jj_ms_t due_ms = 0;
		jj_ms_t ran_ms = 0; /**< over all attempts */
		size_t attempt = 0;
		bool done = false;
	};
	std::map<uint64_t, Run> runs; /**< items, by request */
	std::map<uint64_t, jj_ms_t> online; /**< when each request ends */
	int jobs = 0;
	int in_time = 0;
	int late = 0;
	jj_ms_t useful_ms = 0; /**< run time of the items in time */
	jj_ms_t used_ms = 0; /**< run time of all items */

	Backlog()
	{
		routes[2].run_due_ms = DUE_MS;
		routes[2].retention_ms = 60000;
		see(1, "config/main", "8");
		see(2, "servers/s1",
		    ("verona ready places=" + std::to_string(SLOTS)).c_str());
		tick(200);
	}
	/** Starts the online requests of a peak, and ends those that are due. */
	void
	step_online(bool is_peak)
	{
		std::map<uint64_t, jj_ms_t> running = online;

		for (const auto &request : running) {
			if (now < request.second)
				continue;
			online.erase(request.first);
			report_event(request.first, JJ_BACKEND_DONE);
		}
		while (is_peak && online.size() < SLOTS) {
			uint64_t request = begin("/again/1");

			online[request] = now + 350;
			if (attempts(request) == 0)
				return;
			report_event(request, JJ_BACKEND_FIRST);
		}
	}
	/** Lets the items run that are at the server. */
	void
	step_items(jj_ms_t started_ms)
	{
		std::map<uint64_t, RequestOutcome> all = outcomes;

		for (const auto &entry : all) {
			if (entry.first >> 62 == 0)
				continue;
			Run &run = runs[entry.first];
			size_t attempt = entry.second.servers.size();

			if (run.due_ms == 0)
				run.due_ms = started_ms + DUE_MS;
			if (run.done || attempt == 0 ||
			    entry.second.cancelled.size() >= attempt)
				continue;
			if (run.attempt < attempt) {
				run.attempt = attempt;
				report_event(entry.first, JJ_BACKEND_FIRST);
				continue;
			}
			run.ran_ms += STEP_MS;
			used_ms += STEP_MS;
			if (run.ran_ms < ITEM_MS)
				continue;
			run.done = true;
			in_time += now <= run.due_ms;
			late += now > run.due_ms;
			useful_ms += now <= run.due_ms ? ITEM_MS : 0;
			report_event(entry.first, JJ_BACKEND_DONE);
		}
	}
	void
	play(jj_ms_t ms)
	{
		jj_ms_t start = now;
		jj_ms_t next_job = now;

		while (now < start + ms) {
			tick(STEP_MS);
			step_online((now - start) % CYCLE_MS < PEAK_MS);
			if (now >= next_job) {
				submit(("j" + std::to_string(jobs++)).c_str(),
				    ITEMS);
				next_job += 1400;
			}
			step_items(now);
		}
	}
};

/*
 * Guards against slots that are spent on items which are late in the end: with
 * the earliest due time first, all of them are begun too late, cut in the next
 * peak and overdue after it.
 */
TEST_F(Backlog, SlotsGoToItemsThatWillBeInTime)
{
	play(60000);
	EXPECT_GT(useful_ms, used_ms / 2) << in_time << " in time, " << late
					  << " late, " << used_ms << " ms used";
}

} // namespace
