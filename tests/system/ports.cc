/*
 * Loopback ports for the failure tests; test programs reserve them in blocks.
 */
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>

#include "tests/system/ports.h"

namespace harness
{

namespace
{

/* Below the kernel's ephemeral range, so that no outgoing connection takes the
 * port of a process that is being restarted. */
constexpr int PORT_MIN = 10000;
constexpr int BLOCKS = 200;
constexpr int PORTS_PER_BLOCK = 100;
constexpr int POLL_MS = 20;
constexpr long LOCK_TIMEOUT_MS = 60000;

bool
is_free(int port)
{
	sockaddr_in address = {};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	bool is_bound;

	address.sin_family = AF_INET;
	address.sin_port = htons(static_cast<uint16_t>(port));
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	is_bound = bind(fd, reinterpret_cast<sockaddr *>(&address),
		       sizeof(address)) == 0;
	close(fd);
	return is_bound;
}

} // namespace

ports_t::~ports_t()
{
	for (int lock : locks)
		close(lock);
}

std::string
ports_t::choose_address()
{
	int port;

	do {
		if (next == end)
			lock_block();
		port = next++;
	} while (!is_free(port));
	return "127.0.0.1:" + std::to_string(port);
}

/* Test programs start their search at different blocks. */
void
ports_t::lock_block()
{
	int first = getpid() % BLOCKS;

	for (long waited = 0; waited < LOCK_TIMEOUT_MS; waited += POLL_MS) {
		for (int i = 0; i < BLOCKS; i++) {
			if (try_lock_block((first + i) % BLOCKS))
				return;
		}
		poll(nullptr, 0, POLL_MS);
	}
	fprintf(
	    stderr, "no block of ports became free within the time limit\n");
	abort();
}

bool
ports_t::try_lock_block(int block)
{
	std::string folder =
	    "/tmp/jujube-test-ports-" + std::to_string(getuid());
	std::string path = folder + "/" + std::to_string(block);
	int fd;

	(void)mkdir(folder.c_str(), 0700);
	fd = open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
	if (fd < 0)
		return false;
	if (flock(fd, LOCK_EX | LOCK_NB) != 0) {
		close(fd);
		return false;
	}
	locks.push_back(fd);
	next = PORT_MIN + block * PORTS_PER_BLOCK;
	end = next + PORTS_PER_BLOCK;
	return true;
}

} // namespace harness
