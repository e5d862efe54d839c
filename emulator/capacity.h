// What a member that has just started can bear: a pure model of the operators' cold members.
#pragma once

#include <algorithm>
#include <deque>
#include <utility>

#include "emulator/event.h"

namespace emulator {

struct ColdSettings {
    double from = 0.29;         // share of its capacity that a member begins with, over 0
    Micros warm_after = 0;      // until it has all of it, rising evenly; 0: never cold
    double multiple = 3;        // x what it can do at that moment: more than that ...
    Micros window = 3'000'000;  // ... for so long pushes it over
};

class Capacity {
public:
    Capacity(const ColdSettings& settings, int cores) : settings_(settings), cores_(cores) {}
    void started(Time now) {
        since_ = now;
        sent_.clear();
        sum_ = 0;
    }
    bool cold(Time now) const {
        return since_ > 0 && settings_.warm_after > 0 && now - since_ < settings_.warm_after;
    }
    // Share of its full speed, `from` to 1.
    double share(Time now) const {
        if (!cold(now)) return 1;
        return settings_.from + (1 - settings_.from) * static_cast<double>(now - since_) /
                                    static_cast<double>(settings_.warm_after);
    }
    // Work in seconds of one warm core that has come; false where that pushes it over.
    bool bears(double work, Time now) {
        if (!cold(now)) return true;
        sent_.emplace_back(now, work);
        sum_ += work;
        for (; sent_.front().first <= now - settings_.window; sent_.pop_front()) sum_ -= sent_.front().second;
        return sum_ <= settings_.multiple * share(now) * cores_ * static_cast<double>(settings_.window) / 1e6;
    }

private:
    ColdSettings settings_;
    int cores_;
    Time since_ = 0;
    std::deque<std::pair<Time, double>> sent_;
    double sum_ = 0;
};

}  // namespace emulator
