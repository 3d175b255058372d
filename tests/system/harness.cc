/*
 * Starts, controls and stops the processes of the failure tests.
 */
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <xxhash.h>

#include "tests/system/harness.h"

extern char **environ;

namespace harness
{

namespace
{

constexpr int POLL_MS = 5;
constexpr size_t CHILDREN_MAX = 1024;
constexpr size_t LOG_TAIL = 4000;
constexpr size_t WRITES_TAIL = 60;

/* Pids of running child processes, killed by the signal handler. */
std::atomic<pid_t> children[CHILDREN_MAX];

/* Signal handler: without it, child processes would outlive a test program that
 * crashes or is stopped. */
void
kill_children(int number)
{
	for (std::atomic<pid_t> &child : children) {
		if (child > 0)
			kill(child, SIGKILL);
	}
	signal(number, SIG_DFL);
	raise(number);
}

void
register_child(pid_t pid)
{
	static std::once_flag once;

	std::call_once(once, [] {
		for (int number : {SIGTERM, SIGINT, SIGABRT, SIGSEGV})
			signal(number, kill_children);
	});
	for (std::atomic<pid_t> &child : children) {
		pid_t none = 0;
		if (child.compare_exchange_strong(none, pid))
			return;
	}
}

void
unregister_child(pid_t pid)
{
	for (std::atomic<pid_t> &child : children) {
		pid_t found = pid;
		if (child.compare_exchange_strong(found, 0))
			return;
	}
}

std::string
read_file(const std::string &path)
{
	std::ifstream file(path);
	std::stringstream text;

	text << file.rdbuf();
	return text.str();
}

size_t
append(char *data, size_t size, size_t count, void *text)
{
	static_cast<std::string *>(text)->append(data, size * count);
	return size * count;
}

curl_slist *
prepare(CURL *curl, const std::string &url, const strings_t &headers)
{
	curl_slist *list = curl_slist_append(nullptr, "Expect:");

	for (const std::string &header : headers)
		list = curl_slist_append(list, header.c_str());
	curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, list);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, append);
	return list;
}

std::string
domain_name(int domain)
{
	return std::string("sala-") + static_cast<char>('a' + domain);
}

std::string
completion_body(const std::string &prompt, int tokens)
{
	return "{\"model\":\"narrador\",\"prompt\":\"" + prompt +
	    "\",\"max_tokens\":" + std::to_string(tokens) + "}";
}

} // namespace

/* ---- JSON and HTTP ---- */

json_view_t::json_view_t(const std::string &text)
    : root(json_loadb(text.data(), text.size(), JSON_DECODE_ANY, nullptr))
{
}

json_view_t::~json_view_t()
{
	json_decref(root);
}

const json_t *
json_view_t::find(const std::string &path) const
{
	std::stringstream steps(path);
	std::string step;
	const json_t *at = root;

	while (std::getline(steps, step, '.')) {
		at = json_is_array(at) ? json_array_get(at, std::stoul(step))
				       : json_object_get(at, step.c_str());
	}
	return at;
}

std::string
json_view_t::text(const std::string &path) const
{
	const char *text = json_string_value(find(path));

	return text != nullptr ? text : "";
}

long
json_view_t::number(const std::string &path) const
{
	const json_t *found = find(path);

	return json_is_integer(found) ? json_integer_value(found) : -1;
}

bool
json_view_t::is_true(const std::string &path) const
{
	return json_is_true(find(path));
}

size_t
json_view_t::size(const std::string &path) const
{
	return json_array_size(find(path));
}

bool
reply_t::has(const std::string &part) const
{
	return (headers + body).find(part) != std::string::npos;
}

std::string
reply_t::header(const std::string &name) const
{
	size_t at = headers.find(name + ": ");

	if (at == std::string::npos)
		return "";
	at += name.size() + 2;
	return headers.substr(at, headers.find('\r', at) - at);
}

std::string
reply_t::text(const std::string &path) const
{
	return json_view_t(body).text(path);
}

long
reply_t::number(const std::string &path) const
{
	return json_view_t(body).number(path);
}

reply_t
call(const std::string &method, const std::string &url, const std::string &body,
    const strings_t &headers, long timeout_ms)
{
	CURL *curl = curl_easy_init();
	curl_slist *list = prepare(curl, url, headers);
	reply_t reply;

	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, timeout_ms);
	if (method != "GET") {
		curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE,
		    static_cast<long>(body.size()));
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body.c_str());
		curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method.c_str());
	}
	curl_easy_setopt(curl, CURLOPT_HEADERDATA, &reply.headers);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, &reply.body);
	reply.code = curl_easy_perform(curl);
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &reply.status);
	curl_slist_free_all(list);
	curl_easy_cleanup(curl);
	return reply;
}

std::future<reply_t>
call_later(const std::string &method, const std::string &url,
    const std::string &body, const strings_t &headers, long timeout_ms)
{
	return std::async(
	    std::launch::async, call, method, url, body, headers, timeout_ms);
}

stream_t::stream_t(const std::string &address, const std::string &request,
    const strings_t &fields)
    : url(address), body(request), headers(fields), thread(&stream_t::run, this)
{
}

stream_t::~stream_t()
{
	hang_up();
}

void
stream_t::hang_up()
{
	stop = true;
	if (thread.joinable())
		thread.join();
}

std::string
stream_t::received() const
{
	std::lock_guard<std::mutex> guard(lock);

	return reply.body;
}

void
stream_t::pause(bool value)
{
	paused = value;
}

bool
stream_t::ended() const
{
	return done;
}

const reply_t &
stream_t::finish()
{
	wait_until(url + " ends its answer", [this] { return done.load(); });
	hang_up();
	return reply;
}

void
stream_t::run()
{
	CURL *curl = curl_easy_init();
	curl_slist *list = prepare(curl, url, headers);

	curl_easy_setopt(curl, CURLOPT_SOCKOPTFUNCTION, shrink_receive_buffer);
	curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body.c_str());
	curl_easy_setopt(curl, CURLOPT_HEADERDATA, &reply.headers);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_data);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, this);
	curl_easy_setopt(curl, CURLOPT_NOPROGRESS, 0L);
	curl_easy_setopt(curl, CURLOPT_XFERINFOFUNCTION, on_progress);
	curl_easy_setopt(curl, CURLOPT_XFERINFODATA, this);
	reply.code = curl_easy_perform(curl);
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &reply.status);
	curl_slist_free_all(list);
	curl_easy_cleanup(curl);
	done = true;
}

size_t
stream_t::on_data(char *data, size_t size, size_t count, void *ctx)
{
	stream_t *stream = static_cast<stream_t *>(ctx);

	while (stream->paused && !stream->stop)
		poll(nullptr, 0, POLL_MS);
	std::lock_guard<std::mutex> guard(stream->lock);
	stream->reply.body.append(data, size * count);
	return size * count;
}

/* With a large receive buffer, the sender would not notice for a long time that
 * the caller doesn't read. */
int
stream_t::shrink_receive_buffer(void *, curl_socket_t fd, curlsocktype)
{
	int size = 4096;

	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	return CURL_SOCKOPT_OK;
}

int
stream_t::on_progress(void *ctx, curl_off_t, curl_off_t, curl_off_t, curl_off_t)
{
	return static_cast<stream_t *>(ctx)->stop ? 1 : 0;
}

long
now_ms()
{
	return std::chrono::duration_cast<std::chrono::milliseconds>(
	    std::chrono::steady_clock::now().time_since_epoch())
	    .count();
}

/* Factor applied to time limits, since instrumented programs run slowly. */
static long
time_limit_factor()
{
	const char *text = getenv("JUJUBE_PATIENCE");

	return text != nullptr ? atol(text) : 1;
}

bool
wait_until(const std::string &what, const std::function<bool()> &condition,
    long limit_ms)
{
	long until = now_ms() + limit_ms * time_limit_factor();

	while (!condition()) {
		if (now_ms() >= until) {
			ADD_FAILURE()
			    << "not reached within the time limit: " << what;
			return false;
		}
		poll(nullptr, 0, POLL_MS);
	}
	return true;
}

/* ---- Processes ---- */

process_t::process_t(std::string name, strings_t arguments, std::string file)
    : options(std::move(arguments)), log(std::move(file))
{
	const char *folder = getenv("JUJUBE_BIN");

	program =
	    std::string(folder != nullptr ? folder : "build") + "/" + name;
}

process_t::~process_t()
{
	kill();
}

void
process_t::start()
{
	std::vector<char *> arguments = {program.data()};
	posix_spawn_file_actions_t actions;

	for (std::string &option : options)
		arguments.push_back(option.data());
	arguments.push_back(nullptr);
	posix_spawn_file_actions_init(&actions);
	posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
	    O_WRONLY | O_CREAT | O_APPEND, 0600);
	posix_spawn_file_actions_adddup2(
	    &actions, STDOUT_FILENO, STDERR_FILENO);
	EXPECT_EQ(posix_spawn(&pid, program.c_str(), &actions, nullptr,
		      arguments.data(), environ),
	    0)
	    << program;
	posix_spawn_file_actions_destroy(&actions);
	register_child(pid);
}

void
process_t::kill()
{
	signal(SIGKILL);
	reap(0);
}

void
process_t::freeze()
{
	signal(SIGSTOP);
}

void
process_t::thaw()
{
	signal(SIGCONT);
}

void
process_t::terminate()
{
	signal(SIGTERM);
}

int
process_t::wait_exit()
{
	wait_until(program + " ends", [this] { return !is_alive(); });
	return status;
}

bool
process_t::is_alive()
{
	reap(WNOHANG);
	return pid > 0;
}

long
process_t::status_kb(const std::string &key) const
{
	std::ifstream file("/proc/" + std::to_string(pid) + "/status");
	std::string line;

	while (std::getline(file, line))
		if (line.rfind(key + ":", 0) == 0)
			return std::stol(line.substr(key.size() + 1));
	return 0;
}

size_t
process_t::descriptor_count() const
{
	std::error_code error;
	std::filesystem::directory_iterator files(
	    "/proc/" + std::to_string(pid) + "/fd", error);

	return (size_t)std::distance(
	    files, std::filesystem::directory_iterator());
}

std::string
process_t::log_text() const
{
	return read_file(log);
}

std::string
process_t::log_tail(size_t bytes) const
{
	std::string text = log_text();

	return text.size() > bytes ? text.substr(text.size() - bytes) : text;
}

void
process_t::reap(int flags)
{
	int value = 0;

	if (pid <= 0 || waitpid(pid, &value, flags) != pid)
		return;
	status = WIFEXITED(value) ? WEXITSTATUS(value) : -1;
	unregister_child(pid);
	pid = -1;
}

void
process_t::signal(int number)
{
	if (pid > 0)
		::kill(pid, number);
}

void
standin_t::start()
{
	process->start();
	wait_until(name + " listens",
	    [this] { return call("GET", control + "/health").status == 200; });
}

void
standin_t::fault(const std::string &json) const
{
	long status = call("POST", control + "/fault", json).status;

	EXPECT_TRUE(status == 200 || status == 204) << json;
}

reply_t
standin_t::ask(const std::string &path) const
{
	return call("GET", control + path);
}

long
standin_t::count(const std::string &path) const
{
	return ask("/counts").number(path);
}

/* ---- VMs ---- */

bool
vm_t::is_ready() const
{
	return call("GET", callers + "/ready").status == 200;
}

long
vm_t::version() const
{
	reply_t reply = call("GET", operators + "/v1/config");

	return reply.status == 200 ? atol(reply.header("ETag").c_str() + 1)
				   : -1;
}

reply_t
vm_t::patch(long version, const std::string &json, const strings_t &headers,
    long timeout_ms) const
{
	strings_t fields = headers;

	fields.push_back("If-Match: \"" + std::to_string(version) + "\"");
	return call(
	    "PATCH", operators + "/v1/config", json, fields, timeout_ms);
}

reply_t
vm_t::complete(
    const std::string &prompt, int tokens, const strings_t &headers) const
{
	return call("POST", callers + "/v1/completions",
	    completion_body(prompt, tokens), headers);
}

std::future<reply_t>
vm_t::complete_later(
    const std::string &prompt, int tokens, const strings_t &headers) const
{
	return call_later("POST", callers + "/v1/completions",
	    completion_body(prompt, tokens), headers);
}

reply_t
vm_t::book(
    const std::string &key, const std::string &body, long timeout_ms) const
{
	return call("POST", callers + "/services/pallets/call/book", body,
	    {"Idempotency-Key: " + key}, timeout_ms);
}

std::future<reply_t>
vm_t::book_later(const std::string &key, const std::string &body) const
{
	return call_later("POST", callers + "/services/pallets/call/book", body,
	    {"Idempotency-Key: " + key});
}

std::string
vm_t::upload(const strings_t &prompts, int tokens) const
{
	std::string lines;
	reply_t reply;

	for (const std::string &prompt : prompts) {
		lines += "{\"custom_id\":\"" + prompt +
		    "\",\"method\":\"POST\",\"url\":\"/v1/completions\","
		    "\"body\":" +
		    completion_body(prompt, tokens) + "}\n";
	}
	reply = call("POST", callers + "/v1/files", lines);
	EXPECT_EQ(reply.status, 200) << reply.body;
	return reply.text("id");
}

reply_t
vm_t::submit(const std::string &file, const std::string &key) const
{
	strings_t headers;

	if (!key.empty())
		headers.push_back("Idempotency-Key: " + key);
	return call("POST", callers + "/v1/batches",
	    "{\"input_file_id\":\"" + file +
		"\",\"endpoint\":\"/v1/completions\","
		"\"completion_window\":\"24h\"}",
	    headers);
}

reply_t
vm_t::job(const std::string &id) const
{
	return call("GET", callers + "/v1/batches/" + id);
}

reply_t
vm_t::cancel(const std::string &id) const
{
	return call("POST", callers + "/v1/batches/" + id + "/cancel");
}

reply_t
vm_t::results(const std::string &id) const
{
	return call("GET", callers + "/v1/batches/" + id + "/results");
}

/* ---- The fleet ---- */

fleet_t::fleet_t(const fleet_options_t &requested) : options(requested)
{
	char path[] = "/tmp/jujube-test-XXXXXX";

	folder = mkdtemp(path);
	add_standin(platform, "platform", "standin-platform", {});
	for (int domain = 0; domain < options.domains; domain++)
		add_servers(domain_name(domain));
	for (int domain = 0; domain < options.domains; domain++) {
		for (int number = 1; number <= options.vms; number++)
			add_vm(domain_name(domain), number);
	}
	list_leaving({});
	for (const std::unique_ptr<vm_t> &vm : vms) {
		std::ofstream(folder + "/" + vm->name + ".toml", std::ios::app)
		    << describe_static_peers(vm->domain);
		vm->process->start();
	}
	wait_until("the first configuration is accepted", [this] {
		return vms[0]->patch(0, describe_config()).status == 200 ||
		    vms[0]->version() > 0;
	});
	wait_ready();
	wait_members_live();
}

fleet_t::~fleet_t()
{
	if (testing::Test::HasFailure()) {
		for (const std::unique_ptr<vm_t> &vm : vms) {
			fprintf(stderr, "---- %s\n%s\n", vm->name.c_str(),
			    vm->process->log_tail(LOG_TAIL).c_str());
		}
		fprintf(stderr, "---- platform\n%s", describe_writes().c_str());
		fprintf(stderr, "---- logs kept in %s\n", folder.c_str());
	}
	for (const std::unique_ptr<vm_t> &vm : vms)
		vm->process->kill();
	if (testing::Test::HasFailure())
		return;
	for (const std::unique_ptr<vm_t> &vm : vms) {
		unlink((folder + "/" + vm->name + ".toml").c_str());
		unlink((folder + "/" + vm->name + ".log").c_str());
	}
	unlink((folder + "/platform.log").c_str());
	for (const standin_t &engine : engines)
		unlink((folder + "/" + engine.name + ".log").c_str());
	for (const standin_t &service : services)
		unlink((folder + "/" + service.name + ".log").c_str());
	rmdir(folder.c_str());
}

vm_t &
fleet_t::vm(int domain, int number) const
{
	return *vms.at(domain * options.vms + number);
}

void
fleet_t::replace(vm_t &vm)
{
	vm.process->kill();
	vm.process->start();
}

void
fleet_t::cut(const vm_t &one, const vm_t &other, bool value) const
{
	std::string flag = value ? "\":true}" : "\":false}";

	EXPECT_EQ(call("POST", one.operators + "/v1/faults",
		      "{\"" + other.name + flag)
		      .status,
	    200);
	EXPECT_EQ(call("POST", other.operators + "/v1/faults",
		      "{\"" + one.name + flag)
		      .status,
	    200);
}

void
fleet_t::cut_domain(int domain, bool value) const
{
	for (const std::unique_ptr<vm_t> &inside : vms) {
		for (const std::unique_ptr<vm_t> &outside : vms) {
			if (inside->domain == domain_name(domain) &&
			    outside->domain != inside->domain)
				cut(*inside, *outside, value);
		}
	}
}

void
fleet_t::cut_platform(const std::vector<const vm_t *> &cut) const
{
	std::string names;

	for (const vm_t *vm : cut)
		names += (names.empty() ? "\"" : ",\"") + vm->name + "\"";
	platform.fault("{\"cut\":[" + names + "]}");
}

void
fleet_t::cut_platform_from_domain(int domain) const
{
	std::vector<const vm_t *> cut;

	for (const std::unique_ptr<vm_t> &vm : vms) {
		if (vm->domain == domain_name(domain))
			cut.push_back(vm.get());
	}
	cut_platform(cut);
}

void
fleet_t::list_leaving(const strings_t &names) const
{
	call("POST", platform.control + "/vms", describe_vms(names));
}

void
fleet_t::wait_ready() const
{
	for (const std::unique_ptr<vm_t> &vm : vms) {
		wait_until(vm->name + " is ready",
		    [&vm] { return vm->is_ready() && vm->version() > 0; });
	}
}

/* Until VMs have received each other's heartbeats, they share no state. */
void
fleet_t::wait_members_live() const
{
	for (const std::unique_ptr<vm_t> &vm : vms) {
		wait_until(vm->name + " sees all VMs of its domain as live",
		    [this, &vm] {
			    json_view_t status(
				call("GET", vm->operators + "/v1/status").body);
			    int live = 1;
			    for (size_t i = 0; i < status.size("vms"); i++) {
				    std::string at = "vms." + std::to_string(i);
				    live += status.is_true(at + ".live") &&
					status.text(at + ".domain") ==
					    vm->domain;
			    }
			    return live == options.vms;
		    });
	}
}

reply_t
fleet_t::wait_job(
    const vm_t &vm, const std::string &id, const std::string &status) const
{
	reply_t reply;

	wait_until("job " + id + " is " + status + " at " + vm.name,
	    [&] {
		    reply = vm.job(id);
		    return reply.text("status") == status;
	    }) ||
	    (ADD_FAILURE() << reply.body, true);
	return reply;
}

long
fleet_t::streams_started() const
{
	long sum = 0;

	for (const standin_t &engine : engines)
		sum += engine.count("started");
	return sum;
}

long
fleet_t::runs(const std::string &path) const
{
	long sum = 0;

	for (const standin_t &service : services)
		sum += service.count(path);
	return sum;
}

bool
fleet_t::has_run(const std::string &key) const
{
	for (const standin_t &service : services) {
		if (service.ask("/runs").has("\"" + key + "\""))
			return true;
	}
	return false;
}

void
fleet_t::add_standin(standin_t &standin, const std::string &name,
    const std::string &program, strings_t arguments)
{
	std::string control = ports.choose_address();

	standin.name = name;
	standin.address = ports.choose_address();
	standin.control = "http://" + control + "/control";
	arguments.insert(arguments.end(),
	    {"--listen", standin.address, "--control", control});
	standin.process = std::make_unique<process_t>(
	    program, arguments, folder + "/" + name + ".log");
	standin.start();
}

void
fleet_t::add_servers(const std::string &domain)
{
	strings_t arguments = {"--model", "narrador"};

	arguments.insert(arguments.end(), options.engine_options.begin(),
	    options.engine_options.end());
	for (int i = 1; i <= options.engines; i++) {
		engines.emplace_back();
		engines.back().domain = domain;
		engines.back().service = "narrador";
		add_standin(engines.back(),
		    "narrador-" + domain + "-" + std::to_string(i),
		    "standin-engine", arguments);
	}
	for (int i = 1; i <= options.services; i++) {
		services.emplace_back();
		services.back().domain = domain;
		services.back().service = "pallets";
		add_standin(services.back(),
		    "pallets-" + domain + "-" + std::to_string(i),
		    "standin-service", {});
	}
}

void
fleet_t::add_vm(const std::string &domain, int number)
{
	std::unique_ptr<vm_t> vm = std::make_unique<vm_t>();
	std::string callers = ports.choose_address();
	std::string operators = ports.choose_address();
	std::string path;

	vm->name = domain + "-" + std::to_string(number);
	vm->domain = domain;
	vm->neighbours = ports.choose_address();
	vm->callers = "http://" + callers;
	vm->operators = "http://" + operators;
	path = folder + "/" + vm->name;
	std::ofstream(path + ".toml")
	    << "name = \"" << vm->name << "\"\ndomain = \"" << domain
	    << "\"\nshards = 2\n[listen]\ncallers = \"" << callers
	    << "\"\noperators = \"" << operators << "\"\nneighbours = \""
	    << vm->neighbours << "\"\n[platform]\naddress = \""
	    << platform.address << "\"\n[faults]\nenabled = true\n"
	    << options.settings << "\n";
	vm->process = std::make_unique<process_t>(
	    "jujubed", strings_t{"-s", path + ".toml"}, path + ".log");
	vms.push_back(std::move(vm));
}

/* Static neighbours and backend servers, which a VM can use without the
 * platform; as in the examples. */
std::string
fleet_t::describe_static_peers(const std::string &domain) const
{
	std::string text;

	for (const std::unique_ptr<vm_t> &vm : vms) {
		text += "[[neighbours]]\nname = \"" + vm->name +
		    "\"\ndomain = \"" + vm->domain + "\"\naddress = \"" +
		    vm->neighbours + "\"\n";
	}
	for (const std::vector<standin_t> *servers : {&engines, &services}) {
		for (const standin_t &server : *servers) {
			if (server.domain != domain)
				continue;
			text += "[[servers]]\nname = \"" + server.name +
			    "\"\ndomain = \"" + domain + "\"\nservice = \"" +
			    server.service + "\"\naddress = \"" +
			    server.address + "\"\n";
		}
	}
	return text;
}

/* The last writes that the platform accepted, one per line. */
std::string
fleet_t::describe_writes() const
{
	json_view_t log(platform.ask("/log?prefix=").body);
	size_t from = log.size() > WRITES_TAIL ? log.size() - WRITES_TAIL : 0;
	std::string text;

	for (size_t i = from; i < log.size(); i++) {
		std::string at = std::to_string(i);
		text += std::to_string(log.number(at + ".revision")) + " " +
		    log.text(at + ".client") + " " + log.text(at + ".op") +
		    " " + log.text(at + ".key") + "\n";
	}
	return text;
}

std::string
fleet_t::describe_vms(const strings_t &leaving) const
{
	std::string text;
	auto state = [&leaving](const std::string &name) -> std::string {
		bool leaves = std::find(leaving.begin(), leaving.end(), name) !=
		    leaving.end();
		return leaves ? "\",\"state\":\"leaving\"}"
			      : "\",\"state\":\"live\"}";
	};

	for (const std::unique_ptr<vm_t> &vm : vms) {
		text += ",{\"id\":\"" + vm->name +
		    "\",\"kind\":\"entry\",\"domain\":\"" + vm->domain +
		    "\",\"address\":\"" + vm->neighbours + state(vm->name);
	}
	for (const std::vector<standin_t> *servers : {&engines, &services}) {
		for (const standin_t &server : *servers) {
			text += ",{\"id\":\"" + server.name +
			    "\",\"kind\":\"server\",\"domain\":\"" +
			    server.domain + "\",\"address\":\"" +
			    server.address + "\",\"service\":\"" +
			    server.service + state(server.name);
		}
	}
	return "{\"vms\":[" + text.substr(1) + "]}";
}

std::string
fleet_t::describe_config() const
{
	std::string domains;

	for (int domain = 0; domain < options.domains; domain++)
		domains += ",\"" + domain_name(domain) + "\"";
	return "{\"services\":{\"narrador\":{\"kind\":\"model\","
	       "\"idempotent\":true" +
	    options.narrador +
	    "},\"pallets\":{\"kind\":\"plain\",\"idempotent\":false,"
	    "\"key_domains\":[" +
	    domains.substr(1) + "]" + options.pallets + "}}}";
}

/* ---- Checks ---- */

std::string
text_of(const std::string &prompt, int tokens)
{
	char token[40];
	std::string text;

	for (int i = 0; i < tokens; i++) {
		snprintf(token, sizeof(token), "w%d-%08x ", i,
		    static_cast<unsigned>(
			XXH3_64bits(prompt.data(), prompt.size())));
		text += token;
	}
	return text;
}

bool
is_answer_to(const reply_t &reply, const std::string &prompt, int tokens)
{
	return reply.status == 200 &&
	    reply.text("choices.0.text") == text_of(prompt, tokens);
}

strings_t
make_prompts(const std::string &name, int count)
{
	strings_t prompts;

	for (int i = 0; i < count; i++)
		prompts.push_back(name + " " + std::to_string(i));
	return prompts;
}

std::map<std::string, std::string>
read_results(const reply_t &results)
{
	std::map<std::string, std::string> found;
	std::stringstream lines(results.body);
	std::string line;

	EXPECT_EQ(results.status, 200) << results.body;
	EXPECT_EQ(results.code, CURLE_OK);
	while (std::getline(lines, line)) {
		std::string id = json_view_t(line).text("custom_id");
		EXPECT_TRUE(found.emplace(id, line).second) << id << " twice";
	}
	return found;
}

void
expect_results(const reply_t &results, const strings_t &prompts, int tokens)
{
	std::map<std::string, std::string> found = read_results(results);

	EXPECT_EQ(found.size(), prompts.size());
	for (const std::string &prompt : prompts) {
		json_view_t line(found[prompt]);
		EXPECT_EQ(line.text("response.body.choices.0.text"),
		    text_of(prompt, tokens))
		    << prompt << ": " << found[prompt];
	}
}

size_t
expect_written_once(const standin_t &platform, const std::string &id)
{
	std::string prefix = "jobs/" + id + "/out/";
	json_view_t log(platform.ask("/log?prefix=" + prefix).body);
	std::map<std::string, int> writes;

	for (size_t i = 0; i < log.size(); i++) {
		std::string key = log.text(std::to_string(i) + ".key");
		EXPECT_EQ(++writes[key], 1) << key << " was written again";
	}
	return writes.size();
}

} // namespace harness
