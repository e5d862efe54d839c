// The metrics that operators read as JSON. Each counter has one place where it is raised: responses where the
// client gets them, attempts where their last byte has been written, reasons where the decision module
// rejects or fails a request, and outcomes where an attempt ends.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "sloestack/router.h"

namespace sloestack::metrics {

// How a request ended for its client.
enum class ResponseKind { served, rejected, failed };
constexpr std::size_t kResponseKindCount = static_cast<std::size_t>(ResponseKind::failed) + 1;

// What is measured at the moment of the read rather than counted.
struct Gauges {
    std::size_t open_requests = 0;
    std::size_t listed_endpoints = 0;
    std::size_t avoided_endpoints = 0;  // of those listed: excluded by an operator or ejected by the router
};

class RequestMetrics {
public:
    explicit RequestMetrics(std::vector<std::string> class_names);

    // `request_class` is an index into the class names; an unknown one (-1) is not counted.
    void count_response(int request_class, ResponseKind kind);
    void count_attempt_sent(int request_class);
    void count_unserved(int request_class, decision::RejectionReason reason);
    void count_attempt_ended(int request_class, decision::Outcome outcome);

    // The sum of all counters, by which a reader sees whether anything has changed.
    std::uint64_t total() const { return total_; }
    // Every name is there from the start, its count 0 until it is raised.
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
    void raise(std::uint64_t& counter);

    std::vector<ClassCounters> classes_;
    std::uint64_t total_ = 0;
};

}  // namespace sloestack::metrics
