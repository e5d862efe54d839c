#include "calls/calls.h"

#include <algorithm>

namespace nettletrestle::route {
namespace {

// A duration that grows with the routers which share discovery, between two bounds.
struct Share {
    Micros a_router, least, most;
    constexpr Micros of(int routers) const {
        const Micros all = routers * a_router;
        return all < least ? least : all > most ? most : all;
    }
};
constexpr Share kWindow{8'000, 700'000, 2'400'000};   // first calls: 125 a second of all that start at once
constexpr Share kHold{12'000, 2'000'000, 3'400'000};  // held calls: 83 to 88 a second of 167 routers and more
constexpr Share kPatience{6'000, 1'200'000, 1'800'000};  // calls of many wait for each other, for 2 s at most
constexpr Share kBackOff{7'000, 1'000'000, 2'100'000};   // the longest wait after a failed call
constexpr Share kFirstBackOff{2'000, 300'000, 600'000};  // and the first; each later one is twice as long
constexpr int kFew = 166;  // routers up to which one failure behind a silence is within the bound as well

constexpr Micros after_silence(int routers) {
    return kHold.of(routers) + Calls::kLate + kPatience.of(routers);
}
constexpr Micros after_failure(int routers) { return 2 * kPatience.of(routers) + kBackOff.of(routers); }
// The most of each share is reached by 350 routers; beyond, nothing grows.
static_assert(after_silence(350) < Calls::kToldBy && after_failure(350) < Calls::kToldBy, "told in time");
static_assert(after_silence(kFew) + kFirstBackOff.of(kFew) + kPatience.of(kFew) < Calls::kToldBy,
              "a failure behind a silence is told in time");

}  // namespace

Calls::Calls(const Settings& settings) {
    const int callers = settings.own_agent ? 1 : settings.routers;
    window_ = settings.own_agent ? 0 : kWindow.of(callers);
    hold_ = kHold.of(callers);
    patience_ = kPatience.of(callers);
    back_off_most_ = settings.own_agent ? kPushedBackOff : kBackOff.of(callers);
    back_off_least_ = std::min(back_off_most_, kFirstBackOff.of(callers));
    told();
}

Micros Calls::first(double draw) const {
    return static_cast<Micros>(draw * static_cast<double>(window_)) + 1;
}

Micros Calls::failed(double draw) {
    const Micros most = back_off_;
    back_off_ = std::min(back_off_most_, back_off_ * 2);
    return static_cast<Micros>(draw * static_cast<double>(most)) + 1;
}

void Calls::told() { back_off_ = back_off_least_; }

Micros first_hold(std::uint64_t seed, Micros full) {
    // SplitMix64's finalizer (Steele, Lea and Flood 2014).
    auto x = seed + 0x9e3779b97f4a7c15u;
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9u;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
    x ^= x >> 31;
    const auto ms = static_cast<std::uint64_t>(std::max<Micros>(1, full / 1000));
    return static_cast<Micros>(1 + x % ms) * 1000;
}

}  // namespace nettletrestle::route
