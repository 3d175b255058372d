/**
 * @file http_server_test.cc
 * @brief Calls that are answered when their server has ended already.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstring>
#include <future>
#include <string>

#include <gtest/gtest.h>

extern "C" {
#include "adapters/http_server.h"
}

namespace
{

/** An address that is free now. */
std::string
free_address()
{
	sockaddr_in address = {};
	socklen_t size = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_family = AF_INET;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	(void)bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address));
	(void)getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
	(void)close(fd);
	return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

int
send_request(const std::string &to)
{
	const char text[] = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
	sockaddr_in address = {};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_family = AF_INET;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port = htons(std::stoi(to.substr(to.find(':') + 1)));
	if (connect(fd, reinterpret_cast<sockaddr *>(&address),
		sizeof(address)) != 0 ||
	    send(fd, text, strlen(text), MSG_NOSIGNAL) < 0) {
		ADD_FAILURE() << "no connection to " << to;
	}
	return fd;
}

struct finish_t {
	const char *name;
	void (*finish)(jj_http_call_t *);
};

const jj_http_answer_t answer = {200, "text/plain", {{nullptr, nullptr}}};

const finish_t finishes[] = {
    {"answered_whole",
	[](jj_http_call_t *call) {
		jj_http_call_answer(call, &answer, "late", 4);
	}},
    {"streamed",
	[](jj_http_call_t *call) {
		jj_http_call_begin(call, &answer);
		EXPECT_TRUE(jj_http_call_write(call, "late", 4, false));
		EXPECT_TRUE(jj_http_call_has_room(call));
		jj_http_call_end(call, false);
	}},
    {"only_released", [](jj_http_call_t *call) { jj_http_call_release(call); }},
};

class AnswerAfterEnd : public testing::TestWithParam<finish_t>
{
};

} // namespace

/*
 * A VM is stopped at once while a request is at a backend server. The HTTP
 * server ends first, then the loops; one of them has the request's answer in
 * its queue and gives it. The call's lock belongs to the server: were it gone
 * with it, the answer would take a lock that is no more, and the stop would
 * crash or hang. The sanitizers see the lock's use after its end.
 */
TEST_P(AnswerAfterEnd, FindsTheCallsLock)
{
	std::promise<jj_http_call_t *> begun;
	std::string address = free_address();
	jj_http_limits_t limits = {
	    address.c_str(), 1, 10, 8192, 1000, 1000, 60000};
	jj_http_port_t port = {};

	port.ctx = &begun;
	port.on_request = [](void *ctx, jj_http_call_t *call) {
		static_cast<std::promise<jj_http_call_t *> *>(ctx)->set_value(
		    call);
	};
	jj_http_server_t *server = jj_http_server_create(&limits, &port);
	ASSERT_NE(nullptr, server);
	int fd = send_request(address);
	jj_http_call_t *call = begun.get_future().get();
	EXPECT_FALSE(jj_http_call_is_gone(call));
	jj_http_server_destroy(server);
	EXPECT_TRUE(jj_http_call_is_gone(call));
	GetParam().finish(call);
	(void)close(fd);
}

INSTANTIATE_TEST_SUITE_P(HttpServer, AnswerAfterEnd,
    testing::ValuesIn(finishes),
    [](const testing::TestParamInfo<finish_t> &info) {
	    return std::string(info.param.name);
    });
