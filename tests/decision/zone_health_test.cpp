#include "zone_health.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <set>

#include "router_fixture.h"

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

// ---- the whole router ----
using namespace sloestack::decision::test;

// Requests in flight in a silent zone are hedged elsewhere and no new ones are forwarded there; its primary
// stays known and is used again as soon as an endpoint of the zone answers a health check.
TEST(RouterZoneHealth, ASilentZoneIsAvoidedUntilAHealthCheckIsAnswered) {
    auto settings = default_settings();
    settings.router_count = 300;
    settings.health_checks_allowed = true;
    settings.hedging_allowed = true;
    RouterFixture fixture(settings, 0);
    std::vector<EndpointEntry> list;
    for (EndpointId id = 1; id <= 40; ++id) {
        list.push_back(make_entry(id));
        list.back().zone = id % 2;  // those of odd numbers, the primary with them, fall silent
    }
    fixture.endpoint_list(EndpointListKind::complete, list);
    fixture.establish_primary(1, 40);
    RequestId id = 0;
    std::map<RequestId, EndpointId> in_flight;
    bool hedged = false;
    bool zone_silent = false;
    bool checked = false;
    const auto process_actions = [&] {
        for (const auto& action : fixture.actions) {
            if (const auto* found = std::get_if<Forward>(&action)) {
                hedged = hedged || (in_flight.count(found->request) && found->endpoint % 2 == 0);
                in_flight[found->request] = found->endpoint;
            }
            if (const auto* found = std::get_if<Log>(&action))
                zone_silent = zone_silent || found->text == "zone silent: 1";
            if (const auto* found = std::get_if<StartHealthCheck>(&action))
                checked = checked || (zone_silent && found->endpoint % 2 == 1);
        }
        auto forwarded = std::move(in_flight);
        in_flight.clear();
        for (const auto& [request, endpoint] : forwarded)
            if (endpoint % 2 == 0)
                fixture.answered(request, endpoint, Role::replica, fixture.now);
            else
                in_flight[request] = endpoint;
    };
    for (int i = 0; i < 400 && !zone_silent; ++i) {
        if (i % 4 == 0) fixture.arrive(++id, kAnyRead);
        fixture.fire_timer();
        process_actions();
    }
    ASSERT_TRUE(zone_silent);
    EXPECT_TRUE(hedged) << "a read that waited there was sent elsewhere too";
    fixture.arrive(++id, kWrite);
    const auto write = id;
    for (int i = 0; i < 300; ++i) {
        if (i % 4 == 0) fixture.arrive(++id, kAnyRead);
        fixture.fire_timer();
        for (const auto& action : fixture.actions) {
            const auto* found = std::get_if<Forward>(&action);
            EXPECT_FALSE(found && found->endpoint % 2 == 1) << "sent into a silent zone";
        }
        EXPECT_FALSE(i < 100 && fixture.find<Reject>(write)) << "a write waits as for any lost primary";
        process_actions();
    }
    EXPECT_TRUE(checked);
    fixture.health_check_ended(3, Role::replica, fixture.now);
    fixture.arrive(++id, kWrite);
    fixture.step();
    EXPECT_EQ(fixture.forwarded_to(id), std::optional<EndpointId>(1));
}

}  // namespace
