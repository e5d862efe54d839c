// Endpoints judged by latency, errors and silence.
#include <gtest/gtest.h>

#include <utility>
#include <variant>
#include <vector>

#include "router_fixture.h"

namespace sloestack::decision::test {
namespace {

TEST(OutlierDetection, AHungEndpointLosesItsTraffic) {
    auto settings = default_settings();
    RouterFixture fixture(settings);
    fixture.establish_primary(1);
    RequestId id = 1;
    std::vector<std::pair<RequestId, EndpointId>> in_flight;
    int to_hung = 0;
    for (int i = 0; i < 200; ++i) {
        for (const auto& [request, endpoint] : in_flight)
            if (endpoint != 3)
                fixture.answered(request, endpoint, endpoint == 1 ? Role::primary : Role::replica,
                                 fixture.now - 1000);
        in_flight.clear();
        fixture.arrive(id, kBoundedRead);
        fixture.fire_timer(5'000);
        if (const auto to = fixture.forwarded_to(id)) {
            in_flight.emplace_back(id, *to);
            if (i > 120) to_hung += *to == 3;
        }
        ++id;
    }
    EXPECT_LE(to_hung, 2);
}

// Incident i327c69: single broken connections ejected healthy endpoints, which then went through slow start.
TEST(OutlierDetection, SeveralBrokenConnectionsEjectAnEndpointButSingleOnesDoNot) {
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
                if (const auto again = fixture.forwarded_to(id))
                    fixture.answered(id, *again, *again == 1 ? Role::primary : Role::replica,
                                     fixture.now - 1000);
            } else {
                fixture.answered(id, *to, *to == 1 ? Role::primary : Role::replica, fixture.now - 1000);
            }
        }
        if (dead) {
            EXPECT_LE(to_second, 12);
        } else {
            EXPECT_GE(to_second, 80);
        }
    }
}

// A reused connection may have gone stale while idle: its reset is no evidence against the endpoint.
TEST(OutlierDetection, ResetsOfReusedConnectionsAreNotCounted) {
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

// Incident i3bb5bf: an endpoint that answers some requests well and loses the rest is unhealthy.
TEST(OutlierDetection, TimeoutsCountAsSlowAnswers) {
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

TEST(OutlierDetection, OneSlowRequestIsNotEnough) {
    RouterFixture fixture(default_settings(), 1);
    fixture.establish_primary(1, 1);
    fixture.arrive(1, kAnyRead);
    fixture.step(1000);
    ASSERT_EQ(fixture.forwarded_to(1), 1u);
    for (int i = 0; i < 60; ++i) fixture.fire_timer();  // 300 ms, seven times the usual latency
    fixture.arrive(2, kAnyRead);
    fixture.step(1000);
    EXPECT_EQ(fixture.forwarded_to(2), 1u);
}

// The count is shown to operators: endpoints ejected by the router, not those that are draining anyway.
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
            fixture.answered(id, *to, *to == 1 ? Role::primary : Role::replica, fixture.now);
        fixture.step();
    }
    EXPECT_EQ(fixture.router.ejected_endpoint_count(), 1u);
    fixture.endpoint_list(EndpointListKind::changes, {make_entry(2, EndpointState::draining)});
    fixture.step();
    EXPECT_EQ(fixture.router.ejected_endpoint_count(), 0u);
}

// A single outstanding request is not evidence: it may be queued behind other routers' requests.
TEST(OutlierDetection, ASingleUnansweredRequestIsNotEnough) {
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

// Fast answers do not make an endpoint healthy if they are errors or rejections.
TEST(OutlierDetection, ErrorsAndOverloadCountAsSlowAnswers) {
    for (const auto bad : {Outcome::error, Outcome::overloaded}) {
        auto settings = default_settings();
        settings.router_count = 300;
        settings.max_attempts = 1;
        RouterFixture fixture(settings, 3);
        fixture.establish_primary(1);
        int at_bad = 0;
        int forwarded = 0;
        for (RequestId id = 1; id <= 200; ++id) {
            fixture.now += 1'000'000;
            fixture.arrive(id, kAnyRead);
            fixture.step();
            const auto to = fixture.forwarded_to(id);
            if (!to) continue;  // rejected, as some are after failures
            at_bad += *to == 2;
            ++forwarded;
            fixture.attempt_ended(id, *to, *to == 2 ? bad : Outcome::ok, Role::unknown, 0, *to != 2);
            fixture.step();
        }
        EXPECT_GT(forwarded, 150);
        EXPECT_LT(at_bad, forwarded / 5) << "far less than a third";
        EXPECT_GT(at_bad, 2) << "but it is tried again";
    }
}

}  // namespace
}  // namespace sloestack::decision::test
