// A model server hands out wrong bytes in one event of one item of a batch
// job. Are the job's other items still listed, and can the job be read?
#include "rig.h"

using namespace rig;

// The disruption: garble, share 0.35 of the servers, 0.02 of their answers,
// for 5.5 s (sites/smfj-coimbra.toml, troubles).
static const int GARBLING_SERVERS = 2; // of 6
static const int ONE_ANSWER_IN = 50;
static const long GARBLE_MS = 5500;

static const int LOTS = 60;
static const int ITEMS = 10;
static const int EVENTS = 20;
static const long FINISH_MS = 18000; // finishS
static const long FAILED_MS = 20000; // failed items don't count for so long
static const long CALM_MS = 5000;

struct item_t {
	size_t lot = 0;
	int runs = 0;
	long last_run_ms = -1;
	bool spoiled = false;
};

int
main(int argc, char **argv)
{
	deployment_t site;
	std::mutex lock;
	std::map<std::string, item_t> items;
	std::vector<lot_t> lots;
	std::map<std::string, int> answers; // by server, while it garbles
	std::set<std::string> garbling;
	long garble_from = -1, garbled_ms = -1, last_finished_ms = -1;
	bool trouble =
	    getenv("TROUBLE") == nullptr || strcmp(getenv("TROUBLE"), "0") != 0;

	site.open_record(argc > 1 ? argv[1] : "record.txt");
	record("the disruption is %s", trouble ? "on" : "off");
	site.build(3, 6);
	for (int i = 0; i < GARBLING_SERVERS; i++)
		garbling.insert(site.servers[(size_t)i]->id);
	for (auto &server : site.servers) {
		server->plan = [&](const model_server_t &self,
				   const request_t &request) {
			std::lock_guard<std::mutex> guard(lock);
			std::string id =
			    request.header("x-jujubeswitch-request-id");
			auto item = items.find(id);
			answer_plan_t plan;

			plan.events = EVENTS;
			if (item == items.end())
				return plan;
			item->second.runs++;
			item->second.last_run_ms = now_ms();
			if (!trouble || garble_from < 0 ||
			    now_ms() > garble_from + GARBLE_MS ||
			    garbling.count(self.id) == 0)
				return plan;
			if (++answers[self.id] % ONE_ANSWER_IN != 0 ||
			    !request.header("last-event-id").empty())
				return plan;
			item->second.spoiled = true;
			garbled_ms = now_ms();
			plan.spoiled_event = 7;
			plan.spoiled_data = std::string("\x12\0\x9b", 2) + "x";
			return plan;
		};
		server->on_end = [&](const model_server_t &,
				     const request_t &request, bool whole) {
			std::lock_guard<std::mutex> guard(lock);
			auto item = items.find(
			    request.header("x-jujubeswitch-request-id"));

			if (item != items.end() && whole)
				last_finished_ms = now_ms();
			if (item != items.end())
				item->second.last_run_ms = now_ms();
		};
	}
	site.start();

	// Batch jobs come, at all VMs in turn.
	for (int i = 0; i < LOTS; i++) {
		lot_t lot = site.make_lot(ITEMS);
		std::lock_guard<std::mutex> guard(lock);

		for (const std::string &id : lot.items)
			items[id].lot = (size_t)i;
		lots.push_back(lot);
	}
	{
		std::lock_guard<std::mutex> guard(lock);
		garble_from = now_ms();
	}
	for (size_t i = 0; i < lots.size(); i++) {
		reply_t reply;

		for (size_t attempt = 0; attempt < 4 && reply.status != 202;
		     attempt++)
			reply =
			    site.submit(site.vm(i + attempt).front, lots[i]);
		record("job %s sent, answered %d", lots[i].id.c_str(),
		    reply.status);
		if (reply.status != 202)
			finish(NOT_RUN, "a job was not accepted");
	}
	long traffic_end = now_ms();

	record("the last job was accepted");
	while (now_ms() < garble_from + GARBLE_MS)
		sleep_ms(100);
	if (trouble && garbled_ms < 0)
		finish(NOT_RUN, "no answer was spoiled");
	while (now_ms() < traffic_end + FINISH_MS ||
	    (trouble && now_ms() < garbled_ms + FAILED_MS + 1000))
		sleep_ms(100);

	// finishS is over. Each job is read from the start, at each VM, again
	// after each failure.
	long checked_ms = now_ms();
	int lost_items = 0, lost_lots = 0, unreadable = 0, spoiled = 0;
	size_t read_lots = 0;

	for (size_t i = 0; i < lots.size(); i++) {
		std::set<std::string> listed;
		bool readable = false;
		bool has_spoiled = false;

		for (size_t v = 0; v < site.vms.size(); v++) {
			int after = 0, failures = 0;
			long until = now_ms() + 2500;

			while (after < ITEMS && now_ms() < until) {
				reply_t reply = site.read_lot(
				    site.vm(v).front, lots[i].id, after, 0);
				page_t page(reply);

				if (!page.valid) {
					failures++;
					record("read of job %s from %d at %s: "
					       "status %d",
					    lots[i].id.c_str(), after,
					    site.vm(v).name.c_str(),
					    reply.status);
					sleep_ms(300);
					continue;
				}
				readable = true;
				for (const auto &result : page.results)
					listed.insert(result.id);
				if (page.results.empty())
					break;
				after = page.next;
			}
			if (listed.size() == (size_t)ITEMS)
				break;
		}
		read_lots++;
		for (const std::string &id : lots[i].items)
			has_spoiled = has_spoiled || items[id].spoiled;
		spoiled += has_spoiled;
		unreadable += !readable;
		if (listed.size() == (size_t)ITEMS)
			continue;
		lost_lots++;
		record("job %s: %zu of %d items listed, readable %d, has the "
		       "spoiled item %d",
		    lots[i].id.c_str(), listed.size(), ITEMS, readable,
		    has_spoiled);
		for (const std::string &id : lots[i].items) {
			std::lock_guard<std::mutex> guard(lock);
			const item_t &item = items[id];

			if (listed.count(id) > 0)
				continue;
			record(
			    "  item %s not listed: runs %d, last at a server "
			    "at %ld, spoiled %d",
			    id.c_str(), item.runs, item.last_run_ms,
			    item.spoiled);
			// The excuses of the rule.
			if (item.last_run_ms > checked_ms - CALM_MS ||
			    last_finished_ms > checked_ms - 3000)
				finish(NOT_RUN, "servers still work");
			lost_items++;
		}
	}
	int ends = 0;

	for (auto &vm : site.vms)
		ends += vm->own_ends;
	record("jobs %zu, with a spoiled answer %d, lost items %d in %d jobs, "
	       "jobs that can't be read %d, processes ended by themselves %d",
	    read_lots, spoiled, lost_items, lost_lots, unreadable, ends);
	if (lost_items > 0 || unreadable > 0)
		finish(BROKEN,
		    "LOST broken: %d items of %d accepted jobs are not listed "
		    "after finishS, %d jobs can't be read",
		    lost_items, lost_lots, unreadable);
	finish(HELD, "all %d items of %d jobs are listed", LOTS * ITEMS, LOTS);
}
