/**
 * @file dispatch_headroom.h
 * @brief How many requests a backend server can run before online requests slow
 * down.
 *
 * A server's load report lags, so it cannot show whether one more batch item
 * hurts. The token gap, the time between two tokens of this VM's streams, can:
 * it is the engine's step time, measured without lag. The limit applies to all
 * requests at the server, not to batch alone: when an online request arrives,
 * batch has to release one slot at once, without a new measurement.
 */
#ifndef JJ_CORE_DISPATCH_HEADROOM_H
#define JJ_CORE_DISPATCH_HEADROOM_H

#include "core/types.h"

/** Token gaps kept for one measurement. */
#define JJ_HEADROOM_SAMPLES 128
/** Consecutive reports with waiting requests that prove a queue. */
#define JJ_QUEUE_REPORTS 3

/** Reason for which a limit was last lowered. */
typedef enum {
	JJ_BOUND_NONE,
	JJ_BOUND_REPORT, /**< reports showed requests waiting at the server */
	JJ_BOUND_GAPS, /**< token gaps exceeded their bound */
} jj_bound_t;

typedef struct {
	double limit; /**< requests with which the gap stays within its bound */
	jj_bound_t bound;
	uint32_t bound_running; /**< requests that ran when the limit was
				     lowered */
	double base_gap_us; /**< gap of a lightly loaded server; 0: none */
	double gap_us; /**< latest measurement; 0: none */
	bool starting; /**< the limit was never lowered: it grows fast */
	uint32_t sample_count;
	uint32_t samples[JJ_HEADROOM_SAMPLES]; /**< microseconds */
	jj_ms_t next_adjust_ms; /**< time of the next adjustment */
	jj_ms_t next_batch_ms; /**< no batch item starts before this time */
	jj_ms_t crowded_since_ms; /**< gaps are longer than batch can explain
				       since; 0: they are not */
	uint32_t queue_reports; /**< consecutive reports that show waiting
				     requests */
	jj_ms_t queue_report_ms; /**< snapshot time of the last of these
				      reports */
	/** Requests that run, in the last of these reports. */
	uint32_t queue_running[JJ_QUEUE_REPORTS];
	double prefill_ms; /**< measured prefill time of a batch item */
} jj_headroom_t;

/** The requests that a server runs, as far as this VM knows. */
typedef struct {
	uint32_t online;
	uint32_t batch;
	uint32_t slots; /**< maximum requests the server runs at once; 0: not
			     known */
	double trade; /**< weight of batch throughput (1) against online
			   latency (0) */
	uint32_t batch_max;
} jj_headroom_use_t;

/** Resets the headroom to an initial limit of @p start requests. */
void jj_headroom_reset(jj_headroom_t *headroom, uint32_t start);
/** Records the time between two tokens of a stream, microseconds. */
void jj_headroom_add_gap(jj_headroom_t *headroom, uint32_t gap_us);
/** Records the time to the first token of a batch item, milliseconds. */
void jj_headroom_add_first_token(jj_headroom_t *headroom, jj_ms_t first_ms);
/** Adjusts the limit when an adjustment is due. */
void jj_headroom_adjust(
    jj_headroom_t *headroom, const jj_headroom_use_t *use, jj_ms_t now);
/** Records a server's load report, a snapshot taken at @p taken_ms. */
void jj_headroom_note_report(jj_headroom_t *headroom, uint32_t running,
    uint32_t waiting, jj_ms_t taken_ms);
/** How many more batch items may start now. */
uint32_t jj_headroom_free_slots(
    const jj_headroom_t *headroom, const jj_headroom_use_t *use, jj_ms_t now);
/** How many batch items must be cancelled now. */
uint32_t
jj_headroom_excess(const jj_headroom_t *headroom, const jj_headroom_use_t *use);
/** Records that a batch item starts, and delays the next one. */
void jj_headroom_note_start(
    jj_headroom_t *headroom, const jj_headroom_use_t *use, jj_ms_t now);

#endif
