// One bank of stand-in members as a pure model: who is primary, how far each has applied the log, what it
// drops as a repeat. No I/O; time comes in, never going back.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "emulator/event.h"

namespace emulator {

struct BankSettings {
    int members = 3;                      // the first begins as the primary
    Micros lag = 8'000;                   // of a replica that keeps up: the log's way to it
    Micros repeat_window = 5'000'000;     // how long a keyed repeat is dropped
    Micros gives_up_after = 1'500'000;    // a primary that says nothing
    Micros takes_over_after = 2'200'000;  // and then until a replica is the primary
    Micros hands_over_after = 500'000;    // a primary that drains
};

class Bank {
public:
    Bank(const BankSettings& settings, Time now);

    // The index of the primary, -1 while the bank takes no writes.
    int primary(Time now);
    // Up to which time the member has applied all commits. Never goes back for one member.
    Time position(int member, Time now);
    // Its replica applies the log so many times more slowly until then.
    void slow_apply(int member, double times, Time until, Time now);
    void down(int member, Time now);  // crashed or cut off
    void up(int member, Time now);
    void drain(int member, Time now);
    void back(int member);                               // in service again
    void replace(int member, Time copied_at, Time now);  // by a new one with a copy of that time
    bool is_up(int member) const { return members_.at(static_cast<std::size_t>(member)).up; }

    struct Write {
        bool ran = false;  // false: a repeat; its value is that of the first
        std::string value;
        Time commit = 0;
    };
    // A keyed write at the primary.
    Write write(const std::string& key, const std::string& value, Time now);

private:
    struct Member {
        bool up = true, draining = false;
        Time applied = 0, seen = 0;  // applied when last looked at
        double slow = 1;
        Time slow_until = 0;
    };
    void elect(Time now);

    BankSettings settings_;
    std::vector<Member> members_;
    int primary_ = 0;
    Time lost_at_ = 0;  // when the primary went; 0 while there is one
    Micros wait_ = 0;
    struct Kept {
        std::string value;
        Time at = 0;
    };
    std::unordered_map<std::string, Kept> keys_;
    std::deque<std::pair<Time, std::string>> keys_by_age_;
};

}  // namespace emulator
