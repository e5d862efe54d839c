// When the commands of a connection have come: a command that is read once those before it are answered has
// come earlier, and its client counts its time from then. Pure.
#pragma once

#include <cstdint>
#include <deque>

#include "deadlines/clock.h"

namespace sloestack::downstream {

class ArrivalTimes {
public:
    // All of the stream before its byte number `end` is here at `now`. Both only grow from call to call.
    void came(std::uint64_t end, Time now);
    // When the last byte before number `end` came; what stands before it is not asked for again, so `end`
    // only grows. `otherwise` where nobody has told of so many.
    Time last_byte(std::uint64_t end, Time otherwise);

    // Reads that are told apart: 8 KiB, which may stand behind an open request, are some 64 statements, each
    // in up to four pieces. Beyond it the latest count as one, as having come with its last byte: a client
    // that sends byte by byte is given more time, never less.
    static constexpr std::size_t kMost = 256;

private:
    struct Read {
        std::uint64_t end;
        Time at;
    };
    std::deque<Read> reads_;
};

}  // namespace sloestack::downstream
