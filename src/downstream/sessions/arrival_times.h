// Remembers when each part of a connection's input arrived. A pipelined command is read only once those
// before it are answered, while its client counts its time from when it was sent. Pure.
#pragma once

#include <cstdint>
#include <deque>

#include "deadlines/clock.h"

namespace sloestack::downstream {

class ArrivalTimes {
public:
    // All of the input before byte number `end` has arrived at `now`. Both only grow from call to call.
    void record(std::uint64_t end, Time now);
    // When the last byte before number `end` arrived; `fallback` where that was never recorded. What stands
    // before it is forgotten, so `end` only grows from call to call.
    Time arrival_of(std::uint64_t end, Time fallback);

    // Reads that are told apart: 8 KiB, which may stand behind an open request, are some 64 statements, each
    // in up to four pieces. Beyond it the latest count as one, dated by its last byte: a client that sends
    // byte by byte is given more time, never less.
    static constexpr std::size_t kMaxReads = 256;

private:
    struct Read {
        std::uint64_t end;
        Time at;
    };
    std::deque<Read> reads_;
};

}  // namespace sloestack::downstream
