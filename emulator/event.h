// What the stand-ins and the rig see, one event each: the form in which records are written, read and judged.
// All processes of a rig run on one machine, so that times of different processes can be compared.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace emulator {

using Time = std::int64_t;  // Unix microseconds
using Micros = std::int64_t;

enum class What {
    asked,  // a client has written request `id` to the proxy; `until`: when it gives up; `word`: again where
            // its connection had been closed with no answer, and it is written once more on a new one
    answered,  // and got its answer, `word`: served, refused, failed, none (it never came) or unsent;
               // `since`: its first try's arrival, `last`: no try follows; `value`: the digest of what was
               // served
    arrived,   // an attempt's last byte has come to a member; `since`: its first byte
    ran,       // a statement has run there: `since`, `until` its first and last byte, `position` of the data
    repeated,  // or was dropped as a repeat
    turned,    // or turned away; `word`: the code
    linked,    // a connection to a member; `word`: "refused" where it holds too many
    probed,    // SELECT 1 or SHOW load
    called,    // a call to discovery has ended; `word`: whole, changes, none or the status; `since`: its
               // arrival
    drain,     // discovery has told the proxy that the member drains or is gone
    back,      // or is in service
    fell,      // a cold member was pushed over
    process,   // of a proxy; `word`: started, ready, killed, terminating, ended, crashed, stopped, continued;
               // or of the way to it: "cut off" and "reached" by its clients
    fault,     // begins or ends; `word` says which
    busy,  // a process of the rig itself: `value` is by how many us a turn came too late at most in a second
};

struct Event {
    What what = What::fault;
    Time at = 0;
    int proxy = -1, member = -1, request_class = -1;
    std::string id, key, word;
    // asked: `key` is the session, where there is one. ran: `key` is the write's own, `position` of a write
    // is its commit.
    Time since = 0, until = 0, position = 0;
    std::uint64_t value = 0;
    bool last = false;
    bool deposed = false;  // ran: the member was the primary within the last seconds, which excuses a read
};

// One line of a record, and back; throws std::invalid_argument on what is no event.
std::string to_line(const Event& event);
Event from_line(const std::string& line);

class EventSink {
public:
    virtual ~EventSink() = default;
    virtual void saw(const Event& event) = 0;
};

}  // namespace emulator
