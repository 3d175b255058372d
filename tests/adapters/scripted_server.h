/**
 * @file scripted_server.h
 * @brief A server on loopback that answers each request as a test says.
 */
#ifndef TESTS_ADAPTERS_SCRIPTED_SERVER_H
#define TESTS_ADAPTERS_SCRIPTED_SERVER_H

#include <functional>
#include <map>
#include <string>
#include <thread>

#include "tests/adapters/loopback.h"

/** What is sent in answer to a request, and what becomes of its connection. */
struct ScriptedAnswer {
	std::string text;
	enum {
		CLOSED,
		RESET,
		OPEN, /**< takes further requests */
		SILENT, /**< stays open, answers nothing more */
	} connection;
};

/**
 * One thread for all connections: the thread sanitizer has room for 250 on
 * aarch64.
 */
class ScriptedServer
{
      public:
	/** Called with each whole request, in the server's thread. */
	using Script = std::function<ScriptedAnswer(const std::string &)>;

	std::string address;

	explicit ScriptedServer(Script to_run) : script(std::move(to_run))
	{
		sockaddr_in bound = {};
		socklen_t size = sizeof(bound);

		listener = socket(AF_INET, SOCK_STREAM, 0);
		bound.sin_family = AF_INET;
		bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		EXPECT_EQ(0, bind(listener, (sockaddr *)&bound, sizeof(bound)));
		EXPECT_EQ(0, listen(listener, BACKLOG));
		EXPECT_EQ(0, getsockname(listener, (sockaddr *)&bound, &size));
		address = "127.0.0.1:" + std::to_string(ntohs(bound.sin_port));
		thread = std::thread([this] { serve_all(); });
	}
	~ScriptedServer()
	{
		(void)shutdown(listener, SHUT_RDWR);
		thread.join();
		(void)close(listener);
	}
	ScriptedServer(const ScriptedServer &) = delete;
	ScriptedServer &operator=(const ScriptedServer &) = delete;

	/** A header field of a request; "" if it has none. */
	static std::string
	field(const std::string &request, const std::string &name)
	{
		size_t at = request.find("\r\n" + name + ": ");

		if (at == std::string::npos || at > request.find("\r\n\r\n"))
			return "";
		at += name.size() + 4;
		return request.substr(at, request.find('\r', at) - at);
	}

      private:
	static constexpr int BACKLOG = 512;

	struct Connection {
		std::string received;
		bool is_silent;
	};

	Script script;
	int listener;
	std::map<int, Connection> connections; /**< by descriptor */
	std::thread thread;

	void
	serve_all()
	{
		std::vector<pollfd> waits;
		bool is_open = true;

		while (is_open) {
			waits = {{listener, POLLIN, 0}};
			for (const auto &[fd, connection] : connections)
				waits.push_back({fd, POLLIN, 0});
			(void)poll(waits.data(), waits.size(), -1);
			for (size_t i = 1; i < waits.size(); i++)
				if (waits[i].revents != 0)
					receive(waits[i].fd);
			if (waits[0].revents != 0)
				is_open = accept_one();
		}
		for (const auto &[fd, connection] : connections)
			(void)close(fd);
	}
	bool
	accept_one()
	{
		int fd = accept(listener, nullptr, nullptr);

		if (fd >= 0)
			connections[fd] = {};
		return fd >= 0;
	}
	void
	receive(int fd)
	{
		Connection &connection = connections[fd];
		char bytes[4096];
		ssize_t size = recv(fd, bytes, sizeof(bytes), 0);
		bool stays_open = size > 0;

		if (size > 0)
			connection.received.append(bytes, (size_t)size);
		while (stays_open && !connection.is_silent &&
		    is_whole(connection.received))
			stays_open = answer(fd, connection);
		if (!stays_open) {
			connections.erase(fd);
			(void)close(fd);
		}
	}
	static size_t
	size_of(const std::string &request)
	{
		std::string length = field(request, "Content-Length");

		return request.find("\r\n\r\n") + 4 +
		    (length.empty() ? 0 : std::stoul(length));
	}
	static bool
	is_whole(const std::string &received)
	{
		return received.find("\r\n\r\n") != std::string::npos &&
		    received.size() >= size_of(received);
	}
	/** Answers the first request; false if the connection is to be closed. */
	bool
	answer(int fd, Connection &connection)
	{
		size_t size = size_of(connection.received);
		ScriptedAnswer given =
		    script(connection.received.substr(0, size));
		linger reset = {1, 0};

		connection.received.erase(0, size);
		(void)send(
		    fd, given.text.data(), given.text.size(), MSG_NOSIGNAL);
		if (given.connection == ScriptedAnswer::RESET)
			(void)setsockopt(
			    fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
		connection.is_silent =
		    given.connection == ScriptedAnswer::SILENT;
		return connection.is_silent ||
		    given.connection == ScriptedAnswer::OPEN;
	}
};

#endif
