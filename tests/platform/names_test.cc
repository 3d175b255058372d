/**
 * @file names_test.cc
 * @brief Only platform/ and deploy/ may use names of the users' platform.
 */
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace
{

/** Names of the users' platform that nothing else in this project has. */
const std::vector<std::string> names = {"X-Jujubeswitch-", "api/objects",
    "api/lots", "api/items", "api/ready", "pathPrefix", "maxAttempts",
    "timeoutMs", "targetLatencyMs", "runDeadlineMs", "retentionS", "maxCount",
    "coldRemainingMs", "gap_aim_ms", "dead_lettered", "non_idempotent",
    "retirements", "waitMs", "readinessAddr", "internalPorts", "nodeName",
    "machineClass", "fleetbench", "apiKeys", "ratePerS", "allowAnonymous",
    "\"pressure\"", "\"health\""};

std::vector<std::string>
find_in(const std::filesystem::path &file)
{
	std::ifstream stream(file);
	std::stringstream text;
	std::vector<std::string> found;

	text << stream.rdbuf();
	for (const std::string &name : names)
		if (text.str().find(name) != std::string::npos)
			found.push_back(file.string() + " has " + name);
	return found;
}

TEST(PlatformNames, AppearInNoOtherFolder)
{
	size_t files = 0;

	for (const char *folder : {"src", "include", "bench", "standins"})
		for (const auto &entry :
		    std::filesystem::recursive_directory_iterator(folder)) {
			if (!entry.is_regular_file())
				continue;
			files++;
			for (const std::string &hit : find_in(entry.path()))
				ADD_FAILURE() << hit;
		}
	EXPECT_GT(files, 100U) << "must run in the repository's root";
	EXPECT_FALSE(find_in("platform/names.h").empty());
}

} // namespace
