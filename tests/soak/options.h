/*
 * Options of a soak run: seed, duration, shape, kinds of faults.
 */
#ifndef TESTS_SOAK_OPTIONS_H
#define TESTS_SOAK_OPTIONS_H

#include <string>
#include <vector>

namespace soak
{

/* Fleet and traffic that model one user's workload at small scale. */
struct shape_t {
	const char *name;
	int engines; /* per domain */
	int online_callers;
	int call_callers;
	int batch_callers;
	int job_items; /* maximum per job */
	const char *narrador; /* extra fields of the model's service */
};

struct options_t {
	unsigned long seed = 1;
	long seconds = 120; /* of traffic, without the checks */
	long quiet = 120; /* s that jobs may take after the traffic */
	const shape_t *shape = nullptr;
	std::vector<std::string> only; /* kinds of faults; empty: all */
	std::string history; /* path of a file; empty: none is written */

	bool includes(const std::string &kind) const;
	/* Whether the run has no faults of VMs, of their connections to others
	 * and the platform, or of services. */
	bool excludes_vm_faults() const;
	std::string command() const; /* that repeats this run */
};

/* On an invalid option, prints it to standard error and returns false. */
bool read_options(int argc, char **argv, options_t &options);

} // namespace soak

#endif
