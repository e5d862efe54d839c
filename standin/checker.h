// What the stand-ins saw, and the rules it must keep. Pure: records go in, broken rules come out.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace standin {

using Time = std::int64_t;

struct Executed {  // a statement that has run at a member, or was answered as a repeat
    std::string id, key;
    int member = 0, klass = 0;
    Time first_byte = 0, last_byte = 0, at = 0;
    Time position = 0;        // the member's when it ran
    bool ran = true;          // false: dropped as a repeat
    bool deposed = false;     // the member was the primary within the last seconds, which excuses a read
    std::uint64_t value = 0;  // digest
};

struct Rules {
    // As the operators have them, every time limit 50 ms longer on sockets.
    Time drain_grace = 300'000;
    Time slack = 50'000;
};

class Checker {
public:
    explicit Checker(const Rules& rules) : rules_(rules) {}

    // Members
    void executed(const Executed& e);
    // The first byte of any statement that has come, whether it runs or not.
    void arrived(int member, const std::string& id, Time first_byte);
    // The proxy has been told that the member drains or is gone; or that it is in service.
    void told_drain(int member, Time at);
    void told_back(int member);
    // Clients
    void asked(const std::string& id);  // once for each client that asks under it
    void answered(const std::string& id, bool served, std::uint64_t value);

    // Sentences, one a broken rule; none where all were kept. Only after the run: a request without an answer
    // breaks one.
    std::vector<std::string> broken() const;
    std::uint64_t ran() const { return ran_; }
    std::uint64_t repeats() const { return repeats_; }

private:
    void breaks(const std::string& what);

    Rules rules_;
    struct Client {
        int asked = 0, answers = 0;
    };
    std::unordered_map<std::string, Client> clients_;
    std::unordered_map<std::string, std::vector<std::uint64_t>> values_;  // by id, as members made them
    std::unordered_map<std::string, int> keys_;                           // how often each has run
    std::map<int, Time> drains_;
    std::vector<std::string> broken_;
    std::uint64_t ran_ = 0, repeats_ = 0, untold_ = 0;
};

}  // namespace standin
