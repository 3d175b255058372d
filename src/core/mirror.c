/**
 * @file mirror.c
 * @brief Local copy of all objects below a prefix: listed once, then watched.
 */
#include <stdio.h>
#include <string.h>

#include "core/mirror.h"

/** Low bits of a call's token; the count of dropped calls is above them. */
#define TOKEN_BITS 40
/** Time until a listing that was incomplete is repeated, ms. */
#define RELIST_MS 30000

static bool is_answer(const jj_platform_result_t *);
static uint64_t current_token(const jj_mirror_t *);
static void
take_list(jj_mirror_t *, const jj_platform_result_t *, jj_ms_t, jj_actions_t *);
static void end_list(jj_mirror_t *, bool, jj_ms_t, jj_actions_t *);
static void take_skipped(jj_mirror_t *, const jj_platform_result_t *, jj_ms_t);
static void take_events(jj_mirror_t *, const jj_platform_result_t *, jj_ms_t);
static void take_failure(
    jj_mirror_t *, const jj_platform_result_t *, jj_ms_t, jj_actions_t *);
static void take_success(jj_mirror_t *);
static void log_recovery(const jj_mirror_t *, jj_ms_t, jj_actions_t *);
static int name_length(const jj_mirror_t *);
static void start_list(jj_mirror_t *);
static void abandon_call(jj_mirror_t *);
static void apply(jj_mirror_t *, uint64_t, const jj_platform_item_t *, size_t);
static bool
is_recreated(const jj_mirror_t *, const jj_platform_item_t *, size_t, size_t);
static jj_ms_t due_ms(const jj_mirror_t *);
static jj_ms_t later(jj_ms_t, jj_ms_t);

void
jj_mirror_init(jj_mirror_t *mirror, const jj_mirror_settings_t *settings,
    const jj_mirror_port_t *port)
{
	memset(mirror, 0, sizeof(*mirror));
	mirror->settings = *settings;
	mirror->port = *port;
	mirror->relayed_ms = JJ_MS_NEVER;
	mirror->confirmed_ms = JJ_MS_NEVER;
	mirror->relist_ms = JJ_MS_NEVER;
}

void
jj_mirror_set_active(jj_mirror_t *mirror, bool active, jj_ms_t now)
{
	if (mirror->active == active)
		return;
	mirror->active = active;
	mirror->next_ms = now;
}

void
jj_mirror_tick(jj_mirror_t *mirror, jj_ms_t now, jj_actions_t *out)
{
	const jj_mirror_settings_t *settings = &mirror->settings;
	jj_platform_call_t *call;

	if (!mirror->active || mirror->polling || now < due_ms(mirror))
		return;
	if (mirror->listed && now >= mirror->relist_ms)
		start_list(mirror);
	mirror->polling = true;
	mirror->polled_ms = now;
	call = jj_actions_add_platform(out, settings->owner,
	    mirror->listed ? JJ_PLATFORM_WATCH : JJ_PLATFORM_LIST,
	    current_token(mirror));
	if (mirror->cursor.skips_after) {
		call->op = JJ_PLATFORM_GET;
		memcpy(call->key, mirror->cursor.after, sizeof(call->key));
		return;
	}
	(void)snprintf(call->key, sizeof(call->key), "%s", settings->prefix);
	if (mirror->listed) {
		call->version = mirror->since;
		call->wait_ms =
		    mirror->duty == JJ_MIRROR_RELAY || mirror->failures > 0
		    ? settings->short_wait_ms
		    : settings->wait_ms;
		return;
	}
	call->values = true;
	memcpy(call->after, mirror->cursor.after, sizeof(call->after));
}

jj_ms_t
jj_mirror_next(const jj_mirror_t *mirror)
{
	if (!mirror->active || mirror->polling)
		return JJ_MS_NEVER;
	return due_ms(mirror);
}

void
jj_mirror_set_duty(jj_mirror_t *mirror, jj_mirror_duty_t duty, jj_ms_t now)
{
	if (mirror->duty == duty)
		return;
	mirror->duty = duty;
	mirror->relayed_ms = JJ_MS_NEVER;
	if (mirror->next_ms > now)
		mirror->next_ms = now;
}

void
jj_mirror_take_relay(jj_mirror_t *mirror, uint64_t from, uint64_t to,
    const jj_platform_item_t *items, size_t count, jj_ms_t now)
{
	if (mirror->duty != JJ_MIRROR_LISTENER || !mirror->listed)
		return;
	if (from > mirror->since) {
		mirror->relayed_ms = JJ_MS_NEVER;
		return;
	}
	mirror->relayed_ms = now;
	mirror->confirmed_ms = now;
	/*
	 * The platform answers the relay, and this VM may have no call of its
	 * own that would reset its failures.
	 */
	take_success(mirror);
	apply(mirror, to, items, count);
}

bool
jj_mirror_take_check(
    jj_mirror_t *mirror, const jj_platform_result_t *result, jj_ms_t now)
{
	if (result->outcome != JJ_PLATFORM_OK &&
	    result->outcome != JJ_PLATFORM_GAP)
		return false;
	/* The platform answers, so the backoff after a failure ends. */
	if (mirror->failures > 0)
		mirror->next_ms = now;
	take_success(mirror);
	/*
	 * The listing in progress and the watch after it will bring these
	 * changes.
	 */
	if (!mirror->listed)
		return false;
	if (result->outcome == JJ_PLATFORM_GAP) {
		abandon_call(mirror);
		start_list(mirror);
		mirror->next_ms = now;
		return false;
	}
	apply(mirror, result->version, result->items, result->item_count);
	mirror->confirmed_ms = now;
	return true;
}

bool
jj_mirror_take_result(jj_mirror_t *mirror, const jj_platform_result_t *result,
    jj_ms_t now, jj_actions_t *out)
{
	if ((result->token & ((UINT64_C(1) << TOKEN_BITS) - 1)) !=
	    mirror->settings.token)
		return false;
	if (result->token != current_token(mirror))
		return true;
	mirror->polling = false;
	if (!is_answer(result)) {
		take_failure(mirror, result, now, out);
		return true;
	}
	log_recovery(mirror, now, out);
	take_success(mirror);
	if (result->op == JJ_PLATFORM_GET)
		take_skipped(mirror, result, now);
	else if (result->op == JJ_PLATFORM_LIST)
		take_list(mirror, result, now, out);
	else if (result->outcome == JJ_PLATFORM_OK)
		take_events(mirror, result, now);
	else {
		start_list(mirror);
		mirror->next_ms = now;
	}
	return true;
}

bool
jj_mirror_is_current(const jj_mirror_t *mirror)
{
	return mirror->listed && mirror->failures == 0;
}

/** A history that is gone answers a watch only, no object answers a get only. */
static bool
is_answer(const jj_platform_result_t *result)
{
	return result->outcome == JJ_PLATFORM_OK ||
	    (result->outcome == JJ_PLATFORM_GAP &&
		result->op == JJ_PLATFORM_WATCH) ||
	    (result->outcome == JJ_PLATFORM_ABSENT &&
		result->op == JJ_PLATFORM_GET);
}

static uint64_t
current_token(const jj_mirror_t *mirror)
{
	return mirror->settings.token |
	    (uint64_t)mirror->calls_dropped << TOKEN_BITS;
}

static void
take_list(jj_mirror_t *mirror, const jj_platform_result_t *result, jj_ms_t now,
    jj_actions_t *out)
{
	const jj_mirror_port_t *port = &mirror->port;
	jj_list_step_t step;
	size_t i;

	if (mirror->cursor.after[0] == '\0')
		port->begin_list(port->ctx);
	/*
	 * The watch starts from the first page's revision, or it would miss
	 * objects that change while later pages are read.
	 */
	if (mirror->cursor.after[0] == '\0')
		mirror->since = result->version;
	for (i = 0; i < result->item_count; i++)
		port->take(port->ctx, &result->items[i]);
	mirror->next_ms = now;
	step = jj_list_cursor_take_page(&mirror->cursor, result);
	if (step != JJ_LIST_CONTINUES)
		end_list(mirror, step == JJ_LIST_COMPLETE, now, out);
}

static void
end_list(jj_mirror_t *mirror, bool is_complete, jj_ms_t now, jj_actions_t *out)
{
	mirror->listed = true;
	mirror->confirmed_ms = now;
	mirror->relist_ms = is_complete ? JJ_MS_NEVER : now + RELIST_MS;
	if (!is_complete)
		jj_actions_add_event(out, "list_incomplete",
		    "watch=%.*s revision=%llu again_ms=%d", name_length(mirror),
		    mirror->settings.prefix, (unsigned long long)mirror->since,
		    RELIST_MS);
	mirror->port.end_list(mirror->port.ctx, is_complete, now);
}

/** Takes the object behind which the listing goes on without its page. */
static void
take_skipped(
    jj_mirror_t *mirror, const jj_platform_result_t *result, jj_ms_t now)
{
	const jj_mirror_port_t *port = &mirror->port;
	jj_platform_item_t item = {
	    .version = result->version, .value = result->value};

	memcpy(item.key, mirror->cursor.after, sizeof(item.key));
	if (result->outcome == JJ_PLATFORM_OK)
		port->take(port->ctx, &item);
	mirror->cursor.skips_after = false;
	mirror->next_ms = now;
}

static void
take_events(
    jj_mirror_t *mirror, const jj_platform_result_t *result, jj_ms_t now)
{
	const jj_mirror_port_t *port = &mirror->port;
	uint64_t from = mirror->since;

	apply(mirror, result->version, result->items, result->item_count);
	mirror->confirmed_ms = now;
	if (mirror->duty == JJ_MIRROR_RELAY && port->relay != NULL)
		port->relay(port->ctx, mirror->settings.token, from,
		    result->version, result->items, result->item_count);
	mirror->next_ms = now;
	if (result->item_count > 0)
		mirror->next_ms += mirror->settings.spacing_ms;
}

/**
 * Applies the changes up to revision @p to. Older changes are skipped: they
 * came by the other way (own poll or relay) already, and may be outdated.
 */
static void
apply(jj_mirror_t *mirror, uint64_t to, const jj_platform_item_t *items,
    size_t count)
{
	const jj_mirror_port_t *port = &mirror->port;
	size_t i;

	if (to <= mirror->since)
		return;
	for (i = 0; i < count; i++) {
		if (items[i].deleted) {
			if (!is_recreated(mirror, items, count, i))
				port->drop(port->ctx, items[i].key);
		} else if (items[i].version > mirror->since)
			port->take(port->ctx, &items[i]);
	}
	mirror->since = to;
}

/**
 * True when the object of a deletion is recreated later in the same batch and
 * is known already. Such a deletion must be skipped when it arrives a second
 * time by the other way, as the recreation behind it would be skipped as known.
 * A deletion carries the version of the object, not its own, so versions don't
 * show which of the two is newer.
 */
static bool
is_recreated(const jj_mirror_t *mirror, const jj_platform_item_t *items,
    size_t count, size_t deletion)
{
	size_t i;

	for (i = deletion + 1; i < count; i++)
		if (!items[i].deleted && items[i].version <= mirror->since &&
		    strcmp(items[i].key, items[deletion].key) == 0)
			return true;
	return false;
}

/** A listener polls when it has received no relayed poll for too long. */
static jj_ms_t
due_ms(const jj_mirror_t *mirror)
{
	jj_ms_t due = mirror->next_ms;

	if (mirror->duty == JJ_MIRROR_LISTENER && mirror->listed &&
	    mirror->relayed_ms != JJ_MS_NEVER)
		due = later(due,
		    mirror->relayed_ms + mirror->settings.relay_timeout_ms);
	if (mirror->listed && mirror->relist_ms < due)
		due = later(mirror->next_ms, mirror->relist_ms);
	return due;
}

static jj_ms_t
later(jj_ms_t a, jj_ms_t b)
{
	return a > b ? a : b;
}

/**
 * Backs off, as a platform that fails at once (down, over its rate limit, or
 * not understanding the call) would be called again at once by every VM, and
 * each refused call has its price.
 */
static void
take_failure(jj_mirror_t *mirror, const jj_platform_result_t *result,
    jj_ms_t now, jj_actions_t *out)
{
	jj_ms_t wait = mirror->settings.backoff_ms;
	jj_list_step_t step = JJ_LIST_REPEATS;
	uint32_t i;

	for (i = 0; i < mirror->failures; i++) {
		wait *= 2;
		if (wait >= mirror->settings.backoff_most_ms)
			break;
	}
	if (wait > mirror->settings.backoff_most_ms)
		wait = mirror->settings.backoff_most_ms;
	mirror->failures++;
	if (result->op == JJ_PLATFORM_LIST)
		step = jj_list_cursor_take_failure(
		    &mirror->cursor, result->outcome);
	if (step == JJ_LIST_CONTINUES)
		wait = 0;
	mirror->next_ms = now + wait;
	jj_actions_add_event(out, "watch_failed",
	    "watch=%.*s op=%s outcome=%d after_ms=%lld revision=%llu "
	    "confirmed_ms_ago=%lld failures=%u again_ms=%lld",
	    name_length(mirror), mirror->settings.prefix,
	    jj_platform_op_name(result->op), (int)result->outcome,
	    (long long)(now - mirror->polled_ms),
	    (unsigned long long)mirror->since,
	    jj_ms_ago(mirror->confirmed_ms, now), mirror->failures,
	    (long long)wait);
	if (step == JJ_LIST_INCOMPLETE)
		end_list(mirror, false, now, out);
}

static void
take_success(jj_mirror_t *mirror)
{
	mirror->failures = 0;
}

static void
log_recovery(const jj_mirror_t *mirror, jj_ms_t now, jj_actions_t *out)
{
	if (mirror->failures == 0)
		return;
	jj_actions_add_event(out, "watch_recovered",
	    "watch=%.*s revision=%llu confirmed_ms_ago=%lld failures=%u",
	    name_length(mirror), mirror->settings.prefix,
	    (unsigned long long)mirror->since,
	    jj_ms_ago(mirror->confirmed_ms, now), mirror->failures);
}

/** Length of the prefix without its slash. */
static int
name_length(const jj_mirror_t *mirror)
{
	return (int)strcspn(mirror->settings.prefix, "/");
}

/** Abandons the pending call, as a watch may wait for long. */
static void
abandon_call(jj_mirror_t *mirror)
{
	if (!mirror->polling)
		return;
	mirror->polling = false;
	mirror->calls_dropped++;
}

static void
start_list(jj_mirror_t *mirror)
{
	mirror->listed = false;
	mirror->relist_ms = JJ_MS_NEVER;
	jj_list_cursor_reset(&mirror->cursor);
}
