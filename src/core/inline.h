/**
 * @file inline.h
 * @brief Batch jobs submitted whole in one request: accept, run, read, end.
 *
 * Persistent state, as objects of the platform:
 *
 *   batch-jobs/ID      the job; created once, never changed
 *   batch-parts/ID.N   the job's text in parts, if too large for one object
 *   batch-open/ID      the open entry: names the VM that runs the job;
 *                      deleted when nothing is left to run
 *   batch-out/ID.N     segments of its results; append-only
 *
 * A job is accepted once its object and its open entry exist. The VM that
 * accepted it runs it; when that process is lost, another VM takes the entry
 * over by a conditional update. If two VMs run the same job (one was paused or
 * disconnected), work is wasted but results stay consistent: both append to one
 * list by conditional updates, so each item has one result at one position, and
 * all readers see the same.
 *
 * Pure: takes operations, results of platform calls and the time, and returns
 * actions. Each operation ends with one JJ_ACTION_JOB_ANSWER.
 */
#ifndef JJ_CORE_INLINE_H
#define JJ_CORE_INLINE_H

#include "core/action.h"
#include "core/inline_job.h"
#include "core/mirror.h"
#include "core/route.h"

/** A page of results for a reader, from position `first` on. */
typedef struct {
	uint32_t total;
	uint32_t first;
	uint32_t count;
	const jj_inline_result_t *results; /**< borrowed, not modified */
} jj_inline_page_t;

/** Callbacks that the module needs from its VM. */
typedef struct {
	void *ctx;
	/** True when the process with this writer name is alive. */
	bool (*is_live)(void *ctx, const char *writer);
	/**
	 * Number of VMs that have priority over this one to take a lost job
	 * over; counted up to @p limit.
	 */
	uint32_t (*rank)(void *ctx, const char *id, uint32_t limit);
	/**
	 * False when this VM receives no heartbeats at all: it may itself be
	 * the one that is disconnected.
	 */
	bool (*receives_any_heartbeat)(void *ctx);
	/**
	 * True while heartbeats of some VM are missing: that VM may take over
	 * jobs of this one.
	 */
	bool (*misses_any_heartbeat)(void *ctx);
	/**
	 * Time when the platform became reachable again; 0: it was never
	 * unreachable.
	 */
	jj_ms_t (*reached_ms)(void *ctx);
	/** The configured route for a job's host and path, or NULL. */
	const jj_route_t *(*find_route)(
	    void *ctx, const char *host, const char *path);
	/** Wall clock time, milliseconds since 1970. */
	int64_t (*unix_ms)(void *ctx);
	/**
	 * Queues an item for a server; its end is reported by
	 * jj_inline_end_item().
	 * @return the number of its request.
	 */
	uint64_t (*begin_item)(void *ctx, const jj_inline_job_t *job,
	    const jj_inline_item_t *item, const jj_route_t *route,
	    jj_ms_t due_ms, jj_ms_t retention_ms);
	/** Cancels an item; no end is reported for it any more. */
	void (*cancel_item)(void *ctx, uint64_t request);
	/**
	 * True while the item is being executed by a server.
	 * @param attempts set to how often it was sent to one.
	 */
	bool (*is_item_sent)(void *ctx, uint64_t request, uint32_t *attempts);
	/** Encodes a page for its reader. */
	jj_bytes_t (*write_page)(void *ctx, const jj_inline_page_t *page);
	/**
	 * Forwards the result of a poll of the open entries to VMs that do not
	 * poll.
	 */
	void (*relay)(void *ctx, uint64_t from, uint64_t to,
	    const jj_platform_item_t *items, size_t count);
	/** Notifies the VM that runs a job that its client ended it. */
	void (*notify_ended)(void *ctx, const char *writer, const char *id);
} jj_inline_port_t;

typedef struct {
	char writer[JJ_NAME_MAX + 20]; /**< name of this process, NAME/HEX16 */
	/** Results are collected for this long before they are written. */
	jj_ms_t publish_ms;
	/** Time without a heartbeat before a job is taken over. */
	jj_ms_t takeover_ms;
	jj_ms_t alone_ms; /**< the same, while this VM receives no heartbeats */
	jj_ms_t retry_ms; /**< delay after a first failed call; doubles */
	jj_ms_t retry_most_ms;
	jj_ms_t submit_ms; /**< timeout of a submission */
	jj_ms_t read_ms; /**< timeout of a read */
	/** An open entry without a job is kept for this long. */
	jj_ms_t orphan_ms;
	/** A closed job is kept in memory for its readers this long. */
	jj_ms_t keep_ms;
	/** Delay after an item's first failed run; doubles. */
	jj_ms_t item_retry_ms;
	jj_ms_t mirror_wait_ms; /**< longest wait of one watch call */
	/** Delay from changes of open entries to the next watch. */
	jj_ms_t mirror_spacing_ms;
	jj_ms_t short_wait_ms; /**< see core/mirror.h */
	jj_ms_t relay_timeout_ms;
	/** A VM's report of its jobs is valid for this long. */
	jj_ms_t state_fresh_ms;
	jj_ms_t retry_after_ms; /**< sent to refused callers */
	/** limit of the jobs that this VM keeps in memory, bytes; 0: none */
	size_t memory_bytes;
} jj_inline_settings_t;

/** How an item's run ended. */
typedef enum {
	JJ_INLINE_DONE, /**< its output is complete */
	JJ_INLINE_FAILED, /**< the server ran it and failed */
	JJ_INLINE_REFUSED, /**< it can never succeed */
} jj_inline_item_end_t;

typedef struct jj_inline jj_inline_t;

jj_inline_t *jj_inline_create(
    const jj_inline_settings_t *settings, const jj_inline_port_t *port);
void jj_inline_destroy(jj_inline_t *jobs);

/**
 * Submits a job, whose content is moved out of @p job. Answers 202 when the job
 * is stored durably, 429 when it exceeds the route's token limit, 503 when
 * nothing of it was stored, 504 when that is unknown.
 */
void
jj_inline_submit(jj_inline_t *jobs, uint64_t operation, jj_inline_job_t *job,
    const jj_route_t *route, jj_ms_t now, jj_actions_t *out);
/**
 * Reads results from position @p after on; waits up to @p wait_ms for the first
 * one. Answers 200, 404, 503.
 */
void jj_inline_read(jj_inline_t *jobs, uint64_t operation, const char *id,
    uint32_t after, jj_ms_t wait_ms, jj_ms_t now, jj_actions_t *out);
/** Reads the body of an item. Answers 200, 404, 503. */
void jj_inline_read_item(jj_inline_t *jobs, uint64_t operation, const char *id,
    const char *item, jj_ms_t now, jj_actions_t *out);
/**
 * Ends a job for its client. Answers 200 once the end is durable, or 404, 503.
 */
void jj_inline_end_job(jj_inline_t *jobs, uint64_t operation, const char *id,
    jj_ms_t now, jj_actions_t *out);
/** The caller of an operation disconnected. */
void jj_inline_abandon(jj_inline_t *jobs, uint64_t operation);
/**
 * Handles the notification that another VM ended a job that this one may run.
 */
void jj_inline_take_ended(
    jj_inline_t *jobs, const char *id, jj_ms_t now, jj_actions_t *out);

/**
 * Sets intervals that depend on the number of VMs.
 * @param report_ms interval between the reports of other VMs about their jobs.
 * @param skew_ms how much later than another VM this one may notice that they
 * are disconnected, beyond what takeover_ms covers.
 */
void
jj_inline_set_intervals(jj_inline_t *jobs, jj_ms_t report_ms, jj_ms_t skew_ms);
/** Sets whether this VM polls the open entries, and for whom. */
void jj_inline_set_duty(jj_inline_t *jobs, jj_mirror_duty_t duty, jj_ms_t now);
/** Handles a poll result of the open entries that a relay forwarded. */
void jj_inline_take_relay(jj_inline_t *jobs, uint64_t from, uint64_t to,
    const jj_platform_item_t *items, size_t count, jj_ms_t now,
    jj_actions_t *out);
/**
 * Lists the jobs that this VM runs, to report them to other VMs.
 * @return their number; only the first @p max_count are filled in.
 */
uint32_t jj_inline_list_states(
    const jj_inline_t *jobs, jj_job_progress_t *states, uint32_t max_count);
/** Handles a report of the jobs that @p vm runs, as of @p written or later. */
void jj_inline_take_states(jj_inline_t *jobs, const jj_name_t *vm,
    const jj_job_progress_t *states, uint32_t count, jj_ms_t written,
    jj_ms_t now, jj_actions_t *out);
/** Answers another VM's query for results of a job that this VM runs. */
void jj_inline_take_peer_read(
    jj_inline_t *jobs, const jj_message_t *message, jj_actions_t *out);
/** Handles the answer of the VM that runs a job. */
void jj_inline_take_peer_page(jj_inline_t *jobs, const jj_message_t *message,
    jj_ms_t now, jj_actions_t *out);

/** A run of an item ended; @p text is moved out when it is JJ_INLINE_DONE. */
void jj_inline_end_item(jj_inline_t *jobs, uint64_t request,
    jj_inline_item_end_t end, jj_bytes_t *text, jj_ms_t now, jj_actions_t *out);
/** The item of a request, or NULL when its job does not run here. */
const jj_inline_item_t *jj_inline_find_item(
    const jj_inline_t *jobs, uint64_t request, const jj_inline_job_t **job);

/** Handles the result of a platform call of owner JJ_OWNER_INLINE. */
void jj_inline_take_result(jj_inline_t *jobs,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out);
void jj_inline_tick(jj_inline_t *jobs, jj_ms_t now, jj_actions_t *out);
jj_ms_t jj_inline_next(const jj_inline_t *jobs);
/** Planned stop: publishes finished results and hands the jobs over. */
void jj_inline_leave(jj_inline_t *jobs, jj_ms_t now, jj_actions_t *out);
/** True when no job runs here and no operation is pending. */
bool jj_inline_is_idle(const jj_inline_t *jobs);

typedef struct {
	uint32_t running; /**< jobs that this VM runs */
	uint32_t open; /**< jobs open on any VM, as listed */
	uint32_t operations; /**< pending operations of callers */
	uint64_t accepted;
	uint64_t takeovers;
	uint64_t shown; /**< results published by this VM */
	uint64_t publish_conflicts;
} jj_inline_counts_t;

jj_inline_counts_t jj_inline_counts(const jj_inline_t *jobs);

/** Open jobs that make no progress; updated once a second. */
typedef struct {
	uint32_t stalled; /**< run here, no progress for some seconds */
	uint32_t ownerless; /**< open, but no live VM runs them */
} jj_inline_health_t;

jj_inline_health_t jj_inline_health(const jj_inline_t *jobs);
/** See jj_gateway_table_time(), of the open jobs. */
jj_ms_t jj_inline_table_time(const jj_inline_t *jobs);

#endif
