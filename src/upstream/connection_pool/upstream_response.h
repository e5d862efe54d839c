// What an endpoint answered to one query, whatever protocol it speaks.
#pragma once

#include <optional>

#include "sloestack/router.h"
#include "traffic/response.h"

namespace sloestack::upstream {

struct UpstreamResponse {
    // How the query ended; nothing before its end or an error has arrived.
    std::optional<decision::Outcome> outcome;
    decision::ReplicationStatus status;           // of the endpoint as it answered
    decision::ReplicationStatus reported_status;  // from a load report that came with the response
    std::optional<traffic::ResultValue> value;    // present where the outcome is ok
};

}  // namespace sloestack::upstream
