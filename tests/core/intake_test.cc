#include <gtest/gtest.h>

#include <jansson.h>

#include "tests/core/fake_platform.h"

extern "C" {
#include "core/intake.h"
}

namespace
{
const char kGood[] = R"({"custom_id":"a","method":"POST","url":"/v1/x",)"
		     R"("body":{}})";

std::string
line(const std::string &id, const std::string &text = "")
{
	return "{\"custom_id\":\"" + id +
	    "\",\"method\":\"POST\",\"url\":\"/v1/x\",\"body\":{\"t\":\"" +
	    text + "\"}}";
}

std::string
lines(int count)
{
	std::string all;

	for (int at = 0; at < count; at++)
		all += line("id-" + std::to_string(at)) + "\n";
	return all;
}

/** An upload to a fake platform, in virtual time. */
struct Upload {
	FakePlatform platform;
	jj_intake_settings_t settings = {
	    3, 700000, 262144, 100, 2, 6, 200, "vm-1/01", 7};
	jj_intake_t *intake = nullptr;
	jj_actions_t actions;
	jj_ms_t now = 0;

	Upload()
	{
		TAILQ_INIT(&actions);
	}
	~Upload()
	{
		jj_intake_destroy(intake);
		jj_actions_clear(&actions);
	}
	void
	begin()
	{
		intake = jj_intake_create(&settings, 5, "padana");
	}
	/** Runs platform calls and timers; at most @p max_calls calls. */
	void
	run(int max_calls = 1000)
	{
		while (max_calls > 0) {
			jj_action_t *action = FakePlatform::find_call(&actions);

			if (!action) {
				if (jj_intake_next(intake) == JJ_MS_NEVER)
					return;
				now = std::max(now, jj_intake_next(intake));
				jj_intake_tick(intake, now, &actions);
				continue;
			}
			TAILQ_REMOVE(&actions, action, link);
			jj_platform_result_t result =
			    platform.execute(action->body.platform);
			EXPECT_EQ(result.token, 5u);
			EXPECT_EQ(result.owner, JJ_OWNER_INTAKE);
			jj_action_free(action);
			jj_intake_take_result(intake, &result, now, &actions);
			jj_platform_result_clear(&result);
			max_calls--;
		}
	}
	/** Feeds @p text in pieces of @p piece bytes, then finishes. */
	void
	upload(const std::string &text, size_t piece = 1 << 20)
	{
		size_t at = 0;

		begin();
		while (at < text.size() &&
		    jj_intake_state(intake) == JJ_INTAKE_OPEN) {
			size_t size = std::min(piece, text.size() - at);

			at += jj_intake_feed(
			    intake, text.data() + at, size, now, &actions);
			if (!jj_intake_accepts_input(intake))
				run();
		}
		jj_intake_finish(intake, now, &actions);
		run();
	}
	std::string
	key(const std::string &rest)
	{
		return std::string("files/") + jj_intake_id(intake) + rest;
	}
	/** Lines of all parts that the manifest names, in order. */
	std::string
	stored()
	{
		std::string all;
		json_t *manifest = json_loads(
		    platform.objects[key("/file")].value.c_str(), 0, nullptr);
		size_t parts =
		    json_array_size(json_object_get(manifest, "parts"));

		for (size_t at = 0; at < parts; at++) {
			char name[32];
			snprintf(name, sizeof(name), "/part/%06zu", at);
			json_t *part = json_loads(
			    platform.objects[key(name)].value.c_str(), 0,
			    nullptr);
			json_t *items = json_object_get(part, "items");
			EXPECT_EQ((json_int_t)json_array_size(items),
			    json_integer_value(json_array_get(
				json_object_get(manifest, "parts"), at)));
			for (size_t i = 0; i < json_array_size(items); i++)
				all += std::string(json_string_value(
					   json_array_get(items, i))) +
				    "\n";
			json_decref(part);
		}
		json_decref(manifest);
		return all;
	}
};

TEST(Intake, ChecksALine)
{
	const struct {
		const char *name;
		std::string text;
		const char *why; /* empty: valid */
	} cases[] = {
	    {"good", kGood, ""},
	    {"not JSON", "{\"custom_id\":", "not valid JSON"},
	    {"not an object", "[1]", "not a JSON object"},
	    {"field twice", R"({"custom_id":"a","custom_id":"b"})",
		"not valid JSON"},
	    {"no id", R"({"method":"POST","url":"/x","body":{}})", "custom_id"},
	    {"number id",
		R"({"custom_id":1,"method":"POST","url":"/x","body":{}})",
		"custom_id"},
	    {"empty id",
		R"({"custom_id":"","method":"POST","url":"/x","body":{}})",
		"custom_id"},
	    {"long id", line(std::string(256, 'x')), "custom_id"},
	    {"get", R"({"custom_id":"a","method":"GET","url":"/x","body":{}})",
		"method"},
	    {"other host",
		R"({"custom_id":"a","method":"POST","url":"//h/x","body":{}})",
		"url"},
	    {"header in url",
		"{\"custom_id\":\"a\",\"method\":\"POST\","
		"\"url\":\"/x HTTP/1.1\\r\\nA: b\",\"body\":{}}",
		"url"},
	    {"text body",
		R"({"custom_id":"a","method":"POST","url":"/x","body":"t"})",
		"body"},
	};
	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		char why[160] = "";
		EXPECT_EQ(jj_intake_check_line(
			      c.text.data(), c.text.size(), why, sizeof(why)),
		    c.why[0] == '\0');
		EXPECT_NE(std::string(why).find(c.why), std::string::npos)
		    << why;
	}
}

TEST(Intake, TakesOrRefusesAFile)
{
	const std::string a = line("a"), b = line("b");
	const struct {
		const char *name;
		std::string text;
		std::string stored; /* empty: refused */
		const char *detail;
	} cases[] = {
	    {"two lines", a + "\n" + b + "\n", a + "\n" + b + "\n", ""},
	    {"no last line end", a + "\n" + b, a + "\n" + b + "\n", ""},
	    {"CRLF", a + "\r\n" + b + "\r\n", a + "\n" + b + "\n", ""},
	    {"blank last line", a + "\n\r\n", a + "\n", ""},
	    {"several parts", lines(8), lines(8), ""},
	    {"as many as allowed", lines(100), lines(100), ""},
	    {"too many", lines(101), "", "line 101: more than 100 items"},
	    {"empty", "", "", "no items"},
	    {"blank only", "\n", "", "no items"},
	    {"blank in the middle", a + "\n\n" + b, "", "line 2: blank"},
	    {"bad third line", lines(2) + "{}\n" + lines(9), "",
		"line 3: custom_id"},
	    {"same id twice", lines(7) + line("id-2") + "\n", "",
		"line 8: custom_id \"id-2\" is already on line 3"},
	    {"line too long", a + "\n" + line("b", std::string(262144, 'x')),
		"", "line 2: longer than 262144"},
	    {"bad last line", a + "\n{", "", "line 2: not valid JSON"},
	};
	for (const auto &c : cases) {
		for (size_t piece : {(size_t)1, (size_t)61, (size_t)1 << 20}) {
			if (piece == 1 && c.text.size() > 100000)
				continue;
			SCOPED_TRACE(c.name + std::to_string(piece));
			Upload u;
			u.upload(c.text, piece);
			EXPECT_EQ(jj_intake_state(u.intake),
			    c.stored.empty() ? JJ_INTAKE_INVALID
					     : JJ_INTAKE_DONE);
			EXPECT_EQ(u.stored(), c.stored);
			EXPECT_NE(std::string(jj_intake_detail(u.intake))
				      .find(c.detail),
			    std::string::npos)
			    << jj_intake_detail(u.intake);
		}
	}
}

TEST(Intake, HoldsBoundedMemory)
{
	Upload u;
	std::string text = lines(20);
	size_t taken;

	u.begin();
	taken =
	    jj_intake_feed(u.intake, text.data(), text.size(), 0, &u.actions);
	EXPECT_EQ(taken, lines(6).size())
	    << "not stopped at two pending parts of three lines";
	EXPECT_FALSE(jj_intake_accepts_input(u.intake));
	EXPECT_EQ(jj_intake_feed(u.intake, "x", 1, 0, &u.actions), 0u);
	u.run(1);
	EXPECT_TRUE(jj_intake_accepts_input(u.intake));
}

/*
 * A file of quotes and backslashes grows when its lines are encoded as JSON
 * strings. If parts were limited by the size of the raw lines, the platform
 * would refuse values above a megabyte in each try, and the upload would fail.
 */
TEST(Intake, PartsFitTheirObjectAfterEscaping)
{
	Upload u;
	std::string text, quotes;

	for (int at = 0; at < 60000; at++)
		quotes += "\\\"";
	for (int at = 0; at < 12; at++)
		text += line("id-" + std::to_string(at), quotes) + "\n";
	u.settings.part_items = 500;
	u.upload(text);
	EXPECT_EQ(jj_intake_state(u.intake), JJ_INTAKE_DONE);
	EXPECT_EQ(u.stored(), text);
	for (const auto &object : u.platform.objects)
		EXPECT_LE(
		    object.second.value.size(), (size_t)JJ_OBJECT_VALUE_MAX);
}

/*
 * A part is written, its answer is lost, and the retry conflicts. Guards
 * against a failed upload of a file that is durable (its own write considered
 * another's), and an upload that fails in a short outage (no retry).
 */
TEST(Intake, WritesThroughFaults)
{
	using F = Fault;
	const std::vector<F> lost(3, F::kLoseAnswer);
	const struct {
		const char *name;
		std::vector<F> writes, reads;
		F all;
		jj_intake_state_t want;
	} cases[] = {
	    {"no fault", {}, {}, F::kNone, JJ_INTAKE_DONE},
	    {"answer lost", {F::kLoseAnswer}, {}, F::kNone, JJ_INTAKE_DONE},
	    {"no answer, not done", {F::kNoAnswer}, {}, F::kNone,
		JJ_INTAKE_DONE},
	    {"each answer lost once",
		{F::kLoseAnswer, F::kNone, F::kLoseAnswer, F::kNone,
		    F::kLoseAnswer},
		{}, F::kNone, JJ_INTAKE_DONE},
	    {"lost, then the read fails", {F::kLoseAnswer},
		{F::kRefuse, F::kNoAnswer, F::kLimit}, F::kNone,
		JJ_INTAKE_DONE},
	    {"resent by the HTTP client", {F::kConflict}, {}, F::kNone,
		JJ_INTAKE_DONE},
	    {"refused and limited",
		{F::kRefuse, F::kLimit, F::kRefuse, F::kLimit, F::kRefuse}, {},
		F::kNone, JJ_INTAKE_DONE},
	    {"outage", {}, {}, F::kRefuse, JJ_INTAKE_FAILED},
	    {"outage without answers", {}, {}, F::kNoAnswer, JJ_INTAKE_FAILED},
	};
	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		Upload u;
		u.platform.next_writes = c.writes;
		u.platform.next_reads = c.reads;
		u.platform.fault = c.all;
		u.upload(lines(5));
		EXPECT_EQ(jj_intake_state(u.intake), c.want);
		EXPECT_EQ(u.stored(), c.want == JJ_INTAKE_DONE ? lines(5) : "");
		EXPECT_EQ(
		    u.platform.log.size(), c.want == JJ_INTAKE_DONE ? 3u : 0u);
	}
}

TEST(Intake, AnotherWritersObjectIsAFailure)
{
	Upload u;

	u.begin();
	u.platform.put(u.key("/part/000000"),
	    R"({"items":[],"writer":"vm-2/02","operation":"1"})");
	jj_intake_feed(u.intake, kGood, strlen(kGood), 0, &u.actions);
	jj_intake_finish(u.intake, 0, &u.actions);
	u.run();
	EXPECT_EQ(jj_intake_state(u.intake), JJ_INTAKE_FAILED);
	EXPECT_FALSE(u.platform.has(u.key("/file")));
}

TEST(Intake, WaitsLongerEachTimeAndAsLongAsThePlatformAsks)
{
	Upload u;
	std::vector<jj_ms_t> at;

	u.platform.fault = Fault::kLimit;
	u.platform.retry_after_ms = 1000;
	u.platform.before = [&](const jj_platform_call_t &) {
		at.push_back(u.now);
	};
	u.upload(kGood);
	EXPECT_EQ(at, (std::vector<jj_ms_t>{0, 1000, 2000, 3000, 4600, 7800}));
	EXPECT_EQ(jj_intake_state(u.intake), JJ_INTAKE_FAILED);
}

/*
 * The VM that receives an upload fails after any of its calls, or the caller
 * sends an invalid line while parts are being written. If the manifest were
 * written before all parts, a job with this file would lose items.
 */
TEST(Intake, AFileIsNeverCompleteBeforeItsParts)
{
	for (int calls = 0; calls <= 4; calls++) {
		SCOPED_TRACE(calls);
		Upload u;
		u.begin();
		std::string text = lines(7);
		jj_intake_feed(
		    u.intake, text.data(), text.size(), 0, &u.actions);
		u.run(std::min(calls, 2));
		jj_intake_feed(u.intake, text.data() + lines(6).size(),
		    text.size() - lines(6).size(), 0, &u.actions);
		jj_intake_finish(u.intake, 0, &u.actions);
		u.run(calls - std::min(calls, 2));
		EXPECT_EQ(u.platform.has(u.key("/file")), calls == 4);
		EXPECT_EQ(
		    jj_intake_state(u.intake) == JJ_INTAKE_DONE, calls == 4);
	}
	Upload u;
	std::string text = lines(4) + "{}\n";
	u.begin();
	jj_intake_feed(u.intake, text.data(), text.size(), 0, &u.actions);
	EXPECT_EQ(jj_intake_state(u.intake), JJ_INTAKE_INVALID);
	jj_intake_finish(u.intake, 0, &u.actions);
	u.run();
	EXPECT_EQ(jj_intake_state(u.intake), JJ_INTAKE_INVALID);
	EXPECT_FALSE(u.platform.has(u.key("/file")));
}

TEST(Intake, DescribesTheFile)
{
	Upload u;
	u.upload(lines(4));
	jj_bytes_t text = jj_intake_describe(u.intake);
	EXPECT_EQ(std::string(text.data),
	    std::string("{\"id\":\"") + jj_intake_id(u.intake) +
		"\",\"object\":\"file\",\"purpose\":\"batch\",\"bytes\":" +
		std::to_string(lines(4).size()) + ",\"items\":4}");
	EXPECT_EQ(strlen(jj_intake_id(u.intake)), 24u);
	jj_bytes_free(&text);
}
} // namespace
