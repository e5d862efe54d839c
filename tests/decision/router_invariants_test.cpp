// Randomized test of the router: after every step with random events, the invariants that its actions must
// satisfy are checked.
#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <iterator>
#include <map>
#include <random>
#include <set>
#include <variant>
#include <vector>

#include "router_fixture.h"

namespace sloestack::decision::test {
namespace {

constexpr int kStepCount = 3000;
constexpr int kEndpointCount = 4;
constexpr EndpointId kPrimary = 1;
// A router may notice only at its next timer that a deadline has passed.
constexpr Micros kDeadlineTolerance = 8000;

class RandomRun {
public:
    RandomRun(const Settings& settings, std::uint64_t seed)
        : settings_(settings), random_(seed), fixture_(settings, kEndpointCount, seed) {}

    void run() {
        for (int i = 0; i < kStepCount; ++i) {
            const Micros elapsed = static_cast<Micros>(1000 + draw(9000));
            const Time step_time = fixture_.now + elapsed;
            maybe_arrive();
            maybe_change_list(step_time);
            maybe_end_attempts(step_time);
            fixture_.fire_timer(elapsed);
            for (const auto& action : fixture_.actions) {
                check(action);
                if (::testing::Test::HasFatalFailure()) return;
            }
            for (const auto& [id, request] : requests_)
                ASSERT_TRUE(request.has_ended || fixture_.now <= request.deadline + kDeadlineTolerance) << id;
        }
        EXPECT_GT(next_request_, 1000u);
    }

private:
    struct Request {
        int request_class = 0;
        Time deadline = 0;
        std::set<int> attempts_in_flight;
        std::vector<EndpointId> attempts;
        bool may_have_run = false;
        bool has_ended = false;
    };

    std::uint64_t draw(std::uint64_t bound) { return random_() % bound; }
    Idempotency idempotency_of(const Request& request) const {
        return settings_.classes[static_cast<std::size_t>(request.request_class)].idempotency;
    }

    void maybe_arrive() {
        if (draw(3) == 0) return;
        const SessionId session = draw(6);
        const int request_class = static_cast<int>(draw(5));
        fixture_.arrive(next_request_, request_class, session);
        Request request;
        request.request_class = request_class;
        request.deadline = fixture_.now + 1'000'000;
        requests_[next_request_] = request;
        ++next_request_;
    }

    void maybe_change_list(Time step_time) {
        if (draw(200) != 0) return;
        const auto endpoint = static_cast<EndpointId>(1 + draw(kEndpointCount));
        const bool draining = draw(2) != 0;
        const auto state = draining ? EndpointState::draining : EndpointState::ready;
        fixture_.endpoint_list(EndpointListKind::changes, {make_entry(endpoint, state)});
        if (draining)
            draining_since_.emplace(endpoint, step_time);
        else
            draining_since_.erase(endpoint);
    }

    void maybe_end_attempts(Time step_time) {
        for (auto& [id, request] : requests_) {
            if (request.has_ended || request.attempts_in_flight.empty()) continue;
            const bool late = step_time >= request.deadline;
            if (!late && draw(4) != 0) continue;
            end_attempt(id, request, late ? Outcome::timeout : draw_outcome(), step_time);
        }
    }

    Outcome draw_outcome() {
        constexpr Outcome kOutcomes[] = {
            Outcome::ok,           Outcome::ok,    Outcome::error,         Outcome::overloaded,
            Outcome::not_eligible, Outcome::reset, Outcome::connect_failed};
        return kOutcomes[draw(std::size(kOutcomes))];
    }

    void end_attempt(RequestId id, Request& request, Outcome outcome, Time step_time) {
        const int attempt = *request.attempts_in_flight.begin();
        AttemptEnded ended;
        ended.request = id;
        ended.attempt = attempt;
        ended.endpoint = request.attempts[static_cast<std::size_t>(attempt)];
        ended.outcome = outcome;
        ended.latency_us = 10'000;
        ended.request_ended = outcome == Outcome::ok;
        ended.status.role = ended.endpoint == kPrimary ? Role::primary : Role::replica;
        ended.status.position = step_time - 5000;
        fixture_.events.emplace_back(ended);
        request.attempts_in_flight.erase(attempt);
        request.has_ended = outcome == Outcome::ok;
        if (outcome == Outcome::error || outcome == Outcome::reset || outcome == Outcome::timeout)
            request.may_have_run = true;
    }

    void check(const Action& action) {
        if (const auto* forward = std::get_if<Forward>(&action))
            check_forward(*forward);
        else if (const auto* rejection = std::get_if<Reject>(&action))
            check_rejection(*rejection);
        else if (const auto* failure = std::get_if<Fail>(&action))
            check_failure(*failure);
    }

    void check_forward(const Forward& forward) {
        auto& request = requests_.at(forward.request);
        ASSERT_FALSE(request.has_ended);
        ASSERT_LT(fixture_.now, request.deadline);
        if (idempotency_of(request) == Idempotency::none) {
            ASSERT_FALSE(request.may_have_run || !request.attempts_in_flight.empty());
        }
        if (!settings_.hedging_allowed) {
            ASSERT_TRUE(request.attempts_in_flight.empty());
        }
        ASSERT_LT(static_cast<int>(request.attempts.size()), settings_.max_attempts);
        // Events before the list in the same step are processed with the older list.
        if (const auto draining = draining_since_.find(forward.endpoint); draining != draining_since_.end()) {
            ASSERT_EQ(fixture_.now, draining->second);
        }
        request.attempts_in_flight.insert(static_cast<int>(request.attempts.size()));
        request.attempts.push_back(forward.endpoint);
    }

    void check_rejection(const Reject& rejection) {
        auto& request = requests_.at(rejection.request);
        ASSERT_FALSE(request.has_ended);
        if (idempotency_of(request) != Idempotency::idempotent) {
            ASSERT_FALSE(request.may_have_run || !request.attempts_in_flight.empty());
        }
        request.has_ended = true;
    }

    void check_failure(const Fail& failure) {
        auto& request = requests_.at(failure.request);
        ASSERT_FALSE(request.has_ended);
        request.has_ended = true;
    }

    const Settings settings_;
    std::mt19937_64 random_;
    RouterFixture fixture_;
    std::map<RequestId, Request> requests_;
    std::map<EndpointId, Time> draining_since_;  // time of the step that first reported it
    RequestId next_request_ = 1;
};

TEST(RouterInvariants, HoldUnderRandomEvents) {
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        auto settings = default_settings(seed % 2 ? Idempotency::none : Idempotency::keyed);
        settings.hedging_allowed = seed % 3 == 0;
        settings.position_check = seed % 2 ? PositionCheck::none : PositionCheck::wait;
        settings.cancel_allowed = seed != 4;
        RandomRun(settings, seed).run();
    }
}

}  // namespace
}  // namespace sloestack::decision::test
