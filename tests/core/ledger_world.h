/**
 * @file ledger_world.h
 * @brief Several ledgers with an in-memory network, platform and clock.
 */
#ifndef JJ_TESTS_LEDGER_WORLD_H
#define JJ_TESTS_LEDGER_WORLD_H

#include <cstring>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "core/ledger.h"
#include "core/ledger_state.h"
}

namespace ledger_test
{

constexpr jj_ms_t TAKEOVER_MS = 3000;
constexpr jj_ms_t RETENTION_MS = 600000;

inline jj_name_t
Name(const std::string &text)
{
	jj_name_t name;
	jj_name_set(&name, text.c_str());
	return name;
}

/** Wraps static text without a copy. */
inline jj_bytes_t
Text(const char *text)
{
	return {const_cast<char *>(text), strlen(text)};
}

struct Answer {
	uint64_t call;
	jj_call_outcome_t outcome;
	int status;
	jj_ms_t retry_after_ms;
	std::string body;
};

struct Run {
	int vm;
	jj_incarnation_t incarnation;
	uint64_t run;
	uint64_t call;
	uint64_t low; /**< low half of the key hash */
};

struct World;

/** One VM: a ledger and its view of the other VMs. */
struct Vm {
	World *world;
	int index;
	jj_name_t name;
	jj_incarnation_t incarnation;
	jj_ledger_t *ledger = nullptr;
	bool frozen = false; /**< neither ticks nor receives, stays alive */
	bool gone = false;
	bool leaving = false;
	/** time of the last heartbeat of each VM */
	std::vector<jj_ms_t> last_heartbeat;
	/** VMs whose heartbeats do not reach this one */
	std::vector<bool> silenced;
	std::vector<jj_member_info_t> infos;
	std::vector<Answer> answers;
	/** platform calls in flight */
	std::vector<jj_platform_call_t> platform;
};

/** A message in transit. */
struct Message {
	int from;
	int to;
	std::shared_ptr<jj_message_t> message;
};

struct World {
	jj_ms_t now = 0;
	std::vector<std::unique_ptr<Vm>> vms;
	std::deque<Message> in_transit;
	std::vector<Run> runs; /**< every run that was started */
	std::vector<Run> open; /**< those that have not ended */
	uint64_t version = 0;
	std::string value;
	bool platform_down = false;
	jj_incarnation_t next_incarnation = 100;
	uint64_t next_call = 1;
	size_t record_max = 1000;
	bool suspicion_drops_messages = true;

	explicit World(int count)
	{
		for (int i = 0; i < count; i++) {
			auto vm = std::make_unique<Vm>();
			vm->world = this;
			vm->index = i;
			vm->name = Name("vm-" + std::to_string(i));
			vm->last_heartbeat.assign(count, 0);
			vm->silenced.assign(count, false);
			vm->infos.resize(count);
			vms.push_back(std::move(vm));
			Start(i);
		}
	}

	~World()
	{
		for (auto &vm : vms) {
			jj_ledger_destroy(vm->ledger);
			for (auto &call : vm->platform)
				jj_platform_call_clear(&call);
		}
	}

	/** Starts a new process under the name of the VM, with empty memory. */
	void
	Start(int i)
	{
		Vm &vm = *vms[i];
		jj_ledger_settings_t settings = {};
		jj_ledger_port_t port = {&vm, OnRun, OnFind, OnList};

		vm.incarnation = next_incarnation++;
		settings.name = vm.name;
		settings.domain = Name("sala-a");
		settings.incarnation = vm.incarnation;
		settings.retention_ms = RETENTION_MS;
		settings.ack_timeout_ms = 1000;
		settings.takeover_ms = TAKEOVER_MS;
		settings.answer_max = 64;
		settings.record_max = record_max;
		settings.seed = i;
		if (vm.ledger != nullptr)
			jj_ledger_destroy(vm.ledger);
		for (auto &call : vm.platform)
			jj_platform_call_clear(&call);
		vm.platform.clear();
		vm.ledger = jj_ledger_create(&settings, &port);
		vm.frozen = vm.gone = vm.leaving = false;
		std::vector<Run> left;
		for (auto &run : open)
			if (run.vm != i)
				left.push_back(run);
		open = left;
	}

	/**
	 * Runs heartbeats, ticks, platform calls and messages for this time.
	 */
	void
	Advance(jj_ms_t time, jj_ms_t step = 250)
	{
		for (jj_ms_t end = now + time; now < end;) {
			now += step;
			for (auto &vm : vms)
				if (!vm->frozen && !vm->gone)
					Tick(vm->index);
			Settle();
		}
	}

	/** A tick, after heartbeats have announced newer tables. */
	void
	Tick(int i)
	{
		jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);
		for (auto &vm : vms)
			if (!IsSilent(*vms[i], vm->index))
				jj_ledger_refresh(vms[i]->ledger,
				    jj_ledger_version(vm->ledger), now, &out);
		jj_ledger_tick(vms[i]->ledger, now, &out);
		Carry(i, &out);
	}

	void
	Settle()
	{
		for (bool busy = true; busy;) {
			busy = !in_transit.empty();
			if (busy)
				Deliver(0);
			for (auto &vm : vms) {
				if (vm->platform.empty() || vm->frozen)
					continue;
				AnswerPlatform(vm->index,
				    platform_down ? JJ_PLATFORM_DOWN
						  : JJ_PLATFORM_OK);
				busy = true;
			}
		}
	}

	/**
	 * Carries out one platform call; UNKNOWN: the answer is lost, and the
	 * call took effect if @p done is set.
	 */
	void
	AnswerPlatform(int i, jj_platform_outcome_t wanted, bool done = true)
	{
		Vm &vm = *vms[i];
		jj_platform_call_t call = vm.platform.front();
		jj_platform_result_t result = {};
		jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);

		vm.platform.erase(vm.platform.begin());
		result.owner = call.owner;
		result.token = call.token;
		result.op = call.op;
		result.outcome = wanted;
		if (wanted != JJ_PLATFORM_DOWN && done)
			Store(call, wanted, &result);
		jj_platform_call_clear(&call);
		jj_ledger_take_result(vm.ledger, &result, now, &out);
		jj_platform_result_clear(&result);
		Carry(i, &out);
	}

	void
	Store(const jj_platform_call_t &call, jj_platform_outcome_t wanted,
	    jj_platform_result_t *result)
	{
		if (call.op == JJ_PLATFORM_GET) {
			if (wanted != JJ_PLATFORM_OK)
				return;
			result->version = version;
			result->value =
			    jj_bytes_copy(value.data(), value.size());
			if (version == 0)
				result->outcome = JJ_PLATFORM_ABSENT;
			return;
		}
		if (call.version != version) {
			if (wanted == JJ_PLATFORM_OK)
				result->outcome = JJ_PLATFORM_CONFLICT;
			return;
		}
		version++;
		value.assign(call.value.data, call.value.size);
		result->version = version;
	}

	/** Delivers message @p n; @p keep leaves a copy in transit. */
	void
	Deliver(size_t n, bool keep = false)
	{
		Message queued = in_transit[n];
		Vm &vm = *vms[queued.to];
		jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);

		if (!keep)
			in_transit.erase(in_transit.begin() + n);
		/*
		 * As jj_member_accept: only messages of the confirmed
		 * incarnation.
		 */
		if (vm.frozen || vm.gone ||
		    (suspicion_drops_messages && vm.silenced[queued.from]) ||
		    queued.message->incarnation !=
			vms[queued.from]->incarnation)
			return;
		if (queued.message->kind == JJ_MESSAGE_CALL)
			jj_ledger_begin(vm.ledger, 0, &queued.message->from,
			    &queued.message->body.call, now, &out);
		else if (queued.message->kind == JJ_MESSAGE_CALL_ANSWER)
			Note(queued.to, queued.message->body.call_answer);
		else
			jj_ledger_take_message(
			    vm.ledger, queued.message.get(), now, &out);
		Carry(queued.to, &out);
	}

	void
	Carry(int i, jj_actions_t *out)
	{
		jj_action_t *action;

		while ((action = TAILQ_FIRST(out)) != nullptr) {
			TAILQ_REMOVE(out, action, link);
			if (action->kind == JJ_ACTION_SEND)
				Post(i, action);
			else if (action->kind == JJ_ACTION_CALL_ANSWER)
				Note(i, action->body.call.answer);
			else if (action->kind == JJ_ACTION_PLATFORM) {
				vms[i]->platform.push_back(
				    action->body.platform);
				action->body.platform.value = {nullptr, 0};
			}
			jj_action_free(action);
		}
	}

	void
	Post(int i, jj_action_t *action)
	{
		Message queued = {i, Find(action->body.send.to),
		    Own(action->body.send.message)};

		/** the message is owned by the queue now */
		action->kind = JJ_ACTION_EVENT;
		queued.message->from = vms[i]->name;
		queued.message->incarnation = vms[i]->incarnation;
		in_transit.push_back(queued);
	}

	static std::shared_ptr<jj_message_t>
	Own(jj_message_t *message)
	{
		return {message, [](jj_message_t *held) {
				jj_message_clear(held);
				free(held);
			}};
	}

	void
	Note(int i, const jj_call_answer_t &answer)
	{
		vms[i]->answers.push_back({answer.call, answer.outcome,
		    answer.status, answer.retry_after_ms,
		    std::string(answer.body.data ? answer.body.data : "",
			answer.body.size)});
	}

	int
	Find(const jj_name_t &name)
	{
		for (auto &vm : vms)
			if (jj_name_equal(&vm->name, &name))
				return vm->index;
		return -1;
	}

	/**
	 * Begins a call with this key at VM @p i; @p from: forwarded by that
	 * VM.
	 */
	uint64_t
	Call(int i, uint64_t low, int from = -1, uint64_t fingerprint = 7,
	    jj_ms_t budget = 10000, uint64_t number = 0)
	{
		jj_call_t call = {};
		jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);

		call.call = number != 0 ? number : next_call++;
		call.key = {low, low + 1};
		call.fingerprint = fingerprint;
		call.budget_ms = budget;
		call.body = Text("pallets");
		jj_ledger_begin(vms[i]->ledger, call.call,
		    from >= 0 ? &vms[from]->name : nullptr, &call, now, &out);
		Carry(i, &out);
		return call.call;
	}

	/** Ends the oldest open run. */
	void
	End(jj_call_outcome_t outcome, const char *body = "booked")
	{
		Run run = open.empty() ? Run{} : open.front();
		jj_bytes_t bytes = Text(body);
		jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);

		if (open.empty())
			return; /* the test's count of runs shows it */
		open.erase(open.begin());
		jj_ledger_end(vms[run.vm]->ledger, run.run, outcome,
		    outcome == JJ_CALL_DONE ? 200 : 0, &bytes, 500, now, &out);
		Carry(run.vm, &out);
	}

	/** The slot's entry in the table at the platform. */
	jj_ledger_slot_t
	Slot(uint64_t low)
	{
		jj_ledger_table_t table;
		jj_bytes_t stored = {value.data(), value.size()};

		if (!jj_ledger_table_parse(&stored, &table))
			return {};
		return table.slots[low % JJ_LEDGER_SLOTS];
	}
	int
	Home(uint64_t low)
	{
		return Find(Slot(low).home.name);
	}
	int
	Witness(uint64_t low)
	{
		return Find(Slot(low).witness.name);
	}

	/** The outcome of the last answer at VM @p i, or -1. */
	int
	Last(int i)
	{
		return vms[i]->answers.empty()
		    ? -1
		    : static_cast<int>(vms[i]->answers.back().outcome);
	}

	int
	RunCount(uint64_t low)
	{
		int count = 0;
		for (auto &run : runs)
			count += run.low == low;
		return count;
	}

	bool
	IsSilent(const Vm &vm, int other)
	{
		return vms[other]->frozen || vms[other]->gone ||
		    vm.silenced[other];
	}

	static void
	OnRun(void *ctx, uint64_t run, const jj_call_t *call)
	{
		Vm *vm = static_cast<Vm *>(ctx);
		Run begun = {
		    vm->index, vm->incarnation, run, call->call, call->key.low};
		vm->world->runs.push_back(begun);
		vm->world->open.push_back(begun);
	}

	static const jj_member_info_t *
	OnFind(void *ctx, const jj_name_t *name)
	{
		Vm *vm = static_cast<Vm *>(ctx);
		World *world = vm->world;
		int i = world->Find(*name);

		if (i < 0)
			return nullptr;
		Vm &other = *world->vms[i];
		if (!world->IsSilent(*vm, i))
			vm->last_heartbeat[i] = world->now;
		jj_member_info_t &info = vm->infos[i];
		info.name = *name;
		info.incarnation = other.incarnation;
		info.heard_ms = vm->last_heartbeat[i];
		info.live = !world->IsSilent(*vm, i);
		info.state = other.leaving ? JJ_VM_LEAVING : JJ_VM_SERVING;
		info.slots_version =
		    other.ledger ? jj_ledger_version(other.ledger) : 0;
		return &info;
	}

	static size_t
	OnList(void *ctx, jj_member_info_t *infos, size_t max)
	{
		Vm *vm = static_cast<Vm *>(ctx);
		size_t count = 0;

		for (auto &other : vm->world->vms) {
			const jj_member_info_t *info =
			    OnFind(ctx, &other->name);
			if (info->live && !other->leaving && count < max)
				infos[count++] = *info;
		}
		return count;
	}
};

} // namespace ledger_test

#endif
