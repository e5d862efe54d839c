// The test's end of a connection to the proxy, and the sockets that the test listens on.
#pragma once

#include <cstdint>
#include <string>

/// Size of a kernel socket buffer in bytes, small so that the kernel holds few bytes for a peer.
constexpr int kSmallBuffer = 64 * 1024;

/// The test's end of a connection; owns its socket.
struct ScenarioPeer {
    ScenarioPeer() = default;
    ScenarioPeer(const ScenarioPeer&) = delete;
    ScenarioPeer& operator=(const ScenarioPeer&) = delete;
    ~ScenarioPeer();

    /// Writes as much of `outgoing` as the kernel accepts.
    void write();
    /// Reads what has arrived into `incoming`.
    void read();
    /// Closes the connection; with `reset`, sends a reset.
    void close(bool reset);

    int fd = -1;
    std::string incoming;  // not yet consumed
    std::string outgoing;  // not yet sent
    bool ended = false;    // the proxy has closed its side
    bool started = false;  // the start-up message or the status line has been consumed
};

/// Opens a listening socket on a free loopback port and stores the port in `port`. The caller owns the
/// socket.
int listen_on_loopback(std::uint16_t& port);

/// The text before and after the first `separator`; `tail` is empty if there is no separator.
struct SplitText {
    std::string head;
    std::string tail;
};
SplitText split(const std::string& text, char separator);
