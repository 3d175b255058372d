/**
 * @file world.h
 * @brief Many cores in virtual time, with all they say counted.
 *
 * Each VM is a whole jj_core; messages pass through the wire codec, so bytes
 * and processor time are those of the real thing but for sockets. Domains are
 * domain-00, domain-01, ...; the VM measured is of domain-00.
 */
#ifndef BENCH_SLOPES_WORLD_H
#define BENCH_SLOPES_WORLD_H

#include "core/core.h"
#include "store.h"

typedef struct {
	uint32_t domains;
	uint32_t vms; /**< in domain-00 */
	uint32_t vms_elsewhere; /**< running, in each other domain */
	uint32_t servers; /**< in domain-00 */
	uint32_t listed_elsewhere; /**< servers of other domains, listed */
	uint32_t services; /**< servers are dealt out to them in turn */
	uint32_t teams; /**< named in the configuration */
	double rate; /**< online requests per second and VM of domain-00 */
	jj_ms_t first_ms; /**< until a request's first token */
	jj_ms_t serve_ms; /**< until its end */
	jj_ms_t tokens_ms; /**< between reports of tokens, 0: none */
} world_plan_t;

/** What a VM said and used since the counts began. */
typedef struct {
	uint64_t sent;
	uint64_t sent_bytes;
	uint64_t received;
	uint64_t received_bytes;
	uint64_t sent_of[JJ_MESSAGE_KIND_END];
	uint64_t bytes_of[JJ_MESSAGE_KIND_END];
	uint64_t reads; /**< platform calls, a waiting watch as one */
	uint64_t writes;
	uint64_t platform_bytes; /**< of values, both ways */
	int64_t control_ns; /**< processor time of ticks and messages */
	int64_t request_ns; /**< of requests and what servers say of them */
	uint64_t ended; /**< requests answered, or given up on */
	uint64_t refused; /**< of these: given up on */
	uint64_t adopted; /**< configurations */
	jj_ms_t adopted_ms; /**< when the last was */
} world_counts_t;

typedef struct world world_t;

world_t *world_create(const world_plan_t *plan);
void world_destroy(world_t *world);
void world_run(world_t *world, jj_ms_t ms);
/** Sets all VMs' counts to nothing. */
void world_reset(world_t *world);
/** Counts of a VM; those of domain-00 come first. */
const world_counts_t *world_counts(const world_t *world, size_t vm);
/** The speaker of domain-00; the others of the domain are members. */
size_t world_speaker(const world_t *world);
store_t *world_store(world_t *world);
jj_ms_t world_now(const world_t *world);
jj_core_t *world_core(world_t *world, size_t vm);

/** A request of a team to a service at a VM, with a key or NULL. */
void world_request(world_t *world, size_t vm, uint32_t service,
    const char *team, const char *key, const jj_bytes_t *body);
/** Puts a configuration of the plan's size into the store. */
void world_put_config(world_t *world, uint64_t version, uint32_t teams);
/** Frees a VM's core: its state is what the heap gives back, in bytes. */
size_t world_weigh(world_t *world, size_t vm);
/** Bytes of the heap in use. */
size_t world_heap(void);
/** Processor time of this process, nanoseconds. */
int64_t world_cpu_ns(void);

#endif
