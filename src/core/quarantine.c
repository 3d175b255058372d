/**
 * @file quarantine.c
 * @brief Crash counts and refusals by request fingerprint, in bounded memory.
 */
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "core/quarantine.h"

/** Buckets of the table by fingerprint; a power of two. */
#define BUCKETS 4096
/** Crashes stored per fingerprint; at least the setting `strikes`. */
#define CRASHES_MAX JJ_MESSAGE_CRASHES_MAX
/**
 * Reports of a crash without a known boot id count as one crash for this time.
 */
#define UNKNOWN_BOOT_MS 5000

/** One crash of a backend server. */
typedef struct {
	uint64_t id; /**< hash of server and boot */
	jj_ms_t at_ms;
} server_crash_t;

typedef struct suspect {
	LIST_ENTRY(suspect) bucket;
	TAILQ_ENTRY(suspect) queue;
	uint64_t fingerprint;
	uint32_t crash_count;
	jj_ms_t last_crash_ms; /**< time of the last crash */
	bool refused;
	server_crash_t crashes[CRASHES_MAX];
} suspect_t;

TAILQ_HEAD(suspect_queue, suspect);
LIST_HEAD(suspect_bucket, suspect);

struct jj_quarantine {
	jj_quarantine_settings_t settings;
	size_t count;
	/*
	 * Both in order of the last crash, so that expired entries are at the
	 * head.
	 */
	struct suspect_queue suspects;
	struct suspect_queue refused;
	struct suspect_bucket buckets[BUCKETS];
};

static suspect_t *find_suspect(const jj_quarantine_t *, uint64_t);
static suspect_t *add_suspect(jj_quarantine_t *, uint64_t);
static void drop_suspect(jj_quarantine_t *, suspect_t *);
static void reset_suspect(jj_quarantine_t *, suspect_t *);
static void drop_expired(jj_quarantine_t *, struct suspect_queue *, jj_ms_t);
static struct suspect_queue *queue_of(jj_quarantine_t *, const suspect_t *);
static bool is_expired(const jj_quarantine_t *, const suspect_t *, jj_ms_t);
static bool is_counted(const suspect_t *, const server_crash_t *, bool);
static void move_last_crash(jj_quarantine_t *, suspect_t *, jj_ms_t);
static bool count_crash(jj_quarantine_t *, uint64_t, const server_crash_t *,
    bool, const char *, jj_actions_t *);
static uint32_t withdraw_from(
    jj_quarantine_t *, struct suspect_queue *, uint64_t, jj_actions_t *);
static void insert_suspect(jj_quarantine_t *, suspect_t *);
static size_t list_queue(const jj_quarantine_t *, const struct suspect_queue *,
    jj_ms_t, jj_crash_record_t *, size_t);
static jj_crash_record_t describe(const suspect_t *, jj_ms_t);

jj_quarantine_t *
jj_quarantine_create(const jj_quarantine_settings_t *settings)
{
	jj_quarantine_t *quarantine = jj_alloc(sizeof(*quarantine));
	size_t i;

	JJ_INVARIANT(
	    settings->strikes >= 1 && settings->strikes <= CRASHES_MAX);
	JJ_INVARIANT(settings->most >= 1);
	quarantine->settings = *settings;
	TAILQ_INIT(&quarantine->suspects);
	TAILQ_INIT(&quarantine->refused);
	for (i = 0; i < BUCKETS; i++)
		LIST_INIT(&quarantine->buckets[i]);
	return quarantine;
}

void
jj_quarantine_destroy(jj_quarantine_t *quarantine)
{
	suspect_t *suspect;

	if (quarantine == NULL)
		return;
	while ((suspect = TAILQ_FIRST(&quarantine->suspects)) != NULL)
		drop_suspect(quarantine, suspect);
	while ((suspect = TAILQ_FIRST(&quarantine->refused)) != NULL)
		drop_suspect(quarantine, suspect);
	free(quarantine);
}

jj_quarantine_verdict_t
jj_quarantine_check(
    const jj_quarantine_t *quarantine, uint64_t fingerprint, jj_ms_t now)
{
	const suspect_t *suspect = find_suspect(quarantine, fingerprint);

	if (suspect == NULL || is_expired(quarantine, suspect, now))
		return JJ_QUARANTINE_CLEAN;
	return suspect->refused ? JJ_QUARANTINE_REFUSED : JJ_QUARANTINE_SUSPECT;
}

uint32_t
jj_quarantine_strikes(
    const jj_quarantine_t *quarantine, uint64_t fingerprint, jj_ms_t now)
{
	const suspect_t *suspect = find_suspect(quarantine, fingerprint);

	return suspect != NULL && !is_expired(quarantine, suspect, now)
	    ? suspect->crash_count
	    : 0;
}

void
jj_quarantine_take_crash(jj_quarantine_t *quarantine, const jj_crash_t *crash,
    jj_ms_t now, jj_actions_t *out)
{
	server_crash_t server_crash = {0, now};
	uint32_t i;

	server_crash.id = jj_quarantine_crash_id(&crash->server, crash->boot);
	for (i = 0; i < crash->suspect_count; i++)
		(void)count_crash(quarantine, crash->suspects[i], &server_crash,
		    crash->boot != 0, crash->server.text, out);
}

uint32_t
jj_quarantine_withdraw(jj_quarantine_t *quarantine, const jj_name_t *server,
    uint64_t boot, jj_actions_t *out)
{
	uint64_t id = jj_quarantine_crash_id(server, boot);

	return withdraw_from(quarantine, &quarantine->suspects, id, out) +
	    withdraw_from(quarantine, &quarantine->refused, id, out);
}

uint64_t
jj_quarantine_crash_id(const jj_name_t *server, uint64_t boot)
{
	return jj_hash_bytes(server->text, strlen(server->text), boot);
}

size_t
jj_quarantine_list(const jj_quarantine_t *quarantine, jj_ms_t now,
    jj_crash_record_t *entries, size_t max_count)
{
	size_t count = list_queue(
	    quarantine, &quarantine->refused, now, entries, max_count);

	return count +
	    list_queue(quarantine, &quarantine->suspects, now, entries + count,
		max_count - count);
}

bool
jj_quarantine_take_history(jj_quarantine_t *quarantine,
    const jj_crash_record_t *entries, size_t count, jj_ms_t now,
    jj_actions_t *out)
{
	bool changed = false;
	server_crash_t server_crash;
	uint32_t k;
	size_t i;

	for (i = 0; i < count; i++) {
		server_crash.at_ms = now - entries[i].age_ms;
		for (k = 0; k < entries[i].death_count; k++) {
			server_crash.id = entries[i].deaths[k];
			changed |=
			    count_crash(quarantine, entries[i].fingerprint,
				&server_crash, true, "told", out);
		}
	}
	return changed;
}

void
jj_quarantine_clear(jj_quarantine_t *quarantine, uint64_t fingerprint)
{
	suspect_t *suspect = find_suspect(quarantine, fingerprint);

	if (suspect != NULL)
		drop_suspect(quarantine, suspect);
}

size_t
jj_quarantine_count(const jj_quarantine_t *quarantine, jj_ms_t now)
{
	const suspect_t *suspect;
	size_t count = 0;

	TAILQ_FOREACH(suspect, &quarantine->refused, queue)
	{
		count += !is_expired(quarantine, suspect, now);
	}
	return count;
}

void
jj_quarantine_tick(jj_quarantine_t *quarantine, jj_ms_t now)
{
	drop_expired(quarantine, &quarantine->suspects, now);
	drop_expired(quarantine, &quarantine->refused, now);
}

static suspect_t *
find_suspect(const jj_quarantine_t *quarantine, uint64_t fingerprint)
{
	suspect_t *suspect;

	LIST_FOREACH(
	    suspect, &quarantine->buckets[fingerprint % BUCKETS], bucket)
	{
		if (suspect->fingerprint == fingerprint)
			return suspect;
	}
	return NULL;
}

/*
 * The table must not grow without bound when many servers crash: the oldest
 * suspect is dropped, and a refused request only when there is no suspect.
 */
static suspect_t *
add_suspect(jj_quarantine_t *quarantine, uint64_t fingerprint)
{
	suspect_t *suspect;

	if (quarantine->count >= quarantine->settings.most) {
		suspect = TAILQ_FIRST(&quarantine->suspects);
		if (suspect == NULL)
			suspect = TAILQ_FIRST(&quarantine->refused);
		drop_suspect(quarantine, suspect);
	}
	suspect = jj_alloc(sizeof(*suspect));
	suspect->fingerprint = fingerprint;
	LIST_INSERT_HEAD(
	    &quarantine->buckets[fingerprint % BUCKETS], suspect, bucket);
	TAILQ_INSERT_TAIL(&quarantine->suspects, suspect, queue);
	quarantine->count++;
	return suspect;
}

static void
drop_suspect(jj_quarantine_t *quarantine, suspect_t *suspect)
{
	LIST_REMOVE(suspect, bucket);
	TAILQ_REMOVE(queue_of(quarantine, suspect), suspect, queue);
	free(suspect);
	quarantine->count--;
}

static void
drop_expired(
    jj_quarantine_t *quarantine, struct suspect_queue *queue, jj_ms_t now)
{
	suspect_t *suspect;
	suspect_t *next;

	for (suspect = TAILQ_FIRST(queue); suspect != NULL; suspect = next) {
		if (!is_expired(quarantine, suspect, now))
			return;
		next = TAILQ_NEXT(suspect, queue);
		drop_suspect(quarantine, suspect);
	}
}

static struct suspect_queue *
queue_of(jj_quarantine_t *quarantine, const suspect_t *suspect)
{
	return suspect->refused ? &quarantine->refused : &quarantine->suspects;
}

/* The entry has expired, though no tick has dropped it yet: resets it. */
static void
reset_suspect(jj_quarantine_t *quarantine, suspect_t *suspect)
{
	TAILQ_REMOVE(queue_of(quarantine, suspect), suspect, queue);
	suspect->crash_count = 0;
	suspect->refused = false;
	TAILQ_INSERT_TAIL(&quarantine->suspects, suspect, queue);
}

static bool
is_expired(
    const jj_quarantine_t *quarantine, const suspect_t *suspect, jj_ms_t now)
{
	jj_ms_t lasts = suspect->refused ? quarantine->settings.quarantine_ms
					 : quarantine->settings.suspect_ms;

	return now - suspect->last_crash_ms >= lasts;
}

/*
 * Each neighbour that had requests on the crashed server reports the crash. If
 * each report counted, one crash would refuse every request that was there.
 */
static bool
is_counted(const suspect_t *suspect, const server_crash_t *server_crash,
    bool boot_known)
{
	uint32_t i;

	for (i = 0; i < suspect->crash_count && i < CRASHES_MAX; i++) {
		if (suspect->crashes[i].id != server_crash->id)
			continue;
		if (boot_known ||
		    server_crash->at_ms - suspect->crashes[i].at_ms <
			UNKNOWN_BOOT_MS)
			return true;
	}
	return false;
}

/** Prolongs a refusal; the queue stays in the order of the last crashes. */
static void
move_last_crash(jj_quarantine_t *quarantine, suspect_t *suspect, jj_ms_t at_ms)
{
	if (at_ms <= suspect->last_crash_ms)
		return;
	suspect->last_crash_ms = at_ms;
	TAILQ_REMOVE(&quarantine->refused, suspect, queue);
	TAILQ_INSERT_TAIL(&quarantine->refused, suspect, queue);
}

/**
 * Counts a crash against a request.
 * @return false when the crash was counted already or the request is refused.
 */
static bool
count_crash(jj_quarantine_t *quarantine, uint64_t fingerprint,
    const server_crash_t *server_crash, bool boot_known, const char *server,
    jj_actions_t *out)
{
	suspect_t *suspect = find_suspect(quarantine, fingerprint);

	if (suspect == NULL)
		suspect = add_suspect(quarantine, fingerprint);
	else if (is_expired(quarantine, suspect, server_crash->at_ms))
		reset_suspect(quarantine, suspect);
	if (is_counted(suspect, server_crash, boot_known))
		return false;
	if (suspect->refused) {
		/* It counts when crashes before it are withdrawn. */
		if (suspect->crash_count < CRASHES_MAX)
			suspect->crashes[suspect->crash_count++] =
			    *server_crash;
		move_last_crash(quarantine, suspect, server_crash->at_ms);
		return false;
	}
	suspect->crashes[suspect->crash_count] = *server_crash;
	suspect->crash_count++;
	TAILQ_REMOVE(queue_of(quarantine, suspect), suspect, queue);
	/* A late report of an older crash does not make the entry older. */
	if (server_crash->at_ms > suspect->last_crash_ms ||
	    suspect->crash_count == 1)
		suspect->last_crash_ms = server_crash->at_ms;
	suspect->refused = suspect->crash_count >= quarantine->settings.strikes;
	TAILQ_INSERT_TAIL(queue_of(quarantine, suspect), suspect, queue);
	jj_actions_add_event(out,
	    suspect->refused ? "request_quarantined" : "request_struck",
	    "fingerprint=%016llx strikes=%u server=%s death=%016llx",
	    (unsigned long long)fingerprint, suspect->crash_count, server,
	    (unsigned long long)server_crash->id);
	return true;
}

static uint32_t
withdraw_from(jj_quarantine_t *quarantine, struct suspect_queue *queue,
    uint64_t id, jj_actions_t *out)
{
	suspect_t *suspect;
	suspect_t *next;
	uint32_t count = 0;
	uint32_t kept;
	uint32_t i;

	for (suspect = TAILQ_FIRST(queue); suspect != NULL; suspect = next) {
		next = TAILQ_NEXT(suspect, queue);
		kept = 0;
		for (i = 0; i < suspect->crash_count; i++)
			if (suspect->crashes[i].id != id)
				suspect->crashes[kept++] = suspect->crashes[i];
		if (kept == suspect->crash_count)
			continue;
		suspect->crash_count = kept;
		count++;
		jj_actions_add_event(out, "request_crash_withdrawn",
		    "fingerprint=%016llx strikes=%u death=%016llx",
		    (unsigned long long)suspect->fingerprint, kept,
		    (unsigned long long)id);
		if (kept == 0) {
			drop_suspect(quarantine, suspect);
		} else if (suspect->refused &&
		    kept < quarantine->settings.strikes) {
			TAILQ_REMOVE(queue, suspect, queue);
			suspect->refused = false;
			insert_suspect(quarantine, suspect);
		}
	}
	return count;
}

/** Inserts a suspect in the order of the last crashes. */
static void
insert_suspect(jj_quarantine_t *quarantine, suspect_t *suspect)
{
	suspect_t *before;

	TAILQ_FOREACH_REVERSE(
	    before, &quarantine->suspects, suspect_queue, queue)
	{
		if (before->last_crash_ms <= suspect->last_crash_ms)
			break;
	}
	if (before != NULL)
		TAILQ_INSERT_AFTER(
		    &quarantine->suspects, before, suspect, queue);
	else
		TAILQ_INSERT_HEAD(&quarantine->suspects, suspect, queue);
}

static size_t
list_queue(const jj_quarantine_t *quarantine, const struct suspect_queue *queue,
    jj_ms_t now, jj_crash_record_t *entries, size_t max_count)
{
	const suspect_t *suspect;
	size_t count = 0;

	TAILQ_FOREACH_REVERSE(suspect, queue, suspect_queue, queue)
	{
		if (count == max_count)
			break;
		if (!is_expired(quarantine, suspect, now))
			entries[count++] = describe(suspect, now);
	}
	return count;
}

static jj_crash_record_t
describe(const suspect_t *suspect, jj_ms_t now)
{
	jj_crash_record_t entry = {0};
	uint32_t i;

	entry.fingerprint = suspect->fingerprint;
	entry.age_ms = now - suspect->last_crash_ms;
	entry.death_count = suspect->crash_count;
	for (i = 0; i < suspect->crash_count; i++)
		entry.deaths[i] = suspect->crashes[i].id;
	return entry;
}
