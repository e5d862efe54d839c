// The PostgreSQL wire format: framing of messages and the tags in a statement.
#include <gtest/gtest.h>

#include <random>
#include <string>

#include "pgwire/build.h"
#include "pgwire/statement.h"
#include "traffic/statement.h"

namespace {

using namespace sloestack;

const std::string kStatement =
    "SELECT data FROM facts WHERE code = '7f/*' "
    "/* id=9b,c=view,d=480,k=5c,cluster=2,after=1767225600123,r=1 */";

TEST(PgwireFrame, NextMessageWaitsForTheWholeMessage) {
    std::string bytes;
    pgwire::Builder(bytes).query("SELECT 1").ready_for_query();
    for (std::size_t i = 0; i < 14; ++i) ASSERT_TRUE(!pgwire::next_message(bytes.substr(0, i)));
    const auto m = pgwire::next_message(bytes);
    ASSERT_TRUE(m && m->type == 'Q' && m->size == 14);
    ASSERT_TRUE(pgwire::next_message(std::string_view(bytes).substr(m->size))->type == 'Z');
}

TEST(PgwireFrame, RejectsImpossibleLengths) {
    ASSERT_THROW(static_cast<void>(pgwire::next_message(std::string("Q\0\0\0\3", 5))), pgwire::ProtocolError);
    // Refused by its length alone: guards against waiting for, and keeping, what is too large.
    ASSERT_THROW(static_cast<void>(pgwire::next_message("Q\x7f\xff\xff\xff")), pgwire::ProtocolError);
    ASSERT_THROW(static_cast<void>(pgwire::next_startup(std::string("\0\1\0\0", 4))), pgwire::ProtocolError);
    ASSERT_THROW(static_cast<void>(pgwire::read_startup(std::string("\0\2\0\0", 4))), pgwire::ProtocolError);
}

TEST(PgwireFrame, ReadsTheMinorProtocolVersion) {
    ASSERT_TRUE(pgwire::read_startup(std::string("\0\3\0\2", 4)).minor == 2);
}

TEST(PgwireStatement, ReadsTagsAndReplacesTheTimeLeft) {
    const auto t = pgwire::read_tags(kStatement);
    ASSERT_TRUE(t.id == "9b" && t.request_class == "view" && t.time_left_ms == 480 && t.cluster == 2 &&
                t.is_retry);
    ASSERT_TRUE(t.first_literal == "7f/*" && t.key == "5c" && t.after_ms == 1767225600123);
    const traffic::Statement s{kStatement, t.time_left_offset, t.time_left_size};
    ASSERT_TRUE(s.with_time_left(12'345) == std::string(kStatement).replace(kStatement.find("480"), 3, "12"));
    ASSERT_TRUE(s.with_time_left(-1) == std::string(kStatement).replace(kStatement.find("480"), 3, "1"));
}

TEST(PgwireStatement, RejectsMalformedTags) {
    for (const char* bad :
         {"SELECT 1", "/* id=1,c=v,d=1,cluster=0 */", "SELECT '1' /* c=v,d=1,cluster=0 */",
          "SELECT '1' /* id=1,d=1,cluster=0 */", "SELECT '1' /* id=1,c=v,cluster=0 */",
          "SELECT '1' /* id=1,c=v,d=1 */", "SELECT '1' /* id=1,c=v,d=-1,cluster=0 */",
          "SELECT '1' /* id=1,c=v,d=99999999999999999999,cluster=0 */",
          "SELECT '1' /* id=1,c=v,d=1,cluster=x */", "SELECT '1' /* id=1,,c=v,d=1,cluster=0 */",
          "SELECT '1' /*/", "SELECT '1 /* id=1,c=v,d=1,cluster=0 */",
          "SELECT '1' /* id=1,c=v,d=1,cluster=70000 */"})
        ASSERT_THROW(static_cast<void>(pgwire::read_tags(bad)), pgwire::ProtocolError);
}

TEST(PgwireStatement, RecognizesBlankText) {
    ASSERT_TRUE(pgwire::is_blank(" ;\n") && !pgwire::is_blank("x"));
}

TEST(PgwireStatement, SurvivesRandomChanges) {
    std::mt19937 random(1);
    for (int i = 0; i < 2000; ++i) {
        auto text = kStatement;
        text[random() % text.size()] = static_cast<char>(random());
        try {
            ASSERT_TRUE(pgwire::read_tags(text).time_left_offset < text.size());
        } catch (const pgwire::ProtocolError&) {
        }
    }
}

}  // namespace
