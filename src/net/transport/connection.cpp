#include "transport/connection.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstddef>
#include <cstring>

namespace sloestack::net {
namespace {

constexpr std::size_t kMaxReadBytes = std::size_t{64} * 1024;
constexpr std::size_t kReceiveNowBytes = std::size_t{4} * 1024;
constexpr Micros kKernelTickUs = 10'000;  // of the slowest usual configuration, HZ=100

void set_tcp_no_delay(evutil_socket_t fd) {
    const int enabled = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

}  // namespace

std::optional<sockaddr_in> parse_address(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) return std::nullopt;
    sockaddr_in out{};
    out.sin_family = AF_INET;
    std::uint16_t port = 0;
    const auto* last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data() + colon + 1, last, port);
    if (error != std::errc() || end != last) return std::nullopt;
    if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &out.sin_addr) != 1) return std::nullopt;
    out.sin_port = htons(port);
    return out;
}

Connection::Connection(bufferevent* bev, std::size_t max_unread_bytes, ConnectionEvents& events,
                       ByteAccount* account)
    : bev_(bev), events_(events), account_(account), max_unread_bytes_(max_unread_bytes) {
    if (account_)
        for (auto* buffer : {bufferevent_get_input(bev), bufferevent_get_output(bev)})
            evbuffer_add_cb(
                buffer,
                [](evbuffer*, const evbuffer_cb_info* change, void* arg) {
                    static_cast<ByteAccount*>(arg)->add(change->n_added);
                    static_cast<ByteAccount*>(arg)->remove(change->n_deleted);
                },
                account_);
    bufferevent_setwatermark(bev, EV_READ, 0, max_unread_bytes);
    bufferevent_set_max_single_read(bev, kMaxReadBytes);
    bufferevent_setcb(
        bev, [](bufferevent*, void* self) { static_cast<Connection*>(self)->read(); },
        [](bufferevent*, void* self) { static_cast<Connection*>(self)->events_.drained(); },
        [](bufferevent*, short flags, void* self) {
            auto& self_events = static_cast<Connection*>(self)->events_;
            if (flags & BEV_EVENT_CONNECTED) return self_events.connected();
            self_events.ended(flags & BEV_EVENT_EOF ? ConnectionEnd::end_of_input : ConnectionEnd::error);
        },
        this);
    bufferevent_enable(bev, EV_READ | EV_WRITE);
}

Connection::~Connection() {
    if (destroyed_) *destroyed_ = true;
    if (account_) account_->remove(unread_bytes() + unwritten_bytes());
}

void Connection::read() {
    bool destroyed = false;
    destroyed_ = &destroyed;
    events_.received();
    if (destroyed) return;
    destroyed_ = nullptr;
    update_reading();
}

// While input is at the high watermark, libevent calls the read callback again and again within one iteration
// until some is consumed, so that no deadline would run. Reading is therefore also disabled explicitly while
// the limit is reached.
void Connection::update_reading() {
    const bool should_read = !is_reading_paused_ && unread_bytes() < max_unread_bytes_;
    if (should_read == is_reading_) return;
    is_reading_ = should_read;
    if (should_read)
        bufferevent_enable(bev_.get(), EV_READ);
    else
        bufferevent_disable(bev_.get(), EV_READ);
}

std::unique_ptr<Connection> Connection::from_socket(Loop& loop, evutil_socket_t fd,
                                                    std::size_t max_unread_bytes, ConnectionEvents& events,
                                                    ByteAccount* account) {
    set_tcp_no_delay(fd);
    auto* bev = bufferevent_socket_new(loop.base(), fd, BEV_OPT_CLOSE_ON_FREE);
    if (!bev) {
        evutil_closesocket(fd);
        return nullptr;
    }
    return std::unique_ptr<Connection>(new Connection(bev, max_unread_bytes, events, account));
}

std::unique_ptr<Connection> Connection::open(Loop& loop, const sockaddr_in& to, std::size_t max_unread_bytes,
                                             ConnectionEvents& events) {
    const auto fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) return nullptr;
    auto out = from_socket(loop, fd, max_unread_bytes, events);
    // A connection that the peer refuses is reported later by ended().
    if (out &&
        bufferevent_socket_connect(out->bev_.get(), reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0)
        return nullptr;
    return out;
}

std::string_view Connection::peek(std::size_t max_bytes) {
    const auto size = std::min(unread_bytes(), max_bytes);
    if (size == 0) return {};
    // evbuffer_pullup() makes the bytes contiguous by copying them; only the requested ones are copied, so
    // that a large message is not copied again each time a part of it arrives.
    return {reinterpret_cast<const char*>(
                evbuffer_pullup(bufferevent_get_input(bev_.get()), static_cast<ev_ssize_t>(size))),
            size};
}

void Connection::consume(std::size_t bytes) {
    consumed_bytes_ += std::min(bytes, unread_bytes());
    evbuffer_drain(bufferevent_get_input(bev_.get()), bytes);
    update_reading();
}
void Connection::set_max_unread_bytes(std::size_t max_bytes) {
    max_unread_bytes_ = max_bytes;
    bufferevent_setwatermark(bev_.get(), EV_READ, 0, max_bytes);
    update_reading();
}
void Connection::write(std::string_view bytes) {
    written_bytes_ += bytes.size();
    bufferevent_write(bev_.get(), bytes.data(), bytes.size());
}
std::size_t Connection::send_now(std::string_view bytes) {
    if (unwritten_bytes() > 0) return 0;
    const auto sent =
        send(bufferevent_getfd(bev_.get()), bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    const auto sent_size = static_cast<std::size_t>(std::max<ssize_t>(sent, 0));
    written_bytes_ += sent_size;
    return sent_size;
}
void Connection::write_now(std::string_view bytes) {
    bytes.remove_prefix(send_now(bytes));
    if (!bytes.empty()) write(bytes);
}
void Connection::write_now(std::string_view bytes, std::shared_ptr<const void> owner) {
    bytes.remove_prefix(send_now(bytes));
    if (!bytes.empty()) write(bytes, std::move(owner));
}
void Connection::receive_now() {
    auto* input = bufferevent_get_input(bev_.get());
    const auto unread_before = unread_bytes();
    std::array<char, kReceiveNowBytes> bytes;
    while (unread_bytes() < max_unread_bytes_) {
        const auto count = recv(bufferevent_getfd(bev_.get()), bytes.data(), bytes.size(), MSG_DONTWAIT);
        if (count < 0 && errno == EINTR) continue;
        if (count <= 0) break;
        // libevent allows only its own socket to add to the buffer.
        evbuffer_unfreeze(input, 0);
        evbuffer_add(input, bytes.data(), static_cast<std::size_t>(count));
        evbuffer_freeze(input, 0);
    }
    if (unread_bytes() > unread_before) read();
}
void Connection::write(std::string_view bytes, std::shared_ptr<const void> owner) {
    written_bytes_ += bytes.size();
    evbuffer_add_reference(
        bufferevent_get_output(bev_.get()), bytes.data(), bytes.size(),
        [](const void*, std::size_t, void* arg) { delete static_cast<std::shared_ptr<const void>*>(arg); },
        new std::shared_ptr<const void>(std::move(owner)));
}
void Connection::move_to(std::string& to, std::size_t bytes) {
    const auto start = to.size();
    to.resize(start + std::min(bytes, unread_bytes()));
    consumed_bytes_ += to.size() - start;
    evbuffer_remove(bufferevent_get_input(bev_.get()), to.data() + start, to.size() - start);
    update_reading();
}
void Connection::set_reading_paused(bool is_paused) {
    is_reading_paused_ = is_paused;
    update_reading();
}
std::size_t Connection::unread_bytes() const {
    return evbuffer_get_length(bufferevent_get_input(bev_.get()));
}
void Connection::shutdown_write() { shutdown(bufferevent_getfd(bev_.get()), SHUT_WR); }
std::size_t Connection::unwritten_bytes() const {
    return evbuffer_get_length(bufferevent_get_output(bev_.get()));
}

sockaddr_in Connection::local_address() const {
    sockaddr_in at{};
    socklen_t size = sizeof at;
    getsockname(bufferevent_getfd(bev_.get()), reinterpret_cast<sockaddr*>(&at), &size);
    return at;
}

bool Connection::is_error_free() const {
    int error = 0;
    socklen_t size = sizeof error;
    return getsockopt(bufferevent_getfd(bev_.get()), SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
}

bool Connection::has_nothing_to_read() const {
    char byte = 0;
    const auto received = recv(bufferevent_getfd(bev_.get()), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

std::optional<Micros> Connection::input_age() const {
    tcp_info info{};
    socklen_t size = sizeof info;
    if (getsockopt(bufferevent_getfd(bev_.get()), IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
        return std::nullopt;
    if (size < offsetof(tcp_info, tcpi_last_data_recv) + sizeof info.tcpi_last_data_recv) return std::nullopt;
    // Emulated sockets may leave everything but the state at 0.
    if (info.tcpi_rcv_mss == 0) return std::nullopt;
    const Micros age = static_cast<Micros>(info.tcpi_last_data_recv) * kMicrosPerMillisecond;
    return age <= kKernelTickUs ? 0 : age;
}

std::optional<std::uint64_t> Connection::acknowledged_bytes() const {
    int unacknowledged_bytes = 0;
    if (ioctl(bufferevent_getfd(bev_.get()), SIOCOUTQ, &unacknowledged_bytes) != 0) return std::nullopt;
    return sent_bytes() - static_cast<std::uint64_t>(unacknowledged_bytes);
}

std::optional<SendProgress> Connection::send_progress() const {
    return read_send_progress(bufferevent_getfd(bev_.get()));
}

void Connection::reset_on_close() {
    const linger at_once{1, 0};
    setsockopt(bufferevent_getfd(bev_.get()), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

void Connection::acknowledge_now() {
    const int enabled = 1;  // until the kernel next chooses to delay acknowledgements
    setsockopt(bufferevent_getfd(bev_.get()), IPPROTO_TCP, TCP_QUICKACK, &enabled, sizeof enabled);
}

bool Connection::has_pending_input() const {
    pollfd request{bufferevent_getfd(bev_.get()), POLLIN | POLLRDHUP, 0};
    int ready = 0;
    do {
        ready = poll(&request, 1, 0);
    } while (ready < 0 && errno == EINTR);
    return ready > 0;
}

}  // namespace sloestack::net
