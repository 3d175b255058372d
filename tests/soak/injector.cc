/*
 * Injects faults. One thread does all of it, so that each process has a single
 * owner.
 */
#include <algorithm>
#include <thread>

#include "tests/soak/injector.h"
#include "tests/soak/traffic.h"

namespace soak
{

namespace
{

constexpr long STEP_MS = 20;
constexpr long STOP_LIMIT_MS = 45000;
constexpr long ENGINE_RESTART_MS = 500;
constexpr long CUTS_TIMEOUT_MS = 300;
constexpr long CUTS_LIMIT_MS = 30000;
/* Less than the line that a start logs. */
constexpr size_t LOG_TAIL_BYTES = 50;

bool
is_vm_fault(fault_kind_t kind)
{
	return kind == fault_kind_t::KILL || kind == fault_kind_t::STOP ||
	    kind == fault_kind_t::FREEZE;
}

/* The engine is terminated; a new one starts at its address later. */
bool
is_replacement(const fault_t &fault)
{
	return fault.kind == fault_kind_t::LEAVING && fault.variant % 4 == 1;
}

} // namespace

injector_t::injector_t(run_context_t &run_context)
    : context(run_context), fleet(run_context.fleet),
      plan(plan_faults(run_context.options))
{
}

void
injector_t::run()
{
	began_ms = harness::now_ms();
	while (harness::now_ms() < began_ms + context.options.seconds * 1000) {
		step();
		std::this_thread::sleep_for(std::chrono::milliseconds(STEP_MS));
	}
	end_all();
}

void
injector_t::restart_crashed(const std::atomic<bool> &checks_done)
{
	while (!checks_done || !restarts.empty()) {
		watch_engines(harness::now_ms());
		std::this_thread::sleep_for(std::chrono::milliseconds(STEP_MS));
	}
}

void
injector_t::step()
{
	long now_ms = harness::now_ms();

	begin_due(now_ms);
	end_due(now_ms);
	watch_stops(now_ms);
	watch_engines(now_ms);
	send_cuts();
}

void
injector_t::begin_due(long now_ms)
{
	while (next < plan.size() && plan[next].at_ms <= now_ms - began_ms) {
		const fault_t &fault = plan[next++];
		std::string target = target_of(fault);
		if (!faulty_targets.insert(target).second) {
			context.history.add_fault(
			    fault_name(fault.kind), target, "skipped");
			continue;
		}
		context.history.add_fault(
		    fault_name(fault.kind), target, "begin");
		begin(fault);
		open.push_back({now_ms + fault.lasts_ms, fault, target});
	}
}

void
injector_t::end_due(long now_ms)
{
	for (size_t i = 0; i < open.size();) {
		open_fault_t fault = open[i];
		if (fault.end_ms > now_ms) {
			i++;
			continue;
		}
		open.erase(open.begin() + static_cast<long>(i));
		end(fault);
	}
}

void
injector_t::end_all()
{
	long limit_ms = harness::now_ms() + STOP_LIMIT_MS + CUTS_LIMIT_MS;

	end_due(harness::now_ms() + STOP_LIMIT_MS);
	do {
		watch_stops(harness::now_ms());
		watch_engines(harness::now_ms());
		send_cuts();
		std::this_thread::sleep_for(std::chrono::milliseconds(STEP_MS));
	} while (harness::now_ms() < limit_ms &&
	    (!stopping.empty() || !restarts.empty() || !stale_cuts.empty()));
	context.verdicts.expect("run: all faults were ended",
	    stopping.empty() && restarts.empty() && stale_cuts.empty(),
	    "see the history file (--history)");
}

/* The name of a fault's target; a target has one fault at a time. */
std::string
injector_t::target_of(const fault_t &fault) const
{
	size_t engines = fleet.engines.size();

	if (is_vm_fault(fault.kind))
		return fleet.vms[fault.target % fleet.vms.size()]->name;
	switch (fault.kind) {
	case fault_kind_t::CUT:
		return "domain " +
		    fleet.vms[fault.target % fleet.vms.size()]->domain;
	case fault_kind_t::PLATFORM_CUT:
		return "client " +
		    fleet.vms[fault.target % fleet.vms.size()]->name;
	case fault_kind_t::LEAVING:
		if (fault.variant % 2 == 0)
			return fleet
			    .services[fault.target % fleet.services.size()]
			    .name;
		return fleet.engines[fault.target % engines].name;
	case fault_kind_t::ENGINE_KILL:
		return fleet.engines[fault.target % engines].name;
	case fault_kind_t::SERVICE:
		return fleet.services[fault.target % fleet.services.size()]
		    .name;
	case fault_kind_t::FAILING:
	case fault_kind_t::SLOW:
		return server_of(fault).name;
	case fault_kind_t::HOT_TEAM:
		return "teams";
	default:
		return std::string("platform ") + fault_name(fault.kind);
	}
}

void
injector_t::begin(const fault_t &fault)
{
	size_t vm = fault.target % fleet.vms.size();

	switch (fault.kind) {
	case fault_kind_t::KILL:
		kill_vm(vm);
		break;
	case fault_kind_t::STOP:
		context.transitions[vm]++;
		fleet.vms[vm]->process->terminate();
		break;
	case fault_kind_t::FREEZE:
		fleet.vms[vm]->process->freeze();
		break;
	case fault_kind_t::CUT:
		cut_domain(fault, true);
		break;
	case fault_kind_t::PLATFORM_CUT:
		cut_platform(fault, true);
		break;
	case fault_kind_t::OUTAGE:
		begin_outage(fault);
		break;
	case fault_kind_t::LOSE_ANSWERS:
		fleet.platform.fault("{\"lose_answers\":" +
		    std::to_string(1 + fault.variant % 6) + "}");
		break;
	case fault_kind_t::SLOW_PLATFORM:
		fleet.platform.fault("{\"delay_ms\":" +
		    std::to_string(50 + fault.variant % 700) + "}");
		break;
	case fault_kind_t::WATCH:
		begin_watch_loss(fault);
		break;
	case fault_kind_t::LIST:
		fleet.platform.fault(fault.variant % 2 == 0
			? "{\"vms_outage\":\"refuse\"}"
			: "{\"vms_outage\":\"empty\"}");
		break;
	case fault_kind_t::LEAVING:
		if (is_replacement(fault))
			begin_replacement(fault);
		else
			begin_leaving(fault, true);
		break;
	case fault_kind_t::ENGINE_KILL:
		killed_engines.insert(fault.target % fleet.engines.size());
		fleet.engines[fault.target % fleet.engines.size()]
		    .process->kill();
		break;
	case fault_kind_t::SERVICE:
		begin_service_fault(fault);
		break;
	case fault_kind_t::HOT_TEAM:
		context.hot_team =
		    static_cast<int>(fault.target % ONLINE_TEAMS);
		break;
	case fault_kind_t::FAILING:
		set_server_fault(fault,
		    fault.variant % 2 == 0 ? "{\"fail_share\":1}"
					   : "{\"fail_share\":0.45}");
		break;
	case fault_kind_t::SLOW:
		set_server_fault(fault,
		    is_engine(fault) ? "{\"slow\":5}" : "{\"delay_ms\":700}");
		break;
	case fault_kind_t::NONE:
	case fault_kind_t::POISON:
		break;
	}
}

void
injector_t::end(const open_fault_t &ended)
{
	const fault_t &fault = ended.fault;
	size_t engine = fault.target % fleet.engines.size();

	context.history.add_fault(fault_name(fault.kind), ended.target, "end");
	/* A planned stop stays in effect until the process has exited. */
	if (fault.kind != fault_kind_t::STOP)
		faulty_targets.erase(ended.target);
	if (is_vm_fault(fault.kind))
		end_vm(fault);
	else if (fault.kind == fault_kind_t::CUT)
		cut_domain(fault, false);
	else if (fault.kind == fault_kind_t::PLATFORM_CUT)
		cut_platform(fault, false);
	else if (fault.kind == fault_kind_t::OUTAGE)
		fleet.platform.fault("{\"outage\":\"none\"}");
	else if (fault.kind == fault_kind_t::SLOW_PLATFORM)
		fleet.platform.fault("{\"delay_ms\":0}");
	else if (fault.kind == fault_kind_t::LIST)
		fleet.platform.fault("{\"vms_outage\":\"none\"}");
	else if (fault.kind == fault_kind_t::LEAVING && !is_replacement(fault))
		begin_leaving(fault, false);
	else if (fault.kind == fault_kind_t::SERVICE)
		fleet.services[fault.target % fleet.services.size()].fault(
		    "{\"refuse\":false,\"delay_ms\":0,\"run_then_503\":0,"
		    "\"run_then_break\":0,\"run_then_hang\":0}");
	else if (fault.kind == fault_kind_t::HOT_TEAM)
		context.hot_team = -1;
	else if (fault.kind == fault_kind_t::FAILING ||
	    fault.kind == fault_kind_t::SLOW)
		set_server_fault(fault,
		    is_engine(fault) ? "{\"fail_share\":0,\"slow\":1}"
				     : "{\"fail_share\":0,\"delay_ms\":0}");
	if (fault.kind == fault_kind_t::ENGINE_KILL || is_replacement(fault)) {
		fleet.engines[engine].process->kill();
		fleet.engines[engine].process->start();
		killed_engines.erase(engine);
	}
}

void
injector_t::end_vm(const fault_t &fault)
{
	size_t vm = fault.target % fleet.vms.size();

	if (fault.kind == fault_kind_t::KILL)
		start_vm(vm);
	else if (fault.kind == fault_kind_t::FREEZE)
		fleet.vms[vm]->process->thaw();
	else
		stopping[vm] = harness::now_ms() + STOP_LIMIT_MS;
}

void
injector_t::begin_outage(const fault_t &fault)
{
	fleet.platform.fault(fault.variant % 2 == 0 ? "{\"outage\":\"refuse\"}"
						    : "{\"outage\":\"hang\"}");
}

void
injector_t::begin_watch_loss(const fault_t &fault)
{
	fleet.platform.fault(fault.variant % 2 == 0 ? "{\"watch_gap\":true}"
						    : "{\"watch_drop\":" +
		    std::to_string(1 + fault.target % 20) + "}");
}

void
injector_t::begin_leaving(const fault_t &fault, bool leaving)
{
	const harness::standin_t &server = fault.variant % 2 == 0
	    ? fleet.services[fault.target % fleet.services.size()]
	    : fleet.engines[fault.target % fleet.engines.size()];

	/* Not checked: a server that crashed meanwhile does not answer, or has
	 * restarted without the fault. */
	harness::call("POST", server.control + "/fault",
	    leaving ? "{\"leaving\":true}" : "{\"leaving\":false}");
}

void
injector_t::begin_replacement(const fault_t &fault)
{
	size_t engine = fault.target % fleet.engines.size();

	killed_engines.insert(engine);
	fleet.engines[engine].process->terminate();
}

void
injector_t::begin_service_fault(const fault_t &fault)
{
	static const char *const faults[] = {
	    "{\"run_then_503\":3}",
	    "{\"run_then_break\":3}",
	    "{\"run_then_hang\":3}",
	    "{\"refuse\":true}",
	    "{\"delay_ms\":700}",
	    "{\"delay_ms\":2500}",
	};

	fleet.services[fault.target % fleet.services.size()].fault(
	    faults[fault.variant % (sizeof(faults) / sizeof(faults[0]))]);
}

bool
injector_t::is_engine(const fault_t &fault) const
{
	return fault.target % (fleet.engines.size() + fleet.services.size()) <
	    fleet.engines.size();
}

const harness::standin_t &
injector_t::server_of(const fault_t &fault) const
{
	size_t number =
	    fault.target % (fleet.engines.size() + fleet.services.size());

	return is_engine(fault) ? fleet.engines[number]
				: fleet.services[number - fleet.engines.size()];
}

/* Not checked, as in begin_leaving(): the server may have crashed. */
void
injector_t::set_server_fault(const fault_t &fault, const std::string &json)
{
	harness::call("POST", server_of(fault).control + "/fault", json);
}

/* Cuts one VM, or with an even variant its whole domain, off the platform. */
void
injector_t::cut_platform(const fault_t &fault, bool cut)
{
	const harness::vm_t &vm = *fleet.vms[fault.target % fleet.vms.size()];
	std::vector<const harness::vm_t *> all;

	for (const auto &other : fleet.vms) {
		bool selected = other->name == vm.name ||
		    (fault.variant % 2 == 0 && other->domain == vm.domain);
		if (selected && cut)
			cut_clients.insert(other->name);
		else if (selected)
			cut_clients.erase(other->name);
		if (cut_clients.count(other->name) > 0)
			all.push_back(other.get());
	}
	fleet.cut_platform(all);
}

void
injector_t::cut_domain(const fault_t &fault, bool cut)
{
	const std::string &domain =
	    fleet.vms[fault.target % fleet.vms.size()]->domain;

	if (cut)
		cut_domains.insert(domain);
	else
		cut_domains.erase(domain);
	for (size_t i = 0; i < fleet.vms.size(); i++)
		stale_cuts.insert(i);
}

void
injector_t::watch_stops(long now_ms)
{
	std::map<size_t, long> waiting = stopping;

	for (const auto &stop : waiting) {
		harness::vm_t &vm = *fleet.vms[stop.first];
		if (vm.process->is_alive() && now_ms < stop.second)
			continue;
		context.verdicts.expect("stop: a planned stop ends in time",
		    !vm.process->is_alive(), vm.name);
		vm.process->kill();
		stopping.erase(stop.first);
		faulty_targets.erase(vm.name);
		vm.process->start();
		context.transitions[stop.first]++;
		stale_cuts.insert(stop.first);
		context.history.add_fault("stop", vm.name, "replaced");
	}
}

void
injector_t::watch_engines(long now_ms)
{
	for (size_t i = 0; i < fleet.engines.size(); i++) {
		harness::standin_t &engine = fleet.engines[i];
		if (killed_engines.count(i) > 0 || engine.process->is_alive()) {
			restarts.erase(i);
			continue;
		}
		if (restarts.count(i) == 0) {
			restarts[i] = now_ms + ENGINE_RESTART_MS;
			record_crash(engine);
		} else if (now_ms >= restarts[i]) {
			restarts.erase(i);
			engine.process->start();
			context.history.add_fault("crash", engine.name, "end");
		}
	}
}

/* An engine whose port is in use by another program has not crashed. */
void
injector_t::record_crash(const harness::standin_t &engine)
{
	std::string end = engine.process->log_tail(LOG_TAIL_BYTES);

	if (end.find("listen_failed") != std::string::npos) {
		context.verdicts.count("engines that found their port taken");
		return;
	}
	context.crashes[engine.domain]++;
	context.history.add_fault("crash", engine.name, "begin");
}

void
injector_t::send_cuts()
{
	std::set<size_t> waiting = stale_cuts;

	for (size_t vm : waiting) {
		bool faulty = std::any_of(
		    open.begin(), open.end(), [&](const open_fault_t &fault) {
			    return is_vm_fault(fault.fault.kind) &&
				fault.target == fleet.vms[vm]->name;
		    });
		if (!faulty && send_cuts_to(vm))
			stale_cuts.erase(vm);
	}
}

bool
injector_t::send_cuts_to(size_t number)
{
	const harness::vm_t &vm = *fleet.vms[number];
	std::string text;

	for (const auto &other : fleet.vms) {
		bool cut = other->domain != vm.domain &&
		    (cut_domains.count(other->domain) > 0 ||
			cut_domains.count(vm.domain) > 0);
		text += (text.empty() ? "{\"" : ",\"") + other->name +
		    (cut ? "\":true" : "\":false");
	}
	return harness::call("POST", vm.operators + "/v1/faults", text + "}",
		   {}, CUTS_TIMEOUT_MS)
		   .status == 200;
}

void
injector_t::kill_vm(size_t number)
{
	context.transitions[number]++;
	fleet.vms[number]->process->kill();
}

/* The new process has no state, so it must be sent the cuts again. */
void
injector_t::start_vm(size_t number)
{
	fleet.vms[number]->process->start();
	context.transitions[number]++;
	stale_cuts.insert(number);
}

} // namespace soak
