/**
 * @file ledger_model_test.cc
 * @brief Checks at-most-once runs over many interleavings of three real
 * ledgers.
 *
 * A driver sends one order under one key, and again through other VMs, while
 * messages are delivered, lost, repeated and reordered, platform writes lose
 * their answers, VMs consider each other lost (also wrongly) and are replaced.
 * Some interleaving of these could book the order twice, or answer "not run"
 * for a booked one. Both are checked after each step. A VM that gets no event
 * represents a paused one.
 */
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <set>
#include <sstream>
#include <unordered_set>

#include "tests/core/ledger_world.h"

namespace
{

using namespace ledger_test;

constexpr uint64_t KEY = 5;
constexpr int VMS = 3;
constexpr size_t CALLS_MAX = 6;
constexpr size_t MESSAGE_CHOICES = 6;

enum Kind {
	DELIVER,
	DROP,
	REPEAT,
	PLATFORM_OK,
	PLATFORM_ANSWER_LOST,
	PLATFORM_REFUSED,
	PLATFORM_NOT_DONE,
	TICK,
	SUSPECT,
	HEARTBEATS_FROM_ALL,
	CALL,
	CALL_FORWARDED,
	END_DONE,
	END_NOT_RUN,
	REPLACE,
};

struct Event {
	Kind kind;
	int a;
	int b;
};

/** The world, the state that the events need, and the invariants. */
struct Model : World {
	int home;
	int witness;
	std::set<uint64_t> refused; /**< calls answered as not run */
	std::set<uint64_t> not_sent; /**< runs that ended as not run */
	size_t answers_seen[VMS] = {};
	size_t runs_seen = 0;
	size_t calls = 0;
	bool replaced[VMS] = {};

	Model() : World(VMS)
	{
		static World first(VMS);
		static const jj_ledger_table_t table = FirstTable(first);

		suspicion_drops_messages = false;
		value = first.value;
		version = first.version;
		for (int vm = 0; vm < VMS; vm++)
			Adopt(vm, table);
		Settle();
		home = Find(table.slots[KEY].home.name);
		witness = Find(table.slots[KEY].witness.name);
	}

	/**
	 * Incarnations count from the same number in each world, so the table
	 * fits all. The other slots belong to a VM that does not exist, so that
	 * no time is spent on them.
	 */
	static jj_ledger_table_t
	FirstTable(World &world)
	{
		jj_ledger_table_t table;

		world.Advance(2 * TAKEOVER_MS);
		jj_bytes_t stored = {world.value.data(), world.value.size()};
		EXPECT_TRUE(jj_ledger_table_parse(&stored, &table));
		table.version = world.version;
		for (uint64_t i = 0; i < JJ_LEDGER_SLOTS; i++)
			if (i != KEY)
				table.slots[i] = {
				    1, {Name("other"), 1}, {}, false};
		jj_bytes_t inert = jj_ledger_table_print(&table);
		world.value.assign(inert.data, inert.size);
		jj_bytes_free(&inert);
		return table;
	}

	/** Avoids parsing JSON at the start of each sequence. */
	void
	Adopt(int i, const jj_ledger_table_t &table)
	{
		jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);

		vms[i]->ledger->needs_read = false;
		jj_ledger_adopt(vms[i]->ledger, &table, now, &out);
		Carry(i, &out);
		Tick(i);
	}

	std::vector<Event>
	Enabled(size_t messages_max = MESSAGE_CHOICES)
	{
		std::vector<Event> events;
		int messages = (int)std::min(in_transit.size(), messages_max);

		for (int i = 0; i < messages; i++) {
			events.push_back({DELIVER, i, 0});
			events.push_back({DROP, i, 0});
			if (in_transit[i].message->kind == JJ_MESSAGE_INTENT ||
			    in_transit[i].message->kind == JJ_MESSAGE_CALL ||
			    in_transit[i].message->kind == JJ_MESSAGE_RESOLVE)
				events.push_back({REPEAT, i, 0});
		}
		for (int i = 0; i < VMS; i++)
			EnabledAt(i, &events);
		if (!open.empty()) {
			events.push_back({END_DONE, 0, 0});
			events.push_back({END_NOT_RUN, 0, 0});
		}
		return events;
	}

	void
	EnabledAt(int i, std::vector<Event> *events)
	{
		if (!vms[i]->platform.empty()) {
			events->push_back({PLATFORM_OK, i, 0});
			events->push_back({PLATFORM_ANSWER_LOST, i, 0});
			events->push_back({PLATFORM_REFUSED, i, 0});
			events->push_back({PLATFORM_NOT_DONE, i, 0});
		}
		events->push_back({TICK, i, 0});
		for (int j = 0; j < VMS; j++)
			if (j != i && !vms[i]->silenced[j])
				events->push_back({SUSPECT, i, j});
		if (std::count(vms[i]->silenced.begin(), vms[i]->silenced.end(),
			true) > 0)
			events->push_back({HEARTBEATS_FROM_ALL, i, 0});
		if (calls < CALLS_MAX) {
			events->push_back({CALL, i, 0});
			events->push_back({CALL_FORWARDED, (i + 1) % VMS, i});
		}
		if (!replaced[i])
			events->push_back({REPLACE, i, 0});
	}

	void
	Do(const Event &event)
	{
		Vm &vm = *vms[event.a < VMS ? event.a : 0];

		switch (event.kind) {
		case DELIVER:
		case REPEAT:
			Deliver(event.a, event.kind == REPEAT);
			break;
		case DROP:
			in_transit.erase(in_transit.begin() + event.a);
			break;
		case PLATFORM_OK:
			AnswerPlatform(event.a, JJ_PLATFORM_OK);
			break;
		case PLATFORM_ANSWER_LOST:
			AnswerPlatform(event.a, JJ_PLATFORM_UNKNOWN);
			break;
		case PLATFORM_REFUSED:
			AnswerPlatform(event.a, JJ_PLATFORM_DOWN);
			break;
		case PLATFORM_NOT_DONE:
			AnswerPlatform(event.a, JJ_PLATFORM_UNKNOWN, false);
			break;
		case TICK:
			now += 500;
			Tick(event.a);
			break;
		case SUSPECT:
			/*
			 * This VM sees no heartbeats of the other for long;
			 * messages still arrive, as they may have been in
			 * transit.
			 */
			vm.silenced[event.b] = true;
			vm.last_heartbeat[event.b] = now - 10 * TAKEOVER_MS;
			Wake(event.a);
			break;
		case HEARTBEATS_FROM_ALL:
			vm.silenced.assign(VMS, false);
			break;
		case CALL:
			calls++;
			Call(event.a, KEY);
			break;
		case CALL_FORWARDED:
			calls++;
			PostCall(event.b, event.a);
			break;
		case END_DONE:
			End(JJ_CALL_DONE);
			break;
		case END_NOT_RUN:
			not_sent.insert(open.front().call);
			End(JJ_CALL_NOT_RUN);
			break;
		case REPLACE:
			replaced[event.a] = true;
			Start(event.a);
			answers_seen[event.a] = vm.answers.size();
			Wake(event.a);
			break;
		}
		SettleAnswers();
	}

	/** Runs the periodic work of a VM as if it had run all the time. */
	void
	Wake(int i)
	{
		jj_ledger_t *ledger = vms[i]->ledger;

		now += 300;
		ledger->started_ms = now - 3 * TAKEOVER_MS;
		ledger->last_tick = now;
		Tick(i);
	}

	void
	PostCall(int from, int to)
	{
		Message queued = {from, to,
		    Own(static_cast<jj_message_t *>(
			jj_alloc(sizeof(jj_message_t))))};

		queued.message->kind = JJ_MESSAGE_CALL;
		queued.message->from = vms[from]->name;
		queued.message->incarnation = vms[from]->incarnation;
		queued.message->body.call.call = next_call++;
		queued.message->body.call.key = {KEY, KEY + 1};
		queued.message->body.call.fingerprint = 7;
		queued.message->body.call.budget_ms = 10000;
		in_transit.push_back(queued);
	}

	void
	DeliverAll()
	{
		while (!in_transit.empty())
			Deliver(0);
	}

	/**
	 * Delivers answers at once: they change no ledger, so their order does
	 * not matter.
	 */
	void
	SettleAnswers()
	{
		for (size_t i = 0; i < in_transit.size();) {
			if (in_transit[i].message->kind ==
			    JJ_MESSAGE_CALL_ANSWER)
				Deliver(i);
			else
				i++;
		}
	}

	/** The first violated invariant, or empty. */
	std::string
	Check()
	{
		size_t sent = 0;

		for (; runs_seen < runs.size(); runs_seen++)
			if (refused.count(runs[runs_seen].call))
				return "ran a call answered as not run";
		for (auto &run : runs)
			sent += run.low == KEY && !not_sent.count(run.call);
		if (sent > 1)
			return "ran twice";
		for (int i = 0; i < VMS; i++)
			for (auto &answers = vms[i]->answers;
			     answers_seen[i] < answers.size();) {
				auto &answer = answers[answers_seen[i]++];
				if (answer.outcome == JJ_CALL_NOT_RUN &&
				    sent > 0)
					return "answered not run, but it ran";
				if (answer.outcome == JJ_CALL_NOT_RUN ||
				    answer.outcome == JJ_CALL_NO_HISTORY)
					refused.insert(answer.call);
			}
		return "";
	}

	/**
	 * Digest of the relevant state, to skip states that were seen before.
	 */
	size_t
	Digest()
	{
		std::ostringstream text;

		text << version << '|' << calls << '|' << runs.size() << '|'
		     << open.size() << '|' << refused.size() << '|';
		for (auto &vm : vms) {
			jj_ledger_t *ledger = vm->ledger;
			const auto &state = ledger->slot_states[KEY];
			const auto &slot = ledger->table.slots[KEY];
			jj_hash_t key = {KEY, KEY + 1};
			const auto *entry =
			    jj_ledger_records_find(ledger->records, &key, now);

			text << ledger->table.version << slot.epoch
			     << slot.home.name.text << slot.witness.name.text
			     << state.complete << state.synced << state.unknown
			     << state.sync_part << ledger->in_flight
			     << ledger->op << ledger->needs_read
			     << replaced[vm->index] << ledger->next_attempt
			     << ledger->proposed.slots[KEY].epoch
			     << ledger->proposed.slots[KEY].home.name.text;
			if (entry != nullptr)
				text << entry->state << entry->attempt
				     << (entry->run != 0);
			for (bool silent : vm->silenced)
				text << silent;
			text << '/';
		}
		for (auto &queued : in_transit) {
			const auto &body = queued.message->body;

			text << queued.from << queued.to << queued.message->kind
			     << queued.message->incarnation;
			if (queued.message->kind == JJ_MESSAGE_INTENT)
				text << body.intent.epoch << '.'
				     << body.intent.record.attempt;
			else if (queued.message->kind == JJ_MESSAGE_RESOLVE)
				text << body.resolve.epoch << '.'
				     << body.resolve.removed
				     << body.resolve.record.attempt;
			else if (queued.message->kind == JJ_MESSAGE_INTENT_ACK)
				text << body.intent_ack.epoch << '.'
				     << body.intent_ack.attempt
				     << body.intent_ack.accepted;
			else if (queued.message->kind == JJ_MESSAGE_SYNC)
				text << body.sync.epoch;
		}
		return std::hash<std::string>()(text.str());
	}
};

std::string
Describe(const std::vector<Event> &events)
{
	static const char *names[] = {"deliver", "drop", "repeat",
	    "platform-ok", "platform-answer-lost", "platform-refused",
	    "platform-not-done", "tick", "suspect", "hear-all", "call",
	    "call-forwarded", "end-done", "end-not-run", "replace"};
	std::ostringstream text;

	for (auto &event : events)
		text << names[event.kind] << '(' << event.a << ',' << event.b
		     << ") ";
	return text.str();
}

/** A named start state of the search, in which a failure has begun. */
struct Start {
	const char *name;
	void (*make)(Model &);
};

/** Makes VM @p i home without a witness, as it suspects all others. */
void
BecomeHomeWithoutWitness(Model &m, int i)
{
	for (int j = 0; j < VMS; j++)
		if (j != i && !m.vms[i]->silenced[j])
			m.Do({SUSPECT, i, j});
	while (!m.vms[i]->platform.empty())
		m.Do({PLATFORM_OK, i, 0});
	m.Do({TICK, i, 0});
}

/** Books the order at its home; the witness gets the outcome. */
void
Book(Model &m, int home)
{
	m.Do({CALL, home, 0});
	m.DeliverAll();
	m.Do({END_DONE, 0, 0});
	m.DeliverAll();
}

/** The home abandons an attempt whose acknowledgement is late. */
void
LoseOneAttempt(Model &m)
{
	m.Do({CALL, m.home, 0});
	m.Do({DELIVER, 0, 0});
	for (int i = 0; i < 3; i++)
		m.Do({TICK, m.home, 0});
}

/** The witness is about to take over, and suspects all others. */
void
BeginTakeover(Model &m)
{
	int third = VMS - m.home - m.witness;

	m.Do({SUSPECT, m.witness, third});
	while (!m.vms[m.witness]->platform.empty())
		m.Do({PLATFORM_OK, m.witness, 0});
	m.Do({SUSPECT, m.witness, m.home});
}

const Start starts[] = {
    {"quiet", [](Model &) {}},
    {"intent sent",
	[](Model &m) {
		m.Do({CALL, m.home, 0});
	}},
    {"acknowledged",
	[](Model &m) {
		m.Do({CALL, m.home, 0});
		m.Do({DELIVER, 0, 0});
	}},
    {"running",
	[](Model &m) {
		m.Do({CALL, m.home, 0});
		m.DeliverAll();
	}},
    {"takeover begun while running",
	[](Model &m) {
		m.Do({CALL, m.home, 0});
		m.DeliverAll();
		BeginTakeover(m);
	}},
    {"takeover begun before the intent",
	[](Model &m) {
		m.Do({CALL, m.home, 0});
		BeginTakeover(m);
	}},
    {"late acknowledgement",
	[](Model &m) {
		LoseOneAttempt(m);
		m.Do({DELIVER, 1, 0});
		m.Do({CALL, m.home, 0});
		BeginTakeover(m);
	}},
    {"late resolve",
	[](Model &m) {
		LoseOneAttempt(m);
		m.Do({CALL, m.home, 0});
		m.Do({DELIVER, (int)m.in_transit.size() - 1, 0});
		m.Do({DELIVER, (int)m.in_transit.size() - 1, 0});
		BeginTakeover(m);
	}},
    {"deposed twice",
	[](Model &m) {
		int third = VMS - m.home - m.witness;
		m.vms[m.home]->frozen = true;
		m.Do({SUSPECT, m.witness, m.home});
		m.Do({PLATFORM_OK, m.witness, 0});
		m.DeliverAll();
		BecomeHomeWithoutWitness(m, third);
		m.DeliverAll();
		m.vms[m.home]->frozen = false;
		m.Do({CALL, third, 0});
	}},
    {"passed over",
	[](Model &m) {
		int third = VMS - m.home - m.witness;
		m.vms[m.home]->frozen = true;
		m.Do({SUSPECT, m.witness, m.home});
		m.Do({PLATFORM_OK, m.witness, 0});
		m.DeliverAll();
		Book(m, m.witness);
		m.Do({SUSPECT, third, m.witness});
		m.vms[m.home]->frozen = false;
		m.Do({PLATFORM_OK, third, 0});
		m.Do({SUSPECT, m.home, m.witness});
		while (!m.vms[m.home]->platform.empty())
			m.Do({PLATFORM_OK, m.home, 0});
	}},
    {"booked, new witness not synced",
	[](Model &m) {
		int third = VMS - m.home - m.witness;
		Book(m, m.home);
		m.Do({SUSPECT, third, m.witness});
		m.Do({SUSPECT, m.home, m.witness});
		m.Do({PLATFORM_OK, m.home, 0});
		m.Do({TICK, third, 0});
		m.Do({PLATFORM_OK, third, 0});
	}},
    {"both replaced",
	[](Model &m) {
		Book(m, m.home);
		m.Do({REPLACE, m.home, 0});
		m.Do({REPLACE, m.witness, 0});
		for (int round = 0; round < 3; round++)
			for (int i = 0; i < VMS; i++) {
				m.Wake(i);
				while (!m.vms[i]->platform.empty())
					m.Do({PLATFORM_OK, i, 0});
				m.DeliverAll();
			}
	}},
};

class LedgerModel : public testing::TestWithParam<Start>
{
};

/*
 * Tries each sequence of events up to a depth, skipping states seen before;
 * JUJUBE_MODEL_SEQUENCES sets how many are tried from each start.
 */
TEST_P(LedgerModel, AllShortSequences)
{
	constexpr size_t DEPTH = 3;
	const char *setting = getenv("JUJUBE_MODEL_SEQUENCES");
	const size_t max_tried =
	    setting != nullptr ? strtoul(setting, nullptr, 10) : 600;
	std::vector<std::vector<Event>> level = {{}};
	std::unordered_set<size_t> seen;
	size_t tried = 0;
	size_t complete_depth = 0;

	for (size_t depth = 0; depth <= DEPTH && tried < max_tried; depth++) {
		std::vector<std::vector<Event>> next;
		for (auto &sequence : level) {
			Model model;
			std::string broken;
			if (tried >= max_tried)
				break;
			tried++;
			GetParam().make(model);
			for (auto &event : sequence) {
				model.Do(event);
				broken = model.Check();
				ASSERT_EQ(broken, "") << Describe(sequence);
			}
			if (!seen.insert(model.Digest()).second)
				continue;
			for (auto &event : model.Enabled()) {
				next.push_back(sequence);
				next.back().push_back(event);
			}
		}
		level = std::move(next);
		if (tried < max_tried)
			complete_depth = depth;
	}
	printf("start=\"%s\" sequences=%zu states=%zu whole-depth=%zu\n",
	    GetParam().name, tried, seen.size(), complete_depth);
}

/** Relative frequency of an event; faults are rarer than progress. */
int
Weight(const Event &event)
{
	switch (event.kind) {
	case DELIVER:
	case PLATFORM_OK:
	case CALL:
		return 12;
	case TICK:
	case HEARTBEATS_FROM_ALL:
	case CALL_FORWARDED:
	case SUSPECT:
	case END_DONE:
		return 4;
	case REPLACE:
		return 1;
	default:
		return 2;
	}
}

/** The VM at which an event happens, or -1. */
int
VmOf(const Model &model, const Event &event)
{
	switch (event.kind) {
	case DELIVER:
	case DROP:
	case REPEAT:
		return model.in_transit[event.a].to;
	case CALL_FORWARDED:
		return event.b;
	case END_DONE:
	case END_NOT_RUN:
		return model.open.front().vm;
	default:
		return event.a;
	}
}

Event
Draw(Model &model, int frozen, std::mt19937 &random)
{
	std::vector<Event> events = model.Enabled(model.in_transit.size());
	int total = 0;

	for (auto &event : events)
		if (VmOf(model, event) != frozen)
			total += Weight(event);
	int drawn = (int)(random() % (unsigned)total);
	for (auto &event : events) {
		if (VmOf(model, event) == frozen)
			continue;
		drawn -= Weight(event);
		if (drawn < 0)
			return event;
	}
	return events.back();
}

/*
 * Long random sequences with fixed seeds. In each section of a walk one VM may
 * be frozen: no event happens at it, and its messages arrive late.
 */
TEST_P(LedgerModel, LongSequences)
{
	const char *setting = getenv("JUJUBE_MODEL_WALKS");
	const unsigned seeds =
	    setting != nullptr ? (unsigned)strtoul(setting, nullptr, 10) : 100;
	constexpr size_t STEPS = 80;
	constexpr size_t SECTION_STEPS = 20;
	size_t ran = 0;

	for (unsigned seed = 0; seed < seeds; seed++) {
		Model model;
		std::mt19937 random(seed);
		std::vector<Event> done;
		int frozen = -1;
		GetParam().make(model);
		for (size_t step = 0; step < STEPS; step++) {
			if (step % SECTION_STEPS == 0)
				frozen = (int)(random() % (VMS + 1)) - 1;
			done.push_back(Draw(model, frozen, random));
			model.Do(done.back());
			std::string broken = model.Check();
			ASSERT_EQ(broken, "")
			    << "seed " << seed << ": " << Describe(done);
		}
		ran += !model.runs.empty();
	}
	printf("start=\"%s\" walks=%u steps=%zu walks-with-a-run=%zu\n",
	    GetParam().name, seeds, STEPS, ran);
}

INSTANTIATE_TEST_SUITE_P(
    Starts, LedgerModel, testing::ValuesIn(starts), [](const auto &info) {
	    std::string name;
	    for (const char *c = info.param.name; *c; c++)
		    if (isalnum(*c))
			    name += *c;
	    return name;
    });

} // namespace
