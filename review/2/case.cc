// A model server hands out wrong bytes in one event of one item of a batch
// job. Do the requests of other clients, at other servers, still get answers?
#include "rig.h"

using namespace rig;

// The disruption: garble, share 0.35 of the servers, 0.02 of their answers,
// for 5.5 s (sites/smfj-coimbra.toml, troubles).
static const int GARBLING_SERVERS = 2; // of 6
static const int ONE_ANSWER_IN = 50;
static const long GARBLE_MS = 5500;

static const int LOTS = 60;
static const int ITEMS = 10;
static const int CHANNELS = 10; // kept ones of online clients, at each VM
static const int MOST_CLOSED = 3; // "more than three times"

struct run_t {
	bool began = false; // a server began to run it
	bool at_sound_server = false;
	std::string server;
};

struct world_t {
	deployment_t site;
	std::mutex lock;
	std::set<std::string> items;
	std::map<std::string, run_t> online; // by request
	std::map<std::string, int> answers; // by server, while it garbles
	std::set<std::string> garbling;
	long garble_from = -1;
	std::atomic<int> spoiled{0};
	std::atomic<bool> stop{false};
	std::atomic<int> sent{0}, answered{0}, closed_unanswered{0},
	    closed_midway{0};
	bool trouble = true;
};

// One client: it sends request after request on one kept channel.
static void
run_client(world_t *world, vm_t *vm)
{
	channel_t channel(vm->front);
	int answered_on_channel = 0;

	while (!world->stop) {
		std::string id = make_id();
		reply_t reply;
		run_t run;

		{
			std::lock_guard<std::mutex> guard(world->lock);
			world->online[id];
		}
		world->sent++;
		reply =
		    channel.call("POST", world->site.online + id.substr(0, 4),
			world->site.online_headers(id), "prompt", 5000);
		{
			std::lock_guard<std::mutex> guard(world->lock);
			run = world->online[id];
		}
		if (reply.complete) {
			world->answered += reply.status == 200;
			answered_on_channel++;
			if (reply.status != 200)
				record("request %s at %s: %d", id.c_str(),
				    vm->name.c_str(), reply.status);
			sleep_ms(20);
			continue;
		}
		record("request %s at %s: channel closed, %zu bytes of an "
		       "answer, %d answers on this channel before, run by %s%s",
		    id.c_str(), vm->name.c_str(), reply.bytes,
		    answered_on_channel,
		    run.began ? run.server.c_str() : "none",
		    run.began && run.at_sound_server ? " (sound)" : "");
		if (answered_on_channel > 0 && run.began &&
		    run.at_sound_server && !reply.timed_out) {
			if (reply.bytes == 0)
				world->closed_unanswered++;
			else
				world->closed_midway++;
		}
		answered_on_channel = 0;
		sleep_ms(500);
	}
}

int
main(int argc, char **argv)
{
	world_t *world = new world_t;
	deployment_t &site = world->site;
	std::vector<lot_t> lots;

	world->trouble =
	    getenv("TROUBLE") == nullptr || strcmp(getenv("TROUBLE"), "0") != 0;
	site.open_record(argc > 1 ? argv[1] : "record.txt");
	record("the disruption is %s", world->trouble ? "on" : "off");
	site.build(3, 6);
	for (int i = 0; i < GARBLING_SERVERS; i++)
		world->garbling.insert(site.servers[(size_t)i]->id);
	for (auto &server : site.servers) {
		server->plan = [world](const model_server_t &self,
				   const request_t &request) {
			std::lock_guard<std::mutex> guard(world->lock);
			std::string id =
			    request.header("x-jujubeswitch-request-id");
			auto run = world->online.find(id);
			bool is_item = world->items.count(id) > 0;
			answer_plan_t plan;

			if (run != world->online.end()) {
				run->second.began = true;
				run->second.server = self.id;
				run->second.at_sound_server =
				    world->garbling.count(self.id) == 0;
				plan.first_ms = 200;
				plan.events = 10;
			}
			if (!world->trouble || world->garble_from < 0 ||
			    now_ms() > world->garble_from + GARBLE_MS ||
			    world->garbling.count(self.id) == 0)
				return plan;
			if (++world->answers[self.id] < ONE_ANSWER_IN ||
			    !is_item ||
			    !request.header("last-event-id").empty())
				return plan;
			world->answers[self.id] -= ONE_ANSWER_IN;
			plan.spoiled_event = 0;
			plan.spoiled_data = "\x9b\xff\x12x";
			return plan;
		};
		server->on_spoiled = [world](const request_t &,
					 const std::string &) {
			world->spoiled++;
		};
	}
	site.start();
	for (auto &vm : site.vms)
		for (int i = 0; i < CHANNELS; i++)
			std::thread(run_client, world, vm.get()).detach();
	sleep_ms(2000);
	for (int i = 0; i < LOTS; i++) {
		lot_t lot = site.make_lot(ITEMS);
		std::lock_guard<std::mutex> guard(world->lock);

		world->items.insert(lot.items.begin(), lot.items.end());
		lots.push_back(lot);
	}
	{
		std::lock_guard<std::mutex> guard(world->lock);
		world->garble_from = now_ms();
	}
	for (size_t i = 0; i < lots.size(); i++) {
		reply_t reply;

		for (size_t attempt = 0; attempt < 4 && reply.status != 202;
		     attempt++)
			reply =
			    site.submit(site.vm(i + attempt).front, lots[i]);
		record("job %s sent, answered %d", lots[i].id.c_str(),
		    reply.status);
	}
	sleep_ms(20000);
	world->stop = true;
	sleep_ms(3000);

	int ends = 0;

	for (auto &vm : site.vms) {
		ends += vm->own_ends;
		record("%s ended by itself %d times", vm->name.c_str(),
		    (int)vm->own_ends);
	}
	record("online requests sent %d, answered whole %d; kept channels "
	       "closed without an answer %d, midway %d (at sound servers); "
	       "spoiled answers %d",
	    (int)world->sent, (int)world->answered,
	    (int)world->closed_unanswered, (int)world->closed_midway,
	    (int)world->spoiled);
	if (world->trouble && world->spoiled == 0)
		finish(NOT_RUN, "no answer was spoiled");
	if (world->closed_unanswered > MOST_CLOSED)
		finish(BROKEN,
		    "LOST broken: %d requests of kept channels, run by sound "
		    "servers, got a closed channel and no answer (%d more were "
		    "cut midway); processes ended by themselves %d times",
		    (int)world->closed_unanswered, (int)world->closed_midway,
		    ends);
	finish(HELD, "%d requests of kept channels got no answer",
	    (int)world->closed_unanswered);
}
