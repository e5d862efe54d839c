// Answers of PostgreSQL members: values, errors, status and malformed messages.
#include <gtest/gtest.h>

#include <random>
#include <string>
#include <string_view>
#include <utility>

#include "connection_pool/load_report.h"
#include "pgwire/build.h"
#include "postgres/reply_parser.h"
#include "random_bytes.h"

namespace {

using namespace sloestack;

using decision::Outcome;
using decision::Role;

postgres::ReplyParser reply_to(const std::string& bytes, bool& whole) {
    postgres::ReplyParser out;
    std::string_view left = bytes;
    whole = false;
    while (const auto m = pgwire::next_message(left, [&](char type) { return out.max_size_of(type); })) {
        whole = out.read(*m);
        left.remove_prefix(m->size);
    }
    return out;
}

// A row description, and behind it `size` bytes of `tail`.
std::string row(const char* tail, std::size_t size) {
    std::string out;
    pgwire::Builder(out).row_description("data", 17, true);
    return out + std::string(tail, size);
}

TEST(PostgresReply, ReadsValueStatusAndLoadReport) {
    std::string bytes;
    bool whole = false;
    pgwire::Builder(bytes)
        .row_description("data", 17, true)
        .data_row("v")
        .command_complete("SELECT 1")
        .parameter_status("role", "primary")
        .parameter_status("applied_ms", "1767225600123")
        .parameter_status("load", "x0=1767225600.5,x1=0,active=7")
        .ready_for_query();
    auto r = reply_to(bytes, whole);
    ASSERT_TRUE(whole && r.response().outcome == Outcome::ok && r.response().value->bytes == "v" &&
                r.response().value->type == 17);
    ASSERT_TRUE(r.response().value->is_binary && r.response().value->command_tag == "SELECT 1" &&
                r.response().value->column == "data");
    ASSERT_TRUE(r.response().status.role == Role::primary &&
                r.response().status.position == 1767225600123000);
    ASSERT_TRUE(r.response().reported_status.role == Role::replica &&
                r.response().reported_status.position == 1767225600500000);
}

TEST(PostgresReply, RejectsALoadReportWithAnyUnreadablePart) {
    // A report that cannot be read in part tells nothing at all.
    for (const char* bad : {"x0=1767225600.5,x1=2", "x0=1767225600.5,,x1=1", "x0=1767225600.5,inflight=-1",
                            "x0=1767225600.5,x1", "x0=1767225600.5,x1=nan", "x0=inf"})
        ASSERT_TRUE(!upstream::parse_load_report(bad).position &&
                    upstream::parse_load_report(bad).role == Role::unknown);
}

TEST(PostgresReply, MapsErrorCodesToOutcomes) {
    std::string bytes;
    bool whole = false;
    for (const auto& [code, outcome] : {std::pair{"25006", Outcome::not_eligible},
                                        {"72000", Outcome::not_eligible},
                                        {"53300", Outcome::overloaded},
                                        {"XX000", Outcome::error},
                                        {"08P01", Outcome::error}}) {
        bytes.clear();
        pgwire::Builder(bytes).error_response("ERROR", code, "x").ready_for_query();
        ASSERT_TRUE(reply_to(bytes, whole).response().outcome == outcome && whole);
    }
}

TEST(PostgresReply, IsAnErrorOrUnfinishedWithoutARow) {
    std::string bytes;
    bool whole = false;
    // An end without a row serves nothing: guards against an answer that no member made.
    bytes.clear();
    pgwire::Builder(bytes).command_complete("SELECT 0").ready_for_query();
    ASSERT_TRUE(reply_to(bytes, whole).response().outcome == Outcome::error);
    bytes.clear();
    pgwire::Builder(bytes).row_description("data", 17, true).data_row("v");
    ASSERT_TRUE(!reply_to(bytes, whole).response().outcome && !whole);
    bytes.clear();
    pgwire::Builder(bytes).ready_for_query();
    ASSERT_THROW(static_cast<void>(reply_to(bytes, whole)), pgwire::ProtocolError);
}

TEST(PostgresReply, RejectsByTypeOrLengthBeforeTheRestIsThere) {
    bool whole = false;
    // Refused by type or length before the rest is there: guards against waiting for what will be no answer.
    for (const std::string& bad :
         {std::string("x"), std::string("D"), std::string("Z"), row("T", 1), row("Z", 1),
          row("D\xc0\0\0\0", 5), row("D\0\x60\0\0", 5), row("D\0\0\0\xb\0\1\0\0\0\2v", 12),
          row("D\0\0\0\xb\0\1\0\0\0\0v", 12), row("D\0\0\0\xb\0\1\xff\xff\xff\xffv", 12),
          row("D\0\0\0\xb\0\1\0\0\0\1vD", 13), row("C\0\0\0\6a\0Z\0\0\0\5x", 13)})
        ASSERT_THROW(static_cast<void>(reply_to(bad, whole)), pgwire::ProtocolError);
}

TEST(PostgresReply, ChecksTheLengthsInTheHeadOfALargeRow) {
    bool whole = false;
    // A large row is known by its head, whose lengths must agree.
    const auto begun = [&](const std::string& head, std::size_t size) {
        auto reply = reply_to(row("", 0), whole);
        return reply.begin_streamed_row(head, size);
    };
    ASSERT_TRUE(begun(std::string("D\0\1\x86\xaa\0\1\0\1\x86\xa0", 11), 100'011) == 100'000);
    ASSERT_THROW(static_cast<void>(begun(std::string("D\0\1\x86\xaa\0\1\0\1\x86\xa1", 11), 100'011)),
                 pgwire::ProtocolError);
    ASSERT_THROW(static_cast<void>(begun(std::string("D\0\1\x86\xaa\0\2\0\1\x86\xa0", 11), 100'011)),
                 pgwire::ProtocolError);
    ASSERT_THROW(static_cast<void>(begun(std::string("D\0\1\x86\xaa\0\1\xff\xff\xff\xff", 11), 100'011)),
                 pgwire::ProtocolError);
}

TEST(PostgresReply, SurvivesRandomMessages) {
    std::mt19937 random(3);
    for (int i = 0; i < 5000; ++i) {
        const auto body = random_bytes(random, random() % 40);
        try {
            postgres::ReplyParser().read({"STDCEINZR"[random() % 9], body, body.size()});
        } catch (const pgwire::ProtocolError&) {
        }
    }
}

}  // namespace
