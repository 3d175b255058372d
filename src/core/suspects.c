/**
 * @file suspects.c
 * @brief New requests that look like one that crashed a backend server.
 */
#include <stdlib.h>
#include <sys/queue.h>

#include "core/suspects.h"

typedef struct suspect {
	TAILQ_ENTRY(suspect) link;
	jj_request_t request;
	jj_ms_t begin_ms;
} suspect_t;

struct jj_suspects {
	TAILQ_HEAD(, suspect) resting; /**< the first to begin first */
	jj_ms_t rest_ms;
};

static void take_off(jj_suspects_t *, suspect_t *);

jj_suspects_t *
jj_suspects_create(jj_ms_t rest_ms)
{
	jj_suspects_t *suspects = jj_alloc(sizeof(*suspects));

	TAILQ_INIT(&suspects->resting);
	suspects->rest_ms = rest_ms;
	return suspects;
}

void
jj_suspects_destroy(jj_suspects_t *suspects)
{
	if (suspects == NULL)
		return;
	while (!TAILQ_EMPTY(&suspects->resting))
		take_off(suspects, TAILQ_FIRST(&suspects->resting));
	free(suspects);
}

void
jj_suspects_add(
    jj_suspects_t *suspects, const jj_request_t *request, jj_ms_t now)
{
	suspect_t *suspect = jj_alloc(sizeof(*suspect));

	suspect->request = *request;
	suspect->begin_ms = now + suspects->rest_ms;
	TAILQ_INSERT_TAIL(&suspects->resting, suspect, link);
}

bool
jj_suspects_remove(jj_suspects_t *suspects, uint64_t request)
{
	suspect_t *suspect;

	TAILQ_FOREACH(suspect, &suspects->resting, link)
	{
		if (suspect->request.request == request) {
			take_off(suspects, suspect);
			return true;
		}
	}
	return false;
}

void
jj_suspects_tick(jj_suspects_t *suspects, jj_dispatch_t *dispatch, jj_ms_t now,
    jj_actions_t *out)
{
	suspect_t *suspect;

	while ((suspect = TAILQ_FIRST(&suspects->resting)) != NULL &&
	    suspect->begin_ms <= now) {
		jj_dispatch_begin(dispatch, &suspect->request, now, out);
		take_off(suspects, suspect);
	}
}

jj_ms_t
jj_suspects_next(const jj_suspects_t *suspects)
{
	const suspect_t *suspect = TAILQ_FIRST(&suspects->resting);

	return suspect != NULL ? suspect->begin_ms : JJ_MS_NEVER;
}

static void
take_off(jj_suspects_t *suspects, suspect_t *suspect)
{
	TAILQ_REMOVE(&suspects->resting, suspect, link);
	free(suspect);
}
