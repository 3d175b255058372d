/**
 * @file wire_test.cc
 * @brief Round trip of each kind of message; decoding of malformed bytes.
 */
#include <cstdlib>
#include <cstring>
#include <string>
#include <vector>

#include <gtest/gtest.h>

extern "C" {
#include "adapters/wire.h"
}

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
#define MEASURES_MALLOC 0
#else
#define MEASURES_MALLOC 1
#endif

static size_t largest_malloc;

#if MEASURES_MALLOC
extern "C" void *__libc_malloc(size_t);
/* Replaces the C library's malloc to record the largest allocation. */
extern "C" void *
malloc(size_t size)
{
	if (size > largest_malloc)
		largest_malloc = size;
	return __libc_malloc(size);
}
#endif

static jj_message_t
make_message(jj_message_kind_t kind)
{
	jj_message_t message = {};

	message.kind = kind;
	jj_name_set(&message.from, "verona-1");
	message.incarnation = UINT64_MAX;
	message.sequence = 1;
	return message;
}

static jj_record_t
make_record(size_t answer)
{
	jj_record_t record = {};

	record.key = {1, UINT64_MAX};
	record.fingerprint = 3;
	record.attempt = UINT32_MAX;
	record.state = JJ_RECORD_UNKNOWN;
	record.age_ms = INT64_MAX;
	record.status = -1;
	std::string text(answer, 'a');
	record.answer = jj_bytes_copy(text.data(), text.size());
	return record;
}

static void
fill_loads(jj_load_t *loads, uint32_t *count, uint32_t max)
{
	*count = max;
	for (uint32_t i = 0; i < *count; i++) {
		loads[i].server = UINT64_MAX - i;
		loads[i].online = i;
		loads[i].batch = UINT32_MAX;
		loads[i].suspects = 1;
	}
}

struct KindCase {
	const char *name;
	jj_message_kind_t kind;
	void (*fill)(jj_message_t *);
};

static const KindCase kind_cases[] = {
    {"Heartbeat", JJ_MESSAGE_HEARTBEAT,
	[](jj_message_t *m) {
		auto &beat = m->body.heartbeat;

		beat.state = JJ_VM_LEAVING;
		jj_name_set(&beat.domain, "sala-verona");
		jj_name_set(&beat.failure_domain, "verona");
		strcpy(beat.address, "10.0.1.11:7400");
		beat.config_version = UINT64_MAX;
		beat.slots_version = 7;
		beat.ack_sequence = 8;
		beat.loads = static_cast<jj_load_t *>(
		    jj_alloc(JJ_HEARTBEAT_LOADS_MAX * sizeof(jj_load_t)));
		fill_loads(
		    beat.loads, &beat.load_count, JJ_HEARTBEAT_LOADS_MAX);
	}},
    {"EmptyHeartbeat", JJ_MESSAGE_HEARTBEAT, [](jj_message_t *) {}},
    {"Probe", JJ_MESSAGE_PROBE,
	[](jj_message_t *m) { m->body.nonce = UINT64_MAX; }},
    {"ProbeEcho", JJ_MESSAGE_PROBE_ECHO,
	[](jj_message_t *m) { m->body.nonce = 0; }},
    {"ConfigAsk", JJ_MESSAGE_CONFIG_REQUEST,
	[](jj_message_t *m) { m->body.config.version = 4; }},
    {"Config", JJ_MESSAGE_CONFIG,
	[](jj_message_t *m) {
		std::string document(JJ_OBJECT_VALUE_MAX, '\0');

		m->body.config.document =
		    jj_bytes_copy(document.data(), document.size());
	}},
    {"Load", JJ_MESSAGE_LOAD,
	[](jj_message_t *m) {
		fill_loads(m->body.load.loads, &m->body.load.count,
		    JJ_MESSAGE_LOADS_MAX);
	}},
    {"Call", JJ_MESSAGE_CALL,
	[](jj_message_t *m) {
		auto &call = m->body.call;
		std::string body(4 * 1048576, 'b');

		call.call = 1;
		call.slot = 63;
		call.epoch = 9;
		call.key = {5, 6};
		call.budget_ms = -1;
		jj_name_set(&call.service, "servizio-ordini");
		call.path = jj_bytes_from_text("/v1/ordini");
		call.body = jj_bytes_copy(body.data(), body.size());
		memset(call.trace, 't', sizeof(call.trace) - 1);
		memset(call.key_text, 'k', JJ_IDEMPOTENCY_KEY_MAX);
	}},
    {"CallAnswer", JJ_MESSAGE_CALL_ANSWER,
	[](jj_message_t *m) {
		m->body.call_answer.outcome = JJ_CALL_NO_HISTORY;
		m->body.call_answer.status = INT32_MIN;
		m->body.call_answer.retry_after_ms = INT64_MIN;
		m->body.call_answer.body = jj_bytes_from_text("{}");
	}},
    {"Intent", JJ_MESSAGE_INTENT,
	[](jj_message_t *m) { m->body.intent.record = make_record(0); }},
    {"IntentAck", JJ_MESSAGE_INTENT_ACK,
	[](jj_message_t *m) { m->body.intent_ack.accepted = true; }},
    {"Resolve", JJ_MESSAGE_RESOLVE,
	[](jj_message_t *m) {
		m->body.resolve.removed = true;
		m->body.resolve.record = make_record(8192);
	}},
    {"Sync", JJ_MESSAGE_SYNC,
	[](jj_message_t *m) {
		auto &sync = m->body.sync;

		sync.last = true;
		sync.history_unknown = true;
		sync.unknown_age_ms = 1;
		sync.record_count = JJ_MESSAGE_RECORDS_MAX;
		sync.records = static_cast<jj_record_t *>(
		    jj_alloc(sync.record_count * sizeof(jj_record_t)));
		for (uint32_t i = 0; i < sync.record_count; i++)
			sync.records[i] = make_record(8192);
	}},
    {"EmptySync", JJ_MESSAGE_SYNC, [](jj_message_t *) {}},
    {"SyncAck", JJ_MESSAGE_SYNC_ACK,
	[](jj_message_t *m) { m->body.sync_ack.part = 2; }},
    {"Slots", JJ_MESSAGE_SLOTS,
	[](jj_message_t *m) {
		m->body.slots.table = jj_bytes_from_text("{\"slots\":[]}");
	}},
    {"Crash", JJ_MESSAGE_CRASH,
	[](jj_message_t *m) {
		auto &crash = m->body.crash;

		jj_name_set(&crash.server, "ordini-3");
		crash.suspect_count = JJ_MESSAGE_SUSPECTS_MAX;
		for (uint32_t i = 0; i < crash.suspect_count; i++)
			crash.suspects[i] = UINT64_MAX - i;
	}},
    {"ServerState", JJ_MESSAGE_SERVER_STATE,
	[](jj_message_t *m) { m->body.server.state = JJ_SERVER_DOWN; }},
    {"Jobs", JJ_MESSAGE_JOBS,
	[](jj_message_t *m) {
		m->body.jobs.revision = 5;
		m->body.jobs.events = jj_bytes_from_text("[]");
	}},
    {"Relay", JJ_MESSAGE_RELAY,
	[](jj_message_t *m) {
		m->body.relay.watch = 2;
		m->body.relay.from = 7;
		m->body.relay.to = UINT64_MAX;
		m->body.relay.events = jj_bytes_from_text("[{\"key\":\"a\"}]");
	}},
    {"JobStates", JJ_MESSAGE_JOB_STATES,
	[](jj_message_t *m) {
		m->body.job_states.count = JJ_MESSAGE_JOB_STATES_MAX;
		for (uint32_t i = 0; i < m->body.job_states.count; i++)
			m->body.job_states.states[i] = {
			    UINT64_MAX - i, i, UINT64_MAX, i + 1, i};
	}},
    {"Struck", JJ_MESSAGE_CRASH_HISTORY,
	[](jj_message_t *m) {
		m->body.struck.asks = true;
		m->body.struck.count = JJ_MESSAGE_CRASH_HISTORY_MAX;
		for (uint32_t i = 0; i < m->body.struck.count; i++)
			m->body.struck.entries[i] = {UINT64_MAX - i, i,
			    JJ_MESSAGE_CRASHES_MAX,
			    {UINT64_MAX, i, i + 1, i + 2}};
	}},
    {"Lend", JJ_MESSAGE_BORROW,
	[](jj_message_t *m) {
		m->body.lend.number = UINT64_MAX;
		m->body.lend.op = JJ_PLATFORM_DELETE;
		memset(m->body.lend.key, 'k', JJ_OBJECT_KEY_MAX);
		m->body.lend.version = 7;
		m->body.lend.value = jj_bytes_from_text("{}");
	}},
    {"Lent", JJ_MESSAGE_BORROW_RESULT,
	[](jj_message_t *m) {
		m->body.lent.number = UINT64_MAX;
		m->body.lent.outcome = JJ_PLATFORM_UNKNOWN;
		m->body.lent.version = UINT64_MAX;
		m->body.lent.retry_after_ms = 250;
		m->body.lent.value = jj_bytes_from_text("{}");
	}},
    {"JobRead", JJ_MESSAGE_JOB_READ,
	[](jj_message_t *m) {
		m->body.job_page.operation = UINT64_MAX;
		memset(m->body.job_page.job, 'j', JJ_MESSAGE_JOB_ID_SIZE - 1);
		m->body.job_page.after = UINT32_MAX;
	}},
    {"JobItemRead", JJ_MESSAGE_JOB_READ,
	[](jj_message_t *m) {
		memset(m->body.job_page.job, 'j', JJ_MESSAGE_JOB_ID_SIZE - 1);
		memset(m->body.job_page.item, 'i', JJ_MESSAGE_ITEM_ID_SIZE - 1);
	}},
    {"JobPage", JJ_MESSAGE_JOB_PAGE,
	[](jj_message_t *m) {
		m->body.job_page.operation = 1;
		m->body.job_page.total = UINT32_MAX;
		memset(m->body.job_page.job, 'j', JJ_MESSAGE_JOB_ID_SIZE - 1);
		m->body.job_page.page = jj_bytes_from_text("{\"total\":1}");
	}},
    {"TeamUse", JJ_MESSAGE_TEAM_USE,
	[](jj_message_t *m) {
		m->body.team_use.count = JJ_MESSAGE_TEAMS_MAX;
		for (uint32_t i = 0; i < m->body.team_use.count; i++)
			m->body.team_use.uses[i] = {UINT64_MAX - i, i,
			    UINT32_MAX, i, i + 1, JJ_TEAM_SHARE_UNIT, true};
	}},
    {"StreamOrigins", JJ_MESSAGE_STREAM_ORIGINS,
	[](jj_message_t *m) {
		m->body.origins.count = JJ_MESSAGE_ORIGINS_MAX;
		for (uint32_t i = 0; i < m->body.origins.count; i++)
			m->body.origins.origins[i] = {
			    UINT64_MAX - i, i, UINT64_MAX, 1000 + i};
	}},
    {"OriginQuery", JJ_MESSAGE_ORIGIN_QUERY,
	[](jj_message_t *m) {
		m->body.origin_query.request = 1;
		m->body.origin_query.id = UINT64_MAX;
		m->body.origin_query.content = 2;
		jj_name_set(&m->body.origin_query.service, "ordini");
		m->body.origin_query.stream_ms = 60000;
	}},
    {"OriginReply", JJ_MESSAGE_ORIGIN_REPLY,
	[](jj_message_t *m) {
		m->body.origin_reply.request = 1;
		m->body.origin_reply.software = UINT64_MAX;
		m->body.origin_reply.sole = 3;
		m->body.origin_reply.sole_is_sure = true;
		m->body.origin_reply.remembers_all = true;
	}},
    {"Unanswered", JJ_MESSAGE_UNANSWERED,
	[](jj_message_t *m) {
		jj_name_set(&m->body.unanswered.server, "ordini-3");
		m->body.unanswered.boot = UINT64_MAX;
		m->body.unanswered.silent = true;
		m->body.unanswered.fingerprint = 1;
	}},
    {"UnansweredParts", JJ_MESSAGE_UNANSWERED_PARTS,
	[](jj_message_t *m) {
		m->body.unanswered_parts.boot = UINT64_MAX;
		m->body.unanswered_parts.fingerprint = 1;
		m->body.unanswered_parts.count = JJ_UNANSWERED_PARTS_MAX;
		for (uint32_t i = 0; i < JJ_UNANSWERED_PARTS_MAX; i++)
			m->body.unanswered_parts.parts[i] = UINT64_MAX - i;
	}},
    {"PartCrashes", JJ_MESSAGE_PART_CRASHES,
	[](jj_message_t *m) {
		m->body.part_crashes.count = JJ_MESSAGE_PARTS_MAX;
		for (uint32_t i = 0; i < JJ_MESSAGE_PARTS_MAX; i++) {
			m->body.part_crashes.entries[i] = {
			    UINT64_MAX - i, i, 3, 2, {i, UINT64_MAX}};
		}
	}},
    {"PartsCompleted", JJ_MESSAGE_PARTS_COMPLETED,
	[](jj_message_t *m) {
		m->body.parts_completed.count = JJ_MESSAGE_PARTS_MAX;
		for (uint32_t i = 0; i < JJ_MESSAGE_PARTS_MAX; i++)
			m->body.parts_completed.parts[i] = UINT64_MAX - i;
	}},
    {"ServerOutcomes", JJ_MESSAGE_SERVER_OUTCOMES,
	[](jj_message_t *m) {
		m->body.outcomes.count = JJ_MESSAGE_OUTCOMES_MAX;
		for (uint32_t i = 0; i < JJ_MESSAGE_OUTCOMES_MAX; i++)
			m->body.outcomes.servers[i] = {UINT64_MAX - i, i, true,
			    i % 2 == 0, 2, {UINT64_MAX, i}};
	}},
    {"TeamGrant", JJ_MESSAGE_TEAM_GRANT,
	[](jj_message_t *m) {
		m->body.team_grant.count = JJ_MESSAGE_TEAMS_MAX;
		for (uint32_t i = 0; i < m->body.team_grant.count; i++)
			m->body.team_grant.grants[i] = {UINT64_MAX - i, i,
			    UINT32_MAX, i, i + 1, i + 2, i + 3, true,
			    JJ_TEAM_SHARE_UNIT, true};
	}},
    {"ShareDemand", JJ_MESSAGE_SHARE_DEMAND,
	[](jj_message_t *m) {
		auto &demand = m->body.share_demand;

		jj_name_set(&demand.service, "ordini");
		demand.contended = true;
		demand.rest_groups = 1;
		demand.rest_demand = UINT32_MAX;
		demand.count = JJ_MESSAGE_SHARES_MAX;
		for (uint32_t i = 0; i < demand.count; i++)
			demand.groups[i] = {UINT64_MAX - i, i};
	}},
    {"ShareLevel", JJ_MESSAGE_SHARE_LEVEL,
	[](jj_message_t *m) {
		auto &level = m->body.share_level;

		jj_name_set(&level.service, "ordini");
		level.valid_ms = UINT32_MAX;
		level.rest_admit = JJ_SHARE_UNIT;
		level.count = JJ_MESSAGE_SHARES_MAX;
		for (uint32_t i = 0; i < level.count; i++)
			level.groups[i] = {UINT64_MAX - i, i, UINT32_MAX};
	}},
    {"Yield", JJ_MESSAGE_YIELD,
	[](jj_message_t *m) { m->body.yield = UINT64_MAX; }},
    {"JobEnded", JJ_MESSAGE_JOB_ENDED,
	[](jj_message_t *m) {
		memset(m->body.job_ended, 'j', JJ_MESSAGE_JOB_ID_SIZE - 1);
	}},
    {"Vms", JJ_MESSAGE_VMS,
	[](jj_message_t *m) {
		m->body.jobs.events = jj_bytes_from_text("{\"vms\":[]}");
	}},
    /* Parsing and serializing a stored document again may lengthen it. */
    {"LongerConfig", JJ_MESSAGE_CONFIG,
	[](jj_message_t *m) {
		std::string document(2 * JJ_OBJECT_VALUE_MAX, '\0');

		m->body.config.document =
		    jj_bytes_copy(document.data(), document.size());
	}},
    {"LongerLent", JJ_MESSAGE_BORROW_RESULT,
	[](jj_message_t *m) {
		std::string value(2 * JJ_OBJECT_VALUE_MAX, ' ');

		m->body.lent.value = jj_bytes_copy(value.data(), value.size());
	}},
};

static std::string
to_string(jj_bytes_t bytes)
{
	std::string text(bytes.size > 0 ? bytes.data : "", bytes.size);

	jj_bytes_free(&bytes);
	return text;
}

static std::string
encode_case(const KindCase &row)
{
	jj_message_t message = make_message(row.kind);

	row.fill(&message);
	std::string bytes = to_string(jj_wire_encode(&message));
	jj_message_clear(&message);
	return bytes;
}

class WireKind : public testing::TestWithParam<KindCase>
{
};

/* Encoder and decoder share a table: compare structs, not only bytes. */
TEST_P(WireKind, ComesBackAsItWas)
{
	jj_message_t message = make_message(GetParam().kind), back;

	GetParam().fill(&message);
	std::string bytes = to_string(jj_wire_encode(&message));
	ASSERT_FALSE(bytes.empty());
	ASSERT_EQ(
	    JJ_WIRE_OK, jj_wire_decode(bytes.data(), bytes.size(), &back));
	EXPECT_EQ(message.kind, back.kind);
	EXPECT_STREQ("verona-1", back.from.text);
	EXPECT_EQ(message.incarnation, back.incarnation);
	EXPECT_EQ(message.sequence, back.sequence);
	EXPECT_EQ(bytes, to_string(jj_wire_encode(&back)));
	jj_message_clear(&message);
	jj_message_clear(&back);
}

TEST_P(WireKind, IsMalformedWhenCutAnywhere)
{
	std::string bytes = encode_case(GetParam());
	size_t step = bytes.size() / 100 + 1;
	jj_message_t out;

	for (size_t size = 0; size < bytes.size(); size += step)
		ASSERT_EQ(
		    JJ_WIRE_MALFORMED, jj_wire_decode(bytes.data(), size, &out))
		    << size;
	bytes += '\0';
	EXPECT_EQ(JJ_WIRE_MALFORMED,
	    jj_wire_decode(bytes.data(), bytes.size(), &out));
}

/* Any outcome is accepted; the sanitizers must report nothing. */
TEST_P(WireKind, SurvivesFlippedBits)
{
	std::string bytes = encode_case(GetParam());
	size_t limit = bytes.size() < 16384 ? bytes.size() : 200;
	size_t step = limit < 1024 && limit == bytes.size() ? 1 : 13;
	jj_message_t out;

	for (size_t i = 0; i < limit * 8; i += step) {
		bytes[i / 8] ^= 1 << i % 8;
		if (jj_wire_decode(bytes.data(), bytes.size(), &out) ==
		    JJ_WIRE_OK)
			jj_message_clear(&out);
		bytes[i / 8] ^= 1 << i % 8;
	}
}

INSTANTIATE_TEST_SUITE_P(Kinds, WireKind, testing::ValuesIn(kind_cases),
    [](const auto &info) { return std::string(info.param.name); });

struct EarlierCase {
	const char *name;
	jj_message_kind_t kind;
	const char *hex;
};

/** Messages as the build of commit 954dc8e writes them. */
const EarlierCase earlier_cases[] = {
    {"HEARTBEAT", JJ_MESSAGE_HEARTBEAT,
	"960301a87665726f6e612d31cf1122334455667788099801a46e6f72"
	"64a67665726f6e61ad31302e302e302e313a373430300c0005929407"
	"0102009408030401"},
    {"PROBE", JJ_MESSAGE_PROBE,
	"960302a87665726f6e612d31cf112233445566778809914d"},
    {"CONFIG", JJ_MESSAGE_CONFIG,
	"960305a87665726f6e612d31cf112233445566778809920cc4027b7d"},
    {"LOAD", JJ_MESSAGE_LOAD,
	"960306a87665726f6e612d31cf112233445566778809919294070102"
	"009408030401"},
    {"YIELD", JJ_MESSAGE_YIELD,
	"960313a87665726f6e612d31cf1122334455667788099108"},
    {"RELAY", JJ_MESSAGE_RELAY,
	"960315a87665726f6e612d31cf11223344556677880994020007c402"
	"5b5d"},
    {"JOB_STATES", JJ_MESSAGE_JOB_STATES,
	"960316a87665726f6e612d31cf112233445566778809920391950102"
	"030405"},
    {"JOB_READ", JJ_MESSAGE_JOB_READ,
	"96031aa87665726f6e612d31cf1122334455667788099600a26a31a0"
	"0300c400"},
    {"BORROW", JJ_MESSAGE_BORROW,
	"960318a87665726f6e612d31cf112233445566778809950400ad6261"
	"7463682d6f70656e2f6a3106c400"},
};

class WireEarlier : public testing::TestWithParam<EarlierCase>
{
};

/*
 * Guards against VMs of two builds that take each other for unreachable during
 * an upgrade.
 */
TEST_P(WireEarlier, BuildIsUnderstoodAndUnderstands)
{
	std::string bytes;
	jj_message_t message;

	for (const char *at = GetParam().hex; *at != '\0'; at += 2)
		bytes.push_back(
		    (char)std::stoi(std::string(at, 2), nullptr, 16));
	ASSERT_EQ(
	    JJ_WIRE_OK, jj_wire_decode(bytes.data(), bytes.size(), &message));
	EXPECT_EQ(GetParam().kind, message.kind);
	EXPECT_STREQ("verona-1", message.from.text);
	EXPECT_EQ(bytes, to_string(jj_wire_encode(&message)))
	    << "the earlier build would not read it";
	jj_message_clear(&message);
}

INSTANTIATE_TEST_SUITE_P(Kinds, WireEarlier, testing::ValuesIn(earlier_cases),
    [](const auto &info) { return std::string(info.param.name); });

TEST(Wire, HasARowForEveryKind)
{
	for (int kind = 1; kind < JJ_MESSAGE_KIND_END; kind++) {
		bool found = false;

		for (const KindCase &row : kind_cases)
			found = found || row.kind == kind;
		EXPECT_TRUE(found) << kind;
	}
}

TEST(Wire, KeepsTheFieldsOfACall)
{
	jj_message_t message = make_message(JJ_MESSAGE_CALL), back;

	kind_cases[7].fill(&message);
	std::string bytes = to_string(jj_wire_encode(&message));
	ASSERT_EQ(
	    JJ_WIRE_OK, jj_wire_decode(bytes.data(), bytes.size(), &back));
	EXPECT_EQ(63U, back.body.call.slot);
	EXPECT_EQ(9U, back.body.call.epoch);
	EXPECT_TRUE(jj_hash_equal(&message.body.call.key, &back.body.call.key));
	EXPECT_EQ(-1, back.body.call.budget_ms);
	EXPECT_STREQ("servizio-ordini", back.body.call.service.text);
	EXPECT_STREQ("/v1/ordini", back.body.call.path.data);
	EXPECT_EQ(message.body.call.body.size, back.body.call.body.size);
	EXPECT_STREQ(message.body.call.trace, back.body.call.trace);
	EXPECT_STREQ(message.body.call.key_text, back.body.call.key_text);
	jj_message_clear(&message);
	jj_message_clear(&back);
}

TEST(Wire, KeepsTheFieldsOfALoad)
{
	jj_message_t message = make_message(JJ_MESSAGE_LOAD), back;

	message.body.load.count = 2;
	message.body.load.loads[0] = {UINT64_MAX, 3, 4, 2};
	message.body.load.loads[1] = {1, UINT32_MAX, 0, 0};
	std::string bytes = to_string(jj_wire_encode(&message));
	ASSERT_EQ(
	    JJ_WIRE_OK, jj_wire_decode(bytes.data(), bytes.size(), &back));
	ASSERT_EQ(2U, back.body.load.count);
	EXPECT_EQ(UINT64_MAX, back.body.load.loads[0].server);
	EXPECT_EQ(3U, back.body.load.loads[0].online);
	EXPECT_EQ(4U, back.body.load.loads[0].batch);
	EXPECT_EQ(2U, back.body.load.loads[0].suspects);
	EXPECT_EQ(1U, back.body.load.loads[1].server);
	EXPECT_EQ(UINT32_MAX, back.body.load.loads[1].online);
	EXPECT_EQ(0U, back.body.load.loads[1].batch);
}

struct BytesCase {
	const char *name;
	std::string bytes;
	jj_wire_outcome_t outcome;
};

static std::string
repeat(const std::string &text, int times)
{
	std::string all;

	for (int i = 0; i < times; i++)
		all += text;
	return all;
}

static const std::string load_head("\x96\x03\x06\xa1"
				   "a\x01\x01\x91\xdc",
    9);
static const std::string empty_load("\x94\x00\x00\x00\x00", 5);
static const std::string config_head("\x96\x03\x05\xa1"
				     "a\x01\x01\x92\x01\xc6",
    10);

/* [3, PROBE, "a", 1, 1, [5]] and malformed variants. */
static const BytesCase bytes_cases[] = {
    {"Whole",
	"\x96\x03\x02\xa1"
	"a\x01\x01\x91\x05",
	JJ_WIRE_OK},
    {"OtherVersion",
	"\x96\x04\x02\xa1"
	"a\x01\x01\x91\x05",
	JJ_WIRE_OTHER_VERSION},
    {"OlderVersion",
	"\x96\x02\x02\xa1"
	"a\x01\x01\x91\x05",
	JJ_WIRE_OTHER_VERSION},
    {"OtherVersionOtherShape", "\x96\x7f\xc0", JJ_WIRE_OTHER_VERSION},
    {"Empty", "", JJ_WIRE_MALFORMED},
    {"NoArray", "GET / HTTP/1.1\r\n\r\n", JJ_WIRE_MALFORMED},
    /* Of a newer build: understood as far as this one knows it. */
    {"UnknownKind",
	"\x96\x03\x7f\xa1"
	"a\x01\x01\x91\x05",
	JJ_WIRE_OTHER_KIND},
    {"UnknownKindFromNobody", "\x96\x03\x7f\xa0\x01\x01\x91\x05",
	JJ_WIRE_MALFORMED},
    {"KindZero",
	std::string("\x96\x03\x00\xa1"
		    "a\x01\x01\x91\x05",
	    9),
	JJ_WIRE_MALFORMED},
    {"NobodyFrom", "\x96\x03\x02\xa0\x01\x01\x91\x05", JJ_WIRE_MALFORMED},
    {"NulInName",
	std::string("\x96\x03\x02\xa2"
		    "a\0\x01\x01\x91\x05",
	    10),
	JJ_WIRE_MALFORMED},
    {"LongName",
	"\x96\x03\x02\xd9\x40" + std::string(64, 'a') + "\x01\x01\x91\x05",
	JJ_WIRE_MALFORMED},
    {"IncarnationZero",
	std::string("\x96\x03\x02\xa1"
		    "a\x00\x01\x91\x05",
	    9),
	JJ_WIRE_MALFORMED},
    {"NegativeNonce",
	"\x96\x03\x02\xa1"
	"a\x01\x01\x91\xff",
	JJ_WIRE_MALFORMED},
    {"ExtraField",
	"\x96\x03\x02\xa1"
	"a\x01\x01\x92\x05\x05",
	JJ_WIRE_OK},
    {"MissingField",
	"\x96\x03\x02\xa1"
	"a\x01\x01\x90",
	JJ_WIRE_MALFORMED},
    {"TextForNumber",
	"\x96\x03\x02\xa1"
	"a\x01\x01\x91\xa1"
	"5",
	JJ_WIRE_MALFORMED},
    {"EnumBeyond",
	"\x96\x03\x10\xa1"
	"a\x01\x01\x93\xa1"
	"b\x01\x03",
	JJ_WIRE_MALFORMED},
    {"MostLoads",
	load_head + std::string("\x00\x80", 2) + repeat(empty_load, 128),
	JJ_WIRE_OK},
    {"LoadByName",
	std::string("\x96\x03\x06\xa1"
		    "a\x01\x01\x91\x91\x94\xa1"
		    "b\x00\x00\x00",
	    15),
	JJ_WIRE_MALFORMED},
    {"LoadOfVersionOne",
	load_head + std::string("\x00\x01", 2) +
	    std::string("\x94\xa0\x00\x00\x00", 5),
	JJ_WIRE_MALFORMED},
    {"OneLoadTooMany",
	load_head + std::string("\x00\x81", 2) + repeat(empty_load, 129),
	JJ_WIRE_MALFORMED},
    {"OneByteTooMany",
	config_head + std::string("\x00\x40\x00\x01", 4) +
	    std::string(JJ_MESSAGE_BYTES_MAX + 1, 'x'),
	JJ_WIRE_MALFORMED},
    {"TooLarge", std::string(JJ_WIRE_BYTES_MAX + 1, '\x96'), JJ_WIRE_TOO_LARGE},
};

class WireBytes : public testing::TestWithParam<BytesCase>
{
};

TEST_P(WireBytes, HaveTheirOutcome)
{
	const std::string &bytes = GetParam().bytes;
	jj_message_t out;

	EXPECT_EQ(GetParam().outcome,
	    jj_wire_decode(bytes.data(), bytes.size(), &out));
	if (GetParam().outcome != JJ_WIRE_OK) {
		EXPECT_EQ(0, out.kind);
	}
	jj_message_clear(&out);
}

INSTANTIATE_TEST_SUITE_P(Bytes, WireBytes, testing::ValuesIn(bytes_cases),
    [](const auto &info) { return std::string(info.param.name); });

/*
 * A neighbour, or anyone who reaches the port, sends a dozen bytes that declare
 * an array of four million elements. A decoder that allocates all of them
 * before finding them missing grows by a hundred megabytes; the VM is then
 * killed for its memory use, with all its requests.
 */
TEST(WireFailure, ShortMessageCannotClaimMuchMemory)
{
	const struct {
		const char *name;
		std::string bytes;
	} cases[] = {
	    {"InBody",
		std::string("\x96\x03\x0c\xa1"
			    "a\x01\x01\xdd\x00\x40\x00\x00",
		    12)},
	    {"Nested",
		std::string("\x96\x03\x0c\xa1"
			    "a\x01\x01\xdd\x00\x40\x00\x00"
			    "\xdd\x00\x40\x00\x00",
		    17)},
	    {"Envelope", std::string("\xdd\x00\x40\x00\x00\x02", 6)},
	};
	jj_message_t out;

	for (const auto &row : cases) {
		largest_malloc = 0;
		EXPECT_EQ(JJ_WIRE_MALFORMED,
		    jj_wire_decode(row.bytes.data(), row.bytes.size(), &out));
		EXPECT_LT(largest_malloc, 65536U) << row.name;
	}
}

TEST(Wire, RefusesToEncodeBeyondTheBounds)
{
	const struct {
		const char *name;
		jj_message_kind_t kind;
		void (*fill)(jj_message_t *);
	} cases[] = {
	    {"Loads", JJ_MESSAGE_LOAD,
		[](jj_message_t *m) {
			m->body.load.count = JJ_MESSAGE_LOADS_MAX + 1;
		}},
	    {"Enum", JJ_MESSAGE_SERVER_STATE,
		[](jj_message_t *m) {
			m->body.server.state =
			    static_cast<jj_server_state_t>(3);
		}},
	    {"Text", JJ_MESSAGE_CALL,
		[](jj_message_t *m) {
			memset(m->body.call.trace, 't',
			    sizeof(m->body.call.trace));
		}},
	    {"Whole", JJ_MESSAGE_CALL,
		[](jj_message_t *m) {
			std::string body(JJ_WIRE_BYTES_MAX, 'b');

			m->body.call.body =
			    jj_bytes_copy(body.data(), body.size());
		}},
	};

	for (const auto &row : cases) {
		jj_message_t message = make_message(row.kind);

		row.fill(&message);
		EXPECT_EQ("", to_string(jj_wire_encode(&message))) << row.name;
		jj_message_clear(&message);
	}
}
