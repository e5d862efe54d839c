// Tests the PostgreSQL dialect with byte streams that are split, cut or corrupted anywhere.
#include "conversation/conversation.h"

#include <gtest/gtest.h>

#include "emulator/values.h"
#include "event_log.h"
#include "pgwire/build.h"

namespace {

using namespace sloestack::conversation;
namespace pgwire = sloestack::pgwire;

std::string startup() {
    std::string out;
    pgwire::Builder(out).startup_message("portal", "crm");
    return out;
}
std::string greeting() {
    std::string out;
    pgwire::Builder(out).startup_response();
    return out;
}
std::string query(const std::string& statement) {
    std::string out;
    pgwire::Builder(out).query(statement);
    return out;
}
const std::string kRead =
    query("SELECT data FROM facts WHERE code = 'a' /* id=1,c=roster-view,d=600,cluster=0 */");
const std::string kWrite = query(
    "INSERT INTO facts (code, data) VALUES ('a', '\\x00') RETURNING data /* "
    "id=2,c=shift-change,d=5000,k=kk,cluster=1,r=1 */");

std::string rejection() {
    std::string out;
    pgwire::Builder(out).error_response("ERROR", "53300", "not now", 40).ready_for_query();
    return out;
}

const std::vector<std::string> kEvents = {"opened " + std::to_string(startup().size()),
                                          "greeted",
                                          "asked 0 1 roster-view  600000",
                                          "answered 0 served ",
                                          "asked 1 2 shift-change kk 5000000 repeat",
                                          "answered 1 refused 53300 40000"};

TEST(Conversation, ReportsTheSameEventsHoweverBytesAreSplit) {
    const auto answer = emulator::build_row_response("value", false);
    for (const std::size_t step :
         {std::size_t{1}, std::size_t{2}, std::size_t{3}, std::size_t{7}, std::string::npos}) {
        DialectSession t;
        t.send(Side::client, startup(), step);
        t.send(Side::server, greeting(), step);
        t.send(Side::client, kRead, step);
        t.send(Side::server, answer, step);
        t.send(Side::client, kWrite, step);
        t.send(Side::server, rejection(), step);
        EXPECT_EQ(t.events.lines, kEvents) << "step " << step;
        EXPECT_EQ(t.events.digests[0], digest_of(answer)) << "step " << step;
        EXPECT_EQ(t.memory.held, 0u);
    }
}

TEST(Conversation, HashesLargeValuesWithoutBuffering) {
    const auto answer = emulator::build_row_response(std::string(3'000'000, 'v'), false);
    for (const std::size_t step : {std::size_t{1000}, std::size_t{1460}, std::size_t{200'000}}) {
        DialectSession t;
        t.send(Side::client, startup() + kRead);
        t.send(Side::server, greeting());
        std::size_t most = 0;
        for (std::size_t at = 0; at < answer.size(); at += step) {
            t.dialect->read(Side::server, std::string_view(answer).substr(at, step), 7);
            most = std::max(most, t.memory.held);
        }
        ASSERT_EQ(t.events.digests.size(), 1u);
        EXPECT_EQ(t.events.digests[0], digest_of(answer));
        EXPECT_LT(most, 80'000u);
    }
}

// The client's stream ends at each byte of a request: no request is reported, and the reason of the cut says
// where in the message the stream ended.
TEST(Conversation, ReportsWhereARequestWasCut) {
    const auto all = startup() + kRead;
    for (std::size_t n = startup().size(); n < all.size(); ++n) {
        DialectSession t;
        t.send(Side::client, all.substr(0, n));
        t.dialect->over(9);
        const auto inside = n - startup().size();
        const std::string place = " " + std::to_string(startup().size()) + " ";
        const auto& lines = t.events.lines;
        if (inside == 0) {
            EXPECT_EQ(lines.size(), 1u);
            continue;
        }
        EXPECT_EQ(lines.back(), "cut client" + place +
                                    (inside < 5 ? "inside a length word" : "inside a message") +
                                    ": the stream ends");
    }
}

TEST(Conversation, ReportsNoResponseIfItWasCut) {
    const auto answer = emulator::build_row_response("value", false);
    for (std::size_t n = 0; n < answer.size(); ++n) {
        DialectSession t;
        t.send(Side::client, startup() + kRead);
        t.send(Side::server, greeting() + answer.substr(0, n));
        t.dialect->over(9);
        EXPECT_EQ(t.events.lines.back(), "answered 0 none ") << n;
    }
    // A fatal error is not followed by ReadyForQuery; the request is reported as failed.
    DialectSession t;
    t.send(Side::client, startup() + kRead);
    std::string fatal;
    pgwire::Builder(fatal).error_response("FATAL", "57P01", "stopping");
    t.send(Side::server, greeting() + fatal);
    t.dialect->over(9);
    EXPECT_EQ(t.events.lines.back(), "answered 0 failed 57P01");
}

TEST(Conversation, ReadsDeclinedEncryptionPipelinesAndLivenessChecks) {
    DialectSession t;
    t.send(Side::client, std::string("\0\0\0\x08\x04\xd2\x16\x2f", 8));
    t.send(Side::server, "N");
    t.send(Side::client, startup() + kRead + query("") + kWrite);
    std::string rest;
    pgwire::Builder(rest).empty_query_response().ready_for_query();
    t.send(Side::server, greeting() + emulator::build_row_response("x", false) + rest + rejection());
    const std::vector<std::string> expected = {"opened " + std::to_string(startup().size()),
                                               "asked 0 1 roster-view  600000 ahead",
                                               "asked 1    0 ahead",
                                               "asked 2 2 shift-change kk 5000000 ahead repeat",
                                               "greeted",
                                               "answered 0 served ",
                                               "answered 1 empty ",
                                               "answered 2 refused 53300 40000"};
    EXPECT_EQ(t.events.lines, expected);
}

TEST(Conversation, CutsADirectionAtAMalformedMessage) {
    DialectSession t;
    t.send(Side::client, "GET / HTTP/1.1\r\n\r\n");
    ASSERT_EQ(t.events.lines.size(), 1u);
    EXPECT_EQ(t.events.lines[0].substr(0, 35), "cut client 0 not of the protocol: a");
    DialectSession u;
    u.send(Side::client, startup() + std::string("P\0\0\0\x04", 5));
    EXPECT_EQ(u.events.lines.back().substr(0, 10), "cut client");
    // A response whose length exceeds the limit is cut at its header.
    DialectSession v;
    v.send(Side::client, startup() + kRead);
    v.send(Side::server, greeting() + std::string("D\x7f\xff\xff\xff", 5));
    EXPECT_EQ(v.events.lines.back().substr(0, 10), "cut server");
}

TEST(Conversation, BoundsBufferedBytes) {
    DialectSession t;
    t.memory.most = 100;
    t.send(Side::client, startup());
    t.send(Side::client, query(std::string(5000, 'x')), 10);
    EXPECT_EQ(t.events.lines.back(), "cut client " + std::to_string(startup().size()) +
                                         " incomplete messages exceed the memory limit");
    EXPECT_EQ(t.memory.held, 0u);
}

TEST(Conversation, SurvivesCorruptedBytes) {
    emulator::Random random(5);
    const std::string good[] = {
        startup(), greeting(), kRead, kWrite, emulator::build_row_response("v", true), rejection()};
    for (int i = 0; i < 3000; ++i) {
        DialectSession t;
        for (int part = 0; part < 6; ++part) {
            auto bytes = good[random.next() % 6];
            for (int k = 0; k < 2; ++k)
                bytes[random.next() % bytes.size()] = static_cast<char>(random.next());
            if (random.next() % 2) bytes.resize(random.next() % (bytes.size() + 1));
            t.send(random.next() % 2 ? Side::client : Side::server, bytes,
                   static_cast<std::size_t>(random.between(1, 40)));
        }
        t.dialect->lost(Side::client, 9, "a hole");
        t.dialect->over(9);
        EXPECT_EQ(t.memory.held, 0u);
        EXPECT_EQ(t.dialect->unanswered(), 0u);
    }
}

TEST(Conversation, RenamesOnlyIdAndKey) {
    const auto renamed = postgres().renamed(kWrite, "fresh-id", "fresh-key");
    auto expected = kWrite;
    expected.replace(expected.find("id=2"), 4, "id=fresh-id");
    expected.replace(expected.find("k=kk"), 4, "k=fresh-key");
    expected[3] = static_cast<char>((expected.size() - 1) >> 8);
    expected[4] = static_cast<char>(expected.size() - 1);
    EXPECT_EQ(renamed, expected);
    EXPECT_THROW(postgres().renamed("no message", "a", "b"), std::invalid_argument);
    EXPECT_THROW(postgres().renamed(query("SELECT 1"), "a", "b"), std::invalid_argument);
}

TEST(Verdict, NamesACauseOnlyForDecisionsOfAProxy) {
    const auto of = [](Kind kind, std::uint64_t low, std::string code = {}) {
        ResponseEvent a;
        a.kind = kind;
        a.digest = {low, 0, 5};
        a.code = std::move(code);
        return a;
    };
    EXPECT_TRUE(compare(of(Kind::served, 1), of(Kind::served, 1)).same);
    EXPECT_EQ(compare(of(Kind::served, 1), of(Kind::served, 2)).cause, Cause::none);
    EXPECT_FALSE(compare(of(Kind::served, 1), of(Kind::served, 2)).same);
    EXPECT_EQ(compare(of(Kind::served, 1), of(Kind::refused, 2, "53300")).cause, Cause::refused);
    EXPECT_EQ(compare(of(Kind::failed, 1, "58000"), of(Kind::served, 2)).cause, Cause::failed);
    EXPECT_EQ(compare(of(Kind::served, 1), of(Kind::none, 0)).cause, Cause::none);
    EXPECT_FALSE(compare(of(Kind::served, 1), of(Kind::none, 0)).same);
}

}  // namespace
