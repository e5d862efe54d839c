// The events that emulators and the fault harness record: the form in which a record is written, read and
// checked. All processes of a fault harness run on one machine, so times of different processes are
// comparable.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace emulator {

using Time = std::int64_t;  // Unix microseconds
using Micros = std::int64_t;

// The kind of an event; a record writes it under the enumerator's own name.
enum class What {
    asked,     // a client wrote request `id` to the proxy; `until`: the client's deadline; `word`: "again" if
               // its connection was closed without a response and the request is written to a new one
    answered,  // the outcome of that request, `word`: served, refused, failed, none (no response came) or
               // unsent; `since`: arrival of the first attempt; `last`: no retry follows; `value`: digest of
               // the response if served
    left,      // a client closed its connection without waiting for the response to `id`
    arrived,   // an endpoint received the last byte of an attempt; `since`: its first byte; `until`: the
               // client's deadline as the proxy states it
    ran,       // an endpoint executed a statement; `since`, `until`: first and last byte of the attempt;
               // `position`: position of the data
    repeated,  // an endpoint dropped a write as a duplicate; fields as for `ran`
    turned,    // an endpoint rejected an attempt; `word`: the SQLSTATE code
    linked,    // a connection to an endpoint was accepted; `word`: "refused" if the endpoint has too many
    probed,    // an endpoint received SELECT 1 or SHOW load
    called,    // a poll of discovery ended; `word`: whole, changes, silent or the HTTP status; `since`: its
               // arrival
    drain,     // discovery notified the proxy that the endpoint drains or has terminated; `word`:
               // kOverdueNotification if it did not, but the proxy counts as notified by now
    back,      // discovery notified the proxy that the endpoint is in service; `word` as for `drain`
    fell,      // a cold endpoint crashed under more work than it can bear
    process,   // state of a proxy; `word`: started, ready, killed, terminating, ended, crashed, stopped,
               // upgraded (a second process is started), handed over (the first one has ended) or
               // continued; or of the path between it and its clients: "cut off" or "reached"
    fault,     // a fault begins or ends; `word`: which one
    busy,      // a process of the fault harness; `value`: the longest delay of an event-loop iteration within
               // a second, in us
};

constexpr const char* kOverdueNotification = "overdue";

struct Event {
    What what = What::fault;
    Time at = 0;
    int proxy = -1, member = -1, request_class = -1;
    std::string id, key, word;
    // asked: `key` is the session, empty if there is none. ran: `key` is the idempotency key of a write, and
    // `position` of a write is its commit time.
    Time since = 0, until = 0, position = 0;
    std::uint64_t value = 0;
    bool last = false;
    bool deposed =
        false;  // ran: the endpoint was the primary until a few seconds ago; its stale reads break no rule
};

// Returns the event as one line of a record, without the line break.
std::string to_line(const Event& event);
// Parses one line of a record. Throws std::invalid_argument if it is not an event.
Event from_line(const std::string& line);

// Receives the events of an emulator in the order of their times.
class EventSink {
public:
    virtual ~EventSink() = default;
    virtual void saw(const Event& event) = 0;
};

}  // namespace emulator
