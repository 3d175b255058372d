/**
 * @file toml.cpp
 * @brief C interface to the tomlplusplus parser.
 */
#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <exception>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>
#include <string>
#include <string_view>

/*
 * tomlplusplus 3.3.0 fails an assertion on a malformed key such as `[,a]`.
 * jujubed would abort at start without naming the file; with NDEBUG, the
 * parser would continue with a violated precondition. Throwing an exception
 * instead ends the parse like any other error.
 */
[[noreturn]] static void fail_assertion();
#undef NDEBUG
#define TOML_ASSERT(condition) ((condition) ? (void)0 : fail_assertion())
#include <toml++/toml.h>

extern "C" {
#include "adapters/toml.h"
}

struct jj_toml {
	toml::table root;
};

static const toml::node *to_node(const jj_toml_node_t *);
static const jj_toml_node_t *from_node(const toml::node *);
static bool read_file(const char *, std::string &);
static int find_assertion_line(std::string_view);
static size_t find_non_ascii(std::string_view);
static size_t skip_string(std::string_view, size_t);

jj_toml_t *
jj_toml_load(const char *path, char *error_text, size_t error_text_size)
{
	try {
		std::string text;

		if (!read_file(path, text)) {
			(void)snprintf(error_text, error_text_size,
			    "%s: cannot be read: %s", path, strerror(errno));
			return nullptr;
		}
		return jj_toml_parse(text.data(), text.size(), path, error_text,
		    error_text_size);
	} catch (const std::exception &error) {
		(void)snprintf(error_text, error_text_size,
		    "%s: cannot be read: %s", path, error.what());
		return nullptr;
	}
}

jj_toml_t *
jj_toml_parse(const char *text, size_t size, const char *name, char *error_text,
    size_t error_text_size)
{
	std::string_view document(text, size);
	size_t invalid_offset = find_non_ascii(document);

	if (invalid_offset < size) {
		(void)snprintf(error_text, error_text_size,
		    "%s:%td: only ASCII characters are allowed outside of "
		    "strings and comments",
		    name, 1 + std::count(text, text + invalid_offset, '\n'));
		return nullptr;
	}
	try {
		return new jj_toml{toml::parse(
		    std::string_view(text, size), std::string_view(name))};
	} catch (const toml::parse_error &error) {
		(void)snprintf(error_text, error_text_size, "%s:%u: %s", name,
		    error.source().begin.line, error.what());
	} catch (const std::exception &error) {
		(void)snprintf(error_text, error_text_size, "%s:%d: %s", name,
		    find_assertion_line(document), error.what());
	} catch (...) {
		(void)snprintf(
		    error_text, error_text_size, "%s:1: not TOML", name);
	}
	return nullptr;
}

void
jj_toml_destroy(jj_toml_t *toml)
{
	delete toml;
}

const jj_toml_node_t *
jj_toml_root(const jj_toml_t *toml)
{
	return from_node(&toml->root);
}

jj_toml_type_t
jj_toml_type(const jj_toml_node_t *node)
{
	switch (to_node(node)->type()) {
	case toml::node_type::table:
		return JJ_TOML_TABLE;
	case toml::node_type::array:
		return JJ_TOML_ARRAY;
	case toml::node_type::string:
		return JJ_TOML_TEXT;
	case toml::node_type::integer:
		return JJ_TOML_INTEGER;
	case toml::node_type::floating_point:
		return JJ_TOML_REAL;
	case toml::node_type::boolean:
		return JJ_TOML_BOOLEAN;
	default:
		return JJ_TOML_DATE;
	}
}

int
jj_toml_line(const jj_toml_node_t *node)
{
	return static_cast<int>(to_node(node)->source().begin.line);
}

const char *
jj_toml_type_name(jj_toml_type_t type)
{
	switch (type) {
	case JJ_TOML_TABLE:
		return "a table";
	case JJ_TOML_ARRAY:
		return "an array";
	case JJ_TOML_TEXT:
		return "a string";
	case JJ_TOML_INTEGER:
		return "an integer";
	case JJ_TOML_REAL:
		return "a float";
	case JJ_TOML_BOOLEAN:
		return "a boolean";
	case JJ_TOML_DATE:
		return "a date";
	}
	return "unknown";
}

void
jj_toml_print(const jj_toml_node_t *node, char *text, size_t size)
{
	try {
		std::ostringstream stream;

		to_node(node)->visit(
		    [&stream](const auto &value) { stream << value; });
		(void)snprintf(text, size, "%s", stream.str().c_str());
	} catch (...) {
		(void)snprintf(text, size, "?");
	}
}

const jj_toml_node_t *
jj_toml_find(const jj_toml_node_t *table, const char *key)
{
	const toml::table *entries = to_node(table)->as_table();

	return entries == nullptr ? nullptr : from_node(entries->get(key));
}

size_t
jj_toml_count(const jj_toml_node_t *node)
{
	if (const toml::table *table = to_node(node)->as_table())
		return table->size();
	if (const toml::array *array = to_node(node)->as_array())
		return array->size();
	return 0;
}

const jj_toml_node_t *
jj_toml_at(const jj_toml_node_t *node, size_t index)
{
	if (index >= jj_toml_count(node))
		return nullptr;
	if (const toml::array *array = to_node(node)->as_array())
		return from_node(array->get(index));
	const toml::table *table = to_node(node)->as_table();

	return from_node(&std::next(table->begin(), index)->second);
}

const char *
jj_toml_key_at(const jj_toml_node_t *table, size_t index)
{
	const toml::table *entries = to_node(table)->as_table();

	if (entries == nullptr || index >= entries->size())
		return nullptr;
	/* A key holds a std::string, so its data ends with a NUL. */
	return std::next(entries->begin(), index)->first.str().data();
}

bool
jj_toml_get_integer(const jj_toml_node_t *node, int64_t *value)
{
	const toml::value<int64_t> *integer = to_node(node)->as_integer();

	if (integer == nullptr)
		return false;
	*value = integer->get();
	return true;
}

bool
jj_toml_get_real(const jj_toml_node_t *node, double *value)
{
	const toml::value<double> *real = to_node(node)->as_floating_point();
	int64_t integer;

	if (real != nullptr) {
		*value = real->get();
		return true;
	}
	if (!jj_toml_get_integer(node, &integer))
		return false;
	*value = static_cast<double>(integer);
	return true;
}

bool
jj_toml_get_boolean(const jj_toml_node_t *node, bool *value)
{
	const toml::value<bool> *boolean = to_node(node)->as_boolean();

	if (boolean == nullptr)
		return false;
	*value = boolean->get();
	return true;
}

bool
jj_toml_get_text(const jj_toml_node_t *node, const char **text, size_t *size)
{
	const toml::value<std::string> *string = to_node(node)->as_string();

	if (string == nullptr)
		return false;
	*text = string->get().c_str();
	*size = string->get().size();
	return true;
}

static void
fail_assertion()
{
	throw std::logic_error("malformed key");
}

/* The opaque C type always points to a toml::node. */
static const toml::node *
to_node(const jj_toml_node_t *node)
{
	return reinterpret_cast<const toml::node *>(node);
}

static const jj_toml_node_t *
from_node(const toml::node *node)
{
	return reinterpret_cast<const jj_toml_node_t *>(node);
}

static bool
read_file(const char *path, std::string &text)
{
	std::ifstream stream(path, std::ios::binary);

	if (!stream)
		return false;
	text.assign(std::istreambuf_iterator<char>(stream),
	    std::istreambuf_iterator<char>());
	return !stream.bad();
}

/*
 * Finds the line of a failed assertion, whose exception has no position: the
 * first line up to whose end the text fails in the same way.
 */
static int
find_assertion_line(std::string_view text)
{
	size_t end = 0;

	for (int line = 1; end < text.size(); line++) {
		end = std::min(text.find('\n', end), text.size() - 1) + 1;
		try {
			(void)toml::parse(text.substr(0, end));
		} catch (const toml::parse_error &) {
			continue;
		} catch (const std::exception &) {
			return line;
		}
	}
	return 1;
}

/*
 * Finds the first non-ASCII byte outside of strings and comments; returns the
 * text's size if there is none. Such bytes cause undefined behaviour in
 * tomlplusplus 3.3.0: its test for white space reaches
 * __builtin_unreachable() for characters such as U+036D.
 */
static size_t
find_non_ascii(std::string_view text)
{
	size_t at = text.substr(0, 3) == "\xef\xbb\xbf" ? 3 : 0;

	while (at < text.size()) {
		char byte = text[at];

		if (byte == '#')
			at = std::min(text.find('\n', at), text.size());
		else if (byte == '"' || byte == '\'')
			at = skip_string(text, at);
		else if (static_cast<unsigned char>(byte) >= 0x80)
			return at;
		else
			at++;
	}
	return at;
}

/* Returns the offset behind the string at `at`, which may be unclosed. */
static size_t
skip_string(std::string_view text, size_t at)
{
	char quote = text[at];
	std::string triple(3, quote);
	bool multiline = text.substr(at, 3) == triple;

	at += multiline ? 3 : 1;
	while (at < text.size()) {
		if (quote == '"' && text[at] == '\\') {
			at += 2;
			continue;
		}
		if (multiline && text.substr(at, 3) == triple) {
			at += 3;
			/* The content may end with up to two quotes. */
			while (at < text.size() && text[at] == quote)
				at++;
			return at;
		}
		if (!multiline && (text[at] == quote || text[at] == '\n'))
			return at + 1;
		at++;
	}
	return text.size();
}
