/**
 * @file health.h
 * @brief Health checks and load queries of backend servers.
 *
 * When a connection to a server breaks, the event of the broken attempt is
 * held back until a health check of the server has ended. A crashed server is
 * thus reported to the core first, with all its requests in flight, so that a
 * request that crashes servers is recognised before it is sent to another one.
 *
 * A check is cut off when its connection breaks before the answer is complete,
 * as a terminating process may still accept connections. It is then retried.
 */
#ifndef JJ_DAEMON_HEALTH_H
#define JJ_DAEMON_HEALTH_H

#include "adapters/http_client.h"
#include "core/dispatch.h"

/** Result of a health check. */
typedef enum {
	JJ_HEALTH_UP,
	JJ_HEALTH_RESTARTED, /**< answers, but as another process than before */
	JJ_HEALTH_DOWN, /**< connection refused */
	JJ_HEALTH_UNKNOWN, /**< no valid answer: slow, or unreachable */
} jj_health_t;

typedef struct {
	void *ctx;
	/**
	 * A health check ended; called on the HTTP client's thread.
	 * @param boot start id of the server's process, 0: not known.
	 */
	void (*on_health)(void *ctx, const jj_name_t *server,
	    jj_health_t health, uint64_t boot);
	/** A server answered a load query. */
	void (*on_report)(void *ctx, const jj_name_t *server, uint32_t running,
	    uint32_t waiting, jj_ms_t age_ms);
	/** Releases an event, after on_health() of the check it waited for. */
	void (*on_release)(void *ctx, void *event);
} jj_health_port_t;

typedef struct jj_health_watch jj_health_watch_t;

jj_health_watch_t *jj_health_watch_create(const jj_health_port_t *port);
/** See jj_http_client_set_guard(). */
void
jj_health_watch_set_guard(jj_health_watch_t *watch, jj_http_guard_t *guard);
void jj_health_watch_destroy(jj_health_watch_t *watch);
/**
 * Starts a health check, unless one of this server is in progress.
 * @param with_load query the load (GET /load) instead of GET /health.
 */
void jj_health_watch_probe(jj_health_watch_t *watch, const jj_name_t *server,
    const char *address, bool with_load);
/** Holds an event back until a health check begun after it has ended. */
void jj_health_watch_defer_event(jj_health_watch_t *watch,
    const jj_name_t *server, const char *address, void *event);

/** True when this server's last check was cut off and will be retried. */
bool
jj_health_watch_is_probe_cut(jj_health_watch_t *watch, const jj_name_t *server);
/** True while a check of some server was cut off and has to be retried. */
bool jj_health_watch_has_cut_probe(const jj_health_watch_t *watch);
/** Retries the checks that were cut off while events were held back. */
void jj_health_watch_retry_probes(jj_health_watch_t *watch);

#endif
