// The state that all client sessions of a listener share. Owned by the listener, which outlives its sessions.
#pragma once

#include <functional>
#include <limits>
#include <string>
#include <vector>

#include "deadlines/deadlines.h"
#include "log/rate_limit.h"
#include "metrics/metrics.h"
#include "metrics/session_metrics.h"
#include "sessions/cancel_keys.h"
#include "sessions/request_ids.h"
#include "traffic/request.h"
#include "transport/connection.h"
#include "transport/descriptor_quota.h"
#include "transport/memory_budget.h"

namespace sloestack::downstream {

constexpr int kMaxDroppedRequestLines = 10;
constexpr Micros kDroppedRequestLineIntervalUs = 1'000'000;

struct SessionContext {
    net::Loop& loop;
    Deadlines& deadlines;
    traffic::RequestDispatcher& dispatcher;
    net::ByteAccount& account;                  // bytes buffered for all clients
    net::MemoryBudget& large_statement_budget;  // for statements larger than kMaxBufferedMessageBytes
    const net::DescriptorQuota& client_quota;   // descriptors of connections whose requests are served
    net::DescriptorQuota& lingering_quota;      // descriptors of connections in a lingering close
    metrics::RequestMetrics& metrics;
    std::vector<std::string> class_names;
    // By request class: whether it is an idempotent read, which may run concurrently with other such queries
    // of its connection.
    std::vector<bool> class_may_overlap;
    bool uses_sessions = false;  // some class needs read-your-writes within a session
    CancelKeys cancel_keys{0};
    // Called for a CancelRequest whose key belongs to no session here, but perhaps to one of another process.
    std::function<void(const CancelKey&)> forward_cancel_request = [](const CancelKey&) {};
    // Called for the id of each request that is opened.
    std::function<void(std::uint64_t)> report_request_id = [](std::uint64_t) {};
    bool close_after_response = false;  // set during a stop: sessions close after their next response
    // The time by which any lingering close ends.
    Time linger_deadline = std::numeric_limits<Time>::max();
    RequestIds request_ids = {};
    metrics::SessionMetrics session_metrics = {};
    log::RateLimit dropped_request_lines{kMaxDroppedRequestLines, kDroppedRequestLineIntervalUs};
};

}  // namespace sloestack::downstream
