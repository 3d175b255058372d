/**
 * @file process.h
 * @brief What the backend servers' stand-ins do alike as processes.
 *
 * Each takes a command line, serves callers and tests on a port each,
 * announces both, and leaves on SIGTERM or SIGINT once it is idle.
 */
#ifndef STANDIN_PROCESS_H
#define STANDIN_PROCESS_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "web.h"

/** Bytes of a boot identity in hex, with the NUL. */
#define PROCESS_BOOT_SIZE 17

/** Where a stand-in listens; the strings are its own. */
typedef struct {
	char *listen; /**< IP:PORT for callers */
	char *control; /**< IP:PORT for tests */
} process_addresses_t;

/** What a process serves, and how it leaves. */
typedef struct {
	const process_addresses_t *addresses;
	web_handler_t serve; /**< answers callers */
	web_handler_t control; /**< answers tests */
	bool (*is_idle)(void *ctx); /**< nothing is left to answer; locked */
	void *ctx; /**< of the three functions */
	pthread_mutex_t *lock; /**< guards leaving and what is_idle reads */
	bool *leaving; /**< set once new work is to be refused */
} process_t;

/** A sequence of draws that a seed settles; zero but for the seed. */
typedef struct {
	uint64_t seed;
	uint64_t draws; /**< so far */
} process_draw_t;

/** Prepares the process; call it first in main, before any thread. */
void process_init(void);
/**
 * Reads --listen, --control and @p entries from the command line; the
 * addresses not given are any free port of the loopback.
 * @return false after the error was printed; the addresses are to be cleared
 * in both cases.
 */
bool process_parse_options(process_addresses_t *addresses,
    const GOptionEntry *entries, int argc, char **argv);
/** Frees the addresses. */
void process_clear_addresses(process_addresses_t *addresses);
/** Writes a new boot identity, 16 hexadecimal digits. */
void process_make_boot(char boot[PROCESS_BOOT_SIZE]);
/**
 * Serves until a signal, then refuses new work and waits for what was
 * accepted; a second signal ends the process at once.
 * @return false when an address cannot be listened on; that was printed.
 */
bool process_run(const process_t *process);
/** Draws true in @p share (0 to 1) of the calls; 0 uses up no draw. */
bool process_draw_share(process_draw_t *draw, double share);

#endif
