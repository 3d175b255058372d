/**
 * @file messages.c
 * @brief Bytes of the messages between the VMs of one failure domain.
 *
 * The sizes are those of the two-year target (docs/CAPACITY.md): 100 servers
 * per domain, 40 online requests per second at each VM with about 425 tokens
 * each, and batch at the same time.
 */
#include <stdio.h>

#include "messages.h"
#include "world.h"

#define VMS_MIN 2
#define VMS_MAX 14
#define SERVERS 100
#define RATE_PER_VM 40.0
#define TOKENS 425
/* Start of measurement: the servers are filled with streams by then. */
#define MEASURE_FROM_S 8.0
#define SECONDS 18.0
/* Maximum control traffic that a VM sends and receives, bytes per second. */
#define BUDGET_BYTES_PER_S 27000.0
/* ZeroMQ frame, TCP and IP headers of a message that is sent by itself. */
#define HEADER_BYTES 56

typedef struct {
	double messages; /**< per second and VM */
	double heartbeat; /**< bytes per second and VM, encoded */
	double load;
	double other;
	double total; /**< with headers */
} traffic_t;

static void set_scenario(bench_scenario_t *, uint32_t);
static void measure(uint32_t, traffic_t *);
static void print_slope(const double *, const double *, int);

int
messages_measure(void)
{
	double vms[VMS_MAX];
	double totals[VMS_MAX];
	traffic_t traffic;
	int count = 0;
	int status = 0;
	uint32_t i;

	printf("vms messages/s heartbeat-B/s load-B/s other-B/s total-B/s\n");
	for (i = VMS_MIN; i <= VMS_MAX; i += 2) {
		measure(i, &traffic);
		printf("%u %.1f %.0f %.0f %.0f %.0f\n", i, traffic.messages,
		    traffic.heartbeat, traffic.load, traffic.other,
		    traffic.total);
		(void)fflush(stdout);
		vms[count] = i;
		totals[count++] = traffic.total;
		/* Each VM also receives what another sends, hence twice. */
		if (2 * traffic.total > BUDGET_BYTES_PER_S)
			status = 1;
	}
	print_slope(vms, totals, count);
	printf("budget=%.0f sent_and_received=%.0f held=%s\n",
	    BUDGET_BYTES_PER_S, 2 * totals[count - 1],
	    status == 0 ? "yes" : "no");
	return status;
}

static void
set_scenario(bench_scenario_t *scenario, uint32_t vms)
{
	bench_phase_t *phase = &scenario->phases[0];

	scenario_set_defaults(scenario);
	scenario->vms = vms;
	scenario->servers = SERVERS;
	scenario->seconds = SECONDS;
	scenario->batch_from_s = MEASURE_FROM_S;
	scenario->trade = 0.5;
	scenario->slots = 128;
	scenario->soft = 64;
	scenario->deadline_ms = 60000;
	scenario->timeout_ms = 60000;
	scenario->batch_tokens = TOKENS;
	scenario->batch_most = 4;
	scenario->measures_bytes = true;
	scenario->phase_count = 1;
	(void)jj_name_set(&phase->team, "shops");
	phase->to_s = SECONDS;
	phase->rate = RATE_PER_VM * vms;
	phase->rate_end = phase->rate;
	phase->tokens = TOKENS;
	phase->prompt = 320;
}

static void
measure(uint32_t vms, traffic_t *traffic)
{
	const policy_t jujube = {POLICY_JUJUBE, 0};
	double share = 1 / (vms * (SECONDS - MEASURE_FROM_S));
	bench_scenario_t scenario;
	run_t run;
	int i;

	*traffic = (traffic_t){0};
	set_scenario(&scenario, vms);
	world_run(&scenario, &jujube, &run);
	for (i = 0; i < JJ_MESSAGE_KIND_END; i++) {
		traffic->messages += (double)run.sent[i] * share;
		traffic->total += (double)run.sent_bytes[i] * share;
	}
	traffic->heartbeat =
	    (double)run.sent_bytes[JJ_MESSAGE_HEARTBEAT] * share;
	traffic->load = (double)run.sent_bytes[JJ_MESSAGE_LOAD] * share;
	traffic->other = traffic->total - traffic->heartbeat - traffic->load;
	traffic->total += traffic->messages * HEADER_BYTES;
	run_destroy(&run);
}

/* Prints the least-squares line through the points. */
static void
print_slope(const double *x, const double *y, int count)
{
	double sum_x = 0;
	double sum_y = 0;
	double sum_xx = 0;
	double sum_xy = 0;
	double slope;
	int i;

	for (i = 0; i < count; i++) {
		sum_x += x[i];
		sum_y += y[i];
		sum_xx += x[i] * x[i];
		sum_xy += x[i] * y[i];
	}
	slope =
	    (count * sum_xy - sum_x * sum_y) / (count * sum_xx - sum_x * sum_x);
	printf("slope=%.0f bytes/s per VM of the domain, at none=%.0f\n", slope,
	    (sum_y - slope * sum_x) / count);
}
