// The router as a whole: input it must cope with, determinism, started answers.
#include <gtest/gtest.h>

#include <stdexcept>
#include <variant>
#include <vector>

#include "router_fixture.h"

namespace sloestack::decision::test {
namespace {

TEST(Router, RejectsSettingsThatCannotRun) {
    EXPECT_THROW(Router(Settings{}, 1), std::invalid_argument);
    auto settings = default_settings();
    settings.classes[kBoundedRead].staleness_bound_us = 0;
    EXPECT_THROW(Router(settings, 1), std::invalid_argument);
}

// An empty list, unknown replica groups, duplicate entries, a start in the past, a deadline already exceeded.
TEST(Router, OddListsAndLateRequestsAreAnswered) {
    RouterFixture fixture(default_settings());
    fixture.endpoint_list(EndpointListKind::complete, {});
    auto entry = make_entry(5);
    entry.replica_group = 77;
    entry.started_at = 1;
    fixture.endpoint_list(EndpointListKind::changes, {entry, entry, make_entry(6, EndpointState::removed)});
    fixture.arrive(1, kAnyRead);
    std::get<Arrival>(fixture.events.back()).deadline = fixture.now - 1;
    fixture.arrive(2, kWrite);
    std::get<Arrival>(fixture.events.back()).replica_group = 1234;
    fixture.step(1000);
    EXPECT_TRUE(fixture.find<Reject>(1));
    bool answered = false;
    for (int i = 0; i < 200; ++i) {
        fixture.fire_timer();
        answered = answered || fixture.find<Reject>(2);
    }
    EXPECT_TRUE(answered);
}

TEST(Router, SameEventsGiveSameActions) {
    const auto run = [] {
        RouterFixture fixture(default_settings(), 5, 42);
        fixture.establish_primary(2, 5);
        std::vector<EndpointId> to;
        for (RequestId id = 1; id <= 200; ++id) {
            fixture.arrive(id, static_cast<int>(id % 5));
            fixture.fire_timer();
            to.push_back(fixture.forwarded_to(id).value_or(0));
            if (to.back())
                fixture.answered(id, to.back(), to.back() == 2 ? Role::primary : Role::replica,
                                 fixture.now - 2000);
        }
        return to;
    };
    EXPECT_EQ(run(), run());
}

// Once its answer has started a request is not given up at its deadline, and its endpoint does not count as
// silent.
TEST(Router, AStartedAnswerIsNeverGivenUp) {
    RouterFixture fixture(default_settings());
    fixture.establish_primary(1);
    fixture.arrive(1, kAnyRead);
    fixture.step();
    const auto to = fixture.forwarded_to(1);
    ASSERT_TRUE(to);
    fixture.events.emplace_back(ResponseStarted{1, 0, *to, 30'000});
    fixture.step(30'000);
    for (int i = 0; i < 600; ++i) {
        fixture.fire_timer();
        EXPECT_FALSE(fixture.find<Fail>(1) || fixture.find<Reject>(1) || fixture.find<Cancel>(1));
    }
    EXPECT_EQ(fixture.router.ejected_endpoint_count(), 0u);
    fixture.attempt_ended(1, *to, Outcome::reset, Role::unknown, 0, true);
    fixture.step();
    EXPECT_FALSE(fixture.forwarded_to(1));
}

}  // namespace
}  // namespace sloestack::decision::test
