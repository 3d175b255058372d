/**
 * @file gateway_access_test.cc
 * @brief Each call is decided by one version of the configuration, in fleets
 * that start anew and change their configuration under load.
 */
#include <algorithm>
#include <cstdint>
#include <cstring>
#include <map>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "tests/core/gateway_fleet.h"

namespace
{

constexpr int VMS = 4;
/** Number of series of disturbances; more are played by hand. */
constexpr unsigned SERIES_SEEDS = 60;
constexpr int SERIES_STEPS = 250;
/** Longest time between the reading of a call and its turn in the loop. */
constexpr int LOOP_LAG_MS = 300;
constexpr uint64_t FIRST_ITEM = UINT64_C(1) << 62;

const std::vector<std::string> TEAMS = {"ice", "fish", "salt"};
const std::vector<std::string> KEYS = {"k1", "k2", "k3", "k4", "k5", "k6"};
const std::vector<std::string> PATHS = {"/a/", "/b/", "/c/", "/d/", "/e/"};
const std::vector<std::string> SERVICES = {"s1", "s2", "s3"};

struct PathRule {
	std::string service;
	bool anonymous;
	jj_route_kind_t kind;
};

/** A version of the configuration, as its author means it. */
struct Version {
	uint64_t number = 1;
	bool has_teams = true;
	std::map<std::string, std::string> keys; /**< team, by key */
	std::map<std::string, PathRule> paths;

	/** Sets the caller's team; false when it may not call the path. */
	bool
	allows(const std::string &path, const std::string &key,
	    std::string *team) const
	{
		auto rule = paths.find(path);
		auto owner = keys.find(key);

		team->clear();
		if (!has_teams)
			return true;
		if (owner != keys.end()) {
			*team = owner->second;
			return true;
		}
		return rule != paths.end() && rule->second.anonymous;
	}
	std::string
	text() const
	{
		std::ostringstream out;

		out << number << (has_teams ? " teams" : " open") << "\n";
		for (const auto &key : keys)
			out << "key " << key.first << " " << key.second << "\n";
		for (const auto &path : paths)
			out << "path " << path.first << " "
			    << path.second.service << " "
			    << path.second.anonymous << " " << path.second.kind
			    << "\n";
		return out.str();
	}
};

Version
make_first_version()
{
	Version first;

	for (size_t i = 0; i < 4; i++)
		first.keys[KEYS[i]] = TEAMS[i % TEAMS.size()];
	first.paths["/a/"] = {"s1", false, JJ_ROUTE_IDEMPOTENT};
	first.paths["/b/"] = {"s2", true, JJ_ROUTE_NON_IDEMPOTENT};
	first.paths["/c/"] = {"s3", false, JJ_ROUTE_STREAM};
	first.paths["/d/"] = {"s1", false, JJ_ROUTE_BATCH};
	return first;
}

/** Reads what Version::text() writes. */
bool
read_version(
    void *, const jj_bytes_t *object, jj_routes_t *routes, char *, size_t)
{
	std::istringstream in(std::string(object->data, object->size));
	std::string word;
	std::string name;

	in >> routes->version >> word;
	if (word == "teams") {
		routes->teams = jj_teams_create();
		for (const std::string &team : TEAMS) {
			jj_team_entry_t entry = {};

			entry.usable = true;
			jj_name_set(&entry.name, team.c_str());
			(void)jj_teams_add(routes->teams, &entry);
		}
	}
	while (in >> word >> name) {
		if (word == "key") {
			uint32_t number = 0;

			in >> word;
			while (TEAMS[number] != word)
				number++;
			if (routes->teams != nullptr)
				jj_teams_add_key(routes->teams, number,
				    name.data(), name.size());
			continue;
		}
		jj_route_backend_t backend = {{}, 1};
		int anonymous;
		int kind;

		in >> word >> anonymous >> kind;
		jj_name_set(&backend.service, word.c_str());
		jj_route_t route = make_route(name.c_str(), name.c_str(),
		    static_cast<jj_route_kind_t>(kind));

		route.anonymous = anonymous != 0;
		route.resumable = route.kind == JJ_ROUTE_STREAM;
		route.backends = &backend;
		jj_routes_add(routes, &route);
	}
	jj_routes_build_index(routes);
	return true;
}

class AccessSeries : public GatewayFleet,
		     public ::testing::WithParamInterface<unsigned>
{
      protected:
	/** A call that was read by its VM; its team is that of the reading. */
	struct Call {
		std::string vm;
		std::string path;
		std::string key; /**< "": none */
		bool is_post;
		std::string team;
		uint64_t read_version;
		jj_ms_t due; /**< when the loop comes to it */
		const jj_routes_t *routes; /**< a reference until then */
	};
	struct Attempt {
		std::string vm;
		int life; /**< of the VM's process */
		uint64_t request;
		uint32_t number;
		jj_ms_t end;
	};
	struct Listing {
		std::string vm;
		jj_platform_call_t call;
		jj_ms_t due;
	};
	std::mt19937 random;
	std::vector<Version> versions; /**< by number, from 1 */
	std::vector<Call> unread; /**< not taken by the loop yet */
	std::map<uint64_t, Call> requests;
	std::map<uint64_t, Call> submissions; /**< by operation */
	std::map<std::string, Call> jobs; /**< by id */
	std::vector<Attempt> attempts;
	std::vector<Listing> listings; /**< of configurations, not answered */
	std::map<std::string, int> lives;
	/** when a VM that starts gets the platform's configuration */
	std::map<std::string, jj_ms_t> config_due;
	/** when a VM's watch returns a change */
	std::map<std::string, jj_ms_t> watch_lag;
	size_t sent = 0;
	size_t sent_with_team = 0;
	size_t sent_without_team = 0;
	size_t items_sent = 0;
	size_t accepted = 0;
	size_t overtaken = 0; /**< calls sent by a version not in force */
	size_t before_config = 0; /**< calls read without a configuration */
	size_t denied = 0; /**< answers 401 */
	size_t unknown_paths = 0; /**< answers 404 */

	AccessSeries()
	    : GatewayFleet(VMS, 4, read_version, make_first_version().text())
	{
		versions.push_back(make_first_version());
		platform.objects.erase("servers/s1");
		for (const std::string &service : SERVICES)
			for (const char *number : {"-1", "-2", "-3", "-4"})
				platform.put("servers/" + service + number,
				    "verona ready service=" + service);
	}
	~AccessSeries() override
	{
		for (const Call &call : unread)
			jj_routes_release(call.routes);
	}
	uint32_t
	draw(size_t below)
	{
		return random() % (uint32_t)below;
	}
	template <typename T>
	T
	choose(const std::vector<T> &list)
	{
		return list[draw(list.size())];
	}
	static std::string
	name_of(size_t index)
	{
		return "verona-" + std::to_string(index + 1);
	}
	std::string
	any_vm()
	{
		return name_of(draw(VMS));
	}

	/* Calls. */

	/** A VM reads a call, as jj_gateway_node_serve()'s threads do. */
	void
	read_call(const std::string &vm)
	{
		bool may_be_behind = jj_gateway_may_be_behind(vms[vm].gateway);
		uint64_t in_force = version_of(vm);
		uint32_t sender = draw(10);
		std::string key = sender < 7 ? choose(KEYS)
		    : sender == 7	     ? "of-nobody"
					     : "";
		Call call = {vm, choose(PATHS), key, draw(3) == 0, "", in_force,
		    now + draw(LOOP_LAG_MS + 1), nullptr};
		std::string path = call.path + "x";
		jj_routes_call_t checked = {"h", path.c_str(), false,
		    key.empty() ? nullptr : key.c_str(), !key.empty()};
		jj_name_t team;
		jj_access_t access;
		bool allowed = in_force > 0 &&
		    versions[in_force - 1].allows(call.path, key, &call.team);

		access = jj_routes_check_call(
		    jj_gateway_routes(vms[vm].gateway), &checked, &team);
		if (in_force == 0) {
			before_config++;
			ASSERT_EQ(JJ_ACCESS_UNCLEAR, access)
			    << "decided without a configuration";
		} else {
			ASSERT_EQ(!allowed ? JJ_ACCESS_DENIED
				: key.empty() || !call.team.empty() ||
				    !versions[in_force - 1].has_teams
				? JJ_ACCESS_GRANTED
				: JJ_ACCESS_ANONYMOUS,
			    access)
			    << describe(call);
			ASSERT_EQ(call.team, team.text) << describe(call);
		}
		denied += access == JJ_ACCESS_DENIED && !may_be_behind;
		if (access != JJ_ACCESS_GRANTED &&
		    (access != JJ_ACCESS_ANONYMOUS || may_be_behind))
			return;
		call.routes =
		    jj_routes_retain(jj_gateway_routes(vms[vm].gateway));
		unread.push_back(call);
	}
	/** The loop takes a call that was read before. */
	void
	take_call(Call call)
	{
		const jj_routes_t *routes = call.routes;
		jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);
		std::string path = call.path + "x";
		const jj_route_t *route =
		    jj_routes_match(routes, "h", path.c_str());

		call.routes = nullptr;
		last++;
		if (call.is_post && route != nullptr &&
		    route->kind == JJ_ROUTE_BATCH) {
			jj_inline_job_t job = make_job(call);

			submissions[last] = call;
			jobs[job.id] = call;
			jj_gateway_submit(vms[call.vm].gateway, last, &job,
			    routes, now, &out);
		} else {
			jj_gateway_request_t request = {};

			requests[last] = call;
			request.request = last;
			snprintf(
			    request.id, sizeof(request.id), "r%d", (int)last);
			request.host = "h";
			request.path = path.c_str();
			request.routes = routes;
			jj_name_set(&request.team, call.team.c_str());
			request.budget_ms = 4000;
			request.fingerprint = last;
			if (draw(8) == 0) {
				request.resumed = true;
				snprintf(request.resumes,
				    sizeof(request.resumes), "r%d",
				    1 + (int)draw(last));
			}
			jj_gateway_begin(
			    vms[call.vm].gateway, &request, now, &out);
		}
		carry_out(call.vm, &out);
		jj_routes_release(routes);
	}
	jj_inline_job_t
	make_job(const Call &call) const
	{
		jj_inline_job_t job = {};
		jj_inline_item_t *item;

		snprintf(job.id, sizeof(job.id), "job-%d", (int)last);
		jj_name_set(&job.team, call.team.c_str());
		job.host = strdup("h");
		job.path = strdup((call.path + "x").c_str());
		item = jj_inline_job_add(&job);
		item->id = strdup((std::string(job.id) + "-0").c_str());
		item->path = strdup((call.path + "i").c_str());
		item->body = jj_bytes_from_text("x");
		return job;
	}

	/* Checks. */

	std::string
	describe(const Call &call)
	{
		std::ostringstream out;

		out << (call.is_post ? "POST " : "GET ") << call.path << " key "
		    << call.key << " team " << call.team << " read at "
		    << call.vm << " by version " << call.read_version << ", "
		    << version_of(call.vm) << " in force at " << now << "\n";
		for (uint64_t number = std::max<uint64_t>(1, call.read_version);
		     number <= version_of(call.vm); number++)
			out << versions[number - 1].text();
		return out.str();
	}
	/**
	 * True when a version that was in force at the VM since the call was
	 * read gives the call that team and that kind of path, and leads it to
	 * that service ("": to any).
	 */
	bool
	is_allowed(const Call &call, const std::string &service, bool is_job)
	{
		for (uint64_t number = std::max<uint64_t>(1, call.read_version);
		     number <= version_of(call.vm); number++) {
			const Version &version = versions[number - 1];
			auto rule = version.paths.find(call.path);
			std::string team;

			if (version.allows(call.path, call.key, &team) &&
			    team == call.team && rule != version.paths.end() &&
			    (service.empty() ||
				rule->second.service == service) &&
			    is_job == (rule->second.kind == JJ_ROUTE_BATCH))
				return true;
		}
		return false;
	}
	/** An answer 404 has to be right by a version since the reading. */
	void
	check_404(const Call &call, const std::string &vm)
	{
		bool is_lacking = false;

		unknown_paths++;
		ASSERT_GT(version_of(vm), 0U)
		    << "404 without a configuration: " << describe(call);
		for (uint64_t number = call.read_version;
		     number <= version_of(vm); number++) {
			const Version &version = versions[number - 1];
			auto rule = version.paths.find(call.path);

			is_lacking = is_lacking ||
			    rule == version.paths.end() ||
			    (rule->second.kind == JJ_ROUTE_BATCH &&
				!call.is_post);
		}
		ASSERT_TRUE(is_lacking)
		    << "404 at a path of all versions: " << describe(call);
	}
	void
	check_attempt(const std::string &vm, const jj_backend_start_t &start)
	{
		std::string server = start.server.text;
		std::string service = server.substr(0, server.find('-'));
		jj_gateway_attempt_t attempt;

		sent++;
		if (start.request < FIRST_ITEM) {
			const Call &call = requests.at(start.request);

			ASSERT_EQ(vm, call.vm);
			ASSERT_TRUE(is_allowed(call, service, false))
			    << "sent to " << service << ": " << describe(call);
			overtaken += call.read_version < version_of(vm);
			sent_with_team += !call.team.empty();
			sent_without_team += call.team.empty();
			return;
		}
		items_sent++;
		ASSERT_TRUE(jj_gateway_find_attempt(
		    vms[vm].gateway, start.request, now, &attempt));
		const Call &call = jobs.at(attempt.job->id);

		ASSERT_EQ(call.team, attempt.job->team.text) << describe(call);
		ASSERT_EQ(service, service_of(vm, call.path))
		    << "item: " << describe(call);
	}
	/** Items are sent by the version in force, which may be a later one. */
	std::string
	service_of(const std::string &vm, const std::string &path)
	{
		const auto &paths = versions.at(version_of(vm) - 1).paths;
		auto rule = paths.find(path);

		return rule != paths.end() ? rule->second.service : "";
	}
	void
	check_submissions()
	{
		for (auto at = submissions.begin(); at != submissions.end();) {
			const Call &call = at->second;
			auto &answers = vms[call.vm].answers;
			auto answer = answers.find(at->first);

			if (answer == answers.end()) {
				++at;
				continue;
			}
			if (answer->second == 404)
				check_404(call, call.vm);
			if (answer->second == 202) {
				accepted++;
				ASSERT_TRUE(is_allowed(call, "", true))
				    << "accepted: " << describe(call);
			}
			at = submissions.erase(at);
		}
	}

	/* The fleet. */

	void
	take(const std::string &vm, const jj_action_t &action) override
	{
		if (action.kind == JJ_ACTION_ANSWER &&
		    action.body.answer.run == JJ_RUN_NOT_RUN &&
		    action.body.answer.reason == JJ_FAILURE_NO_SERVICE)
			check_404(requests.at(action.body.answer.request), vm);
		if (action.kind != JJ_ACTION_BACKEND_START)
			return;
		check_attempt(vm, action.body.start);
		attempts.push_back({vm, lives[vm], action.body.start.request,
		    action.body.start.attempt, now + 10 + draw(120)});
	}
	/**
	 * A listing of the configurations is answered later than in the step
	 * that asked for it, the first one of a VM much later.
	 */
	void
	call(const std::string &name, const jj_platform_call_t &call) override
	{
		if (call.op == JJ_PLATFORM_LIST &&
		    strcmp(call.key, "config/") == 0)
			listings.push_back({name, call, config_due[name]});
		else
			GatewayFleet::call(name, call);
	}
	void
	answer_listings()
	{
		std::vector<Listing> due;

		for (const Listing &listing : listings)
			if (listing.due <= now)
				due.push_back(listing);
		remove(&listings,
		    [&](const Listing &listing) { return listing.due <= now; });
		for (const Listing &listing : due)
			GatewayFleet::call(listing.vm, listing.call);
	}
	/** Answers the watches of configurations and servers. */
	void
	answer_watches()
	{
		std::vector<std::pair<std::string, jj_platform_call_t>> due;

		for (auto &vm : vms)
			remove(
			    &vm.second.watches, [&](const FleetWatch &watch) {
				    if (!is_watch_due(vm.first, watch))
					    return false;
				    due.push_back({vm.first, watch.call});
				    return true;
			    });
		for (const auto &watch : due)
			answer_watch(watch.first, watch.second);
	}
	bool
	is_watch_due(const std::string &vm, const FleetWatch &watch)
	{
		const char *key = watch.call.key;
		bool is_config = strcmp(key, "config/") == 0;
		jj_ms_t age = now - watch.begun;

		if (!is_config && strcmp(key, "servers/") != 0)
			return false;
		if (vms[vm].cut != JJ_PLATFORM_OK || !is_config)
			return age > 500;
		return age > 1000 ||
		    (age >= watch_lag[vm] &&
			platform.objects["config/main"].version >
			    watch.call.version);
	}
	void
	answer_watch(const std::string &vm, const jj_platform_call_t &call)
	{
		jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);
		jj_platform_call_t list = call;
		jj_platform_result_t result;
		size_t kept = 0;

		list.op = JJ_PLATFORM_LIST;
		list.values = true;
		list.after[0] = '\0';
		list.limit = 0;
		result = platform.execute(list);
		result.op = JJ_PLATFORM_WATCH;
		for (size_t i = 0; i < result.item_count; i++) {
			if (result.items[i].version > call.version)
				std::swap(
				    result.items[kept++], result.items[i]);
		}
		for (size_t i = kept; i < result.item_count; i++)
			jj_bytes_free(&result.items[i].value);
		result.item_count = kept;
		if (vms[vm].cut != JJ_PLATFORM_OK) {
			jj_platform_result_clear(&result);
			result = {};
			result.owner = call.owner;
			result.token = call.token;
			result.op = call.op;
			result.outcome = vms[vm].cut;
		}
		jj_gateway_take_platform(vms[vm].gateway, &result, now, &out);
		jj_platform_result_clear(&result);
		carry_out(vm, &out);
		watch_lag[vm] = draw(500);
	}
	void
	end_attempts()
	{
		std::vector<Attempt> due;

		remove(&attempts, [&](const Attempt &attempt) {
			if (attempt.end > now)
				return false;
			due.push_back(attempt);
			return true;
		});
		for (const Attempt &attempt : due)
			if (lives[attempt.vm] == attempt.life)
				end_attempt(attempt);
	}
	void
	end_attempt(const Attempt &attempt)
	{
		uint32_t kind = draw(20);

		if (kind == 0) {
			report(attempt, JJ_BACKEND_NOT_SENT);
			return;
		}
		report(attempt, JJ_BACKEND_FIRST);
		report(
		    attempt, kind == 1 ? JJ_BACKEND_BROKEN : JJ_BACKEND_DONE);
	}
	void
	report(const Attempt &attempt, jj_backend_kind_t kind)
	{
		jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);
		jj_backend_event_t event = {};
		jj_bytes_t text = {};

		event.request = attempt.request;
		event.attempt = attempt.number;
		event.kind = kind;
		event.relayed = attempt.request < FIRST_ITEM;
		if (kind == JJ_BACKEND_DONE && attempt.request >= FIRST_ITEM)
			text = jj_bytes_from_text("y");
		jj_gateway_take_backend_event(
		    vms[attempt.vm].gateway, &event, 200, &text, now, &out);
		jj_bytes_free(&text);
		carry_out(attempt.vm, &out);
	}
	template <typename T, typename F>
	static void
	remove(std::vector<T> *list, F condition)
	{
		std::vector<T> kept;

		for (const T &element : *list)
			if (!condition(element))
				kept.push_back(element);
		list->swap(kept);
	}
	void
	take_calls()
	{
		std::vector<Call> due;

		remove(&unread, [&](const Call &call) {
			if (call.due > now)
				return false;
			due.push_back(call);
			return true;
		});
		for (const Call &call : due)
			take_call(call);
	}
	void
	advance(jj_ms_t ms)
	{
		for (jj_ms_t until = now + ms; now < until;) {
			answer_listings();
			answer_watches();
			take_calls();
			end_attempts();
			run(FLEET_STEP_MS);
			check_submissions();
		}
	}

	/* Disturbances. */

	/** Kills the VM's process; a new one starts at once. */
	void
	restart(const std::string &vm)
	{
		remove(&unread, [&](const Call &call) {
			if (call.vm == vm)
				jj_routes_release(call.routes);
			return call.vm == vm;
		});
		remove(&listings,
		    [&](const Listing &listing) { return listing.vm == vm; });
		for (auto at = submissions.begin(); at != submissions.end();)
			at = at->second.vm == vm ? submissions.erase(at)
						 : std::next(at);
		jj_gateway_destroy(vms[vm].gateway);
		vms[vm] = FleetVm();
		lives[vm]++;
		config_due[vm] = now + draw(1200);
		if (draw(4) == 0)
			vms[vm].cut = JJ_PLATFORM_DOWN;
		create(vm, 100 + (jj_incarnation_t)now);
	}
	void
	restart_all()
	{
		for (size_t i = 0; i < VMS; i++)
			restart(name_of(i));
	}
	/** Cuts a VM off from the platform, from documents, from all or none. */
	void
	cut(const std::string &name)
	{
		FleetVm &vm = vms[name];
		uint32_t kind = draw(6);

		vm.cut = kind == 0 || kind == 1 ? JJ_PLATFORM_UNKNOWN
						: JJ_PLATFORM_OK;
		vm.loses_documents = kind == 2;
		vm.loses_messages = vm.loses_sent = kind == 1;
	}
	void
	publish()
	{
		Version next = versions.back();

		next.number++;
		for (uint32_t changes = 1 + draw(3); changes > 0; changes--)
			change(&next);
		versions.push_back(next);
		platform.put("config/main", next.text());
	}
	void
	change(Version *version)
	{
		const std::string &key = choose(KEYS);
		const std::string &path = choose(PATHS);
		auto rule = version->paths.find(path);
		bool is_there = rule != version->paths.end();

		switch (draw(8)) {
		case 0:
		case 1:
			version->keys[key] = choose(TEAMS);
			break;
		case 2:
			version->keys.erase(key);
			break;
		case 3:
			if (is_there)
				rule->second.service = choose(SERVICES);
			break;
		case 4:
			if (is_there)
				rule->second.anonymous =
				    !rule->second.anonymous;
			break;
		case 5:
			if (is_there)
				rule->second.kind =
				    rule->second.kind == JJ_ROUTE_BATCH
				    ? JJ_ROUTE_STREAM
				    : JJ_ROUTE_BATCH;
			break;
		case 6:
			if (is_there)
				version->paths.erase(path);
			else
				version->paths[path] = {choose(SERVICES),
				    draw(3) == 0,
				    choose<jj_route_kind_t>({JJ_ROUTE_STREAM,
					JJ_ROUTE_IDEMPOTENT, JJ_ROUTE_BATCH})};
			break;
		default:
			version->has_teams = true;
			break;
		}
	}
	void
	disturb()
	{
		if (draw(10) == 0)
			publish();
		if (draw(25) == 0)
			for (uint32_t count = 2 + draw(4); count > 0; count--) {
				publish();
				advance(5 + draw(60));
			}
		if (draw(45) == 0)
			restart_all();
		else if (draw(45) == 0)
			restart(any_vm());
		if (draw(12) == 0)
			cut(any_vm());
	}
	void
	play(unsigned seed)
	{
		Version next = versions.back();

		random.seed(seed);
		disorder_random.seed(seed);
		disorder = draw(2) == 0 ? 0.1 : 0;
		fair_shares = draw(2) == 0;
		next.number++;
		next.has_teams = draw(2) == 0;
		versions.push_back(next);
		platform.put("config/main", next.text());
		restart_all();
		for (int i = 0; i < SERIES_STEPS && !HasFatalFailure(); i++) {
			for (uint32_t count = draw(16); count > 0; count--)
				read_call(any_vm());
			disturb();
			advance(20 + draw(100));
		}
	}
};

/* Guards against a team of one version with the route of another. */
TEST_P(AccessSeries, EachCallIsDecidedByOneVersion)
{
	play(GetParam());
	RecordProperty("sent", (int)sent);
	RecordProperty("overtaken", (int)overtaken);
	RecordProperty("accepted", (int)accepted);
	RecordProperty("items", (int)items_sent);
	RecordProperty("with_team", (int)sent_with_team);
	RecordProperty("without_team", (int)sent_without_team);
	RecordProperty("before_config", (int)before_config);
	RecordProperty("denied", (int)denied);
	RecordProperty("unknown", (int)unknown_paths);
	EXPECT_GT(sent, 100U);
	EXPECT_GT(overtaken, 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Seeds, AccessSeries, ::testing::Range(1U, SERIES_SEEDS + 1));

} // namespace
