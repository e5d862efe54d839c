// Tests the TDS dialect with byte streams that are split, cut or corrupted anywhere, and with attentions at
// each point of a request.
#include <gtest/gtest.h>

#include "emulator/values.h"
#include "event_log.h"
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
const std::string kPreloginResponse = message(wire::PacketType::result, wire::build_prelogin({}));
const std::string kLogin = message(wire::PacketType::login, wire::build_login({}));
const std::string kLoginResponse = message(wire::PacketType::result, done(0));
const std::string kAttention = message(wire::PacketType::attention, "");
const std::string kAttentionAck = message(wire::PacketType::result, done(wire::done::attention));
const std::string kRead = message(
    wire::PacketType::batch,
    wire::build_batch("SELECT data FROM facts WHERE code = 'a' /* id=1,c=roster-view,d=600,cluster=0 */"));
const std::string kWrite = message(
    wire::PacketType::rpc,
    wire::build_rpc(
        {"INSERT INTO facts (code, data) VALUES ('a', 0x00) /* id=2,c=shift-change,d=5000,k=kk,cluster=1 */",
         0,
         {}}));

// A session after its login.
struct Session : DialectSession {
    Session() : DialectSession(tds()) {
        send(Side::client, kPrelogin);
        send(Side::server, kPreloginResponse);
        send(Side::client, kLogin);
        send(Side::server, kLoginResponse);
        events.lines.clear();
    }
};

TEST(TdsDialect, ReportsTheSameEventsHoweverBytesAreSplit) {
    const auto payload = emulator::build_tds_row_response(std::string(3000, 'v'));
    const std::vector<std::string> expected = {"opened " + std::to_string(kPrelogin.size() + kLogin.size()),
                                               "greeted",
                                               "asked 0 1 roster-view  600000",
                                               "answered 0 served ",
                                               "asked 1 2 shift-change kk 5000000",
                                               "answered 1 refused 40501 40000",
                                               "asked 2 1 roster-view  600000",
                                               "answered 2 failed 40197"};
    for (const std::size_t step : {std::size_t{1}, std::size_t{3}, std::size_t{100}, std::string::npos})
        for (const std::size_t packet : {512u, 4096u}) {
            DialectSession t(tds());
            t.send(Side::client, kPrelogin, step);
            t.send(Side::server, kPreloginResponse, step);
            t.send(Side::client, kLogin, step);
            t.send(Side::server, kLoginResponse, step);
            t.send(Side::client, kRead, step);
            t.send(Side::server, message(wire::PacketType::result, payload, packet), step);
            t.send(Side::client, kWrite, step);
            t.send(Side::server,
                   message(wire::PacketType::result, error(40501, "busy: come again after 40 ms")), step);
            t.send(Side::client, kRead, step);
            t.send(Side::server, message(wire::PacketType::result, error(40197, "no member has answered")),
                   step);
            EXPECT_EQ(t.events.lines, expected) << step;
            ASSERT_EQ(t.events.digests.size(), 3u);
            // Packet boundaries do not affect the digest of the response.
            EXPECT_EQ(t.events.digests[0], digest_of(payload));
            EXPECT_EQ(t.memory.held, 0u);
        }
}

TEST(TdsDialect, ReportsWhereAMessageWasCut) {
    const auto answer =
        message(wire::PacketType::result, emulator::build_tds_row_response(std::string(900, 'v')));
    for (std::size_t n = 1; n < kRead.size(); ++n) {
        Session t;
        t.send(Side::client, kRead.substr(0, n));
        t.dialect->over(9);
        ASSERT_EQ(t.events.lines.size(), 1u);
        const auto inside = n % 512;
        EXPECT_NE(t.events.lines[0].find(inside == 0  ? "between two packets of a message"
                                         : inside < 8 ? "inside a packet's header"
                                                      : "inside a packet"),
                  std::string::npos)
            << n << t.events.lines[0];
        EXPECT_EQ(t.memory.held, 0u);
    }
    bool between = false;
    for (std::size_t n = 0; n < answer.size(); ++n) {
        Session t;
        t.send(Side::client, kRead);
        t.send(Side::server, answer.substr(0, n));
        t.dialect->over(9);
        EXPECT_EQ(t.events.lines.back(), "answered 0 none ") << n;
        for (const auto& line : t.events.lines)
            between = between || line.find("inside a token, between two packets") != std::string::npos;
    }
    EXPECT_TRUE(between);
}

TEST(TdsDialect, MatchesAttentionsWithTheirAcknowledgements) {
    const auto row = emulator::build_tds_row_response("v");
    {  // before the response
        Session t;
        t.send(Side::client, kRead + kAttention);
        t.send(Side::server, kAttentionAck);
        EXPECT_EQ(t.events.lines.back(), "answered 0 called off ");
    }
    {  // during the response, which then ends with the acknowledgement
        Session t;
        t.send(Side::client, kRead);
        const auto part = row.substr(0, row.size() - 13);
        t.send(Side::client, kAttention);
        t.send(Side::server, message(wire::PacketType::result, part + done(wire::done::attention)));
        EXPECT_EQ(t.events.lines.back(), "answered 0 called off ");
        t.send(Side::client, kRead);
        t.send(Side::server, message(wire::PacketType::result, row));
        EXPECT_EQ(t.events.lines.back(), "answered 1 served ");
    }
    {  // after the response was sent: both arrive, and the response counts
        Session t;
        t.send(Side::client, kRead + kAttention);
        t.send(Side::server, message(wire::PacketType::result, row) + kAttentionAck);
        EXPECT_EQ(t.events.lines.back(), "answered 0 served ");
        t.send(Side::client, kRead);
        t.send(Side::server, message(wire::PacketType::result, row));
        EXPECT_EQ(t.events.lines.back(), "answered 1 served ");
    }
    {  // before the last packet of the batch, which then cancels the batch
        Session t;
        const auto large = message(wire::PacketType::batch, wire::build_batch(std::string(600, 'x')));
        t.send(Side::client, large.substr(0, 512) + kAttention);
        std::string last = {
            1, static_cast<char>(wire::status::end_of_message | wire::status::ignore), 0, 8, 0, 0, 2, 0};
        t.send(Side::client, last);
        t.send(Side::server, kAttentionAck);
        EXPECT_TRUE(t.events.lines.empty());
        EXPECT_EQ(t.memory.held, 0u);
    }
    {  // acknowledged twice
        Session t;
        t.send(Side::client, kRead + kAttention);
        t.send(Side::server, kAttentionAck + kAttentionAck);
        EXPECT_NE(t.events.lines.back().find("an acknowledgement without an attention"), std::string::npos);
    }
}

TEST(TdsDialect, CutsADirectionAtAMalformedMessage) {
    DialectSession t(tds());
    t.send(Side::client, std::string("\x16\x03\x01\x02\x00", 5));
    EXPECT_NE(t.events.lines.back().find("unsupported packet type 22"), std::string::npos);
    Session u;
    u.send(Side::server, message(wire::PacketType::result, done(0)));
    EXPECT_NE(u.events.lines.back().find("a response without a request"), std::string::npos);
    DialectSession v(tds());
    v.send(Side::client, kRead);
    EXPECT_NE(v.events.lines.back().find("a request before the login"), std::string::npos);
    emulator::Random random(6);
    const std::string good[] = {kPrelogin,
                                kLogin,
                                kRead,
                                kWrite,
                                kAttention,
                                kLoginResponse,
                                message(wire::PacketType::result, emulator::build_tds_row_response("v"))};
    for (int i = 0; i < 3000; ++i) {
        Session s;
        for (int part = 0; part < 6; ++part) {
            auto bytes = good[random.next() % 7];
            bytes[random.next() % bytes.size()] = static_cast<char>(random.next());
            s.send(random.next() % 2 ? Side::client : Side::server, bytes,
                   static_cast<std::size_t>(random.between(1, 99)));
        }
        s.dialect->over(9);
        EXPECT_EQ(s.memory.held, 0u);
        EXPECT_EQ(s.dialect->unanswered(), 0u);
    }
}

TEST(TdsDialect, RenamesOnlyIdAndKey) {
    for (const auto& bytes : {kRead, kWrite}) {
        Session t;
        t.send(Side::client, tds().renamed(bytes, "fresh", "other"));
        EXPECT_EQ(t.events.lines.back().substr(0, 13), "asked 0 fresh");
        EXPECT_EQ(t.events.lines.back().find("other") != std::string::npos,
                  &bytes == &kWrite || bytes == kWrite);
        // Renaming to the original id and key returns the same bytes.
        EXPECT_EQ(tds().renamed(bytes, bytes == kRead ? "1" : "2", "kk"), bytes);
    }
    EXPECT_THROW(tds().renamed("x", "a", "b"), std::invalid_argument);
    EXPECT_THROW(tds().renamed(kLogin, "a", "b"), std::invalid_argument);
}

}  // namespace
