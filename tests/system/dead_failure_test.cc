/*
 * Backend servers that are down before a request arrives: the request must not
 * be counted as the cause.
 */
#include "tests/system/harness.h"

using namespace harness;

namespace
{

struct dead_row_t {
	const char *name;
	size_t dead; /* engines killed, of three */
};

class DeadFailure : public ::testing::TestWithParam<dead_row_t>
{
};

/*
 * Engines fail before a healthy request arrives, and its attempts meet one
 * refused connection after the other. Guards against counting each of these as
 * a crash caused by the request, which would quarantine it for an hour.
 */
TEST_P(DeadFailure, RequestThatFindsServersDeadIsNotBlamed)
{
	fleet_options_t options;

	options.domains = 1;
	options.vms = 2;
	options.engines = 3;
	fleet_t fleet(options);
	for (const std::unique_ptr<vm_t> &vm : fleet.vms)
		EXPECT_EQ(vm->complete("before", 2).status, 200);
	for (size_t i = 0; i < GetParam().dead; i++)
		fleet.engines[i].process->kill();
	for (int i = 0; i < 6; i++) {
		reply_t reply = fleet.vms[i % 2]->complete("healthy", 2);
		EXPECT_NE(reply.text("code"), "quarantined") << reply.body;
		if (GetParam().dead < fleet.engines.size()) {
			EXPECT_EQ(reply.status, 200) << reply.body;
		}
	}
	for (size_t i = 0; i < GetParam().dead; i++)
		fleet.engines[i].start();
	for (const std::unique_ptr<vm_t> &vm : fleet.vms) {
		wait_until(vm->name + " serves again",
		    [&] { return vm->complete("healthy", 2).status == 200; });
	}
}

INSTANTIATE_TEST_SUITE_P(Engines, DeadFailure,
    ::testing::Values(dead_row_t{"two_of_three", 2}, dead_row_t{"all", 3}),
    [](const ::testing::TestParamInfo<dead_row_t> &info) {
	    return std::string(info.param.name);
    });

} // namespace
