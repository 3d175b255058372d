/*
 * Ports of the failure tests, each held by one fleet of one program.
 */
#ifndef JJ_TESTS_SYSTEM_PORTS_H
#define JJ_TESTS_SYSTEM_PORTS_H

#include <string>
#include <vector>

namespace harness
{

/*
 * Blocks of ports, locked against other test programs until the object ends.
 * A lock ends with its program, too.
 */
class ports_t
{
      public:
	ports_t() = default;
	~ports_t();
	ports_t(const ports_t &) = delete;
	/* IP:PORT that nothing listens on; none is given out twice. */
	std::string choose_address();

      private:
	std::vector<int> locks; /* file descriptors */
	int next = 0;
	int end = 0; /* of the block in use */

	void lock_block();
	bool try_lock_block(int block);
};

} // namespace harness

#endif
