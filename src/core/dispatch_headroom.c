/**
 * @file dispatch_headroom.c
 * @brief Measures token gaps and keeps the limit at the load where they start
 * to grow.
 */
#include <math.h>
#include <stdlib.h>

#include "core/dispatch_headroom.h"

#define US_PER_MS 1000.0
#define ADJUST_MS 100
/* Minimum number of gaps for a measurement. */
#define SAMPLES_MIN 24
/* Gaps longer than this many medians include a prefill and are left out. */
#define OUTLIER_FACTOR 1.5
/* Tolerated growth of the gap, at trade 0 and trade 1. */
#define ALLOWANCE_MIN 0.04
#define ALLOWANCE_MAX 0.06
/*
 * Tolerated growth of the gap, and growth of the limit, while no online request
 * runs.
 */
#define ALLOWANCE_BATCH_ONLY 0.3
#define BATCH_ONLY_FACTOR 1.1
/*
 * Growth of the limit per adjustment: a factor before the limit was first
 * lowered, a number of requests after that.
 */
#define START_FACTOR 1.5
#define GROWTH 0.3
/* One adjustment lowers the limit at most to this share of it. */
#define SHRINK_MIN 0.5
/* Shares by which the base gap follows a lower or a higher measurement. */
#define BASE_DOWN 0.5
#define BASE_UP 0.02
/*
 * When gaps are longer than batch can explain for this time, the server itself
 * became slower.
 */
#define CROWDED_MS 5000
/* Share of a server's time that batch prefills may take, at trade 0 and 1. */
#define PREFILL_SHARE_MIN 0.20
#define PREFILL_SHARE_MAX 0.50
/* Two reports closer than this describe the same snapshot. */
#define SNAPSHOT_MS 100
/* With reports further apart than this, the time between them is unknown. */
#define REPORT_DISTANCE_MAX_MS 750
/*
 * Requests above the limit before batch items are cancelled, at trade 0 and 1.
 */
#define SLACK_MIN 1.0
#define SLACK_MAX 4.0
/* Batch leaves one in this many slots free for online arrivals. */
#define SLOTS_FREE_SHARE 8

static double mean_gap(jj_headroom_t *);
static int compare_samples(const void *, const void *);
static void
update_base_gap(jj_headroom_t *, const jj_headroom_use_t *, double, jj_ms_t);
static void update_limit(jj_headroom_t *, const jj_headroom_use_t *, double);
static void grow_batch_only(jj_headroom_t *);
static double interpolate(double, double, double);
static double effective_limit(const jj_headroom_t *, const jj_headroom_use_t *);

void
jj_headroom_reset(jj_headroom_t *headroom, uint32_t start)
{
	*headroom = (jj_headroom_t){0};
	headroom->limit = start;
	headroom->starting = true;
}

void
jj_headroom_add_gap(jj_headroom_t *headroom, uint32_t gap_us)
{
	headroom->samples[headroom->sample_count % JJ_HEADROOM_SAMPLES] =
	    gap_us;
	headroom->sample_count++;
}

void
jj_headroom_add_first_token(jj_headroom_t *headroom, jj_ms_t first_ms)
{
	double prefill_ms = (double)first_ms - headroom->gap_us / US_PER_MS;

	if (prefill_ms < 0)
		prefill_ms = 0;
	headroom->prefill_ms += (prefill_ms - headroom->prefill_ms) / 8;
}

void
jj_headroom_adjust(
    jj_headroom_t *headroom, const jj_headroom_use_t *use, jj_ms_t now)
{
	if (now < headroom->next_adjust_ms ||
	    headroom->sample_count < SAMPLES_MIN)
		return;
	headroom->next_adjust_ms = now + ADJUST_MS;
	headroom->gap_us = mean_gap(headroom);
	update_base_gap(headroom, use, headroom->gap_us, now);
	update_limit(headroom, use, headroom->gap_us);
}

/*
 * A server admits a request at its next step, so one report with waiting
 * requests may only show requests that have just arrived: the number that ran
 * then says nothing about the server's slots. A server whose slots are all
 * taken shows a queue in each report, and in at least one of them runs as many
 * requests as it has slots.
 */
void
jj_headroom_note_report(jj_headroom_t *headroom, uint32_t running,
    uint32_t waiting, jj_ms_t taken_ms)
{
	uint32_t max_running = 0;
	uint32_t i;

	/*
	 * A report that arrives out of order says nothing about the queue
	 * since.
	 */
	if (taken_ms < headroom->queue_report_ms)
		return;
	if (waiting == 0 ||
	    taken_ms - headroom->queue_report_ms > REPORT_DISTANCE_MAX_MS)
		headroom->queue_reports = 0;
	if (waiting == 0 ||
	    (headroom->queue_reports > 0 &&
		taken_ms - headroom->queue_report_ms < SNAPSHOT_MS))
		return;
	headroom->queue_report_ms = taken_ms;
	headroom->queue_running[headroom->queue_reports % JJ_QUEUE_REPORTS] =
	    running;
	headroom->queue_reports++;
	for (i = 0; i < JJ_QUEUE_REPORTS; i++) {
		if (max_running < headroom->queue_running[i])
			max_running = headroom->queue_running[i];
	}
	/*
	 * A limit of 0 could never rise again: without a stream no gap is
	 * measured.
	 */
	if (headroom->queue_reports < JJ_QUEUE_REPORTS || max_running == 0)
		return;
	headroom->starting = false;
	if (headroom->limit <= max_running)
		return;
	headroom->limit = max_running;
	headroom->bound = JJ_BOUND_REPORT;
	headroom->bound_running = max_running;
}

uint32_t
jj_headroom_free_slots(
    const jj_headroom_t *headroom, const jj_headroom_use_t *use, jj_ms_t now)
{
	double free_slots;

	if (now < headroom->next_batch_ms || use->batch >= use->batch_max)
		return 0;
	free_slots = effective_limit(headroom, use) - use->online - use->batch;
	if (free_slots < 1)
		return 0;
	if (free_slots > use->batch_max - use->batch)
		return use->batch_max - use->batch;
	return (uint32_t)free_slots;
}

uint32_t
jj_headroom_excess(const jj_headroom_t *headroom, const jj_headroom_use_t *use)
{
	double limit = effective_limit(headroom, use);
	double slack = interpolate(SLACK_MIN, SLACK_MAX, use->trade);
	double excess;

	/* Online requests alone fill the server, so no excess is tolerated. */
	if (use->online >= limit)
		slack = 0;
	excess = use->online + use->batch - limit - slack;

	/*
	 * Without online requests nobody is slowed down: let the batch items
	 * finish instead of losing their work.
	 */
	if (excess < 1 || use->online == 0)
		return 0;
	return excess > use->batch ? use->batch : (uint32_t)excess;
}

void
jj_headroom_note_start(
    jj_headroom_t *headroom, const jj_headroom_use_t *use, jj_ms_t now)
{
	double share =
	    interpolate(PREFILL_SHARE_MIN, PREFILL_SHARE_MAX, use->trade);

	/*
	 * Batch prefills in close succession stall every stream of the server.
	 */
	if (use->online > 0)
		headroom->next_batch_ms =
		    now + (jj_ms_t)(headroom->prefill_ms * (1 - share) / share);
}

/* The mean gap, without the gaps that a prefill lengthened. */
static double
mean_gap(jj_headroom_t *headroom)
{
	uint32_t sorted[JJ_HEADROOM_SAMPLES];
	uint32_t count = headroom->sample_count;
	uint32_t used = 0;
	uint32_t i;
	double sum = 0;
	uint32_t middle;
	double max_gap;

	if (count > JJ_HEADROOM_SAMPLES)
		count = JJ_HEADROOM_SAMPLES;
	for (i = 0; i < count; i++)
		sorted[i] = headroom->samples[i];
	qsort(sorted, count, sizeof(sorted[0]), compare_samples);
	middle = count / 2;
	max_gap = sorted[middle] * OUTLIER_FACTOR;
	for (i = 0; i < count; i++) {
		if (sorted[i] > max_gap)
			break;
		sum += sorted[i];
		used++;
	}
	headroom->sample_count = 0;
	return used > 0 ? sum / used : 0;
}

static int
compare_samples(const void *a, const void *b)
{
	uint32_t left = *(const uint32_t *)a;
	uint32_t right = *(const uint32_t *)b;

	return (left > right) - (left < right);
}

/*
 * The base gap follows lower gaps at once. It follows higher ones only when
 * batch cannot be the cause, that is, when they stay longer than the running
 * batch items could make them.
 */
static void
update_base_gap(jj_headroom_t *headroom, const jj_headroom_use_t *use,
    double gap, jj_ms_t now)
{
	double running = use->online + use->batch;
	double others = use->online > 0 ? use->online : 1;

	if (headroom->base_gap_us <= 0) {
		headroom->base_gap_us = gap;
		return;
	}
	if (gap <= headroom->base_gap_us) {
		headroom->base_gap_us +=
		    (gap - headroom->base_gap_us) * BASE_DOWN;
		return;
	}
	/*
	 * In the worst case a gap grows in proportion to the running requests.
	 */
	if (gap <= headroom->base_gap_us * running / others) {
		headroom->crowded_since_ms = 0;
		return;
	}
	if (headroom->crowded_since_ms == 0)
		headroom->crowded_since_ms = now;
	if (now - headroom->crowded_since_ms >= CROWDED_MS)
		headroom->base_gap_us +=
		    (gap - headroom->base_gap_us) * BASE_UP;
}

/*
 * Beyond the load at which gaps start to grow, they grow in proportion to the
 * running requests. So the ratio of the gaps shows how far the limit has to go
 * down.
 */
static void
update_limit(jj_headroom_t *headroom, const jj_headroom_use_t *use, double gap)
{
	double running = use->online + use->batch;
	double allowed = headroom->base_gap_us *
	    (1 + interpolate(ALLOWANCE_MIN, ALLOWANCE_MAX, use->trade));
	double lower;

	/*
	 * Without online requests nobody is slowed down, and jitter of batch's
	 * own gaps must not keep an idle server idle. Batch is only reduced
	 * when the gap is far above the bound.
	 */
	if (use->online == 0 && gap > allowed &&
	    gap <= headroom->base_gap_us * (1 + ALLOWANCE_BATCH_ONLY))
		return;
	if (gap > allowed) {
		headroom->starting = false;
		lower = running * allowed / gap;
		if (lower < headroom->limit * SHRINK_MIN)
			lower = headroom->limit * SHRINK_MIN;
		if (lower < headroom->limit) {
			headroom->limit = lower;
			headroom->bound = JJ_BOUND_GAPS;
			headroom->bound_running = use->online + use->batch;
		}
		if (headroom->limit < 1)
			headroom->limit = 1;
		return;
	}
	if (running < headroom->limit - 1)
		return;
	if (headroom->starting)
		headroom->limit *= START_FACTOR;
	else if (use->online == 0)
		grow_batch_only(headroom);
	else
		headroom->limit += GROWTH;
}

/*
 * A fraction of a request does not let another one start: at a low limit, where
 * few gaps are measured, it would take half a minute to try one more request.
 * So the limit grows by at least 1.
 */
static void
grow_batch_only(jj_headroom_t *headroom)
{
	double grown = headroom->limit * BATCH_ONLY_FACTOR;

	headroom->limit =
	    grown > headroom->limit + 1 ? grown : headroom->limit + 1;
}

static double
interpolate(double min, double max, double share)
{
	return min + (max - min) * share;
}

/*
 * The limit, capped below the slots so that online requests never queue for
 * one.
 */
static double
effective_limit(const jj_headroom_t *headroom, const jj_headroom_use_t *use)
{
	uint32_t spare = use->slots / SLOTS_FREE_SHARE;
	double max_limit = use->slots - spare;

	if (use->slots > 0 && headroom->limit > max_limit)
		return max_limit;
	return headroom->limit;
}
