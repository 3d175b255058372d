/**
 * @file entries_test.cc
 * @brief Decoding of server entries, written by servers or other programs,
 * singly and in lists.
 */
#include <cstring>
#include <string>

#include <gtest/gtest.h>

extern "C" {
#include "core/mirror.h"
#include "platform/parts.h"
}

namespace
{

/** An entry as a server writes it, with one field changed, added or removed. */
std::string
entry(const std::string &field = "", const std::string &value = "")
{
	const char *const fields[][2] = {{"service", "\"s\""},
	    {"address", "\"10.0.0.9:80\""}, {"zone", "\"z\""},
	    {"version", "\"v1\""}, {"slots", "8"}, {"state", "\"ready\""},
	    {"coldRemainingMs", "0"}, {"born", "1768922969619"}, {"seq", "4"}};
	std::string text = "{";
	bool is_usual_field = false;

	for (auto &each : fields) {
		bool is_changed = field == each[0];

		is_usual_field = is_usual_field || is_changed;
		if (is_changed && value.empty())
			continue;
		text += (text.size() > 1 ? ",\"" : "\"") +
		    std::string(each[0]) +
		    "\":" + (is_changed ? value : each[1]);
	}
	if (!is_usual_field && !field.empty())
		text += ",\"" + field + "\":" + value;
	return text + "}";
}

bool
read(const std::string &text, jj_slot_info_t *info, std::string *why = nullptr)
{
	jj_bytes_t object = jj_bytes_copy(text.data(), text.size());
	char reason[100] = "";
	bool valid = jj_platform_read_server(
	    "i-1", &object, info, reason, sizeof(reason));

	jj_bytes_free(&object);
	EXPECT_EQ(valid, reason[0] == '\0') << reason;
	if (why != nullptr)
		*why = reason;
	return valid;
}

TEST(PlatformServer, IsReadAsItIs)
{
	jj_slot_info_t info;

	ASSERT_TRUE(read(entry("state", "\"draining\""), &info));
	EXPECT_STREQ("i-1", info.id.text);
	EXPECT_STREQ("s", info.service.text);
	EXPECT_STREQ("v1", info.version.text);
	EXPECT_STREQ("z", info.domain.text);
	EXPECT_STREQ("10.0.0.9:80", info.address);
	EXPECT_EQ(8U, info.slots);
	EXPECT_EQ(1768922969619, info.started_ms);
	EXPECT_TRUE(info.draining);
	ASSERT_TRUE(read(entry("version", ""), &info));
	EXPECT_STREQ("", info.version.text) << "an entry without a version";
	ASSERT_TRUE(read(entry("born", ""), &info));
	EXPECT_EQ(0, info.started_ms) << "an entry without a start time";
	EXPECT_TRUE(read(entry("more", "[{}]"), &info))
	    << "unknown fields are ignored";
}

struct EntryCase {
	const char *name;
	const char *field;
	const char *value; /**< "": the field is missing */
	const char *why; /**< expected within the reason */
};

class PlatformEntry : public ::testing::TestWithParam<EntryCase>
{
};

/* An entry with an invalid field can't be used, and the reason names it. */
TEST_P(PlatformEntry, IsRefused)
{
	jj_slot_info_t info;
	std::string why;

	EXPECT_FALSE(
	    read(entry(GetParam().field, GetParam().value), &info, &why));
	EXPECT_NE(std::string::npos, why.find(GetParam().why)) << why;
}

INSTANTIATE_TEST_SUITE_P(Fields, PlatformEntry,
    ::testing::Values(EntryCase{"NoService", "service", "", "service"},
	EntryCase{"ServiceIsNumber", "service", "3", "service"},
	EntryCase{"ServiceIsEmpty", "service", "\"\"", "service"},
	EntryCase{"NoAddress", "address", "", "address"},
	EntryCase{"AddressIsList", "address", "[]", "address"},
	EntryCase{"AddressIsName", "address", "\"host:80\"", "address"},
	EntryCase{"AddressWithoutPort", "address", "\"10.0.0.9\"", "address"},
	EntryCase{
	    "AddressWithEmptyPort", "address", "\"10.0.0.9:\"", "address"},
	EntryCase{"PortBeyond", "address", "\"10.0.0.9:65536\"", "address"},
	EntryCase{"PortZero", "address", "\"10.0.0.9:0\"", "address"},
	EntryCase{"PortWithMore", "address", "\"10.0.0.9:80x\"", "address"},
	EntryCase{"AddressWithLine", "address", "\"10.0.0.9:80\\r\\nX: y\"",
	    "address"},
	EntryCase{"NoZone", "zone", "", "zone"},
	EntryCase{"ZoneIsNull", "zone", "null", "zone"},
	EntryCase{"VersionIsNumber", "version", "1", "version"},
	EntryCase{"VersionIsNull", "version", "null", "version"},
	EntryCase{"NoSlots", "slots", "", "slots"},
	EntryCase{"SlotsIsText", "slots", "\"8\"", "slots"},
	EntryCase{"SlotsIsZero", "slots", "0", "slots"},
	EntryCase{"SlotsIsNegative", "slots", "-8", "slots"},
	EntryCase{"SlotsIsFraction", "slots", "8.5", "slots"},
	EntryCase{"SlotsIsHuge", "slots", "9000000000000000000", "slots"},
	EntryCase{"NoState", "state", "", "state"},
	EntryCase{"StateIsUnknown", "state", "\"resting\"", "state"},
	EntryCase{"StateIsTruth", "state", "true", "state"},
	EntryCase{"BornIsFraction", "born", "1768922969619.5", "born"},
	EntryCase{"BornIsWholeReal", "born", "1768922969619.0", "born"},
	EntryCase{"BornIsText", "born", "\"1768922969619\"", "born"},
	EntryCase{"BornIsNegative", "born", "-1", "born"},
	EntryCase{"BornIsZero", "born", "0", "born"},
	EntryCase{"BornIsNull", "born", "null", "born"},
	EntryCase{"NulInText", "zone", "\"z\\u0000\"", "read"},
	EntryCase{"NoUtf8", "zone", "\"z\xff\"", "read"},
	EntryCase{"IntegerBeyond", "seq", "99999999999999999999", "read"},
	EntryCase{"NumberBeyond", "more", "1e999", "read"},
	EntryCase{"BornBeyond", "born", "18446744073709551616", "read"}),
    [](const auto &info) { return std::string(info.param.name); });

TEST(PlatformServer, RefusesOtherJson)
{
	const char *const texts[] = {
	    "", "x", "5", "null", "[]", "\"ready\"", "{", "{}", "[{}]"};

	for (const char *text : texts) {
		jj_slot_info_t info;

		EXPECT_FALSE(read(text, &info)) << text;
	}
}

std::string
object(const std::string &name, const std::string &spec)
{
	return "{\"metadata\":{\"name\":\"" + name +
	    "\",\"revision\":7,\"finalizers\":[]},\"spec\":" + spec + "}";
}

std::string
deep(size_t levels)
{
	return std::string(levels, '[') + std::string(levels, ']');
}

struct BodyCase {
	const char *name;
	std::string spec;
};

class PlatformBody : public ::testing::TestWithParam<BodyCase>
{
      protected:
	jj_platform_result_t result = {};

	~PlatformBody() override
	{
		jj_platform_result_clear(&result);
	}
	void
	take(jj_platform_op_t op, const std::string &body)
	{
		jj_http_head_t head = {};

		jj_platform_result_clear(&result);
		result = {};
		result.op = op;
		head.status = 200;
		jj_platform_objects_codec.read(
		    &result, "servers/", &head, body.data(), body.size());
	}
	/** Expects three entries, the middle one without a value. */
	void
	expect_entries()
	{
		const char *const keys[] = {
		    "servers/a", "servers/bad", "servers/z"};

		ASSERT_EQ(JJ_PLATFORM_OK, result.outcome);
		EXPECT_EQ(530U, result.version);
		EXPECT_EQ(1U, result.unreadable);
		ASSERT_EQ(3U, result.item_count);
		for (size_t i = 0; i < 3; i++) {
			EXPECT_STREQ(keys[i], result.items[i].key);
			EXPECT_EQ(7U, result.items[i].version);
			EXPECT_FALSE(result.items[i].deleted);
			EXPECT_EQ(i == 1, result.items[i].value.size == 0);
		}
	}
};

/*
 * Guards against refusing a whole list for one entry that can't be parsed and
 * that another program wrote. The VM then kept its old entries and repeated the
 * call over and over; after a restart it knew no server at all.
 */
TEST_P(PlatformBody, OneBadEntryHidesNoOther)
{
	std::string list = "{\"items\":[" + object("a", entry()) + "," +
	    object("bad", GetParam().spec) + "," + object("z", entry()) +
	    "],\"more\":true,\"at\":530}";
	std::string event = "},{\"gone\":false,\"object\":";
	std::string watch = "{\"at\":530,\"events\":[{\"gone\":false,"
			    "\"object\":" +
	    object("a", entry()) + event + object("bad", GetParam().spec) +
	    event + object("z", entry()) + "}]}";

	take(JJ_PLATFORM_LIST, list);
	expect_entries();
	EXPECT_TRUE(result.more);
	take(JJ_PLATFORM_WATCH, watch);
	expect_entries();
}

INSTANTIATE_TEST_SUITE_P(Specs, PlatformBody,
    ::testing::Values(BodyCase{"NoUtf8", "{\"x\":\"\xc3\x28\"}"},
	BodyCase{"Nul", "{\"x\":\"a\\u0000\"}"},
	BodyCase{"NulInKey", "{\"\\u0000\":1}"},
	BodyCase{"LoneSurrogate", "\"\\ud800\""},
	BodyCase{"IntegerBeyond", "{\"x\":123456789012345678901234567890}"},
	BodyCase{"NegativeBeyond", "-9223372036854775809"},
	BodyCase{"NumberBeyond", "[1e400]"}, BodyCase{"Infinite", "Infinity"},
	BodyCase{"NegativeInfinite", "{\"x\":-Infinity}"},
	BodyCase{"NoNumber", "[1,{\"x\":NaN}]"},
	BodyCase{"NumberWithZeros", "{\"x\":007,\"y\":\"}]\"}"},
	BodyCase{"Tab", "{\"x\":\"a\tb\"}"},
	BodyCase{"LineFeed", "\"\n]}\\\"\""},
	BodyCase{"Escape", "{\"x\":\"\\x41\"}"},
	BodyCase{"NoString", "{\"x\":'a'}"}, BodyCase{"Comma", "{\"x\":1,}"},
	BodyCase{"Word", "undefined"}, BodyCase{"Nothing", ""},
	BodyCase{"Deep", deep(3000)}, BodyCase{"VeryDeep", deep(200000)},
	BodyCase{"NamesOfOthers",
	    "{\"items\":[{\"metadata\":{\"name\":\"evil\"}}],\"at\":1e999}"}),
    [](const auto &info) { return std::string(info.param.name); });

/* Guards against elements that are no objects and no JSON. */
TEST_F(PlatformBody, SkipsElementsThatAreNoObjects)
{
	for (const char *element : {"[NaN]", "[[Infinity,\"]\"]]", "[\"\t\"]"})
		for (bool is_first : {true, false}) {
			std::string other = object("z", entry());

			take(JJ_PLATFORM_LIST,
			    "{\"items\":[" +
				(is_first ? element + ("," + other)
					  : other + "," + element) +
				"],\"more\":true,\"at\":530}");
			ASSERT_EQ(JJ_PLATFORM_OK, result.outcome) << element;
			ASSERT_EQ(1U, result.item_count) << element;
			EXPECT_STREQ("servers/z", result.items[0].key);
			EXPECT_LT(0U, result.items[0].value.size) << element;
			EXPECT_TRUE(result.more);
		}
	take(JJ_PLATFORM_LIST, "{\"items\":[NaN],\"at\":530}");
	EXPECT_EQ(JJ_PLATFORM_UNKNOWN, result.outcome);
}

TEST_F(PlatformBody, ADeletionIsKnownByNameAlone)
{
	take(JJ_PLATFORM_WATCH,
	    "{\"events\":[{\"gone\":true,\"object\":" + object("bad", "1e999") +
		"}],\"at\":9}");
	ASSERT_EQ(1U, result.item_count);
	EXPECT_TRUE(result.items[0].deleted);
	EXPECT_STREQ("servers/bad", result.items[0].key);
}

/* Objects whose name can't be used in a key are skipped. */
TEST_F(PlatformBody, SkipsObjectsWithInvalidNames)
{
	const std::string names[] = {"", "a/b", "a b", "\xff", "a\\u0000b",
	    "a\\nb", std::string(5000, 'n')};

	for (const std::string &name : names) {
		take(JJ_PLATFORM_LIST,
		    "{\"items\":[" + object(name, "{}") + "," +
			object("z", entry()) + ",3,null],\"at\":530}");
		ASSERT_EQ(JJ_PLATFORM_OK, result.outcome) << name;
		ASSERT_EQ(1U, result.item_count) << name;
		EXPECT_STREQ("servers/z", result.items[0].key);
		EXPECT_GE(result.unreadable, 1U);
	}
}

/* Guards against a list that ends at a page of objects with invalid names. */
TEST_F(PlatformBody, APageOfInvalidNamesEndsNoList)
{
	struct {
		std::string name;
		const char *path; /**< of the call for the next page */
	} const cases[] = {
	    {"a b", "/api/objects/servers?after=a%20b"},
	    {"a%#/&?", "/api/objects/servers?after=a%25%23%2F%26%3F"},
	    {"a\\nb", "/api/objects/servers?after=a%0Ab"},
	    {"\u00e9", "/api/objects/servers?after=%C3%A9"},
	    {std::string(240, ' '), nullptr},
	};

	for (const auto &row : cases) {
		jj_mirror_settings_t settings = {
		    JJ_OWNER_GATEWAY, 1, "servers/", 1, 1, 1, 1, 1, 1};
		jj_mirror_port_t port = {nullptr, [](void *) {},
		    [](void *, const jj_platform_item_t *) {},
		    [](void *, const char *) {}, [](void *, bool, jj_ms_t) {},
		    nullptr};
		jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);
		jj_platform_request_t request = {};
		jj_mirror_t mirror;

		jj_mirror_init(&mirror, &settings, &port);
		jj_mirror_set_active(&mirror, true, 1);
		jj_mirror_tick(&mirror, 1, &out);
		take(JJ_PLATFORM_LIST,
		    "{\"items\":[" + object("0 0", "{}") + "," +
			object(row.name, deep(3000)) +
			"],\"more\":true,\"at\":530}");
		result.token = TAILQ_FIRST(&out)->body.platform.token;
		jj_actions_clear(&out);
		ASSERT_TRUE(jj_mirror_take_result(&mirror, &result, 2, &out));
		jj_mirror_tick(&mirror, 2, &out);
		ASSERT_EQ(JJ_PLATFORM_LIST, TAILQ_FIRST(&out)->body.platform.op)
		    << row.name;
		jj_platform_objects_codec.write(
		    "c", &TAILQ_FIRST(&out)->body.platform, &request);
		if (row.path != nullptr) {
			EXPECT_STREQ(row.path, request.path);
		} else {
			EXPECT_EQ(
			    27 + 3 * row.name.size(), strlen(request.path));
		}
		jj_actions_clear(&out);
	}
}

/* A truncated list is not accepted as a list with fewer entries. */
TEST_F(PlatformBody, ATextThatBreaksOffIsNoList)
{
	std::string list =
	    "{\"items\":[" + object("a", entry()) + "],\"at\":530}";

	for (size_t size = 0; size < list.size(); size++) {
		take(JJ_PLATFORM_LIST, list.substr(0, size));
		EXPECT_EQ(JJ_PLATFORM_UNKNOWN, result.outcome) << size;
		EXPECT_EQ(0U, result.item_count);
	}
	take(JJ_PLATFORM_LIST, "{\"at\":530,\"more\":1e999}");
	EXPECT_EQ(JJ_PLATFORM_UNKNOWN, result.outcome)
	    << "the body has no list";
}

} // namespace
