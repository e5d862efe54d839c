// Faults and their times as text: "crash@10:m1.2/3" crashes endpoint 2 of replica group 1 ten seconds after
// the start, for 3 s. Several faults are separated by commas.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace emulator {

enum class Trouble {
    crash,    // connections are reset, new ones are refused
    stall,    // no statement completes
    silent,   // nothing is sent any more; connections stay open
    drain,    // discovery lists the endpoint as terminating; a primary hands over its role
    slow,     // the log is applied ten times more slowly
    spoil,    // the connection is closed in the middle of a response
    restart,  // the proxy is killed, and started again after the duration
    replace,  // the endpoint terminates for good; after the duration a new, cold one takes its place
    lost      // discovery cannot be reached
};

struct Fault {
    std::int64_t at_us = 0, for_us = 0;
    Trouble trouble = Trouble::stall;
    int bank = 0, member = 0;  // from 0; -1 if the trouble concerns no endpoint
};

// Parses a script and returns its faults in the order of their start. Throws std::invalid_argument naming the
// invalid part.
std::vector<Fault> parse_script(const std::string& text, int banks, int members);
// Returns `count` faults of endpoints, drawn with `seed`, that begin between 10 % and 80 % of `length_us`.
std::vector<Fault> draw_script(std::uint64_t seed, int count, std::int64_t length_us, int banks, int members);
// Returns the fault in the form that parse_script() reads.
std::string to_text(const Fault& fault);

}  // namespace emulator
