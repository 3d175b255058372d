/*
 * One VM of the project's own interface, and callers that stay inside no limit,
 * also at the address of operators.
 */
#include "tests/crowd/crowd.h"
#include "tests/system/harness.h"

using namespace harness;
using namespace crowd;

namespace
{

class OwnCrowd : public ::testing::Test
{
      protected:
	std::unique_ptr<fleet_t> fleet;
	const vm_t *vm = nullptr;

	OwnCrowd()
	{
		fleet_options_t options;

		options.domains = 1;
		options.vms = 1;
		options.settings =
		    "[callers]\nconnections = " + std::to_string(CONNECTIONS) +
		    "\nbody_bytes = " + std::to_string(BODY_MAX) + "\n";
		fleet = std::make_unique<fleet_t>(options);
		vm = &fleet->vm(0, 0);
		expect_served("at first");
	}
	static std::string
	address_of(const std::string &url)
	{
		return url.substr(url.find("//") + 2);
	}
	static std::string
	head(const std::string &path, const std::string &more)
	{
		return "POST " + path + " HTTP/1.1\r\nHost: h\r\n" + more +
		    "\r\n";
	}
	void
	expect_served(const std::string &when)
	{
		wait_until("an ordinary caller is served " + when, [this] {
			return vm->complete("ordinary", 2).status == 200;
		});
	}
	void
	expect_alive()
	{
		EXPECT_TRUE(vm->process->is_alive());
		EXPECT_LE(vm->process->status_kb("VmHWM"), MACHINE_KB)
		    << "kB at most";
		EXPECT_LE(vm->process->descriptor_count(),
		    CONNECTIONS + OTHER_DESCRIPTORS);
	}
	void
	withstand(const std::string &url, const std::string &bytes)
	{
		crowd_t crowd(address_of(url), CROWD, {bytes});

		wait_until("the crowd has sent what is taken", [&] {
			crowd.step();
			return crowd.sent() == CROWD ||
			    vm->process->status_kb("VmHWM") > MACHINE_KB;
		});
		expect_served("beside the crowd");
		expect_alive();
		crowd.leave();
		expect_calm();
	}
	void
	expect_calm()
	{
		expect_served("afterwards");
		wait_until("memory is released", [this] {
			return vm->process->status_kb("VmRSS") <= CALM_KB;
		});
		expect_alive();
	}
};

/* Guards against memory that grows with the number of unfinished bodies. */
TEST_F(OwnCrowd, BodiesStayInTheMachinesMemory)
{
	withstand(vm->callers,
	    head("/v1/completions", "Content-Length: 4194304\r\n") +
		std::string(BODY_MAX - 1, 'x'));
}

/* Guards against memory that grows with the number of unfinished bodies. */
TEST_F(OwnCrowd, ChunksStayInTheMachinesMemory)
{
	withstand(vm->callers,
	    head("/services/pallets/x", "Transfer-Encoding: chunked\r\n") +
		in_chunks(BODY_MAX - 1, 65536));
}

/* Guards against a parse tree that is far larger than the body. */
TEST_F(OwnCrowd, ChatOfSmallObjectsStaysInTheMachinesMemory)
{
	std::string body = R"({"model":"narrador","messages":[)";

	while (body.size() < BODY_MAX - 64)
		body += R"({"a":{}},)";
	EXPECT_EQ(400,
	    call("POST", vm->callers + "/v1/chat/completions", body + "{}]}")
		.status);
	expect_calm();
}

/* Guards against a parse tree that is far larger than the body. */
TEST_F(OwnCrowd, BatchOfSmallObjectsStaysInTheMachinesMemory)
{
	std::string body = R"({"input_file_id":"x","metadata":[)";

	while (body.size() < BODY_MAX - 64)
		body += R"({"a":{}},)";
	EXPECT_EQ(422,
	    call("POST", vm->callers + "/v1/batches", body + "{}]}").status);
	expect_calm();
}

/* Guards against uploads that add up while the platform stores nothing. */
TEST_F(OwnCrowd, UploadsStayInTheMachinesMemory)
{
	std::string line =
	    R"({"custom_id":"0","method":"POST","url":"/v1/completions",)"
	    R"("body":{"model":"narrador","prompt":")" +
	    std::string(4000, 'p') + "\"}}\n";
	std::string bytes = head("/v1/files", "Transfer-Encoding: chunked\r\n");
	char size[32];

	(void)snprintf(size, sizeof(size), "%zx\r\n", line.size());
	for (size_t sent = 0; sent < 3 * MIB; sent += line.size())
		bytes += size + line + "\r\n";
	fleet->platform.fault(R"({"outage":"hang"})");

	crowd_t crowd(address_of(vm->callers), CROWD, {bytes});

	for (int i = 0; i < 400; i++)
		crowd.step();
	expect_alive();
	crowd.leave();
	fleet->platform.fault(R"({"outage":"none"})");
	expect_calm();
}

/* Guards against bodies of operators that add up. */
TEST_F(OwnCrowd, OperatorsBodiesStayInTheMachinesMemory)
{
	withstand(vm->operators,
	    head("/v1/config", "Transfer-Encoding: chunked\r\n") +
		in_chunks(MIB - 4096, 65536));
}

/* Guards against callers that use all connections by silence. */
TEST_F(OwnCrowd, SilentConnectionsDoNotShutOutOthers)
{
	crowd_t crowd(address_of(vm->callers), 2 * CROWD, {""});

	crowd.step();
	expect_served("beside the crowd");
	expect_alive();
	crowd.leave();
	expect_calm();
}

} // namespace
