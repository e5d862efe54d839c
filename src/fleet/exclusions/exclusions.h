// Endpoints that operators have excluded by hand. Sits between discovery and the listener of its endpoint
// lists, and reports an excluded endpoint as draining for as long as discovery lists it as ready.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "traffic/endpoint_list.h"

namespace sloestack::exclusions {

class Exclusions final : public traffic::EndpointListListener {
public:
    // `next` is given the lists with the exclusions applied; it outlives this.
    explicit Exclusions(traffic::EndpointListListener& next) : next_(next) {}

    void on_endpoint_list(decision::EndpointListKind kind,
                          std::vector<traffic::ListedEndpoint> endpoints) override;
    void on_poll_failed(const decision::FailedPoll& poll) override { next_.on_poll_failed(poll); }

    // Both take an endpoint's name in discovery, listed or not, and report the change of a listed one at
    // once. A call that changes nothing is ignored.
    void exclude(const std::string& name);
    // The endpoint is reported as discovery lists it now, its start time included.
    void include(const std::string& name);

    bool is_excluded(const std::string& name) const { return excluded_.count(name) > 0; }
    const std::set<std::string>& excluded() const { return excluded_; }
    std::size_t listed_count() const { return listed_.size(); }
    std::size_t listed_and_excluded_count() const;

private:
    traffic::ListedEndpoint with_exclusion(traffic::ListedEndpoint endpoint) const;
    void report(const std::string& name);

    traffic::EndpointListListener& next_;
    std::set<std::string> excluded_;
    std::map<std::string, traffic::ListedEndpoint> listed_;  // by name, without exclusions applied
};

}  // namespace sloestack::exclusions
