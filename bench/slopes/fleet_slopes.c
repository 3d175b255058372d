/**
 * @file fleet_slopes.c
 * @brief Cost of fleet membership at a VM: neighbours, servers, domains.
 */
#include <stdio.h>

#include "slopes.h"
#include "world.h"

/** Time until VMs know each other and the ledger's placement is stable, ms. */
#define SETTLE_MS 13000
/**
 * Time until the watches have ended that each VM began before it knew of the
 * others, ms. With these, all VMs would read a change from the platform at
 * once.
 */
#define WATCHES_SETTLE_MS 70000
/** Duration of a measurement, ms. */
#define MEASURE_MS 8000
/** Time to settle before a loss, and duration of its measurement, ms. */
#define LOSS_SETTLE_MS 120000
#define LOSS_MEASURE_MS 60000
/** The target's requests per second and VM, and their service times. */
#define TARGET_RATE 40
#define TARGET_FIRST_MS 400
#define TARGET_SERVE_MS 12000
/** Interval at which the relay reports tokens, ms. */
#define TARGET_TOKENS_MS 200

/** Resources that one VM uses per second, and the size of its state. */
typedef struct {
	double state_bytes;
	double messages; /**< sent and received */
	double bytes; /**< sent and received */
	double control_us;
	double request_us;
	double reads;
	double writes;
} usage_t;

static void measure(const world_plan_t *, usage_t *, usage_t *);
static void print_target(const char *, const char *, const usage_t *);
static usage_t usage_of(world_t *, size_t, double);
static void measure_change(const world_plan_t *, uint32_t, fit_t[], double);
static void measure_loss(const world_plan_t *, fit_t[]);
static usage_t sum_usage(const world_t *, uint32_t);
static void print_fits(const fit_t *, size_t, fit_bounds_t *);
static void set_busy(world_plan_t *);

void
slopes_of_neighbours(fit_bounds_t *bounds)
{
	static const uint32_t sizes[] = {2, 4, 8, 14, 20};
	fit_t fits[] = {
	    {.name = "neighbour_state_bytes", .unit = "B", .counted = true},
	    {.name = "neighbour_messages", .unit = "/s", .counted = true},
	    {.name = "neighbour_bytes", .unit = "B/s", .counted = true},
	    {.name = "neighbour_cpu", .unit = "us/s"},
	    {.name = "neighbour_busy_messages", .unit = "/s", .counted = true},
	    {.name = "neighbour_busy_bytes", .unit = "B/s", .counted = true},
	    {.name = "neighbour_busy_cpu", .unit = "us/s"},
	};
	world_plan_t plan = {.domains = 1, .servers = 100, .services = 20};
	size_t i;
	usage_t usage;
	usage_t speaker;

	for (i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		plan.vms = sizes[i];
		plan.rate = 0;
		measure(&plan, &usage, &speaker);
		fit_add(&fits[0], sizes[i], usage.state_bytes);
		fit_add(&fits[1], sizes[i], usage.messages);
		fit_add(&fits[2], sizes[i], usage.bytes);
		fit_add(&fits[3], sizes[i], usage.control_us);
		set_busy(&plan);
		measure(&plan, &usage, &speaker);
		fit_add(&fits[4], sizes[i], usage.messages);
		fit_add(&fits[5], sizes[i], usage.bytes);
		fit_add(&fits[6], sizes[i], usage.control_us);
	}
	print_fits(fits, sizeof(fits) / sizeof(fits[0]), bounds);
}

void
slopes_of_servers(fit_bounds_t *bounds)
{
	static const uint32_t sizes[] = {25, 50, 100, 200};
	fit_t fits[] = {
	    {.name = "server_state_bytes", .unit = "B", .counted = true},
	    {.name = "server_bytes", .unit = "B/s", .counted = true},
	    {.name = "server_cpu", .unit = "us/s"},
	    {.name = "server_busy_state_bytes", .unit = "B", .counted = true},
	    {.name = "server_busy_bytes", .unit = "B/s", .counted = true},
	    {.name = "server_busy_cpu", .unit = "us/s"},
	};
	world_plan_t plan = {.domains = 1, .vms = 14, .services = 5};
	size_t i;
	usage_t usage;
	usage_t speaker;

	for (i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		plan.servers = sizes[i];
		plan.rate = 0;
		measure(&plan, &usage, &speaker);
		fit_add(&fits[0], sizes[i], usage.state_bytes);
		fit_add(&fits[1], sizes[i], usage.bytes);
		fit_add(&fits[2], sizes[i], usage.control_us);
		set_busy(&plan);
		measure(&plan, &usage, &speaker);
		fit_add(&fits[3], sizes[i], usage.state_bytes);
		fit_add(&fits[4], sizes[i], usage.bytes);
		fit_add(&fits[5], sizes[i], usage.control_us);
	}
	print_fits(fits, sizeof(fits) / sizeof(fits[0]), bounds);
}

void
slopes_of_domains(fit_bounds_t *bounds)
{
	static const uint32_t sizes[] = {2, 4, 8, 16, 23};
	fit_t fits[] = {
	    {.name = "domain_state_bytes", .unit = "B", .counted = true},
	    {.name = "domain_messages", .unit = "/s", .counted = true},
	    {.name = "domain_bytes", .unit = "B/s", .counted = true},
	    {.name = "domain_cpu", .unit = "us/s"},
	};
	world_plan_t plan = {
	    .vms = 3, .vms_elsewhere = 1, .servers = 20, .services = 20};
	size_t i;
	usage_t usage;
	usage_t member;

	for (i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		plan.domains = sizes[i];
		measure(&plan, &member, &usage);
		fit_add(&fits[0], sizes[i], usage.state_bytes);
		fit_add(&fits[1], sizes[i], usage.messages);
		fit_add(&fits[2], sizes[i], usage.bytes);
		fit_add(&fits[3], sizes[i], usage.control_us);
	}
	print_fits(fits, sizeof(fits) / sizeof(fits[0]), bounds);
}

void
slopes_of_list(fit_bounds_t *bounds)
{
	static const uint32_t sizes[] = {250, 500, 1000, 2000};
	fit_t fits[] = {
	    {.name = "list_state_bytes", .unit = "B", .counted = true},
	    {.name = "list_bytes", .unit = "B/s", .counted = true},
	    {.name = "list_speaker_bytes", .unit = "B/s", .counted = true},
	    {.name = "list_cpu", .unit = "us/s"},
	    /* Here x is the square of the size, in thousands. */
	    {.name = "list_square_cpu", .unit = "us/s"},
	};
	world_plan_t plan = {
	    .domains = 1, .vms = 4, .servers = 20, .services = 20};
	size_t i;
	usage_t member;
	usage_t speaker;

	for (i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		plan.listed_elsewhere = sizes[i];
		measure(&plan, &member, &speaker);
		fit_add(&fits[0], sizes[i], member.state_bytes);
		fit_add(&fits[1], sizes[i], member.bytes);
		fit_add(&fits[2], sizes[i], speaker.bytes);
		fit_add(&fits[3], sizes[i], member.control_us);
		fit_add(&fits[4], (double)sizes[i] * sizes[i] / 1e3,
		    member.control_us);
	}
	print_fits(fits, sizeof(fits) / sizeof(fits[0]), bounds);
}

void
slopes_of_config(fit_bounds_t *bounds)
{
	static const uint32_t teams[] = {250, 500, 1000, 2000};
	static const uint32_t vms[] = {2, 4, 8, 14, 20};
	fit_t by_team[] = {
	    {.name = "config_team_state_bytes", .unit = "B", .counted = true},
	    {.name = "config_team_change_bytes", .unit = "B", .counted = true},
	    {.name = "config_team_change_cpu", .unit = "us"},
	    {.name = "config_team_force_ms", .unit = "ms", .counted = true},
	};
	fit_t by_vm[] = {
	    {.name = "config_vm_state_bytes", .unit = "B", .counted = true},
	    {.name = "config_vm_change_bytes", .unit = "B", .counted = true},
	    {.name = "config_vm_change_cpu", .unit = "us"},
	    {.name = "config_vm_force_ms", .unit = "ms", .counted = true},
	};
	world_plan_t plan = {
	    .domains = 1, .vms = 14, .servers = 20, .services = 20};
	size_t i;

	for (i = 0; i < sizeof(teams) / sizeof(teams[0]); i++)
		measure_change(&plan, teams[i], by_team, teams[i]);
	print_fits(by_team, sizeof(by_team) / sizeof(by_team[0]), bounds);
	for (i = 0; i < sizeof(vms) / sizeof(vms[0]); i++) {
		plan.vms = vms[i];
		measure_change(&plan, 1000, by_vm, vms[i]);
	}
	print_fits(by_vm, sizeof(by_vm) / sizeof(by_vm[0]), bounds);
}

void
slopes_of_loss(fit_bounds_t *bounds)
{
	static const uint32_t sizes[] = {4, 8, 14, 20};
	fit_t fits[] = {
	    {.name = "loss_writes", .unit = "writes", .counted = true},
	    {.name = "loss_reads", .unit = "reads", .counted = true},
	    {.name = "loss_messages", .unit = "messages", .counted = true},
	};
	world_plan_t plan = {.domains = 1, .servers = 20, .services = 20};
	size_t i;

	for (i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		plan.vms = sizes[i];
		measure_loss(&plan, fits);
	}
	print_fits(fits, sizeof(fits) / sizeof(fits[0]), bounds);
}

void
slopes_at_target(fit_bounds_t *bounds)
{
	static const struct {
		const char *name;
		uint32_t domains;
		uint32_t listed;
		double rate;
	} cases[] = {
	    {"calm", 23, 0, 0},
	    {"busy", 23, 0, TARGET_RATE},
	    {"calm_whole_list", 1, 2500, 0},
	    {"busy_whole_list", 1, 2500, TARGET_RATE},
	};
	world_plan_t plan = {.vms = 14,
	    .vms_elsewhere = 1,
	    .servers = 100,
	    .services = 20,
	    .teams = 1000};
	size_t i;
	usage_t member;
	usage_t speaker;

	(void)bounds;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		set_busy(&plan);
		plan.rate = cases[i].rate;
		plan.domains = cases[i].domains;
		plan.listed_elsewhere = cases[i].listed;
		measure(&plan, &member, &speaker);
		print_target(cases[i].name, "member", &member);
		print_target(cases[i].name, "speaker", &speaker);
	}
}

static void
print_target(const char *name, const char *role, const usage_t *usage)
{
	(void)printf("target=%s role=%s state_mb=%.2f messages_per_s=%.0f "
		     "kb_per_s=%.1f control_cpu_percent=%.2f "
		     "request_cpu_percent=%.2f reads_per_s=%.2f "
		     "writes_per_s=%.2f\n",
	    name, role, usage->state_bytes / 1048576, usage->messages,
	    usage->bytes / 1000, usage->control_us / 1e4,
	    usage->request_us / 1e4, usage->reads, usage->writes);
	(void)fflush(stdout);
}

/** Measures the domain's speaker and, as a member, the VM after it. */
static void
measure(const world_plan_t *plan, usage_t *member, usage_t *speaker)
{
	world_t *world = world_create(plan);
	size_t vm;

	world_run(world, SETTLE_MS);
	world_reset(world);
	world_run(world, MEASURE_MS);
	vm = world_speaker(world);
	*member = usage_of(world, (vm + 1) % plan->vms, MEASURE_MS / 1000.0);
	*speaker = usage_of(world, vm, MEASURE_MS / 1000.0);
	world_destroy(world);
}

static usage_t
usage_of(world_t *world, size_t vm, double seconds)
{
	const world_counts_t *counts = world_counts(world, vm);
	usage_t usage;

	usage.messages = (double)(counts->sent + counts->received) / seconds;
	usage.bytes =
	    (double)(counts->sent_bytes + counts->received_bytes) / seconds;
	usage.control_us = (double)counts->control_ns / 1e3 / seconds;
	usage.request_us = (double)counts->request_ns / 1e3 / seconds;
	usage.reads = (double)counts->reads / seconds;
	usage.writes = (double)counts->writes / seconds;
	usage.state_bytes = (double)world_free_core(world, vm);
	return usage;
}

/** Cost of one configuration change at a VM, and the time until all have it. */
static void
measure_change(const world_plan_t *base, uint32_t teams, fit_t fits[], double x)
{
	world_plan_t plan = *base;
	uint64_t bytes = 0;
	int64_t cpu_ns = 0;
	jj_ms_t last_ms = 0;
	jj_ms_t begin_ms;
	world_t *world;
	size_t i;

	plan.teams = teams;
	world = world_create(&plan);
	world_run(world, WATCHES_SETTLE_MS);
	world_reset(world);
	world_put_config(world, 2, teams);
	begin_ms = world_now(world);
	world_run(world, 3000);
	for (i = 0; i < plan.vms; i++) {
		const world_counts_t *counts = world_counts(world, i);

		bytes += counts->bytes_of[JJ_MESSAGE_CONFIG];
		cpu_ns += counts->control_ns;
		if (counts->adopted_ms > last_ms)
			last_ms = counts->adopted_ms;
		JJ_INVARIANT(counts->adopted > 0);
	}
	/* Mean per VM; each byte is sent by one VM and received by another. */
	fit_add(&fits[1], x, 2.0 * (double)bytes / plan.vms);
	fit_add(&fits[2], x, (double)cpu_ns / 1e3 / plan.vms);
	fit_add(&fits[3], x, (double)(last_ms - begin_ms));
	fit_add(&fits[0], x, (double)world_free_core(world, 0));
	world_destroy(world);
}

/** Additional work of a domain after its speaker has failed permanently. */
static void
measure_loss(const world_plan_t *plan, fit_t fits[])
{
	world_t *world = world_create(plan);
	usage_t idle;
	usage_t after;

	/* The ledger of a new domain moves key slots for some time. */
	world_run(world, LOSS_SETTLE_MS);
	world_reset(world);
	world_run(world, LOSS_MEASURE_MS);
	idle = sum_usage(world, plan->vms);
	(void)world_free_core(world, world_speaker(world));
	world_reset(world);
	world_run(world, LOSS_MEASURE_MS);
	after = sum_usage(world, plan->vms);
	fit_add(&fits[0], plan->vms, after.writes - idle.writes);
	fit_add(&fits[1], plan->vms, after.reads - idle.reads);
	fit_add(&fits[2], plan->vms, after.messages - idle.messages);
	world_destroy(world);
}

/** Sums the platform calls and sent messages of the domain's VMs. */
static usage_t
sum_usage(const world_t *world, uint32_t vms)
{
	usage_t sum = {0};
	uint32_t i;

	for (i = 0; i < vms; i++) {
		sum.writes += (double)world_counts(world, i)->writes;
		sum.reads += (double)world_counts(world, i)->reads;
		sum.messages += (double)world_counts(world, i)->sent;
	}
	return sum;
}

static void
print_fits(const fit_t *fits, size_t count, fit_bounds_t *bounds)
{
	size_t i;

	for (i = 0; i < count; i++)
		fit_print(&fits[i], bounds);
}

static void
set_busy(world_plan_t *plan)
{
	plan->rate = TARGET_RATE;
	plan->first_ms = TARGET_FIRST_MS;
	plan->serve_ms = TARGET_SERVE_MS;
	plan->tokens_ms = TARGET_TOKENS_MS;
}
