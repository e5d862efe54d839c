// Timers of the single-threaded event loop: every deadline of the program in one sorted structure, swept once
// an iteration. Nothing else sets a timer.
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

// A deadline owned by the object that waits for it: its callback never runs after this is cleared, set anew
// or destroyed. Unset once the callback runs.
class Deadline {
public:
    Deadline() = default;
    ~Deadline() { clear(); }
    Deadline(const Deadline&) = delete;
    Deadline& operator=(const Deadline&) = delete;

    // Runs `callback` in the first sweep at or after `at`.
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
    // The clock is not owned and outlives this.
    explicit Deadlines(const Clock& clock) : clock_(clock) {}
    Deadlines(const Deadlines&) = delete;
    Deadlines& operator=(const Deadlines&) = delete;
    ~Deadlines();

    Time now() const { return clock_.now(); }
    // A deadline without an owner: it can't be cleared, so the callback must not outlive what it refers to.
    void add(Time at, std::function<void()> callback);
    // When the earliest is due; nothing where none is set.
    std::optional<Time> next() const;
    // Runs what is due, earliest first, equal ones in the order they were set. What a callback sets for a
    // time already past waits for the next sweep.
    void run_due();
    std::size_t size() const { return entries_.size(); }

private:
    friend class Deadline;
    struct Entry {
        std::function<void()> callback;
        Deadline* owner;
    };
    const Clock& clock_;
    std::map<std::pair<Time, std::uint64_t>, Entry> entries_;  // by time, then by order of setting
    std::uint64_t next_sequence_ = 0;
};

}  // namespace sloestack
