// Tests of the whole router: invalid and unusual input, determinism and started responses.
#include <gtest/gtest.h>

#include <stdexcept>
#include <variant>
#include <vector>

#include "router_fixture.h"

namespace sloestack::decision::test {
namespace {

TEST(Router, ThrowsOnInvalidSettings) {
    EXPECT_THROW(Router(Settings{}, 1), std::invalid_argument);
    auto settings = default_settings();
    settings.classes[kBoundedRead].staleness_bound_us = 0;
    EXPECT_THROW(Router(settings, 1), std::invalid_argument);
}

// Covers an empty list, an unknown replica group, duplicate entries, an endpoint started long ago, and a
// deadline that has already passed.
TEST(Router, EndsEveryRequestDespiteUnusualListsAndDeadlines) {
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
    bool has_ended = false;
    for (int i = 0; i < 200; ++i) {
        fixture.fire_timer();
        has_ended = has_ended || fixture.find<Reject>(2);
    }
    EXPECT_TRUE(has_ended);
}

TEST(Router, ProducesTheSameActionsForTheSameEvents) {
    const auto run = [] {
        RouterFixture fixture(default_settings(), 5, 42);
        fixture.establish_primary(2, 5);
        std::vector<EndpointId> to;
        for (RequestId id = 1; id <= 200; ++id) {
            fixture.arrive(id, static_cast<int>(id % 5));
            fixture.fire_timer();
            to.push_back(fixture.forwarded_to(id).value_or(0));
            if (to.back())
                fixture.attempt_succeeded(id, to.back(), to.back() == 2 ? Role::primary : Role::replica,
                                          fixture.now - 2000);
        }
        return to;
    };
    EXPECT_EQ(run(), run());
}

// Guards against giving up a request, or ejecting its endpoint as silent, while its response is streamed past
// the deadline.
TEST(Router, DoesNotGiveUpARequestWhoseResponseHasStarted) {
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
