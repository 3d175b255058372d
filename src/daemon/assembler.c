/**
 * @file assembler.c
 * @brief Assembles a streamed completion into one answer.
 */
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "daemon/assembler.h"

/** Maximum number of choices of a completion. */
#define CHOICES_MAX 16

typedef struct {
	GString *text; /**< NULL: not in the stream */
	char finish_reason[32];
} choice_t;

struct jj_assembler {
	json_t *head; /**< of the first event: id, model and other fields */
	json_t *usage;
	bool is_chat;
	bool malformed;
	choice_t choices[CHOICES_MAX];
};

static const char data_field[] = "data:";

static void parse_line(jj_assembler_t *, const char *, size_t);
static void add_event(jj_assembler_t *, json_t *);
static void add_choice(jj_assembler_t *, const json_t *);
static json_t *make_choice(const jj_assembler_t *, size_t);

jj_assembler_t *
jj_assembler_create(void)
{
	return jj_alloc(sizeof(jj_assembler_t));
}

void
jj_assembler_destroy(jj_assembler_t *assembler)
{
	if (assembler == NULL)
		return;
	jj_assembler_reset(assembler);
	free(assembler);
}

void
jj_assembler_reset(jj_assembler_t *assembler)
{
	size_t i;

	json_decref(assembler->head);
	json_decref(assembler->usage);
	for (i = 0; i < CHOICES_MAX; i++) {
		if (assembler->choices[i].text != NULL)
			(void)g_string_free(assembler->choices[i].text, TRUE);
	}
	memset(assembler, 0, sizeof(*assembler));
}

void
jj_assembler_feed(jj_assembler_t *assembler, const char *events, size_t size)
{
	const char *end;
	size_t length;

	while (size > 0) {
		end = memchr(events, '\n', size);
		length = end != NULL ? (size_t)(end - events) : size;
		parse_line(assembler, events, length);
		if (end == NULL)
			return;
		events += length + 1;
		size -= length + 1;
	}
}

jj_bytes_t
jj_assembler_finish(jj_assembler_t *assembler)
{
	jj_bytes_t bytes = {NULL, 0};
	json_t *choices = json_array();
	json_t *root;
	size_t i;

	for (i = 0; i < CHOICES_MAX; i++) {
		if (assembler->choices[i].text != NULL)
			(void)json_array_append_new(
			    choices, make_choice(assembler, i));
	}
	if (assembler->malformed || json_array_size(choices) == 0) {
		json_decref(choices);
		return bytes;
	}
	root = json_copy(assembler->head);
	(void)json_object_set_new(root, "object",
	    json_string(
		assembler->is_chat ? "chat.completion" : "text_completion"));
	(void)json_object_set_new(root, "choices", choices);
	if (assembler->usage != NULL)
		(void)json_object_set(root, "usage", assembler->usage);
	bytes.data = json_dumps(root, JSON_COMPACT);
	bytes.size = bytes.data != NULL ? strlen(bytes.data) : 0;
	json_decref(root);
	return bytes;
}

jj_bytes_t
jj_assembler_make_stream_request(const jj_bytes_t *body)
{
	json_t *root = json_loadb(body->data, body->size, 0, NULL);
	jj_bytes_t bytes = {NULL, 0};

	if (!json_is_object(root)) {
		json_decref(root);
		return bytes;
	}
	(void)json_object_set_new(root, "stream", json_true());
	(void)json_object_set_new(
	    root, "stream_options", json_pack("{s:b}", "include_usage", 1));
	bytes.data = json_dumps(root, JSON_COMPACT);
	bytes.size = strlen(bytes.data);
	json_decref(root);
	return bytes;
}

static void
parse_line(jj_assembler_t *assembler, const char *line, size_t size)
{
	size_t skip = sizeof(data_field) - 1;
	json_t *event;

	if (size < skip || memcmp(line, data_field, skip) != 0)
		return;
	while (skip < size && line[skip] == ' ')
		skip++;
	if (size - skip >= 6 && memcmp(line + skip, "[DONE]", 6) == 0)
		return;
	event = json_loadb(line + skip, size - skip, 0, NULL);
	if (json_is_object(event))
		add_event(assembler, event);
	else
		assembler->malformed = true;
	json_decref(event);
}

static void
add_event(jj_assembler_t *assembler, json_t *event)
{
	const json_t *choices = json_object_get(event, "choices");
	json_t *usage = json_object_get(event, "usage");
	const json_t *choice;
	size_t i;

	if (json_is_object(usage)) {
		json_decref(assembler->usage);
		assembler->usage = json_incref(usage);
	}
	json_array_foreach(choices, i, choice)
	{
		add_choice(assembler, choice);
	}
	if (assembler->head != NULL)
		return;
	assembler->head = json_copy(event);
	(void)json_object_del(assembler->head, "choices");
	(void)json_object_del(assembler->head, "usage");
}

static void
add_choice(jj_assembler_t *assembler, const json_t *json)
{
	json_int_t index = json_integer_value(json_object_get(json, "index"));
	const json_t *delta = json_object_get(json, "delta");
	const char *reason =
	    json_string_value(json_object_get(json, "finish_reason"));
	const char *text =
	    json_string_value(delta != NULL ? json_object_get(delta, "content")
					    : json_object_get(json, "text"));
	choice_t *choice;

	if (index < 0 || index >= CHOICES_MAX) {
		assembler->malformed = true;
		return;
	}
	choice = &assembler->choices[index];
	if (choice->text == NULL)
		choice->text = g_string_new("");
	if (delta != NULL)
		assembler->is_chat = true;
	if (text != NULL)
		(void)g_string_append(choice->text, text);
	if (reason != NULL)
		(void)g_strlcpy(choice->finish_reason, reason,
		    sizeof(choice->finish_reason));
}

static json_t *
make_choice(const jj_assembler_t *assembler, size_t i)
{
	const choice_t *choice = &assembler->choices[i];
	json_t *json = json_pack("{s:i}", "index", (int)i);

	if (assembler->is_chat)
		(void)json_object_set_new(json, "message",
		    json_pack("{s:s,s:s}", "role", "assistant", "content",
			choice->text->str));
	else
		(void)json_object_set_new(
		    json, "text", json_string(choice->text->str));
	(void)json_object_set_new(json, "finish_reason",
	    choice->finish_reason[0] != '\0'
		? json_string(choice->finish_reason)
		: json_null());
	return json;
}
