#include "zone_health.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <set>

namespace {

using namespace sloestack::decision;

constexpr double kUsual = 50'000;  // us
Micros us(double x) { return static_cast<Micros>(x); }

// Zones 0 to 2 with members 10 a zone, told in steps; `out` is what has not been answered.
struct Watched {
    ZoneHealth health;
    Time now = 10'000'000;
    std::vector<ZoneHealth::PendingAttempt> out;

    Watched() {
        for (int zone = 0; zone < 3; ++zone) health.on_answer(now, zone);
    }
    void send(int zone, EndpointId server) { out.push_back({zone, server, now, kUsual}); }
    std::vector<int> after(Micros later) {
        now += later;
        return health.find_newly_silent(now, out);
    }
};

// One request a second for each member of a zone with ten: it is believed silent within half a second, after
// five attempts, while another zone answers.
TEST(ZoneHealth, AZoneCutOffIsBelievedAfterAHandfulOfAttemptsAtAnyOfItsMembers) {
    Watched w;
    for (int i = 1; i <= 5; ++i) {
        w.send(1, static_cast<EndpointId>(i));
        w.health.on_answer(w.now, 0);
        const auto fallen = w.after(100'000);
        if (fallen.empty()) continue;
        EXPECT_EQ(fallen, std::vector<int>{1});
        EXPECT_TRUE(w.health.is_silent(1));
        EXPECT_FALSE(w.health.is_silent(0));
        EXPECT_TRUE(w.after(1'000'000).empty()) << "told once";
        return;
    }
    ADD_FAILURE() << "not believed silent";
}

// Four times the usual latency, or twelve once that is known: answers come late, but they come.
TEST(ZoneHealth, ASlowZoneIsNotSilent) {
    for (const int slower : {4, 12}) {
        Watched w;
        for (int i = 1; i <= 200; ++i) {
            w.out.push_back({1, static_cast<EndpointId>(i % 10), w.now, slower > 4 ? kUsual * 5 : kUsual});
            w.health.on_answer(w.now, 0);
            EXPECT_TRUE(w.after(100'000).empty()) << slower << " x, attempt " << i;
            if (w.now - w.out.front().sent_at < slower * us(kUsual)) continue;
            w.out.erase(w.out.begin());
            EXPECT_FALSE(w.health.on_answer(w.now, 1));
        }
    }
}

TEST(ZoneHealth, OneBadMemberDoesNotCondemnItsZone) {
    Watched w;
    for (int i = 0; i < 20; ++i) {
        w.send(1, 7);
        w.health.on_timeout(w.now, 1, 7, 600'000, kUsual);
        w.health.on_answer(w.now, 0);
        EXPECT_TRUE(w.after(100'000).empty());
    }
}

// Its own zone is cut off: the others are silent, not this one. Where nothing answers at all, nothing is
// believed.
TEST(ZoneHealth, ARouterThatHearsNobodyCondemnsNobody) {
    Watched w;
    for (EndpointId id = 1; id <= 30; ++id) w.send(static_cast<int>(id % 3), id);
    EXPECT_TRUE(w.after(5'000'000).empty());
    w.health.on_answer(w.now, 0);
    w.out.erase(std::remove_if(w.out.begin(), w.out.end(), [](const auto& o) { return o.zone == 0; }),
                w.out.end());
    EXPECT_EQ(w.after(100'000), (std::vector<int>{1, 2}));
}

TEST(ZoneHealth, LossesAgeAndAnAnswerEndsTheSilence) {
    Watched w;
    w.health.on_timeout(w.now, 1, 1, 200'000, kUsual);
    w.health.on_timeout(w.now, 1, 2, 200'000, kUsual);
    w.now += 20'000'000;
    w.send(1, 3);
    w.health.on_answer(w.now, 0);
    EXPECT_TRUE(w.after(300'000).empty()) << "8 + 6 usual latencies, but the 8 are long past";
    for (EndpointId id = 4; id < 8; ++id) w.send(1, id);
    w.health.on_answer(w.now, 0);
    EXPECT_EQ(w.after(300'000), std::vector<int>{1});
    EXPECT_TRUE(w.health.on_answer(w.now, 1));
    EXPECT_FALSE(w.health.is_silent(1));
    EXPECT_FALSE(w.health.on_answer(w.now, 1));
}

// Summed over 3, 100 and 300 routers the trials of a silent zone keep to one every 3 ms, or to four a second
// each.
TEST(ZoneHealth, TrialsAreAShareOfABudget) {
    for (const int routers : {3, 100, 300}) {
        std::mt19937_64 random(7);
        std::uniform_real_distribution<> draw;
        int asked = 0;
        for (int i = 0; i < routers; ++i) {
            Watched w;
            w.send(1, 1), w.send(1, 2);
            w.health.on_answer(w.now + 400'000, 0);
            ASSERT_EQ(w.after(500'000), std::vector<int>{1});
            EXPECT_TRUE(w.health.due_health_checks(w.now, routers, draw(random)).empty())
                << "a pause comes first";
            for (int ms = 5; ms <= 10'000; ms += 5)
                asked += static_cast<int>(
                    w.health.due_health_checks(w.now + ms * 1000, routers, draw(random)).size());
        }
        const double budget = 10e6 / std::max(250'000.0 / routers, 3'000.0);
        EXPECT_LT(asked, 1.1 * budget) << routers;
        EXPECT_GT(asked, 0.8 * budget) << routers;
    }
}

}  // namespace
