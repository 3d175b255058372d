/**
 * @file config_test.cc
 * @brief Patches, their bounds, and that no VM reverts to an older version.
 */
#include <string>

#include <gtest/gtest.h>

#include "tests/core/fake_platform.h"

extern "C" {
#include "core/config.h"
#include "core/json_merge.h"
}

namespace
{

const char *const FIRST = "{\"services\":{\"narrador\":{\"kind\":\"model\","
			  "\"idempotent\":true,\"trade\":0.25}}}";
const char *const TRADE = "{\"services\":{\"narrador\":{\"trade\":0.75}}}";

/** Configuration of one VM on a platform. */
class Vm
{
      public:
	explicit Vm(FakePlatform *platform, const char *writer = "a1/01")
	    : platform(platform)
	{
		jj_config_settings_t settings = {};

		strcpy(settings.writer, writer);
		settings.call_timeout_ms = 4000;
		config = jj_config_create(&settings);
		TAILQ_INIT(&out);
	}
	~Vm()
	{
		jj_actions_clear(&out);
		jj_config_destroy(config);
	}
	void
	run()
	{
		platform->run(&out,
		    [&](const jj_platform_result_t &result, jj_actions_t *to) {
			    jj_config_take_result(config, &result, now, to);
		    });
	}
	void
	begin(uint64_t key, uint64_t base, const std::string &text)
	{
		jj_bytes_t bytes = jj_bytes_from_text(text.c_str());

		answers = 0;
		status = 0;
		jj_config_patch(config, 1, key, "ana", base, &bytes, now, &out);
		jj_bytes_free(&bytes);
	}
	/** Runs until the patch is answered, at most as long as it may take. */
	int
	finish()
	{
		for (int i = 0; i < 100 && status == 0; i++) {
			run();
			collect();
			now += 100;
			jj_config_tick(config, now, &out);
		}
		return status;
	}
	int
	patch(uint64_t key, uint64_t base, const std::string &text)
	{
		begin(key, base, text);
		return finish();
	}
	void
	collect()
	{
		jj_action_t *action;
		jj_action_t *next;

		for (action = TAILQ_FIRST(&out); action; action = next) {
			next = TAILQ_NEXT(action, link);
			if (action->kind == JJ_ACTION_PLATFORM)
				continue;
			TAILQ_REMOVE(&out, action, link);
			if (action->kind == JJ_ACTION_CONFIG_ANSWER) {
				answers++;
				status = action->body.config.status;
				version = action->body.config.version;
				detail = action->body.config.detail.data;
			}
			adopted += action->kind == JJ_ACTION_CONFIG_ADOPTED;
			jj_action_free(action);
		}
	}
	bool
	take(const std::string &object)
	{
		jj_bytes_t bytes = jj_bytes_from_text(object.c_str());
		bool taken = jj_config_take(config, &bytes, &out);

		jj_bytes_free(&bytes);
		collect();
		return taken;
	}
	double
	trade()
	{
		return jj_config_service(config, "narrador")->trade;
	}
	std::string
	object()
	{
		const jj_bytes_t *bytes = jj_config_object(config);

		return bytes != nullptr ? bytes->data : "";
	}

	FakePlatform *platform;
	jj_config_t *config;
	jj_actions_t out;
	jj_ms_t now = 1000;
	int status = 0;
	int answers = 0;
	int adopted = 0;
	uint64_t version = 0;
	std::string detail;
};

TEST(Config, FirstPatchCreatesVersionOne)
{
	FakePlatform platform;
	Vm vm(&platform);

	EXPECT_EQ(vm.patch(1, 0, FIRST), 200);
	EXPECT_EQ(vm.version, 1u);
	EXPECT_EQ(jj_config_version(vm.config), 1u);
	EXPECT_EQ(vm.trade(), 0.25);
	EXPECT_EQ(jj_config_service(vm.config, "narrador")->attempts, 3u);
	EXPECT_EQ(jj_config_service(vm.config, "other"), nullptr);
	EXPECT_EQ(jj_config_team(vm.config, "x").weight, 1.0);
	EXPECT_EQ(vm.patch(2, 1, TRADE), 200);
	EXPECT_EQ(vm.trade(), 0.75);
	EXPECT_TRUE(jj_config_service(vm.config, "narrador")->idempotent);
}

/*
 * Two operators patch the same version through two VMs at once. One patch
 * applies; the other gets the current version and has no effect, though its VM
 * read the old version before the first one committed.
 */
TEST(Config, OfTwoPatchesOfOneVersionOneApplies)
{
	FakePlatform platform;
	Vm one(&platform, "a1/01");
	Vm two(&platform, "b1/02");

	ASSERT_EQ(one.patch(1, 0, FIRST), 200);
	bool raced = false;
	platform.before = [&](const jj_platform_call_t &call) {
		if (call.op != JJ_PLATFORM_UPDATE || raced)
			return;
		raced = true;
		EXPECT_EQ(two.patch(3, 1, TRADE), 200);
	};
	EXPECT_EQ(one.patch(2, 1, "{\"teams\":{\"x\":{\"weight\":2}}}"), 412);
	EXPECT_EQ(one.version, 2u);
	EXPECT_EQ(one.trade(), 0.75);
	EXPECT_EQ(jj_config_team(one.config, "x").weight, 1.0);
	EXPECT_EQ(one.patch(4, 1, TRADE), 412) << "an old base, plainly";
}

/*
 * The commit takes effect but its answer is lost; the operator's client sends
 * the patch again, to this VM or another, immediately or after others' patches.
 * On a conflict it would apply the patch a second time.
 */
TEST(Config, APatchWhoseAnswerWasLostIsAppliedOnce)
{
	FakePlatform platform;
	Vm one(&platform, "a1/01");
	Vm two(&platform, "b1/02");

	ASSERT_EQ(one.patch(1, 0, FIRST), 200);
	platform.next_writes = {Fault::kLoseAnswer, Fault::kLoseAnswer};
	EXPECT_EQ(one.patch(2, 1, TRADE), 200) << "record and commit";
	EXPECT_EQ(one.version, 2u);
	EXPECT_EQ(two.patch(2, 1, TRADE), 200) << "through another VM";
	EXPECT_EQ(two.version, 2u);
	EXPECT_EQ(two.patch(3, 2, "{\"teams\":{\"x\":{}}}"), 200);
	EXPECT_EQ(one.patch(2, 1, TRADE), 200) << "after another patch";
	EXPECT_EQ(one.version, 2u);
	EXPECT_EQ(jj_config_version(one.config), 3u);
	EXPECT_EQ(one.patch(2, 1, "{\"teams\":null}"), 412)
	    << "the same key for another patch";
}

TEST(Config, FaultsOfThePlatform)
{
	const struct {
		const char *story;
		std::vector<Fault> writes;
		Fault all;
		int status;
		const char *detail;
	} cases[] = {
	    {"limited once", {Fault::kLimit}, Fault::kNone, 200, "applied"},
	    {"refused twice", {Fault::kRefuse, Fault::kRefuse}, Fault::kNone,
		200, "applied"},
	    {"commit not done, no answer", {Fault::kNone, Fault::kNoAnswer},
		Fault::kNone, 200, "applied"},
	    {"commit done, no answer", {Fault::kNone, Fault::kLoseAnswer},
		Fault::kNone, 200, "applied"},
	    {"commit done, told a conflict", {Fault::kNone, Fault::kConflict},
		Fault::kNone, 200, "applied"},
	    {"down", {}, Fault::kRefuse, 503, "was not applied"},
	    {"no answers", {}, Fault::kNoAnswer, 503, "was not applied"},
	};

	for (const auto &row : cases) {
		FakePlatform platform;
		Vm vm(&platform);

		ASSERT_EQ(vm.patch(1, 0, FIRST), 200);
		platform.next_writes = row.writes;
		platform.fault = row.all;
		EXPECT_EQ(vm.patch(2, 1, TRADE), row.status) << row.story;
		EXPECT_NE(vm.detail.find(row.detail), std::string::npos)
		    << row.story << ": " << vm.detail;
		EXPECT_EQ(vm.answers, 1) << row.story;
		EXPECT_EQ(
		    jj_config_version(vm.config), row.status == 200 ? 2u : 1u);
	}
}

/*
 * The platform becomes unreachable just as the commit takes effect, so the
 * outcome is unknown. The operator gets that answer, and a resend with the same
 * key learns the outcome.
 */
TEST(Config, UnknownOutcomeIsReportedAndResolvedByAResend)
{
	FakePlatform platform;
	Vm vm(&platform);

	ASSERT_EQ(vm.patch(1, 0, FIRST), 200);
	platform.before = [&](const jj_platform_call_t &call) {
		if (call.op == JJ_PLATFORM_UPDATE)
			platform.fault = Fault::kNoAnswer;
	};
	platform.next_writes = {Fault::kNone, Fault::kLoseAnswer};
	EXPECT_EQ(vm.patch(2, 1, TRADE), 503);
	EXPECT_NE(vm.detail.find("is unknown"), std::string::npos);
	platform.before = nullptr;
	platform.fault = Fault::kNone;
	EXPECT_EQ(vm.patch(2, 1, TRADE), 200);
	EXPECT_EQ(vm.version, 2u);
}

/*
 * A VM that was paused, missed watch events, receives them late, twice or out
 * of order, or gets the copy of a stale neighbour never reverts to an older
 * version.
 */
TEST(Config, NeverRevertsToAnOlderVersion)
{
	FakePlatform platform;
	Vm source(&platform);
	Vm vm(&platform, "b1/02");
	std::string versions[4];

	ASSERT_EQ(source.patch(1, 0, FIRST), 200);
	versions[1] = source.object();
	for (uint64_t base = 1; base < 3; base++) {
		ASSERT_EQ(source.patch(base + 1, base,
			      "{\"teams\":{\"x\":{\"in_flight\":" +
				  std::to_string(base + 1) + "}}}"),
		    200);
		versions[base + 1] = source.object();
	}
	const struct {
		const char *story;
		std::string object;
		bool adopted;
		uint64_t version;
	} cases[] = {
	    {"starts while the platform is down", versions[2], true, 2},
	    {"twice", versions[2], false, 2},
	    {"a stale neighbour", versions[1], false, 2},
	    {"not JSON", "{\"version\":9,", false, 2},
	    {"no document", "{\"version\":9}", false, 2},
	    {"a newer one that is invalid",
		"{\"version\":9,\"document\":{\"x\":1}}", false, 2},
	    {"newer", versions[3], true, 3},
	    {"out of order", versions[2], false, 3},
	};
	for (const auto &row : cases) {
		EXPECT_EQ(vm.take(row.object), row.adopted) << row.story;
		EXPECT_EQ(jj_config_version(vm.config), row.version);
	}
	EXPECT_EQ(jj_config_team(vm.config, "x").in_flight, 3u);
	EXPECT_EQ(vm.adopted, 2);
}

/*
 * The platform's store is restored from an older copy. The adopted version
 * stays, and the next patch gets the next number, not one used before.
 */
TEST(Config, ARestoredOldStoreDoesNotRevertIt)
{
	FakePlatform platform;
	Vm vm(&platform);

	ASSERT_EQ(vm.patch(1, 0, FIRST), 200);
	std::string old = platform.objects["config/current"].value;
	ASSERT_EQ(vm.patch(2, 1, TRADE), 200);
	platform.put("config/current", old);
	jj_config_refresh(vm.config, vm.now, &vm.out);
	vm.run();
	EXPECT_EQ(vm.trade(), 0.75);
	EXPECT_EQ(vm.patch(3, 1, "{\"teams\":{}}"), 412);
	EXPECT_EQ(vm.patch(4, 2, "{\"teams\":{}}"), 200);
	EXPECT_EQ(vm.version, 3u);
	EXPECT_EQ(vm.trade(), 0.75);
}

TEST(Config, AnInvalidPatchNamesFieldValueAndBound)
{
	const struct {
		const char *patch;
		const char *why;
	} cases[] = {
	    {"{\"services\":{\"narrador\":{\"trade\":1.5}}}",
		"services.narrador.trade = 1.5 must be a number from 0 to 1"},
	    {"{\"services\":{\"narrador\":{\"attempts\":0}}}",
		"services.narrador.attempts = 0 must be an integer from 1 to "
		"10"},
	    {"{\"services\":{\"narrador\":{\"attempts\":2.0}}}",
		"services.narrador.attempts = 2.0 must be an integer"},
	    {"{\"services\":{\"narrador\":{\"timeout_ms\":3600001}}}",
		"services.narrador.timeout_ms = 3600001 must be an integer "
		"from 10 to 3600000"},
	    {"{\"services\":{\"narrador\":{\"colour\":\"red\"}}}",
		"services.narrador.colour = \"red\" is no field"},
	    {"{\"services\":{\"narrador\":{\"kind\":\"web\"}}}",
		"services.narrador.kind = \"web\" must be"},
	    {"{\"services\":{\"narrador\":{\"idempotent\":null}}}",
		"services.narrador.idempotent = absent is required"},
	    {"{\"services\":{\"a b\":{}}}", "services.a b = {} has a name"},
	    {"{\"services\":{\"narrador\":{\"key_domains\":[\"a\",\"a\"]}}}",
		"key_domains = \"a\" names a failure domain twice"},
	    {"{\"services\":{\"narrador\":{\"model_wish\":{\"version\":"
	     "\"1\"}}}}",
		"services.narrador.model_wish.model = absent is required"},
	    {"{\"teams\":{\"x\":{\"weight\":0}}}",
		"teams.x.weight = 0 must be a number from 0.001 to 1000"},
	    {"{\"server\":{}}", "document.server = {} is unknown"},
	    {"[]", "patch must be a JSON object"},
	    {"{", "patch must be a JSON object"},
	    {"", "patch must be a JSON object"},
	};
	FakePlatform platform;
	Vm vm(&platform);

	ASSERT_EQ(vm.patch(1, 0, FIRST), 200);
	for (const auto &row : cases) {
		EXPECT_EQ(vm.patch(2, 1, row.patch), 422) << row.patch;
		EXPECT_NE(vm.detail.find(row.why), std::string::npos)
		    << vm.detail;
	}
	EXPECT_EQ(platform.log.size(), 2u) << "nothing was written";
	EXPECT_EQ(jj_config_version(vm.config), 1u);
}

TEST(JsonMerge, ExamplesOfTheStandard)
{
	const struct {
		const char *target;
		const char *patch;
		const char *merged;
	} cases[] = {
	    {"{\"a\":\"b\"}", "{\"a\":\"c\"}", "{\"a\":\"c\"}"},
	    {"{\"a\":\"b\",\"b\":\"c\"}", "{\"a\":null}", "{\"b\":\"c\"}"},
	    {"{\"a\":[\"b\"]}", "{\"a\":\"c\"}", "{\"a\":\"c\"}"},
	    {"{\"a\":\"c\"}", "{\"a\":[\"b\"]}", "{\"a\":[\"b\"]}"},
	    {"{\"a\":{\"b\":\"c\"}}", "{\"a\":{\"b\":\"d\",\"c\":null}}",
		"{\"a\":{\"b\":\"d\"}}"},
	    {"[\"a\"]", "{\"a\":1}", "{\"a\":1}"},
	    {"{}", "{\"a\":{\"bb\":{\"ccc\":null}}}", "{\"a\":{\"bb\":{}}}"},
	    {"{\"e\":null}", "{\"a\":1}", "{\"e\":null,\"a\":1}"},
	};

	for (const auto &row : cases) {
		json_t *target = json_loads(row.target, 0, nullptr);
		json_t *patch = json_loads(row.patch, 0, nullptr);
		json_t *wanted = json_loads(row.merged, 0, nullptr);
		json_t *merged = jj_json_merge(target, patch);

		EXPECT_TRUE(json_equal(merged, wanted)) << row.patch;
		json_decref(target);
		json_decref(patch);
		json_decref(wanted);
		json_decref(merged);
	}
}

} // namespace
