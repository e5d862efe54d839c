#include "hot_restart/hot_restart.h"

#include <algorithm>
#include <utility>

#include "hot_restart/unix_socket.h"
#include "log/log.h"

namespace sloestack::hot_restart {
namespace {

using Role = PeerConnection::Role;

constexpr Micros kHandshakeTimeoutUs = 2'500'000;  // the platform waits 6 s for a new process to become ready
constexpr Micros kMaxShrinkTimeUs = 1'000'000;     // how long a predecessor may take to get within its share
constexpr Micros kShareCheckIntervalUs = 10'000;

const char* log_subject(Role role) { return role == Role::successor ? "successor" : "predecessor"; }

}  // namespace

HotRestart::HotRestart(net::Loop& loop, Deadlines& deadlines, std::string path, HotRestartHandler& handler)
    : loop_(loop),
      deadlines_(deadlines),
      path_(std::move(path)),
      handler_(handler),
      acknowledgements_(deadlines) {}
HotRestart::~HotRestart() = default;

void HotRestart::start() {
    const auto fd = connect_unix_socket(path_);
    if (!fd) return start_serving();
    auto predecessor = open_peer(*fd, Role::predecessor);
    if (!predecessor) return start_serving();
    predecessor->send(HandshakeRequest{true});
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
    handler_.on_handover_complete();
}

// Replaces the predecessor's socket at the path. The predecessor has its connection to this process by now
// and no longer needs the path.
void HotRestart::listen() {
    try {
        const auto fd = listen_on_unix_socket(path_);
        listener_ = std::make_unique<net::Listener>(
            loop_, fd, [this](evutil_socket_t peer) { on_accepted(peer); }, [] {});
    } catch (const SocketError& error) {
        log::line("hot restart socket unavailable", error.what());
    }
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
        if (!peer->knows_session_writes() || peer->sent_status() == has_one_peer) continue;
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
    log::line("successor", "connected");
    peer.on_handshake_request(deadlines_.now());
    if (request.knows_session_writes) peer.set_knows_session_writes();
    report_process_count();
    update_session_write_reports();
    for (const auto& endpoint : handler_.excluded_endpoints()) peer.send(ExclusionUpdate{true, endpoint, 0});
    complete_handshake_within_share(peer);
}

void HotRestart::handle(PeerConnection&, const HandshakeComplete&) {
    log::line("predecessor", "handover complete");
    start_serving();
}

void HotRestart::handle(PeerConnection& peer, const ExclusionUpdate& update) {
    handler_.on_exclusion_update(update.endpoint, update.excluded);
    broadcast({update.excluded, update.endpoint, 0}, &peer);
    peer.send(Acknowledgement{update.sequence});
}

void HotRestart::handle(PeerConnection& peer, const Acknowledgement& acknowledgement) {
    acknowledgements_.on_acknowledged(peer, acknowledgement.sequence);
}

void HotRestart::handle(PeerConnection& peer, const SessionWriteStatus& status) {
    peer.set_knows_session_writes();
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

void HotRestart::send_session_write(const decision::SessionWrite& write) {
    for (const auto& peer : peers_)
        if (peer->is_joined() && peer->knows_session_writes()) peer->send(write);
}

void HotRestart::receive_now() {
    std::vector<PeerConnection*> peers;  // a peer that disconnects is erased from peers_ and destroyed later
    for (const auto& peer : peers_) peers.push_back(peer.get());
    for (auto* peer : peers) peer->receive_now();
}

void HotRestart::on_event_loop_delayed() {
    for (const auto& peer : peers_) {
        if (!peer->is_joined() || !peer->knows_session_writes()) continue;
        peer->set_reports_session_writes(false);
        peer->send(SessionWriteStatusRequest{});
    }
    update_session_write_reports();
}

}  // namespace sloestack::hot_restart
