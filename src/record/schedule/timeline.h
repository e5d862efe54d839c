// Maps the timestamps of a capture file to the times of a replay: makes them monotonic, stretches a range and
// applies the speed. Does no I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace sloestack::schedule {

using Time = std::int64_t;    // Unix microseconds
using Micros = std::int64_t;  // a duration

// Makes timestamps monotonic: one that goes backwards is replaced by the latest before it, and counted.
class MonotonicClock {
public:
    Time take(Time at) {
        if (latest_ && at < *latest_) {
            ++backwards_;
            if (*latest_ - at > largest_step_back_) largest_step_back_ = *latest_ - at;
            return *latest_;
        }
        latest_ = at;
        return at;
    }
    std::uint64_t backwards() const { return backwards_; }
    Micros largest_step_back() const {
        return largest_step_back_;
    }  // the largest difference to the latest timestamp
    std::optional<Time> latest() const { return latest_; }

private:
    std::optional<Time> latest_;
    std::uint64_t backwards_ = 0;
    Micros largest_step_back_ = 0;
};

// A range of the file's time, relative to its first step, that takes `factor` times as long: 0.5 replays the
// range at twice the request rate.
struct Stretch {
    Micros from = 0, to = 0;
    double factor = 1;
};

class Timeline {
public:
    // A `speed` of 2 replays in half the time. Throws std::invalid_argument if a value is out of range.
    Timeline(double speed, std::optional<Stretch> stretch);
    // Returns when a step is due, relative to the start of the run, that is `since_first` after the first
    // step of the file. Monotonic in its argument.
    Micros due(Micros since_first) const;

private:
    double speed_;
    std::optional<Stretch> stretch_;
};

}  // namespace sloestack::schedule
