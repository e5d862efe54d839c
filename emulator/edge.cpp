#include "emulator/edge.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <utility>

namespace emulator {
namespace {

namespace net = sloestack::net;
constexpr int kBacklog = 1024;

}  // namespace

void Pipe::put(std::string_view bytes, Time now, const Condition& c, Random& random) {
    Time at = now;
    if (c.bytes_per_s > 0) {
        free_at_ = std::max(free_at_, now) +
                   static_cast<Time>(static_cast<double>(bytes.size()) * 1e6 / c.bytes_per_s);
        at = free_at_;
    }
    at += c.delay;
    while (c.loss > 0 && at < now + 60 * kRetransmissionTimeout && random.unit() < c.loss)
        at += kRetransmissionTimeout;
    newest_at_ = std::max(newest_at_, at);  // bytes arrive in order
    pieces_.push_back({newest_at_, std::string(bytes)});
}

std::optional<Time> Pipe::next(const Condition& c) const {
    if (pieces_.empty() || c.cut) return std::nullopt;
    return pieces_.front().at;
}

std::string Pipe::take(Time now, const Condition& c) {
    std::string out;
    while (!pieces_.empty() && !c.cut && pieces_.front().at <= now) {
        out += pieces_.front().bytes;
        pieces_.pop_front();
    }
    return out;
}

Line::Line(const Host& host, const Edge& edge, evutil_socket_t accepted, std::size_t max_unread_bytes,
           net::ConnectionEvents& events)
    : host_(host), edge_(edge), events_(events) {
    connection_ = net::Connection::from_socket(host.loop, accepted, max_unread_bytes, *this);
}

Line::Line(const Host& host, const Edge& edge, const sockaddr_in& to, std::size_t max_unread_bytes,
           net::ConnectionEvents& events)
    : host_(host), edge_(edge), events_(events) {
    if (edge.cut()) return;
    connection_ = net::Connection::open(host.loop, to, max_unread_bytes, *this);
    if (!connection_)
        next_.set(host.deadlines, host.deadlines.now(), [this] { ended(net::ConnectionEnd::error); });
}

template <class Callback>
bool Line::alive_after(Callback callback) {
    const auto alive = std::weak_ptr<bool>(alive_);
    callback();
    return !alive.expired();
}

void Line::connected() { events_.connected(); }

void Line::received() {
    const auto bytes = connection_->peek();
    const auto size = bytes.size();
    if (edge_.in.clear() && in_.empty()) {
        unread_.append(bytes);
        connection_->consume(size);
        events_.received();
        return;
    }
    in_.put(bytes, host_.deadlines.now(), edge_.in, host_.random);
    connection_->consume(size);
    schedule_delivery();
}

void Line::write(std::string_view bytes) {
    if (!connection_) return;
    if (edge_.out.clear() && out_.empty()) return connection_->write(bytes);
    out_.put(bytes, host_.deadlines.now(), edge_.out, host_.random);
    schedule_delivery();
}

// The end is reported after the bytes still in flight have arrived, and not while the direction is cut.
void Line::ended(net::ConnectionEnd how) {
    pending_end_ = how;
    connection_.reset();
    on_edge_changed();
}

void Line::on_edge_changed() {
    const auto alive = std::weak_ptr<bool>(alive_);
    deliver_due();
    if (!alive.expired()) schedule_delivery();
}

void Line::deliver_due() {
    const auto now = host_.deadlines.now();
    const auto out = out_.take(now, edge_.out);
    if (connection_ && !out.empty()) connection_->write(out);
    const auto in = in_.take(now, edge_.in);
    unread_ += in;
    if (!in.empty() && !alive_after([this] { events_.received(); })) return;
    if (pending_end_ && in_.empty() && !edge_.in.cut && !std::exchange(end_reported_, true)) {
        const auto how = *pending_end_;
        events_.ended(how);
    }
}

void Line::schedule_delivery() {
    const auto in = in_.next(edge_.in), out = out_.next(edge_.out);
    if (!in && !out) return next_.clear();
    const auto at = in && out ? std::min(*in, *out) : in ? *in : *out;
    next_.set(host_.deadlines, at, [this] { on_edge_changed(); });
}

Port::Port(net::Loop& loop, const sockaddr_in& at, std::function<void(evutil_socket_t)> accepted) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    socklen_t size = sizeof at_;
    if (fd_ < 0 || bind(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 ||
        listen(fd_, kBacklog) != 0 || getsockname(fd_, reinterpret_cast<sockaddr*>(&at_), &size) != 0) {
        const std::string reason = std::strerror(errno);
        if (fd_ >= 0) close(fd_);
        throw std::runtime_error("emulator: cannot listen: " + reason);
    }
    listener_ = std::make_unique<net::Listener>(loop, fd_, std::move(accepted), [] {});
}

Port::~Port() {
    if (blocker_ >= 0) close(blocker_);
}

// With a full backlog the kernel drops the SYN of every further connection, as if the host were unreachable.
void Port::cut(bool on) {
    if (on == (blocker_ >= 0)) return;
    if (on) {
        listener_->pause();
        listen(fd_, 0);
        blocker_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (connect(blocker_, reinterpret_cast<const sockaddr*>(&at_), sizeof at_) != 0 &&
            errno != EINPROGRESS)
            throw std::runtime_error(std::string("emulator: cannot block a port: ") + std::strerror(errno));
    } else {
        close(std::exchange(blocker_, -1));
        listen(fd_, kBacklog);
        listener_->resume();
    }
}

}  // namespace emulator
