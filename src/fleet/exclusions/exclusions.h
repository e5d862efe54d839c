// Endpoints that operators have excluded. Receives discovery's endpoint lists and passes them on to the next
// listener, in which an excluded endpoint that discovery lists as ready is reported as draining.
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
    // `next` receives the lists with the exclusions applied. It must outlive this object.
    explicit Exclusions(traffic::EndpointListListener& next) : next_(next) {}

    void on_endpoint_list(decision::EndpointListKind kind,
                          std::vector<traffic::ListedEndpoint> endpoints) override;
    void on_poll_failed(const decision::FailedPoll& poll) override { next_.on_poll_failed(poll); }

    // Both functions take an endpoint's name in discovery, whether or not it is listed. If it is listed, they
    // report the change to the next listener before they return. A call that changes nothing is ignored.
    void exclude(const std::string& name);
    // Reports the endpoint as discovery lists it now, with its current start time.
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
