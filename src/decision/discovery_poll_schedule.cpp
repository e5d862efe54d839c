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
    return kHold.of(routers) + CallTimes::kLate + kShortPatience.of(routers);
}
// The most of each share is reached by 350 routers; beyond, nothing grows.
static_assert(after_silence(350) < Calls::kToldBy, "told in time behind a silence");
static_assert(Calls::kBetween + Calls::kPatience < Calls::kToldBy, "told in time behind a failure");
static_assert(kWindow.of(350) + Calls::kPatience < Calls::kToldBy, "told in time from the start");
static_assert(after_silence(kFew) + kFirstBackOff.of(kFew) + kShortPatience.of(kFew) < Calls::kToldBy,
              "a failure behind a silence is told in time");
static_assert(kHoldBehindRefusal + Calls::kPatience + kShortPatience.of(350) < Calls::kToldBy,
              "a silence behind a refusal is told in time");
static_assert(kHold.of(kFew) + CallTimes::kLate + kFirstRefused + Calls::kPatience < Calls::kToldBy,
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

Calls::Calls(const Settings& settings)
    : own_agent_(settings.own_agent),
      window_(own_agent_ ? 0 : kWindow.of(settings.routers)),
      back_off_(kFirstBackOff.of(settings.routers)) {}

Micros Calls::first(double draw) const {
    return static_cast<Micros>(draw * static_cast<double>(window_)) + 1;
}

Micros Calls::failed(const FailedCall& call, double draw) {
    Micros most = kPushedBackOff;
    if (!own_agent_) {
        // A call that has been out for longer was held, and would have told of a change at once.
        const Micros left = kBetween - std::min(kPatience, call.took_us.value_or(kPatience));
        most = (call.refused ? kFirstRefused : back_off_) << std::min(failures_, kMostDoublings);
        most = std::max<Micros>(0, std::min(most, left));
    }
    ++failures_;
    return static_cast<Micros>(draw * static_cast<double>(most)) + 1;
}

CallTimes::CallTimes(const Settings& settings, std::uint64_t seed) {
    const int callers = settings.own_agent ? 1 : settings.routers;
    usual_hold_ = kHold.of(callers);
    hold_ = first_hold(seed, usual_hold_);
    short_ = kShortPatience.of(callers);
    patience_ = settings.own_agent ? short_ : Calls::kPatience;
}

CallTimes::Next CallTimes::next() const {
    switch (behind_) {
        case Behind::answer:
            return {hold_, hold_ + kLate};
        case Behind::refusal: {
            // One call in place of two. It may wait its turn at discovery before it is held.
            const Micros hold = hold_ > usual_hold_ ? hold_ : std::min(hold_, kHoldBehindRefusal);
            return {hold, hold + Calls::kPatience};
        }
        case Behind::nothing:
            break;
    }
    return {0, short_left_ > 0 ? short_ : patience_};
}

void CallTimes::answered(bool held) {
    behind_ = Behind::answer;
    short_left_ = 0;
    if (!held) return;
    held_refused_ = 0;
    hold_ = std::max(usual_hold_, hold_ - usual_hold_ / kLessOften / 1000 * 1000);
}

// One held call is refused wherever discovery goes down or is overrun for a while; two in a row, with a call
// between them that was answered, say that it bears no more held calls than this.
void CallTimes::refused(bool held) {
    behind_ = Behind::refusal;
    short_left_ = 0;  // its queue is full: whom it lets in waits long
    if (held && ++held_refused_ > 1) hold_ = std::min(kLongestHold, 2 * std::max(hold_, usual_hold_));
}

void CallTimes::unanswered(bool held) {
    behind_ = Behind::nothing;
    if (held) {
        short_left_ = kShortCalls;
        hold_ = std::max(usual_hold_, hold_);
    } else {
        short_left_ = std::max(0, short_left_ - 1);
    }
}

}  // namespace sloestack::decision
