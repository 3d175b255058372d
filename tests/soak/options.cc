/*
 * The command line of the soak.
 */
#include <algorithm>
#include <cstdio>
#include <sstream>

#include <glib.h>

#include "tests/soak/options.h"
#include "tests/soak/schedule.h"

namespace soak
{

namespace
{

/* Padana: mostly orders, where online traffic has priority. Coimbra: mostly
 * nightly batch jobs of narratives. */
const shape_t SHAPES[] = {
    {"padana", 1, 8, 10, 2, 40, ",\"trade\":0.2"},
    {"coimbra", 2, 6, 5, 4, 80, ",\"trade\":0.8"},
};

const shape_t *
find_shape(const std::string &name)
{
	for (const shape_t &shape : SHAPES) {
		if (name == shape.name)
			return &shape;
	}
	fprintf(stderr, "--shape %s: padana or coimbra\n", name.c_str());
	return nullptr;
}

bool
read_kinds(const std::string &text, std::vector<std::string> &kinds)
{
	std::stringstream parts(text);
	std::string kind;

	while (std::getline(parts, kind, ',')) {
		if (!is_fault_kind(kind)) {
			fprintf(stderr, "--only %s: one of %s\n", kind.c_str(),
			    fault_kinds().c_str());
			return false;
		}
		kinds.push_back(kind);
	}
	return true;
}

} // namespace

bool
options_t::includes(const std::string &kind) const
{
	return only.empty() ||
	    std::find(only.begin(), only.end(), kind) != only.end();
}

bool
options_t::excludes_vm_faults() const
{
	for (const char *kind :
	    {"kill", "stop", "freeze", "cut", "platform_cut", "outage",
		"slow_platform", "leaving", "service", "failing", "slow"}) {
		if (includes(kind))
			return false;
	}
	return true;
}

std::string
options_t::command() const
{
	std::string text = "soak --seed " + std::to_string(seed) +
	    " --seconds " + std::to_string(seconds) + " --shape " + shape->name;

	for (size_t i = 0; i < only.size(); i++)
		text += (i == 0 ? " --only " : ",") + only[i];
	return text;
}

bool
read_options(int argc, char **argv, options_t &options)
{
	gint64 seed = 1;
	gint seconds = 120;
	gint quiet = 120;
	gchar *shape = g_strdup("padana");
	gchar *only = g_strdup("");
	gchar *history = g_strdup("");
	GOptionEntry entries[] = {
	    {"seed", 0, 0, G_OPTION_ARG_INT64, &seed,
		"seed of the random numbers; default 1", "N"},
	    {"seconds", 0, 0, G_OPTION_ARG_INT, &seconds,
		"duration of the traffic in s; default 120", "N"},
	    {"quiet", 0, 0, G_OPTION_ARG_INT, &quiet,
		"s that jobs may take after the traffic; default 120", "N"},
	    {"shape", 0, 0, G_OPTION_ARG_STRING, &shape,
		"padana (default) or coimbra", "NAME"},
	    {"only", 0, 0, G_OPTION_ARG_STRING, &only,
		"only these kinds of faults, separated by commas", "KINDS"},
	    {"history", 0, 0, G_OPTION_ARG_FILENAME, &history,
		"write each operation and fault as a JSON line", "FILE"},
	    {nullptr, 0, 0, G_OPTION_ARG_NONE, nullptr, nullptr, nullptr}};
	GOptionContext *context = g_option_context_new(nullptr);
	GError *error = nullptr;
	bool valid = false;

	g_option_context_add_main_entries(context, entries, nullptr);
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		fprintf(stderr, "%s\n", error->message);
		goto out;
	}
	options.seed = static_cast<unsigned long>(seed);
	options.seconds = seconds;
	options.quiet = quiet;
	options.history = history;
	options.shape = find_shape(shape);
	valid = options.shape != nullptr && read_kinds(only, options.only);
out:
	g_clear_error(&error);
	g_option_context_free(context);
	g_free(history);
	g_free(only);
	g_free(shape);
	return valid;
}

} // namespace soak
