// A random number generator in integer arithmetic alone, so that all builds and platforms get the same
// numbers.
#pragma once

#include <cstdint>

namespace decision_trace {

class RandomStream {
public:
    explicit RandomStream(std::uint64_t seed) : state_(seed) {}

    // SplitMix64 (Steele, Lea and Flood 2014).
    std::uint64_t next() {
        state_ += 0x9e3779b97f4a7c15u;
        std::uint64_t mixed = state_;
        mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9u;
        mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebu;
        return mixed ^ (mixed >> 31);
    }
    // Returns a number uniform in [0, bound); `bound` must be positive.
    std::int64_t below(std::int64_t bound) {
        return static_cast<std::int64_t>(next() % static_cast<std::uint64_t>(bound));
    }
    bool one_in(std::int64_t count) { return below(count) == 0; }
    bool percent(std::int64_t share) { return below(100) < share; }

private:
    std::uint64_t state_;
};

}  // namespace decision_trace
