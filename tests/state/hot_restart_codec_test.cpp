// The exact bytes of the protocol between an old and a new process. They must not change, because the two
// processes may be of different versions.
#include "hot_restart/hot_restart_codec.h"

#include <gtest/gtest.h>

namespace {

using namespace sloestack::hot_restart;

TEST(HotRestartCodec, EncodesTheExactBytes) {
    EXPECT_EQ(encode(HandshakeRequest{}), "{\"do\":\"hello\"}\n");
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
                             R"({"do":"held"})",
                             R"({"do":"held","number":-1})",
                             R"({"do":"held","number":null})",
                             "{\"do\":\"exclude\",\"member\":\"\xff\",\"number\":1}"})
        EXPECT_FALSE(decode(line).has_value()) << line;
}

}  // namespace
