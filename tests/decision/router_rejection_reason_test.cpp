// Tests of the rejection reasons, which operators sum over the fleet.
#include <gtest/gtest.h>

#include <optional>

#include "router_fixture.h"

namespace sloestack::decision::test {
namespace {

TEST(RejectionReason, IsReportedForEachWayOfGivingUp) {
    const auto reason_of = [](RouterFixture& fixture, RequestId id) {
        if (const auto* rejection = fixture.find<Reject>(id)) return std::optional(rejection->reason);
        if (const auto* failure = fixture.find<Fail>(id)) return std::optional(failure->reason);
        return std::optional<RejectionReason>();
    };
    const auto reason_after_waiting = [&](RouterFixture& fixture, RequestId id) {
        for (int i = 0; i < 300; ++i) {
            if (const auto reason = reason_of(fixture, id)) return reason;
            fixture.fire_timer();
        }
        return std::optional<RejectionReason>();
    };
    {
        RouterFixture fixture(default_settings(), 0);
        fixture.arrive(1, 99);
        fixture.step();
        EXPECT_EQ(reason_of(fixture, 1), RejectionReason::unknown_class);
        fixture.arrive(2, kAnyRead);
        fixture.step();
        EXPECT_EQ(reason_after_waiting(fixture, 2), RejectionReason::no_eligible_endpoint);
        fixture.arrive(3, kWrite);
        fixture.step();
        EXPECT_EQ(reason_after_waiting(fixture, 3), RejectionReason::no_primary);
    }
    {  // The replica has capacity but is too stale, and the primary has no capacity left for reads.
        auto settings = default_settings();
        settings.position_check = PositionCheck::reject;
        RouterFixture fixture(settings, 2);
        fixture.health_check_ended(1, Role::primary, fixture.now);
        fixture.health_check_ended(2, Role::replica, fixture.now - 5'000'000);
        fixture.step();
        for (RequestId id = 1; id <= 40; ++id) fixture.arrive(id, kBoundedRead);
        fixture.step();
        EXPECT_EQ(reason_after_waiting(fixture, 40), RejectionReason::too_stale);
    }
    {
        RouterFixture fixture(default_settings(), 1);
        fixture.establish_primary(1, 1);
        for (RequestId id = 1; id <= 60; ++id) fixture.arrive(id, kWrite);
        fixture.step();
        EXPECT_EQ(reason_after_waiting(fixture, 60), RejectionReason::at_capacity);
        fixture.arrive(100, kWrite);
        fixture.step();
    }
    {
        RouterFixture fixture(default_settings(Idempotency::none), 1);
        fixture.establish_primary(1, 1);
        fixture.arrive(1, kWrite);
        fixture.step();
        fixture.attempt_ended(1, 1, Outcome::reset, Role::unknown, 0);
        fixture.step();
        EXPECT_EQ(reason_of(fixture, 1), RejectionReason::not_retryable);
        fixture.arrive(2, kWrite);
        fixture.step();
        fixture.now += 1'000'000;
        fixture.attempt_ended(2, 1, Outcome::timeout, Role::unknown, 0);
        fixture.step();
        EXPECT_EQ(reason_of(fixture, 2), RejectionReason::deadline_exceeded);
    }
    {
        RouterFixture fixture(default_settings(), 2);
        fixture.establish_primary(1, 2);
        fixture.arrive(1, kAnyRead);
        fixture.step();
        for (int i = 0; i < 2; ++i) {
            const auto to = fixture.forwarded_to(1);
            ASSERT_TRUE(to.has_value());
            fixture.attempt_ended(1, *to, Outcome::error, Role::unknown, 0);
            fixture.step();
        }
        EXPECT_EQ(reason_of(fixture, 1), RejectionReason::repeated_error);
    }
}

}  // namespace
}  // namespace sloestack::decision::test
