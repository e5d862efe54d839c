// Makes recordings: conversations of mixed classes as a capture would hold them, at the speed of the machine,
// with the damage that real captures have. The answers are those that the stand-in fleet gives.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "pcap/file.h"

namespace emulator {

// What is done to one connection each, or to the whole file.
enum class Damage {
    cut_head,           // the file begins in the middle of it
    cut_tail,           // it ends inside a request
    cut_length,         // inside the length word of a request
    cut_answer,         // inside an answer
    cut_answer_length,  // inside the length word of an answer
    cut_value,          // inside a large value
    hole,               // one packet of a request is missing
    hole_answer,        // one packet of an answer
    retransmit,         // a packet twice
    retransmit_other,   // a packet twice, the second time with other bytes
    overlap,            // a packet again, with the half of the one before it in front
    reorder,            // two packets of an answer change places
    backwards_1us,      // one packet's time
    backwards_2s,
    backwards_stream,  // all of one connection, by 2 s
    rst,               // reset before the answer
    lost_answer,       // a write whose answer is not in the file
    half_open,         // a handshake that nobody answers
    port_reuse,        // a connection on the ports of the one before it
    two_ids,           // two clients ask under one id at once
    wrap,              // sequence numbers that pass 2^32
    snap,              // a packet cut by the snap length
    vlans,             // each direction on a VLAN of its own: the whole file
    truncate           // the last record is not whole: the whole file
};
struct MakeSettings {
    std::int64_t length_us = 60'000'000;
    double rate = 200;  // requests a second
    std::uint64_t seed = 1;
    int groups = 2;
    std::size_t clients =
        0;  // connections that are open at once at least, as far as there are requests for them
    std::vector<Damage> damage;
    std::string dialect = "postgres";                // or "tds"
    std::int64_t begins_us = 1'767'225'600'000'000;  // Unix microseconds of the first packet
};
// "cut_tail,hole*3"; throws std::invalid_argument naming the word.
std::vector<Damage> parse_damage(const std::string& text);
std::string damage_names();

struct RecordingReport {
    std::uint64_t requests = 0, connections = 0;
    std::vector<Damage> unapplied_damage;  // too few connections to do it to
};
// Damage::truncate is the caller's: it takes the end off the file.
// Throws std::invalid_argument where there is no such dialect.
RecordingReport make(const MakeSettings& settings, sloestack::pcap::Sink& out);

}  // namespace emulator
