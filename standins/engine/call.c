#include <string.h>

#include <glib.h>

#include "call.h"

#define MAX_TOKENS_DEFAULT 16

static char *chat_prompt(const json_t *);

const char *
call_parse(call_t *call, const web_request_t *request, bool chat)
{
	const char *class = web_header(request, "Jujube-Class");
	const json_t *value;

	call->json = json_loadb(request->body, request->body_size, 0, NULL);
	if (!json_is_object(call->json))
		return "the body is no JSON object";
	value = json_object_get(call->json, "prompt");
	if (chat)
		call->prompt =
		    chat_prompt(json_object_get(call->json, "messages"));
	else
		call->prompt = g_strdup(json_string_value(value));
	if (call->prompt == NULL)
		return chat ? "messages: an array with string contents is due"
			    : "prompt: a string is due";
	value = json_object_get(call->json, "max_tokens");
	call->params.max_tokens = MAX_TOKENS_DEFAULT;
	if (value != NULL)
		call->params.max_tokens = (long)json_integer_value(value);
	if (call->params.max_tokens < 1 ||
	    call->params.max_tokens > CALL_TOKENS_MAX)
		return "max_tokens: a number from 1 to 1000000 is due";
	value = json_object_get(call->json, "model");
	call->model = g_strdup(json_string_value(value));
	call->params.prompt = call->prompt;
	call->params.chat = chat;
	call->params.streaming =
	    json_is_true(json_object_get(call->json, "stream"));
	call->params.batch = class != NULL && strcmp(class, "batch") == 0;
	call->params.request = web_header(request, "Jujube-Request");
	call->params.client = web_header(request, "Jujube-Client");
	return NULL;
}

void
call_clear(call_t *call)
{
	json_decref(call->json);
	g_free(call->prompt);
	g_free(call->model);
}

/* The contents joined by newlines; NULL if empty or one is not a string. */
static char *
chat_prompt(const json_t *messages)
{
	GString *prompt = g_string_new(NULL);
	const char *content;
	json_t *message;
	size_t i;

	if (json_array_size(messages) == 0)
		goto out;
	json_array_foreach(messages, i, message)
	{
		content =
		    json_string_value(json_object_get(message, "content"));
		if (content == NULL)
			goto out;
		if (i > 0)
			g_string_append_c(prompt, '\n');
		g_string_append(prompt, content);
	}
	return g_string_free(prompt, FALSE);
out:
	g_string_free(prompt, TRUE);
	return NULL;
}
