/**
 * @file lease.c
 * @brief Acquiring, renewing, observing and releasing a lease.
 *
 * One call at a time: a read or a write. After a write without an answer the
 * object is read: the operation in it tells whether the write took effect.
 * While the write's condition still holds, it is repeated unchanged, so that no
 * two writes of this VM can both take effect.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "core/lease.h"
#include "core/operation.h"

/** Renewals per lease duration, so that two may be lost. */
#define RENEWALS_PER_LEASE 3
/** Reads by an observer per lease duration. */
#define READS_PER_LEASE 2
/** Delay after a failed call. */
#define RETRY_MS 200

typedef enum {
	CALL_NONE,
	CALL_READ,
	CALL_WRITE,
} call_t;

typedef enum {
	WRITE_NONE,
	WRITE_ACQUIRE,
	WRITE_RENEW,
	WRITE_RELEASE,
} write_kind_t;

/** The object as last read. */
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
} observed_t;

/** A write, from its first send until its outcome is known. */
typedef struct {
	write_kind_t kind;
	char operation[JJ_OPERATION_TEXT];
	bool create;
	uint64_t version; /**< version that the object must have */
	uint64_t fence;
	uint64_t beat;
	jj_ms_t sent_ms; /**< time of the first send */
} write_t;

struct jj_lease {
	jj_lease_settings_t settings;
	jj_operations_t operations;
	bool wanted;
	uint64_t token;
	call_t call;
	jj_ms_t called_ms;
	jj_ms_t due_ms; /**< next read, or repeat of a write */
	observed_t observed;
	write_t write;
	jj_ms_t held_until_ms; /**< 0: not held */
	jj_ms_t release_until_ms; /**< a release is useful until then */
	jj_ms_t unfenced_safe_ms; /**< end of grace_ms */
	uint64_t fence;
};

static void step(jj_lease_t *, jj_ms_t, jj_actions_t *);
static void decide_write(jj_lease_t *, jj_ms_t, jj_actions_t *);
static void begin_release(jj_lease_t *, jj_ms_t, jj_actions_t *);
static bool is_own(const jj_lease_t *);
static bool is_free(const jj_lease_t *, jj_ms_t);
static jj_ms_t lapse_ms(const jj_lease_t *);
static void read_object(jj_lease_t *, jj_ms_t, jj_actions_t *);
static void begin_write(jj_lease_t *, write_kind_t, jj_ms_t, jj_actions_t *);
static void send_write(jj_lease_t *, jj_ms_t, jj_actions_t *);
static jj_bytes_t encode(const jj_lease_t *);
static void
take_read(jj_lease_t *, const jj_platform_result_t *, jj_ms_t, jj_actions_t *);
static void observe(jj_lease_t *, const jj_platform_result_t *, jj_ms_t);
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
	/* The last read is long ago: the version may have changed since. */
	if (wanted && lease->held_until_ms == 0)
		lease->observed.known = false;
	step(lease, now, out);
}

void
jj_lease_refresh(jj_lease_t *lease, jj_ms_t now, jj_actions_t *out)
{
	if (lease->call != CALL_NONE || !lease->wanted ||
	    jj_lease_is_held(lease, now))
		return;
	read_object(lease, now, out);
}

void
jj_lease_tick(jj_lease_t *lease, jj_ms_t now, jj_actions_t *out)
{
	/*
	 * A call without a result for a whole lease duration is abandoned; its
	 * late result is ignored by its token.
	 */
	if (lease->call != CALL_NONE &&
	    now - lease->called_ms >= lease->settings.lease_ms) {
		lease->call = CALL_NONE;
		lease->observed.known = false;
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
		if (call == CALL_READ)
			take_read(lease, result, now, out);
		else
			confirm_write(lease, result->version, now, out);
		break;
	case JJ_PLATFORM_ABSENT:
		if (call == CALL_READ)
			take_read(lease, result, now, out);
		else
			lease->observed.known = false;
		break;
	case JJ_PLATFORM_CONFLICT:
		lease->observed.known = false;
		break;
	default:
		/*
		 * Unknown: read, as a write may have taken effect. Refused: it
		 * had no effect, so a new write counts from its own send.
		 */
		if (result->outcome == JJ_PLATFORM_UNKNOWN)
			lease->observed.known = false;
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
	/*
	 * A holder that was paused past its lease would still believe that it
	 * holds it while another VM has taken over, and both would send orders.
	 * So the end of the lease is fixed on this VM's clock, from before the
	 * confirmed write was sent, which is earlier than any observer's; and
	 * the time is checked at each use.
	 */
	return lease->wanted && now < lease->held_until_ms;
}

bool
jj_lease_is_safe_unfenced(const jj_lease_t *lease, jj_ms_t now)
{
	/*
	 * A server that ignores fencing numbers would apply a late order of the
	 * old holder after one of the new holder.
	 */
	return jj_lease_is_held(lease, now) && now >= lease->unfenced_safe_ms;
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
	/* Lapsed and not wanted: no release needed, observers see it lapse. */
	if (!lease->wanted && now >= lease->held_until_ms &&
	    now >= lease->release_until_ms) {
		lease->write.kind = WRITE_NONE;
		lease->held_until_ms = 0;
		return;
	}
	if (!lease->observed.known)
		read_object(lease, now, out);
	else if (lease->write.kind != WRITE_NONE)
		send_write(lease, now, out);
	else
		decide_write(lease, now, out);
}

/* Called when the object was read and no write is pending. */
static void
decide_write(jj_lease_t *lease, jj_ms_t now, jj_actions_t *out)
{
	if (!lease->wanted && is_own(lease) && !lease->observed.released)
		begin_release(lease, now, out);
	else if (!lease->wanted)
		lease->release_until_ms = 0;
	else if (jj_lease_is_held(lease, now))
		begin_write(lease, WRITE_RENEW, now, out);
	else if (is_free(lease, now))
		begin_write(lease, WRITE_ACQUIRE, now, out);
	else
		read_object(lease, now, out);
}

/*
 * The lease counts as lost from the moment the release is sent, even if it is
 * wanted again before the answer: another VM may have it.
 */
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
	return lease->observed.exists &&
	    strcmp(lease->observed.holder, lease->settings.writer) == 0;
}

static bool
is_free(const jj_lease_t *lease, jj_ms_t now)
{
	if (!lease->observed.exists || lease->observed.released ||
	    is_own(lease))
		return true;
	return now - lease->observed.since_ms >= lapse_ms(lease);
}

/* How long an unchanged version counts as another VM's lease. */
static jj_ms_t
lapse_ms(const jj_lease_t *lease)
{
	jj_ms_t lasts = lease->settings.lease_ms;

	if (lease->observed.lease_ms > lasts)
		lasts = lease->observed.lease_ms;
	return lasts + lease->settings.margin_ms;
}

static void
read_object(jj_lease_t *lease, jj_ms_t now, jj_actions_t *out)
{
	jj_platform_call_t *call = jj_actions_add_platform(
	    out, JJ_OWNER_LEASE, JJ_PLATFORM_GET, ++lease->token);

	memcpy(call->key, lease->settings.key, sizeof(call->key));
	lease->call = CALL_READ;
	lease->called_ms = now;
}

static void
begin_write(
    jj_lease_t *lease, write_kind_t kind, jj_ms_t now, jj_actions_t *out)
{
	write_t *write = &lease->write;

	write->kind = kind;
	jj_operations_next_text(&lease->operations, write->operation);
	write->create = !lease->observed.exists;
	write->version = lease->observed.version;
	write->fence = lease->observed.fence;
	if (write->fence < lease->fence)
		write->fence = lease->fence;
	if (kind == WRITE_ACQUIRE)
		write->fence++;
	write->beat = lease->observed.beat + 1;
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
take_read(jj_lease_t *lease, const jj_platform_result_t *result, jj_ms_t now,
    jj_actions_t *out)
{
	write_t *write = &lease->write;
	bool found = result->outcome == JJ_PLATFORM_OK;

	/*
	 * The answer to a write that took effect was lost: the operation in the
	 * object is that of the pending write. Without this check the VM's own
	 * success would look like another's, and the lease would stay unused.
	 */
	if (found && write->kind != WRITE_NONE &&
	    jj_operation_is_own(
		&result->value, lease->settings.writer, write->operation)) {
		confirm_write(lease, result->version, now, out);
		return;
	}
	observe(lease, result, now);
	/*
	 * Its condition can never hold again, so the write can't take effect.
	 */
	if (found ? write->create || result->version != write->version
		  : !write->create)
		write->kind = WRITE_NONE;
	if (!is_own(lease) || lease->observed.released)
		note_loss(lease, out);
	if (!jj_lease_is_held(lease, now) && !is_free(lease, now))
		lease->due_ms =
		    now + lease->settings.lease_ms / READS_PER_LEASE;
}

static void
observe(jj_lease_t *lease, const jj_platform_result_t *result, jj_ms_t now)
{
	observed_t *observed = &lease->observed;
	json_t *json;
	const char *holder;

	/* since_ms is kept when a read shows the same version. */
	if (result->outcome != JJ_PLATFORM_OK) {
		memset(observed, 0, sizeof(*observed));
		observed->known = true;
		return;
	}
	if (!observed->exists || observed->version != result->version)
		observed->since_ms = now;
	observed->known = true;
	observed->exists = true;
	observed->version = result->version;
	json = json_loadb(result->value.data, result->value.size, 0, NULL);
	holder = json_string_value(json_object_get(json, "holder"));
	(void)snprintf(observed->holder, sizeof(observed->holder), "%s",
	    holder != NULL ? holder : "");
	observed->fence =
	    (uint64_t)json_integer_value(json_object_get(json, "fence"));
	observed->beat =
	    (uint64_t)json_integer_value(json_object_get(json, "beat"));
	observed->lease_ms =
	    json_integer_value(json_object_get(json, "lease_ms"));
	observed->released = json_is_true(json_object_get(json, "released"));
	json_decref(json);
}

/* The pending write took effect as this version. */
static void
confirm_write(
    jj_lease_t *lease, uint64_t version, jj_ms_t now, jj_actions_t *out)
{
	write_t *write = &lease->write;
	observed_t *observed = &lease->observed;
	bool first = write->fence == 1;
	bool was_own = is_own(lease) && observed->fence == lease->fence;

	observed->known = true;
	observed->exists = true;
	observed->version = version;
	observed->since_ms = now;
	(void)snprintf(observed->holder, sizeof(observed->holder), "%s",
	    lease->settings.writer);
	observed->fence = write->fence;
	observed->beat = write->beat;
	observed->lease_ms = lease->settings.lease_ms;
	observed->released = write->kind == WRITE_RELEASE;
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
		if (!was_own && !first)
			lease->unfenced_safe_ms =
			    now + lease->settings.grace_ms;
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
