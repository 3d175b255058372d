/**
 * @file allowance_fleet.h
 * @brief VMs that keep the limit of one team, in virtual time.
 *
 * A report or a grant arrives DELAY_MS after it was sent, at the next step of
 * its receiver. VMs on different sides of a cut exchange nothing and notice
 * each other's silence after SILENCE_MS.
 */
#ifndef TESTS_CORE_TEAM_ALLOWANCE_FLEET_H
#define TESTS_CORE_TEAM_ALLOWANCE_FLEET_H

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "core/team/allowance_home.h"
}

constexpr jj_ms_t STEP_MS = 25;
constexpr jj_ms_t DELAY_MS = 25;
constexpr jj_ms_t SILENCE_MS = 1600;
constexpr jj_ms_t HEARTBEAT_MS = 400;
constexpr uint64_t TEAM = 77;

struct AllowanceFleet {
	struct Vm {
		jj_allowance_t *allowance;
		jj_allowance_home_t *home;
		AllowanceFleet *fleet;
		jj_name_t name;
		size_t number;
		int side = 0;
		bool up = true;
	};
	struct Message {
		size_t from;
		size_t to;
		jj_ms_t at;
		bool is_grant;
		jj_team_use_t use;
		jj_team_grant_t grant;
	};

	std::vector<Vm> vms;
	std::deque<Message> messages;
	jj_allowance_limit_t limit;
	bool limited = true;
	jj_ms_t now;
	jj_ms_t changed_ms = -SILENCE_MS; /**< last cut, heal or death */
	std::mt19937 random;
	std::vector<jj_ms_t> admitted; /**< times, ascending */
	std::vector<jj_ms_t> refused;
	uint64_t sent = 0; /**< messages */

	AllowanceFleet(size_t count, const jj_allowance_limit_t &limit,
	    uint32_t seed, jj_ms_t start_ms = 100000)
	    : vms(count), limit(limit), now(start_ms), random(seed)
	{
		for (size_t i = 0; i < count; i++) {
			vms[i].fleet = this;
			vms[i].number = i;
			snprintf(vms[i].name.text, sizeof(vms[i].name.text),
			    "vm-%zu", i);
			start(i, now - 60000);
		}
	}
	~AllowanceFleet()
	{
		for (Vm &vm : vms)
			stop(vm);
	}
	AllowanceFleet(const AllowanceFleet &) = delete;
	AllowanceFleet &operator=(const AllowanceFleet &) = delete;

	void
	start(size_t i, jj_ms_t started_ms)
	{
		jj_allowance_home_port_t port = {
		    &vms[i], limit_of, is_reachable, misses_vms, announce};

		vms[i].allowance = jj_allowance_create(random() | 1);
		vms[i].home = jj_allowance_home_create(&port, started_ms);
	}
	void
	stop(Vm &vm)
	{
		jj_allowance_destroy(vm.allowance);
		jj_allowance_home_destroy(vm.home);
	}
	/** All processes end and start again at once. */
	void
	restart_all()
	{
		messages.clear();
		for (Vm &vm : vms) {
			stop(vm);
			start(vm.number, now);
		}
	}
	void
	kill(size_t i)
	{
		vms[i].up = false;
		changed_ms = now;
	}
	/** Divides the VMs into sides of about the same size; 1: heals. */
	void
	cut(int sides)
	{
		for (Vm &vm : vms)
			vm.side = (int)(vm.number % (size_t)sides);
		changed_ms = now;
	}
	/** What heartbeats show: silence counts only after SILENCE_MS. */
	static bool
	sees(const Vm &a, const Vm &b)
	{
		return (b.up && a.side == b.side) ||
		    a.fleet->now - a.fleet->changed_ms < SILENCE_MS;
	}
	/** The other VM's heartbeats still come. */
	static bool
	hears(const Vm &a, const Vm &b)
	{
		return (b.up && a.side == b.side) ||
		    a.fleet->now - a.fleet->changed_ms < 2 * HEARTBEAT_MS;
	}
	size_t
	home_for(const Vm &vm) const
	{
		size_t best = vm.number;
		uint64_t weight = 0;

		for (const Vm &other : vms) {
			uint64_t its =
			    jj_rendezvous_weight(other.name.text, TEAM);

			if (sees(vm, other) && its > weight) {
				weight = its;
				best = other.number;
			}
		}
		return best;
	}
	uint32_t
	count_live(const Vm &vm) const
	{
		uint32_t count = 0;

		for (const Vm &other : vms)
			count += sees(vm, other);
		return count;
	}
	static bool
	limit_of(void *ctx, uint64_t, jj_allowance_limit_t *limit)
	{
		AllowanceFleet *fleet = static_cast<Vm *>(ctx)->fleet;

		*limit = fleet->limit;
		return fleet->limited;
	}
	static bool
	is_reachable(void *ctx, const jj_name_t *name)
	{
		Vm *vm = static_cast<Vm *>(ctx);

		for (const Vm &other : vm->fleet->vms)
			if (jj_name_equal(&other.name, name))
				return hears(*vm, other);
		return false;
	}
	static bool
	misses_vms(void *ctx)
	{
		Vm *vm = static_cast<Vm *>(ctx);

		for (const Vm &other : vm->fleet->vms)
			if (!hears(*vm, other))
				return true;
		return false;
	}
	static void
	announce(void *ctx, const jj_team_grant_t *notice)
	{
		Vm *vm = static_cast<Vm *>(ctx);

		for (const Vm &other : vm->fleet->vms)
			if (sees(*vm, other))
				vm->fleet->send({vm->number, other.number,
				    vm->fleet->now + DELAY_MS, true, {},
				    *notice});
	}
	void
	send(const Message &message)
	{
		if (message.from != message.to)
			sent++;
		messages.push_back(message);
	}
	/** A request of the team arrives at a VM. */
	bool
	ask(size_t i)
	{
		Vm &vm = vms[i];
		jj_allowance_decision_t decision =
		    jj_allowance_admit(vm.allowance, TEAM, &limit,
			count_live(vm), hears(vm, vms[home_for(vm)]), now);

		(decision.admitted ? admitted : refused).push_back(now);
		return decision.admitted;
	}
	void
	step()
	{
		deliver();
		for (Vm &vm : vms)
			report(vm);
		now += STEP_MS;
	}
	void
	deliver()
	{
		std::deque<Message> due;

		while (!messages.empty() && messages.front().at <= now) {
			due.push_back(messages.front());
			messages.pop_front();
		}
		for (const Message &message : due) {
			Vm &from = vms[message.from];
			Vm &to = vms[message.to];

			if (!from.up || !to.up || from.side != to.side)
				continue;
			if (message.is_grant)
				jj_allowance_take_grant(to.allowance,
				    &from.name, &message.grant, now);
			else
				take_use(to, from.number, message.use);
		}
	}
	void
	take_use(Vm &home, size_t from, const jj_team_use_t &use)
	{
		jj_team_grant_t grant;

		if (jj_allowance_home_take(
			home.home, &vms[from].name, &use, now, &grant))
			send({home.number, from, now + DELAY_MS, true, {},
			    grant});
	}
	void
	report(Vm &vm)
	{
		jj_allowance_port_t port = {&vm, choose_home, send_report};

		if (vm.up)
			jj_allowance_report(vm.allowance, &port, now);
	}
	static void
	send_report(void *ctx, const jj_name_t *, const jj_team_use_t *use)
	{
		Vm *vm = static_cast<Vm *>(ctx);
		AllowanceFleet *fleet = vm->fleet;

		fleet->send({vm->number, fleet->home_for(*vm),
		    fleet->now + DELAY_MS, false, *use, {}});
	}
	static void
	choose_home(void *ctx, uint64_t, jj_name_t *home)
	{
		Vm *vm = static_cast<Vm *>(ctx);

		*home = vm->fleet->vms[vm->fleet->home_for(*vm)].name;
	}
	/** Poisson arrivals, @p per_s in all, spread evenly over live VMs. */
	void
	play(jj_ms_t ms, double per_s)
	{
		std::poisson_distribution<int> arrivals(per_s * STEP_MS / 1000);

		for (jj_ms_t end = now + ms; now < end; step()) {
			for (int n = arrivals(random); n > 0; n--) {
				size_t i = random() % vms.size();

				while (!vms[i].up)
					i = random() % vms.size();
				(void)ask(i);
			}
		}
	}
	/** Most requests admitted in any window. */
	size_t
	worst_window() const
	{
		size_t worst = 0;
		size_t first = 0;

		for (size_t i = 0; i < admitted.size(); i++) {
			while (
			    admitted[i] - admitted[first] >= JJ_USAGE_WINDOW_MS)
				first++;
			worst = std::max(worst, i - first + 1);
		}
		return worst;
	}
	/** What the users' rule allows in a window. */
	double
	most_allowed() const
	{
		return jj_allowance_window_limit(&limit) * 1.1 + 20;
	}
};

#endif
