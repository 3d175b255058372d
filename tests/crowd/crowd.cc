/*
 * Callers that send what no well-behaved client sends, over plain sockets.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstdlib>

#include "tests/crowd/crowd.h"

namespace crowd
{

namespace
{

constexpr int TICK_MS = 5;
constexpr size_t SEND_BYTES = 262144;
constexpr size_t RECEIVED_KEPT = 64;
/* Receive buffer of a caller that does not read. */
constexpr int SMALL_BUFFER = 4096;

int
dial(const std::string &address, bool reads)
{
	size_t colon = address.rfind(':');
	sockaddr_in to = {};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

	if (!reads)
		(void)setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &SMALL_BUFFER,
		    sizeof(SMALL_BUFFER));
	to.sin_family = AF_INET;
	to.sin_port = htons((uint16_t)std::stoi(address.substr(colon + 1)));
	(void)inet_pton(
	    AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
	if (connect(fd, (sockaddr *)&to, sizeof(to)) == 0 ||
	    errno == EINPROGRESS)
		return fd;
	(void)close(fd);
	return -1;
}

bool
must_wait()
{
	return errno == EAGAIN || errno == ENOTCONN || errno == EINTR;
}

} // namespace

crowd_t::crowd_t(std::string address, size_t count, behaviour_t what)
    : behaviour(std::move(what)), clients(count)
{
	for (client_t &client : clients) {
		client.fd = dial(address, behaviour.reads);
		client.closed = client.fd < 0;
	}
}

crowd_t::~crowd_t()
{
	leave();
}

void
crowd_t::step()
{
	for (client_t &client : clients) {
		if (!client.closed && !client.refused)
			send_more(client);
		if (!client.closed && behaviour.reads)
			receive(client);
	}
	(void)poll(nullptr, 0, TICK_MS);
}

size_t
crowd_t::sent() const
{
	return (size_t)std::count_if(
	    clients.begin(), clients.end(), [this](const client_t &client) {
		    return client.closed || client.refused ||
			client.at == behaviour.bytes.size();
	    });
}

size_t
crowd_t::closed() const
{
	return (size_t)std::count_if(clients.begin(), clients.end(),
	    [](const client_t &client) { return client.closed; });
}

size_t
crowd_t::answered(int status) const
{
	std::string line = "HTTP/1.1 " + std::to_string(status);

	return (size_t)std::count_if(
	    clients.begin(), clients.end(), [&line](const client_t &client) {
		    return client.received.rfind(line, 0) == 0;
	    });
}

void
crowd_t::leave()
{
	for (client_t &client : clients) {
		if (client.fd >= 0)
			(void)close(client.fd);
		client.fd = -1;
		client.closed = true;
	}
}

void
crowd_t::send_more(client_t &client)
{
	const std::string &bytes = behaviour.bytes;
	bool drips = client.at == bytes.size();
	const char *next;
	size_t size;
	ssize_t sent;

	if (drips && behaviour.drip.empty())
		return;
	next = drips ? &behaviour.drip[client.dripped % behaviour.drip.size()]
		     : bytes.data() + client.at;
	size = drips ? 1 : std::min(SEND_BYTES, bytes.size() - client.at);
	sent = send(client.fd, next, size, MSG_NOSIGNAL);
	if (sent < 0)
		client.refused = !must_wait();
	else if (drips)
		client.dripped += (size_t)sent;
	else
		client.at += (size_t)sent;
	if (behaviour.half_closes && client.at == bytes.size())
		(void)shutdown(client.fd, SHUT_WR);
}

void
crowd_t::receive(client_t &client)
{
	char bytes[4096];
	ssize_t size = recv(client.fd, bytes, sizeof(bytes), MSG_DONTWAIT);

	if (size > 0)
		client.received.append(bytes,
		    std::min((size_t)size,
			RECEIVED_KEPT -
			    std::min(RECEIVED_KEPT, client.received.size())));
	else if (size == 0 || !must_wait())
		client.closed = true;
}

std::string
in_chunks(size_t bytes, size_t chunk, const std::string &extension)
{
	std::string text;
	char size[32];

	for (size_t at = 0; at < bytes; at += chunk) {
		size_t length = std::min(chunk, bytes - at);

		(void)snprintf(size, sizeof(size), "%zx", length);
		text += size + extension + "\r\n" + std::string(length, 'x') +
		    "\r\n";
	}
	return text;
}

} // namespace crowd
