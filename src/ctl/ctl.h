/**
 * @file ctl.h
 * @brief Types shared by the commands of jujubectl.
 */
#ifndef JJ_CTL_CTL_H
#define JJ_CTL_CTL_H

#include <stdbool.h>

#include <glib.h>

#include "core/clock.h"

/** Outcome of a command; the values are the exit codes of jujubectl. */
typedef enum {
	JJ_CTL_OK = 0,
	JJ_CTL_FAILED = 1, /**< the system refused or failed it */
	JJ_CTL_USAGE = 2, /**< invalid command line or file */
	JJ_CTL_UNREACHABLE = 3, /**< no answer, nothing was changed */
	JJ_CTL_UNKNOWN = 4, /**< it may or may not have run */
} jj_ctl_exit_t;

/** Options common to all commands. */
typedef struct {
	const char *callers; /**< IP:PORT of the callers' interface, or NULL */
	const char *operators; /**< IP:PORT[,IP:PORT...], or NULL */
	bool json; /**< print JSON instead of tables */
	bool show_trace; /**< print the trace id of a request */
	/** Of status and control requests; calls, completions, uploads and
	 * downloads have none. */
	jj_ms_t timeout_ms;
} jj_ctl_t;

/** One command. */
typedef struct {
	const char *group; /**< first of two words, or NULL */
	const char *name;
	const char *arguments; /**< as shown in the help */
	const char *summary;
	int min_arguments;
	int max_arguments;
	const GOptionEntry *options; /**< of this command only, or NULL */
	jj_ctl_exit_t (*run)(const jj_ctl_t *ctl, char **arguments);
} jj_ctl_command_t;

/* Each table ends with a row that has a NULL name. */
extern const jj_ctl_command_t jj_ctl_config_commands[];
extern const jj_ctl_command_t jj_ctl_batch_commands[];
extern const jj_ctl_command_t jj_ctl_request_commands[];
extern const jj_ctl_command_t jj_ctl_show_commands[];
extern const jj_ctl_command_t jj_ctl_trace_commands[];
extern const jj_ctl_command_t jj_ctl_settings_commands[];

#endif
