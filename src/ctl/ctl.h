/**
 * @file ctl.h
 * @brief What the commands of jujubectl share.
 */
#ifndef JJ_CTL_CTL_H
#define JJ_CTL_CTL_H

#include <stdbool.h>

#include <glib.h>

#include "core/clock.h"

/** How a command ended; the exit codes of jujubectl. */
typedef enum {
	JJ_CTL_OK = 0,
	JJ_CTL_FAILED = 1, /**< refused, or failed by the system */
	JJ_CTL_USAGE = 2, /**< wrong command line or file */
	JJ_CTL_UNREACHABLE = 3, /**< no answer, and surely nothing was done */
	JJ_CTL_UNKNOWN = 4, /**< it may or may not have been done */
} jj_ctl_exit_t;

/** The options of all commands. */
typedef struct {
	const char *callers; /**< IP:PORT of the callers' interface, or NULL */
	const char *operators; /**< IP:PORT, or several by commas, or NULL */
	bool json; /**< print JSON instead of tables */
	bool show_trace; /**< print the trace's id of a request */
	jj_ms_t timeout_ms; /**< of one short request */
} jj_ctl_t;

/** One command. */
typedef struct {
	const char *group; /**< first word, or NULL when there is one only */
	const char *name;
	const char *arguments; /**< as shown in the help */
	const char *summary;
	int least; /**< arguments */
	int most;
	const GOptionEntry *options; /**< of this command alone, or NULL */
	jj_ctl_exit_t (*run)(const jj_ctl_t *ctl, char **arguments);
} jj_ctl_command_t;

/* Each table ends with a row whose name is NULL. */
extern const jj_ctl_command_t jj_ctl_config_commands[];
extern const jj_ctl_command_t jj_ctl_batch_commands[];
extern const jj_ctl_command_t jj_ctl_request_commands[];
extern const jj_ctl_command_t jj_ctl_show_commands[];
extern const jj_ctl_command_t jj_ctl_trace_commands[];
extern const jj_ctl_command_t jj_ctl_settings_commands[];

#endif
