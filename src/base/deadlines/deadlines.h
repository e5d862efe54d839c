// The one sorted structure that holds every deadline of the program. It is swept once a turn; nothing else
// sets a timer. A deadline belongs to the object that waits for it and goes with it.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "deadlines/clock.h"

namespace sloestack {

class Deadlines;

// Owns one entry; taken back when this is destroyed or set anew.
class Deadline {
public:
    Deadline() = default;
    ~Deadline() { clear(); }
    Deadline(const Deadline&) = delete;
    Deadline& operator=(const Deadline&) = delete;

    void set(Deadlines& in, Time at, std::function<void()> what);
    void clear();
    bool is_set() const { return in_ != nullptr; }

private:
    friend class Deadlines;
    Deadlines* in_ = nullptr;
    std::pair<Time, std::uint64_t> key_{};
};

class Deadlines {
public:
    explicit Deadlines(const Clock& clock) : clock_(clock) {}
    Deadlines(const Deadlines&) = delete;
    Deadlines& operator=(const Deadlines&) = delete;
    ~Deadlines();

    Time now() const { return clock_.now(); }
    // An entry nobody owns: it runs, come what may.
    void add(Time at, std::function<void()> what);
    std::optional<Time> next() const;
    // Runs what is due, earliest first. What a deadline adds for a time already past waits for the next
    // sweep.
    void sweep();
    std::size_t size() const { return entries_.size(); }

private:
    friend class Deadline;
    struct Entry {
        std::function<void()> what;
        Deadline* owner;
    };
    const Clock& clock_;
    std::map<std::pair<Time, std::uint64_t>, Entry> entries_;
    std::uint64_t added_ = 0;
};

}  // namespace sloestack
