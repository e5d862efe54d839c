#include "connection_pool/pool.h"

#include <algorithm>

#include "invariant/invariant.h"

namespace sloestack::upstream {
namespace {

using decision::EndpointListKind;
using decision::EndpointState;
using decision::Outcome;

constexpr traffic::RequestId kProbes = 0;  // no request has this number
constexpr Micros kProbeTimeout = 250'000;
constexpr Micros kIdleMargin = 1'000'000;  // ours close this much before the members' would
// How long a link rests after an answer before it carries the next query. Guards against a second copy or
// noise that comes a moment behind an answer and would be read as the next one.
constexpr Micros kRest = 20'000;
constexpr Micros kNextPart = 150'000;  // from one part of an answer to the next: members write it in one go
constexpr Micros kNextPiece = 5'000'000;  // the same of a value passed on in pieces, which may come slowly

}  // namespace

struct Pool::Member {
    traffic::EndpointId id = 0;
    std::optional<sockaddr_in> address;
    bool leaving = false;  // the list says that it drains or is gone: nothing new goes there
    bool gone = false;
    Links links;                // all of them
    std::vector<Link*> idle;    // the one used last at the back
    std::deque<Job*> waiting;   // for a connection, first come first served
    std::size_t coming_up = 0;  // links that are not up yet
    std::size_t resting = 0;    // and those that have just answered
};

struct Pool::Job {
    traffic::Attempt attempt;
    Member* member = nullptr;
    Link* link = nullptr;  // while its query is out
    Time sent_at = 0;
    bool on_reused_connection = false;  // its link had answered before
    Deadline connect_by, give_up_at;
    bool is_probe() const { return attempt.request == kProbes; }
};

Pool::Pool(net::Loop& loop, Deadlines& deadlines, net::Quota& quota, PoolSettings settings,
           traffic::AttemptListener& results, metrics::RequestMetrics& numbers)
    : loop_(loop),
      deadlines_(deadlines),
      quota_(quota),
      settings_(std::move(settings)),
      results_(results),
      numbers_(numbers) {}
Pool::~Pool() = default;

// ---- the list ----
void Pool::listed(EndpointListKind kind, const std::vector<traffic::ListedEndpoint>& entries) {
    if (kind != EndpointListKind::changes)
        for (auto& [id, member] : members_)
            if (std::none_of(entries.begin(), entries.end(),
                             [id = id](const auto& e) { return e.endpoint.endpoint == id; }))
                member->gone = true, member->leaving = !settings_.removal_is_advisory;
    for (const auto& e : entries) {
        auto& slot = members_[e.endpoint.endpoint];
        if (!slot) slot = std::make_unique<Member>();
        auto& m = *slot;
        m.id = e.endpoint.endpoint;
        const auto address = net::parse_address(e.address);
        const bool moved = address && m.address &&
                           (address->sin_addr.s_addr != m.address->sin_addr.s_addr ||
                            address->sin_port != m.address->sin_port);
        if (address) m.address = address;
        m.gone = e.endpoint.state == EndpointState::removed;
        m.leaving = e.endpoint.state == EndpointState::draining || (m.gone && !settings_.removal_is_advisory);
        if (moved)
            while (!m.idle.empty()) drop(*m.idle.back());
        if (moved)
            for (const auto& link : m.links) by_link_.at(link.get()).outdated = true;
    }
    for (auto& [id, member] : members_)
        if (member->leaving) take_back(*member);
    for (auto it = members_.begin(); it != members_.end();) {
        auto& m = *it->second;
        it = m.gone && m.links.empty() && m.waiting.empty() ? members_.erase(it) : std::next(it);
    }
}

// Nothing new goes to one that leaves: what still waits for a connection is the module's to decide again.
void Pool::take_back(Member& member) {
    while (!member.idle.empty()) drop(*member.idle.back());
    const auto waiting = std::exchange(member.waiting, {});
    for (auto* job : waiting) end(*job, Outcome::expired);
}

// ---- attempts and probes ----
void Pool::send(const traffic::Attempt& attempt) {
    auto job = std::make_unique<Job>();
    job->attempt = attempt;
    enqueue(std::move(job));
}

void Pool::start_health_check(traffic::EndpointId endpoint) {
    auto job = std::make_unique<Job>();
    job->attempt.number = probes_++;
    job->attempt.endpoint = endpoint;
    job->attempt.timeout_at = deadlines_.now() + kProbeTimeout;
    enqueue(std::move(job));
}

void Pool::enqueue(std::unique_ptr<Job> owned) {
    const auto key = std::pair{owned->attempt.request, owned->attempt.number};
    auto& job = *owned;
    jobs_[key] = std::move(owned);
    job.sent_at = deadlines_.now();
    const auto member = members_.find(job.attempt.endpoint);
    if (member == members_.end() || !member->second->address) return end(job, Outcome::connect_failed);
    job.member = member->second.get();
    if (!may_begin(job)) return end(job, Outcome::expired);
    job.give_up_at.set(deadlines_, job.attempt.timeout_at, [this, &job] { give_up(job, Outcome::timeout); });
    job.connect_by.set(deadlines_, job.sent_at + settings_.connect_timeout_us,
                       [this, &job] { give_up(job, Outcome::connect_failed); });
    job.member->waiting.push_back(&job);
    serve_waiting(*job.member);
}

// Gives waiting attempts the idle links, then has as many links coming up as attempts still wait.
void Pool::serve_waiting(Member& member) {
    while (!member.waiting.empty() && !member.idle.empty()) {
        auto& link = *member.idle.back();
        if (!link.reusable()) {  // it has closed, though no callback said so yet
            drop(link);
            continue;
        }
        auto& job = *member.waiting.front();
        member.waiting.pop_front();
        if (begin(link, job)) member.idle.pop_back();
    }
    while (member.coming_up < member.waiting.size()) {
        if (open_link(member)) continue;
        // No descriptor: nothing has been sent, and none of these can be.
        auto& job = *member.waiting.back();
        member.waiting.pop_back();
        end(job, Outcome::expired);
    }
}

bool Pool::open_link(Member& member) {
    auto slot = quota_.take();
    if (!slot && close_an_idle_link()) slot = quota_.take();
    if (!slot) return false;
    auto link = settings_.link(*member.address, std::move(slot), static_cast<LinkEvents&>(*this));
    if (!link->opened()) return false;
    auto& l = *link;
    member.links.push_back(std::move(link));
    by_link_[&l] = Place{&member, std::prev(member.links.end()), nullptr, false, false};
    ++member.coming_up;
    l.deadline.set(deadlines_, deadlines_.now() + settings_.connect_timeout_us, [this, &l] {
        Answer none;
        link_broken(l, none, false);
    });
    return true;
}

void Pool::fit() {
    while (quota_.over() && close_an_idle_link()) {
    }
}

bool Pool::close_an_idle_link() {
    Member* most = nullptr;
    for (auto& [id, m] : members_)
        if (!m->idle.empty() && (!most || m->idle.size() > most->idle.size())) most = m.get();
    if (!most) return false;
    // The front has stood longest. Destroyed now, not later: its descriptor is wanted at once.
    auto& link = *most->idle.front();
    const auto place = by_link_.at(&link);
    most->idle.erase(most->idle.begin());
    by_link_.erase(&link);
    most->links.erase(place.at);
    return true;
}

// The one check before an attempt's first byte, first or further, that has waited for its connection or not:
// the member stays, the window for repeats is open, time is left and the client is there.
bool Pool::may_begin(const Job& job) {
    if (job.member->leaving) return false;
    if (job.attempt.start_by && deadlines_.now() >= *job.attempt.start_by) return false;
    return job.is_probe() || results_.is_request_active(job.attempt.request);
}

bool Pool::begin(Link& link, Job& job) {
    if (!may_begin(job)) {
        end(job, Outcome::expired);
        return false;
    }
    job.connect_by.clear();
    job.link = &link;
    job.on_reused_connection = link.kept();
    by_link_.at(&link).job = &job;
    link.deadline.clear();
    if (job.is_probe())
        link.probe();
    else
        link.query(job.attempt.statement, job.attempt.timeout_at - deadlines_.now());
    return true;
}

void Pool::cancel_attempt(traffic::RequestId request, int number) {
    const auto job = jobs_.find({request, number});
    if (job != jobs_.end()) give_up(*job->second, Outcome::cancelled);
}

// Stops waiting for a connection or an answer. A link whose answer is still to come is closed with it.
void Pool::give_up(Job& job, Outcome outcome) {
    if (job.link) {
        if (!job.link->may_run() && outcome == Outcome::timeout) outcome = Outcome::expired;
        drop(*job.link);
    } else {
        auto& waiting = job.member->waiting;
        waiting.erase(std::remove(waiting.begin(), waiting.end(), &job), waiting.end());
        if (outcome == Outcome::timeout) outcome = Outcome::expired;
    }
    end(job, outcome);
}

void Pool::end(Job& job, Outcome outcome, Answer* answer) {
    const auto found = jobs_.find({job.attempt.request, job.attempt.number});
    if (!SLOESTACK_INVARIANT(found != jobs_.end(), "an attempt ends once")) return;
    const auto owned = std::move(found->second);
    jobs_.erase(found);
    const Micros latency = deadlines_.now() - job.sent_at;
    if (job.is_probe()) {
        decision::HealthCheckEnded e;
        e.endpoint = job.attempt.endpoint;
        e.outcome = outcome;
        e.latency_us = latency;
        if (answer && answer->value) e.reported_status = read_load(answer->value->bytes);
        return results_.on_health_check_ended(e);
    }
    decision::AttemptEnded e;
    e.request = job.attempt.request;
    e.attempt = job.attempt.number;
    e.endpoint = job.attempt.endpoint;
    e.outcome = outcome;
    e.latency_us = latency;
    e.on_reused_connection = job.on_reused_connection;
    std::optional<traffic::ResultValue> value;
    if (answer) {
        e.status = answer->status;
        e.reported_status = answer->reported_status;
        if (outcome == Outcome::ok) value = std::move(answer->value);
    }
    results_.on_attempt_ended(e, std::move(value));
}

// ---- links ----
void Pool::drop(Link& link) {
    const auto found = by_link_.find(&link);
    if (found == by_link_.end()) return;
    auto& member = *found->second.member;
    if (!link.is_up()) --member.coming_up;
    if (found->second.resting) --member.resting;
    member.idle.erase(std::remove(member.idle.begin(), member.idle.end(), &link), member.idle.end());
    auto owned = std::move(*found->second.at);
    member.links.erase(found->second.at);
    by_link_.erase(found);
    owned->close();
    loop_.delete_later(std::move(owned));
}

void Pool::rest(Member& member, Link& link) {
    if (!link.reusable()) {
        drop(link);
        return serve_waiting(member);
    }
    by_link_.at(&link).resting = true;
    ++member.resting;
    link.deadline.set(deadlines_, deadlines_.now() + kRest, [this, &link] {
        auto& place = by_link_.at(&link);
        place.resting = false;
        --place.member->resting;
        became_idle(*place.member, link);
    });
}

void Pool::became_idle(Member& member, Link& link) {
    if ((member.leaving || quota_.over()) && member.waiting.empty()) return drop(link);
    if (by_link_.at(&link).outdated) {
        drop(link);
        return serve_waiting(member);
    }
    member.idle.push_back(&link);
    const auto stands = std::max(settings_.idle_limit_us - kIdleMargin, settings_.idle_limit_us / 2);
    link.deadline.set(deadlines_, deadlines_.now() + stands, [this, &link] { drop(link); });
    serve_waiting(member);
}

void Pool::link_ready(Link& link) {
    auto& member = *by_link_.at(&link).member;
    --member.coming_up;
    became_idle(member, link);
}

void Pool::link_sent(Link& link) {
    const auto* job = by_link_.at(&link).job;
    if (job && !job->is_probe()) numbers_.count_attempt_sent(job->attempt.request_class);
}

// Once begun, an answer is the client's: it is not given up any more.
bool Pool::link_value_begins(Link& link, const traffic::ResultValue& head, std::size_t size) {
    auto& job = *by_link_.at(&link).job;
    const decision::AnswerStarted start{job.attempt.request, job.attempt.number, job.attempt.endpoint,
                                        deadlines_.now() - job.sent_at};
    if (!job.is_probe() && results_.on_answer_started(start, head, size, link)) {
        job.give_up_at.clear();
        return true;
    }
    give_up(job, Outcome::cancelled);
    return false;
}

void Pool::link_piece(Link& link, std::string_view bytes) {
    results_.on_value_chunk(by_link_.at(&link).job->attempt.request, bytes);
}

// A part of an answer that nothing follows would hold its request until the client gives up.
void Pool::link_answering(Link& link) {
    if (link.held()) return link.deadline.clear();  // it waits for the client, not for the member
    link.deadline.set(deadlines_, deadlines_.now() + (link.passes_on() ? kNextPiece : kNextPart),
                      [&link] { link.spoilt(); });
}

void Pool::link_answered(Link& link, Answer& answer) {
    link.deadline.clear();
    auto& place = by_link_.at(&link);
    auto* job = std::exchange(place.job, nullptr);
    job->link = nullptr;
    auto& member = *place.member;
    end(*job, *answer.outcome, &answer);
    rest(member, link);
}

void Pool::link_broken(Link& link, Answer& answer, bool turned_away) {
    const auto place = by_link_.at(&link);
    auto& member = *place.member;
    const bool was_up = link.is_up(), may_have_run = link.may_run();
    drop(link);
    if (place.job) {
        place.job->link = nullptr;
        const auto outcome = answer.outcome ? *answer.outcome
                             : may_have_run ? Outcome::reset
                                            : Outcome::connect_failed;
        return end(*place.job, outcome, answer.outcome ? &answer : nullptr);
    }
    if (was_up) return serve_waiting(member);  // what waited for it to have rested needs another
    // One link that would not come up takes one attempt with it; the others wait for theirs.
    if (member.waiting.size() <= member.coming_up) return;
    auto& job = *member.waiting.front();
    member.waiting.pop_front();
    end(job, turned_away ? Outcome::overloaded : Outcome::connect_failed);
}

}  // namespace sloestack::upstream
