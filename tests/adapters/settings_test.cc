/**
 * @file settings_test.cc
 * @brief Settings: defaults, every kind of error, and all example files.
 */
#include <filesystem>
#include <string>

#include <gtest/gtest.h>

extern "C" {
#include "adapters/settings.h"
#include "adapters/toml.h"
}

/* All required keys; further keys and tables may be appended. */
static const std::string required_keys =
    "name = \"verona-1\"\n"
    "domain = \"sala-verona\"\n"
    "listen.callers = \"127.0.0.1:8080\"\n"
    "listen.operators = \"127.0.0.1:8081\"\n"
    "listen.neighbours = \"127.0.0.1:7400\"\n"
    "platform.address = \"[::1]:9000\"\n";

static bool
parse(const std::string &text, jj_settings_t *settings, std::string *error_text)
{
	char buffer[JJ_SETTINGS_ERROR_MAX] = "";
	bool valid = jj_settings_parse(settings, text.data(), text.size(),
	    "t.toml", buffer, sizeof(buffer));

	*error_text = buffer;
	return valid;
}

TEST(Settings, HaveDefaultsAndIdentity)
{
	jj_settings_t settings;
	std::string error_text;

	ASSERT_TRUE(parse(required_keys, &settings, &error_text)) << error_text;
	EXPECT_EQ(4U, settings.shards);
	EXPECT_EQ(500, settings.core.member.heartbeat_ms);
	EXPECT_EQ(8192U, settings.core.ledger.answer_max);
	EXPECT_DOUBLE_EQ(0.1, settings.core.dispatch.retry_share);
	EXPECT_EQ(15000, settings.batch.lease_ms);
	EXPECT_EQ(JJ_LOG_INFO, settings.log.level);
	EXPECT_STREQ("", settings.data_folder);
	EXPECT_STREQ("verona-1", settings.platform.client.text);
	EXPECT_STREQ("verona-1", settings.core.ledger.name.text);
	EXPECT_STREQ("sala-verona", settings.core.dispatch.domain.text);
	EXPECT_STREQ("127.0.0.1:7400", settings.core.member.address);
	EXPECT_EQ(0U, settings.platform.contracts.count);
	EXPECT_EQ(JJ_SWITCH_ABSENT, settings.fair_shares);
	EXPECT_EQ(JJ_SWITCH_ABSENT, settings.avoid_failing);
	jj_settings_clear(&settings);
}

TEST(Settings, GivenValuesAreRead)
{
	jj_settings_t settings;
	std::string error_text;

	ASSERT_TRUE(parse(required_keys +
		"log.level = \"debug\"\ntrace.share = 1\n"
		"batch.chunks = 0\nplatform.client = \"x\"\n"
		"platform.contracts = [\"a\", \"b c\"]\n"
		"gateway.fair_shares = true\n"
		"gateway.avoid_failing = false\n"
		"[[servers]]\nname = \"ordini-1\"\ndomain = \"sala-verona\"\n"
		"service = \"servizio-ordini\"\naddress = \"10.0.0.1:80\"\n"
		"checks_fence = true\n"
		"[[neighbours]]\nname = \"verona-2\"\n"
		"domain = \"sala-verona\"\naddress = \"10.0.0.2:7400\"\n",
	    &settings, &error_text))
	    << error_text;
	EXPECT_EQ(JJ_LOG_DEBUG, settings.log.level);
	EXPECT_DOUBLE_EQ(1, settings.trace.share);
	EXPECT_EQ(0U, settings.batch.chunks);
	EXPECT_STREQ("x", settings.platform.client.text);
	ASSERT_EQ(2U, settings.platform.contracts.count);
	EXPECT_STREQ("a", settings.platform.contracts.names[0].text);
	EXPECT_STREQ("b c", settings.platform.contracts.names[1].text);
	EXPECT_EQ(JJ_SWITCH_ON, settings.fair_shares);
	EXPECT_EQ(JJ_SWITCH_OFF, settings.avoid_failing);
	ASSERT_EQ(1U, settings.server_count);
	EXPECT_STREQ("servizio-ordini", settings.servers[0].service.text);
	EXPECT_TRUE(settings.servers[0].checks_fence);
	ASSERT_EQ(1U, settings.neighbour_count);
	EXPECT_STREQ("10.0.0.2:7400", settings.neighbours[0].address);
	jj_settings_clear(&settings);
}

struct FaultCase {
	const char *name;
	std::string text;
	const char *error_text;
};

static const std::string seed = "[[neighbours]]\nname = \"b\"\n"
				"domain = \"d\"\naddress = \"10.0.0.1:1\"\n";

static std::string
many_contracts(int count)
{
	std::string text;

	for (int i = 0; i < count; i++)
		text += "\"c\", ";
	return text;
}

static const FaultCase fault_cases[] = {
    {"NotToml", "name = \n", "t.toml:1: "},
    {"NotUtf8", "name = \"\xff\"\n", "t.toml:1: "},
    {"Missing", "name = \"a\"\n",
	"t.toml:1: key 'domain' is missing: must be a string of 1 to 63"},
    {"UnknownKey", "nmae = \"a\"\n" + required_keys,
	"t.toml:1: key 'nmae' = 'a': must be a known key"},
    {"UnknownInTable", required_keys + "[batch]\nlease = 1\n",
	"t.toml:8: key 'batch.lease' = 1: must be a known key"},
    {"UnknownInSeed", required_keys + seed + "port = 1\n",
	"t.toml:11: key 'neighbours.port' = 1: must be a known key"},
    {"TableIsNumber", required_keys + "batch = 1\n",
	"t.toml:7: key 'batch' = 1: must be a table"},
    {"SeedsAreTable", required_keys + "[servers]\nname = \"a\"\n",
	"t.toml:7: key 'servers' = "},
    {"TextForNumber", required_keys + "shards = \"4\"\n",
	"t.toml:7: key 'shards' = '4': must be an integer from 1 to 64"},
    {"RealForNumber", required_keys + "shards = 4.0\n",
	"t.toml:7: key 'shards' = 4.0: must be an integer from 1 to 64"},
    {"TooSmall", required_keys + "shards = 0\n",
	"t.toml:7: key 'shards' = 0: must be an integer from 1 to 64"},
    {"TooGreat", required_keys + "[ledger]\nretention_ms = 604800001\n",
	"t.toml:8: key 'ledger.retention_ms' = 604800001: must be an "
	"integer from 60000 to 604800000 (ms)"},
    {"Overflow", required_keys + "shards = 4294967297\n",
	"t.toml:7: key 'shards' = 4294967297: must be"},
    {"NotANumber", required_keys + "trace.share = nan\n",
	"t.toml:7: key 'trace.share' = nan: must be a number from 0 to 1"},
    {"AddressHost",
	required_keys + seed +
	    "[[servers]]\nname = \"s\"\n"
	    "domain = \"d\"\nservice = \"v\"\n"
	    "address = \"localhost:80\"\n",
	"t.toml:15: key 'servers.address' = 'localhost:80': must be a "
	"string \"IP:PORT\""},
    {"AddressPortZero",
	"platform.address = \"127.0.0.1:0\"\n" +
	    required_keys.substr(0, required_keys.find("platform")),
	"t.toml:1: key 'platform.address' = '127.0.0.1:0': must be"},
    {"AddressNoPort",
	"platform.address = \"127.0.0.1\"\n" +
	    required_keys.substr(0, required_keys.find("platform")),
	"must be a string \"IP:PORT\""},
    {"AddressPortWords",
	"platform.address = \"127.0.0.1:80x\"\n" +
	    required_keys.substr(0, required_keys.find("platform")),
	"must be a string \"IP:PORT\""},
    {"NameWithSlash", "region = \"a/b\"\n" + required_keys,
	"t.toml:1: key 'region' = 'a/b': must be a string of 1 to 63"},
    {"NameTooLong",
	"region = \"" + std::string(64, 'a') + "\"\n" + required_keys,
	"must be a string of 1 to 63"},
    {"NulInText", "data_folder = \"a\\u0000b\"\n" + required_keys,
	"must be a path"},
    {"Level", required_keys + "log.level = \"loud\"\n",
	"key 'log.level' = 'loud': must be \"error\", \"warn\""},
    {"TextForSwitch", required_keys + "gateway.fair_shares = \"on\"\n",
	"t.toml:7: key 'gateway.fair_shares' = 'on': must be true or false"},
    {"ContractsAreText", required_keys + "platform.contracts = \"a\"\n",
	"t.toml:7: key 'platform.contracts' = 'a': must be an array of at "
	"most 64 strings of 1 to 63 bytes"},
    {"ContractIsNumber", required_keys + "platform.contracts = [\"a\", 1]\n",
	"t.toml:7: key 'platform.contracts' = [ 'a', 1 ]: must be an array"},
    {"ContractTooLong",
	required_keys + "platform.contracts = [\"" + std::string(64, 'a') +
	    "\"]\n",
	"must be an array of at most 64 strings of 1 to 63 bytes"},
    {"ContractEmpty", required_keys + "platform.contracts = [\"\"]\n",
	"must be an array of at most 64 strings of 1 to 63 bytes"},
    {"TooManyContracts",
	required_keys + "platform.contracts = [" + many_contracts(65) + "]\n",
	"must be an array of at most 64 strings of 1 to 63 bytes"},
    {"Twins", required_keys + seed + seed,
	"t.toml:12: key 'neighbours.name' = 'b': must be unique"},
    {"Relation", required_keys + "[batch]\ncheckpoint_ms = 8000\n",
	"t.toml:8: key 'batch.checkpoint_ms' = 8000: must be at most 7500 "
	"(batch.lease_ms = 15000)"},
};

class SettingsFault : public testing::TestWithParam<FaultCase>
{
};

TEST_P(SettingsFault, NamesLineKeyValueAndBound)
{
	jj_settings_t settings;
	std::string error_text;

	EXPECT_FALSE(parse(GetParam().text, &settings, &error_text));
	EXPECT_NE(std::string::npos, error_text.find(GetParam().error_text))
	    << error_text;
	EXPECT_EQ(nullptr, settings.neighbours);
	EXPECT_STREQ("", settings.name.text);
}

INSTANTIATE_TEST_SUITE_P(Faults, SettingsFault, testing::ValuesIn(fault_cases),
    [](const auto &info) { return std::string(info.param.name); });

TEST(Settings, MostContractsAreRead)
{
	jj_settings_t settings;
	std::string error_text;

	ASSERT_TRUE(parse(required_keys + "platform.contracts = [" +
		many_contracts(64) + "]\n",
	    &settings, &error_text))
	    << error_text;
	EXPECT_EQ(64U, settings.platform.contracts.count);
	jj_settings_clear(&settings);
}

TEST(Settings, SwitchOfTheFileTakesPrecedence)
{
	const struct {
		jj_switch_t given;
		bool required;
		bool value;
		const char *origin;
	} cases[] = {
	    {JJ_SWITCH_ABSENT, false, false, "default"},
	    {JJ_SWITCH_ABSENT, true, true, "contracts"},
	    {JJ_SWITCH_OFF, true, false, "settings"},
	    {JJ_SWITCH_ON, false, true, "settings"},
	};

	for (const auto &row : cases) {
		const char *origin = "";

		EXPECT_EQ(row.value,
		    jj_settings_resolve_switch(
			row.given, row.required, &origin));
		EXPECT_STREQ(row.origin, origin);
	}
}

TEST(Settings, MissingFileIsReported)
{
	char error_text[JJ_SETTINGS_ERROR_MAX];
	jj_settings_t settings;

	EXPECT_FALSE(jj_settings_load(
	    &settings, "no/such.toml", error_text, sizeof(error_text)));
	EXPECT_STREQ("no/such.toml: cannot be read: No such file or directory",
	    error_text);
}

TEST(Settings, ExamplesLoad)
{
	for (const char *folder : {"examples/padana", "examples/coimbra"}) {
		int count = 0;

		for (const auto &entry :
		    std::filesystem::directory_iterator(folder)) {
			char error_text[JJ_SETTINGS_ERROR_MAX] = "";
			jj_settings_t settings;

			count++;
			EXPECT_TRUE(
			    jj_settings_load(&settings, entry.path().c_str(),
				error_text, sizeof(error_text)))
			    << error_text;
			jj_settings_clear(&settings);
		}
		EXPECT_EQ(3, count) << folder;
	}
}

TEST(Settings, DescribeNamesEveryKeyOnce)
{
	jj_bytes_t text = jj_settings_describe();

	EXPECT_NE(nullptr,
	    strstr(text.data,
		"| `batch.lease_ms` | an integer from 1000 to "
		"3600000 (ms) | 15000 | "));
	EXPECT_NE(nullptr,
	    strstr(text.data,
		"| `name` | a string of 1 to 63 "
		"of A-Z a-z 0-9 . _ - | required"));
	jj_bytes_free(&text);
}

/*
 * Failure: undefined behaviour at start when a settings file has a non-ASCII
 * character outside of strings. Cause: tomlplusplus 3.3.0 reaches
 * __builtin_unreachable() for some of them (found by fuzzing, with UBSan).
 */
TEST(TomlFailure, StrayCharactersAreAnError)
{
	const struct {
		const char *name;
		std::string text;
		const char *error_text; /**< NULL: valid */
	} cases[] = {
	    {"Key", "\u036dX = 1", "t.toml:1: only ASCII"},
	    {"Value", "a = 1\nb = \u036d", "t.toml:2: only ASCII"},
	    {"BehindStrings", "a = \"\\\"\"\nb = '\\'\n\u036d",
		"t.toml:3: only ASCII"},
	    {"BehindMultiline", "a = \"\"\"x\"\"\"\"\"\n\u036d",
		"t.toml:2: only ASCII"},
	    {"Comment", "# caff\u00e8 \u036d\na = 1", nullptr},
	    {"Strings", "a = \"\u036d\"\nb = '\u036d'", nullptr},
	    {"Multiline", "a = \"\"\"\n\u036d \"\"\"\n", nullptr},
	    {"ByteOrderMark", "\ufeffa = 1", nullptr},
	};

	for (const auto &row : cases) {
		char error_text[JJ_SETTINGS_ERROR_MAX] = "";
		jj_toml_t *toml = jj_toml_parse(row.text.data(),
		    row.text.size(), "t.toml", error_text, sizeof(error_text));

		EXPECT_EQ(row.error_text == nullptr, toml != nullptr)
		    << row.name << ": " << error_text;
		EXPECT_EQ(0U,
		    std::string(error_text)
			.find(row.error_text == nullptr ? "" : row.error_text))
		    << row.name << ": " << error_text;
		jj_toml_destroy(toml);
	}
}

/*
 * Failure: jujubed aborts at start without naming the invalid file. Cause:
 * tomlplusplus 3.3.0 fails an assertion on a malformed key such as `[,a]`
 * (found by fuzzing).
 */
TEST(TomlFailure, MalformedKeysAreAnError)
{
	const struct {
		const char *name;
		const char *text;
		const char *error_text;
	} cases[] = {
	    {"Table", "a = 1\n[,b]\nc = 1\n", "t.toml:2: malformed key"},
	    {"Array", "[[=b]]\n", "t.toml:1: malformed key"},
	    {"Dotted", "\na.,b = 1", "t.toml:2: "},
	    {"Inline", "a = {,}", "t.toml:1: "},
	};

	for (const auto &row : cases) {
		char error_text[JJ_SETTINGS_ERROR_MAX] = "";

		EXPECT_EQ(nullptr,
		    jj_toml_parse(row.text, strlen(row.text), "t.toml",
			error_text, sizeof(error_text)));
		EXPECT_EQ(0U, std::string(error_text).find(row.error_text))
		    << row.name << ": " << error_text;
	}
}

/* Nesting far deeper than any setting needs must not exhaust the stack. */
TEST(Toml, DeepNestingIsAnErrorNotACrash)
{
	std::string text = "a = " + std::string(100000, '[');
	char error_text[JJ_SETTINGS_ERROR_MAX];

	EXPECT_EQ(nullptr,
	    jj_toml_parse(text.data(), text.size(), "t.toml", error_text,
		sizeof(error_text)));
}
