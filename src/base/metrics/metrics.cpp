#include "metrics/metrics.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "metrics/metric_names.h"

namespace sloestack::metrics {
namespace {

template <class Enum>
constexpr std::size_t index_of(Enum value) {
    return static_cast<std::size_t>(value);
}

template <class Enum, std::size_t kCount>
nlohmann::json counts_by_name(const std::array<std::uint64_t, kCount>& counts) {
    auto out = nlohmann::json::object();
    for (std::size_t i = 0; i < kCount; ++i) out[metric_name(static_cast<Enum>(i))] = counts[i];
    return out;
}

}  // namespace

RequestMetrics::RequestMetrics(std::vector<std::string> class_names) {
    for (auto& name : class_names) classes_.emplace_back().name = std::move(name);
}

RequestMetrics::ClassCounters* RequestMetrics::find(int request_class) {
    const auto index = static_cast<std::size_t>(request_class);
    return request_class >= 0 && index < classes_.size() ? &classes_[index] : nullptr;
}

void RequestMetrics::increment(std::uint64_t& counter) {
    ++counter;
    ++total_;
}

void RequestMetrics::count_response(int request_class, ResponseKind kind) {
    if (auto* counters = find(request_class)) increment(counters->responses[index_of(kind)]);
}

void RequestMetrics::count_attempt_sent(int request_class) {
    if (auto* counters = find(request_class)) increment(counters->attempts_sent);
}

void RequestMetrics::count_unserved(int request_class, decision::RejectionReason reason) {
    if (auto* counters = find(request_class)) increment(counters->reasons[index_of(reason)]);
}

void RequestMetrics::count_attempt_ended(int request_class, decision::Outcome outcome) {
    if (auto* counters = find(request_class)) increment(counters->outcomes[index_of(outcome)]);
}

std::string RequestMetrics::to_json(const Gauges& gauges) const {
    auto responses = nlohmann::json::object();
    auto reasons = nlohmann::json::object();
    auto results = nlohmann::json::object();
    std::uint64_t attempts_sent = 0;
    for (const auto& counters : classes_) {
        responses[counters.name] = {{"ok", counters.responses[index_of(ResponseKind::served)]},
                                    {"shed", counters.responses[index_of(ResponseKind::rejected)]},
                                    {"errors", counters.responses[index_of(ResponseKind::failed)]},
                                    {"tries", counters.attempts_sent}};
        attempts_sent += counters.attempts_sent;
        reasons[counters.name] = counts_by_name<decision::RejectionReason>(counters.reasons);
        results[counters.name] = counts_by_name<decision::Outcome>(counters.outcomes);
    }
    return nlohmann::json{{"responses", responses},
                          {"reasons", reasons},
                          {"results", results},
                          {"tries", attempts_sent},
                          {"active", gauges.open_requests},
                          {"pool_size", gauges.listed_endpoints},
                          {"pool_ejected", gauges.avoided_endpoints}}
        .dump();
}

}  // namespace sloestack::metrics
