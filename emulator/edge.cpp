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

// ---- the pipe ----
void Pipe::put(std::string_view bytes, Time now, const Condition& c, Random& random) {
    Time at = now;
    if (c.bytes_per_s > 0) {
        free_ =
            std::max(free_, now) + static_cast<Time>(static_cast<double>(bytes.size()) * 1e6 / c.bytes_per_s);
        at = free_;
    }
    at += c.delay;
    while (c.loss > 0 && at < now + 60 * kSentAgain && random.unit() < c.loss) at += kSentAgain;
    last_ = std::max(last_, at);  // nothing overtakes
    pieces_.push_back({last_, std::string(bytes)});
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

// ---- the line ----
Line::Line(const Host& host, const Edge& edge, evutil_socket_t accepted, std::size_t most_unread,
           net::ConnectionEvents& events)
    : host_(host), edge_(edge), events_(events) {
    connection_ = net::Connection::from_socket(host.loop, accepted, most_unread, *this);
}

Line::Line(const Host& host, const Edge& edge, const sockaddr_in& to, std::size_t most_unread,
           net::ConnectionEvents& events)
    : host_(host), edge_(edge), events_(events) {
    if (edge.cut()) return;
    connection_ = net::Connection::open(host.loop, to, most_unread, *this);
    if (!connection_)
        next_.set(host.deadlines, host.deadlines.now(), [this] { ended(net::ConnectionEnd::error); });
}

template <class Tell>
bool Line::alive_after(Tell tell) {
    const auto alive = std::weak_ptr<bool>(alive_);
    tell();
    return !alive.expired();
}

void Line::connected() { events_.connected(); }

void Line::received() {
    const auto bytes = connection_->peek();
    const auto size = bytes.size();
    if (edge_.in.clear() && in_.empty()) {
        arrived_.append(bytes);
        connection_->consume(size);
        events_.received();
        return;
    }
    in_.put(bytes, host_.deadlines.now(), edge_.in, host_.random);
    connection_->consume(size);
    plan();
}

void Line::write(std::string_view bytes) {
    if (!connection_) return;
    if (edge_.out.clear() && out_.empty()) return connection_->write(bytes);
    out_.put(bytes, host_.deadlines.now(), edge_.out, host_.random);
    plan();
}

// An end that comes behind bytes still under way, or over a cut, is not seen before them.
void Line::ended(net::ConnectionEnd how) {
    ending_ = how;
    connection_.reset();
    changed();
}

void Line::changed() {
    const auto alive = std::weak_ptr<bool>(alive_);
    flow();
    if (!alive.expired()) plan();
}

void Line::flow() {
    const auto now = host_.deadlines.now();
    const auto out = out_.take(now, edge_.out);
    if (connection_ && !out.empty()) connection_->write(out);
    const auto in = in_.take(now, edge_.in);
    arrived_ += in;
    if (!in.empty() && !alive_after([this] { events_.received(); })) return;
    if (ending_ && in_.empty() && !edge_.in.cut && !std::exchange(ended_told_, true)) {
        const auto how = *ending_;
        events_.ended(how);
    }
}

void Line::plan() {
    const auto in = in_.next(edge_.in), out = out_.next(edge_.out);
    if (!in && !out) return next_.clear();
    const auto at = in && out ? std::min(*in, *out) : in ? *in : *out;
    next_.set(host_.deadlines, at, [this] { changed(); });
}

// ---- the port ----
Port::Port(net::Loop& loop, const sockaddr_in& at, std::function<void(evutil_socket_t)> accepted) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    socklen_t size = sizeof at_;
    if (fd_ < 0 || bind(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 ||
        listen(fd_, kBacklog) != 0 || getsockname(fd_, reinterpret_cast<sockaddr*>(&at_), &size) != 0) {
        const std::string why = std::strerror(errno);
        if (fd_ >= 0) close(fd_);
        throw std::runtime_error("cannot listen: " + why);
    }
    listener_ = std::make_unique<net::Listener>(loop, fd_, std::move(accepted), [] {});
}

Port::~Port() {
    if (filler_ >= 0) close(filler_);
}

// With no place left in its backlog the kernel drops whatever asks for a connection, as if nobody were there.
void Port::cut(bool on) {
    if (on == (filler_ >= 0)) return;
    if (on) {
        listener_->pause();
        listen(fd_, 0);
        filler_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (connect(filler_, reinterpret_cast<const sockaddr*>(&at_), sizeof at_) != 0 &&
            errno != EINPROGRESS)
            throw std::runtime_error(std::string("cannot cut a port off: ") + std::strerror(errno));
    } else {
        close(std::exchange(filler_, -1));
        listen(fd_, kBacklog);
        listener_->resume();
    }
}

}  // namespace emulator
