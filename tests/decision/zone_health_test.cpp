// Tests of ZoneHealth, by itself and with a whole router.
#include "zone_health.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <set>

#include "router_fixture.h"

namespace {

using namespace sloestack::decision;

constexpr double kBaselineUs = 50'000;
Micros to_micros(double duration_us) { return static_cast<Micros>(duration_us); }

// Zones 0 to 2, all of which have just responded; `pending` holds the attempts in flight.
struct ZoneHealthFixture {
    ZoneHealth health;
    Time now = 10'000'000;
    std::vector<ZoneHealth::PendingAttempt> pending;

    ZoneHealthFixture() {
        for (int zone = 0; zone < 3; ++zone) health.on_response(now, zone);
    }
    void start_attempt(int zone, EndpointId endpoint) {
        pending.push_back({zone, endpoint, now, kBaselineUs});
    }
    std::vector<int> newly_silent_after(Micros elapsed) {
        now += elapsed;
        return health.find_newly_silent(now, pending);
    }
};

// A zone without responses must be detected after at most five attempts at different endpoints, within half a
// second, while another zone responds.
TEST(ZoneHealth, DetectsASilentZoneAfterAFewAttempts) {
    ZoneHealthFixture fixture;
    for (int i = 1; i <= 5; ++i) {
        fixture.start_attempt(1, static_cast<EndpointId>(i));
        fixture.health.on_response(fixture.now, 0);
        const auto silent_zones = fixture.newly_silent_after(100'000);
        if (silent_zones.empty()) continue;
        EXPECT_EQ(silent_zones, std::vector<int>{1});
        EXPECT_TRUE(fixture.health.is_silent(1));
        EXPECT_FALSE(fixture.health.is_silent(0));
        EXPECT_TRUE(fixture.newly_silent_after(1'000'000).empty()) << "reported once";
        return;
    }
    ADD_FAILURE() << "zone 1 was not detected as silent";
}

// A zone that responds at four times the expected latency, or at twelve times the baseline once the
// expectation has adapted, is slow but not silent.
TEST(ZoneHealth, DoesNotTakeASlowZoneForSilent) {
    for (const int slowdown : {4, 12}) {
        ZoneHealthFixture fixture;
        for (int i = 1; i <= 200; ++i) {
            fixture.pending.push_back({1, static_cast<EndpointId>(i % 10), fixture.now,
                                       slowdown > 4 ? kBaselineUs * 5 : kBaselineUs});
            fixture.health.on_response(fixture.now, 0);
            EXPECT_TRUE(fixture.newly_silent_after(100'000).empty()) << slowdown << " x, attempt " << i;
            if (fixture.now - fixture.pending.front().sent_at < slowdown * to_micros(kBaselineUs)) continue;
            fixture.pending.erase(fixture.pending.begin());
            EXPECT_FALSE(fixture.health.on_response(fixture.now, 1));
        }
    }
}

TEST(ZoneHealth, DoesNotTakeAZoneWithOneHangingEndpointForSilent) {
    ZoneHealthFixture fixture;
    for (int i = 0; i < 20; ++i) {
        fixture.start_attempt(1, 7);
        fixture.health.on_timeout(fixture.now, 1, 7, 600'000, kBaselineUs);
        fixture.health.on_response(fixture.now, 0);
        EXPECT_TRUE(fixture.newly_silent_after(100'000).empty());
    }
}

// A router that gets no responses at all is probably cut off itself and must not take any zone for silent.
// Once one zone responds, the others are silent.
TEST(ZoneHealth, NeedsAResponseFromAnotherZone) {
    ZoneHealthFixture fixture;
    for (EndpointId id = 1; id <= 30; ++id) fixture.start_attempt(static_cast<int>(id % 3), id);
    EXPECT_TRUE(fixture.newly_silent_after(5'000'000).empty());
    fixture.health.on_response(fixture.now, 0);
    fixture.pending.erase(std::remove_if(fixture.pending.begin(), fixture.pending.end(),
                                         [](const auto& attempt) { return attempt.zone == 0; }),
                          fixture.pending.end());
    EXPECT_EQ(fixture.newly_silent_after(100'000), (std::vector<int>{1, 2}));
}

TEST(ZoneHealth, DecaysEvidenceAndRestoresAZoneThatResponds) {
    ZoneHealthFixture fixture;
    fixture.health.on_timeout(fixture.now, 1, 1, 200'000, kBaselineUs);
    fixture.health.on_timeout(fixture.now, 1, 2, 200'000, kBaselineUs);
    fixture.now += 20'000'000;
    fixture.start_attempt(1, 3);
    fixture.health.on_response(fixture.now, 0);
    EXPECT_TRUE(fixture.newly_silent_after(300'000).empty())
        << "8 + 6 expected latencies, but the 8 have decayed";
    for (EndpointId id = 4; id < 8; ++id) fixture.start_attempt(1, id);
    fixture.health.on_response(fixture.now, 0);
    EXPECT_EQ(fixture.newly_silent_after(300'000), std::vector<int>{1});
    EXPECT_TRUE(fixture.health.on_response(fixture.now, 1));
    EXPECT_FALSE(fixture.health.is_silent(1));
    EXPECT_FALSE(fixture.health.on_response(fixture.now, 1));
}

// Guards against overload of a recovering zone by health checks: all routers together check it every 3 ms, or
// each every 250 ms if they are few.
TEST(ZoneHealth, KeepsHealthChecksOfAFleetWithinABudget) {
    for (const int routers : {3, 100, 300}) {
        std::mt19937_64 random(7);
        std::uniform_real_distribution<> draw;
        int checks = 0;
        for (int i = 0; i < routers; ++i) {
            ZoneHealthFixture fixture;
            fixture.start_attempt(1, 1), fixture.start_attempt(1, 2);
            fixture.health.on_response(fixture.now + 400'000, 0);
            ASSERT_EQ(fixture.newly_silent_after(500'000), std::vector<int>{1});
            EXPECT_TRUE(fixture.health.due_health_checks(fixture.now, routers, draw(random)).empty())
                << "the first check follows after an interval";
            for (int ms = 5; ms <= 10'000; ms += 5)
                checks += static_cast<int>(
                    fixture.health.due_health_checks(fixture.now + ms * 1000, routers, draw(random)).size());
        }
        const double budget = 10e6 / std::max(250'000.0 / routers, 3'000.0);
        EXPECT_LT(checks, 1.1 * budget) << routers;
        EXPECT_GT(checks, 0.8 * budget) << routers;
    }
}

// ---- with a whole router ----
using namespace sloestack::decision::test;

// Reads in flight in a silent zone must be hedged in other zones, and no new requests may be forwarded there.
// Its primary stays known and is used again as soon as an endpoint of the zone responds to a health check.
TEST(RouterZoneHealth, AvoidsASilentZoneUntilAHealthCheckSucceeds) {
    auto settings = default_settings();
    settings.router_count = 300;
    settings.health_checks_allowed = true;
    settings.hedging_allowed = true;
    RouterFixture fixture(settings, 0);
    std::vector<EndpointEntry> list;
    for (EndpointId id = 1; id <= 40; ++id) {
        list.push_back(make_entry(id));
        list.back().zone = id % 2;  // endpoints with odd ids, including the primary, do not respond
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
                fixture.attempt_succeeded(request, endpoint, Role::replica, fixture.now);
            else
                in_flight[request] = endpoint;
    };
    for (int i = 0; i < 400 && !zone_silent; ++i) {
        if (i % 4 == 0) fixture.arrive(++id, kAnyRead);
        fixture.fire_timer();
        process_actions();
    }
    ASSERT_TRUE(zone_silent);
    EXPECT_TRUE(hedged) << "a read in flight there was hedged in another zone";
    fixture.arrive(++id, kWrite);
    const auto write = id;
    for (int i = 0; i < 300; ++i) {
        if (i % 4 == 0) fixture.arrive(++id, kAnyRead);
        fixture.fire_timer();
        for (const auto& action : fixture.actions) {
            const auto* found = std::get_if<Forward>(&action);
            EXPECT_FALSE(found && found->endpoint % 2 == 1) << "forwarded to a silent zone";
        }
        EXPECT_FALSE(i < 100 && fixture.find<Reject>(write)) << "a write waits as it does without a primary";
        process_actions();
    }
    EXPECT_TRUE(checked);
    fixture.health_check_ended(3, Role::replica, fixture.now);
    fixture.arrive(++id, kWrite);
    fixture.step();
    EXPECT_EQ(fixture.forwarded_to(id), std::optional<EndpointId>(1));
}

}  // namespace
