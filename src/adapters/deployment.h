/**
 * @file deployment.h
 * @brief Port that adapts the daemon to a deployment's platform and callers.
 *
 * The core and the daemon use their own types. A deployment with other APIs
 * translates them behind this interface and nowhere else: its names of headers,
 * paths and objects appear only in the implementation.
 */
#ifndef JJ_ADAPTERS_DEPLOYMENT_H
#define JJ_ADAPTERS_DEPLOYMENT_H

#include "adapters/http_server.h"
#include "adapters/platform.h"
#include "core/inline.h"
#include "core/prompt.h"
#include "core/route.h"
#include "core/slots.h"

/** Kinds of calls at the callers' address. */
typedef enum {
	JJ_FRONT_FORWARD, /**< a request to a server, or a job submission */
	JJ_FRONT_READ_RESULTS, /**< read a page of a job's results */
	JJ_FRONT_READ_ITEM, /**< read the body of a job's item */
	JJ_FRONT_END_JOB, /**< end a job */
	JJ_FRONT_MALFORMED, /**< answered with 400 */
} jj_front_kind_t;

typedef struct {
	jj_front_kind_t kind;
	char job[JJ_INLINE_ID_MAX + 1]; /**< id; empty if forwarded */
	char *item; /**< id; to be freed by the receiver; or NULL */
	uint32_t after; /**< position of the first requested result */
	jj_ms_t wait_ms; /**< maximum time to wait for a result */
} jj_front_call_t;

/** Maximum number of headers in jj_front_headers_t.conditions. */
#define JJ_FRONT_CONDITIONS_MAX 4

/** Names of headers that the daemon reads or sets. */
typedef struct {
	const char *request_id; /**< id of one attempt of the caller */
	const char *deadline_ms; /**< time until the deadline, ms */
	const char *target; /**< id of the only server that may run it */
	const char *not_run; /**< a server reports that it didn't run it */
	const char *stamp; /**< proves that the answer is the server's */
	const char *last_event_id; /**< a stream resumes after this event */
	/** of a resumed stream: request id of the attempt that began it */
	const char *resumes;
	const char *prompt; /**< parts of the prompt, see read_prompt */
	const char *key; /**< key of the caller's team; never passed on */
	const char *team; /**< name of that team; only this system sets it */
	const char *instance; /**< of an answer: id of the server */
	/** headers by which a request may ask for what a server lacks */
	const char *conditions[JJ_FRONT_CONDITIONS_MAX];
	const char *expects; /**< the version of the weights it asks for */
	const char *weights; /**< of an answer: that of its server */
} jj_front_headers_t;

/** Switches of the gateway that a deployment may turn on. */
typedef struct {
	bool fair_shares; /**< see jj_gateway_settings_t */
	bool avoid_failing; /**< see jj_gateway_settings_t */
} jj_gateway_switches_t;

typedef struct {
	const char *form; /**< value of the setting platform.form */
	const jj_platform_codec_t *store; /**< codec of the object store */
	const char *config_prefix; /**< of the objects' keys, with '/' */
	const char *config_key; /**< key of the configuration in force */
	const char *servers_prefix;
	const char *retire_prefix; /**< of orders to drain a VM */
	const char *ready_path; /**< health check of the load balancer */
	jj_front_headers_t headers;
	bool (*read_routes)(const jj_bytes_t *object, jj_routes_t *routes,
	    char *why, size_t why_size);
	/** False, with the reason in @p why, for an unusable entry. */
	bool (*read_server)(const char *id, const jj_bytes_t *object,
	    jj_slot_info_t *info, char *why, size_t why_size);
	void (*read_call)(const jj_http_call_t *call, jj_front_call_t *read);
	/**
	 * Decodes a job submission.
	 * @return NULL, or what is wrong with it, for its caller; then @p job
	 * is empty.
	 */
	const char *(*read_job)(
	    const jj_http_call_t *call, jj_inline_job_t *job);
	/** Reads the shared parts of a prompt from its header's value. */
	void (*read_prompt)(const char *text, jj_prompt_t *prompt);
	jj_bytes_t (*write_page)(const jj_inline_page_t *page);
	/** Turns on what a contract requires; unknown contracts are ignored. */
	void (*read_contract)(
	    const char *name, jj_gateway_switches_t *switches);
} jj_deployment_t;

/** Finds the deployment by its platform.form; NULL if unknown. */
const jj_deployment_t *jj_deployment_find(const char *form);

#endif
