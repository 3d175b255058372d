/*
 * Samples, traffic and reads of state for the measurements under failure.
 */
#include "tests/figures/figures.h"

#include <poll.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <sstream>

#include <glib.h>

using namespace harness;

namespace figures
{

namespace
{

constexpr size_t ARRIVAL_THREADS = 96;
constexpr long TRAFFIC_PAUSE_MS = 5;
constexpr int TRAFFIC_TOKENS = 4;
const char *const CALL_KINDS[] = {
    "get", "put", "delete", "list", "watch", "vms", "weights"};

/* The text of a streamed answer, and when its first byte arrived. */
struct body_t {
	std::string text;
	long due_ms;
	double first_ms;
};

size_t
take_body(char *data, size_t size, size_t count, void *ctx)
{
	body_t *body = static_cast<body_t *>(ctx);

	if (body->text.empty())
		body->first_ms = static_cast<double>(now_ms() - body->due_ms);
	body->text.append(data, size * count);
	return size * count;
}

std::string
decode(const std::string &base64)
{
	gsize size = 0;
	guchar *bytes = g_base64_decode(base64.c_str(), &size);
	std::string text(reinterpret_cast<char *>(bytes), size);

	g_free(bytes);
	return text;
}

/* The value of a key in a line of key=value pairs. */
std::string
find_value(const std::string &line, const std::string &key)
{
	size_t at = (" " + line).find(" " + key + "=");

	if (at == std::string::npos)
		return "";
	at += key.size() + 1;
	return line.substr(at, line.find(' ', at) - at);
}

} // namespace

/* ---- Samples ---- */

void
sample_t::add(double value)
{
	values.push_back(value);
}

size_t
sample_t::size() const
{
	return values.size();
}

double
sample_t::sum() const
{
	double sum = 0;

	for (double value : values)
		sum += value;
	return sum;
}

double
sample_t::quantile(double share) const
{
	std::vector<double> sorted = values;
	size_t rank;

	if (sorted.empty())
		return 0;
	std::sort(sorted.begin(), sorted.end());
	rank = static_cast<size_t>(
	    std::ceil(share * static_cast<double>(sorted.size())));
	return sorted[rank > 0 ? rank - 1 : 0];
}

void
sample_t::print(const std::string &name) const
{
	printf("figure=%s trials=%zu min=%.4g median=%.4g p99=%.4g max=%.4g\n",
	    name.c_str(), size(), quantile(0), quantile(0.5), quantile(0.99),
	    quantile(1));
	fflush(stdout);
}

void
print_share(const std::string &name, long served, long sent)
{
	printf("figure=%s trials=%ld served=%ld share=%.3f\n", name.c_str(),
	    sent, served, sent > 0 ? static_cast<double>(served) / sent : 0.0);
	fflush(stdout);
}

void
sleep_ms(long ms)
{
	if (ms > 0)
		std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

double
wall_ms()
{
	return std::chrono::duration<double, std::milli>(
	    std::chrono::system_clock::now().time_since_epoch())
	    .count();
}

/* ---- Traffic ---- */

timed_t
stream_completion(
    const vm_t &vm, const std::string &prompt, int tokens, long due_ms)
{
	std::string request = "{\"model\":\"narrador\",\"prompt\":\"" + prompt +
	    "\",\"stream\":true,\"max_tokens\":" + std::to_string(tokens) + "}";
	std::string url = vm.callers + "/v1/completions";
	CURL *curl = curl_easy_init();
	body_t body = {"", due_ms, 0};
	long status = 0;
	timed_t timed;

	curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, LIMIT_MS);
	curl_easy_setopt(curl, CURLOPT_POSTFIELDS, request.c_str());
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, take_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, &body);
	curl_easy_perform(curl);
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(curl);
	timed.whole = status == 200 &&
	    body.text.find("data: [DONE]") != std::string::npos;
	timed.first_ms = body.first_ms;
	timed.end_ms = static_cast<double>(now_ms() - due_ms);
	return timed;
}

arrivals_t::arrivals_t(
    const fleet_t &to, double per_second, int length, unsigned seed)
    : fleet(to), rate(per_second), tokens(length), random(seed)
{
}

void
arrivals_t::run(long for_ms)
{
	std::exponential_distribution<double> gap(rate / 1000);
	std::vector<std::thread> threads;
	std::atomic<size_t> next{0};
	std::vector<long> due;
	long begin = now_ms();

	for (double at = gap(random); at < static_cast<double>(for_ms);
	     at += gap(random))
		due.push_back(begin + static_cast<long>(at));
	for (size_t i = 0; i < ARRIVAL_THREADS; i++)
		threads.emplace_back([&] { serve(due, next); });
	for (std::thread &thread : threads)
		thread.join();
}

void
arrivals_t::serve(const std::vector<long> &due, std::atomic<size_t> &next)
{
	for (size_t i = next++; i < due.size(); i = next++) {
		const vm_t &vm = *fleet.vms[i % fleet.vms.size()];

		sleep_ms(due[i] - now_ms());
		timed_t timed = stream_completion(
		    vm, "online " + std::to_string(i), tokens, due[i]);
		std::lock_guard<std::mutex> guard(lock);
		failed += !timed.whole;
		if (!timed.whole)
			continue;
		first.add(timed.first_ms);
		end.add(timed.end_ms);
	}
}

background_traffic_t::background_traffic_t(
    const fleet_t &fleet, int threads_per_vm)
{
	for (const std::unique_ptr<vm_t> &vm : fleet.vms) {
		for (int i = 0; i < threads_per_vm; i++) {
			threads.emplace_back([this, &vm] {
				while (!stop) {
					vm->complete("flow", TRAFFIC_TOKENS);
					sleep_ms(TRAFFIC_PAUSE_MS);
				}
			});
		}
	}
}

background_traffic_t::~background_traffic_t()
{
	stop = true;
	for (std::thread &thread : threads)
		thread.join();
}

/* ---- State of the platform and of backend servers ---- */

calls_t
count_calls(const standin_t &platform)
{
	json_view_t counts(platform.ask("/counts").body);
	calls_t calls;

	for (const char *kind : CALL_KINDS) {
		calls[kind] = counts.number(kind);
		calls["all"] += calls[kind];
	}
	return calls;
}

calls_t
subtract(const calls_t &from, const calls_t &what)
{
	calls_t difference = from;

	for (const auto &[kind, count] : what)
		difference[kind] -= count;
	return difference;
}

std::map<std::string, std::string>
read_holders(const standin_t &platform, const std::string &prefix)
{
	json_view_t log(platform.ask("/log?prefix=" + prefix).body);
	std::map<std::string, std::string> holders;

	for (size_t i = 0; i < log.size(); i++) {
		std::string at = std::to_string(i);
		std::string key = log.text(at + ".key");
		json_view_t chunk(decode(log.text(at + ".value")));
		std::string holder = chunk.text("holder");
		if (chunk.text("state") == "running")
			holders[key] = holder.substr(0, holder.find('/'));
		else
			holders.erase(key);
	}
	return holders;
}

bool
has_ended(const standin_t &platform, const std::string &id)
{
	reply_t reply = platform.ask("/log?prefix=jobs/" + id + "/job");

	return json_view_t(reply.body).size() >= 2;
}

long
count_batch_records(const standin_t &engine)
{
	json_view_t records(engine.ask("/records").body);
	long count = 0;

	for (size_t i = 0; i < records.size(); i++)
		count += records.is_true(std::to_string(i) + ".batch");
	return count;
}

long
count_batch_done(const standin_t &engine, long from_ms, long until_ms)
{
	json_view_t records(engine.ask("/records").body);
	long count = 0;

	for (size_t i = 0; i < records.size(); i++) {
		std::string at = std::to_string(i);
		long ended = records.number(at + ".ended_ms");
		count += records.is_true(at + ".batch") &&
		    records.text(at + ".outcome") == "done" &&
		    ended >= from_ms && ended < until_ms;
	}
	return count;
}

long
find_last_start(const standin_t &engine)
{
	json_view_t records(engine.ask("/records").body);
	long last = 0;

	for (size_t i = 0; i < records.size(); i++)
		last = std::max(
		    last, records.number(std::to_string(i) + ".started_ms"));
	return last;
}

std::vector<std::pair<double, long>>
read_events(const vm_t &vm, const std::string &event, const std::string &field)
{
	std::vector<std::pair<double, long>> events;
	std::stringstream lines(vm.process->log_text());
	std::string line;

	while (std::getline(lines, line)) {
		if (find_value(line, "event") != event)
			continue;
		events.emplace_back(atof(find_value(line, "ts").c_str()) * 1000,
		    atol(find_value(line, field).c_str()));
	}
	return events;
}

} // namespace figures
