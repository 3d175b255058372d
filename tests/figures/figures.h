/*
 * What the figures under failure share: samples, traffic, and looks at the
 * platform and the backend servers that cost the platform no call.
 *
 * A figure is one line "figure=NAME trials=N key=value ...". Times are in
 * milliseconds unless the name says otherwise.
 */
#ifndef TESTS_FIGURES_FIGURES_H
#define TESTS_FIGURES_FIGURES_H

#include <random>

#include "tests/system/harness.h"

namespace figures
{

using harness::fleet_t;
using harness::reply_t;
using harness::standin_t;
using harness::vm_t;

/* Values of repeated trials. */
class sample_t
{
      public:
	void add(double value);
	size_t size() const;
	double sum() const;
	/* Nearest rank; 0 of an empty sample. */
	double quantile(double share) const;
	/* Prints median and extremes. */
	void print(const std::string &name) const;

      private:
	std::vector<double> values;
};

/* Prints a share of requests as served/asked. */
void print_share(const std::string &name, long served, long asked);

void rest(long ms);
/* Milliseconds of the wall clock, which log lines carry. */
double wall_ms();

/* A streamed completion with the times of its bytes since it was due. */
struct timed_t {
	bool whole = false;
	double first_ms = 0;
	double end_ms = 0;
};

timed_t stream_completion(
    const vm_t &vm, const std::string &prompt, int tokens, long due_ms);

/* Streamed completions at seeded Poisson times, whatever becomes of them. */
class arrivals_t
{
      public:
	sample_t first;
	sample_t end;
	long failed = 0;

	arrivals_t(
	    const fleet_t &fleet, double per_second, int tokens, unsigned seed);
	/* Returns when all that arrived within the time were answered. */
	void run(long for_ms);

      private:
	const fleet_t &fleet;
	double rate;
	int tokens;
	std::mt19937 random;
	std::mutex lock;

	void serve(const std::vector<long> &due, std::atomic<size_t> &next);
};

/* Threads that send short completions to each VM one after another. */
class flow_t
{
      public:
	flow_t(const fleet_t &fleet, int threads_per_vm);
	~flow_t();

      private:
	std::atomic<bool> stop{false};
	std::vector<std::thread> threads;
};

using calls_t = std::map<std::string, long>;

/* The platform's calls so far by kind, with their sum as "all". */
calls_t count_calls(const standin_t &platform);
calls_t subtract(const calls_t &from, const calls_t &what);
/* The holders of a job's chunks that run, by key, from the write log. */
std::map<std::string, std::string>
read_holders(const standin_t &platform, const std::string &prefix);
/* Whether the job's end is written. */
bool has_ended(const standin_t &platform, const std::string &id);

/* Streams of batch that an engine admitted; ended ones within a time. */
long count_batch_records(const standin_t &engine);
long count_batch_done(const standin_t &engine, long from_ms, long until_ms);
/* When an engine last admitted a stream, of now_ms()'s clock; 0: never. */
long find_last_start(const standin_t &engine);

/* A field of each log line of an event, with the line's wall time. */
std::vector<std::pair<double, long>>
read_events(const vm_t &vm, const std::string &event, const std::string &field);

} // namespace figures

#endif
