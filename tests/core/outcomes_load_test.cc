/**
 * @file outcomes_load_test.cc
 * @brief Servers that fail their requests at once, under load.
 *
 * A server that fails at once is always empty, so it attracts requests.
 */
#include "tests/core/load_world.h"

namespace
{

constexpr int FAILING_SECONDS = 5;

LoadShape
make_shape(int vms, int servers)
{
	LoadShape shape;

	shape.vms = vms;
	shape.servers = servers;
	shape.retries = 0;
	shape.attempts = 1;
	shape.adjust = [](jj_gateway_settings_t *settings) {
		settings->avoid_failing = true;
	};
	return shape;
}

struct Result {
	double unserved = 0; /**< share of the requests while servers fail */
	double busiest = 0; /**< arrivals there in terms of the mean */
	int avoided = 0; /**< decisions of all VMs */
	int readmitted = 0;
	size_t messages = 0;
	std::string table;
};

/** Some servers fail a share of their requests for some seconds. */
Result
run(const LoadShape &shape, int failing, double share, double load, int seed)
{
	LoadWorld world(shape, (uint64_t)seed);
	Result result;
	LoadSecond sum;
	double mean = 0;

	world.load(3000, load * shape.limit());
	for (auto &engine : world.engines)
		engine.second.arrivals = 0;
	for (int i = 1; i <= failing; i++)
		world.engines["s" + std::to_string(i)].failing = share;
	world.load(1000 * FAILING_SECONDS, load * shape.limit());
	for (auto &engine : world.engines)
		mean += (double)engine.second.arrivals / shape.servers;
	for (auto &engine : world.engines) {
		if (engine.second.failing > 0)
			result.busiest = std::max(
			    result.busiest, engine.second.arrivals / mean);
		engine.second.failing = 0;
	}
	world.load(6000, load * shape.limit());
	world.load(1500, 0);
	sum = world.sum(3, 3 + FAILING_SECONDS);
	result.unserved =
	    1 - (double)(sum.in_target + sum.again + sum.late) / sum.asked;
	for (auto &vm : world.vms) {
		result.avoided += vm.second.events["server_avoided"];
		result.readmitted += vm.second.events["server_readmitted"];
		result.messages += vm.second.sent[JJ_MESSAGE_SERVER_OUTCOMES];
	}
	result.table = world.table();
	return result;
}

struct LoadCase {
	const char *name;
	int vms;
	int servers;
	int failing;
	double share;
	double load;
	double max_unserved;
	double max_arrivals;
	int seeds;
	uint32_t attempts;
};

class OutcomesLoad : public ::testing::TestWithParam<LoadCase>
{
};

/*
 * A server that answers 500 at once got 4.5 times the mean arrivals. At a load
 * of 0.9 the other servers have 0.98 of their limit, and single seeds refuse up
 * to 0.03.
 */
TEST_P(OutcomesLoad, FailingServersAreAvoided)
{
	const LoadCase &row = GetParam();
	double unserved = 0;
	double busiest = 0;
	double messages = 0;

	for (int seed = 1; seed <= row.seeds; seed++) {
		LoadShape shape = make_shape(row.vms, row.servers);

		shape.attempts = row.attempts;
		Result result =
		    run(shape, row.failing, row.share, row.load, seed);

		unserved += result.unserved / row.seeds;
		busiest += result.busiest / row.seeds;
		EXPECT_EQ(result.avoided, result.readmitted) << result.table;
		messages += (double)result.messages / row.seeds;
	}
	printf("unserved %.4f busiest %.2f messages %.0f\n", unserved, busiest,
	    messages);
	EXPECT_LE(unserved, row.max_unserved);
	EXPECT_LE(busiest, row.max_arrivals);
}

INSTANTIATE_TEST_SUITE_P(Fleets, OutcomesLoad,
    ::testing::Values(LoadCase{"Calm", 12, 24, 2, 1, 0.6, 0.01, 0.3, 6, 1},
	LoadCase{"Busy", 12, 24, 2, 1, 0.9, 0.01, 0.3, 24, 1},
	LoadCase{"TwoAttempts", 12, 24, 2, 1, 0.6, 0.001, 0.3, 6, 2},
	LoadCase{"PartTwoAttempts", 12, 24, 2, 0.45, 0.6, 0.001, 0.5, 6, 2},
	LoadCase{"PartCalm", 12, 24, 2, 0.45, 0.6, 0.01, 0.5, 6, 1},
	LoadCase{"PartBusy", 12, 24, 2, 0.45, 0.9, 0.01, 0.5, 24, 1},
	LoadCase{"ManyVms", 60, 72, 6, 1, 0.6, 0.01, 0.3, 2, 1},
	LoadCase{"ManyVmsBusy", 60, 72, 6, 1, 0.9, 0.01, 0.3, 2, 1}),
    [](const auto &info) { return std::string(info.param.name); });

/** A world in which reports of outcomes are lost, late or duplicated. */
class Disturbed : public LoadWorld
{
      public:
	using LoadWorld::LoadWorld;
	bool loses_reports = false;
	bool delays_reports = false; /**< by up to 300 ms, some twice */
	bool is_split = false; /**< the first half of the VMs and the second */
	using GatewayFleet::create;
	using GatewayFleet::platform;
	using GatewayFleet::see;

	void
	deliver() override
	{
		std::deque<std::pair<std::string, jj_action_t *>> all;

		all.swap(messages);
		for (auto &message : all) {
			jj_message_t *of = message.second->body.send.message;
			bool is_report = of->kind == JJ_MESSAGE_SERVER_OUTCOMES;

			if ((is_split &&
				half(message.first) !=
				    half(message.second->body.send.to.text)) ||
			    (loses_reports && is_report)) {
				jj_action_free(message.second);
			} else if (delays_reports && is_report) {
				delay(message.first, of,
				    message.second->body.send.to);
				if (random() % 2 == 0)
					delay(message.first, of,
					    message.second->body.send.to);
				jj_action_free(message.second);
			} else {
				messages.push_back(message);
			}
		}
		while (!late.empty() && late.begin()->first <= now) {
			messages.push_back(late.begin()->second);
			late.erase(late.begin());
		}
		GatewayFleet::deliver();
	}
	/** How many VMs avoid a server. */
	int
	avoiding(const char *id)
	{
		int avoiding = 0;

		for (auto &vm : vms)
			avoiding += jj_slots_find(
			    jj_gateway_slots(vm.second.gateway), id)
					->avoided;
		return avoiding;
	}
	~Disturbed() override
	{
		for (auto &message : late)
			jj_action_free(message.second.second);
	}

      private:
	std::multimap<jj_ms_t, std::pair<std::string, jj_action_t *>> late;

	bool
	half(const std::string &vm) const
	{
		return std::stoi(vm.substr(vm.find('-') + 1)) <= shape.vms / 2;
	}
	void
	delay(const std::string &from, const jj_message_t *message,
	    const jj_name_t &to)
	{
		jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);
		jj_action_t *action;

		*jj_actions_add_message(&out, &to, message->kind) = *message;
		action = TAILQ_FIRST(&out);
		late.insert({now + (jj_ms_t)(random() % 300), {from, action}});
	}
};

struct DisturbedCase {
	const char *name;
	void (*disturb)(Disturbed &);
	double max_unserved; /**< while two servers fail for 5 s */
	int min_avoiding; /**< VMs that avoid them after 2 s */
	jj_ms_t readmitted_ms;
};

class OutcomesDisturbed : public ::testing::TestWithParam<DisturbedCase>
{
};

/* What a VM knows is lost, late or doubled, or does not reach the others. */
TEST_P(OutcomesDisturbed, FailingServersAreAvoidedAndReadmitted)
{
	LoadShape shape = make_shape(12, 24);
	Disturbed world(shape, 1);
	LoadSecond sum;

	world.load(3000, 0.6 * shape.limit());
	world.engines["s1"].failing = world.engines["s2"].failing = 1;
	GetParam().disturb(world);
	world.load(2000, 0.6 * shape.limit());
	EXPECT_GE(world.avoiding("s1"), GetParam().min_avoiding);
	EXPECT_GE(world.avoiding("s2"), GetParam().min_avoiding);
	world.load(3000, 0.6 * shape.limit());
	world.engines["s1"].failing = world.engines["s2"].failing = 0;
	world.engines["s1"].arrivals = 0;
	world.load(GetParam().readmitted_ms, 0.6 * shape.limit());
	EXPECT_EQ(0, world.avoiding("s1"));
	EXPECT_EQ(0, world.avoiding("s2"));
	EXPECT_GT(world.engines["s1"].arrivals, 10);
	sum = world.sum(3, 8);
	EXPECT_LE((double)sum.lost / sum.asked, GetParam().max_unserved)
	    << world.table();
}

INSTANTIATE_TEST_SUITE_P(Faults, OutcomesDisturbed,
    ::testing::Values(DisturbedCase{"ReportsAreLost",
			  [](Disturbed &world) { world.loses_reports = true; },
			  0.10, 6, 16000},
	DisturbedCase{"ReportsAreLateDoubledAndOutOfOrder",
	    [](Disturbed &world) { world.delays_reports = true; }, 0.05, 6,
	    16000},
	DisturbedCase{"NetworkPartition",
	    [](Disturbed &world) { world.is_split = true; }, 0.03, 12, 8000},
	DisturbedCase{"VmsThatKnowAreNotHeardAnyMore",
	    [](Disturbed &world) {
		    world.load(300, 0.6 * world.shape.limit());
		    for (int i = 1; i <= 4; i++)
			    world.vms["verona-" + std::to_string(i)]
				.loses_sent = true;
	    },
	    0.03, 12, 8000}),
    [](const auto &info) { return std::string(info.param.name); });

/* No state of an earlier process of a VM is needed or used. */
TEST(OutcomesLoadFailure, AllVmsRestart)
{
	LoadShape shape = make_shape(12, 24);
	Disturbed world(shape, 1);

	world.load(3000, 0.6 * shape.limit());
	world.engines["s1"].failing = 1;
	world.load(1000, 0.6 * shape.limit());
	EXPECT_EQ(12, world.avoiding("s1"));
	for (int i = 1; i <= shape.vms; i++) {
		std::string name = "verona-" + std::to_string(i);

		jj_gateway_destroy(world.vms[name].gateway);
		world.vms[name] = FleetVm();
		world.create(name, (jj_incarnation_t)(100 + i));
	}
	for (auto &engine : world.engines)
		engine.second.runs.clear();
	world.callers.clear();
	world.load(50, 0);
	EXPECT_EQ(0, world.avoiding("s1"));
	world.load(3000, 0.6 * shape.limit());
	EXPECT_EQ(12, world.avoiding("s1"));
}

/* A new process under an old id starts without its predecessor's failures. */
TEST(OutcomesLoadFailure, ServerRestartsUnderItsOldId)
{
	LoadShape shape = make_shape(6, 12);
	Disturbed world(shape, 1);

	world.load(3000, 0.6 * shape.limit());
	world.engines["s1"].failing = 1;
	world.load(1000, 0.6 * shape.limit());
	EXPECT_EQ(6, world.avoiding("s1"));
	world.engines["s1"].failing = 0;
	world.engines["s1"].arrivals = 0;
	for (auto &vm : world.vms)
		world.see(vm.first, 2, "servers/s1", "verona ready 5");
	world.load(500, 0.6 * shape.limit());
	EXPECT_EQ(0, world.avoiding("s1"));
	EXPECT_GE(world.engines["s1"].arrivals, 2);
}

/* A VM without this part gets no better, and does not harm the others. */
TEST(OutcomesLoadFailure, AVmWithoutThisPart)
{
	LoadShape shape = make_shape(12, 24);
	LoadSecond sum;

	shape.adjust = [](jj_gateway_settings_t *settings) {
		settings->avoid_failing =
		    strcmp(settings->name.text, "verona-1") != 0;
	};
	Disturbed world(shape, 1);
	world.load(3000, 0.6 * shape.limit());
	world.engines["s1"].failing = world.engines["s2"].failing = 1;
	world.load(5000, 0.6 * shape.limit());
	EXPECT_EQ(11, world.avoiding("s1"));
	sum = world.sum(3, 8);
	EXPECT_LE((double)sum.lost / sum.asked, 1.0 / 12);
}

class OutcomesBadRequests : public ::testing::TestWithParam<int>
{
};

/* Requests that fail at each server were taken for failures of servers. */
TEST_P(OutcomesBadRequests, NoServerIsAvoided)
{
	LoadShape shape = make_shape(12, 24);
	Disturbed world(shape, 1);
	int avoided = 0;

	world.load(3000, 0.6 * shape.limit());
	world.bad_requests = GetParam() / 100.0;
	for (int i = 0; i < 40; i++) {
		world.load(250, 0.6 * shape.limit());
		for (auto &engine : world.engines)
			avoided += world.avoiding(engine.first.c_str());
	}
	EXPECT_EQ(0, avoided) << "of " << 40 * 12 * 24;
}

INSTANTIATE_TEST_SUITE_P(Percent, OutcomesBadRequests,
    ::testing::Values(1, 5, 20, 50),
    [](const auto &info) { return std::to_string(info.param); });

/* When all servers fail, none of them is at fault alone. */
TEST(OutcomesLoadFailure, AllServersFail)
{
	LoadWorld world(make_shape(12, 24), 1);

	world.load(3000, 0.6 * world.shape.limit());
	for (auto &engine : world.engines)
		engine.second.failing = 1;
	world.load(4000, 0.6 * world.shape.limit());
	for (auto &vm : world.vms) {
		const jj_slot_server_t *server =
		    jj_slots_first(jj_gateway_slots(vm.second.gateway));

		for (; server != nullptr; server = TAILQ_NEXT(server, link))
			EXPECT_FALSE(server->avoided)
			    << vm.first << " " << server->info.id.text;
	}
}

} // namespace
