// The file's clock made fit to be played: monotonic, stretched and sped up. Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace sloestack::schedule {

using Time = std::int64_t;    // Unix microseconds
using Micros = std::int64_t;  // a duration

// Makes timestamps that go backwards go on: each is set to the latest seen before it. Counts them.
class Monotone {
public:
    Time take(Time at) {
        if (latest_ && at < *latest_) {
            ++backwards_;
            if (*latest_ - at > largest_) largest_ = *latest_ - at;
            return *latest_;
        }
        latest_ = at;
        return at;
    }
    std::uint64_t backwards() const { return backwards_; }
    Micros largest() const { return largest_; }  // the farthest that one went back
    std::optional<Time> latest() const { return latest_; }

private:
    std::optional<Time> latest_;
    std::uint64_t backwards_ = 0;
    Micros largest_ = 0;
};

// One range of the file's time, counted from its first request, that takes `factor` times as long: 0.5 plays
// a surge twice as dense.
struct Stretch {
    Micros from = 0, to = 0;
    double factor = 1;
};

class Timeline {
public:
    // `speed` 2 plays in half the time. Throws std::invalid_argument, a sentence naming what is wrong.
    Timeline(double speed, std::optional<Stretch> stretch);
    // When, after the start of the run, that is due which lies `since_first` into the file. Never goes back
    // where its argument does not.
    Micros due(Micros since_first) const;

private:
    double speed_;
    std::optional<Stretch> stretch_;
};

}  // namespace sloestack::schedule
