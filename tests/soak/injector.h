/*
 * Injects the planned faults and ends each one at its time.
 */
#ifndef TESTS_SOAK_INJECTOR_H
#define TESTS_SOAK_INJECTOR_H

#include <map>
#include <set>
#include <string>
#include <vector>

#include "tests/soak/schedule.h"
#include "tests/soak/context.h"

namespace soak
{

class injector_t
{
      public:
	explicit injector_t(run_context_t &context);
	/* Runs until the planned end, then ends all faults. */
	void run();
	/* Restarts engines that the last poison prompts crash, until
	 * checks_done is set. */
	void restart_crashed(const std::atomic<bool> &checks_done);

      private:
	/* A fault that is in effect. */
	struct open_fault_t {
		long end_ms;
		fault_t fault;
		std::string target;
	};
	run_context_t &context;
	harness::fleet_t &fleet;
	std::vector<fault_t> plan;
	size_t next = 0;
	long began_ms = 0;
	std::vector<open_fault_t> open;
	/* Targets with a fault in effect. */
	std::set<std::string> faulty_targets;
	/* VMs asked to stop, with the time at which they are killed. */
	std::map<size_t, long> stopping;
	/* Crashed engines, with the time of their restart. */
	std::map<size_t, long> restarts;
	std::set<size_t> killed_engines;
	std::set<std::string> cut_domains;
	std::set<std::string> cut_clients; /* VMs cut off from the platform */
	/* VMs that have not received the current cuts. */
	std::set<size_t> stale_cuts;

	void step();
	void begin_due(long now_ms);
	void end_due(long now_ms);
	void end_all();
	std::string target_of(const fault_t &) const;
	void begin(const fault_t &);
	void end(const open_fault_t &);
	void end_vm(const fault_t &);
	void begin_outage(const fault_t &);
	void begin_watch_loss(const fault_t &);
	void begin_leaving(const fault_t &, bool leaving);
	void begin_replacement(const fault_t &);
	void begin_service_fault(const fault_t &);
	const harness::standin_t &server_of(const fault_t &) const;
	bool is_engine(const fault_t &) const;
	void set_server_fault(const fault_t &, const std::string &json);
	void cut_platform(const fault_t &, bool cut);
	void cut_domain(const fault_t &, bool cut);
	void watch_stops(long now_ms);
	void watch_engines(long now_ms);
	void record_crash(const harness::standin_t &);
	void send_cuts();
	bool send_cuts_to(size_t vm);
	void kill_vm(size_t number);
	void start_vm(size_t number);
};

} // namespace soak

#endif
