/*
 * The faults of a run, generated from its seed before it begins.
 */
#ifndef TESTS_SOAK_SCHEDULE_H
#define TESTS_SOAK_SCHEDULE_H

#include <string>
#include <vector>

#include "tests/soak/options.h"

namespace soak
{

enum class fault_kind_t {
	KILL, /* of a VM; a new one starts at its address */
	STOP, /* planned stop of a VM; a new one starts likewise */
	FREEZE, /* a VM is paused */
	CUT, /* a domain is cut off from the others */
	PLATFORM_CUT, /* a domain or VM is cut off from the platform */
	OUTAGE, /* the platform refuses requests or hangs */
	LOSE_ANSWERS, /* to writes that the platform has executed */
	SLOW_PLATFORM,
	WATCH, /* a watch loses events or the whole history */
	LIST, /* the list of VMs is unavailable or empty */
	LEAVING, /* an engine or a service leaves and rejoins */
	ENGINE_KILL, /* a new engine starts at the same address */
	SERVICE, /* calls run, but their answers fail */
	NONE, /* for a run without faults */
	POISON, /* prompts that crash engines: see batch_traffic.cc */
	HOT_TEAM, /* sends many times its usual load */
	FAILING, /* a server answers a part or all of its requests with 500 */
	SLOW, /* a server is several times slower */
};

struct fault_t {
	long at_ms; /* since the run began */
	long lasts_ms;
	fault_kind_t kind;
	size_t target; /* any number: modulo the number of targets */
	size_t variant; /* any number: modulo the number of variants */
};

const char *fault_name(fault_kind_t kind);
bool is_fault_kind(const std::string &name);
std::string fault_kinds(); /* all names, separated by commas */
std::vector<fault_t> plan_faults(const options_t &options);

} // namespace soak

#endif
