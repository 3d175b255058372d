/**
 * @file message.h
 * @brief Types of the messages between VMs; the wire codec is an adapter.
 *
 * Any message may be lost, repeated, delayed or reordered: ZeroMQ queues while
 * a neighbour is unreachable and delivers old messages after a reconnect. The
 * header's incarnation and sequence let the receiver drop stale ones.
 */
#ifndef JJ_CORE_MESSAGE_H
#define JJ_CORE_MESSAGE_H

#include "core/platform_call.h"

/** Protocol version; messages of another version are dropped and counted. */
#define JJ_MESSAGE_VERSION 3
/** Maximum bytes of documents, bodies and events in one message. */
#define JJ_MESSAGE_BYTES_MAX (4 * 1048576)
/** Maximum servers in one message of changed loads. */
#define JJ_MESSAGE_LOADS_MAX 128
/** Maximum server loads in one heartbeat; a fleet has 2,300 servers. */
#define JJ_HEARTBEAT_LOADS_MAX 4096
/** Maximum ledger records in one sync message. */
#define JJ_MESSAGE_RECORDS_MAX 64
/** Size of a job id in a message, with its NUL. */
#define JJ_MESSAGE_JOB_ID_SIZE 128
/** Size of an item's id in a message, with its NUL. */
#define JJ_MESSAGE_ITEM_ID_SIZE 128
/** Maximum jobs in one message of job states. */
#define JJ_MESSAGE_JOB_STATES_MAX 64
/** Maximum server crashes that are kept and sent per request. */
#define JJ_MESSAGE_CRASHES_MAX 4
/** Maximum requests in one message of the crash history. */
#define JJ_MESSAGE_CRASH_HISTORY_MAX 48
/** Maximum fingerprints in one crash report. */
#define JJ_MESSAGE_SUSPECTS_MAX 64
/** Maximum server crashes that are kept and sent per part of a prompt. */
#define JJ_PART_CRASHES_MAX 8
/** Maximum parts of prompts in one message. */
#define JJ_MESSAGE_PARTS_MAX 32
/** Maximum parts of an unanswered attempt that are kept and sent. */
#define JJ_UNANSWERED_PARTS_MAX 8
/** Maximum number of streams in one message. */
#define JJ_MESSAGE_ORIGINS_MAX 32
/** Maximum teams in one message about allowances. */
#define JJ_MESSAGE_TEAMS_MAX 32
/** Maximum servers in one message of outcomes. */
#define JJ_MESSAGE_OUTCOMES_MAX 32
/** Maximum contents that failed at a server in one message. */
#define JJ_OUTCOME_CONTENTS_MAX 4
/** Maximum groups in one message about shares; the rest is added up. */
#define JJ_MESSAGE_SHARES_MAX 128

typedef enum {
	JJ_MESSAGE_HEARTBEAT = 1,
	JJ_MESSAGE_PROBE, /**< requests an echo from an unknown incarnation */
	JJ_MESSAGE_PROBE_ECHO, /**< only the running process can send it */
	JJ_MESSAGE_CONFIG_REQUEST, /**< requests a newer configuration */
	JJ_MESSAGE_CONFIG, /**< a complete configuration */
	JJ_MESSAGE_LOAD, /**< loads that changed */
	JJ_MESSAGE_CALL, /**< entry VM to home: run this call at most once */
	JJ_MESSAGE_CALL_ANSWER, /**< home to entry VM */
	JJ_MESSAGE_INTENT, /**< home to witness: about to run a call */
	JJ_MESSAGE_INTENT_ACK, /**< witness to home */
	JJ_MESSAGE_RESOLVE, /**< home to witness: the outcome of a call */
	JJ_MESSAGE_SYNC, /**< home to new witness: records of a slot */
	JJ_MESSAGE_SYNC_ACK, /**< witness to home: one part is stored */
	JJ_MESSAGE_SLOTS, /**< newest slot table, as stored */
	/** a backend server crashed with these requests on it */
	JJ_MESSAGE_CRASH,
	/**
	 * a backend server is leaving or down, or lived after a reported crash
	 */
	JJ_MESSAGE_SERVER_STATE,
	JJ_MESSAGE_JOBS, /**< job events of the speaker's watch */
	JJ_MESSAGE_VMS, /**< the platform's VM list, body as in JOBS */
	/**
	 * stop a batch item at that server: an online request needs its slot
	 */
	JJ_MESSAGE_YIELD,
	/** the client of this job of the receiver has ended it */
	JJ_MESSAGE_JOB_ENDED,
	JJ_MESSAGE_RELAY, /**< events of a watch, for VMs that do not watch */
	JJ_MESSAGE_JOB_STATES, /**< states of the jobs that the sender runs */
	/** crash history: requests known to have crashed servers */
	JJ_MESSAGE_CRASH_HISTORY,
	/**
	 * requests a platform call by the receiver, as the sender cannot reach
	 * the platform
	 */
	JJ_MESSAGE_BORROW,
	JJ_MESSAGE_BORROW_RESULT, /**< the result of such a call */
	/** requests results or an item of the receiver's job, for a reader */
	JJ_MESSAGE_JOB_READ,
	/** the results, or none: read them from the platform */
	JJ_MESSAGE_JOB_PAGE,
	/** to the home of a team: requests that the sender admitted */
	JJ_MESSAGE_TEAM_USE,
	JJ_MESSAGE_TEAM_GRANT, /**< by the home: requests it may admit */
	/** software versions at which streams began (stream_origins.h) */
	JJ_MESSAGE_STREAM_ORIGINS,
	JJ_MESSAGE_ORIGIN_QUERY, /**< requests that of one stream */
	JJ_MESSAGE_ORIGIN_REPLY,
	/** an attempt of the sender that ended without an answer */
	JJ_MESSAGE_UNANSWERED,
	/** parts of the prompt of such an attempt, right after it */
	JJ_MESSAGE_UNANSWERED_PARTS,
	/** servers that crashed under parts of prompts (crash_parts.h) */
	JJ_MESSAGE_PART_CRASHES,
	/** answers with these parts were completed: they crash no servers */
	JJ_MESSAGE_PARTS_COMPLETED,
	/** answers of servers under suspicion (outcome/outcome.h) */
	JJ_MESSAGE_SERVER_OUTCOMES,
	/** to the home of a service: demand of its groups (share/share.h) */
	JJ_MESSAGE_SHARE_DEMAND,
	JJ_MESSAGE_SHARE_LEVEL, /**< by the home: the shares of the groups */
	JJ_MESSAGE_KIND_END,
} jj_message_kind_t;

/** Load that a VM puts on one backend server. */
typedef struct {
	uint64_t server; /**< jj_dispatch_hash_server of its name */
	uint32_t online; /**< online requests in flight */
	uint32_t batch; /**< batch items in flight */
	/** of these, requests suspected of crashing servers */
	uint32_t suspects;
} jj_load_t;

typedef enum {
	JJ_VM_STARTING,
	JJ_VM_SERVING,
	JJ_VM_LEAVING,
} jj_vm_state_t;

typedef struct {
	jj_vm_state_t state;
	jj_name_t domain;
	jj_name_t failure_domain;
	/** IP:PORT that neighbours connect to */
	char address[JJ_NAME_MAX + 1];
	uint64_t config_version;
	uint64_t slots_version; /**< platform version of the slot table */
	/**
	 * Highest sequence that the sender has accepted from the receiver's
	 * process, 0: none. Shows when the sender was alive: see member.h.
	 */
	uint64_t ack_sequence;
	uint32_t load_count;
	jj_load_t *loads; /**< owned; all servers where it has requests */
} jj_heartbeat_t;

/** State of one idempotency key. */
typedef enum {
	JJ_RECORD_INTENT, /**< may have been sent */
	JJ_RECORD_DONE, /**< ran; answer kept when small enough */
	JJ_RECORD_UNKNOWN, /**< may have run; the outcome cannot be learned */
} jj_record_state_t;

/** Record of one idempotency key, as sent between home and witness. */
typedef struct {
	jj_hash_t key;
	uint64_t fingerprint; /**< of service, path and body */
	uint32_t attempt; /**< counts intents of this key at its home */
	jj_record_state_t state;
	jj_ms_t age_ms; /**< age of the record by the sender's clock */
	int32_t status; /**< HTTP status of a DONE record */
	jj_bytes_t answer; /**< body of a DONE record, empty when too large */
} jj_record_t;

/** Outcome of a non-idempotent call, as sent to its entry VM. */
typedef enum {
	JJ_CALL_DONE, /**< ran; status and body are its answer */
	JJ_CALL_REPLAYED, /**< ran earlier; this is the stored answer */
	JJ_CALL_IN_PROGRESS, /**< an earlier attempt has not ended yet */
	JJ_CALL_MISMATCH, /**< same key, other content; not run */
	JJ_CALL_NOT_RUN, /**< certainly not run under this key */
	JJ_CALL_UNKNOWN, /**< may have run; never sent again */
	JJ_CALL_NO_HISTORY, /**< this attempt not run, earlier ones unknown */
} jj_call_outcome_t;

typedef struct {
	uint64_t call; /**< the entry VM's number */
	uint32_t slot;
	uint64_t epoch; /**< epoch of the slot in the sender's table */
	jj_hash_t key;
	uint64_t fingerprint;
	jj_ms_t budget_ms; /**< time left until the caller's deadline */
	jj_name_t service;
	jj_bytes_t path;
	jj_bytes_t body;
	char trace[56]; /**< W3C traceparent */
	char key_text[JJ_IDEMPOTENCY_KEY_MAX + 1];
} jj_call_t;

typedef struct {
	uint64_t call;
	jj_call_outcome_t outcome;
	int32_t status;
	jj_ms_t retry_after_ms;
	jj_bytes_t body;
} jj_call_answer_t;

typedef struct {
	uint32_t slot;
	uint64_t epoch;
	jj_record_t record;
} jj_intent_t;

typedef struct {
	uint32_t slot;
	uint64_t epoch;
	jj_hash_t key;
	uint32_t attempt;
	/** false: refused, e.g. by a witness in a newer epoch */
	bool accepted;
} jj_intent_ack_t;

typedef struct {
	uint32_t slot;
	uint64_t epoch;
	bool removed; /**< certainly not run: remove the key */
	jj_record_t record;
} jj_resolve_t;

typedef struct {
	uint32_t slot;
	uint64_t epoch;
	uint32_t part; /**< counts from 0 */
	bool last;
	bool history_unknown; /**< the slot's earlier records were lost */
	jj_ms_t unknown_age_ms; /**< age of that loss by the sender's clock */
	uint32_t record_count;
	jj_record_t *records;
} jj_sync_t;

typedef struct {
	uint32_t slot;
	uint64_t epoch;
	uint32_t part;
} jj_sync_ack_t;

typedef struct {
	jj_name_t server;
	uint64_t boot; /**< which run of the server crashed */
	uint32_t suspect_count;
	uint64_t suspects[JJ_MESSAGE_SUSPECTS_MAX]; /**< fingerprints */
} jj_crash_t;

typedef enum {
	JJ_SERVER_UP,
	JJ_SERVER_LEAVING,
	JJ_SERVER_DOWN,
} jj_server_state_t;

typedef struct {
	jj_name_t server;
	uint64_t boot;
	jj_server_state_t state;
} jj_server_notice_t;

/** Result of a poll of one watch: all changes after `from`, up to `to`. */
typedef struct {
	uint32_t watch; /**< number of the watch among the modules */
	uint64_t from;
	uint64_t to;
	jj_bytes_t events; /**< JSON array of {key,version,gone,value} */
} jj_relay_update_t;

/** Progress of a job that the sender runs. */
typedef struct {
	uint64_t job; /**< hash of its id */
	uint64_t route; /**< hash of its route's name */
	uint64_t tokens; /**< of items that are not finished */
	uint32_t total; /**< items */
	uint32_t shown; /**< results available to readers */
} jj_job_progress_t;

/** Requests of a team that a VM admitted, for the team's home. */
typedef struct {
	uint64_t team; /**< jj_team_hash of its name */
	uint64_t total; /**< admitted since the sender's process started */
	uint32_t recent; /**< of these, in the last window */
	uint32_t asked; /**< admitted and refused since the last report */
	uint32_t elapsed_ms; /**< since that report */
	/** the sender's share of the limit, in 1/JJ_TEAM_SHARE_UNIT */
	uint32_t share;
	/** the sender reported to another home before */
	bool moved;
} jj_team_use_t;

/** One, in units of shares. */
#define JJ_TEAM_SHARE_UNIT 1000000

/** How many requests of a team a VM may admit. */
typedef struct {
	uint64_t team;
	uint64_t total; /**< of the report that it answers */
	uint32_t credit; /**< requests beyond that total */
	uint32_t valid_ms; /**< the credit expires after this time */
	uint32_t share; /**< as in the report */
	uint32_t used; /**< requests of all VMs in the last window */
	uint32_t retry_ms; /**< for refused callers */
	/** near the limit: admit each request with probability admit_ppm */
	bool metered;
	uint32_t admit_ppm; /**< in millionths */
	/** sent to all VMs when the team is metered; answers no report */
	bool notice;
} jj_team_grant_t;

/** Unit of demand in messages: parts of a request slot. */
#define JJ_SHARE_SLOT_UNIT 1000

/** Demand of one group of requests. */
typedef struct {
	uint64_t group;
	uint32_t demand; /**< slots asked for, in 1/JJ_SHARE_SLOT_UNIT */
} jj_share_group_t;

/** What the groups of a service ask the sender for at present. */
typedef struct {
	jj_name_t service;
	bool contended; /**< the sender has seen a shortage itself */
	uint32_t rest_groups; /**< groups that are not listed */
	uint32_t rest_demand; /**< of these, as in jj_share_group_t */
	uint32_t count;
	jj_share_group_t groups[JJ_MESSAGE_SHARES_MAX]; /**< the largest */
} jj_share_demand_t;

/** One, in units of admitted parts. */
#define JJ_SHARE_UNIT 1000000

/** Share of one group that asks for more than its share. */
typedef struct {
	uint64_t group;
	uint32_t admit; /**< part of its requests, in 1/JJ_SHARE_UNIT */
	uint32_t demand; /**< of all VMs, as in jj_share_group_t */
} jj_share_grant_t;

/** Shares of a service's groups. */
typedef struct {
	jj_name_t service;
	uint32_t valid_ms;
	uint32_t rest_admit; /**< for groups that are not listed */
	uint32_t count;
	jj_share_grant_t groups[JJ_MESSAGE_SHARES_MAX];
} jj_share_level_t;

/** A request that was on servers when they crashed; see quarantine.h. */
typedef struct {
	uint64_t fingerprint;
	jj_ms_t age_ms; /**< time since the last crash by the sender's clock */
	uint32_t death_count;
	uint64_t
	    deaths[JJ_MESSAGE_CRASHES_MAX]; /**< hashes of server and boot */
} jj_crash_record_t;

/** Server processes that crashed while they answered a part of a prompt. */
typedef struct {
	uint64_t part;
	jj_ms_t age_ms; /**< time since the last crash by the sender's clock */
	uint32_t probes; /**< sent since the part is refused */
	uint32_t count;
	uint64_t servers[JJ_PART_CRASHES_MAX]; /**< hashes as in jj_crash_t */
} jj_part_crashes_t;

/** Several software versions, as opposed to one. */
#define JJ_SOFTWARE_MIXED UINT64_MAX

/** At which software version a stream began. */
typedef struct {
	/** hash of the id of the request that brought its first event, or 0 */
	uint64_t id;
	uint64_t content; /**< fingerprint of its requests */
	uint64_t software; /**< as in jj_slot_server_t */
	jj_ms_t keep_ms; /**< how long it may be taken up */
} jj_stream_origin_t;

/** Answers of a server that the sender has not reported before. */
typedef struct {
	uint64_t server; /**< as jj_slot_server_t.hash */
	uint32_t successes; /**< of attempts sent since the first failure */
	bool failing; /**< the sender avoids the server */
	bool recovered; /**< probes of the sender succeeded */
	uint32_t count; /**< failures */
	uint64_t contents[JJ_OUTCOME_CONTENTS_MAX]; /**< their fingerprints */
} jj_server_outcome_t;

/** A message with its header. */
typedef struct {
	jj_message_kind_t kind;
	jj_name_t from;
	jj_incarnation_t incarnation; /**< of the sender's process */
	uint64_t sequence; /**< increases with each message of the process */
	union {
		jj_heartbeat_t heartbeat;
		uint64_t nonce; /**< probe and echo */
		struct {
			uint64_t version;
			jj_bytes_t document; /**< the stored object */
		} config; /**< also CONFIG_REQUEST, without document */
		struct {
			uint32_t count;
			jj_load_t loads[JJ_MESSAGE_LOADS_MAX];
		} load;
		jj_call_t call;
		jj_call_answer_t call_answer;
		jj_intent_t intent;
		jj_intent_ack_t intent_ack;
		jj_resolve_t resolve;
		jj_sync_t sync;
		jj_sync_ack_t sync_ack;
		struct {
			uint64_t version;
			jj_bytes_t table;
		} slots;
		jj_crash_t crash;
		struct {
			/** the receiver is to send its crash history */
			bool asks;
			uint32_t count;
			jj_crash_record_t entries[JJ_MESSAGE_CRASH_HISTORY_MAX];
		} struck;
		struct {
			/** number of the call in the requesting process */
			uint64_t number;
			jj_platform_op_t op; /**< up to JJ_PLATFORM_DELETE */
			char key[JJ_OBJECT_KEY_MAX + 1];
			uint64_t version;
			jj_bytes_t value;
		} lend;
		struct {
			uint64_t number;
			jj_platform_outcome_t outcome;
			uint64_t version;
			jj_ms_t retry_after_ms;
			jj_bytes_t value;
		} lent;
		jj_server_notice_t server;
		uint64_t yield; /**< jj_dispatch_hash_server of its name */
		char job_ended[JJ_MESSAGE_JOB_ID_SIZE];
		struct {
			/** operation of the requesting VM */
			uint64_t operation;
			char job[JJ_MESSAGE_JOB_ID_SIZE];
			/** read this item's body; empty: read results */
			char item[JJ_MESSAGE_ITEM_ID_SIZE];
			uint32_t after;
			/**
			 * Of an answer without a page: items of the job, when
			 * it has no results from `after` on yet; 0: the sender
			 * can't tell. Of an item: 1 when `page` is its body.
			 */
			uint32_t total;
			/**
			 * Of the answer: the page as readers get it, or the
			 * body of the item; empty: none.
			 */
			jj_bytes_t page;
		} job_page; /**< also JOB_READ, without a page */
		jj_relay_update_t relay;
		struct {
			uint32_t count;
			jj_team_use_t uses[JJ_MESSAGE_TEAMS_MAX];
		} team_use;
		struct {
			uint32_t count;
			jj_team_grant_t grants[JJ_MESSAGE_TEAMS_MAX];
		} team_grant;
		jj_share_demand_t share_demand;
		jj_share_level_t share_level;
		struct {
			jj_name_t server;
			uint64_t boot; /**< as in jj_crash_t */
			bool silent; /**< its connection did not break */
			uint64_t fingerprint;
		} unanswered;
		struct {
			uint64_t boot; /**< as in the attempt */
			uint64_t fingerprint;
			uint32_t count;
			uint64_t parts[JJ_UNANSWERED_PARTS_MAX];
		} unanswered_parts;
		struct {
			uint32_t count;
			jj_part_crashes_t entries[JJ_MESSAGE_PARTS_MAX];
		} part_crashes;
		struct {
			uint32_t count;
			uint64_t parts[JJ_MESSAGE_PARTS_MAX];
		} parts_completed;
		struct {
			uint32_t count;
			jj_stream_origin_t origins[JJ_MESSAGE_ORIGINS_MAX];
		} origins;
		struct {
			uint32_t count;
			jj_server_outcome_t servers[JJ_MESSAGE_OUTCOMES_MAX];
		} outcomes;
		struct {
			uint64_t request; /**< number that the sender gave */
			uint64_t id; /**< as in jj_stream_origin_t */
			uint64_t content;
			jj_name_t service;
			/** how long ago the stream may have begun, ms */
			jj_ms_t stream_ms;
		} origin_query;
		struct {
			uint64_t request; /**< as in the query */
			uint64_t software; /**< 0: not known */
			/**
			 * the only version that the sender has seen, 0: none,
			 * or JJ_SOFTWARE_MIXED
			 */
			uint64_t sole;
			/** it has missed none in the query's stream_ms */
			bool sole_is_sure;
			/** it forgot no stream that it knew in stream_ms */
			bool remembers_all;
		} origin_reply;
		struct {
			/**
			 * As ack_sequence of a heartbeat: shows how old this
			 * is.
			 */
			uint64_t ack;
			uint32_t count;
			jj_job_progress_t states[JJ_MESSAGE_JOB_STATES_MAX];
		} job_states;
		struct {
			uint64_t revision;
			jj_bytes_t events; /**< JSON array of {key,version} */
		} jobs;
	} body;
} jj_message_t;

/** Frees the data that the message owns. */
void jj_message_clear(jj_message_t *message);
/** Short name of a kind, for logs and metrics. */
const char *jj_message_kind_name(jj_message_kind_t kind);

#endif
