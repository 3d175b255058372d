/**
 * @file load_world.h
 * @brief A fleet of gateways under load: engines and callers in virtual time.
 *
 * Engines run a known number of requests at once and let the others wait in
 * the order of arrival. Callers are refused now and then, come back when they
 * are told to, as often as they may, and go away when their time is over.
 * Nothing sleeps; a seed gives the same figures on each machine.
 */
#ifndef TESTS_CORE_LOAD_WORLD_H
#define TESTS_CORE_LOAD_WORLD_H

#include <algorithm>
#include <functional>
#include <list>
#include <random>
#include <vector>

#include "tests/core/gateway_fleet.h"

/** Shape of a load; the figures are of the users' sheets. */
struct LoadShape {
	int vms = 6;
	int servers = 9;
	uint32_t slots = 8;
	uint32_t queue_most = 6; /**< the daemon's own default */
	jj_ms_t prefill_ms = 18; /**< first event at a free place */
	jj_ms_t hold_ms = 600; /**< of an online request, prefill included */
	jj_ms_t target_ms = 300;
	jj_ms_t budget_ms = 5000;
	int returns = 1; /**< a caller comes back so often */
	bool says_target = true; /**< the configuration tells the target */

	/** Requests a second that all places serve. */
	double
	limit() const
	{
		return servers * slots * 1000.0 / (double)hold_ms;
	}
};

/** What became of the requests that were first sent in one second. */
struct LoadSecond {
	int asked = 0;
	int in_aim = 0; /**< first event within the target */
	int again = 0; /**< refused, then within the target of the return */
	int late = 0;
	int refused = 0; /**< in the end */
	int lost = 0; /**< no answer in time, or broken off */
};

class LoadWorld : public GatewayFleet
{
      public:
	struct Caller {
		jj_ms_t begun = 0;
		jj_ms_t attempt = 0; /**< when the one under way was sent */
		std::string vm;
		int returns = 0;
		bool refused = false;
		bool first = false;
	};
	struct Run {
		uint64_t request;
		uint32_t attempt;
		std::string vm;
		jj_ms_t began = 0; /**< its place; 0: it waits */
		bool first = false;
	};
	struct Engine {
		bool up = true;
		std::list<Run> runs; /**< in the order of arrival */
	};

	LoadShape shape;
	std::mt19937_64 random;
	std::map<std::string, Engine> engines;
	std::map<uint64_t, Caller> callers;
	std::multimap<jj_ms_t, Caller> returning;
	std::map<jj_ms_t, LoadSecond> seconds;
	jj_ms_t zero = 0; /**< when the load began */
	double owed = 0; /**< arrivals that are due */

	explicit LoadWorld(const LoadShape &of, uint64_t seed = 1)
	    : GatewayFleet(of.vms, of.queue_most), shape(of), random(seed)
	{
		for (auto &route : routes) {
			route.target_ms =
			    shape.says_target ? shape.target_ms : 0;
			route.attempts = 2;
			route.resumable = true;
		}
		platform.put("config/main", "9");
		for (auto &vm : vms)
			see_config(vm.first, 9);
		for (int i = 1; i <= shape.servers; i++)
			add_server("s" + std::to_string(i));
		run(1000);
		zero = now;
	}
	void
	TestBody() override
	{
	}
	void
	add_server(const std::string &id)
	{
		std::string entry =
		    "verona ready places=" + std::to_string(shape.slots);

		engines[id];
		platform.put("servers/" + id, entry.c_str());
		for (auto &vm : vms)
			see(vm.first, 2, ("servers/" + id).c_str(),
			    entry.c_str());
	}
	/** It dies with all that it runs; connections to it are refused. */
	void
	crash(const std::string &id)
	{
		std::list<Run> runs;

		engines[id].up = false;
		runs.swap(engines[id].runs);
		for (const Run &run : runs)
			tell(run, JJ_BACKEND_BROKEN);
	}
	/** Load of @p rate requests a second for so long. */
	void
	load(jj_ms_t ms, double rate)
	{
		for (jj_ms_t until = now + ms; now < until;) {
			arrive(rate);
			come_back();
			serve();
			leave();
			run(FLEET_STEP_MS);
		}
	}
	/** Sums over the seconds from..to of the load. */
	LoadSecond
	sum(int from, int to) const
	{
		LoadSecond all;

		for (auto &second : seconds) {
			if (second.first < from || second.first >= to)
				continue;
			all.asked += second.second.asked;
			all.in_aim += second.second.in_aim;
			all.again += second.second.again;
			all.late += second.second.late;
			all.refused += second.second.refused;
			all.lost += second.second.lost;
		}
		return all;
	}
	std::string
	table() const
	{
		std::string text =
		    "second asked in_aim again late refused lost\n";

		for (auto &second : seconds) {
			const LoadSecond &of = second.second;
			char line[100];

			snprintf(line, sizeof(line), "%d %d %d %d %d %d %d\n",
			    (int)second.first, of.asked, of.in_aim, of.again,
			    of.late, of.refused, of.lost);
			text += line;
		}
		return text;
	}

      protected:
	void
	take(const std::string &vm, const jj_action_t &action) override
	{
		if (action.kind == JJ_ACTION_BACKEND_START)
			start(vm, action.body.start);
		else if (action.kind == JJ_ACTION_BACKEND_CANCEL)
			cancel(vm, action.body.cancel.request,
			    action.body.cancel.attempt);
		else if (action.kind == JJ_ACTION_ANSWER)
			answer(action.body.answer);
	}

      private:
	std::vector<std::pair<Run, jj_backend_kind_t>> told;

	void
	arrive(double rate)
	{
		std::exponential_distribution<double> gap(1.0);

		for (owed += rate * FLEET_STEP_MS / 1000.0; owed > 0;
		     owed -= gap(random)) {
			Caller caller;

			caller.begun = now;
			second_of(caller).asked++;
			send(caller);
		}
	}
	void
	come_back()
	{
		while (!returning.empty() && returning.begin()->first <= now) {
			Caller caller = returning.begin()->second;

			returning.erase(returning.begin());
			send(caller);
		}
	}
	void
	send(Caller caller)
	{
		jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);
		jj_gateway_request_t request = {};

		caller.vm = "verona-" +
		    std::to_string(1 + random() % (uint64_t)shape.vms);
		caller.attempt = now;
		request.request = ++last;
		request.host = "h";
		request.path = "/online/1";
		request.budget_ms = caller.begun + shape.budget_ms - now;
		request.fingerprint = last;
		callers[last] = caller;
		jj_gateway_begin(vms[caller.vm].gateway, &request, now, &out);
		carry_out(caller.vm, &out);
	}
	LoadSecond &
	second_of(const Caller &caller)
	{
		return seconds[(caller.begun - zero) / 1000];
	}
	void
	start(const std::string &vm, const jj_backend_start_t &action)
	{
		Engine &engine = engines[action.server.text];
		Run run = {action.request, action.attempt, vm};

		if (!engine.up) {
			told.push_back({run, JJ_BACKEND_NOT_SENT});
			return;
		}
		engine.runs.push_back(run);
	}
	void
	cancel(const std::string &vm, uint64_t request, uint32_t attempt)
	{
		for (auto &engine : engines)
			engine.second.runs.remove_if([&](const Run &run) {
				return run.vm == vm && run.request == request &&
				    run.attempt == attempt;
			});
	}
	void
	answer(const jj_answer_t &answer)
	{
		auto found = callers.find(answer.request);
		Caller caller;

		if (found == callers.end())
			return;
		caller = found->second;
		callers.erase(found);
		if (answer.run != JJ_RUN_NOT_RUN ||
		    caller.returns == shape.returns) {
			(answer.run == JJ_RUN_NOT_RUN
				? second_of(caller).refused
				: second_of(caller).lost)++;
			return;
		}
		caller.returns++;
		caller.refused = true;
		returning.insert({now +
			std::min(answer.retry_after_ms,
			    (caller.begun + shape.budget_ms - now) / 3),
		    caller});
	}
	/** Places go to who came first; what is told comes a step later. */
	void
	serve()
	{
		std::vector<std::pair<Run, jj_backend_kind_t>> events;

		events.swap(told);
		for (auto &engine : engines)
			serve_at(engine.second, events);
		for (auto &event : events)
			tell(event.first, event.second);
	}
	void
	serve_at(Engine &engine,
	    std::vector<std::pair<Run, jj_backend_kind_t>> &events)
	{
		uint32_t running = 0;

		for (auto run = engine.runs.begin();
		     run != engine.runs.end() && running < shape.slots;) {
			running++;
			if (run->began == 0)
				run->began = now;
			if (!run->first &&
			    now - run->began >= shape.prefill_ms) {
				run->first = true;
				events.push_back({*run, JJ_BACKEND_FIRST});
			}
			if (now - run->began < shape.hold_ms) {
				++run;
				continue;
			}
			events.push_back({*run, JJ_BACKEND_DONE});
			run = engine.runs.erase(run);
		}
	}
	void
	tell(const Run &run, jj_backend_kind_t kind)
	{
		jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);
		jj_backend_event_t event = {};
		jj_bytes_t text = {};

		if (kind == JJ_BACKEND_FIRST)
			note_first(run.request);
		if (kind == JJ_BACKEND_DONE)
			callers.erase(run.request);
		event.request = run.request;
		event.attempt = run.attempt;
		event.kind = kind;
		jj_gateway_take_backend(vms[run.vm].gateway, &event,
		    kind == JJ_BACKEND_DONE ? 200 : 0, &text, now, &out);
		carry_out(run.vm, &out);
	}
	void
	note_first(uint64_t request)
	{
		auto found = callers.find(request);

		if (found == callers.end() || found->second.first)
			return;
		Caller &caller = found->second;
		caller.first = true;
		if (now - caller.begun <= shape.target_ms)
			second_of(caller).in_aim++;
		else if (caller.refused &&
		    now - caller.attempt <= shape.target_ms)
			second_of(caller).again++;
		else
			second_of(caller).late++;
	}
	/** Callers whose time is over. */
	void
	leave()
	{
		std::vector<uint64_t> gone;

		for (auto &caller : callers)
			if (now >= caller.second.begun + shape.budget_ms)
				gone.push_back(caller.first);
		for (uint64_t request : gone) {
			jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);
			Caller caller = callers[request];

			callers.erase(request);
			second_of(caller).lost += !caller.first;
			jj_gateway_take_gone(
			    vms[caller.vm].gateway, request, now, &out);
			carry_out(caller.vm, &out);
		}
	}
};

#endif
