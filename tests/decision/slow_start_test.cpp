// Tests of SlowStart with whole routers: the budget of an endpoint that has just started.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "router_fixture.h"

namespace sloestack::decision::test {
namespace {

TEST(SlowStart, ForwardsNoBurstToANewEndpoint) {
    RouterFixture fixture(default_settings(), 2);
    auto entry = make_entry(9);
    entry.started_at = fixture.now;
    fixture.endpoint_list(EndpointListKind::changes, {entry});
    for (RequestId id = 1; id <= 100; ++id) fixture.arrive(id, kAnyRead);
    fixture.step(1000);
    int to_new_endpoint = 0;
    for (RequestId id = 1; id <= 100; ++id) to_new_endpoint += fixture.forwarded_to(id) == 9u;
    EXPECT_LE(to_new_endpoint, 1);
}

// The endpoint's wall clock is an hour off, forward or back; it has restarted all the same.
TEST(SlowStart, AppliesToARestartStatedByAClockThatWasStepped) {
    constexpr Micros kHour = 3'600'000'000;
    for (const Micros offset : {-kHour, kHour}) {
        RouterFixture fixture(default_settings(), 2);
        fixture.fire_timer(2 * kHour);
        fixture.endpoint_list(EndpointListKind::changes, {make_entry(1)});
        fixture.step(1000);
        auto entry = make_entry(9);
        entry.started_at = fixture.now + offset;
        fixture.endpoint_list(EndpointListKind::changes, {entry});
        for (RequestId id = 1; id <= 100; ++id) fixture.arrive(id, kAnyRead);
        fixture.step(1000);
        int to_new_endpoint = 0;
        for (RequestId id = 1; id <= 100; ++id) to_new_endpoint += fixture.forwarded_to(id) == 9u;
        EXPECT_LE(to_new_endpoint, 1) << offset;
    }
}

TEST(SlowStart, EndsInTimeForAStartStatedInTheFuture) {
    constexpr Micros kHour = 3'600'000'000;
    const auto settings = default_settings();
    RouterFixture fixture(settings, 2);
    auto entry = make_entry(9);
    entry.started_at = fixture.now + kHour;
    fixture.endpoint_list(EndpointListKind::changes, {entry});
    fixture.step(1000);
    fixture.fire_timer(settings.slow_start_duration_us);
    for (RequestId id = 1; id <= 100; ++id) fixture.arrive(id, kAnyRead);
    fixture.step(1000);
    int to_new_endpoint = 0;
    for (RequestId id = 1; id <= 100; ++id) to_new_endpoint += fixture.forwarded_to(id) == 9u;
    EXPECT_GT(to_new_endpoint, 10);
}

// Guards against a burst at a starting endpoint from single requests of many routers (incidents ia49149 and
// i80684d).
TEST(SlowStart, KeepsManyRoutersTogetherWithinTheBudget) {
    auto settings = default_settings();
    settings.router_count = 60;
    std::vector<std::unique_ptr<RouterFixture>> fleet;
    for (std::uint64_t i = 0; i < 60; ++i) {
        fleet.push_back(std::make_unique<RouterFixture>(settings, 4, i + 1));
        fleet.back()->establish_primary(1, 4);
    }
    std::map<EndpointId, int> forwarded;
    for (int i = 0; i < 800; ++i) {
        for (std::size_t n = 0; n < fleet.size(); ++n) {
            auto& fixture = *fleet[n];
            if (i == 400) {
                auto entry = make_entry(4);
                entry.started_at = fixture.now;
                fixture.endpoint_list(EndpointListKind::changes, {entry});
            }
            const auto id = static_cast<RequestId>(i + 1);
            const bool is_sending = (static_cast<std::size_t>(i) + n) % 20 == 0;
            if (is_sending) fixture.arrive(id, kAnyRead);
            fixture.fire_timer(10'000);
            const auto to = is_sending ? fixture.forwarded_to(id) : std::nullopt;
            if (!to) continue;
            if (i >= 400 && i < 600) ++forwarded[*to];
            fixture.attempt_succeeded(id, *to, *to == 1 ? Role::primary : Role::replica, fixture.now);
        }
    }
    // In its first 2 s the endpoint's capacity is 0.2 to 0.36 of the others'; the overload multiple is 2.
    EXPECT_LT(forwarded[4], 2 * 0.36 * std::max(forwarded[2], forwarded[3]));
    EXPECT_GT(forwarded[4], 0);
}

// Guards against a budget of zero when all endpoints of a replica group restart, since the budget is derived
// from the warm ones (incident i80684d).
TEST(SlowStart, ForwardsToAReplicaGroupWhoseEndpointsAllRestarted) {
    RouterFixture fixture(default_settings());
    fixture.establish_primary(1);
    int served = 0;
    for (RequestId id = 1; id <= 600; ++id) {
        if (id == 300) {
            std::vector<EndpointEntry> all;
            for (EndpointId endpoint = 1; endpoint <= 3; ++endpoint) {
                all.push_back(make_entry(endpoint));
                all.back().started_at = fixture.now;
            }
            fixture.endpoint_list(EndpointListKind::changes, all);
        }
        fixture.arrive(id, kAnyRead);
        fixture.fire_timer(5'000);
        for (RequestId sent = 1; sent <= id; ++sent)
            if (const auto to = fixture.forwarded_to(sent)) {
                served += id > 300;
                fixture.attempt_succeeded(sent, *to, *to == 1 ? Role::primary : Role::replica,
                                          fixture.now - 1000);
            }
    }
    EXPECT_GT(served, 60);  // a fifth of the 300 requests
}

// Reads can use other endpoints, but writes only the primary, so its slow-start budget is reserved for
// writes.
TEST(SlowStart, ReservesThePrimarysBudgetForWrites) {
    RouterFixture fixture(default_settings());
    fixture.establish_primary(1);
    auto started = make_entry(1);
    started.started_at = fixture.now;
    fixture.endpoint_list(EndpointListKind::changes, {started});
    fixture.step();
    int reads = 0;
    int writes = 0;
    const auto send_request = [&](RequestId id, int request_class) {
        fixture.arrive(id, request_class);
        fixture.step(20'000);
        const auto to = fixture.forwarded_to(id);
        if (!to) return;
        (request_class == kAnyRead ? reads : writes) += *to == 1;
        fixture.attempt_succeeded(id, *to, *to == 1 ? Role::primary : Role::replica,
                                  fixture.now - (*to == 1 ? 0 : 1000));
        fixture.step();
    };
    for (RequestId id = 1; id <= 200; ++id) send_request(id, kAnyRead);
    EXPECT_EQ(reads, 0);
    for (RequestId id = 201; id <= 210; ++id) send_request(id, kWrite);
    EXPECT_GT(writes, 0);
}

}  // namespace
}  // namespace sloestack::decision::test
