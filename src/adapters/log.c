/**
 * @file log.c
 * @brief Writes event lines through a log4c category with its own appender.
 *
 * log4c_init() is deliberately not called: it would read log4crc files from
 * the working folder and the user's home, but all settings of a VM come from
 * its one settings file.
 */
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/uio.h>
#include <unistd.h>

#include <log4c/appender.h>
#include <log4c/category.h>
#include <log4c/layout.h>

#include "adapters/log.h"
#include "adapters/monotonic.h"
#include "adapters/runtime.h"
#include "core/types.h"

/** Maximum size of a value before quoting, bytes. */
#define VALUE_MAX 1024
/** Maximum size of a conversion such as `%-08.3llu`, bytes. */
#define CONVERSION_MAX 24

/**
 * Maximum lines to standard output in one window: several lines for each of
 * a few hundred requests per second, the maximum load of a small VM.
 */
#define STDOUT_LINES_MAX 1500
#define STDOUT_WINDOW_MS 1000

/** Buffer in which a line is built; always ends with a NUL. */
typedef struct {
	char text[JJ_LOG_LINE_MAX];
	size_t used;
} line_t;

static const int priorities[] = {
    [JJ_LOG_ERROR] = LOG4C_PRIORITY_ERROR,
    [JJ_LOG_WARN] = LOG4C_PRIORITY_WARN,
    [JJ_LOG_INFO] = LOG4C_PRIORITY_INFO,
    [JJ_LOG_DEBUG] = LOG4C_PRIORITY_DEBUG,
};
static const char *const level_names[] = {
    [JJ_LOG_ERROR] = "error",
    [JJ_LOG_WARN] = "warn",
    [JJ_LOG_INFO] = "info",
    [JJ_LOG_DEBUG] = "debug",
};
#define LEVEL_COUNT (sizeof(level_names) / sizeof(*level_names))

static const char *
format_event(const log4c_layout_t *, const log4c_logging_event_t *);
static int append_event(log4c_appender_t *, const log4c_logging_event_t *);
static void write_to_stdout(const char *);
static void set_nonblocking(int);
static void set_up_category(void);
static void append_text(line_t *, const char *, size_t);
static void append_escaped(line_t *, const char *, size_t, bool);
static void append_value(line_t *, const char *, size_t);
static void append_header(line_t *, jj_log_level_t, const char *);
static void append_pairs(line_t *, const char *, va_list *);
static const char *append_pair(line_t *, const char *, va_list *);
static size_t
format_value(const char *, const char *, char *, size_t, va_list *);
static const char *copy_conversion(const char *, char *);
static size_t format_conversion(const char *, char *, size_t, va_list *);

static const log4c_layout_type_t layout_type = {"jujube_line", format_event};
static const log4c_appender_type_t appender_type = {
    "jujube_stream", NULL, append_event, NULL};

/** Guards the variables below, and keeps lines whole and in order. */
static jj_static_lock_t log_lock;
static log4c_category_t *log_category;
static FILE *log_stream; /**< NULL: closed */
static int log_priority = LOG4C_PRIORITY_INFO;
static jj_name_t log_vm = {"-"};
static jj_ms_t log_window_ms; /**< start of the current window */
static unsigned int log_window_lines;
static unsigned long log_dropped; /**< dropped since the last line written */

bool
jj_log_open(jj_log_level_t level, const char *file)
{
	FILE *stream = stderr;

	if (file != NULL && strcmp(file, JJ_LOG_STDOUT) == 0) {
		stream = stdout;
		set_nonblocking(STDOUT_FILENO);
	} else if (file != NULL && file[0] != '\0')
		stream = fopen(file, "ae");
	if (stream == NULL)
		return false;
	jj_log_close();
	jj_runtime_lock_static(&log_lock);
	log_stream = stream;
	log_priority = priorities[level];
	set_up_category();
	jj_runtime_unlock_static(&log_lock);
	return true;
}

void
jj_log_close(void)
{
	jj_runtime_lock_static(&log_lock);
	if (log_stream != NULL && log_stream != stderr && log_stream != stdout)
		(void)fclose(log_stream);
	log_stream = NULL;
	jj_runtime_unlock_static(&log_lock);
}

void
jj_log_set_name(const char *name)
{
	jj_runtime_lock_static(&log_lock);
	if (!jj_name_set(&log_vm, name))
		(void)jj_name_set(&log_vm, "-");
	jj_runtime_unlock_static(&log_lock);
}

bool
jj_log_parse_level(const char *text, jj_log_level_t *level)
{
	size_t i;

	for (i = 0; i < LEVEL_COUNT; i++) {
		if (strcmp(text, level_names[i]) == 0) {
			*level = (jj_log_level_t)i;
			return true;
		}
	}
	return false;
}

void
jj_log(jj_log_level_t level, const char *event, const char *format, ...)
{
	line_t line = {.used = 0};
	va_list args;

	jj_runtime_lock_static(&log_lock);
	if (log_stream == NULL || priorities[level] > log_priority)
		goto out;
	append_header(&line, level, event);
	va_start(args, format);
	append_pairs(&line, format, &args);
	va_end(args);
	log4c_category_log(log_category, priorities[level], "%s", line.text);
out:
	jj_runtime_unlock_static(&log_lock);
}

/* The message is already a complete line; log4c adds nothing to it. */
static const char *
format_event(const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
	(void)layout;
	return event->evt_msg;
}

static int
append_event(log4c_appender_t *appender, const log4c_logging_event_t *event)
{
	(void)appender;
	if (log_stream == stdout) {
		write_to_stdout(event->evt_rendered_msg);
		return 0;
	}
	(void)fprintf(log_stream, "%s\n", event->evt_rendered_msg);
	return fflush(log_stream);
}

/**
 * Writes a line to standard output without blocking. If the reader of the log
 * is slow or gone, a blocking write would delay every thread that logs, and
 * their requests. A line that cannot be written at once, or exceeds the limit,
 * is dropped and counted; the next line written is preceded by the count.
 */
static void
write_to_stdout(const char *text)
{
	char drop_notice[80];
	struct iovec parts[3] = {
	    {drop_notice, 0}, {(void *)text, strlen(text)}, {(void *)"\n", 1}};
	jj_ms_t now = jj_monotonic_now();

	if (now - log_window_ms >= STDOUT_WINDOW_MS) {
		log_window_ms = now;
		log_window_lines = 0;
	}
	if (log_window_lines >= STDOUT_LINES_MAX) {
		log_dropped++;
		return;
	}
	log_window_lines++;
	if (log_dropped > 0)
		parts[0].iov_len =
		    (size_t)snprintf(drop_notice, sizeof(drop_notice),
			"event=log_dropped lines=%lu\n", log_dropped);
	if (writev(STDOUT_FILENO, parts, 3) < 0)
		log_dropped++;
	else
		log_dropped = 0;
}

static void
set_nonblocking(int fd)
{
	int flags = fcntl(fd, F_GETFL);

	if (flags >= 0)
		(void)fcntl(fd, F_SETFL, flags | O_NONBLOCK);
}

static void
set_up_category(void)
{
	log4c_layout_t *layout;
	log4c_appender_t *appender;

	if (log_category == NULL) {
		(void)log4c_layout_type_set(&layout_type);
		(void)log4c_appender_type_set(&appender_type);
		layout = log4c_layout_get("jujube");
		(void)log4c_layout_set_type(layout, &layout_type);
		appender = log4c_appender_get("jujube");
		(void)log4c_appender_set_type(appender, &appender_type);
		(void)log4c_appender_set_layout(appender, layout);
		log_category = log4c_category_get("jujube");
		(void)log4c_category_set_appender(log_category, appender);
		(void)log4c_category_set_additivity(log_category, 0);
	}
	(void)log4c_category_set_priority(log_category, log_priority);
}

static void
append_text(line_t *line, const char *text, size_t size)
{
	size_t free_size = sizeof(line->text) - 1 - line->used;

	if (size > free_size)
		size = free_size;
	memcpy(line->text + line->used, text, size);
	line->used += size;
	line->text[line->used] = '\0';
}

/*
 * Escapes control characters, and in quoted values quotes and backslashes. A
 * newline in a caller's text would otherwise forge an event, and a quote would
 * forge key=value pairs.
 */
static void
append_escaped(line_t *line, const char *text, size_t size, bool quoted)
{
	char escape[8];
	size_t i;

	for (i = 0; i < size; i++) {
		unsigned char c = (unsigned char)text[i];

		if (c >= 0x20 && c != 0x7f && c != '"' && c != '\\') {
			append_text(line, text + i, 1);
			continue;
		}
		if (quoted && (c == '"' || c == '\\'))
			(void)snprintf(escape, sizeof(escape), "\\%c", c);
		else if (c == '\n')
			(void)snprintf(escape, sizeof(escape), "\\n");
		else if (c < 0x20 || c == 0x7f)
			(void)snprintf(escape, sizeof(escape), "\\x%02x", c);
		else
			(void)snprintf(escape, sizeof(escape), "%c", c);
		append_text(line, escape, strlen(escape));
	}
}

static void
append_value(line_t *line, const char *value, size_t size)
{
	bool plain = size > 0;
	size_t i;

	for (i = 0; i < size && plain; i++) {
		unsigned char c = (unsigned char)value[i];

		plain =
		    c > 0x20 && c != 0x7f && c != '"' && c != '\\' && c != '=';
	}
	if (plain) {
		append_text(line, value, size);
		return;
	}
	append_text(line, "\"", 1);
	append_escaped(line, value, size, true);
	append_text(line, "\"", 1);
}

static void
append_header(line_t *line, jj_log_level_t level, const char *event)
{
	uint64_t ms = jj_unix_now_ns() / 1000000;
	char header[256];

	(void)snprintf(header, sizeof(header),
	    "event=%s ts=%llu.%03llu level=%s vm=", event,
	    (unsigned long long)(ms / 1000), (unsigned long long)(ms % 1000),
	    level_names[level]);
	append_text(line, header, strlen(header));
	append_value(line, log_vm.text, strlen(log_vm.text));
}

static void
append_pairs(line_t *line, const char *format, va_list *args)
{
	while (*format != '\0') {
		if (*format == ' ') {
			format++;
			continue;
		}
		append_text(line, " ", 1);
		format = append_pair(line, format, args);
	}
}

/* Appends one `key=format` that ends at a space; returns its end. */
static const char *
append_pair(line_t *line, const char *format, va_list *args)
{
	size_t length = strcspn(format, " ");
	const char *end = format + length;
	const char *equals = memchr(format, '=', length);
	char value[VALUE_MAX];
	size_t size;

	if (equals != NULL) {
		append_text(line, format, (size_t)(equals + 1 - format));
		size =
		    format_value(equals + 1, end, value, sizeof(value), args);
		append_value(line, value, size);
	} else {
		size = format_value(format, end, value, sizeof(value), args);
		append_escaped(line, value, size, false);
	}
	return end;
}

/* Formats the text from `format` to `end`; returns the value's size. */
static size_t
format_value(const char *format, const char *end, char *value, size_t size,
    va_list *args)
{
	char conversion[CONVERSION_MAX];
	size_t used = 0;

	while (format < end) {
		if (*format != '%' || format[1] == '%') {
			format += *format == '%';
			if (used + 1 < size)
				value[used++] = *format;
			format++;
			continue;
		}
		format = copy_conversion(format, conversion);
		used += format_conversion(
		    conversion, value + used, size - used, args);
	}
	return used;
}

/* Copies one conversion and returns its end in `format`. */
static const char *
copy_conversion(const char *format, char *conversion)
{
	size_t length = 1 + strcspn(format + 1, "diuxXcsfg");

	JJ_INVARIANT(format[length] != '\0');
	JJ_INVARIANT(length + 1 < CONVERSION_MAX);
	memcpy(conversion, format, length + 1);
	conversion[length + 1] = '\0';
	return format + length + 1;
}

/*
 * Formats one conversion with snprintf. If all pairs were formatted by one
 * call, a space in a value would look like a space between pairs.
 */
static size_t
format_conversion(
    const char *conversion, char *value, size_t size, va_list *args)
{
	char kind = conversion[strlen(conversion) - 1];
	bool star = strchr(conversion, '*') != NULL;
	int precision = star ? va_arg(*args, int) : 0;
	const char *text;
	int written;

	if (kind == 's') {
		text = va_arg(*args, const char *);
		if (text == NULL)
			text = "-";
		written = star
		    ? snprintf(value, size, conversion, precision, text)
		    : snprintf(value, size, conversion, text);
	} else if (kind == 'f' || kind == 'g') {
		written =
		    snprintf(value, size, conversion, va_arg(*args, double));
	} else if (strstr(conversion, "ll") != NULL) {
		written =
		    snprintf(value, size, conversion, va_arg(*args, long long));
	} else if (strpbrk(conversion, "lzj") != NULL) {
		written =
		    snprintf(value, size, conversion, va_arg(*args, long));
	} else {
		written = snprintf(value, size, conversion, va_arg(*args, int));
	}
	if (written < 0)
		return 0;
	return (size_t)written < size ? (size_t)written : size - 1;
}
