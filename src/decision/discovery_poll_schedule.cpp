#include "discovery_poll_schedule.h"

#include <algorithm>

#include "conversions.h"
#include "split_mix.h"

namespace sloestack::decision {
namespace {

// A duration proportional to the number of routers that share discovery, between two bounds.
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
// If up to 300 routers start at once, their first polls arrive at 125 per second or less.
constexpr ScaledDuration kFirstPollWindow{8'000, 700'000, 2'400'000};
// From 167 to 300 routers, their long polls arrive at 83 to 88 per second.
constexpr ScaledDuration kHold{12'000, 2'000'000, 3'400'000};
// Time-out of the polls after a long poll without a response, which has used up part of the bound.
constexpr ScaledDuration kShortTimeout{6'000, 1'200'000, 1'800'000};
// All routers are told at once that discovery has moved. Its old address closes open connections after 1.5 s.
constexpr ScaledDuration kMoveWindow{36'000, 0, 1'400'000};
constexpr int kRoutersThatMoveAtOnce = 8;
constexpr ScaledDuration kFirstBackoff{2'000, 300'000, 600'000};  // maximum delay after a missing response
constexpr Micros kFirstBackoffAfterRejectionUs = 1'000'000;       // doubles with each failure
constexpr Micros kMaxHoldAfterRejectionUs = 1'800'000;
constexpr int kMaxDoublings = 4;       // more would exceed the maximum poll interval anyway
constexpr int kShortTimeoutPolls = 2;  // as many as fit into the bound after a long poll without a response
constexpr Micros kCongestedDelayUs = 300'000;
constexpr Micros kMaxCongestedPollIntervalUs = 3'000'000;
constexpr int kHoldRecoverySteps = 8;  // successful long polls that undo one extension of the hold time
constexpr Micros kMillisecondUs = 1'000;

// Up to this number of routers, the bound holds even with a further failure after a missing response.
constexpr int kSmallFleetRouters = 166;
// Any number of at least 300, from which on every scaled duration is at its maximum.
constexpr int kLargeFleetRouters = 350;
constexpr Micros kBoundUs = PollBackoff::kNotificationBoundUs;

constexpr Micros after_silence_us(int router_count) {
    return kHold.of(router_count) + PollTimeouts::kHoldSlackUs + kShortTimeout.of(router_count);
}
static_assert(after_silence_us(kLargeFleetRouters) < kBoundUs, "notified in time after a missing response");
static_assert(PollBackoff::kMaxPollIntervalUs + PollBackoff::kPollTimeoutUs < kBoundUs,
              "notified in time after a failure");
static_assert(kFirstPollWindow.of(kLargeFleetRouters) + PollBackoff::kPollTimeoutUs < kBoundUs,
              "notified in time from the start");
static_assert(after_silence_us(kSmallFleetRouters) + kFirstBackoff.of(kSmallFleetRouters) +
                      kShortTimeout.of(kSmallFleetRouters) <
                  kBoundUs,
              "notified in time after a missing response and a failure");
static_assert(kMaxHoldAfterRejectionUs + PollBackoff::kPollTimeoutUs + kShortTimeout.of(kLargeFleetRouters) <
                  kBoundUs,
              "notified in time after a rejection and a missing response");
static_assert(kHold.of(kSmallFleetRouters) + PollTimeouts::kHoldSlackUs + kFirstBackoffAfterRejectionUs +
                      PollBackoff::kPollTimeoutUs <
                  kBoundUs,
              "notified in time after a missing response and a rejection");

// Returns a hold time in whole milliseconds, uniform from 1 ms to `max_us`.
Micros random_hold_us(std::uint64_t seed, Micros max_us) {
    const auto milliseconds = static_cast<std::uint64_t>(std::max<Micros>(1, max_us / kMillisecondUs));
    return static_cast<Micros>(1 + split_mix(seed + kSplitMixIncrement) % milliseconds) * kMillisecondUs;
}

// The polls of a few routers fit into discovery's queue together.
Micros random_move_delay_us(const Settings& settings, std::uint64_t seed) {
    if (settings.discovery_agent_is_local || settings.router_count <= kRoutersThatMoveAtOnce) return 0;
    return random_hold_us(seed + kSplitMixIncrement, kMoveWindow.of(settings.router_count));
}

// Returns the share `draw`, in [0, 1), of `max_us`, but at least 1 us.
Micros random_delay_us(double draw, Micros max_us) { return as_micros(draw * as_double(max_us)) + 1; }

}  // namespace

PollBackoff::PollBackoff(const Settings& settings)
    : is_local_agent_(settings.discovery_agent_is_local),
      first_poll_window_us_(is_local_agent_ ? 0 : kFirstPollWindow.of(settings.router_count)),
      first_backoff_us_(kFirstBackoff.of(settings.router_count)) {}

Micros PollBackoff::first_poll_delay(double draw) const {
    return random_delay_us(draw, first_poll_window_us_);
}

Micros PollBackoff::delay_after_failure(const FailedPoll& poll, double draw) {
    Micros max_us = kLocalAgentMaxBackoffUs;
    Micros min_us = 0;
    if (!is_local_agent_) {
        // A poll that took longer than the time-out was a long poll, held by discovery: a change would have
        // ended it at once, so the excess does not count.
        const Micros poll_duration_us = std::min(kPollTimeoutUs, poll.duration_us.value_or(kPollTimeoutUs));
        const Micros first_us = poll.rejected ? kFirstBackoffAfterRejectionUs : first_backoff_us_;
        max_us = first_us << std::min(failures_, kMaxDoublings);
        max_us = std::max<Micros>(0, std::min(max_us, kMaxPollIntervalUs - poll_duration_us));
        if (poll.rejected && poll_duration_us > kCongestedDelayUs) {
            max_us = std::max<Micros>(0, std::min(max_us, kMaxCongestedPollIntervalUs - poll_duration_us));
            min_us = max_us / 2;
        }
    }
    ++failures_;
    return min_us + random_delay_us(draw, max_us - min_us);
}

PollTimeouts::PollTimeouts(const Settings& settings, std::uint64_t seed)
    : is_local_agent_(settings.discovery_agent_is_local),
      move_delay_us_(random_move_delay_us(settings, seed)) {
    const int router_count = settings.discovery_agent_is_local ? 1 : settings.router_count;
    default_hold_us_ = kHold.of(router_count);
    hold_us_ = random_hold_us(seed, default_hold_us_);
    short_timeout_us_ = kShortTimeout.of(router_count);
    timeout_us_ = settings.discovery_agent_is_local ? short_timeout_us_ : PollBackoff::kPollTimeoutUs;
}

PollTimeouts::NextPoll PollTimeouts::next() const {
    switch (last_result_) {
        case LastResult::list:
            return {hold_us_, hold_us_ + kHoldSlackUs};
        case LastResult::rejection: {
            // A long poll at once saves discovery the poll without hold that would come before it. It may
            // wait in discovery's queue before it is held, hence the full time-out after the hold.
            const bool is_extended = hold_us_ > default_hold_us_;
            const Micros hold_us = is_extended ? hold_us_ : std::min(hold_us_, kMaxHoldAfterRejectionUs);
            return {hold_us, hold_us + PollBackoff::kPollTimeoutUs};
        }
        case LastResult::silence:
            break;
    }
    return {0, short_timeout_polls_left_ > 0 ? short_timeout_us_ : timeout_us_};
}

void PollTimeouts::on_list(bool was_long_poll, Micros delay) {
    last_result_ = LastResult::list;
    short_timeout_polls_left_ = 0;
    if (!was_long_poll) return;
    consecutive_long_poll_rejections_ = 0;
    if (delay > kCongestedDelayUs && !is_local_agent_) return extend_hold();
    const Micros step_us = default_hold_us_ / kHoldRecoverySteps / kMillisecondUs * kMillisecondUs;
    hold_us_ = std::max(default_hold_us_, hold_us_ - step_us);
}

// Late responses show that polls wait in discovery's queue, before it rejects any.
void PollTimeouts::extend_hold() {
    const Micros extended_us = std::max(hold_us_, default_hold_us_) / 4 * 5 / kMillisecondUs * kMillisecondUs;
    hold_us_ = std::max(hold_us_, std::min(extended_us, kHold.max_us));
}

// A single rejected long poll may be due to a short outage or overload of discovery; two in a row show that
// it cannot hold that many long polls.
void PollTimeouts::on_rejection(bool was_long_poll) {
    last_result_ = LastResult::rejection;
    short_timeout_polls_left_ = 0;  // discovery's queue is full: polls wait in it for long
    if (!was_long_poll) return;
    ++consecutive_long_poll_rejections_;
    if (consecutive_long_poll_rejections_ > 1)
        hold_us_ = std::min(kMaxHoldUs, 2 * std::max(hold_us_, default_hold_us_));
}

void PollTimeouts::on_silence(bool was_long_poll) {
    last_result_ = LastResult::silence;
    if (!was_long_poll) {
        short_timeout_polls_left_ = std::max(0, short_timeout_polls_left_ - 1);
        return;
    }
    short_timeout_polls_left_ = kShortTimeoutPolls;
    hold_us_ = std::max(default_hold_us_, hold_us_);
}

}  // namespace sloestack::decision
