/**
 * @file team.c
 * @brief The table of teams and the index of their keys.
 */
#include <stdarg.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "core/team/team.h"

/** Value in the index of a key that two teams hold. */
#define NUMBER_AMBIGUOUS 0
/** Memory for keys is allocated in blocks of so many bytes. */
#define KEY_BLOCK_BYTES 16384

struct jj_teams {
	atomic_uint references;
	jj_team_entry_t *teams; /**< owned */
	size_t count;
	size_t capacity;
	GHashTable *by_name; /**< number plus 1 */
	GHashTable *by_hash; /**< number plus 1; the hash is the key */
	GHashTable *by_key; /**< number plus 1, or NUMBER_AMBIGUOUS */
	GStringChunk *texts; /**< the keys of both indexes */
	size_t problems;
	char problem[160];
};

jj_teams_t *
jj_teams_create(void)
{
	jj_teams_t *teams = jj_alloc(sizeof(*teams));

	atomic_init(&teams->references, 1);
	teams->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	teams->by_hash =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	teams->by_key = g_hash_table_new(g_str_hash, g_str_equal);
	teams->texts = g_string_chunk_new(KEY_BLOCK_BYTES);
	return teams;
}

jj_teams_t *
jj_teams_retain(jj_teams_t *teams)
{
	if (teams != NULL)
		(void)atomic_fetch_add(&teams->references, 1);
	return teams;
}

void
jj_teams_release(jj_teams_t *teams)
{
	if (teams == NULL || atomic_fetch_sub(&teams->references, 1) != 1)
		return;
	g_hash_table_destroy(teams->by_name);
	g_hash_table_destroy(teams->by_hash);
	g_hash_table_destroy(teams->by_key);
	g_string_chunk_free(teams->texts);
	free(teams->teams);
	free(teams);
}

uint32_t
jj_teams_add(jj_teams_t *teams, const jj_team_entry_t *team)
{
	uint32_t found = GPOINTER_TO_UINT(
	    g_hash_table_lookup(teams->by_name, team->name.text));
	gint64 *hash;

	if (found != 0) {
		jj_teams_note_problem(teams,
		    "team=%s field=name value=%s bound=\"one team of a name\"",
		    team->name.text, team->name.text);
		return found - 1;
	}
	if (teams->count == teams->capacity) {
		teams->capacity =
		    teams->capacity == 0 ? 16 : 2 * teams->capacity;
		teams->teams = jj_realloc(
		    teams->teams, teams->capacity * sizeof(*teams->teams));
	}
	teams->teams[teams->count++] = *team;
	(void)g_hash_table_insert(teams->by_name,
	    g_string_chunk_insert(teams->texts, team->name.text),
	    GUINT_TO_POINTER((guint)teams->count));
	hash = g_new(gint64, 1);
	*hash = (gint64)jj_team_hash(team->name.text);
	(void)g_hash_table_insert(
	    teams->by_hash, hash, GUINT_TO_POINTER((guint)teams->count));
	return (uint32_t)teams->count - 1;
}

void
jj_teams_add_key(
    jj_teams_t *teams, uint32_t number, const char *key, size_t size)
{
	const char *name = teams->teams[number].name.text;
	gpointer holder = NULL;
	char *copy;

	if (size == 0 || size > JJ_TEAM_KEY_MAX ||
	    memchr(key, '\0', size) != NULL) {
		jj_teams_note_problem(teams,
		    "team=%s field=key value=\"%zu bytes\" bound=\"1 to %d "
		    "bytes without NUL\"",
		    name, size, JJ_TEAM_KEY_MAX);
		return;
	}
	copy = g_string_chunk_insert_len(teams->texts, key, (gssize)size);
	if (!g_hash_table_lookup_extended(teams->by_key, copy, NULL, &holder)) {
		(void)g_hash_table_insert(
		    teams->by_key, copy, GUINT_TO_POINTER(number + 1));
		return;
	}
	if (GPOINTER_TO_UINT(holder) == number + 1)
		return;
	(void)g_hash_table_insert(
	    teams->by_key, copy, GUINT_TO_POINTER(NUMBER_AMBIGUOUS));
	jj_teams_note_problem(teams,
	    "team=%s field=key value=\"held by another team\" bound=\"one team "
	    "for a key\"",
	    name);
}

void
jj_teams_note_problem(jj_teams_t *teams, const char *format, ...)
{
	va_list arguments;

	if (teams->problems++ > 0)
		return;
	va_start(arguments, format);
	(void)vsnprintf(
	    teams->problem, sizeof(teams->problem), format, arguments);
	va_end(arguments);
}

size_t
jj_teams_problems(const jj_teams_t *teams, const char **first)
{
	*first = teams != NULL ? teams->problem : "";
	return teams != NULL ? teams->problems : 0;
}

size_t
jj_teams_count(const jj_teams_t *teams)
{
	return teams != NULL ? teams->count : 0;
}

jj_key_outcome_t
jj_teams_find_key(
    const jj_teams_t *teams, const char *key, const jj_team_entry_t **team)
{
	gpointer holder = NULL;

	*team = NULL;
	if (!g_hash_table_lookup_extended(teams->by_key, key, NULL, &holder))
		return JJ_KEY_UNKNOWN;
	if (GPOINTER_TO_UINT(holder) == NUMBER_AMBIGUOUS ||
	    !teams->teams[GPOINTER_TO_UINT(holder) - 1].usable)
		return JJ_KEY_UNUSABLE;
	*team = &teams->teams[GPOINTER_TO_UINT(holder) - 1];
	return JJ_KEY_VALID;
}

const jj_team_entry_t *
jj_teams_find(const jj_teams_t *teams, const char *name)
{
	uint32_t found;

	if (teams == NULL)
		return NULL;
	found = GPOINTER_TO_UINT(g_hash_table_lookup(teams->by_name, name));
	return found != 0 ? &teams->teams[found - 1] : NULL;
}

const jj_team_entry_t *
jj_teams_find_hash(const jj_teams_t *teams, uint64_t hash)
{
	uint32_t found;

	if (teams == NULL)
		return NULL;
	found = GPOINTER_TO_UINT(g_hash_table_lookup(teams->by_hash, &hash));
	return found != 0 ? &teams->teams[found - 1] : NULL;
}

bool
jj_team_is_header_value(const char *text)
{
	size_t size = strlen(text);
	size_t i;

	for (i = 0; i < size; i++)
		if (!g_ascii_isprint(text[i]))
			return false;
	return size > 0 && text[0] != ' ' && text[size - 1] != ' ';
}

uint32_t
jj_team_priority(const jj_team_entry_t *team, uint32_t route_priority)
{
	return team != NULL && team->priority != JJ_TEAM_PRIORITY_NONE
	    ? team->priority
	    : route_priority;
}

uint64_t
jj_team_hash(const char *name)
{
	return jj_hash_bytes(name, strlen(name), 0);
}

void
jj_team_scope_id(
    const jj_name_t *team, const char *id, char *scoped, size_t size)
{
	char *text;

	if (jj_name_is_empty(team)) {
		jj_text_copy_truncated(scoped, size, id);
		return;
	}
	text = g_strdup_printf(
	    "%016llx-%s", (unsigned long long)jj_team_hash(team->text), id);
	jj_text_copy_truncated(scoped, size, text);
	g_free(text);
}

jj_access_t
jj_teams_check(const jj_teams_t *teams, bool optional, const char *key,
    size_t key_count, const jj_team_entry_t **team)
{
	jj_key_outcome_t outcome = JJ_KEY_UNKNOWN;

	*team = NULL;
	if (teams == NULL)
		return JJ_ACCESS_GRANTED;
	if (key_count == 1)
		outcome = jj_teams_find_key(teams, key, team);
	if (outcome == JJ_KEY_VALID || optional)
		return JJ_ACCESS_GRANTED;
	return outcome == JJ_KEY_UNUSABLE ? JJ_ACCESS_UNCLEAR
					  : JJ_ACCESS_DENIED;
}
