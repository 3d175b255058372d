/**
 * @file dispatch_server.h
 * @brief This VM's view of each backend server, and the choice among them.
 *
 * A view holds what this VM runs at the server, what the neighbours reported to
 * run there, measurements from answers, and which prompt prefixes were sent
 * there. Hints (prefixes, load reports) only order servers that accept
 * requests; they never make a server eligible.
 */
#ifndef JJ_CORE_DISPATCH_SERVER_H
#define JJ_CORE_DISPATCH_SERVER_H

#include <sys/queue.h>

#include "core/dispatch.h"
#include "core/dispatch_headroom.h"

/** Size of the table of prefix hashes per server, a power of two. */
#define JJ_PREFIX_TABLE_SIZE 4096
/** Number of requests with a broken connection kept for a crash report. */
#define JJ_BROKEN_MAX JJ_MESSAGE_SUSPECTS_MAX

/**
 * Load of one neighbour at a server. Kept small, as each VM stores one for each
 * neighbour and server.
 */
typedef struct {
	jj_name_t vm;
	uint32_t online;
	uint32_t batch;
	uint16_t suspects; /**< as reported, at most UINT16_MAX */
	bool live;
} jj_neighbour_load_t;

/** A request whose connection broke, for a crash report. */
typedef struct {
	uint64_t fingerprint;
	jj_ms_t ms; /**< time of the break */
} jj_broken_t;

struct jj_service_queue;

typedef struct jj_server_view {
	TAILQ_ENTRY(jj_server_view) link;
	LIST_ENTRY(jj_server_view) hash_link;
	struct jj_service_queue *owner; /**< service whose list holds it */
	jj_name_t name;
	jj_name_t service;
	uint64_t hash; /**< hash of the name; varies equal scores */
	bool local; /**< in this VM's failure domain */
	bool listed; /**< the fleet has the server */
	jj_name_t steward_name; /**< its steward: starts batch there */
	bool steward; /**< this VM is its steward */
	bool up; /**< accepted new requests at the last refresh */
	uint32_t online; /**< of this VM, in flight */
	uint32_t batch; /**< of this VM, in flight */
	uint32_t suspects; /**< of this VM, in flight */
	uint32_t others_online; /**< of live neighbours, as last reported */
	uint32_t others_batch;
	uint32_t others_suspects;
	uint32_t steward_reported_online; /**< `online` as last reported to
					       the steward */
	uint32_t reported_online; /**< counts as last reported to all
				       neighbours */
	uint32_t reported_batch;
	uint32_t reported_suspects;
	size_t neighbour_count;
	jj_neighbour_load_t *neighbours;
	double failures; /**< failure rate of recent attempts, 0 to 1 */
	jj_ms_t cooldown_until_ms; /**< cool-down: no new requests before
					this time */
	jj_headroom_t headroom;
	uint32_t logged_limit; /**< integer part of the limit, as last logged */
	jj_ms_t limit_logged_ms; /**< time of that log entry */
	uint64_t *prefixes; /**< indexed by hash; NULL until first used */
	jj_broken_t *broken; /**< ring of JJ_BROKEN_MAX entries; NULL until
				  first used */
	uint32_t broken_count;
	bool probe_awaited; /**< a request waits for the result of a probe */
} jj_server_view_t;

typedef TAILQ_HEAD(jj_server_views, jj_server_view) jj_server_views_t;

/** Requirements and context for the choice of a server. */
typedef struct {
	const jj_request_t *request;
	bool suspect; /**< must not share a server with another suspect */
	uint32_t round; /**< suspects only: number of rounds that it has
			     waited */
	const jj_name_t *self; /**< suspects only: name of this VM */
	const jj_member_info_t *vms; /**< suspects only: live VMs of the
					  domain */
	size_t vm_count;
	uint32_t online_max; /**< maximum online requests per server */
	uint32_t online_share; /**< this VM's share of them, whatever others
				    run */
	uint64_t salt; /**< differs by request; varies equal scores */
	const jj_name_t *avoid; /**< server of the last failed attempt, used
				     as a last resort */
} jj_server_need_t;

jj_server_view_t *jj_server_view_create(const jj_server_t *server);
void jj_server_view_destroy(jj_server_view_t *view);
/** Stores the load that a neighbour reported. */
void jj_server_view_take_load(
    jj_server_view_t *view, const jj_name_t *from, const jj_load_t *load);
/**
 * Forgets neighbours that are not members any more and sums the loads of those
 * that are live.
 */
void jj_server_view_refresh(jj_server_view_t *view, const jj_member_t *member);
/** Number of requests known to be at the server. */
uint32_t jj_server_view_running(const jj_server_view_t *view);
/** Records whether an attempt failed. */
void jj_server_view_note_outcome(jj_server_view_t *view, bool failed);
/** Records that these prefix blocks were sent to the server. */
void
jj_server_view_add_prefix(jj_server_view_t *view, const jj_request_t *request);
/** Records a cache event of the server; only a hint. */
void
jj_server_view_note_prefix(jj_server_view_t *view, uint64_t prefix, bool added);
/** Number of leading prefix blocks that are probably cached at the server. */
uint32_t
jj_server_view_match(const jj_server_view_t *view, const jj_request_t *request);
/** Records a request whose connection to the server broke. */
void jj_server_view_note_broken(
    jj_server_view_t *view, uint64_t fingerprint, jj_ms_t now);

/** True when new requests may be sent to the server. */
bool jj_server_view_is_up(const jj_server_view_t *view, jj_ms_t now);
/**
 * The best server for an online request, or NULL when all are full. In @p views
 * the servers of this domain must come first.
 */
jj_server_view_t *jj_server_choose_online(
    const jj_server_views_t *views, const jj_server_need_t *need, jj_ms_t now);
/**
 * The best server for a batch item, among those that this VM is steward of and
 * that have capacity for batch, or NULL.
 */
jj_server_view_t *jj_server_choose_batch(const jj_server_views_t *views,
    const jj_server_need_t *need, const jj_headroom_use_t *service,
    jj_ms_t now);
/**
 * The headroom input for a server; @p service holds the part common to all
 * servers of the service.
 */
jj_headroom_use_t jj_server_view_use(
    const jj_server_view_t *view, const jj_headroom_use_t *service);

#endif
