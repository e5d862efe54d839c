// Tests of RetryPolicy with a whole router: when a failed attempt is retried, and otherwise rejected or
// failed.
#include <gtest/gtest.h>

#include "router_fixture.h"

namespace sloestack::decision::test {
namespace {

TEST(RetryPolicy, FailsANonIdempotentWriteThatMayHaveRun) {
    RouterFixture fixture(default_settings());
    fixture.establish_primary(2);
    fixture.arrive(1, kWrite);
    fixture.step(1000);
    ASSERT_EQ(fixture.forwarded_to(1), 2u);
    fixture.attempt_ended(1, 2, Outcome::reset, Role::unknown, 0);
    fixture.step(1000);
    EXPECT_FALSE(fixture.forwarded_to(1));
    EXPECT_FALSE(fixture.find<Reject>(1));
    EXPECT_TRUE(fixture.find<Fail>(1));
}

TEST(RetryPolicy, RetriesAWriteThatCannotHaveRun) {
    RouterFixture fixture(default_settings());
    fixture.establish_primary(2);
    fixture.arrive(1, kWrite);
    fixture.step(1000);
    fixture.attempt_ended(1, 2, Outcome::not_eligible, Role::replica, fixture.now - 5000);
    fixture.step(1000);
    EXPECT_FALSE(fixture.find<Fail>(1));
    fixture.health_check_ended(3, Role::primary, fixture.now);
    fixture.step(1000);
    EXPECT_EQ(fixture.forwarded_to(1), 3u);
}

TEST(RetryPolicy, FailsAKeyedWriteAfterItsIdempotencyWindow) {
    RouterFixture fixture(default_settings(Idempotency::keyed));
    fixture.establish_primary(2);
    fixture.arrive(1, kWrite);
    fixture.step(1000);
    fixture.attempt_ended(1, 2, Outcome::error, Role::primary, fixture.now);
    fixture.step(600'000);
    EXPECT_FALSE(fixture.forwarded_to(1));
    EXPECT_FALSE(fixture.find<Reject>(1));
    EXPECT_TRUE(fixture.find<Fail>(1));
}

TEST(RetryPolicy, RejectsASecondErrorWithTheMaximumRetryAfter) {
    RouterFixture fixture(default_settings());
    fixture.establish_primary(1);
    fixture.arrive(1, kBoundedRead);
    fixture.step(1000);
    auto to = fixture.forwarded_to(1);
    ASSERT_TRUE(to);
    fixture.attempt_ended(1, *to, Outcome::error, Role::unknown, 0);
    fixture.step(1000);
    to = fixture.forwarded_to(1);
    ASSERT_TRUE(to);
    fixture.attempt_ended(1, *to, Outcome::error, Role::unknown, 0);
    fixture.step(1000);
    ASSERT_TRUE(fixture.find<Reject>(1));
    EXPECT_EQ(fixture.find<Reject>(1)->retry_after_us, 1'000'000);
}

}  // namespace
}  // namespace sloestack::decision::test
