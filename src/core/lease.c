/**
 * @file lease.c
 * @brief Acquiring, renewing, observing and releasing a lease.
 *
 * One call at a time: a look (get) or a write. A write without an answer is
 * looked up by its operation and, while its condition still stands, repeated
 * unchanged, so that no two writes of ours can both take effect.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "core/lease.h"
#include "core/operation.h"

/** Renewals per lease, so that two may be lost. */
#define RENEWALS_PER_LEASE 3
/** Looks of an observer per lease. */
#define LOOKS_PER_LEASE 2
/** Wait after a call that failed. */
#define RETRY_MS 200

typedef enum {
	CALL_NONE,
	CALL_LOOK,
	CALL_WRITE,
} call_t;

typedef enum {
	WRITE_NONE,
	WRITE_ACQUIRE,
	WRITE_RENEW,
	WRITE_RELEASE,
} write_kind_t;

/** The object as last seen. */
typedef struct {
	bool known;
	bool exists;
	uint64_t version;
	jj_ms_t since_ms; /**< when this version was first seen */
	char holder[JJ_NAME_MAX + 20];
	uint64_t fence;
	uint64_t beat;
	jj_ms_t lease_ms;
	bool released;
} seen_t;

/** A write from its first send until its end is known. */
typedef struct {
	write_kind_t kind;
	char operation[JJ_OPERATION_TEXT];
	bool create;
	uint64_t version; /**< its condition */
	uint64_t fence;
	uint64_t beat;
	jj_ms_t sent_ms; /**< of the first send */
} write_t;

struct jj_lease {
	jj_lease_settings_t settings;
	jj_operations_t operations;
	bool wanted;
	uint64_t token;
	call_t call;
	jj_ms_t called_ms;
	jj_ms_t due_ms; /**< next look or repeat */
	seen_t seen;
	write_t write;
	jj_ms_t held_until_ms; /**< 0: not held */
	jj_ms_t release_until_ms; /**< a release is of use until then */
	jj_ms_t safe_ms; /**< end of the grace */
	uint64_t fence;
};

static void step(jj_lease_t *, jj_ms_t, jj_actions_t *);
static void decide_write(jj_lease_t *, jj_ms_t, jj_actions_t *);
static void begin_release(jj_lease_t *, jj_ms_t, jj_actions_t *);
static bool is_own(const jj_lease_t *);
static bool is_free(const jj_lease_t *, jj_ms_t);
static jj_ms_t lapse_ms(const jj_lease_t *);
static void look(jj_lease_t *, jj_ms_t, jj_actions_t *);
static void begin_write(jj_lease_t *, write_kind_t, jj_ms_t, jj_actions_t *);
static void send_write(jj_lease_t *, jj_ms_t, jj_actions_t *);
static jj_bytes_t encode(const jj_lease_t *);
static void
take_look(jj_lease_t *, const jj_platform_result_t *, jj_ms_t, jj_actions_t *);
static void see(jj_lease_t *, const jj_platform_result_t *, jj_ms_t);
static void confirm_write(jj_lease_t *, uint64_t, jj_ms_t, jj_actions_t *);
static void note_loss(jj_lease_t *, jj_actions_t *);

jj_lease_t *
jj_lease_create(const jj_lease_settings_t *settings)
{
	jj_lease_t *lease = jj_alloc(sizeof(*lease));

	lease->settings = *settings;
	jj_operations_seed(&lease->operations, settings->seed);
	return lease;
}

void
jj_lease_destroy(jj_lease_t *lease)
{
	free(lease);
}

void
jj_lease_want(jj_lease_t *lease, bool wanted, jj_ms_t now, jj_actions_t *out)
{
	if (lease->wanted == wanted)
		return;
	lease->wanted = wanted;
	lease->due_ms = now;
	/* Looked at long ago: the version may have changed since. */
	if (wanted && lease->held_until_ms == 0)
		lease->seen.known = false;
	step(lease, now, out);
}

void
jj_lease_refresh(jj_lease_t *lease, jj_ms_t now, jj_actions_t *out)
{
	if (lease->call != CALL_NONE || !lease->wanted ||
	    jj_lease_is_held(lease, now))
		return;
	look(lease, now, out);
}

void
jj_lease_tick(jj_lease_t *lease, jj_ms_t now, jj_actions_t *out)
{
	/* A call without a result for a whole lease is given up; its result
	 * is then ignored by its token. */
	if (lease->call != CALL_NONE &&
	    now - lease->called_ms >= lease->settings.lease_ms) {
		lease->call = CALL_NONE;
		lease->seen.known = false;
		lease->due_ms = now;
	}
	step(lease, now, out);
}

jj_ms_t
jj_lease_next(const jj_lease_t *lease)
{
	if (lease->call != CALL_NONE)
		return lease->called_ms + lease->settings.lease_ms;
	if (!lease->wanted && lease->held_until_ms == 0 &&
	    lease->write.kind == WRITE_NONE)
		return JJ_MS_NEVER;
	return lease->due_ms;
}

void
jj_lease_take_result(jj_lease_t *lease, const jj_platform_result_t *result,
    jj_ms_t now, jj_actions_t *out)
{
	call_t call = lease->call;

	if (call == CALL_NONE || result->token != lease->token)
		return;
	lease->call = CALL_NONE;
	lease->due_ms = now;
	switch (result->outcome) {
	case JJ_PLATFORM_OK:
		if (call == CALL_LOOK)
			take_look(lease, result, now, out);
		else
			confirm_write(lease, result->version, now, out);
		break;
	case JJ_PLATFORM_ABSENT:
		if (call == CALL_LOOK)
			take_look(lease, result, now, out);
		else
			lease->seen.known = false;
		break;
	case JJ_PLATFORM_CONFLICT:
		lease->seen.known = false;
		break;
	default:
		/* Unknown: look, as a write may have taken effect. Refused:
		 * surely not done, so a new write counts from its own send. */
		if (result->outcome == JJ_PLATFORM_UNKNOWN)
			lease->seen.known = false;
		else
			lease->write.kind = WRITE_NONE;
		lease->due_ms = now +
		    (result->retry_after_ms > RETRY_MS ? result->retry_after_ms
						       : RETRY_MS);
		break;
	}
	step(lease, now, out);
}

bool
jj_lease_is_held(const jj_lease_t *lease, jj_ms_t now)
{
	/* A holder that was frozen past its lease still believes in it while
	 * another has taken over; both would give orders. The end was fixed
	 * on the own clock from before the confirmed write was sent, so it
	 * comes before any observer's, and the time is asked at each act. */
	return lease->wanted && now < lease->held_until_ms;
}

bool
jj_lease_is_safe_unfenced(const jj_lease_t *lease, jj_ms_t now)
{
	/* Servers that ignore fencing numbers would apply an order of the
	 * old holder that is still under way after one of ours. */
	return jj_lease_is_held(lease, now) && now >= lease->safe_ms;
}

uint64_t
jj_lease_fence(const jj_lease_t *lease)
{
	return lease->fence;
}

static void
step(jj_lease_t *lease, jj_ms_t now, jj_actions_t *out)
{
	if (lease->call != CALL_NONE || now < lease->due_ms)
		return;
	/* Lapsed without being wanted: observers see it lapse as well. */
	if (!lease->wanted && now >= lease->held_until_ms &&
	    now >= lease->release_until_ms) {
		lease->write.kind = WRITE_NONE;
		lease->held_until_ms = 0;
		return;
	}
	if (!lease->seen.known)
		look(lease, now, out);
	else if (lease->write.kind != WRITE_NONE)
		send_write(lease, now, out);
	else
		decide_write(lease, now, out);
}

/* The object is known and no write is open. */
static void
decide_write(jj_lease_t *lease, jj_ms_t now, jj_actions_t *out)
{
	if (!lease->wanted && is_own(lease) && !lease->seen.released)
		begin_release(lease, now, out);
	else if (!lease->wanted)
		lease->release_until_ms = 0;
	else if (jj_lease_is_held(lease, now))
		begin_write(lease, WRITE_RENEW, now, out);
	else if (is_free(lease, now))
		begin_write(lease, WRITE_ACQUIRE, now, out);
	else
		look(lease, now, out);
}

/* From the moment the release is sent the lease may be another's, also when
 * it is wanted again before the answer. */
static void
begin_release(jj_lease_t *lease, jj_ms_t now, jj_actions_t *out)
{
	if (lease->held_until_ms > 0)
		lease->release_until_ms = lease->held_until_ms;
	note_loss(lease, out);
	begin_write(lease, WRITE_RELEASE, now, out);
}

static bool
is_own(const jj_lease_t *lease)
{
	return lease->seen.exists &&
	    strcmp(lease->seen.holder, lease->settings.writer) == 0;
}

static bool
is_free(const jj_lease_t *lease, jj_ms_t now)
{
	if (!lease->seen.exists || lease->seen.released || is_own(lease))
		return true;
	return now - lease->seen.since_ms >= lapse_ms(lease);
}

/* How long an unchanged version is somebody else's lease. */
static jj_ms_t
lapse_ms(const jj_lease_t *lease)
{
	jj_ms_t lasts = lease->settings.lease_ms;

	if (lease->seen.lease_ms > lasts)
		lasts = lease->seen.lease_ms;
	return lasts + lease->settings.margin_ms;
}

static void
look(jj_lease_t *lease, jj_ms_t now, jj_actions_t *out)
{
	jj_platform_call_t *call = jj_actions_add_platform(
	    out, JJ_OWNER_LEASE, JJ_PLATFORM_GET, ++lease->token);

	memcpy(call->key, lease->settings.key, sizeof(call->key));
	lease->call = CALL_LOOK;
	lease->called_ms = now;
}

static void
begin_write(
    jj_lease_t *lease, write_kind_t kind, jj_ms_t now, jj_actions_t *out)
{
	write_t *write = &lease->write;

	write->kind = kind;
	jj_operations_next_text(&lease->operations, write->operation);
	write->create = !lease->seen.exists;
	write->version = lease->seen.version;
	write->fence = lease->seen.fence;
	if (write->fence < lease->fence)
		write->fence = lease->fence;
	if (kind == WRITE_ACQUIRE)
		write->fence++;
	write->beat = lease->seen.beat + 1;
	write->sent_ms = now;
	send_write(lease, now, out);
}

static void
send_write(jj_lease_t *lease, jj_ms_t now, jj_actions_t *out)
{
	jj_platform_call_t *call = jj_actions_add_platform(out, JJ_OWNER_LEASE,
	    lease->write.create ? JJ_PLATFORM_CREATE : JJ_PLATFORM_UPDATE,
	    ++lease->token);

	memcpy(call->key, lease->settings.key, sizeof(call->key));
	call->version = lease->write.create ? 0 : lease->write.version;
	call->value = encode(lease);
	lease->call = CALL_WRITE;
	lease->called_ms = now;
}

static jj_bytes_t
encode(const jj_lease_t *lease)
{
	const write_t *write = &lease->write;
	json_t *json = json_pack("{s:s,s:I,s:I,s:I,s:b,s:s,s:s}", "holder",
	    lease->settings.writer, "fence", (json_int_t)write->fence,
	    "lease_ms", (json_int_t)lease->settings.lease_ms, "beat",
	    (json_int_t)write->beat, "released", write->kind == WRITE_RELEASE,
	    "writer", lease->settings.writer, "operation", write->operation);
	char *text = json_dumps(json, JSON_COMPACT);
	jj_bytes_t bytes;

	JJ_INVARIANT(text != NULL);
	bytes = jj_bytes_from_text(text);
	free(text);
	json_decref(json);
	return bytes;
}

static void
take_look(jj_lease_t *lease, const jj_platform_result_t *result, jj_ms_t now,
    jj_actions_t *out)
{
	write_t *write = &lease->write;
	bool found = result->outcome == JJ_PLATFORM_OK;

	/* The answer to a write was lost after it took effect: our own
	 * success would look like another's, and the lease would stand
	 * unused. The operation in the object is that of the open write. */
	if (found && write->kind != WRITE_NONE &&
	    jj_operation_is_own(
		&result->value, lease->settings.writer, write->operation)) {
		confirm_write(lease, result->version, now, out);
		return;
	}
	see(lease, result, now);
	/* Its condition can never hold again, so it is surely not done. */
	if (found ? write->create || result->version != write->version
		  : !write->create)
		write->kind = WRITE_NONE;
	if (!is_own(lease) || lease->seen.released)
		note_loss(lease, out);
	if (!jj_lease_is_held(lease, now) && !is_free(lease, now))
		lease->due_ms =
		    now + lease->settings.lease_ms / LOOKS_PER_LEASE;
}

static void
see(jj_lease_t *lease, const jj_platform_result_t *result, jj_ms_t now)
{
	seen_t *seen = &lease->seen;
	json_t *json;
	const char *holder;

	/* since_ms survives a look that shows the same version. */
	if (result->outcome != JJ_PLATFORM_OK) {
		memset(seen, 0, sizeof(*seen));
		seen->known = true;
		return;
	}
	if (!seen->exists || seen->version != result->version)
		seen->since_ms = now;
	seen->known = true;
	seen->exists = true;
	seen->version = result->version;
	json = json_loadb(result->value.data, result->value.size, 0, NULL);
	holder = json_string_value(json_object_get(json, "holder"));
	(void)snprintf(seen->holder, sizeof(seen->holder), "%s",
	    holder != NULL ? holder : "");
	seen->fence =
	    (uint64_t)json_integer_value(json_object_get(json, "fence"));
	seen->beat =
	    (uint64_t)json_integer_value(json_object_get(json, "beat"));
	seen->lease_ms = json_integer_value(json_object_get(json, "lease_ms"));
	seen->released = json_is_true(json_object_get(json, "released"));
	json_decref(json);
}

/* The open write took effect as this version. */
static void
confirm_write(
    jj_lease_t *lease, uint64_t version, jj_ms_t now, jj_actions_t *out)
{
	write_t *write = &lease->write;
	seen_t *seen = &lease->seen;
	bool first = write->fence == 1;
	bool mine = is_own(lease) && seen->fence == lease->fence;

	seen->known = true;
	seen->exists = true;
	seen->version = version;
	seen->since_ms = now;
	(void)snprintf(
	    seen->holder, sizeof(seen->holder), "%s", lease->settings.writer);
	seen->fence = write->fence;
	seen->beat = write->beat;
	seen->lease_ms = lease->settings.lease_ms;
	seen->released = write->kind == WRITE_RELEASE;
	if (write->kind == WRITE_RELEASE) {
		lease->release_until_ms = 0;
	} else {
		lease->held_until_ms =
		    write->sent_ms + lease->settings.lease_ms;
		lease->due_ms = write->sent_ms +
		    lease->settings.lease_ms / RENEWALS_PER_LEASE;
	}
	if (write->kind == WRITE_ACQUIRE) {
		lease->fence = write->fence;
		if (!mine && !first)
			lease->safe_ms = now + lease->settings.grace_ms;
		jj_actions_add_event(out, "lease_acquired", "key=%s fence=%llu",
		    lease->settings.key, (unsigned long long)lease->fence);
	}
	write->kind = WRITE_NONE;
	if (!lease->wanted)
		lease->due_ms = now;
}

static void
note_loss(jj_lease_t *lease, jj_actions_t *out)
{
	if (lease->held_until_ms == 0)
		return;
	lease->held_until_ms = 0;
	jj_actions_add_event(out, "lease_lost", "key=%s fence=%llu",
	    lease->settings.key, (unsigned long long)lease->fence);
}
