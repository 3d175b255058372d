/**
 * @file inline_open.c
 * @brief The open entries: which VM runs each job, and takeover of lost ones.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "core/inline_state.h"
#include "core/json_text.h"

/** Token of the mirror's calls; tokens of other calls count up from it. */
#define TOKEN_MIRROR 1
/** Interval of scans for entries whose owner is lost, ms. */
#define SCAN_INTERVAL_MS 250
/** Delay after a failed takeover, ms. */
#define TAKEOVER_RETRY_MS 500
/**
 * Time that each VM has for a takeover before the next one in rank tries it,
 * ms: two scans and a write that the platform answers late.
 */
#define RANK_DELAY_MS 2000

static void
relay(void *, uint64_t, uint64_t, uint64_t, const jj_platform_item_t *, size_t);
static void begin_list(void *);
static void take_entry(void *, const jj_platform_item_t *);
static void drop_entry(void *, const char *);
static void end_list(void *, bool, jj_ms_t);
static void set_content(jj_open_entry_t *, const jj_open_entry_t *);
static void remove_entry(jj_inline_t *, jj_open_entry_t *);
static void free_entry(jj_inline_t *, jj_open_entry_t *);
static void
check_entry(jj_inline_t *, jj_open_entry_t *, jj_ms_t, jj_actions_t *);
static bool is_takeover_due(jj_inline_t *, jj_open_entry_t *, jj_ms_t);
static void start_takeover(jj_inline_t *, jj_open_entry_t *, jj_actions_t *);

void
jj_inline_init_open(jj_inline_t *jobs)
{
	jj_mirror_settings_t settings = {JJ_OWNER_INLINE, TOKEN_MIRROR,
	    JJ_INLINE_OPEN, jobs->settings.mirror_wait_ms,
	    jobs->settings.mirror_spacing_ms, jobs->settings.retry_ms,
	    jobs->settings.retry_most_ms, jobs->settings.short_wait_ms,
	    jobs->settings.relay_timeout_ms};
	jj_mirror_port_t port = {
	    jobs, begin_list, take_entry, drop_entry, end_list, relay};

	TAILQ_INIT(&jobs->open);
	jobs->last_token = TOKEN_MIRROR;
	jj_mirror_init(&jobs->mirror, &settings, &port);
}

void
jj_inline_clear_open(jj_inline_t *jobs)
{
	jj_open_entry_t *entry;

	while ((entry = TAILQ_FIRST(&jobs->open)) != NULL)
		free_entry(jobs, entry);
}

jj_open_entry_t *
jj_inline_find_open(const jj_inline_t *jobs, const char *id)
{
	jj_open_entry_t *entry;

	TAILQ_FOREACH(entry, &jobs->open, link)
	{
		if (strcmp(entry->id, id) == 0)
			return entry;
	}
	return NULL;
}

jj_bytes_t
jj_inline_encode_open(const char *owner, const jj_name_t *route,
    uint64_t tokens, uint32_t total, bool ended)
{
	return jj_json_take_bytes(json_pack("{s:s,s:s,s:I,s:I,s:b}", "owner",
	    owner, "route", route->text, "tokens", (json_int_t)tokens, "total",
	    (json_int_t)total, "ended", ended));
}

bool
jj_inline_decode_open(jj_open_entry_t *entry, const jj_bytes_t *value)
{
	json_t *root = json_loadb(value->data, value->size, 0, NULL);
	const char *route = json_string_value(json_object_get(root, "route"));
	bool valid = jj_json_copy_text(
	    entry->owner, sizeof(entry->owner), json_object_get(root, "owner"));

	if (route == NULL || !jj_name_set(&entry->route, route))
		valid = false;
	entry->tokens =
	    (uint64_t)json_integer_value(json_object_get(root, "tokens"));
	entry->total =
	    (uint32_t)json_integer_value(json_object_get(root, "total"));
	entry->ended = json_is_true(json_object_get(root, "ended"));
	json_decref(root);
	return valid;
}

bool
jj_inline_is_own_entry(
    const jj_inline_t *jobs, const jj_platform_result_t *result)
{
	jj_open_entry_t stored = {0};

	return jj_inline_decode_open(&stored, &result->value) &&
	    strcmp(stored.owner, jobs->settings.writer) == 0;
}

jj_name_t
jj_inline_account(const jj_route_t *route, const jj_name_t *team)
{
	char text[2 * JJ_NAME_MAX + 2];
	jj_name_t account = route->name;

	if (jj_name_is_empty(team))
		return account;
	(void)snprintf(
	    text, sizeof(text), "%s@%s", route->name.text, team->text);
	jj_name_set_truncated(&account, text);
	return account;
}

uint64_t
jj_inline_open_tokens(
    const jj_inline_t *jobs, const jj_name_t *route, jj_ms_t now)
{
	uint64_t tokens = jj_inline_peer_tokens(jobs, route, now);
	const jj_open_entry_t *entry;
	const jj_inline_run_t *run;
	const jj_inline_op_t *op;

	/* All tokens of a job count when no VM reports about it. */
	TAILQ_FOREACH(entry, &jobs->open, link)
	{
		if (!entry->ended && jj_name_equal(&entry->route, route) &&
		    jj_inline_find_run(jobs, entry->id) == NULL &&
		    !jj_inline_is_reported(jobs, entry->id, now))
			tokens += entry->tokens;
	}
	TAILQ_FOREACH(run, &jobs->runs, link)
	{
		if (jj_name_equal(&run->route, route))
			tokens += jj_inline_run_tokens(run);
	}
	TAILQ_FOREACH(op, &jobs->ops, link)
	{
		if (op->kind == JJ_OP_SUBMIT && !op->undecided &&
		    jj_name_equal(&op->route, route) &&
		    jj_inline_find_run(jobs, op->id) == NULL &&
		    jj_inline_find_open(jobs, op->id) == NULL)
			tokens += op->job.tokens;
	}
	return tokens;
}

void
jj_inline_set_duty(jj_inline_t *jobs, jj_mirror_duty_t duty, jj_ms_t now)
{
	jj_mirror_set_duty(&jobs->mirror, duty, now);
}

bool
jj_inline_is_listed(const jj_inline_t *jobs)
{
	return jobs->mirror.confirmed_ms != JJ_MS_NEVER;
}

jj_ms_t
jj_inline_table_time(const jj_inline_t *jobs)
{
	return jobs->mirror.confirmed_ms;
}

void
jj_inline_take_relay(jj_inline_t *jobs, uint64_t from, uint64_t to,
    const jj_platform_item_t *items, size_t count, jj_ms_t now,
    jj_actions_t *out)
{
	jj_mirror_take_relay(&jobs->mirror, from, to, items, count, now);
	if (count == 0)
		return;
	jobs->next_scan_ms = now;
	jj_inline_scan_open(jobs, now, out);
}

void
jj_inline_scan_open(jj_inline_t *jobs, jj_ms_t now, jj_actions_t *out)
{
	jj_open_entry_t *entry;

	if (now < jobs->next_scan_ms)
		return;
	jobs->next_scan_ms = now + SCAN_INTERVAL_MS;
	if (jobs->unreadable > 0)
		jj_actions_add_event(out, "job_entry_unreadable",
		    "last=%s count=%u", jobs->unreadable_id, jobs->unreadable);
	jobs->unreadable = 0;
	TAILQ_FOREACH(entry, &jobs->open, link)
	{
		check_entry(jobs, entry, now, out);
	}
}

bool
jj_inline_take_takeover(jj_inline_t *jobs, const jj_platform_result_t *result,
    jj_ms_t now, jj_actions_t *out)
{
	jj_open_entry_t *entry;
	jj_inline_run_t *run;

	TAILQ_FOREACH(entry, &jobs->open, link)
	{
		if (entry->token == result->token)
			break;
	}
	if (entry == NULL || result->token == 0)
		return false;
	entry->token = 0;
	entry->retry_ms = now + TAKEOVER_RETRY_MS;
	if (result->outcome != JJ_PLATFORM_OK) {
		/* If it took effect after all, the list will show it. */
		jj_actions_add_event(out, "job_takeover_failed",
		    "job=%s owner=%s outcome=%d", entry->id, entry->owner,
		    (int)result->outcome);
		return true;
	}
	jj_actions_add_event(out, "job_taken_over",
	    "job=%s from=%s version=%llu", entry->id, entry->owner,
	    (unsigned long long)result->version);
	(void)snprintf(
	    entry->owner, sizeof(entry->owner), "%s", jobs->settings.writer);
	entry->version = result->version;
	jobs->counts.takeovers++;
	run = jj_inline_adopt(jobs, entry, now);
	/* Set before the job is read, as no item of an ended job may run. */
	run->ended = run->ended || entry->ended;
	return true;
}

static void
relay(void *ctx, uint64_t token, uint64_t from, uint64_t to,
    const jj_platform_item_t *items, size_t count)
{
	jj_inline_t *jobs = ctx;

	(void)token;
	jobs->port.relay(jobs->port.ctx, from, to, items, count);
}

static void
begin_list(void *ctx)
{
	jj_inline_t *jobs = ctx;
	jj_open_entry_t *entry;

	TAILQ_FOREACH(entry, &jobs->open, link)
	{
		entry->listed = false;
	}
}

static void
take_entry(void *ctx, const jj_platform_item_t *item)
{
	jj_inline_t *jobs = ctx;
	const char *id = jj_object_name(item->key);
	jj_open_entry_t *entry = jj_inline_find_open(jobs, id);
	jj_open_entry_t read = {0};
	bool is_known;

	if (strlen(id) > JJ_INLINE_ID_MAX)
		return;
	if (entry == NULL) {
		entry = jj_alloc(sizeof(*entry));
		(void)snprintf(entry->id, sizeof(entry->id), "%s", id);
		entry->lost_ms = JJ_MS_NEVER;
		TAILQ_INSERT_TAIL(&jobs->open, entry, link);
	}
	entry->listed = true;
	/* A write of this VM may be known before the watch reports it. */
	if (item->version <= entry->version)
		return;
	is_known = entry->version > 0;
	entry->version = item->version;
	if (jj_inline_decode_open(&read, &item->value)) {
		entry->lost_ms = JJ_MS_NEVER;
		set_content(entry, &read);
		return;
	}
	/*
	 * Malformed, by another writer. Keeps the previous content, if any, so
	 * that a takeover can rewrite the entry; without it the entry is left
	 * alone.
	 */
	jobs->unreadable++;
	(void)snprintf(
	    jobs->unreadable_id, sizeof(jobs->unreadable_id), "%s", id);
	if (!is_known)
		free_entry(jobs, entry);
}

static void
set_content(jj_open_entry_t *entry, const jj_open_entry_t *read)
{
	memcpy(entry->owner, read->owner, sizeof(entry->owner));
	entry->route = read->route;
	entry->tokens = read->tokens;
	entry->total = read->total;
	entry->ended = read->ended;
}

static void
drop_entry(void *ctx, const char *key)
{
	jj_inline_t *jobs = ctx;
	jj_open_entry_t *entry = jj_inline_find_open(jobs, jj_object_name(key));

	if (entry != NULL)
		remove_entry(jobs, entry);
}

static void
end_list(void *ctx, bool is_complete, jj_ms_t now)
{
	jj_inline_t *jobs = ctx;
	jj_open_entry_t *entry;
	jj_open_entry_t *next;

	(void)now;
	for (entry = TAILQ_FIRST(&jobs->open); entry != NULL; entry = next) {
		next = TAILQ_NEXT(entry, link);
		if (is_complete && !entry->listed)
			remove_entry(jobs, entry);
	}
}

/** The entry was deleted on the platform. */
static void
remove_entry(jj_inline_t *jobs, jj_open_entry_t *entry)
{
	jj_inline_note_missing_entry(jobs, entry->id);
	free_entry(jobs, entry);
}

static void
free_entry(jj_inline_t *jobs, jj_open_entry_t *entry)
{
	TAILQ_REMOVE(&jobs->open, entry, link);
	free(entry);
}

static void
check_entry(
    jj_inline_t *jobs, jj_open_entry_t *entry, jj_ms_t now, jj_actions_t *out)
{
	jj_inline_run_t *run = jj_inline_find_run(jobs, entry->id);
	bool is_own = strcmp(entry->owner, jobs->settings.writer) == 0;

	if (run != NULL && entry->version > run->open_version && !is_own &&
	    run->state != JJ_RUN_CLOSED) {
		jj_actions_add_event(out, "job_lost_to",
		    "job=%s owner=%s version=%llu", entry->id, entry->owner,
		    (unsigned long long)entry->version);
		jj_inline_drop_run(jobs, run);
		return;
	}
	/* A VM that stops still drops jobs it has lost, but takes none over. */
	if (jobs->leaving && run == NULL)
		return;
	if (is_own) {
		/* Owned through a write whose answer was lost. */
		if (run == NULL)
			run = jj_inline_adopt(jobs, entry, now);
		if (entry->version > run->open_version)
			run->open_version = entry->version;
		if (entry->ended)
			jj_inline_end_run(run, jobs, now);
		return;
	}
	/*
	 * An outdated list still shows which jobs this VM has lost, and going
	 * on with one would publish results twice. It does not show which
	 * owners are lost.
	 */
	if (jobs->leaving || !jj_mirror_is_current(&jobs->mirror))
		return;
	if (entry->token == 0 && now >= entry->retry_ms &&
	    is_takeover_due(jobs, entry, now))
		start_takeover(jobs, entry, out);
}

/**
 * True when it is this VM's turn to take the entry over. An owner without
 * heartbeats may be paused or disconnected, and a job run by two VMs is work
 * done twice, so the takeover is delayed; but not when the owner released the
 * entry. The VM that is first in rank may itself not reach the platform, or not
 * know the job, so the others follow one by one.
 */
static bool
is_takeover_due(jj_inline_t *jobs, jj_open_entry_t *entry, jj_ms_t now)
{
	uint32_t limit;
	jj_ms_t delay_ms = jobs->settings.takeover_ms + jobs->silence_skew_ms;

	if (entry->owner[0] != '\0' &&
	    jobs->port.is_live(jobs->port.ctx, entry->owner)) {
		entry->lost_ms = JJ_MS_NEVER;
		return false;
	}
	/*
	 * Heartbeats that were missed while this VM was disconnected don't
	 * count: back at the platform before it received any, it took over jobs
	 * of VMs that were alive.
	 */
	if (entry->lost_ms == JJ_MS_NEVER ||
	    entry->lost_ms < jobs->port.reached_ms(jobs->port.ctx))
		entry->lost_ms = now;
	if (!jobs->port.receives_any_heartbeat(jobs->port.ctx))
		delay_ms = jobs->settings.alone_ms;
	if (entry->owner[0] == '\0')
		delay_ms = 0;
	if (now - entry->lost_ms < delay_ms)
		return false;
	limit =
	    (uint32_t)((now - entry->lost_ms - delay_ms) / RANK_DELAY_MS) + 1;
	return jobs->port.rank(jobs->port.ctx, entry->id, limit) < limit;
}

static void
start_takeover(jj_inline_t *jobs, jj_open_entry_t *entry, jj_actions_t *out)
{
	jj_inline_call_t call = {0};
	jj_platform_call_t *update =
	    jj_inline_start_call(jobs, &call, JJ_PLATFORM_UPDATE, out);

	entry->token = call.token;
	update->version = entry->version;
	(void)snprintf(update->key, sizeof(update->key), "%s%s", JJ_INLINE_OPEN,
	    entry->id);
	update->value = jj_inline_encode_open(jobs->settings.writer,
	    &entry->route, entry->tokens, entry->total, entry->ended);
}
