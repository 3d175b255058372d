/*
 * The faults of a run, drawn from its seed before it begins.
 */
#ifndef TESTS_SOAK_SCHEDULE_H
#define TESTS_SOAK_SCHEDULE_H

#include <string>
#include <vector>

#include "tests/soak/options.h"

namespace soak
{

enum class fault_kind_t {
	KILL, /* of a VM, then a new one with the same address */
	STOP, /* planned, likewise */
	FREEZE, /* of a VM */
	CUT, /* of a domain from the others */
	PLATFORM_CUT, /* of a domain or one VM from the platform */
	OUTAGE, /* of the platform: it refuses or hangs */
	LOSE_ANSWERS, /* of the platform's writes */
	SLOW_PLATFORM,
	WATCH, /* events or the whole history are lost */
	LIST, /* the list of VMs is down or empty */
	LEAVING, /* an engine or a service leaves and comes back */
	ENGINE_KILL, /* and a new one with the same address */
	SERVICE, /* calls run, but their answers fail */
	NONE, /* for a run without faults */
	POISON, /* prompts that crash engines: see poison.cc */
};

struct fault_t {
	long at_ms; /* since the run began */
	long lasts_ms;
	fault_kind_t kind;
	size_t target; /* any number: taken modulo the targets there are */
	size_t variant; /* likewise */
};

const char *fault_name(fault_kind_t kind);
bool is_fault_kind(const std::string &name);
std::string fault_kinds(); /* all names, for a message */
std::vector<fault_t> plan_faults(const options_t &options);

} // namespace soak

#endif
