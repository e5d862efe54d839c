#include "emulator/callers.h"

#include <algorithm>
#include <functional>
#include <queue>
#include <random>
#include <tuple>

#include "discovery_poll_schedule.h"

namespace emulator {
namespace {

using namespace sloestack::decision;

class Callers {
public:
    explicit Callers(const CallersSettings& s) : s_(s), random_(s.seed) {
        sloestack::decision::Settings settings;
        settings.router_count = s.routers;
        settings.discovery_is_polled = true;
        for (int i = 0; i < s.routers; ++i) {
            routers_.push_back({PollBackoff(settings), PollTimeouts(settings, random_())});
            at(routers_.back().calls.first_poll_delay(unit_(random_)), Event::call, i);
        }
        if (s.change_every > 0) at(s.change_every, Event::change, 0);
    }

    CallersReport play() {
        while (!events_.empty()) {
            const auto [when, order, event, who, call] = events_.top();
            if (when >= s_.length) break;
            events_.pop();
            now_ = when;
            if (event == Event::change)
                change();
            else if (auto& r = routers_[static_cast<std::size_t>(who)]; event == Event::call)
                begin(r, who, false);
            else if (call == r.call)
                event == Event::handled ? handled(r, who) : given_up(r, who);
        }
        const auto due = [this](Time made) { return made + PollBackoff::kNotificationBoundUs < s_.length; };
        double pairs = 0, in_time = 0;
        for (std::size_t c = 0; c < made_.size(); ++c)
            for (const auto& r : routers_) {
                const Time told = c < r.told.size() ? r.told[c] : s_.length;
                if (!due(made_[c])) continue;
                ++pairs;
                in_time += told - made_[c] < PollBackoff::kNotificationBoundUs;
                report_.longest_notification_us = std::max(report_.longest_notification_us, told - made_[c]);
            }
        if (pairs > 0) report_.notified_in_time = in_time / pairs;
        for (const auto& r : routers_) report_.watching += r.parked;
        return report_;
    }

private:
    enum class Event { call, handled, give_up, change };
    struct Router {
        PollBackoff calls;
        PollTimeouts times;
        Time begun = 0;
        PollTimeouts::NextPoll next = {};
        bool parked = false;
        int call = 0;                 // the one that is out; what concerns an older one is void
        std::vector<Time> told = {};  // by change, when
    };

    void at(Time when, Event event, int who, int call = 0) {
        events_.emplace(when, order_++, event, who, call);
    }

    void begin(Router& r, int who, bool goes_on) {
        ++report_.calls;
        r.begun = now_, r.next = r.times.next(), r.parked = false;
        const int call = ++r.call;
        at(now_ + r.next.timeout_us, Event::give_up, who, call);
        if (goes_on && s_.long_polls_are_free) return handled(r, who);
        const Time from = std::max(now_, busy_until_);
        if (from - now_ > s_.longest_queue) return delay_after_failure(r, who, true);
        busy_until_ = from + static_cast<Micros>(1e6 / (s_.capacity * s_.routers));
        at(busy_until_, Event::handled, who, call);
    }

    // Discovery has come to it; or its time at discovery is over.
    void handled(Router& r, int who) {
        if (r.next.hold_us == 0 || r.parked || r.told.size() < made_.size()) return on_list(r, who);
        r.parked = true;
        at(std::max(now_, r.begun + r.next.hold_us), Event::handled, who, r.call);
    }

    void on_list(Router& r, int who) {
        r.told.resize(made_.size(), now_);
        r.times.on_list(r.next.hold_us > 0);
        r.calls.on_list_received();
        begin(r, who, true);
    }

    void given_up(Router& r, int who) {
        if (r.next.hold_us == 0) return delay_after_failure(r, who, false);
        r.times.on_silence(true);
        begin(r, who, false);
    }

    void delay_after_failure(Router& r, int who, bool refused) {
        ++report_.failed;
        report_.failed_late += now_ > s_.length / 3 * 2;
        ++r.call;
        r.parked = false;
        const bool held = r.next.hold_us > 0;
        refused ? r.times.on_rejection(held) : r.times.on_silence(held);
        const sloestack::decision::FailedPoll call{refused, now_ - r.begun};
        at(now_ + r.calls.delay_after_failure(call, unit_(random_)), Event::call, who);
    }

    void change() {
        made_.push_back(now_);
        if (now_ + s_.change_every <= s_.last_change) at(now_ + s_.change_every, Event::change, 0);
        for (int i = 0; i < s_.routers; ++i)
            if (auto& r = routers_[static_cast<std::size_t>(i)]; r.parked) on_list(r, i);
    }

    const CallersSettings s_;
    std::mt19937_64 random_;
    std::uniform_real_distribution<> unit_;
    std::vector<Router> routers_;
    using Entry = std::tuple<Time, long, Event, int, int>;
    std::priority_queue<Entry, std::vector<Entry>, std::greater<>> events_;
    long order_ = 0;
    Time now_ = 0, busy_until_ = 0;
    std::vector<Time> made_;
    CallersReport report_;
};

}  // namespace

CallersReport play_callers(const CallersSettings& settings) { return Callers(settings).play(); }

}  // namespace emulator
