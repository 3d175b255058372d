/**
 * @file inline_test.cc
 * @brief Jobs submitted whole: accepted, run, read and ended, with failures.
 */
#include "tests/core/inline_world.h"

namespace
{

class Inline : public InlineWorld
{
      protected:
	InlineVm &a = add_vm("a");
	InlineVm &b = add_vm("b");

	Inline()
	{
		pass(100);
	}
};

class InlineFailure : public Inline
{
};

TEST_F(Inline, RunsAJobFromSubmissionToItsLastResult)
{
	uint64_t submit = a.submit("j", 2);

	ASSERT_EQ(202, a.answer(submit).status);
	EXPECT_TRUE(platform.has("batch-jobs/j"));
	EXPECT_TRUE(platform.has("batch-open/j"));
	pass(100);
	ASSERT_EQ(2U, a.items.size());
	EXPECT_TRUE(a.finish("j-1", "eins"));
	pass(600);
	EXPECT_EQ("2 0: j-1=eins", a.answer(a.read("j", 0)).body);
	EXPECT_TRUE(a.finish("j-0", "null"));
	pass(200);
	EXPECT_EQ("2 1: j-0=null", a.answer(a.read("j", 1)).body);
	EXPECT_FALSE(platform.has("batch-open/j"));
	EXPECT_EQ("2 0: j-1=eins j-0=null", b.answer(b.read("j", 0)).body);
	pass(2000);
	EXPECT_EQ("2 0: j-1=eins j-0=null", a.answer(a.read("j", 0)).body);
	EXPECT_TRUE(jj_inline_is_idle(a.jobs));
}

TEST_F(Inline, AnswersAnUnknownJobWith404)
{
	EXPECT_EQ(404, a.answer(a.read("no", 0)).status);
	EXPECT_EQ(404, a.answer(a.read_item("no", "no-1")).status);
	EXPECT_EQ(404, a.answer(a.end("no")).status);
}

TEST_F(Inline, GivesItemsBodiesBack)
{
	(void)a.submit("j", 1, 10, 5);
	EXPECT_EQ("bbbbb", a.answer(a.read_item("j", "j-0")).body);
	EXPECT_EQ("bbbbb", b.answer(b.read_item("j", "j-0")).body);
	EXPECT_EQ(404, b.answer(b.read_item("j", "j-7")).status);
}

TEST_F(Inline, CutsALargeJobIntoParts)
{
	uint64_t submit = a.submit("j", 3, 10, 500000);

	ASSERT_EQ(202, a.answer(submit).status);
	EXPECT_TRUE(platform.has("batch-parts/j.3"));
	EXPECT_EQ(500000U, b.answer(b.read_item("j", "j-2")).body.size());
	lost_writers.insert(a.writer);
	a.paused = true;
	pass(8000);
	EXPECT_EQ(3U, b.items.size()) << "another VM reads it whole";
}

TEST_F(Inline, SealsASegmentThatIsFull)
{
	(void)a.submit("j", 5);
	pass(100);
	a.finish_all(std::string(250000, 't'));
	pass(2000);
	EXPECT_TRUE(platform.has("batch-out/j.1"));
	EXPECT_EQ(5U, stored("j").size());
	std::string page = b.answer(b.read("j", 4)).body;
	EXPECT_EQ(0U, page.find("5 4: j-")) << page.substr(0, 20);
}

/*
 * A segment must not grow larger than the store accepts: its results would
 * never be published.
 */
TEST_F(Inline, SegmentsFitTheStore)
{
	const struct {
		const char *name;
		size_t first;
		size_t second;
		char letter;
	} cases[] = {
	    {"Plain", 590000, 590000, 't'},
	    {"Quoted", 390000, 390000, '"'},
	    {"Escaped", 100000, 150000, 1},
	};

	for (const auto &row : cases) {
		std::string id = row.name;

		(void)a.submit(id, 2);
		pass(100);
		(void)a.finish(id + "-0", std::string(row.first, row.letter));
		(void)a.finish(id + "-1", std::string(row.second, row.letter));
		pass(2000);
		EXPECT_EQ(2U, stored(id).size()) << row.name;
	}
	for (const auto &object : platform.objects)
		EXPECT_LE(
		    object.second.value.size(), (size_t)JJ_OBJECT_VALUE_MAX)
		    << object.first;
}

/* A result too large for any object must not block the other results. */
TEST_F(Inline, AResultThatIsTooLargeHidesNoOther)
{
	(void)a.submit("j", 2);
	pass(100);
	(void)a.finish("j-0", std::string(JJ_OBJECT_VALUE_MAX, 't'));
	(void)a.finish("j-1", "eins");
	pass(2000);
	EXPECT_EQ("2 0: j-1=eins", b.answer(b.read("j", 0)).body);
	EXPECT_TRUE(a.items.empty())
	    << "the item runs again before its retention ends";
	pass(61000);
	EXPECT_EQ("2 1: j-0!", b.answer(b.read("j", 1)).body);
	for (const auto &object : platform.objects)
		EXPECT_LE(
		    object.second.value.size(), (size_t)JJ_OBJECT_VALUE_MAX)
		    << object.first;
}

/* Guards against a stored result that hides all results of its job. */
TEST_F(InlineFailure, AResultWithANulIsListed)
{
	const std::string text("a\0b", 3);

	(void)a.submit("j", 2);
	pass(100);
	(void)a.finish("j-0", text);
	pass(600);
	(void)a.finish("j-1", "eins");
	pass(2000);
	EXPECT_EQ(
	    "2 0: j-0=" + text + " j-1=eins", b.answer(b.read("j", 0)).body);
	EXPECT_FALSE(platform.has("batch-open/j"));
}

TEST_F(Inline, RefusesWhatDoesNotFitTheRoute)
{
	EXPECT_EQ(202, a.answer(a.submit("j", 9, 100)).status);
	EXPECT_EQ(429, a.answer(a.submit("k", 2, 100)).status);
	EXPECT_FALSE(platform.has("batch-jobs/k"));
	pass(300);
	EXPECT_EQ(429, b.answer(b.submit("k", 2, 100)).status)
	    << "other VMs count it as well";
	EXPECT_EQ(202, b.answer(b.submit("j", 9, 100)).status)
	    << "a resend of an accepted job always fits";
}

/* Guards against accepted jobs that use up the memory of their VM. */
TEST_F(InlineFailure, AJobThatDoesNotFitIntoMemoryIsNotRun)
{
	constexpr size_t LARGE = JOBS_BYTES / 4;

	EXPECT_EQ(202, a.answer(a.submit("j", 1, 1, LARGE)).status);
	EXPECT_EQ(202, a.answer(a.submit("k", 1, 1, LARGE)).status);
	EXPECT_EQ(503, a.answer(a.submit("l", 1, 1, LARGE)).status);
	EXPECT_FALSE(platform.has("batch-jobs/l"));
	EXPECT_FALSE(platform.has("batch-open/l"));
	EXPECT_EQ(202, a.answer(a.submit("m", 1, 1)).status) << "a small one";
	EXPECT_EQ(202, a.answer(a.submit("k", 1, 1, LARGE)).status)
	    << "a resend of an accepted job always fits";
	EXPECT_EQ(202, b.answer(b.submit("l", 1, 1, LARGE)).status);
	pass(100);
	EXPECT_EQ(202, a.answer(a.submit("l", 1, 1, LARGE)).status)
	    << "accepted elsewhere meanwhile";
}

/** A VM that has started beside others and has not read the list of jobs. */
class UnlistedVm : public InlineFailure
{
      protected:
	InlineVm &c = add_vm("c");

	UnlistedVm()
	{
		c.defers = [](const jj_platform_call_t &call) {
			return call.op == JJ_PLATFORM_LIST;
		};
	}
	void
	read_list()
	{
		c.defers = nullptr;
		c.release();
	}
};

/* Guards against jobs over the route's limit at VMs that have just started. */
TEST_F(UnlistedVm, AcceptsNothingOverTheLimit)
{
	ASSERT_EQ(202, a.answer(a.submit("j", 9, 100)).status);
	pass(100);
	uint64_t submit = c.submit("k", 2, 100);
	EXPECT_EQ(0, c.answer(submit).status);
	EXPECT_FALSE(platform.has("batch-jobs/k"));
	read_list();
	EXPECT_EQ(429, c.answer(submit).status);
	EXPECT_FALSE(platform.has("batch-jobs/k"));
}

/* Guards against jobs that fit, refused for others that wait as they do. */
TEST_F(UnlistedVm, AcceptsWhatFits)
{
	ASSERT_EQ(202, a.answer(a.submit("j", 2, 100)).status);
	pass(100);
	uint64_t first = c.submit("k", 6, 100);
	uint64_t second = c.submit("l", 6, 100);
	read_list();
	EXPECT_EQ(202, c.answer(first).status);
	EXPECT_EQ(429, c.answer(second).status);
}

/* Guards against a refusal of an accepted job that is sent again. */
TEST_F(UnlistedVm, AcceptsAResendOfAnAcceptedJob)
{
	ASSERT_EQ(202, a.answer(a.submit("j", 9, 100)).status);
	pass(100);
	uint64_t resend = c.submit("j", 9, 100);
	read_list();
	EXPECT_EQ(202, c.answer(resend).status);
	pass(500);
	EXPECT_TRUE(c.items.empty()) << "the job runs elsewhere";
}

/* Guards against a caller that waits for ever, and a job that runs later. */
TEST_F(UnlistedVm, RefusesForNowWithoutAList)
{
	uint64_t submit = c.submit("k", 1);
	pass(600);
	EXPECT_EQ(503, c.answer(submit).status);
	read_list();
	pass(500);
	EXPECT_FALSE(platform.has("batch-jobs/k"));
	EXPECT_TRUE(c.items.empty());
}

TEST_F(UnlistedVm, AcceptsJobsOfARouteWithoutALimit)
{
	route.max_waiting_tokens = 0;
	EXPECT_EQ(202, c.answer(c.submit("k", 2, 100)).status);
}

struct EndCase {
	const char *name;
	jj_inline_item_end_t how;
	int runs; /**< until the item is given up */
};

class InlineItem : public Inline, public ::testing::WithParamInterface<EndCase>
{
};

TEST_P(InlineItem, IsGivenUpAfterItsRuns)
{
	(void)a.submit("j", 1);
	for (int run = 1; run <= GetParam().runs; run++) {
		pass(1000);
		EXPECT_TRUE(stored("j").empty());
		ASSERT_TRUE(a.finish("j-0", "", GetParam().how)) << run;
	}
	pass(1000);
	EXPECT_EQ("1 0: j-0!", a.answer(a.read("j", 0)).body);
	EXPECT_TRUE(a.items.empty());
}

INSTANTIATE_TEST_SUITE_P(Ends, InlineItem,
    ::testing::Values(EndCase{"Failed", JJ_INLINE_FAILED, 3},
	EndCase{"Refused", JJ_INLINE_REFUSED, 1}),
    [](const auto &info) { return std::string(info.param.name); });

/* Guards against items given up early as a version lacks their route. */
TEST_F(InlineFailure, AnItemThatFailsWithoutARouteKeepsItsAttempts)
{
	(void)a.submit("j", 1);
	pass(100);
	route.host = const_cast<char *>("other.example");
	ASSERT_TRUE(a.finish("j-0", "", JJ_INLINE_FAILED));
	pass(1000);
	EXPECT_TRUE(stored("j").empty());
	route.host = const_cast<char *>("ordini.example");
	for (int run = 2; run <= 3; run++) {
		pass(1000);
		EXPECT_TRUE(stored("j").empty());
		ASSERT_TRUE(a.finish("j-0", "", JJ_INLINE_FAILED)) << run;
	}
	pass(1000);
	EXPECT_EQ("1 0: j-0!", a.answer(a.read("j", 0)).body);
}

/* The retry delay must stay at seconds, also on a route with many attempts. */
TEST_F(InlineFailure, AnItemThatFailsOftenRestsForSeconds)
{
	route.attempts = 64;
	route.retention_ms = 1000000;
	(void)a.submit("j", 1);
	for (int run = 1; run < 64; run++) {
		pass(2000);
		ASSERT_TRUE(a.finish("j-0", "", JJ_INLINE_FAILED)) << run;
		if (run > 4) {
			pass(1000);
			ASSERT_TRUE(a.items.empty())
			    << "no retry delay after run " << run;
		}
	}
	pass(2000);
	EXPECT_TRUE(a.finish("j-0", "eins"));
	pass(1000);
	EXPECT_EQ("1 0: j-0=eins", a.answer(a.read("j", 0)).body);
}

/*
 * A read arrives while a write of results is pending; the write's answer is
 * lost and it never takes effect; the next write puts other results first. The
 * reader saw a position whose result changed, as unconfirmed results stood in
 * the same list as published ones.
 */
TEST_F(InlineFailure, ResultsOfAWriteUnderWayAreNotShown)
{
	(void)a.submit("j", 3);
	pass(100);
	a.defers = [](const jj_platform_call_t &call) {
		return call.op == JJ_PLATFORM_CREATE &&
		    strncmp(call.key, "batch-out/", 10) == 0;
	};
	EXPECT_TRUE(a.finish("j-2", "zwei"));
	pass(600);
	ASSERT_EQ(1U, a.deferred.size());
	EXPECT_EQ("3 0:", a.answer(a.read("j", 0)).body);
	a.defers = nullptr;
	EXPECT_TRUE(a.finish("j-0", "null"));
	platform.next_writes = {Fault::kNoAnswer};
	a.release();
	pass(1000);
	EXPECT_EQ("3 0: j-0=null j-2=zwei", a.answer(a.read("j", 0)).body);
}

/*
 * A client ends its job and repeats the end a moment later, as it does when an
 * answer was slow. The VM's list still has the entry that was deleted with the
 * end, so its update found nothing and the client got 404.
 */
TEST_F(InlineFailure, AnEndThatIsAskedAgainIsConfirmedAgain)
{
	(void)a.submit("j", 1);
	pass(300);
	EXPECT_EQ(200, a.answer(a.end("j")).status);
	b.paused = true;
	pass(100);
	b.paused = false;
	EXPECT_FALSE(platform.has("batch-open/j"));
	EXPECT_EQ(200, b.answer(b.end("j")).status)
	    << "with a list that still has the entry";
	pass(500);
	EXPECT_EQ(200, b.answer(b.end("j")).status);
	EXPECT_EQ(200, a.answer(a.end("j")).status);
	EXPECT_TRUE(a.items.empty());
}

/*
 * A client ends its job, and a resend of its submission arrives after the end.
 * Nothing recorded the end any more, so the job was adopted again and its items
 * ran.
 */
TEST_F(InlineFailure, AnEndedJobThatIsSentAgainIsNotRun)
{
	(void)a.submit("j", 2);
	pass(300);
	EXPECT_TRUE(a.finish("j-0", "null"));
	EXPECT_EQ(200, a.answer(a.end("j")).status);
	pass(3000);
	EXPECT_FALSE(platform.has("batch-open/j"));
	EXPECT_EQ(202, b.answer(b.submit("j", 2)).status);
	pass(3000);
	EXPECT_TRUE(a.items.empty());
	EXPECT_TRUE(b.items.empty());
	EXPECT_FALSE(platform.has("batch-open/j"));
	EXPECT_EQ(200, b.answer(b.end("j")).status);
}

/* Guards against an ended job that stays open as its last segment is full. */
TEST_F(InlineFailure, AJobThatEndsWithAFullSegmentIsClosed)
{
	for (int finished : {1, 2, 3, 5})
		for (size_t size : {700000, 250000, 3})
			for (jj_ms_t before_ms : {0, 50, 200, 1000}) {
				std::string id = "j" +
				    std::to_string(finished) + "-" +
				    std::to_string(size) + "-" +
				    std::to_string(before_ms);

				(void)a.submit(id, 6);
				pass(300);
				for (int i = 0; i < finished; i++)
					EXPECT_TRUE(a.finish(
					    id + "-" + std::to_string(i),
					    std::string(size, 't')));
				if (before_ms > 0)
					pass(before_ms);
				EXPECT_EQ(200, a.answer(a.end(id)).status);
				pass(5000);
				EXPECT_FALSE(
				    platform.has(("batch-open/" + id).c_str()))
				    << id;
				EXPECT_TRUE(jj_inline_is_idle(a.jobs)) << id;
				EXPECT_EQ(
				    202, b.answer(b.submit(id, 6)).status);
				pass(3000);
				EXPECT_TRUE(a.items.empty()) << id;
				EXPECT_TRUE(b.items.empty()) << id;
			}
}

/*
 * The VM that runs a job fails just after the end was confirmed. The VM that
 * takes the job over must not start items before it learns of the end.
 */
TEST_F(InlineFailure, AnEndedJobThatIsTakenOverIsNotRun)
{
	(void)b.submit("j", 2);
	pass(300);
	b.paused = true;
	EXPECT_EQ(200, a.answer(a.end("j")).status);
	lost_writers.insert(b.writer);
	for (int i = 0; i < 200; i++) {
		pass(50);
		EXPECT_TRUE(a.items.empty());
	}
	EXPECT_FALSE(platform.has("batch-open/j"));
}

/*
 * The VM that accepted a job fails right after its answer. Its entry names a
 * lost process; another VM takes it over and runs the job.
 */
TEST_F(InlineFailure, AJobOfALostVmIsTakenOver)
{
	EXPECT_EQ(202, b.answer(b.submit("j", 2)).status);
	pass(100);
	EXPECT_TRUE(b.finish("j-0", "null"));
	pass(600);
	b.paused = true;
	lost_writers.insert(b.writer);
	pass(8000);
	ASSERT_EQ(1U, a.items.size()) << "only the unpublished item is run";
	a.finish_all("eins");
	pass(600);
	EXPECT_EQ("2 0: j-0=null j-1=eins", a.answer(a.read("j", 0)).body);
}

/*
 * A domain was disconnected. It reached the platform a second before it
 * received heartbeats of the others, which it had missed for six seconds, and
 * took their jobs over: work that was nearly done started again.
 */
TEST_F(InlineFailure, HeartbeatsMissedWhileDisconnectedTakeNoJobOver)
{
	(void)b.submit("j", 1);
	pass(100);
	lost_writers.insert(b.writer);
	pass(5000);
	a.reached_ms = now;
	pass(5000);
	EXPECT_EQ(0U, a.items.size());
	lost_writers.erase(b.writer);
	pass(8000);
	EXPECT_EQ(0U, a.items.size());
	EXPECT_EQ(1U, b.items.size());
}

/*
 * A VM is paused, its job is taken over and finished elsewhere. It resumes with
 * unpublished results and writes them: each item must keep the result and
 * position that readers saw.
 */
TEST_F(InlineFailure, AVmThatWakesDoesNotChangeWhatIsShown)
{
	(void)b.submit("j", 2);
	pass(100);
	EXPECT_TRUE(b.finish("j-0", "alt"));
	b.paused = true;
	lost_writers.insert(b.writer);
	pass(8000);
	a.finish_all("neu");
	pass(600);
	std::string shown = a.answer(a.read("j", 0)).body;
	EXPECT_EQ("2 0: j-0=neu j-1=neu", shown);
	b.paused = false;
	jj_inline_tick(b.jobs, now, &b.out);
	b.run_actions();
	EXPECT_TRUE(b.finish("j-1", "alt") || b.items.empty());
	pass(3000);
	EXPECT_EQ(shown, b.answer(b.read("j", 0)).body);
	EXPECT_EQ(2U, stored("j").size());
	EXPECT_TRUE(b.items.empty()) << "the VM still runs items of a lost job";
}

/*
 * While a VM was paused its job was taken over and more results were published
 * elsewhere. It resumes and gets a read before its list is updated: it must not
 * return an empty page for a position that was read.
 */
TEST_F(InlineFailure, AVmThatLostItsJobAsksThePlatform)
{
	(void)b.submit("j", 2);
	pass(300);
	b.paused = true;
	lost_writers.insert(b.writer);
	pass(8000);
	EXPECT_TRUE(a.finish("j-1", "neu"));
	pass(600);
	b.paused = false;
	b.deliver_changes();
	EXPECT_EQ("2 0: j-1=neu", b.answer(b.read("j", 0)).body);
}

/*
 * A VM is disconnected while a write of results is pending; its job is taken
 * over. After the reconnect the write takes effect, and readers at other VMs
 * saw its results, while the VM that runs the job now returned none.
 */
TEST_F(InlineFailure, ALateWriteOfTheVmBeforeDoesNotCount)
{
	(void)b.submit("j", 2);
	pass(300);
	b.defers = [](const jj_platform_call_t &call) {
		return strncmp(call.key, "batch-out/", 10) == 0;
	};
	EXPECT_TRUE(b.finish("j-0", "alt"));
	pass(600);
	ASSERT_EQ(1U, b.deferred.size());
	b.paused = true;
	lost_writers.insert(b.writer);
	pass(8000);
	ASSERT_EQ(2U, a.items.size());
	b.defers = nullptr;
	b.release();
	EXPECT_TRUE(stored("j").empty());
	EXPECT_EQ("2 0:", a.answer(a.read("j", 0)).body);
	a.finish_all("neu");
	pass(600);
	EXPECT_EQ("2 0: j-0=neu j-1=neu", a.answer(a.read("j", 0)).body);
}

/* A VM that resumes must not append results to a job that another VM owns. */
TEST_F(InlineFailure, AVmThatLostItsJobWritesNothingMore)
{
	(void)b.submit("j", 2);
	pass(300);
	b.paused = true;
	lost_writers.insert(b.writer);
	pass(8000);
	ASSERT_EQ(2U, a.items.size());
	lost_writers.clear();
	b.paused = false;
	b.watch_stalled = true;
	EXPECT_TRUE(b.finish("j-0", "alt"));
	pass(3000);
	EXPECT_TRUE(stored("j").empty());
	EXPECT_EQ("2 0:", a.answer(a.read("j", 0)).body);
	EXPECT_TRUE(b.items.empty());
}

/* The same for a VM that is stopping. */
TEST_F(InlineFailure, AStoppingVmThatLostItsJobWritesNothingMore)
{
	(void)b.submit("j", 2);
	pass(300);
	EXPECT_TRUE(b.finish("j-0", "alt"));
	b.paused = true;
	lost_writers.insert(b.writer);
	pass(8000);
	ASSERT_EQ(2U, a.items.size());
	lost_writers.clear();
	b.paused = false;
	jj_inline_leave(b.jobs, now, &b.out);
	b.run_actions();
	pass(3000);
	EXPECT_TRUE(stored("j").empty());
	EXPECT_EQ("2 0:", a.answer(a.read("j", 0)).body);
	EXPECT_TRUE(jj_inline_is_idle(b.jobs));
}

/* A stopping VM must not answer for a job that another VM owns and closed. */
TEST_F(InlineFailure, AStoppingVmAnswersForNoClosedJob)
{
	(void)b.submit("j", 2);
	pass(300);
	EXPECT_TRUE(b.finish("j-0", "alt"));
	pass(1000);
	ASSERT_EQ(1U, stored("j").size());
	b.defers = [](const jj_platform_call_t &call) {
		return call.op == JJ_PLATFORM_UPDATE &&
		    strcmp(call.key, "batch-open/j") == 0;
	};
	jj_inline_leave(b.jobs, now, &b.out);
	b.run_actions();
	pass(100);
	ASSERT_FALSE(b.deferred.empty());
	lost_writers.insert(b.writer);
	pass(8000);
	a.finish_all("neu");
	pass(2000);
	ASSERT_EQ(2U, stored("j").size());
	lost_writers.clear();
	uint64_t read = b.read("j", 1);
	pass(2000);
	EXPECT_EQ("2 1: j-1=neu", b.answer(read).body);
}

/*
 * After a disconnect a VM's watch had failed and was in backoff, while its
 * checks of the open entries succeeded again. It counted as verified, but did
 * not drop the job that another VM had taken over, and appended to its results.
 */
TEST_F(InlineFailure, ACheckOfTheListDropsALostJobWhileTheWatchFails)
{
	(void)b.submit("j", 2);
	pass(300);
	b.paused = true;
	lost_writers.insert(b.writer);
	pass(8000);
	ASSERT_EQ(2U, a.items.size());
	lost_writers.clear();
	b.paused = false;
	b.watch_stalled = true;
	heartbeats_missing = true;
	EXPECT_TRUE(b.finish("j-0", "alt"));
	for (int i = 0; i < 60; i++) {
		b.fail_watch();
		pass(50);
	}
	EXPECT_TRUE(stored("j").empty());
	EXPECT_TRUE(b.items.empty());
}

/*
 * A domain is disconnected; a job of its VM is taken over, completed and closed
 * before the reconnect. The VM's watch returns the takeover and the deletion of
 * the entry together, so it never saw another owner. It took the job for its
 * own, not listed yet, ran it on, and for seconds reported to all VMs that
 * there is nothing at positions that had been read.
 */
TEST_F(InlineFailure, AJobThatEndedElsewhereDuringADisconnectIsNotResumed)
{
	InlineVm &reader = add_vm("c");

	(void)b.submit("j", 2);
	pass(300);
	EXPECT_TRUE(b.finish("j-0", "first"));
	pass(600);
	ASSERT_EQ(1U, stored("j").size());
	b.paused = true;
	lost_writers.insert(b.writer);
	pass(8000);
	a.finish_all("second");
	pass(600);
	ASSERT_EQ(2U, stored("j").size());
	ASSERT_FALSE(platform.has("batch-open/j"));
	pass(5000);
	lost_writers.clear();
	b.paused = false;
	pass(50);
	b.report_states(reader);
	EXPECT_TRUE(b.items.empty());
	EXPECT_EQ("2 1: j-1=second", b.answer(b.read("j", 1)).body);
	EXPECT_EQ("2 1: j-1=second", reader.answer(reader.read("j", 1)).body);
}

/*
 * The same, but the client ended the job at the VM that had taken it over. The
 * VM that came back ran items of the ended job; and one that learned of the end
 * from the stored results closed the job and left its items at their servers.
 */
TEST_F(InlineFailure, AJobThatItsClientEndedDuringADisconnectRunsNoItems)
{
	(void)b.submit("j", 2);
	pass(300);
	b.paused = true;
	lost_writers.insert(b.writer);
	pass(8000);
	(void)a.end("j");
	pass(600);
	ASSERT_FALSE(platform.has("batch-open/j"));
	lost_writers.clear();
	b.paused = false;
	b.deliver_changes();
	EXPECT_TRUE(b.items.empty());
	pass(600);
	EXPECT_TRUE(b.items.empty());
	EXPECT_TRUE(stored("j").empty());
}

/*
 * The open entries are listed again after a lost history, and the entry of a
 * job that this VM runs is missing: another VM took it over and closed it in
 * between. There is no deletion event.
 */
TEST_F(InlineFailure, AJobThatIsMissingInANewListIsReadAgain)
{
	(void)b.submit("j", 2);
	pass(300);
	b.paused = true;
	lost_writers.insert(b.writer);
	pass(8000);
	a.finish_all("other");
	pass(600);
	ASSERT_FALSE(platform.has("batch-open/j"));
	lost_writers.clear();
	b.paused = false;
	b.drop_history();
	b.run_actions();
	pass(50);
	EXPECT_TRUE(b.items.empty());
	EXPECT_EQ("2 0: j-0=other j-1=other", b.answer(b.read("j", 0)).body);
}

/*
 * A write of results takes effect, and its answer is delayed by a disconnect.
 * Readers at other VMs see the results in the store; the VM that wrote them
 * must not report that they don't exist.
 */
TEST_F(InlineFailure, AVmWithAPendingWriteDoesNotReportResults)
{
	jj_job_progress_t states[4];
	int executed = 0;

	(void)a.submit("j", 2);
	pass(300);
	a.defers = [&](const jj_platform_call_t &call) {
		if (call.op != JJ_PLATFORM_CREATE ||
		    strncmp(call.key, "batch-out/", 10) != 0)
			return false;
		jj_platform_result_t lost = platform.execute(call);

		jj_platform_result_clear(&lost);
		executed++;
		return true;
	};
	EXPECT_TRUE(a.finish("j-1", "eins"));
	pass(800);
	ASSERT_EQ(1, executed);
	EXPECT_EQ(0U, jj_inline_list_states(a.jobs, states, 4));
	EXPECT_EQ("2 0: j-1=eins", a.answer(a.read("j", 0)).body);
	EXPECT_EQ("2 0: j-1=eins", b.answer(b.read("j", 0)).body);
}

/*
 * While VMs receive no heartbeats of each other, any of them may take a job of
 * another one over and publish more results. One whose watch is stalled must
 * not answer from memory, but check first.
 */
TEST_F(InlineFailure, AVmThatMissesHeartbeatsChecksBeforeItAnswers)
{
	jj_job_progress_t states[4];

	(void)b.submit("j", 2);
	pass(300);
	heartbeats_missing = true;
	b.watch_stalled = true;
	lost_writers.insert(b.writer);
	pass(8000);
	EXPECT_TRUE(a.finish("j-1", "neu"));
	pass(600);
	EXPECT_EQ("2 0: j-1=neu", b.answer(b.read("j", 0)).body);
	EXPECT_EQ(0U, jj_inline_list_states(b.jobs, states, 4));
}

struct LostCase {
	const char *name;
	std::vector<Fault> writes;
	int status;
	bool stored;
};

class InlineSubmit : public Inline,
		     public ::testing::WithParamInterface<LostCase>
{
};

/*
 * Answers of the platform are lost or refused during a submission. A write
 * whose answer was lost is recognised by its own entry; 503 is answered only
 * when nothing of the job can be stored.
 */
TEST_P(InlineSubmit, AnswerMatchesWhatIsStored)
{
	platform.next_writes = GetParam().writes;
	uint64_t submit = a.submit("j", 1);
	if (GetParam().status >= 500)
		platform.fault = GetParam().writes.back();
	pass(3500);
	EXPECT_EQ(GetParam().status, a.answer(submit).status);
	EXPECT_EQ(GetParam().stored, platform.has("batch-jobs/j"));
	platform.fault = Fault::kNone;
	pass(500);
	EXPECT_EQ(GetParam().stored ? 1U : 0U, a.items.size());
}

INSTANTIATE_TEST_SUITE_P(Faults, InlineSubmit,
    ::testing::Values(
	LostCase{"LostJob", {Fault::kLoseAnswer, Fault::kNone}, 202, true},
	LostCase{"LostEntry", {Fault::kNone, Fault::kLoseAnswer}, 202, true},
	LostCase{
	    "BothLost", {Fault::kLoseAnswer, Fault::kLoseAnswer}, 202, true},
	LostCase{"Limited", {Fault::kLimit, Fault::kLimit}, 202, true},
	LostCase{"Down", {Fault::kRefuse, Fault::kRefuse}, 503, false},
	LostCase{"Silent", {Fault::kNoAnswer, Fault::kNoAnswer}, 504, false}),
    [](const auto &info) { return std::string(info.param.name); });

/* The same job is submitted at two VMs: both accept it, one of them runs it. */
TEST_F(InlineFailure, AResendElsewhereIsNotRunTwice)
{
	EXPECT_EQ(202, a.answer(a.submit("j", 1)).status);
	EXPECT_EQ(202, b.answer(b.submit("j", 1)).status);
	pass(500);
	EXPECT_EQ(1U, a.items.size());
	EXPECT_TRUE(b.items.empty());
	a.finish_all("x");
	pass(3000);
	EXPECT_EQ(202, b.answer(b.submit("j", 1)).status)
	    << "the job ended long ago";
	pass(3000);
	EXPECT_TRUE(b.items.empty());
	EXPECT_FALSE(platform.has("batch-open/j"));
	EXPECT_EQ(1U, stored("j").size());
}

/* Guards against a 202 for a stored job without an open entry. */
TEST_F(InlineFailure, AHalfStoredJobThatIsSentAgainToAFullRouteRuns)
{
	a.defers = [](const jj_platform_call_t &call) {
		return call.op == JJ_PLATFORM_CREATE &&
		    strncmp(call.key, "batch-open/", 11) == 0;
	};
	(void)a.submit("j", 1);
	ASSERT_TRUE(platform.has("batch-jobs/j"));
	a.paused = true;
	lost_writers.insert(a.writer);
	ASSERT_EQ(202, b.answer(b.submit("full", 10, 100)).status);
	uint64_t resend = b.submit("j", 1);
	pass(500);
	EXPECT_EQ(202, b.answer(resend).status);
	EXPECT_TRUE(platform.has("batch-open/j"));
	EXPECT_TRUE(b.finish("j-0", "x"));
	pass(1000);
	EXPECT_EQ("1 0: j-0=x", b.answer(b.read("j", 0)).body);
}

/* The same when the store doesn't answer the resend for a while. */
TEST_F(InlineFailure, AHalfStoredJobIsNotAcceptedBeforeItsEntryExists)
{
	(void)a.submit("j", 1);
	platform.objects.erase("batch-open/j");
	a.paused = true;
	lost_writers.insert(a.writer);
	ASSERT_EQ(202, b.answer(b.submit("full", 10, 100)).status);
	b.defers = [](const jj_platform_call_t &call) {
		return call.op == JJ_PLATFORM_CREATE;
	};
	uint64_t resend = b.submit("j", 1);
	pass(500);
	EXPECT_EQ(0, b.answer(resend).status);
	pass(3000);
	EXPECT_EQ(504, b.answer(resend).status) << "it may be stored";
}

/** An open entry without its job: the VM was killed between the two writes. */
class OrphanedEntry : public InlineFailure
{
      protected:
	OrphanedEntry()
	{
		platform.put("batch-open/j",
		    R"({"owner":")" + a.writer +
			R"(","route":"notturno","tokens":10,"total":1,)"
			R"("ended":false})");
		pass(200);
	}
	void
	expect_runs_once()
	{
		pass(2000);
		EXPECT_EQ(1U, a.items.size() + b.items.size());
		a.finish_all("x");
		b.finish_all("x");
		pass(2000);
		EXPECT_EQ("1 0: j-0=x", b.answer(b.read("j", 0)).body);
		EXPECT_FALSE(platform.has("batch-open/j"));
	}
};

/* Guards against an entry that counts for its route without end. */
TEST_F(OrphanedEntry, IsDeleted)
{
	pass(8000);
	EXPECT_FALSE(platform.has("batch-open/j"));
	EXPECT_EQ(404, a.answer(a.read("j", 0)).status);
	EXPECT_EQ(404, b.answer(b.read("j", 0)).status);
	pass(2000);
	EXPECT_TRUE(jj_inline_is_idle(a.jobs));
}

/* Guards against a 202 for a job whose orphaned entry is being deleted. */
TEST_F(OrphanedEntry, AJobThatComesDuringTheDeletionRuns)
{
	a.defers = [](const jj_platform_call_t &call) {
		return call.op == JJ_PLATFORM_DELETE;
	};
	pass(6500);
	ASSERT_EQ(1U, a.deferred.size());
	for (InlineVm *vm : {&a, &b})
		EXPECT_EQ(202, vm->answer(vm->submit("j", 1)).status);
	a.defers = nullptr;
	a.release();
	expect_runs_once();
}

/* Guards against the same at the VM that has just deleted the entry. */
TEST_F(OrphanedEntry, AJobThatComesAfterTheDeletionRuns)
{
	for (int i = 0; i < 200 && platform.has("batch-open/j"); i++)
		pass(50);
	ASSERT_FALSE(platform.has("batch-open/j"));
	EXPECT_EQ(202, a.answer(a.submit("j", 1)).status);
	expect_runs_once();
}

/* Guards against a job that is left behind when its VM stops meanwhile. */
TEST_F(OrphanedEntry, AJobThatComesWhileItsVmStopsRuns)
{
	a.defers = [](const jj_platform_call_t &call) {
		return call.op == JJ_PLATFORM_DELETE;
	};
	pass(6500);
	EXPECT_EQ(202, b.answer(b.submit("j", 1)).status);
	a.defers = nullptr;
	a.release();
	jj_inline_leave(a.jobs, now, &a.out);
	a.run_actions();
	pass(500);
	EXPECT_TRUE(jj_inline_is_idle(a.jobs));
	lost_writers.insert(a.writer);
	expect_runs_once();
}

/* Another VM takes a job over when the first in rank does not get to it. */
TEST_F(InlineFailure, AnotherVmTakesOverWhenTheFirstInRankDoesNot)
{
	InlineVm &c = add_vm("c");

	pass(100);
	(void)b.submit("j", 2);
	pass(300);
	a.watch_stalled = true;
	a.defers = [](const jj_platform_call_t &) { return true; };
	b.paused = true;
	lost_writers.insert(b.writer);
	pass(3000);
	EXPECT_EQ(0U, c.items.size())
	    << "before the time of the first in rank is over";
	pass(3000);
	EXPECT_EQ(2U, c.items.size());
	EXPECT_EQ(0U, a.items.size());
}

/*
 * A stopping VM hands a job over with its results; the next VM runs the rest.
 */
TEST_F(InlineFailure, AStopHandsJobsOver)
{
	(void)b.submit("j", 2);
	pass(300);
	EXPECT_TRUE(b.finish("j-0", "null"));
	jj_inline_leave(b.jobs, now, &b.out);
	b.run_actions();
	pass(1000);
	EXPECT_TRUE(jj_inline_is_idle(b.jobs));
	EXPECT_TRUE(b.items.empty());
	ASSERT_EQ(1U, a.items.size());
	a.finish_all("eins");
	pass(600);
	EXPECT_EQ("2 0: j-0=null j-1=eins", a.answer(a.read("j", 0)).body);
}

/*
 * A VM took a job over and was stopped before it had read it. While it released
 * the job, it answered a reader that the job of eight items has none.
 */
TEST_F(InlineFailure, AJobThatIsNotLoadedIsNotReportedAsEmpty)
{
	(void)b.submit("j", 2);
	pass(300);
	b.paused = true;
	lost_writers.insert(b.writer);
	a.defers = [](const jj_platform_call_t &call) {
		return call.op == JJ_PLATFORM_GET &&
		    strcmp(call.key, "batch-jobs/j") == 0;
	};
	pass(8000);
	a.defers = [](const jj_platform_call_t &call) {
		return call.op == JJ_PLATFORM_UPDATE;
	};
	jj_inline_leave(a.jobs, now, &a.out);
	a.run_actions();
	jj_job_progress_t states[4];
	EXPECT_EQ(0U, jj_inline_list_states(a.jobs, states, 4));
	uint64_t read = a.read("j", 0);
	pass(2000);
	EXPECT_NE(0U, a.answer(read).body.find("0 0:")) << a.answer(read).body;
}

/* Reports of the VM that runs a job save reads from the platform. */
TEST_F(Inline, AReaderElsewhereQueriesOnlyForNewResults)
{
	const jj_name_t nobody = {};
	jj_job_progress_t states[4];

	(void)a.submit("j", 2);
	pass(300);
	ASSERT_EQ(1U, jj_inline_list_states(a.jobs, states, 4));
	EXPECT_EQ(20U, states[0].tokens);
	jj_inline_take_states(b.jobs, &nobody, states, 1, now, now, &b.out);
	int reads = platform.reads;
	EXPECT_EQ("2 0:", b.answer(b.read("j", 0)).body);
	EXPECT_EQ(reads, platform.reads);
	EXPECT_TRUE(a.finish("j-1", "eins"));
	pass(600);
	uint64_t waiting = b.read("j", 0, 1000);
	(void)jj_inline_list_states(a.jobs, states, 4);
	EXPECT_EQ(1U, states[0].shown);
	EXPECT_EQ(10U, states[0].tokens);
	jj_inline_take_states(b.jobs, &nobody, states, 1, now, now, &b.out);
	b.run_actions();
	EXPECT_EQ("2 0: j-1=eins", b.answer(waiting).body);
}

/*
 * A disconnected VM that has lost its job keeps reporting the number of results
 * from before. A reader that saw more must not get less, and an outdated report
 * must not be used at all.
 */
TEST_F(InlineFailure, AnOldReportDoesNotHideResults)
{
	const jj_name_t nobody = {};
	jj_job_progress_t states[4];
	jj_job_progress_t old_state;

	(void)a.submit("j", 2);
	pass(300);
	(void)jj_inline_list_states(a.jobs, states, 4);
	old_state = states[0];
	EXPECT_TRUE(a.finish("j-1", "eins"));
	pass(600);
	(void)jj_inline_list_states(a.jobs, states, 4);
	jj_inline_take_states(b.jobs, &nobody, states, 1, now, now, &b.out);
	jj_inline_take_states(b.jobs, &nobody, &old_state, 1, now, now, &b.out);
	EXPECT_EQ("2 0: j-1=eins", b.answer(b.read("j", 0)).body);
	now += 900;
	int reads = platform.reads;
	EXPECT_EQ("2 1:", b.answer(b.read("j", 1)).body);
	EXPECT_LT(reads, platform.reads);
	/* Delayed in a queue until it is outdated: not used. */
	reads = platform.reads;
	jj_inline_take_states(
	    b.jobs, &nobody, states, 1, now - 900, now, &b.out);
	EXPECT_EQ("2 1:", b.answer(b.read("j", 1)).body);
	EXPECT_LT(reads, platform.reads);
}

/*
 * Published results are read from the VM that runs the job, without a platform
 * call, also during an outage of the platform.
 */
TEST_F(Inline, AReaderElsewhereGetsResultsFromTheVmThatRunsTheJob)
{
	(void)a.submit("j", 3);
	pass(300);
	EXPECT_TRUE(a.finish("j-1", "eins"));
	EXPECT_TRUE(a.finish("j-2", "zwei"));
	pass(600);
	a.report_states(b);
	int reads = platform.reads;
	uint64_t first = b.read("j", 0);
	uint64_t second = b.read("j", 1);
	platform.fault = Fault::kRefuse;
	EXPECT_EQ(0, b.answer(first).status);
	b.deliver(a);
	a.deliver(b);
	EXPECT_EQ("3 0: j-1=eins j-2=zwei", b.answer(first).body);
	EXPECT_EQ("3 1: j-2=zwei", b.answer(second).body);
	EXPECT_EQ(reads, platform.reads);
	platform.fault = Fault::kNone;
}

/*
 * The VM that runs a job is queried for results and does not answer: the
 * platform is queried instead, without a long wait. An answer to a read of
 * another job is ignored.
 */
TEST_F(InlineFailure, AReadGoesToThePlatformWhenItsVmDoesNotAnswer)
{
	(void)a.submit("j", 2);
	(void)a.submit("k", 2);
	pass(300);
	EXPECT_TRUE(a.finish("j-1", "eins"));
	EXPECT_TRUE(a.finish("k-0", "null"));
	pass(600);
	a.report_states(b);
	uint64_t unanswered = b.read("j", 0);
	pass(300);
	EXPECT_EQ("2 0: j-1=eins", b.answer(unanswered).body);

	/* The first query is never delivered. */
	for (jj_action_t *action : b.sent)
		jj_action_free(action);
	b.sent.clear();
	a.report_states(b);
	uint64_t read = b.read("j", 0);
	ASSERT_EQ(1U, b.sent.size());
	jj_message_t *message = b.sent.front()->body.send.message;
	snprintf(message->body.job_page.job, sizeof(message->body.job_page.job),
	    "k");
	b.deliver(a);
	a.deliver(b);
	EXPECT_EQ(0, b.answer(read).status) << "a page of another job";
	pass(300);
	EXPECT_EQ("2 0: j-1=eins", b.answer(read).body);
}

/*
 * After an outage of the platform a job was submitted at two VMs at once. One
 * created the job object, the other one the entry; that one ran the job, was
 * notified of its end and deleted the entry. Then the first one's entry was
 * created at last: that VM took the job for new, did not read its results and
 * ran it for seconds after its end.
 */
TEST_F(InlineFailure, AJobThatEndedBeforeItsEntryWasCreatedIsNotRun)
{
	a.defers = [](const jj_platform_call_t &call) {
		return std::string(call.key).find("batch-open/") == 0;
	};
	uint64_t first = a.submit("j", 2);
	uint64_t second = b.submit("j", 2);
	EXPECT_EQ(202, b.answer(second).status);
	EXPECT_EQ(0, a.answer(first).status);
	pass(300);
	EXPECT_EQ(2U, b.items.size());
	EXPECT_EQ(200, b.answer(b.end("j")).status);
	pass(300);
	ASSERT_FALSE(platform.has("batch-open/j"));
	a.defers = nullptr;
	a.release();
	EXPECT_EQ(202, a.answer(first).status);
	EXPECT_EQ(0U, a.items.size());
	pass(1000);
	EXPECT_EQ(0U, a.items.size());
	EXPECT_FALSE(platform.has("batch-open/j"));
}

/*
 * A queried VM does not answer and the platform is down: the read waits for its
 * next attempt, and nothing is due meanwhile.
 */
TEST_F(InlineFailure, AReadThatWaitsForThePlatformDoesNotSpin)
{
	(void)a.submit("j", 2);
	pass(300);
	EXPECT_TRUE(a.finish("j-1", "eins"));
	pass(600);
	a.report_states(b);
	uint64_t read = b.read("j", 0);
	platform.fault = Fault::kRefuse;
	pass(300);
	ASSERT_EQ(0, b.answer(read).status);
	EXPECT_GT(jj_inline_next(b.jobs), now);
	platform.fault = Fault::kNone;
	pass(1000);
	EXPECT_EQ("2 0: j-1=eins", b.answer(read).body);
}

/* Results whose write is pending are not sent: the write may fail. */
TEST_F(InlineFailure, UnconfirmedResultsAreNotSentToAnotherVm)
{
	(void)a.submit("j", 2);
	pass(300);
	EXPECT_TRUE(a.finish("j-1", "eins"));
	pass(600);
	a.report_states(b);
	a.defers = [](const jj_platform_call_t &call) {
		return call.op == JJ_PLATFORM_UPDATE &&
		    std::string(call.key).find("batch-out/") == 0;
	};
	EXPECT_TRUE(a.finish("j-0", "null"));
	a.run_actions();
	uint64_t read = b.read("j", 0);
	uint64_t beyond = b.read("j", 1);
	b.deliver(a);
	a.deliver(b);
	EXPECT_EQ("2 0: j-1=eins", b.answer(read).body);
	EXPECT_EQ("2 1:", b.answer(beyond).body);
	a.defers = nullptr;
	a.release();
	pass(100);
}

/*
 * During an outage of the platform reads are refused with 503, never with 404.
 */
TEST_F(InlineFailure, AReadWithoutThePlatformIsRefused)
{
	(void)a.submit("j", 1);
	platform.fault = Fault::kRefuse;
	uint64_t read = b.read("j", 0);
	uint64_t item = b.read_item("j", "j-0");
	pass(2500);
	EXPECT_EQ(503, b.answer(read).status);
	EXPECT_EQ(503, b.answer(item).status);
	EXPECT_EQ(200, a.answer(a.read("j", 0)).status) << "it runs the job";
}

} // namespace
