// The speed of a replica's log position, and how long a report of it counts as recent.
#include "position_history.h"

#include <gtest/gtest.h>

namespace sloestack::decision::test {
namespace {

TEST(PositionHistory, HasNoSpeedUntilItsSamplesSpanEnoughTime) {
    PositionHistory history;
    history.record({1'000'000, 900'000});
    EXPECT_FALSE(history.speed());
    history.record({1'149'999, 1'000'000});
    EXPECT_FALSE(history.speed());
    history.record({1'200'000, 1'000'000});
    ASSERT_TRUE(history.speed());
    EXPECT_DOUBLE_EQ(*history.speed(), 0.5);
}

TEST(PositionHistory, ReplacesASampleOfTheSameTime) {
    PositionHistory history;
    history.record({0, 0});
    history.record({200'000, 50'000});
    history.record({200'000, 200'000});
    ASSERT_TRUE(history.speed());
    EXPECT_DOUBLE_EQ(*history.speed(), 1.0);
}

TEST(PositionHistory, StaysFreshForLongerWhereSamplesAreRare) {
    PositionHistory often;
    PositionHistory seldom;
    for (Time at = 0; at <= 4'000'000; at += 100'000) often.record({at, at});
    for (Time at = 0; at <= 4'000'000; at += 1'000'000) seldom.record({at, at});
    EXPECT_EQ(often.freshness_window_us(), 1'000'000);
    EXPECT_EQ(seldom.freshness_window_us(), 3'000'000);
}

}  // namespace
}  // namespace sloestack::decision::test
