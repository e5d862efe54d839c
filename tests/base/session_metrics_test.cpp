// The counters of client connections and the event loop.
#include "metrics/session_metrics.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "log/rate_limit.h"

namespace {

using nlohmann::json;
using sloestack::metrics::SessionEnd;
using sloestack::metrics::SessionMetrics;

TEST(SessionMetrics, CountsEndsPausesAndDelays) {
    SessionMetrics counters;
    counters.count_end(SessionEnd::displaced);
    counters.count_accept_pause(120'000);
    counters.count_accept_pause(30'000);
    counters.count_request_read(49'000);
    counters.count_request_read(2'400'000);
    counters.count_late_iteration(150'000);
    const auto metrics = json::parse(counters.to_json());
    EXPECT_EQ(metrics["ends"]["displaced"], 1);
    EXPECT_EQ(metrics["ends"].size(), sloestack::metrics::kSessionEndCount);
    EXPECT_EQ(metrics["accept_pauses"], 2);
    EXPECT_EQ(metrics["accept_paused_ms"], 150);
    EXPECT_EQ(metrics["delayed_requests"], 1);
    EXPECT_EQ(metrics["max_request_age_ms"], 2400);
    EXPECT_EQ(metrics["max_iteration_delay_ms"], 150);
    EXPECT_EQ(counters.total(), 5U);
}

TEST(RateLimit, AllowsItsNumberOfLinesInEachInterval) {
    sloestack::log::RateLimit limit(2, 1'000'000);
    EXPECT_TRUE(limit.allows(5'000'000));
    EXPECT_TRUE(limit.allows(5'100'000));
    EXPECT_FALSE(limit.allows(5'900'000));
    EXPECT_TRUE(limit.allows(6'000'000));
}

}  // namespace
