#include "loopback.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace loopback {

Peer::Peer(int socket) : fd_(socket) { set_no_delay(true); }

Peer::Peer(Peer&& other) noexcept
    : received(std::move(other.received)), ended(other.ended), fd_(std::exchange(other.fd_, -1)) {}

Peer& Peer::operator=(Peer&& other) noexcept {
    close();
    fd_ = std::exchange(other.fd_, -1);
    received = std::move(other.received);
    ended = other.ended;
    return *this;
}

void Peer::read(std::size_t max_bytes) {
    std::array<char, 65536> bytes;
    while (fd_ >= 0 && !ended && max_bytes > 0) {
        const auto count = recv(fd_, bytes.data(), std::min(bytes.size(), max_bytes), MSG_DONTWAIT);
        if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
        if (count <= 0) {
            ended = true;
            return;
        }
        received.append(bytes.data(), static_cast<std::size_t>(count));
        max_bytes -= static_cast<std::size_t>(count);
    }
}

bool Peer::send(const std::string& bytes) { return fd_ >= 0 && send_part(bytes) == bytes.size(); }

std::size_t Peer::send_part(std::string_view bytes) {
    if (fd_ < 0) return 0;
    const auto sent = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    return sent < 0 ? 0 : static_cast<std::size_t>(sent);
}

bool Peer::was_reset() const {
    int error = 0;
    socklen_t size = sizeof error;
    return getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0;
}

void Peer::set_no_delay(bool enabled) {
    const int value = enabled ? 1 : 0;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &value, sizeof value);
}

void Peer::half_close() { shutdown(fd_, SHUT_WR); }

void Peer::close() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
}

void Peer::reset() {
    const linger reset_on_close{1, 0};
    if (fd_ >= 0) setsockopt(fd_, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
    close();
}

sockaddr_in address(std::uint16_t port) {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    out.sin_port = htons(port);
    return out;
}

Peer connect_to(std::uint16_t port) {
    auto peer = try_to_connect_to(port);
    EXPECT_TRUE(peer.is_open());
    return peer;
}

Peer try_to_connect_to(std::uint16_t port) {
    const auto to = address(port);
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    Peer peer(fd);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) peer.close();
    return peer;
}

Listener::Listener() : fd_(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
    auto at = address(0);
    socklen_t size = sizeof at;
    EXPECT_EQ(bind(fd_, reinterpret_cast<sockaddr*>(&at), size), 0);
    EXPECT_EQ(listen(fd_, 64), 0);
    EXPECT_EQ(getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size), 0);
    port_ = ntohs(at.sin_port);
}

Listener::~Listener() { ::close(fd_); }

void Listener::set_receive_buffer(int bytes) {
    EXPECT_EQ(setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes), 0);
}

void Listener::receive(std::size_t max_bytes) {
    for (;;) {
        const int fd = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK);
        if (fd < 0) break;
        peers.emplace_back(fd);
    }
    for (auto& peer : peers) peer.read(max_bytes);
}

}  // namespace loopback
