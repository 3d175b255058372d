// Many batch jobs come at once while the store is slow, and one entry VM is
// killed. Is each job that was accepted run?
#include "rig.h"

using namespace rig;

// The disruptions: platform_slow, x 60 of 4 ms, 4.5 s; node_kill, one machine.
static const long SLOW_MS = 240;
static const long SLOW_FOR_MS = 4500;
static const long BURST_AT_MS = 500; // after the store turned slow
static const int KILL_AT_JOBS = 7; // of its jobs are in the store
static const long KILL_AT_MS = 1500; // at the latest

static const uint64_t MAX_TOKENS = 735000; // maxCount of the route
// Jobs that wait and run when the burst comes: 705,000 tokens.
static const int WAITING_ITEMS = 235;
static const int WAITING_TOKENS = 3000;
static const int WAITING_EVENTS = 75;
static const long WAITING_GAP_MS = 40;
// The burst: 18 jobs at once; at each VM they take nearly all of the 30,000
// tokens that are left.
static const int BURST_LOTS[] = {14, 2, 2};
static const int BURST_ITEMS[] = {3, 24, 24};
static const int BURST_TOKENS = 620; // of an item
static const long FINISH_MS = 18000;
static const long CALM_MS = 5000;

struct sent_t {
	lot_t lot;
	std::atomic<int> status{0}; // the last answer
	std::atomic<bool> accepted{false};
};

struct world_t {
	deployment_t site;
	std::mutex lock;
	std::map<std::string, long> last_run; // by item
	std::set<std::string> waiting_items;
	std::set<std::string> entries; // ids that ever had an open entry
	std::set<std::string> jobs;
	std::set<std::string>
	    first; // ids of the burst's jobs at the VM that is killed
	std::map<std::string, int> at_servers; // items, by the number of runs
	long last_end_ms = -1; // of a run of an item
	std::atomic<int> open_clients{0};
};

// A client: one attempt, and one more at another VM.
static void
run_client(world_t *world, sent_t *sent, size_t first, size_t second)
{
	deployment_t &site = world->site;
	long until = now_ms() + 4000;

	for (int attempt = 0; attempt < 2; attempt++) {
		vm_t &vm = site.vm(attempt == 0 ? first
			: first == 0		? second
						: 3 - first);
		reply_t reply =
		    site.submit(vm.front, sent->lot, until - now_ms());
		long wait = 0;

		record("job %s at %s: %d", sent->lot.id.c_str(),
		    vm.name.c_str(), reply.status);
		sent->status = reply.status;
		if (reply.status == 202)
			sent->accepted = true;
		if (reply.status == 202)
			break;
		if (reply.status == 429 || reply.status == 503)
			wait = (long)(1000 *
			    atof(reply.headers["retry-after"].c_str()));
		if (now_ms() + wait + 300 > until)
			break;
		sleep_ms(wait);
	}
	world->open_clients--;
}

// Half of the burst's jobs at the VM that is killed are in the store.
static bool
is_half_stored(world_t *world)
{
	std::lock_guard<std::mutex> guard(world->lock);
	int stored = 0;

	for (const std::string &id : world->first)
		stored += world->jobs.count(id) > 0;
	return stored >= KILL_AT_JOBS;
}

// No server had an item in the last 5 s.
static bool
is_calm(world_t *world)
{
	std::lock_guard<std::mutex> guard(world->lock);

	return world->at_servers.empty() &&
	    now_ms() >= world->last_end_ms + CALM_MS;
}

int
main(int argc, char **argv)
{
	world_t *world = new world_t;
	deployment_t &site = world->site;
	std::vector<std::unique_ptr<sent_t>> all;
	bool trouble =
	    getenv("TROUBLE") == nullptr || strcmp(getenv("TROUBLE"), "0") != 0;

	site.open_record(argc > 1 ? argv[1] : "record.txt");
	record("the disruption is %s", trouble ? "on" : "off");
	site.max_tokens = MAX_TOKENS;
	site.build(3, 6);
	site.store.on_write = [world](const std::string &operation,
				  const std::string &key) {
		size_t slash = key.find('/');

		std::lock_guard<std::mutex> guard(world->lock);

		if (operation == "POST" && key.rfind("batch-open/", 0) == 0)
			world->entries.insert(key.substr(slash + 1));
		if (operation == "POST" && key.rfind("batch-jobs/", 0) == 0)
			world->jobs.insert(key.substr(slash + 1));
	};
	for (auto &server : site.servers) {
		server->plan = [world](const model_server_t &,
				   const request_t &request) {
			std::lock_guard<std::mutex> guard(world->lock);
			answer_plan_t plan;

			world->last_run[request.header(
			    "x-jujubeswitch-request-id")] = now_ms();
			world->at_servers[request.header(
			    "x-jujubeswitch-request-id")]++;
			if (world->waiting_items.count(request.header(
				"x-jujubeswitch-request-id")) > 0) {
				plan.events = WAITING_EVENTS;
				plan.gap_ms = WAITING_GAP_MS;
			}
			return plan;
		};
		server->on_end = [world](const model_server_t &,
				     const request_t &request, bool whole) {
			std::lock_guard<std::mutex> guard(world->lock);
			std::string id =
			    request.header("x-jujubeswitch-request-id");

			(void)whole;
			world->last_run[id] = now_ms();
			if (--world->at_servers[id] == 0)
				world->at_servers.erase(id);
			if (request.path.rfind(world->site.batch, 0) == 0)
				world->last_end_ms = now_ms();
		};
	}
	site.start();
	// Nearly as many tokens wait on the route as may.
	for (int i = 0; i < WAITING_ITEMS; i += 10) {
		auto sent = std::make_unique<sent_t>();
		reply_t reply;

		sent->lot = site.make_lot(
		    std::min(10, WAITING_ITEMS - i), WAITING_TOKENS);
		{
			std::lock_guard<std::mutex> guard(world->lock);

			for (const std::string &id : sent->lot.items)
				world->waiting_items.insert(id);
		}
		reply = site.submit(
		    site.vm((size_t)(1 + i / 10 % 2)).front, sent->lot);
		record(
		    "waiting job %s: %d", sent->lot.id.c_str(), reply.status);
		if (reply.status != 202)
			finish(NOT_RUN, "a waiting job was not accepted");
		sent->accepted = true;
		all.push_back(std::move(sent));
	}
	sleep_ms(500);

	long begin = now_ms();

	if (trouble) {
		site.store.slow_ms = SLOW_MS;
		record("the store is slow");
	}
	std::thread([&] {
		while (now_ms() < begin + KILL_AT_MS && !is_half_stored(world))
			sleep_ms(1);
		if (trouble) {
			record("%s is killed", site.vm(0).name.c_str());
			site.vm(0).kill_process();
		}
		sleep_ms(begin + SLOW_FOR_MS - now_ms());
		site.store.slow_ms = 0;
		record("the store is as usual");
	}).detach();
	sleep_ms(BURST_AT_MS);
	record("the burst comes");
	world->open_clients = BURST_LOTS[0] + BURST_LOTS[1] + BURST_LOTS[2];
	std::vector<std::pair<sent_t *, size_t>> burst;

	for (size_t v = 0; v < 3; v++)
		for (int i = 0; i < BURST_LOTS[v]; i++) {
			all.push_back(std::make_unique<sent_t>());
			all.back()->lot =
			    site.make_lot(BURST_ITEMS[v], BURST_TOKENS);
			burst.push_back({all.back().get(), v});
			if (v > 0)
				continue;
			std::lock_guard<std::mutex> guard(world->lock);

			world->first.insert(all.back()->lot.id);
		}
	for (size_t i = 0; i < burst.size(); i++)
		std::thread(run_client, world, burst[i].first, burst[i].second,
		    1 + i % 2)
		    .detach();
	while (world->open_clients > 0)
		sleep_ms(50);
	long traffic_end = now_ms();

	record("the last client has its answer");
	// finishS, and until no item was at a server for 5 s.
	while (now_ms() < traffic_end + FINISH_MS || !is_calm(world))
		sleep_ms(100);

	int accepted = 0, lost_lots = 0, lost_items = 0;

	for (auto &sent : all) {
		std::set<std::string> listed;
		int after = 0;
		long until = now_ms() + 8000;
		bool has_entry, has_job;

		if (!sent->accepted)
			continue;
		accepted++;
		for (size_t v = 1;
		     after < (int)sent->lot.items.size() && now_ms() < until;
		     v++) {
			page_t page(site.read_lot(
			    site.vm(v).front, sent->lot.id, after, 0));

			if (!page.valid) {
				sleep_ms(300);
				continue;
			}
			for (const auto &result : page.results)
				listed.insert(result.id);
			if (page.results.empty() && v >= 4)
				break;
			after = page.next;
		}
		if (listed.size() == sent->lot.items.size())
			continue;
		{
			std::lock_guard<std::mutex> guard(world->lock);

			has_entry = world->entries.count(sent->lot.id) > 0;
			has_job = world->jobs.count(sent->lot.id) > 0;
		}
		record("job %s was accepted; %zu of %zu items listed; in the "
		       "store: job %d, open entry at any time %d",
		    sent->lot.id.c_str(), listed.size(), sent->lot.items.size(),
		    has_job, has_entry);
		lost_lots++;
		for (const std::string &id : sent->lot.items) {
			std::lock_guard<std::mutex> guard(world->lock);
			auto run = world->last_run.find(id);

			if (listed.count(id) > 0)
				continue;
			record("  item %s not listed, last at a server at %ld",
			    id.c_str(),
			    run != world->last_run.end() ? run->second : -1);
			lost_items++;
		}
	}
	record("jobs sent %zu, accepted %d, lost items %d in %d jobs",
	    all.size(), accepted, lost_items, lost_lots);
	if (lost_items > 0)
		finish(BROKEN,
		    "LOST broken: %d items of %d accepted jobs are not listed "
		    "after finishS",
		    lost_items, lost_lots);
	finish(HELD, "all items of %d accepted jobs are listed", accepted);
}
