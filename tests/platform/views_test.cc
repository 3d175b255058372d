/**
 * @file views_test.cc
 * @brief What operators of an entry VM see of shares and of servers' outcomes.
 */
#include <string>

#include <gtest/gtest.h>

#include "tests/platform/entry_vm.h"

namespace
{

class Views : public EntryVm
{
      protected:
	std::string
	ask(const std::string &path)
	{
		int fd = send_request(operators,
		    "GET " + path +
			" HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
		std::string got = read_until(fd, "no such text");

		(void)close(fd);
		return got;
	}
	/** Sends requests and asks until the answer has the text. */
	std::string
	ask_until(const std::string &path, const std::string &wanted)
	{
		std::string got;

		wait_until([&] {
			(void)send("GET", "/r/x", key_header("key-of-fish"));
			got = ask(path);
			return got.find(wanted) != std::string::npos;
		});
		EXPECT_NE(std::string::npos, got.find(wanted)) << got;
		return got;
	}
};

class ViewsOn : public Views
{
      protected:
	void
	SetUp() override
	{
		contracts = R"(["pressure", "health", "other"])";
		Views::SetUp();
	}
};

TEST_F(ViewsOn, ShowTeamsAndServers)
{
	std::string shares = ask_until("/v1/shares", R"("team":"fish")");
	std::string outcomes = ask_until("/v1/outcomes", R"("server":"s1")");
	std::string metrics =
	    ask_until("/metrics", R"(jujube_share_demand_per_s{team="fish"} )");

	EXPECT_NE(std::string::npos, shares.find(R"("enabled":true)"));
	EXPECT_NE(std::string::npos, shares.find(R"("vm":"vm-1")"));
	EXPECT_NE(std::string::npos, outcomes.find(R"("avoided":false)"));
	EXPECT_NE(std::string::npos,
	    metrics.find("jujube_server_failure_rate{server=\"s1\"} 0\n"));
	EXPECT_NE(std::string::npos,
	    metrics.find("jujube_server_avoided{server=\"s1\"} 0\n"));
	for (const std::string &text : {shares, outcomes, metrics, read_log()})
		EXPECT_EQ(std::string::npos, text.find("key-of-fish"));
	EXPECT_NE(std::string::npos,
	    read_log().find("fair_shares=on fair_shares_by=contracts "
			    "avoid_failing=on avoid_failing_by=contracts"));
}

TEST_F(Views, AreEmptyWhenSwitchedOff)
{
	for (const char *path : {"/v1/shares", "/v1/outcomes"}) {
		std::string got = ask(path);

		EXPECT_NE(std::string::npos, got.find(R"("enabled":false)"))
		    << got;
		EXPECT_NE(std::string::npos, got.find(R"("rows":[])")) << got;
	}
}

} // namespace
