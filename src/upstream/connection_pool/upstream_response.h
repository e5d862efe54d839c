// An endpoint's response to one query, independent of the protocol.
#pragma once

#include <optional>

#include "sloestack/router.h"
#include "traffic/response.h"

namespace sloestack::upstream {

struct UpstreamResponse {
    // How the query ended; not set until its completion or an error has been received.
    std::optional<decision::Outcome> outcome;
    decision::ReplicationStatus status;           // of the endpoint when it responded
    decision::ReplicationStatus reported_status;  // from a load report sent with the response
    std::optional<traffic::ResultValue> value;    // present if the outcome is ok
};

}  // namespace sloestack::upstream
