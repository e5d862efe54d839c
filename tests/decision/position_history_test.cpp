// Tests of PositionHistory.
#include "position_history.h"

#include <gtest/gtest.h>

namespace sloestack::decision::test {
namespace {

TEST(PositionHistory, ReturnsNoSpeedUntilItsSamplesSpanEnoughTime) {
    PositionHistory history;
    history.record({1'000'000, 900'000});
    EXPECT_FALSE(history.speed());
    history.record({1'149'999, 1'000'000});
    EXPECT_FALSE(history.speed());
    history.record({1'200'000, 1'000'000});
    ASSERT_TRUE(history.speed());
    EXPECT_DOUBLE_EQ(*history.speed(), 0.5);
}

TEST(PositionHistory, ReplacesASampleWithTheSameTime) {
    PositionHistory history;
    history.record({0, 0});
    history.record({200'000, 50'000});
    history.record({200'000, 200'000});
    ASSERT_TRUE(history.speed());
    EXPECT_DOUBLE_EQ(*history.speed(), 1.0);
}

TEST(PositionHistory, ExtendsTheFreshnessWindowIfSamplesAreRare) {
    PositionHistory frequent;
    PositionHistory rare;
    for (Time at = 0; at <= 4'000'000; at += 100'000) frequent.record({at, at});
    for (Time at = 0; at <= 4'000'000; at += 1'000'000) rare.record({at, at});
    EXPECT_EQ(frequent.freshness_window_us(), 1'000'000);
    EXPECT_EQ(rare.freshness_window_us(), 3'000'000);
}

}  // namespace
}  // namespace sloestack::decision::test
