/**
 * @file dispatch_server.h
 * @brief One VM's view of each backend server, and the choice among them.
 *
 * A view holds what this VM runs at the server, what the neighbours said
 * they run there, what the answers showed, and which prompt prefixes were
 * sent there. Hints (prefix, load report) only order servers that may take
 * work; they never make one eligible.
 */
#ifndef JJ_CORE_DISPATCH_SERVER_H
#define JJ_CORE_DISPATCH_SERVER_H

#include <sys/queue.h>

#include "core/dispatch.h"
#include "core/dispatch_headroom.h"

/** Prefix hashes remembered of one server, a power of two. */
#define JJ_PREFIX_TABLE_SIZE 4096
/** Requests remembered whose connection broke, for a crash report. */
#define JJ_BROKEN_MAX JJ_MESSAGE_SUSPECTS_MAX

/** What one neighbour runs at a server; kept small, as each VM keeps one for
 * each neighbour and server. */
typedef struct {
	jj_name_t vm;
	uint32_t online;
	uint32_t batch;
	uint16_t suspects; /**< as told, at most UINT16_MAX */
	bool live;
} jj_neighbour_load_t;

/** A request whose connection broke, for a crash report. */
typedef struct {
	uint64_t fingerprint;
	jj_ms_t ms; /**< when */
} jj_broken_t;

struct jj_service_queue;

typedef struct jj_server_view {
	TAILQ_ENTRY(jj_server_view) link;
	LIST_ENTRY(jj_server_view) hash_link;
	struct jj_service_queue *owner; /**< whose list it is in */
	jj_name_t name;
	jj_name_t service;
	uint64_t hash; /**< of the name, spreads equal scores */
	bool local; /**< in this VM's failure domain */
	bool listed; /**< still in the fleet */
	jj_name_t steward_name; /**< the VM that decides on batch there */
	bool steward; /**< this VM decides on batch there */
	bool up; /**< took new work at the last look */
	uint32_t online; /**< of this VM, in flight */
	uint32_t batch; /**< of this VM, in flight */
	uint32_t suspects; /**< of this VM, in flight */
	uint32_t others_online; /**< of live neighbours, as last told */
	uint32_t others_batch;
	uint32_t others_suspects;
	uint32_t steward_online; /**< as its steward knows it */
	uint32_t told_online; /**< as the neighbours know it */
	uint32_t told_batch;
	uint32_t told_suspects;
	size_t neighbour_count;
	jj_neighbour_load_t *neighbours;
	double failures; /**< recent share of failed attempts */
	jj_ms_t rest_until_ms; /**< it asked to be left alone until then */
	jj_headroom_t headroom;
	uint32_t limit_told; /**< the whole limit as last logged */
	jj_ms_t limit_told_ms; /**< when */
	uint64_t *prefixes; /**< table by hash; NULL until first used */
	jj_broken_t *broken; /**< JJ_BROKEN_MAX; NULL until first used */
	uint32_t broken_count;
	bool awaited; /**< a request waits for a look at it */
} jj_server_view_t;

typedef TAILQ_HEAD(jj_server_views, jj_server_view) jj_server_views_t;

/** What a request needs of a server. */
typedef struct {
	const jj_request_t *request;
	bool suspect; /**< may share a server with no other suspect */
	uint32_t turn; /**< of a suspect: how many of them it has waited */
	const jj_name_t *self; /**< of a suspect: this VM */
	const jj_member_info_t *vms; /**< of a suspect: the domain's live VMs */
	size_t vm_count;
	uint32_t online_most; /**< online requests a server runs at most */
	uint32_t
	    online_share; /**< this VM's part of them, whatever others run */
	uint64_t salt; /**< differs by request: spreads equal scores */
	const jj_name_t *avoid; /**< last resort: it failed there before */
} jj_server_need_t;

jj_server_view_t *jj_server_view_create(const jj_server_t *server);
void jj_server_view_destroy(jj_server_view_t *view);
/** Takes what a neighbour runs there. */
void jj_server_view_take_load(
    jj_server_view_t *view, const jj_name_t *from, const jj_load_t *load);
/** Sums the loads of neighbours that are live. */
void jj_server_view_refresh(jj_server_view_t *view, const jj_member_t *member);
/** All requests known to be at the server. */
uint32_t jj_server_view_running(const jj_server_view_t *view);
/** Notes how an attempt ended. */
void jj_server_view_note_outcome(jj_server_view_t *view, bool failed);
/** Remembers that these prefix blocks were sent there. */
void
jj_server_view_add_prefix(jj_server_view_t *view, const jj_request_t *request);
/** A cache event: a hint. */
void
jj_server_view_note_prefix(jj_server_view_t *view, uint64_t prefix, bool added);
/** How many leading prefix blocks are probably cached there. */
uint32_t
jj_server_view_match(const jj_server_view_t *view, const jj_request_t *request);
/** Remembers a request whose connection broke there. */
void jj_server_view_note_broken(
    jj_server_view_t *view, uint64_t fingerprint, jj_ms_t now);

/** True when new work may go there. */
bool jj_server_view_is_up(const jj_server_view_t *view, jj_ms_t now);
/**
 * The best server for an online request, or NULL when all are full; of the
 * views those of the own domain come first.
 */
jj_server_view_t *jj_server_choose_online(
    const jj_server_views_t *views, const jj_server_need_t *need, jj_ms_t now);
/** The best stewarded server with batch room, or NULL. */
jj_server_view_t *jj_server_choose_batch(const jj_server_views_t *views,
    const jj_server_need_t *need, const jj_headroom_use_t *service,
    jj_ms_t now);
/** The headroom's input, with the service's part given. */
jj_headroom_use_t jj_server_view_use(
    const jj_server_view_t *view, const jj_headroom_use_t *service);

#endif
