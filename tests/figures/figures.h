/*
 * Shared by the measurements under failure: samples, traffic, and reads of the
 * state of the platform and of backend servers that are not counted as calls of
 * the platform.
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

/* Prints how many of the requests were served, and their share. */
void print_share(const std::string &name, long served, long sent);

void sleep_ms(long ms);
/* Wall-clock time in ms, comparable with the times in log lines. */
double wall_ms();

/* A streamed completion; times are in ms since the request was due. */
struct timed_t {
	bool whole = false;
	double first_ms = 0;
	double end_ms = 0;
};

timed_t stream_completion(
    const vm_t &vm, const std::string &prompt, int tokens, long due_ms);

/* Streamed completions at seeded Poisson times. The times do not depend on how
 * earlier requests end. */
class arrivals_t
{
      public:
	sample_t first;
	sample_t end;
	long failed = 0;

	arrivals_t(
	    const fleet_t &fleet, double per_second, int tokens, unsigned seed);
	/* Sends requests for for_ms; returns when all of them have ended. */
	void run(long for_ms);

      private:
	const fleet_t &fleet;
	double rate;
	int tokens;
	std::mt19937 random;
	std::mutex lock;

	void serve(const std::vector<long> &due, std::atomic<size_t> &next);
};

/* Threads per VM that each send short completions in sequence. */
class background_traffic_t
{
      public:
	background_traffic_t(const fleet_t &fleet, int threads_per_vm);
	~background_traffic_t();

      private:
	std::atomic<bool> stop{false};
	std::vector<std::thread> threads;
};

using calls_t = std::map<std::string, long>;

/* Calls that the platform has received, by kind; "all" is their sum. */
calls_t count_calls(const standin_t &platform);
calls_t subtract(const calls_t &from, const calls_t &what);
/* Holders of the job's running chunks, by key, read from the write log. */
std::map<std::string, std::string>
read_holders(const standin_t &platform, const std::string &prefix);
/* Whether the platform has the record of the job's end. */
bool has_ended(const standin_t &platform, const std::string &id);

/* Batch streams that an engine has admitted. */
long count_batch_records(const standin_t &engine);
/* Batch streams that an engine completed within [from_ms, until_ms). */
long count_batch_done(const standin_t &engine, long from_ms, long until_ms);
/* When the engine last admitted a stream, on now_ms()'s clock; 0: never. */
long find_last_start(const standin_t &engine);

/* Wall-clock time (ms) and value of a field, of each log line of an event. */
std::vector<std::pair<double, long>>
read_events(const vm_t &vm, const std::string &event, const std::string &field);

} // namespace figures

#endif
