/**
 * @file neighbours_test.cc
 * @brief Connections between VMs, batching and limits of messages.
 */
#include <chrono>
#include <mutex>
#include <vector>

#include "tests/adapters/loopback.h"

extern "C" {
#include "adapters/neighbours.h"
#include "adapters/wire.h"
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

/*
 * After a network partition of six seconds that dropped packets silently, VMs
 * received nothing from each other for two more seconds, took over each other's
 * jobs and loaded the servers twice: their old connections waited for TCP
 * retransmissions, whose intervals grow. A connection without an
 * acknowledgement is reopened.
 */
TEST(Neighbours, AConnectionWithoutAnAnswerIsOpenedAnew)
{
	constexpr int LIMIT_MS = 10000;
	UnresponsiveServer mute;
	jj_message_t message = {};
	jj_neighbours_t *neighbours;

	neighbours = jj_neighbours_create(
	    free_address().c_str(), 0, drop_message, nullptr);
	ASSERT_NE(nullptr, neighbours);
	message.kind = JJ_MESSAGE_PROBE;
	(void)jj_name_set(&message.from, "vm-1");
	jj_neighbours_send(neighbours, "vm-2", mute.address.c_str(), &message);
	EXPECT_TRUE(mute.accept_one(LIMIT_MS));
	EXPECT_TRUE(mute.accept_one(LIMIT_MS));
	jj_neighbours_destroy(neighbours);
}

/** Arrival times of messages, on the steady clock. */
struct Arrivals {
	std::mutex lock;
	std::vector<std::chrono::steady_clock::time_point> times;

	static void
	take(void *ctx, jj_message_t *message)
	{
		auto *self = static_cast<Arrivals *>(ctx);
		std::lock_guard<std::mutex> guard(self->lock);

		self->times.push_back(std::chrono::steady_clock::now());
		jj_message_clear(message);
		free(message);
	}
	size_t
	count()
	{
		std::lock_guard<std::mutex> guard(lock);

		return times.size();
	}
};

/*
 * On small VMs, receiving the messages of dozens of VMs one at a time took a
 * tenth of the CPU time more than in batches, and delayed callers' requests.
 * A message that arrives right after another waits for the next batch; none is
 * lost, and sending is not delayed.
 */
TEST(Neighbours, MessagesAreGathered)
{
	constexpr int GATHER_MS = 300;
	constexpr int TRIES = 1000;
	std::string address = free_address();
	std::string own;
	jj_message_t message = {};
	Arrivals arrivals;
	Arrivals answers;
	jj_neighbours_t *receiver = jj_neighbours_create(
	    address.c_str(), GATHER_MS, Arrivals::take, &arrivals);
	jj_neighbours_t *sender;

	ASSERT_NE(nullptr, receiver);
	/* Only now: until the first port is bound, it may be returned again. */
	own = free_address();
	sender = jj_neighbours_create(own.c_str(), 0, Arrivals::take, &answers);
	ASSERT_NE(nullptr, sender);
	message.kind = JJ_MESSAGE_YIELD;
	message.incarnation = 1;
	message.sequence = 1;
	(void)jj_name_set(&message.from, "vm-1");
	for (int i = 0; i < TRIES && answers.count() == 0; i++) {
		jj_neighbours_send(receiver, "vm-1", own.c_str(), &message);
		(void)usleep(10000);
	}
	for (int i = 0; i < TRIES && arrivals.count() == 0; i++) {
		jj_neighbours_send(sender, "vm-2", address.c_str(), &message);
		(void)usleep(10000);
	}
	ASSERT_LE(1U, arrivals.count());
	(void)usleep(2 * GATHER_MS * 1000);
	size_t idle = arrivals.count();
	size_t before = answers.count();
	jj_neighbours_send(sender, "vm-2", address.c_str(), &message);
	for (int i = 0; i < TRIES && arrivals.count() == idle; i++)
		(void)usleep(1000);
	jj_neighbours_send(sender, "vm-2", address.c_str(), &message);
	jj_neighbours_send(sender, "vm-2", address.c_str(), &message);
	jj_neighbours_send(receiver, "vm-1", own.c_str(), &message);
	for (int i = 0; i < TRIES && arrivals.count() < idle + 3; i++)
		(void)usleep(10000);
	for (int i = 0; i < TRIES && answers.count() == before; i++)
		(void)usleep(1000);
	ASSERT_EQ(idle + 3, arrivals.count());
	EXPECT_LT(before, answers.count());
	EXPECT_GT(arrivals.times[idle + 1] - arrivals.times[idle],
	    std::chrono::milliseconds(GATHER_MS / 2));
	jj_neighbours_destroy(sender);
	jj_neighbours_destroy(receiver);
}

/*
 * On one day the traffic between failure domains was four times the usual, and
 * no metric showed which messages caused it. Each kind sent is counted by name.
 */
TEST(Neighbours, BytesAreCountedByKind)
{
	constexpr int TRIES = 1000;
	std::string address = free_address();
	jj_message_t message = {};
	jj_neighbours_t *receiver;
	jj_neighbours_t *sender;
	jj_neighbours_counts_t counts = {};

	receiver =
	    jj_neighbours_create(address.c_str(), 0, drop_message, nullptr);
	sender = jj_neighbours_create(
	    free_address().c_str(), 0, drop_message, nullptr);
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
	EXPECT_EQ(counts.sent, counts.sent_by_kind[JJ_MESSAGE_YIELD]);
	EXPECT_EQ(
	    counts.sent_bytes, counts.sent_bytes_by_kind[JJ_MESSAGE_YIELD]);
	EXPECT_EQ(0U, counts.sent_by_kind[JJ_MESSAGE_LOAD]);
	for (int kind = 1; kind < JJ_MESSAGE_KIND_END; kind++)
		EXPECT_STRNE("none",
		    jj_message_kind_name(static_cast<jj_message_kind_t>(kind)));
	jj_neighbours_destroy(sender);
	jj_neighbours_destroy(receiver);
}

/** Two VMs; the receiver records when messages arrive. */
class Pair : public ::testing::Test
{
      protected:
	static constexpr int TRIES = 1000;
	std::string address = free_address();
	Arrivals arrivals;
	jj_neighbours_t *receiver;
	jj_neighbours_t *sender;

	Pair()
	{
		receiver = jj_neighbours_create(
		    address.c_str(), 0, Arrivals::take, &arrivals);
		sender = jj_neighbours_create(
		    free_address().c_str(), 0, drop_message, nullptr);
	}
	~Pair() override
	{
		jj_neighbours_destroy(sender);
		jj_neighbours_destroy(receiver);
	}
	void
	send(jj_message_kind_t kind, size_t size)
	{
		jj_message_t message = {};

		message.kind = kind;
		message.incarnation = 1;
		message.sequence = 1;
		(void)jj_name_set(&message.from, "vm-1");
		if (kind == JJ_MESSAGE_RELAY) {
			std::string text(size, 'e');
			message.body.relay.events =
			    jj_bytes_copy(text.data(), text.size());
		}
		jj_neighbours_send(sender, "vm-2", address.c_str(), &message);
		jj_message_clear(&message);
	}
	bool
	arrive(size_t count)
	{
		for (int i = 0; i < TRIES && arrivals.count() < count; i++)
			(void)usleep(10000);
		return arrivals.count() >= count;
	}
	void
	connect()
	{
		for (int i = 0; i < TRIES && arrivals.count() == 0; i++) {
			send(JJ_MESSAGE_YIELD, 0);
			(void)usleep(10000);
		}
		(void)usleep(100000);
	}
};

/* Guards against a large message for which each receiver closes the connection:
 * heartbeats on it are lost too, without a log line. */
TEST_F(Pair, TheLargestMessageArrives)
{
	connect();
	size_t before = arrivals.count();
	send(JJ_MESSAGE_RELAY, JJ_WIRE_BYTES_MAX - 65536);
	send(JJ_MESSAGE_YIELD, 0);
	EXPECT_TRUE(arrive(before + 2)) << arrivals.count() - before;
}

/* Guards against a VM that cannot connect to a new VM because connections to
 * earlier ones use all sockets that libzmq allows. */
TEST_F(Pair, ANewVmIsReachedAfterManyOthers)
{
	jj_message_t message = {};
	std::string nobody = free_address();

	message.kind = JJ_MESSAGE_YIELD;
	message.incarnation = 1;
	message.sequence = 1;
	(void)jj_name_set(&message.from, "vm-1");
	for (int i = 0; i < 1100; i++)
		jj_neighbours_send(sender,
		    ("gone-" + std::to_string(i)).c_str(), nobody.c_str(),
		    &message);
	connect();
	EXPECT_LT(0U, arrivals.count());
}

/* Guards against a too large message that arrives as an empty one. */
TEST_F(Pair, AMessageBeyondTheBoundIsNotSent)
{
	connect();
	jj_neighbours_counts_t before = jj_neighbours_counts(sender);
	size_t came = arrivals.count();
	send(JJ_MESSAGE_RELAY, JJ_WIRE_BYTES_MAX);
	send(JJ_MESSAGE_YIELD, 0);
	EXPECT_TRUE(arrive(came + 1));
	jj_neighbours_counts_t after = jj_neighbours_counts(sender);
	EXPECT_EQ(before.sent_by_kind[JJ_MESSAGE_RELAY],
	    after.sent_by_kind[JJ_MESSAGE_RELAY]);
	EXPECT_EQ(0U, jj_neighbours_counts(receiver).malformed);
}

} // namespace
