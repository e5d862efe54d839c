// The script's end of a connection, and the sockets that it listens on.
#pragma once

#include <cstdint>
#include <string>

/// Of the kernel, in bytes: a small buffer keeps what it holds for a peer small.
constexpr int kSmallBuffer = 64 * 1024;

/// One end of a connection; owns its socket.
struct ScenarioPeer {
    ScenarioPeer() = default;
    ScenarioPeer(const ScenarioPeer&) = delete;
    ScenarioPeer& operator=(const ScenarioPeer&) = delete;
    ~ScenarioPeer();

    /// Writes what the kernel takes of `outgoing`.
    void write();
    /// Reads what has arrived into `incoming`.
    void read();
    /// Closes the connection, with a reset if `reset` is set.
    void close(bool reset);

    int fd = -1;
    std::string incoming;  // not yet consumed
    std::string outgoing;  // not yet sent
    bool ended = false;    // the proxy has closed its side
    bool started = false;  // the start of the protocol is over: start-up message, or status line
};

/// A listening socket on a free loopback port, which is stored in `port`. The caller owns it.
int listen_on_loopback(std::uint16_t& port);

/// The text before and after the first `separator`; the second part is empty where there is none.
struct SplitText {
    std::string head;
    std::string tail;
};
SplitText split(const std::string& text, char separator);
