/*
 * How many backend servers one crashing request costs a whole fleet when its
 * caller sends it again and again.
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
class keeper_t
{
      public:
	explicit keeper_t(fleet_t &fleet)
	    : thread([this, &fleet] {
		      while (!stop)
			      look(fleet);
	      })
	{
	}

	~keeper_t()
	{
		stop = true;
		thread.join();
	}

	std::atomic<int> crashes{0};

      private:
	std::atomic<bool> stop{false};
	std::map<std::string, long> dead; /* since, by name */
	std::thread thread;

	void
	look(fleet_t &fleet)
	{
		for (standin_t &engine : fleet.engines) {
			if (engine.process->is_alive())
				continue;
			if (dead.emplace(engine.name, now_ms()).second)
				crashes++;
			if (now_ms() - dead[engine.name] < RESTART_MS)
				continue;
			dead.erase(engine.name);
			engine.start();
		}
		rest(5);
	}
};

struct samples_t {
	sample_t crashes;
	sample_t first_refusal; /* sends until one is refused as poison */
	long refused = 0;
	long healthy = 0;
	long asked = 0;
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
	keeper_t keeper(fleet);
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
	rest(RECOVER_MS);
	samples.crashes.add(keeper.crashes);
	samples.first_refusal.add(first_refusal);
	for (const std::unique_ptr<vm_t> &vm : fleet.vms) {
		for (int i = 0; i < HEALTHY; i++) {
			std::string prompt = "healthy " + std::to_string(i);
			reply_t reply = vm->complete(prompt, 2);
			samples.asked++;
			samples.healthy += is_answer_to(reply, prompt, 2);
		}
	}
}

/*
 * Story: one note crashes each engine that runs it. Its caller has a whole
 * fleet of VMs to send it to, and new keys for each try.
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
	    "poison_healthy_served_10s_later", samples.healthy, samples.asked);
}

} // namespace
