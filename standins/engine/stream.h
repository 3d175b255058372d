/**
 * @file stream.h
 * @brief Token streams and the table that indexes them by id.
 *
 * Ids count up from 1 on each start, so that an id may be reused after a
 * restart, as callers must expect of a real engine.
 */
#ifndef STANDIN_ENGINE_STREAM_H
#define STANDIN_ENGINE_STREAM_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include <glib.h>

/** Bytes of prompt that make one token. */
#define STREAM_TOKEN_BYTES 4
/** Ended streams kept for a resume; the oldest are removed. */
#define STREAM_ENDED_MAX 1024
/** Maximum size of an id taken from a header, in bytes with the NUL. */
#define STREAM_NAME_SIZE 128
/** Maximum size of a token text, in bytes with the NUL. */
#define STREAM_TEXT_SIZE 40

/** The state of a stream. */
typedef enum {
	STREAM_WAITING, /**< in the queue for a slot */
	STREAM_RUNNING, /**< has a slot */
	STREAM_ENDED, /**< has an outcome */
} stream_state_t;

/** How a stream ended. */
typedef enum {
	OUTCOME_RUNNING, /**< not yet */
	OUTCOME_DONE,
	OUTCOME_CANCELLED,
	OUTCOME_GONE, /**< its caller hung up */
	OUTCOME_FAILED, /**< by an injected fault */
} outcome_t;

/** The parameters of a completion request. */
typedef struct {
	const char *prompt;
	const char *request; /**< may be NULL */
	const char *client; /**< may be NULL */
	long max_tokens;
	bool chat;
	bool batch;
	bool streaming;
} stream_params_t;

/** One stream. */
typedef struct stream {
	TAILQ_ENTRY(stream) entry; /**< in the list of its state */
	uint64_t id;
	char *prompt;
	uint32_t prompt_hash;
	char request[STREAM_NAME_SIZE];
	char client[STREAM_NAME_SIZE];
	bool chat;
	bool batch;
	bool hangs; /**< never yields a token */
	bool crashes; /**< ends the process when admitted */
	bool fails; /**< fails with 500 when admitted */
	long prompt_tokens;
	long cached_tokens;
	long max_tokens;
	long length; /**< tokens of the whole text */
	long stop_at; /**< below length if to be truncated */
	long generated; /**< tokens so far */
	stream_state_t state;
	outcome_t outcome;
	size_t record; /**< index in the records while running */
	unsigned references; /**< references held by threads */
	uint64_t reader; /**< number of its current reader */
	pthread_cond_t changed; /**< new token, state or reader */
} stream_t;

TAILQ_HEAD(stream_list, stream);

/** All streams. */
typedef struct {
	GHashTable *by_id;
	struct stream_list waiting; /**< in order of arrival */
	struct stream_list running; /**< in order of admission */
	struct stream_list ended; /**< oldest first */
	long waiting_count;
	long running_count;
	long ended_count;
	uint64_t last_id;
	uint64_t last_reader;
} stream_table_t;

void stream_table_init(stream_table_t *table);
void stream_table_destroy(stream_table_t *table);
/** Creates a stream with one reference at the end of the queue. Locked. */
stream_t *stream_create(stream_table_t *table, const stream_params_t *params);
/** The stream with that id, with a new reference, or NULL. Locked. */
stream_t *stream_acquire(stream_table_t *table, uint64_t id);
/** Releases a reference; the last one of a removed stream frees it. Locked. */
void stream_release(stream_table_t *table, stream_t *stream);
/** Moves a stream to the end of the list of @p state. Locked. */
void stream_move(stream_table_t *table, stream_t *stream, stream_state_t state);
/** Removes an ended stream from the table; references stay valid. Locked. */
void stream_remove(stream_table_t *table, stream_t *stream);

/** Writes the text of token @p index; returns its bytes. */
int
stream_token(const stream_t *stream, long index, char text[STREAM_TEXT_SIZE]);
/** "stop" when the text ends before max_tokens, otherwise "length". */
const char *stream_finish_reason(const stream_t *stream);
/** The name of an outcome, as in the records. */
const char *stream_outcome_name(outcome_t outcome);
/** Low 32 bits of XXH3-64 of a prompt. */
uint32_t stream_hash(const char *prompt);
/** Initializes a condition variable that uses the monotonic clock. */
void stream_cond_init(pthread_cond_t *cond);
/** Waits up to @p ms milliseconds; false on timeout. */
bool stream_cond_wait(pthread_cond_t *cond, pthread_mutex_t *lock, int64_t ms);

#endif
