// Bounds how often a kind of log line is written.
#pragma once

#include <cstdint>

namespace sloestack::log {

class RateLimit {
public:
    // Allows `max_lines` lines in each interval of `interval_us` microseconds.
    RateLimit(int max_lines, std::int64_t interval_us) : max_lines_(max_lines), interval_us_(interval_us) {}
    // Returns whether a line may be written at `now_us`, and counts it.
    bool allows(std::int64_t now_us) {
        if (now_us - interval_started_at_us_ >= interval_us_) {
            interval_started_at_us_ = now_us;
            line_count_ = 0;
        }
        return line_count_++ < max_lines_;
    }

private:
    int max_lines_;
    std::int64_t interval_us_;
    std::int64_t interval_started_at_us_ = 0;
    int line_count_ = 0;
};

}  // namespace sloestack::log
