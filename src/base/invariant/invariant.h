// Invariants: asserted in debug builds; in release builds counted and logged. A broken invariant is a fault
// of the program, never of a peer; the code that checks one must also carry on safely when it does not hold.
#pragma once

#include <cassert>
#include <cstdint>

namespace sloestack::invariant {

// One counter for each place that checks an invariant. Counters live as long as the program and are linked so
// that they can be reported.
class Counter {
public:
    // `name` is not copied.
    explicit Counter(const char* name);
    Counter(const Counter&) = delete;
    Counter& operator=(const Counter&) = delete;

    // Returns `condition`, and counts it where it is false.
    bool holds(bool condition) {
        if (!condition) ++broken_;
        return condition;
    }
    std::uint64_t broken() const { return broken_; }
    const char* name() const { return name_; }

    // Logs every counter that has risen since the last call.
    static void report();

private:
    const char* name_;
    std::uint64_t broken_ = 0;
    std::uint64_t reported_ = 0;
    Counter* next_;
    static Counter* first_;
};

}  // namespace sloestack::invariant

// Evaluates to whether the condition holds. `name`, a string literal, says what must hold, in a few words.
#define SLOESTACK_INVARIANT(condition, name)                                \
    ([](bool holds_) {                                                      \
        static ::sloestack::invariant::Counter counter_(name);              \
        assert((holds_ || !name) && "an invariant of sloestack is broken"); \
        return counter_.holds(holds_);                                      \
    }(static_cast<bool>(condition)))
