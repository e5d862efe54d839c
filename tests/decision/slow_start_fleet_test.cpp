// Tests of SlowStart with fleets of 3 to 300 routers: the work that all of them forward to one endpoint.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <random>
#include <vector>

#include "router_fixture.h"

namespace sloestack::decision::test {
namespace {

constexpr Micros kStep = 20'000;
constexpr double kRequestsPerSecond = 240;
constexpr int kEndpointCount = 4;
constexpr double kUtilization = 0.9;  // of the endpoints' capacity
constexpr EndpointId kPrimary = 1;
constexpr int kStepsBeforeRestart = 250;
constexpr int kStepsAfterRestart = 400;

// Simulates the routers of one replica group whose primary restarts.
class Fleet {
public:
    explicit Fleet(int router_count)
        : settings_(default_settings()),
          arrivals_(kRequestsPerSecond * to_double(kStep) / 1e6 / router_count),
          routers_(static_cast<std::size_t>(router_count)) {
        settings_.router_count = router_count;
        settings_.position_check = PositionCheck::reject;
        start_routers(0);
    }

    // Replaces every router by a new one, which has not learned the capacity of the endpoints.
    void start_routers(std::uint64_t round) {
        for (std::size_t i = 0; i < routers_.size(); ++i) {
            auto& router = routers_[i];
            const Time now = router ? router->now : 10'000'000;
            router = std::make_unique<RouterFixture>(settings_, kEndpointCount, round * 1000 + i + 1);
            router->now = now;
            router->establish_primary(kPrimary, kEndpointCount);
        }
    }

    // Performs a step of all routers and returns how many requests they forwarded to the primary.
    int step(bool primary_restarts) {
        int forwarded = 0;
        for (auto& router : routers_) {
            if (primary_restarts) report_restart(*router);
            forwarded += step(*router);
        }
        return forwarded;
    }

    const Settings& settings() const { return settings_; }

private:
    // Half of all requests are writes, which only the primary can take.
    static void report_restart(RouterFixture& router) {
        auto entry = make_entry(kPrimary);
        entry.started_at = router.now;
        router.endpoint_list(EndpointListKind::changes, {entry});
    }

    int step(RouterFixture& router) {
        std::vector<RequestId> requests;
        for (int count = arrivals_(random_); count > 0; --count) {
            ++last_request_;
            requests.push_back(last_request_);
            router.arrive(last_request_, last_request_ % 2 == 0 ? kWrite : kAnyRead);
        }
        router.fire_timer(kStep);
        int forwarded = 0;
        for (const auto request : requests) {
            const auto endpoint = router.forwarded_to(request);
            if (!endpoint) continue;
            const bool to_primary = *endpoint == kPrimary;
            forwarded += to_primary;
            router.attempt_succeeded(request, *endpoint, to_primary ? Role::primary : Role::replica,
                                     router.now);
        }
        return forwarded;
    }

    Settings settings_;
    std::mt19937_64 random_{17};
    std::poisson_distribution<int> arrivals_;
    std::vector<std::unique_ptr<RouterFixture>> routers_;
    RequestId last_request_ = 0;
};

// Returns how many requests may be forwarded in a window whose middle is `since_start` after the endpoint's
// start: the overload multiple of its capacity, plus two standard deviations and two requests for random
// variation.
double allowed_in_window(const Settings& settings, Micros since_start) {
    const double minimum = settings.slow_start_min_capacity_ratio;
    const double progress = to_double(since_start) / to_double(settings.slow_start_duration_us);
    const double capacity_ratio = std::min(1.0, minimum + (1 - minimum) * progress);
    const double full_rate = kRequestsPerSecond / kEndpointCount / kUtilization;
    const double budget = settings.overload_multiple * capacity_ratio * full_rate *
                          to_double(settings.overload_window_us) / 1e6;
    return budget + 2 * std::sqrt(budget) + 2;
}

TEST(SlowStart, KeepsTheWorkOfAnyFleetWithinTheBudget) {
    for (const int router_count : {3, 20, 30, 300})
        for (const bool routers_restart : {false, true}) {
            Fleet fleet(router_count);
            for (int i = 0; i < kStepsBeforeRestart; ++i) fleet.step(false);
            if (routers_restart) fleet.start_routers(1);
            std::vector<int> forwarded;
            for (int i = 0; i < kStepsAfterRestart; ++i) forwarded.push_back(fleet.step(i == 0));

            const auto window = static_cast<std::size_t>(fleet.settings().overload_window_us / kStep);
            double sum = 0;
            double largest_excess = -1e9;
            for (std::size_t i = 0; i < forwarded.size(); ++i) {
                sum += forwarded[i] - (i >= window ? forwarded[i - window] : 0);
                const auto middle = static_cast<Micros>(i - std::min(i, window) / 2) * kStep;
                largest_excess = std::max(largest_excess, sum - allowed_in_window(fleet.settings(), middle));
            }
            EXPECT_LE(largest_excess, 0)
                << router_count << " routers, " << (routers_restart ? "restarted" : "running");
            EXPECT_GT(sum, 0) << "part of the budget is used";
        }
}

}  // namespace
}  // namespace sloestack::decision::test
