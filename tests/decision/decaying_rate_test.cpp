// Tests of DecayingRate.
#include "decaying_rate.h"

#include <gtest/gtest.h>

namespace sloestack::decision::test {
namespace {

TEST(DecayingRate, EstimatesASteadyRateFromItsFirstSamplesOn) {
    DecayingRate rate;
    for (Time at = 0; at <= 10'000'000; at += 10'000) {
        rate.add(at, 1);
        if (at > 500'000) {
            EXPECT_NEAR(rate.per_second(at), 100, 45) << at;
        }
    }
    EXPECT_NEAR(rate.per_second(10'000'000), 100, 1);
}

TEST(DecayingRate, DecaysOverItsWindow) {
    DecayingRate rate(2'000'000);
    EXPECT_EQ(rate.decayed_sum(0), 0);
    rate.add(1'000'000, 8);
    EXPECT_DOUBLE_EQ(rate.decayed_sum(1'000'000), 8);
    EXPECT_NEAR(rate.decayed_sum(3'000'000), 8 * std::exp(-1.0), 1e-9);
}

}  // namespace
}  // namespace sloestack::decision::test
