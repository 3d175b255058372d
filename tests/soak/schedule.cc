/*
 * Generates the faults of a run.
 */
#include <algorithm>
#include <functional>
#include <random>

#include "tests/soak/schedule.h"

namespace soak
{

namespace
{

struct fault_spec_t {
	fault_kind_t kind;
	const char *name;
	int weight;
	long min_ms;
	long max_ms;
};

const fault_spec_t FAULT_SPECS[] = {
    {fault_kind_t::KILL, "kill", 5, 200, 3000},
    {fault_kind_t::STOP, "stop", 2, 100, 1000},
    {fault_kind_t::FREEZE, "freeze", 5, 1000, 8000},
    {fault_kind_t::CUT, "cut", 3, 1000, 8000},
    {fault_kind_t::PLATFORM_CUT, "platform_cut", 3, 1000, 8000},
    {fault_kind_t::OUTAGE, "outage", 3, 2000, 10000},
    {fault_kind_t::LOSE_ANSWERS, "lose_answers", 4, 10, 20},
    {fault_kind_t::SLOW_PLATFORM, "slow_platform", 2, 1000, 6000},
    {fault_kind_t::WATCH, "watch", 2, 10, 20},
    {fault_kind_t::LIST, "list", 2, 1000, 6000},
    {fault_kind_t::LEAVING, "leaving", 3, 1000, 6000},
    {fault_kind_t::ENGINE_KILL, "engine_kill", 3, 200, 2000},
    {fault_kind_t::SERVICE, "service", 5, 500, 3000},
    {fault_kind_t::NONE, "none", 0, 0, 0},
    {fault_kind_t::POISON, "poison", 0, 0, 0},
};

/* Drawn by random numbers of their own, so that a seed keeps the others. */
const fault_spec_t LOAD_FAULT_SPECS[] = {
    {fault_kind_t::HOT_TEAM, "hot_team", 1, 3000, 8000},
    {fault_kind_t::FAILING, "failing", 2, 500, 8000},
    {fault_kind_t::SLOW, "slow", 2, 500, 6000},
};

/* Faults begin when traffic already runs; the last ones have time to act. */
constexpr long NO_FAULTS_BEGIN_MS = 2000;
constexpr long NO_FAULTS_END_MS = 2000;
constexpr long GAP_MIN_MS = 400;
constexpr long GAP_MAX_MS = 2400;
constexpr long LOAD_GAP_MIN_MS = 2000;
constexpr long LOAD_GAP_MAX_MS = 8000;

/* std::uniform_int_distribution differs between libraries, so that a seed
 * would give other faults elsewhere; this function does not. */
long
draw(std::mt19937_64 &random, long min, long max)
{
	return min +
	    static_cast<long>(
		random() % static_cast<unsigned long>(max - min + 1));
}

int
weight_of(const options_t &options, const fault_spec_t &spec)
{
	return options.includes(spec.name) ? spec.weight : 0;
}

const fault_spec_t *
find_spec(const std::function<bool(const fault_spec_t &)> &matches)
{
	for (const fault_spec_t &spec : FAULT_SPECS) {
		if (matches(spec))
			return &spec;
	}
	for (const fault_spec_t &spec : LOAD_FAULT_SPECS) {
		if (matches(spec))
			return &spec;
	}
	return nullptr;
}

template <size_t N>
void
add_faults(const options_t &options, unsigned long seed,
    const fault_spec_t (&specs)[N], long gap_min_ms, long gap_max_ms,
    std::vector<fault_t> &faults)
{
	std::mt19937_64 random(seed);
	long end_ms = options.seconds * 1000 - NO_FAULTS_END_MS;
	long at_ms = NO_FAULTS_BEGIN_MS;
	int total = 0;

	for (const fault_spec_t &spec : specs)
		total += weight_of(options, spec);
	while (total > 0 && at_ms < end_ms) {
		long at = draw(random, 0, total - 1);
		const fault_spec_t *spec = specs;
		while ((at -= weight_of(options, *spec)) >= 0)
			spec++;
		long lasts_ms = draw(random, spec->min_ms, spec->max_ms);
		faults.push_back(
		    {at_ms, lasts_ms, spec->kind, random(), random()});
		at_ms += draw(random, gap_min_ms, gap_max_ms);
	}
}

} // namespace

const char *
fault_name(fault_kind_t kind)
{
	return find_spec([kind](const fault_spec_t &spec) {
		return spec.kind == kind;
	})->name;
}

bool
is_fault_kind(const std::string &name)
{
	return find_spec([&name](const fault_spec_t &spec) {
		return name == spec.name;
	}) != nullptr;
}

std::string
fault_kinds()
{
	std::string names;

	(void)find_spec([&names](const fault_spec_t &spec) {
		names += (names.empty() ? "" : ", ") + std::string(spec.name);
		return false;
	});
	return names;
}

std::vector<fault_t>
plan_faults(const options_t &options)
{
	std::vector<fault_t> faults;

	add_faults(
	    options, options.seed, FAULT_SPECS, GAP_MIN_MS, GAP_MAX_MS, faults);
	add_faults(options, ~options.seed, LOAD_FAULT_SPECS, LOAD_GAP_MIN_MS,
	    LOAD_GAP_MAX_MS, faults);
	std::stable_sort(faults.begin(), faults.end(),
	    [](const fault_t &one, const fault_t &other) {
		    return one.at_ms < other.at_ms;
	    });
	return faults;
}

} // namespace soak
