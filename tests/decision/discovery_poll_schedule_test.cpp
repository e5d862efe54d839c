// The schedule of calls to discovery: what one router does is within the operators' bound, and what all do is
// within what discovery bears.
#include "discovery_poll_schedule.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

namespace {

using namespace sloestack::decision;

constexpr double kHighest = 0.999'999'9;  // of a draw

Settings of(int routers) {
    Settings s;
    s.router_count = routers;
    s.discovery_is_polled = true;
    return s;
}

Settings pushed(int routers) {
    auto s = of(routers);
    s.discovery_agent_is_local = true;
    return s;
}

// The most calls that any second sees.
std::size_t most_in_a_second(std::vector<Micros> at) {
    std::sort(at.begin(), at.end());
    std::size_t most = 0;
    for (std::size_t i = 0, j = 0; i < at.size(); ++i) {
        while (at[i] - at[j] > 1'000'000) ++j;
        most = std::max(most, i - j + 1);
    }
    return most;
}

// How discovery may fail a call, and after how long: at once, in its queue, or not at all.
constexpr Micros kQueue = 2'000'000;
const FailedPoll kFates[] = {
    {true, 0},  {true, kQueue}, {true, 9'000'000}, {false, 0}, {false, PollBackoff::kPollTimeoutUs},
    {false, {}}};

// From the beginning of a call that fails so to the next one's, at most, however many have failed before it.
Micros longest_between(const Settings& s, const FailedPoll& fate) {
    PollBackoff c(s);
    Micros most = 0;
    for (int i = 0; i < 20; ++i) most = std::max(most, c.delay_after_failure(fate, kHighest));
    // One that has been out for longer than any queue lets it wait was held: it had told of all before its
    // end.
    return most +
           std::min(PollBackoff::kPollTimeoutUs, fate.duration_us.value_or(PollBackoff::kPollTimeoutUs));
}

// One whose held call has been answered; its next call is held.
PollTimeouts watching(const Settings& s) {
    PollTimeouts t(s, 7);
    t.on_list(false);
    t.on_list(true);
    return t;
}

TEST(PollBackoff, EveryChainOfWaitsIsUnderSixSeconds) {
    for (int routers = 1; routers <= 2000; ++routers)
        for (const auto& s : {of(routers), pushed(routers)}) {
            const Micros patience = PollTimeouts(s, 1).next().timeout_us;
            EXPECT_LE(patience, PollBackoff::kPollTimeoutUs);
            auto t = watching(s);
            const Micros silent = t.next().timeout_us;
            t.on_silence(true);
            const Micros behind_silence = t.next().timeout_us;
            EXPECT_LT(silent + behind_silence, PollBackoff::kNotificationBoundUs) << routers;
            for (const auto& fate : kFates)
                EXPECT_LT(longest_between(s, fate) + patience, PollBackoff::kNotificationBoundUs) << routers;
            EXPECT_LT(PollBackoff(s).first_poll_delay(kHighest) + patience, PollBackoff::kNotificationBoundUs)
                << routers;
            auto refused = watching(s);
            refused.on_rejection(false);
            EXPECT_LT(refused.next().timeout_us + behind_silence, PollBackoff::kNotificationBoundUs)
                << routers;
            if (routers > 166 && !s.discovery_agent_is_local) continue;
            for (const auto& fate : {kFates[0], kFates[3], FailedPoll{false, behind_silence}}) {
                auto after = t;
                fate.rejected ? after.on_rejection(false) : after.on_silence(false);
                const Micros answered_by =
                    fate.rejected ? PollBackoff::kPollTimeoutUs : after.next().timeout_us;
                EXPECT_LT(silent + *fate.duration_us + PollBackoff(s).delay_after_failure(fate, kHighest) +
                              answered_by,
                          PollBackoff::kNotificationBoundUs)
                    << routers;
            }
        }
}

TEST(PollBackoff, FailedCallsBackOffWithFullJitterUntilOneIsAnswered) {
    const FailedPoll broken{false, 0}, refused{true, 0};
    PollBackoff c(of(3));
    EXPECT_EQ(c.delay_after_failure(broken, 0), 1) << "all of the wait is drawn";
    EXPECT_EQ(c.delay_after_failure(broken, 0.5), 300'001);
    EXPECT_EQ(c.delay_after_failure(broken, 0.5), 600'001);
    EXPECT_EQ(c.delay_after_failure(refused, 0.5), 1'750'001)
        << "capped, so that the chain stays within its bound";
    c.on_list_received();
    EXPECT_EQ(c.delay_after_failure(broken, 0.5), 150'001);
    c.on_list_received();
    EXPECT_EQ(c.delay_after_failure(refused, 0.5), 500'001) << "longer where discovery has too much to do";
}

// A call let in is worth waiting for: discovery itself refuses one that has waited for 2 s.
TEST(PollBackoff, NoCallIsGivenUpThatDiscoveryMayStillAnswer) {
    for (const int routers : {1, 3, 30, 300, 1700}) {
        PollTimeouts t(of(routers), 7);
        EXPECT_GT(t.next().timeout_us, kQueue) << routers;
        t.on_list(false);
        t.on_silence(true);
        t.on_rejection(false);
        const auto held = t.next();
        EXPECT_GT(held.hold_us, 0) << routers << ": one call in place of two";
        EXPECT_GT(held.timeout_us, held.hold_us + kQueue) << routers;
    }
}

TEST(PollBackoff, HeldCallsThatAreRefusedAgainAndAgainAreHeldForLonger) {
    auto t = watching(of(3));
    t.on_rejection(true);
    t.on_list(true);
    EXPECT_EQ(t.next().hold_us, 2'000'000) << "one alone says nothing";
    for (int i = 0; i < 9; ++i) t.on_rejection(true);
    EXPECT_EQ(t.next().hold_us, PollTimeouts::kMaxHoldUs);
    for (int i = 0; i < 40; ++i) t.on_list(true);
    EXPECT_EQ(t.next().hold_us, 2'000'000) << "and less again, step by step";
}

// Whoever has an agent of its own takes nobody's share, and what the agent has counts at once.
TEST(PollBackoff, AnOwnAgentIsCalledAtOnceAndSoonAgain) {
    for (const int routers : {1, 300}) {
        PollBackoff c(pushed(routers));
        EXPECT_EQ(c.first_poll_delay(kHighest), 1);
        for (int i = 0; i < 10; ++i)
            for (const auto& fate : kFates)
                EXPECT_LE(c.delay_after_failure(fate, kHighest), PollBackoff::kLocalAgentMaxBackoffUs);
        EXPECT_EQ(watching(pushed(routers)).next().hold_us, watching(of(1)).next().hold_us);
    }
}

// First calls of all that start at once: no second sees more than the budget, whatever N up to 300.
TEST(PollBackoff, FirstCallsAreSpreadOverAWindowThatGrowsWithTheRouters) {
    std::mt19937_64 random(7);
    std::uniform_real_distribution<> unit;
    for (const int routers : {1, 3, 50})
        EXPECT_LE(PollBackoff(of(routers)).first_poll_delay(kHighest), 700'000);
    for (const int routers : {3, 87, 100, 300}) {
        std::vector<Micros> at;
        for (int i = 0; i < routers; ++i)
            at.push_back(PollBackoff(of(routers)).first_poll_delay(unit(random)));
        EXPECT_LE(most_in_a_second(at), 165u) << routers;  // 125 a second and what chance adds
    }
    EXPECT_LE(PollBackoff(of(1000)).first_poll_delay(kHighest), 2'400'000);
}

// Discovery answers none of them, again and again, from a start of all at once: no second sees more calls
// than the first calls' budget and a draw's chance.
TEST(PollBackoff, AFleetWhoseCallsAreNotAnsweredKeepsToItsBudget) {
    std::mt19937_64 random(7);
    std::uniform_real_distribution<> unit;
    std::vector<Micros> at;
    for (int i = 0; i < 300; ++i) {
        PollBackoff c(of(300));
        for (Micros t = c.first_poll_delay(unit(random)); t < 30'000'000;
             t += PollBackoff::kPollTimeoutUs +
                  c.delay_after_failure({false, PollBackoff::kPollTimeoutUs}, unit(random)))
            at.push_back(t);
    }
    EXPECT_LE(most_in_a_second(at), 190u);
}

// In quiet times every router has one held call out.
TEST(PollBackoff, HeldCallsOfAFleetKeepToABudget) {
    for (int routers = 1; routers <= 300; ++routers)
        EXPECT_LE(routers * 1e6 / static_cast<double>(watching(of(routers)).next().hold_us), 90) << routers;
}

TEST(PollBackoff, FirstHoldsAreSpreadEvenly) {
    std::vector<int> tenths(10);
    for (std::uint64_t seed = 0; seed < 10'000; ++seed) {
        PollTimeouts t(of(3), seed);
        t.on_list(false);
        const auto hold = t.next().hold_us;
        ASSERT_GE(hold, 1'000);
        ASSERT_LE(hold, 2'000'000);
        ++tenths[static_cast<std::size_t>((hold - 1'000) / 200'000)];
    }
    for (const int n : tenths) EXPECT_NEAR(n, 1000, 150);
}

}  // namespace
