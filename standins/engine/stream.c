#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <xxhash.h>

#include "stream.h"

/* Followed by a number in the prompt: ends the text after that many tokens. */
#define STOP_MARK "<<stop "
/* A stream with this in its prompt never yields a token. */
#define HANG_MARK "<<hang>>"
/* A stream with this in its prompt ends the process when admitted. */
#define CRASH_MARK "<<crash>>"

#define NS_PER_MS 1000000L
#define NS_PER_S 1000000000L
#define MS_PER_S 1000

static long text_length(const char *, long);
static void list_remove(stream_table_t *, stream_t *);
static void stream_free(stream_t *);

void
stream_table_init(stream_table_t *table)
{
	memset(table, 0, sizeof(*table));
	table->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	TAILQ_INIT(&table->waiting);
	TAILQ_INIT(&table->running);
	TAILQ_INIT(&table->ended);
}

void
stream_table_destroy(stream_table_t *table)
{
	struct stream_list *lists[] = {
	    &table->waiting, &table->running, &table->ended};
	stream_t *stream;
	size_t i;

	for (i = 0; i < sizeof(lists) / sizeof(lists[0]); i++) {
		while ((stream = TAILQ_FIRST(lists[i])) != NULL) {
			TAILQ_REMOVE(lists[i], stream, entry);
			stream_free(stream);
		}
	}
	g_hash_table_destroy(table->by_id);
}

stream_t *
stream_create(stream_table_t *table, const stream_params_t *params)
{
	stream_t *stream = g_new0(stream_t, 1);

	stream->id = ++table->last_id;
	stream->prompt = g_strdup(params->prompt);
	stream->prompt_hash = stream_hash(params->prompt);
	if (params->request != NULL)
		g_strlcpy(stream->request, params->request, STREAM_NAME_SIZE);
	if (params->client != NULL)
		g_strlcpy(stream->client, params->client, STREAM_NAME_SIZE);
	stream->chat = params->chat;
	stream->batch = params->batch;
	stream->hangs = strstr(params->prompt, HANG_MARK) != NULL;
	stream->crashes = strstr(params->prompt, CRASH_MARK) != NULL;
	stream->prompt_tokens =
	    (long)((strlen(params->prompt) + STREAM_TOKEN_BYTES - 1) /
		STREAM_TOKEN_BYTES);
	stream->max_tokens = params->max_tokens;
	stream->length = text_length(params->prompt, params->max_tokens);
	stream->stop_at = stream->length;
	stream->references = 1;
	stream_cond_init(&stream->changed);
	g_hash_table_insert(table->by_id, &stream->id, stream);
	stream->state = STREAM_WAITING;
	TAILQ_INSERT_TAIL(&table->waiting, stream, entry);
	table->waiting_count++;
	return stream;
}

stream_t *
stream_acquire(stream_table_t *table, uint64_t id)
{
	stream_t *stream = g_hash_table_lookup(table->by_id, &id);

	if (stream != NULL)
		stream->references++;
	return stream;
}

void
stream_release(stream_table_t *table, stream_t *stream)
{
	stream->references--;
	if (stream->references == 0 &&
	    g_hash_table_lookup(table->by_id, &stream->id) != stream)
		stream_free(stream);
}

void
stream_move(stream_table_t *table, stream_t *stream, stream_state_t state)
{
	stream_t *oldest;

	list_remove(table, stream);
	stream->state = state;
	switch (state) {
	case STREAM_WAITING:
		TAILQ_INSERT_TAIL(&table->waiting, stream, entry);
		table->waiting_count++;
		break;
	case STREAM_RUNNING:
		TAILQ_INSERT_TAIL(&table->running, stream, entry);
		table->running_count++;
		break;
	case STREAM_ENDED:
		TAILQ_INSERT_TAIL(&table->ended, stream, entry);
		table->ended_count++;
		oldest = TAILQ_FIRST(&table->ended);
		if (table->ended_count > STREAM_ENDED_MAX)
			stream_remove(table, oldest);
		break;
	}
}

void
stream_remove(stream_table_t *table, stream_t *stream)
{
	list_remove(table, stream);
	g_hash_table_remove(table->by_id, &stream->id);
	if (stream->references == 0)
		stream_free(stream);
}

int
stream_token(const stream_t *stream, long index, char text[STREAM_TEXT_SIZE])
{
	return snprintf(text, STREAM_TEXT_SIZE, "w%ld-%08" PRIx32 " ", index,
	    stream->prompt_hash);
}

const char *
stream_finish_reason(const stream_t *stream)
{
	return stream->length < stream->max_tokens ? "stop" : "length";
}

const char *
stream_outcome_name(outcome_t outcome)
{
	static const char *const names[] = {
	    [OUTCOME_RUNNING] = "running",
	    [OUTCOME_DONE] = "done",
	    [OUTCOME_CANCELLED] = "cancelled",
	    [OUTCOME_GONE] = "gone",
	    [OUTCOME_FAILED] = "failed",
	};

	return names[outcome];
}

uint32_t
stream_hash(const char *prompt)
{
	return (uint32_t)XXH3_64bits(prompt, strlen(prompt));
}

void
stream_cond_init(pthread_cond_t *cond)
{
	pthread_condattr_t attributes;

	pthread_condattr_init(&attributes);
	pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
	pthread_cond_init(cond, &attributes);
	pthread_condattr_destroy(&attributes);
}

bool
stream_cond_wait(pthread_cond_t *cond, pthread_mutex_t *lock, int64_t ms)
{
	struct timespec until;

	clock_gettime(CLOCK_MONOTONIC, &until);
	until.tv_sec += ms / MS_PER_S;
	until.tv_nsec += (ms % MS_PER_S) * NS_PER_MS;
	if (until.tv_nsec >= NS_PER_S) {
		until.tv_sec++;
		until.tv_nsec -= NS_PER_S;
	}
	return pthread_cond_timedwait(cond, lock, &until) != ETIMEDOUT;
}

/* Tokens of the whole text: max_tokens, or fewer if set by STOP_MARK. */
static long
text_length(const char *prompt, long max_tokens)
{
	const char *mark = strstr(prompt, STOP_MARK);
	long length;

	if (mark == NULL)
		return max_tokens;
	length = strtol(mark + strlen(STOP_MARK), NULL, 10);
	return length > 0 && length < max_tokens ? length : max_tokens;
}

static void
list_remove(stream_table_t *table, stream_t *stream)
{
	switch (stream->state) {
	case STREAM_WAITING:
		TAILQ_REMOVE(&table->waiting, stream, entry);
		table->waiting_count--;
		break;
	case STREAM_RUNNING:
		TAILQ_REMOVE(&table->running, stream, entry);
		table->running_count--;
		break;
	case STREAM_ENDED:
		TAILQ_REMOVE(&table->ended, stream, entry);
		table->ended_count--;
		break;
	}
}

static void
stream_free(stream_t *stream)
{
	pthread_cond_destroy(&stream->changed);
	g_free(stream->prompt);
	g_free(stream);
}
