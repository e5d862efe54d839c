#include "sessions/session_timeouts.h"

#include <algorithm>

namespace sloestack::downstream {
namespace {

constexpr Micros kFirstQueryTimeoutUs = 2'400'000;
constexpr Micros kMessageTimeoutUs = 2'200'000;             // from the first byte of a message to its last
constexpr Micros kLargeStatementPartTimeoutUs = 2'200'000;  // from one part to the next
constexpr Micros kIdleTimeoutUs = 10'000'000;               // harmless: the client can reconnect
constexpr Micros kWriteStallTimeoutUs = 5'000'000;
constexpr Micros kLingerTimeoutUs = 1'000'000;  // for the client to read its last response and close

}  // namespace

void SessionTimeouts::renew(const SessionActivity& activity) {
    const Time now = deadlines_.now();
    if (activity.has_partial_message && !message_started_at_) message_started_at_ = now;
    if (activity.unwritten_bytes > 0) {
        if (limit_.is_set() && write_has_stalled(activity.sent_bytes)) return;
        return await_write_progress(activity.sent_bytes, on_expired_);
    }
    if (activity.waits_for_proxy) return limit_.clear();
    limit_.set(deadlines_, waiting_limit(activity), on_expired_);
}

Time SessionTimeouts::waiting_limit(const SessionActivity& activity) const {
    const Time first_query_limit = connected_at_ + kFirstQueryTimeoutUs;
    if (activity.in_large_statement) return activity.last_read_at + kLargeStatementPartTimeoutUs;
    if (!activity.is_started) return first_query_limit;
    if (activity.has_partial_message)
        return std::max(first_query_limit, message_started_at_ + kMessageTimeoutUs);
    if (!activity.has_sent_query) return first_query_limit;
    return std::max(activity.last_read_at, activity.last_response_at) + kIdleTimeoutUs;
}

void SessionTimeouts::await_write_progress(std::uint64_t sent_bytes, std::function<void()> on_stalled) {
    sent_bytes_when_set_ = sent_bytes;
    limit_.set(deadlines_, deadlines_.now() + kWriteStallTimeoutUs, std::move(on_stalled));
}

void SessionTimeouts::await_close(Time latest, std::function<void()> on_expired) {
    const Time limit = std::min(deadlines_.now() + kLingerTimeoutUs, latest);
    limit_.set(deadlines_, limit, std::move(on_expired));
}

void SessionTimeouts::call_soon(std::function<void()> callback) {
    limit_.set(deadlines_, deadlines_.now(), std::move(callback));
}

}  // namespace sloestack::downstream
