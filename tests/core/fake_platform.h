/**
 * @file fake_platform.h
 * @brief In-memory implementation of the platform's object API, with faults.
 *
 * execute() carries out one call at once. run() carries out the platform calls
 * of an action list and passes the results on, until none is left; the other
 * actions stay in the list.
 */
#ifndef JJ_TESTS_CORE_FAKE_PLATFORM_H
#define JJ_TESTS_CORE_FAKE_PLATFORM_H

#include <cstring>
#include <functional>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "core/action.h"
#include "core/platform_call.h"
}

/** Fault that a platform call meets. */
enum class Fault {
	kNone,
	kRefuse, /**< DOWN: not done */
	kLimit, /**< LIMITED: not done */
	kNoAnswer, /**< UNKNOWN: not done */
	kLoseAnswer, /**< UNKNOWN: a write takes effect first */
	/**
	 * CONFLICT after the write took effect, as when a lower layer repeats
	 * it
	 */
	kConflict,
};

class FakePlatform
{
      public:
	struct Object {
		uint64_t version;
		std::string value;
	};
	using Take =
	    std::function<void(const jj_platform_result_t &, jj_actions_t *)>;

	std::map<std::string, Object> objects;
	uint64_t revision = 0;
	/** Fault of each call from now on. */
	Fault fault = Fault::kNone;
	/** Faults of the next writes, in order; override `fault`. */
	std::vector<Fault> next_writes;
	/** Faults of the next reads, in order; override `fault`. */
	std::vector<Fault> next_reads;
	/**
	 * Called before each call takes effect, e.g. to let another writer act.
	 */
	std::function<void(const jj_platform_call_t &)> before;
	jj_ms_t retry_after_ms = 0;
	int writes = 0;
	int reads = 0;
	/** Keys of writes that took effect, in order. */
	std::vector<std::string> log;

	void
	put(const std::string &key, const std::string &value)
	{
		objects[key] = Object{++revision, value};
		log.push_back(key);
	}

	bool
	has(const std::string &key) const
	{
		return objects.count(key) != 0;
	}

	/** The caller clears the result. */
	jj_platform_result_t
	execute(const jj_platform_call_t &call)
	{
		jj_platform_result_t result = {};
		Fault met = take_fault(call);

		result.owner = call.owner;
		result.token = call.token;
		result.op = call.op;
		result.retry_after_ms = retry_after_ms;
		if (met == Fault::kRefuse)
			result.outcome = JJ_PLATFORM_DOWN;
		else if (met == Fault::kLimit)
			result.outcome = JJ_PLATFORM_LIMITED;
		else if (met == Fault::kNoAnswer)
			result.outcome = JJ_PLATFORM_UNKNOWN;
		else
			carry_out(call, met, &result);
		return result;
	}

	/** Runs until no platform call is left; returns how many ran. */
	int
	run(jj_actions_t *actions, const Take &take)
	{
		int calls = 0;

		for (jj_action_t *action = find_call(actions); action;
		     action = find_call(actions)) {
			TAILQ_REMOVE(actions, action, link);
			jj_platform_result_t result =
			    execute(action->body.platform);
			jj_action_free(action);
			take(result, actions);
			jj_platform_result_clear(&result);
			calls++;
		}
		return calls;
	}

	static jj_action_t *
	find_call(jj_actions_t *actions)
	{
		jj_action_t *action;

		TAILQ_FOREACH(action, actions, link)
		{
			if (action->kind == JJ_ACTION_PLATFORM)
				return action;
		}
		return nullptr;
	}

      private:
	static bool
	is_write(const jj_platform_call_t &call)
	{
		return call.op == JJ_PLATFORM_CREATE ||
		    call.op == JJ_PLATFORM_UPDATE ||
		    call.op == JJ_PLATFORM_DELETE;
	}

	Fault
	take_fault(const jj_platform_call_t &call)
	{
		std::vector<Fault> &next =
		    is_write(call) ? next_writes : next_reads;
		Fault met = fault;

		is_write(call) ? writes++ : reads++;
		if (before)
			before(call);
		if (!next.empty()) {
			met = next.front();
			next.erase(next.begin());
		}
		return met;
	}

	void
	carry_out(const jj_platform_call_t &call, Fault met,
	    jj_platform_result_t *result)
	{
		if (is_write(call)) {
			result->outcome = write(call, &result->version);
			/*
			 * A conflict of a call with a version returns the
			 * object.
			 */
			if (result->outcome == JJ_PLATFORM_CONFLICT &&
			    call.op != JJ_PLATFORM_CREATE)
				get_value(call, result);
		} else if (call.op == JJ_PLATFORM_GET)
			get(call, result);
		else if (call.op == JJ_PLATFORM_LIST)
			list(call, result);
		if (met == Fault::kLoseAnswer)
			result->outcome = JJ_PLATFORM_UNKNOWN;
		if (met == Fault::kConflict)
			result->outcome = JJ_PLATFORM_CONFLICT;
	}

	void
	get_value(const jj_platform_call_t &call, jj_platform_result_t *result)
	{
		const std::string &value = objects.find(call.key)->second.value;

		result->value = jj_bytes_copy(value.data(), value.size());
	}

	jj_platform_outcome_t
	write(const jj_platform_call_t &call, uint64_t *version)
	{
		auto found = objects.find(call.key);
		bool there = found != objects.end();

		if (there)
			*version = found->second.version;
		if (call.op == JJ_PLATFORM_CREATE && there)
			return JJ_PLATFORM_CONFLICT;
		if (call.op != JJ_PLATFORM_CREATE && !there)
			return JJ_PLATFORM_ABSENT;
		if (call.op == JJ_PLATFORM_UPDATE &&
		    found->second.version != call.version)
			return JJ_PLATFORM_CONFLICT;
		if (call.op == JJ_PLATFORM_DELETE) {
			if (call.version != 0 &&
			    found->second.version != call.version)
				return JJ_PLATFORM_CONFLICT;
			objects.erase(found);
			*version = ++revision;
			return JJ_PLATFORM_OK;
		}
		put(call.key, std::string(call.value.data, call.value.size));
		*version = revision;
		return JJ_PLATFORM_OK;
	}

	void
	get(const jj_platform_call_t &call, jj_platform_result_t *result)
	{
		auto found = objects.find(call.key);

		result->outcome = JJ_PLATFORM_ABSENT;
		if (found == objects.end())
			return;
		result->outcome = JJ_PLATFORM_OK;
		result->version = found->second.version;
		result->value = jj_bytes_copy(
		    found->second.value.data(), found->second.value.size());
	}

	void
	list(const jj_platform_call_t &call, jj_platform_result_t *result)
	{
		size_t limit = call.limit > 0 && call.limit < 1000
		    ? (size_t)call.limit
		    : 1000;
		std::string prefix = call.key;
		auto at = call.after[0] != '\0'
		    ? objects.upper_bound(call.after)
		    : objects.lower_bound(prefix);

		if (at != objects.end() && at->first < prefix)
			at = objects.lower_bound(prefix);
		result->outcome = JJ_PLATFORM_OK;
		result->version = revision;
		result->items = (jj_platform_item_t *)jj_alloc(
		    limit * sizeof(jj_platform_item_t));
		for (; at != objects.end() && at->first.find(prefix) == 0;
		     ++at) {
			if (result->item_count == limit) {
				result->more = true;
				return;
			}
			jj_platform_item_t *item =
			    &result->items[result->item_count++];
			strncpy(
			    item->key, at->first.c_str(), JJ_OBJECT_KEY_MAX);
			item->version = at->second.version;
			if (call.values)
				item->value =
				    jj_bytes_copy(at->second.value.data(),
					at->second.value.size());
		}
	}
};

#endif
