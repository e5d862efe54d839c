// Invariants: asserted in debug builds, counted and logged in release
// builds. A broken invariant is a fault of the program, never of a peer. The
// code that checks an invariant must continue safely if it does not hold.
#pragma once

#include <cassert>
#include <cstdint>

namespace sloestack::invariant {

// Counts how often one check of an invariant failed. Counters live as long as the program and form a linked
// list, which report() walks.
class Counter {
public:
    // `name` is not copied and must outlive the counter.
    explicit Counter(const char* name);
    Counter(const Counter&) = delete;
    Counter& operator=(const Counter&) = delete;

    // Returns `condition`, and increments the counter if it is false.
    bool holds(bool condition) {
        if (!condition) ++broken_;
        return condition;
    }
    std::uint64_t broken() const { return broken_; }
    const char* name() const { return name_; }

    // Logs every counter that has increased since the last call.
    static void report();

private:
    const char* name_;
    std::uint64_t broken_ = 0;
    std::uint64_t reported_ = 0;
    Counter* next_;
    static Counter* first_;
};

}  // namespace sloestack::invariant

// Evaluates to whether the condition holds. `name` is a
// string literal that states the invariant in a few words.
#define SLOESTACK_INVARIANT(condition, name)                                \
    ([](bool holds_) {                                                      \
        static ::sloestack::invariant::Counter counter_(name);              \
        assert((holds_ || !name) && "an invariant of sloestack is broken"); \
        return counter_.holds(holds_);                                      \
    }(static_cast<bool>(condition)))
