/**
 * @file prompt_fleet.h
 * @brief A test fixture with gateways whose servers crash under one part of a
 * prompt.
 */
#ifndef TESTS_CORE_PROMPT_FLEET_H
#define TESTS_CORE_PROMPT_FLEET_H

#include <algorithm>

#include "tests/core/crash_fleet.h"

/** Requests that may reach servers later than STABLE_MS after so many crashes. */
constexpr size_t CRASHES = 5;
constexpr size_t RETRIES = 3;
/** Time that a server works on a sound request. */
constexpr jj_ms_t SERVICE_MS = 150;
/** Time until a server crashes that begins to write an answer. */
constexpr jj_ms_t CRASH_MS = 20;

/** Parts of prompts. */
constexpr uint64_t FIRST = 1;
constexpr uint64_t SECOND = 2;
constexpr uint64_t POISON = 66;

/** How a server's connections end when it crashes. */
enum class End {
	BREAKS,
	SILENT, /**< no event and no end */
	CLOSES, /**< like answers that end with their connection */
};

/** Three VMs with servers that crash under one part of a prompt. */
class PromptFleet : public CrashFleet
{
      protected:
	struct Sound {
		jj_ms_t begun;
		bool served; /**< at its first attempt */
	};
	std::map<uint64_t, bool> poisons; /**< by request: it has the part */
	std::map<uint64_t, Sound> sounds;
	std::set<std::string> crashed; /**< server processes */
	std::vector<jj_ms_t> crashes;
	End end = End::BREAKS;
	jj_ms_t service_ms = SERVICE_MS; /**< of a sound request */
	bool cured = false; /**< no server crashes any more */
	/** how requests with the part end that do not run; DONE: they run */
	jj_backend_kind_t not_run = JJ_BACKEND_DONE;
	size_t finished_poisons = 0;
	bool unframed = false; /**< answers end with their connection */
	jj_answer_t answered = {}; /**< the last refusal */

	PromptFleet() : CrashFleet("verona ready places=8")
	{
	}
	void
	take(const std::string &vm, const jj_action_t &action) override
	{
		const jj_backend_start_t &start = action.body.start;

		if (action.kind == JJ_ACTION_BACKEND_CANCEL)
			end_attempt(vm, action.body.cancel.request);
		if (action.kind == JJ_ACTION_ANSWER)
			answered = action.body.answer;
		if (action.kind != JJ_ACTION_BACKEND_START)
			return;
		Attempt attempt = {
		    vm, start.request, start.attempt, start.server.text};

		if (crashed.count(attempt.server) == 1 && end != End::SILENT) {
			due.emplace(now + 1, [this, attempt]() {
				report(attempt, JJ_BACKEND_NOT_SENT);
			});
			return;
		}
		if (poisons[start.request] && not_run != JJ_BACKEND_DONE) {
			due.emplace(now + 1,
			    [this, attempt]() { report(attempt, not_run); });
			return;
		}
		open.push_back(attempt);
		if (poisons[start.request] || is_item(start.request)) {
			reached.push_back(now);
			if (!cured) {
				due.emplace(now + CRASH_MS,
				    [this, attempt]() { end_server(attempt); });
				return;
			}
		}
		due.emplace(
		    now + service_ms, [this, attempt]() { finish(attempt); });
	}
	static bool
	is_item(uint64_t request)
	{
		return request > UINT32_MAX;
	}
	/** The server of that attempt ends, and all that runs there. */
	void
	end_server(const Attempt &attempt)
	{
		if (crashed.insert(attempt.server).second)
			crashes.push_back(now);
		if (end == End::BREAKS) {
			crash(attempt.server);
			return;
		}
		for (const Attempt &other : std::vector<Attempt>(open))
			if (end == End::CLOSES &&
			    other.server == attempt.server &&
			    end_attempt(other.vm, other.request))
				report(other, JJ_BACKEND_DONE, unframed);
		remove_server(attempt.server);
	}
	void
	finish(const Attempt &attempt)
	{
		if (crashed.count(attempt.server) == 1 ||
		    !end_attempt(attempt.vm, attempt.request, attempt.number))
			return;
		if (attempt.number == 1 && sounds.count(attempt.request) == 1)
			sounds[attempt.request].served = true;
		finished_poisons +=
		    poisons[attempt.request] || is_item(attempt.request);
		report(attempt, JJ_BACKEND_DONE, unframed);
	}
	void
	send(const std::string &vm, const std::vector<uint64_t> &parts,
	    const char *path = "/online/p")
	{
		bool is_poison = std::count(parts.begin(), parts.end(),
				     (uint64_t)POISON) > 0;

		prompt.count = (uint32_t)parts.size();
		std::copy(parts.begin(), parts.end(), prompt.ids);
		poisons[last + 1] = is_poison;
		if (!is_poison)
			sounds[last + 1] = {now, false};
		begin(vm, path);
	}
	/** The caller of that request closes its connection. */
	void
	leave(const std::string &vm, uint64_t request)
	{
		jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);

		jj_gateway_take_disconnect(vms[vm].gateway, request, now, &out);
		carry_out(vm, &out);
	}
	static std::string
	name_of(int number)
	{
		return "verona-" + std::to_string(number % 3 + 1);
	}
	/**
	 * Requests with the part, no two alike, each at another VM, beside sound
	 * ones with the same other parts.
	 */
	void
	send_mixed(int count, const char *path = "/online/p")
	{
		for (int i = 0; i < count; i++) {
			uint64_t other = 100 + (uint64_t)(i % 20);

			for (int k = 0; k < 6; k++)
				send(name_of(i + k),
				    {FIRST, k < 3 ? SECOND : other}, path);
			send(name_of(i * 7 / 3), {FIRST, other, POISON}, path);
			for (int k = 0; k < 4; k++) {
				play(100);
				send(name_of(k), {FIRST, SECOND, 500}, path);
			}
		}
	}
	/** Requests with the part that came too late after the fifth crash. */
	size_t
	retries() const
	{
		return crashes.size() < CRASHES
		    ? 0
		    : (size_t)std::count_if(
			  reached.begin(), reached.end(), [this](jj_ms_t ms) {
				  return ms > crashes[CRASHES - 1] + STABLE_MS;
			  });
	}
	/**
	 * Share of sound requests that are served at the first attempt, from
	 * twice STABLE_MS after the fifth crash on, or after the last one.
	 */
	double
	served_share() const
	{
		jj_ms_t since = 2 * STABLE_MS +
		    crashes[std::min(crashes.size(), CRASHES) - 1];
		size_t begun = 0;
		size_t served = 0;

		for (const auto &sound : sounds) {
			if (sound.second.begun < since)
				continue;
			begun++;
			served += sound.second.served;
		}
		return begun == 0 ? 0 : (double)served / (double)begun;
	}
};

#endif
