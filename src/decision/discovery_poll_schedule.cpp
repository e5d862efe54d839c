#include "discovery_poll_schedule.h"

#include <algorithm>

namespace sloestack::decision {
namespace {

// A duration that grows with the routers which share discovery, between two bounds.
struct Share {
    Micros a_router, least, most;
    constexpr Micros of(int routers) const {
        const Micros all = routers * a_router;
        return all < least ? least : all > most ? most : all;
    }
};
// At 1,700 routers each of these is at its most.
constexpr Share kWindow{8'000, 700'000, 2'400'000};   // first calls: 125 a second of all that start at once
constexpr Share kHold{12'000, 2'000'000, 3'400'000};  // held calls: 83 to 88 a second of 167 routers and more
constexpr Share kShortPatience{6'000, 1'200'000, 1'800'000};  // behind a silence, which has taken its time
constexpr Share kFirstBackOff{2'000, 300'000, 600'000};       // behind a call that nobody answered
constexpr Micros kFirstRefused = 1'000'000;       // us; behind a refusal; each later one is twice as long
constexpr Micros kHoldBehindRefusal = 1'800'000;  // us
constexpr int kMostDoublings = 4;                 // beyond, `kBetween` binds
constexpr int kShortCalls = 2;                    // as many have room behind a silence
constexpr int kFew = 166;      // routers up to which one failure behind a silence is within the bound as well
constexpr int kLessOften = 8;  // answered calls that take back what one usual hold has added

constexpr Micros after_silence(int routers) {
    return kHold.of(routers) + PollTimeouts::kHoldSlack + kShortPatience.of(routers);
}
// The most of each share is reached by 350 routers; beyond, nothing grows.
static_assert(after_silence(350) < PollBackoff::kNotificationBound, "told in time behind a silence");
static_assert(PollBackoff::kMaxPollInterval + PollBackoff::kPollTimeout < PollBackoff::kNotificationBound,
              "told in time behind a failure");
static_assert(kWindow.of(350) + PollBackoff::kPollTimeout < PollBackoff::kNotificationBound,
              "told in time from the start");
static_assert(after_silence(kFew) + kFirstBackOff.of(kFew) + kShortPatience.of(kFew) <
                  PollBackoff::kNotificationBound,
              "a failure behind a silence is told in time");
static_assert(kHoldBehindRefusal + PollBackoff::kPollTimeout + kShortPatience.of(350) <
                  PollBackoff::kNotificationBound,
              "a silence behind a refusal is told in time");
static_assert(kHold.of(kFew) + PollTimeouts::kHoldSlack + kFirstRefused + PollBackoff::kPollTimeout <
                  PollBackoff::kNotificationBound,
              "a refusal behind a silence is told in time");

// SplitMix64's finalizer (Steele, Lea and Flood 2014): at least 1 ms and at most `full` us, in whole ms.
Micros first_hold(std::uint64_t seed, Micros full) {
    auto x = seed + 0x9e3779b97f4a7c15u;
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9u;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
    x ^= x >> 31;
    const auto ms = static_cast<std::uint64_t>(std::max<Micros>(1, full / 1000));
    return static_cast<Micros>(1 + x % ms) * 1000;
}

}  // namespace

PollBackoff::PollBackoff(const Settings& settings)
    : own_agent_(settings.discovery_agent_is_local),
      window_(own_agent_ ? 0 : kWindow.of(settings.router_count)),
      back_off_(kFirstBackOff.of(settings.router_count)) {}

Micros PollBackoff::first_poll_delay(double draw) const {
    return static_cast<Micros>(draw * static_cast<double>(window_)) + 1;
}

Micros PollBackoff::delay_after_failure(const FailedPoll& call, double draw) {
    Micros most = kLocalAgentMaxBackoff;
    if (!own_agent_) {
        // A call that has been out for longer was held, and would have told of a change at once.
        const Micros left =
            kMaxPollInterval - std::min(kPollTimeout, call.duration_us.value_or(kPollTimeout));
        most = (call.rejected ? kFirstRefused : back_off_) << std::min(failures_, kMostDoublings);
        most = std::max<Micros>(0, std::min(most, left));
    }
    ++failures_;
    return static_cast<Micros>(draw * static_cast<double>(most)) + 1;
}

PollTimeouts::PollTimeouts(const Settings& settings, std::uint64_t seed) {
    const int callers = settings.discovery_agent_is_local ? 1 : settings.router_count;
    usual_hold_ = kHold.of(callers);
    hold_ = first_hold(seed, usual_hold_);
    short_ = kShortPatience.of(callers);
    patience_ = settings.discovery_agent_is_local ? short_ : PollBackoff::kPollTimeout;
}

PollTimeouts::Next PollTimeouts::next() const {
    switch (behind_) {
        case Behind::answer:
            return {hold_, hold_ + kHoldSlack};
        case Behind::refusal: {
            // One call in place of two. It may wait its turn at discovery before it is held.
            const Micros hold = hold_ > usual_hold_ ? hold_ : std::min(hold_, kHoldBehindRefusal);
            return {hold, hold + PollBackoff::kPollTimeout};
        }
        case Behind::nothing:
            break;
    }
    return {0, short_left_ > 0 ? short_ : patience_};
}

void PollTimeouts::on_list(bool held) {
    behind_ = Behind::answer;
    short_left_ = 0;
    if (!held) return;
    held_refused_ = 0;
    hold_ = std::max(usual_hold_, hold_ - usual_hold_ / kLessOften / 1000 * 1000);
}

// One held call is refused wherever discovery goes down or is overrun for a while; two in a row, with a call
// between them that was answered, say that it bears no more held calls than this.
void PollTimeouts::on_rejection(bool held) {
    behind_ = Behind::refusal;
    short_left_ = 0;  // its queue is full: whom it lets in waits long
    if (held && ++held_refused_ > 1) hold_ = std::min(kMaxHold, 2 * std::max(hold_, usual_hold_));
}

void PollTimeouts::on_silence(bool held) {
    behind_ = Behind::nothing;
    if (held) {
        short_left_ = kShortCalls;
        hold_ = std::max(usual_hold_, hold_);
    } else {
        short_left_ = std::max(0, short_left_ - 1);
    }
}

}  // namespace sloestack::decision
