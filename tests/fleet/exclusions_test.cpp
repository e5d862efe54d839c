// Exclusions by operators, applied to discovery's endpoint lists.
#include "exclusions/exclusions.h"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace sloestack;

// Keeps the last reported entry of each endpoint, by its name.
struct RecordingListener final : traffic::EndpointListListener {
    std::map<std::string, traffic::ListedEndpoint> entries_by_name;
    void on_endpoint_list(sloestack::decision::EndpointListKind,
                          std::vector<traffic::ListedEndpoint> entries) override {
        for (auto& entry : entries) entries_by_name[entry.name] = entry;
    }
    void on_poll_failed(const sloestack::decision::FailedPoll&) override {}
    sloestack::decision::EndpointState state_of(const std::string& name) const {
        return entries_by_name.at(name).endpoint.state;
    }
};

TEST(Exclusions, OverrideDiscoveryUntilTheEndpointIsIncluded) {
    using sloestack::decision::EndpointListKind;
    using sloestack::decision::EndpointState;
    const auto entry = [](const char* name, EndpointState state, sloestack::decision::Time started = 0) {
        traffic::ListedEndpoint listed;
        listed.name = name;
        listed.endpoint.state = state;
        listed.endpoint.started_at = started;
        return listed;
    };
    RecordingListener listener;
    exclusions::Exclusions exclusions(listener);
    // An endpoint may be excluded before it is listed, as after a
    // hot restart. The exclusion applies to the cached list too.
    exclusions.exclude("a");
    exclusions.on_endpoint_list(EndpointListKind::cached,
                                {entry("a", EndpointState::ready), entry("b", EndpointState::ready)});
    ASSERT_TRUE(listener.state_of("a") == EndpointState::draining &&
                listener.state_of("b") == EndpointState::ready);
    ASSERT_TRUE(exclusions.listed_count() == 2 && exclusions.listed_and_excluded_count() == 1);
    exclusions.on_endpoint_list(EndpointListKind::changes, {entry("a", EndpointState::removed)});
    ASSERT_TRUE(listener.state_of("a") == EndpointState::removed &&
                exclusions.listed_and_excluded_count() == 0);
    exclusions.on_endpoint_list(EndpointListKind::changes, {entry("a", EndpointState::ready, 77)});
    ASSERT_TRUE(listener.state_of("a") == EndpointState::draining);
    // An included endpoint is reported as discovery lists it now, with its new start time.
    exclusions.include("a");
    ASSERT_TRUE(listener.state_of("a") == EndpointState::ready &&
                listener.entries_by_name.at("a").endpoint.started_at == 77);
    exclusions.exclude("b");
    exclusions.on_endpoint_list(EndpointListKind::complete,
                                {entry("a", EndpointState::ready), entry("b", EndpointState::draining)});
    exclusions.include("b");
    ASSERT_TRUE(listener.state_of("b") == EndpointState::draining);
}

}  // namespace
