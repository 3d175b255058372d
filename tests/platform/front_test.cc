/**
 * @file front_test.cc
 * @brief Decoding of callers' calls, with ids of all lengths.
 */
#include <condition_variable>
#include <mutex>
#include <string>

#include <gtest/gtest.h>

#include "tests/adapters/loopback.h"

extern "C" {
#include "platform/parts.h"
}

namespace
{

/**
 * Answers a call with the id of its item, or else that of its job, or with what
 * is wrong with a submission.
 */
void
on_call(void *, jj_http_call_t *call)
{
	jj_http_answer_t head = {
	    200, "text/plain", {{nullptr, nullptr}}, nullptr, 0};
	jj_inline_job_t job = {};
	jj_front_call_t read;
	const char *problem = nullptr;

	jj_platform_read_call(call, &read);
	if (read.kind == JJ_FRONT_FORWARD)
		problem = jj_platform_read_job(call, &job);
	std::string text = "[";
	text += problem != nullptr	    ? problem
	    : read.kind == JJ_FRONT_FORWARD ? job.id
	    : read.item != nullptr	    ? read.item
					    : read.job;
	text += "]";
	free(read.item);
	jj_inline_job_clear(&job);
	jj_http_call_answer(call, &head, text.data(), text.size());
}

/** Sends @p request to such a server; returns the id that it answers. */
std::string
send_and_read_id(const std::string &request)
{
	std::string address = free_address();
	jj_http_limits_t limits = {
	    address.c_str(), 1, 100, 16384, 65536, 65536, 60000};
	jj_http_port_t port = {
	    nullptr, on_call, nullptr, nullptr, nullptr, nullptr, nullptr};
	jj_http_server_t *server = jj_http_server_create(&limits, &port);
	int fd = send_request(address, request);
	std::string got = read_until(fd, "]");
	size_t from = got.find('[') + 1;

	(void)close(fd);
	jj_http_server_destroy(server);
	return got.substr(from, got.find(']') - from);
}

class FrontItem : public ::testing::TestWithParam<size_t>
{
};

/* Guards against an accepted item whose long id can't be read later. */
TEST_P(FrontItem, IsAskedForByItsId)
{
	std::string item(GetParam(), 'i');

	EXPECT_EQ(item,
	    send_and_read_id("GET /api/items/j?id=" + item +
		" HTTP/1.1\r\nHost: x\r\n\r\n"));
}

INSTANTIATE_TEST_SUITE_P(
    Lengths, FrontItem, ::testing::Values(16, 127, 128, 2000));

struct JobCase {
	const char *name;
	size_t id;
	bool unchanged; /**< the id is stored as it is, not shortened */
};

class FrontJob : public ::testing::TestWithParam<JobCase>
{
};

/*
 * Guards against refusing a job because its id is long, and against treating
 * two jobs as one because their long ids begin with the same characters.
 */
TEST_P(FrontJob, IsNamedByItsId)
{
	std::string id(GetParam().id, 'j');
	std::string body = R"({"items":[{"id":"a","path":"/b/1"}]})";
	std::string got[3];

	for (int i = 0; i < 3; i++) {
		std::string named = id + (i == 2 ? "2" : "1");
		std::string request = i == 0
		    ? "POST /b/ HTTP/1.1\r\nHost: x\r\n"
		      "X-Jujubeswitch-Request-Id: " +
			named +
			"\r\nContent-Length: " + std::to_string(body.size()) +
			"\r\n\r\n" + body
		    : "GET /api/lots/" + named +
			"?after=0 HTTP/1.1\r\nHost: x\r\n\r\n";
		got[i] = send_and_read_id(request);
	}
	EXPECT_EQ(got[0], got[1]);
	EXPECT_NE(got[1], got[2]);
	EXPECT_NE("", got[0]);
	EXPECT_EQ(GetParam().unchanged, got[0] == id + "1");
}

INSTANTIATE_TEST_SUITE_P(Lengths, FrontJob,
    ::testing::Values(JobCase{"Usual", 15, true}, JobCase{"Longest", 126, true},
	JobCase{"Longer", 127, false}, JobCase{"Long", 1000, false}),
    [](const auto &info) { return std::string(info.param.name); });

struct SubmissionCase {
	const char *name;
	const char *id; /**< value of the header */
	const char *path;
	const char *items;
	const char *problem; /**< part of what is answered; empty: accepted */
};

class FrontSubmission : public ::testing::TestWithParam<SubmissionCase>
{
};

/* Guards against submissions that can't be stored or sent as they are. */
TEST_P(FrontSubmission, IsAcceptedOrSaysWhatIsWrong)
{
	std::string body = std::string("{\"items\":") + GetParam().items + "}";
	std::string got = send_and_read_id(std::string("POST ") +
	    GetParam().path + " HTTP/1.1\r\nHost: x\r\n" +
	    "X-Jujubeswitch-Request-Id: " + GetParam().id +
	    "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
	    body);

	if (GetParam().problem[0] == '\0')
		EXPECT_EQ(GetParam().id, got);
	else
		EXPECT_NE(std::string::npos, got.find(GetParam().problem))
		    << got;
}

#define ITEM_HEAD "[{\"id\":\"a\",\"path\":\"/b/1\""
#define ITEM ITEM_HEAD "}]"

INSTANTIATE_TEST_SUITE_P(Bytes, FrontSubmission,
    ::testing::Values(SubmissionCase{"Sound", "j-1", "/b/x", ITEM, ""},
	SubmissionCase{"SoundUtf8", "j-1", "/b/caf%C3%A9", ITEM, ""},
	SubmissionCase{
	    "PathNotUtf8", "j-1", "/b/caf%E9", ITEM, "the path is not UTF-8"},
	SubmissionCase{"PathOverlong", "j-1", "/b/%C0%AF", ITEM, "the path"},
	SubmissionCase{"PathSurrogate", "j-1", "/b/%ED%A0%80", ITEM, "path"},
	SubmissionCase{"IdNotUtf8", "j\xe9", "/b/", ITEM, "visible ASCII"},
	SubmissionCase{
	    "IdOfAnotherObject", "../servers/s", "/b/", ITEM, "visible ASCII"},
	SubmissionCase{"IdWithQuery", "j?watch=1", "/b/", ITEM, "visible"},
	SubmissionCase{"IdWithQuote", "j\"", "/b/", ITEM, "visible ASCII"},
	SubmissionCase{"NoItems", "j", "/b/", "[]", "items"},
	SubmissionCase{"NoArray", "j", "/b/", "3", "items"},
	SubmissionCase{"ItemNotUtf8", "j", "/b/",
	    "[{\"id\":\"a\xe9\",\"path\":\"/b/1\"}]", "JSON"},
	SubmissionCase{"ItemWithNul", "j", "/b/",
	    "[{\"id\":\"a\\u0000\",\"path\":\"/b/1\"}]", "JSON"},
	SubmissionCase{"LoneSurrogate", "j", "/b/",
	    "[{\"id\":\"\\ud800\",\"path\":\"/b/1\"}]", "JSON"},
	SubmissionCase{"ItemIdWithLineEnd", "j", "/b/",
	    "[{\"id\":\"a\\r\\nX: y\",\"path\":\"/b/1\"}]", "an id"},
	SubmissionCase{"SameItemTwice", "j", "/b/",
	    "[{\"id\":\"a\",\"path\":\"/b/1\"},"
	    "{\"id\":\"a\",\"path\":\"/b/1\"}]",
	    "same id"},
	SubmissionCase{"PathWithLineEnd", "j", "/b/",
	    "[{\"id\":\"a\",\"path\":\"/b/1 HTTP/1.1\\r\\nX: y\"}]", "a path"},
	SubmissionCase{"PathWithFragment", "j", "/b/",
	    "[{\"id\":\"a\",\"path\":\"/b/1#2\"}]", "a path"},
	SubmissionCase{"HeaderValueWithLineEnd", "j", "/b/",
	    ITEM_HEAD ",\"headers\":{\"X-A\":\"b\\nX-C: d\"}}]", "header"},
	SubmissionCase{"HeaderNameWithColon", "j", "/b/",
	    ITEM_HEAD ",\"headers\":{\"X-A: b\\r\\nX-C\":\"d\"}}]", "header"},
	SubmissionCase{"SoundHeader", "j", "/b/",
	    ITEM_HEAD ",\"headers\":{\"X-A\":\"b c\"}}]", ""},
	SubmissionCase{"NegativeTokens", "j", "/b/",
	    ITEM_HEAD ",\"tokens\":-1}]", "tokens"},
	SubmissionCase{"TokensBeyond", "j", "/b/",
	    ITEM_HEAD ",\"tokens\":9223372036854775807}]", "tokens"}),
    [](const auto &info) { return std::string(info.param.name); });

struct Outcome {
	std::mutex lock;
	std::condition_variable changed;
	int outcome = -1;

	static void
	take(void *ctx, jj_platform_result_t *result)
	{
		auto *self = static_cast<Outcome *>(ctx);
		std::lock_guard<std::mutex> guard(self->lock);

		self->outcome = result->outcome;
		jj_platform_result_clear(result);
		self->changed.notify_all();
	}
};

void
on_large(void *, jj_http_call_t *call)
{
	jj_http_answer_t head = {
	    200, "application/json", {{nullptr, nullptr}}, nullptr, 0};
	std::string text(65U << 20, ' ');

	jj_http_call_answer(call, &head, text.data(), text.size());
}

/*
 * Guards against a watch that requests the same events endlessly because they
 * exceed the maximum size of an answer. It is reported as a gap, so that the
 * objects are listed instead: lists are split into pages.
 */
TEST(PlatformAnswer, AWatchAnswerThatIsTooLargeIsAGap)
{
	std::string address = free_address();
	jj_http_limits_t limits = {
	    address.c_str(), 1, 100, 16384, 65536, 65536, 60000};
	jj_http_port_t port = {
	    nullptr, on_large, nullptr, nullptr, nullptr, nullptr, nullptr};
	jj_http_server_t *server = jj_http_server_create(&limits, &port);

	ASSERT_NE(nullptr, server);
	for (jj_platform_op_t op : {JJ_PLATFORM_WATCH, JJ_PLATFORM_LIST}) {
		Outcome outcome;
		jj_platform_t *platform = jj_platform_create(
		    &jj_platform_objects_codec, address.c_str(), "verona-1",
		    10000, Outcome::take, &outcome);
		jj_platform_call_t call = {};

		call.op = op;
		snprintf(call.key, sizeof(call.key), "servers/");
		jj_platform_start(platform, &call);
		{
			std::unique_lock<std::mutex> guard(outcome.lock);
			ASSERT_TRUE(outcome.changed.wait_for(guard,
			    std::chrono::seconds(20),
			    [&outcome] { return outcome.outcome >= 0; }));
		}
		jj_platform_destroy(platform);
		EXPECT_EQ(op == JJ_PLATFORM_WATCH ? JJ_PLATFORM_GAP
						  : JJ_PLATFORM_UNKNOWN,
		    outcome.outcome);
	}
	jj_http_server_destroy(server);
}

struct PromptCase {
	const char *name;
	const char *text;
	std::vector<const char *> ids; /**< of the shared parts */
};

class FrontPrompt : public ::testing::TestWithParam<PromptCase>
{
};

/* Guards against parts that two requests share and that are read as others. */
TEST_P(FrontPrompt, HasTheIdsOfItsSharedParts)
{
	jj_prompt_t prompt = {};

	jj_deployment_find("objects")->read_prompt(GetParam().text, &prompt);
	ASSERT_EQ(GetParam().ids.size(), prompt.count);
	for (uint32_t i = 0; i < prompt.count; i++)
		EXPECT_EQ(jj_hash_bytes(
			      GetParam().ids[i], strlen(GetParam().ids[i]), 0),
		    prompt.ids[i])
		    << i;
}

INSTANTIATE_TEST_SUITE_P(Values, FrontPrompt,
    ::testing::Values(PromptCase{"None", "", {}},
	PromptCase{"OwnPartOnly", "5c1e07a2:800", {}},
	PromptCase{"Shared", "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
	    {"5c1e07a2", "91bd3f06"}},
	PromptCase{"Spaces", "5c1e07a2:800, 91bd3f06:410,\te4:2",
	    {"5c1e07a2", "91bd3f06"}},
	PromptCase{"WithoutTokens", "a,b:1,c", {"a", "b"}},
	PromptCase{"EmptyParts", ",,", {"", ""}}),
    [](const auto &info) { return std::string(info.param.name); });

/* Guards against more parts than a request has room for. */
TEST(FrontPromptBound, FurtherPartsAreIgnored)
{
	jj_prompt_t prompt = {};
	std::string text;

	for (int i = 0; i < 3 * JJ_PROMPT_PARTS_MAX; i++)
		text += std::to_string(i) + ":10,";
	jj_deployment_find("objects")->read_prompt(text.c_str(), &prompt);
	EXPECT_EQ(JJ_PROMPT_PARTS_MAX, (int)prompt.count);
}

} // namespace
