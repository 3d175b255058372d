/*
 * Brings the planned faults about and mends them in time.
 */
#ifndef TESTS_SOAK_INJECTOR_H
#define TESTS_SOAK_INJECTOR_H

#include <map>
#include <set>
#include <string>
#include <vector>

#include "tests/soak/schedule.h"
#include "tests/soak/stage.h"

namespace soak
{

class injector_t
{
      public:
	explicit injector_t(stage_t &stage);
	/* Until the planned end; all faults are mended then. */
	void run();
	/* Restarts engines that the last poison crashes, until told to end. */
	void look_after(const std::atomic<bool> &over);

      private:
	/* A fault that was begun and waits for its end. */
	struct open_t {
		long end_ms;
		fault_t fault;
		std::string target;
	};
	stage_t &stage;
	harness::fleet_t &fleet;
	std::vector<fault_t> plan;
	size_t next = 0;
	long began_ms = 0;
	std::vector<open_t> open;
	std::set<std::string> busy; /* targets that a fault is at */
	std::map<size_t, long> stopping; /* VMs told to stop: killed at */
	std::map<size_t, long> restarts; /* engines that crashed: at */
	std::set<size_t> killed_engines;
	std::set<std::string> cut_domains;
	std::set<std::string> cut_clients; /* of the platform */
	std::set<size_t> stale_cuts; /* VMs that are to be told the cuts */

	void step();
	void begin_due(long now_ms);
	void end_due(long now_ms);
	void end_all();
	std::string target_of(const fault_t &) const;
	void begin(const fault_t &);
	void end(const open_t &);
	void end_vm(const fault_t &);
	void begin_outage(const fault_t &);
	void begin_watch_loss(const fault_t &);
	void begin_leaving(const fault_t &, bool leaving);
	void begin_departure(const fault_t &);
	void begin_service_fault(const fault_t &);
	void cut_platform(const fault_t &, bool cut);
	void cut_domain(const fault_t &, bool cut);
	void watch_stops(long now_ms);
	void watch_engines(long now_ms);
	void note_death(const harness::standin_t &);
	void tell_cuts();
	bool tell_cuts_to(size_t vm);
	void kill_vm(size_t number);
	void start_vm(size_t number);
};

} // namespace soak

#endif
