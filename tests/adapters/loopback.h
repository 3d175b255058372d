/**
 * @file loopback.h
 * @brief Plain sockets on loopback for tests of HTTP servers and clients.
 */
#ifndef JJ_TESTS_ADAPTERS_LOOPBACK_H
#define JJ_TESTS_ADAPTERS_LOOPBACK_H

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstring>
#include <string>
#include <vector>

#include <gtest/gtest.h>

/** An address with a port that is currently free. */
inline std::string
free_address()
{
	sockaddr_in address = {};
	socklen_t size = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_family = AF_INET;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	(void)bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address));
	(void)getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
	(void)close(fd);
	return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

/** Sends a request; returns the socket to read the answer from. */
inline int
send_request(const std::string &to,
    const std::string &text = "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
{
	sockaddr_in address = {};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_family = AF_INET;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port = htons(std::stoi(to.substr(to.find(':') + 1)));
	if (connect(fd, reinterpret_cast<sockaddr *>(&address),
		sizeof(address)) != 0 ||
	    send(fd, text.data(), text.size(), MSG_NOSIGNAL) < 0) {
		ADD_FAILURE() << "no connection to " << to;
	}
	return fd;
}

/** Reads until the text was received or the connection was closed. */
inline std::string
read_until(int fd, const std::string &wanted)
{
	std::string received;
	char bytes[4096];
	ssize_t size;

	while (received.find(wanted) == std::string::npos &&
	    (size = recv(fd, bytes, sizeof(bytes), 0)) > 0)
		received.append(bytes, (size_t)size);
	return received;
}

inline std::string
read_to_end(int fd)
{
	std::string received;
	char bytes[4096];
	ssize_t size;

	while ((size = recv(fd, bytes, sizeof(bytes), 0)) > 0)
		received.append(bytes, (size_t)size);
	return received;
}

/** Accepts connections on loopback and sends nothing by itself. */
class UnresponsiveServer
{
      public:
	std::string address;

	UnresponsiveServer()
	{
		sockaddr_in bound = {};
		socklen_t size = sizeof(bound);

		listening = socket(AF_INET, SOCK_STREAM, 0);
		bound.sin_family = AF_INET;
		bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		EXPECT_EQ(0,
		    bind(listening, reinterpret_cast<sockaddr *>(&bound),
			sizeof(bound)));
		EXPECT_EQ(0, listen(listening, 64));
		EXPECT_EQ(0,
		    getsockname(listening, reinterpret_cast<sockaddr *>(&bound),
			&size));
		address = "127.0.0.1:" + std::to_string(ntohs(bound.sin_port));
	}
	~UnresponsiveServer()
	{
		for (int fd : accepted)
			(void)close(fd);
		(void)close(listening);
	}
	/** Accepts one more connection; false if none came within the time. */
	bool
	accept_one(int ms)
	{
		pollfd waiting = {listening, POLLIN, 0};

		if (poll(&waiting, 1, ms) != 1)
			return false;
		accepted.push_back(accept(listening, nullptr, nullptr));
		return accepted.back() >= 0;
	}

	void
	close_last()
	{
		(void)close(accepted.back());
		accepted.pop_back();
	}

	/** The last accepted connection; it stays open until destruction. */
	int
	last() const
	{
		return accepted.back();
	}

      private:
	int listening;
	std::vector<int> accepted;
};

#endif
