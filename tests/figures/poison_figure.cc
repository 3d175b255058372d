/*
 * Number of backend servers that one request crashes in a fleet when its caller
 * resends it repeatedly.
 */
#include "tests/figures/figures.h"

#include <algorithm>

using namespace figures;
using namespace harness;

namespace
{

constexpr int TRIALS = 5;
constexpr int SENDS = 24;
constexpr long RESTART_MS = 500;
constexpr long RECOVER_MS = 10000;
constexpr int HEALTHY = 10; /* requests at each VM afterwards */

/* Restarts crashed engines on the same address and counts the crashes. */
class restarter_t
{
      public:
	explicit restarter_t(fleet_t &fleet)
	    : thread([this, &fleet] {
		      while (!stop)
			      restart_crashed(fleet);
	      })
	{
	}

	~restarter_t()
	{
		stop = true;
		thread.join();
	}

	std::atomic<int> crashes{0};

      private:
	std::atomic<bool> stop{false};
	std::map<std::string, long> crashed_at; /* time of the crash, by name */
	std::thread thread;

	void
	restart_crashed(fleet_t &fleet)
	{
		for (standin_t &engine : fleet.engines) {
			if (engine.process->is_alive())
				continue;
			if (crashed_at.emplace(engine.name, now_ms()).second)
				crashes++;
			if (now_ms() - crashed_at[engine.name] < RESTART_MS)
				continue;
			crashed_at.erase(engine.name);
			engine.start();
		}
		sleep_ms(5);
	}
};

struct samples_t {
	sample_t crashes;
	/* Number of the first send that was refused as quarantined. */
	sample_t first_refusal;
	long refused = 0;
	long healthy = 0;
	long sent = 0;
};

void
resend(unsigned seed, samples_t &samples)
{
	fleet_options_t options;
	std::mt19937 random(seed);
	std::vector<size_t> order;
	int first_refusal = SENDS + 1;

	options.domains = 3;
	options.engines = 2;
	fleet_t fleet(options);
	restarter_t restarter(fleet);
	for (size_t i = 0; i < fleet.vms.size(); i++)
		order.push_back(i);
	std::shuffle(order.begin(), order.end(), random);
	for (int i = 0; i < SENDS; i++) {
		const vm_t &vm = *fleet.vms[order[i % order.size()]];
		reply_t reply = vm.complete("note <<crash>> note", 4,
		    {"Idempotency-Key: try " + std::to_string(i)});
		EXPECT_GE(reply.status, 400) << reply.body;
		if (reply.text("code") != "quarantined")
			continue;
		samples.refused++;
		first_refusal = std::min(first_refusal, i + 1);
	}
	sleep_ms(RECOVER_MS);
	samples.crashes.add(restarter.crashes);
	samples.first_refusal.add(first_refusal);
	for (const std::unique_ptr<vm_t> &vm : fleet.vms) {
		for (int i = 0; i < HEALTHY; i++) {
			std::string prompt = "healthy " + std::to_string(i);
			reply_t reply = vm->complete(prompt, 2);
			samples.sent++;
			samples.healthy += is_answer_to(reply, prompt, 2);
		}
	}
}

/*
 * One prompt crashes each engine that runs it. Its caller resends it to all VMs
 * of the fleet in turn, with a new key each time.
 */
TEST(Figures, PoisonRequest)
{
	samples_t samples;

	for (unsigned seed = 1; seed <= TRIALS; seed++)
		resend(seed, samples);
	samples.crashes.print("poison_servers_lost");
	samples.first_refusal.print("poison_sends_to_first_refusal");
	print_share(
	    "poison_sends_refused_as_poison", samples.refused, TRIALS * SENDS);
	print_share(
	    "poison_healthy_served_10s_later", samples.healthy, samples.sent);
}

} // namespace
