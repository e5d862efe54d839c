#include "metrics/session_metrics.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace sloestack::metrics {
namespace {

constexpr decision::Micros kDelayedRequestUs = 50'000;
constexpr decision::Micros kMicrosPerMillisecond = 1000;

const char* metric_name(SessionEnd end) {
    switch (end) {
        case SessionEnd::client_closed:
            return "client_closed";
        case SessionEnd::client_reset:
            return "client_reset";
        case SessionEnd::cancel_request:
            return "cancel_request";
        case SessionEnd::idle:
            return "idle";
        case SessionEnd::no_query:
            return "no_query";
        case SessionEnd::message_timeout:
            return "message_timeout";
        case SessionEnd::displaced:
            return "displaced";
        case SessionEnd::overloaded:
            return "overloaded";
        case SessionEnd::protocol_violation:
            return "protocol_violation";
        case SessionEnd::response_cut:
            return "response_cut";
        case SessionEnd::write_stalled:
            return "write_stalled";
        case SessionEnd::stopping:
            return "stopping";
    }
    return "";
}

}  // namespace

void SessionMetrics::increment(std::uint64_t& counter) {
    ++counter;
    ++total_;
}

void SessionMetrics::count_accept_pause(decision::Micros duration) {
    increment(accept_pauses_);
    accept_paused_us_ += duration;
}

void SessionMetrics::count_request_read(decision::Micros age) {
    if (age < kDelayedRequestUs) return;
    increment(delayed_requests_);
    max_request_age_us_ = std::max(max_request_age_us_, age);
}

void SessionMetrics::count_late_iteration(decision::Micros delay) {
    increment(late_iterations_);
    max_iteration_delay_us_ = std::max(max_iteration_delay_us_, delay);
}

std::string SessionMetrics::to_json() const {
    auto ends = nlohmann::json::object();
    for (std::size_t i = 0; i < kSessionEndCount; ++i)
        ends[metric_name(static_cast<SessionEnd>(i))] = ends_[i];
    return nlohmann::json{{"accepted", accepted_},
                          {"accept_pauses", accept_pauses_},
                          {"accept_paused_ms", accept_paused_us_ / kMicrosPerMillisecond},
                          {"dropped_requests", dropped_requests_},
                          {"delayed_requests", delayed_requests_},
                          {"memory_rejections", memory_rejections_},
                          {"max_request_age_ms", max_request_age_us_ / kMicrosPerMillisecond},
                          {"late_iterations", late_iterations_},
                          {"max_iteration_delay_ms", max_iteration_delay_us_ / kMicrosPerMillisecond},
                          {"ends", ends}}
        .dump();
}

}  // namespace sloestack::metrics
