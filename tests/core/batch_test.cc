/**
 * @file batch_test.cc
 * @brief The batch worker, failure by failure; orders of events are explored
 * in batch_model_test.cc.
 */
#include "batch_fleet.h"

extern "C" {
#include "core/batch_line.h"
#include "core/batch_record.h"
}

namespace
{

/** Steps one worker until it has no platform call; doesn't end its runs. */
void
run_calls(Fleet &fleet, size_t index)
{
	fleet.tick(index);
	while (FakePlatform::find_call(&fleet.workers[index]->actions))
		fleet.call(index);
}

void
expect_no_violations(Fleet &fleet)
{
	fleet.check_outs();
	for (const std::string &what : fleet.violations)
		ADD_FAILURE() << what;
}

TEST(BatchLine, FindsServicePathAndBody)
{
	struct {
		const char *name, *line, *job_service, *service, *path;
	} const cases[] = {
	    {"chat",
		"{\"url\":\"/v1/chat/completions\",\"body\":{\"model\":"
		"\"m\"}}",
		"", "m", "/v1/chat/completions"},
	    {"completions",
		"{\"url\":\"/v1/completions\",\"body\":{\"model\":\"m\"}}", "",
		"m", "/v1/completions"},
	    {"job's service",
		"{\"url\":\"/v1/completions\",\"body\":{\"model\":\"m\"}}",
		"narrador", "narrador", "/v1/completions"},
	    {"plain service",
		"{\"url\":\"/services/ordini/book/x\","
		"\"body\":{}}",
		"", "ordini", "/book/x"},
	    {"plain root", "{\"url\":\"/services/ordini\",\"body\":{}}", "",
		"ordini", "/"},
	    {"no model", "{\"url\":\"/v1/completions\",\"body\":{}}", "",
		nullptr, nullptr},
	    {"other url", "{\"url\":\"/x\",\"body\":{\"model\":\"m\"}}", "",
		nullptr, nullptr},
	    {"no body", "{\"url\":\"/services/ordini/x\"}", "", nullptr,
		nullptr},
	    {"not JSON", "{", "", nullptr, nullptr},
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		jj_name_t job_service;
		jj_batch_line_t line;
		jj_name_set(&job_service, c.job_service);
		bool known = jj_batch_line_decode(&line, c.line, &job_service);
		EXPECT_EQ(c.service != nullptr, known);
		if (known && c.service != nullptr) {
			EXPECT_STREQ(c.service, line.service.text);
			EXPECT_STREQ(c.path, line.path.data);
			EXPECT_NE(0u, line.fingerprint);
		}
		jj_batch_line_clear(&line);
	}
}

/*
 * Story 6: a job never ends because one item fails in each run. Whatever the
 * backend server does, each item must end with one result, without delaying
 * other items.
 */
TEST(BatchItem, EndsWithOneResult)
{
	struct {
		const char *name;
		bool idempotent;
		std::vector<jj_item_outcome_t> outcomes;
		const char *code; /**< "" for an answer */
		const char *run;
		int sent;
	} const cases[] = {
	    {"done", true, {JJ_ITEM_DONE}, "", "", 1},
	    {"refused", true, {JJ_ITEM_REFUSED}, "refused", "unknown", 1},
	    {"broken, then done", true, {JJ_ITEM_OUTCOME_UNKNOWN, JJ_ITEM_DONE},
		"", "", 2},
	    {"always broken", true,
		{JJ_ITEM_OUTCOME_UNKNOWN, JJ_ITEM_OUTCOME_UNKNOWN,
		    JJ_ITEM_OUTCOME_UNKNOWN, JJ_ITEM_OUTCOME_UNKNOWN},
		"attempts_used_up", "unknown", 4},
	    {"withdrawn uses no attempt", true,
		{JJ_ITEM_WITHDRAWN, JJ_ITEM_WITHDRAWN, JJ_ITEM_WITHDRAWN,
		    JJ_ITEM_WITHDRAWN, JJ_ITEM_WITHDRAWN, JJ_ITEM_DONE},
		"", "", 6},
	    {"not run uses no attempt", true,
		{JJ_ITEM_NOT_RUN, JJ_ITEM_NOT_RUN, JJ_ITEM_NOT_RUN,
		    JJ_ITEM_NOT_RUN, JJ_ITEM_NOT_RUN, JJ_ITEM_DONE},
		"", "", 6},
	    {"booking broken", false, {JJ_ITEM_OUTCOME_UNKNOWN},
		"outcome_unknown", "unknown", 1},
	    {"booking withdrawn", false, {JJ_ITEM_WITHDRAWN}, "outcome_unknown",
		"unknown", 1},
	    {"booking not run, then done", false,
		{JJ_ITEM_NOT_RUN, JJ_ITEM_DONE}, "", "", 2},
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		Fleet fleet(Rows{{c.idempotent}, {true}}, 1);
		Worker &worker = *fleet.workers[0];
		size_t next = 0;

		for (int i = 0; i < 400 && !fleet.has_ended(); i++) {
			run_calls(fleet, 0);
			bool other = !worker.running.empty() &&
			    worker.running.front().body.find("\"0-0\"") ==
				std::string::npos;
			if (other)
				fleet.end(0, JJ_ITEM_DONE);
			else if (!worker.running.empty())
				fleet.end(0, c.outcomes.at(next++));
			else
				fleet.now += 500;
		}
		EXPECT_TRUE(fleet.has_ended());
		EXPECT_EQ(c.code, fleet.code(0, 0));
		EXPECT_EQ(c.run, fleet.code(0, 0, "run"));
		EXPECT_EQ("", fleet.code(1, 0));
		EXPECT_EQ(c.sent + 1, worker.items_sent);
		expect_no_violations(fleet);
	}
}

/*
 * Story 3: a job takes twice as long as it should, or reports a conflict with
 * itself. A write is applied, its answer is lost, and the retry conflicts with
 * it. The worker must recognize its own write, for each kind of write.
 */
TEST(BatchWrite, KnowsItsOwnAfterALostAnswer)
{
	struct {
		const char *name;
		int write; /**< which write loses its answer */
	} const cases[] = {{"claim", 0}, {"start", 1}, {"out", 2}, {"done", 3},
	    {"close", 4}, {"entry's deletion", 5}};

	for (const auto &c : cases) {
		for (Fault fault : {Fault::kLoseAnswer, Fault::kNoAnswer,
			 Fault::kRefuse, Fault::kLimit}) {
			SCOPED_TRACE(c.name);
			Fleet fleet(Rows{{true, false}}, 1);

			size_t objects = fleet.platform.log.size();
			fleet.platform.next_writes =
			    std::vector<Fault>(c.write, Fault::kNone);
			fleet.platform.next_writes.push_back(fault);
			EXPECT_TRUE(fleet.run_to_end(60));
			EXPECT_EQ("completed", fleet.job_state());
			EXPECT_EQ(1u, fleet.counts(0).published);
			EXPECT_EQ(0u, fleet.counts(0).publish_conflicts);
			EXPECT_EQ(0u, fleet.counts(0).claims_lost);
			EXPECT_EQ(1u, fleet.counts(0).claims);
			EXPECT_EQ(2, fleet.workers[0]->items_sent);
			/* Claim, start, out, done and close, none twice. */
			EXPECT_EQ(objects + 5, fleet.platform.log.size());
			/* The entry is deleted before the next listing. */
			fleet.run_rounds(30, 100);
			EXPECT_FALSE(fleet.platform.has(fleet.entry_key()));
			EXPECT_LE(fleet.platform.writes, 8);
			expect_no_violations(fleet);
		}
	}
}

/*
 * A checkpoint's answer is lost, and all items end before it is retried. The
 * chunk's record must still end as done, and not remain a claim until it
 * lapses.
 */
TEST(BatchWrite, LostCheckpointIsSettledBeforeTheEnd)
{
	Fleet fleet(Rows{{true}}, 1);

	run_calls(fleet, 0);
	fleet.now += 5000;
	fleet.platform.next_writes = {Fault::kLoseAnswer};
	run_calls(fleet, 0);
	fleet.end(0, JJ_ITEM_DONE);
	EXPECT_TRUE(fleet.run_to_end());
	EXPECT_EQ("done", fleet.text_of(fleet.record_key(0), "state"));
	expect_no_violations(fleet);
}

/*
 * Story 10: pallets are booked twice. The write of a booking's start mark was
 * not answered, as its answer was lost or the platform is down. The booking
 * must not be sent before the mark is confirmed.
 */
TEST(BatchWrite, NothingIsSentBeforeItsStartIsConfirmed)
{
	Fleet fleet(Rows{{false}}, 1);

	fleet.platform.next_writes = {Fault::kNone};
	for (int i = 0; i < 5; i++)
		fleet.platform.next_writes.push_back(Fault::kNoAnswer);
	for (int i = 0; i < 5; i++) {
		run_calls(fleet, 0);
		EXPECT_EQ(0, fleet.workers[0]->items_sent);
		fleet.now += 60;
	}
	EXPECT_TRUE(fleet.run_to_end());
	EXPECT_EQ("", fleet.code(0, 0));
	expect_no_violations(fleet);
}

/* When another worker may take a claim over. */
TEST(BatchClaim, IsTakenOverOnlyWhenItHasLapsed)
{
	struct {
		const char *name;
		jj_ms_t pass;
		bool renews, fails, leaves, taken;
	} const cases[] = {
	    {"within lease and margin", 17000, false, false, false, false},
	    {"after lease and margin", 18100, false, false, false, true},
	    {"renewed meanwhile", 18100, true, false, false, false},
	    {"holder failed", 300, false, true, false, true},
	    {"holder left", 300, false, false, true, true},
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		Fleet fleet(Rows{{true}});

		run_calls(fleet, 0);
		run_calls(fleet, 1);
		fleet.now += 300;
		run_calls(fleet, 1);
		if (c.leaves)
			fleet.leave(0);
		if (c.renews)
			fleet.now += c.pass / 2;
		if (c.renews || c.leaves)
			run_calls(fleet, 0);
		if (c.leaves)
			fleet.change(1, fleet.record_key(0));
		if (c.fails)
			fleet.report_false_failure(0, 1);
		fleet.now += c.renews ? c.pass / 2 : c.pass;
		run_calls(fleet, 1);
		EXPECT_EQ(c.taken ? 1u : 0u, fleet.counts(1).takeovers);
		EXPECT_EQ(c.taken ? 1 : 0, fleet.workers[1]->items_sent);
	}
}

/*
 * Story 4: an item is billed twice. A worker is paused past its lease with
 * items in flight, another takes the chunk over, and the first resumes. It
 * must start nothing before its next write, which shows that the claim is
 * lost; then it cancels its items and publishes nothing.
 */
TEST(BatchClaim, FrozenHolderWakesAndStops)
{
	Fleet fleet(Rows{{true, true, true}});

	fleet.workers[0]->free_capacity = 1;
	fleet.workers[1]->free_capacity = 0;
	run_calls(fleet, 0);
	EXPECT_EQ(1, fleet.workers[0]->items_sent);
	run_calls(fleet, 1);
	fleet.now += 18100;
	fleet.workers[1]->free_capacity = 8;
	run_calls(fleet, 1);
	EXPECT_EQ(3, fleet.workers[1]->items_sent);
	fleet.workers[0]->free_capacity = 8;
	run_calls(fleet, 0);
	EXPECT_EQ(1, fleet.workers[0]->items_sent);
	EXPECT_EQ(1, fleet.workers[0]->cancelled_runs);
	EXPECT_EQ(1u, fleet.counts(0).claims_lost);
	EXPECT_TRUE(fleet.run_to_end());
	EXPECT_EQ(0u, fleet.counts(0).published);
	EXPECT_EQ(1u, fleet.counts(1).published);
	expect_no_violations(fleet);
}

/*
 * Story 4: a holder relies on a lease that has lapsed for the others. Its
 * claim was applied at the first try, whose answer was lost; the retry is
 * confirmed ten seconds later. The lease must count from the first try.
 */
TEST(BatchClaim, LeaseCountsFromTheFirstTry)
{
	Fleet fleet(Rows{{true}}, 1);

	Worker &worker = *fleet.workers[0];

	fleet.platform.next_writes = {Fault::kLoseAnswer};
	run_calls(fleet, 0);
	fleet.now += 10000;
	worker.free_capacity = 0;
	fleet.tick(0);
	for (jj_action_t *next = FakePlatform::find_call(&worker.actions);
	     next && next->body.platform.op != JJ_PLATFORM_UPDATE;
	     next = FakePlatform::find_call(&worker.actions))
		fleet.call(0);
	/* The part is loaded, and a renewal is under way when the lease
	 * lapses. */
	fleet.now += 5100;
	worker.free_capacity = 1;
	fleet.tick(0);
	EXPECT_EQ(0, worker.items_sent);
	run_calls(fleet, 0);
	EXPECT_EQ(1, worker.items_sent);
}

/*
 * Story 4: a paused holder resumes with all its items ended and publishes at
 * once, and its successor publishes after it. The first out object must stay
 * unchanged.
 */
TEST(BatchClaim, FirstPublishedResultStands)
{
	Fleet fleet(Rows{{true}});

	run_calls(fleet, 0);
	run_calls(fleet, 1);
	fleet.now += 18100;
	run_calls(fleet, 1);
	EXPECT_EQ(1, fleet.workers[1]->items_sent);
	fleet.end(0, JJ_ITEM_DONE);
	run_calls(fleet, 0);
	EXPECT_EQ(1u, fleet.counts(0).published);
	std::string first = fleet.platform.objects[fleet.out_key(0)].value;
	fleet.end(1, JJ_ITEM_REFUSED);
	run_calls(fleet, 1);
	EXPECT_EQ(1u, fleet.counts(1).publish_conflicts);
	EXPECT_TRUE(fleet.run_to_end());
	EXPECT_EQ(first, fleet.platform.objects[fleet.out_key(0)].value);
	EXPECT_EQ("completed", fleet.job_state());
	expect_no_violations(fleet);
}

/*
 * Story 5: a VM fails with items in flight, and its successor fails with the
 * same chunk. Items with a result in a checkpoint are not run again; a booking
 * that may have been sent ends as "outcome unknown".
 */
TEST(BatchClaim, TwoDeathsOnOneChunk)
{
	Fleet fleet(Rows{{true, true, false}});

	fleet.workers[1]->free_capacity = 0;
	run_calls(fleet, 0);
	EXPECT_EQ(3, fleet.workers[0]->items_sent);
	fleet.end(0, JJ_ITEM_DONE);
	fleet.now += 5100;
	run_calls(fleet, 0);
	fleet.kill(0);
	run_calls(fleet, 0);
	fleet.now += 300;
	run_calls(fleet, 0);
	EXPECT_EQ(1u, fleet.counts(0).takeovers);
	EXPECT_EQ(1, fleet.workers[0]->items_sent);
	fleet.kill(0);
	fleet.workers[1]->free_capacity = 8;
	EXPECT_TRUE(fleet.run_to_end());
	EXPECT_EQ("", fleet.code(0, 0));
	EXPECT_EQ("", fleet.code(0, 1));
	EXPECT_EQ("outcome_unknown", fleet.code(0, 2));
	expect_no_violations(fleet);
}

/*
 * A VM fails after it published the out object and before it marked the record
 * as done. The next holder must not run the items again, only mark the record.
 */
TEST(BatchClaim, PublishedChunkIsOnlyFinished)
{
	Fleet fleet(Rows{{true}});

	run_calls(fleet, 0);
	run_calls(fleet, 1);
	fleet.now += 300;
	run_calls(fleet, 1);
	fleet.end(0, JJ_ITEM_DONE);
	while (!fleet.platform.has(fleet.out_key(0)))
		fleet.call(0);
	fleet.kill(0);
	EXPECT_TRUE(fleet.run_to_end());
	EXPECT_EQ(1u, fleet.counts(1).takeovers);
	EXPECT_EQ(0, fleet.workers[0]->items_sent);
	EXPECT_EQ(0, fleet.workers[1]->items_sent);
	EXPECT_EQ("completed", fleet.job_state());
	expect_no_violations(fleet);
}

/*
 * A job with all its results never completes: the worker that published the
 * last chunk failed before it closed the job, and the others have no chunk of
 * it left. A periodic refresh must close it.
 */
TEST(BatchClaim, OrphanedJobIsClosed)
{
	Fleet fleet(Rows{{true}});

	run_calls(fleet, 0);
	run_calls(fleet, 1);
	fleet.end(0, JJ_ITEM_DONE);
	while (!fleet.platform.has(fleet.out_key(0)))
		fleet.call(0);
	fleet.change(1, fleet.out_key(0));
	fleet.workers.erase(fleet.workers.begin());
	EXPECT_TRUE(fleet.run_to_end(100));
	EXPECT_EQ("completed", fleet.job_state());
}

/*
 * Each VM reads a job that ended days ago at each listing: the VM that closed
 * it failed before it deleted the index entry, and the others remember the job
 * as ended. Any VM that lists the entry must delete it.
 */
TEST(BatchIndex, EntryOfAnEndedJobIsDeletedByAnybody)
{
	for (bool remembers : {true, false}) {
		SCOPED_TRACE(remembers);
		Fleet fleet(Rows{{true}});

		run_calls(fleet, 0);
		run_calls(fleet, 1);
		fleet.end(0, JJ_ITEM_DONE);
		while (fleet.job_state() == "running")
			fleet.call(0);
		if (remembers)
			fleet.change(1, fleet.job_key());
		run_calls(fleet, 1);
		fleet.kill(0);
		fleet.workers.erase(fleet.workers.begin());
		if (!remembers)
			fleet.kill(0);
		ASSERT_TRUE(fleet.platform.has(fleet.entry_key()));
		fleet.run_rounds(100, 1000);
		EXPECT_FALSE(fleet.platform.has(fleet.entry_key()));
		EXPECT_TRUE(fleet.has_ended());
	}
}

/*
 * A VM fails, or is slow, after it wrote the index entry and before it created
 * the job. The entry must be deleted, or workers would read the missing job
 * forever; but only after a time far longer than a submission may take, or the
 * job would never run.
 */
TEST(BatchIndex, OrphanIsKeptForItsGrace)
{
	struct {
		const char *name;
		int job_after_s; /**< when the job is created; 0: never */
		int renewed_after_s; /**< when a resend updates the entry */
		int seconds;
		bool entry;
	} const cases[] = {
	    {"within the grace", 0, 0, 590, true},
	    {"after the grace", 0, 0, 700, false},
	    {"job created after 5 s", 5, 0, 120, false},
	    {"job created after 300 s", 300, 0, 900, false},
	    {"submitted again", 0, 500, 1000, true},
	    {"submitted again, grace over", 0, 500, 1300, false},
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		Fleet fleet(Rows{{true}});
		FakePlatform::Object job =
		    fleet.platform.objects[fleet.job_key()];
		int reads = 0;

		fleet.platform.objects.erase(fleet.job_key());
		fleet.platform.before = [&](const jj_platform_call_t &call) {
			reads += call.op == JJ_PLATFORM_GET;
		};
		for (int s = 0; s < c.seconds; s++) {
			if (c.renewed_after_s > 0 && s == c.renewed_after_s)
				fleet.platform.put(fleet.entry_key(), "{}");
			if (c.job_after_s > 0 && s == c.job_after_s)
				fleet.platform.put(fleet.job_key(), job.value);
			for (int i = 0; i < 20; i++)
				fleet.run_rounds(1, 50);
		}
		EXPECT_EQ(c.entry, fleet.platform.has(fleet.entry_key()));
		if (c.job_after_s > 0)
			EXPECT_EQ("completed", fleet.job_state());
		else
			EXPECT_LE(reads, 2 * 12);
	}
}

/*
 * A worker has read the job as absent and deletes its entry. In between a
 * submission has updated that entry, and its job would be found by no worker.
 * The deletion must be conditional on the version that was listed.
 */
TEST(BatchIndex, OrphanThatIsWrittenAnewStays)
{
	Fleet fleet(Rows{{true}}, 1);
	std::string job = fleet.platform.objects[fleet.job_key()].value;
	bool raced = false;

	fleet.platform.objects.erase(fleet.job_key());
	fleet.platform.before = [&](const jj_platform_call_t &call) {
		if (call.op != JJ_PLATFORM_DELETE || raced)
			return;
		raced = true;
		fleet.platform.put(fleet.entry_key(), "{}");
		fleet.platform.put(fleet.job_key(), job);
	};
	fleet.run_rounds(8000, 100);
	EXPECT_TRUE(raced);
	EXPECT_EQ("completed", fleet.job_state());
	expect_no_violations(fleet);
}

/*
 * The watch relay lost events, so that a new job would wait half a minute for
 * the next listing. Notified of the loss, also during a listing, the worker
 * must list soon.
 */
TEST(BatchIndex, IsListedSoonAfterLostEvents)
{
	for (bool during : {false, true}) {
		SCOPED_TRACE(during);
		Fleet fleet(Rows{{true}}, 1);
		FakePlatform full = fleet.platform;

		fleet.platform.objects.erase(fleet.job_key());
		fleet.platform.objects.erase(fleet.entry_key());
		fleet.tick(0);
		if (!during)
			run_calls(fleet, 0);
		jj_batch_take_change(fleet.workers[0]->batch, "", 0, fleet.now,
		    &fleet.workers[0]->actions);
		run_calls(fleet, 0);
		fleet.platform.objects = full.objects;
		fleet.run_rounds(30, 100);
		EXPECT_EQ(1, fleet.workers[0]->items_sent);
	}
}

/* The listings of VMs that started together must not stay synchronized. */
TEST(BatchIndex, ListingsAreSpread)
{
	Fleet fleet(Rows{{true}}, 100);
	std::map<jj_ms_t, int> lists;

	for (auto &worker : fleet.workers)
		worker->free_capacity = 0;
	fleet.platform.before = [&](const jj_platform_call_t &call) {
		if (strcmp(call.key, JJ_ACTIVE_PREFIX) == 0)
			lists[fleet.now / 1000]++;
	};
	fleet.run_rounds(1000, 100);
	ASSERT_GE(lists.size(), 60u);
	EXPECT_EQ(100, lists[1]) << "first listing, at the start";
	for (const auto &entry : lists)
		EXPECT_LE(entry.second, entry.first == 1 ? 100 : 15);
}

/*
 * Story 8: the platform is down for an hour while a job runs. Results must be
 * kept and published after the outage, without running an item again.
 * Idempotent items of claimed chunks run during the outage.
 */
TEST(BatchOutage, FinishedWorkIsKeptAndPublishedOnce)
{
	for (Fault fault : {Fault::kRefuse, Fault::kNoAnswer, Fault::kLimit}) {
		Fleet fleet(Rows{{true, true, true, true}}, 1);
		Worker &worker = *fleet.workers[0];

		worker.free_capacity = 1;
		run_calls(fleet, 0);
		fleet.platform.fault = fault;
		fleet.end(0, JJ_ITEM_DONE);
		for (int i = 0; i < 360; i++) {
			fleet.now += 10000;
			run_calls(fleet, 0);
			fleet.end(0, JJ_ITEM_DONE);
		}
		EXPECT_EQ(4, worker.items_sent);
		EXPECT_LT(fleet.platform.writes, 400);
		fleet.platform.fault = Fault::kNone;
		EXPECT_TRUE(fleet.run_to_end());
		EXPECT_EQ(4, worker.items_sent);
		EXPECT_EQ(1u, fleet.counts(0).published);
		expect_no_violations(fleet);
	}
}

/*
 * Story 9: a cancelled job still runs and costs money, as the watch event of
 * the cancel was lost. The holder reads the job after each renewal; it must
 * cancel its runs and start no more, and keep the results so far.
 */
TEST(BatchCancel, StopsWithinOneCheckpoint)
{
	Fleet fleet(Rows{{true, true, false, true}, {true}}, 1);
	Worker &worker = *fleet.workers[0];

	worker.free_capacity = 0;
	run_calls(fleet, 0);
	worker.free_capacity = 3;
	run_calls(fleet, 0);
	int items_sent = worker.items_sent;
	int running = (int)worker.running.size();
	fleet.end(0, JJ_ITEM_DONE);
	fleet.cancel();
	fleet.now += 5000;
	worker.free_capacity = 0;
	run_calls(fleet, 0);
	worker.free_capacity = 8;
	run_calls(fleet, 0);
	EXPECT_EQ(items_sent, worker.items_sent);
	EXPECT_EQ(running - 1, worker.cancelled_runs);
	EXPECT_TRUE(fleet.run_to_end());
	EXPECT_EQ("cancelled", fleet.job_state());
	EXPECT_EQ(items_sent, worker.items_sent);
	json_t *job = fleet.load(fleet.job_key());
	EXPECT_EQ(1, json_integer_value(json_object_get(job, "done")));
	EXPECT_EQ(
	    4, json_integer_value(json_object_get(job, "cancelled_items")));
	json_decref(job);
	expect_no_violations(fleet);
}

/*
 * Story 9: an item starts after its job's cancel. A worker that knows the job
 * as running claims a chunk of it after the cancel. It must read the job after
 * its claim and start nothing.
 */
TEST(BatchCancel, ClaimAfterTheCancelStartsNothing)
{
	Fleet fleet(Rows{{true}, {false}}, 1);

	fleet.tick(0);
	while (!fleet.platform.has(fleet.record_key(0)) &&
	    !fleet.platform.has(fleet.record_key(1)))
		fleet.call(0);
	fleet.cancel();
	EXPECT_TRUE(fleet.run_to_end());
	EXPECT_EQ(0, fleet.workers[0]->items_sent);
	EXPECT_EQ("cancelled", fleet.job_state());
	expect_no_violations(fleet);
}

/*
 * Stories 9 and 12: an item of a cancelled job is reported as not run, but was
 * run. A running holder is considered failed and its successor runs the items;
 * then the job is cancelled and the first holder is notified of it.
 */
TEST(BatchCancel, HolderThatWasReplacedDoesNotSayNotRun)
{
	Fleet fleet(Rows{{true, true}});

	fleet.workers[0]->free_capacity = 1;
	run_calls(fleet, 0);
	run_calls(fleet, 1);
	fleet.report_false_failure(0, 1);
	fleet.now += 300;
	run_calls(fleet, 1);
	EXPECT_EQ(2, fleet.workers[1]->items_sent);
	fleet.cancel();
	fleet.change(0, fleet.job_key());
	run_calls(fleet, 0);
	EXPECT_EQ(1u, fleet.counts(0).claims_lost);
	EXPECT_TRUE(fleet.run_to_end());
	expect_no_violations(fleet);
}

/*
 * Story 24: a planned stop interrupts a booking, or leaves its chunk claimed
 * until the lease lapses. Idempotent runs must be cancelled and bookings
 * awaited; then the chunk is released with its results, and the next VM claims
 * it at once.
 */
TEST(BatchLeave, ReleasesWithResults)
{
	Fleet fleet(Rows{{true, true, false}});

	fleet.workers[1]->free_capacity = 0;
	run_calls(fleet, 0);
	fleet.end(0, JJ_ITEM_DONE);
	fleet.leave(0);
	run_calls(fleet, 0);
	EXPECT_EQ(1, fleet.workers[0]->cancelled_runs);
	EXPECT_EQ(1u, fleet.workers[0]->running.size());
	EXPECT_FALSE(jj_batch_is_idle(fleet.workers[0]->batch));
	fleet.end(0, JJ_ITEM_DONE);
	run_calls(fleet, 0);
	EXPECT_TRUE(jj_batch_is_idle(fleet.workers[0]->batch));
	EXPECT_EQ("released", fleet.text_of(fleet.record_key(0), "state"));
	fleet.workers[1]->free_capacity = 8;
	fleet.now += 300;
	run_calls(fleet, 1);
	EXPECT_EQ(1, fleet.workers[1]->items_sent);
	EXPECT_TRUE(fleet.run_to_end());
	EXPECT_EQ("", fleet.code(0, 2));
	expect_no_violations(fleet);
}

/*
 * Story 6 for a whole service: it accepts nothing for hours, and chunks of
 * other services wait behind its chunks. Stalled chunks keep their claims, but
 * must not count against the limit of claimed chunks.
 */
TEST(BatchItem, StalledServiceDoesNotHoldUpOthers)
{
	Rows rows(5, {false});
	rows.push_back({true});
	Fleet fleet(rows, 1);
	Worker &worker = *fleet.workers[0];

	for (int i = 0; i < 600 && !fleet.platform.has(fleet.out_key(5)); i++) {
		run_calls(fleet, 0);
		while (!worker.running.empty())
			fleet.end(0,
			    worker.running.front().idempotent
				? JJ_ITEM_DONE
				: JJ_ITEM_NOT_RUN);
		fleet.now += 100;
	}
	EXPECT_TRUE(fleet.platform.has(fleet.out_key(5)));
	EXPECT_FALSE(fleet.has_ended());
	EXPECT_TRUE(fleet.run_to_end());
	expect_no_violations(fleet);
}

/* Items sent to backend servers never exceed the free capacity. */
TEST(BatchRoom, BoundsWhatIsOffered)
{
	Fleet fleet(Rows{std::vector<bool>(20, true)}, 1);

	fleet.workers[0]->free_capacity = 3;
	run_calls(fleet, 0);
	EXPECT_EQ(3, fleet.workers[0]->items_sent);
	fleet.workers[0]->free_capacity = 0;
	run_calls(fleet, 0);
	EXPECT_EQ(3, fleet.workers[0]->items_sent);
	EXPECT_GT(jj_batch_next(fleet.workers[0]->batch), fleet.now);
}

/* Huge answers would make an out object that the platform refuses. */
TEST(BatchRecord, ResultsAreMadeToFit)
{
	std::string big = "\"" + std::string(700000, 'x') + "\"";
	jj_bytes_t body = jj_bytes_copy(big.data(), big.size());
	jj_bytes_t raw = jj_bytes_copy("\xff\xfe{", 3);
	jj_item_result_t results[] = {jj_result_answered("a", "r", 200, &body),
	    jj_result_answered("b", "r", 200, &raw),
	    jj_result_answered("c", "r", 200, &body)};
	jj_bytes_t out = jj_out_encode(results, 3, "w/1", "0");
	jj_result_counts_t counts;

	EXPECT_LE(out.size, (size_t)JJ_OBJECT_VALUE_MAX);
	EXPECT_TRUE(jj_out_count(&out, &counts));
	EXPECT_EQ(2u, counts.by_kind[JJ_RESULT_DONE]);
	EXPECT_EQ(1u, counts.by_kind[JJ_RESULT_FAILED]);
	jj_bytes_free(&out);
	jj_bytes_free(&body);
	jj_bytes_free(&raw);
	for (auto &result : results)
		jj_result_clear(&result);
}

/*
 * When a checkpoint is full, it must have the results of bookings, as the next
 * holder can't run them again; others may be left out.
 */
TEST(BatchRecord, ResultsOfBookingsGoFirst)
{
	std::string text = "\"" + std::string(400, 'x') + "\"";
	jj_bytes_t body = jj_bytes_copy(text.data(), text.size());
	jj_item_result_t results[] = {jj_result_answered("a", "r", 200, &body),
	    jj_result_answered("b", "r", 200, &body)};
	bool started[] = {false, true};
	jj_chunk_record_t record = {};
	jj_chunk_record_t read = {};
	jj_item_record_t items[2] = {};
	jj_bytes_t value =
	    jj_chunk_record_encode(&record, results, started, 2, 700);

	ASSERT_TRUE(jj_chunk_record_decode(&read, &value, 1));
	jj_chunk_record_read_items(&read, items, 2);
	EXPECT_EQ(nullptr, items[0].result.text.data);
	ASSERT_NE(nullptr, items[1].result.text.data);
	EXPECT_STREQ(results[1].text.data, items[1].result.text.data);
	EXPECT_TRUE(items[1].started);
	jj_chunk_record_clear(&read);
	jj_bytes_free(&value);
	jj_bytes_free(&body);
	for (auto &item : items)
		jj_result_clear(&item.result);
	for (auto &result : results)
		jj_result_clear(&result);
}

/** Limits of a VM that is steward only of one service's backend servers. */
int32_t
limit_of_one_service(void *service, const char *queried)
{
	return strcmp(queried, (const char *)service) == 0 ? 4 : -1;
}

/*
 * A job with prompts and bookings never ends although all VMs are idle. Its
 * chunk is held by a VM that is steward of the engine only and has no share
 * for the bookings. Its lease is renewed forever, so that the VM which could
 * run them never gets the chunk.
 */
TEST(BatchShare, ChunkGoesToTheVmThatHasAShareInItsRest)
{
	Fleet fleet(Rows{{true, false, true, false}, {false, true}});
	char prompts[] = "narrador";
	char bookings[] = "ordini";

	jj_batch_set_limits(
	    fleet.workers[0]->batch, limit_of_one_service, prompts);
	jj_batch_set_limits(
	    fleet.workers[1]->batch, limit_of_one_service, bookings);
	EXPECT_TRUE(fleet.run_to_end());
	expect_no_violations(fleet);
	for (uint32_t chunk = 0; chunk < 2; chunk++) {
		for (size_t i = 0; i < fleet.chunks[chunk].size(); i++)
			EXPECT_EQ("", fleet.code(chunk, i));
	}
}

/*
 * An item is reported as "not run" though an engine had begun it. It was
 * withdrawn in favour of online requests, and the job was cancelled before the
 * item was sent again.
 */
TEST(BatchCancel, WithdrawnItemIsNotCalledNotRun)
{
	Fleet fleet(Rows{{true}}, 1);

	run_calls(fleet, 0);
	fleet.end(0, JJ_ITEM_WITHDRAWN);
	fleet.cancel();
	fleet.change(0, fleet.job_key());
	run_calls(fleet, 0);
	EXPECT_TRUE(fleet.run_to_end());
	expect_no_violations(fleet);
	EXPECT_EQ("unknown", fleet.code(0, 0, "run"));
}

} // namespace
