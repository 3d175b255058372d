/*
 * VMs of the users' platform as processes, over a store in memory.
 */
#ifndef JJ_TESTS_SYSTEM_ENTRY_VMS_H
#define JJ_TESTS_SYSTEM_ENTRY_VMS_H

#include <unistd.h>

#include <fstream>

#include "tests/system/harness.h"

namespace harness
{

/* Kills its processes at its end; their logs stay if the test has failed. */
class entry_vms_t
{
      public:
	strings_t addresses; /* for callers */
	std::string folder; /* begin of the names of all files */

	explicit entry_vms_t(const std::string &name)
	    : folder(::testing::TempDir() + "/" + name + "-" +
		  std::to_string(getpid()))
	{
	}
	~entry_vms_t()
	{
		kill_all();
		for (size_t i = 0; i < processes.size(); i++) {
			if (!::testing::Test::HasFailure())
				unlink(file_of(i, ".log").c_str());
			unlink(file_of(i, ".toml").c_str());
		}
	}
	entry_vms_t(const entry_vms_t &) = delete;
	/* @param gateway lines of its settings */
	void
	add(ports_t *ports, const std::string &store, const std::string &domain,
	    long timeout_ms, const std::string &gateway)
	{
		size_t number = processes.size();

		addresses.push_back(ports->choose_address());
		std::ofstream(file_of(number, ".toml"))
		    << "name = \"vm-" << number << "\"\ndomain = \"" << domain
		    << "\"\nregion = \"r\"\nshards = 1\n[listen]\ncallers = \""
		    << addresses.back() << "\"\noperators = \""
		    << ports->choose_address() << "\"\nneighbours = \""
		    << ports->choose_address()
		    << "\"\n[platform]\nform = \"objects\"\naddress = \""
		    << store << "\"\ntimeout_ms = " << timeout_ms
		    << "\ncontracts = []\n[gateway]\n"
		    << gateway << "[log]\nfile = \"-\"\n";
		processes.push_back(std::make_unique<process_t>("jujubed",
		    strings_t{"--settings", file_of(number, ".toml")},
		    file_of(number, ".log")));
	}
	void
	kill_all()
	{
		for (const auto &process : processes)
			process->kill();
	}
	void
	start_all()
	{
		for (const auto &process : processes)
			process->start();
	}

      private:
	std::vector<std::unique_ptr<process_t>> processes;

	std::string
	file_of(size_t vm, const std::string &end)
	{
		return folder + "-vm" + std::to_string(vm) + end;
	}
};

} // namespace harness

#endif
