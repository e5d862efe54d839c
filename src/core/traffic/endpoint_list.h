// Interface by which endpoint lists are passed from discovery to the dispatch loop.
#pragma once

#include <string>
#include <vector>

#include "traffic/types.h"

namespace sloestack::traffic {

// An endpoint as discovery lists it.
struct ListedEndpoint {
    std::string name = {};  // the endpoint's identifier in discovery
    decision::EndpointEntry endpoint;
    std::string address;  // host:port; may be empty
};

class EndpointListListener {
public:
    // `kind` is never EndpointListKind::failed: a failed poll is reported by on_poll_failed.
    virtual void on_endpoint_list(decision::EndpointListKind kind, std::vector<ListedEndpoint> endpoints) = 0;
    virtual void on_poll_failed(const decision::FailedPoll& poll) = 0;

protected:
    ~EndpointListListener() = default;
};

}  // namespace sloestack::traffic
