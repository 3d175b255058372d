/**
 * @file gateway_versions_restart_test.cc
 * @brief Streams that callers take up after all VMs, or most of them, were
 * killed at once.
 */
#include <random>

#include "tests/core/gateway_versions_fleet.h"

namespace
{

/** Number of series; more are played by hand. */
constexpr unsigned RESTART_SEEDS = 40;

/** The setting's default: VMs that are cut off are not forgotten. */
void
remember_vms(jj_gateway_settings_t *settings)
{
	settings->member.forget_ms = 3600000;
}

class VersionsRestart : public GatewayVersionsFleet
{
      protected:
	struct Stream {
		std::string id; /**< of the request that began it */
		char version;
		uint64_t content;
		jj_ms_t until_ms; /**< until then its caller waits */
	};
	std::vector<Stream> streams;

	explicit VersionsRestart(int count = 3)
	    : GatewayVersionsFleet(count, remember_vms)
	{
		budget_ms = 15000;
	}
	std::string
	vm(int number) const
	{
		return "verona-" + std::to_string(number);
	}
	/** The watches of VMs that reach the platform return nothing new. */
	void
	confirm()
	{
		for (auto &vm : vms)
			if (vm.second.cut == JJ_PLATFORM_OK)
				confirm(vm.first);
	}
	void
	confirm(const std::string &name)
	{
		jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);
		jj_platform_result_t result = {};

		result.owner = JJ_OWNER_GATEWAY;
		result.token = WATCH_SERVERS;
		result.op = JJ_PLATFORM_WATCH;
		result.version = platform.revision;
		jj_gateway_take_platform(vms[name].gateway, &result, now, &out);
		carry_out(name, &out);
	}
	/** Time passes while the platform answers. */
	void
	wait(jj_ms_t ms)
	{
		for (jj_ms_t until = now + ms; now < until;) {
			confirm();
			run(until - now < 500 ? until - now : 500);
		}
	}
	void
	list_all(char version)
	{
		for (char number : {'1', '2', '3'})
			list((std::string(1, version) + number).c_str());
	}
	void
	unlist_all(char version)
	{
		for (char number : {'1', '2', '3'})
			unlist((std::string(1, version) + number).c_str());
	}
	void
	begin_streams(int each)
	{
		uint64_t request;
		uint64_t content;

		for (int i = 1; i <= count; i++)
			for (int k = 0; k < each; k++) {
				content = 7000 + last;
				request = begin_stream(vm(i), content);
				streams.push_back({id_of(request),
				    attempts[request].server[0], content,
				    now + budget_ms});
			}
	}
	/** Begins a stream of that version, of which no other VM knows yet. */
	uint64_t
	begin_at(const std::string &name, char version, uint64_t content = 0)
	{
		for (int i = 0; i < 50; i++) {
			uint64_t request = begin(name, "/again/s", content);

			if (attempts.count(request) == 0)
				continue;
			if (attempts[request].server[0] == version) {
				report(request, JJ_BACKEND_FIRST);
				return request;
			}
			report(request, JJ_BACKEND_DONE);
		}
		ADD_FAILURE() << "no server of " << version;
		return 0;
	}
	/** All VMs but the last @p spared ones. */
	void
	kill_all(jj_ms_t down_ms, int spared = 0)
	{
		for (int i = 1; i <= count - spared; i++)
			kill(vm(i));
		if (down_ms > 0)
			wait(down_ms);
		for (int i = 1; i <= count - spared; i++)
			start(vm(i));
	}
	/** Callers that still wait come to all VMs. */
	void
	take_up_all(const char *when)
	{
		for (const Stream &stream : streams)
			for (int i = 1; i <= count; i++)
				for (bool is_named : {true, false})
					take_up_one(
					    stream, vm(i), is_named, when);
	}
	bool
	take_up_one(const Stream &stream, const std::string &name,
	    bool is_named, const char *when)
	{
		char version;

		if (now >= stream.until_ms || vms.count(name) == 0)
			return false;
		confirm();
		version = take_up(
		    name, is_named ? stream.id : "", stream.content, 200);
		EXPECT_TRUE(version == '-' || version == stream.version)
		    << when << ", " << stream.id << " of " << stream.version
		    << " at " << name << (is_named ? "" : ", not named") << ": "
		    << version << " at " << now;
		return version == stream.version;
	}
};

/* Guards against streams joined after a kill of all VMs in a mixed fleet. */
TEST_F(VersionsRestart, OfTwoVersionsNothingIsJoined)
{
	for (jj_ms_t after_ms : {200, 1000, 3000}) {
		streams.clear();
		begin_streams(2);
		kill_all(500);
		wait(after_ms);
		take_up_all("both are in service");
		wait(5000);
	}
}

/* Guards against streams that go on at the next version after a kill. */
TEST_F(VersionsRestart, WithTheOldVersionJustGoneNothingIsJoined)
{
	for (bool is_down : {false, true})
		for (jj_ms_t after_ms : {200, 2000, 8000}) {
			streams.clear();
			begin_streams(1);
			if (!is_down)
				unlist_all('a');
			for (int i = 1; i <= count; i++)
				kill(vm(i));
			if (is_down)
				unlist_all('a');
			run(300);
			for (int i = 1; i <= count; i++)
				start(vm(i));
			wait(after_ms);
			take_up_all("the old version is gone");
			list_all('a');
			wait(1000);
		}
}

/* Guards against streams joined after two kills of all VMs. */
TEST_F(VersionsRestart, AfterTwoKillsNothingIsJoined)
{
	begin_streams(1);
	unlist_all('a');
	kill_all(300);
	wait(6000);
	begin_streams(1);
	take_up_all("once");
	kill_all(300);
	wait(11000);
	take_up_all("twice");
	wait(4000);
	take_up_all("later");
}

/* Guards against a version chosen by a list that is some seconds old. */
TEST_F(VersionsRestart, AnOldListIsNoEvidenceWhereOthersSeeAnotherVersion)
{
	jj_ms_t cut_at;

	unlist_all('b');
	wait(40000);
	vms[vm(3)].cut = JJ_PLATFORM_UNKNOWN;
	cut_at = now;
	list_all('b');
	unlist_all('a');
	for (int k = 0; k < 4; k++) {
		uint64_t request = begin_at(vm(1), 'b');

		streams.push_back(
		    {id_of(request), 'b', request, now + budget_ms});
	}
	kill_all(0, 1);
	run(300);
	for (const Stream &stream : streams)
		EXPECT_EQ('-', take_up(vm(3), stream.id, stream.content))
		    << now - cut_at << " ms after the last list";
}

/* Guards against a version chosen by the only VM that is left. */
TEST_F(VersionsRestart, AVmThatIsLeftAloneGoesOnWithNoUnknownStream)
{
	uint64_t request;

	unlist_all('b');
	wait(40000);
	vms[vm(3)].cut = JJ_PLATFORM_UNKNOWN;
	list_all('b');
	unlist_all('a');
	request = begin_at(vm(1), 'b');
	kill(vm(1));
	kill(vm(2));
	for (int i = 0; i < 5; i++) {
		run(400);
		EXPECT_EQ('-', take_up(vm(3), id_of(request), request));
	}
}

/* Guards against streams that last longer than the versions are known. */
TEST_F(VersionsRestart, LongStreamsAreNotTakenForOnesOfTheNewVersion)
{
	routes.back().timeout_ms = 60000;
	for (int i = 1; i <= count; i++)
		see_config(vm(i), 9);
	budget_ms = 60000;
	begin_streams(1);
	unlist_all('a');
	kill_all(500);
	wait(25000);
	take_up_all("25 s later");
	wait(32000);
	confirm();
	EXPECT_EQ('b', take_up(vm(1), "lost"));
}

/* Guards against the same where callers resume again and again. */
TEST_F(VersionsRestart, StreamsOfPatientCallersAreNotTakenForNewOnes)
{
	budget_ms = 60000;
	begin_streams(1);
	unlist_all('a');
	kill_all(500);
	wait(3000);
	for (int i = 1; i <= count; i++)
		report(begin_at(vm(i), 'b'), JJ_BACKEND_DONE);
	wait(22000);
	take_up_all("25 s later");
}

/* Guards against a stream taken for a newer one of the same content. */
TEST_F(VersionsRestart, ANewerStreamWithTheSameContentIsNotTakenForIt)
{
	unlist_all('b');
	begin_streams(2);
	kill_all(500);
	run(1000);
	list_all('b');
	unlist_all('a');
	wait(3000);
	for (const Stream &stream : streams) {
		uint64_t request = begin_stream(vm(1), stream.content);

		ASSERT_EQ('b', attempts[request].server[0]);
		report(request, JJ_BACKEND_DONE);
	}
	take_up_all("there is a newer stream");
	wait(8000);
	take_up_all("later");
}

/* Guards against the same where only the VMs that knew it are lost. */
TEST_F(VersionsRestart, NorIfTheVmsThatKnewItAreGone)
{
	uint64_t request;

	unlist_all('b');
	wait(30000);
	request = begin(vm(1), "/again/s", 77);
	ASSERT_EQ('a', attempts[request].server[0]);
	report(request, JJ_BACKEND_FIRST);
	kill(vm(1));
	list_all('b');
	unlist_all('a');
	wait(4000);
	report(begin_stream(vm(2), 77), JJ_BACKEND_DONE);
	for (int i = 2; i <= 3; i++)
		EXPECT_EQ('-', take_up(vm(i), "", 77));
}

/* Guards against callers refused on calm days as they name no request. */
TEST_F(VersionsRestart, ContentTellsWhenNothingWasLost)
{
	wait(25000);
	for (int i = 0; i < 10; i++) {
		uint64_t content = 900 + i;
		uint64_t request = begin_stream(vm(1 + i % 3), content);
		char began = attempts[request].server[0];

		report(request, JJ_BACKEND_BROKEN);
		for (int k = 1; k <= 3; k++)
			EXPECT_EQ(began, take_up(vm(k), "", content));
	}
}

/* Guards against a cut-off VM taken for one that begins no streams. */
TEST_F(VersionsRestart, AVmThatIsCutOffForLongMayStillBeginStreams)
{
	uint64_t request;

	vms[vm(1)].loses_messages = vms[vm(1)].loses_sent = true;
	wait(30000);
	request = begin_at(vm(1), 'a', 77);
	report(request, JJ_BACKEND_BROKEN);
	report(begin_at(vm(2), 'b', 77), JJ_BACKEND_DONE);
	for (int i = 2; i <= 3; i++)
		EXPECT_EQ('-', take_up(vm(i), "", 77));
}

/** Six VMs, of which one relays the list of servers to the others. */
class VersionsRestartRelay : public VersionsRestart
{
      protected:
	VersionsRestartRelay() : VersionsRestart(6)
	{
	}
};

/* Guards against a relayed list taken for all that a new VM has missed. */
TEST_F(VersionsRestartRelay, ARelayedListIsNoEvidence)
{
	wait(25000);
	begin_streams(1);
	unlist_all('a');
	/* The VM that relays keeps running. */
	for (int i = 2; i <= 6; i++)
		kill(vm(i));
	run(300);
	for (int i = 2; i <= 6; i++)
		start(vm(i));
	for (int k = 0; k < 5; k++) {
		for (int i = 0; i < 4; i++) {
			confirm(vm(1));
			run(500);
		}
		take_up_all("the list is relayed");
	}
}

/* Guards against a release that the only VM that is left did not see. */
TEST_F(VersionsRestartRelay, AReleaseThatOneVmDoesNotSee)
{
	for (jj_ms_t cut_ms : {100, 1000, 2500, 6000}) {
		streams.clear();
		list_all('a');
		unlist_all('b');
		wait(40000);
		vms[vm(6)].cut = JJ_PLATFORM_UNKNOWN;
		list_all('b');
		unlist_all('a');
		count = 5;
		begin_streams(2);
		count = 6;
		kill_all(100, 1);
		run(cut_ms);
		take_up_all("one VM has not seen the release");
		vms[vm(6)].cut = JJ_PLATFORM_OK;
		for (const auto &change : missed[vm(6)])
			show(vm(6), change.first, change.second);
		missed.clear();
	}
}

/**
 * Kills of all or most VMs, releases and cuts, from the platform and from other
 * VMs, in overlapping series.
 */
class RestartSeries : public VersionsRestart,
		      public ::testing::WithParamInterface<unsigned>
{
      protected:
	std::mt19937 random;
	std::vector<std::string> ids;
	int listed = 3;
	size_t taken_up = 0;

	uint32_t
	draw(size_t below)
	{
		return random() % (uint32_t)below;
	}
	void
	replace(size_t index, char version)
	{
		std::string old = ids[index];

		ids[index] = std::string(1, version) + std::to_string(++listed);
		list(ids[index].c_str());
		unlist(old.c_str());
	}
	void
	begin_one()
	{
		uint64_t content = 5000 + draw(20);
		std::string name = vm(1 + (int)draw(3));
		uint64_t request;

		if (vms.count(name) == 0)
			return;
		request = begin(name, "/again/s", content);
		if (attempts.count(request) == 0)
			return;
		report(request, JJ_BACKEND_FIRST);
		streams.push_back({id_of(request), attempts[request].server[0],
		    content, now + budget_ms});
		run(5 * draw(10));
		if (vms.count(name) == 1)
			report(request, JJ_BACKEND_DONE);
	}
	void
	disturb()
	{
		size_t spared = draw(3);
		std::string name;
		char version;

		switch (draw(40)) {
		case 0:
			for (int i = 1; i <= 3; i++)
				if (i > (int)spared && vms.count(vm(i)) == 1)
					kill(vm(i));
			wait(100 + draw(2000));
			break;
		case 1:
		case 2:
			for (size_t i = 0; i < ids.size(); i++)
				replace(i, 'b');
			break;
		case 3:
			for (size_t i = 0; i < ids.size(); i++)
				replace(i, 'a');
			break;
		case 4:
		case 5:
		case 6:
			version = "ab"[draw(2)];
			replace(draw(ids.size()), version);
			break;
		case 7:
			name = vm(1 + (int)draw(3));
			if (vms.count(name) == 1)
				vms[name].cut = JJ_PLATFORM_UNKNOWN;
			break;
		case 10:
		case 11:
			name = vm(1 + (int)draw(3));
			if (vms.count(name) == 1)
				vms[name].loses_messages =
				    vms[name].loses_sent = draw(2) == 0;
			break;
		case 8:
		case 9:
			for (auto &each : vms) {
				each.second.cut = JJ_PLATFORM_OK;
				for (const auto &change : missed[each.first])
					show(each.first, change.first,
					    change.second);
			}
			missed.clear();
			break;
		default:
			break;
		}
		for (int i = 1; i <= 3; i++)
			if (vms.count(vm(i)) == 0 && draw(4) > 0)
				start(vm(i));
	}
	void
	take_up_any()
	{
		bool is_named = draw(2) == 0;
		std::string name = vm(1 + (int)draw(3));
		const auto &stream = streams[draw(streams.size())];

		taken_up += take_up_one(stream, name, is_named, "series");
	}
	void
	play(unsigned seed)
	{
		random.seed(seed);
		ids = {"a1", "a2", "a3", "b1", "b2", "b3"};
		for (int i = 0; i < 250 && !HasFailure(); i++) {
			confirm();
			begin_one();
			if (streams.empty())
				continue;
			if (draw(2) == 0)
				take_up_any();
			disturb();
			run(50 + draw(300));
			if (streams.size() > 40)
				streams.erase(streams.begin());
		}
	}
};

/* Guards against streams joined where kills, releases and cuts overlap. */
TEST_P(RestartSeries, NothingIsJoined)
{
	play(GetParam());
	EXPECT_GT(taken_up, 5U);
}

INSTANTIATE_TEST_SUITE_P(
    Seeds, RestartSeries, ::testing::Range(1U, RESTART_SEEDS + 1));

} // namespace
