/*
 * Real processes for the failure tests: a platform, backend servers and VMs
 * over failure domains, each on a loopback port of its own, with what brings
 * failures about: kill, freeze, thaw, restart, cuts.
 */
#ifndef TESTS_SYSTEM_HARNESS_H
#define TESTS_SYSTEM_HARNESS_H

#include <sys/types.h>

#include <atomic>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <curl/curl.h>
#include <gtest/gtest.h>
#include <jansson.h>

#include "tests/system/ports.h"

namespace harness
{

/* Generous: only a hang reaches it. */
constexpr long LIMIT_MS = 30000;

using strings_t = std::vector<std::string>;

/* A JSON text, read by paths such as "request_counts.total" or "0.run". */
class json_view_t
{
      public:
	explicit json_view_t(const std::string &text);
	~json_view_t();
	json_view_t(const json_view_t &) = delete;
	std::string text(const std::string &path) const;
	long number(const std::string &path) const;
	bool is_true(const std::string &path) const;
	size_t size(const std::string &path = "") const;

      private:
	json_t *root;

	const json_t *find(const std::string &path) const;
};

struct reply_t {
	CURLcode code = CURLE_OK;
	long status = 0; /* 0: no answer */
	std::string headers;
	std::string body;

	bool has(const std::string &part) const;
	std::string header(const std::string &name) const;
	std::string text(const std::string &path) const;
	long number(const std::string &path) const;
};

reply_t call(const std::string &method, const std::string &url,
    const std::string &body = "", const strings_t &headers = {},
    long timeout_ms = LIMIT_MS);
std::future<reply_t> call_later(const std::string &method,
    const std::string &url, const std::string &body = "",
    const strings_t &headers = {}, long timeout_ms = LIMIT_MS);

/* A request whose answer is read while it comes. */
class stream_t
{
      public:
	stream_t(const std::string &url, const std::string &body,
	    const strings_t &headers = {});
	/* Hangs up when the answer has not ended. */
	~stream_t();
	stream_t(const stream_t &) = delete;
	std::string seen() const;
	/* Reads nothing more until told to, as a slow caller does. */
	void pause(bool paused);
	void hang_up();
	bool ended() const;
	/* Waits for the end of the answer. */
	const reply_t &finish();

      private:
	std::string url;
	std::string body;
	strings_t headers;
	mutable std::mutex lock;
	reply_t reply;
	std::atomic<bool> stop{false};
	std::atomic<bool> paused{false};
	std::atomic<bool> done{false};
	std::thread thread;

	void run();
	static size_t take(char *, size_t, size_t, void *);
	static int narrow(void *, curl_socket_t, curlsocktype);
	static int look(void *, curl_off_t, curl_off_t, curl_off_t, curl_off_t);
};

/* Polls a condition; false, and a failure of the test, at the limit. */
bool wait_until(const std::string &what, const std::function<bool()> &holds,
    long limit_ms = LIMIT_MS);
/* Milliseconds of a monotonic clock, for printed figures only. */
long now_ms();

/* A process that is killed with the object at the latest. */
class process_t
{
      public:
	process_t(std::string program, strings_t options, std::string log);
	~process_t();
	process_t(const process_t &) = delete;
	void start();
	void kill();
	void freeze();
	void thaw();
	void terminate();
	/* Waits for the end; the exit status, or -1 after a signal. */
	int wait_exit();
	bool is_alive();
	std::string log_text() const;
	std::string log_tail(size_t bytes) const;

      private:
	std::string program;
	strings_t options;
	std::string log;
	pid_t pid = -1;
	int status = -1;

	void reap(int flags);
	void signal(int number);
};

/* A stand-in of the platform or of a backend server. */
struct standin_t {
	std::string name;
	std::string domain;
	std::string service;
	std::string address; /* IP:PORT */
	std::string control; /* URL of the control port */
	std::unique_ptr<process_t> process;

	void start();
	void fault(const std::string &json) const;
	reply_t ask(const std::string &path) const;
	/* A number of /control/counts. */
	long count(const std::string &path) const;
};

struct vm_t {
	std::string name;
	std::string domain;
	std::string neighbours; /* IP:PORT */
	std::string callers; /* URL */
	std::string operators; /* URL */
	std::unique_ptr<process_t> process;

	bool is_ready() const;
	long version() const; /* of the configuration; -1: none */
	reply_t patch(long version, const std::string &json,
	    const strings_t &headers = {}, long timeout_ms = LIMIT_MS) const;
	reply_t complete(const std::string &prompt, int tokens,
	    const strings_t &headers = {}) const;
	std::future<reply_t> complete_later(const std::string &prompt,
	    int tokens, const strings_t &headers = {}) const;
	/* A call of the plain service under a key. */
	reply_t book(const std::string &key, const std::string &body = "{}",
	    long timeout_ms = LIMIT_MS) const;
	std::future<reply_t> book_later(
	    const std::string &key, const std::string &body = "{}") const;
	std::string upload(const strings_t &prompts, int tokens) const;
	reply_t submit(const std::string &file, const std::string &key) const;
	reply_t job(const std::string &id) const;
	reply_t cancel(const std::string &id) const;
	reply_t results(const std::string &id) const;
};

struct fleet_options_t {
	int domains = 2;
	int vms = 2; /* per domain, likewise below */
	int engines = 1;
	int services = 0;
	strings_t engine_options = {};
	std::string settings = {}; /* tables added to each VM's settings */
	std::string narrador = {}; /* fields added to the model's service */
	std::string pallets = {}; /* to the plain service */
};

/* A fleet in service: started, configured, and ended with the object. */
class fleet_t
{
	ports_t ports; /* before the processes that listen there */

      public:
	standin_t platform;
	std::vector<standin_t> engines;
	std::vector<standin_t> services;
	std::vector<std::unique_ptr<vm_t>> vms;

	explicit fleet_t(const fleet_options_t &options);
	~fleet_t();
	fleet_t(const fleet_t &) = delete;
	/* VM number of a domain's number; both from 0. */
	vm_t &vm(int domain, int number) const;
	/* Kills and starts it anew, with no memory and the same address. */
	void replace(vm_t &vm);
	/* Cuts two VMs off from each other, or mends the cut. */
	void cut(const vm_t &one, const vm_t &other, bool cut) const;
	/* Cuts a domain off from all the others. */
	void cut_domain(int domain, bool cut) const;
	/* Those VMs get no answer of the platform; empty mends it. */
	void cut_platform(const std::vector<const vm_t *> &cut) const;
	void cut_platform_from_domain(int domain) const;
	/* The platform lists these VMs as leaving, all others as live. */
	void list_leaving(const strings_t &names) const;
	void wait_ready() const;
	/* Waits for the job's end at this VM; its last status. */
	reply_t wait_job(const vm_t &vm, const std::string &id,
	    const std::string &status = "completed") const;
	long streams_started() const;
	long runs(const std::string &path) const; /* summed over services */
	bool has_run(const std::string &key) const;

      private:
	fleet_options_t options;
	std::string folder;

	void wait_acquainted() const;
	void add_standin(standin_t &, const std::string &name,
	    const std::string &program, strings_t);
	void add_servers(const std::string &domain);
	void add_vm(const std::string &domain, int number);
	std::string describe_seeds(const std::string &domain) const;
	std::string describe_vms(const strings_t &leaving) const;
	std::string describe_writes() const;
	std::string describe_config() const;
};

/* The text that a prompt has to bring about. */
std::string text_of(const std::string &prompt, int tokens);
/* Whether an answer is the whole one of its own prompt. */
bool is_answer_to(const reply_t &reply, const std::string &prompt, int tokens);
strings_t make_prompts(const std::string &name, int count);
/* Each prompt's item is there once, with its own answer; see upload(). */
void
expect_results(const reply_t &results, const strings_t &prompts, int tokens);
/* The results by custom_id; more than one of an item fails the test. */
std::map<std::string, std::string> read_results(const reply_t &results);
/* No out object of the job was written twice; how many there are. */
size_t expect_written_once(const standin_t &platform, const std::string &id);

} // namespace harness

#endif
