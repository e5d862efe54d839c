// What a router does of its own accord as it comes back, summed over all that come back with it.
#include "comeback/comeback.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

namespace {

using namespace nettletrestle;
using route::Comeback;

Settings of(int routers, Micros ask_every = 5'000'000) {
    Settings s;
    s.routers = routers;
    s.ask_every_us = ask_every;
    return s;
}

TEST(Comeback, FewRoutersBehaveAsBefore) {
    for (const int routers : {1, 3, 50}) {
        Comeback c(of(routers));
        EXPECT_EQ(c.first_call(0), 1);
        EXPECT_LE(c.first_call(0.9999), Comeback::kWait);
    }
}

// First calls of all that start at once: no second sees more than the budget, whatever N, as long as the
// interval for asking allows it; it is never used up.
TEST(Comeback, FirstCallsAreSpreadOverAWindowThatGrowsWithTheRouters) {
    std::mt19937_64 random(7);
    std::uniform_real_distribution<> unit;
    for (const int routers : {3, 87, 100, 300, 1000}) {
        std::vector<Micros> at;
        for (int i = 0; i < routers; ++i) at.push_back(Comeback(of(routers)).first_call(unit(random)));
        std::sort(at.begin(), at.end());
        EXPECT_LE(at.back(), 2'500'000);
        if (routers > 300) continue;  // the interval binds first
        std::size_t most = 0;
        for (std::size_t i = 0, j = 0; i < at.size(); ++i) {
            while (at[i] - at[j] > 1'000'000) ++j;
            most = std::max(most, i - j + 1);
        }
        EXPECT_LE(most, 165u) << routers;  // 125 a second and what chance adds
    }
    EXPECT_LE(Comeback(of(1000, 1'000'000)).first_call(0.9999), Comeback::kWait);
    EXPECT_LE(Comeback(of(1000, 0)).first_call(0.9999), Comeback::kWaitMost);
}

TEST(Comeback, FailedCallsBackOffWithDrawsUntilOneIsAnswered) {
    Comeback c(of(300));
    c.list_told();
    EXPECT_EQ(c.call_failed(0), 700'000);
    EXPECT_EQ(c.call_failed(0.5), 2'800'000);
    EXPECT_EQ(c.call_failed(0.5), 3'000'000);
    EXPECT_LE(c.call_failed(0.9999), 4'500'000);
    c.list_told();
    EXPECT_EQ(c.call_failed(0), 700'000);
}

// Who has not been told a list since the start has likely failed beside all others that came back.
TEST(Comeback, WhileColdFailedCallsKeepToTheFleetsWindow) {
    for (const int routers : {3, 300, 1000}) {
        Comeback c(of(routers));
        const auto window = c.first_call(0.999'999'9);
        for (int i = 0; i < 5; ++i) EXPECT_GE(c.call_failed(0), window / 2) << routers;
    }
    // All fail at once, again and again: no second sees more than the budget, and a draw's chance.
    std::mt19937_64 random(7);
    std::uniform_real_distribution<> unit;
    std::vector<Micros> at;
    for (int i = 0; i < 300; ++i) {
        Comeback c(of(300));
        for (Micros t = c.first_call(unit(random)); t < 30'000'000; t += c.call_failed(unit(random)))
            at.push_back(t);
    }
    std::sort(at.begin(), at.end());
    std::size_t most = 0;
    for (std::size_t i = 0, j = 0; i < at.size(); ++i) {
        while (at[i] - at[j] > 1'000'000) ++j;
        most = std::max(most, i - j + 1);
    }
    EXPECT_LE(most, 190u);
}

TEST(Comeback, MovesOnByEvidenceAloneAndNeverBack) {
    using State = Comeback::State;
    Comeback c(of(300));
    for (int g = 0; g < 20; ++g) c.asked(g);
    for (int g = 0; g < 20; ++g) c.heard(g);
    EXPECT_EQ(c.state(), State::cold) << "whatever members say, the list is that of before";
    EXPECT_EQ(c.moved(60'000'000), std::nullopt);
    c.list_told();
    EXPECT_EQ(c.state(), State::serving) << "they have said it already";
    EXPECT_EQ(c.moved(412'345), "comeback: serving after 412 ms");
    EXPECT_EQ(c.moved(500'000), std::nullopt) << "told once";

    Comeback other(of(300));
    other.list_told();
    EXPECT_EQ(other.state(), State::learning);
    EXPECT_EQ(other.moved(5'000), "comeback: learning after 5 ms");
    other.heard(7);
    EXPECT_EQ(other.state(), State::learning) << "nobody has asked for anything";
    for (int g = 0; g < 20; ++g) other.asked(g);
    for (int g = 0; g < 17; ++g) other.heard(g);
    EXPECT_EQ(other.state(), State::learning);
    other.heard(17);
    EXPECT_EQ(other.state(), State::serving) << "two groups may be out of reach";
    other.asked(99);
    other.list_told();
    EXPECT_EQ(other.state(), State::serving);
}

TEST(Comeback, FirstHoldsAreSpreadEvenly) {
    std::vector<int> tenths(10);
    for (std::uint64_t seed = 0; seed < 10'000; ++seed) {
        const auto hold = route::first_hold(seed, 10'000'000);
        ASSERT_GE(hold, 1'000);
        ASSERT_LE(hold, 10'000'000);
        ++tenths[static_cast<std::size_t>((hold - 1'000) / 1'000'000)];
    }
    for (const int n : tenths) EXPECT_NEAR(n, 1000, 150);
}

}  // namespace
