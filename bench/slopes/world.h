/**
 * @file world.h
 * @brief Runs many cores in virtual time and counts their messages and calls.
 *
 * Each VM is a complete jj_core, and messages are encoded and decoded, so bytes
 * and processor time are those of the daemon without its sockets. Domains are
 * domain-00, domain-01, ...; the measured VM belongs to domain-00.
 */
#ifndef BENCH_SLOPES_WORLD_H
#define BENCH_SLOPES_WORLD_H

#include "core/core.h"
#include "store.h"

typedef struct {
	uint32_t domains;
	uint32_t vms; /**< in domain-00 */
	uint32_t vms_elsewhere; /**< running VMs in each other domain */
	uint32_t servers; /**< in domain-00 */
	uint32_t listed_elsewhere; /**< other domains' listed servers */
	uint32_t services; /**< servers are assigned to them round-robin */
	uint32_t teams; /**< named in the configuration */
	double rate; /**< online requests per second and VM of domain-00 */
	jj_ms_t first_ms; /**< time to a request's first token */
	jj_ms_t serve_ms; /**< time to a request's end */
	jj_ms_t tokens_ms; /**< interval of token reports; 0: none */
} world_plan_t;

/** Messages, calls and processor time of a VM since world_reset(). */
typedef struct {
	uint64_t sent;
	uint64_t sent_bytes;
	uint64_t received;
	uint64_t received_bytes;
	uint64_t sent_of[JJ_MESSAGE_KIND_END];
	uint64_t bytes_of[JJ_MESSAGE_KIND_END];
	uint64_t reads; /**< platform calls that read; a watch counts once */
	uint64_t writes;
	uint64_t platform_bytes; /**< of values, sent and received */
	int64_t control_ns; /**< processor time of ticks and messages */
	int64_t request_ns; /**< of requests and servers' events on them */
	uint64_t ended; /**< requests answered or refused */
	uint64_t refused; /**< of these: answered by the VM without a server */
	uint64_t adopted; /**< configuration versions adopted */
	jj_ms_t adopted_ms; /**< time of the last adoption */
} world_counts_t;

typedef struct world world_t;

world_t *world_create(const world_plan_t *plan);
void world_destroy(world_t *world);
void world_run(world_t *world, jj_ms_t ms);
/** Resets the counts of all VMs to 0. */
void world_reset(world_t *world);
/** Returns a VM's counts; VMs of domain-00 have the first indexes. */
const world_counts_t *world_counts(const world_t *world, size_t vm);
/** Returns the index of domain-00's speaker. */
size_t world_speaker(const world_t *world);
store_t *world_store(world_t *world);
jj_ms_t world_now(const world_t *world);
jj_core_t *world_core(world_t *world, size_t vm);

/** Sends a team's request for a service to a VM; @p key may be NULL. */
void world_request(world_t *world, size_t vm, uint32_t service,
    const char *team, const char *key, const jj_bytes_t *body);
/** Stores a configuration with the plan's services and @p teams teams. */
void world_put_config(world_t *world, uint64_t version, uint32_t teams);
/** Frees a VM's core.
 * @return the size of its state: the heap bytes that this frees. */
size_t world_free_core(world_t *world, size_t vm);
/** Returns the heap in use, bytes. */
size_t world_heap_bytes(void);
/** Returns the processor time of this process, nanoseconds. */
int64_t world_cpu_ns(void);

#endif
