// The figures that operators read. Counted once each, where the thing happens: answers where the client gets
// them, tries where an attempt's last byte has been written, causes where the decision module gives a request
// up, and outcomes where an attempt ends.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "sloestack/router.h"

namespace sloestack::metrics {

// What is so now and is not counted up.
struct State {
    std::size_t active = 0;        // requests taken and not ended
    std::size_t pool_size = 0;     // members in the list
    std::size_t pool_ejected = 0;  // of them, those avoided by hand or by choice
};

class Numbers {
public:
    enum What { ok, shed, errors };

    explicit Numbers(std::vector<std::string> class_names);

    // A class is its place among the names; one that is unknown (-1) is not counted.
    void answered(int request_class, What what);
    void tried(int request_class);
    void given_up(int request_class, decision::RejectionReason cause);
    void ended(int request_class, decision::Outcome outcome);
    std::uint64_t counted() const { return counted_; }  // all of these together
    std::string json(const State& state) const;

private:
    struct Class {
        std::string name;
        std::uint64_t answers[3] = {}, tries = 0;
        std::array<std::uint64_t, decision::kRejectionReasonCount> causes = {};
        std::array<std::uint64_t, decision::kOutcomeCount> outcomes = {};
    };
    Class* find(int request_class);
    void count(std::uint64_t& what) { ++what, ++counted_; }
    std::vector<Class> classes_;
    std::uint64_t counted_ = 0;
};

}  // namespace sloestack::metrics
