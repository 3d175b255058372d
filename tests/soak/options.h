/*
 * What a run of the soak is asked for: seed, length, shape, kinds of faults.
 */
#ifndef TESTS_SOAK_OPTIONS_H
#define TESTS_SOAK_OPTIONS_H

#include <string>
#include <vector>

namespace soak
{

/* The traffic and the fleet of one users' workload, at small scale. */
struct shape_t {
	const char *name;
	int engines; /* per domain */
	int online_callers;
	int call_callers;
	int batch_callers;
	int job_items; /* most of one job */
	const char *narrador; /* fields of the model's service */
};

struct options_t {
	unsigned long seed = 1;
	long seconds = 120; /* of traffic; the checks come on top */
	long quiet = 120; /* s: the longest that jobs may take after it */
	const shape_t *shape = nullptr;
	std::vector<std::string> only; /* kinds of faults; empty: all */
	std::string history; /* path; empty: none is written */

	bool brings(const std::string &kind) const;
	/* No fault of a VM, of its ways to others or of plain services. */
	bool leaves_vms_alone() const;
	std::string command() const; /* that runs the same once more */
};

/* False, after a line on standard error, when an option is not valid. */
bool read_options(int argc, char **argv, options_t &options);

} // namespace soak

#endif
