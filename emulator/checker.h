// The rules, judged over what the stand-ins saw. Pure: events go in, in the order of their times, and broken
// rules come out. One checker judges any number of proxies.
#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "emulator/event.h"

namespace emulator {

struct Rules {
    // As the operators have them, every time limit 50 ms longer on sockets.
    Time drain_grace = 300'000;
    Time slack = 50'000;
    Time late = 500'000;  // an answer that comes so long after its client gave up is lost; 0: not judged
    int most_attempts = 10;
};

class Checker final : public EventSink {
public:
    explicit Checker(const Rules& rules) : rules_(rules) {}

    void saw(const Event& event) override;

    // Sentences, one a broken rule; none where all were kept. Only after the run: a request without an answer
    // breaks one, unless its proxy was killed or stood still meanwhile.
    std::vector<std::string> broken() const;
    std::uint64_t ran() const { return ran_; }
    std::uint64_t repeats() const { return repeats_; }
    // Requests that got no answer since their proxy was killed, stood still or was cut off from
    // its clients: no rule is broken by them.
    std::uint64_t excused() const;

private:
    struct Client {
        int proxy = -1, asked = 0, answers = 0, attempts = 0;
        Time first_at = 0, until = 0;
        Time commit = 0;       // a write's
        std::string session;   // whose read or write it is, empty: nobody's
        Time required = 0;     // of a session's read: the commit that it has to see
        bool late = false;     // an answer, or none, came too late
        bool dropped = false;  // it had been sent on when its connection was closed with no answer
    };
    struct Outage {
        Time from = 0, to = 0;   // 0: not over
        const char* until = "";  // the word that ends it
    };
    void breaks(const std::string& what);
    void ran(const Event& e);
    void arrived(const Event& e);
    void answered(const Event& e);
    void process(const Event& e);
    bool away(const Client& client) const;

    Rules rules_;
    std::unordered_map<std::string, Client> clients_;
    std::unordered_map<std::string, std::vector<std::uint64_t>> values_;  // by id, as members made them
    std::unordered_map<std::string, int> keys_;                           // how often each has run
    std::unordered_map<std::string, Time> sessions_;                      // their last answered commit
    std::map<std::pair<int, int>, Time> drains_;                          // by proxy and member
    std::map<int, std::vector<Outage>> outages_;                          // by proxy
    std::vector<std::string> broken_;
    std::uint64_t ran_ = 0, repeats_ = 0, untold_ = 0;
};

}  // namespace emulator
