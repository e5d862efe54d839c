#include "hot_restart/hot_restart.h"

#include <unistd.h>

#include <algorithm>
#include <utility>
#include <variant>

#include "hot_restart/unix_socket.h"
#include "log/log.h"

namespace sloestack::hot_restart {
namespace {

using Role = PeerConnection::Role;

constexpr Micros kHandshakeTimeoutUs = 2'500'000;  // the platform waits 6 s for a new process to become ready
constexpr Micros kMaxShrinkTimeUs = 1'000'000;     // how long a predecessor may take to get within its share
constexpr Micros kShareCheckIntervalUs = 10'000;
constexpr Micros kAcceptPauseUs = 20'000;  // after accept() has failed
constexpr Micros kConnectRetryIntervalUs = 10'000;
constexpr Micros kTakeoverTimeUs = 50'000;  // for an older process to notice that its successor has ended
constexpr Micros kPathCheckIntervalUs = 100'000;
constexpr std::ptrdiff_t kMaxIdsInReport = 2'000;  // a line has at most kMaxLineBytes

const char* log_subject(Role role) { return role == Role::successor ? "successor" : "predecessor"; }

}  // namespace

HotRestart::HotRestart(net::Loop& loop, Deadlines& deadlines, std::string path, HotRestartHandler& handler)
    : loop_(loop),
      deadlines_(deadlines),
      path_(std::move(path)),
      handler_(handler),
      acknowledgements_(deadlines) {}

// The next process must not take the socket for that of a process that has crashed.
HotRestart::~HotRestart() {
    if (listener_ && !is_file_replaced(path_, listener_file_)) unlink(path_.c_str());
}

void HotRestart::start() { connect_to_predecessor(deadlines_.now()); }

// If the process that listened at the path has ended, an older one may be about to listen there.
void HotRestart::connect_to_predecessor(Time started_at) {
    const auto result = connect_unix_socket(path_);
    if (const auto* fd = std::get_if<evutil_socket_t>(&result)) {
        auto predecessor = open_peer(*fd, Role::predecessor);
        if (predecessor) return request_handover(std::move(predecessor));
    }
    const auto* failure = std::get_if<ConnectFailure>(&result);
    if (failure && *failure == ConnectFailure::no_socket) return start_serving();
    const bool has_ended = failure && *failure == ConnectFailure::no_listener;
    const Time give_up_at = started_at + (has_ended ? kTakeoverTimeUs : kHandshakeTimeoutUs);
    const Time now = deadlines_.now();
    if (now >= give_up_at) return start_serving();
    connect_retry_.set(deadlines_, now + kConnectRetryIntervalUs,
                       [this, started_at] { connect_to_predecessor(started_at); });
}

void HotRestart::request_handover(std::unique_ptr<PeerConnection> predecessor) {
    predecessor->send(HandshakeRequest{true, false, true});
    peers_.push_back(std::move(predecessor));
    report_process_count();
    update_session_write_reports();
    // A predecessor that hangs must not prevent this process from serving.
    handshake_timeout_.set(deadlines_, deadlines_.now() + kHandshakeTimeoutUs, [this] {
        log::line("predecessor", "handshake timed out");
        start_serving();
    });
}

void HotRestart::start_serving() {
    if (state_ == State::serving) return;
    state_ = State::serving;
    handshake_timeout_.clear();
    listen();
    check_path_later();
    handler_.on_handover_complete();
}

// Replaces the socket at the path, if any. A predecessor has its connection to this process by now and no
// longer needs the path.
void HotRestart::listen() {
    try {
        const auto listener = listen_on_unix_socket(path_);
        listener_file_ = listener.file;
        listener_ = std::make_unique<net::Listener>(
            loop_, listener.socket, [this](evutil_socket_t peer) { on_accepted(peer); },
            [this] { accept_later(); });
        listen_error_.clear();
    } catch (const SocketError& error) {
        if (std::exchange(listen_error_, error.what()) != error.what())
            log::line("hot restart socket unavailable", error.what());
    }
}

void HotRestart::accept_later() {
    resume_accepting_.set(deadlines_, deadlines_.now() + kAcceptPauseUs, [this] { listener_->resume(); });
}

void HotRestart::check_path() {
    if (state_ != State::serving) return;
    if (!listener_) return listen();
    if (has_successor() || !is_file_replaced(path_, listener_file_)) return;
    const auto result = connect_unix_socket(path_);
    if (const auto* fd = std::get_if<evutil_socket_t>(&result)) return join_newer_process(*fd);
    if (std::get<ConnectFailure>(result) != ConnectFailure::temporary) listen();
}

void HotRestart::check_path_later() {
    path_check_.set(deadlines_, deadlines_.now() + kPathCheckIntervalUs, [this] {
        check_path();
        check_path_later();
    });
}

void HotRestart::join_newer_process(evutil_socket_t fd) {
    auto newer = open_peer(fd, Role::successor);
    if (!newer) return;
    log::line("successor", "joined");
    newer->join(deadlines_.now());
    newer->send(HandshakeRequest{true, true, true});
    send_exclusions(*newer);
    peers_.push_back(std::move(newer));
    report_process_count();
    update_session_write_reports();
}

void HotRestart::send_exclusions(PeerConnection& peer) {
    for (const auto& endpoint : handler_.excluded_endpoints()) peer.send(ExclusionUpdate{true, endpoint, 0});
}

// Sends at least one report, which tells the peer that this process understands them.
void HotRestart::send_request_ids(PeerConnection& peer) {
    const auto hashes = handler_.request_ids();
    auto next = hashes.begin();
    do {
        const auto count = std::min(kMaxIdsInReport, hashes.end() - next);
        peer.send(RequestIdReport{{next, next + count}});
        next += count;
    } while (next != hashes.end());
}

std::unique_ptr<PeerConnection> HotRestart::open_peer(evutil_socket_t fd, Role role) {
    auto peer = std::make_unique<PeerConnection>(loop_, fd, role, static_cast<PeerEvents&>(*this));
    return peer->is_open() ? std::move(peer) : nullptr;
}

void HotRestart::on_accepted(evutil_socket_t fd) {
    if (auto successor = open_peer(fd, Role::successor)) peers_.push_back(std::move(successor));
}

bool HotRestart::has_successor() const {
    return std::any_of(peers_.begin(), peers_.end(),
                       [](const auto& peer) { return peer->role() == Role::successor && peer->is_joined(); });
}

std::ptrdiff_t HotRestart::joined_count() const {
    return std::count_if(peers_.begin(), peers_.end(), [](const auto& peer) { return peer->is_joined(); });
}

void HotRestart::report_process_count() { handler_.on_process_count(1 + static_cast<int>(joined_count())); }

// Writes that a further peer acknowledges would reach this peer too late: they are not passed on.
void HotRestart::update_session_write_reports() {
    const bool has_one_peer = joined_count() == 1;
    bool are_complete = true;
    for (const auto& peer : peers_) {
        if (!peer->is_joined()) continue;
        are_complete = are_complete && peer->reports_session_writes();
        if (!peer->knows_session_messages() || peer->sent_status() == has_one_peer) continue;
        peer->sent_status() = has_one_peer;
        peer->send(SessionWriteStatus{has_one_peer});
    }
    if (std::exchange(reports_are_complete_, are_complete) == are_complete) return;
    log::line("session writes of other processes", are_complete ? "reported" : "not all reported");
    handler_.on_session_write_reports(are_complete);
}

void HotRestart::on_message(PeerConnection& peer, const Message& message) {
    std::visit([&](const auto& typed) { handle(peer, typed); }, message);
}

void HotRestart::handle(PeerConnection& peer, const HandshakeRequest& request) {
    if (peer.role() != Role::successor) return on_disconnected(peer);
    if (request.is_older) peer.set_role(Role::predecessor);
    log::line(log_subject(peer.role()), "connected");
    peer.join(deadlines_.now());
    if (request.knows_session_messages) peer.set_knows_session_messages();
    if (request.knows_request_ids) {
        peer.set_knows_request_ids();
        send_request_ids(peer);
    }
    report_process_count();
    update_session_write_reports();
    send_exclusions(peer);
    complete_handshake_within_share(peer);
}

void HotRestart::handle(PeerConnection& peer, const HandshakeComplete&) {
    if (peer.role() != Role::predecessor) return;  // this process has joined a newer one
    log::line("predecessor", "handover complete");
    start_serving();
}

void HotRestart::handle(PeerConnection& peer, const ExclusionUpdate& update) {
    // Passed on only if it changes something, because processes may be connected in a circle.
    const bool was_excluded = handler_.excluded_endpoints().count(update.endpoint) > 0;
    handler_.on_exclusion_update(update.endpoint, update.excluded);
    if (update.excluded != was_excluded) broadcast({update.excluded, update.endpoint, 0}, &peer);
    peer.send(Acknowledgement{update.sequence});
}

void HotRestart::handle(PeerConnection& peer, const Acknowledgement& acknowledgement) {
    acknowledgements_.on_acknowledged(peer, acknowledgement.sequence);
}

void HotRestart::handle(PeerConnection& peer, const SessionWriteStatus& status) {
    peer.set_knows_session_messages();
    peer.set_reports_session_writes(status.is_complete);
    update_session_write_reports();
}

void HotRestart::handle(PeerConnection& peer, const SessionWriteStatusRequest&) {
    peer.sent_status().reset();
    update_session_write_reports();
}

void HotRestart::handle(PeerConnection&, const decision::SessionWrite& write) {
    handler_.on_session_write(write);
}

void HotRestart::handle(PeerConnection&, const CancelRequest& request) {
    handler_.on_cancel_request(request);
}

void HotRestart::handle(PeerConnection& peer, const RequestIdReport& report) {
    for (const auto hash : report.hashes) handler_.on_request_id(hash);
    if (peer.knows_request_ids()) return;
    peer.set_knows_request_ids();
    send_request_ids(peer);
}

// Completes the handshake once this process is within its share of the limits, so that the successor can use
// its own share in full.
void HotRestart::complete_handshake_within_share(PeerConnection& successor) {
    const bool overdue = deadlines_.now() - successor.joined_at() > kMaxShrinkTimeUs;
    if (handler_.is_within_share() || overdue) return successor.send(HandshakeComplete{});
    successor.handshake_retry().set(deadlines_, deadlines_.now() + kShareCheckIntervalUs,
                                    [this, &successor] { complete_handshake_within_share(successor); });
}

void HotRestart::on_disconnected(PeerConnection& peer) {
    const auto found =
        std::find_if(peers_.begin(), peers_.end(), [&](const auto& each) { return each.get() == &peer; });
    if (found == peers_.end()) return;
    loop_.delete_later(std::move(*found));  // one of its functions may be on the call stack
    peers_.erase(found);
    peer.close();
    log::line(log_subject(peer.role()), "disconnected");
    acknowledgements_.on_peer_lost(peer);
    report_process_count();
    update_session_write_reports();
    // The predecessor may have ended before the handshake was complete.
    if (peer.role() == Role::predecessor) start_serving();
    check_path();
}

HotRestart::Peers HotRestart::broadcast(const ExclusionUpdate& update, const PeerConnection* except) {
    Peers recipients;
    for (const auto& peer : peers_) {
        if (peer.get() == except || !peer->is_joined()) continue;
        peer->send(update);
        recipients.insert(peer.get());
    }
    return recipients;
}

void HotRestart::send_exclusion_update(const std::string& endpoint, bool excluded,
                                       std::function<void()> done) {
    const auto sequence = ++last_sequence_;
    auto recipients = broadcast({excluded, endpoint, sequence}, nullptr);
    acknowledgements_.expect(sequence, std::move(recipients), std::move(done));
}

void HotRestart::send_about_sessions(const Message& message) {
    for (const auto& peer : peers_)
        if (peer->is_joined() && peer->knows_session_messages()) peer->send(message);
}

void HotRestart::send_request_id(std::uint64_t hash) {
    for (const auto& peer : peers_)
        if (peer->is_joined() && peer->knows_request_ids()) peer->send(RequestIdReport{{hash}});
}

void HotRestart::receive_now() {
    std::vector<PeerConnection*> peers;  // a peer that disconnects is erased from peers_ and destroyed later
    for (const auto& peer : peers_) peers.push_back(peer.get());
    for (auto* peer : peers) peer->receive_now();
}

void HotRestart::on_event_loop_delayed() {
    for (const auto& peer : peers_) {
        if (!peer->is_joined() || !peer->knows_session_messages()) continue;
        peer->set_reports_session_writes(false);
        peer->send(SessionWriteStatusRequest{});
    }
    update_session_write_reports();
}

}  // namespace sloestack::hot_restart
