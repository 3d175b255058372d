/**
 * @file http_framing_test.cc
 * @brief Heads that two readers could end at different bytes are invalid.
 */
#include <sstream>
#include <string>

#include <gtest/gtest.h>

extern "C" {
#include "adapters/http_framing.h"
}

namespace
{

struct FramingCase {
	const char *name;
	const char *lines; /**< separated by a bar */
	bool is_valid;
};

class HttpFraming : public ::testing::TestWithParam<FramingCase>
{
};

/* Guards against a message whose end depends on who reads it. */
TEST_P(HttpFraming, IsValidWhereAllReadersAgree)
{
	std::istringstream lines(GetParam().lines);
	jj_http_framing_t framing = {};
	std::string line;

	while (std::getline(lines, line, '|'))
		jj_http_framing_take_line(&framing, line.data(), line.size());
	EXPECT_EQ(GetParam().is_valid, jj_http_framing_is_valid(&framing));
}

INSTANTIATE_TEST_SUITE_P(Heads, HttpFraming,
    ::testing::Values(FramingCase{"None", "Host: a|X-A:", true},
	FramingCase{"Length", "content-length: 12", true},
	FramingCase{
	    "SameLengthTwice", "Content-Length: 2|Content-Length: 2, 2", true},
	FramingCase{
	    "LargestLength", "Content-Length: 9223372036854775807", true},
	FramingCase{"Chunks", "Transfer-Encoding: Chunked", true},
	FramingCase{"TwoLengths", "Content-Length: 2|Content-Length: 3", false},
	FramingCase{"ListOfLengths", "Content-Length: 2, 3", false},
	FramingCase{"EmptyLength", "Content-Length:", false},
	FramingCase{"EmptyInAList", "Content-Length: 2,", false},
	FramingCase{"SignedLength", "Content-Length: +2", false},
	FramingCase{
	    "LargeLength", "Content-Length: 9223372036854775808", false},
	FramingCase{"LengthAndChunks",
	    "Content-Length: 2|Transfer-Encoding: chunked", false},
	FramingCase{"ChunksTwice",
	    "Transfer-Encoding: chunked|Transfer-Encoding: chunked", false},
	FramingCase{"OtherCoding", "Transfer-Encoding: gzip, chunked", false},
	FramingCase{"UnknownCoding", "Transfer-Encoding: xchunked", false},
	FramingCase{"SpaceBeforeTheColon", "Content-Length : 2", false},
	FramingCase{"FoldedLine", "X-A: b| c: d", false},
	FramingCase{"NoColon", "Content-Length 2", false},
	FramingCase{"NoName", ": a", false},
	FramingCase{
	    "CarriageReturnInAValue", "X-A: b\rContent-Length: 2", false}),
    [](const auto &info) { return std::string(info.param.name); });

} // namespace
