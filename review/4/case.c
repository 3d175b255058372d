/*
 * The servers are replaced, half of them at a time, by ones with newer weights.
 * Sessions that want the weights of their first answer (Expect-Version) get 421
 * from the new servers. Batch jobs that are accepted afterwards are watched
 * until finishS is over.
 */
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rig.h"

#define SERVICE "huvo11a"
#define HOST "ficu95.example"
#define PREFIX "/pufi791/"
#define JOB_HOST "nony24.example"
#define JOB_PREFIX "/pule252/"
#define MACHINES 3
#define SERVERS 6 /* and as many new ones */
#define SESSIONS 12
#define JOBS 6
#define ITEMS 10
#define EVENTS 28
#define GAP_MS 6
#define DRAIN_MS 2000
#define RELEASE_GAP_MS 1000
#define FINISH_MS 18000
#define STABLE_MS 3000

static rig_vm_t *vms[MACHINES];
static rig_server_t *old_servers[SERVERS];
static atomic_bool over;
static atomic_int served, refused, mismatches, running_items;
static atomic_long last_item_ms; /* when a server had an item last */

static bool
run(rig_server_t *server, int fd, rig_request_t *request)
{
	char id[64] = "", text[32];
	int after = rig_resumes_after(request);
	bool is_item, sent;

	(void)rig_header(
	    request->head, "X-Jujubeswitch-Request-Id", id, sizeof(id));
	is_item = strncmp(id, "e5b2", 4) == 0;
	if (rig_header(request->head, "Expect-Version", text, sizeof(text)) &&
	    atoi(text) != server->weights) {
		mismatches++;
		rig_note("server %s (weights %d) answers 421 to %s, which "
			 "expects %s",
		    server->id, server->weights, id, text);
		return rig_sendf(fd,
		    "HTTP/1.1 421 Misdirected Request\r\n"
		    "X-Jujubeswitch-Request-Id: %s\r\n"
		    "X-Jujubeswitch-Instance-Id: %s\r\n"
		    "X-Jujubeswitch-Not-Executed: 1\r\nVersions: %d\r\n"
		    "Content-Length: 0\r\n\r\n",
		    id, server->id, server->weights);
	}
	running_items += is_item;
	sent = rig_sendf(fd,
		   "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
		   "X-Jujubeswitch-Request-Id: %s\r\n"
		   "X-Jujubeswitch-Response-Stamp: %s.%s\r\nVersions: %d\r\n"
		   "Transfer-Encoding: chunked\r\n\r\n",
		   id, server->id, id, server->weights) &&
	    rig_events(server, fd, request, after + 1, EVENTS - 1, GAP_MS) &&
	    rig_chunk_end(fd);
	running_items -= is_item;
	if (is_item)
		last_item_ms = (long)rig_now_ms();
	return sent;
}

/*
 * A client's session: its requests want the weights of its first answer. When
 * one is not served, the session is over and the next one has no such wish.
 */
static void
run_session(void *argument)
{
	int number = (int)(intptr_t)argument, expected = 0, count = 0;
	char headers[512], wish[64], text[32];
	rig_answer_t answer;

	while (!over) {
		wish[0] = '\0';
		if (expected != 0)
			snprintf(wish, sizeof(wish), "Expect-Version: %d\r\n",
			    expected);
		snprintf(headers, sizeof(headers),
		    "Host: " HOST "\r\n"
		    "X-Jujubeswitch-Request-Id: %04x%04x\r\n"
		    "X-Jujubeswitch-Model: m\r\n"
		    "X-Jujubeswitch-Token-Count: 450,28\r\n"
		    "X-Jujubeswitch-Prompt-Prefix: 5c1e07a2:200,%x:250\r\n"
		    "X-Jujubeswitch-Deadline-Ms: 5000\r\n%s",
		    number, ++count, 0x91bd00 + number, wish);
		snprintf(text, sizeof(text), "note %d of %d", count, number);
		rig_call_stream(vms[number % MACHINES]->front, "POST",
		    PREFIX "2f", headers, text, strlen(text), 5000, 2000,
		    &answer);
		rig_note("client %04x%04x (%s) gets %d, %s", number, count,
		    expected != 0 ? "with a wish" : "no wish", answer.status,
		    rig_end_name(answer.end));
		if (answer.end == RIG_COMPLETE && answer.status == 200) {
			served++;
			if (rig_header(
				answer.head, "Versions", text, sizeof(text)))
				expected = atoi(text);
		} else {
			refused++;
			expected = 0;
		}
		rig_clear(&answer);
		rig_sleep_ms(400 + 7 * number);
	}
}

/* Replaces servers first..first+2: the new one starts, the old one drains. */
static void
release(int first)
{
	static const char *const zones[] = {"sala-a", "sala-b", "sala-c"};
	int i;

	rig_weights = 2;
	for (i = first; i < first + SERVERS / 2; i++) {
		(void)rig_server_start(SERVERS + i, SERVICE, zones[i % 3], run);
		rig_server_register(old_servers[i], true);
		rig_note("server %s drains", old_servers[i]->id);
		rig_sleep_ms(RELEASE_GAP_MS);
	}
	rig_sleep_ms(DRAIN_MS + 500);
	for (i = first; i < first + SERVERS / 2; i++) {
		rig_store_remove("servers", old_servers[i]->id);
		rig_note("server %s has left", old_servers[i]->id);
	}
}

static void
submit(int job)
{
	char body[16384], headers[256], id[64];
	rig_answer_t answer;
	size_t size = 0;
	int i, tries;

	snprintf(id, sizeof(id), "7c41e09b%08x", job);
	size += (size_t)snprintf(body, sizeof(body), "{\"items\":[");
	for (i = 0; i < ITEMS; i++)
		size += (size_t)snprintf(body + size, sizeof(body) - size,
		    "%s{\"id\":\"e5b2907c%04x%02d\",\"path\":\"" JOB_PREFIX
		    "3/%d\",\"headers\":{\"X-Jujubeswitch-Model\":\"m\","
		    "\"X-Jujubeswitch-Token-Count\":\"350,28\","
		    "\"X-Jujubeswitch-Prompt-Prefix\":\"9c2e41:100,%x:250\"},"
		    "\"body\":\"q83vEjRWeJA=\",\"tokens\":378}",
		    i > 0 ? "," : "", job, i, i, 0x5d0700 + 16 * job + i);
	snprintf(body + size, sizeof(body) - size, "]}");
	snprintf(headers, sizeof(headers),
	    "Host: " JOB_HOST "\r\nContent-Type: application/json\r\n"
	    "X-Jujubeswitch-Request-Id: %s\r\n",
	    id);
	for (tries = 0; tries < 2; tries++) {
		rig_call(vms[(job + tries) % MACHINES]->front, "POST",
		    JOB_PREFIX "7c41e0", headers, body, strlen(body), 4000,
		    &answer);
		rig_note("batch job %s is answered %d", id, answer.status);
		if (answer.status == 202)
			break;
		rig_clear(&answer);
	}
	if (tries == 2)
		rig_fail("batch job %s was not accepted", id);
	rig_clear(&answer);
}

/* Items of the job that are listed, as done or as dead. */
static int
count_listed(int job)
{
	char target[128];
	rig_answer_t answer;
	json_t *page;
	int count = -1, i;

	for (i = 0; i < MACHINES && count < 0; i++) {
		snprintf(target, sizeof(target),
		    "/api/lots/7c41e09b%08x?after=0", job);
		rig_call(vms[i]->front, "GET", target, "Host: " JOB_HOST "\r\n",
		    NULL, 0, 4000, &answer);
		page = json_loadb(answer.body != NULL ? answer.body : "",
		    answer.body_size, 0, NULL);
		if (answer.status == 200)
			count = (int)json_array_size(
			    json_object_get(page, "results"));
		json_decref(page);
		rig_clear(&answer);
	}
	return count;
}

int
main(int argc, char **argv)
{
	static const char *const zones[] = {"sala-a", "sala-b", "sala-c"};
	json_t *routes = json_array();
	json_t *route =
	    rig_route("r-x73d3zj", HOST, PREFIX, "streaming", SERVICE);
	int i, missing = 0, listed;
	int64_t until;
	bool calm;

	rig_open_record(argc > 1 ? argv[1] : "record.txt");
	rig_store_start();
	json_object_set_new(route, "resumable", json_true());
	json_object_set_new(route, "sticky", json_true());
	json_object_set_new(route, "gap_aim_ms", json_integer(200));
	json_array_append_new(routes, route);
	route = rig_route("r-p0lb7qd", JOB_HOST, JOB_PREFIX, "batch", SERVICE);
	json_object_set_new(route, "maxAttempts", json_integer(3));
	json_object_set_new(route, "runDeadlineMs", json_integer(18000));
	json_object_set_new(route, "retentionS", json_integer(60));
	json_object_set_new(route, "maxCount", json_integer(2000000));
	json_object_set_new(route, "resumable", json_true());
	json_object_set_new(route, "sticky", json_true());
	json_array_append_new(routes, route);
	rig_put_config(7, routes, SERVICE);
	for (i = 0; i < SERVERS; i++)
		old_servers[i] =
		    rig_server_start(i, SERVICE, zones[i % 3], run);
	for (i = 0; i < MACHINES; i++)
		vms[i] = rig_vm_start(i + 1, zones[i % 3]);
	for (i = 0; i < MACHINES; i++)
		rig_vm_await_ready(vms[i], 10000);
	rig_sleep_ms(STABLE_MS);
	for (i = 0; i < SESSIONS; i++)
		rig_thread(run_session, (void *)(intptr_t)i);
	rig_sleep_ms(4000);
	if (rig_trouble()) {
		release(0);
		rig_sleep_ms(3000);
		release(SERVERS / 2);
	}
	rig_sleep_ms(STABLE_MS);
	for (i = 0; i < JOBS; i++)
		submit(i);
	rig_sleep_ms(8000);
	over = true; /* the traffic has ended */
	rig_note("served=%d not served=%d answers of 421=%d", served, refused,
	    mismatches);
	until = rig_now_ms() + FINISH_MS;
	while (rig_now_ms() < until)
		rig_sleep_ms(100);
	calm = running_items == 0 && rig_now_ms() - last_item_ms > 5000;
	for (i = 0; i < JOBS; i++) {
		listed = count_listed(i);
		rig_note("batch job %d: %d of %d items are listed", i, listed,
		    ITEMS);
		if (listed < ITEMS)
			missing += ITEMS - (listed > 0 ? listed : 0);
	}
	rig_note("in the last 5 s servers had %s item", calm ? "no" : "an");
	rig_finish(missing > 0 && calm,
	    "items of accepted batch jobs that are not listed: %d of %d",
	    missing, JOBS * ITEMS);
}
