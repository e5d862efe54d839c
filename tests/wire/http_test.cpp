// The HTTP parsers: whole, split, oversized and random input.
#include <gtest/gtest.h>

#include <random>
#include <string>

#include "http/request.h"
#include "http/response.h"
#include "random_bytes.h"

namespace {

using namespace sloestack;

const std::string kSizedResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

TEST(HttpResponse, ParsesInPiecesOfAnySize) {
    const std::string chunked =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\nA: b\r\n\r\n";
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n" + kSizedResponse;
    for (const auto& text : {kSizedResponse, chunked, interim})
        for (std::size_t step = 1; step <= text.size(); ++step) {
            http::ResponseParser p;
            for (std::size_t at = 0; at < text.size();) at += p.feed(std::string_view(text).substr(at, step));
            ASSERT_TRUE(p.done() && p.status() == 200 && p.body() == "hello" && p.keeps_open());
        }
}

TEST(HttpResponse, LeavesWhatFollowsTheResponse) {
    http::ResponseParser more;
    ASSERT_TRUE(more.feed(kSizedResponse + "HTTP/1.1") == kSizedResponse.size());
}

TEST(HttpResponse, BodyWithoutLengthEndsWithTheConnection) {
    http::ResponseParser closed;
    closed.feed("HTTP/1.0 503 No\r\n\r\nbody");
    ASSERT_TRUE(!closed.done());
    closed.end_of_input();
    ASSERT_TRUE(closed.done() && closed.status() == 503 && !closed.keeps_open() && closed.body() == "body");
}

TEST(HttpResponse, RejectsMalformedResponses) {
    for (const std::string& bad :
         {std::string("SSH-2.0-x\r\n"), std::string("HTTP/1.1 200 OK\r\nContent-Length: x\r\n"),
          "HTTP/1.1 200 OK\r\nX: " + std::string(20'000, 'x'), std::string("HTTP/1.1 200 OK\r\nno colon\r\n"),
          std::string("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n"),
          std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n")}) {
        http::ResponseParser p;
        ASSERT_THROW(static_cast<void>(p.feed(bad)), http::ResponseError);
    }
}

TEST(HttpResponse, SurvivesRandomChunks) {
    std::mt19937 random(2);
    for (int i = 0; i < 2000; ++i) {
        http::ResponseParser p;
        try {
            p.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + random_bytes(random, 100));
        } catch (const http::ResponseError&) {
        }
    }
}

TEST(HttpRequest, ParsesWhenSplitAnywhere) {
    const std::string call =
        "POST /api/exclude?a=%31&id=s%2d1 HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc";
    for (std::size_t cut = 0; cut < call.size(); ++cut) {
        http::RequestParser p;
        p.feed(call.substr(0, cut));
        ASSERT_TRUE(!p.done());
        p.feed(call.substr(cut));
        ASSERT_TRUE(p.done() && p.method() == "POST" && p.path() == "/api/exclude");
        ASSERT_TRUE(p.parameter("id") == "s-1" && p.parameter("a") == "1" && !p.parameter("b"));
    }
}

TEST(HttpRequest, RejectsMalformedRequests) {
    for (const auto& bad :
         {std::string("GET / HTTP/2\r\n\r\n"), std::string("GET /\r\n\r\n"), std::string("\r\n\r\n"),
          std::string("get / HTTP/1.1\r\n\r\n"), std::string("GET x HTTP/1.1\r\n\r\n"),
          std::string("GET\x01"), std::string("GET / HTTP/1.1\r\nno colon\r\n\r\n"), std::string(9000, 'A'),
          std::string("GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n"),
          std::string("GET / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n"),
          std::string("GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n"),
          std::string("GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n")}) {
        http::RequestParser p;
        ASSERT_THROW(static_cast<void>(p.feed(bad)), http::RequestError);
    }
}

TEST(HttpRequest, RejectsAnIncompletePercentEscape) {
    http::RequestParser odd;
    odd.feed("GET /?id=%4 HTTP/1.0\n\n");
    ASSERT_THROW(static_cast<void>(odd.parameter("id")), http::RequestError);
}

TEST(HttpRequest, SurvivesRandomInput) {
    std::mt19937 random(3);
    for (int i = 0; i < 2000; ++i) {
        http::RequestParser p;
        try {
            p.feed("GET / HTTP/1.1\r\n" + random_bytes(random, 50));
            p.feed(random_bytes(random, 50));
        } catch (const http::RequestError&) {
        }
    }
}

}  // namespace
