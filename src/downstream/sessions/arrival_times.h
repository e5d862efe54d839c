// Records when each part of a connection's input arrived. A pipelined query is read only after the responses
// to the queries before it, but its client counts its deadline from when it was sent. Does no input or
// output.
#pragma once

#include <cstdint>
#include <deque>

#include "deadlines/clock.h"

namespace sloestack::downstream {

class ArrivalTimes {
public:
    // Records that all input up to the offset `end` (exclusive, in bytes) has arrived at `now`. Neither may
    // decrease from one call to the next.
    void record(std::uint64_t end, Time now);
    // Returns when the last byte before the offset `end` arrived, or `fallback` if that was not recorded.
    // Discards the records before `end`, so `end` may not decrease from one call to the next.
    Time arrival_of(std::uint64_t end, Time fallback);

    // Limit of separately recorded reads: the 8 KiB that may be buffered after an open request hold about 64
    // statements, each received in up to four parts. Beyond the limit the latest reads are merged and take
    // the time of the last one, so that a client that sends byte by byte gets a later deadline, never an
    // earlier one.
    static constexpr std::size_t kMaxReads = 256;

private:
    struct Read {
        std::uint64_t end;
        Time at;
    };
    std::deque<Read> reads_;
};

}  // namespace sloestack::downstream
