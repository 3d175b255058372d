/**
 * @file settings.c
 * @brief Reads, checks and documents settings from one table of keys.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>

#include "adapters/settings.h"
#include "adapters/toml.h"

/** Size of a printed value in an error message, bytes. */
#define VALUE_PRINT_MAX 96
/** Size of a dotted key in an error message, bytes. */
#define KEY_PRINT_MAX 128
/** Maximum body of a call, bytes: it must fit in a message between VMs. */
#define BODY_BYTES_MAX 4194304
/** Maximum number of neighbours, and of servers, in a settings file. */
#define SEEDS_MAX 4096

/** Error text for a key that is not in the table of keys. */
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
	KEY_SWITCH,
	KEY_CONTRACTS,
} key_type_t;

/** One key of the file. */
typedef struct {
	const char *table; /**< "" for the root */
	const char *key;
	key_type_t type;
	size_t offset;
	double minimum;
	double maximum;
	double default_value;
	bool required;
	const char *reason; /**< purpose, and why it has this default */
} setting_t;

/** An array of TOML tables, such as [[neighbours]]. */
typedef struct {
	const char *table;
	const setting_t *keys;
	size_t key_count;
	size_t size; /**< of one array element, bytes */
	size_t offset;
	size_t count_offset;
} table_array_t;

/** A required relation between two durations: lower * factor <= upper. */
typedef struct {
	const char *table;
	const char *key;
	size_t lower;
	jj_ms_t factor;
	const char *upper_key;
	size_t upper;
	const char *reason;
} relation_t;

/** The name of the file, and the buffer for the first error found in it. */
typedef struct {
	const char *file;
	char *error_text;
	size_t error_text_size;
} error_sink_t;

#define OFFSET(member) offsetof(jj_settings_t, member)
#define NUMBER(                                                        \
    table, key, type, member, minimum, maximum, default_value, reason) \
	{                                                              \
		table, key, type, OFFSET(member), minimum, maximum,    \
		    default_value, false, reason                       \
	}
#define TEXT(table, key, type, member, required, reason)                    \
	{                                                                   \
		table, key, type, OFFSET(member), 0, 0, 0, required, reason \
	}
#define SEED(key, type, owner, member, required, reason)                   \
	{                                                                  \
		"", key, type, offsetof(owner, member), 0, 0, 0, required, \
		    reason                                                 \
	}
#define COUNT(array) (sizeof(array) / sizeof(*(array)))

static bool read_document(const error_sink_t *, jj_toml_t *, jj_settings_t *);
static bool check_unknown(const error_sink_t *, const jj_toml_node_t *);
static bool
check_table(const error_sink_t *, const jj_toml_node_t *, const char *);
static bool
read_keys(const error_sink_t *, const jj_toml_node_t *, jj_settings_t *);
static bool read_key(const error_sink_t *, const jj_toml_node_t *,
    const setting_t *, const char *, char *);
static bool read_value(const jj_toml_node_t *, const setting_t *, char *);
static bool read_number(const jj_toml_node_t *, const setting_t *, char *);
static void store_number(const setting_t *, double, char *);
static bool read_text(const jj_toml_node_t *, const setting_t *, char *);
static bool read_switch(const jj_toml_node_t *, jj_switch_t *);
static bool read_contracts(const jj_toml_node_t *, jj_contracts_t *);
static bool is_name(const char *, size_t);
static bool is_address(const char *, size_t);
static bool
read_lists(const error_sink_t *, const jj_toml_node_t *, jj_settings_t *);
static bool read_list(const error_sink_t *, const jj_toml_node_t *,
    const table_array_t *, char *);
static bool read_element(const error_sink_t *, const jj_toml_node_t *,
    const table_array_t *, size_t, char *);
static bool check_unique_name(const error_sink_t *, const jj_toml_node_t *,
    const table_array_t *, size_t, const char *);
static bool check_relations(
    const error_sink_t *, const jj_toml_node_t *, const jj_settings_t *);
static void describe_bounds(const setting_t *, char *, size_t);
static void print_default(const setting_t *, char *, size_t);
static bool set_error(
    const error_sink_t *, const jj_toml_node_t *, const char *, const char *);
static const setting_t *
find_setting(const setting_t *, size_t, const char *, const char *);
static const setting_t *find_key(const char *, const char *);
static bool is_known_table(const char *);
static const table_array_t *find_list(const char *);
static void copy_identity(jj_settings_t *);

static const setting_t settings_keys[] = {
    TEXT("", "name", KEY_NAME, name, true,
	"name of this VM, unique in the system"),
    TEXT("", "domain", KEY_NAME, domain, true, "failure domain of this VM"),
    TEXT("", "region", KEY_NAME, region, false,
	"region name, for information only"),
    NUMBER("", "shards", KEY_U32, shards, 1, 64, 4,
	"threads, one state shard each; default: one per core of a small VM"),
    TEXT("", "data_folder", KEY_PATH, data_folder, false,
	"small disk for bulk data; absent: nothing is stored on disk"),

    TEXT("listen", "callers", KEY_ADDRESS, listen_callers, true,
	"HTTP for callers, behind the platform's load balancer"),
    TEXT("listen", "operators", KEY_ADDRESS, listen_operators, true,
	"HTTP for operators and metrics; callers must not reach it"),
    TEXT("listen", "neighbours", KEY_ADDRESS, listen_neighbours, true,
	"messages between VMs; sent to neighbours exactly as given here"),

    TEXT("listen", "ready", KEY_ADDRESS, listen_ready, false,
	"readiness checks of the balancer; absent: the callers' address"),

    TEXT("platform", "form", KEY_NAME, platform.form, false,
	"deployment whose API dialect is used; absent: our own"),
    TEXT("platform", "address", KEY_ADDRESS, platform.address, true,
	"the platform's object API"),
    NUMBER("platform", "timeout_ms", KEY_MS, platform.timeout_ms, 50, MINUTE,
	2000,
	"call time-out without data; replies start in ms: 2 s is an outage"),
    TEXT("platform", "client", KEY_NAME, platform.client, false,
	"client name that signs platform calls; absent: the VM's name"),
    TEXT("platform", "contracts", KEY_CONTRACTS, platform.contracts, false,
	"parts of the platform's rules that are in force; unknown are ignored"),

    NUMBER("callers", "connections", KEY_U32, callers.connections, 16, 100000,
	4000,
	"maximum number at once; fewer if `machine` has no room for them"),
    NUMBER("callers", "header_bytes", KEY_SIZE, callers.header_bytes, 1024,
	1048576, 16384,
	"maximum: a traceparent, an idempotency key and some spare"),
    NUMBER("callers", "body_bytes", KEY_SIZE, callers.body_bytes, 1024,
	BODY_BYTES_MAX, 1048576,
	"maximum per request; file uploads are split and not limited here"),
    NUMBER("callers", "idle_ms", KEY_MS, callers.idle_ms, SECOND, HOUR, MINUTE,
	"an idle connection is closed after; a configuration may say another"),
    NUMBER("callers", "head_ms", KEY_MS, callers.head_ms, 100, HOUR, 10000,
	"a head must be complete after; a configuration may say another"),
    NUMBER("callers", "body_ms", KEY_MS, callers.body_ms, SECOND, HOUR, 30000,
	"a body must be complete after; of an upload, each body_bytes of it"),
    NUMBER("callers", "stream_bytes", KEY_SIZE, callers.stream_bytes, 4096,
	16777216, 262144,
	"response bytes buffered for a slow reader; beyond, its stream ends"),

    NUMBER("machine", "memory_mb", KEY_U32, machine.memory_mb, 32, 1048576, 128,
	"of this process, at most the machine's; half may be held for callers"),
    NUMBER("machine", "descriptors", KEY_U32, machine.descriptors, 256, 1048576,
	4096,
	"open files, at most what the system allows; half may be callers'"),

    NUMBER("member", "heartbeat_ms", KEY_MS, core.member.heartbeat_ms, 50,
	MINUTE, 500, "interval of heartbeats to each VM of the domain"),
    NUMBER("member", "heartbeat_vms", KEY_U32, core.member.heartbeat_vms, 0,
	100000, 80,
	"for each so many VMs of the domain, two heartbeat_ms make the interval "
	"of heartbeats and suspect_ms is added to the time until a VM is "
	"suspected; 0: never"),
    NUMBER("member", "suspect_ms", KEY_MS, core.member.suspect_ms, 200,
	10 * MINUTE, 2000,
	"time without heartbeats until a VM is suspected: 3 lost in a row"),
    NUMBER("member", "forget_ms", KEY_MS, core.member.forget_ms, MINUTE,
	7 * DAY, HOUR,
	"time without heartbeats until a VM is no longer contacted"),

    NUMBER("lease", "lease_ms", KEY_MS, core.lease.lease_ms, 500, 10 * MINUTE,
	6000, "lease on the domain's duties; renewed after a third of it"),
    NUMBER("lease", "margin_ms", KEY_MS, core.lease.margin_ms, 100, MINUTE,
	1500, "an observer waits this much longer, as clock rates differ"),
    NUMBER("lease", "grace_ms", KEY_MS, core.lease.grace_ms, 0, HOUR, 15000,
	"wait of a successor where servers ignore fencing numbers"),

    NUMBER("ledger", "retention_ms", KEY_MS, core.ledger.retention_ms, MINUTE,
	7 * DAY, 2 * HOUR, "how long an idempotency key is kept"),
    NUMBER("ledger", "ack_timeout_ms", KEY_MS, core.ledger.ack_timeout_ms, 50,
	MINUTE, 1000, "wait for the witness before a call is refused"),
    NUMBER("ledger", "takeover_ms", KEY_MS, core.ledger.takeover_ms, 500,
	10 * MINUTE, 3000,
	"time without heartbeats until others take a VM's slots and claims"),
    NUMBER("ledger", "answer_max", KEY_SIZE, core.ledger.answer_max, 0, 65536,
	8192, "bytes; a larger response is not stored for replay"),
    NUMBER("ledger", "record_max", KEY_SIZE, core.ledger.record_max, 1000,
	10000000, 200000,
	"maximum number of records; beyond it calls are refused"),

    NUMBER("dispatch", "retry_share", KEY_REAL, core.dispatch.retry_share, 0, 1,
	0.1, "retries per first attempt: a retry storm adds at most a tenth"),
    NUMBER("dispatch", "retry_floor", KEY_U32, core.dispatch.retry_floor, 0,
	1000, 10, "retries allowed when there are few requests"),
    NUMBER("dispatch", "withdraw_retry_ms", KEY_MS,
	core.dispatch.withdraw_retry_ms, 0, MINUTE, 250,
	"pause of batch on a server after it gave way to online requests"),
    NUMBER("dispatch", "batch_start", KEY_U32, core.dispatch.batch_start, 0,
	256, 2, "initial batch limit of a server without measurements"),
    NUMBER("dispatch", "batch_most", KEY_U32, core.dispatch.batch_most, 0, 4096,
	256, "maximum batch limit a server can reach"),

    NUMBER("quarantine", "strikes", KEY_U32, core.quarantine.strikes, 1, 10, 2,
	"backend server crashes after which a request is refused"),
    NUMBER("quarantine", "suspect_ms", KEY_MS, core.quarantine.suspect_ms,
	SECOND, DAY, 10 * MINUTE,
	"a crash report against a request expires after"),
    NUMBER("quarantine", "quarantine_ms", KEY_MS, core.quarantine.quarantine_ms,
	SECOND, 7 * DAY, HOUR, "how long a quarantined request is refused"),
    NUMBER("quarantine", "most", KEY_SIZE, core.quarantine.most, 256, 1048576,
	65536, "maximum number of fingerprints kept"),

    NUMBER("batch", "lease_ms", KEY_MS, batch.lease_ms, SECOND, HOUR, 15000,
	"lease on a chunk: rework after a crash traded against writes"),
    NUMBER("batch", "margin_ms", KEY_MS, batch.margin_ms, 100, MINUTE, 3000,
	"an observer waits this much longer before taking a chunk over"),
    NUMBER("batch", "checkpoint_ms", KEY_MS, batch.checkpoint_ms, 200, HOUR,
	5000, "interval of lease renewals, each with the results so far"),
    NUMBER("batch", "chunks", KEY_U32, batch.chunks, 0, 256, 4,
	"maximum chunks claimed at a time; 0: this VM runs no batch"),
    NUMBER("batch", "item_attempts", KEY_U32, batch.item_attempts, 1, 100, 4,
	"runs of one item before it is recorded as failed"),
    NUMBER("batch", "item_retry_ms", KEY_MS, batch.item_retry_ms, 1, HOUR, 500,
	"initial delay before a re-run"),
    NUMBER("batch", "relist_ms", KEY_MS, batch.relist_ms, SECOND, HOUR, 30000,
	"interval of listing all jobs, in case a watch lost events"),
    NUMBER("batch", "retry_ms", KEY_MS, batch.retry_ms, 10, MINUTE, 200,
	"initial delay after a failed platform call"),
    NUMBER("batch", "checkpoint_bytes", KEY_SIZE, batch.checkpoint_bytes, 4096,
	1000000, 600000,
	"maximum size of a checkpoint; a stored value holds 1 MB"),

    NUMBER("intake", "part_items", KEY_U32, intake.part_items, 1, 10000, 500,
	"items per part: write rate traded against rework after a crash"),
    NUMBER("intake", "part_bytes", KEY_SIZE, intake.part_bytes, 4096, 1000000,
	700000, "maximum size of a part's lines; a stored value holds 1 MB"),
    NUMBER("intake", "line_bytes", KEY_SIZE, intake.line_bytes, 1024, 1000000,
	262144, "maximum line length of a batch file"),
    NUMBER("intake", "file_items", KEY_U32, intake.file_items, 1, 10000000,
	400000, "maximum number of items in a file"),
    NUMBER("intake", "parts_pending", KEY_U32, intake.parts_pending, 1, 64, 2,
	"part writes in progress per upload; limits its memory"),
    NUMBER("intake", "tries", KEY_U32, intake.tries, 1, 100, 6,
	"attempts per write"),
    NUMBER("intake", "retry_ms", KEY_MS, intake.retry_ms, 10, MINUTE, 200,
	"initial delay between attempts, doubles"),

    NUMBER("jobs", "tries", KEY_U32, jobs.tries, 1, 100, 4,
	"attempts per platform call"),
    NUMBER("jobs", "retry_ms", KEY_MS, jobs.retry_ms, 10, MINUTE, 100,
	"initial delay between attempts, doubles"),
    NUMBER("jobs", "operation_ms", KEY_MS, jobs.operation_ms, 500, 10 * MINUTE,
	8000, "an operation is abandoned after"),
    NUMBER("jobs", "retry_after_ms", KEY_MS, jobs.retry_after_ms, 100,
	10 * MINUTE, 2000, "retry delay sent to refused callers"),

    NUMBER("orders", "settle_ms", KEY_MS, core.orders.settle_ms, 0, HOUR, 2000,
	"a target must be stable this long before an order; avoids flapping"),
    NUMBER("orders", "retry_ms", KEY_MS, core.orders.retry_ms, 100, HOUR, 3000,
	"an unanswered order is sent again after"),
    NUMBER("orders", "at_once", KEY_U32, core.orders.at_once, 1, 256, 2,
	"concurrent load orders; the weight store is rate-limited"),
    NUMBER("orders", "spacing_ms", KEY_MS, core.orders.spacing_ms, 0, HOUR, 500,
	"minimum interval between load orders"),

    NUMBER("config", "call_timeout_ms", KEY_MS, core.config.call_timeout_ms,
	100, 10 * MINUTE, 4000, "a patch is abandoned after"),

    NUMBER("core", "vms_poll_ms", KEY_MS, core.vms_poll_ms, 200, 10 * MINUTE,
	2000, "interval of reading the platform's VM list"),
    NUMBER("core", "pause_ms", KEY_MS, core.pause_ms, 100, MINUTE, 1000,
	"a longer gap between ticks counts as a pause of the process"),
    NUMBER("core", "resend_ms", KEY_MS, core.resend_ms, 50, MINUTE, 500,
	"a forwarded call without any reply is sent again; doubles twice"),

    NUMBER("log", "level", KEY_LEVEL, log.level, 0, 0, JJ_LOG_INFO,
	"events of this level and more severe ones"),
    TEXT("log", "file", KEY_PATH, log.file, false,
	"appended to; \"-\": standard output; absent: standard error"),

    TEXT("trace", "file", KEY_PATH, trace.file, false,
	"OTLP JSON lines; absent: spans are only kept in memory"),
    NUMBER("trace", "share", KEY_REAL, trace.share, 0, 1, 0.01,
	"share of the traces started here that is exported"),
    NUMBER("trace", "ring", KEY_U32, trace.ring, 16, 65536, 2048,
	"spans kept for `jujubectl trace`; 1.2 KB each"),
    NUMBER("trace", "flush_ms", KEY_MS, trace.flush_ms, 50, MINUTE, 1000,
	"interval of writes to the file"),

    NUMBER("gateway", "idle", KEY_BOOL, gateway_idle, 0, 1, 0,
	"standby: this VM neither accepts nor runs requests"),
    TEXT("gateway", "fair_shares", KEY_SWITCH, fair_shares, false,
	"scarce slots are divided fairly among teams, else routes; absent: "
	"`platform.contracts` decides"),
    TEXT("gateway", "avoid_failing", KEY_SWITCH, avoid_failing, false,
	"servers that fail much of what they get are avoided; absent: "
	"`platform.contracts` decides"),
    NUMBER("gateway", "reserve", KEY_U32, gateway.slots.reserve, 0, 64, 1,
	"request slots of a server that batch leaves free for online"),
    NUMBER("gateway", "queue_most", KEY_U32, gateway.slots.queue_most, 0, 1000,
	6, "maximum online requests queued per server; more would be late"),
    NUMBER("gateway", "connect_ms", KEY_MS, gateway.connect_ms, 10, MINUTE, 250,
	"servers are a few ms away; an unreachable one takes all of it"),
    NUMBER("gateway", "connect_tries", KEY_U32, gateway.connect_tries, 0, 64, 4,
	"further servers tried until one accepts the connection"),
    NUMBER("gateway", "stall_ms", KEY_MS, gateway.stall_ms, 100, MINUTE, 1500,
	"a repeatable stream without data moves to another server after"),
    NUMBER("gateway", "retry_after_ms", KEY_MS, gateway.retry_after_ms, 10,
	MINUTE, 250,
	"retry delay sent to refused callers: some requests end meanwhile"),
    NUMBER("gateway", "news_ms", KEY_MS, gateway.news_ms, 300, MINUTE, 2000,
	"configuration and server states are in force at each VM within"),
    NUMBER("gateway", "watch_wait_ms", KEY_MS, gateway.watch_wait_ms, 100,
	10 * MINUTE, 2000,
	"how long a watch may wait, news_ms at most; a lost one is noticed after"),
    NUMBER("gateway", "spacing_ms", KEY_MS, gateway.spacing_ms, 0, MINUTE, 400,
	"delay from a server update to the next watch; groups events"),
    NUMBER("gateway", "backoff_ms", KEY_MS, gateway.backoff_ms, 10, MINUTE, 200,
	"initial delay after a failed platform call; doubles"),
    NUMBER("gateway", "backoff_most_ms", KEY_MS, gateway.backoff_most_ms, 10,
	10 * MINUTE, 1600, "maximum of this delay"),
    NUMBER("gateway", "vms_poll_ms", KEY_MS, gateway.vms_poll_ms, 100,
	10 * MINUTE, 5000,
	"interval of reading the VM list; new VMs announce themselves"),
    NUMBER("gateway", "relist_grace_ms", KEY_MS, gateway.relist_grace_ms, 0,
	MINUTE, 2000, "time for entries that expired in an outage to reappear"),
    NUMBER("gateway", "tell_near_ms", KEY_MS, gateway.tell_near_ms, 1, MINUTE,
	10, "interval of load reports to VMs of the same failure domain"),
    NUMBER("gateway", "tell_far_ms", KEY_MS, gateway.tell_far_ms, 1, MINUTE,
	100, "interval of load reports to all VMs of the region, sized for 12"),

    NUMBER("inline", "publish_ms", KEY_MS, gateway.jobs.publish_ms, 0, MINUTE,
	1500, "how long results of a job are collected for one write"),
    NUMBER("inline", "takeover_ms", KEY_MS, gateway.jobs.takeover_ms, 0,
	10 * MINUTE, 1500,
	"time for a job's lost VM to rejoin before its job is taken over"),
    NUMBER("inline", "alone_ms", KEY_MS, gateway.jobs.alone_ms, 0, 10 * MINUTE,
	6000,
	"same, if nothing arrives from other VMs: this one may be cut off"),
    NUMBER("inline", "retry_ms", KEY_MS, gateway.jobs.retry_ms, 1, MINUTE, 60,
	"initial delay after a failed platform call; doubles"),
    NUMBER("inline", "retry_most_ms", KEY_MS, gateway.jobs.retry_most_ms, 1,
	10 * MINUTE, 1000, "maximum of this delay"),
    NUMBER("inline", "submit_ms", KEY_MS, gateway.jobs.submit_ms, 100,
	10 * MINUTE, 3000, "submitting or ending a job is abandoned after"),
    NUMBER("inline", "read_ms", KEY_MS, gateway.jobs.read_ms, 100, 10 * MINUTE,
	1500, "a read that the platform does not answer is refused after"),
    NUMBER("inline", "orphan_ms", KEY_MS, gateway.jobs.orphan_ms, 1000, HOUR,
	15000,
	"an open entry without a job is kept; writes may apply seconds late"),
    NUMBER("inline", "keep_ms", KEY_MS, gateway.jobs.keep_ms, 0, HOUR, 2500,
	"how long results of an ended job stay in memory for readers"),
    NUMBER("inline", "item_retry_ms", KEY_MS, gateway.jobs.item_retry_ms, 1,
	HOUR, 200, "initial delay of an item that failed on a server; doubles"),
    NUMBER("inline", "mirror_spacing_ms", KEY_MS,
	gateway.jobs.mirror_spacing_ms, 0, MINUTE, 1500,
	"delay from an open-jobs update to the next watch; groups events"),
    NUMBER("inline", "state_fresh_ms", KEY_MS, gateway.jobs.state_fresh_ms, 100,
	MINUTE, 850,
	"validity of a VM's job status, which is sent every 400 ms"),
    NUMBER("inline", "retry_after_ms", KEY_MS, gateway.jobs.retry_after_ms, 10,
	10 * MINUTE, 500, "retry delay sent to refused submitters"),

    NUMBER("stop", "grace_s", KEY_REAL, stop.grace_s, 0, 3600, 0,
	"a stopping process is killed after; 0: never"),
    NUMBER("stop", "least_ms", KEY_MS, stop.least_ms, 0, HOUR, 0,
	"minimum duration of a planned stop: a balancer must notice it"),
    NUMBER("stop", "drain_ms", KEY_MS, stop.drain_ms, 0, HOUR, MINUTE,
	"maximum wait of a planned stop for requests in progress"),

    NUMBER("faults", "enabled", KEY_BOOL, faults, 0, 1, 0,
	"lets tests cut this VM off from neighbours; never in production"),
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
	"refuses orders with an old fencing number; false is the safe choice"),
};

static const table_array_t lists[] = {
    {"neighbours", neighbour_keys, COUNT(neighbour_keys),
	sizeof(jj_neighbour_seed_t), OFFSET(neighbours),
	OFFSET(neighbour_count)},
    {"servers", server_keys, COUNT(server_keys), sizeof(jj_server_seed_t),
	OFFSET(servers), OFFSET(server_count)},
};

static const relation_t relations[] = {
    {"member", "heartbeat_ms", OFFSET(core.member.heartbeat_ms), 2,
	"member.suspect_ms", OFFSET(core.member.suspect_ms),
	"one lost heartbeat must not make a VM suspected"},
    {"member", "suspect_ms", OFFSET(core.member.suspect_ms), 1,
	"member.forget_ms", OFFSET(core.member.forget_ms),
	"a VM is suspected before it is forgotten"},
    {"member", "suspect_ms", OFFSET(core.member.suspect_ms), 1,
	"ledger.takeover_ms", OFFSET(core.ledger.takeover_ms),
	"slots of a VM that is not yet suspected must not be taken over"},
    {"batch", "checkpoint_ms", OFFSET(batch.checkpoint_ms), 2, "batch.lease_ms",
	OFFSET(batch.lease_ms), "one lost renewal must not lose the claim"},
};

bool
jj_settings_load(jj_settings_t *settings, const char *path, char *error_text,
    size_t error_text_size)
{
	error_sink_t sink = {path, error_text, error_text_size};

	return read_document(
	    &sink, jj_toml_load(path, error_text, error_text_size), settings);
}

bool
jj_settings_parse(jj_settings_t *settings, const char *text, size_t size,
    const char *name, char *error_text, size_t error_text_size)
{
	error_sink_t sink = {name, error_text, error_text_size};

	return read_document(&sink,
	    jj_toml_parse(text, size, name, error_text, error_text_size),
	    settings);
}

bool
jj_settings_resolve_switch(
    jj_switch_t given, bool required, const char **origin)
{
	if (given != JJ_SWITCH_ABSENT) {
		*origin = "settings";
		return given == JJ_SWITCH_ON;
	}
	*origin = required ? "contracts" : "default";
	return required;
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
	char bounds[VALUE_PRINT_MAX], default_value[VALUE_PRINT_MAX];
	FILE *stream = open_memstream(&text.data, &text.size);
	const setting_t *key;

	JJ_INVARIANT(stream != NULL);
	(void)fprintf(stream,
	    "| key | value | default | what for |\n"
	    "|---|---|---|---|\n");
	for (key = settings_keys; key < settings_keys + KEY_COUNT; key++) {
		describe_bounds(key, bounds, sizeof(bounds));
		print_default(key, default_value, sizeof(default_value));
		(void)fprintf(stream, "| `%s%s%s` | %s | %s | %s |\n",
		    key->table, key->table[0] != '\0' ? "." : "", key->key,
		    bounds, default_value, key->reason);
	}
	JJ_INVARIANT(fclose(stream) == 0);
	return text;
}

/* Takes ownership of the document and frees it. */
static bool
read_document(
    const error_sink_t *sink, jj_toml_t *toml, jj_settings_t *settings)
{
	const jj_toml_node_t *root;
	bool valid;

	memset(settings, 0, sizeof(*settings));
	if (toml == NULL)
		return false;
	root = jj_toml_root(toml);
	valid = check_unknown(sink, root) && read_keys(sink, root, settings) &&
	    read_lists(sink, root, settings) &&
	    check_relations(sink, root, settings);
	jj_toml_destroy(toml);
	if (valid)
		copy_identity(settings);
	else
		jj_settings_clear(settings);
	return valid;
}

/*
 * Rejects unknown keys. A misspelt key would otherwise be ignored and its
 * default silently used, which may not be noticed before an incident.
 */
static bool
check_unknown(const error_sink_t *sink, const jj_toml_node_t *root)
{
	const jj_toml_node_t *node;
	const char *name;
	size_t i;

	for (i = 0; i < jj_toml_count(root); i++) {
		name = jj_toml_key_at(root, i);
		node = jj_toml_at(root, i);
		if (find_list(name) != NULL || find_key("", name) != NULL)
			continue;
		if (!is_known_table(name))
			return set_error(sink, node, name, UNKNOWN_KEY);
		if (!check_table(sink, node, name))
			return false;
	}
	return true;
}

static bool
check_table(
    const error_sink_t *sink, const jj_toml_node_t *table, const char *name)
{
	char dotted[KEY_PRINT_MAX];
	const char *key;
	size_t i;

	if (jj_toml_type(table) != JJ_TOML_TABLE)
		return set_error(sink, table, name, "must be a table");
	for (i = 0; i < jj_toml_count(table); i++) {
		key = jj_toml_key_at(table, i);
		if (find_key(name, key) != NULL)
			continue;
		(void)snprintf(dotted, sizeof(dotted), "%s.%.64s", name, key);
		return set_error(
		    sink, jj_toml_at(table, i), dotted, UNKNOWN_KEY);
	}
	return true;
}

static bool
read_keys(const error_sink_t *sink, const jj_toml_node_t *root,
    jj_settings_t *settings)
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
		if (!read_key(sink, table, key, dotted, (char *)settings))
			return false;
	}
	return true;
}

/* Reads one key of a table (NULL: the table is absent) into its field. */
static bool
read_key(const error_sink_t *sink, const jj_toml_node_t *table,
    const setting_t *key, const char *dotted, char *owner)
{
	const jj_toml_node_t *node = NULL;
	char bounds[VALUE_PRINT_MAX], requirement[VALUE_PRINT_MAX + 16];
	int line = 1;

	if (table != NULL) {
		node = jj_toml_find(table, key->key);
		line = jj_toml_line(table);
	}
	if (node == NULL && !key->required) {
		store_number(key, key->default_value, owner + key->offset);
		return true;
	}
	if (node != NULL && read_value(node, key, owner + key->offset))
		return true;
	describe_bounds(key, bounds, sizeof(bounds));
	(void)snprintf(requirement, sizeof(requirement), "must be %s", bounds);
	if (node != NULL)
		return set_error(sink, node, dotted, requirement);
	(void)snprintf(sink->error_text, sink->error_text_size,
	    "%s:%d: key '%s' is missing: %s", sink->file, line > 0 ? line : 1,
	    dotted, requirement);
	return false;
}

static bool
read_value(const jj_toml_node_t *node, const setting_t *key, char *field)
{
	switch (key->type) {
	case KEY_MS:
	case KEY_U32:
	case KEY_SIZE:
	case KEY_REAL:
		return read_number(node, key, field);
	case KEY_BOOL:
		return jj_toml_get_boolean(node, (bool *)field);
	case KEY_SWITCH:
		return read_switch(node, (jj_switch_t *)(void *)field);
	case KEY_CONTRACTS:
		return read_contracts(node, (jj_contracts_t *)(void *)field);
	default:
		return read_text(node, key, field);
	}
}

static bool
read_number(const jj_toml_node_t *node, const setting_t *key, char *field)
{
	double number;
	int64_t integer;

	if (key->type != KEY_REAL && !jj_toml_get_integer(node, &integer))
		return false;
	if (!jj_toml_get_real(node, &number))
		return false;
	/* Compared this way round, the bounds also reject a NaN. */
	if (!(number >= key->minimum && number <= key->maximum))
		return false;
	store_number(key, number, field);
	return true;
}

/* All bounds are far below 2^53, so a double represents integers exactly. */
static void
store_number(const setting_t *key, double number, char *field)
{
	switch (key->type) {
	case KEY_MS:
		*(jj_ms_t *)(void *)field = (jj_ms_t)number;
		break;
	case KEY_U32:
		*(uint32_t *)(void *)field = (uint32_t)number;
		break;
	case KEY_SIZE:
		*(size_t *)(void *)field = (size_t)number;
		break;
	case KEY_REAL:
		*(double *)(void *)field = number;
		break;
	case KEY_LEVEL:
		*(jj_log_level_t *)(void *)field = (jj_log_level_t)number;
		break;
	default:
		break;
	}
}

static bool
read_text(const jj_toml_node_t *node, const setting_t *key, char *field)
{
	const char *text;
	size_t size;

	if (!jj_toml_get_text(node, &text, &size))
		return false;
	if (size == 0 || strlen(text) != size)
		return false;
	if (key->type == KEY_LEVEL)
		return jj_log_parse_level(
		    text, (jj_log_level_t *)(void *)field);
	if (key->type == KEY_NAME && !is_name(text, size))
		return false;
	if (key->type == KEY_ADDRESS && !is_address(text, size))
		return false;
	if (size > (key->type == KEY_PATH ? JJ_SETTINGS_PATH_MAX : JJ_NAME_MAX))
		return false;
	memcpy(field, text, size + 1);
	return true;
}

static bool
read_switch(const jj_toml_node_t *node, jj_switch_t *field)
{
	bool value;

	if (!jj_toml_get_boolean(node, &value))
		return false;
	*field = value ? JJ_SWITCH_ON : JJ_SWITCH_OFF;
	return true;
}

/* Any short text is valid: a platform may have contracts not known here. */
static bool
read_contracts(const jj_toml_node_t *node, jj_contracts_t *field)
{
	const char *text;
	size_t size, i;

	if (jj_toml_type(node) != JJ_TOML_ARRAY ||
	    jj_toml_count(node) > JJ_SETTINGS_CONTRACTS_MAX)
		return false;
	for (i = 0; i < jj_toml_count(node); i++) {
		if (!jj_toml_get_text(jj_toml_at(node, i), &text, &size) ||
		    size == 0 || size > JJ_NAME_MAX || strlen(text) != size)
			return false;
		memcpy(field->names[i].text, text, size + 1);
	}
	field->count = i;
	return true;
}

/* Names are used in platform keys, log lines and metric labels. */
static bool
is_name(const char *text, size_t size)
{
	return strspn(text,
		   "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
		   "0123456789._-") == size;
}

/* IP:PORT or [IP]:PORT; a host name would need a resolver at run time. */
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
read_lists(const error_sink_t *sink, const jj_toml_node_t *root,
    jj_settings_t *settings)
{
	const jj_toml_node_t *array;
	size_t i;

	for (i = 0; i < COUNT(lists); i++) {
		array = jj_toml_find(root, lists[i].table);
		if (array == NULL)
			continue;
		if (jj_toml_type(array) != JJ_TOML_ARRAY ||
		    jj_toml_count(array) > SEEDS_MAX)
			return set_error(sink, array, lists[i].table,
			    "must be an array of at most 4096 tables");
		if (!read_list(sink, array, &lists[i], (char *)settings))
			return false;
	}
	return true;
}

static bool
read_list(const error_sink_t *sink, const jj_toml_node_t *array,
    const table_array_t *list, char *owner)
{
	size_t count = jj_toml_count(array), i;
	char *elements = jj_alloc(count * list->size);

	/* Stored first, so that jj_settings_clear frees them after an error. */
	memcpy(owner + list->offset, &elements, sizeof(elements));
	memcpy(owner + list->count_offset, &count, sizeof(count));
	for (i = 0; i < count; i++) {
		if (!read_element(sink, array, list, i, elements) ||
		    !check_unique_name(sink, array, list, i, elements))
			return false;
	}
	return true;
}

static bool
read_element(const error_sink_t *sink, const jj_toml_node_t *array,
    const table_array_t *list, size_t index, char *elements)
{
	const jj_toml_node_t *table = jj_toml_at(array, index);
	char dotted[KEY_PRINT_MAX];
	const char *name;
	size_t i;

	if (jj_toml_type(table) != JJ_TOML_TABLE)
		return set_error(sink, table, list->table, "must be a table");
	for (i = 0; i < jj_toml_count(table); i++) {
		name = jj_toml_key_at(table, i);
		if (find_setting(list->keys, list->key_count, "", name) != NULL)
			continue;
		(void)snprintf(
		    dotted, sizeof(dotted), "%s.%.64s", list->table, name);
		return set_error(
		    sink, jj_toml_at(table, i), dotted, UNKNOWN_KEY);
	}
	for (i = 0; i < list->key_count; i++) {
		(void)snprintf(dotted, sizeof(dotted), "%s.%s", list->table,
		    list->keys[i].key);
		if (!read_key(sink, table, &list->keys[i], dotted,
			elements + index * list->size))
			return false;
	}
	return true;
}

/* With duplicate names, one VM or server would be mistaken for the other. */
static bool
check_unique_name(const error_sink_t *sink, const jj_toml_node_t *array,
    const table_array_t *list, size_t index, const char *elements)
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
		return set_error(sink, jj_toml_find(table, "name"), dotted,
		    "must be unique in its list");
	}
	return true;
}

static bool
check_relations(const error_sink_t *sink, const jj_toml_node_t *root,
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
		(void)snprintf(sink->error_text, sink->error_text_size,
		    "%s:%d: key '%s.%s' = %" PRId64 ": must be at most %" PRId64
		    " (%s = %" PRId64 "): %s",
		    sink->file, node != NULL ? jj_toml_line(node) : 1,
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
		    key->minimum, key->maximum,
		    key->type == KEY_MS ? " (ms)" : "");
		break;
	case KEY_REAL:
		(void)snprintf(text, size, "a number from %g to %g",
		    key->minimum, key->maximum);
		break;
	case KEY_BOOL:
	case KEY_SWITCH:
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
	case KEY_CONTRACTS:
		(void)snprintf(text, size,
		    "an array of at most %d strings of 1 to %d bytes",
		    JJ_SETTINGS_CONTRACTS_MAX, JJ_NAME_MAX);
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
		(void)snprintf(text, size, "%.10g", key->default_value);
}

/* Writes the error message for a node; always returns false. */
static bool
set_error(const error_sink_t *sink, const jj_toml_node_t *node, const char *key,
    const char *requirement)
{
	char value[VALUE_PRINT_MAX];

	jj_toml_print(node, value, sizeof(value));
	/* Tables print as several lines; the message has only one. */
	value[strcspn(value, "\r\n")] = '\0';
	(void)snprintf(sink->error_text, sink->error_text_size,
	    "%s:%d: key '%.64s' = %s: %s", sink->file, jj_toml_line(node), key,
	    value, requirement);
	return false;
}

static const setting_t *
find_setting(
    const setting_t *keys, size_t count, const char *table, const char *key)
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
	return find_setting(settings_keys, KEY_COUNT, table, key);
}

static bool
is_known_table(const char *name)
{
	size_t i;

	for (i = 0; i < KEY_COUNT; i++) {
		if (strcmp(settings_keys[i].table, name) == 0)
			return true;
	}
	return false;
}

static const table_array_t *
find_list(const char *name)
{
	size_t i;

	for (i = 0; i < COUNT(lists); i++) {
		if (strcmp(lists[i].table, name) == 0)
			return &lists[i];
	}
	return NULL;
}

/* Copies this VM's identity into the settings of the modules that use it. */
static void
copy_identity(jj_settings_t *settings)
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
