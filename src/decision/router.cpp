// All decisions of the router. Interface: include/sloestack/router.h
//
// Map: constants - small tools - state - step and events - answers (the only ways out) - list - lag record -
//      write throttle - primary - cold starts - health (of zones: zone_health) - choosing - waiting - upkeep
// A departure from the design is marked "Departure" where it acts.
#include "sloestack/router.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <queue>
#include <random>
#include <unordered_map>
#include <utility>

#include "discovery_poll_schedule.h"
#include "endpoint_subset.h"
#include "startup_phase.h"
#include "zone_health.h"

namespace sloestack::decision {
namespace {

// ---- constants ----
constexpr Micros kTick = 5'000;               // us; upkeep interval: well under any wanted time
constexpr Micros kRateWindow = 1'000'000;     // us; speeds, rates and "heard" look back this far
constexpr Micros kLongWindow = 4'000'000;     // us; rates where one router's second holds few requests
constexpr int kSparse = 3;                    // samples of a position kept beyond the rate window
constexpr Micros kYoungest = 300'000;         // us; what a rate that has just begun is taken to span at least
constexpr Micros kThrottleLapse = 3'000'000;  // us; the design's entry life when not renewed
constexpr double kFloorSpeed = 1e-8;          // ratio; the design's floor under the commit speed
constexpr Micros kMinSpeedSpan = 150'000;     // us; a speed from a shorter span is noise
constexpr double kStandstill = 0.05;          // apply speed under which a replica stands still
constexpr double kDrainLeast = 0.5;           // ratio; most the drain may take off the admitted writes
constexpr Micros kNoBoundTarget = 500'000;    // us; lag target where no class states a bound
constexpr double kRoomShare = 0.33;           // of the aim: the wait we let build up at a server
constexpr double kFloorRequests = 12;         // requests all routers together may always have out at one
constexpr double kFloorLeast = 2;             // and one router alone: else it learns nothing of the server
constexpr double kPrimaryReadRoom = 0.5;      // of a replica's room: what reads may use on the primary
constexpr double kPrimaryReadWeight = 0.5;    // draw weight of the primary: it is needed for writes
constexpr double kUsualMost = 0.3;            // of the aim: a longer usual latency is a jam, not the work
constexpr double kClearShare = 0.5;           // of a write's time left: to clear the queue of a new primary
constexpr double kWaitLeast = 10;             // writes that may wait in any case: little was seen yet
constexpr Micros kServedWindow = 3'000'000;   // us; reads served in time and reads offered look back this far
constexpr double kServedMost = 1.25;          // x the reads served in time: what is admitted, room to grow
constexpr double kServedPrior = 1;            // reads taken to be served: a verdict needs more than that ...
constexpr double kServedPriorShare = 0.08;  // ... and for each router: the fewer it sees, the more is chance
constexpr double kServedLeast = 0.2;        // of the reads offered are admitted in any case: else no evidence
constexpr double kHoldShare = 0.25;         // of the aim: how long a read may wait for room
constexpr double kCrowded = 0.5;      // of the aim: any-reads expected to take longer go to the next member
constexpr double kLongRead = 2.5;     // x the shortest usual latency: any-reads that long are kept apart
constexpr double kSlowerStep = 0.15;  // smoothing of a server's slowness upwards: trouble is believed soon
constexpr double kFasterStep = 0.08;  // and downwards
constexpr double kNewsMost = 0.5;     // most of a server's slowness that one answer may be
constexpr double kSlowLeast = 0.2, kSlowMost = 10;  // x usual: bounds of slowness, against single answers
constexpr double kDrawPower = 2;                    // sharpness of the draw by latency x in flight
constexpr double kSilenceFactor = 4;                // x expected latency without any answer: taken for hung
constexpr double kSilenceEvidence = 10;      // such latencies summed over all it holds: e^-10 by chance
constexpr Micros kMinSilence = 120'000;      // us; shorter silences happen by chance
constexpr int kCutsInARow = 3;               // broken connections with no answer between: the process died
constexpr Micros kTrialFirst = 250'000;      // us; wait before the first trial of an ejected server
constexpr Micros kTrialMost = 2'000'000;     // us; longest wait between trials
constexpr Micros kShortAbsence = 1'000'000;  // us; ejected longer than this may have restarted: cold
constexpr double kColdFloor = 0.5;      // requests at a time, all routers together, where nothing is known
constexpr double kColdPush = 0.75;      // of the overload multiple, x what members carry: they have room too
constexpr Micros kRateEvery = 250'000;  // us; between looks at what members carry
constexpr double kMemberStep = 0.1;     // a look; smoothing of what a member carries: some 2.5 s
constexpr double kColdSaved = 0.2;      // of a cold server's budget: what all routers may have saved up
constexpr double kRetryPerArrival = 0.2;  // further attempts earned by each arrival
constexpr double kRetryMost = 80;         // further attempts saved up: one hung server's load
constexpr Micros kSearchEvery = 20'000;   // us; between writes sent out to find the primary ...
constexpr Micros kSearchShare = 1'000;    // us; ... and for each router: declined writes are load too
constexpr Micros kSearchSpared = 5;       // x; where one is known, but in a silent zone
constexpr Micros kRoleStale = 500'000;    // us; a replica's role may have changed after this
constexpr Micros kProbeEvery = 250'000;   // us; between probes of a group whose primary is lost ...
constexpr Micros kProbeShare = 60'000;    // us; ... and for each router: a herd probes no more than a few
constexpr double kFirstProbes = 6;        // of a member, by all routers together, as they first use its group
constexpr double kRetryShare = 0.2;       // of the aim; base advice: a try after it can be in time
constexpr Micros kRepeatMargin = 20'000;  // us; of the window for repeats, kept for the way to the member
constexpr Micros kForgetAfter = 60'000'000;  // us; a member told gone is kept so long
constexpr int kScanMost = 64;                // waiting requests looked at in a round, per class
constexpr std::uint32_t kTickToken = 1, kWatchToken = 2;

// ---- small tools ----
constexpr double num(std::int64_t x) { return static_cast<double>(x); }
constexpr Micros us(double x) { return static_cast<Micros>(x); }
// An amount per second, forgotten exponentially over its window; from the first on, not from zero.
class Rate {
public:
    explicit Rate(Micros window = kRateWindow) : window_(num(window)) {}
    void add(Time now, double amount) {
        if (sum_ == 0) since_ = now - kYoungest;
        sum_ = seen(now) + amount;
        at_ = now;
    }
    double per_second(Time now) const {
        return seen(now) * 1e6 / (window_ * (1 - std::exp(-num(now - since_) / window_)));
    }
    double seen(Time now) const { return sum_ == 0 ? 0 : sum_ * std::exp(-num(now - at_) / window_); }

private:
    double window_, sum_ = 0;
    Time at_ = 0, since_ = 0;
};

bool proves_not_run(Outcome o) {
    return o == Outcome::overloaded || o == Outcome::connect_failed || o == Outcome::expired ||
           o == Outcome::not_eligible;
}

struct Sample {
    Time at, position;
};

// Log time applied per time passed over the rate window; nothing where too little was heard.
std::optional<double> speed(const std::deque<Sample>& history) {
    if (history.size() < 2) return std::nullopt;
    const auto span = history.back().at - history.front().at;
    if (span < kMinSpeedSpan) return std::nullopt;
    return num(history.back().position - history.front().position) / num(span);
}

void remember(std::deque<Sample>& history, Sample s) {
    if (!history.empty() && history.back().at == s.at) history.pop_back();
    history.push_back(s);
    const auto age = [&] { return s.at - history.front().at; };
    while (age() > kLongWindow || (age() > kRateWindow && history.size() > static_cast<std::size_t>(kSparse)))
        history.pop_front();
}

// How long what was heard last counts: the rate window, longer where samples come less often than that.
Micros rate_window(const std::deque<Sample>& history) {
    if (history.size() < 2) return kRateWindow;
    const auto gap = (history.back().at - history.front().at) / static_cast<Micros>(history.size() - 1);
    return std::clamp(kSparse * gap, kRateWindow, kLongWindow);
}

// ---- state ----
struct Out {
    Time sent_at;
    double expected_us, work;
};
struct Endpoint {
    EndpointId id = 0;
    int replica_group = 0, zone = 0;
    bool draining = false, first = true;  // first: of those that this router uses before others
    Time told_at = -1;                    // told draining or gone
    Role role = Role::unknown;
    Time role_at = -1;
    Time position = -1, heard_at = -1;  // the lag record: position and when it was learned ...
    Micros lag = 0;                     // ... and how far behind the primary's it was then
    std::deque<Sample> history;
    std::map<std::pair<RequestId, int>, Out> out;
    double out_work = 0;        // seconds of usual service in flight
    double slowness = 1;        // smoothed latency over the usual of its class
    Rate carried{kLongWindow};  // seconds of usual service done per second
    Time answered_at = -1, judged_at = 0;
    bool ejected = false;
    int cuts = 0, unheard = 0;  // since the last answer: connections broken or not made, attempts in vain
    Time ejected_at = 0, trial_at = 0;
    Micros trial_wait = kTrialFirst;
    Time cold_since = -1, cold_at = -1;
    double cold_credit = 0;
};
struct Attempt {
    EndpointId endpoint;
    bool open = true, may_have_run = true;
};
struct Request {
    Arrival a;
    Time arrived, required = 0, hold_until = 0;
    std::vector<Attempt> attempts = {};
    int open = 0;
    bool queued = false, trial = false, erred = false;
    RejectionReason blocked =
        RejectionReason::no_eligible_endpoint;  // why the last look found no member for it
    Time first_risk = -1;                       // sending of the first attempt that may have run
    int risk_zone = 0;
};
struct ReplicaGroup {
    int id = 0;
    std::vector<EndpointId> members;
    std::optional<EndpointId> primary;
    Time primary_position = -1, passed = 0;
    std::deque<Sample> commits;  // the primary's positions
    Time committed_at = -1, searched_at = -1, probed_at = -1, lost_at = -1, rated_at = 0;
    Rate offered;                                   // writes, refused ones included
    std::vector<Rate> reads_offered, reads_served;  // by class
    Time throttled_until = -1;
    Rate write_worth, short_worth;  // worth offered in writes; lost in reads for want of a new member
    double ratio = 1, credit = 1, member_rate = 0;
    std::vector<std::deque<RequestId>> waiting;  // by class
};

}  // namespace

class Router::Impl {
public:
    Impl(Settings s, std::uint64_t seed)
        : set_(std::move(s)), random_(seed), poll_backoff_(set_), startup_phase_(set_) {
        validate(set_);
        key_ = set_.router_index >= 0 ? static_cast<std::uint64_t>(set_.router_index) : seed;
        usual_.reserve(set_.classes.size());
        for (const auto& c : set_.classes) {
            usual_.push_back(num(c.latency_objective_us) / 5);
            const Micros half =
                c.consistency == Consistency::bounded_staleness ? c.staleness_bound_us / 2 : target_;
            target_ = target_ ? std::min(target_, half) : half;
        }
        if (!target_) target_ = kNoBoundTarget;
        probe_every_ = std::max(kProbeEvery, set_.router_count * kProbeShare);
        // Where servers check reads, who has no position yet tries one: what probes tell is worth less there.
        if (set_.position_check != PositionCheck::none)
            first_probe_ = std::min(1.0, kFirstProbes / set_.router_count);
    }

    void step(Time now, const std::vector<Event>& events, std::vector<Action>& actions) {
        now_ = now;
        actions_ = &actions;
        if (begun_ < 0) start();
        for (const auto& e : events) std::visit([this](const auto& x) { on(x); }, e);
        pump();
    }

    std::size_t ejected_endpoint_count() const {
        std::size_t out = 0;
        for (const auto& [id, s] : endpoints_)
            out += (s.ejected || zones_.is_silent(s.zone)) && s.told_at < 0;
        return out;
    }

private:
    double unit() { return std::uniform_real_distribution<>()(random_); }
    static std::size_t index(const Request& r) { return static_cast<std::size_t>(r.a.request_class); }
    const RequestClassSettings& request_class(const Request& r) const { return set_.classes[index(r)]; }
    double usual(const Request& r) const { return usual_[index(r)]; }
    double work_of(const Request& r) const { return usual(r) / 1e6; }  // seconds
    void log(const char* what, const Endpoint& s, const char* why = "") {
        actions_->emplace_back(
            Log{what + std::to_string(s.id) + " replica group " + std::to_string(s.replica_group) + why});
    }
    template <class Map>
    static auto* find(Map& map, const typename Map::key_type& id) {
        const auto it = map.find(id);
        return it == map.end() ? nullptr : &it->second;
    }
    Request* find_request(RequestId id) { return find(requests_, id); }
    // None while its zone is silent: it may well be there still, and is used again as soon as it is heard.
    Endpoint* primary(const ReplicaGroup& g) {
        auto* p = g.primary ? find(endpoints_, *g.primary) : nullptr;
        return p && !zones_.is_silent(p->zone) ? p : nullptr;
    }

    void start() {
        begun_ = now_;
        actions_->emplace_back(SetTimer{kTick, kTickToken});
        if (set_.discovery_is_polled)
            actions_->emplace_back(SetTimer{poll_backoff_.first_poll_delay(unit()), kWatchToken});
    }

    // ---- events ----
    void on(const Arrival& a) {
        if (a.request_class < 0 || static_cast<std::size_t>(a.request_class) >= set_.classes.size()) {
            actions_->emplace_back(Reject{a.request, 0, RejectionReason::unknown_class});
            return;
        }
        auto& r = requests_[a.request] = Request{a, now_};
        r.required = required_position(r);
        deadlines_.emplace(a.deadline, a.request);
        retry_credit_ = std::min(kRetryMost, retry_credit_ + kRetryPerArrival);
        auto& g = group(a.replica_group);
        startup_phase_.on_request(g.id);
        if (g.probed_at < 0 && set_.health_checks_allowed) probe_all(g, first_probe_);
        const bool write = request_class(r).is_write;
        if (write) g.write_worth.add(now_, request_class(r).priority_weight);
        if (write && !admit_write(g)) return refuse(r, throttle_wait(g), RejectionReason::write_throttled);
        if (!write && !admit_read(g, r)) return give_up(r, RejectionReason::read_not_admitted);
        dispatch(r);
    }

    void on(const AttemptEnded& e) {
        auto* s = find(endpoints_, e.endpoint);
        if (s) {
            settle(*s, e);
            learn(*s, e.reported_status);
            learn(*s, e.status);
        }
        auto* found = find_request(e.request);
        if (!found) return;
        auto& r = *found;
        if (e.attempt < 0 || static_cast<std::size_t>(e.attempt) >= r.attempts.size()) return;
        auto& attempt = r.attempts[static_cast<std::size_t>(e.attempt)];
        if (attempt.open) --r.open;
        attempt.open = false;
        attempt.may_have_run = !proves_not_run(e.outcome);
        if (e.outcome == Outcome::ok && request_class(r).is_write) {
            group(r.a.replica_group).committed_at = now_;
            mark_write(r, e.status.position.value_or(now_));
        }
        if (e.request_ended) return close(r, e.outcome == Outcome::ok ? e.attempt : -1);
        if (now_ >= r.a.deadline) return give_up(r, RejectionReason::deadline_exceeded);
        if (r.open > 0) return;
        if (!may_send_again(r)) return give_up(r, RejectionReason::not_retryable);
        // An error from a second server is the request's own: guards the retry budget and the servers against
        // requests that fail everywhere. Harm: where two servers fail for their own reasons the read is lost.
        if (e.outcome == Outcome::error && std::exchange(r.erred, true))
            return give_up(r, RejectionReason::repeated_error, set_.max_retry_after_us);
        if (e.outcome != Outcome::not_eligible) {
            if (retry_credit_ < 1) return give_up(r, RejectionReason::retry_budget_exhausted, advice(r));
            retry_credit_ -= 1;
        }
        dispatch(r);
    }

    void on(const AnswerStarted& e) {  // the answer is the client's; how long the rest takes says nothing
        on(AttemptEnded{e.request, e.attempt, e.endpoint, Outcome::ok, e.latency_us, true, false, {}, {}});
    }
    void on(const ClientDisconnected& e) {
        if (auto* r = find_request(e.request)) close(*r, -1);
    }
    void on(const TimerFired& e) {
        if (e.token == kWatchToken) actions_->emplace_back(PollDiscovery{});
        if (e.token != kTickToken) return;
        upkeep();
        actions_->emplace_back(SetTimer{kTick, kTickToken});
    }
    void on(const HealthCheckEnded& e) {
        auto* s = find(endpoints_, e.endpoint);
        if (!s || e.outcome != Outcome::ok) return;
        if (zones_.is_silent(s->zone)) heard(*s);  // else an answer to a probe says little of how it serves
        learn(*s, e.reported_status);
    }

    // ---- answers: every send, refusal and failure passes here and is checked against the rules ----
    bool risky(const Request& r) const {
        return std::any_of(r.attempts.begin(), r.attempts.end(),
                           [](const Attempt& a) { return a.may_have_run; });
    }
    bool may_refuse(const Request& r) const {
        const auto& c = request_class(r);
        const bool keyed =
            c.idempotency == Idempotency::keyed && c.idempotency_scope == IdempotencyScope::fleet;
        return c.idempotency == Idempotency::idempotent || keyed || !risky(r);
    }
    bool may_send_again(const Request& r) const {
        const auto& c = request_class(r);
        if (static_cast<int>(r.attempts.size()) >= set_.max_attempts || now_ >= r.a.deadline) return false;
        if (r.open > 0 && !set_.hedging_allowed) return false;
        if (c.idempotency == Idempotency::idempotent || !risky(r)) return true;
        return window_left(r) > 0;
    }
    std::optional<Micros> window_left(const Request& r) const {  // for a repeat of what may have run
        if (request_class(r).idempotency != Idempotency::keyed || !risky(r)) return std::nullopt;
        return request_class(r).idempotency_window_us - kRepeatMargin - (now_ - r.first_risk);
    }
    bool may_use(const Request& r, const Endpoint& s) const {
        if (s.replica_group != r.a.replica_group || s.told_at >= 0) return false;
        return request_class(r).idempotency_scope != IdempotencyScope::zone || !window_left(r) ||
               s.zone == r.risk_zone;
    }
    bool send(Request& r, Endpoint& s, Micros cap) {
        if (!may_send_again(r) || !may_use(r, s)) return false;
        const double work = work_of(r);
        const auto within = window_left(r);
        if (request_class(r).idempotency != Idempotency::idempotent && !risky(r))
            r.first_risk = now_, r.risk_zone = s.zone;
        s.out[{r.a.request, static_cast<int>(r.attempts.size())}] =
            Out{now_, usual(r) * std::max({1.0, spread_, slowness(s)}), work};
        s.out_work += work, busy_[s.id] = &s;
        if (is_cold(s)) s.cold_credit -= work;
        r.attempts.push_back(Attempt{s.id});
        ++r.open, r.queued = false, r.blocked = RejectionReason::no_eligible_endpoint;
        actions_->emplace_back(Forward{r.a.request, s.id, cap, within});
        return true;
    }
    void refuse(Request& r, Micros wait, RejectionReason cause) {
        if (!set_.retry_after_supported) wait = 0;
        if (may_refuse(r))
            actions_->emplace_back(Reject{r.a.request, std::min(wait, set_.max_retry_after_us), cause});
        else
            actions_->emplace_back(Fail{r.a.request, cause});
        close(r, -1);
    }
    Micros advice(const Request& r) const {
        return us(kRetryShare * num(request_class(r).latency_objective_us));
    }
    void give_up(Request& r, RejectionReason cause, Micros wait = 0) {
        if (r.blocked == RejectionReason::too_stale)
            group(r.a.replica_group).short_worth.add(now_, request_class(r).priority_weight);
        if (!wait) wait = us(num(advice(r)) * (0.5 + unit()));
        refuse(r, wait, cause);
    }
    void close(Request& r, int answered) {
        judge_read(r, answered >= 0);
        if (set_.cancel_allowed)
            for (std::size_t i = 0; i < r.attempts.size(); ++i)
                if (r.attempts[i].open && static_cast<int>(i) != answered)
                    actions_->emplace_back(Cancel{r.a.request, static_cast<int>(i)});
        requests_.erase(r.a.request);
    }

    // ---- list ----
    void on(const EndpointList& l) {
        if (l.kind == EndpointListKind::failed || !l.entries) {
            actions_->emplace_back(
                SetTimer{poll_backoff_.delay_after_failure(l.failed_poll, unit()), kWatchToken});
            return;
        }
        if (l.kind != EndpointListKind::cached)
            startup_phase_.on_list_received(), poll_backoff_.on_list_received();
        if (l.kind != EndpointListKind::changes)
            for (auto& [id, s] : endpoints_)
                if (std::none_of(l.entries->begin(), l.entries->end(),
                                 [id = id](const EndpointEntry& e) { return e.endpoint == id; }))
                    told_gone(s);
        for (const auto& e : *l.entries) apply(e);
        for (auto& [id, g] : groups_) draw_subset(g);
    }
    void draw_subset(ReplicaGroup& g) {
        std::vector<SubsetCandidate> all;
        for (const auto id : g.members)
            if (endpoints_[id].first = false; endpoints_[id].told_at < 0)
                all.push_back({id, endpoints_[id].zone});
        for (const auto id : select_subset(key_, set_.zone, all, set_.router_count))
            endpoints_[id].first = true;
    }
    void apply(const EndpointEntry& e) {
        const bool known = endpoints_.count(e.endpoint) > 0;
        if (!known && e.state == EndpointState::removed) return;
        auto& s = endpoints_[e.endpoint];
        if (!known) {
            s.id = e.endpoint, s.replica_group = e.replica_group, s.zone = e.zone;
            auto& members = group(e.replica_group).members;
            members.insert(std::lower_bound(members.begin(), members.end(), e.endpoint), e.endpoint);
        }
        if (e.state == EndpointState::removed) return told_gone(s);
        if (e.started_at > 0 && e.started_at > s.cold_since &&
            now_ - e.started_at < set_.slow_start_duration_us) {
            make_cold(s, e.started_at);
            s.trial_at = now_;  // it runs again: no need to wait for the next trial
        }
        s.draining = e.state == EndpointState::draining;
        if (!s.draining || s.told_at < 0) s.told_at = s.draining ? now_ : -1;
        if (set_.listed_role == ListedRole::none || !e.listed_primary) return;
        auto& g = group(e.replica_group);
        if (!g.primary && s.role != Role::replica && s.told_at < 0) g.primary = s.id;
    }
    void told_gone(Endpoint& s) {
        s.draining = false;
        if (s.told_at < 0 && !set_.removal_is_advisory) s.told_at = now_;
        auto& g = group(s.replica_group);
        // Where being gone is advice only, a primary that answers stays one: the list may be wrong.
        if (g.primary == s.id && !set_.removal_is_advisory) lose_primary(g, " removed");
    }
    ReplicaGroup& group(int id) {
        auto& g = groups_[id];
        if (g.waiting.empty()) {
            g.id = id, g.passed = begun_;
            g.waiting.resize(set_.classes.size());
            g.reads_offered.assign(set_.classes.size(), Rate(kServedWindow));
            g.reads_served = g.reads_offered;
        }
        return g;
    }
    static bool awaited(const ReplicaGroup& g) {
        return std::any_of(g.waiting.begin(), g.waiting.end(), [](const auto& q) { return !q.empty(); });
    }
    // Each member with that chance: of a budget for all routers each has a share, mostly less than one probe.
    void probe_all(ReplicaGroup& g, double chance) {
        g.probed_at = now_;
        for (const auto id : g.members)
            if (endpoints_[id].told_at < 0 && (chance >= 1 || unit() < chance))
                actions_->emplace_back(StartHealthCheck{id});
    }

    // ---- lag record ----
    void learn(Endpoint& s, const ReplicationStatus& st) {
        auto& g = group(s.replica_group);
        if (st.position && *st.position <= now_) {
            if (*st.position >= s.position) {
                s.position = *st.position, s.heard_at = now_;
                remember(s.history, {now_, s.position});
            }
            if (st.role == Role::primary && *st.position > g.primary_position) {
                g.primary_position = *st.position;
                remember(g.commits, {now_, *st.position});
            }
            s.lag = std::max<Micros>(0, (g.primary ? now_ : g.primary_position) - s.position);
        }
        // A report older than the answer that named the replica: guards against a role that flips.
        const bool old = st.role == Role::primary && s.role == Role::replica && st.position < s.role_at;
        if (st.role == Role::unknown || (st.position && old)) return;
        s.role_at = now_;
        startup_phase_.on_role_reported(g.id);
        if (st.role == Role::primary) {
            const bool newest = !st.position || *st.position >= g.primary_position;
            if (g.primary == s.id || !newest) return;
            // Without a primary positions stand still; a speed across that time would set a false throttle.
            if (g.lost_at >= 0 || g.primary) {
                g.commits.clear();
                for (const auto id : g.members) endpoints_[id].history.clear();
            }
            s.role = Role::primary;
            g.primary = s.id;
            log("primary found: endpoint ", s);
        } else {
            s.role = Role::replica;
            if (g.primary == s.id) lose_primary(g, " now a replica");
        }
    }
    // The position a server can be taken to have by now. Where servers do not check reads, only a position
    // that was told counts; where they do, it is carried on at the speed last seen.
    Time position_now(const Endpoint& s) const {
        if (s.position < 0) return -1;
        const auto& g = groups_.at(s.replica_group);
        if (set_.position_check == PositionCheck::none || !g.primary) return s.position;
        const double v = std::clamp(speed(s.history).value_or(1.0), 0.0, 1.0);
        return std::min<Time>(now_, s.position + static_cast<Time>(v * num(now_ - s.heard_at)));
    }
    Time required_position(const Request& r) {
        if (request_class(r).consistency == Consistency::linearizable) return r.arrived;
        if (request_class(r).consistency != Consistency::session) return 0;
        if (set_.last_write_age_reported)
            return r.a.last_write_age_us ? r.arrived - *r.a.last_write_age_us + 1000 : 0;
        const auto it = marks_.find({r.a.replica_group, r.a.session});
        return it == marks_.end() ? group(r.a.replica_group).passed : it->second;
    }
    void mark_write(const Request& r, Time position) {
        if (!r.a.session) return;
        auto& mark = marks_[{r.a.replica_group, r.a.session}];
        mark = std::max(mark, position);
    }
    // A mark may go once all members have passed it. The newest such still binds sessions without a mark: a
    // member that joins later may start from an older copy.
    void forget_past() {
        forgot_at_ = now_;
        std::map<int, Time> passed;
        for (auto it = endpoints_.begin(); it != endpoints_.end();) {
            const auto& s = it->second;
            const bool left = s.told_at >= 0 && !s.draining;
            if (!left)
                passed[s.replica_group] =
                    std::min(passed.emplace(s.replica_group, now_).first->second, s.position);
            // Guards against growth where members are replaced for good.
            const bool past = left && s.out.empty() && now_ - s.told_at > kForgetAfter;
            auto& members = group(s.replica_group).members;
            if (past) members.erase(std::find(members.begin(), members.end(), s.id));
            it = past ? endpoints_.erase(it) : std::next(it);
        }
        for (auto it = marks_.begin(); it != marks_.end();) {
            auto& g = group(it->first.first);
            const bool past = it->second < passed[g.id];
            if (past) g.passed = std::max(g.passed, it->second);
            it = past ? marks_.erase(it) : std::next(it);
        }
    }
    // Whether reads may take its data for the present.
    bool proven(const Endpoint& p) const {
        return p.role == Role::primary || startup_phase_.trusts_listed_primary();
    }
    bool meets(const Endpoint& s, const Request& r) const {
        const auto& c = request_class(r);
        if (!c.is_write && c.consistency == Consistency::any) return true;
        const auto& g = groups_.at(s.replica_group);
        if (g.primary == s.id && (c.is_write || proven(s))) return true;
        if (c.is_write) return false;
        const Time need =
            c.consistency == Consistency::bounded_staleness ? now_ - c.staleness_bound_us : r.required;
        if (need <= 0) return true;
        const bool checked = set_.position_check != PositionCheck::none;
        const Time at = position_now(s);
        if (at < 0) return checked;
        const Micros patience =
            set_.position_check == PositionCheck::wait && c.consistency != Consistency::bounded_staleness
                ? set_.position_wait_us / 2
                : 0;
        return at + patience >= need;
    }

    // ---- write throttle (the design's mechanism) ----
    // A group is throttled while its slowest heard replica lags past the target; writes are then admitted at
    // the offered rate x apply speed / commit speed. Entries lapse unless renewed.
    void renew_throttle(ReplicaGroup& g) {
        const auto commit = speed(g.commits);
        if (!commit || !g.primary || g.committed_at < now_ - rate_window(g.commits)) return;
        const Endpoint* slowest = nullptr;
        for (const auto id : g.members) {
            const auto& s = endpoints_[id];
            if (s.told_at >= 0 || s.ejected || g.primary == id || s.heard_at < now_ - rate_window(s.history))
                continue;
            // Departure: one that stands still is paused or behind a long query; refusals move nothing.
            if (speed(s.history).value_or(1) < kStandstill) continue;
            if (s.heard_at >= 0 && (!slowest || s.lag > slowest->lag)) slowest = &s;
        }
        if (slowest && slowest->lag > target_) {
            const auto apply = speed(slowest->history);
            // Departure: past the target the ratio alone holds the lag; target / lag drains it. Guards
            // against replicas that hover at the bound; could refuse writes for a lag that reads outlive.
            const double drain = std::max(kDrainLeast, num(target_) / num(slowest->lag));
            const double ratio =
                drain * std::clamp(apply.value_or(1) / std::max(*commit, kFloorSpeed), 0.0, 1.0);
            // Departure: a replica that the reads do not need starves no writes. The entry is set only while
            // reads given up for want of a new member are worth more than the writes it would refuse. Guards
            // dear writes against any cause of lag; could let lag grow while reads can do without.
            if (apply && g.short_worth.per_second(now_) > (1 - ratio) * g.write_worth.per_second(now_)) {
                if (now_ >= g.throttled_until) log("write throttle active: slowest ", *slowest);
                g.ratio = ratio;
                g.throttled_until = now_ + kThrottleLapse;
            }
        }
    }
    bool admit_write(ReplicaGroup& g) {
        g.offered.add(now_, 1);
        if (now_ >= g.throttled_until) return true;
        g.credit = std::min(2.0, g.credit + g.ratio);
        if (g.credit < 1) return false;
        g.credit -= 1;
        return true;
    }
    Micros throttle_wait(const ReplicaGroup& g) {  // when the excess would fit
        const double rate = std::max(0.1, g.offered.per_second(now_) * g.ratio);
        return us((1 - g.credit + unit()) / rate * 1e6) + kTick;
    }

    // Departure: the design's formula for reads of a class, with those served in time as what is sustained.
    // Limits by work in flight say nothing where each of many routers has a request or two out. Guards
    // against overload of any cause and jams of late answers; could refuse reads after an outage is over.
    bool admit_read(ReplicaGroup& g, const Request& r) {
        const double prior = std::max(kServedPrior, kServedPriorShare * set_.router_count);
        const double served = kServedMost * g.reads_served[index(r)].seen(now_) + prior;
        const double offered = g.reads_offered[index(r)].seen(now_) + prior;
        if (unit() < std::max(kServedLeast, served / offered)) return true;
        g.reads_offered[index(r)].add(now_, 1);
        return false;
    }
    void judge_read(const Request& r, bool served) {
        if (request_class(r).is_write) return;
        const bool late = now_ - r.arrived > request_class(r).latency_objective_us;
        auto& g = group(r.a.replica_group);
        if (served || late) g.reads_offered[index(r)].add(now_, 1);
        if (served && !late) g.reads_served[index(r)].add(now_, 1);
    }

    // ---- primary ----
    void lose_primary(ReplicaGroup& g, const char* why) {
        if (!g.primary) return;
        log("primary lost: endpoint ", endpoints_[*g.primary], why);
        g.primary.reset(), g.lost_at = now_;
    }
    // With no primary known, now and then one write goes to a member that may be it; others decline.
    Endpoint* search_primary(ReplicaGroup& g, const Request& r) {
        const Micros every = std::max(kSearchEvery, set_.router_count * kSearchShare);
        if (now_ - g.searched_at < (g.primary ? kSearchSpared : 1) * every) return nullptr;
        Endpoint* drawn = nullptr;
        int count = 0;
        for (const auto id : g.members) {
            auto& s = endpoints_[id];
            if (s.ejected || zones_.is_silent(s.zone)) continue;
            if (s.role == Role::replica && now_ - s.role_at < kRoleStale) continue;
            if (!may_use(r, s) || !cold_room(s, work_of(r))) continue;
            if (unit() * ++count < 1) drawn = &s;
        }
        if (drawn) g.searched_at = now_;
        return drawn;
    }

    // ---- cold starts ----
    static void make_cold(Endpoint& s, Time since) { s.cold_since = since, s.cold_at = -1; }
    double warm_share(const Endpoint& s) const {
        if (s.cold_since < 0 || now_ - s.cold_since >= set_.slow_start_duration_us) return 1;
        const double age = num(now_ - s.cold_since) / num(set_.slow_start_duration_us);
        return set_.slow_start_min_capacity_ratio +
               (1 - set_.slow_start_min_capacity_ratio) * std::max(0.0, age);
    }
    bool is_cold(const Endpoint& s) const { return warm_share(s) < 1; }
    // What a member carries for this router, smoothed: below its capacity. It sinks only while all are well:
    // in trouble those not yet known to be dead carry nothing, which says nothing of what a member can do.
    void rate_members(ReplicaGroup& g) {
        g.rated_at = now_;
        double sum = 0, count = 0, warm = 0;
        for (const auto id : g.members) {
            const auto& s = endpoints_[id];
            if (s.told_at >= 0) continue;
            ++count;
            if (s.ejected || is_cold(s)) continue;
            sum += s.carried.per_second(now_);
            ++warm;
        }
        const double rate = warm > 0 ? sum / warm : 0;
        if (g.member_rate == 0) g.member_rate = rate;
        if (rate > g.member_rate || warm == count) g.member_rate += kMemberStep * (rate - g.member_rate);
    }
    // Work flows to a cold server at its warm-up share of that; where it is less than one request at a time,
    // in turns: from a random start, open as the credit comes in, lost if not taken soon. Guards against
    // small shares of many routers making a burst; could leave a server idle where requests are rare.
    bool cold_room(Endpoint& s, double work) {
        if (!is_cold(s)) return true;
        const double push = std::max(1.0, kColdPush * set_.overload_multiple) * warm_share(s);
        const double rate =
            push * std::max(kColdFloor / set_.router_count, groups_.at(s.replica_group).member_rate);
        if (s.cold_at < 0) s.cold_at = now_, s.cold_credit = unit() * work;
        s.cold_credit += rate * num(now_ - s.cold_at) / 1e6;
        s.cold_at = now_;
        const double budget = set_.overload_multiple * num(set_.overload_window_us) / 1e6;
        const double limit = work + rate * kColdSaved * budget;
        if (s.cold_credit > limit) s.cold_credit = limit - work + std::fmod(s.cold_credit - limit, work);
        return s.cold_credit >= work;
    }

    // ---- health ----
    void settle(Endpoint& s, const AttemptEnded& e) {
        const auto it = s.out.find({e.request, e.attempt});
        if (it == s.out.end()) return;
        const auto out = it->second;
        if (s.out.erase(it); s.out.empty()) busy_.erase(s.id);
        s.out_work = s.out.empty() ? 0 : s.out_work - out.work;
        const bool answered = e.outcome == Outcome::ok || e.outcome == Outcome::not_eligible ||
                              e.outcome == Outcome::overloaded || e.outcome == Outcome::error;
        if (answered) heard(s);
        if (e.outcome == Outcome::timeout || e.outcome == Outcome::connect_failed)
            ++s.unheard, zones_.on_timeout(now_, s.zone, s.id, num(e.latency_us), out.expected_us);
        if (e.outcome == Outcome::ok) s.carried.add(now_, out.work);
        // A time-out is a latency too: guards against members that answer a few well and lose the rest.
        const auto* r = find_request(e.request);
        if (r && (e.outcome == Outcome::ok || e.outcome == Outcome::timeout)) {
            auto& u = usual_[index(*r)];
            const double seen = num(e.latency_us) / u;
            u = std::min(u * (seen > 1 ? 1.01 : 0.99),
                         kUsualMost * num(request_class(*r).latency_objective_us));
            judge_speed(s, seen);
            if (answered) spread_ += kFasterStep * (std::min(seen, kSlowMost) - spread_);
        }
        if (e.outcome == Outcome::overloaded || e.outcome == Outcome::error) judge_speed(s, kSlowMost);
        // Several in a row: a flaky network breaks single connections, and stale ones break when used again.
        const bool cut = e.outcome == Outcome::connect_failed || e.outcome == Outcome::reset;
        if (cut && !e.on_reused_connection && ++s.cuts >= kCutsInARow) eject(s, true);
    }
    // Where answers come seldom the last one is most of what is known, and what it said ages.
    void judge_speed(Endpoint& s, double seen) {
        const double news = std::min(kNewsMost, 1 - std::exp(-num(now_ - s.judged_at) / kLongWindow));
        const double was = slowness(s), step = std::max(seen > was ? kSlowerStep : kFasterStep, news);
        s.slowness = std::max(kSlowLeast, was + step * (std::min(seen, kSlowMost) - was));
        s.judged_at = now_;
    }
    double slowness(const Endpoint& s) const {
        return 1 + (s.slowness - 1) * std::exp(-num(now_ - s.judged_at) / kLongWindow);
    }
    void heard(Endpoint& s) {
        s.answered_at = now_, s.cuts = s.unheard = 0;
        if (s.ejected) restore(s);
        if (!zones_.on_answer(now_, s.zone)) return;
        log("zone restored: endpoint ", s);
        for (auto& [id, other] : endpoints_)
            if (other.zone == s.zone) other.trial_at = now_;
    }
    // Its members are used again as soon as one of them answers a probe; without probes none is left out.
    void judge_zones() {
        if (!set_.health_checks_allowed) return;
        std::vector<ZoneHealth::PendingAttempt> waiting;
        for (const auto& [id, s] : busy_)
            for (const auto& [key, out] : s->out)
                waiting.push_back({s->zone, id, out.sent_at, out.expected_us});
        for (const int zone : zones_.find_newly_silent(now_, waiting)) {
            actions_->emplace_back(Log{"zone silent: " + std::to_string(zone)});
            copy_from(zone);
        }
        for (const int zone : zones_.due_health_checks(now_, set_.router_count, unit())) {
            Endpoint* drawn = nullptr;
            int count = 0;
            for (auto& [id, s] : endpoints_)
                if (s.zone == zone && s.told_at < 0 && unit() * ++count < 1) drawn = &s;
            if (drawn) actions_->emplace_back(StartHealthCheck{drawn->id});
        }
    }
    // Reads that wait in a zone fallen silent get a copy elsewhere, paid for like any further try.
    void copy_from(int zone) {
        std::vector<RequestId> waiting;
        for (const auto& [id, r] : requests_)
            if (r.open == 1 && request_class(r).idempotency == Idempotency::idempotent &&
                endpoints_[r.attempts.back().endpoint].zone == zone)
                waiting.push_back(id);
        std::sort(waiting.begin(), waiting.end());
        for (const auto id : waiting) {
            auto& r = requests_.at(id);
            if (retry_credit_ < 1) return;
            if (auto* s = choose(r); s && send(r, *s, 0)) retry_credit_ -= 1;
        }
    }
    void eject(Endpoint& s, bool cut) {
        if (s.ejected) return;
        s.ejected = true, s.ejected_at = now_;
        s.trial_at = now_ + (s.trial_wait = kTrialFirst);
        log("endpoint ejected: ", s, cut ? " disconnected" : " silent");
        if (auto& g = group(s.replica_group); g.primary == s.id) lose_primary(g, " no answer");
    }
    void restore(Endpoint& s) {
        log("endpoint restored: ", s);
        if (now_ - s.ejected_at > kShortAbsence) make_cold(s, now_);
        s.ejected = false, s.slowness = 1, s.judged_at = now_;
    }
    // How unlikely its silence is: the sum, over all it holds, of the time unanswered over the expected one.
    // Guards against verdicts on one slow request; slower to find a hung server that holds just one.
    bool silent(const Endpoint& s) const {
        double evidence = 0, longest = 0, expected = 1e18;
        for (const auto& [key, out] : s.out) {
            const double unanswered = num(now_ - std::max(out.sent_at, s.answered_at));
            evidence += unanswered / out.expected_us;
            longest = std::max(longest, unanswered);
            expected = std::min(expected, out.expected_us);
        }
        // One alone may wait behind others' work, of which a router that sends it little knows nothing.
        return evidence > kSilenceEvidence && s.out.size() + static_cast<std::size_t>(s.unheard) > 1 &&
               longest > std::max<double>(kMinSilence, kSilenceFactor * expected);
    }

    // ---- choosing a server ----
    bool room(Endpoint& s, const Request& r, double share) {
        const double work = work_of(r);
        const double wait = (usual(r) + kRoomShare * num(request_class(r).latency_objective_us)) / 1e6;
        const double most = work * std::max(kFloorLeast, kFloorRequests / set_.router_count) +
                            s.carried.per_second(now_) * wait;
        return s.out_work + work <= most * share && cold_room(s, work);
    }
    double weight(const Endpoint& s, const Request& r, bool is_primary) const {
        double w = 1 / std::pow(slowness(s) * (s.out_work + work_of(r)) / warm_share(s), kDrawPower);
        if (is_primary) w *= kPrimaryReadWeight;
        if (set_.cross_zone_cost > 0 && s.zone != set_.zone) w *= 0.5;
        return w;
    }
    Endpoint* choose(Request& r) {
        auto& g = group(r.a.replica_group);
        auto* p = primary(g);
        if (request_class(r).is_write) {
            r.blocked = RejectionReason::no_primary;
            if (!p) return search_primary(g, r);
            if (!may_use(r, *p)) return nullptr;
            if (room(*p, r, 1)) return p;
            return r.blocked = is_cold(*p) ? RejectionReason::slow_start : RejectionReason::at_capacity,
                   nullptr;
        }
        const bool fresh =
            request_class(r).consistency == Consistency::linearizable && p && !p->ejected && proven(*p);
        if (fresh && may_use(r, *p) && room(*p, r, 1)) return p;
        return choose_for_read(g, r);
    }
    Endpoint* choose_for_read(ReplicaGroup& g, Request& r) {
        Endpoint *drawn = nullptr, *least_slow = nullptr;
        double total = 0;
        r.blocked = RejectionReason::no_eligible_endpoint;
        const auto blocked = [&r](RejectionReason c) { r.blocked = std::max(r.blocked, c); };
        const bool apart = request_class(r).consistency == Consistency::any &&
                           usual(r) > kLongRead * *std::min_element(usual_.begin(), usual_.end());
        for (std::size_t i = 0; i < 2 * g.members.size(); ++i) {
            if (i == g.members.size() && (drawn || least_slow)) break;  // else all that are not of the subset
            const auto id = g.members[i % g.members.size()];
            auto& s = endpoints_[id];
            if (s.first != (i < g.members.size())) continue;
            if (!may_use(r, s) || (!r.attempts.empty() && r.attempts.back().endpoint == id)) continue;
            if (!meets(s, r)) {
                if (!s.ejected)
                    blocked(room(s, r, 1) ? RejectionReason::too_stale : RejectionReason::at_capacity);
                continue;
            }
            if (zones_.is_silent(s.zone)) {
                blocked(RejectionReason::ejected);
                continue;
            }
            if (s.ejected) {
                blocked(RejectionReason::ejected);
                if (!cold_room(s, work_of(r)) || !trial_due(s, r)) continue;
                r.trial = true;
                return &s;
            }
            const bool crowded =
                slowness(s) * usual(r) >= kCrowded * num(request_class(r).latency_objective_us);
            const bool is_primary = g.primary == id,
                       spared = is_primary && request_class(r).consistency != Consistency::linearizable;
            if ((spared && (crowded || is_cold(s))) || !room(s, r, spared ? kPrimaryReadRoom : 1)) {
                blocked(is_cold(s) ? RejectionReason::slow_start : RejectionReason::at_capacity);
                continue;
            }
            if (apart && !is_primary) {
                if (!crowded) return &s;
                if (!least_slow || slowness(s) < slowness(*least_slow)) least_slow = &s;
            }
            const double w = weight(s, r, is_primary);
            total += w;
            if (unit() * total <= w) drawn = &s;
        }
        return least_slow ? least_slow : drawn;
    }
    bool trial_due(Endpoint& s, const Request& r) {
        if (now_ < s.trial_at || request_class(r).idempotency != Idempotency::idempotent ||
            !r.attempts.empty())
            return false;
        s.trial_wait = std::min(kTrialMost, s.trial_wait * 3 / 2);
        s.trial_at = now_ + s.trial_wait;
        return true;
    }
    void dispatch(Request& r) {
        r.trial = false;
        auto* s = choose(r);
        const Micros cap =
            r.trial ? std::max<Micros>(request_class(r).latency_objective_us / 2, us(2 * usual(r))) : 0;
        if (s && send(r, *s, cap)) return;
        hold(r);
    }

    // ---- waiting ----
    void hold(Request& r) {
        if (r.queued) return;
        auto& g = group(r.a.replica_group);
        const bool write = request_class(r).is_write;
        const auto need = us(1.5 * usual(r));
        const auto patience = us(kHoldShare * num(request_class(r).latency_objective_us));
        r.hold_until = r.a.deadline - need;
        if (!write || primary(g))
            r.hold_until = std::min(r.hold_until, std::max(r.arrived, now_ - patience) + patience);
        // Writes wait for a primary only up to what it can clear in time, taken to be what a member carries.
        const double clears = g.member_rate * kClearShare * num(r.a.deadline - now_);
        const bool overfull = write && !primary(g) &&
                              num(g.waiting[index(r)].size()) * usual(r) > clears + kWaitLeast * usual(r);
        if (r.hold_until <= now_ || overfull) return give_up(r, r.blocked);
        r.queued = true;
        g.waiting[index(r)].push_back(r.a.request);
    }
    void pump() {
        const auto order = by_value();
        for (auto& [id, g] : groups_)
            for (const auto k : order) pump_class(g.waiting[k]);
    }
    void pump_class(std::deque<RequestId>& queue) {
        int looked = 0;
        for (std::size_t i = 0; i < queue.size() && looked < kScanMost; ++looked) {
            auto* found = find_request(queue[i]);
            const bool left = !found || !found->queued, over = !left && now_ >= found->hold_until;
            if (over) give_up(*found, found->blocked);
            auto* s = left || over ? nullptr : choose(*found);
            if (left || over || (s && send(*found, *s, 0)))
                queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(i));
            else
                ++i;
        }
    }
    std::vector<std::size_t> by_value() const {  // dearest per work first
        std::vector<std::size_t> order(set_.classes.size());
        for (std::size_t i = 0; i < order.size(); ++i) order[i] = i;
        std::stable_sort(order.begin(), order.end(), [this](std::size_t a, std::size_t b) {
            return set_.classes[a].priority_weight / usual_[a] > set_.classes[b].priority_weight / usual_[b];
        });
        return order;
    }

    // ---- upkeep ----
    void upkeep() {
        if (const auto text = startup_phase_.take_transition(now_ - begun_))
            actions_->emplace_back(Log{*text});
        for (const auto& [id, s] : busy_)
            if (!s->ejected && silent(*s)) eject(*s, false);
        judge_zones();
        for (auto& [id, g] : groups_) {
            renew_throttle(g);
            if (now_ - g.rated_at > kRateEvery) rate_members(g);
            const bool known = g.primary && proven(endpoints_[*g.primary]);
            if (!known && g.probed_at >= 0 && set_.health_checks_report_status &&
                now_ - g.probed_at > probe_every_ && (probe_every_ == kProbeEvery || awaited(g)))
                probe_all(g, 1);
        }
        while (!deadlines_.empty() && deadlines_.top().first <= now_ + 2 * kTick) {
            const auto [at, id] = deadlines_.top();
            deadlines_.pop();
            auto* r = find_request(id);
            if (r && r->open == 0) give_up(*r, r->queued ? r->blocked : RejectionReason::deadline_exceeded);
        }
        if (now_ - forgot_at_ > kRateWindow) forget_past();
    }

    Settings set_;
    std::mt19937_64 random_;
    std::uint64_t key_ = 0;  // tells this router from the others
    Micros target_ = 0, probe_every_ = kProbeEvery;
    Time now_ = 0, forgot_at_ = 0;
    Time begun_ = -1;  // what was written before it this process does not know of
    double retry_credit_ = kRetryMost / 4, first_probe_ = 1;
    double spread_ = 1;  // smoothed latency of those who answer, over the usual of their class
    std::vector<Action>* actions_ = nullptr;
    std::vector<double> usual_;  // us; usual latency of each class
    std::map<EndpointId, Endpoint> endpoints_;
    std::map<EndpointId, Endpoint*> busy_;  // those with attempts out: the rest is not looked at every tick
    std::map<int, ReplicaGroup> groups_;
    ZoneHealth zones_;
    PollBackoff poll_backoff_;
    StartupPhase startup_phase_;
    std::unordered_map<RequestId, Request> requests_;
    std::map<std::pair<int, SessionId>, Time> marks_;
    using Deadline = std::pair<Time, RequestId>;
    std::priority_queue<Deadline, std::vector<Deadline>, std::greater<>> deadlines_;
};

Router::Router(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;
std::size_t Router::ejected_endpoint_count() const { return impl_->ejected_endpoint_count(); }
void Router::step(Time now, const std::vector<Event>& events, std::vector<Action>& actions) {
    impl_->step(now, events, actions);
}

}  // namespace sloestack::decision
