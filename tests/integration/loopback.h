// Loopback connections for tests, and a clock that only the test advances. Tests do not sleep: they check
// conditions in a loop, and a limit in real time ends a test that hangs.
#pragma once

#include <gtest/gtest.h>
#include <netinet/in.h>

#include <chrono>
#include <cstdint>
#include <list>
#include <string>
#include <string_view>

#include "deadlines/clock.h"

namespace loopback {

struct ManualClock final : sloestack::Clock {
    sloestack::Time now() const override { return time; }
    void advance(sloestack::Micros duration) { time += duration; }

    sloestack::Time time = 1'700'000'000'000'000;
};

/// The test's end of a connection to the proxy; owns its socket.
class Peer {
public:
    Peer() = default;
    explicit Peer(int socket);
    Peer(Peer&& other) noexcept;
    Peer(const Peer&) = delete;
    Peer& operator=(Peer&& other) noexcept;
    Peer& operator=(const Peer&) = delete;
    ~Peer() { close(); }

    /// Appends what has arrived to `received`, up to `max_bytes` of it.
    void read(std::size_t max_bytes = static_cast<std::size_t>(-1));
    /// Sends without blocking. Returns whether the kernel accepted all of `bytes`.
    bool send(const std::string& bytes);
    /// Sends without blocking. Returns how many bytes the kernel accepted.
    std::size_t send_part(std::string_view bytes);
    /// Returns whether the other end has reset the connection.
    bool was_reset() const;
    bool is_open() const { return fd_ >= 0; }
    /// With `enabled` false, the kernel holds a small write back until earlier ones are acknowledged.
    void set_no_delay(bool enabled);
    void half_close();
    void close();
    void reset();

    std::string received;  // not yet consumed
    bool ended = false;    // the other end has closed or reset the connection

private:
    int fd_ = -1;
};

sockaddr_in address(std::uint16_t port);
Peer connect_to(std::uint16_t port);
/// The same; the connection is not open if nobody listens on the port.
Peer try_to_connect_to(std::uint16_t port);

/// A listening socket on a free loopback port, and all connections accepted from it.
class Listener {
public:
    Listener();
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;
    ~Listener();

    /// Accepts new connections and reads from all connections, up to `max_bytes` from each.
    void receive(std::size_t max_bytes = static_cast<std::size_t>(-1));
    /// Sets the size of the kernel's receive buffer of connections that are made later.
    void set_receive_buffer(int bytes);
    std::uint16_t port() const { return port_; }

    std::list<Peer> peers;

private:
    int fd_;
    std::uint16_t port_ = 0;
};

/// Calls `run_once` until `condition` returns true. Returns false if that takes more than 30 s of real time.
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
