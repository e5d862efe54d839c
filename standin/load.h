// Scripted clients: requests of the roster's classes at a rate, on connections that are held on to; retried
// as the operators' clients do. The arrivals are drawn by a seed and do not wait for answers.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "conversation/conversation.h"
#include "deadlines/deadlines.h"
#include "histogram/histogram.h"
#include "net/connection.h"
#include "standin/checker.h"
#include "standin/values.h"

namespace standin {

// Draws the next request: class by share, a new id, key and data where it writes. Pure.
class Drawing {
public:
    Drawing(std::uint64_t seed, int groups, std::int64_t codes = 100'000)
        : random_(seed), groups_(groups), codes_(codes) {}
    Question next();
    Random& random() { return random_; }

private:
    Random random_;
    int groups_;
    std::int64_t codes_;
};

struct LoadSettings {
    double rate = 200;  // a second
    std::int64_t length_us = 10'000'000;
    int groups = 2;
    std::uint64_t seed = 1;
    std::size_t most_connections = 256;
};

struct ClassCount {
    std::uint64_t asked = 0, served = 0, in_aim = 0, refused = 0, failed = 0, none = 0, retries = 0;
    sloestack::histogram::Histogram latency_us;
};

class Load {
public:
    Load(sloestack::net::Loop& loop, sloestack::Deadlines& deadlines, const sockaddr_in& to,
         const LoadSettings& settings, Checker& checker);
    ~Load();
    bool over() const { return drawn_over_ && open_ == 0; }
    const ClassCount& count(int klass) const { return counts_[klass]; }

private:
    class Client;
    struct Asked {
        Question question;
        std::int64_t first_at = 0;
        bool is_retry = false;
    };
    void arrive();
    void ask(Asked asked);
    void answered(const Asked& asked, const sloestack::conversation::Answered& answer);

    sloestack::net::Loop& loop_;
    sloestack::Deadlines& deadlines_;
    sockaddr_in to_;
    LoadSettings settings_;
    Checker& checker_;
    Drawing drawing_;
    std::int64_t start_, next_at_;
    bool drawn_over_ = false;
    std::size_t open_ = 0;
    std::deque<Asked> waiting_;
    std::vector<std::unique_ptr<Client>> clients_;
    std::vector<std::unique_ptr<sloestack::Deadline>> retries_;
    sloestack::Deadline arrivals_;
    sloestack::conversation::Memory memory_;
    ClassCount counts_[kClassCount];
};

}  // namespace standin
