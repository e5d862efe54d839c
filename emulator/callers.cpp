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

class PollFleet {
public:
    explicit PollFleet(const CallersSettings& callers_settings)
        : settings_(callers_settings), random_(callers_settings.seed) {
        sloestack::decision::Settings settings;
        settings.router_count = callers_settings.routers;
        settings.discovery_is_polled = true;
        for (int i = 0; i < callers_settings.routers; ++i) {
            routers_.push_back({PollBackoff(settings), PollTimeouts(settings, random_())});
            schedule(routers_.back().backoff.first_poll_delay(unit_(random_)), Event::poll, i);
        }
        if (callers_settings.change_every > 0) schedule(callers_settings.change_every, Event::change, 0);
    }

    CallersReport play() {
        while (!events_.empty()) {
            const auto [when, order, event, router, poll_number] = events_.top();
            if (when >= settings_.length) break;
            events_.pop();
            now_ = when;
            if (event == Event::change)
                on_change();
            else if (auto& r = routers_[static_cast<std::size_t>(router)]; event == Event::poll)
                start_poll(r, router, false);
            else if (poll_number == r.poll_number)
                event == Event::handled ? on_handled(r, router) : on_timeout(r, router);
        }
        const auto is_measured = [this](Time changed_at) {
            return changed_at + PollBackoff::kNotificationBoundUs < settings_.length;
        };
        double pairs = 0, in_time = 0;
        for (std::size_t c = 0; c < change_times_.size(); ++c)
            for (const auto& r : routers_) {
                const Time notified_at = c < r.notified_at.size() ? r.notified_at[c] : settings_.length;
                if (!is_measured(change_times_[c])) continue;
                ++pairs;
                in_time += notified_at - change_times_[c] < PollBackoff::kNotificationBoundUs;
                report_.longest_notification_us =
                    std::max(report_.longest_notification_us, notified_at - change_times_[c]);
            }
        if (pairs > 0) report_.notified_in_time = in_time / pairs;
        for (const auto& r : routers_) report_.watching += r.is_waiting;
        return report_;
    }

private:
    enum class Event { poll, handled, timeout, change };
    struct Router {
        PollBackoff backoff;
        PollTimeouts timeouts;
        Time started_at = 0;
        PollTimeouts::NextPoll current_poll = {};
        bool is_waiting = false;
        int poll_number = 0;                 // of the open poll; events of older polls are ignored
        std::vector<Time> notified_at = {};  // when it was notified, by change
    };

    void schedule(Time when, Event event, int router, int poll_number = 0) {
        events_.emplace(when, order_++, event, router, poll_number);
    }

    void start_poll(Router& r, int router, bool continues) {
        ++report_.calls;
        r.started_at = now_, r.current_poll = r.timeouts.next(), r.is_waiting = false;
        const int poll_number = ++r.poll_number;
        schedule(now_ + r.current_poll.timeout_us, Event::timeout, router, poll_number);
        if (continues && settings_.long_polls_are_free) return on_handled(r, router);
        const Time from = std::max(now_, busy_until_);
        if (from - now_ > settings_.longest_queue) return on_failure(r, router, true);
        busy_until_ = from + static_cast<Micros>(1e6 / (settings_.capacity * settings_.routers));
        schedule(busy_until_, Event::handled, router, poll_number);
    }

    // Discovery handles the poll, or the hold time of a long poll has passed.
    void on_handled(Router& r, int router) {
        if (r.current_poll.hold_us == 0 || r.is_waiting || r.notified_at.size() < change_times_.size())
            return on_list(r, router);
        r.is_waiting = true;
        schedule(std::max(now_, r.started_at + r.current_poll.hold_us), Event::handled, router,
                 r.poll_number);
    }

    void on_list(Router& r, int router) {
        r.notified_at.resize(change_times_.size(), now_);
        r.timeouts.on_list(r.current_poll.hold_us > 0, now_ - r.started_at - r.current_poll.hold_us);
        r.backoff.on_list_received();
        start_poll(r, router, true);
    }

    void on_timeout(Router& r, int router) {
        if (r.current_poll.hold_us == 0) return on_failure(r, router, false);
        r.timeouts.on_silence(true);
        start_poll(r, router, false);
    }

    void on_failure(Router& r, int router, bool rejected) {
        ++report_.failed;
        report_.failed_late += now_ > settings_.length / 3 * 2;
        ++r.poll_number;
        r.is_waiting = false;
        const bool is_long_poll = r.current_poll.hold_us > 0;
        rejected ? r.timeouts.on_rejection(is_long_poll) : r.timeouts.on_silence(is_long_poll);
        const sloestack::decision::FailedPoll poll{rejected, now_ - r.started_at};
        schedule(now_ + r.backoff.delay_after_failure(poll, unit_(random_)), Event::poll, router);
    }

    void on_change() {
        change_times_.push_back(now_);
        if (now_ + settings_.change_every <= settings_.last_change)
            schedule(now_ + settings_.change_every, Event::change, 0);
        for (int i = 0; i < settings_.routers; ++i)
            if (auto& r = routers_[static_cast<std::size_t>(i)]; r.is_waiting) on_list(r, i);
    }

    const CallersSettings settings_;
    std::mt19937_64 random_;
    std::uniform_real_distribution<> unit_;
    std::vector<Router> routers_;
    using Entry = std::tuple<Time, long, Event, int, int>;
    std::priority_queue<Entry, std::vector<Entry>, std::greater<>> events_;
    long order_ = 0;
    Time now_ = 0, busy_until_ = 0;
    std::vector<Time> change_times_;
    CallersReport report_;
};

}  // namespace

CallersReport play_callers(const CallersSettings& settings) { return PollFleet(settings).play(); }

}  // namespace emulator
