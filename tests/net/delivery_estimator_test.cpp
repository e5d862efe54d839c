// Tests of DeliveryEstimator with the progress that a kernel reports.
#include "transport/delivery_estimator.h"

#include <gtest/gtest.h>

namespace {

using namespace sloestack;
using net::SendProgress;

constexpr std::size_t kWindow = 64'000;
constexpr std::size_t kMessage = 1'000'000;
constexpr Micros kSecond = 1'000'000;

TEST(DeliveryEstimator, KnowsNothingWhileMuchIsUnacknowledged) {
    net::DeliveryEstimator estimator(0, kWindow);
    estimator.update(kSecond / 2, kMessage, SendProgress{kMessage / 2, kMessage / 2, kWindow});
    EXPECT_FALSE(estimator.read_by());
    EXPECT_FALSE(estimator.needs_newer_window());
}

TEST(DeliveryEstimator, CountsWhatThePeersBufferMayHoldAsUnread) {
    net::DeliveryEstimator estimator(0, kWindow);
    estimator.update(kSecond, kMessage, SendProgress{0, 0, 0});
    ASSERT_TRUE(estimator.read_by());
    EXPECT_EQ(*estimator.read_by(), kSecond * 1'000 / (1'000 - 128));
    EXPECT_TRUE(estimator.needs_newer_window());
    estimator.update(kSecond, kMessage, SendProgress{0, 0, kWindow});
    EXPECT_EQ(*estimator.read_by(), kSecond * 1'000 / (1'000 - 64));
    EXPECT_FALSE(estimator.needs_newer_window());
}

TEST(DeliveryEstimator, TakesADelayForAPaceOfThePeer) {
    net::DeliveryEstimator estimator(0, kWindow);
    estimator.update(3 * kSecond, kMessage, SendProgress{0, 0, 0});
    EXPECT_GT(*estimator.read_by(), 3 * kSecond);
}

// All of a message that fits into the peer's buffer may be unread while the window is smaller than before.
TEST(DeliveryEstimator, WaitsForAnOpenWindowAfterAShortMessage) {
    net::DeliveryEstimator estimator(0, kWindow);
    estimator.update(1'000, kWindow, SendProgress{0, 0, kWindow - 3'000});
    EXPECT_FALSE(estimator.read_by());
    EXPECT_TRUE(estimator.needs_newer_window());
    estimator.update(100'000, kWindow, SendProgress{0, 0, kWindow});
    EXPECT_EQ(*estimator.read_by(), 200'000);
}

}  // namespace
