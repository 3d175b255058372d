/**
 * @file dispatch_queue.h
 * @brief Queued online requests, shared fairly among teams.
 *
 * Each service has one queue per team. The order is start-time fair queueing:
 * each team has a virtual time that grows by the cost of each request it sends
 * divided by the team's weight, and the team with the lowest virtual time is
 * next. A team that sends too much only makes its own queue longer (story 17).
 */
#ifndef JJ_CORE_DISPATCH_QUEUE_H
#define JJ_CORE_DISPATCH_QUEUE_H

#include <sys/queue.h>

#include "core/dispatch_server.h"
#include "core/retry_budget.h"

typedef enum {
	JJ_ENTRY_IDLE, /**< neither queued nor in flight */
	JJ_ENTRY_QUEUED,
	JJ_ENTRY_IN_FLIGHT,
} jj_entry_state_t;

struct jj_entry;

/** Queue of one team at one service. */
typedef struct jj_team_queue {
	TAILQ_ENTRY(jj_team_queue) link;
	jj_name_t name;
	double weight;
	uint32_t in_flight_max; /**< 0: no limit */
	uint32_t users; /**< requests of this team that have not ended */
	uint32_t in_flight;
	uint32_t queued;
	double virtual_time;
	TAILQ_HEAD(jj_entry_list, jj_entry) entries; /**< oldest first */
} jj_team_queue_t;

/** One service: its servers, its queues and its statistics. */
typedef struct jj_service_queue {
	TAILQ_ENTRY(jj_service_queue) link;
	jj_name_t name;
	jj_service_t settings; /**< copy of the active configuration */
	jj_server_views_t servers;
	TAILQ_HEAD(, jj_team_queue) teams;
	TAILQ_HEAD(, jj_entry)
	suspects; /**< queued until a server runs no other suspect */
	uint32_t queued; /**< requests in the teams' queues */
	uint32_t in_flight; /**< online requests in flight */
	double virtual_time;
	jj_retry_budget_t budget;
	jj_window_t finished; /**< online requests that completed */
	jj_ms_t busy_since_ms; /**< the queue is not empty since; 0: it is
				    empty */
	double fast_answer_ms; /**< duration of a fast request; 0: none seen */
	double mean_ms; /**< mean duration of a request; 0: none seen */
} jj_service_queue_t;

/** One request from its acceptance to its end. */
typedef struct jj_entry {
	TAILQ_ENTRY(jj_entry)
	link; /**< in its team's queue or the list of suspects */
	LIST_ENTRY(jj_entry) bucket_link;
	TAILQ_ENTRY(jj_entry) all_link; /**< all requests, oldest first */
	jj_request_t request;
	jj_entry_state_t state;
	jj_service_queue_t *service;
	jj_team_queue_t *team; /**< NULL for batch */
	jj_server_view_t *server; /**< while in flight */
	jj_name_t avoid; /**< server of the last failed attempt */
	uint32_t attempt; /**< number of the newest attempt, from 1 */
	uint32_t failures; /**< failed attempts, without those that a leaving
				server or a refused connection ended */
	uint32_t breaks; /**< attempts whose connection broke */
	jj_ms_t deferred_until_ms; /**< not sent before this time */
	bool awaits_probe; /**< deferred until a probe shows the state of the
				server `avoid` */
	jj_ms_t queued_ms; /**< time when it was last queued */
	bool suspect; /**< may crash servers */
	bool may_have_run;
	bool relayed; /**< the caller has received part of the answer */
	uint32_t resumes; /**< attempts that resumed a stream */
	bool resuming; /**< the newest attempt resumes a stream */
	uint32_t tokens; /**< tokens received of this attempt */
	jj_ms_t sent_ms;
	jj_ms_t token_ms; /**< arrival time of the latest tokens */
} jj_entry_t;

jj_service_queue_t *jj_service_queue_create(
    const jj_service_t *settings, double retry_share, uint32_t retry_floor);
/** Frees the service, its teams and views; it must have no requests left. */
void jj_service_queue_destroy(jj_service_queue_t *service);

/** Returns the team's queue, which is created when there is none. */
jj_team_queue_t *
jj_service_queue_team(jj_service_queue_t *service, const jj_team_t *team);
/**
 * Frees the queues of teams that have no requests and are not ahead of the
 * others in virtual time.
 */
void jj_service_queue_sweep(jj_service_queue_t *service);
/** Queues a request; a retry goes to the head of its team's queue. */
void jj_service_queue_add(
    jj_service_queue_t *service, jj_entry_t *entry, bool at_head, jj_ms_t now);
/** Removes a request from the queue it is in. */
void jj_service_queue_remove(jj_service_queue_t *service, jj_entry_t *entry);
/** The team whose request is sent next, or NULL when none may send. */
jj_team_queue_t *jj_service_queue_next(const jj_service_queue_t *service);
/** Charges a request that is sent to its team's virtual time. */
void
jj_service_queue_charge(jj_service_queue_t *service, const jj_entry_t *entry);
/** The request to abandon when the queue exceeds its limit. */
jj_entry_t *jj_service_queue_overflow(const jj_service_queue_t *service);
/** Records an online request that completed. */
void jj_service_queue_note_finished(
    jj_service_queue_t *service, jj_ms_t took_ms, jj_ms_t now);
/**
 * Expected wait in milliseconds of a request at a position of its team's queue,
 * from the measured drain rate; 0 when nothing is queued, JJ_MS_NEVER when
 * nothing drains.
 */
jj_ms_t jj_service_queue_wait(jj_service_queue_t *service,
    const jj_team_queue_t *team, uint32_t position, jj_ms_t now);

#endif
