// The figures of a run, on events written by hand.
#include "fault_harness/tally.h"

#include <gtest/gtest.h>

namespace {

using namespace fault_harness;
using emulator::Event;
using emulator::What;

constexpr Time kBegins = 1'000'000'000;
constexpr Micros kSecond = 1'000'000;

Event event(What what, int proxy, Micros at, const std::string& word = "") {
    Event e;
    e.what = what;
    e.proxy = proxy;
    e.at = kBegins + at;
    e.word = word;
    return e;
}
// A request of class hours-report that came then and was answered after `takes`.
Event answered(int proxy, Micros came, Micros takes, const std::string& word = "served", bool last = true) {
    auto e = event(What::answered, proxy, came + takes, word);
    e.since = kBegins + came;
    e.request_class = 1;
    e.last = last;
    return e;
}

// A process's first attempt at a bank needs a connection, whichever member takes it; so does the first since
// the last was closed for want of use, and the first of a process that has started again.
TEST(Tally, CountsTheConnectionsThatNobodyCouldDoWithout) {
    Tally t(2, kBegins, 20 * kSecond, 3, 5 * kSecond);
    const auto sent = [&t](int proxy, int member, Micros at) {
        auto e = event(What::arrived, proxy, at);
        e.member = member;
        t.saw(e);
    };
    sent(0, 0, 0);
    sent(0, 2, 1);     // the same bank
    sent(0, 1002, 2);  // and one in the place of its last member
    sent(0, 3, 3);     // another
    sent(1, 0, 4);     // another process
    EXPECT_EQ(t.total()[0].links_needed, 3u);
    sent(0, 0, 5 * kSecond + 2);
    EXPECT_EQ(t.total()[50].links_needed, 0u);
    sent(0, 0, 10 * kSecond + 3);
    EXPECT_EQ(t.total()[100].links_needed, 1u);
    t.saw(event(What::process, 0, 11 * kSecond, "started"));
    sent(0, 0, 11 * kSecond);
    sent(1, 0, 11 * kSecond);  // unused for long
    sent(1, 1, 11 * kSecond);
    EXPECT_EQ(t.total()[110].links_needed, 2u);
}

TEST(Tally, CountsByProcessAndTenthOfASecond) {
    Tally t(2, kBegins, 2 * kSecond);
    t.saw(event(What::arrived, 1, 150'000));
    t.saw(event(What::linked, 1, 199'999));
    t.saw(event(What::linked, 0, 0, "refused"));
    t.saw(event(What::called, 0, 0, "whole"));
    t.saw(event(What::called, 0, 0, "503"));
    t.saw(event(What::probed, 0, 1'999'999));
    t.saw(event(What::arrived, 1, 2 * kSecond));  // behind the end
    t.saw(event(What::arrived, 1, -1));           // before the beginning
    t.saw(event(What::arrived, 7, 0));            // nobody's
    EXPECT_EQ(t.of(1)[1].attempts, 1u);
    EXPECT_EQ(t.of(1)[1].links, 1u);
    EXPECT_EQ(t.of(0)[0].links_refused, 1u);
    EXPECT_EQ(t.of(0)[0].calls, 2u);
    EXPECT_EQ(t.of(0)[0].calls_failed, 1u);
    EXPECT_EQ(t.total()[19].probes, 1u);
    EXPECT_EQ(t.total()[0].attempts, 0u);
}

TEST(Tally, ARequestCountsWhereItsFirstTryCame) {
    Tally t(1, kBegins, 2 * kSecond);
    t.saw(answered(0, 50'000, 300'000, "refused", false));
    t.saw(answered(0, 50'000, 200'000));
    t.saw(answered(0, 60'000, 250'001));  // a microsecond over its aim
    EXPECT_EQ(t.of(0)[0].requests, 2u);
    EXPECT_EQ(t.of(0)[0].in_aim, 1u);
    EXPECT_EQ(t.of(0)[3].refused, 1u);
    EXPECT_EQ(t.ends().at({1, "served"}), 2u);
    EXPECT_EQ(t.quantile(0.5, 0, kSecond), 200'000);
    EXPECT_EQ(t.quantile(1, 0, kSecond), 250'001);
}

// 100 requests each tenth of a second, served in 50 ms; from `from` to `to` one in ten is refused instead.
Return returned(Micros from, Micros to, Micros ready_at) {
    Tally t(1, kBegins, 20 * kSecond);
    t.saw(event(What::process, 0, -1, "ready"));
    t.saw(event(What::process, 0, 5 * kSecond, "killed"));
    t.saw(event(What::process, 0, ready_at, "ready"));
    for (Micros at = 0; at < 20 * kSecond; at += 1000) {
        const bool bad = at >= from && at < to && at % 10'000 == 0;
        t.saw(answered(0, at, 50'000, bad ? "refused" : "served"));
        if (at % 10'000 == 0) t.saw(event(What::linked, 0, at));
        if (at >= ready_at && at < ready_at + kSecond && at % 5'000 == 0) t.saw(event(What::linked, 0, at));
    }
    return t.back_to_service(kSecond, 5 * kSecond);
}

TEST(Return, IsMeasuredFromTheLastProcessUpUntilServiceIsFullForGood) {
    const auto r = returned(5 * kSecond, 8 * kSecond, 7 * kSecond);
    ASSERT_TRUE(r.measured);
    EXPECT_EQ(r.share_before, 1);
    EXPECT_EQ(r.p99_before, 50'000);
    EXPECT_EQ(r.last_up, kBegins + 7 * kSecond);
    // The first window of a second with under one refused in a hundred begins at 7.9 s.
    EXPECT_EQ(r.full_after, 900'000);
    EXPECT_EQ(r.refused, 300u);
    EXPECT_NEAR(r.links.steady, 100, 1);
    EXPECT_NEAR(r.links.overshoot(), 3, 0.1);
    EXPECT_EQ(returned(5 * kSecond, 6 * kSecond, 7 * kSecond).full_after, 0);
}

TEST(Return, IsNotThereWhileServiceFallsAgain) {
    EXPECT_EQ(returned(5 * kSecond, 20 * kSecond, 7 * kSecond).full_after, -1);
    Tally none(1, kBegins, 3 * kSecond);
    EXPECT_FALSE(none.back_to_service(kSecond, 3 * kSecond).measured);
}

}  // namespace
