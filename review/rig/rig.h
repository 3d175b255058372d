// Stand-ins and tools that the review's scripts share: the platform's store,
// model servers, clients, and the processes of the system.
//
// The stand-ins follow PROTOCOL.md. Each case adds its own disruption.
#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <deque>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <jansson.h>

namespace rig
{

enum exit_code {
	HELD = 0,
	BROKEN = 1,
	NOT_RUN = 2
};

// ---- time and record ----------------------------------------------------

inline long
now_ms()
{
	static const auto start = std::chrono::steady_clock::now();

	return (long)std::chrono::duration_cast<std::chrono::milliseconds>(
	    std::chrono::steady_clock::now() - start)
	    .count();
}

inline void
sleep_ms(long ms)
{
	if (ms > 0)
		std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

inline std::mutex record_lock;
inline FILE *record_file;
inline std::string temporary_folder; // removed at the end

__attribute__((format(printf, 1, 2))) inline void
record(const char *format, ...)
{
	std::lock_guard<std::mutex> guard(record_lock);
	va_list args;

	if (record_file == nullptr)
		return;
	fprintf(record_file, "%8ld ", now_ms());
	va_start(args, format);
	vfprintf(record_file, format, args);
	va_end(args);
	fputc('\n', record_file);
	fflush(record_file);
}

// Ends the case at once; all children end with this process.
__attribute__((format(printf, 2, 3))) inline void
finish(int code, const char *format, ...)
{
	std::error_code ignored;
	char text[1024];
	va_list args;

	va_start(args, format);
	vsnprintf(text, sizeof(text), format, args);
	va_end(args);
	record("RESULT %s: %s",
	    code == HELD	 ? "held"
		: code == BROKEN ? "broken"
				 : "not run",
	    text);
	printf("%s\n", text);
	fflush(stdout);
	if (!temporary_folder.empty())
		std::filesystem::remove_all(temporary_folder, ignored);
	_exit(code);
}

inline std::string
make_id()
{
	static std::mutex lock;
	static std::atomic<uint64_t> last{
	    (uint64_t)time(nullptr) * 1000003 + (uint64_t)getpid()};
	char text[20];
	uint64_t x = last += 0x9e3779b97f4a7c15ULL;

	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
	x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
	snprintf(
	    text, sizeof(text), "%016llx", (unsigned long long)(x ^ (x >> 31)));
	return text;
}

// ---- sockets and HTTP ----------------------------------------------------

struct request_t {
	std::string method, target, path, query, body;
	std::map<std::string, std::string> headers; // names in lower case

	std::string
	header(const std::string &name) const
	{
		auto found = headers.find(name);

		return found != headers.end() ? found->second : "";
	}
	std::string
	argument(const std::string &name) const
	{
		size_t at = 0;

		while (at < query.size()) {
			size_t end = query.find('&', at);
			std::string part = query.substr(
			    at, end == std::string::npos ? end : end - at);

			if (part.rfind(name + "=", 0) == 0)
				return part.substr(name.size() + 1);
			if (end == std::string::npos)
				break;
			at = end + 1;
		}
		return "";
	}
};

inline std::string
lower(std::string text)
{
	for (char &c : text)
		c = (char)tolower(c);
	return text;
}

inline bool
send_all(int fd, const std::string &text)
{
	size_t at = 0;

	while (at < text.size()) {
		ssize_t sent =
		    send(fd, text.data() + at, text.size() - at, MSG_NOSIGNAL);

		if (sent <= 0)
			return false;
		at += (size_t)sent;
	}
	return true;
}

// True when the peer has closed or reset the channel.
inline bool
is_closed(int fd)
{
	char byte;
	ssize_t got = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	return got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR);
}

// Reads from a channel through a buffer.
struct reader_t {
	int fd;
	std::string buffer;
	long until_ms = 0; // 0: without a limit
	bool timed_out = false;

	explicit reader_t(int fd) : fd(fd)
	{
	}
	bool
	more()
	{
		char bytes[16384];
		ssize_t got;

		if (until_ms > 0) {
			struct pollfd wait = {fd, POLLIN, 0};
			long left = until_ms - now_ms();

			if (left <= 0 || poll(&wait, 1, (int)left) <= 0) {
				timed_out = true;
				return false;
			}
		}
		got = recv(fd, bytes, sizeof(bytes), 0);
		if (got <= 0)
			return false;
		buffer.append(bytes, (size_t)got);
		return true;
	}
	bool
	line(std::string *text)
	{
		size_t end;

		while ((end = buffer.find('\n')) == std::string::npos)
			if (!more())
				return false;
		*text = buffer.substr(0, end);
		buffer.erase(0, end + 1);
		if (!text->empty() && text->back() == '\r')
			text->pop_back();
		return true;
	}
	bool
	bytes(size_t count, std::string *text)
	{
		while (buffer.size() < count)
			if (!more())
				return false;
		text->append(buffer, 0, count);
		buffer.erase(0, count);
		return true;
	}
	bool
	headers(std::map<std::string, std::string> *all)
	{
		std::string text;

		for (;;) {
			size_t colon;

			if (!line(&text))
				return false;
			if (text.empty())
				return true;
			colon = text.find(':');
			if (colon == std::string::npos)
				return false;
			std::string value = text.substr(colon + 1);

			value.erase(0, value.find_first_not_of(" \t"));
			(*all)[lower(text.substr(0, colon))] = value;
		}
	}
	// One chunk; empty at the end of the body.
	bool
	chunk(std::string *text)
	{
		std::string size_line, end;
		size_t size;

		text->clear();
		if (!line(&size_line))
			return false;
		size = strtoul(size_line.c_str(), nullptr, 16);
		if (size == 0)
			return line(&end);
		return bytes(size, text) && line(&end);
	}
};

inline int
listen_on(const std::string &ip, int port, int *chosen)
{
	struct sockaddr_in address = {};
	socklen_t size = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int on = 1;

	address.sin_family = AF_INET;
	address.sin_port = htons((uint16_t)port);
	inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
	    listen(fd, 512) != 0 ||
	    getsockname(fd, (struct sockaddr *)&address, &size) != 0) {
		close(fd);
		return -1;
	}
	*chosen = ntohs(address.sin_port);
	return fd;
}

inline int
free_port(const std::string &ip)
{
	int port = 0;
	int fd = listen_on(ip, 0, &port);

	if (fd < 0)
		finish(NOT_RUN, "no free port on %s", ip.c_str());
	close(fd);
	return port;
}

inline int
connect_to(const std::string &ip_port, long limit_ms = 1000)
{
	struct sockaddr_in address = {};
	size_t colon = ip_port.find(':');
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	struct pollfd wait = {fd, POLLOUT, 0};
	int error = 0, on = 1;
	socklen_t size = sizeof(error);

	address.sin_family = AF_INET;
	address.sin_port = htons((uint16_t)atoi(ip_port.c_str() + colon + 1));
	inet_pton(AF_INET, ip_port.substr(0, colon).c_str(), &address.sin_addr);
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0 &&
	    (errno != EINPROGRESS || poll(&wait, 1, (int)limit_ms) <= 0 ||
		getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
		error != 0)) {
		close(fd);
		return -1;
	}
	fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	return fd;
}

// An HTTP/1.1 server with a thread for each channel. The handler writes the
// whole answer; false closes the channel.
class http_server_t
{
      public:
	using handler_t = std::function<bool(int fd, const request_t &)>;
	std::string ip;
	int port = 0;

	void
	start(const std::string &on_ip, handler_t with)
	{
		ip = on_ip;
		handler = std::move(with);
		listener = listen_on(ip, 0, &port);
		if (listener < 0)
			finish(NOT_RUN, "no free port on %s", ip.c_str());
		std::thread([this] { accept_all(); }).detach();
	}
	std::string
	address() const
	{
		return ip + ":" + std::to_string(port);
	}

      private:
	int listener = -1;
	handler_t handler;

	void
	accept_all()
	{
		for (;;) {
			int on = 1;
			int fd =
			    accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);

			if (fd < 0)
				continue;
			setsockopt(
			    fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
			std::thread([this, fd] { serve(fd); }).detach();
		}
	}
	void
	serve(int fd)
	{
		reader_t reader(fd);
		request_t request;

		while (read_request(&reader, &request) && handler(fd, request))
			request = request_t();
		close(fd);
	}
	static bool
	read_request(reader_t *reader, request_t *request)
	{
		std::string first;
		size_t a, b, mark;

		if (!reader->line(&first))
			return false;
		a = first.find(' ');
		b = first.rfind(' ');
		if (a == std::string::npos || b <= a)
			return false;
		request->method = first.substr(0, a);
		request->target = first.substr(a + 1, b - a - 1);
		mark = request->target.find('?');
		request->path = request->target.substr(0, mark);
		if (mark != std::string::npos)
			request->query = request->target.substr(mark + 1);
		if (!reader->headers(&request->headers))
			return false;
		if (request->header("transfer-encoding") == "chunked") {
			std::string part;

			do {
				if (!reader->chunk(&part))
					return false;
				request->body += part;
			} while (!part.empty());
			return true;
		}
		return reader->bytes(
		    strtoul(
			request->header("content-length").c_str(), nullptr, 10),
		    &request->body);
	}
};

inline bool
send_answer(int fd, int status, const std::string &body,
    const std::string &headers = "Content-Type: application/json\r\n")
{
	return send_all(fd,
	    "HTTP/1.1 " + std::to_string(status) + " -\r\n" + headers +
		"Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
		body);
}

struct reply_t {
	int status = 0; // 0: no answer
	std::string body;
	bool complete = false;
	bool timed_out = false;
	size_t bytes = 0; // of the answer, its head included
	std::map<std::string, std::string> headers;
};

// A client's channel, kept for several requests.
class channel_t
{
      public:
	int fd = -1;

	explicit channel_t(std::string to) : to(std::move(to))
	{
	}
	~channel_t()
	{
		drop();
	}
	channel_t(const channel_t &) = delete;
	bool
	open()
	{
		if (fd < 0)
			fd = connect_to(to);
		return fd >= 0;
	}
	void
	drop()
	{
		if (fd >= 0)
			close(fd);
		fd = -1;
	}
	reply_t
	call(const std::string &method, const std::string &target,
	    const std::string &headers, const std::string &body, long limit_ms)
	{
		reply_t reply;
		std::string text = method + " " + target + " HTTP/1.1\r\n" +
		    headers + "Content-Length: " + std::to_string(body.size()) +
		    "\r\n\r\n" + body;

		if (!open())
			return reply;
		if (send_all(fd, text))
			read(&reply, now_ms() + limit_ms);
		if (!reply.complete || reply.headers["connection"] == "close")
			drop();
		return reply;
	}

      private:
	std::string to;

	void
	read(reply_t *reply, long until_ms)
	{
		reader_t reader(fd);
		std::string first, part;

		reader.until_ms = until_ms;
		if (reader.line(&first) && first.size() > 12 &&
		    reader.headers(&reply->headers)) {
			reply->status = atoi(first.c_str() + 9);
			reply->bytes = first.size();
			if (reply->headers["transfer-encoding"] == "chunked") {
				for (;;) {
					if (!reader.chunk(&part))
						break;
					if (part.empty()) {
						reply->complete = true;
						break;
					}
					reply->body += part;
				}
			} else {
				reply->complete = reader.bytes(
				    strtoul(reply->headers["content-length"]
						.c_str(),
					nullptr, 10),
				    &reply->body);
			}
		}
		reply->bytes += reader.buffer.size() + reply->body.size() +
		    (first.empty() ? 0 : first.size());
		reply->timed_out = reader.timed_out;
	}
};

inline reply_t
call_once(const std::string &to, const std::string &method,
    const std::string &target, const std::string &headers,
    const std::string &body, long limit_ms)
{
	channel_t channel(to);

	return channel.call(
	    method, target, headers + "Connection: close\r\n", body, limit_ms);
}

// ---- the platform's store ------------------------------------------------

class store_t
{
      public:
	http_server_t server;
	long answer_ms = 4;
	std::atomic<long> slow_ms{0}; // mean time of an answer; 0: answer_ms
	// Called under the lock after a write took effect: operation, key.
	std::function<void(const std::string &, const std::string &)> on_write;
	// Called for each call of the system before anything is done; an HTTP
	// status other than 0 turns the call away.
	std::function<int(const request_t &)> turns_away;

	void
	start(const std::string &ip)
	{
		server.start(ip, [this](int fd, const request_t &request) {
			return handle(fd, request);
		});
	}
	// A write of a server or of the operator.
	void
	put(const std::string &kind, const std::string &name,
	    const std::string &spec)
	{
		std::lock_guard<std::mutex> guard(lock);

		write(kind, name, spec);
	}
	void
	erase(const std::string &kind, const std::string &name)
	{
		std::lock_guard<std::mutex> guard(lock);
		auto found = kinds[kind].find(name);

		if (found == kinds[kind].end())
			return;
		history.push_back({kind, ++revision, found->second, true});
		kinds[kind].erase(found);
		changed.notify_all();
	}
	bool
	has(const std::string &kind, const std::string &name)
	{
		std::lock_guard<std::mutex> guard(lock);

		return kinds[kind].count(name) > 0;
	}
	std::vector<std::string>
	names(const std::string &kind)
	{
		std::lock_guard<std::mutex> guard(lock);
		std::vector<std::string> all;

		for (const auto &object : kinds[kind])
			all.push_back(object.first);
		return all;
	}

      private:
	struct object_t {
		std::string name, spec, status = "null";
		uint64_t revision = 0, made = 0;
	};
	struct event_t {
		std::string kind;
		uint64_t at;
		object_t object;
		bool gone;
	};

	std::mutex lock;
	std::condition_variable changed;
	uint64_t revision = 1;
	std::map<std::string, std::map<std::string, object_t>> kinds;
	std::deque<event_t> history;

	static std::string
	text_of(const object_t &object)
	{
		return "{\"metadata\":{\"name\":\"" + object.name +
		    "\",\"revision\":" + std::to_string(object.revision) +
		    ",\"made\":" + std::to_string(object.made) +
		    ",\"finalizers\":[],\"deleting\":false},\"spec\":" +
		    object.spec + ",\"status\":" + object.status + "}";
	}
	object_t &
	write(const std::string &kind, const std::string &name,
	    const std::string &spec)
	{
		object_t &object = kinds[kind][name];

		if (object.revision != 0 && object.spec == spec)
			return object;
		object.name = name;
		object.spec = spec;
		object.revision = ++revision;
		if (object.made == 0)
			object.made = revision;
		history.push_back({kind, revision, object, false});
		changed.notify_all();
		return object;
	}
	// The time until a call takes effect: answer_ms, or while the store is
	// slow up to twice slow_ms. A call whose caller is gone by then is not
	// executed.
	bool
	wait_turn(int fd)
	{
		long slow = slow_ms;
		long until;

		if (slow == 0) {
			sleep_ms(answer_ms);
			return true;
		}
		until = now_ms() + (long)(next_random() % (uint64_t)(2 * slow));
		while (now_ms() < until) {
			sleep_ms(2);
			if (is_closed(fd))
				return false;
		}
		return true;
	}
	static uint64_t
	next_random()
	{
		return strtoull(make_id().c_str(), nullptr, 16);
	}
	bool
	handle(int fd, const request_t &request)
	{
		static const std::string prefix = "/api/objects/";
		std::string kind, name, text;
		size_t slash;
		int status;

		if (request.path.rfind(prefix, 0) != 0)
			return send_answer(fd, 404, "{}");
		kind = request.path.substr(prefix.size());
		slash = kind.find('/');
		if (slash != std::string::npos) {
			name = kind.substr(slash + 1);
			kind.resize(slash);
		}
		if (turns_away && (status = turns_away(request)) != 0)
			return status > 0 && send_answer(fd, status, "{}");
		if (!wait_turn(fd))
			return false;
		if (request.method == "GET" && name.empty())
			status = request.argument("watch").empty()
			    ? list(kind, request, &text)
			    : watch(fd, kind, request, &text);
		else if (request.method == "GET")
			status = get(kind, name, &text);
		else if (request.method == "DELETE")
			status = remove(kind, name, request, &text);
		else
			status = change(kind, name, request, &text);
		return send_answer(fd, status, text);
	}
	int
	list(const std::string &kind, const request_t &request,
	    std::string *text)
	{
		std::lock_guard<std::mutex> guard(lock);
		const auto &objects = kinds[kind];
		auto at = objects.upper_bound(request.argument("after"));
		size_t count = 0;

		*text = "{\"items\":[";
		for (; at != objects.end() && count < 500; ++at)
			*text += (count++ > 0 ? "," : "") + text_of(at->second);
		*text += std::string("],\"more\":") +
		    (at != objects.end() ? "true" : "false") +
		    ",\"at\":" + std::to_string(revision) + "}";
		return 200;
	}
	int
	watch(int fd, const std::string &kind, const request_t &request,
	    std::string *text)
	{
		uint64_t since =
		    strtoull(request.argument("watch").c_str(), nullptr, 10);
		long until =
		    now_ms() + atol(request.argument("waitMs").c_str());
		std::unique_lock<std::mutex> guard(lock);

		for (;;) {
			std::string events;

			for (const event_t &event : history)
				if (event.at > since && event.kind == kind)
					events += (events.empty() ? "" : ",") +
					    std::string("{\"object\":") +
					    text_of(event.object) +
					    ",\"gone\":" +
					    (event.gone ? "true}" : "false}");
			if (!events.empty() || now_ms() >= until ||
			    is_closed(fd)) {
				*text = "{\"events\":[" + events +
				    "],\"at\":" + std::to_string(revision) +
				    "}";
				return 200;
			}
			changed.wait_for(guard, std::chrono::milliseconds(50));
		}
	}
	int
	get(const std::string &kind, const std::string &name, std::string *text)
	{
		std::lock_guard<std::mutex> guard(lock);
		auto found = kinds[kind].find(name);

		*text = "{}";
		if (found == kinds[kind].end())
			return 404;
		*text = text_of(found->second);
		return 200;
	}
	int
	remove(const std::string &kind, const std::string &name,
	    const request_t &request, std::string *text)
	{
		std::lock_guard<std::mutex> guard(lock);
		auto found = kinds[kind].find(name);
		std::string asked = request.argument("revision");

		*text = "{}";
		if (found == kinds[kind].end())
			return 404;
		*text = text_of(found->second);
		if (!asked.empty() &&
		    strtoull(asked.c_str(), nullptr, 10) !=
			found->second.revision)
			return 409;
		history.push_back({kind, ++revision, found->second, true});
		kinds[kind].erase(found);
		changed.notify_all();
		if (on_write)
			on_write("DELETE", kind + "/" + name);
		return 200;
	}
	int
	change(const std::string &kind, std::string name,
	    const request_t &request, std::string *text)
	{
		json_t *root = json_loadb(request.body.data(),
		    request.body.size(), JSON_ALLOW_NUL, nullptr);
		json_t *meta = json_object_get(root, "metadata");
		json_t *spec = json_object_get(root, "spec");
		bool creates = request.method == "POST";
		uint64_t asked = (uint64_t)json_integer_value(
		    json_object_get(meta, "revision"));
		const char *named =
		    json_string_value(json_object_get(meta, "name"));
		char *spec_text =
		    json_dumps(spec, JSON_COMPACT | JSON_ENCODE_ANY);
		int status = 200;

		*text = "{}";
		if (creates && named != nullptr)
			name = named;
		if (spec_text == nullptr || name.empty() ||
		    request.body.size() > 1048576) {
			status = 400;
		} else {
			std::lock_guard<std::mutex> guard(lock);
			auto found = kinds[kind].find(name);
			bool exists = found != kinds[kind].end();

			if (!creates && !exists) {
				status = 404;
			} else if (exists &&
			    (creates ||
				(asked != 0 &&
				    asked != found->second.revision))) {
				status = 409;
				*text = text_of(found->second);
			} else {
				*text = text_of(write(kind, name, spec_text));
				if (on_write)
					on_write(
					    request.method, kind + "/" + name);
			}
		}
		free(spec_text);
		json_decref(root);
		return status;
	}
};

// ---- model servers -------------------------------------------------------

// What an answer is to do beside its events.
struct answer_plan_t {
	int events = 20;
	long first_ms = 30; // until the first event
	long gap_ms = 10; // between events
	// Event whose data is replaced; -1: none. The channel is closed after
	// it.
	int spoiled_event = -1;
	std::string spoiled_data;
};

class model_server_t
{
      public:
	std::string id = "i-" + make_id().substr(0, 8);
	std::string zone, service;
	http_server_t http;
	int slots = 8;
	int weights = 1; // version of its weights
	std::atomic<int> running{0};
	// Decides how a request is answered.
	std::function<answer_plan_t(const model_server_t &, const request_t &)>
	    plan;
	std::function<void(const model_server_t &, const request_t &)> on_run;
	std::function<void(const model_server_t &, const request_t &)>
	    on_other_version;
	std::function<void(const request_t &, const std::string &)> on_spoiled;
	std::function<void(const model_server_t &, const request_t &, bool)>
	    on_end;

	void
	start(const std::string &ip)
	{
		http.start(ip, [this](int fd, const request_t &request) {
			return handle(fd, request);
		});
	}
	// Its entry in the store, with the state "ready" or "draining".
	std::string
	entry(const std::string &state = "ready") const
	{
		return "{\"service\":\"" + service + "\",\"address\":\"" +
		    http.address() + "\",\"zone\":\"" + zone +
		    "\",\"version\":\"v1\",\"slots\":" + std::to_string(slots) +
		    ",\"state\":\"" + state +
		    "\",\"coldRemainingMs\":0,"
		    "\"stage\":\"both\",\"models\":[{\"name\":\"m\","
		    "\"version\":" +
		    std::to_string(weights) + ",\"adapters\":[]}],\"seq\":0}";
	}
	static std::string
	data_of(const std::string &id, int event)
	{
		return id + " " + std::to_string(event);
	}
	static std::string
	text_of(const std::string &id, int events)
	{
		std::string text;

		for (int i = 0; i < events; i++)
			text += (i > 0 ? "\n" : "") + data_of(id, i);
		return text;
	}

      private:
	static std::string
	chunk_of(const std::string &text)
	{
		char size[20];

		snprintf(size, sizeof(size), "%zx\r\n", text.size());
		return size + text + "\r\n";
	}
	bool
	handle(int fd, const request_t &request)
	{
		std::string id = request.header("x-jujubeswitch-request-id");
		std::string target =
		    request.header("x-jujubeswitch-target-instance");
		std::string last = request.header("last-event-id");
		std::string expected;
		int next = last.empty() ? 0 : atoi(last.c_str()) + 1;
		bool whole;

		if (request.path == "/health")
			return send_answer(fd, 200, "{}",
			    "X-Jujubeswitch-Instance-Id: " + this->id + "\r\n");
		if (request.path == "/api/report")
			return send_answer(fd, 200,
			    "{\"stage\":\"both\",\"models\":[{\"name\":\"m\","
			    "\"version\":1,\"adapters\":[]}],\"busy\":false,"
			    "\"seq\":0,\"numWaiting\":0,\"numRunning\":" +
				std::to_string(running) +
				",\"kvUsed\":0,\"kvTotal\":72000,"
				"\"handles\":0}");
		if (!target.empty() && target != this->id)
			return send_answer(fd, 421, "{}",
			    "X-Jujubeswitch-Instance-Id: " + this->id + "\r\n");
		expected = request.header("expect-version");
		if (!expected.empty() && atoi(expected.c_str()) != weights) {
			if (on_other_version)
				on_other_version(*this, request);
			return send_answer(fd, 421, "{}",
			    "X-Jujubeswitch-Instance-Id: " + this->id + "\r\n");
		}
		if (id.empty())
			return send_answer(fd, 400, "{}",
			    "X-Jujubeswitch-Not-Executed: 1\r\n");
		if (++running > slots) {
			running--;
			return send_answer(fd, 503, "{}",
			    "X-Jujubeswitch-Not-Executed: 1\r\n"
			    "X-Jujubeswitch-Request-Id: " +
				id + "\r\n");
		}
		if (on_run)
			on_run(*this, request);
		whole = stream(fd, request, id, next);
		running--;
		if (on_end)
			on_end(*this, request, whole);
		return whole;
	}
	bool
	stream(
	    int fd, const request_t &request, const std::string &id, int next)
	{
		answer_plan_t how = plan(*this, request);
		std::string head =
		    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
		    "X-Jujubeswitch-Request-Id: " +
		    id +
		    "\r\nX-Jujubeswitch-Response-Stamp: 3e1b.07.5a2.600.0." +
		    this->id + "\r\nVersions: " + std::to_string(weights) +
		    "\r\n"
		    "Transfer-Encoding: chunked\r\n\r\n";
		long until = now_ms() + how.first_ms;

		while (now_ms() < until) {
			sleep_ms(5);
			if (is_closed(fd))
				return false;
		}
		if (!send_all(fd, head))
			return false;
		for (int i = next; i < how.events; i++) {
			bool spoiled = i == how.spoiled_event;
			std::string data =
			    spoiled ? how.spoiled_data : data_of(id, i);

			if (is_closed(fd) ||
			    !send_all(fd,
				chunk_of("id: " + std::to_string(i) +
				    "\ndata: " + data + "\n\n")))
				return false;
			if (spoiled) {
				record("server %s spoils event %d of %s and "
				       "closes the channel",
				    this->id.c_str(), i, id.c_str());
				if (on_spoiled)
					on_spoiled(request, data);
				sleep_ms(20);
				return false;
			}
			sleep_ms(how.gap_ms);
		}
		return send_all(fd, "0\r\n\r\n");
	}
};

// ---- processes of the system ---------------------------------------------

inline std::string
read_file(const std::string &path)
{
	std::string text;
	char bytes[4096];
	FILE *file = fopen(path.c_str(), "r");
	size_t got;

	if (file == nullptr)
		finish(NOT_RUN, "can't read %s", path.c_str());
	while ((got = fread(bytes, 1, sizeof(bytes), file)) > 0)
		text.append(bytes, got);
	fclose(file);
	return text;
}

inline void
replace_all(std::string *text, const std::string &from, const std::string &to)
{
	size_t at = 0;

	while ((at = text->find(from, at)) != std::string::npos) {
		text->replace(at, from.size(), to);
		at += to.size();
	}
}

// An entry VM: the role "entry" of the deploy file.
class vm_t
{
      public:
	std::string name, zone, ip;
	std::string front, ready;
	std::string log_file;
	std::atomic<int> own_ends{0};
	std::atomic<pid_t> pid{-1};

	// Fills deploy/entry.toml in as the platform does.
	void
	prepare(const std::string &folder, const std::string &store)
	{
		std::string text = read_file("deploy/entry.toml");
		size_t from, to;

		front = ip + ":" + std::to_string(free_port(ip));
		ready = ip + ":" + std::to_string(free_port(ip));
		replace_all(&text, "{{nodeName|json}}", "\"" + name + "\"");
		replace_all(&text, "{{zone|json}}", "\"" + zone + "\"");
		replace_all(&text, "{{region|json}}", "\"pianura-nord\"");
		replace_all(
		    &text, "{{listen.front|json}}", "\"" + front + "\"");
		replace_all(&text, "{{listen.readinessAddr|json}}",
		    "\"" + ready + "\"");
		replace_all(&text, "{{ip}}:9464",
		    ip + ":" + std::to_string(free_port(ip)));
		replace_all(&text, "{{ip}}:{{internalPorts.0}}",
		    ip + ":" + std::to_string(free_port(ip)));
		replace_all(&text, "{{provider.form|json}}", "\"objects\"");
		replace_all(
		    &text, "{{provider.address|json}}", "\"" + store + "\"");
		replace_all(&text, "{{bounds.configApplyMs}}", "2000");
		replace_all(&text, "{{bounds.graceS}}", "8");
		from = text.find("{{#contracts}}");
		to = text.find("{{/contracts}}");
		if (from == std::string::npos || to == std::string::npos)
			finish(NOT_RUN, "deploy/entry.toml has no contracts");
		text.replace(from, to + 14 - from,
		    "\"base\",\"drain\",\"config\",\"cost\",\"recover\","
		    "\"batch\",\"stream\",\"engine\",\"platform\"");
		if (text.find("{{") != std::string::npos)
			finish(NOT_RUN, "deploy/entry.toml has a new field");
		settings = folder + "/" + name + ".toml";
		log_file = folder + "/" + name + ".log";
		FILE *file = fopen(settings.c_str(), "w");

		if (file == nullptr)
			finish(NOT_RUN, "can't write %s", settings.c_str());
		fputs(text.c_str(), file);
		fclose(file);
	}
	void
	start()
	{
		pid_t child = fork();

		if (child == 0) {
			int log = open(log_file.c_str(),
			    O_WRONLY | O_CREAT | O_APPEND, 0600);

			prctl(PR_SET_PDEATHSIG, SIGKILL);
			dup2(log, 1);
			dup2(log, 2);
			setenv("JUJUBESWITCH_SETTINGS", settings.c_str(), 1);
			execl("target/jujubed", "target/jujubed", "--settings",
			    settings.c_str(), (char *)nullptr);
			_exit(127);
		}
		pid = child;
		record("%s starts", name.c_str());
	}
	// Restarts a process that ends, as the platform does; runs in the
	// thread that started it, as children end with that thread.
	void
	keep_running()
	{
		for (;;) {
			int status = 0;

			start();
			if (waitpid(pid, &status, 0) < 0)
				return;
			if (WIFSIGNALED(status) && was_killed) {
				record("%s was killed by this script",
				    name.c_str());
				was_killed = false;
			} else {
				own_ends++;
				record("%s ended by itself: %s %d",
				    name.c_str(),
				    WIFSIGNALED(status) ? "signal" : "exit",
				    WIFSIGNALED(status) ? WTERMSIG(status)
							: WEXITSTATUS(status));
			}
			sleep_ms(restart_ms);
		}
	}
	void
	run()
	{
		std::thread([this] { keep_running(); }).detach();
	}
	void
	kill_process()
	{
		was_killed = true;
		::kill(pid, SIGKILL);
	}
	bool
	is_ready() const
	{
		return call_once(
			   ready, "GET", "/api/ready", "Host: x\r\n", "", 500)
			   .status == 200;
	}
	std::atomic<long> restart_ms{300};

      private:
	std::string settings;
	std::atomic<bool> was_killed{false};
};

// ---- a small deployment ----------------------------------------------------

struct lot_t {
	std::string id, body;
	std::vector<std::string> items;
	uint64_t tokens = 0;
};

class deployment_t
{
      public:
	std::string folder;
	std::string base_ip;
	store_t store;
	std::vector<std::unique_ptr<model_server_t>> servers;
	std::vector<std::unique_ptr<vm_t>> vms;
	std::string host = "h" + make_id().substr(0, 6) + ".example";
	std::string service = "s" + make_id().substr(0, 6);
	std::string online = "/o" + make_id().substr(0, 6) + "/";
	std::string batch = "/b" + make_id().substr(0, 6) + "/";
	uint64_t max_tokens = 1400000;

	void
	open_record(const char *path)
	{
		char name[] = "/tmp/review-XXXXXX";

		signal(SIGPIPE, SIG_IGN);
		now_ms();
		record_file = fopen(path, "w");
		if (access("target/jujubed", X_OK) != 0)
			finish(NOT_RUN, "target/jujubed isn't built");
		if (mkdtemp(name) == nullptr)
			finish(NOT_RUN, "no temporary folder");
		folder = name;
		temporary_folder = folder;
		base_ip = "127." + std::to_string(1 + getpid() % 250) + "." +
		    std::to_string(1 + getpid() / 250 % 250) + ".";
		std::thread([] {
			sleep_ms(115000);
			finish(NOT_RUN, "took too long");
		}).detach();
	}
	// VMs and servers in three zones.
	void
	build(int vm_count, int server_count)
	{
		static const char *const zones[] = {
		    "sala-verona", "sala-mantova", "sala-cremona"};

		store.start(base_ip + "1");
		for (int i = 0; i < server_count; i++) {
			auto server = std::make_unique<model_server_t>();

			server->zone = zones[i % 3];
			server->service = service;
			server->start(base_ip + std::to_string(20 + i));
			servers.push_back(std::move(server));
		}
		for (int i = 0; i < vm_count; i++) {
			auto vm = std::make_unique<vm_t>();

			vm->zone = zones[i % 3];
			vm->name = "front-" + vm->zone + "-" +
			    std::to_string(1 + i / 3);
			vm->ip = base_ip + std::to_string(60 + i);
			vm->prepare(folder, store.server.address());
			vms.push_back(std::move(vm));
		}
	}
	void
	start()
	{
		for (auto &server : servers)
			store.put("servers", server->id, server->entry());
		store.put("config", "main", config());
		for (auto &vm : vms)
			vm->run();
		for (auto &vm : vms) {
			for (int i = 0; i < 200 && !vm->is_ready(); i++)
				sleep_ms(50);
			if (!vm->is_ready())
				finish(NOT_RUN, "%s isn't ready",
				    vm->name.c_str());
		}
		sleep_ms(4000); // heartbeats, and more than stableMs
		for (auto &vm : vms) {
			reply_t reply = send_online(vm->front, make_id());

			if (reply.status != 200 || !reply.complete)
				finish(NOT_RUN, "%s doesn't serve: %d",
				    vm->name.c_str(), reply.status);
		}
		record("the deployment serves");
	}
	std::string
	config() const
	{
		return "{\"version\":7,\"routes\":[{\"name\":\"r-online\","
		       "\"host\":\"" +
		    host + "\",\"pathPrefix\":\"" + online +
		    "\",\"kind\":\"streaming\",\"timeoutMs\":5000,"
		    "\"targetLatencyMs\":300,\"priority\":0,\"service\":\"" +
		    service +
		    "\",\"maxAttempts\":1,\"sticky\":true,"
		    "\"resumable\":false,\"gap_aim_ms\":200},"
		    "{\"name\":\"r-batch\",\"host\":\"" +
		    host + "\",\"pathPrefix\":\"" + batch +
		    "\",\"kind\":\"batch\",\"timeoutMs\":15000,"
		    "\"targetLatencyMs\":400,\"priority\":2,\"service\":\"" +
		    service +
		    "\",\"maxAttempts\":3,\"sticky\":true,"
		    "\"resumable\":true,\"gap_aim_ms\":200,"
		    "\"runDeadlineMs\":18000,\"retentionS\":60,"
		    "\"maxCount\":" +
		    std::to_string(max_tokens) +
		    "}],\"services\":[{\"name\":\"" + service +
		    "\",\"healthPath\":\"/health\",\"maxConns\":290,"
		    "\"protocol\":\"h1\",\"tls\":false}],"
		    "\"limits\":{\"maxHeaderBytes\":16384,"
		    "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
		    "\"idleTimeoutMs\":15000}}";
	}
	std::string
	online_headers(const std::string &id) const
	{
		return "Host: " + host +
		    "\r\nX-Jujubeswitch-Request-Id: " + id +
		    "\r\nX-Jujubeswitch-Model: m\r\n"
		    "X-Jujubeswitch-Token-Count: 450,39\r\n"
		    "X-Jujubeswitch-Prompt-Prefix: 5c1e07a2:100,91bd3f06:100," +
		    id.substr(0, 8) +
		    ":250\r\nX-Jujubeswitch-Deadline-Ms: 5000\r\n";
	}
	reply_t
	send_online(const std::string &front, const std::string &id) const
	{
		return call_once(front, "POST", online + id.substr(0, 4),
		    online_headers(id), "prompt", 5000);
	}
	lot_t
	make_lot(int items, int item_tokens = 620) const
	{
		lot_t lot;

		lot.id = make_id();
		lot.body = "{\"items\":[";
		for (int i = 0; i < items; i++) {
			std::string id = make_id();

			lot.items.push_back(id);
			lot.tokens += (uint64_t)item_tokens;
			lot.body += (i > 0 ? "," : "") +
			    std::string("{\"id\":\"") + id + "\",\"path\":\"" +
			    batch + "1/" + id.substr(0, 4) +
			    "\",\"headers\":{\"X-Jujubeswitch-Model\":\"m\","
			    "\"X-Jujubeswitch-Token-Count\":\"350,270\","
			    "\"X-Jujubeswitch-Prompt-Prefix\":\"9c2e41:100," +
			    id.substr(0, 8) +
			    ":250\"},\"body\":\"q83vEjRWeJA=\",\"tokens\":" +
			    std::to_string(item_tokens) + "}";
		}
		lot.body += "]}";
		return lot;
	}
	reply_t
	submit(const std::string &front, const lot_t &lot, long limit_ms = 4000)
	{
		return call_once(front, "POST", batch + lot.id.substr(0, 6),
		    "Host: " + host +
			"\r\nX-Jujubeswitch-Request-Id: " + lot.id +
			"\r\nContent-Type: application/json\r\n"
			"X-Jujubeswitch-Deadline-Ms: " +
			std::to_string(limit_ms) + "\r\n",
		    lot.body, limit_ms);
	}
	reply_t
	read_lot(const std::string &front, const std::string &id, int after,
	    long wait_ms = 1000)
	{
		return call_once(front, "GET",
		    "/api/lots/" + id + "?after=" + std::to_string(after),
		    "Host: " + host + "\r\nX-Jujubeswitch-Wait-Ms: " +
			std::to_string(wait_ms) + "\r\n",
		    "", wait_ms + 1500);
	}
	vm_t &
	vm(size_t number)
	{
		return *vms[number % vms.size()];
	}
};

// The results in an answer to a read, by item.
struct page_t {
	bool valid = false;
	int total = 0, next = 0;
	struct result_t {
		std::string id, state, text;
	};
	std::vector<result_t> results;

	explicit page_t(const reply_t &reply)
	{
		json_t *root = json_loadb(reply.body.data(), reply.body.size(),
		    JSON_ALLOW_NUL, nullptr);
		json_t *list = json_object_get(root, "results");
		json_t *entry;
		size_t i;

		valid = reply.status == 200 && reply.complete &&
		    json_is_array(list);
		total = (int)json_integer_value(json_object_get(root, "total"));
		next = (int)json_integer_value(json_object_get(root, "next"));
		json_array_foreach(list, i, entry)
		{
			json_t *text = json_object_get(entry, "text");
			const char *id =
			    json_string_value(json_object_get(entry, "id"));
			const char *state =
			    json_string_value(json_object_get(entry, "state"));

			results.push_back({id != nullptr ? id : "",
			    state != nullptr ? state : "",
			    json_is_string(text)
				? std::string(json_string_value(text),
				      json_string_length(text))
				: ""});
		}
		json_decref(root);
	}
};

} // namespace rig

#endif
