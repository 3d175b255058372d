/**
 * @file batch_test.cc
 * @brief The batch worker, story by story; orders of events are explored in
 * batch_model_test.cc.
 */
#include "batch_fleet.h"

extern "C" {
#include "core/batch_line.h"
#include "core/batch_record.h"
}

namespace
{

/** Steps one worker until it waits, leaving its runs where they are. */
void
settle(Fleet &fleet, size_t index)
{
	fleet.tick(index);
	while (FakePlatform::find_call(&fleet.workers[index]->actions))
		fleet.call(index);
}

void
expect_sound(Fleet &fleet)
{
	fleet.check_outs();
	for (const std::string &what : fleet.broken)
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
 * Story 6: a job never ends because one item fails each time it is tried.
 * Whatever the backend server does, each item ends with one result, and the
 * items beside it are not held up.
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
	    {"poison", true, {JJ_ITEM_POISON}, "quarantined", "unknown", 1},
	    {"broken, then done", true, {JJ_ITEM_BROKEN, JJ_ITEM_DONE}, "", "",
		2},
	    {"always broken", true,
		{JJ_ITEM_BROKEN, JJ_ITEM_BROKEN, JJ_ITEM_BROKEN,
		    JJ_ITEM_BROKEN},
		"attempts_used_up", "unknown", 4},
	    {"withdrawn uses no attempt", true,
		{JJ_ITEM_WITHDRAWN, JJ_ITEM_WITHDRAWN, JJ_ITEM_WITHDRAWN,
		    JJ_ITEM_WITHDRAWN, JJ_ITEM_WITHDRAWN, JJ_ITEM_DONE},
		"", "", 6},
	    {"not run uses no attempt", true,
		{JJ_ITEM_NOT_RUN, JJ_ITEM_NOT_RUN, JJ_ITEM_NOT_RUN,
		    JJ_ITEM_NOT_RUN, JJ_ITEM_NOT_RUN, JJ_ITEM_DONE},
		"", "", 6},
	    {"booking broken", false, {JJ_ITEM_BROKEN}, "outcome_unknown",
		"unknown", 1},
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
			settle(fleet, 0);
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
		EXPECT_EQ(c.sent + 1, worker.offered);
		expect_sound(fleet);
	}
}

/*
 * Story 3: a job runs twice as long as it should, or reports a conflict with
 * itself. A write takes effect, its answer is lost, and the repeat meets the
 * worker's own value: it must know it for its own, at each kind of write.
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
			EXPECT_EQ(2, fleet.workers[0]->offered);
			/* claim, start, out, done and close, none twice. */
			EXPECT_EQ(objects + 5, fleet.platform.log.size());
			/* Before the next listing would find the entry. */
			fleet.run_rounds(30, 100);
			EXPECT_FALSE(fleet.platform.has(fleet.entry_key()));
			EXPECT_LE(fleet.platform.writes, 8);
			expect_sound(fleet);
		}
	}
}

/*
 * A checkpoint's answer is lost, and all items end before it is repeated.
 * The chunk's record must still end as done, not as a claim that lapses.
 */
TEST(BatchWrite, LostCheckpointIsSettledBeforeTheEnd)
{
	Fleet fleet(Rows{{true}}, 1);

	settle(fleet, 0);
	fleet.now += 5000;
	fleet.platform.next_writes = {Fault::kLoseAnswer};
	settle(fleet, 0);
	fleet.end(0, JJ_ITEM_DONE);
	EXPECT_TRUE(fleet.run_to_end());
	EXPECT_EQ("done", fleet.text_of(fleet.record_key(0), "state"));
	expect_sound(fleet);
}

/*
 * Story 10: pallets are booked twice. A booking's start was written, but the
 * answer was lost; or the platform is down. It must not be sent before the
 * mark is known to stand.
 */
TEST(BatchWrite, NothingIsSentBeforeItsStartIsConfirmed)
{
	Fleet fleet(Rows{{false}}, 1);

	fleet.platform.next_writes = {Fault::kNone};
	for (int i = 0; i < 5; i++)
		fleet.platform.next_writes.push_back(Fault::kNoAnswer);
	for (int i = 0; i < 5; i++) {
		settle(fleet, 0);
		EXPECT_EQ(0, fleet.workers[0]->offered);
		fleet.now += 60;
	}
	EXPECT_TRUE(fleet.run_to_end());
	EXPECT_EQ("", fleet.code(0, 0));
	expect_sound(fleet);
}

/* Who may take a claim over, and when. */
TEST(BatchClaim, IsTakenOverOnlyWhenItHasLapsed)
{
	struct {
		const char *name;
		jj_ms_t pass;
		bool renews, dies, leaves, taken;
	} const cases[] = {
	    {"within lease and margin", 17000, false, false, false, false},
	    {"after lease and margin", 18100, false, false, false, true},
	    {"renewed meanwhile", 18100, true, false, false, false},
	    {"holder dead", 300, false, true, false, true},
	    {"holder left", 300, false, false, true, true},
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		Fleet fleet(Rows{{true}});

		settle(fleet, 0);
		settle(fleet, 1);
		fleet.now += 300;
		settle(fleet, 1);
		if (c.leaves)
			fleet.leave(0);
		if (c.renews)
			fleet.now += c.pass / 2;
		if (c.renews || c.leaves)
			settle(fleet, 0);
		if (c.leaves)
			fleet.change(1, fleet.record_key(0));
		if (c.dies)
			fleet.accuse(0, 1);
		fleet.now += c.renews ? c.pass / 2 : c.pass;
		settle(fleet, 1);
		EXPECT_EQ(c.taken ? 1u : 0u, fleet.counts(1).takeovers);
		EXPECT_EQ(c.taken ? 1 : 0, fleet.workers[1]->offered);
	}
}

/*
 * Story 4: an entry is billed twice. A worker is frozen past its lease with
 * items in flight, another takes the chunk over; the first wakes. It starts
 * nothing until it has written, finds its claim lost, stops its items and
 * publishes nothing.
 */
TEST(BatchClaim, FrozenHolderWakesAndStops)
{
	Fleet fleet(Rows{{true, true, true}});

	fleet.workers[0]->room = 1;
	fleet.workers[1]->room = 0;
	settle(fleet, 0);
	EXPECT_EQ(1, fleet.workers[0]->offered);
	settle(fleet, 1);
	fleet.now += 18100;
	fleet.workers[1]->room = 8;
	settle(fleet, 1);
	EXPECT_EQ(3, fleet.workers[1]->offered);
	fleet.workers[0]->room = 8;
	settle(fleet, 0);
	EXPECT_EQ(1, fleet.workers[0]->offered);
	EXPECT_EQ(1, fleet.workers[0]->cancelled_runs);
	EXPECT_EQ(1u, fleet.counts(0).claims_lost);
	EXPECT_TRUE(fleet.run_to_end());
	EXPECT_EQ(0u, fleet.counts(0).published);
	EXPECT_EQ(1u, fleet.counts(1).published);
	expect_sound(fleet);
}

/*
 * Story 4: a holder believes in a lease that the others see lapse. Its claim
 * took effect at the first try, whose answer was lost; the repeat is
 * confirmed ten seconds later. The lease counts from the first try.
 */
TEST(BatchClaim, LeaseCountsFromTheFirstTry)
{
	Fleet fleet(Rows{{true}}, 1);

	Worker &worker = *fleet.workers[0];

	fleet.platform.next_writes = {Fault::kLoseAnswer};
	settle(fleet, 0);
	fleet.now += 10000;
	worker.room = 0;
	fleet.tick(0);
	for (jj_action_t *next = FakePlatform::find_call(&worker.actions);
	     next && next->body.platform.op != JJ_PLATFORM_UPDATE;
	     next = FakePlatform::find_call(&worker.actions))
		fleet.call(0);
	/* Loaded, and the renewal is under way when the lease lapses. */
	fleet.now += 5100;
	worker.room = 1;
	fleet.tick(0);
	EXPECT_EQ(0, worker.offered);
	settle(fleet, 0);
	EXPECT_EQ(1, worker.offered);
}

/*
 * Story 4, the other way round: the first holder wakes with all its items
 * ended and publishes at once; the successor's results come second. The
 * first out object stands as it is.
 */
TEST(BatchClaim, FirstPublishedResultStands)
{
	Fleet fleet(Rows{{true}});

	settle(fleet, 0);
	settle(fleet, 1);
	fleet.now += 18100;
	settle(fleet, 1);
	EXPECT_EQ(1, fleet.workers[1]->offered);
	fleet.end(0, JJ_ITEM_DONE);
	settle(fleet, 0);
	EXPECT_EQ(1u, fleet.counts(0).published);
	std::string first = fleet.platform.objects[fleet.out_key(0)].value;
	fleet.end(1, JJ_ITEM_REFUSED);
	settle(fleet, 1);
	EXPECT_EQ(1u, fleet.counts(1).publish_conflicts);
	EXPECT_TRUE(fleet.run_to_end());
	EXPECT_EQ(first, fleet.platform.objects[fleet.out_key(0)].value);
	EXPECT_EQ("completed", fleet.job_state());
	expect_sound(fleet);
}

/*
 * Story 5: a VM dies with items in flight, and its successor dies on the
 * same chunk. What was checkpointed is not run again; a booking that may
 * have been sent ends as "outcome unknown".
 */
TEST(BatchClaim, TwoDeathsOnOneChunk)
{
	Fleet fleet(Rows{{true, true, false}});

	fleet.workers[1]->room = 0;
	settle(fleet, 0);
	EXPECT_EQ(3, fleet.workers[0]->offered);
	fleet.end(0, JJ_ITEM_DONE);
	fleet.now += 5100;
	settle(fleet, 0);
	fleet.kill(0);
	settle(fleet, 0);
	fleet.now += 300;
	settle(fleet, 0);
	EXPECT_EQ(1u, fleet.counts(0).takeovers);
	EXPECT_EQ(1, fleet.workers[0]->offered);
	fleet.kill(0);
	fleet.workers[1]->room = 8;
	EXPECT_TRUE(fleet.run_to_end());
	EXPECT_EQ("", fleet.code(0, 0));
	EXPECT_EQ("", fleet.code(0, 1));
	EXPECT_EQ("outcome_unknown", fleet.code(0, 2));
	expect_sound(fleet);
}

/*
 * A VM is lost between its out object and its record: the next holder must
 * not run the items again, only finish the record.
 */
TEST(BatchClaim, PublishedChunkIsOnlyFinished)
{
	Fleet fleet(Rows{{true}});

	settle(fleet, 0);
	settle(fleet, 1);
	fleet.now += 300;
	settle(fleet, 1);
	fleet.end(0, JJ_ITEM_DONE);
	while (!fleet.platform.has(fleet.out_key(0)))
		fleet.call(0);
	fleet.kill(0);
	EXPECT_TRUE(fleet.run_to_end());
	EXPECT_EQ(1u, fleet.counts(1).takeovers);
	EXPECT_EQ(0, fleet.workers[0]->offered);
	EXPECT_EQ(0, fleet.workers[1]->offered);
	EXPECT_EQ("completed", fleet.job_state());
	expect_sound(fleet);
}

/*
 * A caller sees a job that never completes, though all its results are
 * there: the worker that published the last chunk was lost before it closed
 * the job, and the others know of nothing to do. They look again by and by.
 */
TEST(BatchClaim, OrphanedJobIsClosed)
{
	Fleet fleet(Rows{{true}});

	settle(fleet, 0);
	settle(fleet, 1);
	fleet.end(0, JJ_ITEM_DONE);
	while (!fleet.platform.has(fleet.out_key(0)))
		fleet.call(0);
	fleet.change(1, fleet.out_key(0));
	fleet.workers.erase(fleet.workers.begin());
	EXPECT_TRUE(fleet.run_to_end(100));
	EXPECT_EQ("completed", fleet.job_state());
}

/*
 * Each VM reads a job that ended days ago at each listing: the VM that
 * closed it was lost before it deleted the index entry, and the others
 * remember the job as ended. Whoever lists the entry deletes it.
 */
TEST(BatchIndex, EntryOfAnEndedJobIsDeletedByAnybody)
{
	for (bool remembers : {true, false}) {
		SCOPED_TRACE(remembers);
		Fleet fleet(Rows{{true}});

		settle(fleet, 0);
		settle(fleet, 1);
		fleet.end(0, JJ_ITEM_DONE);
		while (fleet.job_state() == "running")
			fleet.call(0);
		if (remembers)
			fleet.change(1, fleet.job_key());
		settle(fleet, 1);
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
 * A caller's job never runs, or workers read for ever what is not there: a
 * VM is lost, or slow, between the index entry and its job. An entry without
 * a job is deleted, after far longer than a submission may take.
 */
TEST(BatchIndex, OrphanIsKeptForItsGrace)
{
	struct {
		const char *name;
		int job_after_s; /**< the job is there then; 0: never */
		int renewed_after_s; /**< a resend writes the entry anew */
		int seconds;
		bool entry;
	} const cases[] = {
	    {"within the grace", 0, 0, 590, true},
	    {"after the grace", 0, 0, 700, false},
	    {"job comes late", 5, 0, 120, false},
	    {"job comes much later", 300, 0, 900, false},
	    {"submitted again", 0, 500, 1000, true},
	    {"submitted again, then not", 0, 500, 1300, false},
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
 * A worker read the job as absent and deletes its entry; a submission that
 * came upon that entry wrote it anew in between, and its job would be found
 * by nobody. The deletion names the version that was read.
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
	expect_sound(fleet);
}

/*
 * The watch relay lost events: a new job waits for the next listing, half a
 * minute away. Told of the loss, the worker lists soon; so too when the loss
 * is told during a listing.
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
			settle(fleet, 0);
		jj_batch_take_change(fleet.workers[0]->batch, "", 0, fleet.now,
		    &fleet.workers[0]->actions);
		settle(fleet, 0);
		fleet.platform.objects = full.objects;
		fleet.run_rounds(30, 100);
		EXPECT_EQ(1, fleet.workers[0]->offered);
	}
}

/* All VMs were started at once; their listings must not stay in step. */
TEST(BatchIndex, ListingsAreSpread)
{
	Fleet fleet(Rows{{true}}, 100);
	std::map<jj_ms_t, int> lists;

	for (auto &worker : fleet.workers)
		worker->room = 0;
	fleet.platform.before = [&](const jj_platform_call_t &call) {
		if (strcmp(call.key, JJ_ACTIVE_PREFIX) == 0)
			lists[fleet.now / 1000]++;
	};
	fleet.run_rounds(1000, 100);
	ASSERT_GE(lists.size(), 60u);
	EXPECT_EQ(100, lists[1]) << "the first, at the start";
	for (const auto &entry : lists)
		EXPECT_LE(entry.second, entry.first == 1 ? 100 : 15);
}

/*
 * Story 8: the platform is down for an hour while batch runs. Finished work
 * is kept and published once the platform is back, nothing is run again,
 * and idempotent items of claimed chunks go on meanwhile.
 */
TEST(BatchOutage, FinishedWorkIsKeptAndPublishedOnce)
{
	for (Fault fault : {Fault::kRefuse, Fault::kNoAnswer, Fault::kLimit}) {
		Fleet fleet(Rows{{true, true, true, true}}, 1);
		Worker &worker = *fleet.workers[0];

		worker.room = 1;
		settle(fleet, 0);
		fleet.platform.fault = fault;
		fleet.end(0, JJ_ITEM_DONE);
		for (int i = 0; i < 360; i++) {
			fleet.now += 10000;
			settle(fleet, 0);
			fleet.end(0, JJ_ITEM_DONE);
		}
		EXPECT_EQ(4, worker.offered);
		EXPECT_LT(fleet.platform.writes, 400);
		fleet.platform.fault = Fault::kNone;
		EXPECT_TRUE(fleet.run_to_end());
		EXPECT_EQ(4, worker.offered);
		EXPECT_EQ(1u, fleet.counts(0).published);
		expect_sound(fleet);
	}
}

/*
 * Story 9: a cancelled job goes on and costs money. The cancel's watch event
 * is lost; the holder reads the job with each renewal, stops its streams,
 * starts nothing more, and what was done stays readable.
 */
TEST(BatchCancel, StopsWithinOneCheckpoint)
{
	Fleet fleet(Rows{{true, true, false, true}, {true}}, 1);
	Worker &worker = *fleet.workers[0];

	worker.room = 0;
	settle(fleet, 0);
	worker.room = 3;
	settle(fleet, 0);
	int offered = worker.offered;
	int running = (int)worker.running.size();
	fleet.end(0, JJ_ITEM_DONE);
	fleet.cancel();
	fleet.now += 5000;
	worker.room = 0;
	settle(fleet, 0);
	worker.room = 8;
	settle(fleet, 0);
	EXPECT_EQ(offered, worker.offered);
	EXPECT_EQ(running - 1, worker.cancelled_runs);
	EXPECT_TRUE(fleet.run_to_end());
	EXPECT_EQ("cancelled", fleet.job_state());
	EXPECT_EQ(offered, worker.offered);
	json_t *job = fleet.load(fleet.job_key());
	EXPECT_EQ(1, json_integer_value(json_object_get(job, "done")));
	EXPECT_EQ(
	    4, json_integer_value(json_object_get(job, "cancelled_items")));
	json_decref(job);
	expect_sound(fleet);
}

/*
 * Story 9: an item starts after its job's cancel is in force. A worker that
 * knows the job as running claims a chunk of it after the cancel: it reads
 * the job once its claim stands, and starts nothing.
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
	EXPECT_EQ(0, fleet.workers[0]->offered);
	EXPECT_EQ("cancelled", fleet.job_state());
	expect_sound(fleet);
}

/*
 * Story 9 and 12: a caller is told that an item of a cancelled job was not
 * run, and it was. A live holder is held for dead, its successor runs the
 * items; then the job is cancelled and the first holder hears of it.
 */
TEST(BatchCancel, HolderThatWasReplacedDoesNotSayNotRun)
{
	Fleet fleet(Rows{{true, true}});

	fleet.workers[0]->room = 1;
	settle(fleet, 0);
	settle(fleet, 1);
	fleet.accuse(0, 1);
	fleet.now += 300;
	settle(fleet, 1);
	EXPECT_EQ(2, fleet.workers[1]->offered);
	fleet.cancel();
	fleet.change(0, fleet.job_key());
	settle(fleet, 0);
	EXPECT_EQ(1u, fleet.counts(0).claims_lost);
	EXPECT_TRUE(fleet.run_to_end());
	expect_sound(fleet);
}

/*
 * Story 24: a planned stop cuts a booking off, or leaves its chunk waiting
 * for a lease. Idempotent runs are stopped, a booking is awaited, then the
 * chunk is released with what is done, and the next VM goes on at once.
 */
TEST(BatchLeave, ReleasesWithResults)
{
	Fleet fleet(Rows{{true, true, false}});

	fleet.workers[1]->room = 0;
	settle(fleet, 0);
	fleet.end(0, JJ_ITEM_DONE);
	fleet.leave(0);
	settle(fleet, 0);
	EXPECT_EQ(1, fleet.workers[0]->cancelled_runs);
	EXPECT_EQ(1u, fleet.workers[0]->running.size());
	EXPECT_FALSE(jj_batch_is_idle(fleet.workers[0]->batch));
	fleet.end(0, JJ_ITEM_DONE);
	settle(fleet, 0);
	EXPECT_TRUE(jj_batch_is_idle(fleet.workers[0]->batch));
	EXPECT_EQ("released", fleet.text_of(fleet.record_key(0), "state"));
	fleet.workers[1]->room = 8;
	fleet.now += 300;
	settle(fleet, 1);
	EXPECT_EQ(1, fleet.workers[1]->offered);
	EXPECT_TRUE(fleet.run_to_end());
	EXPECT_EQ("", fleet.code(0, 2));
	expect_sound(fleet);
}

/*
 * Story 6 at the scale of a service: a service takes nothing for hours, and
 * other services' chunks wait behind its chunks. Stalled chunks keep their
 * claims, but not the places of others.
 */
TEST(BatchItem, StalledServiceDoesNotHoldUpOthers)
{
	Rows rows(5, {false});
	rows.push_back({true});
	Fleet fleet(rows, 1);
	Worker &worker = *fleet.workers[0];

	for (int i = 0; i < 600 && !fleet.platform.has(fleet.out_key(5)); i++) {
		settle(fleet, 0);
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
	expect_sound(fleet);
}

/* Items in the hands of the servers never exceed the room given. */
TEST(BatchRoom, BoundsWhatIsOffered)
{
	Fleet fleet(Rows{std::vector<bool>(20, true)}, 1);

	fleet.workers[0]->room = 3;
	settle(fleet, 0);
	EXPECT_EQ(3, fleet.workers[0]->offered);
	fleet.workers[0]->room = 0;
	settle(fleet, 0);
	EXPECT_EQ(3, fleet.workers[0]->offered);
	EXPECT_GT(jj_batch_next(fleet.workers[0]->batch), fleet.now);
}

/* One huge answer would make an out object that the platform refuses. */
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
 * A checkpoint is full: results of bookings must be in it, since the next
 * holder cannot run them again; others may be left out.
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

/** Shares of one service only, as a steward of that service's servers has. */
int32_t
only(void *service, const char *asked)
{
	return strcmp(asked, (const char *)service) == 0 ? 4 : -1;
}

/*
 * A job with prompts and bookings never ends although all VMs are idle. Its
 * chunk is held by a VM that is steward of the engine only: the bookings find
 * no room there, its lease is renewed for ever, and the VM that could run
 * them never gets the chunk.
 */
TEST(BatchShare, ChunkGoesToTheVmThatHasAShareInItsRest)
{
	Fleet fleet(Rows{{true, false, true, false}, {false, true}});
	char prompts[] = "narrador";
	char bookings[] = "ordini";

	jj_batch_set_limits(fleet.workers[0]->batch, only, prompts);
	jj_batch_set_limits(fleet.workers[1]->batch, only, bookings);
	EXPECT_TRUE(fleet.run_to_end());
	expect_sound(fleet);
	for (uint32_t chunk = 0; chunk < 2; chunk++) {
		for (size_t i = 0; i < fleet.chunks[chunk].size(); i++)
			EXPECT_EQ("", fleet.code(chunk, i));
	}
}

/*
 * A caller is told "not run" of an item that an engine had begun. It was taken
 * back to make room for online requests, and the job cancelled before it was
 * sent again.
 */
TEST(BatchCancel, WithdrawnItemIsNotCalledNotRun)
{
	Fleet fleet(Rows{{true}}, 1);

	settle(fleet, 0);
	fleet.end(0, JJ_ITEM_WITHDRAWN);
	fleet.cancel();
	fleet.change(0, fleet.job_key());
	settle(fleet, 0);
	EXPECT_TRUE(fleet.run_to_end());
	expect_sound(fleet);
	EXPECT_EQ("unknown", fleet.code(0, 0, "run"));
}

} // namespace
