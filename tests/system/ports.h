/*
 * Loopback ports for the failure tests; test programs reserve them in blocks.
 */
#ifndef JJ_TESTS_SYSTEM_PORTS_H
#define JJ_TESTS_SYSTEM_PORTS_H

#include <string>
#include <vector>

namespace harness
{

/*
 * Blocks of ports, locked against other test programs until the object is
 * destroyed. The kernel releases the locks of a program that ends.
 */
class ports_t
{
      public:
	ports_t() = default;
	~ports_t();
	ports_t(const ports_t &) = delete;
	/* An IP:PORT on which nothing listens; none is returned twice. */
	std::string choose_address();

      private:
	std::vector<int> locks; /* file descriptors */
	int next = 0;
	int end = 0; /* first port after the block in use */

	void lock_block();
	bool try_lock_block(int block);
};

} // namespace harness

#endif
