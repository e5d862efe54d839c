// Loopback connections for tests: the test's own ends, and a clock that stands still until it is advanced.
// Nothing here sleeps: conditions are polled, and a limit of real time only ends a hang.
#pragma once

#include <gtest/gtest.h>
#include <netinet/in.h>

#include <chrono>
#include <cstdint>
#include <list>
#include <string>

#include "deadlines/clock.h"

namespace loopback {

struct ManualClock final : sloestack::Clock {
    sloestack::Time now() const override { return time; }
    void advance(sloestack::Micros duration) { time += duration; }

    sloestack::Time time = 1'700'000'000'000'000;
};

/// The test's end of one connection; owns its socket.
class Peer {
public:
    Peer() = default;
    explicit Peer(int socket);
    Peer(Peer&& other) noexcept;
    Peer(const Peer&) = delete;
    Peer& operator=(Peer&& other) noexcept;
    Peer& operator=(const Peer&) = delete;
    ~Peer() { close(); }

    /// Appends what has arrived to `received`.
    void read();
    /// Whether the kernel has taken all of it.
    bool send(const std::string& bytes);
    /// Whether the other end has reset the connection.
    bool was_reset() const;
    bool is_open() const { return fd_ >= 0; }
    void half_close();
    void close();
    void reset();

    std::string received;  // not yet consumed
    bool ended = false;    // by the other end, with or without a reset

private:
    int fd_ = -1;
};

sockaddr_in address(std::uint16_t port);
Peer connect_to(std::uint16_t port);

/// A listening socket on a free port, and all connections to it.
class Listener {
public:
    Listener();
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;
    ~Listener();

    /// Accepts new connections and reads from all.
    void receive();
    std::uint16_t port() const { return port_; }

    std::list<Peer> peers;

private:
    int fd_;
    std::uint16_t port_ = 0;
};

/// Calls `run_once` until the condition holds; false where it never does.
template <class RunOnce, class Condition>
bool run_until(RunOnce run_once, Condition condition) {
    constexpr auto kHangTimeout = std::chrono::seconds(30);
    const auto deadline = std::chrono::steady_clock::now() + kHangTimeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline) return false;
        run_once();
    }
    return true;
}

}  // namespace loopback
