/**
 * @file dispatch_queue.h
 * @brief Online requests that wait, shared out fairly among teams.
 *
 * Each service has a queue per team. Whose request goes next is decided by
 * start-time fair queueing: each team has a virtual time that rises by the
 * cost of what it sent over its weight, and the least goes first. A team
 * that floods only makes its own queue longer (story 17).
 */
#ifndef JJ_CORE_DISPATCH_QUEUE_H
#define JJ_CORE_DISPATCH_QUEUE_H

#include <sys/queue.h>

#include "core/dispatch_server.h"
#include "core/retry_budget.h"

typedef enum {
	JJ_ENTRY_IDLE, /**< in no queue and at no server */
	JJ_ENTRY_QUEUED,
	JJ_ENTRY_IN_FLIGHT,
} jj_entry_state_t;

struct jj_entry;

/** One team at one service. */
typedef struct jj_team_queue {
	TAILQ_ENTRY(jj_team_queue) link;
	jj_name_t name;
	double weight;
	uint32_t in_flight_most; /**< 0: no bound */
	uint32_t users; /**< requests of this team that have not ended */
	uint32_t in_flight;
	uint32_t queued;
	double virtual_time;
	TAILQ_HEAD(jj_entry_list, jj_entry) entries; /**< oldest first */
} jj_team_queue_t;

/** One service: its servers, its queues, what it has seen. */
typedef struct jj_service_queue {
	TAILQ_ENTRY(jj_service_queue) link;
	jj_name_t name;
	jj_service_t settings; /**< copy of the configuration in force */
	jj_server_views_t servers;
	TAILQ_HEAD(, jj_team_queue) teams;
	TAILQ_HEAD(, jj_entry) suspects; /**< wait for a server of their own */
	uint32_t queued; /**< in the teams' queues */
	uint32_t in_flight; /**< online requests at servers */
	double virtual_time;
	jj_retry_budget_t budget;
	jj_window_t finished; /**< online requests that left a server */
	jj_ms_t busy_since_ms; /**< the queue is not empty since; 0: is */
	double quick_ms; /**< a quick answer's whole time; 0: none */
	double mean_ms; /**< an answer's mean time; 0: none */
} jj_service_queue_t;

/** One request from its begin to its end. */
typedef struct jj_entry {
	TAILQ_ENTRY(jj_entry) link; /**< in the queue it waits in */
	LIST_ENTRY(jj_entry) bucket_link;
	TAILQ_ENTRY(jj_entry) all_link; /**< all requests, oldest first */
	jj_request_t request;
	jj_entry_state_t state;
	jj_service_queue_t *service;
	jj_team_queue_t *team; /**< NULL for batch */
	jj_server_view_t *server; /**< while in flight */
	jj_name_t avoid; /**< where it failed last */
	uint32_t attempt; /**< number of the newest attempt, from 1 */
	uint32_t failures; /**< attempts that failed, but for leaving servers */
	uint32_t breaks; /**< attempts whose connection broke */
	jj_ms_t hold_until_ms; /**< not sent before that */
	bool awaits_look; /**< it is held until a look shows `avoid` */
	jj_ms_t queued_ms; /**< when it was queued last */
	bool suspect; /**< may crash servers */
	bool may_have_run;
	bool relayed; /**< part of the answer is at the caller */
	uint32_t resumes; /**< attempts that went on with a stream */
	bool resuming; /**< the newest attempt is one */
	uint32_t tokens; /**< of this attempt */
	jj_ms_t sent_ms;
	jj_ms_t token_ms; /**< when the latest tokens came */
} jj_entry_t;

jj_service_queue_t *jj_service_queue_create(
    const jj_service_t *settings, double retry_share, uint32_t retry_floor);
/** Frees the service, its teams and views; no entry may be left. */
void jj_service_queue_destroy(jj_service_queue_t *service);

/** The team's queue, made when there is none. */
jj_team_queue_t *
jj_service_queue_team(jj_service_queue_t *service, const jj_team_t *team);
/** Frees the queues of teams that hold nothing and owe nothing. */
void jj_service_queue_sweep(jj_service_queue_t *service);
/** Queues a request; a retry goes to the head of its team's queue. */
void jj_service_queue_add(
    jj_service_queue_t *service, jj_entry_t *entry, bool at_head, jj_ms_t now);
/** Takes a request out of the queue it waits in. */
void jj_service_queue_remove(jj_service_queue_t *service, jj_entry_t *entry);
/** The team to be served next, or NULL when none may be. */
jj_team_queue_t *jj_service_queue_next(const jj_service_queue_t *service);
/** Accounts for a request that is sent. */
void
jj_service_queue_charge(jj_service_queue_t *service, const jj_entry_t *entry);
/** The request to give up when the queue is over its bound. */
jj_entry_t *jj_service_queue_overflow(const jj_service_queue_t *service);
/** Counts an online request that left a server. */
void jj_service_queue_note_finished(
    jj_service_queue_t *service, jj_ms_t took_ms, jj_ms_t now);
/**
 * Milliseconds until a request of a team at a place in its queue is sent,
 * from the drain rate seen; 0 when nothing waits, JJ_MS_NEVER when nothing
 * drains.
 */
jj_ms_t jj_service_queue_wait(jj_service_queue_t *service,
    const jj_team_queue_t *team, uint32_t place, jj_ms_t now);

#endif
