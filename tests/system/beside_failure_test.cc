/*
 * Batch uploads and online requests at the same time in one VM.
 */
#include "tests/system/harness.h"

using namespace harness;

namespace
{

/* A batch file with this many lines, a few megabytes in all. */
std::string
make_file(int lines)
{
	std::string file;

	for (int i = 0; i < lines; i++)
		file += "{\"custom_id\":\"i" + std::to_string(i) +
		    "\",\"method\":\"POST\",\"url\":\"/v1/completions\","
		    "\"body\":{\"model\":\"narrador\",\"prompt\":\"" +
		    std::string(400, 'x') + "\",\"max_tokens\":1}}\n";
	return file;
}

/*
 * A large batch file is uploaded through a VM that also serves online
 * requests, and the platform does not accept its parts. Guards against online
 * requests that are blocked until the upload ends.
 */
TEST(BesideFailure, UploadLeavesRoomForOnlineRequests)
{
	fleet_options_t options;

	options.domains = 1;
	options.engines = 2;
	fleet_t fleet(options);
	const vm_t &vm = fleet.vm(0, 0);
	std::string file = make_file(15000);
	std::future<reply_t> upload;

	wait_until("online requests are served",
	    [&] { return vm.complete("before", 2).status == 200; });
	fleet.platform.fault("{\"outage\":\"hang\"}");
	upload = call_later("POST", vm.callers + "/v1/files", file);
	for (int i = 0; i < 30; i++) {
		std::string prompt = "beside " + std::to_string(i);
		EXPECT_TRUE(is_answer_to(vm.complete(prompt, 2), prompt, 2));
	}
	EXPECT_EQ(upload.wait_for(std::chrono::seconds(0)),
	    std::future_status::timeout)
	    << "the upload ended before the online requests did";
	fleet.platform.fault("{\"outage\":\"none\"}");
	reply_t reply = upload.get();
	EXPECT_EQ(reply.status, 200) << reply.body;
	EXPECT_EQ(json_view_t(reply.body).number("items"), 15000);
}

} // namespace
