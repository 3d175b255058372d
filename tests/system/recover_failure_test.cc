/*
 * VMs of the users' platform that are all killed at once and start again, while
 * entries of other writers stand in the store.
 */
#include "tests/platform/fake_store.h"
#include "tests/system/entry_vms.h"

using namespace harness;

namespace
{

constexpr const char *STAMP = "X-Jujubeswitch-Response-Stamp";
constexpr const char *NOT_RUN = "X-Jujubeswitch-Not-Executed";
constexpr int VMS = 3;
/* Time for service to come back after a restart of all VMs. */
constexpr long RECOVERY_MS = 12000;
constexpr int CALLS_PER_VM = 40;
/* The kind of each route, and to how many servers a request may be sent. */
const std::pair<const char *, int> ROUTES[] = {
    {"safe", 2}, {"non_idempotent", 1}};

/* A process that answers each request alike. */
class answering_t
{
      public:
	std::string address;

	answering_t(std::string at, int status, const char *proof)
	    : address(std::move(at)), status(status), proof(proof)
	{
		jj_http_limits_t limits = {
		    address.c_str(), 2, 200, 65536, 1 << 20, 65536, 60000};
		jj_http_port_t port = {
		    this, on_call, nullptr, nullptr, nullptr, nullptr, nullptr};

		server = jj_http_server_create(&limits, &port);
		EXPECT_NE(nullptr, server);
	}
	~answering_t()
	{
		jj_http_server_destroy(server);
	}
	answering_t(const answering_t &) = delete;

      private:
	int status;
	const char *proof; /* a header, or NULL */
	jj_http_server_t *server;

	static void
	on_call(void *ctx, jj_http_call_t *call)
	{
		auto *self = static_cast<answering_t *>(ctx);
		const char *id =
		    jj_http_call_header(call, "X-Jujubeswitch-Request-Id");
		jj_http_answer_t head = {self->status, "text/event-stream",
		    {{"X-Jujubeswitch-Request-Id", id}, {self->proof, "1"}},
		    nullptr, 0};

		jj_http_call_answer(call, &head, "id: 0\ndata: a\n\n", 15);
	}
};

struct recover_case_t {
	const char *name;
	const char *kind; /* of the entry of another writer */
	const char *spec; /* "": of servers whose address answers `status` */
	int status;
	const char *proof = nullptr; /* a header of that answer */
};

class RecoverFailure : public ::testing::TestWithParam<recover_case_t>
{
      protected:
	ports_t ports;
	FakeStore store;
	std::vector<std::unique_ptr<answering_t>> servers;
	entry_vms_t vms{"recover"};

	RecoverFailure()
	{
		std::string routes;

		for (const auto &[kind, attempts] : ROUTES)
			routes += std::string(routes.empty() ? "" : ",") +
			    R"({"host":"h","service":"s","timeoutMs":5000,)"
			    R"("maxAttempts":)" +
			    std::to_string(attempts) + R"(,"name":")" + kind +
			    R"(","kind":")" + kind + R"(","pathPrefix":"/)" +
			    kind + R"(/"})";
		store.put("config/main",
		    R"({"version":1,"routes":[)" + routes + "]}");
		for (int i = 0; i < VMS; i++) {
			add_server("i-" + std::to_string(i), i, 200, STAMP);
			vms.add(&ports, store.address, "d" + std::to_string(i),
			    1000, "");
		}
	}
	void
	add_server(const std::string &id, int domain, int status,
	    const char *proof = nullptr)
	{
		servers.push_back(std::make_unique<answering_t>(
		    ports.choose_address(), status, proof));
		store.put("servers/" + id,
		    R"({"state":"ready","slots":8,"service":"s","zone":"d)" +
			std::to_string(domain) + R"(","address":")" +
			servers.back()->address + "\"}");
	}
	long
	send(int vm, const char *route)
	{
		static std::atomic<int> sent{0};

		return call("GET",
		    "http://" + vms.addresses[vm] + "/" + route + "/x", "",
		    {"Host: h",
			"X-Jujubeswitch-Request-Id: r" +
			    std::to_string(++sent)})
		    .status;
	}
	bool
	wait_until_served()
	{
		return wait_until(
		    "each VM serves",
		    [this] {
			    for (int vm = 0; vm < VMS; vm++)
				    if (send(vm, "safe") != 200)
					    return false;
			    return true;
		    },
		    RECOVERY_MS);
	}
	void
	put_entries()
	{
		const recover_case_t &row = GetParam();

		if (row.spec[0] != '\0') {
			store.put(std::string(row.kind) + "/another", row.spec);
			return;
		}
		for (int i = 0; i < VMS; i++)
			add_server(
			    "a-" + std::to_string(i), i, row.status, row.proof);
	}
};

/* Guards against entries of other writers that keep service from returning. */
TEST_P(RecoverFailure, AllVmsServeAgainBesideEntriesOfOthers)
{
	vms.start_all();
	ASSERT_TRUE(wait_until_served());
	put_entries();
	vms.kill_all();
	vms.start_all();
	ASSERT_TRUE(wait_until_served());
	for (const auto &[route, attempts] : ROUTES) {
		std::map<long, int> statuses;
		long refusal =
		    GetParam().proof == NOT_RUN && attempts == 1 ? 503 : 502;

		for (int i = 0; i < CALLS_PER_VM; i++)
			for (int vm = 0; vm < VMS; vm++)
				statuses[send(vm, route)]++;
		/* Which of two processes answers is not known in advance. */
		EXPECT_GE(4 * statuses[200], 3 * CALLS_PER_VM * VMS) << route;
		for (const auto &status : statuses)
			EXPECT_TRUE(status.first == 200 ||
			    status.first == 502 || status.first == refusal)
			    << route << ": " << status.second << " times "
			    << status.first;
	}
}

INSTANTIATE_TEST_SUITE_P(Entries, RecoverFailure,
    ::testing::Values(
	recover_case_t{"Infinite", "servers", R"({"slots":Infinity})", 0},
	recover_case_t{"NoNumber", "servers", R"({"slots":NaN})", 0},
	recover_case_t{"TabInText", "servers", "{\"zone\":\"a\tb\"}", 0},
	recover_case_t{"TabInConfig", "config", "{\"zone\":\"a\tb\"}", 0},
	recover_case_t{"Address400", "servers", "", 400},
	recover_case_t{"Address404", "servers", "", 404},
	recover_case_t{"Address301", "servers", "", 301},
	recover_case_t{"Address500", "servers", "", 500},
	recover_case_t{"Address503", "servers", "", 503},
	recover_case_t{"Address200", "servers", "", 200},
	recover_case_t{"RefusesAll", "servers", "", 503, NOT_RUN}),
    [](const auto &info) { return std::string(info.param.name); });

} // namespace
