/**
 * @file gateway.h
 * @brief Control of a VM that serves routes: takes events and the time, returns
 * actions.
 *
 * Requests are routed by host and path and sent to servers with free request
 * slots (core/slots.h). They share the servers with the items of inline jobs
 * (core/inline.h), which are preempted when an online request needs the slot.
 * Configuration, servers, VMs and open jobs come from the platform by list and
 * watch, and from neighbours while the platform is unreachable. The module uses
 * no thread, socket or clock.
 */
#ifndef JJ_CORE_GATEWAY_H
#define JJ_CORE_GATEWAY_H

#include "core/inline.h"
#include "core/member.h"
#include "core/outcome/outcome.h"
#include "core/prompt.h"
#include "core/quarantine.h"
#include "core/route.h"
#include "core/share/share.h"
#include "core/slots.h"

/** Longest id that a caller may give a request, bytes. */
#define JJ_GATEWAY_ID_MAX 63
/** Retry-After of a VM that stops, ms; short, as other VMs are not busy. */
#define JJ_GATEWAY_STOPPING_RETRY_MS 10

/**
 * Callbacks that read the stored objects of a deployment, write pages and tell
 * the time of day.
 */
typedef struct {
	void *ctx;
	/** Reads the configuration; false and @p why when it is malformed. */
	bool (*read_routes)(void *ctx, const jj_bytes_t *object,
	    jj_routes_t *routes, char *why, size_t why_size);
	/**
	 * Reads the entry of a server; false and @p why when it describes no
	 * usable server.
	 */
	bool (*read_server)(void *ctx, const char *id, const jj_bytes_t *object,
	    jj_slot_info_t *info, char *why, size_t why_size);
	jj_bytes_t (*write_page)(void *ctx, const jj_inline_page_t *page);
	int64_t (*unix_ms)(void *ctx);
	/** Reads the shared parts of an item's prompt. */
	void (*read_prompt)(
	    void *ctx, const jj_inline_item_t *item, jj_prompt_t *prompt);
	/** A new version of the routes is in force; retained if it is kept. */
	void (*on_routes)(void *ctx, const jj_routes_t *routes);
} jj_gateway_port_t;

typedef struct {
	jj_name_t name;
	jj_name_t domain; /**< failure domain */
	jj_incarnation_t incarnation;
	/**
	 * Its domain is the region: all VMs of a region exchange heartbeats.
	 */
	jj_member_settings_t member;
	jj_quarantine_settings_t quarantine;
	jj_slots_settings_t slots;
	jj_inline_settings_t jobs;
	/** prefix of the stored configurations, with '/' */
	char config_prefix[64];
	char config_key[64]; /**< key of the configuration in force */
	char servers_prefix[64];
	char retire_prefix[64]; /**< of orders to drain a VM; "": none */
	bool serves; /**< false: this VM accepts and runs no requests */
	/** scarce slots are divided fairly among teams, else routes */
	bool fair_shares;
	/** servers that fail much of what they get are avoided */
	bool avoid_failing;
	uint64_t seed;
	jj_ms_t news_ms; /**< time within which each VM has to know a change */
	/** longest time that one watch call waits; news_ms if that is less */
	jj_ms_t watch_wait_ms;
	jj_ms_t spacing_ms; /**< pause between an update and the next watch */
	jj_ms_t backoff_ms;
	jj_ms_t backoff_most_ms;
	jj_ms_t vms_poll_ms; /**< interval between reads of the list of VMs */
	/** how long a server is kept whose entry expired */
	jj_ms_t relist_grace_ms;
	/** interval between load reports to VMs of this VM's failure domain */
	jj_ms_t tell_near_ms;
	/** interval between load reports to all VMs of the region */
	jj_ms_t tell_far_ms;
	/** a repeatable stream without an event for so long is moved */
	jj_ms_t stall_ms;
	jj_ms_t connect_ms; /**< time limit for connecting to a server */
	jj_ms_t retry_after_ms; /**< retry delay sent to refused callers */
	/** servers tried before a request is refused */
	uint32_t connect_tries;
} jj_gateway_settings_t;

/** What the gateway needs to know of a caller's request. */
typedef struct {
	uint64_t request;
	char id[JJ_GATEWAY_ID_MAX + 1]; /**< id given by the caller, for logs */
	const char *host;
	const char *path;
	/**
	 * version of the configuration that decides it, also if a newer one is
	 * in force by now
	 */
	const jj_routes_t *routes;
	jj_name_t team; /**< of the caller by that version; empty: none */
	/** how long the caller waits in all, 0: not given */
	jj_ms_t budget_ms;
	uint64_t fingerprint; /**< hash of path and body */
	jj_prompt_t prompt;
	uint64_t weights; /**< version of the weights it asks for; 0: any */
	bool resumed; /**< the caller has the events of an earlier attempt */
	/** id of the attempt that brought the first of them; empty: not given
	 */
	char resumes[JJ_GATEWAY_ID_MAX + 1];
} jj_gateway_request_t;

/** Target and limits of an attempt, for the adapter that sends it. */
typedef struct {
	jj_name_t server; /**< its id */
	char address[JJ_NAME_MAX + 1];
	jj_ms_t budget_ms; /**< time left for the server to answer */
	jj_ms_t connect_ms;
	bool streams; /**< the answer is an event stream */
	bool repeatable; /**< may be resumed at another server */
	uint64_t software; /**< software version of the server */
	bool restarts; /**< the output so far is dropped */
	/**
	 * A server's error (500 and the like) ends the attempt, not the
	 * request: the answer is kept until another attempt has begun to
	 * answer, or is forwarded when the request is abandoned.
	 */
	bool retries_errors;
	const jj_inline_job_t *job; /**< job of the item, else NULL */
	const jj_inline_item_t *item;
} jj_gateway_attempt_t;

/** A group of requests that slots are shared among. */
typedef struct {
	/** of a team, else of a route; empty: all further groups together */
	jj_name_t name;
	/* At this VM, requests per second: */
	double share; /**< within the share of the group */
	double demand; /**< that arrive */
	double served; /**< that are sent to servers */
} jj_gateway_share_t;

/** What this VM observed of a server. */
typedef struct {
	jj_name_t server; /**< its id */
	double failure_rate; /**< of this VM's recent attempts, 0 to 1 */
	double answers; /**< recent attempts, weighted by age */
	bool failing; /**< fails far more often than others of its service */
	bool avoided; /**< failing, and few enough others are avoided */
	jj_ms_t since_ms; /**< how long it is failing */
} jj_gateway_outcome_t;

/** A table of this VM that follows the platform. */
typedef enum {
	JJ_TABLE_CONFIG,
	JJ_TABLE_SERVERS,
	JJ_TABLE_JOBS,
	JJ_TABLE_RETIRE_ORDERS,
	JJ_TABLE_COUNT
} jj_table_t;

typedef struct jj_gateway jj_gateway_t;

jj_gateway_t *jj_gateway_create(
    const jj_gateway_settings_t *settings, const jj_gateway_port_t *port);
void jj_gateway_destroy(jj_gateway_t *gateway);

/**
 * Starts a caller's request. Adds JJ_ACTION_BACKEND_START for each attempt (one
 * at a time) and JJ_ACTION_ANSWER when it is abandoned.
 */
void jj_gateway_begin(jj_gateway_t *gateway,
    const jj_gateway_request_t *request, jj_ms_t now, jj_actions_t *out);
/**
 * Takes an event of an attempt at its server. @p status is the status of a
 * complete answer. @p text is the whole output of an item that is done; the
 * gateway takes ownership of it.
 */
void jj_gateway_take_backend_event(jj_gateway_t *gateway,
    const jj_backend_event_t *event, int status, jj_bytes_t *text, jj_ms_t now,
    jj_actions_t *out);
/** The caller closed its connection. */
void jj_gateway_take_disconnect(
    jj_gateway_t *gateway, uint64_t request, jj_ms_t now, jj_actions_t *out);
/**
 * Describes the request's current attempt; false when the request has ended or
 * has none.
 */
bool jj_gateway_find_attempt(const jj_gateway_t *gateway, uint64_t request,
    jj_ms_t now, jj_gateway_attempt_t *start);

/**
 * True when a key that this VM does not know may be in a newer version of the
 * configuration than the one in force.
 */
bool jj_gateway_may_be_behind(const jj_gateway_t *gateway);
/**
 * Takes a job's submission; answers 404 or 503 when no route accepts it.
 * @param routes the version by which its caller's team was found.
 */
void jj_gateway_submit(jj_gateway_t *gateway, uint64_t operation,
    jj_inline_job_t *job, const jj_routes_t *routes, jj_ms_t now,
    jj_actions_t *out);
/**
 * The inline jobs, for reads, cancellations and other operations; call
 * jj_gateway_step() afterwards.
 */
jj_inline_t *
jj_gateway_jobs(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out);
/** Does the work that an operation on the jobs has made possible. */
void jj_gateway_step(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out);

void jj_gateway_take_message(jj_gateway_t *gateway, const jj_message_t *message,
    jj_ms_t now, jj_actions_t *out);
void jj_gateway_take_platform(jj_gateway_t *gateway,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out);
void jj_gateway_tick(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out);
jj_ms_t jj_gateway_next(const jj_gateway_t *gateway);
/**
 * Starts a planned stop: requests in progress finish, jobs are handed over.
 * @param end_ms end of the stop; a request that may last longer is refused.
 */
void jj_gateway_leave(
    jj_gateway_t *gateway, jj_ms_t end_ms, jj_ms_t now, jj_actions_t *out);
/** Ends all online requests that are in progress, as the process ends. */
void
jj_gateway_end_requests(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out);
/** True when no request is in progress and the jobs are handed over. */
bool jj_gateway_is_idle(const jj_gateway_t *gateway);
/** True when requests can be served: a configuration is known. */
bool jj_gateway_is_ready(const jj_gateway_t *gateway);

/** Adds a VM that is known from another source than the platform's list. */
void jj_gateway_learn_vm(jj_gateway_t *gateway, const jj_name_t *name,
    const jj_name_t *domain, const char *address);
/** Address of a VM, for the adapter that sends messages; NULL when unknown. */
const char *
jj_gateway_address(const jj_gateway_t *gateway, const jj_name_t *name);
const jj_routes_t *jj_gateway_routes(const jj_gateway_t *gateway);
const jj_slots_t *jj_gateway_slots(const jj_gateway_t *gateway);
/** Observed behaviour of servers; NULL unless failing servers are avoided. */
jj_outcomes_t *jj_gateway_outcomes(const jj_gateway_t *gateway);
const jj_member_t *jj_gateway_member(const jj_gateway_t *gateway);
/** The fair shares, for jj_shares_list(); NULL when they are off. */
const jj_shares_t *jj_gateway_shares(const jj_gateway_t *gateway);
uint32_t jj_gateway_in_flight(const jj_gateway_t *gateway, jj_class_t class_of);
uint32_t jj_gateway_waiting_items(const jj_gateway_t *gateway);
/**
 * Time of the last answer of the platform, own or relayed, that showed that
 * the table is complete; JJ_MS_NEVER if there was none.
 */
jj_ms_t jj_gateway_table_time(const jj_gateway_t *gateway, jj_table_t table);
/** Counts the open jobs that make no progress. */
jj_inline_health_t jj_gateway_job_health(const jj_gateway_t *gateway);

/* Views for operators (gateway_views.c); empty when the part is off. */
/** Groups with the highest demand first; in the last row, all further ones. */
size_t jj_gateway_list_shares(const jj_gateway_t *gateway,
    jj_gateway_share_t *rows, size_t max_count, jj_ms_t now);
/** Servers with recent answers: avoided ones first, then by failure rate. */
size_t jj_gateway_list_outcomes(const jj_gateway_t *gateway,
    jj_gateway_outcome_t *rows, size_t max_count, jj_ms_t now);

#endif
