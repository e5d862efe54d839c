// Tests of OutlierDetection with a whole router: endpoints that are slow, fail or do not respond.
#include <gtest/gtest.h>

#include <utility>
#include <variant>
#include <vector>

#include "router_fixture.h"

namespace sloestack::decision::test {
namespace {

TEST(OutlierDetection, StopsForwardingToAHangingEndpoint) {
    auto settings = default_settings();
    RouterFixture fixture(settings);
    fixture.establish_primary(1);
    RequestId id = 1;
    std::vector<std::pair<RequestId, EndpointId>> in_flight;
    int to_hanging = 0;
    for (int i = 0; i < 200; ++i) {
        for (const auto& [request, endpoint] : in_flight)
            if (endpoint != 3)
                fixture.attempt_succeeded(request, endpoint, endpoint == 1 ? Role::primary : Role::replica,
                                          fixture.now - 1000);
        in_flight.clear();
        fixture.arrive(id, kBoundedRead);
        fixture.fire_timer(5'000);
        if (const auto to = fixture.forwarded_to(id)) {
            in_flight.emplace_back(id, *to);
            if (i > 120) to_hanging += *to == 3;
        }
        ++id;
    }
    EXPECT_LE(to_hanging, 2);
}

// Guards against the ejection of healthy endpoints, with a slow start after it, because of single broken
// connections (incident i327c69).
TEST(OutlierDetection, EjectsAfterConsecutiveDisconnectsButNotAfterSingleOnes) {
    for (const bool dead : {false, true}) {
        RouterFixture fixture(default_settings(), 2);
        fixture.establish_primary(1, 2);
        int to_second = 0;
        for (RequestId id = 1; id <= 300; ++id) {
            fixture.arrive(id, kBoundedRead);
            fixture.fire_timer();
            const auto to = fixture.forwarded_to(id);
            if (!to) continue;
            if (id > 100) to_second += *to == 2;
            if (*to == 2 && (dead || id % 7 == 0)) {
                fixture.attempt_ended(id, 2, Outcome::reset, Role::unknown, 0);
                fixture.step();
                if (const auto retry_endpoint = fixture.forwarded_to(id))
                    fixture.attempt_succeeded(id, *retry_endpoint,
                                              *retry_endpoint == 1 ? Role::primary : Role::replica,
                                              fixture.now - 1000);
            } else {
                fixture.attempt_succeeded(id, *to, *to == 1 ? Role::primary : Role::replica,
                                          fixture.now - 1000);
            }
        }
        if (dead) {
            EXPECT_LE(to_second, 12);
        } else {
            EXPECT_GE(to_second, 80);
        }
    }
}

// A reused connection may have been closed while idle, so its reset is not evidence against the endpoint.
TEST(OutlierDetection, IgnoresResetsOfReusedConnections) {
    for (const bool reused : {false, true}) {
        RouterFixture fixture(default_settings(), 2);
        fixture.establish_primary(1, 2);
        bool ejected = false;
        for (RequestId id = 1; id <= 40; ++id) {
            fixture.arrive(id, kBoundedRead);
            fixture.fire_timer();
            if (const auto to = fixture.forwarded_to(id))
                fixture.attempt_ended(id, *to, Outcome::reset, Role::unknown, 0, true, reused);
            fixture.step();
            ejected = ejected || fixture.logged("endpoint ejected");
        }
        EXPECT_EQ(ejected, !reused);
    }
}

// Guards against an endpoint that keeps its traffic because it serves some requests quickly and loses the
// rest (incident i3bb5bf).
TEST(OutlierDetection, CountsTimeoutsAsSlowResponses) {
    RouterFixture fixture(default_settings(), 3);
    fixture.establish_primary(1);
    int to_second = 0;
    int to_third = 0;
    for (RequestId id = 1; id <= 600; ++id) {
        fixture.arrive(id, kBoundedRead);
        fixture.fire_timer();
        const auto to = fixture.forwarded_to(id);
        if (!to) continue;
        if (id > 200) {
            to_second += *to == 2;
            to_third += *to == 3;
        }
        fixture.attempt_ended(id, *to, *to == 3 && id % 2 ? Outcome::timeout : Outcome::ok,
                              *to == 1 ? Role::primary : Role::replica, fixture.now - 1000, true);
        if (*to == 3 && id % 2) std::get<AttemptEnded>(fixture.events.back()).latency_us = 300'000;
    }
    EXPECT_LT(2 * to_third, to_second);
}

TEST(OutlierDetection, KeepsAnEndpointWithOneSlowRequest) {
    RouterFixture fixture(default_settings(), 1);
    fixture.establish_primary(1, 1);
    fixture.arrive(1, kAnyRead);
    fixture.step(1000);
    ASSERT_EQ(fixture.forwarded_to(1), 1u);
    for (int i = 0; i < 60; ++i) fixture.fire_timer();  // 300 ms, seven times the baseline latency
    fixture.arrive(2, kAnyRead);
    fixture.step(1000);
    EXPECT_EQ(fixture.forwarded_to(2), 1u);
}

// The count is reported to operators and excludes ejected endpoints that are draining.
TEST(OutlierDetection, CountsEjectedEndpoints) {
    RouterFixture fixture(default_settings());
    fixture.establish_primary(1);
    EXPECT_EQ(fixture.router.ejected_endpoint_count(), 0u);
    for (RequestId id = 1; id < 200 && fixture.router.ejected_endpoint_count() == 0; ++id) {
        fixture.arrive(id, kAnyRead);
        fixture.step(20'000);
        const auto to = fixture.forwarded_to(id);
        if (!to) continue;
        if (*to == 2)
            fixture.attempt_ended(id, 2, Outcome::connect_failed, Role::unknown, 0, true);
        else
            fixture.attempt_succeeded(id, *to, *to == 1 ? Role::primary : Role::replica, fixture.now);
        fixture.step();
    }
    EXPECT_EQ(fixture.router.ejected_endpoint_count(), 1u);
    fixture.endpoint_list(EndpointListKind::changes, {make_entry(2, EndpointState::draining)});
    fixture.step();
    EXPECT_EQ(fixture.router.ejected_endpoint_count(), 0u);
}

// A single unanswered request may be queued behind other routers' requests.
TEST(OutlierDetection, NeedsTwoUnansweredRequestsToEject) {
    RouterFixture fixture(default_settings(), 1);
    fixture.establish_primary(1, 1);
    fixture.arrive(1, kWrite);
    fixture.step();
    for (int i = 0; i < 190; ++i) fixture.fire_timer();
    EXPECT_EQ(fixture.router.ejected_endpoint_count(), 0u);
    fixture.arrive(2, kAnyRead);
    fixture.step();
    for (int i = 0; i < 100; ++i) fixture.fire_timer();
    EXPECT_EQ(fixture.router.ejected_endpoint_count(), 1u);
}

// Guards against a failing endpoint that attracts traffic because its errors or rejections are fast.
TEST(OutlierDetection, CountsErrorsAndOverloadAsSlowResponses) {
    for (const auto failure : {Outcome::error, Outcome::overloaded}) {
        auto settings = default_settings();
        settings.router_count = 300;
        settings.max_attempts = 1;
        RouterFixture fixture(settings, 3);
        fixture.establish_primary(1);
        int to_failing = 0;
        int forwarded = 0;
        for (RequestId id = 1; id <= 200; ++id) {
            fixture.now += 1'000'000;
            fixture.arrive(id, kAnyRead);
            fixture.step();
            const auto to = fixture.forwarded_to(id);
            if (!to) continue;  // some reads are rejected after failures
            to_failing += *to == 2;
            ++forwarded;
            fixture.attempt_ended(id, *to, *to == 2 ? failure : Outcome::ok, Role::unknown, 0, *to != 2);
            fixture.step();
        }
        EXPECT_GT(forwarded, 150);
        EXPECT_LT(to_failing, forwarded / 5) << "far less than a third";
        EXPECT_GT(to_failing, 2) << "it still gets some requests";
    }
}

}  // namespace
}  // namespace sloestack::decision::test
