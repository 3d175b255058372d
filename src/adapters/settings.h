/**
 * @file settings.h
 * @brief The settings file of one VM, checked against a table of keys.
 *
 * Settings hold the identity, addresses, time-outs and limits of this process.
 * How services are served is set by the versioned configuration
 * (core/config.h).
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
/** Most contracts that a settings file may list. */
#define JJ_SETTINGS_CONTRACTS_MAX 64
/** Buffer size that holds every message of jj_settings_load, bytes. */
#define JJ_SETTINGS_ERROR_MAX 512

/** A boolean that may be absent from the file; its default depends on others. */
typedef enum {
	JJ_SWITCH_ABSENT,
	JJ_SWITCH_OFF,
	JJ_SWITCH_ON,
} jj_switch_t;

/** The parts of the platform's rules that are in force, by its names. */
typedef struct {
	size_t count;
	jj_name_t names[JJ_SETTINGS_CONTRACTS_MAX];
} jj_contracts_t;

/** A VM to contact at start; the platform's list names the others. */
typedef struct {
	jj_name_t name;
	jj_name_t domain;
	char address[JJ_NAME_MAX + 1]; /**< IP:PORT for neighbours */
} jj_neighbour_seed_t;

/** A backend server known before the platform's list has been read. */
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
	uint32_t shards; /**< threads, each with one shard of the state */
	char data_folder[JJ_SETTINGS_PATH_MAX + 1]; /**< empty: no disk */

	char listen_callers[JJ_NAME_MAX + 1]; /**< IP:PORT */
	char listen_operators[JJ_NAME_MAX + 1]; /**< IP:PORT */
	char listen_neighbours[JJ_NAME_MAX + 1]; /**< IP:PORT, ZeroMQ */
	/** IP:PORT for readiness checks; empty: the callers' address. */
	char listen_ready[JJ_NAME_MAX + 1];

	struct {
		char address[JJ_NAME_MAX + 1]; /**< IP:PORT */
		jj_ms_t timeout_ms; /**< of one call */
		jj_name_t client; /**< Jujube-Client; default: VM's name */
		jj_name_t form; /**< API dialect; empty: our own */
		jj_contracts_t contracts;
	} platform;

	jj_neighbour_seed_t *neighbours; /**< owned */
	size_t neighbour_count;
	jj_server_seed_t *servers; /**< owned */
	size_t server_count;

	struct {
		uint32_t connections; /**< maximum at once */
		size_t header_bytes; /**< maximum of one request */
		size_t body_bytes; /**< maximum, except file uploads */
		jj_ms_t idle_ms; /**< idle connections are closed after */
		jj_ms_t head_ms; /**< time limit of a head */
		jj_ms_t body_ms; /**< time limit of a body */
		size_t stream_bytes; /**< buffer limit of a slow reader */
	} callers;

	struct {
		uint32_t memory_mb; /**< that the process may use */
		uint32_t descriptors; /**< that the process may open */
	} machine;

	struct {
		jj_log_level_t level;
		char file[JJ_SETTINGS_PATH_MAX + 1]; /**< empty: stderr */
	} log;

	struct {
		char file[JJ_SETTINGS_PATH_MAX + 1]; /**< empty: no export */
		double share; /**< sampled traces started here, 0 to 1 */
		uint32_t ring; /**< spans kept for `jujubectl trace` */
		jj_ms_t flush_ms; /**< interval of writes to the file */
	} trace;

	struct {
		jj_ms_t drain_ms; /**< maximum wait of a planned stop */
		double grace_s; /**< killed after this; 0: never */
		jj_ms_t least_ms; /**< minimum, for balancers to notice */
	} stop;

	bool faults; /**< enables fault injection for failure tests */

	/*
	 * Settings of the core and the gateway. Names, domain and address are
	 * copied from above. Writer, seed, incarnation and key stay unset:
	 * they differ with each run and do not come from the file.
	 */
	jj_core_settings_t core;
	jj_gateway_settings_t gateway; /**< of a VM that serves routes */
	bool gateway_idle; /**< neither accepts nor runs requests */
	/* See the fields of the same names in jj_gateway_settings_t. */
	jj_switch_t fair_shares;
	jj_switch_t avoid_failing;
	jj_batch_settings_t batch;
	jj_intake_settings_t intake;
	jj_jobs_settings_t jobs;
} jj_settings_t;

/**
 * Loads and checks a settings file; absent keys get their defaults.
 * @return false on any error: @p settings is then cleared, and @p error_text
 * holds `FILE:LINE: key 'a.b' = VALUE: must be …`.
 */
bool jj_settings_load(jj_settings_t *settings, const char *path,
    char *error_text, size_t error_text_size);
/** The same from text; @p name is used as the file name in @p error_text. */
bool jj_settings_parse(jj_settings_t *settings, const char *text, size_t size,
    const char *name, char *error_text, size_t error_text_size);
/**
 * Value of a switch: that of the file, else whether a contract requires it.
 * @param origin which of them decided, for the log.
 */
bool jj_settings_resolve_switch(
    jj_switch_t given, bool required, const char **origin);
/** Frees the memory owned by the settings and zeroes them. */
void jj_settings_clear(jj_settings_t *settings);

/** All keys with type, bounds, default and purpose, as a Markdown table. */
jj_bytes_t jj_settings_describe(void);

#endif
