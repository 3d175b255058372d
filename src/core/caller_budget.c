/**
 * @file caller_budget.c
 * @brief Bounds the memory and the connections that a process holds for its
 * callers.
 */
#include "core/caller_budget.h"

/**
 * Share of the limit that only connections with little memory may use. As much
 * beyond the limit may be held by evicted ones until they have left.
 */
#define RESERVE_DIVISOR 4
/** Share of the limit that large answers of servers may use together. */
#define ANSWERS_DIVISOR 2

static bool will_fit(const jj_caller_budget_t *, size_t, size_t);
static bool fits_now(const jj_caller_budget_t *, size_t, size_t);
static bool answer_fits(const jj_caller_budget_t *, size_t, size_t);
static size_t find_limit(const jj_caller_budget_t *, size_t);
static jj_caller_t *
evict_slowest(jj_caller_budget_t *, const jj_caller_t *, jj_ms_t);
static jj_caller_t *find_oldest(const jj_caller_budget_t *,
    const jj_caller_phase_t *, size_t, const jj_caller_t *);
static jj_caller_t *
evict(jj_caller_budget_t *, jj_caller_t *, jj_caller_reason_t);

void
jj_caller_budget_init(jj_caller_budget_t *budget, size_t limit,
    size_t connection_bytes, uint32_t connection_limit)
{
	int phase;

	*budget = (jj_caller_budget_t){.limit = limit,
	    .connection_bytes = connection_bytes,
	    .connection_limit = connection_limit};
	for (phase = 0; phase < JJ_CALLER_PHASES; phase++) {
		TAILQ_INIT(&budget->lists[phase]);
		budget->timeouts[phase] = JJ_MS_NEVER;
	}
}

void
jj_caller_budget_add(
    jj_caller_budget_t *budget, jj_caller_t *caller, jj_ms_t now)
{
	*caller = (jj_caller_t){.phase = JJ_CALLER_HEAD, .since = now};
	TAILQ_INSERT_TAIL(&budget->lists[JJ_CALLER_HEAD], caller, link);
	budget->connections++;
	budget->held += budget->connection_bytes;
}

void
jj_caller_budget_remove(jj_caller_budget_t *budget, jj_caller_t *caller)
{
	size_t bytes = budget->connection_bytes + caller->bytes;

	if (caller->evicted) {
		budget->evicted--;
		budget->leaving -= bytes;
	} else {
		TAILQ_REMOVE(&budget->lists[caller->phase], caller, link);
	}
	budget->connections--;
	budget->held -= bytes;
}

bool
jj_caller_budget_enter(jj_caller_budget_t *budget, jj_caller_t *caller,
    jj_caller_phase_t phase, jj_ms_t since)
{
	jj_caller_list_t *list = &budget->lists[phase];
	jj_caller_t *before;

	if (caller->evicted)
		return false;
	TAILQ_REMOVE(&budget->lists[caller->phase], caller, link);
	caller->phase = phase;
	caller->since = since;
	before = TAILQ_LAST(list, jj_caller_list);
	while (before != NULL && before->since > since)
		before = TAILQ_PREV(before, jj_caller_list, link);
	if (before != NULL)
		TAILQ_INSERT_AFTER(list, before, caller, link);
	else
		TAILQ_INSERT_HEAD(list, caller, link);
	return true;
}

bool
jj_caller_budget_hold(
    jj_caller_budget_t *budget, jj_caller_t *caller, size_t bytes, bool must)
{
	if (bytes > caller->bytes && !must &&
	    !jj_caller_budget_fits(budget, caller, bytes))
		return false;
	budget->held = budget->held - caller->bytes + bytes;
	if (caller->evicted)
		budget->leaving = budget->leaving - caller->bytes + bytes;
	caller->bytes = bytes;
	return true;
}

bool
jj_caller_budget_hold_answer(
    jj_caller_budget_t *budget, size_t held, size_t bytes, bool must)
{
	if (bytes > held && !must && budget->limit > 0 &&
	    !(answer_fits(budget, held, bytes) &&
		fits_now(budget, held, bytes)))
		return false;
	budget->held = budget->held - held + bytes;
	budget->answers = budget->answers - held + bytes;
	return true;
}

bool
jj_caller_budget_fits(
    const jj_caller_budget_t *budget, const jj_caller_t *caller, size_t bytes)
{
	return budget->limit == 0 ||
	    (!caller->evicted && fits_now(budget, caller->bytes, bytes));
}

jj_caller_t *
jj_caller_budget_evict_for_memory(jj_caller_budget_t *budget,
    const jj_caller_t *caller, size_t bytes, jj_ms_t now)
{
	if (budget->limit == 0 || caller->evicted ||
	    bytes > find_limit(budget, bytes) ||
	    will_fit(budget, caller->bytes, bytes))
		return NULL;
	return evict_slowest(budget, caller, now);
}

jj_caller_t *
jj_caller_budget_evict_for_answer(
    jj_caller_budget_t *budget, size_t held, size_t bytes, jj_ms_t now)
{
	if (budget->limit == 0 || !answer_fits(budget, held, bytes) ||
	    will_fit(budget, held, bytes))
		return NULL;
	return evict_slowest(budget, NULL, now);
}

jj_caller_t *
jj_caller_budget_evict_for_connection(
    jj_caller_budget_t *budget, jj_caller_t *caller)
{
	static const jj_caller_phase_t phases[] = {
	    JJ_CALLER_HEAD, JJ_CALLER_BODY, JJ_CALLER_SENDING, JJ_CALLER_IDLE};
	jj_caller_t *oldest;

	if (caller->evicted || budget->connection_limit == 0 ||
	    budget->connections - budget->evicted <= budget->connection_limit)
		return NULL;
	oldest = find_oldest(
	    budget, phases, sizeof(phases) / sizeof(phases[0]), caller);
	return evict(budget, oldest != NULL ? oldest : caller,
	    JJ_CALLER_OVER_CONNECTIONS);
}

jj_caller_t *
jj_caller_budget_expire(jj_caller_budget_t *budget, jj_ms_t now)
{
	jj_caller_t *first;
	int phase;

	for (phase = 0; phase < JJ_CALLER_PHASES; phase++) {
		first = TAILQ_FIRST(&budget->lists[phase]);
		if (first != NULL && budget->timeouts[phase] != JJ_MS_NEVER &&
		    now - first->since >= budget->timeouts[phase])
			return evict(budget, first, JJ_CALLER_OVER_TIME);
	}
	return NULL;
}

void
jj_caller_budget_skip(jj_caller_budget_t *budget, jj_ms_t pause_ms)
{
	jj_caller_t *caller;
	int phase;

	for (phase = 0; phase < JJ_CALLER_PHASES; phase++)
		TAILQ_FOREACH(caller, &budget->lists[phase], link)
	caller->since += pause_ms;
}

const char *
jj_caller_phase_name(jj_caller_phase_t phase)
{
	static const char *const names[JJ_CALLER_PHASES] = {
	    "head", "body", "sending", "idle", "served"};

	return names[phase];
}

/** Whether there is room once all evicted connections have left. */
static bool
will_fit(const jj_caller_budget_t *budget, size_t held, size_t bytes)
{
	return budget->held - budget->leaving - held + bytes <=
	    find_limit(budget, bytes);
}

static bool
fits_now(const jj_caller_budget_t *budget, size_t held, size_t bytes)
{
	return will_fit(budget, held, bytes) &&
	    budget->held - held + bytes <=
	    find_limit(budget, bytes) + budget->limit / RESERVE_DIVISOR;
}

/** Whether the answers of servers stay within their share of the limit. */
static bool
answer_fits(const jj_caller_budget_t *budget, size_t held, size_t bytes)
{
	size_t limit = budget->limit - budget->limit / RESERVE_DIVISOR;

	if (bytes > JJ_CALLER_SMALL_BYTES)
		limit = budget->limit / ANSWERS_DIVISOR;
	return budget->answers - held + bytes <= limit;
}

/** The limit for a connection or an answer that holds so much. */
static size_t
find_limit(const jj_caller_budget_t *budget, size_t bytes)
{
	return bytes <= JJ_CALLER_SMALL_BYTES
	    ? budget->limit
	    : budget->limit - budget->limit / RESERVE_DIVISOR;
}

/** The one that is longest in one of these phases, other than @p except. */
static jj_caller_t *
find_oldest(const jj_caller_budget_t *budget, const jj_caller_phase_t *phases,
    size_t count, const jj_caller_t *except)
{
	jj_caller_t *oldest = NULL;
	jj_caller_t *first;
	size_t i;

	for (i = 0; i < count; i++) {
		first = TAILQ_FIRST(&budget->lists[phases[i]]);
		if (first == except && first != NULL)
			first = TAILQ_NEXT(first, link);
		if (first != NULL &&
		    (oldest == NULL || first->since < oldest->since))
			oldest = first;
	}
	return oldest;
}

/** @param except is not evicted; or NULL. */
static jj_caller_t *
evict_slowest(
    jj_caller_budget_t *budget, const jj_caller_t *except, jj_ms_t now)
{
	static const jj_caller_phase_t phases[] = {
	    JJ_CALLER_HEAD, JJ_CALLER_BODY, JJ_CALLER_SENDING};
	static const jj_caller_phase_t idle = JJ_CALLER_IDLE;
	jj_caller_t *slowest = find_oldest(
	    budget, phases, sizeof(phases) / sizeof(phases[0]), except);

	if (slowest == NULL || now - slowest->since < JJ_CALLER_SLOW_MS)
		slowest = find_oldest(budget, &idle, 1, except);
	if (slowest == NULL || now - slowest->since < JJ_CALLER_SLOW_MS)
		return NULL;
	return evict(budget, slowest, JJ_CALLER_OVER_MEMORY);
}

static jj_caller_t *
evict(jj_caller_budget_t *budget, jj_caller_t *caller, jj_caller_reason_t why)
{
	TAILQ_REMOVE(&budget->lists[caller->phase], caller, link);
	caller->evicted = true;
	budget->evicted++;
	budget->leaving += budget->connection_bytes + caller->bytes;
	budget->closed[why]++;
	return caller;
}
