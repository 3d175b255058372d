/*
 * What callers asked and were told, what was broken, and what was judged.
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

/* One operation of a caller at one VM. */
struct attempt_t {
	std::string caller;
	std::string operation;
	std::string vm;
	std::string key; /* of the request, job or patch */
	long begin_ms = 0; /* of the machine's monotonic clock */
	long end_ms = 0;
	CURLcode code = CURLE_OK;
	long status = 0; /* 0: no answer */
	std::string problem; /* its code, when it is one */
	std::string run; /* what it says of the run */
	std::string detail; /* the answer, where checks need it */

	/* The caller may not have its answer, yet the request may be alive. */
	bool is_open() const;
};

class history_t
{
      public:
	/* An empty path keeps it in memory only. */
	explicit history_t(const std::string &path);
	void add(const attempt_t &attempt);
	void add_fault(const std::string &kind, const std::string &target,
	    const std::string &phase);
	std::vector<attempt_t> find(const std::string &operation) const;
	/* By key, each in order of the beginnings. */
	std::map<std::string, std::vector<attempt_t>>
	group(const std::string &operation) const;
	void print_counts() const;

      private:
	mutable std::mutex lock;
	std::ofstream file;
	std::vector<attempt_t> attempts;
	std::map<std::string, long> faults;
};

/* The checks of a run, each by its name. */
class verdicts_t
{
      public:
	void
	judge(const std::string &check, bool holds, const std::string &what);
	/* A figure that is no verdict. */
	void count(const std::string &name, long number = 1);
	/* Prints all; true when none failed. */
	bool print() const;

      private:
	struct check_t {
		long looked_at = 0;
		std::vector<std::string> violations;
	};
	mutable std::mutex lock;
	std::map<std::string, check_t> checks;
	std::map<std::string, long> figures;
};

} // namespace soak

#endif
