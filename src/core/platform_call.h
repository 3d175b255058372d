/**
 * @file platform_call.h
 * @brief Calls to the platform's object API, as the core asks for them.
 *
 * The core names the call; an adapter carries it out and brings the result
 * back as one event. No call is repeated by the adapter: whether a repeat is
 * safe is the asking module's decision.
 */
#ifndef JJ_CORE_PLATFORM_CALL_H
#define JJ_CORE_PLATFORM_CALL_H

#include "core/types.h"

/** Which module asked; its results go back to it. */
typedef enum {
	JJ_OWNER_NONE,
	JJ_OWNER_LEDGER,
	JJ_OWNER_BATCH,
	JJ_OWNER_CONFIG,
	JJ_OWNER_LEASE,
	JJ_OWNER_MEMBER,
	JJ_OWNER_INTAKE,
	JJ_OWNER_GATEWAY,
	JJ_OWNER_INLINE,
	JJ_OWNER_LENT, /**< for another VM, see core/gateway_lend.c */
} jj_owner_t;

typedef enum {
	JJ_PLATFORM_GET,
	JJ_PLATFORM_CREATE, /**< put, only when the key is absent */
	JJ_PLATFORM_UPDATE, /**< put, only on `version` */
	JJ_PLATFORM_DELETE,
	JJ_PLATFORM_LIST, /**< keys below `key`, after `after`, `limit` */
	JJ_PLATFORM_WATCH,
	JJ_PLATFORM_VMS,
	JJ_PLATFORM_SET_STATUS, /**< put the object's status */
} jj_platform_op_t;

/** One call. */
typedef struct {
	jj_owner_t owner;
	uint64_t token; /**< the owner's own number for this call */
	jj_platform_op_t op;
	char key[JJ_OBJECT_KEY_MAX + 1]; /**< or the prefix of a list, watch */
	char after[JJ_OBJECT_KEY_MAX + 1];
	uint64_t version; /**< expected version, or `since` of a watch */
	int limit; /**< most items of a list */
	bool values; /**< a list brings the values too */
	bool stale; /**< may be seconds old, where that is cheaper */
	jj_ms_t wait_ms; /**< how long a watch may wait */
	jj_bytes_t value; /**< of create and update */
} jj_platform_call_t;

typedef enum {
	JJ_PLATFORM_OK,
	JJ_PLATFORM_ABSENT, /**< 404 */
	JJ_PLATFORM_CONFLICT, /**< 412: another version, or exists already */
	JJ_PLATFORM_GAP, /**< 410: watch history lost, list again */
	JJ_PLATFORM_LIMITED, /**< 429: surely not done, see retry_after_ms */
	JJ_PLATFORM_DOWN, /**< refused: surely not done */
	JJ_PLATFORM_UNKNOWN, /**< no answer: a write may have taken effect */
} jj_platform_outcome_t;

/** One object of a list, or one event of a watch. */
typedef struct {
	char key[JJ_OBJECT_KEY_MAX + 1];
	uint64_t version;
	bool deleted;
	jj_bytes_t value; /**< where the platform tells it */
} jj_platform_item_t;

/** What came of a call. */
typedef struct {
	jj_owner_t owner;
	uint64_t token;
	jj_platform_op_t op;
	jj_platform_outcome_t outcome;
	uint64_t version; /**< object's version, or the revision of a list */
	jj_bytes_t value; /**< of a get or a conflict, or the VM list */
	jj_platform_item_t *items;
	size_t item_count;
	/** Objects that could not be read; with a name they are items too. */
	size_t unreadable;
	bool more; /**< a list was cut at its limit */
	jj_ms_t retry_after_ms;
} jj_platform_result_t;

/** The part of an object's key behind its kind: KIND/NAME; else the key. */
const char *jj_object_name(const char *key);
/** Frees what the call owns. */
void jj_platform_call_clear(jj_platform_call_t *call);
/** Frees what the result owns. */
void jj_platform_result_clear(jj_platform_result_t *result);

#endif
