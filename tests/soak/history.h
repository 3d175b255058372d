/*
 * Records the requests and answers of callers, the injected faults, and the
 * results of checks.
 */
#ifndef TESTS_SOAK_HISTORY_H
#define TESTS_SOAK_HISTORY_H

#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include <curl/curl.h>

namespace soak
{

/* One request of a caller to one VM, and its answer. */
struct attempt_t {
	std::string caller;
	std::string operation;
	std::string vm;
	std::string key; /* of the request, job or patch */
	long begin_ms = 0; /* on the monotonic clock */
	long end_ms = 0;
	CURLcode code = CURLE_OK;
	long status = 0; /* 0: no answer */
	std::string problem; /* error code of the answer; empty: none */
	std::string run; /* field "run" of an error: not_run, unknown */
	std::string detail; /* body of the answer, where checks need it */

	/* The answer was not received whole, but the request may still run. */
	bool is_open() const;
};

class history_t
{
      public:
	/* With an empty path, nothing is written to a file. */
	explicit history_t(const std::string &path);
	void add(const attempt_t &attempt);
	void add_fault(const std::string &kind, const std::string &target,
	    const std::string &phase);
	std::vector<attempt_t> find(const std::string &operation) const;
	/* Attempts by key, each list ordered by begin_ms. */
	std::map<std::string, std::vector<attempt_t>>
	group(const std::string &operation) const;
	void print_counts() const;

      private:
	mutable std::mutex lock;
	std::ofstream file;
	std::vector<attempt_t> attempts;
	std::map<std::string, long> faults;
};

/* Results of the checks and counters of a run, by name. */
class verdicts_t
{
      public:
	void
	expect(const std::string &check, bool holds, const std::string &what);
	/* Adds to a counter that is printed but not checked. */
	void count(const std::string &name, long number = 1);
	/* Prints all; returns true if no check failed. */
	bool print() const;

      private:
	struct check_t {
		long evaluated = 0;
		std::vector<std::string> violations;
	};
	mutable std::mutex lock;
	std::map<std::string, check_t> checks;
	std::map<std::string, long> figures;
};

} // namespace soak

#endif
