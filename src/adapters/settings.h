/**
 * @file settings.h
 * @brief The settings file of one VM, checked against a table of keys.
 *
 * Settings say where this process is and how patient it is; how services
 * are served is the numbered configuration's business (core/config.h).
 */
#ifndef JJ_ADAPTERS_SETTINGS_H
#define JJ_ADAPTERS_SETTINGS_H

#include "adapters/log.h"
#include "core/batch.h"
#include "core/core.h"
#include "core/gateway.h"
#include "core/intake.h"
#include "core/job.h"

/** Longest path in the settings, bytes. */
#define JJ_SETTINGS_PATH_MAX 255
/** Room for every message of jj_settings_load. */
#define JJ_SETTINGS_WHY_MAX 512

/** A VM of ours to greet first; the platform's list brings the others. */
typedef struct {
	jj_name_t name;
	jj_name_t domain;
	char address[JJ_NAME_MAX + 1]; /**< IP:PORT for neighbours */
} jj_neighbour_seed_t;

/** A backend server known before the platform's list is. */
typedef struct {
	jj_name_t name;
	jj_name_t domain;
	jj_name_t service;
	char address[JJ_NAME_MAX + 1]; /**< IP:PORT */
	bool checks_fence; /**< refuses orders with an old fencing number */
} jj_server_seed_t;

typedef struct {
	jj_name_t name; /**< of this VM */
	jj_name_t domain; /**< its failure domain */
	jj_name_t region;
	uint32_t shards; /**< threads with a shard of state each */
	char data_folder[JJ_SETTINGS_PATH_MAX + 1]; /**< empty: no disk */

	char listen_callers[JJ_NAME_MAX + 1]; /**< IP:PORT */
	char listen_operators[JJ_NAME_MAX + 1]; /**< IP:PORT */
	char listen_neighbours[JJ_NAME_MAX + 1]; /**< IP:PORT, ZeroMQ */
	/** IP:PORT where a balancer asks; empty: at the callers' address. */
	char listen_ready[JJ_NAME_MAX + 1];

	struct {
		char address[JJ_NAME_MAX + 1]; /**< IP:PORT */
		jj_ms_t timeout_ms; /**< of one call */
		jj_name_t client; /**< Jujube-Client; the VM's name */
		jj_name_t form; /**< of a deployment; empty: our own */
	} platform;

	jj_neighbour_seed_t *neighbours; /**< owned */
	size_t neighbour_count;
	jj_server_seed_t *servers; /**< owned */
	size_t server_count;

	struct {
		uint32_t connections; /**< most at once */
		size_t header_bytes; /**< most of one request */
		size_t body_bytes; /**< most, uploads of files aside */
		jj_ms_t idle_ms; /**< silence until a caller is cut off */
		size_t stream_bytes; /**< most waiting for a slow reader */
	} callers;

	struct {
		jj_log_level_t level;
		char file[JJ_SETTINGS_PATH_MAX + 1]; /**< empty: stderr */
	} log;

	struct {
		char file[JJ_SETTINGS_PATH_MAX + 1]; /**< empty: no export */
		double share; /**< of traces begun here, 0 to 1 */
		uint32_t ring; /**< spans kept for `jujubectl trace` */
		jj_ms_t flush_ms; /**< between writes to the file */
	} trace;

	struct {
		jj_ms_t drain_ms; /**< most a planned stop waits */
		double grace_s; /**< the process is killed then; 0: never */
		jj_ms_t least_ms; /**< the balancer needs to notice it */
	} stop;

	bool faults; /**< fault switches are served, for failure tests */

	/*
	 * Settings of the core's two halves. Names, domain and address are
	 * filled in from above; writer, seed, incarnation and key are not:
	 * they belong to the run, not to the file.
	 */
	jj_core_settings_t core;
	jj_gateway_settings_t gateway; /**< of a VM that serves routes */
	bool gateway_idle; /**< it takes and runs no requests */
	jj_batch_settings_t batch;
	jj_intake_settings_t intake;
	jj_jobs_settings_t jobs;
} jj_settings_t;

/**
 * Loads and checks a settings file; absent keys get their defaults.
 * @return false when anything is wrong: nothing is kept, and @p why is
 * `FILE:LINE: key 'a.b' = VALUE: must be …`.
 */
bool jj_settings_load(
    jj_settings_t *settings, const char *path, char *why, size_t why_size);
/** The same from text; @p name stands for the file in @p why. */
bool jj_settings_parse(jj_settings_t *settings, const char *text, size_t size,
    const char *name, char *why, size_t why_size);
/** Frees what the settings own. */
void jj_settings_clear(jj_settings_t *settings);

/** All keys with type, bounds, default and reason, as a Markdown table. */
jj_bytes_t jj_settings_describe(void);

#endif
