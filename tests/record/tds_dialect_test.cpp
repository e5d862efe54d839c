// TDS as a recorded dialect: split and cut anywhere, and attentions wherever they fall.
#include <gtest/gtest.h>

#include "emulator/values.h"
#include "heard.h"
#include "tds/login.h"
#include "tds/request.h"
#include "tds/token.h"

namespace {

using namespace sloestack::conversation;
namespace wire = sloestack::tds;

std::string message(wire::PacketType type, const std::string& payload, std::size_t packet = 512) {
    std::string out;
    wire::PacketWriter writer(out);
    writer.set_packet_size(packet);
    writer.message(type, payload);
    return out;
}
std::string done(std::uint16_t status) {
    std::string out;
    wire::TokenBuilder(out).done({wire::Done::Kind::batch, status, 0, 0});
    return out;
}
std::string error(std::int32_t number, const std::string& text) {
    std::string out;
    wire::TokenBuilder(out).error({number, 1, 16, text, "", "", 1});
    return out + done(wire::done::error);
}

const std::string kPrelogin = message(wire::PacketType::prelogin, wire::build_prelogin({}));
const std::string kPreloginAnswer = message(wire::PacketType::result, wire::build_prelogin({}));
const std::string kLogin = message(wire::PacketType::login, wire::build_login({}));
const std::string kWelcome = message(wire::PacketType::result, done(0));
const std::string kAttention = message(wire::PacketType::attention, "");
const std::string kAcknowledged = message(wire::PacketType::result, done(wire::done::attention));
const std::string kRead = message(
    wire::PacketType::batch,
    wire::build_batch("SELECT data FROM facts WHERE code = 'a' /* id=1,c=roster-view,d=600,cluster=0 */"));
const std::string kWrite = message(
    wire::PacketType::rpc,
    wire::build_rpc(
        {"INSERT INTO facts (code, data) VALUES ('a', 0x00) /* id=2,c=shift-change,d=5000,k=kk,cluster=1 */",
         0,
         {}}));

struct Session : Talk {
    Session() : Talk(tds()) {
        say(Side::client, kPrelogin);
        say(Side::server, kPreloginAnswer);
        say(Side::client, kLogin);
        say(Side::server, kWelcome);
        heard.log.clear();
    }
};

TEST(TdsDialect, IsTheSameHoweverItsBytesAreSplit) {
    const auto payload = emulator::build_tds_row_response(std::string(3000, 'v'));
    const std::vector<std::string> wanted = {"opened " + std::to_string(kPrelogin.size() + kLogin.size()),
                                             "greeted",
                                             "asked 0 1 roster-view  600000",
                                             "answered 0 served ",
                                             "asked 1 2 shift-change kk 5000000",
                                             "answered 1 refused 40501 40000",
                                             "asked 2 1 roster-view  600000",
                                             "answered 2 failed 40197"};
    for (const std::size_t step : {std::size_t{1}, std::size_t{3}, std::size_t{100}, std::string::npos})
        for (const std::size_t packet : {512u, 4096u}) {
            Talk t(tds());
            t.say(Side::client, kPrelogin, step);
            t.say(Side::server, kPreloginAnswer, step);
            t.say(Side::client, kLogin, step);
            t.say(Side::server, kWelcome, step);
            t.say(Side::client, kRead, step);
            t.say(Side::server, message(wire::PacketType::result, payload, packet), step);
            t.say(Side::client, kWrite, step);
            t.say(Side::server,
                  message(wire::PacketType::result, error(40501, "busy: come again after 40 ms")), step);
            t.say(Side::client, kRead, step);
            t.say(Side::server, message(wire::PacketType::result, error(40197, "no member has answered")),
                  step);
            EXPECT_EQ(t.heard.log, wanted) << step;
            ASSERT_EQ(t.heard.digests.size(), 3u);
            // Where packets end is no part of the answer.
            EXPECT_EQ(t.heard.digests[0], digest_of(payload));
            EXPECT_EQ(t.memory.held, 0u);
        }
}

TEST(TdsDialect, ACutAtAnyByteIsNamed) {
    const auto answer =
        message(wire::PacketType::result, emulator::build_tds_row_response(std::string(900, 'v')));
    for (std::size_t n = 1; n < kRead.size(); ++n) {
        Session t;
        t.say(Side::client, kRead.substr(0, n));
        t.dialect->over(9);
        ASSERT_EQ(t.heard.log.size(), 1u);
        const auto inside = n % 512;
        EXPECT_NE(t.heard.log[0].find(inside == 0  ? "between two packets of a message"
                                      : inside < 8 ? "inside a packet's header"
                                                   : "inside a packet"),
                  std::string::npos)
            << n << t.heard.log[0];
        EXPECT_EQ(t.memory.held, 0u);
    }
    bool between = false;
    for (std::size_t n = 0; n < answer.size(); ++n) {
        Session t;
        t.say(Side::client, kRead);
        t.say(Side::server, answer.substr(0, n));
        t.dialect->over(9);
        EXPECT_EQ(t.heard.log.back(), "answered 0 none ") << n;
        for (const auto& line : t.heard.log)
            between = between || line.find("inside a token, between two packets") != std::string::npos;
    }
    EXPECT_TRUE(between);
}

TEST(TdsDialect, AnAttentionIsAcknowledgedOnceWhereverItFalls) {
    const auto row = emulator::build_tds_row_response("v");
    {  // before any of the answer
        Session t;
        t.say(Side::client, kRead + kAttention);
        t.say(Side::server, kAcknowledged);
        EXPECT_EQ(t.heard.log.back(), "answered 0 called off ");
    }
    {  // amid the answer: what has come ends with the acknowledgement
        Session t;
        t.say(Side::client, kRead);
        const auto part = row.substr(0, row.size() - 13);
        t.say(Side::client, kAttention);
        t.say(Side::server, message(wire::PacketType::result, part + done(wire::done::attention)));
        EXPECT_EQ(t.heard.log.back(), "answered 0 called off ");
        t.say(Side::client, kRead);
        t.say(Side::server, message(wire::PacketType::result, row));
        EXPECT_EQ(t.heard.log.back(), "answered 1 served ");
    }
    {  // after the answer has left: both come, the answer counts
        Session t;
        t.say(Side::client, kRead + kAttention);
        t.say(Side::server, message(wire::PacketType::result, row) + kAcknowledged);
        EXPECT_EQ(t.heard.log.back(), "answered 0 served ");
        t.say(Side::client, kRead);
        t.say(Side::server, message(wire::PacketType::result, row));
        EXPECT_EQ(t.heard.log.back(), "answered 1 served ");
    }
    {  // before the batch's last packet, which then calls the batch off
        Session t;
        const auto large = message(wire::PacketType::batch, wire::build_batch(std::string(600, 'x')));
        t.say(Side::client, large.substr(0, 512) + kAttention);
        std::string last = {
            1, static_cast<char>(wire::status::end_of_message | wire::status::ignore), 0, 8, 0, 0, 2, 0};
        t.say(Side::client, last);
        t.say(Side::server, kAcknowledged);
        EXPECT_TRUE(t.heard.log.empty());
        EXPECT_EQ(t.memory.held, 0u);
    }
    {  // acknowledged twice, or unasked
        Session t;
        t.say(Side::client, kRead + kAttention);
        t.say(Side::server, kAcknowledged + kAcknowledged);
        EXPECT_NE(t.heard.log.back().find("an acknowledgement of no attention"), std::string::npos);
    }
}

TEST(TdsDialect, WhatIsNoProtocolEndsThatDirection) {
    Talk t(tds());
    t.say(Side::client, std::string("\x16\x03\x01\x02\x00", 5));
    EXPECT_NE(t.heard.log.back().find("unsupported packet type 22"), std::string::npos);
    Session u;
    u.say(Side::server, message(wire::PacketType::result, done(0)));
    EXPECT_NE(u.heard.log.back().find("an answer that nobody asked for"), std::string::npos);
    Talk v(tds());
    v.say(Side::client, kRead);
    EXPECT_NE(v.heard.log.back().find("a request before the login"), std::string::npos);
    emulator::Random random(6);
    const std::string good[] = {kPrelogin,
                                kLogin,
                                kRead,
                                kWrite,
                                kAttention,
                                kWelcome,
                                message(wire::PacketType::result, emulator::build_tds_row_response("v"))};
    for (int i = 0; i < 3000; ++i) {
        Session s;
        for (int part = 0; part < 6; ++part) {
            auto bytes = good[random.next() % 7];
            bytes[random.next() % bytes.size()] = static_cast<char>(random.next());
            s.say(random.next() % 2 ? Side::client : Side::server, bytes,
                  static_cast<std::size_t>(random.between(1, 99)));
        }
        s.dialect->over(9);
        EXPECT_EQ(s.memory.held, 0u);
        EXPECT_EQ(s.dialect->unanswered(), 0u);
    }
}

TEST(TdsDialect, RenamesIdAndKeyAndNothingElse) {
    for (const auto& bytes : {kRead, kWrite}) {
        Session t;
        t.say(Side::client, tds().renamed(bytes, "fresh", "other"));
        EXPECT_EQ(t.heard.log.back().substr(0, 13), "asked 0 fresh");
        EXPECT_EQ(t.heard.log.back().find("other") != std::string::npos,
                  &bytes == &kWrite || bytes == kWrite);
        // Under its own names it is what it was.
        EXPECT_EQ(tds().renamed(bytes, bytes == kRead ? "1" : "2", "kk"), bytes);
    }
    EXPECT_THROW(tds().renamed("x", "a", "b"), std::invalid_argument);
    EXPECT_THROW(tds().renamed(kLogin, "a", "b"), std::invalid_argument);
}

}  // namespace
