/**
 * @file process.h
 * @brief Process life cycle shared by the stand-ins of backend servers.
 *
 * Each stand-in parses its command line, serves callers and tests on one port
 * each, prints both addresses, and exits on SIGTERM or SIGINT once it is idle.
 */
#ifndef STANDIN_PROCESS_H
#define STANDIN_PROCESS_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "web.h"

/** Size of a boot identity in hex, in bytes with the NUL. */
#define PROCESS_BOOT_SIZE 17

/** The addresses a stand-in listens on; it owns the strings. */
typedef struct {
	char *listen; /**< IP:PORT for callers */
	char *control; /**< IP:PORT for tests */
} process_addresses_t;

/** The handlers of a process, and the state needed for its shutdown. */
typedef struct {
	const process_addresses_t *addresses;
	web_handler_t serve; /**< answers callers */
	web_handler_t control; /**< answers tests */
	bool (*is_idle)(void *ctx); /**< no work is left; called locked */
	void *ctx; /**< passed to the three functions */
	pthread_mutex_t *lock; /**< guards leaving and what is_idle reads */
	bool *leaving; /**< set when new work must be refused */
} process_t;

/** A reproducible random sequence; initialize to zero except the seed. */
typedef struct {
	uint64_t seed;
	uint64_t draws; /**< numbers drawn so far */
} process_random_t;

/** Prepares the process; call first in main, before starting threads. */
void process_init(void);
/**
 * Parses --listen, --control and @p entries from the command line. An address
 * that is not given defaults to any free port of the loopback.
 * @return false after printing the error. The addresses must be cleared in
 * both cases.
 */
bool process_parse_options(process_addresses_t *addresses,
    const GOptionEntry *entries, int argc, char **argv);
/** Frees the addresses. */
void process_clear_addresses(process_addresses_t *addresses);
/** Writes a new boot identity, 16 hexadecimal digits. */
void process_make_boot_id(char boot[PROCESS_BOOT_SIZE]);
/**
 * Serves until a signal, then refuses new work and waits for accepted work to
 * finish; a second signal ends the process immediately.
 * @return false when it cannot listen on an address, which is printed.
 */
bool process_run(const process_t *process);
/**
 * True with the given probability, 0 to 1. With 0 it draws no number from the
 * sequence.
 */
bool process_random_bool(process_random_t *sequence, double probability);

#endif
