#include "sessions/client_listener.h"

#include <algorithm>

#include "log/log.h"

namespace sloestack::downstream {
namespace {

constexpr Micros kPause = 20'000;  // of the listener, when there are no descriptors
constexpr int kRestingShare = 3;   // of the clients' share, that many times over: what may rest for long
constexpr Micros kRestsInCrowd = 100'000;  // beyond it, connections rest only so long
constexpr Micros kTidyEvery = 50'000;
constexpr Micros kComplainEvery = 1'000'000;
// After a stop. The proxy may be killed once the longest wait of any client, counted as 3 s at most, and 0.7
// s more have passed; nothing may be unanswered then.
constexpr Micros kLongestWait = 3'000'000;
constexpr Micros kStillComing = 500'000;  // how long the front may still send clients
constexpr Micros kLastArrival = 100'000;  // and how long after the last of them the listener goes
constexpr Micros kRests = 500'000;        // a connection not used for that long is closed early
constexpr Micros kLeaveEarly = 800'000;   // before the longest wait is over: from then on all are closed
constexpr Micros kLastAnswer = 500'000;   // after it, what still waits is told that it has failed
constexpr Micros kLastLinger = 100'000;   // and its connection is closed whether the client has ended or not
constexpr Micros kLook = 50'000;

}  // namespace

ClientListener::ClientListener(net::Loop& loop, Deadlines& deadlines, const Quotas& quotas,
                               net::ByteAccount& account, net::Room& room, metrics::RequestMetrics& numbers,
                               const Entrance& at, traffic::RequestDispatcher& dispatcher,
                               std::vector<std::string> class_names, std::vector<bool> class_overlaps,
                               bool sessions_named, Micros longest_wait, std::uint64_t seed)
    : loop_(loop),
      deadlines_(deadlines),
      quota_(quotas.clients),
      overflow_(quotas.overflow),
      lingering_(quotas.lingering),
      at_(at),
      office_{loop,
              deadlines,
              dispatcher,
              account,
              room,
              quotas.clients,
              lingering_,
              numbers,
              std::move(class_names),
              std::move(class_overlaps),
              sessions_named,
              CancelKeys(seed)},
      longest_wait_(std::min(longest_wait, kLongestWait)) {}

ClientListener::~ClientListener() = default;

// Clients bound how many connections they hold. Guards them against having all of theirs taken up by clients
// that ask once and keep their connection: the longest at rest are closed until few enough are left.
void ClientListener::tidy() {
    const Time now = deadlines_.now();
    auto resting = std::count_if(sessions_.begin(), sessions_.end(),
                                 [](const auto& s) { return s->has_asked() && s->rests(); });
    for (auto it = sessions_.begin(); it != sessions_.end() && resting * kRestingShare > quota_.most();) {
        auto& s = **it++;  // closing takes it off the list
        if (!s.has_asked() || s.quiet_since() > now - kRestsInCrowd || !s.rests()) continue;
        s.finish();
        --resting;
    }
    tidy_.set(deadlines_, now + kTidyEvery, [this] { tidy(); });
}

void ClientListener::open() {
    if (stopping_since_) return;
    tidy();
    const auto take = [this](evutil_socket_t fd) { accepted(fd); };
    const auto none_left = [this] { out_of_descriptors(); };
    listener_ = at_.passed_socket
                    ? std::make_unique<net::Listener>(loop_, *at_.passed_socket, take, none_left)
                    : std::make_unique<net::Listener>(loop_, at_.address, take, none_left);
}

void ClientListener::accepted(evutil_socket_t fd) {
    accepted_at_ = deadlines_.now();
    auto slot = quota_.take();
    if (!slot && make_room()) slot = quota_.take();
    const bool turned_away = !slot;
    if (turned_away) slot = overflow_.take();
    auto session = std::make_unique<Session>(office_, static_cast<SessionOwner&>(*this), fd, std::move(slot),
                                             turned_away);
    if (!session->opened()) return;
    auto& s = *session;
    places_[&s] = sessions_.insert(sessions_.end(), std::move(session));
    if (quota_.full() && overflow_.full()) out_of_descriptors();
}

// Neither a descriptor nor a share of them is left: those who come wait in the kernel's queue for a moment.
void ClientListener::out_of_descriptors() {
    const Time now = deadlines_.now();
    if (now - complained_at_ > kComplainEvery) {
        complained_at_ = now;
        log::line("out of descriptors", std::to_string(sessions_.size()) + " clients");
    }
    if (!listener_) return;
    listener_->pause();
    resume_.set(deadlines_, now + kPause, [this] {
        if (quota_.full() && overflow_.full()) return out_of_descriptors();
        if (listener_) listener_->resume();
    });
}

// Who only stands at the door goes first, then whoever has idled longest: guards the clients' share against
// those that come by the hundreds and say nothing.
bool ClientListener::make_room() {
    // Its descriptor is wanted now: the longest to linger gives its own, and is closed as it would be in a
    // moment.
    if (lingering_.full()) {
        const auto oldest =
            std::find_if(sessions_.begin(), sessions_.end(), [](const auto& s) { return s->lingers(); });
        if (oldest == sessions_.end()) return false;
        (*oldest)->close();
    }
    for (const auto may_go : {&Session::idles_at_the_door, &Session::rests})
        for (auto& s : sessions_)
            if ((s.get()->*may_go)()) {
                s->finish();
                return true;
            }
    return false;
}

void ClientListener::fit() {
    int many = quota_.taken() - quota_.most();
    for (auto it = sessions_.begin(); many > 0 && it != sessions_.end();) {
        auto& s = **it++;  // closing takes it off the list
        if (!s.rests()) continue;
        s.finish();
        --many;
    }
}

void ClientListener::stop(bool succeeded) {
    if (stopping_since_) return;
    succeeded_ = succeeded;
    stopping_since_ = deadlines_.now();
    office_.linger_until = stopping_since_ + longest_wait_ + kLastAnswer + kLastLinger;
    log::line("stopping", std::to_string(sessions_.size()) + " clients connected");
    wind_down();
}

// Clients may go on with the connections they have, and where the other proxies are being started anew there
// is nowhere else for them to go: so those in use are closed late, those that rest early, each between
// requests.
void ClientListener::wind_down() {
    const Time now = deadlines_.now(), stopped_for = now - stopping_since_;
    if (listener_ && (succeeded_ || (stopped_for >= kStillComing && now >= accepted_at_ + kLastArrival)))
        stop_listening();
    // Closed right behind its answer a connection crosses no query; with a successor that can begin at once.
    const bool last_moment = stopped_for >= std::max(kStillComing, longest_wait_ - kLeaveEarly);
    office_.closing = succeeded_ || last_moment;
    const bool at_once = stopped_for >= longest_wait_ + kLastAnswer;
    if (at_once) stop_listening();
    for (auto it = sessions_.begin(); it != sessions_.end();) {
        auto& s = **it++;  // closing takes it off the list
        if (at_once)
            s.abandon();
        else if (s.between_requests() && (last_moment || s.quiet_since() < now - kRests))
            s.finish();
    }
    stop_.set(deadlines_, now + kLook, [this] { wind_down(); });
}

void ClientListener::stop_listening() {
    resume_.clear();
    if (!listener_) return;
    // Those that the kernel has taken already are served or told; once nothing listens they would be reset.
    listener_->take_all();
    listener_.reset();
}

void ClientListener::used(Session& session) {
    sessions_.splice(sessions_.end(), sessions_, places_.at(&session));
}

void ClientListener::over(Session& session) {
    const auto place = places_.find(&session);
    if (place == places_.end()) return;
    loop_.delete_later(std::move(*place->second));
    sessions_.erase(place->second);
    places_.erase(place);
}

}  // namespace sloestack::downstream
