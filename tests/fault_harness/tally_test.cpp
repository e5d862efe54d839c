// Figures of a run, computed from hand-written events.
#include "fault_harness/tally.h"

#include <gtest/gtest.h>

namespace {

using namespace fault_harness;
using emulator::Event;
using emulator::What;

constexpr Time kStartTime = 1'000'000'000;
constexpr Micros kSecond = 1'000'000;

Event event(What what, int proxy, Micros at, const std::string& word = "") {
    Event e;
    e.what = what;
    e.proxy = proxy;
    e.at = kStartTime + at;
    e.word = word;
    return e;
}
// The response to a request of class hours-report whose first try arrived at `arrived_at`, `latency` later.
Event response(int proxy, Micros arrived_at, Micros latency, const std::string& word = "served",
               bool last = true) {
    auto e = event(What::answered, proxy, arrived_at + latency, word);
    e.since = kStartTime + arrived_at;
    e.request_class = 1;
    e.last = last;
    return e;
}

// A proxy's first attempt to a replica group needs a connection, whichever endpoint receives it; so do the
// first after idle connections were closed and the first after a restart of the proxy.
TEST(Tally, CountsUnavoidableConnections) {
    Tally t(2, kStartTime, 20 * kSecond, 3, 5 * kSecond);
    const auto send = [&t](int proxy, int member, Micros at) {
        auto e = event(What::arrived, proxy, at);
        e.member = member;
        t.add(e);
    };
    send(0, 0, 0);
    send(0, 2, 1);     // the same replica group
    send(0, 1002, 2);  // the replacement of the group's last endpoint
    send(0, 3, 3);     // another replica group
    send(1, 0, 4);     // another proxy
    EXPECT_EQ(t.total()[0].connections_needed, 3u);
    send(0, 0, 5 * kSecond + 2);
    EXPECT_EQ(t.total()[50].connections_needed, 0u);
    send(0, 0, 10 * kSecond + 3);
    EXPECT_EQ(t.total()[100].connections_needed, 1u);
    t.add(event(What::process, 0, 11 * kSecond, "started"));
    send(0, 0, 11 * kSecond);
    send(1, 0, 11 * kSecond);  // its connections were closed for being idle
    send(1, 1, 11 * kSecond);
    EXPECT_EQ(t.total()[110].connections_needed, 2u);
}

TEST(Tally, CountsByProxyAndBin) {
    Tally t(2, kStartTime, 2 * kSecond);
    t.add(event(What::arrived, 1, 150'000));
    t.add(event(What::linked, 1, 199'999));
    t.add(event(What::linked, 0, 0, "refused"));
    t.add(event(What::called, 0, 0, "whole"));
    t.add(event(What::called, 0, 0, "503"));
    t.add(event(What::probed, 0, 1'999'999));
    t.add(event(What::arrived, 1, 2 * kSecond));  // after the end
    t.add(event(What::arrived, 1, -1));           // before the start
    t.add(event(What::arrived, 7, 0));            // no such proxy
    EXPECT_EQ(t.proxy_bins(1)[1].attempts, 1u);
    EXPECT_EQ(t.proxy_bins(1)[1].connections, 1u);
    EXPECT_EQ(t.proxy_bins(0)[0].connections_rejected, 1u);
    EXPECT_EQ(t.proxy_bins(0)[0].polls, 2u);
    EXPECT_EQ(t.proxy_bins(0)[0].polls_failed, 1u);
    EXPECT_EQ(t.total()[19].health_checks, 1u);
    EXPECT_EQ(t.total()[0].attempts, 0u);
}

TEST(Tally, CountsARequestAtTheArrivalOfItsFirstTry) {
    Tally t(1, kStartTime, 2 * kSecond);
    t.add(response(0, 50'000, 300'000, "refused", false));
    t.add(response(0, 50'000, 200'000));
    t.add(response(0, 60'000, 250'001));  // one microsecond over its latency objective
    EXPECT_EQ(t.proxy_bins(0)[0].requests, 2u);
    EXPECT_EQ(t.proxy_bins(0)[0].in_objective, 1u);
    EXPECT_EQ(t.proxy_bins(0)[3].rejected, 1u);
    EXPECT_EQ(t.outcomes().at({1, "served"}), 2u);
    EXPECT_EQ(t.quantile(0.5, 0, kSecond), 200'000);
    EXPECT_EQ(t.quantile(1, 0, kSecond), 250'001);
}

// 100 requests per 100 ms, served in 50 ms; from `from` to `to` one in ten is rejected instead.
Recovery recovery_after(Micros from, Micros to, Micros ready_at) {
    Tally t(1, kStartTime, 20 * kSecond);
    t.add(event(What::process, 0, -1, "ready"));
    t.add(event(What::process, 0, 5 * kSecond, "killed"));
    t.add(event(What::process, 0, ready_at, "ready"));
    for (Micros at = 0; at < 20 * kSecond; at += 1000) {
        const bool bad = at >= from && at < to && at % 10'000 == 0;
        t.add(response(0, at, 50'000, bad ? "refused" : "served"));
        if (at % 10'000 == 0) t.add(event(What::linked, 0, at));
        if (at >= ready_at && at < ready_at + kSecond && at % 5'000 == 0) t.add(event(What::linked, 0, at));
    }
    return t.recovery(kSecond, 5 * kSecond);
}

TEST(Recovery, LastsFromTheLastReadyProxyUntilServiceStaysFull) {
    const auto r = recovery_after(5 * kSecond, 8 * kSecond, 7 * kSecond);
    ASSERT_TRUE(r.measured);
    EXPECT_EQ(r.share_before, 1);
    EXPECT_EQ(r.p99_before, 50'000);
    EXPECT_EQ(r.last_up, kStartTime + 7 * kSecond);
    // The first window of one second with less than 1 % rejected requests begins at 7.9 s.
    EXPECT_EQ(r.full_after, 900'000);
    EXPECT_EQ(r.rejected, 300u);
    EXPECT_NEAR(r.connections.steady, 100, 1);
    EXPECT_NEAR(r.connections.overshoot(), 3, 0.1);
    EXPECT_EQ(recovery_after(5 * kSecond, 6 * kSecond, 7 * kSecond).full_after, 0);
}

TEST(Recovery, IsAbsentWhileServiceStaysDegraded) {
    EXPECT_EQ(recovery_after(5 * kSecond, 20 * kSecond, 7 * kSecond).full_after, -1);
    Tally tally(1, kStartTime, 3 * kSecond);
    EXPECT_FALSE(tally.recovery(kSecond, 3 * kSecond).measured);
}

}  // namespace
