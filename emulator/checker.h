// Checks recorded events against the rules that every proxy must keep. Does no I/O; takes the events of any
// number of proxies in the order of their times.
#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "emulator/event.h"

namespace emulator {

struct Rules {
    // The operators' limits; `slack` and the 50 ms in `drain_grace` allow for delays of real sockets.
    Time drain_grace = 300'000;
    Time slack = 50'000;
    Time late = 500'000;  // a response that arrives this long after its client's deadline counts as too
                          // late; 0: not checked
    Time leave_grace = 100'000;        // an attempt may begin this long after its client has left
    Time overdue_excuse = 6'000'000;   // a process that started or stood still this short a time before an
                                       // overdue notification is not held to it
    Time handover_excuse = 4'500'000;  // a second process is ready 2.5 s after its start at the latest, and
                                       // is held to drains 2 s later
    Time deadline_excess = 150'000;    // by which the deadline stated to an endpoint may exceed the client's
    int most_attempts = 10;
};

class Checker final : public EventSink {
public:
    explicit Checker(const Rules& rules) : rules_(rules) {}

    void saw(const Event& event) override;

    // Returns one sentence per violation, or an empty vector. Call it after the last event: a request without
    // a response counts as a violation unless its proxy was killed, stopped or cut off meanwhile.
    std::vector<std::string> broken() const;
    std::uint64_t ran() const { return ran_; }
    std::uint64_t repeats() const { return repeats_; }
    // Returns the number of requests that got no response, or a late one, while their proxy was killed,
    // stopped or cut off from its clients. They break no rule.
    std::uint64_t excused() const;

private:
    struct Client {
        int proxy = -1, asked = 0, answers = 0, attempts = 0;
        Time first_at = 0, until = 0;
        Time commit = 0;       // commit time of a write
        std::string session;   // empty if the request belongs to no session
        Time required = 0;     // the commit that a read of a session must see
        Time left_at = 0;      // when it closed its connection without waiting; 0: it waits
        bool late = false;     // the outcome was recorded too late
        bool dropped = false;  // its connection was closed without a response after it had been forwarded
    };
    struct Outage {
        Time from = 0, to = 0;      // `to` is 0 while the outage lasts
        const char* end_word = "";  // the word of the process event that ends it
    };
    void add_violation(const std::string& sentence);
    void ran(const Event& e);
    void arrived(const Event& e);
    void check_client_waits(const Event& e, const Client& client);
    void answered(const Event& e);
    void process(const Event& e);
    void on_drain(const Event& e);
    void on_upgrade(const Event& e);
    bool is_excused(const Client& client) const;

    Rules rules_;
    std::unordered_map<std::string, Client> clients_;
    std::unordered_map<std::string, std::vector<std::uint64_t>>
        values_;                                              // digests of the results, by request id
    std::unordered_map<std::string, int> executions_by_key_;  // of writes
    std::unordered_map<std::string, Time> sessions_;  // last commit whose response the session received
    std::map<std::pair<int, int>, Time> drains_;      // time of the notification, by proxy and endpoint
    std::map<int, std::vector<Outage>> outages_;      // by proxy
    std::map<int, Time>
        notified_from_;               // when the second process of a hot restart is held to drains, by proxy
    std::map<int, Time> started_at_;  // of the last start, by proxy
    std::vector<std::string> violations_;
    std::uint64_t ran_ = 0, repeats_ = 0, omitted_ = 0;
};

}  // namespace emulator
