/**
 * @file gateway_versions_step_test.cc
 * @brief Streams that callers take up at a VM that is out of step, while
 * servers of a new software version join.
 */
#include <random>

#include "tests/core/gateway_versions_fleet.h"

namespace
{

constexpr unsigned STEP_SEEDS = 30; /**< more are played by hand */
/** A VM sees a change of the list so much later than another, ms. */
constexpr jj_ms_t LAG_MAX_MS = 450;

enum trouble_t {
	CUT_FROM_OTHERS,
	CUT_FROM_SOME,
	CUT_FROM_STORE,
	CUT_FROM_ALL,
	HEARS_NOTHING,
	IS_NOT_HEARD,
	STANDS_STILL,
	IS_SUSPENDED, /**< its clock stands still, too */
	TROUBLES,
};

struct StepCase {
	const char *name;
	int vms;
	trouble_t trouble;
};

/** The VM that gets out of step is verona-1, which relays in a large fleet. */
class OutOfStep : public GatewayVersionsFleet,
		  public ::testing::WithParamInterface<StepCase>
{
      protected:
	struct Change {
		jj_ms_t due;
		std::string vm;
		std::string id;
		bool gone;
	};
	struct Stream {
		std::string id;
		char version;
		uint64_t content;
	};
	struct Call {
		Stream stream;
		bool is_named;
	};
	const std::string odd = "verona-1";
	std::mt19937 random;
	std::vector<Change> changes; /**< not seen yet */
	bool in_trouble = false;
	jj_ms_t behind_ms = 0; /**< its clock, against the others' */
	/** what comes to it while it stands still */
	std::deque<std::pair<std::string, jj_action_t *>> held;
	std::deque<Call> calls;
	std::map<uint64_t, Call> taken_up; /**< by request */
	int joined = 0;
	int went_on = 0;

	OutOfStep()
	    : GatewayVersionsFleet(
		  GetParam().vms, [](jj_gateway_settings_t *settings) {
			  settings->member.forget_ms = 3600000;
		  })
	{
		budget_ms = 8000;
	}
	~OutOfStep() override
	{
		for (auto &message : held)
			jj_action_free(message.second);
	}
	uint32_t
	draw(size_t below)
	{
		return random() % (uint32_t)below;
	}
	bool
	is(trouble_t trouble) const
	{
		return in_trouble && GetParam().trouble == trouble;
	}
	bool
	stands_still() const
	{
		return is(STANDS_STILL) || is(IS_SUSPENDED);
	}
	bool
	reaches_store(const std::string &name) const
	{
		return name != odd ||
		    !(is(CUT_FROM_STORE) || is(CUT_FROM_ALL) || stands_still());
	}
	/** What is done at a VM is done by its own clock. */
	template <typename Action>
	void
	at(const std::string &name, Action action)
	{
		jj_ms_t shift = name == odd ? behind_ms : 0;

		now -= shift;
		action();
		now += shift;
	}
	void
	deliver() override
	{
		std::deque<std::pair<std::string, jj_action_t *>> batch;

		batch.swap(messages);
		for (auto &message : batch) {
			std::string to = message.second->body.send.to.text;

			if (to == odd && stands_still()) {
				held.push_back(message);
				continue;
			}
			jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);

			if (!vms[to].loses_messages &&
			    cut_off.count(message.first) == cut_off.count(to) &&
			    !vms[message.first].loses_sent)
				at(to, [&] {
					jj_gateway_take_message(vms[to].gateway,
					    message.second->body.send.message,
					    now, &out);
					carry_out(to, &out);
				});
			jj_action_free(message.second);
		}
	}
	void
	step()
	{
		deliver();
		for (auto &vm : vms)
			if (vm.first != odd || !stands_still())
				at(vm.first, [&] { tick(vm.first); });
		for (size_t i = 0; i < changes.size();) {
			Change change = changes[i];

			if (change.due > now || !reaches_store(change.vm)) {
				i++;
				continue;
			}
			changes.erase(changes.begin() + (long)i);
			at(change.vm,
			    [&] { show(change.vm, change.id, change.gone); });
		}
		now += FLEET_STEP_MS;
		if (is(IS_SUSPENDED))
			behind_ms += FLEET_STEP_MS;
		if (now % 500 < FLEET_STEP_MS)
			confirm_all();
	}
	void
	tick(const std::string &name)
	{
		jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);

		if (jj_gateway_next(vms[name].gateway) > now)
			return;
		jj_gateway_tick(vms[name].gateway, now, &out);
		carry_out(name, &out);
	}
	void
	pass(jj_ms_t ms)
	{
		for (jj_ms_t until = now + ms; now < until;)
			step();
	}
	/** Watches return nothing new, but to VMs that have not seen all. */
	void
	confirm_all()
	{
		for (auto &vm : vms) {
			bool is_behind = !reaches_store(vm.first);

			for (const Change &change : changes)
				is_behind = is_behind || change.vm == vm.first;
			if (!is_behind)
				at(vm.first, [&] { confirm(vm.first); });
		}
	}
	void
	confirm(const std::string &name)
	{
		jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);
		jj_platform_result_t result = {};

		result.owner = JJ_OWNER_GATEWAY;
		result.token = WATCH_SERVERS;
		result.op = JJ_PLATFORM_WATCH;
		result.version = platform.revision;
		jj_gateway_take_platform(vms[name].gateway, &result, now, &out);
		carry_out(name, &out);
	}
	/** Each VM sees it after a time of its own. */
	void
	change_list(const std::string &id, bool gone)
	{
		std::string key = "servers/" + id;

		if (gone)
			platform.objects.erase(key);
		else
			platform.put(
			    key, std::string("verona ready version=") + id[0]);
		for (auto &vm : vms)
			changes.push_back({now + (jj_ms_t)draw(LAG_MAX_MS),
			    vm.first, id, gone});
	}
	void
	begin_trouble()
	{
		FleetVm &vm = vms[odd];

		in_trouble = true;
		if (is(CUT_FROM_OTHERS) || is(CUT_FROM_ALL))
			vm.loses_messages = vm.loses_sent = true;
		if (is(CUT_FROM_SOME))
			cut_off = {odd, "verona-2"};
		if (is(CUT_FROM_STORE) || is(CUT_FROM_ALL))
			vm.cut = JJ_PLATFORM_UNKNOWN;
		if (is(HEARS_NOTHING))
			vm.loses_messages = true;
		if (is(IS_NOT_HEARD))
			vm.loses_sent = true;
	}
	void
	end_trouble()
	{
		FleetVm &vm = vms[odd];
		bool calls_first = draw(2) == 0;

		in_trouble = false;
		vm.loses_messages = vm.loses_sent = false;
		vm.cut = JJ_PLATFORM_OK;
		cut_off.clear();
		if (calls_first)
			send_calls();
		for (auto &message : held)
			messages.push_back(message);
		held.clear();
		deliver();
		if (!calls_first)
			send_calls();
	}
	/** A stream of the new version begins at another VM, and breaks. */
	void
	break_one()
	{
		std::string name =
		    "verona-" + std::to_string(2 + draw((size_t)count - 1));
		uint64_t content = 9000 + last;
		uint64_t request;

		request = begin(name, "/again/s", content);
		if (attempts.count(request) == 0)
			return;
		report(request, JJ_BACKEND_FIRST);
		Stream stream = {
		    id_of(request), attempts[request].server[0], content};
		pass(5 * draw(60));
		report(request, JJ_BACKEND_BROKEN);
		pass(5 * draw(40));
		calls.push_back({stream, draw(3) > 0});
		if (!stands_still())
			send_calls();
	}
	void
	send_calls()
	{
		for (const Call &call : calls)
			at(odd, [&] {
				uint64_t request =
				    begin(odd, "/again/s", call.stream.content,
					call.is_named ? call.stream.id.c_str()
						      : "");

				taken_up.insert({request, call});
			});
		calls.clear();
	}
	void
	check()
	{
		for (const auto &entry : taken_up) {
			auto attempt = attempts.find(entry.first);
			const Stream &stream = entry.second.stream;

			if (attempt == attempts.end())
				continue;
			went_on++;
			joined += attempt->second.server[0] != stream.version;
			EXPECT_EQ(stream.version, attempt->second.server[0])
			    << stream.id
			    << (entry.second.is_named ? "" : ", not named");
			at(odd, [&] { report(entry.first, JJ_BACKEND_DONE); });
		}
		taken_up.clear();
	}
	void
	play(unsigned seed)
	{
		random.seed(seed);
		for (const char *id : {"b1", "b2", "b3"})
			change_list(id, true);
		pass(40000);
		for (int round = 0; round < 3; round++) {
			begin_trouble();
			pass(5 * draw(400));
			for (const char *id : {"b1", "b2", "b3"}) {
				change_list(id, false);
				for (uint32_t i = 1 + draw(4); i > 0; i--)
					break_one();
				pass(5 * draw(200));
			}
			end_trouble();
			for (int i = 0; i < 4; i++)
				break_one();
			pass(1000);
			check();
			for (const char *id : {"b1", "b2", "b3"})
				change_list(id, true);
			pass(26000);
		}
	}
};

/* Guards against a stream of the new version that goes on at the old one. */
TEST_P(OutOfStep, NothingIsJoined)
{
	for (unsigned seed = 1; seed <= STEP_SEEDS; seed++) {
		play(seed);
		ASSERT_EQ(0, joined) << "seed " << seed;
	}
	EXPECT_GT(went_on, 0);
}

const StepCase cases[] = {
    {"CutFromOthers", 3, CUT_FROM_OTHERS},
    {"CutFromSome", 3, CUT_FROM_SOME},
    {"CutFromStore", 3, CUT_FROM_STORE},
    {"CutFromAll", 3, CUT_FROM_ALL},
    {"HearsNothing", 3, HEARS_NOTHING},
    {"IsNotHeard", 3, IS_NOT_HEARD},
    {"StandsStill", 3, STANDS_STILL},
    {"IsSuspended", 3, IS_SUSPENDED},
    {"RelayCutFromOthers", 6, CUT_FROM_OTHERS},
    {"RelayCutFromSome", 6, CUT_FROM_SOME},
    {"RelayCutFromStore", 6, CUT_FROM_STORE},
    {"RelayCutFromAll", 6, CUT_FROM_ALL},
    {"RelayStandsStill", 6, STANDS_STILL},
    {"RelayIsSuspended", 6, IS_SUSPENDED},
};

INSTANTIATE_TEST_SUITE_P(Troubles, OutOfStep, ::testing::ValuesIn(cases),
    [](const auto &info) { return std::string(info.param.name); });

} // namespace
