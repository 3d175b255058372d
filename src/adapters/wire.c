/**
 * @file wire.c
 * @brief msgpack codec of messages, driven by a table of fields per kind.
 *
 * Encoder and decoder use the same table, so they always agree. Bytes are
 * coded by msgpack-c, which only receives input whose element counts were
 * checked against its length.
 */
#include <string.h>

#include <msgpack.h>

#include "adapters/wire.h"

/** Elements of the outermost array. */
#define ENVELOPE_SIZE 6
/** First byte of an array of ENVELOPE_SIZE elements (msgpack fixarray). */
#define ENVELOPE_BYTE (0x90 | ENVELOPE_SIZE)

typedef enum {
	FIELD_U32,
	FIELD_U64,
	FIELD_I32,
	FIELD_I64,
	FIELD_BOOL,
	FIELD_ENUM, /**< 0 to limit, inclusive */
	FIELD_TEXT, /**< char[limit], NUL-terminated */
	FIELD_BYTES, /**< jj_bytes_t, at most limit bytes */
	FIELD_HASH,
	FIELD_STRUCT, /**< an embedded struct, of type layout */
	FIELD_ARRAY, /**< embedded, at most limit elements of type layout */
	FIELD_LIST, /**< like FIELD_ARRAY, but on the heap */
} field_type_t;

/** One field of an encoded struct. */
typedef struct {
	field_type_t type;
	size_t offset;
	size_t limit;
	size_t count_offset; /**< of the uint32_t element count of an array */
	const struct layout *layout;
} field_t;

/** The fields of a struct, in the order of their encoding. */
typedef struct layout {
	size_t size; /**< of the struct, bytes */
	size_t field_count;
	const field_t *fields;
} layout_t;

#define FIELD(type, owner, member)                        \
	{                                                 \
		type, offsetof(owner, member), 0, 0, NULL \
	}
#define ENUM(owner, member, max)                                  \
	{                                                         \
		FIELD_ENUM, offsetof(owner, member), max, 0, NULL \
	}
#define TEXT(owner, member)                               \
	{                                                 \
		FIELD_TEXT, offsetof(owner, member),      \
		    sizeof(((owner *)0)->member), 0, NULL \
	}
#define BYTES(owner, member, max)                                  \
	{                                                          \
		FIELD_BYTES, offsetof(owner, member), max, 0, NULL \
	}
#define STRUCT(owner, member, inner)                               \
	{                                                          \
		FIELD_STRUCT, offsetof(owner, member), 0, 0, inner \
	}
#define ARRAY(type, owner, member, count, max, inner)                       \
	{                                                                   \
		type, offsetof(owner, member), max, offsetof(owner, count), \
		    inner                                                   \
	}
#define LAYOUT(name, owner, fields)    \
	static const layout_t name = { \
	    sizeof(owner), sizeof(fields) / sizeof(*(fields)), fields}

static bool pack_struct(msgpack_packer *, const layout_t *, const char *);
static bool pack_field(msgpack_packer *, const field_t *, const char *);
static bool pack_text(msgpack_packer *, const field_t *, const char *);
static bool pack_bytes(msgpack_packer *, const field_t *, const jj_bytes_t *);
static bool pack_array(msgpack_packer *, const field_t *, const char *);
static bool check_structure(const uint8_t *, size_t);
static bool read_value_header(const uint8_t *, size_t, size_t *, size_t *);
static size_t read_length(const uint8_t *, size_t);
static jj_wire_outcome_t unpack_message(const msgpack_object *, jj_message_t *);
static bool unpack_struct(const msgpack_object *, const layout_t *, char *);
static bool unpack_field(const msgpack_object *, const field_t *, char *);
static bool unpack_unsigned(const msgpack_object *, uint64_t, uint64_t *);
static bool unpack_signed(const msgpack_object *, int64_t, int64_t, int64_t *);
static bool unpack_number(const msgpack_object *, const field_t *, char *);
static bool unpack_text(const msgpack_object *, const field_t *, char *);
static bool unpack_bytes(const msgpack_object *, const field_t *, jj_bytes_t *);
static bool unpack_hash(const msgpack_object *, jj_hash_t *);
static bool unpack_array(const msgpack_object *, const field_t *, char *);

static const field_t load_fields[] = {
    FIELD(FIELD_U64, jj_load_t, server),
    FIELD(FIELD_U32, jj_load_t, online),
    FIELD(FIELD_U32, jj_load_t, batch),
    FIELD(FIELD_U32, jj_load_t, suspects),
};
LAYOUT(load_layout, jj_load_t, load_fields);

static const field_t heartbeat_fields[] = {
    ENUM(jj_message_t, body.heartbeat.state, JJ_VM_LEAVING),
    TEXT(jj_message_t, body.heartbeat.domain.text),
    TEXT(jj_message_t, body.heartbeat.failure_domain.text),
    TEXT(jj_message_t, body.heartbeat.address),
    FIELD(FIELD_U64, jj_message_t, body.heartbeat.config_version),
    FIELD(FIELD_U64, jj_message_t, body.heartbeat.slots_version),
    FIELD(FIELD_U64, jj_message_t, body.heartbeat.ack_sequence),
    ARRAY(FIELD_LIST, jj_message_t, body.heartbeat.loads,
	body.heartbeat.load_count, JJ_HEARTBEAT_LOADS_MAX, &load_layout),
};
LAYOUT(heartbeat_layout, jj_message_t, heartbeat_fields);

static const field_t nonce_fields[] = {
    FIELD(FIELD_U64, jj_message_t, body.nonce),
};
LAYOUT(nonce_layout, jj_message_t, nonce_fields);

static const field_t config_fields[] = {
    FIELD(FIELD_U64, jj_message_t, body.config.version),
    BYTES(jj_message_t, body.config.document, JJ_MESSAGE_BYTES_MAX),
};
LAYOUT(config_layout, jj_message_t, config_fields);

static const field_t loads_fields[] = {
    ARRAY(FIELD_ARRAY, jj_message_t, body.load.loads, body.load.count,
	JJ_MESSAGE_LOADS_MAX, &load_layout),
};
LAYOUT(loads_layout, jj_message_t, loads_fields);

static const field_t call_fields[] = {
    FIELD(FIELD_U64, jj_message_t, body.call.call),
    FIELD(FIELD_U32, jj_message_t, body.call.slot),
    FIELD(FIELD_U64, jj_message_t, body.call.epoch),
    FIELD(FIELD_HASH, jj_message_t, body.call.key),
    FIELD(FIELD_U64, jj_message_t, body.call.fingerprint),
    FIELD(FIELD_I64, jj_message_t, body.call.budget_ms),
    TEXT(jj_message_t, body.call.service.text),
    BYTES(jj_message_t, body.call.path, JJ_WIRE_BYTES_MAX),
    BYTES(jj_message_t, body.call.body, JJ_WIRE_BYTES_MAX),
    TEXT(jj_message_t, body.call.trace),
    TEXT(jj_message_t, body.call.key_text),
};
LAYOUT(call_layout, jj_message_t, call_fields);

static const field_t call_answer_fields[] = {
    FIELD(FIELD_U64, jj_message_t, body.call_answer.call),
    ENUM(jj_message_t, body.call_answer.outcome, JJ_CALL_NO_HISTORY),
    FIELD(FIELD_I32, jj_message_t, body.call_answer.status),
    FIELD(FIELD_I64, jj_message_t, body.call_answer.retry_after_ms),
    BYTES(jj_message_t, body.call_answer.body, JJ_WIRE_BYTES_MAX),
};
LAYOUT(call_answer_layout, jj_message_t, call_answer_fields);

static const field_t record_fields[] = {
    FIELD(FIELD_HASH, jj_record_t, key),
    FIELD(FIELD_U64, jj_record_t, fingerprint),
    FIELD(FIELD_U32, jj_record_t, attempt),
    ENUM(jj_record_t, state, JJ_RECORD_UNKNOWN),
    FIELD(FIELD_I64, jj_record_t, age_ms),
    FIELD(FIELD_I32, jj_record_t, status),
    BYTES(jj_record_t, answer, JJ_WIRE_BYTES_MAX),
};
LAYOUT(record_layout, jj_record_t, record_fields);

static const field_t intent_fields[] = {
    FIELD(FIELD_U32, jj_message_t, body.intent.slot),
    FIELD(FIELD_U64, jj_message_t, body.intent.epoch),
    STRUCT(jj_message_t, body.intent.record, &record_layout),
};
LAYOUT(intent_layout, jj_message_t, intent_fields);

static const field_t intent_ack_fields[] = {
    FIELD(FIELD_U32, jj_message_t, body.intent_ack.slot),
    FIELD(FIELD_U64, jj_message_t, body.intent_ack.epoch),
    FIELD(FIELD_HASH, jj_message_t, body.intent_ack.key),
    FIELD(FIELD_U32, jj_message_t, body.intent_ack.attempt),
    FIELD(FIELD_BOOL, jj_message_t, body.intent_ack.accepted),
};
LAYOUT(intent_ack_layout, jj_message_t, intent_ack_fields);

static const field_t resolve_fields[] = {
    FIELD(FIELD_U32, jj_message_t, body.resolve.slot),
    FIELD(FIELD_U64, jj_message_t, body.resolve.epoch),
    FIELD(FIELD_BOOL, jj_message_t, body.resolve.removed),
    STRUCT(jj_message_t, body.resolve.record, &record_layout),
};
LAYOUT(resolve_layout, jj_message_t, resolve_fields);

static const field_t sync_fields[] = {
    FIELD(FIELD_U32, jj_message_t, body.sync.slot),
    FIELD(FIELD_U64, jj_message_t, body.sync.epoch),
    FIELD(FIELD_U32, jj_message_t, body.sync.part),
    FIELD(FIELD_BOOL, jj_message_t, body.sync.last),
    FIELD(FIELD_BOOL, jj_message_t, body.sync.history_unknown),
    FIELD(FIELD_I64, jj_message_t, body.sync.unknown_age_ms),
    ARRAY(FIELD_LIST, jj_message_t, body.sync.records, body.sync.record_count,
	JJ_MESSAGE_RECORDS_MAX, &record_layout),
};
LAYOUT(sync_layout, jj_message_t, sync_fields);

static const field_t sync_ack_fields[] = {
    FIELD(FIELD_U32, jj_message_t, body.sync_ack.slot),
    FIELD(FIELD_U64, jj_message_t, body.sync_ack.epoch),
    FIELD(FIELD_U32, jj_message_t, body.sync_ack.part),
};
LAYOUT(sync_ack_layout, jj_message_t, sync_ack_fields);

static const field_t slots_fields[] = {
    FIELD(FIELD_U64, jj_message_t, body.slots.version),
    BYTES(jj_message_t, body.slots.table, JJ_MESSAGE_BYTES_MAX),
};
LAYOUT(slots_layout, jj_message_t, slots_fields);

static const field_t suspect_fields[] = {
    {FIELD_U64, 0, 0, 0, NULL},
};
LAYOUT(suspect_layout, uint64_t, suspect_fields);

static const field_t crash_fields[] = {
    TEXT(jj_message_t, body.crash.server.text),
    FIELD(FIELD_U64, jj_message_t, body.crash.boot),
    ARRAY(FIELD_ARRAY, jj_message_t, body.crash.suspects,
	body.crash.suspect_count, JJ_MESSAGE_SUSPECTS_MAX, &suspect_layout),
};
LAYOUT(crash_layout, jj_message_t, crash_fields);

static const field_t struck_entry_fields[] = {
    FIELD(FIELD_U64, jj_crash_record_t, fingerprint),
    FIELD(FIELD_I64, jj_crash_record_t, age_ms),
    ARRAY(FIELD_ARRAY, jj_crash_record_t, deaths, death_count,
	JJ_MESSAGE_CRASHES_MAX, &suspect_layout),
};
LAYOUT(struck_entry_layout, jj_crash_record_t, struck_entry_fields);

static const field_t struck_fields[] = {
    FIELD(FIELD_BOOL, jj_message_t, body.struck.asks),
    ARRAY(FIELD_ARRAY, jj_message_t, body.struck.entries, body.struck.count,
	JJ_MESSAGE_CRASH_HISTORY_MAX, &struck_entry_layout),
};
LAYOUT(struck_layout, jj_message_t, struck_fields);

static const field_t lend_fields[] = {
    FIELD(FIELD_U64, jj_message_t, body.lend.number),
    ENUM(jj_message_t, body.lend.op, JJ_PLATFORM_DELETE),
    TEXT(jj_message_t, body.lend.key),
    FIELD(FIELD_U64, jj_message_t, body.lend.version),
    BYTES(jj_message_t, body.lend.value, JJ_MESSAGE_BYTES_MAX),
};
LAYOUT(lend_layout, jj_message_t, lend_fields);

static const field_t lent_fields[] = {
    FIELD(FIELD_U64, jj_message_t, body.lent.number),
    ENUM(jj_message_t, body.lent.outcome, JJ_PLATFORM_UNKNOWN),
    FIELD(FIELD_U64, jj_message_t, body.lent.version),
    FIELD(FIELD_I64, jj_message_t, body.lent.retry_after_ms),
    BYTES(jj_message_t, body.lent.value, JJ_MESSAGE_BYTES_MAX),
};
LAYOUT(lent_layout, jj_message_t, lent_fields);

static const field_t server_fields[] = {
    TEXT(jj_message_t, body.server.server.text),
    FIELD(FIELD_U64, jj_message_t, body.server.boot),
    ENUM(jj_message_t, body.server.state, JJ_SERVER_DOWN),
};
LAYOUT(server_layout, jj_message_t, server_fields);

static const field_t yield_fields[] = {
    FIELD(FIELD_U64, jj_message_t, body.yield),
};
LAYOUT(yield_layout, jj_message_t, yield_fields);

static const field_t job_ended_fields[] = {
    TEXT(jj_message_t, body.job_ended),
};
LAYOUT(job_ended_layout, jj_message_t, job_ended_fields);

static const field_t job_page_fields[] = {
    FIELD(FIELD_U64, jj_message_t, body.job_page.operation),
    TEXT(jj_message_t, body.job_page.job),
    TEXT(jj_message_t, body.job_page.item),
    FIELD(FIELD_U32, jj_message_t, body.job_page.after),
    FIELD(FIELD_U32, jj_message_t, body.job_page.total),
    BYTES(jj_message_t, body.job_page.page, JJ_WIRE_BYTES_MAX),
};
LAYOUT(job_page_layout, jj_message_t, job_page_fields);

static const field_t relay_fields[] = {
    FIELD(FIELD_U32, jj_message_t, body.relay.watch),
    FIELD(FIELD_U64, jj_message_t, body.relay.from),
    FIELD(FIELD_U64, jj_message_t, body.relay.to),
    BYTES(jj_message_t, body.relay.events, JJ_WIRE_BYTES_MAX),
};
LAYOUT(relay_layout, jj_message_t, relay_fields);

static const field_t job_state_fields[] = {
    FIELD(FIELD_U64, jj_job_progress_t, job),
    FIELD(FIELD_U64, jj_job_progress_t, route),
    FIELD(FIELD_U64, jj_job_progress_t, tokens),
    FIELD(FIELD_U32, jj_job_progress_t, total),
    FIELD(FIELD_U32, jj_job_progress_t, shown),
};
LAYOUT(job_state_layout, jj_job_progress_t, job_state_fields);

static const field_t job_states_fields[] = {
    FIELD(FIELD_U64, jj_message_t, body.job_states.ack),
    ARRAY(FIELD_ARRAY, jj_message_t, body.job_states.states,
	body.job_states.count, JJ_MESSAGE_JOB_STATES_MAX, &job_state_layout),
};
LAYOUT(job_states_layout, jj_message_t, job_states_fields);

static const field_t team_use_fields[] = {
    FIELD(FIELD_U64, jj_team_use_t, team),
    FIELD(FIELD_U64, jj_team_use_t, total),
    FIELD(FIELD_U32, jj_team_use_t, recent),
    FIELD(FIELD_U32, jj_team_use_t, asked),
    FIELD(FIELD_U32, jj_team_use_t, elapsed_ms),
    FIELD(FIELD_U32, jj_team_use_t, share),
    FIELD(FIELD_BOOL, jj_team_use_t, moved),
};
LAYOUT(team_use_layout, jj_team_use_t, team_use_fields);

static const field_t team_uses_fields[] = {
    ARRAY(FIELD_ARRAY, jj_message_t, body.team_use.uses, body.team_use.count,
	JJ_MESSAGE_TEAMS_MAX, &team_use_layout),
};
LAYOUT(team_uses_layout, jj_message_t, team_uses_fields);

static const field_t team_grant_fields[] = {
    FIELD(FIELD_U64, jj_team_grant_t, team),
    FIELD(FIELD_U64, jj_team_grant_t, total),
    FIELD(FIELD_U32, jj_team_grant_t, credit),
    FIELD(FIELD_U32, jj_team_grant_t, valid_ms),
    FIELD(FIELD_U32, jj_team_grant_t, share),
    FIELD(FIELD_U32, jj_team_grant_t, used),
    FIELD(FIELD_U32, jj_team_grant_t, retry_ms),
    FIELD(FIELD_BOOL, jj_team_grant_t, metered),
    FIELD(FIELD_U32, jj_team_grant_t, admit_ppm),
    FIELD(FIELD_BOOL, jj_team_grant_t, notice),
};
LAYOUT(team_grant_layout, jj_team_grant_t, team_grant_fields);

static const field_t team_grants_fields[] = {
    ARRAY(FIELD_ARRAY, jj_message_t, body.team_grant.grants,
	body.team_grant.count, JJ_MESSAGE_TEAMS_MAX, &team_grant_layout),
};
LAYOUT(team_grants_layout, jj_message_t, team_grants_fields);

static const field_t share_group_fields[] = {
    FIELD(FIELD_U64, jj_share_group_t, group),
    FIELD(FIELD_U32, jj_share_group_t, demand),
};
LAYOUT(share_group_layout, jj_share_group_t, share_group_fields);

static const field_t share_demand_fields[] = {
    TEXT(jj_message_t, body.share_demand.service.text),
    FIELD(FIELD_BOOL, jj_message_t, body.share_demand.contended),
    FIELD(FIELD_U32, jj_message_t, body.share_demand.rest_groups),
    FIELD(FIELD_U32, jj_message_t, body.share_demand.rest_demand),
    ARRAY(FIELD_ARRAY, jj_message_t, body.share_demand.groups,
	body.share_demand.count, JJ_MESSAGE_SHARES_MAX, &share_group_layout),
};
LAYOUT(share_demand_layout, jj_message_t, share_demand_fields);

static const field_t share_grant_fields[] = {
    FIELD(FIELD_U64, jj_share_grant_t, group),
    FIELD(FIELD_U32, jj_share_grant_t, admit),
    FIELD(FIELD_U32, jj_share_grant_t, demand),
};
LAYOUT(share_grant_layout, jj_share_grant_t, share_grant_fields);

static const field_t share_level_fields[] = {
    TEXT(jj_message_t, body.share_level.service.text),
    FIELD(FIELD_U32, jj_message_t, body.share_level.valid_ms),
    FIELD(FIELD_U32, jj_message_t, body.share_level.rest_admit),
    ARRAY(FIELD_ARRAY, jj_message_t, body.share_level.groups,
	body.share_level.count, JJ_MESSAGE_SHARES_MAX, &share_grant_layout),
};
LAYOUT(share_level_layout, jj_message_t, share_level_fields);

static const field_t unanswered_fields[] = {
    TEXT(jj_message_t, body.unanswered.server.text),
    FIELD(FIELD_U64, jj_message_t, body.unanswered.boot),
    FIELD(FIELD_BOOL, jj_message_t, body.unanswered.silent),
    FIELD(FIELD_U64, jj_message_t, body.unanswered.fingerprint),
};
LAYOUT(unanswered_layout, jj_message_t, unanswered_fields);

static const field_t unanswered_parts_fields[] = {
    FIELD(FIELD_U64, jj_message_t, body.unanswered_parts.boot),
    FIELD(FIELD_U64, jj_message_t, body.unanswered_parts.fingerprint),
    ARRAY(FIELD_ARRAY, jj_message_t, body.unanswered_parts.parts,
	body.unanswered_parts.count, JJ_UNANSWERED_PARTS_MAX, &suspect_layout),
};
LAYOUT(unanswered_parts_layout, jj_message_t, unanswered_parts_fields);

static const field_t part_crashes_entry_fields[] = {
    FIELD(FIELD_U64, jj_part_crashes_t, part),
    FIELD(FIELD_I64, jj_part_crashes_t, age_ms),
    FIELD(FIELD_U32, jj_part_crashes_t, probes),
    ARRAY(FIELD_ARRAY, jj_part_crashes_t, servers, count, JJ_PART_CRASHES_MAX,
	&suspect_layout),
};
LAYOUT(part_crashes_entry_layout, jj_part_crashes_t, part_crashes_entry_fields);

static const field_t part_crashes_fields[] = {
    ARRAY(FIELD_ARRAY, jj_message_t, body.part_crashes.entries,
	body.part_crashes.count, JJ_MESSAGE_PARTS_MAX,
	&part_crashes_entry_layout),
};
LAYOUT(part_crashes_layout, jj_message_t, part_crashes_fields);

static const field_t parts_completed_fields[] = {
    ARRAY(FIELD_ARRAY, jj_message_t, body.parts_completed.parts,
	body.parts_completed.count, JJ_MESSAGE_PARTS_MAX, &suspect_layout),
};
LAYOUT(parts_completed_layout, jj_message_t, parts_completed_fields);

static const field_t outcome_fields[] = {
    FIELD(FIELD_U64, jj_server_outcome_t, server),
    FIELD(FIELD_U32, jj_server_outcome_t, successes),
    FIELD(FIELD_BOOL, jj_server_outcome_t, failing),
    FIELD(FIELD_BOOL, jj_server_outcome_t, recovered),
    ARRAY(FIELD_ARRAY, jj_server_outcome_t, contents, count,
	JJ_OUTCOME_CONTENTS_MAX, &suspect_layout),
};
LAYOUT(outcome_layout, jj_server_outcome_t, outcome_fields);

static const field_t outcomes_fields[] = {
    ARRAY(FIELD_ARRAY, jj_message_t, body.outcomes.servers, body.outcomes.count,
	JJ_MESSAGE_OUTCOMES_MAX, &outcome_layout),
};
LAYOUT(outcomes_layout, jj_message_t, outcomes_fields);

static const field_t origin_fields[] = {
    FIELD(FIELD_U64, jj_stream_origin_t, id),
    FIELD(FIELD_U64, jj_stream_origin_t, content),
    FIELD(FIELD_U64, jj_stream_origin_t, software),
    FIELD(FIELD_I64, jj_stream_origin_t, keep_ms),
};
LAYOUT(origin_layout, jj_stream_origin_t, origin_fields);

static const field_t origins_fields[] = {
    ARRAY(FIELD_ARRAY, jj_message_t, body.origins.origins, body.origins.count,
	JJ_MESSAGE_ORIGINS_MAX, &origin_layout),
};
LAYOUT(origins_layout, jj_message_t, origins_fields);

static const field_t origin_query_fields[] = {
    FIELD(FIELD_U64, jj_message_t, body.origin_query.request),
    FIELD(FIELD_U64, jj_message_t, body.origin_query.id),
    FIELD(FIELD_U64, jj_message_t, body.origin_query.content),
    TEXT(jj_message_t, body.origin_query.service.text),
    FIELD(FIELD_I64, jj_message_t, body.origin_query.stream_ms),
};
LAYOUT(origin_query_layout, jj_message_t, origin_query_fields);

static const field_t origin_reply_fields[] = {
    FIELD(FIELD_U64, jj_message_t, body.origin_reply.request),
    FIELD(FIELD_U64, jj_message_t, body.origin_reply.software),
    FIELD(FIELD_U64, jj_message_t, body.origin_reply.sole),
    FIELD(FIELD_BOOL, jj_message_t, body.origin_reply.sole_is_sure),
    FIELD(FIELD_BOOL, jj_message_t, body.origin_reply.remembers_all),
};
LAYOUT(origin_reply_layout, jj_message_t, origin_reply_fields);

static const field_t jobs_fields[] = {
    FIELD(FIELD_U64, jj_message_t, body.jobs.revision),
    BYTES(jj_message_t, body.jobs.events, JJ_WIRE_BYTES_MAX),
};
LAYOUT(jobs_layout, jj_message_t, jobs_fields);

static const layout_t *const body_layouts[JJ_MESSAGE_KIND_END] = {
    [JJ_MESSAGE_HEARTBEAT] = &heartbeat_layout,
    [JJ_MESSAGE_PROBE] = &nonce_layout,
    [JJ_MESSAGE_PROBE_ECHO] = &nonce_layout,
    [JJ_MESSAGE_CONFIG_REQUEST] = &config_layout,
    [JJ_MESSAGE_CONFIG] = &config_layout,
    [JJ_MESSAGE_LOAD] = &loads_layout,
    [JJ_MESSAGE_CALL] = &call_layout,
    [JJ_MESSAGE_CALL_ANSWER] = &call_answer_layout,
    [JJ_MESSAGE_INTENT] = &intent_layout,
    [JJ_MESSAGE_INTENT_ACK] = &intent_ack_layout,
    [JJ_MESSAGE_RESOLVE] = &resolve_layout,
    [JJ_MESSAGE_SYNC] = &sync_layout,
    [JJ_MESSAGE_SYNC_ACK] = &sync_ack_layout,
    [JJ_MESSAGE_SLOTS] = &slots_layout,
    [JJ_MESSAGE_CRASH] = &crash_layout,
    [JJ_MESSAGE_SERVER_STATE] = &server_layout,
    [JJ_MESSAGE_JOBS] = &jobs_layout,
    [JJ_MESSAGE_VMS] = &jobs_layout,
    [JJ_MESSAGE_YIELD] = &yield_layout,
    [JJ_MESSAGE_JOB_ENDED] = &job_ended_layout,
    [JJ_MESSAGE_RELAY] = &relay_layout,
    [JJ_MESSAGE_JOB_STATES] = &job_states_layout,
    [JJ_MESSAGE_CRASH_HISTORY] = &struck_layout,
    [JJ_MESSAGE_BORROW] = &lend_layout,
    [JJ_MESSAGE_BORROW_RESULT] = &lent_layout,
    [JJ_MESSAGE_JOB_READ] = &job_page_layout,
    [JJ_MESSAGE_JOB_PAGE] = &job_page_layout,
    [JJ_MESSAGE_TEAM_USE] = &team_uses_layout,
    [JJ_MESSAGE_TEAM_GRANT] = &team_grants_layout,
    [JJ_MESSAGE_STREAM_ORIGINS] = &origins_layout,
    [JJ_MESSAGE_ORIGIN_QUERY] = &origin_query_layout,
    [JJ_MESSAGE_ORIGIN_REPLY] = &origin_reply_layout,
    [JJ_MESSAGE_UNANSWERED] = &unanswered_layout,
    [JJ_MESSAGE_UNANSWERED_PARTS] = &unanswered_parts_layout,
    [JJ_MESSAGE_PART_CRASHES] = &part_crashes_layout,
    [JJ_MESSAGE_PARTS_COMPLETED] = &parts_completed_layout,
    [JJ_MESSAGE_SERVER_OUTCOMES] = &outcomes_layout,
    [JJ_MESSAGE_SHARE_DEMAND] = &share_demand_layout,
    [JJ_MESSAGE_SHARE_LEVEL] = &share_level_layout,
};

static const field_t from_field = TEXT(jj_message_t, from.text);

jj_bytes_t
jj_wire_encode(const jj_message_t *message)
{
	jj_bytes_t bytes = {NULL, 0};
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	JJ_INVARIANT(message->kind > 0 && message->kind < JJ_MESSAGE_KIND_END);
	JJ_INVARIANT(body_layouts[message->kind] != NULL);
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, ENVELOPE_SIZE);
	msgpack_pack_uint64(&packer, JJ_MESSAGE_VERSION);
	msgpack_pack_uint64(&packer, message->kind);
	if (!pack_field(&packer, &from_field, (const char *)message))
		goto out;
	msgpack_pack_uint64(&packer, message->incarnation);
	msgpack_pack_uint64(&packer, message->sequence);
	if (!pack_struct(
		&packer, body_layouts[message->kind], (const char *)message))
		goto out;
	if (buffer.size > JJ_WIRE_BYTES_MAX)
		goto out;
	bytes.size = buffer.size;
	JJ_INVARIANT(msgpack_sbuffer_write(&buffer, "", 1) == 0);
	bytes.data = msgpack_sbuffer_release(&buffer);
out:
	msgpack_sbuffer_destroy(&buffer);
	return bytes;
}

jj_wire_outcome_t
jj_wire_decode(const void *data, size_t size, jj_message_t *out)
{
	const uint8_t *bytes = data;
	msgpack_unpacked unpacked;
	jj_wire_outcome_t outcome = JJ_WIRE_MALFORMED;
	size_t offset = 0;

	memset(out, 0, sizeof(*out));
	if (size > JJ_WIRE_BYTES_MAX)
		return JJ_WIRE_TOO_LARGE;
	/*
	 * All versions begin with this byte and a one-byte version number, to
	 * distinguish a VM of another version from malformed input.
	 */
	if (size < 2 || bytes[0] != ENVELOPE_BYTE || bytes[1] > 0x7f)
		return JJ_WIRE_MALFORMED;
	if (bytes[1] != JJ_MESSAGE_VERSION)
		return JJ_WIRE_OTHER_VERSION;
	if (!check_structure(bytes, size))
		return JJ_WIRE_MALFORMED;
	msgpack_unpacked_init(&unpacked);
	if (msgpack_unpack_next(&unpacked, data, size, &offset) ==
	    MSGPACK_UNPACK_SUCCESS)
		outcome = unpack_message(&unpacked.data, out);
	msgpack_unpacked_destroy(&unpacked);
	if (outcome != JJ_WIRE_OK) {
		jj_message_clear(out);
		memset(out, 0, sizeof(*out));
	}
	return outcome;
}

const char *
jj_wire_outcome_name(jj_wire_outcome_t outcome)
{
	switch (outcome) {
	case JJ_WIRE_OK:
		return "ok";
	case JJ_WIRE_MALFORMED:
		return "malformed";
	case JJ_WIRE_OTHER_VERSION:
		return "other_version";
	case JJ_WIRE_OTHER_KIND:
		return "other_kind";
	case JJ_WIRE_TOO_LARGE:
		return "too_large";
	}
	return "unknown";
}

/* Encoding. Each function returns false if a bound of message.h is exceeded. */

static bool
pack_struct(msgpack_packer *packer, const layout_t *layout, const char *owner)
{
	size_t i;

	msgpack_pack_array(packer, layout->field_count);
	for (i = 0; i < layout->field_count; i++) {
		if (!pack_field(packer, &layout->fields[i], owner))
			return false;
	}
	return true;
}

static bool
pack_field(msgpack_packer *packer, const field_t *field, const char *owner)
{
	const void *member = owner + field->offset;
	const jj_hash_t *hash = member;

	switch (field->type) {
	case FIELD_U32:
		return msgpack_pack_uint32(packer, *(const uint32_t *)member) ==
		    0;
	case FIELD_U64:
		return msgpack_pack_uint64(packer, *(const uint64_t *)member) ==
		    0;
	case FIELD_I32:
		return msgpack_pack_int32(packer, *(const int32_t *)member) ==
		    0;
	case FIELD_I64:
		return msgpack_pack_int64(packer, *(const int64_t *)member) ==
		    0;
	case FIELD_BOOL:
		return (*(const bool *)member
			       ? msgpack_pack_true(packer)
			       : msgpack_pack_false(packer)) == 0;
	case FIELD_ENUM:
		return *(const uint32_t *)member <= field->limit &&
		    msgpack_pack_uint32(packer, *(const uint32_t *)member) == 0;
	case FIELD_TEXT:
		return pack_text(packer, field, member);
	case FIELD_BYTES:
		return pack_bytes(packer, field, member);
	case FIELD_HASH:
		msgpack_pack_array(packer, 2);
		msgpack_pack_uint64(packer, hash->low);
		return msgpack_pack_uint64(packer, hash->high) == 0;
	case FIELD_STRUCT:
		return pack_struct(packer, field->layout, member);
	case FIELD_ARRAY:
	case FIELD_LIST:
		return pack_array(packer, field, owner);
	}
	return false;
}

static bool
pack_text(msgpack_packer *packer, const field_t *field, const char *text)
{
	size_t length = strnlen(text, field->limit);

	return length < field->limit &&
	    msgpack_pack_str_with_body(packer, text, length) == 0;
}

static bool
pack_bytes(
    msgpack_packer *packer, const field_t *field, const jj_bytes_t *bytes)
{
	return bytes->size <= field->limit &&
	    msgpack_pack_bin_with_body(
		packer, bytes->size > 0 ? bytes->data : "", bytes->size) == 0;
}

static bool
pack_array(msgpack_packer *packer, const field_t *field, const char *owner)
{
	const char *element = owner + field->offset;
	uint32_t count, i;

	memcpy(&count, owner + field->count_offset, sizeof(count));
	if (count > field->limit)
		return false;
	if (field->type == FIELD_LIST)
		memcpy(&element, owner + field->offset, sizeof(element));
	msgpack_pack_array(packer, count);
	for (i = 0; i < count; i++) {
		if (!pack_struct(packer, field->layout, element))
			return false;
		element += field->layout->size;
	}
	return true;
}

/* Decoding. */

/*
 * True if the bytes are one complete value of the types in use. Guards against
 * a short message that declares an array of billions: msgpack-c allocates all
 * elements before it finds them missing, and the VM would run out of memory.
 * Every element takes at least one byte, so a count larger than the rest of the
 * input is rejected; this bounds msgpack-c's allocations to a fixed multiple of
 * the input.
 */
static bool
check_structure(const uint8_t *bytes, size_t size)
{
	size_t pending = 1, at = 0, length, children;

	while (pending > 0) {
		if (!read_value_header(
			bytes + at, size - at, &length, &children))
			return false;
		at += length;
		pending += children;
		pending--;
		if (pending > size - at)
			return false;
	}
	return at == size;
}

/*
 * Parses the header of a value: its length without its elements, and the number
 * of elements. False for types that no message uses, and if the value is longer
 * than the input.
 */
static bool
read_value_header(
    const uint8_t *bytes, size_t size, size_t *length, size_t *children)
{
	uint8_t head = size > 0 ? bytes[0] : 0;
	size_t width;

	*length = 1;
	*children = 0;
	if (size == 0)
		return false;
	if (head < 0x80 || head >= 0xe0 || head == 0xc2 || head == 0xc3)
		return true;
	if (head >= 0x90 && head <= 0x9f) {
		*children = head & 0x0f;
		return true;
	}
	if (head >= 0xa0 && head <= 0xbf) {
		*length += head & 0x1f;
	} else if (head >= 0xcc && head <= 0xd3) {
		*length += (size_t)1 << ((head - 0xcc) % 4);
	} else if (head >= 0xc4 && head <= 0xc6) {
		width = (size_t)1 << (head - 0xc4);
		if (size <= width)
			return false;
		*length += width + read_length(bytes + 1, width);
	} else if (head >= 0xd9 && head <= 0xdb) {
		width = (size_t)1 << (head - 0xd9);
		if (size <= width)
			return false;
		*length += width + read_length(bytes + 1, width);
	} else if (head == 0xdc || head == 0xdd) {
		width = head == 0xdc ? 2 : 4;
		if (size <= width)
			return false;
		*length += width;
		*children = read_length(bytes + 1, width);
	} else {
		return false;
	}
	return *length <= size;
}

/* Reads a big-endian number of `width` bytes. */
static size_t
read_length(const uint8_t *bytes, size_t width)
{
	size_t length = 0, i;

	for (i = 0; i < width; i++)
		length = length << 8 | bytes[i];
	return length;
}

static jj_wire_outcome_t
unpack_message(const msgpack_object *object, jj_message_t *out)
{
	const msgpack_object *parts = object->via.array.ptr;
	uint64_t kind;

	if (!unpack_unsigned(&parts[1], UINT64_MAX, &kind) || kind == 0)
		return JJ_WIRE_MALFORMED;
	if (!unpack_field(&parts[2], &from_field, (char *)out))
		return JJ_WIRE_MALFORMED;
	if (!unpack_unsigned(&parts[3], UINT64_MAX, &out->incarnation))
		return JJ_WIRE_MALFORMED;
	if (!unpack_unsigned(&parts[4], UINT64_MAX, &out->sequence))
		return JJ_WIRE_MALFORMED;
	if (jj_name_is_empty(&out->from) || out->incarnation == 0)
		return JJ_WIRE_MALFORMED;
	if (kind >= JJ_MESSAGE_KIND_END || body_layouts[kind] == NULL)
		return JJ_WIRE_OTHER_KIND;
	out->kind = (jj_message_kind_t)kind;
	return unpack_struct(&parts[5], body_layouts[kind], (char *)out)
	    ? JJ_WIRE_OK
	    : JJ_WIRE_MALFORMED;
}

static bool
unpack_struct(const msgpack_object *object, const layout_t *layout, char *owner)
{
	size_t i;

	/* A newer build may append fields, which are ignored. */
	if (object->type != MSGPACK_OBJECT_ARRAY ||
	    object->via.array.size < layout->field_count)
		return false;
	for (i = 0; i < layout->field_count; i++) {
		if (!unpack_field(
			&object->via.array.ptr[i], &layout->fields[i], owner))
			return false;
	}
	return true;
}

static bool
unpack_field(const msgpack_object *object, const field_t *field, char *owner)
{
	void *member = owner + field->offset;

	switch (field->type) {
	case FIELD_U32:
	case FIELD_U64:
	case FIELD_I32:
	case FIELD_I64:
	case FIELD_ENUM:
		return unpack_number(object, field, member);
	case FIELD_BOOL:
		if (object->type != MSGPACK_OBJECT_BOOLEAN)
			return false;
		*(bool *)member = object->via.boolean;
		return true;
	case FIELD_TEXT:
		return unpack_text(object, field, member);
	case FIELD_BYTES:
		return unpack_bytes(object, field, member);
	case FIELD_HASH:
		return unpack_hash(object, member);
	case FIELD_STRUCT:
		return unpack_struct(object, field->layout, member);
	case FIELD_ARRAY:
	case FIELD_LIST:
		return unpack_array(object, field, owner);
	}
	return false;
}

static bool
unpack_unsigned(const msgpack_object *object, uint64_t max, uint64_t *value)
{
	if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    object->via.u64 > max)
		return false;
	*value = object->via.u64;
	return true;
}

static bool
unpack_signed(
    const msgpack_object *object, int64_t min, int64_t max, int64_t *value)
{
	uint64_t positive;

	if (object->type == MSGPACK_OBJECT_NEGATIVE_INTEGER) {
		*value = object->via.i64;
		return *value >= min;
	}
	if (!unpack_unsigned(object, (uint64_t)max, &positive))
		return false;
	*value = (int64_t)positive;
	return true;
}

static bool
unpack_number(const msgpack_object *object, const field_t *field, char *member)
{
	uint64_t number;
	int64_t signed_number;

	switch (field->type) {
	case FIELD_U64:
		return unpack_unsigned(
		    object, UINT64_MAX, (uint64_t *)(void *)member);
	case FIELD_I64:
		return unpack_signed(
		    object, INT64_MIN, INT64_MAX, (int64_t *)(void *)member);
	case FIELD_I32:
		if (!unpack_signed(
			object, INT32_MIN, INT32_MAX, &signed_number))
			return false;
		*(int32_t *)(void *)member = (int32_t)signed_number;
		return true;
	default:
		if (!unpack_unsigned(object,
			field->type == FIELD_ENUM ? field->limit : UINT32_MAX,
			&number))
			return false;
		*(uint32_t *)(void *)member = (uint32_t)number;
		return true;
	}
}

static bool
unpack_text(const msgpack_object *object, const field_t *field, char *member)
{
	const msgpack_object_str *text = &object->via.str;

	if (object->type != MSGPACK_OBJECT_STR || text->size >= field->limit)
		return false;
	/* With an embedded NUL, two different names would compare equal. */
	if (text->size > 0 && memchr(text->ptr, '\0', text->size) != NULL)
		return false;
	if (text->size > 0)
		memcpy(member, text->ptr, text->size);
	member[text->size] = '\0';
	return true;
}

static bool
unpack_bytes(
    const msgpack_object *object, const field_t *field, jj_bytes_t *bytes)
{
	if (object->type != MSGPACK_OBJECT_BIN ||
	    object->via.bin.size > field->limit)
		return false;
	*bytes = jj_bytes_copy(object->via.bin.ptr, object->via.bin.size);
	return true;
}

static bool
unpack_hash(const msgpack_object *object, jj_hash_t *hash)
{
	const msgpack_object *halves = object->via.array.ptr;

	return object->type == MSGPACK_OBJECT_ARRAY &&
	    object->via.array.size == 2 &&
	    unpack_unsigned(&halves[0], UINT64_MAX, &hash->low) &&
	    unpack_unsigned(&halves[1], UINT64_MAX, &hash->high);
}

static bool
unpack_array(const msgpack_object *object, const field_t *field, char *owner)
{
	char *element = owner + field->offset;
	uint32_t count, i;

	if (object->type != MSGPACK_OBJECT_ARRAY ||
	    object->via.array.size > field->limit)
		return false;
	count = object->via.array.size;
	if (field->type == FIELD_LIST && count > 0) {
		element = jj_alloc(count * field->layout->size);
		memcpy(owner + field->offset, &element, sizeof(element));
	}
	/* Set before decoding: on an error all elements are freed. */
	memcpy(owner + field->count_offset, &count, sizeof(count));
	for (i = 0; i < count; i++) {
		if (!unpack_struct(
			&object->via.array.ptr[i], field->layout, element))
			return false;
		element += field->layout->size;
	}
	return true;
}
