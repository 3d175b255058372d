/**
 * @file suspects.c
 * @brief Delays new requests whose fingerprint has been reported as crashing.
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
	TAILQ_HEAD(, suspect) delayed; /**< in order of begin_ms */
	jj_ms_t delay_ms;
};

static void remove_suspect(jj_suspects_t *, suspect_t *);

jj_suspects_t *
jj_suspects_create(jj_ms_t delay_ms)
{
	jj_suspects_t *suspects = jj_alloc(sizeof(*suspects));

	TAILQ_INIT(&suspects->delayed);
	suspects->delay_ms = delay_ms;
	return suspects;
}

void
jj_suspects_destroy(jj_suspects_t *suspects)
{
	if (suspects == NULL)
		return;
	while (!TAILQ_EMPTY(&suspects->delayed))
		remove_suspect(suspects, TAILQ_FIRST(&suspects->delayed));
	free(suspects);
}

void
jj_suspects_add(
    jj_suspects_t *suspects, const jj_request_t *request, jj_ms_t now)
{
	suspect_t *suspect = jj_alloc(sizeof(*suspect));

	suspect->request = *request;
	suspect->begin_ms = now + suspects->delay_ms;
	TAILQ_INSERT_TAIL(&suspects->delayed, suspect, link);
}

bool
jj_suspects_remove(jj_suspects_t *suspects, uint64_t request)
{
	suspect_t *suspect;

	TAILQ_FOREACH(suspect, &suspects->delayed, link)
	{
		if (suspect->request.request == request) {
			remove_suspect(suspects, suspect);
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

	while ((suspect = TAILQ_FIRST(&suspects->delayed)) != NULL &&
	    suspect->begin_ms <= now) {
		jj_dispatch_begin(dispatch, &suspect->request, now, out);
		remove_suspect(suspects, suspect);
	}
}

jj_ms_t
jj_suspects_next(const jj_suspects_t *suspects)
{
	const suspect_t *suspect = TAILQ_FIRST(&suspects->delayed);

	return suspect != NULL ? suspect->begin_ms : JJ_MS_NEVER;
}

static void
remove_suspect(jj_suspects_t *suspects, suspect_t *suspect)
{
	TAILQ_REMOVE(&suspects->delayed, suspect, link);
	free(suspect);
}
