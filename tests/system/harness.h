/*
 * Process harness of the failure tests: starts a stand-in platform, stand-in
 * backend servers and VMs in several failure domains, each on its own loopback
 * ports, and injects failures: kill, pause, resume, restart, partitions.
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

/* Long enough that only a hang exceeds it. */
constexpr long LIMIT_MS = 30000;

using strings_t = std::vector<std::string>;

/* A parsed JSON text, read by paths such as "request_counts.total", "0.run". */
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

/* A request whose answer is received incrementally in a thread. */
class stream_t
{
      public:
	stream_t(const std::string &url, const std::string &body,
	    const strings_t &headers = {});
	/* Closes the connection if the answer has not ended. */
	~stream_t();
	stream_t(const stream_t &) = delete;
	std::string received() const;
	/* While paused, reads nothing from the connection, like a slow
	 * caller. */
	void pause(bool paused);
	void hang_up();
	bool ended() const;
	/* Waits until the answer has ended. */
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
	static size_t on_data(char *, size_t, size_t, void *);
	static int shrink_receive_buffer(void *, curl_socket_t, curlsocktype);
	static int
	on_progress(void *, curl_off_t, curl_off_t, curl_off_t, curl_off_t);
};

/* Polls a condition. When the time limit expires, fails the test and returns
 * false. */
bool wait_until(const std::string &what, const std::function<bool()> &condition,
    long limit_ms = LIMIT_MS);
/* Milliseconds of a monotonic clock. */
long now_ms();

/* A child process; the destructor kills it if it still runs. */
class process_t
{
      public:
	process_t(std::string program, strings_t options, std::string log);
	~process_t();
	process_t(const process_t &) = delete;
	void start();
	void kill();
	/* SIGSTOP. */
	void freeze();
	/* SIGCONT. */
	void thaw();
	void terminate();
	/* Waits until the process exits; returns the exit status, or -1 after
	 * a signal. */
	int wait_exit();
	bool is_alive();
	/* A value of /proc/PID/status in kB, such as "VmRSS"; 0: not running. */
	long status_kb(const std::string &key) const;
	/* Open file descriptors. */
	size_t descriptor_count() const;
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

/* A stand-in process for the platform or a backend server. */
struct standin_t {
	std::string name;
	std::string domain;
	std::string service;
	std::string address; /* IP:PORT */
	std::string control; /* URL of the control port */
	std::unique_ptr<process_t> process;

	void start();
	void fault(const std::string &json) const;
	/* GET of a path below /control. */
	reply_t ask(const std::string &path) const;
	/* A number in the answer of /control/counts. */
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
	/* Calls the plain service under an idempotency key. */
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
	std::string pallets = {}; /* fields added to the plain service */
};

/* A fleet: the constructor starts and configures it and waits until it serves,
 * the destructor stops it. */
class fleet_t
{
	ports_t ports; /* declared before the processes that use them */

      public:
	standin_t platform;
	std::vector<standin_t> engines;
	std::vector<standin_t> services;
	std::vector<std::unique_ptr<vm_t>> vms;

	explicit fleet_t(const fleet_options_t &options);
	~fleet_t();
	fleet_t(const fleet_t &) = delete;
	/* A VM by the indices of its domain and within the domain, from 0. */
	vm_t &vm(int domain, int number) const;
	/* Kills and restarts a VM: its memory is lost, its address stays. */
	void replace(vm_t &vm);
	/* Disconnects two VMs from each other, or reconnects them. */
	void cut(const vm_t &one, const vm_t &other, bool cut) const;
	/* Disconnects a domain from all others, or reconnects it. */
	void cut_domain(int domain, bool cut) const;
	/* Disconnects exactly these VMs from the platform; an empty list
	 * reconnects all. */
	void cut_platform(const std::vector<const vm_t *> &cut) const;
	void cut_platform_from_domain(int domain) const;
	/* The platform lists these VMs as leaving, all others as live. */
	void list_leaving(const strings_t &names) const;
	void wait_ready() const;
	/* Waits until the VM reports the job with this status; returns the
	 * last answer. */
	reply_t wait_job(const vm_t &vm, const std::string &id,
	    const std::string &status = "completed") const;
	long streams_started() const;
	long runs(const std::string &path) const; /* summed over services */
	bool has_run(const std::string &key) const;

      private:
	fleet_options_t options;
	std::string folder;

	void wait_members_live() const;
	void add_standin(standin_t &, const std::string &name,
	    const std::string &program, strings_t);
	void add_servers(const std::string &domain);
	void add_vm(const std::string &domain, int number);
	std::string describe_static_peers(const std::string &domain) const;
	std::string describe_vms(const strings_t &leaving) const;
	std::string describe_writes() const;
	std::string describe_config() const;
};

/* The text expected for a prompt. */
std::string text_of(const std::string &prompt, int tokens);
/* Whether a reply is the complete answer to this prompt. */
bool is_answer_to(const reply_t &reply, const std::string &prompt, int tokens);
strings_t make_prompts(const std::string &name, int count);
/* Checks that the results hold each prompt's item once, with the answer to that
 * prompt; see upload(). */
void
expect_results(const reply_t &results, const strings_t &prompts, int tokens);
/* The results by custom_id; two results of one item fail the test. */
std::map<std::string, std::string> read_results(const reply_t &results);
/* Checks that no output object of the job was written twice; returns how many
 * there are. */
size_t expect_written_once(const standin_t &platform, const std::string &id);

} // namespace harness

#endif
