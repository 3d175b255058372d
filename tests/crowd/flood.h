/*
 * A server that sends bytes without end in answer to each request, until its
 * connection is closed.
 */
#ifndef TESTS_CROWD_FLOOD_H
#define TESTS_CROWD_FLOOD_H

#include <atomic>
#include <map>
#include <string>
#include <thread>

namespace crowd
{

/* What the server sends. */
struct flood_t {
	const char *name;
	/* "%ID" stands for the id of the request */
	std::string begin;
	std::string more; /* over and over */
};

class flood_server_t
{
      public:
	std::string address;
	std::atomic<size_t> begun{0}; /* answers */
	std::atomic<size_t> sent{0}; /* bytes */

	flood_server_t(std::string at, flood_t what);
	~flood_server_t();
	flood_server_t(const flood_server_t &) = delete;

      private:
	struct client_t {
		std::string request; /* its head so far */
		std::string bytes; /* to be sent */
		size_t at = 0;
		bool floods = false;
	};
	flood_t flood;
	std::string block; /* many times flood.more */
	std::atomic<bool> stops{false};
	int listener;
	std::map<int, client_t> clients;
	std::thread thread;

	void run();
	void accept_all();
	/* False if the connection has ended. */
	bool read_request(int fd, client_t &client);
	bool send_more(int fd, client_t &client);
};

} // namespace crowd

#endif
