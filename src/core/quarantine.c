/**
 * @file quarantine.c
 * @brief Strikes and refusals by request fingerprint, in bounded memory.
 */
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "core/quarantine.h"

/** Buckets of the table by fingerprint; a power of two. */
#define BUCKETS 4096
/** Deaths remembered per fingerprint; at least the strikes' limit. */
#define DEATHS_MAX JJ_MESSAGE_DEATHS_MAX
/** Reports of a death whose boot is unknown are one death for so long. */
#define UNKNOWN_BOOT_MS 5000

/** One backend server's end. */
typedef struct {
	uint64_t id; /**< hash of server and boot */
	jj_ms_t at_ms;
} death_t;

typedef struct suspect {
	LIST_ENTRY(suspect) bucket;
	TAILQ_ENTRY(suspect) queue;
	uint64_t fingerprint;
	uint32_t strikes;
	jj_ms_t struck_ms; /**< last strike */
	bool refused;
	death_t deaths[DEATHS_MAX];
} suspect_t;

TAILQ_HEAD(suspect_queue, suspect);
LIST_HEAD(suspect_bucket, suspect);

struct jj_quarantine {
	jj_quarantine_settings_t settings;
	size_t count;
	/* Both ordered by last strike, so that what lapses is at the head. */
	struct suspect_queue suspects;
	struct suspect_queue refused;
	struct suspect_bucket buckets[BUCKETS];
};

static suspect_t *find_suspect(const jj_quarantine_t *, uint64_t);
static suspect_t *add_suspect(jj_quarantine_t *, uint64_t);
static void drop_suspect(jj_quarantine_t *, suspect_t *);
static void forgive(jj_quarantine_t *, suspect_t *);
static void drop_lapsed(jj_quarantine_t *, struct suspect_queue *, jj_ms_t);
static struct suspect_queue *queue_of(jj_quarantine_t *, const suspect_t *);
static bool is_lapsed(const jj_quarantine_t *, const suspect_t *, jj_ms_t);
static bool is_counted(const suspect_t *, const death_t *, bool);
static bool strike(jj_quarantine_t *, uint64_t, const death_t *, bool,
    const char *, jj_actions_t *);
static size_t list_queue(const jj_quarantine_t *, const struct suspect_queue *,
    jj_ms_t, jj_struck_t *, size_t);
static jj_struck_t describe(const suspect_t *, jj_ms_t);

jj_quarantine_t *
jj_quarantine_create(const jj_quarantine_settings_t *settings)
{
	jj_quarantine_t *quarantine = jj_alloc(sizeof(*quarantine));
	size_t i;

	JJ_INVARIANT(settings->strikes >= 1 && settings->strikes <= DEATHS_MAX);
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

	if (suspect == NULL || is_lapsed(quarantine, suspect, now))
		return JJ_QUARANTINE_CLEAN;
	return suspect->refused ? JJ_QUARANTINE_REFUSED : JJ_QUARANTINE_SUSPECT;
}

void
jj_quarantine_take_crash(jj_quarantine_t *quarantine, const jj_crash_t *crash,
    jj_ms_t now, jj_actions_t *out)
{
	death_t death = {0, now};
	uint32_t i;

	death.id = jj_hash_bytes(
	    crash->server.text, strlen(crash->server.text), crash->boot);
	for (i = 0; i < crash->suspect_count; i++)
		(void)strike(quarantine, crash->suspects[i], &death,
		    crash->boot != 0, crash->server.text, out);
}

size_t
jj_quarantine_list(const jj_quarantine_t *quarantine, jj_ms_t now,
    jj_struck_t *entries, size_t most)
{
	size_t count =
	    list_queue(quarantine, &quarantine->refused, now, entries, most);

	return count +
	    list_queue(quarantine, &quarantine->suspects, now, entries + count,
		most - count);
}

bool
jj_quarantine_take_struck(jj_quarantine_t *quarantine,
    const jj_struck_t *entries, size_t count, jj_ms_t now, jj_actions_t *out)
{
	bool news = false;
	death_t death;
	uint32_t k;
	size_t i;

	for (i = 0; i < count; i++) {
		death.at_ms = now - entries[i].age_ms;
		for (k = 0; k < entries[i].death_count; k++) {
			death.id = entries[i].deaths[k];
			news |= strike(quarantine, entries[i].fingerprint,
			    &death, true, "told", out);
		}
	}
	return news;
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
		count += !is_lapsed(quarantine, suspect, now);
	}
	return count;
}

void
jj_quarantine_tick(jj_quarantine_t *quarantine, jj_ms_t now)
{
	drop_lapsed(quarantine, &quarantine->suspects, now);
	drop_lapsed(quarantine, &quarantine->refused, now);
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

/* A flood of crashes must not grow this table for ever: the oldest suspect
 * gives way, and a refused request only when there is nothing else. */
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
drop_lapsed(
    jj_quarantine_t *quarantine, struct suspect_queue *queue, jj_ms_t now)
{
	suspect_t *suspect;
	suspect_t *next;

	for (suspect = TAILQ_FIRST(queue); suspect != NULL; suspect = next) {
		if (!is_lapsed(quarantine, suspect, now))
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

/* Its time is over, though no tick has dropped it yet. */
static void
forgive(jj_quarantine_t *quarantine, suspect_t *suspect)
{
	TAILQ_REMOVE(queue_of(quarantine, suspect), suspect, queue);
	suspect->strikes = 0;
	suspect->refused = false;
	TAILQ_INSERT_TAIL(&quarantine->suspects, suspect, queue);
}

static bool
is_lapsed(
    const jj_quarantine_t *quarantine, const suspect_t *suspect, jj_ms_t now)
{
	jj_ms_t lasts = suspect->refused ? quarantine->settings.quarantine_ms
					 : quarantine->settings.suspect_ms;

	return now - suspect->struck_ms >= lasts;
}

/* Each neighbour that had requests on the dead server reports its death.
 * Counted twice, one crash would refuse every request that was there. */
static bool
is_counted(const suspect_t *suspect, const death_t *death, bool boot_known)
{
	uint32_t i;

	for (i = 0; i < suspect->strikes && i < DEATHS_MAX; i++) {
		if (suspect->deaths[i].id != death->id)
			continue;
		if (boot_known ||
		    death->at_ms - suspect->deaths[i].at_ms < UNKNOWN_BOOT_MS)
			return true;
	}
	return false;
}

/** False when the death, or enough of them, was known. */
static bool
strike(jj_quarantine_t *quarantine, uint64_t fingerprint, const death_t *death,
    bool boot_known, const char *server, jj_actions_t *out)
{
	suspect_t *suspect = find_suspect(quarantine, fingerprint);

	if (suspect == NULL)
		suspect = add_suspect(quarantine, fingerprint);
	else if (is_lapsed(quarantine, suspect, death->at_ms))
		forgive(quarantine, suspect);
	if (suspect->refused || is_counted(suspect, death, boot_known))
		return false;
	suspect->deaths[suspect->strikes] = *death;
	suspect->strikes++;
	TAILQ_REMOVE(queue_of(quarantine, suspect), suspect, queue);
	/* One told later of an older death stays as young as it is. */
	if (death->at_ms > suspect->struck_ms || suspect->strikes == 1)
		suspect->struck_ms = death->at_ms;
	suspect->refused = suspect->strikes >= quarantine->settings.strikes;
	TAILQ_INSERT_TAIL(queue_of(quarantine, suspect), suspect, queue);
	jj_actions_add_event(out,
	    suspect->refused ? "request_quarantined" : "request_struck",
	    "fingerprint=%016llx strikes=%u server=%s death=%016llx",
	    (unsigned long long)fingerprint, suspect->strikes, server,
	    (unsigned long long)death->id);
	return true;
}

static size_t
list_queue(const jj_quarantine_t *quarantine, const struct suspect_queue *queue,
    jj_ms_t now, jj_struck_t *entries, size_t most)
{
	const suspect_t *suspect;
	size_t count = 0;

	TAILQ_FOREACH_REVERSE(suspect, queue, suspect_queue, queue)
	{
		if (count == most)
			break;
		if (!is_lapsed(quarantine, suspect, now))
			entries[count++] = describe(suspect, now);
	}
	return count;
}

static jj_struck_t
describe(const suspect_t *suspect, jj_ms_t now)
{
	jj_struck_t entry = {0};
	uint32_t i;

	entry.fingerprint = suspect->fingerprint;
	entry.age_ms = now - suspect->struck_ms;
	entry.death_count = suspect->strikes;
	for (i = 0; i < suspect->strikes; i++)
		entry.deaths[i] = suspect->deaths[i].id;
	return entry;
}
