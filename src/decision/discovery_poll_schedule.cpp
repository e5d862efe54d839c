#include "discovery_poll_schedule.h"

#include <algorithm>

#include "conversions.h"
#include "split_mix.h"

namespace sloestack::decision {
namespace {

// A duration that grows with the routers which share discovery, between two bounds.
struct ScaledDuration {
    Micros per_router_us;
    Micros min_us;
    Micros max_us;
    constexpr Micros of(int router_count) const {
        const Micros scaled_us = router_count * per_router_us;
        if (scaled_us < min_us) return min_us;
        return scaled_us > max_us ? max_us : scaled_us;
    }
};
constexpr ScaledDuration kFirstPollWindow{8'000, 700'000,
                                          2'400'000};  // 125 polls a second of routers that start
constexpr ScaledDuration kHold{12'000, 2'000'000,
                               3'400'000};  // 83 to 88 long polls a second from 167 to 300 routers
constexpr ScaledDuration kShortTimeout{6'000, 1'200'000,
                                       1'800'000};                // after a silence, which has taken its time
constexpr ScaledDuration kFirstBackoff{2'000, 300'000, 600'000};  // after a poll that nobody answered
constexpr Micros kFirstBackoffAfterRejectionUs = 1'000'000;       // doubles with each failure
constexpr Micros kMaxHoldAfterRejectionUs = 1'800'000;
constexpr int kMaxDoublings = 4;       // beyond it the poll interval binds
constexpr int kShortPolls = 2;         // as many fit after a silence
constexpr int kHoldRecoverySteps = 8;  // answered long polls that undo one extension of the hold
constexpr Micros kMillisecondUs = 1'000;

// Up to so many routers, one more failure after a silence is within the bound as well.
constexpr int kFewRouters = 166;
// From 300 on every scaled duration is at its maximum; any larger number serves.
constexpr int kManyRouters = 350;
constexpr Micros kBoundUs = PollBackoff::kNotificationBoundUs;

constexpr Micros after_silence_us(int router_count) {
    return kHold.of(router_count) + PollTimeouts::kHoldSlackUs + kShortTimeout.of(router_count);
}
static_assert(after_silence_us(kManyRouters) < kBoundUs, "notified in time after a silence");
static_assert(PollBackoff::kMaxPollIntervalUs + PollBackoff::kPollTimeoutUs < kBoundUs,
              "notified in time after a failure");
static_assert(kFirstPollWindow.of(kManyRouters) + PollBackoff::kPollTimeoutUs < kBoundUs,
              "notified in time from the start");
static_assert(after_silence_us(kFewRouters) + kFirstBackoff.of(kFewRouters) + kShortTimeout.of(kFewRouters) <
                  kBoundUs,
              "notified in time after a silence and a failure");
static_assert(kMaxHoldAfterRejectionUs + PollBackoff::kPollTimeoutUs + kShortTimeout.of(kManyRouters) <
                  kBoundUs,
              "notified in time after a rejection and a silence");
static_assert(kHold.of(kFewRouters) + PollTimeouts::kHoldSlackUs + kFirstBackoffAfterRejectionUs +
                      PollBackoff::kPollTimeoutUs <
                  kBoundUs,
              "notified in time after a silence and a rejection");

// Whole milliseconds, at least one and at most `max_us`.
Micros drawn_hold_us(std::uint64_t seed, Micros max_us) {
    const auto milliseconds = static_cast<std::uint64_t>(std::max<Micros>(1, max_us / kMillisecondUs));
    return static_cast<Micros>(1 + split_mix(seed + kSplitMixIncrement) % milliseconds) * kMillisecondUs;
}

Micros drawn_delay_us(double draw, Micros max_us) { return as_micros(draw * as_double(max_us)) + 1; }

}  // namespace

PollBackoff::PollBackoff(const Settings& settings)
    : is_local_agent_(settings.discovery_agent_is_local),
      first_poll_window_us_(is_local_agent_ ? 0 : kFirstPollWindow.of(settings.router_count)),
      first_backoff_us_(kFirstBackoff.of(settings.router_count)) {}

Micros PollBackoff::first_poll_delay(double draw) const {
    return drawn_delay_us(draw, first_poll_window_us_);
}

Micros PollBackoff::delay_after_failure(const FailedPoll& poll, double draw) {
    Micros max_us = kLocalAgentMaxBackoffUs;
    if (!is_local_agent_) {
        // A poll that took longer than the timeout was held, and would have brought a change at once.
        const Micros taken_us = std::min(kPollTimeoutUs, poll.duration_us.value_or(kPollTimeoutUs));
        const Micros first_us = poll.rejected ? kFirstBackoffAfterRejectionUs : first_backoff_us_;
        max_us = first_us << std::min(failures_, kMaxDoublings);
        max_us = std::max<Micros>(0, std::min(max_us, kMaxPollIntervalUs - taken_us));
    }
    ++failures_;
    return drawn_delay_us(draw, max_us);
}

PollTimeouts::PollTimeouts(const Settings& settings, std::uint64_t seed) {
    const int router_count = settings.discovery_agent_is_local ? 1 : settings.router_count;
    usual_hold_us_ = kHold.of(router_count);
    hold_us_ = drawn_hold_us(seed, usual_hold_us_);
    short_timeout_us_ = kShortTimeout.of(router_count);
    timeout_us_ = settings.discovery_agent_is_local ? short_timeout_us_ : PollBackoff::kPollTimeoutUs;
}

PollTimeouts::NextPoll PollTimeouts::next() const {
    switch (last_result_) {
        case LastResult::list:
            return {hold_us_, hold_us_ + kHoldSlackUs};
        case LastResult::rejection: {
            // Held at once, instead of one poll that is not held and another that is. It may wait in
            // discovery's queue before it is held.
            const bool is_extended = hold_us_ > usual_hold_us_;
            const Micros hold_us = is_extended ? hold_us_ : std::min(hold_us_, kMaxHoldAfterRejectionUs);
            return {hold_us, hold_us + PollBackoff::kPollTimeoutUs};
        }
        case LastResult::silence:
            break;
    }
    return {0, short_polls_left_ > 0 ? short_timeout_us_ : timeout_us_};
}

void PollTimeouts::on_list(bool was_held) {
    last_result_ = LastResult::list;
    short_polls_left_ = 0;
    if (!was_held) return;
    held_rejections_ = 0;
    const Micros step_us = usual_hold_us_ / kHoldRecoverySteps / kMillisecondUs * kMillisecondUs;
    hold_us_ = std::max(usual_hold_us_, hold_us_ - step_us);
}

// One long poll is rejected wherever discovery goes down or is overloaded for a while; two in a row say that
// it can hold no more of them than this.
void PollTimeouts::on_rejection(bool was_held) {
    last_result_ = LastResult::rejection;
    short_polls_left_ = 0;  // its queue is full: polls that it lets in wait long
    if (!was_held) return;
    ++held_rejections_;
    if (held_rejections_ > 1) hold_us_ = std::min(kMaxHoldUs, 2 * std::max(hold_us_, usual_hold_us_));
}

void PollTimeouts::on_silence(bool was_held) {
    last_result_ = LastResult::silence;
    if (!was_held) {
        short_polls_left_ = std::max(0, short_polls_left_ - 1);
        return;
    }
    short_polls_left_ = kShortPolls;
    hold_us_ = std::max(usual_hold_us_, hold_us_);
}

}  // namespace sloestack::decision
