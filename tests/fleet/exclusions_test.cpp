// Members excluded by hand, laid over the endpoint lists of discovery.
#include "exclusions/exclusions.h"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace sloestack;

// Keeps the last entry heard of each member, by its name.
struct Follower final : traffic::EndpointListListener {
    std::map<std::string, traffic::ListedEndpoint> now;
    void on_endpoint_list(sloestack::decision::EndpointListKind,
                          std::vector<traffic::ListedEndpoint> entries) override {
        for (auto& e : entries) now[e.name] = e;
    }
    void on_poll_failed(const sloestack::decision::FailedPoll&) override {}
    sloestack::decision::EndpointState of(const std::string& name) const {
        return now.at(name).endpoint.state;
    }
};

TEST(Exclusions, OverrideDiscoveryUntilTheyAreLifted) {
    using sloestack::decision::EndpointListKind;
    using sloestack::decision::EndpointState;
    const auto entry = [](const char* name, EndpointState state, sloestack::decision::Time started = 0) {
        traffic::ListedEndpoint e;
        e.name = name;
        e.endpoint.state = state;
        e.endpoint.started_at = started;
        return e;
    };
    Follower follower;
    exclusions::Exclusions exclusions(follower);
    // Excluded before it is listed at all, as after an upgrade: what is known from the start is laid over
    // too.
    exclusions.exclude("a");
    exclusions.on_endpoint_list(EndpointListKind::cached,
                                {entry("a", EndpointState::ready), entry("b", EndpointState::ready)});
    ASSERT_TRUE(follower.of("a") == EndpointState::draining && follower.of("b") == EndpointState::ready);
    ASSERT_TRUE(exclusions.listed_count() == 2 && exclusions.listed_and_excluded_count() == 1);
    exclusions.on_endpoint_list(EndpointListKind::changes, {entry("a", EndpointState::removed)});
    ASSERT_TRUE(follower.of("a") == EndpointState::removed && exclusions.listed_and_excluded_count() == 0);
    exclusions.on_endpoint_list(EndpointListKind::changes, {entry("a", EndpointState::ready, 77)});
    ASSERT_TRUE(follower.of("a") == EndpointState::draining);
    // Discovery's present word comes with the call back, the cold start included.
    exclusions.include("a");
    ASSERT_TRUE(follower.of("a") == EndpointState::ready && follower.now.at("a").endpoint.started_at == 77);
    exclusions.exclude("b");
    exclusions.on_endpoint_list(EndpointListKind::complete,
                                {entry("a", EndpointState::ready), entry("b", EndpointState::draining)});
    exclusions.include("b");
    ASSERT_TRUE(follower.of("b") == EndpointState::draining);
}

}  // namespace
