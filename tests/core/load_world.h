/**
 * @file load_world.h
 * @brief Simulates a fleet of gateways under load: engines and callers in
 * virtual time.
 *
 * Engines run a known number of requests at once and queue the others in order
 * of arrival. Callers whose requests are refused retry after the given time, a
 * limited number of times, and leave when their time budget is used up. Nothing
 * sleeps; a seed gives the same figures on each machine.
 */
#ifndef TESTS_CORE_LOAD_WORLD_H
#define TESTS_CORE_LOAD_WORLD_H

#include <algorithm>
#include <cmath>
#include <functional>
#include <list>
#include <random>
#include <vector>

#include "tests/core/gateway_fleet.h"

/** Parameters of a load; the figures are from the users' sheets. */
struct LoadShape {
	int vms = 6;
	int servers = 9;
	uint32_t slots = 8;
	uint32_t queue_most = 6; /**< default of the daemon */
	jj_ms_t prefill_ms = 18; /**< time to the first event at a free slot */
	jj_ms_t service_ms =
	    600; /**< service time of an online request, prefill included */
	jj_ms_t target_ms = 300;
	jj_ms_t budget_ms = 5000;
	int retries = 1; /**< retries per caller */
	bool has_target = true; /**< the configuration contains the target */
	uint32_t attempts = 2; /**< attempts that the route allows */
	/** changes the settings of each gateway */
	std::function<void(jj_gateway_settings_t *)> adjust;
	bool fair_shares = false;
	int teams = 0; /**< 0: callers have no team */
	double zipf = 1.2; /**< exponent of the teams' loads; 0: all equal */

	/** Requests per second that all slots can serve. */
	double
	limit() const
	{
		return servers * slots * 1000.0 / (double)service_ms;
	}
};

/** Results of the requests that were first sent in one second. */
struct LoadSecond {
	int asked = 0;
	int in_target = 0; /**< first event within the target */
	int first_try = 0; /**< first event without a refusal before */
	int again = 0; /**< refused, then within the target after the retry */
	int late = 0;
	int refused = 0; /**< refused without a further retry */
	int lost = 0; /**< no answer in time, a broken one or an error */
};

class LoadWorld : public GatewayFleet
{
      public:
	struct Caller {
		jj_ms_t begun = 0;
		jj_ms_t attempt = 0; /**< when the current attempt was sent */
		std::string vm;
		int retries = 0;
		int team = 0;
		bool refused = false;
		bool first = false;
	};
	struct Run {
		uint64_t request;
		uint32_t attempt;
		std::string vm;
		jj_ms_t began = 0; /**< when it got its slot; 0: it is queued */
		bool first = false;
	};
	struct Engine {
		bool up = true;
		std::list<Run> runs; /**< in order of arrival */
		double failing = 0; /**< share that is answered 500 at once */
		int arrivals = 0;
	};

	using GatewayFleet::create;
	using GatewayFleet::cut_off;
	using GatewayFleet::disorder;
	using GatewayFleet::fair_shares;
	using GatewayFleet::now;
	using GatewayFleet::vms;

	LoadShape shape;
	std::mt19937_64 random;
	std::map<std::string, Engine> engines;
	std::map<uint64_t, Caller> callers;
	std::multimap<jj_ms_t, Caller> retrying;
	/** by second and team */
	std::map<std::pair<int, int>, LoadSecond> seconds;
	jj_ms_t start_ms = 0; /**< start time of the load */
	double arrivals_due = 0; /**< number of arrivals that are due */
	/** VM that gets `crowd_share` of the first attempts, besides its own */
	std::string crowded_vm;
	double crowd_share = 0;
	/** share of the requests that each server answers with 500 */
	double bad_requests = 0;
	int hot_team = -1; /**< it sends hot_times its usual load */
	double hot_times = 1;
	double busy_ms = 0; /**< time that slots were taken, over all slots */

	explicit LoadWorld(const LoadShape &of, uint64_t seed = 1)
	    : GatewayFleet(of.vms, of.queue_most, read_routes, "7", of.adjust,
		  of.fair_shares),
	      shape(of), random(seed)
	{
		for (auto &route : routes) {
			route.target_ms =
			    shape.has_target ? shape.target_ms : 0;
			route.attempts = shape.attempts;
			route.resumable = true;
		}
		platform.put("config/main", "9");
		for (auto &vm : vms)
			see_config(vm.first, 9);
		for (int i = 1; i <= shape.servers; i++)
			add_server("s" + std::to_string(i));
		run(1000);
		start_ms = now;
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
	/**
	 * Crashes an engine with all that it runs; connections to it are
	 * refused.
	 */
	void
	crash(const std::string &id)
	{
		std::list<Run> runs;

		engines[id].up = false;
		runs.swap(engines[id].runs);
		for (const Run &run : runs)
			deliver(run, JJ_BACKEND_BROKEN);
	}
	/** Ends a VM with its requests; create() starts it again. */
	void
	kill(const std::string &name)
	{
		for (auto &engine : engines)
			engine.second.runs.remove_if(
			    [&](const Run &run) { return run.vm == name; });
		for (auto at = callers.begin(); at != callers.end();) {
			if (at->second.vm != name) {
				++at;
				continue;
			}
			second_of(at->second).lost += !at->second.first;
			at = callers.erase(at);
		}
		jj_gateway_destroy(vms[name].gateway);
		vms.erase(name);
	}
	/** Number of log lines of that name at all VMs. */
	int
	count_events(const char *name)
	{
		int count = 0;

		for (auto &vm : vms)
			count += vm.second.events[name];
		return count;
	}
	/** Number of messages of a kind that all VMs have sent. */
	size_t
	count_sent(int kind)
	{
		size_t count = 0;

		for (auto &vm : vms)
			count += vm.second.sent[kind];
		return count;
	}
	/**
	 * Runs a load of @p rate requests per second for @p ms milliseconds.
	 */
	void
	load(jj_ms_t ms, double rate)
	{
		for (jj_ms_t until = now + ms; now < until;) {
			arrive(rate);
			send_retries();
			serve();
			expire_callers();
			run(FLEET_STEP_MS);
		}
	}
	/** Part of the load that a team usually sends. */
	double
	usual_share(int team) const
	{
		double sum = 0;

		for (int i = 0; i < shape.teams; i++)
			sum += std::pow(i + 1, -shape.zipf);
		return std::pow(team + 1, -shape.zipf) / sum;
	}
	/**
	 * Sums the results of the seconds from..to of the load, of one team, or
	 * of all but one.
	 */
	LoadSecond
	sum(int from, int to, int team = -1, int but = -1) const
	{
		LoadSecond all;

		for (auto &second : seconds) {
			if (second.first.first < from ||
			    second.first.first >= to ||
			    (team >= 0 && second.first.second != team) ||
			    (but >= 0 && second.first.second == but))
				continue;
			all.asked += second.second.asked;
			all.in_target += second.second.in_target;
			all.first_try += second.second.first_try;
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
		int end = seconds.empty() ? 0 : seconds.rbegin()->first.first;

		for (int second = 0; second <= end; second++) {
			LoadSecond of = sum(second, second + 1);
			char line[100];

			snprintf(line, sizeof(line), "%d %d %d %d %d %d %d\n",
			    second, of.asked, of.in_target, of.again, of.late,
			    of.refused, of.lost);
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
	std::vector<std::pair<Run, jj_backend_kind_t>> pending_events;

	void
	arrive(double rate)
	{
		std::exponential_distribution<double> gap(1.0);

		if (hot_team >= 0)
			rate *= 1 + (hot_times - 1) * usual_share(hot_team);
		for (arrivals_due += rate * FLEET_STEP_MS / 1000.0;
		     arrivals_due > 0; arrivals_due -= gap(random)) {
			Caller caller;

			caller.begun = now;
			if (shape.teams > 0)
				caller.team = pick_team();
			second_of(caller).asked++;
			send(caller);
		}
	}
	int
	pick_team()
	{
		std::vector<double> loads;

		for (int i = 0; i < shape.teams; i++)
			loads.push_back(std::pow(i + 1, -shape.zipf) *
			    (i == hot_team ? hot_times : 1));
		return std::discrete_distribution<int>(
		    loads.begin(), loads.end())(random);
	}
	void
	send_retries()
	{
		while (!retrying.empty() && retrying.begin()->first <= now) {
			Caller caller = retrying.begin()->second;

			retrying.erase(retrying.begin());
			send(caller);
		}
	}
	void
	send(Caller caller)
	{
		jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);
		jj_gateway_request_t request = {};

		do
			caller.vm = "verona-" +
			    std::to_string(1 + random() % (uint64_t)shape.vms);
		while (vms.count(caller.vm) == 0);
		if (crowd_share > 0 && caller.retries == 0 &&
		    std::uniform_real_distribution<>(0, 1)(random) <
			crowd_share)
			caller.vm = crowded_vm;
		caller.attempt = now;
		request.request = ++last;
		request.host = "h";
		request.path = "/online/1";
		request.budget_ms = caller.begun + shape.budget_ms - now;
		request.fingerprint = last;
		if (shape.teams > 0)
			jj_name_set(&request.team,
			    ("team-" + std::to_string(caller.team)).c_str());
		callers[last] = caller;
		request.routes = jj_gateway_routes(vms[caller.vm].gateway);
		jj_gateway_begin(vms[caller.vm].gateway, &request, now, &out);
		carry_out(caller.vm, &out);
	}
	LoadSecond &
	second_of(const Caller &caller)
	{
		return seconds[{
		    (int)((caller.begun - start_ms) / 1000), caller.team}];
	}
	void
	start(const std::string &vm, const jj_backend_start_t &action)
	{
		Engine &engine = engines[action.server.text];
		Run run = {action.request, action.attempt, vm};

		if (!engine.up) {
			pending_events.push_back({run, JJ_BACKEND_NOT_SENT});
			return;
		}
		engine.arrivals++;
		if (request_fails(action.request) ||
		    (engine.failing > 0 &&
			std::uniform_real_distribution<>(0, 1)(random) <
			    engine.failing)) {
			pending_events.push_back({run,
			    retries_errors(vm, action.request)
				? JJ_BACKEND_FAILED
				: JJ_BACKEND_REJECTED});
			return;
		}
		engine.runs.push_back(run);
	}
	bool
	retries_errors(const std::string &vm, uint64_t request)
	{
		jj_gateway_attempt_t attempt;

		return jj_gateway_find_attempt(
			   vms[vm].gateway, request, now, &attempt) &&
		    attempt.retries_errors;
	}
	static int
	status_of(jj_backend_kind_t kind)
	{
		if (kind == JJ_BACKEND_DONE)
			return 200;
		return kind == JJ_BACKEND_REJECTED || kind == JJ_BACKEND_FAILED
		    ? 500
		    : 0;
	}
	bool
	request_fails(uint64_t request) const
	{
		return (double)(jj_hash_bytes(&request, sizeof(request), 0) %
			   10000) < bad_requests * 10000;
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
		    caller.retries == shape.retries) {
			(answer.run == JJ_RUN_NOT_RUN
				? second_of(caller).refused
				: second_of(caller).lost)++;
			return;
		}
		caller.retries++;
		caller.refused = true;
		retrying.insert({now +
			std::min(answer.retry_after_ms,
			    (caller.begun + shape.budget_ms - now) / 3),
		    caller});
	}
	/**
	 * Slots go to requests in order of arrival; events are delivered a step
	 * later.
	 */
	void
	serve()
	{
		std::vector<std::pair<Run, jj_backend_kind_t>> events;

		events.swap(pending_events);
		for (auto &engine : engines)
			serve_at(engine.second, events);
		for (auto &event : events)
			if (vms.count(event.first.vm) > 0)
				deliver(event.first, event.second);
	}
	void
	serve_at(Engine &engine,
	    std::vector<std::pair<Run, jj_backend_kind_t>> &events)
	{
		uint32_t running = 0;

		for (auto run = engine.runs.begin();
		     run != engine.runs.end() && running < shape.slots;) {
			running++;
			busy_ms += FLEET_STEP_MS;
			if (run->began == 0)
				run->began = now;
			if (!run->first &&
			    now - run->began >= shape.prefill_ms) {
				run->first = true;
				events.push_back({*run, JJ_BACKEND_FIRST});
			}
			if (now - run->began < shape.service_ms) {
				++run;
				continue;
			}
			events.push_back({*run, JJ_BACKEND_DONE});
			run = engine.runs.erase(run);
		}
	}
	void
	deliver(const Run &run, jj_backend_kind_t kind)
	{
		jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);
		jj_backend_event_t event = {};
		jj_bytes_t text = {};

		if (kind == JJ_BACKEND_FIRST)
			note_first(run.request);
		if (kind == JJ_BACKEND_DONE)
			callers.erase(run.request);
		if (kind == JJ_BACKEND_REJECTED &&
		    callers.count(run.request) > 0) {
			second_of(callers[run.request]).lost++;
			callers.erase(run.request);
		}
		event.request = run.request;
		event.attempt = run.attempt;
		event.kind = kind;
		jj_gateway_take_backend_event(vms[run.vm].gateway, &event,
		    status_of(kind), &text, now, &out);
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
		second_of(caller).first_try += !caller.refused;
		if (now - caller.begun <= shape.target_ms)
			second_of(caller).in_target++;
		else if (caller.refused &&
		    now - caller.attempt <= shape.target_ms)
			second_of(caller).again++;
		else
			second_of(caller).late++;
	}
	/** Removes callers whose time budget is used up. */
	void
	expire_callers()
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
			jj_gateway_take_disconnect(
			    vms[caller.vm].gateway, request, now, &out);
			carry_out(caller.vm, &out);
		}
	}
};

#endif
