/**
 * @file log.h
 * @brief One line of key=value pairs for each event, over log4c.
 *
 * A line begins with `event=NAME ts=UNIX.MS level=LEVEL vm=NAME`. All
 * functions may be called from any thread.
 */
#ifndef JJ_ADAPTERS_LOG_H
#define JJ_ADAPTERS_LOG_H

#include <stdbool.h>

typedef enum {
	JJ_LOG_ERROR,
	JJ_LOG_WARN,
	JJ_LOG_INFO,
	JJ_LOG_DEBUG,
} jj_log_level_t;

/** Maximum line length with its newline, bytes; longer lines are truncated. */
#define JJ_LOG_LINE_MAX 4096

/** File name that selects standard output. */
#define JJ_LOG_STDOUT "-"

/**
 * Opens the log for events of @p level and more severe ones.
 * @param file is appended to; NULL: standard error; JJ_LOG_STDOUT: standard
 * output, where writes never block and lines per second are limited.
 * @return false when the file cannot be opened (errno holds the error).
 */
bool jj_log_open(jj_log_level_t level, const char *file);
/** Closes the log; later events are discarded. */
void jj_log_close(void);
/** Sets the VM's name in all later lines. */
void jj_log_set_name(const char *name);
/** Parses `error`, `warn`, `info` or `debug`; false for anything else. */
bool jj_log_parse_level(const char *text, jj_log_level_t *level);
/**
 * Writes one event. @p format is `key=CONVERSION` pairs separated by one
 * space. Values are quoted where necessary, so that text from a caller can
 * start neither a new pair nor a new line. A conversion without a key
 * (`"%s"`) takes preformatted pairs, in which only control characters are
 * escaped.
 * Conversions: d i u x c s f g with h, l, ll, z, j, width and precision.
 */
void jj_log(jj_log_level_t level, const char *event, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

#endif
