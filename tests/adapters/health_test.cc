/**
 * @file health_test.cc
 * @brief What a look at a server's health decides about what broke there.
 */
#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <vector>

#include "tests/adapters/loopback.h"

extern "C" {
#include "daemon/health.h"
}

namespace
{

/** Far beyond what anything here takes, ms. */
constexpr int LIMIT_MS = 20000;

class HealthWatch : public ::testing::Test
{
      protected:
	std::unique_ptr<Mute> server = std::make_unique<Mute>();
	std::string address = server->address;
	jj_health_port_t port = {this, on_health, on_report, on_release};
	jj_health_watch_t *watch = jj_health_watch_create(&port);
	jj_name_t name = {"s1"};

	~HealthWatch() override
	{
		jj_health_watch_destroy(watch);
	}
	/** What an attempt that broke waits for. */
	void
	hold()
	{
		jj_health_watch_hold(watch, &name, address.c_str(), this);
	}
	/** The look under way is cut off, as by a process that ends. */
	void
	cut_look()
	{
		ASSERT_TRUE(server->accept_one(LIMIT_MS));
		(void)read_until(server->last(), "\r\n\r\n");
		(void)shutdown(server->last(), SHUT_RDWR);
	}
	bool
	wait_for(size_t verdicts, int releases)
	{
		std::unique_lock<std::mutex> guard(lock);

		return changed.wait_for(
		    guard, std::chrono::milliseconds(LIMIT_MS), [&] {
			    return seen.size() >= verdicts &&
				released >= releases;
		    });
	}
	jj_health_t
	last_seen()
	{
		std::lock_guard<std::mutex> guard(lock);

		return seen.back();
	}

      private:
	std::mutex lock;
	std::condition_variable changed;
	std::vector<jj_health_t> seen;
	int released = 0;

	static void
	on_health(void *ctx, const jj_name_t *, jj_health_t health, uint64_t)
	{
		auto *self = static_cast<HealthWatch *>(ctx);
		std::lock_guard<std::mutex> guard(self->lock);

		self->seen.push_back(health);
		self->changed.notify_all();
	}
	static void
	on_report(void *, const jj_name_t *, uint32_t, uint32_t, jj_ms_t)
	{
	}
	static void
	on_release(void *ctx, void *)
	{
		auto *self = static_cast<HealthWatch *>(ctx);
		std::lock_guard<std::mutex> guard(self->lock);

		self->released++;
		self->changed.notify_all();
	}
};

/* Guards against a death that counts against nothing that broke there. */
TEST_F(HealthWatch, ALookThatADyingProcessCutsIsMadeAgain)
{
	hold();
	cut_look();
	ASSERT_TRUE(wait_for(1, 1));
	EXPECT_EQ(JJ_HEALTH_UNSURE, last_seen());
	EXPECT_TRUE(jj_health_watch_has_cut(watch));
	server.reset();
	jj_health_watch_look_again(watch);
	ASSERT_TRUE(wait_for(2, 1));
	EXPECT_EQ(JJ_HEALTH_DOWN, last_seen());
	jj_health_watch_look_again(watch);
	EXPECT_FALSE(jj_health_watch_has_cut(watch));
}

/* Guards against looks without an end at a server that cuts each of them. */
TEST_F(HealthWatch, ALookThatNothingWaitsForIsNotMadeAgain)
{
	jj_health_watch_look(watch, &name, address.c_str(), false);
	cut_look();
	ASSERT_TRUE(wait_for(1, 0));
	EXPECT_FALSE(jj_health_watch_has_cut(watch));
}

} // namespace
