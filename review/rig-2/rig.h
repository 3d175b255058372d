/*
 * Stand-ins for the scripts in review/4 to review/8: the platform's store,
 * model servers, clients, and the start of the project's own processes.
 * They speak what PROTOCOL.md says, over loopback addresses and real clocks.
 */
#ifndef RIG_H
#define RIG_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/* General. */
int64_t rig_now_ms(void); /* steady, since the start */
void rig_sleep_ms(int64_t ms);
void rig_open_record(const char *path);
void rig_note(const char *format, ...); /* a line of record.txt */
void rig_fail(const char *format, ...); /* ends with 2: could not run */
/* Writes what was seen, ends all processes, exits: 1 broken, 0 kept. */
void rig_finish(bool broken, const char *format, ...);
bool rig_trouble(void); /* false with TROUBLE=0 */
typedef void (*rig_thread_t)(void *);
void rig_thread(rig_thread_t run, void *ctx);
const char *rig_ip(int number); /* an address of this run */

/* HTTP on a socket. */
typedef struct {
	char method[16];
	char target[2048];
	char head[32768]; /* header lines */
	char *body;
	size_t body_size;
	char peer[64];
} rig_request_t;
/* False: the connection is closed. */
typedef bool (*rig_handler_t)(void *ctx, int fd, rig_request_t *request);
void rig_serve(const char *address, rig_handler_t handle, void *ctx);
bool rig_header(const char *head, const char *name, char *value, size_t size);
bool rig_send(int fd, const void *data, size_t size);
bool rig_sendf(int fd, const char *format, ...);
void rig_reset(int fd); /* the next close resets the connection */

/* The platform's store. */
typedef enum {
	RIG_SERVE, /* as usual */
	RIG_BUSY, /* 503: nothing was done */
	RIG_LOSE, /* done, no answer */
	RIG_HOLD, /* done `delay_ms` later, no answer */
	RIG_SILENT, /* not done, no answer */
} rig_store_do_t;
/* Decides a call; may change delay_ms, the time until an answer. */
typedef rig_store_do_t (*rig_store_hook_t)(
    const rig_request_t *request, int64_t *delay_ms);
void rig_store_start(void);
extern rig_store_hook_t rig_store_hook;
extern int rig_store_delay_ms; /* of an answer */
extern char rig_store_address[64];
/* A write by the operator or a server; json is the spec. */
void rig_store_put(const char *kind, const char *name, json_t *spec);
void rig_store_remove(const char *kind, const char *name);
json_t *rig_store_get(const char *kind, const char *name); /* spec, or NULL */
int rig_store_count(const char *kind);

/* Model servers. */
typedef struct rig_server rig_server_t;
/* Runs a request that was taken; writes the answer. False closes. */
typedef bool (*rig_run_t)(rig_server_t *, int fd, rig_request_t *);
struct rig_server {
	char id[64];
	char address[64];
	char service[64];
	char zone[64];
	char version[32];
	int slots;
	int weights;
	rig_run_t run;
	volatile bool draining;
	int number;
	volatile int life; /* counts its starts */
	void *service_at;
	void *ctx;
};
extern int rig_weights; /* version of the weights of servers that start */
rig_server_t *rig_server_start(
    int number, const char *service, const char *zone, rig_run_t run);
void rig_server_register(rig_server_t *, bool draining);
/* Its connections are reset, its port refuses; its entry stays. */
void rig_server_crash(rig_server_t *);
/* A new process at the same address, with a new id. */
void rig_server_restart(rig_server_t *);
/* The head of an answer in chunks, with the echoed id and the stamp. */
bool rig_stream_head(rig_server_t *, int fd, const rig_request_t *);
bool rig_chunk(int fd, const char *text);
bool rig_chunk_end(int fd);
/* Events from..to (inclusive), each gap_ms; data "ID-N". */
bool rig_events(rig_server_t *, int fd, const rig_request_t *, int from, int to,
    int64_t gap_ms);
int rig_resumes_after(const rig_request_t *); /* -1: from the start */
bool rig_answer(rig_server_t *, int fd, const rig_request_t *, int status,
    const char *more_headers, const char *body);
bool rig_not_run(int fd, int status);

/* Clients. */
typedef enum {
	RIG_COMPLETE,
	RIG_CUT, /* closed before the end of the answer */
	RIG_CLOSED, /* without any answer */
	RIG_NO_CONNECTION,
	RIG_TIMEOUT, /* given up by the client */
} rig_end_t;
typedef struct {
	rig_end_t end;
	int status; /* 0: none */
	char head[16384];
	char *body; /* decoded, as far as it came */
	size_t body_size;
	int64_t took_ms;
	int64_t last_byte_ms; /* since the start of the call */
	bool close_framed; /* neither length nor chunks */
} rig_answer_t;
void rig_call(const char *address, const char *method, const char *target,
    const char *headers, const void *body, size_t body_size, int64_t timeout_ms,
    rig_answer_t *answer);
/* The same; given up after gap_ms without a byte (0: never). */
void rig_call_stream(const char *address, const char *method,
    const char *target, const char *headers, const void *body, size_t body_size,
    int64_t timeout_ms, int64_t gap_ms, rig_answer_t *answer);
void rig_clear(rig_answer_t *answer);
const char *rig_end_name(rig_end_t);

/* The project's processes: the command and template of the deploy file. */
typedef struct {
	char name[64];
	char ip[64];
	char front[64];
	char ready[64];
	char zone[64];
	pid_t pid;
	char settings[256];
	char log[256];
} rig_vm_t;
rig_vm_t *rig_vm_start(int number, const char *zone);
void rig_vm_launch(rig_vm_t *); /* again, after its end */
void rig_vm_signal(rig_vm_t *, int signal);
void rig_vm_wait(rig_vm_t *); /* until the process has ended */
bool rig_vm_is_ready(const rig_vm_t *);
void rig_vm_await_ready(const rig_vm_t *, int64_t within_ms);

/* Configuration. */
json_t *rig_route(const char *name, const char *host, const char *prefix,
    const char *kind, const char *service);
void rig_put_config(int version, json_t *routes, const char *service);
#endif
