/**
 * @file neighbours_test.cc
 * @brief Connections between VMs when the other side says nothing.
 */
#include <vector>

#include <poll.h>

#include "tests/adapters/loopback.h"

extern "C" {
#include "adapters/neighbours.h"
}

namespace
{

void
drop_message(void *ctx, jj_message_t *message)
{
	(void)ctx;
	jj_message_clear(message);
	free(message);
}

/** Accepts connections on loopback and says nothing on them. */
class Mute
{
      public:
	std::string address;

	Mute()
	{
		sockaddr_in where = {};
		socklen_t size = sizeof(where);

		listening = socket(AF_INET, SOCK_STREAM, 0);
		where.sin_family = AF_INET;
		where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		EXPECT_EQ(0,
		    bind(listening, reinterpret_cast<sockaddr *>(&where),
			sizeof(where)));
		EXPECT_EQ(0, listen(listening, 8));
		EXPECT_EQ(0,
		    getsockname(listening, reinterpret_cast<sockaddr *>(&where),
			&size));
		address = "127.0.0.1:" + std::to_string(ntohs(where.sin_port));
	}
	~Mute()
	{
		for (int fd : accepted)
			(void)close(fd);
		(void)close(listening);
	}
	/** True when one more connection came within the time. */
	bool
	accept_one(int ms)
	{
		pollfd waiting = {listening, POLLIN, 0};

		if (poll(&waiting, 1, ms) != 1)
			return false;
		accepted.push_back(accept(listening, nullptr, nullptr));
		return accepted.back() >= 0;
	}

      private:
	int listening;
	std::vector<int> accepted;
};

/*
 * VMs were cut off for six seconds without a word. For two seconds after the
 * cut they did not hear each other, took each other's jobs over and filled
 * the servers twice: their old connections waited for retransmissions that
 * come more and more rarely. One that is not answered is opened anew.
 */
TEST(Neighbours, AConnectionWithoutAnAnswerIsOpenedAnew)
{
	constexpr int LIMIT_MS = 10000;
	Mute mute;
	jj_message_t message = {};
	jj_neighbours_t *neighbours;

	neighbours =
	    jj_neighbours_create(free_address().c_str(), drop_message, nullptr);
	ASSERT_NE(nullptr, neighbours);
	message.kind = JJ_MESSAGE_PROBE;
	(void)jj_name_set(&message.from, "vm-1");
	jj_neighbours_send(neighbours, "vm-2", mute.address.c_str(), &message);
	EXPECT_TRUE(mute.accept_one(LIMIT_MS));
	EXPECT_TRUE(mute.accept_one(LIMIT_MS));
	jj_neighbours_destroy(neighbours);
}

/*
 * A day had four times the usual bytes between domains, and no counter said
 * which messages they were. Each kind that is sent is counted by its name.
 */
TEST(Neighbours, BytesAreCountedByKind)
{
	constexpr int TRIES = 1000;
	std::string address = free_address();
	jj_message_t message = {};
	jj_neighbours_t *receiver;
	jj_neighbours_t *sender;
	jj_neighbours_counts_t counts = {};

	receiver = jj_neighbours_create(address.c_str(), drop_message, nullptr);
	sender =
	    jj_neighbours_create(free_address().c_str(), drop_message, nullptr);
	ASSERT_NE(nullptr, receiver);
	ASSERT_NE(nullptr, sender);
	message.kind = JJ_MESSAGE_YIELD;
	(void)jj_name_set(&message.from, "vm-1");
	for (int i = 0; i < TRIES && counts.sent == 0; i++) {
		jj_neighbours_send(sender, "vm-2", address.c_str(), &message);
		(void)usleep(10000);
		counts = jj_neighbours_counts(sender);
	}
	EXPECT_GT(counts.sent, 0U);
	EXPECT_EQ(counts.sent, counts.kind_sent[JJ_MESSAGE_YIELD]);
	EXPECT_EQ(counts.sent_bytes, counts.kind_sent_bytes[JJ_MESSAGE_YIELD]);
	EXPECT_EQ(0U, counts.kind_sent[JJ_MESSAGE_LOAD]);
	for (int kind = 1; kind < JJ_MESSAGE_KIND_END; kind++)
		EXPECT_STRNE("none",
		    jj_message_kind_name(static_cast<jj_message_kind_t>(kind)));
	jj_neighbours_destroy(sender);
	jj_neighbours_destroy(receiver);
}

} // namespace
