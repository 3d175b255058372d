/**
 * @file objects_test.cc
 * @brief Encoding and decoding of calls to the users' platform.
 */
#include <cstring>
#include <string>

#include <gtest/gtest.h>

extern "C" {
#include "platform/parts.h"
}

namespace
{

struct WriteCase {
	const char *name;
	jj_platform_op_t op;
	const char *key;
	uint64_t version;
	const char *value;
	const char *method;
	const char *path;
	const char *body;
};

class ObjectsWrite : public ::testing::TestWithParam<WriteCase>
{
};

TEST_P(ObjectsWrite, EncodesTheCall)
{
	jj_platform_call_t call = {};
	jj_platform_request_t request = {};

	call.op = GetParam().op;
	snprintf(call.key, sizeof(call.key), "%s", GetParam().key);
	call.version = GetParam().version;
	call.wait_ms = 20000;
	call.value = jj_bytes_from_text(GetParam().value);
	jj_platform_objects_codec.write("verona-1", &call, &request);
	EXPECT_STREQ(GetParam().method, request.method);
	EXPECT_STREQ(GetParam().path, request.path);
	EXPECT_EQ(std::string(GetParam().body),
	    std::string(request.body.data != nullptr ? request.body.data : "",
		request.body.size));
	EXPECT_TRUE(request.new_connection);
	jj_bytes_free(&request.body);
	jj_platform_call_clear(&call);
}

INSTANTIATE_TEST_SUITE_P(Calls, ObjectsWrite,
    ::testing::Values(WriteCase{"Get", JJ_PLATFORM_GET, "batch-jobs/j", 0, "",
			  "GET", "/api/objects/batch-jobs/j", ""},
	WriteCase{"List", JJ_PLATFORM_LIST, "servers/", 0, "", "GET",
	    "/api/objects/servers?after=", ""},
	WriteCase{"Watch", JJ_PLATFORM_WATCH, "servers/", 530, "", "GET",
	    "/api/objects/servers?watch=530&waitMs=20000", ""},
	WriteCase{"Create", JJ_PLATFORM_CREATE, "batch-open/j", 0, "{\"a\":1}",
	    "POST", "/api/objects/batch-open",
	    "{\"metadata\":{\"name\":\"j\"},\"spec\":{\"a\":1}}"},
	WriteCase{"Update", JJ_PLATFORM_UPDATE, "batch-open/j", 9, "{}", "PUT",
	    "/api/objects/batch-open/j",
	    "{\"metadata\":{\"name\":\"j\",\"revision\":9},\"spec\":{}}"},
	WriteCase{"Delete", JJ_PLATFORM_DELETE, "batch-open/j", 9, "", "DELETE",
	    "/api/objects/batch-open/j?revision=9", ""},
	WriteCase{"Status", JJ_PLATFORM_SET_STATUS, "retirements/s", 0,
	    "{\"state\":\"done\"}", "PUT", "/api/objects/retirements/s/status",
	    "{\"metadata\":{\"name\":\"s\"},\"status\":{\"state\":\"done\"}}"}),
    [](const auto &info) { return std::string(info.param.name); });

struct ReadCase {
	const char *name;
	jj_platform_op_t op;
	int status;
	const char *body;
	jj_platform_outcome_t outcome;
	uint64_t version;
	size_t items;
	const char *value; /**< of the object or the first item */
};

class ObjectsRead : public ::testing::TestWithParam<ReadCase>
{
};

#define OBJECT \
	"{\"metadata\":{\"name\":\"x\",\"revision\":7},\"spec\":{\"a\":1}}"

TEST_P(ObjectsRead, KnowsTheOutcome)
{
	jj_platform_result_t result = {};
	jj_http_head_t head = {};

	result.op = GetParam().op;
	head.status = GetParam().status;
	jj_platform_objects_codec.read(&result, "servers/", &head,
	    GetParam().body, strlen(GetParam().body));
	EXPECT_EQ(GetParam().outcome, result.outcome);
	EXPECT_EQ(GetParam().version, result.version);
	ASSERT_EQ(GetParam().items, result.item_count);
	if (GetParam().items > 0) {
		EXPECT_STREQ("servers/x", result.items[0].key);
		EXPECT_EQ(7U, result.items[0].version);
		EXPECT_STREQ(GetParam().value, result.items[0].value.data);
	} else if (GetParam().value[0] != '\0') {
		EXPECT_STREQ(GetParam().value, result.value.data);
	}
	jj_platform_result_clear(&result);
}

INSTANTIATE_TEST_SUITE_P(Answers, ObjectsRead,
    ::testing::Values(ReadCase{"Get", JJ_PLATFORM_GET, 200, OBJECT,
			  JJ_PLATFORM_OK, 7, 0, "{\"a\":1}"},
	ReadCase{"Created", JJ_PLATFORM_CREATE, 201, OBJECT, JJ_PLATFORM_OK, 7,
	    0, ""},
	ReadCase{"Conflict", JJ_PLATFORM_UPDATE, 409, OBJECT,
	    JJ_PLATFORM_CONFLICT, 7, 0, "{\"a\":1}"},
	ReadCase{
	    "Absent", JJ_PLATFORM_GET, 404, "", JJ_PLATFORM_ABSENT, 0, 0, ""},
	/* Guards against taking a part of a list for the whole. */
	ReadCase{"EmptyPageOfMore", JJ_PLATFORM_LIST, 200,
	    "{\"items\":[],\"more\":true,\"at\":7}", JJ_PLATFORM_UNKNOWN, 7, 0,
	    ""},
	ReadCase{"Gap", JJ_PLATFORM_WATCH, 410, "", JJ_PLATFORM_GAP, 0, 0, ""},
	ReadCase{"Limited", JJ_PLATFORM_CREATE, 429, "", JJ_PLATFORM_LIMITED, 0,
	    0, ""},
	ReadCase{
	    "Down", JJ_PLATFORM_CREATE, 503, "", JJ_PLATFORM_DOWN, 0, 0, ""},
	ReadCase{"Error", JJ_PLATFORM_CREATE, 500, "", JJ_PLATFORM_UNKNOWN, 0,
	    0, ""},
	/* The output of a server may have any character. */
	ReadCase{"NulInAValue", JJ_PLATFORM_GET, 200,
	    "{\"metadata\":{\"name\":\"x\",\"revision\":7},"
	    "\"spec\":{\"a\":\"b\\u0000c\"}}",
	    JJ_PLATFORM_OK, 7, 0, "{\"a\":\"b\\u0000c\"}"},
	ReadCase{"NulInAName", JJ_PLATFORM_LIST, 200,
	    "{\"items\":[{\"metadata\":{\"name\":\"x\\u0000y\","
	    "\"revision\":7},\"spec\":{}}],\"at\":530}",
	    JJ_PLATFORM_OK, 530, 0, ""},
	/* Without the object in the body, a 200 doesn't prove success. */
	ReadCase{"Truncated", JJ_PLATFORM_UPDATE, 200,
	    "{\"metadata\":", JJ_PLATFORM_UNKNOWN, 0, 0, ""},
	ReadCase{"MoreAfterAnObject", JJ_PLATFORM_GET, 200, OBJECT "{",
	    JJ_PLATFORM_UNKNOWN, 0, 0, ""},
	ReadCase{"TruncatedList", JJ_PLATFORM_LIST, 200,
	    "{\"at\":530,\"items\":[" OBJECT "]", JJ_PLATFORM_UNKNOWN, 0, 0,
	    ""},
	ReadCase{"MoreAfterAList", JJ_PLATFORM_LIST, 200,
	    "{\"items\":[" OBJECT "]}{", JJ_PLATFORM_UNKNOWN, 0, 0, ""},
	ReadCase{"NoList", JJ_PLATFORM_LIST, 200, "{\"at\":530}",
	    JJ_PLATFORM_UNKNOWN, 0, 0, ""},
	ReadCase{"NoSuchCall", JJ_PLATFORM_LIST, 405, "", JJ_PLATFORM_UNKNOWN,
	    0, 0, ""},
	ReadCase{"List", JJ_PLATFORM_LIST, 200,
	    "{\"items\":[" OBJECT "],\"more\":false,\"at\":530}",
	    JJ_PLATFORM_OK, 530, 1, "{\"a\":1}"},
	ReadCase{"Events", JJ_PLATFORM_WATCH, 200,
	    "{\"events\":[{\"gone\":false,\"object\":" OBJECT "}],\"at\":533}",
	    JJ_PLATFORM_OK, 533, 1, "{\"a\":1}"},
	ReadCase{"NoEvents", JJ_PLATFORM_WATCH, 200,
	    "{\"events\":[],\"at\":540}", JJ_PLATFORM_OK, 540, 0, ""}),
    [](const auto &info) { return std::string(info.param.name); });

struct LargeCase {
	const char *name;
	jj_platform_op_t op;
	const char *before; /**< text before the large object */
	const char *after; /**< text after the large object */
	bool deleted;
};

class ObjectsLarge : public ::testing::TestWithParam<LargeCase>
{
};

/* Guards against altering a large value or losing the objects after it. */
TEST_P(ObjectsLarge, ArriveUnchanged)
{
	std::string spec =
	    "{ \"metadata\": {\"name\": \"no\"}, \"spec\": [1e999],"
	    " \"text\": \"" +
	    std::string(100000, 'x') + "\" }";
	std::string body = std::string(GetParam().before) +
	    "{\"metadata\":{\"name\":\"x\",\"revision\":7},\"spec\":" + spec +
	    ",\"status\":{}}" + GetParam().after;
	jj_platform_result_t result = {};
	jj_http_head_t head = {};

	result.op = GetParam().op;
	head.status = 200;
	jj_platform_objects_codec.read(
	    &result, "config/", &head, body.data(), body.size());
	EXPECT_EQ(JJ_PLATFORM_OK, result.outcome);
	EXPECT_EQ(530U, result.version);
	ASSERT_EQ(2U, result.item_count);
	EXPECT_STREQ("config/x", result.items[0].key);
	EXPECT_EQ(7U, result.items[0].version);
	EXPECT_EQ(GetParam().deleted, result.items[0].deleted);
	EXPECT_EQ(spec,
	    std::string(
		result.items[0].value.data, result.items[0].value.size));
	EXPECT_STREQ("config/y", result.items[1].key);
	EXPECT_STREQ("{\"a\":1}", result.items[1].value.data);
	jj_platform_result_clear(&result);
}

#define SMALL \
	"{\"metadata\":{\"name\":\"y\",\"revision\":9},\"spec\":{\"a\":1}}"

INSTANTIATE_TEST_SUITE_P(Bodies, ObjectsLarge,
    ::testing::Values(LargeCase{"List", JJ_PLATFORM_LIST, "{\"items\":[",
			  "," SMALL "],\"more\":false,\"at\":530}", false},
	LargeCase{"Watch", JJ_PLATFORM_WATCH,
	    "{\"events\":[{\"gone\":false,\"object\":",
	    "},{\"gone\":false,\"object\":" SMALL "}],\"at\":530}", false},
	LargeCase{"Gone", JJ_PLATFORM_WATCH, "{\"events\":[{\"object\":",
	    ",\"gone\":true},{\"gone\":false,\"object\":" SMALL
	    "}],\"at\":530}",
	    true}),
    [](const auto &info) { return std::string(info.param.name); });

jj_bytes_t
bytes(const std::string &text)
{
	return jj_bytes_copy(text.data(), text.size());
}

TEST(PlatformConfig, ReadsRoutesOfAllKinds)
{
	jj_bytes_t object = bytes(
	    "{\"version\":7,\"routes\":[{\"name\":\"a\",\"host\":\"h\","
	    "\"pathPrefix\":\"/x/\",\"kind\":\"streaming\",\"timeoutMs\":5000,"
	    "\"targetLatencyMs\":300,\"backends\":[{\"service\":\"s1\","
	    "\"weight\":90},{\"service\":\"s2\",\"weight\":10}],"
	    "\"maxAttempts\":2,\"resumable\":true,\"gap_aim_ms\":200},"
	    "{\"name\":\"b\",\"host\":\"h\",\"pathPrefix\":\"/y/\",\"kind\":"
	    "\"batch\",\"service\":\"s1\",\"runDeadlineMs\":18000,"
	    "\"retentionS\":60,\"maxAttempts\":3,\"maxCount\":1400000}]}");
	jj_routes_t routes;
	char why[100];

	ASSERT_TRUE(
	    jj_platform_read_routes(&object, &routes, why, sizeof(why)));
	ASSERT_EQ(2U, routes.route_count);
	EXPECT_EQ(7U, routes.version);
	EXPECT_EQ(JJ_ROUTE_STREAM, routes.routes[0].kind);
	EXPECT_TRUE(routes.routes[0].resumable);
	EXPECT_EQ(2U, routes.routes[0].backend_count);
	EXPECT_EQ(10U, routes.routes[0].backends[1].weight);
	EXPECT_EQ(JJ_ROUTE_BATCH, routes.routes[1].kind);
	EXPECT_EQ(18000, routes.routes[1].run_due_ms);
	EXPECT_EQ(60000, routes.routes[1].retention_ms);
	EXPECT_EQ(1400000U, routes.routes[1].max_waiting_tokens);
	jj_routes_clear(&routes);
	jj_bytes_free(&object);
}

TEST(PlatformConfig, RefusesWhatItCannotRead)
{
	const char *const texts[] = {"", "{", "{\"routes\":3}",
	    "{\"version\":1,\"routes\":[{\"name\":\"a\"}]}",
	    "{\"version\":1,\"routes\":[{\"name\":\"a\",\"host\":\"h\","
	    "\"pathPrefix\":\"/\",\"kind\":\"safe\"}]}"};

	for (const char *text : texts) {
		jj_bytes_t object = bytes(text);
		jj_routes_t routes;
		char why[100] = "";

		EXPECT_FALSE(
		    jj_platform_read_routes(&object, &routes, why, sizeof(why)))
		    << text;
		EXPECT_STRNE("", why);
		jj_bytes_free(&object);
	}
}

TEST(PlatformPage, WritesResults)
{
	jj_inline_result_t results[2] = {};
	jj_inline_page_t page = {40, 12, 2, results};
	char one[] = "i1", two[] = "i2";

	results[0].id = one;
	results[0].done = true;
	results[0].text = bytes("a\nb");
	results[1].id = two;
	jj_bytes_t text = jj_platform_write_page(&page);
	EXPECT_STREQ("{\"total\":40,\"next\":14,\"results\":["
		     "{\"id\":\"i1\",\"state\":\"done\",\"text\":\"a\\nb\"},"
		     "{\"id\":\"i2\",\"state\":\"dead_lettered\",\"text\":\"\"}"
		     "]}",
	    text.data);
	jj_bytes_free(&text);
	jj_bytes_free(&results[0].text);
}

} // namespace
