// What goes wrong and when, as text: "crash@10:m1.2/3" is member 2 of bank 1 crashing 10 s after the start,
// for 3 s. Several are separated by commas.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace emulator {

enum class Trouble {
    crash,    // connections are reset, new ones refused
    stall,    // nothing is worked on
    silent,   // nothing is said any more: connections stay open
    drain,    // discovery lists it as terminating; a primary hands over
    slow,     // the log is applied ten times more slowly
    spoil,    // answers are cut off in their middle
    restart,  // the proxy itself: killed, and started again after the time
    replace,  // gone for good; after the time a new member stands in its place, cold
    lost      // discovery answers nothing
};

struct Fault {
    std::int64_t at_us = 0, for_us = 0;
    Trouble trouble = Trouble::stall;
    int bank = 0, member = 0;  // from 0; -1 where the trouble is no member's
};

// Throws std::invalid_argument, a sentence naming the part that is wrong.
std::vector<Fault> parse_script(const std::string& text, int banks, int members);
// `count` troubles of members drawn by the seed, within the first `length_us`.
std::vector<Fault> draw_script(std::uint64_t seed, int count, std::int64_t length_us, int banks, int members);
std::string to_text(const Fault& fault);

}  // namespace emulator
