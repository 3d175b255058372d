/**
 * @file platform_call.h
 * @brief Calls to the platform's object API, as requested by the core.
 *
 * The core describes the call; an adapter carries it out and returns the result
 * as one event. The adapter never retries: whether a repeat is safe is the
 * requesting module's decision.
 */
#ifndef JJ_CORE_PLATFORM_CALL_H
#define JJ_CORE_PLATFORM_CALL_H

#include "core/types.h"

/** The module that requested a call and gets its result. */
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
	JJ_OWNER_BORROWED, /**< for another VM, see core/gateway_borrow.c */
} jj_owner_t;

typedef enum {
	JJ_PLATFORM_GET,
	JJ_PLATFORM_CREATE, /**< put if the key is absent */
	JJ_PLATFORM_UPDATE, /**< put if the object has `version` */
	JJ_PLATFORM_DELETE,
	JJ_PLATFORM_LIST, /**< keys below `key`, after `after`, `limit` */
	JJ_PLATFORM_WATCH,
	JJ_PLATFORM_VMS,
	JJ_PLATFORM_SET_STATUS, /**< put the object's status */
} jj_platform_op_t;

/** Short name of a call, for logs and metrics. */
const char *jj_platform_op_name(jj_platform_op_t op);

/** One platform call. */
typedef struct {
	jj_owner_t owner;
	uint64_t token; /**< the owner's number of this call */
	jj_platform_op_t op;
	/** or the prefix of a list or watch */
	char key[JJ_OBJECT_KEY_MAX + 1];
	char after[JJ_OBJECT_KEY_MAX + 1];
	uint64_t version; /**< expected version, or `since` of a watch */
	int limit; /**< maximum items of a list */
	bool values; /**< a list returns the values too */
	/** a result some seconds old is acceptable, where it is cheaper */
	bool stale;
	jj_ms_t wait_ms; /**< how long a watch may wait */
	jj_bytes_t value; /**< of create and update */
} jj_platform_call_t;

typedef enum {
	JJ_PLATFORM_OK,
	JJ_PLATFORM_ABSENT, /**< 404 */
	JJ_PLATFORM_CONFLICT, /**< 412: another version, or exists already */
	JJ_PLATFORM_GAP, /**< 410: watch history lost, list again */
	JJ_PLATFORM_LIMITED, /**< 429: not done, see retry_after_ms */
	JJ_PLATFORM_DOWN, /**< connection refused: not done */
	JJ_PLATFORM_UNKNOWN, /**< no answer: a write may have taken effect */
} jj_platform_outcome_t;

/** One object of a list, or one event of a watch. */
typedef struct {
	char key[JJ_OBJECT_KEY_MAX + 1];
	uint64_t version;
	bool deleted;
	jj_bytes_t value; /**< when the platform returns it */
} jj_platform_item_t;

/** Result of a platform call. */
typedef struct {
	jj_owner_t owner;
	uint64_t token;
	jj_platform_op_t op;
	jj_platform_outcome_t outcome;
	uint64_t version; /**< object's version, or the revision of a list */
	jj_bytes_t value; /**< of a get or a conflict, or the VM list */
	jj_platform_item_t *items;
	size_t item_count;
	/** Objects that could not be read; those with a name are items too. */
	size_t unreadable;
	bool more; /**< the list was truncated at its limit */
	/**
	 * Key of a list's last object if its name is no valid one, cut where it
	 * is too long or holds a NUL; else "".
	 */
	char last_key[JJ_OBJECT_KEY_MAX + 1];
	jj_ms_t retry_after_ms;
} jj_platform_result_t;

/** The NAME of an object key KIND/NAME; the whole key if it has no slash. */
const char *jj_object_name(const char *key);
/** Frees the data that the call owns. */
void jj_platform_call_clear(jj_platform_call_t *call);
/** Frees the data that the result owns. */
void jj_platform_result_clear(jj_platform_result_t *result);

#endif
