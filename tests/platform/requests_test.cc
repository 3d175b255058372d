/**
 * @file requests_test.cc
 * @brief A whole entry VM that receives heads and bodies of all kinds.
 */
#include <string>

#include <gtest/gtest.h>

#include "tests/platform/entry_vm.h"

namespace
{

struct RequestCase {
	const char *name;
	const char *method;
	const char *path;
	const char *headers;
	const char *body;
	int status;
};

#define JOB(id)                                             \
	"{\"items\":[{\"id\":\"" id "\",\"path\":\"/b/1\"," \
	"\"headers\":{\"X-A\":\"b\"},\"body\":\"eA==\",\"tokens\":5}]}"

const RequestCase request_cases[] = {
    {"PathNotUtf8", "POST", "/r/caf%E9", "", "", 200},
    {"PathWithFragment", "GET", "/r/x#y", "", "", 400},
    {"DeadlineBeyond", "GET", "/r/1",
	"X-Jujubeswitch-Deadline-Ms: 9223372036854775807\r\n", "", 200},
    {"DeadlineNegative", "GET", "/r/2", "X-Jujubeswitch-Deadline-Ms: -5\r\n",
	"", 200},
    {"DeadlineNoNumber", "GET", "/r/3", "X-Jujubeswitch-Deadline-Ms: \xff\r\n",
	"", 200},
    {"LastEventBeyond", "GET", "/r/4",
	"Last-Event-Id: 99999999999999999999\r\n", "", 400},
    {"LastEventNegative", "GET", "/r/5", "Last-Event-Id: -2\r\n", "", 400},
    {"LastEventNoNumber", "GET", "/r/6", "Last-Event-Id: \xff\r\n", "", 400},
    {"ValueNotUtf8", "GET", "/r/7", "X-A: caf\xe9\r\n", "", 200},
    {"JobPathNotUtf8", "POST", "/b/caf%E9", "", JOB("i"), 400},
    {"JobPathNul", "POST", "/b/a%00b", "", JOB("i"), 202},
    {"JobNoJson", "POST", "/b/x", "", "{", 400},
    {"JobItemNotUtf8", "POST", "/b/x", "", JOB("\xff"), 400},
    {"JobItemNul", "POST", "/b/x", "", JOB("\\u0000"), 400},
    {"ReadBeyond", "GET", "/api/lots/none?after=99999999999999999999",
	"X-Jujubeswitch-Wait-Ms: 0\r\n", "", 404},
    {"ReadWaitNegative", "GET", "/api/lots/none?after=-1",
	"X-Jujubeswitch-Wait-Ms: -9223372036854775808\r\n", "", 404},
    {"ReadOfAnotherObject", "GET", "/api/lots/x%3Fwatch=1", "", "", 400},
    {"EndOfAnotherObject", "DELETE", "/api/lots/x%3Frevision=1", "", "", 400},
    {"ItemNotUtf8", "GET", "/api/items/none?id=%FF", "", "", 404},
};

class Requests : public EntryVm
{
};

/* Guards against bytes of a caller that end the VM or are sent on wrongly. */
TEST_F(Requests, AreServedOrRefusedAndTheVmLives)
{
	int number = 0;

	for (const RequestCase &row : request_cases) {
		std::string id = "r-" + std::to_string(++number);

		EXPECT_EQ(row.status,
		    send(row.method, row.path,
			key_header("key-of-fish") +
			    "X-Jujubeswitch-Request-Id: " + id + "\r\n" +
			    row.headers,
			row.body))
		    << row.name;
		EXPECT_EQ(row.status == 200, !find_received(id + "\n").empty())
		    << row.name;
	}
	EXPECT_EQ(200,
	    send("GET", "/r/x",
		key_header("key-of-fish") +
		    "X-Jujubeswitch-Request-Id: last\r\n"));
}

} // namespace
