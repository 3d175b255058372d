/**
 * @file health.h
 * @brief Looks after backend servers: is the process alive, how loaded is it.
 *
 * When a connection to a server breaks, what broke is only told to the core
 * after a look at the server's health: a server that died is first reported
 * as crashed, with all its requests in flight, so that a request that kills
 * servers is known before it is sent to the next one.
 */
#ifndef JJ_DAEMON_HEALTH_H
#define JJ_DAEMON_HEALTH_H

#include "adapters/http_client.h"
#include "core/dispatch.h"

/** What a look showed. */
typedef enum {
	JJ_HEALTH_UP,
	JJ_HEALTH_REBORN, /**< alive, but another process than before */
	JJ_HEALTH_DOWN, /**< nobody listens there */
	JJ_HEALTH_UNSURE, /**< no answer in time: slow, or cut off */
} jj_health_t;

typedef struct {
	void *ctx;
	/** A look ended; on the client's thread. @p boot 0: not known. */
	void (*on_health)(void *ctx, const jj_name_t *server,
	    jj_health_t health, uint64_t boot);
	/** A load report. */
	void (*on_report)(void *ctx, const jj_name_t *server, uint32_t running,
	    uint32_t waiting, jj_ms_t age_ms);
	/** The look ended and was told: now the event may be. */
	void (*on_release)(void *ctx, void *held);
} jj_health_port_t;

typedef struct jj_health_watch jj_health_watch_t;

jj_health_watch_t *jj_health_watch_create(const jj_health_port_t *port);
void jj_health_watch_destroy(jj_health_watch_t *watch);
/** Looks at a server; @p with_load asks for its load too. */
void jj_health_watch_look(jj_health_watch_t *watch, const jj_name_t *server,
    const char *address, bool with_load);
/** Holds an event until a look at its server has ended. */
void jj_health_watch_hold(jj_health_watch_t *watch, const jj_name_t *server,
    const char *address, void *held);

/** True when the last look at this server was cut off and is made again. */
bool jj_health_watch_is_cut(jj_health_watch_t *watch, const jj_name_t *server);
/** True while a look was cut off and has to be made again soon. */
bool jj_health_watch_has_cut(const jj_health_watch_t *watch);
/** Makes the looks again that were cut off after an attempt broke there. */
void jj_health_watch_look_again(jj_health_watch_t *watch);

#endif
