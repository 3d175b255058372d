/**
 * @file list_pages_test.cc
 * @brief Lists of several pages with entries of other writers, by name.
 */
#include <map>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <jansson.h>

extern "C" {
#include "core/mirror.h"
#include "platform/parts.h"
}

namespace
{

/** What a store makes of the place after which a page is to begin. */
enum reading_t {
	DECODED,
	DECODED_AS_FORM, /**< "+" is a blank */
	AS_SENT,
	REFUSED_400, /**< unless all its characters are unreserved */
	REFUSED_404,
	REFUSED_410,
	UNANSWERED,
};

struct Store {
	std::map<std::string, std::string> objects;
	reading_t reading = DECODED;
	size_t page = 500; /**< objects */
	size_t page_bytes = 1U << 20U;
	size_t lists = 0; /**< calls */

	/** The place in a path, as this store reads it. */
	std::string
	read_after(const std::string &path) const
	{
		std::string sent = path.substr(path.find("after=") + 6);
		std::string read;

		for (size_t i = 0; i < sent.size(); i++) {
			if (sent[i] == '%' && reading != AS_SENT) {
				read += (char)std::stoi(
				    sent.substr(i + 1, 2), nullptr, 16);
				i += 2;
			} else if (sent[i] == '+' &&
			    reading == DECODED_AS_FORM) {
				read += ' ';
			} else {
				read += sent[i];
			}
		}
		return read;
	}
	/** Answers the call; 0 if it gets no answer. */
	int
	answer(const jj_platform_request_t &request, std::string *body)
	{
		static const std::map<reading_t, int> refusals = {
		    {REFUSED_400, 400}, {REFUSED_404, 404}, {REFUSED_410, 410},
		    {UNANSWERED, 0}};
		std::string path = request.path;
		auto refusal = refusals.find(reading);
		size_t bytes = 0;
		json_t *items;

		lists++;
		if (path.find('?') == std::string::npos)
			return get(path.substr(path.rfind('/') + 1), body);
		items = json_array();
		if (refusal != refusals.end() &&
		    path.find('%') != std::string::npos) {
			json_decref(items);
			return refusal->second;
		}
		auto at = objects.upper_bound(read_after(path));
		for (; at != objects.end(); ++at) {
			if (json_array_size(items) == page ||
			    bytes > page_bytes)
				break;
			bytes += at->second.size();
			json_array_append_new(
			    items, describe(at->first, at->second));
		}
		*body = dump(json_pack("{s:o,s:b,s:i}", "items", items, "more",
		    at != objects.end(), "at", 9));
		return 200;
	}
	int
	get(const std::string &name, std::string *body)
	{
		if (objects.count(name) == 0)
			return 404;
		*body = dump(describe(name, objects[name]));
		return 200;
	}
	static json_t *
	describe(const std::string &name, const std::string &spec)
	{
		return json_pack("{s:{s:s%,s:i},s:o}", "metadata", "name",
		    name.data(), name.size(), "revision", 7, "spec",
		    json_loads(spec.c_str(), JSON_DECODE_ANY, nullptr));
	}
	static std::string
	dump(json_t *root)
	{
		char *text = json_dumps(root, JSON_COMPACT);
		std::string copy = text;

		free(text);
		json_decref(root);
		return copy;
	}
};

/** A mirror over the codec of the store. */
struct Table {
	Store *store;
	jj_mirror_t mirror;
	jj_ms_t now = 1;
	std::set<std::string> known;
	std::set<std::string> listing;
	bool is_complete = false;

	explicit Table(Store *from) : store(from)
	{
		jj_mirror_settings_t settings = {
		    JJ_OWNER_GATEWAY, 1, "servers/", 9000, 1, 100, 800, 9, 9};
		jj_mirror_port_t port = {this, begin, take, drop, end, nullptr};

		jj_mirror_init(&mirror, &settings, &port);
		jj_mirror_set_active(&mirror, true, now);
	}
	static Table *
	self(void *ctx)
	{
		return static_cast<Table *>(ctx);
	}
	static void
	begin(void *ctx)
	{
		self(ctx)->listing.clear();
	}
	static void
	take(void *ctx, const jj_platform_item_t *item)
	{
		std::string key = item->key;

		self(ctx)->listing.insert(key.substr(key.find('/') + 1));
	}
	static void
	drop(void *, const char *)
	{
	}
	static void
	end(void *ctx, bool is_complete, jj_ms_t)
	{
		Table *table = self(ctx);

		table->is_complete = is_complete;
		if (is_complete)
			table->known.clear();
		table->known.insert(
		    table->listing.begin(), table->listing.end());
	}
	/** Answers calls until a listing has ended and a watch begins. */
	bool
	list()
	{
		for (int calls = 0; calls < 3000; calls++) {
			jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);
			jj_platform_op_t op;

			now = jj_mirror_next(&mirror);
			jj_mirror_tick(&mirror, now, &out);
			op = TAILQ_FIRST(&out)->body.platform.op;
			answer(&TAILQ_FIRST(&out)->body.platform,
			    op == JJ_PLATFORM_WATCH);
			jj_actions_clear(&out);
			if (op == JJ_PLATFORM_WATCH)
				return true;
		}
		return false;
	}
	/** A watch learns that the history is gone. */
	void
	answer(const jj_platform_call_t *call, bool is_gap)
	{
		jj_platform_request_t request = {};
		jj_platform_result_t result = {};
		jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);
		jj_http_head_t head = {};
		std::string body;

		result.op = call->op;
		result.token = call->token;
		result.outcome = JJ_PLATFORM_UNKNOWN;
		jj_platform_objects_codec.write("c", call, &request);
		head.status = is_gap ? 410 : store->answer(request, &body);
		if (head.status != 0)
			jj_platform_objects_codec.read(&result, "servers/",
			    &head, body.data(), body.size());
		(void)jj_mirror_take_result(&mirror, &result, now, &out);
		jj_platform_result_clear(&result);
		jj_actions_clear(&out);
	}
};

struct ListCase {
	const char *name;
	std::string odd; /**< the part of a name that is odd */
};

class ListPages : public ::testing::TestWithParam<ListCase>
{
      protected:
	static constexpr reading_t readings[] = {DECODED, DECODED_AS_FORM,
	    AS_SENT, REFUSED_400, REFUSED_404, REFUSED_410, UNANSWERED};
	std::set<std::string> usable;

	void
	fill(Store *store)
	{
		for (const char *name : {"-", "0", "A", "h-a", "h-zz", "h-zz-1",
			 "h-zz0", "h-zza", "i-7f3a", "zz", "~"}) {
			store->objects[name] = "{}";
			usable.insert(name);
		}
	}
	/** Lists, then lists again as the history is gone. */
	void
	expect_all(Store *store, const std::string &what)
	{
		Table table(store);

		for (int i = 0; i < 2; i++) {
			ASSERT_TRUE(table.list()) << what << ": endless";
			for (const std::string &name : usable)
				EXPECT_EQ(1U, table.known.count(name))
				    << what << ", listing " << i << ": " << name
				    << " is gone";
		}
		EXPECT_LE(store->lists, 6 * (store->objects.size() + 5))
		    << what;
	}
};

/* Guards against a list that ends at an entry because of its name. */
TEST_P(ListPages, GoOnBehindOneOddName)
{
	const std::string &odd = GetParam().odd;

	for (const std::string &name :
	    {odd, "h-zz" + odd, "h-zz" + odd + "x", "~" + odd})
		for (reading_t reading : readings)
			for (size_t page : {1, 2, 3, 500}) {
				Store store;

				store.reading = reading;
				store.page = page;
				fill(&store);
				store.objects[name] = "null";
				expect_all(&store,
				    "pages of " + std::to_string(page) +
					", reading " + std::to_string(reading));
			}
}

/* Guards against a list that ends at whole pages of such entries. */
TEST_P(ListPages, GoOnBehindPagesOfOddNames)
{
	for (const char *begin : {"", "h-zz", "~"})
		for (reading_t reading : readings)
			for (size_t count : {2, 3, 7}) {
				Store store;

				store.reading = reading;
				store.page = 2;
				fill(&store);
				for (size_t i = 0; i < count; i++)
					store.objects[begin + GetParam().odd +
					    std::to_string(i)] = "null";
				expect_all(&store,
				    begin + std::string(", reading ") +
					std::to_string(reading));
			}
}

/* Guards against a list that ends at a large entry, alone on its page. */
TEST_P(ListPages, GoOnBehindALargeEntry)
{
	for (reading_t reading : readings) {
		Store store;

		store.reading = reading;
		store.page_bytes = 1U << 16U;
		fill(&store);
		store.objects["h-zz" + GetParam().odd] =
		    "\"" + std::string(store.page_bytes, 'x') + "\"";
		store.objects["h-zy"] = store.objects["h-zz" + GetParam().odd];
		expect_all(&store, "reading " + std::to_string(reading));
	}
}

/* Guards against keeping what a whole list no longer has. */
TEST_P(ListPages, ARemovedEntryIsDropped)
{
	Store store;

	store.page = 2;
	fill(&store);
	store.objects["h-zz" + GetParam().odd] = "null";
	Table table(&store);

	ASSERT_TRUE(table.list());
	ASSERT_EQ(1U, table.known.count("h-zza"));
	store.objects.erase("h-zza");
	ASSERT_TRUE(table.list());
	EXPECT_TRUE(table.is_complete);
	EXPECT_EQ(0U, table.known.count("h-zza"));
}

INSTANTIATE_TEST_SUITE_P(Names, ListPages,
    ::testing::Values(ListCase{"Ampersand", "&"}, ListCase{"Plus", "+"},
	ListCase{"Hash", "#"}, ListCase{"Percent", "%"},
	ListCase{"Escape", "%41"}, ListCase{"EscapeOfNul", "%00"},
	ListCase{"Blank", " "}, ListCase{"Blanks", "   "},
	ListCase{"Slash", "/"}, ListCase{"Question", "?"},
	ListCase{"Equals", "="}, ListCase{"Argument", "&stale=1"},
	ListCase{"All", "&+ #%/?=\"\\"}, ListCase{"Accent", "\u00e9"},
	ListCase{"LineFeed", "\n"}, ListCase{"TooLong", std::string(304, 'z')},
	ListCase{"TooLongAtEnd", std::string(304, '~')},
	ListCase{"LongInQuery", std::string(240, '&')},
	ListCase{"TooLongInQuery", std::string(1000, '+')}),
    [](const auto &info) { return std::string(info.param.name); });

/* Guards against taking a part for the whole when no page gets further. */
TEST(ListPages, WhatIsNotSeenIsKept)
{
	Store store;

	for (const char *name : {"a", "b", "c", "d"})
		store.objects[name] = "{}";
	Table table(&store);
	ASSERT_TRUE(table.list());
	EXPECT_TRUE(table.is_complete);
	store.page = 0;
	for (int i = 0; i < 20 && table.mirror.failures == 0; i++)
		(void)table.list();
	EXPECT_EQ(4U, table.known.size());
}

} // namespace
