/**
 * @file settings.c
 * @brief One table of keys drives reading, checking and describing.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>

#include "adapters/settings.h"
#include "adapters/toml.h"

/** Longest printed value in an error, bytes. */
#define VALUE_PRINT_MAX 96
/** Longest dotted key in an error, bytes. */
#define KEY_PRINT_MAX 128
/** Most bytes of a call's body: it must fit a message between VMs. */
#define BODY_BYTES_MAX 4194304
/** Most seeds of one kind. */
#define SEEDS_MAX 4096

/** What is wrong with a key that no table has. */
#define UNKNOWN_KEY "must be a known key; this one is not"

#define SECOND 1000
#define MINUTE (60 * SECOND)
#define HOUR (60 * MINUTE)
#define DAY (24 * HOUR)

typedef enum {
	KEY_MS,
	KEY_U32,
	KEY_SIZE,
	KEY_REAL,
	KEY_BOOL,
	KEY_NAME,
	KEY_ADDRESS,
	KEY_PATH,
	KEY_LEVEL,
} key_type_t;

/** One key of the file. */
typedef struct {
	const char *table; /**< "" for the root */
	const char *key;
	key_type_t type;
	size_t offset;
	double least;
	double most;
	double initial;
	bool required;
	const char *reason; /**< what it is for, and why this default */
} setting_t;

/** An array of tables, such as [[neighbours]]. */
typedef struct {
	const char *table;
	const setting_t *keys;
	size_t key_count;
	size_t size; /**< of one element, bytes */
	size_t offset;
	size_t count_offset;
} list_t;

/** A relation between two times: lower * factor <= upper. */
typedef struct {
	const char *table;
	const char *key;
	size_t lower;
	jj_ms_t factor;
	const char *upper_key;
	size_t upper;
	const char *reason;
} relation_t;

/** Where the check stands, and where its first fault goes. */
typedef struct {
	const char *file;
	char *why;
	size_t why_size;
} check_t;

#define PLACE(member) offsetof(jj_settings_t, member)
#define NUMBER(table, key, type, member, least, most, initial, reason)        \
	{                                                                     \
		table, key, type, PLACE(member), least, most, initial, false, \
		    reason                                                    \
	}
#define TEXT(table, key, type, member, required, reason)                   \
	{                                                                  \
		table, key, type, PLACE(member), 0, 0, 0, required, reason \
	}
#define SEED(key, type, owner, member, required, reason)                   \
	{                                                                  \
		"", key, type, offsetof(owner, member), 0, 0, 0, required, \
		    reason                                                 \
	}
#define COUNT(array) (sizeof(array) / sizeof(*(array)))

static bool read_document(const check_t *, jj_toml_t *, jj_settings_t *);
static bool check_unknown(const check_t *, const jj_toml_node_t *);
static bool check_table(const check_t *, const jj_toml_node_t *, const char *);
static bool read_keys(const check_t *, const jj_toml_node_t *, jj_settings_t *);
static bool read_key(const check_t *, const jj_toml_node_t *, const setting_t *,
    const char *, char *);
static bool read_value(const jj_toml_node_t *, const setting_t *, char *);
static bool read_number(const jj_toml_node_t *, const setting_t *, char *);
static void store_number(const setting_t *, double, char *);
static bool read_text(const jj_toml_node_t *, const setting_t *, char *);
static bool is_name(const char *, size_t);
static bool is_address(const char *, size_t);
static bool
read_lists(const check_t *, const jj_toml_node_t *, jj_settings_t *);
static bool
read_list(const check_t *, const jj_toml_node_t *, const list_t *, char *);
static bool read_element(
    const check_t *, const jj_toml_node_t *, const list_t *, size_t, char *);
static bool check_twins(const check_t *, const jj_toml_node_t *, const list_t *,
    size_t, const char *);
static bool
check_relations(const check_t *, const jj_toml_node_t *, const jj_settings_t *);
static void describe_bounds(const setting_t *, char *, size_t);
static void print_default(const setting_t *, char *, size_t);
static bool
fail(const check_t *, const jj_toml_node_t *, const char *, const char *);
static const setting_t *
find_in(const setting_t *, size_t, const char *, const char *);
static const setting_t *find_key(const char *, const char *);
static bool is_table(const char *);
static const list_t *find_list(const char *);
static void fill_identity(jj_settings_t *);

static const setting_t settings_keys[] = {
    TEXT("", "name", KEY_NAME, name, true,
	"this VM, unique among all VMs of the system"),
    TEXT("", "domain", KEY_NAME, domain, true, "its failure domain"),
    TEXT("", "region", KEY_NAME, region, false, "for operators to read"),
    NUMBER("", "shards", KEY_U32, shards, 1, 64, 4,
	"threads with a shard of state each; one per core of a small VM"),
    TEXT("", "data_folder", KEY_PATH, data_folder, false,
	"a small disk for bulk data; absent: nothing is kept here"),

    TEXT("listen", "callers", KEY_ADDRESS, listen_callers, true,
	"HTTP for callers, behind the platform's balancer"),
    TEXT("listen", "operators", KEY_ADDRESS, listen_operators, true,
	"HTTP for operators and metrics; not for callers to reach"),
    TEXT("listen", "neighbours", KEY_ADDRESS, listen_neighbours, true,
	"messages between VMs; told to the neighbours as it stands here"),

    TEXT("listen", "ready", KEY_ADDRESS, listen_ready, false,
	"where a balancer asks; absent: at the callers' address"),

    TEXT("platform", "form", KEY_NAME, platform.form, false,
	"the deployment whose language is spoken; absent: our own"),
    TEXT("platform", "address", KEY_ADDRESS, platform.address, true,
	"the platform's object API"),
    NUMBER("platform", "timeout_ms", KEY_MS, platform.timeout_ms, 50, MINUTE,
	2000,
	"silence that ends a call; answers begin in ms: 2 s is an outage"),
    TEXT("platform", "client", KEY_NAME, platform.client, false,
	"how calls are signed; absent: the VM's name"),

    NUMBER("callers", "connections", KEY_U32, callers.connections, 16, 100000,
	4000, "most at once; each takes some 40 KB at its fullest"),
    NUMBER("callers", "header_bytes", KEY_SIZE, callers.header_bytes, 1024,
	1048576, 16384, "a traceparent, an idempotency key and room"),
    NUMBER("callers", "body_bytes", KEY_SIZE, callers.body_bytes, 1024,
	BODY_BYTES_MAX, 1048576,
	"one request; file uploads are cut into parts and not bounded here"),
    NUMBER("callers", "idle_ms", KEY_MS, callers.idle_ms, SECOND, HOUR, MINUTE,
	"silence until a connection is closed"),
    NUMBER("callers", "stream_bytes", KEY_SIZE, callers.stream_bytes, 4096,
	16777216, 262144,
	"answer bytes held for a slow reader before its stream is ended"),

    NUMBER("member", "heartbeat_ms", KEY_MS, core.member.heartbeat_ms, 50,
	MINUTE, 500, "between heartbeats to each VM of the domain"),
    NUMBER("member", "suspect_ms", KEY_MS, core.member.suspect_ms, 200,
	10 * MINUTE, 2000, "silence until a VM is a suspect: 3 lost ones"),
    NUMBER("member", "forget_ms", KEY_MS, core.member.forget_ms, MINUTE,
	7 * DAY, HOUR, "silence until a VM is no longer tried"),

    NUMBER("lease", "lease_ms", KEY_MS, core.lease.lease_ms, 500, 10 * MINUTE,
	6000, "of the domain's duties; renewed at a third of it"),
    NUMBER("lease", "margin_ms", KEY_MS, core.lease.margin_ms, 100, MINUTE,
	1500, "an observer waits more, for clocks that run unevenly"),
    NUMBER("lease", "grace_ms", KEY_MS, core.lease.grace_ms, 0, HOUR, 15000,
	"a successor waits it out where servers ignore fencing numbers"),

    NUMBER("ledger", "retention_ms", KEY_MS, core.ledger.retention_ms, MINUTE,
	7 * DAY, 2 * HOUR, "how long an idempotency key is remembered"),
    NUMBER("ledger", "ack_timeout_ms", KEY_MS, core.ledger.ack_timeout_ms, 50,
	MINUTE, 1000, "wait for the witness before a call is refused"),
    NUMBER("ledger", "takeover_ms", KEY_MS, core.ledger.takeover_ms, 500,
	10 * MINUTE, 3000,
	"silence until a VM is lost: slots and claims go to others"),
    NUMBER("ledger", "answer_max", KEY_SIZE, core.ledger.answer_max, 0, 65536,
	8192, "bytes; a larger answer is not kept for a replay"),
    NUMBER("ledger", "record_max", KEY_SIZE, core.ledger.record_max, 1000,
	10000000, 200000, "records kept; beyond them calls are refused"),

    NUMBER("dispatch", "retry_share", KEY_REAL, core.dispatch.retry_share, 0, 1,
	0.1, "retries per first attempt: a retry storm adds a tenth"),
    NUMBER("dispatch", "retry_floor", KEY_U32, core.dispatch.retry_floor, 0,
	1000, 10, "retries allowed when there are few requests"),
    NUMBER("dispatch", "withdraw_retry_ms", KEY_MS,
	core.dispatch.withdraw_retry_ms, 0, MINUTE, 250,
	"batch rests on a server after it made room for online"),
    NUMBER("dispatch", "batch_start", KEY_U32, core.dispatch.batch_start, 0,
	256, 2, "batch limit of a server nothing is known of"),
    NUMBER("dispatch", "batch_most", KEY_U32, core.dispatch.batch_most, 0, 4096,
	256, "greatest batch limit a server can earn"),

    NUMBER("quarantine", "strikes", KEY_U32, core.quarantine.strikes, 1, 10, 2,
	"crashes of backend servers until a request is refused"),
    NUMBER("quarantine", "suspect_ms", KEY_MS, core.quarantine.suspect_ms,
	SECOND, DAY, 10 * MINUTE, "a strike lapses after"),
    NUMBER("quarantine", "quarantine_ms", KEY_MS, core.quarantine.quarantine_ms,
	SECOND, 7 * DAY, HOUR, "a request is refused for"),
    NUMBER("quarantine", "most", KEY_SIZE, core.quarantine.most, 256, 1048576,
	65536, "fingerprints kept"),

    NUMBER("batch", "lease_ms", KEY_MS, batch.lease_ms, SECOND, HOUR, 15000,
	"of a claimed chunk: work redone after a crash against writes"),
    NUMBER("batch", "margin_ms", KEY_MS, batch.margin_ms, 100, MINUTE, 3000,
	"an observer waits more before it takes a chunk over"),
    NUMBER("batch", "checkpoint_ms", KEY_MS, batch.checkpoint_ms, 200, HOUR,
	5000, "between renewals, each with the results so far"),
    NUMBER("batch", "chunks", KEY_U32, batch.chunks, 0, 256, 4,
	"claimed at once; 0: this VM runs no batch"),
    NUMBER("batch", "item_attempts", KEY_U32, batch.item_attempts, 1, 100, 4,
	"runs of one item until it ends with a recorded failure"),
    NUMBER("batch", "item_retry_ms", KEY_MS, batch.item_retry_ms, 1, HOUR, 500,
	"first wait before a re-run"),
    NUMBER("batch", "relist_ms", KEY_MS, batch.relist_ms, SECOND, HOUR, 30000,
	"between looks at all jobs, for watches that lost events"),
    NUMBER("batch", "retry_ms", KEY_MS, batch.retry_ms, 10, MINUTE, 200,
	"first wait after a failed platform call"),
    NUMBER("batch", "checkpoint_bytes", KEY_SIZE, batch.checkpoint_bytes, 4096,
	1000000, 600000, "largest checkpoint; a value holds 1 MB"),

    NUMBER("intake", "part_items", KEY_U32, intake.part_items, 1, 10000, 500,
	"items of a part: write rate against work redone after a crash"),
    NUMBER("intake", "part_bytes", KEY_SIZE, intake.part_bytes, 4096, 1000000,
	700000, "a part's lines; a value holds 1 MB"),
    NUMBER("intake", "line_bytes", KEY_SIZE, intake.line_bytes, 1024, 1000000,
	262144, "longest line of a batch file"),
    NUMBER("intake", "file_items", KEY_U32, intake.file_items, 1, 10000000,
	400000, "items of a file"),
    NUMBER("intake", "parts_pending", KEY_U32, intake.parts_pending, 1, 64, 2,
	"parts under way of one upload; bounds its memory"),
    NUMBER("intake", "tries", KEY_U32, intake.tries, 1, 100, 6, "of one write"),
    NUMBER("intake", "retry_ms", KEY_MS, intake.retry_ms, 10, MINUTE, 200,
	"first wait between tries, doubles"),

    NUMBER("jobs", "tries", KEY_U32, jobs.tries, 1, 100, 4,
	"of one platform call"),
    NUMBER("jobs", "retry_ms", KEY_MS, jobs.retry_ms, 10, MINUTE, 100,
	"first wait between tries, doubles"),
    NUMBER("jobs", "operation_ms", KEY_MS, jobs.operation_ms, 500, 10 * MINUTE,
	8000, "an operation is given up after"),
    NUMBER("jobs", "retry_after_ms", KEY_MS, jobs.retry_after_ms, 100,
	10 * MINUTE, 2000, "told to callers that are refused"),

    NUMBER("orders", "settle_ms", KEY_MS, core.orders.settle_ms, 0, HOUR, 2000,
	"a wish stands this long before an order, against flapping"),
    NUMBER("orders", "retry_ms", KEY_MS, core.orders.retry_ms, 100, HOUR, 3000,
	"an unanswered order is given again"),
    NUMBER("orders", "at_once", KEY_U32, core.orders.at_once, 1, 256, 2,
	"load orders under way; the weight store is rate-limited"),
    NUMBER("orders", "spacing_ms", KEY_MS, core.orders.spacing_ms, 0, HOUR, 500,
	"between load orders"),

    NUMBER("config", "call_timeout_ms", KEY_MS, core.config.call_timeout_ms,
	100, 10 * MINUTE, 4000, "a patch is given up after"),

    NUMBER("core", "vms_poll_ms", KEY_MS, core.vms_poll_ms, 200, 10 * MINUTE,
	2000, "between reads of the platform's VM list"),
    NUMBER("core", "pause_ms", KEY_MS, core.pause_ms, 100, MINUTE, 1000,
	"a longer gap between ticks counts as a pause of the process"),
    NUMBER("core", "resend_ms", KEY_MS, core.resend_ms, 50, MINUTE, 500,
	"a forwarded call without a word is sent again; doubles twice"),

    NUMBER("log", "level", KEY_LEVEL, log.level, 0, 0, JJ_LOG_INFO,
	"events of this level and graver ones"),
    TEXT("log", "file", KEY_PATH, log.file, false,
	"appended to; \"-\": standard output; absent: standard error"),

    TEXT("trace", "file", KEY_PATH, trace.file, false,
	"OTLP JSON lines; absent: spans are only kept in memory"),
    NUMBER("trace", "share", KEY_REAL, trace.share, 0, 1, 0.01,
	"of traces begun here that go to the file"),
    NUMBER("trace", "ring", KEY_U32, trace.ring, 16, 65536, 2048,
	"spans kept for `jujubectl trace`; 1.2 KB each"),
    NUMBER("trace", "flush_ms", KEY_MS, trace.flush_ms, 50, MINUTE, 1000,
	"between writes to the file"),

    NUMBER("gateway", "idle", KEY_BOOL, gateway_idle, 0, 1, 0,
	"a VM that only holds its place: it takes and runs no requests"),
    NUMBER("gateway", "reserve", KEY_U32, gateway.slots.reserve, 0, 64, 1,
	"places of a server that batch leaves to the next online request"),
    NUMBER("gateway", "queue_most", KEY_U32, gateway.slots.queue_most, 0, 1000,
	6, "online requests that wait at a server: more would all be late"),
    NUMBER("gateway", "connect_ms", KEY_MS, gateway.connect_ms, 10, MINUTE, 250,
	"to connect to a server a few ms away; a dark one takes all of it"),
    NUMBER("gateway", "connect_tries", KEY_U32, gateway.connect_tries, 0, 64, 4,
	"further servers tried while none has taken the connection"),
    NUMBER("gateway", "stall_ms", KEY_MS, gateway.stall_ms, 100, MINUTE, 1500,
	"silence until a repeatable stream goes on at another server"),
    NUMBER("gateway", "retry_after_ms", KEY_MS, gateway.retry_after_ms, 10,
	MINUTE, 250, "told to refused callers: some requests end meanwhile"),
    NUMBER("gateway", "news_ms", KEY_MS, gateway.news_ms, 300, MINUTE, 2000,
	"configuration and servers' states are in force at each VM within"),
    NUMBER("gateway", "watch_wait_ms", KEY_MS, gateway.watch_wait_ms, 100,
	10 * MINUTE, 20000, "how long a watch may wait; each costs a call"),
    NUMBER("gateway", "spacing_ms", KEY_MS, gateway.spacing_ms, 0, MINUTE, 400,
	"from news of servers to the next watch: events come together"),
    NUMBER("gateway", "backoff_ms", KEY_MS, gateway.backoff_ms, 10, MINUTE, 200,
	"after a failed call to the platform; doubles"),
    NUMBER("gateway", "backoff_most_ms", KEY_MS, gateway.backoff_most_ms, 10,
	10 * MINUTE, 1600, "longest such wait"),
    NUMBER("gateway", "vms_poll_ms", KEY_MS, gateway.vms_poll_ms, 100,
	10 * MINUTE, 5000, "between looks at the list of VMs; new ones speak"),
    NUMBER("gateway", "relist_grace_ms", KEY_MS, gateway.relist_grace_ms, 0,
	MINUTE, 2000, "entries that lapsed in an outage are back by then"),
    NUMBER("gateway", "tell_near_ms", KEY_MS, gateway.tell_near_ms, 1, MINUTE,
	10, "between loads told to VMs of the own failure domain"),
    NUMBER("gateway", "tell_far_ms", KEY_MS, gateway.tell_far_ms, 1, MINUTE,
	100, "between loads told to all VMs of the region, for 12 of them"),

    NUMBER("inline", "publish_ms", KEY_MS, gateway.jobs.publish_ms, 0, MINUTE,
	1500, "results of a job are gathered so long for one write"),
    NUMBER("inline", "takeover_ms", KEY_MS, gateway.jobs.takeover_ms, 0,
	10 * MINUTE, 1500, "a job's lost VM may come back so long"),
    NUMBER("inline", "alone_ms", KEY_MS, gateway.jobs.alone_ms, 0, 10 * MINUTE,
	6000, "the same for a VM that hears no other: it may be cut off"),
    NUMBER("inline", "retry_ms", KEY_MS, gateway.jobs.retry_ms, 1, MINUTE, 60,
	"first wait after a failed call to the platform; doubles"),
    NUMBER("inline", "retry_most_ms", KEY_MS, gateway.jobs.retry_most_ms, 1,
	10 * MINUTE, 1000, "longest such wait"),
    NUMBER("inline", "submit_ms", KEY_MS, gateway.jobs.submit_ms, 100,
	10 * MINUTE, 3000, "a submission or an end is given up after"),
    NUMBER("inline", "read_ms", KEY_MS, gateway.jobs.read_ms, 100, 10 * MINUTE,
	1500, "a read that the platform does not answer is refused after"),
    NUMBER("inline", "orphan_ms", KEY_MS, gateway.jobs.orphan_ms, 1000, HOUR,
	15000, "a write may take effect seconds after its call"),
    NUMBER("inline", "keep_ms", KEY_MS, gateway.jobs.keep_ms, 0, HOUR, 2500,
	"an ended job's results stay in memory for its last readers"),
    NUMBER("inline", "item_retry_ms", KEY_MS, gateway.jobs.item_retry_ms, 1,
	HOUR, 200, "first rest of an item that a server failed; doubles"),
    NUMBER("inline", "mirror_spacing_ms", KEY_MS,
	gateway.jobs.mirror_spacing_ms, 0, MINUTE, 1500,
	"from news of open jobs to the next watch: events come together"),
    NUMBER("inline", "state_fresh_ms", KEY_MS, gateway.jobs.state_fresh_ms, 100,
	MINUTE, 850, "what a VM says of its jobs holds; told each 400 ms"),
    NUMBER("inline", "retry_after_ms", KEY_MS, gateway.jobs.retry_after_ms, 10,
	10 * MINUTE, 500, "told to submitters that are refused"),

    NUMBER("stop", "grace_s", KEY_REAL, stop.grace_s, 0, 3600, 0,
	"a stopping process is killed after; 0: it is not"),
    NUMBER("stop", "least_ms", KEY_MS, stop.least_ms, 0, HOUR, 0,
	"a planned stop takes that long, for a balancer to notice it"),
    NUMBER("stop", "drain_ms", KEY_MS, stop.drain_ms, 0, HOUR, MINUTE,
	"most a planned stop waits for requests in progress"),

    NUMBER("faults", "enabled", KEY_BOOL, faults, 0, 1, 0,
	"lets tests cut this VM off its neighbours; never set in service"),
};

#define KEY_COUNT COUNT(settings_keys)

static const setting_t neighbour_keys[] = {
    SEED("name", KEY_NAME, jj_neighbour_seed_t, name, true, "the VM"),
    SEED("domain", KEY_NAME, jj_neighbour_seed_t, domain, true,
	"its failure domain"),
    SEED("address", KEY_ADDRESS, jj_neighbour_seed_t, address, true,
	"its `listen.neighbours`"),
};

static const setting_t server_keys[] = {
    SEED("name", KEY_NAME, jj_server_seed_t, name, true, "the server"),
    SEED("domain", KEY_NAME, jj_server_seed_t, domain, true,
	"its failure domain"),
    SEED("service", KEY_NAME, jj_server_seed_t, service, true,
	"the service it runs"),
    SEED("address", KEY_ADDRESS, jj_server_seed_t, address, true,
	"where it is reached"),
    SEED("checks_fence", KEY_BOOL, jj_server_seed_t, checks_fence, false,
	"refuses orders with an old fencing number; false is the safe guess"),
};

static const list_t lists[] = {
    {"neighbours", neighbour_keys, COUNT(neighbour_keys),
	sizeof(jj_neighbour_seed_t), PLACE(neighbours), PLACE(neighbour_count)},
    {"servers", server_keys, COUNT(server_keys), sizeof(jj_server_seed_t),
	PLACE(servers), PLACE(server_count)},
};

static const relation_t relations[] = {
    {"member", "heartbeat_ms", PLACE(core.member.heartbeat_ms), 2,
	"member.suspect_ms", PLACE(core.member.suspect_ms),
	"one lost heartbeat must not make a VM a suspect"},
    {"member", "suspect_ms", PLACE(core.member.suspect_ms), 1,
	"member.forget_ms", PLACE(core.member.forget_ms),
	"a VM is suspected before it is forgotten"},
    {"member", "suspect_ms", PLACE(core.member.suspect_ms), 1,
	"ledger.takeover_ms", PLACE(core.ledger.takeover_ms),
	"slots of a VM that is not yet suspected must stay with it"},
    {"batch", "checkpoint_ms", PLACE(batch.checkpoint_ms), 2, "batch.lease_ms",
	PLACE(batch.lease_ms), "one lost renewal must not lose the claim"},
};

bool
jj_settings_load(
    jj_settings_t *settings, const char *path, char *why, size_t why_size)
{
	check_t check = {path, why, why_size};

	return read_document(
	    &check, jj_toml_load(path, why, why_size), settings);
}

bool
jj_settings_parse(jj_settings_t *settings, const char *text, size_t size,
    const char *name, char *why, size_t why_size)
{
	check_t check = {name, why, why_size};

	return read_document(
	    &check, jj_toml_parse(text, size, name, why, why_size), settings);
}

void
jj_settings_clear(jj_settings_t *settings)
{
	free(settings->neighbours);
	free(settings->servers);
	memset(settings, 0, sizeof(*settings));
}

jj_bytes_t
jj_settings_describe(void)
{
	jj_bytes_t text = {NULL, 0};
	char bounds[VALUE_PRINT_MAX], initial[VALUE_PRINT_MAX];
	FILE *stream = open_memstream(&text.data, &text.size);
	const setting_t *key;

	JJ_INVARIANT(stream != NULL);
	(void)fprintf(stream,
	    "| key | value | default | what for |\n"
	    "|---|---|---|---|\n");
	for (key = settings_keys; key < settings_keys + KEY_COUNT; key++) {
		describe_bounds(key, bounds, sizeof(bounds));
		print_default(key, initial, sizeof(initial));
		(void)fprintf(stream, "| `%s%s%s` | %s | %s | %s |\n",
		    key->table, key->table[0] != '\0' ? "." : "", key->key,
		    bounds, initial, key->reason);
	}
	JJ_INVARIANT(fclose(stream) == 0);
	return text;
}

/* Takes the document over. */
static bool
read_document(const check_t *check, jj_toml_t *toml, jj_settings_t *settings)
{
	const jj_toml_node_t *root;
	bool valid;

	memset(settings, 0, sizeof(*settings));
	if (toml == NULL)
		return false;
	root = jj_toml_root(toml);
	valid = check_unknown(check, root) &&
	    read_keys(check, root, settings) &&
	    read_lists(check, root, settings) &&
	    check_relations(check, root, settings);
	jj_toml_destroy(toml);
	if (valid)
		fill_identity(settings);
	else
		jj_settings_clear(settings);
	return valid;
}

/*
 * Guards against a misspelt key: it would be ignored, its default would be
 * in force, and nobody would see it before the night it matters.
 */
static bool
check_unknown(const check_t *check, const jj_toml_node_t *root)
{
	const jj_toml_node_t *node;
	const char *name;
	size_t i;

	for (i = 0; i < jj_toml_count(root); i++) {
		name = jj_toml_key_at(root, i);
		node = jj_toml_at(root, i);
		if (find_list(name) != NULL || find_key("", name) != NULL)
			continue;
		if (!is_table(name))
			return fail(check, node, name, UNKNOWN_KEY);
		if (!check_table(check, node, name))
			return false;
	}
	return true;
}

static bool
check_table(const check_t *check, const jj_toml_node_t *table, const char *name)
{
	char dotted[KEY_PRINT_MAX];
	const char *key;
	size_t i;

	if (jj_toml_type(table) != JJ_TOML_TABLE)
		return fail(check, table, name, "must be a table");
	for (i = 0; i < jj_toml_count(table); i++) {
		key = jj_toml_key_at(table, i);
		if (find_key(name, key) != NULL)
			continue;
		(void)snprintf(dotted, sizeof(dotted), "%s.%.64s", name, key);
		return fail(check, jj_toml_at(table, i), dotted, UNKNOWN_KEY);
	}
	return true;
}

static bool
read_keys(
    const check_t *check, const jj_toml_node_t *root, jj_settings_t *settings)
{
	const jj_toml_node_t *table;
	const setting_t *key;
	char dotted[KEY_PRINT_MAX];

	for (key = settings_keys; key < settings_keys + KEY_COUNT; key++) {
		table = root;
		(void)snprintf(dotted, sizeof(dotted), "%s", key->key);
		if (key->table[0] != '\0') {
			table = jj_toml_find(root, key->table);
			(void)snprintf(dotted, sizeof(dotted), "%s.%s",
			    key->table, key->key);
		}
		if (!read_key(check, table, key, dotted, (char *)settings))
			return false;
	}
	return true;
}

/* Reads one key of a table (NULL: the table is absent) into its place. */
static bool
read_key(const check_t *check, const jj_toml_node_t *table,
    const setting_t *key, const char *dotted, char *owner)
{
	const jj_toml_node_t *node = NULL;
	char bounds[VALUE_PRINT_MAX], must[VALUE_PRINT_MAX + 16];
	int line = 1;

	if (table != NULL) {
		node = jj_toml_find(table, key->key);
		line = jj_toml_line(table);
	}
	if (node == NULL && !key->required) {
		store_number(key, key->initial, owner + key->offset);
		return true;
	}
	if (node != NULL && read_value(node, key, owner + key->offset))
		return true;
	describe_bounds(key, bounds, sizeof(bounds));
	(void)snprintf(must, sizeof(must), "must be %s", bounds);
	if (node != NULL)
		return fail(check, node, dotted, must);
	(void)snprintf(check->why, check->why_size,
	    "%s:%d: key '%s' is missing: %s", check->file, line > 0 ? line : 1,
	    dotted, must);
	return false;
}

static bool
read_value(const jj_toml_node_t *node, const setting_t *key, char *place)
{
	switch (key->type) {
	case KEY_MS:
	case KEY_U32:
	case KEY_SIZE:
	case KEY_REAL:
		return read_number(node, key, place);
	case KEY_BOOL:
		return jj_toml_get_boolean(node, (bool *)place);
	default:
		return read_text(node, key, place);
	}
}

static bool
read_number(const jj_toml_node_t *node, const setting_t *key, char *place)
{
	double number;
	int64_t integer;

	if (key->type != KEY_REAL && !jj_toml_get_integer(node, &integer))
		return false;
	if (!jj_toml_get_real(node, &number))
		return false;
	/* Not `outside`: a NaN is neither below nor above a bound. */
	if (!(number >= key->least && number <= key->most))
		return false;
	store_number(key, number, place);
	return true;
}

/* All bounds are far below 2^53: a double holds each whole number. */
static void
store_number(const setting_t *key, double number, char *place)
{
	switch (key->type) {
	case KEY_MS:
		*(jj_ms_t *)(void *)place = (jj_ms_t)number;
		break;
	case KEY_U32:
		*(uint32_t *)(void *)place = (uint32_t)number;
		break;
	case KEY_SIZE:
		*(size_t *)(void *)place = (size_t)number;
		break;
	case KEY_REAL:
		*(double *)(void *)place = number;
		break;
	case KEY_LEVEL:
		*(jj_log_level_t *)(void *)place = (jj_log_level_t)number;
		break;
	default:
		break;
	}
}

static bool
read_text(const jj_toml_node_t *node, const setting_t *key, char *place)
{
	const char *text;
	size_t size;

	if (!jj_toml_get_text(node, &text, &size))
		return false;
	if (size == 0 || strlen(text) != size)
		return false;
	if (key->type == KEY_LEVEL)
		return jj_log_parse_level(
		    text, (jj_log_level_t *)(void *)place);
	if (key->type == KEY_NAME && !is_name(text, size))
		return false;
	if (key->type == KEY_ADDRESS && !is_address(text, size))
		return false;
	if (size > (key->type == KEY_PATH ? JJ_SETTINGS_PATH_MAX : JJ_NAME_MAX))
		return false;
	memcpy(place, text, size + 1);
	return true;
}

/* Names become parts of platform keys, log lines and metric labels. */
static bool
is_name(const char *text, size_t size)
{
	return strspn(text,
		   "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
		   "0123456789._-") == size;
}

/* IP:PORT or [IP]:PORT; a host's name would need a resolver at run time. */
static bool
is_address(const char *text, size_t size)
{
	char host[JJ_NAME_MAX + 1];
	const char *colon = strrchr(text, ':');
	struct in6_addr address;
	size_t length, digits;
	long port;

	if (colon == NULL || size > JJ_NAME_MAX)
		return false;
	digits = strspn(colon + 1, "0123456789");
	port = strtol(colon + 1, NULL, 10);
	if (digits == 0 || digits > 5 || colon[1 + digits] != '\0' ||
	    port < 1 || port > 65535)
		return false;
	length = (size_t)(colon - text);
	memcpy(host, text, length);
	host[length] = '\0';
	if (length > 2 && host[0] == '[' && host[length - 1] == ']') {
		host[length - 1] = '\0';
		return inet_pton(AF_INET6, host + 1, &address) == 1;
	}
	return inet_pton(AF_INET, host, &address) == 1;
}

static bool
read_lists(
    const check_t *check, const jj_toml_node_t *root, jj_settings_t *settings)
{
	const jj_toml_node_t *array;
	size_t i;

	for (i = 0; i < COUNT(lists); i++) {
		array = jj_toml_find(root, lists[i].table);
		if (array == NULL)
			continue;
		if (jj_toml_type(array) != JJ_TOML_ARRAY ||
		    jj_toml_count(array) > SEEDS_MAX)
			return fail(check, array, lists[i].table,
			    "must be an array of at most 4096 tables");
		if (!read_list(check, array, &lists[i], (char *)settings))
			return false;
	}
	return true;
}

static bool
read_list(const check_t *check, const jj_toml_node_t *array, const list_t *list,
    char *owner)
{
	size_t count = jj_toml_count(array), i;
	char *elements = jj_alloc(count * list->size);

	/* Stored first: on a fault jj_settings_clear frees them. */
	memcpy(owner + list->offset, &elements, sizeof(elements));
	memcpy(owner + list->count_offset, &count, sizeof(count));
	for (i = 0; i < count; i++) {
		if (!read_element(check, array, list, i, elements) ||
		    !check_twins(check, array, list, i, elements))
			return false;
	}
	return true;
}

static bool
read_element(const check_t *check, const jj_toml_node_t *array,
    const list_t *list, size_t index, char *elements)
{
	const jj_toml_node_t *table = jj_toml_at(array, index);
	char dotted[KEY_PRINT_MAX];
	const char *name;
	size_t i;

	if (jj_toml_type(table) != JJ_TOML_TABLE)
		return fail(check, table, list->table, "must be a table");
	for (i = 0; i < jj_toml_count(table); i++) {
		name = jj_toml_key_at(table, i);
		if (find_in(list->keys, list->key_count, "", name) != NULL)
			continue;
		(void)snprintf(
		    dotted, sizeof(dotted), "%s.%.64s", list->table, name);
		return fail(check, jj_toml_at(table, i), dotted, UNKNOWN_KEY);
	}
	for (i = 0; i < list->key_count; i++) {
		(void)snprintf(dotted, sizeof(dotted), "%s.%s", list->table,
		    list->keys[i].key);
		if (!read_key(check, table, &list->keys[i], dotted,
			elements + index * list->size))
			return false;
	}
	return true;
}

/* Two seeds of one name would make one VM or server answer for the other. */
static bool
check_twins(const check_t *check, const jj_toml_node_t *array,
    const list_t *list, size_t index, const char *elements)
{
	const jj_name_t *name = (const void *)(elements + index * list->size);
	const jj_toml_node_t *table = jj_toml_at(array, index);
	char dotted[KEY_PRINT_MAX];
	size_t i;

	for (i = 0; i < index; i++) {
		if (!jj_name_equal(
			name, (const void *)(elements + i * list->size)))
			continue;
		(void)snprintf(dotted, sizeof(dotted), "%s.name", list->table);
		return fail(check, jj_toml_find(table, "name"), dotted,
		    "must be unique in its list");
	}
	return true;
}

static bool
check_relations(const check_t *check, const jj_toml_node_t *root,
    const jj_settings_t *settings)
{
	const relation_t *relation;
	const jj_toml_node_t *table, *node;
	jj_ms_t lower, upper;
	size_t i;

	for (i = 0; i < COUNT(relations); i++) {
		relation = &relations[i];
		memcpy(&lower, (const char *)settings + relation->lower,
		    sizeof(lower));
		memcpy(&upper, (const char *)settings + relation->upper,
		    sizeof(upper));
		if (lower * relation->factor <= upper)
			continue;
		table = jj_toml_find(root, relation->table);
		node =
		    table != NULL ? jj_toml_find(table, relation->key) : NULL;
		(void)snprintf(check->why, check->why_size,
		    "%s:%d: key '%s.%s' = %" PRId64 ": must be at most %" PRId64
		    " (%s = %" PRId64 "): %s",
		    check->file, node != NULL ? jj_toml_line(node) : 1,
		    relation->table, relation->key, lower,
		    upper / relation->factor, relation->upper_key, upper,
		    relation->reason);
		return false;
	}
	return true;
}

static void
describe_bounds(const setting_t *key, char *text, size_t size)
{
	switch (key->type) {
	case KEY_MS:
	case KEY_U32:
	case KEY_SIZE:
		(void)snprintf(text, size, "an integer from %.0f to %.0f%s",
		    key->least, key->most, key->type == KEY_MS ? " (ms)" : "");
		break;
	case KEY_REAL:
		(void)snprintf(text, size, "a number from %g to %g", key->least,
		    key->most);
		break;
	case KEY_BOOL:
		(void)snprintf(text, size, "true or false");
		break;
	case KEY_NAME:
		(void)snprintf(text, size,
		    "a string of 1 to %d of A-Z a-z 0-9 . _ -", JJ_NAME_MAX);
		break;
	case KEY_ADDRESS:
		(void)snprintf(text, size,
		    "a string \"IP:PORT\" with a port from 1 to 65535");
		break;
	case KEY_PATH:
		(void)snprintf(text, size, "a path of 1 to %d bytes",
		    JJ_SETTINGS_PATH_MAX);
		break;
	case KEY_LEVEL:
		(void)snprintf(
		    text, size, "\"error\", \"warn\", \"info\" or \"debug\"");
		break;
	}
}

static void
print_default(const setting_t *key, char *text, size_t size)
{
	if (key->required)
		(void)snprintf(text, size, "required");
	else if (key->type == KEY_LEVEL)
		(void)snprintf(text, size, "\"info\"");
	else if (key->type >= KEY_BOOL)
		(void)snprintf(text, size, "none");
	else
		(void)snprintf(text, size, "%.10g", key->initial);
}

/* Writes the fault at a node; always false. */
static bool
fail(const check_t *check, const jj_toml_node_t *node, const char *key,
    const char *must)
{
	char value[VALUE_PRINT_MAX];

	jj_toml_print(node, value, sizeof(value));
	/* Tables print over several lines; the message is one. */
	value[strcspn(value, "\r\n")] = '\0';
	(void)snprintf(check->why, check->why_size,
	    "%s:%d: key '%.64s' = %s: %s", check->file, jj_toml_line(node), key,
	    value, must);
	return false;
}

static const setting_t *
find_in(const setting_t *keys, size_t count, const char *table, const char *key)
{
	size_t i;

	for (i = 0; i < count; i++) {
		if (strcmp(keys[i].table, table) == 0 &&
		    strcmp(keys[i].key, key) == 0)
			return &keys[i];
	}
	return NULL;
}

static const setting_t *
find_key(const char *table, const char *key)
{
	return find_in(settings_keys, KEY_COUNT, table, key);
}

static bool
is_table(const char *name)
{
	size_t i;

	for (i = 0; i < KEY_COUNT; i++) {
		if (strcmp(settings_keys[i].table, name) == 0)
			return true;
	}
	return false;
}

static const list_t *
find_list(const char *name)
{
	size_t i;

	for (i = 0; i < COUNT(lists); i++) {
		if (strcmp(lists[i].table, name) == 0)
			return &lists[i];
	}
	return NULL;
}

/* Copies this VM's names to the modules that want them. */
static void
fill_identity(jj_settings_t *settings)
{
	jj_core_settings_t *core = &settings->core;

	if (jj_name_is_empty(&settings->platform.client))
		settings->platform.client = settings->name;
	core->name = settings->name;
	core->domain = settings->domain;
	core->member.name = settings->name;
	core->member.domain = settings->domain;
	memcpy(core->member.address, settings->listen_neighbours,
	    sizeof(core->member.address));
	core->ledger.name = settings->name;
	core->ledger.domain = settings->domain;
	core->dispatch.name = settings->name;
	core->dispatch.domain = settings->domain;
	settings->batch.name = settings->name;
}
