/**
 * @file inline_entries_test.cc
 * @brief Malformed open entries and jobs, written by another writer.
 */
#include "tests/core/inline_world.h"

namespace
{

struct EntryCase {
	const char *name;
	const char *value;
};

class InlineEntries : public InlineWorld,
		      public ::testing::WithParamInterface<EntryCase>
{
      protected:
	InlineVm &a = add_vm("a");
	InlineVm &b = add_vm("b");

	InlineEntries()
	{
		pass(100);
	}
	size_t
	count_lines(const InlineVm &vm, const std::string &begin) const
	{
		size_t count = 0;

		for (const std::string &line : vm.log)
			count += line.compare(0, begin.size(), begin) == 0;
		return count;
	}
	void
	lose(InlineVm &vm)
	{
		vm.paused = true;
		lost_writers.insert(vm.writer);
		pass(8000);
	}
};

/*
 * A job whose VM is lost while its entry is malformed must still be taken over.
 */
TEST_P(InlineEntries, AJobWhoseEntryIsBadIsTakenOver)
{
	b.submit("j", 2);
	pass(200);
	ASSERT_EQ(2U, b.items.size());
	platform.put("batch-open/j", GetParam().value);
	pass(200);
	EXPECT_EQ(2U, b.items.size());
	lose(b);
	EXPECT_EQ(1U, jj_inline_counts(a.jobs).takeovers);
	EXPECT_EQ(2U, a.items.size());
	a.finish_all("x");
	pass(1000);
	EXPECT_EQ(2U, stored("j").size());
	EXPECT_FALSE(platform.has("batch-open/j"));
}

/* A malformed entry must not hide others, or be logged again and again. */
TEST_P(InlineEntries, ABadEntryHidesNoOther)
{
	platform.put("batch-open/bad", GetParam().value);
	b.submit("j", 2);
	lose(b);
	EXPECT_EQ(2U, a.items.size());
	EXPECT_EQ(1U, count_lines(a, "job_entry_unreadable"));
	EXPECT_TRUE(platform.has("batch-open/bad"));
}

INSTANTIATE_TEST_SUITE_P(Values, InlineEntries,
    ::testing::Values(EntryCase{"Empty", ""},
	EntryCase{"NoJson", "{\"owner\":"}, EntryCase{"Text", "\"x\""},
	EntryCase{"List", "[1]"}, EntryCase{"Null", "null"},
	EntryCase{"Nothing", "{}"},
	EntryCase{"OwnerIsANumber", "{\"owner\":7,\"route\":\"notturno\"}"},
	EntryCase{"NoRoute", "{\"owner\":\"x/0000000000000001\"}"},
	EntryCase{"Nul", "{\"owner\":\"a\\u0000b\",\"route\":\"notturno\"}"},
	EntryCase{"LongOwner",
	    "{\"owner\":\"0123456789012345678901234567890123456789012345678901"
	    "23456789012345678901234567890123456789\",\"route\":\"notturno\"}"}),
    [](const auto &info) { return std::string(info.param.name); });

struct JobCase {
	const char *name;
	const char *value;
};

class InlineForeignJob : public InlineWorld,
			 public ::testing::WithParamInterface<JobCase>
{
};

/* A malformed job must not delay others, and must not be deleted. */
TEST_P(InlineForeignJob, DisturbsNoOther)
{
	InlineVm &a = add_vm("a");
	InlineVm &b = add_vm("b");

	pass(100);
	b.submit("bad", 1);
	b.submit("j", 2);
	pass(200);
	platform.put("batch-jobs/bad", GetParam().value);
	b.paused = true;
	lost_writers.insert(b.writer);
	pass(20000);
	EXPECT_EQ(2U, a.items.size());
	EXPECT_TRUE(platform.has("batch-jobs/bad"));
	uint64_t read = a.read("bad", 0);
	pass(5000);
	EXPECT_NE(404, a.answer(read).status);
}

INSTANTIATE_TEST_SUITE_P(Values, InlineForeignJob,
    ::testing::Values(JobCase{"Empty", ""}, JobCase{"NoJson", "{\"id\":"},
	JobCase{"Text", "\"x\""}, JobCase{"Nothing", "{}"},
	JobCase{"NoItems",
	    "{\"id\":\"bad\",\"host\":\"h\",\"path\":\"/\","
	    "\"items\":[]}"},
	JobCase{"PartsAreMany", "{\"parts\":999999999999}"},
	JobCase{"PartsAreGone", "{\"parts\":3}"},
	JobCase{"ItemWithoutBody",
	    "{\"id\":\"bad\",\"host\":\"ordini.example\",\"path\":\"/liste/1\","
	    "\"items\":[{\"id\":\"i\",\"path\":\"/\"}]}"}),
    [](const auto &info) { return std::string(info.param.name); });

} // namespace
