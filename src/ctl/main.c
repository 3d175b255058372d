/**
 * @file main.c
 * @brief jujubectl: the command-line client of callers and operators.
 */
#include <err.h>
#include <locale.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>

#include "ctl/ctl.h"
#include "jujubeswitch.h"

#define EXIT_CODES                                                 \
	"Exit codes:\n"                                            \
	"  0  done\n"                                              \
	"  1  the system refused or failed it\n"                   \
	"  2  invalid command line, file or settings\n"            \
	"  3  the VM cannot be reached, and nothing was changed\n" \
	"  4  outcome unknown: it may or may not have run\n"
#define ENVIRONMENT                                                           \
	"Environment: JUJUBE_CALLERS and JUJUBE_OPERATORS are the defaults\n" \
	"of the options --callers and --operators.\n"
/** Default of --timeout, s. */
#define TIMEOUT_S 30
/** Width of the column of commands and arguments in the help. */
#define HELP_WIDTH 28

static char *option_callers;
static char *option_operators;
static gboolean option_json;
static gboolean option_show_trace;
static gboolean option_version;
static gint option_timeout = TIMEOUT_S;

static const GOptionEntry common_options[] = {
    {"callers", 0, 0, G_OPTION_ARG_STRING, &option_callers,
	"Callers' interface of a VM", "IP:PORT"},
    {"operators", 0, 0, G_OPTION_ARG_STRING, &option_operators,
	"Operators' interface of a VM", "IP:PORT"},
    {"json", 0, 0, G_OPTION_ARG_NONE, &option_json,
	"Print JSON instead of tables", NULL},
    {"show-trace", 0, 0, G_OPTION_ARG_NONE, &option_show_trace,
	"Print the trace id of a request on standard error", NULL},
    {"timeout", 0, 0, G_OPTION_ARG_INT, &option_timeout,
	"Timeout of a status or control request", "SECONDS"},
    {"version", 0, 0, G_OPTION_ARG_NONE, &option_version,
	"Print the version and exit", NULL},
    {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

static const jj_ctl_command_t *const command_tables[] = {jj_ctl_config_commands,
    jj_ctl_request_commands, jj_ctl_batch_commands, jj_ctl_show_commands,
    jj_ctl_trace_commands, jj_ctl_settings_commands};
#define TABLE_COUNT (sizeof(command_tables) / sizeof(command_tables[0]))

static bool parse_options(int *, char ***, const jj_ctl_command_t *);
static const jj_ctl_command_t *find_command(char **, int *);
static bool matches(const jj_ctl_command_t *, char **);
static jj_ctl_exit_t run_command(const jj_ctl_command_t *, int, char **);
static char *list_commands(void);
static const char *or_environment(const char *, const char *);

int
main(int argc, char **argv)
{
	const jj_ctl_command_t *command;
	int words;

	(void)setlocale(LC_ALL, "");
	(void)signal(SIGPIPE, SIG_IGN);
	if (!parse_options(&argc, &argv, NULL))
		return JJ_CTL_USAGE;
	if (option_version) {
		(void)printf("jujubectl %s\n", JJ_VERSION);
		return JJ_CTL_OK;
	}
	command = find_command(argv + 1, &words);
	if (command == NULL) {
		warnx("%s; see jujubectl --help",
		    argc < 2 ? "no command" : "no such command");
		return JJ_CTL_USAGE;
	}
	argc -= words;
	argv += words;
	if (!parse_options(&argc, &argv, command))
		return JJ_CTL_USAGE;
	return run_command(command, argc - 1, argv + 1);
}

/**
 * @param command NULL: parses the common options before the command; else its
 * own options and the common ones, anywhere after the command
 */
static bool
parse_options(int *argc, char ***argv, const jj_ctl_command_t *command)
{
	GOptionContext *context;
	GError *error = NULL;
	char *text = command == NULL
	    ? g_strdup("COMMAND … - client of jujubeswitch")
	    : g_strdup_printf("- %s", command->summary);
	char *description = command == NULL
	    ? list_commands()
	    : g_strdup_printf("Usage: %s%s%s %s\n\n" EXIT_CODES,
		  command->group != NULL ? command->group : "",
		  command->group != NULL ? " " : "", command->name,
		  command->arguments);
	bool valid;

	context = g_option_context_new(text);
	g_option_context_set_description(context, description);
	g_option_context_set_strict_posix(context, command == NULL);
	g_option_context_add_main_entries(context, common_options, NULL);
	if (command != NULL && command->options != NULL)
		g_option_context_add_main_entries(
		    context, command->options, NULL);
	valid = g_option_context_parse(context, argc, argv, &error);
	if (!valid) {
		warnx("%s", error->message);
		g_error_free(error);
	}
	g_option_context_free(context);
	g_free(description);
	g_free(text);
	return valid;
}

/** @param words number of words that the command's name consists of */
static const jj_ctl_command_t *
find_command(char **arguments, int *words)
{
	const jj_ctl_command_t *command;
	size_t i;

	for (i = 0; i < TABLE_COUNT; i++) {
		for (command = command_tables[i]; command->name != NULL;
		     command++) {
			if (!matches(command, arguments))
				continue;
			*words = command->group != NULL ? 2 : 1;
			return command;
		}
	}
	return NULL;
}

static bool
matches(const jj_ctl_command_t *command, char **arguments)
{
	if (arguments[0] == NULL)
		return false;
	if (command->group == NULL)
		return strcmp(arguments[0], command->name) == 0;
	return strcmp(arguments[0], command->group) == 0 &&
	    arguments[1] != NULL && strcmp(arguments[1], command->name) == 0;
}

static jj_ctl_exit_t
run_command(const jj_ctl_command_t *command, int count, char **arguments)
{
	jj_ctl_t ctl = {or_environment(option_callers, "JUJUBE_CALLERS"),
	    or_environment(option_operators, "JUJUBE_OPERATORS"), option_json,
	    option_show_trace, (jj_ms_t)option_timeout * 1000};
	jj_ctl_exit_t outcome;

	if (count > 0 && strcmp(arguments[0], "--") == 0) {
		count--;
		arguments++;
	}
	if (count < command->min_arguments || count > command->max_arguments) {
		warnx("usage: %s%s%s %s",
		    command->group != NULL ? command->group : "",
		    command->group != NULL ? " " : "", command->name,
		    command->arguments);
		return JJ_CTL_USAGE;
	}
	if (option_timeout < 1) {
		warnx("--timeout must be at least 1 s");
		return JJ_CTL_USAGE;
	}
	(void)curl_global_init(CURL_GLOBAL_DEFAULT);
	outcome = command->run(&ctl, arguments);
	curl_global_cleanup();
	return outcome;
}

static char *
list_commands(void)
{
	GString *text = g_string_new("Commands:\n");
	const jj_ctl_command_t *command;
	char *usage;
	size_t i;

	for (i = 0; i < TABLE_COUNT; i++) {
		for (command = command_tables[i]; command->name != NULL;
		     command++) {
			usage = g_strjoin(" ",
			    command->group != NULL ? command->group
						   : command->name,
			    command->group != NULL ? command->name
						   : command->arguments,
			    command->group != NULL ? command->arguments : NULL,
			    NULL);
			g_string_append_printf(text, "  %-*s  %s\n", HELP_WIDTH,
			    usage, command->summary);
			g_free(usage);
		}
	}
	g_string_append(text, "\n" ENVIRONMENT "\n" EXIT_CODES);
	return g_string_free(text, FALSE);
}

static const char *
or_environment(const char *option, const char *name)
{
	return option != NULL ? option : getenv(name);
}
