// What all client sessions of a listener share. Owned by the listener, which outlives its sessions.
#pragma once

#include <limits>
#include <string>
#include <unordered_set>
#include <vector>

#include "deadlines/deadlines.h"
#include "metrics/metrics.h"
#include "sessions/cancel_keys.h"
#include "traffic/request.h"
#include "transport/connection.h"
#include "transport/descriptor_quota.h"
#include "transport/memory_budget.h"

namespace sloestack::downstream {

struct SessionContext {
    net::Loop& loop;
    Deadlines& deadlines;
    traffic::RequestDispatcher& dispatcher;
    net::ByteAccount& account;  // bytes held for all clients
    net::MemoryBudget&
        large_statement_budget;  // bytes of statements that exceed pgwire::kMaxBufferedMessageBytes
    const net::DescriptorQuota& client_quota;  // descriptors of serving connections
    net::DescriptorQuota& lingering_quota;     // descriptors of connections in a lingering close
    metrics::RequestMetrics& metrics;
    std::vector<std::string> class_names;
    // By request class: idempotent reads, which may run beside other such queries of their connection.
    std::vector<bool> class_may_overlap;
    bool uses_sessions = false;  // some class reads its own session's writes
    CancelKeys cancel_keys{0};
    bool close_after_response = false;  // the listener stops: sessions close after their next response
    // The latest end of any lingering close.
    Time linger_deadline = std::numeric_limits<Time>::max();
    std::unordered_set<std::string> open_request_ids = {};  // of requests without a response
};

}  // namespace sloestack::downstream
