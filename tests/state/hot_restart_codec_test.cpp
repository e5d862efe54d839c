// The exact bytes of the protocol between an old and a new process. They must not change, because the two
// processes may be of different versions.
#include "hot_restart/hot_restart_codec.h"

#include <gtest/gtest.h>

namespace {

using namespace sloestack::hot_restart;

TEST(HotRestartCodec, EncodesTheExactBytes) {
    EXPECT_EQ(encode(HandshakeRequest{}), "{\"do\":\"hello\"}\n");
    EXPECT_EQ(encode(HandshakeRequest{true}), "{\"do\":\"hello\",\"sessions\":true}\n");
    EXPECT_EQ(encode(HandshakeRequest{true, true}), "{\"do\":\"hello\",\"older\":true,\"sessions\":true}\n");
    EXPECT_EQ(encode(SessionWriteStatus{true}), "{\"complete\":true,\"do\":\"session_writes\"}\n");
    EXPECT_EQ(encode(SessionWriteStatusRequest{}), "{\"do\":\"session_writes?\"}\n");
    EXPECT_EQ(
        encode(sloestack::decision::SessionWrite{2, 18'446'744'073'709'551'615u, 1'700'000'000'000'000}),
        "{\"cell\":2,\"do\":\"wrote\",\"position\":1700000000000000,\"session\":18446744073709551615}\n");
    EXPECT_EQ(encode(CancelRequest{7, 4'294'967'295u}),
              "{\"do\":\"cancel\",\"process\":7,\"secret\":4294967295}\n");
    EXPECT_EQ(encode(HandshakeComplete{}), "{\"do\":\"welcome\"}\n");
    EXPECT_EQ(encode(ExclusionUpdate{true, "s-5be2a07c", 0}),
              "{\"do\":\"exclude\",\"member\":\"s-5be2a07c\",\"number\":0}\n");
    EXPECT_EQ(encode(ExclusionUpdate{false, "s-5be2a07c", 18'446'744'073'709'551'615u}),
              "{\"do\":\"include\",\"member\":\"s-5be2a07c\",\"number\":18446744073709551615}\n");
    EXPECT_EQ(encode(Acknowledgement{7}), "{\"do\":\"held\",\"number\":7}\n");
}

TEST(HotRestartCodec, EscapesNewlinesQuotesAndBackslashes) {
    EXPECT_EQ(encode(ExclusionUpdate{true, "a\n\"b\\\xc3\xa9", 1}),
              "{\"do\":\"exclude\",\"member\":\"a\\n\\\"b\\\\\xc3\xa9\",\"number\":1}\n");
}

TEST(HotRestartCodec, DecodesEachMessage) {
    EXPECT_TRUE(std::holds_alternative<HandshakeRequest>(decode(R"({"do":"hello"})").value()));
    EXPECT_TRUE(std::holds_alternative<HandshakeComplete>(decode(R"({"do":"welcome"})").value()));
    const auto excluded =
        std::get<ExclusionUpdate>(decode(R"({"do":"exclude","member":"a\nb","number":3})").value());
    EXPECT_TRUE(excluded.excluded);
    EXPECT_EQ(excluded.endpoint, "a\nb");
    EXPECT_EQ(excluded.sequence, 3u);
    const auto included =
        std::get<ExclusionUpdate>(decode(R"({"number":0,"member":"","do":"include"})").value());
    EXPECT_FALSE(included.excluded);
    EXPECT_EQ(included.endpoint, "");
    EXPECT_EQ(included.sequence, 0u);
    EXPECT_FALSE(std::get<HandshakeRequest>(decode(R"({"do":"hello"})").value()).knows_session_messages);
    EXPECT_TRUE(std::get<HandshakeRequest>(decode(R"({"do":"hello","sessions":true})").value())
                    .knows_session_messages);
    EXPECT_TRUE(std::get<SessionWriteStatus>(decode(R"({"do":"session_writes","complete":true})").value())
                    .is_complete);
    EXPECT_TRUE(
        std::holds_alternative<SessionWriteStatusRequest>(decode(R"({"do":"session_writes?"})").value()));
    EXPECT_TRUE(std::get<HandshakeRequest>(decode(R"({"do":"hello","older":true})").value()).is_older);
    const auto write = std::get<sloestack::decision::SessionWrite>(
        decode(R"({"do":"wrote","cell":3,"session":18446744073709551615,"position":5})").value());
    EXPECT_EQ(write.replica_group, 3);
    EXPECT_EQ(write.session, 18'446'744'073'709'551'615u);
    EXPECT_EQ(write.position, 5);
    const auto cancel = std::get<CancelRequest>(decode(R"({"do":"cancel","process":7,"secret":8})").value());
    EXPECT_EQ(cancel.process, 7u);
    EXPECT_EQ(cancel.secret, 8u);
    const auto acknowledgement =
        std::get<Acknowledgement>(decode(R"({"do":"held","number":18446744073709551615})").value());
    EXPECT_EQ(acknowledgement.sequence, 18'446'744'073'709'551'615u);
}

TEST(HotRestartCodec, IgnoresUnknownKeys) {
    EXPECT_TRUE(std::holds_alternative<HandshakeRequest>(decode(R"({"do":"hello","age":1})").value()));
}

TEST(HotRestartCodec, RejectsMalformedLines) {
    for (const char* line : {"",
                             "hello",
                             "[]",
                             "{}",
                             "null",
                             "\"hello\"",
                             "{\"do\":\"hello\"",
                             R"({"do":7})",
                             R"({"do":null})",
                             R"({"do":"goodbye"})",
                             R"({"do":"exclude"})",
                             R"({"do":"exclude","member":"a"})",
                             R"({"do":"exclude","number":1})",
                             R"({"do":"exclude","member":7,"number":1})",
                             R"({"do":"include","member":"a","number":-1})",
                             R"({"do":"include","member":"a","number":1.5})",
                             R"({"do":"include","member":"a","number":"1"})",
                             R"({"do":"session_writes"})",
                             R"({"do":"session_writes","complete":1})",
                             R"({"do":"wrote","session":1,"position":5})",
                             R"({"do":"wrote","cell":3,"position":5})",
                             R"({"do":"wrote","cell":3,"session":"1","position":5})",
                             R"({"do":"wrote","cell":3,"session":1,"position":1.5})",
                             R"({"do":"cancel","process":7})",
                             R"({"do":"cancel","secret":7})",
                             R"({"do":"held"})",
                             R"({"do":"held","number":-1})",
                             R"({"do":"held","number":null})",
                             "{\"do\":\"exclude\",\"member\":\"\xff\",\"number\":1}"})
        EXPECT_FALSE(decode(line).has_value()) << line;
}

}  // namespace
