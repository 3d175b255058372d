/**
 * @file team.h
 * @brief Teams: who a caller is, and how much its team may send.
 *
 * A table belongs to one version of the configuration. It is filled once, then
 * only read, so that threads share it without a lock; it is freed with its last
 * reference. Keys are held here and nowhere else: no function returns one.
 */
#ifndef JJ_CORE_TEAM_TEAM_H
#define JJ_CORE_TEAM_TEAM_H

#include "core/types.h"

/** Longest key, bytes; a header with a longer one holds no key. */
#define JJ_TEAM_KEY_MAX 4096
/** Priority of a team that has none of its own. */
#define JJ_TEAM_PRIORITY_NONE UINT32_MAX

typedef struct {
	jj_name_t name; /**< as servers receive it */
	double rate_per_s; /**< requests a second over all VMs; 0: no limit */
	double burst; /**< requests beyond that */
	/** 0 is the highest; goes before the priority of the route */
	uint32_t priority;
	/** of its fair share of scarce slots; 0: as 1 */
	double weight;
	/** false: described in a way that can't be used; gets no service */
	bool usable;
} jj_team_entry_t;

/** What a key stands for. */
typedef enum {
	JJ_KEY_VALID, /**< a usable team holds it */
	JJ_KEY_UNKNOWN, /**< no team holds it */
	JJ_KEY_UNUSABLE, /**< two teams hold it, or its team is unusable */
} jj_key_outcome_t;

typedef struct jj_teams jj_teams_t;

/** An empty table with one reference. */
jj_teams_t *jj_teams_create(void);
/** Adds a reference; NULL is passed through. */
jj_teams_t *jj_teams_retain(jj_teams_t *teams);
/** Drops a reference; NULL is ignored. */
void jj_teams_release(jj_teams_t *teams);

/**
 * Adds a team and returns its number. A second team of the same name is taken
 * for the first one, whose limits stay, and is counted as a problem.
 */
uint32_t jj_teams_add(jj_teams_t *teams, const jj_team_entry_t *team);
/**
 * Gives the team of that number a key of @p size bytes. Empty and too long keys
 * are left out and counted as problems. A key that another team holds already
 * is from then on unusable for both.
 */
void jj_teams_add_key(
    jj_teams_t *teams, uint32_t number, const char *key, size_t size);
/** Counts a problem; the first one is kept for the log. No key may be in it. */
void jj_teams_note_problem(jj_teams_t *teams, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
/** Number of problems, and the first one as text. */
size_t jj_teams_problems(const jj_teams_t *teams, const char **first);

size_t jj_teams_count(const jj_teams_t *teams);
/** @param team set when the outcome is JJ_KEY_VALID, else NULL. */
jj_key_outcome_t jj_teams_find_key(
    const jj_teams_t *teams, const char *key, const jj_team_entry_t **team);
/** The team of that name, or NULL; @p teams may be NULL. */
const jj_team_entry_t *jj_teams_find(const jj_teams_t *teams, const char *name);
/** The team with that jj_team_hash(), or NULL; @p teams may be NULL. */
const jj_team_entry_t *
jj_teams_find_hash(const jj_teams_t *teams, uint64_t hash);
/** True for a text that a header can carry unchanged. */
bool jj_team_is_header_value(const char *text);
/** A team's own priority goes before its route's; @p team may be NULL. */
uint32_t jj_team_priority(const jj_team_entry_t *team, uint32_t route_priority);
/** Identifies a team in messages. */
uint64_t jj_team_hash(const char *name);

/**
 * Writes the id under which a team's job is stored. Jobs of different teams
 * never share one, so that a team finds no other team's jobs.
 * A result that is too long is cut and ends in its hash.
 * @param team empty: the id stays as it is.
 */
void jj_team_scope_id(
    const jj_name_t *team, const char *id, char *scoped, size_t size);

/** Result of checking what a caller sent to prove its team. */
typedef enum {
	JJ_ACCESS_GRANTED, /**< of a team, or no team is needed */
	/** no team is needed, but a key came that no team holds */
	JJ_ACCESS_ANONYMOUS,
	JJ_ACCESS_DENIED, /**< no key, or no valid one */
	/** no configuration is known, or it is unsound at this key */
	JJ_ACCESS_UNCLEAR,
} jj_access_t;

/**
 * Decides whether a caller may send a request.
 * @param teams NULL: the configuration has no teams, nobody needs a key.
 * @param optional the route serves callers without a key, too.
 * @param key value of the header, or NULL.
 * @param key_count how many such headers came; more than one proves nothing.
 * @param team the caller's team, or NULL.
 */
jj_access_t jj_teams_check(const jj_teams_t *teams, bool optional,
    const char *key, size_t key_count, const jj_team_entry_t **team);

#endif
