// Timers of the single-threaded event loop: all deadlines of the program in one sorted map. Those that are
// due run once per event-loop iteration. No other code sets timers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "deadlines/clock.h"

namespace sloestack {

class Deadlines;

// A deadline owned by the object that waits for it. Its callback does not run after the Deadline is cleared,
// set again or destroyed. The Deadline is unset when its callback starts.
class Deadline {
public:
    Deadline() = default;
    ~Deadline() { clear(); }
    Deadline(const Deadline&) = delete;
    Deadline& operator=(const Deadline&) = delete;

    // Runs `callback` in the first Deadlines::run_due() at or
    // after `at`. Replaces a callback that is set already.
    void set(Deadlines& deadlines, Time at, std::function<void()> callback);
    void clear();
    bool is_set() const { return deadlines_ != nullptr; }

private:
    friend class Deadlines;
    Deadlines* deadlines_ = nullptr;
    std::pair<Time, std::uint64_t> key_{};
};

class Deadlines {
public:
    // The clock is not owned and must outlive this object.
    explicit Deadlines(const Clock& clock) : clock_(clock) {}
    Deadlines(const Deadlines&) = delete;
    Deadlines& operator=(const Deadlines&) = delete;
    ~Deadlines();

    Time now() const { return clock_.now(); }
    // Adds a deadline without an owner. It cannot be cleared,
    // so what the callback refers to must outlive this object.
    void add(Time at, std::function<void()> callback);
    // Returns when the earliest deadline is due, or std::nullopt if none is set.
    std::optional<Time> next() const;
    // Runs the callbacks that are due, in order of time and, for equal times, in the order they were set. A
    // deadline that a callback sets for a time already past runs in the next call.
    void run_due();
    std::size_t size() const { return entries_.size(); }

private:
    friend class Deadline;
    struct Entry {
        std::function<void()> callback;
        Deadline* owner;
    };
    const Clock& clock_;
    std::map<std::pair<Time, std::uint64_t>, Entry> entries_;  // by time, then by sequence number
    std::uint64_t next_sequence_ = 0;
};

}  // namespace sloestack
