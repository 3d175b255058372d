/**
 * @file ctl_http_test.cc
 * @brief jujubectl's requests whose answers lack their end.
 */
#include <cstdio>
#include <future>
#include <string>

#include "tests/adapters/loopback.h"

extern "C" {
#include "ctl/ctl_batch.h"
}

namespace
{

/** Time limit of each wait in these tests, far above the usual, ms. */
constexpr int LIMIT_MS = 20000;

const std::string STATUS = "HTTP/1.1 200 OK\r\n";
const std::string LENGTH = "Content-Length: 4\r\n";
const std::string CHUNKS = "Transfer-Encoding: chunked\r\n";

/** Sends a request and answers it with @p text, then closes. */
jj_ctl_exit_t
fetch(const std::string &text, bool changes)
{
	UnresponsiveServer server;
	jj_ctl_request_t request = {};
	json_t *answer = nullptr;

	request.method = changes ? "POST" : "GET";
	request.address = server.address.c_str();
	request.path = "/";
	request.timeout_ms = LIMIT_MS;
	auto outcome = std::async(std::launch::async,
	    [&] { return jj_ctl_fetch_json(&request, changes, &answer); });
	if (server.accept_one(LIMIT_MS)) {
		(void)read_until(server.last(), "\r\n\r\n");
		(void)send(
		    server.last(), text.data(), text.size(), MSG_NOSIGNAL);
		(void)shutdown(server.last(), SHUT_RDWR);
	}
	jj_ctl_exit_t exit = outcome.get();
	json_decref(answer);
	return exit;
}

struct AnswerCase {
	const char *name;
	std::string text;
	bool is_whole;
};

class CtlAnswer : public ::testing::TestWithParam<AnswerCase>
{
};

/* Guards against a query that succeeds on an answer without its end. */
TEST_P(CtlAnswer, EndsAQueryOnceItIsWhole)
{
	EXPECT_EQ(GetParam().is_whole ? JJ_CTL_OK : JJ_CTL_UNREACHABLE,
	    fetch(GetParam().text, false));
}

/* Guards against a change that is reported as made by part of an answer. */
TEST_P(CtlAnswer, TellsThatAChangeWasMadeOnceItIsWhole)
{
	EXPECT_EQ(GetParam().is_whole ? JJ_CTL_OK : JJ_CTL_UNKNOWN,
	    fetch(GetParam().text, true));
}

INSTANTIATE_TEST_SUITE_P(Answers, CtlAnswer,
    ::testing::Values(AnswerCase{"Length", STATUS + LENGTH + "\r\nnull", true},
	AnswerCase{"NoBody", "HTTP/1.1 204 No Content\r\n\r\n", true},
	AnswerCase{
	    "Chunks", STATUS + CHUNKS + "\r\n4\r\nnull\r\n0\r\n\r\n", true},
	AnswerCase{"AfterAnInformationalOne",
	    "HTTP/1.1 103 Early Hints\r\n\r\n" + STATUS + LENGTH + "\r\nnull",
	    true},
	AnswerCase{"AfterTheStatusLine", STATUS, false},
	AnswerCase{"InsideTheHead", STATUS + LENGTH, false},
	AnswerCase{"AfterAnInformationalHead",
	    "HTTP/1.1 103 Early Hints\r\n\r\n" + STATUS, false},
	AnswerCase{"InsideTheBody", STATUS + LENGTH + "\r\nnul", false},
	AnswerCase{"NoLength", STATUS + "\r\n", false},
	AnswerCase{"NoLengthAndABody", STATUS + "\r\nnull", false},
	AnswerCase{"NoLastChunk", STATUS + CHUNKS + "\r\n4\r\nnull\r\n", false},
	AnswerCase{"TwoLengths",
	    STATUS + "Content-Length: 9\r\n" + LENGTH + "\r\nnull", false},
	AnswerCase{"LengthAndChunks",
	    STATUS + LENGTH + CHUNKS + "\r\n4\r\nnull\r\n0\r\n\r\n", false},
	AnswerCase{"ChunksOfHttp10",
	    "HTTP/1.0 200 OK\r\n" + CHUNKS + "\r\n4\r\nnull\r\n0\r\n\r\n",
	    false}),
    [](const auto &one) { return std::string(one.param.name); });

/* Guards against a success of a submission whose upload has no file id. */
TEST(CtlSubmit, FailsWithoutAFileId)
{
	const std::string text = STATUS + LENGTH + "\r\nnull";
	UnresponsiveServer server;
	std::string path = ::testing::TempDir() + "items." + server.address;
	char *arguments[] = {path.data(), nullptr};
	jj_ctl_t ctl = {};
	FILE *file = fopen(path.c_str(), "w");

	ASSERT_NE(nullptr, file);
	(void)fputs("{}\n", file);
	(void)fclose(file);
	ctl.callers = server.address.c_str();
	auto outcome = std::async(std::launch::async,
	    [&] { return jj_ctl_job_submit(&ctl, arguments); });
	EXPECT_TRUE(server.accept_one(LIMIT_MS));
	(void)read_until(server.last(), "{}\n");
	(void)send(server.last(), text.data(), text.size(), MSG_NOSIGNAL);
	EXPECT_EQ(JJ_CTL_FAILED, outcome.get());
	(void)unlink(path.c_str());
}

} // namespace
