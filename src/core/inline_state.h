/**
 * @file inline_state.h
 * @brief Shared declarations of the inline jobs' sources; private to them.
 */
#ifndef JJ_CORE_INLINE_STATE_H
#define JJ_CORE_INLINE_STATE_H

#include <sys/queue.h>

#include "core/inline.h"
#include "core/mirror.h"

#define JJ_INLINE_JOBS "batch-jobs/"
#define JJ_INLINE_PARTS "batch-parts/"
#define JJ_INLINE_OPEN "batch-open/"
#define JJ_INLINE_OUT "batch-out/"

/** A platform call that is repeated until it succeeds. */
typedef struct {
	uint64_t token; /**< of the pending call, 0: none */
	jj_ms_t due_ms; /**< next attempt; JJ_MS_NEVER: none scheduled */
	uint32_t failures; /**< in a row */
} jj_inline_call_t;

/** Local copy of an open entry (batch-open/ID). */
typedef struct jj_open_entry {
	TAILQ_ENTRY(jj_open_entry) link;
	char id[JJ_INLINE_ID_MAX + 1];
	char owner[JJ_NAME_MAX + 20];
	jj_name_t route;
	uint64_t tokens;
	uint32_t total;
	bool ended;
	uint64_t version;
	bool listed; /**< present in the listing being read */
	jj_ms_t lost_ms; /**< owner lost since; JJ_MS_NEVER: owner alive */
	uint64_t token; /**< of a pending takeover, 0: none */
	jj_ms_t retry_ms; /**< no takeover attempt before this */
	jj_ms_t ownerless_ms; /**< without a live owner since; 0: has one */
	jj_ms_t reported_ms; /**< last logged by the watchdog */
} jj_open_entry_t;

TAILQ_HEAD(jj_open_list, jj_open_entry);

/** Latest report of another VM about a job that it runs. */
typedef struct jj_peer_state {
	TAILQ_ENTRY(jj_peer_state) link;
	jj_job_progress_t state;
	jj_name_t vm; /**< the VM that runs it */
	jj_ms_t reported_at_ms;
} jj_peer_state_t;

TAILQ_HEAD(jj_peer_state_list, jj_peer_state);

/** State of reading a job's text, which may be split into parts. */
typedef struct {
	char id[JJ_INLINE_ID_MAX + 1];
	jj_inline_call_t call;
	uint32_t parts; /**< 0: not split, or not known yet */
	uint32_t next_part;
	jj_bytes_t text;
} jj_inline_load_t;

typedef enum {
	JJ_LOAD_MORE,
	JJ_LOAD_DONE,
	JJ_LOAD_ABSENT,
	JJ_LOAD_MALFORMED,
} jj_inline_load_result_t;

typedef enum {
	JJ_ITEM_IDLE, /**< not started, or waiting to be retried */
	JJ_ITEM_STARTED, /**< queued for a server, or at one */
	JJ_ITEM_FINISHED, /**< has a result that is not published yet */
	JJ_ITEM_PUBLISHED,
} jj_inline_item_state_t;

/** Execution state of one item. */
typedef struct {
	jj_inline_item_state_t state;
	uint64_t request;
	uint32_t failures; /**< runs that failed at a server */
	jj_ms_t retry_at_ms;
	bool done; /**< of a finished item: it succeeded */
	jj_bytes_t text; /**< its output, until published */
} jj_inline_item_run_t;

typedef enum {
	JJ_RUN_LOADING, /**< reads the job from the platform */
	JJ_RUN_CATCHING_UP, /**< reads the published results */
	JJ_RUN_RUNNING,
	JJ_RUN_CLOSING, /**< deletes or hands over its open entry */
	/** creates its open entry again, see entry_dropped */
	JJ_RUN_REOPENING,
	JJ_RUN_CLOSED, /**< kept in memory for its readers */
} jj_inline_run_state_t;

/** A job that this VM runs. */
typedef struct jj_inline_run_job {
	TAILQ_ENTRY(jj_inline_run_job) link;
	jj_inline_run_state_t state;
	char id[JJ_INLINE_ID_MAX + 1];
	uint64_t open_version; /**< version of its open entry */
	jj_name_t route; /**< its tokens count for this route */
	uint64_t tokens; /**< of all its items */
	uint32_t total; /**< items */
	jj_inline_load_t load;
	jj_inline_job_t job;
	jj_inline_item_run_t *items; /**< one per item of the job */
	bool ended; /**< ended by its client */
	/** Planned stop: its entry is released for other VMs, not deleted. */
	bool handing_over;
	jj_ms_t due_ms;
	jj_ms_t retention_ms;
	/** Runs of an item that may fail, by the last version with its route. */
	uint32_t attempts;
	/** Job object missing since; JJ_MS_NEVER: not missing. */
	jj_ms_t absent_ms;
	/**
	 * Its open entry was deleted as the job object is missing; that object
	 * is read once more.
	 */
	bool entry_dropped;
	/** Without a route since; JJ_MS_NEVER: has one. */
	jj_ms_t no_route_ms;
	jj_ms_t closed_ms;

	jj_inline_segment_t segment; /**< last segment, with all its results */
	uint32_t segment_number;
	uint64_t segment_version; /**< 0: does not exist yet */
	uint32_t published; /**< number of published results, all segments */
	/** Results at the end of `segment` whose write is not confirmed yet. */
	uint32_t unconfirmed;
	jj_inline_call_t write; /**< pending write or read of the segment */
	jj_ms_t write_sent_ms; /**< when the pending write was sent */
	/** The segment has to be read before the next write. */
	bool reads_back;
	/** Delayed writes of the previous owner may still take effect. */
	bool needs_fence;
	/**
	 * Its open entry is gone: read the stored results before anything else.
	 */
	bool entry_missing;
	/** Next write of results; JJ_MS_NEVER: none needed. */
	jj_ms_t publish_ms;
	jj_inline_call_t close;

	uint64_t progress_mark; /**< hash of the progress, for the watchdog */
	jj_ms_t progress_ms; /**< last progress seen; 0: not checked yet */
	jj_ms_t reported_ms; /**< last logged by the watchdog */
} jj_inline_run_t;

TAILQ_HEAD(jj_inline_run_list, jj_inline_run_job);

typedef enum {
	JJ_OP_SUBMIT,
	JJ_OP_READ,
	JJ_OP_ITEM,
	JJ_OP_END,
} jj_inline_op_kind_t;

/** A pending operation of a caller. */
typedef struct jj_inline_op {
	TAILQ_ENTRY(jj_inline_op) link;
	jj_inline_op_kind_t kind;
	uint64_t operation;
	char id[JJ_INLINE_ID_MAX + 1];
	jj_ms_t started_ms;
	jj_ms_t until_ms; /**< deadline for the answer */
	bool abandoned; /**< its caller disconnected */

	/* of a submission */
	jj_inline_job_t job;
	jj_bytes_t text; /**< of the job, as stored */
	uint32_t parts;
	uint32_t parts_done;
	jj_name_t route;
	uint64_t max_waiting_tokens; /**< 0: no limit */
	bool over_memory; /**< refused as this VM keeps too many jobs */
	/** It is not decided yet whether it fits: its tokens don't count. */
	bool undecided;
	jj_ms_t run_due_ms;
	jj_ms_t retention_ms;
	jj_inline_call_t create_job;
	jj_inline_call_t create_open;
	bool job_stored;
	bool job_is_new;
	uint64_t job_version; /**< set when job_is_new */
	bool open_stored;
	bool owns_entry;
	uint64_t open_version;
	/** A write of the job may have taken effect or may do so later. */
	bool may_be_stored;

	/* of a read */
	uint32_t after;
	uint32_t segment_number;
	uint32_t total; /**< 0: not known yet */
	jj_ms_t query_ms; /**< time to query the platform */
	jj_inline_call_t get;
	/** Wait for the peer's answer until then; 0: not queried yet. */
	jj_ms_t peer_ms;
	jj_ms_t next_peer_ms; /**< it is not queried before */
	bool peer_failed; /**< it could not answer: query the platform */
	bool checks_job; /**< no result found: check that the job exists */

	/* of an item's body */
	char *item;
	jj_inline_load_t load;

	/* of an end */
	jj_inline_call_t end;
	bool reads_entry; /**< read the entry before updating it */
	char owner[JJ_NAME_MAX + 20];
} jj_inline_op_t;

TAILQ_HEAD(jj_inline_op_list, jj_inline_op);

struct jj_inline {
	jj_inline_settings_t settings;
	jj_inline_port_t port;
	jj_mirror_t mirror; /**< copy of all open entries */
	struct jj_open_list open;
	struct jj_peer_state_list peer_states;
	struct jj_inline_run_list runs;
	struct jj_inline_op_list ops;
	uint64_t last_token;
	bool leaving;
	/** interval between the reports of other VMs about their jobs */
	jj_ms_t report_interval_ms;
	/** two VMs notice each other's silence at most so long apart */
	jj_ms_t silence_skew_ms;
	jj_ms_t now_ms; /**< time of the current step, or the last one */
	/** Heartbeats of some VM were missing then: see inline_ownership.c. */
	jj_ms_t heartbeat_missing_ms;
	/** Another VM wrote to a job of this VM then. */
	jj_ms_t foreign_write_ms;
	jj_ms_t checked_ms; /**< the list was checked as of this time */
	jj_inline_call_t check;
	jj_ms_t check_ms; /**< when the check was sent */
	jj_ms_t next_scan_ms; /**< next scan for entries whose owner is lost */
	uint32_t unreadable; /**< malformed entries received, not logged yet */
	char unreadable_id[JJ_INLINE_ID_MAX + 1]; /**< id of the last one */
	jj_inline_counts_t counts;
	jj_inline_health_t health;
	jj_ms_t next_report_ms; /**< next run of the watchdog */
};

/* Calls (inline_calls.c). */
/** Adds the action of a call, with a new token. */
jj_platform_call_t *jj_inline_start_call(jj_inline_t *jobs,
    jj_inline_call_t *call, jj_platform_op_t op, jj_actions_t *out);
/** Schedules the call for now. */
void jj_inline_schedule_call(jj_inline_call_t *call, jj_ms_t now);
/** The call failed: schedules a retry with exponential backoff. */
void jj_inline_back_off(
    const jj_inline_t *jobs, jj_inline_call_t *call, jj_ms_t now);
/** The call succeeded, or is not needed any more. */
void jj_inline_end_call(jj_inline_call_t *call);
bool jj_inline_is_due(const jj_inline_call_t *call, jj_ms_t now);
/** Sends the next read of the load when it is due. */
void jj_inline_step_load(
    jj_inline_t *jobs, jj_inline_load_t *load, jj_ms_t now, jj_actions_t *out);
jj_inline_load_result_t jj_inline_take_load(jj_inline_t *jobs,
    jj_inline_load_t *load, const jj_platform_result_t *result, jj_ms_t now);
void jj_inline_clear_load(jj_inline_load_t *load);
/** True when a failed call is known to have had no effect. */
bool jj_inline_had_no_effect(jj_platform_outcome_t outcome);

/* Reads at the VM that runs the job (inline_peer.c). */
/** Queries that VM once for the results; true while its answer is awaited. */
bool jj_inline_query_peer(
    jj_inline_t *jobs, jj_inline_op_t *op, jj_ms_t now, jj_actions_t *out);
/** The same for the body of an item. */
bool jj_inline_query_peer_item(
    jj_inline_t *jobs, jj_inline_op_t *op, jj_ms_t now, jj_actions_t *out);
/**
 * Queries that VM again and again until there are results or the reader's wait
 * is over. False when it is not known, not live or did not answer.
 */
bool jj_inline_poll_peer(
    jj_inline_t *jobs, jj_inline_op_t *op, jj_ms_t now, jj_actions_t *out);

/* Callers' operations (inline_op.c). */
/**
 * The page from @p after on of a run whose state is known to be current; empty
 * when it is not, when that position is not published, or when the page is
 * larger than @p max_bytes.
 */
jj_bytes_t jj_inline_page_of_run(const jj_inline_t *jobs,
    const jj_inline_run_t *run, uint32_t after, size_t max_bytes);
/** True when the run is known to have no results from @p after on yet. */
bool jj_inline_has_nothing_new(
    const jj_inline_t *jobs, const jj_inline_run_t *run, uint32_t after);
/** Answers a read that there are no results from its position on yet. */
void jj_inline_answer_nothing_new(
    jj_inline_t *jobs, jj_inline_op_t *op, uint32_t total, jj_actions_t *out);

/* Open entries (inline_open.c). */
void jj_inline_init_open(jj_inline_t *jobs);
void jj_inline_clear_open(jj_inline_t *jobs);
jj_open_entry_t *jj_inline_find_open(const jj_inline_t *jobs, const char *id);
/** Encodes an open entry. */
jj_bytes_t jj_inline_encode_open(const char *owner, const jj_name_t *route,
    uint64_t tokens, uint32_t total, bool ended);
/**
 * Decodes an open entry, all but id, version and links; false when malformed.
 */
bool jj_inline_decode_open(jj_open_entry_t *entry, const jj_bytes_t *value);
/** True when the stored entry that the result contains is of this process. */
bool jj_inline_is_own_entry(
    const jj_inline_t *jobs, const jj_platform_result_t *result);
/**
 * Name under which waiting tokens are counted: a route's limit holds for each
 * team by itself.
 */
jj_name_t jj_inline_account(const jj_route_t *route, const jj_name_t *team);
/** True when the open jobs have been listed, if only once. */
bool jj_inline_is_listed(const jj_inline_t *jobs);
/** Tokens waiting on an account, as far as this VM knows. */
uint64_t jj_inline_open_tokens(
    const jj_inline_t *jobs, const jj_name_t *route, jj_ms_t now);

/* Reports of other VMs about their jobs (inline_peer_states.c). */
uint64_t jj_inline_hash(const char *text);
/** The last report about a job, or NULL when there is none or it is too old. */
const jj_peer_state_t *
jj_inline_find_peer_state(const jj_inline_t *jobs, const char *id, jj_ms_t now);
/** The last report about a job, however old, or NULL when there is none. */
const jj_peer_state_t *
jj_inline_find_old_peer_state(const jj_inline_t *jobs, const char *id);
/** True when reports about a job count for the token limit of its route. */
bool
jj_inline_is_reported(const jj_inline_t *jobs, const char *id, jj_ms_t now);
/** Tokens of the route's jobs at other VMs, by reports that are still valid. */
uint64_t jj_inline_peer_tokens(
    const jj_inline_t *jobs, const jj_name_t *route, jj_ms_t now);
void jj_inline_clear_peer_states(jj_inline_t *jobs);

/** Scans the open entries, and takes over those of lost VMs. */
void jj_inline_scan_open(jj_inline_t *jobs, jj_ms_t now, jj_actions_t *out);
bool jj_inline_take_takeover(jj_inline_t *jobs,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out);

/* Verifies that jobs are still this VM's (inline_ownership.c). */
/** True when a recent check showed that this VM still owns its jobs. */
bool jj_inline_is_verified(const jj_inline_t *jobs);
/** True when this VM knows all published results of the job. */
bool jj_inline_is_current(const jj_inline_t *jobs, const jj_inline_run_t *run);
/** Another VM wrote to a job of this one: requires a new check. */
void jj_inline_require_check(jj_inline_t *jobs);
void jj_inline_step_check(jj_inline_t *jobs, jj_ms_t now, jj_actions_t *out);
bool jj_inline_take_check(jj_inline_t *jobs, const jj_platform_result_t *result,
    jj_ms_t now, jj_actions_t *out);

/* Jobs without progress (inline_watchdog.c). */
void jj_inline_step_watchdog(jj_inline_t *jobs, jj_ms_t now, jj_actions_t *out);
/** Logs when a job starts and stops waiting for a route. */
void jj_inline_note_route(jj_inline_run_t *run, const jj_route_t *route,
    jj_ms_t now, jj_actions_t *out);

/* Runs (inline_run.c, inline_publish.c). */
jj_inline_run_t *jj_inline_find_run(const jj_inline_t *jobs, const char *id);
/** Starts to run a job that this VM owns; reads its content first. */
jj_inline_run_t *
jj_inline_adopt(jj_inline_t *jobs, const jj_open_entry_t *entry, jj_ms_t now);
/** The same with the content at hand, which is moved out of @p op. */
void jj_inline_adopt_job(jj_inline_t *jobs, jj_inline_op_t *op, jj_ms_t now);
/** Drops a job that another VM owns now. */
void jj_inline_drop_run(jj_inline_t *jobs, jj_inline_run_t *run);
/** True while its open entry exists, or did, without a job object. */
bool jj_inline_is_orphan(const jj_inline_run_t *run);
/**
 * The run of a job here, or NULL; drops a closed one whose job never came, so
 * that the job may still be accepted.
 */
jj_inline_run_t *jj_inline_find_accepted(jj_inline_t *jobs, const char *id);
void jj_inline_end_run(jj_inline_run_t *run, jj_inline_t *jobs, jj_ms_t now);
/** A job's open entry was deleted. */
void jj_inline_note_missing_entry(jj_inline_t *jobs, const char *id);
/** Planned stop: publishes finished results and releases the job. */
void
jj_inline_hand_over_run(jj_inline_t *jobs, jj_inline_run_t *run, jj_ms_t now);
void jj_inline_step_run(
    jj_inline_t *jobs, jj_inline_run_t *run, jj_ms_t now, jj_actions_t *out);
bool jj_inline_take_run_result(jj_inline_t *jobs, jj_inline_run_t *run,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out);
jj_ms_t jj_inline_run_next(const jj_inline_run_t *run);
/** Schedules a write of results, which collects them for publish_ms. */
void jj_inline_schedule_publish(
    jj_inline_t *jobs, jj_inline_run_t *run, jj_ms_t now);
void jj_inline_step_publish(
    jj_inline_t *jobs, jj_inline_run_t *run, jj_ms_t now, jj_actions_t *out);
bool jj_inline_take_publish(jj_inline_t *jobs, jj_inline_run_t *run,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out);
/** Tokens of the unfinished items. */
uint64_t jj_inline_run_tokens(const jj_inline_run_t *run);
/** True when the results of all items are published. */
bool jj_inline_run_is_complete(const jj_inline_run_t *run);

/* Operations (inline_op.c, inline_submit.c). */
void jj_inline_step_op(
    jj_inline_t *jobs, jj_inline_op_t *op, jj_ms_t now, jj_actions_t *out);
bool jj_inline_take_op_result(jj_inline_t *jobs, jj_inline_op_t *op,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out);
jj_ms_t jj_inline_op_next(const jj_inline_op_t *op);
/** Answers the operation and frees it. */
void jj_inline_answer(jj_inline_t *jobs, jj_inline_op_t *op, int status,
    const jj_bytes_t *body, jj_actions_t *out);
void jj_inline_free_op(jj_inline_t *jobs, jj_inline_op_t *op);
jj_inline_op_t *jj_inline_add_op(jj_inline_t *jobs, jj_inline_op_kind_t kind,
    uint64_t operation, const char *id, jj_ms_t until_ms, jj_ms_t now);
void jj_inline_step_submit(
    jj_inline_t *jobs, jj_inline_op_t *op, jj_ms_t now, jj_actions_t *out);
bool jj_inline_take_submit(jj_inline_t *jobs, jj_inline_op_t *op,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out);
/** Answers reads that wait for results of this run. */
void jj_inline_serve_readers(
    jj_inline_t *jobs, const jj_inline_run_t *run, jj_actions_t *out);

#endif
