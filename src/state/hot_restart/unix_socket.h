// Non-blocking Unix stream sockets at a path in the file system.
#pragma once

#include <event2/util.h>

#include <optional>
#include <stdexcept>
#include <string>

namespace sloestack::hot_restart {

struct SocketError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Returns a socket connected to the listener at `path`, or std::nullopt
// if the connection failed. The caller owns the descriptor.
std::optional<evutil_socket_t> connect_unix_socket(const std::string& path);

// Removes the file at `path`, if any, and returns a socket that
// listens there. The caller owns the descriptor. Throws SocketError.
evutil_socket_t listen_on_unix_socket(const std::string& path);

}  // namespace sloestack::hot_restart
