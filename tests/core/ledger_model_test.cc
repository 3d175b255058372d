/**
 * @file ledger_model_test.cc
 * @brief At most once under many interleavings of three real ledgers.
 *
 * A driver sends one order under one key, and again through other VMs, while
 * messages are delivered, lost, repeated and reordered, platform writes lose
 * their answers, VMs take each other for dead (wrongly too) and are
 * replaced. In some order of these the order could be booked twice, or the
 * driver be told "not run" of a booked one. After each step it is checked
 * that neither has happened. VMs that get no event are frozen ones.
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
constexpr size_t MAIL_CHOICES = 6;

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
	HEAR_ALL,
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

/** The world with what the events need, and the invariants. */
struct Model : World {
	int home;
	int witness;
	std::set<uint64_t> refused; /**< calls told that they did not run */
	std::set<uint64_t> not_sent; /**< runs that ended without sending */
	size_t answers_seen[VMS] = {};
	size_t runs_seen = 0;
	size_t calls = 0;
	bool replaced[VMS] = {};

	Model() : World(VMS)
	{
		static World first(VMS);
		static const jj_ledger_table_t table = FirstTable(first);

		silence_drops_mail = false;
		value = first.value;
		version = first.version;
		for (int vm = 0; vm < VMS; vm++)
			Adopt(vm, table);
		Settle();
		home = Find(table.slots[KEY].home.name);
		witness = Find(table.slots[KEY].witness.name);
	}

	/**
	 * Incarnations count from the same number in each world. The other
	 * slots belong to nobody here, so that no time goes into them.
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

	/** Spares reading JSON at the start of each sequence. */
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
	Enabled(size_t letters_max = MAIL_CHOICES)
	{
		std::vector<Event> events;
		int letters = (int)std::min(mail.size(), letters_max);

		for (int i = 0; i < letters; i++) {
			events.push_back({DELIVER, i, 0});
			events.push_back({DROP, i, 0});
			if (mail[i].message->kind == JJ_MESSAGE_INTENT ||
			    mail[i].message->kind == JJ_MESSAGE_CALL ||
			    mail[i].message->kind == JJ_MESSAGE_RESOLVE)
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
			events->push_back({HEAR_ALL, i, 0});
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
			mail.erase(mail.begin() + event.a);
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
			/* Long silence, as this VM sees it; mail still comes:
			 * it may have been under way. */
			vm.silenced[event.b] = true;
			vm.heard[event.b] = now - 10 * TAKEOVER_MS;
			Wake(event.a);
			break;
		case HEAR_ALL:
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

	/** Lets a VM do its duties as if it had run all the time. */
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
		Mail letter = {from, to,
		    Own(static_cast<jj_message_t *>(
			jj_alloc(sizeof(jj_message_t))))};

		letter.message->kind = JJ_MESSAGE_CALL;
		letter.message->from = vms[from]->name;
		letter.message->incarnation = vms[from]->incarnation;
		letter.message->body.call.call = next_call++;
		letter.message->body.call.key = {KEY, KEY + 1};
		letter.message->body.call.fingerprint = 7;
		letter.message->body.call.budget_ms = 10000;
		mail.push_back(letter);
	}

	void
	DeliverAll()
	{
		while (!mail.empty())
			Deliver(0);
	}

	/** Answers change no ledger: they need no choice. */
	void
	SettleAnswers()
	{
		for (size_t i = 0; i < mail.size();) {
			if (mail[i].message->kind == JJ_MESSAGE_CALL_ANSWER)
				Deliver(i);
			else
				i++;
		}
	}

	/** The first broken invariant, or empty. */
	std::string
	Check()
	{
		size_t sent = 0;

		for (; runs_seen < runs.size(); runs_seen++)
			if (refused.count(runs[runs_seen].call))
				return "ran a call that was told not run";
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
					return "told not run, but it ran";
				if (answer.outcome == JJ_CALL_NOT_RUN ||
				    answer.outcome == JJ_CALL_NO_HISTORY)
					refused.insert(answer.call);
			}
		return "";
	}

	/** What matters of the state, for leaving out what was seen. */
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
		for (auto &letter : mail) {
			const auto &body = letter.message->body;

			text << letter.from << letter.to << letter.message->kind
			     << letter.message->incarnation;
			if (letter.message->kind == JJ_MESSAGE_INTENT)
				text << body.intent.epoch << '.'
				     << body.intent.record.attempt;
			else if (letter.message->kind == JJ_MESSAGE_RESOLVE)
				text << body.resolve.epoch << '.'
				     << body.resolve.removed
				     << body.resolve.record.attempt;
			else if (letter.message->kind == JJ_MESSAGE_INTENT_ACK)
				text << body.intent_ack.epoch << '.'
				     << body.intent_ack.attempt
				     << body.intent_ack.accepted;
			else if (letter.message->kind == JJ_MESSAGE_SYNC)
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

/** Where the search starts from: named beginnings of trouble. */
struct Start {
	const char *name;
	void (*make)(Model &);
};

/** A new home without a witness, as VM @p i takes all others for dead. */
void
GoAlone(Model &m, int i)
{
	for (int j = 0; j < VMS; j++)
		if (j != i && !m.vms[i]->silenced[j])
			m.Do({SUSPECT, i, j});
	while (!m.vms[i]->platform.empty())
		m.Do({PLATFORM_OK, i, 0});
	m.Do({TICK, i, 0});
}

/** Books the order at its home; the witness knows it. */
void
Book(Model &m, int home)
{
	m.Do({CALL, home, 0});
	m.DeliverAll();
	m.Do({END_DONE, 0, 0});
	m.DeliverAll();
}

/** The home gives up an attempt whose acknowledgement is late. */
void
LoseOneAttempt(Model &m)
{
	m.Do({CALL, m.home, 0});
	m.Do({DELIVER, 0, 0});
	for (int i = 0; i < 3; i++)
		m.Do({TICK, m.home, 0});
}

/** The witness is about to take over, and sees nobody else. */
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
		m.Do({DELIVER, (int)m.mail.size() - 1, 0});
		m.Do({DELIVER, (int)m.mail.size() - 1, 0});
		BeginTakeover(m);
	}},
    {"deposed twice",
	[](Model &m) {
		int third = VMS - m.home - m.witness;
		m.vms[m.home]->frozen = true;
		m.Do({SUSPECT, m.witness, m.home});
		m.Do({PLATFORM_OK, m.witness, 0});
		m.DeliverAll();
		GoAlone(m, third);
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
 * Each sequence of events up to a depth, states seen before left out;
 * JUJUBE_MODEL_SEQUENCES sets how many are tried from each start.
 */
TEST_P(LedgerModel, AllShortSequences)
{
	constexpr size_t DEPTH = 3;
	const char *wider = getenv("JUJUBE_MODEL_SEQUENCES");
	const size_t most =
	    wider != nullptr ? strtoul(wider, nullptr, 10) : 600;
	std::vector<std::vector<Event>> level = {{}};
	std::unordered_set<size_t> seen;
	size_t tried = 0;
	size_t whole = 0;

	for (size_t depth = 0; depth <= DEPTH && tried < most; depth++) {
		std::vector<std::vector<Event>> next;
		for (auto &sequence : level) {
			Model model;
			std::string broken;
			if (tried >= most)
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
		if (tried < most)
			whole = depth;
	}
	printf("start=\"%s\" sequences=%zu states=%zu whole-depth=%zu\n",
	    GetParam().name, tried, seen.size(), whole);
}

/** How often an event is drawn; faults are rarer than getting on. */
int
Weight(const Event &event)
{
	switch (event.kind) {
	case DELIVER:
	case PLATFORM_OK:
	case CALL:
		return 12;
	case TICK:
	case HEAR_ALL:
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

/** The VM that an event happens at, or -1. */
int
Place(const Model &model, const Event &event)
{
	switch (event.kind) {
	case DELIVER:
	case DROP:
	case REPEAT:
		return model.mail[event.a].to;
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
	std::vector<Event> events = model.Enabled(model.mail.size());
	int total = 0;

	for (auto &event : events)
		if (Place(model, event) != frozen)
			total += Weight(event);
	int drawn = (int)(random() % (unsigned)total);
	for (auto &event : events) {
		if (Place(model, event) == frozen)
			continue;
		drawn -= Weight(event);
		if (drawn < 0)
			return event;
	}
	return events.back();
}

/*
 * Long sequences by fixed seeds. In each stretch of a walk one VM may be
 * frozen: nothing happens at it, its mail waits and comes late.
 */
TEST_P(LedgerModel, LongSequences)
{
	const char *wider = getenv("JUJUBE_MODEL_WALKS");
	const unsigned seeds =
	    wider != nullptr ? (unsigned)strtoul(wider, nullptr, 10) : 100;
	constexpr size_t STEPS = 80;
	constexpr size_t STRETCH = 20;
	size_t ran = 0;

	for (unsigned seed = 0; seed < seeds; seed++) {
		Model model;
		std::mt19937 random(seed);
		std::vector<Event> done;
		int frozen = -1;
		GetParam().make(model);
		for (size_t step = 0; step < STEPS; step++) {
			if (step % STRETCH == 0)
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
