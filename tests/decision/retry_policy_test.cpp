// Tests of RetryPolicy with a whole router: when a failed attempt is retried, and otherwise rejected or
// failed.
#include <gtest/gtest.h>

#include <vector>

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

// A keyed write that waited for a primary was failed long after its last time to be sent again.
TEST(RetryPolicy, FailsAQueuedKeyedWriteAtTheEndOfItsIdempotencyWindow) {
    constexpr Micros kWindow = 500'000;
    constexpr Micros kMargin = 30'000;
    constexpr RequestId kWrites = 8;
    RouterFixture fixture(default_settings(Idempotency::keyed));
    fixture.establish_primary(2);
    for (RequestId id = 1; id <= kWrites; ++id) fixture.arrive(id, kWrite);
    fixture.step(1000);
    const Time forwarded_at = fixture.now;
    for (RequestId id = 1; id <= kWrites; ++id)
        fixture.attempt_ended(id, 2, Outcome::reset, Role::unknown, 0);
    fixture.step(100'000);
    ASSERT_TRUE(fixture.logged("primary lost"));
    std::vector<RequestId> waiting;
    for (RequestId id = 1; id <= kWrites; ++id)
        if (!fixture.forwarded_to(id)) waiting.push_back(id);
    ASSERT_GE(waiting.size(), 3u);
    std::size_t failed = 0;
    while (fixture.now < forwarded_at + kWindow) {
        fixture.fire_timer();
        for (const auto id : waiting) {
            if (!fixture.find<Fail>(id)) continue;
            ++failed;
            EXPECT_GE(fixture.now, forwarded_at + kWindow - kMargin);
        }
    }
    EXPECT_EQ(failed, waiting.size());
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
