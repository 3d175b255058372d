/*
 * Callers that send what no well-behaved client sends, over plain sockets: all
 * at once, from one thread.
 */
#ifndef TESTS_CROWD_CROWD_H
#define TESTS_CROWD_CROWD_H

#include <string>
#include <vector>

namespace crowd
{

/* Memory of the smallest machine. */
constexpr long MACHINE_KB = 110 * 1024;
/* What a VM without callers may keep of it. */
constexpr long CALM_KB = MACHINE_KB / 2;
constexpr size_t MIB = 1024 * 1024;
/* Largest body of the deployment's callers. */
constexpr size_t BODY_MAX = 4 * MIB;
constexpr size_t CONNECTIONS = 64;
/* Descriptors beside those of callers. */
constexpr size_t OTHER_DESCRIPTORS = 100;
constexpr size_t CROWD = 40;

/* What each caller of a crowd does. */
struct behaviour_t {
	std::string bytes = {}; /* sent at once, as fast as they are taken */
	std::string drip =
	    {}; /* sent afterwards, a byte a tick, from the start */
	bool reads = true; /* reads answers; else its receive buffer fills */
	bool half_closes = false; /* sends FIN after `bytes` */
};

/* Connections to one address; the destructor closes them. */
class crowd_t
{
      public:
	crowd_t(std::string address, size_t count, behaviour_t behaviour);
	~crowd_t();
	crowd_t(const crowd_t &) = delete;
	/* Sends and receives what is possible without waiting, then waits for
	 * a tick. */
	void step();
	/* Callers that sent all of `bytes` or can't send more. */
	size_t sent() const;
	/* Callers whose connection was closed by the server. */
	size_t closed() const;
	/* Callers that received an answer with that status. */
	size_t answered(int status) const;
	void leave();

      private:
	struct client_t {
		int fd = -1;
		size_t at = 0; /* bytes sent */
		size_t dripped = 0;
		bool refused = false; /* takes no more bytes */
		bool closed = false;
		std::string received; /* its beginning */
	};
	behaviour_t behaviour;
	std::vector<client_t> clients;

	void send_more(client_t &client);
	void receive(client_t &client);
};

/* A body in chunks of that size, without the last chunk. */
std::string
in_chunks(size_t bytes, size_t chunk, const std::string &extension = "");

} // namespace crowd

#endif
