// What tests over loopback sockets share: a clock that stands still until it is moved, and the test's own
// ends of connections. Nothing here sleeps: what is awaited is looked for, and a limit only ends a hang.
#pragma once

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <list>
#include <string>
#include <utility>

#include "deadlines/clock.h"

namespace loopback {

struct ManualClock final : sloestack::Clock {
    sloestack::Time at = 1'700'000'000'000'000;
    sloestack::Time now() const override { return at; }
};

// The test's end of one connection.
struct Peer {
    int fd = -1;
    std::string in;      // received
    bool ended = false;  // by an end or a reset

    Peer() = default;
    explicit Peer(int of) : fd(of) {
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    Peer(Peer&& other) noexcept
        : fd(std::exchange(other.fd, -1)), in(std::move(other.in)), ended(other.ended) {}
    Peer(const Peer&) = delete;
    Peer& operator=(Peer&& other) noexcept {
        close();
        fd = std::exchange(other.fd, -1), in = std::move(other.in), ended = other.ended;
        return *this;
    }
    ~Peer() { close(); }

    void read() {
        char bytes[65536];
        while (fd >= 0 && !ended) {
            const auto got = recv(fd, bytes, sizeof bytes, MSG_DONTWAIT);
            if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
            if (got <= 0)
                ended = true;
            else
                in.append(bytes, static_cast<std::size_t>(got));
        }
    }
    // Whether the kernel has taken all of it.
    bool send(const std::string& bytes) {
        return fd >= 0 && ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT) ==
                              static_cast<ssize_t>(bytes.size());
    }
    // Whether the other end has reset the connection.
    bool was_reset() const {
        int error = 0;
        socklen_t size = sizeof error;
        return getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0;
    }
    void half_close() { shutdown(fd, SHUT_WR); }
    void close() {
        if (fd >= 0) ::close(std::exchange(fd, -1));
    }
    void reset() {
        const linger at_once{1, 0};
        if (fd >= 0) setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        close();
    }
};

inline sockaddr_in address(std::uint16_t port) {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    out.sin_port = htons(port);
    return out;
}

inline Peer connect_to(std::uint16_t port) {
    const auto to = address(port);
    Peer out(socket(AF_INET, SOCK_STREAM, 0));
    EXPECT_EQ(connect(out.fd, reinterpret_cast<const sockaddr*>(&to), sizeof to), 0);
    return out;
}

// A listening socket of the test's, and all that has come to it.
struct Listening {
    int fd;
    std::uint16_t port = 0;
    std::list<Peer> peers = {};

    Listening() : fd(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
        auto at = address(0);
        socklen_t size = sizeof at;
        EXPECT_EQ(bind(fd, reinterpret_cast<sockaddr*>(&at), size), 0);
        EXPECT_EQ(listen(fd, 64), 0);
        EXPECT_EQ(getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size), 0);
        port = ntohs(at.sin_port);
    }
    Listening(const Listening&) = delete;
    Listening& operator=(const Listening&) = delete;
    ~Listening() { ::close(fd); }

    void look() {
        for (int got; (got = accept4(fd, nullptr, nullptr, SOCK_NONBLOCK)) >= 0;) peers.emplace_back(got);
        for (auto& p : peers) p.read();
    }
};

// Takes turns until something holds; false where it never does.
template <class Turn, class Condition>
bool until(Turn turn, Condition condition) {
    const auto hopeless = std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (!condition()) {
        if (std::chrono::steady_clock::now() > hopeless) return false;
        turn();
    }
    return true;
}

}  // namespace loopback
