// Tests of parsing endpoints' responses: values, errors, replication status and malformed messages.
#include <gtest/gtest.h>

#include <random>
#include <string>
#include <string_view>
#include <utility>

#include "connection_pool/load_report.h"
#include "pgwire/build.h"
#include "postgres/response_parser.h"
#include "random_bytes.h"

namespace {

using namespace sloestack;

using decision::Outcome;
using decision::Role;

// Parses the messages in `bytes` and sets `is_complete` to whether they end the response.
postgres::ResponseParser parse(const std::string& bytes, bool& is_complete) {
    postgres::ResponseParser parser;
    std::string_view unread = bytes;
    is_complete = false;
    while (const auto message =
               pgwire::next_message(unread, [&](char type) { return parser.max_size_of(type); })) {
        is_complete = parser.read(*message);
        unread.remove_prefix(message->size);
    }
    return parser;
}

// Returns a RowDescription message followed by the first `size` bytes of `tail`.
std::string row_description_and(const char* tail, std::size_t size) {
    std::string out;
    pgwire::Builder(out).row_description("data", 17, true);
    return out + std::string(tail, size);
}

TEST(PostgresResponse, ReadsValueStatusAndLoadReport) {
    std::string bytes;
    bool is_complete = false;
    pgwire::Builder(bytes)
        .row_description("data", 17, true)
        .data_row("v")
        .command_complete("SELECT 1")
        .parameter_status("role", "primary")
        .parameter_status("applied_ms", "1767225600123")
        .parameter_status("load", "x0=1767225600.5,x1=0,active=7")
        .ready_for_query();
    auto parser = parse(bytes, is_complete);
    ASSERT_TRUE(is_complete && parser.response().outcome == Outcome::ok &&
                parser.response().value->bytes == "v" && parser.response().value->type == 17);
    ASSERT_TRUE(parser.response().value->is_binary && parser.response().value->command_tag == "SELECT 1" &&
                parser.response().value->column == "data");
    ASSERT_TRUE(parser.response().status.role == Role::primary &&
                parser.response().status.position == 1767225600123000);
    ASSERT_TRUE(parser.response().reported_status.role == Role::replica &&
                parser.response().reported_status.position == 1767225600500000);
}

TEST(PostgresResponse, IgnoresLoadReportWithAnyInvalidPair) {
    // If one pair is invalid, the other pairs are not used either.
    for (const char* report : {"x0=1767225600.5,x1=2", "x0=1767225600.5,,x1=1", "x0=1767225600.5,inflight=-1",
                               "x0=1767225600.5,x1", "x0=1767225600.5,x1=nan", "x0=inf"})
        ASSERT_TRUE(!upstream::parse_load_report(report).position &&
                    upstream::parse_load_report(report).role == Role::unknown);
}

TEST(PostgresResponse, MapsErrorCodesToOutcomes) {
    std::string bytes;
    bool is_complete = false;
    for (const auto& [code, outcome] : {std::pair{"25006", Outcome::not_eligible},
                                        {"72000", Outcome::not_eligible},
                                        {"53300", Outcome::overloaded},
                                        {"XX000", Outcome::error},
                                        {"08P01", Outcome::error}}) {
        bytes.clear();
        pgwire::Builder(bytes).error_response("ERROR", code, "x").ready_for_query();
        ASSERT_TRUE(parse(bytes, is_complete).response().outcome == outcome && is_complete);
    }
}

TEST(PostgresResponse, IsErrorOrIncompleteWithoutRowOrCompletion) {
    std::string bytes;
    bool is_complete = false;
    // Guards against reporting a value that no endpoint sent, for a command that completes without a row.
    bytes.clear();
    pgwire::Builder(bytes).command_complete("SELECT 0").ready_for_query();
    ASSERT_TRUE(parse(bytes, is_complete).response().outcome == Outcome::error);
    bytes.clear();
    pgwire::Builder(bytes).row_description("data", 17, true).data_row("v");
    ASSERT_TRUE(!parse(bytes, is_complete).response().outcome && !is_complete);
    bytes.clear();
    pgwire::Builder(bytes).ready_for_query();
    ASSERT_THROW(static_cast<void>(parse(bytes, is_complete)), pgwire::ProtocolError);
}

TEST(PostgresResponse, RejectsInvalidTypeOrLengthBeforeWholeMessageArrives) {
    bool is_complete = false;
    // Guards against waiting for the rest of a message that is invalid whatever follows.
    for (const std::string& bytes :
         {std::string("x"), std::string("D"), std::string("Z"), row_description_and("T", 1),
          row_description_and("Z", 1), row_description_and("D\xc0\0\0\0", 5),
          row_description_and("D\0\x60\0\0", 5), row_description_and("D\0\0\0\xb\0\1\0\0\0\2v", 12),
          row_description_and("D\0\0\0\xb\0\1\0\0\0\0v", 12),
          row_description_and("D\0\0\0\xb\0\1\xff\xff\xff\xffv", 12),
          row_description_and("D\0\0\0\xb\0\1\0\0\0\1vD", 13),
          row_description_and("C\0\0\0\6a\0Z\0\0\0\5x", 13)})
        ASSERT_THROW(static_cast<void>(parse(bytes, is_complete)), pgwire::ProtocolError);
}

TEST(PostgresResponse, ChecksLengthsInHeaderOfStreamedRow) {
    bool is_complete = false;
    // The lengths of the message and of its value must agree.
    const auto value_size_of = [&](const std::string& header, std::size_t size) {
        auto parser = parse(row_description_and("", 0), is_complete);
        return parser.begin_streamed_row(header, size);
    };
    ASSERT_TRUE(value_size_of(std::string("D\0\1\x86\xaa\0\1\0\1\x86\xa0", 11), 100'011) == 100'000);
    ASSERT_THROW(static_cast<void>(value_size_of(std::string("D\0\1\x86\xaa\0\1\0\1\x86\xa1", 11), 100'011)),
                 pgwire::ProtocolError);
    ASSERT_THROW(static_cast<void>(value_size_of(std::string("D\0\1\x86\xaa\0\2\0\1\x86\xa0", 11), 100'011)),
                 pgwire::ProtocolError);
    ASSERT_THROW(
        static_cast<void>(value_size_of(std::string("D\0\1\x86\xaa\0\1\xff\xff\xff\xff", 11), 100'011)),
        pgwire::ProtocolError);
}

TEST(PostgresResponse, SurvivesRandomMessages) {
    std::mt19937 random(3);
    for (int i = 0; i < 5000; ++i) {
        const auto body = random_bytes(random, random() % 40);
        try {
            postgres::ResponseParser().read({"STDCEINZR"[random() % 9], body, body.size()});
        } catch (const pgwire::ProtocolError&) {
        }
    }
}

}  // namespace
