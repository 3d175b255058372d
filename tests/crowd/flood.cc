/*
 * A server that sends bytes without end in answer to each request.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <vector>

#include "tests/crowd/flood.h"

namespace crowd
{

namespace
{

constexpr size_t BLOCK_BYTES = 65536;
constexpr int TICK_MS = 20;
constexpr int BACKLOG = 512;
const std::string ID = "X-Jujubeswitch-Request-Id: ";

int
listen_at(const std::string &address)
{
	size_t colon = address.rfind(':');
	sockaddr_in at = {};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	int on = 1;

	at.sin_family = AF_INET;
	at.sin_port = htons((uint16_t)std::stoi(address.substr(colon + 1)));
	(void)inet_pton(
	    AF_INET, address.substr(0, colon).c_str(), &at.sin_addr);
	(void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (sockaddr *)&at, sizeof(at)) != 0 ||
	    listen(fd, BACKLOG) != 0)
		abort();
	return fd;
}

} // namespace

flood_server_t::flood_server_t(std::string at, flood_t what)
    : address(std::move(at)), flood(std::move(what)),
      listener(listen_at(address))
{
	while (!flood.more.empty() && block.size() < BLOCK_BYTES)
		block += flood.more;
	thread = std::thread([this] { run(); });
}

flood_server_t::~flood_server_t()
{
	stops = true;
	thread.join();
	(void)close(listener);
	for (const auto &client : clients)
		(void)close(client.first);
}

void
flood_server_t::run()
{
	while (!stops) {
		std::vector<pollfd> waits = {{listener, POLLIN, 0}};

		for (const auto &client : clients)
			waits.push_back({client.first,
			    (short)(client.second.floods ? POLLOUT : POLLIN),
			    0});
		(void)poll(waits.data(), waits.size(), TICK_MS);
		if (waits[0].revents != 0)
			accept_all();
		for (size_t i = 1; i < waits.size(); i++) {
			int fd = waits[i].fd;
			client_t &client = clients[fd];

			if (waits[i].revents == 0 ||
			    (client.floods ? send_more(fd, client)
					   : read_request(fd, client)))
				continue;
			(void)close(fd);
			clients.erase(fd);
		}
	}
}

void
flood_server_t::accept_all()
{
	int fd;

	while ((fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK)) >= 0)
		clients[fd] = client_t();
}

bool
flood_server_t::read_request(int fd, client_t &client)
{
	char bytes[4096];
	ssize_t size = recv(fd, bytes, sizeof(bytes), 0);
	size_t at;

	if (size <= 0)
		return size < 0 && errno == EAGAIN;
	client.request.append(bytes, (size_t)size);
	if (client.request.find("\r\n\r\n") == std::string::npos)
		return true;
	client.bytes = flood.begin;
	at = client.request.find(ID);
	if (at != std::string::npos) {
		std::string id = client.request.substr(at + ID.size());

		id = id.substr(0, id.find('\r'));
		at = client.bytes.find("%ID");
		if (at != std::string::npos)
			client.bytes.replace(at, 3, id);
	}
	client.floods = true;
	begun++;
	return true;
}

bool
flood_server_t::send_more(int fd, client_t &client)
{
	ssize_t size;

	if (client.at == client.bytes.size()) {
		client.bytes = block;
		client.at = 0;
	}
	size = send(fd, client.bytes.data() + client.at,
	    client.bytes.size() - client.at, MSG_NOSIGNAL);
	if (size < 0)
		return errno == EAGAIN;
	client.at += (size_t)size;
	sent += (size_t)size;
	return true;
}

} // namespace crowd
