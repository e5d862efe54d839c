// Makes recordings: conversations of mixed request classes as a capture contains them, with
// the damage that real captures have. The responses are those of the emulated fleet.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "pcap/file.h"

namespace emulator {

// A kind of damage, applied to one connection or to the whole file.
enum class Damage {
    cut_head,           // the file begins in the middle of the connection
    cut_tail,           // the connection ends inside a request
    cut_length,         // ends inside the length field of a request
    cut_answer,         // ends inside a response
    cut_answer_length,  // ends inside the length field of a response
    cut_value,          // ends inside a large value
    hole,               // one packet of a request is missing
    hole_answer,        // one packet of a response is missing
    retransmit,         // a packet is captured twice
    retransmit_other,   // a packet is captured twice, the second time with other bytes
    overlap,            // the second half of a packet is captured again
    reorder,            // two packets of a response are swapped
    backwards_1us,      // the time of one packet goes back by 1 us
    backwards_2s,       // or by 2 s
    backwards_stream,   // all times of one connection are 2 s early
    rst,                // the connection is reset before the response
    lost_answer,        // the response to a write is missing
    half_open,          // a SYN without a reply
    port_reuse,         // a connection reuses the ports of a closed one
    two_ids,            // two clients send requests with the same id at once
    wrap,               // sequence numbers wrap at 2^32
    snap,               // a packet is truncated by the snap length
    vlans,              // whole file: each direction on its own VLAN
    truncate            // whole file: the last record is incomplete
};
struct MakeSettings {
    std::int64_t length_us = 60'000'000;
    double rate = 200;  // requests per second
    std::uint64_t seed = 1;
    int groups = 2;
    std::size_t clients = 0;  // minimum of open connections, if there are enough requests for them
    std::vector<Damage> damage;
    std::string dialect = "postgres";                // or "tds"
    std::int64_t begins_us = 1'767'225'600'000'000;  // Unix microseconds of the first packet
};
// Parses a list such as "cut_tail,hole*3". Throws std::invalid_argument naming the invalid word.
std::vector<Damage> parse_damage(const std::string& text);
// Returns the names of all kinds of damage, separated by ", ".
std::string damage_names();

struct RecordingReport {
    std::uint64_t requests = 0, connections = 0;
    std::vector<Damage> unapplied_damage;  // damage for which there were too few connections
};
// Writes a recording to `out`. Damage::truncate is left to the caller, which truncates the file. Throws
// std::invalid_argument if the dialect is unknown.
RecordingReport make(const MakeSettings& settings, sloestack::pcap::Sink& out);

}  // namespace emulator
