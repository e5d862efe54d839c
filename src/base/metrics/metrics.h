// The metrics that operators read as JSON. Each counter is incremented in one place: responses when they are
// sent to the client, attempts when their last byte has been written, reasons when the decision module
// rejects or fails a request, and outcomes when an attempt ends.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "sloestack/router.h"

namespace sloestack::metrics {

// The kind of response that a client received.
enum class ResponseKind { served, rejected, failed };
constexpr std::size_t kResponseKindCount = static_cast<std::size_t>(ResponseKind::failed) + 1;

// Values that are measured when the metrics are read.
struct Gauges {
    std::size_t open_requests = 0;
    std::size_t listed_endpoints = 0;
    std::size_t avoided_endpoints = 0;  // of those listed: excluded by an operator or ejected by the router
};

class RequestMetrics {
public:
    explicit RequestMetrics(std::vector<std::string> class_names);

    // `request_class` is an index into the class names. An index out of range, such as -1 for an unknown
    // class, is not counted.
    void count_response(int request_class, ResponseKind kind);
    void count_attempt_sent(int request_class);
    void count_unserved(int request_class, decision::RejectionReason reason);
    void count_attempt_ended(int request_class, decision::Outcome outcome);

    // Returns the sum of all counters, which changes whenever a counter does.
    std::uint64_t total() const { return total_; }
    // Returns the metrics as a JSON object, with all names, also those whose count is 0.
    std::string to_json(const Gauges& gauges) const;

private:
    struct ClassCounters {
        std::string name;
        std::array<std::uint64_t, kResponseKindCount> responses = {};
        std::uint64_t attempts_sent = 0;
        std::array<std::uint64_t, decision::kRejectionReasonCount> reasons = {};
        std::array<std::uint64_t, decision::kOutcomeCount> outcomes = {};
    };
    ClassCounters* find(int request_class);
    void increment(std::uint64_t& counter);

    std::vector<ClassCounters> classes_;
    std::uint64_t total_ = 0;
};

}  // namespace sloestack::metrics
