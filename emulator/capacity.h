// Model of a cold endpoint: its speed after a start, and the work that makes it crash. Does no I/O.
#pragma once

#include <algorithm>
#include <deque>
#include <utility>

#include "emulator/event.h"

namespace emulator {

struct ColdSettings {
    double from = 0.29;         // share of its full speed at the start, above 0
    Micros warm_after = 0;      // time to full speed, rising linearly; 0: never cold
    double multiple = 3;        // the endpoint crashes if it receives more than this multiple of the work
    Micros window = 3'000'000;  // that it can do at its present speed, over this window
};

class Capacity {
public:
    Capacity(const ColdSettings& settings, int cores) : settings_(settings), cores_(cores) {}
    void start(Time now) {
        started_at_ = now;
        received_.clear();
        received_sum_ = 0;
    }
    bool is_cold(Time now) const {
        return started_at_ > 0 && settings_.warm_after > 0 && now - started_at_ < settings_.warm_after;
    }
    // Returns the share of the full speed, `from` to 1.
    double share(Time now) const {
        if (!is_cold(now)) return 1;
        return settings_.from + (1 - settings_.from) * static_cast<double>(now - started_at_) /
                                    static_cast<double>(settings_.warm_after);
    }
    // Records `work`, in seconds of one warm core. Returns false if the endpoint crashes under it.
    bool accept(double work, Time now) {
        if (!is_cold(now)) return true;
        received_.emplace_back(now, work);
        received_sum_ += work;
        for (; received_.front().first <= now - settings_.window; received_.pop_front())
            received_sum_ -= received_.front().second;
        return received_sum_ <=
               settings_.multiple * share(now) * cores_ * static_cast<double>(settings_.window) / 1e6;
    }

private:
    ColdSettings settings_;
    int cores_;
    Time started_at_ = 0;
    std::deque<std::pair<Time, double>> received_;
    double received_sum_ = 0;
};

}  // namespace emulator
