// What must always hold: asserted in debug builds, counted in release builds. A broken invariant is a fault
// of the program, never of a peer; whoever checks one must also carry on safely when it does not hold.
#pragma once

#include <cassert>
#include <cstdint>

namespace sloestack::invariant {

// One counter a place that checks; all of them are linked so that they can be reported.
class Counter {
public:
    explicit Counter(const char* name);
    Counter(const Counter&) = delete;
    Counter& operator=(const Counter&) = delete;

    // Counts and returns false where the condition does not hold.
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
    std::uint64_t broken_ = 0, reported_ = 0;
    Counter* next_;
    static Counter* first_;
};

}  // namespace sloestack::invariant

// True where the condition holds. The name says what must hold, in a few words.
#define SLOESTACK_INVARIANT(condition, name)                                \
    ([](bool holds_) {                                                      \
        static ::sloestack::invariant::Counter counter_(name);              \
        assert((holds_ || !name) && "an invariant of sloestack is broken"); \
        return counter_.holds(holds_);                                      \
    }(static_cast<bool>(condition)))
