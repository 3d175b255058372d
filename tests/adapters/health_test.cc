/**
 * @file health_test.cc
 * @brief Health checks of a server after an attempt at it broke.
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

/** Time limit of each wait, ms; far above what these tests need. */
constexpr int LIMIT_MS = 20000;

class HealthWatch : public ::testing::Test
{
      protected:
	std::unique_ptr<UnresponsiveServer> server =
	    std::make_unique<UnresponsiveServer>();
	std::string address = server->address;
	jj_health_port_t port = {this, on_health, on_report, on_release};
	jj_health_watch_t *watch = jj_health_watch_create(&port);
	jj_name_t name = {"s1"};

	~HealthWatch() override
	{
		jj_health_watch_destroy(watch);
	}
	/** Holds back an event, as after an attempt that broke. */
	void
	defer_event()
	{
		jj_health_watch_defer_event(
		    watch, &name, address.c_str(), this);
	}
	/** Closes the probe's connection, as a terminating process does. */
	void
	cut_probe()
	{
		ASSERT_TRUE(server->accept_one(LIMIT_MS));
		(void)read_until(server->last(), "\r\n\r\n");
		(void)shutdown(server->last(), SHUT_RDWR);
	}
	bool
	wait_for(size_t results, int releases)
	{
		std::unique_lock<std::mutex> guard(lock);

		return changed.wait_for(
		    guard, std::chrono::milliseconds(LIMIT_MS), [&] {
			    return seen.size() >= results &&
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

/*
 * Guards against a crash that is charged to no request: a terminating process
 * accepts the probe and closes its connection, and no retry finds it down.
 */
TEST_F(HealthWatch, AProbeThatATerminatingProcessCutsOffIsRetried)
{
	defer_event();
	cut_probe();
	ASSERT_TRUE(wait_for(1, 1));
	EXPECT_EQ(JJ_HEALTH_UNKNOWN, last_seen());
	EXPECT_TRUE(jj_health_watch_has_cut_probe(watch));
	server.reset();
	jj_health_watch_retry_probes(watch);
	ASSERT_TRUE(wait_for(2, 1));
	EXPECT_EQ(JJ_HEALTH_DOWN, last_seen());
	jj_health_watch_retry_probes(watch);
	EXPECT_FALSE(jj_health_watch_has_cut_probe(watch));
}

/* Guards against endless probes of a server that cuts off each of them. */
TEST_F(HealthWatch, AProbeThatNoEventWaitsForIsNotRetried)
{
	jj_health_watch_probe(watch, &name, address.c_str(), false);
	cut_probe();
	ASSERT_TRUE(wait_for(1, 0));
	EXPECT_FALSE(jj_health_watch_has_cut_probe(watch));
}

} // namespace
