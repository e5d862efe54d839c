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
    exclusions::Bans bans(follower);
    // Banned before it is listed at all, as after an upgrade: what is known from the start is laid over too.
    bans.ban("a");
    bans.on_endpoint_list(EndpointListKind::cached,
                          {entry("a", EndpointState::ready), entry("b", EndpointState::ready)});
    ASSERT_TRUE(follower.of("a") == EndpointState::draining && follower.of("b") == EndpointState::ready);
    ASSERT_TRUE(bans.listed_members() == 2 && bans.listed_and_banned() == 1);
    bans.on_endpoint_list(EndpointListKind::changes, {entry("a", EndpointState::removed)});
    ASSERT_TRUE(follower.of("a") == EndpointState::removed && bans.listed_and_banned() == 0);
    bans.on_endpoint_list(EndpointListKind::changes, {entry("a", EndpointState::ready, 77)});
    ASSERT_TRUE(follower.of("a") == EndpointState::draining);
    // Discovery's present word comes with the call back, the cold start included.
    bans.lift("a");
    ASSERT_TRUE(follower.of("a") == EndpointState::ready && follower.now.at("a").endpoint.started_at == 77);
    bans.ban("b");
    bans.on_endpoint_list(EndpointListKind::complete,
                          {entry("a", EndpointState::ready), entry("b", EndpointState::draining)});
    bans.lift("b");
    ASSERT_TRUE(follower.of("b") == EndpointState::draining);
}

}  // namespace
