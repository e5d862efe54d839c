#include "hot_restart/unix_socket.h"

#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

namespace sloestack::hot_restart {
namespace {

constexpr int kListenBacklog = 4;  // connections
constexpr int kSocketType = SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC;

// Returns std::nullopt if the path is too long for a socket address.
std::optional<sockaddr_un> address_of(const std::string& path) {
    sockaddr_un address = {};
    address.sun_family = AF_UNIX;
    if (path.size() >= sizeof address.sun_path) return std::nullopt;
    std::memcpy(address.sun_path, path.c_str(), path.size());
    return address;
}

const sockaddr* generic(const sockaddr_un& address) { return reinterpret_cast<const sockaddr*>(&address); }

}  // namespace

std::optional<evutil_socket_t> connect_unix_socket(const std::string& path) {
    const auto address = address_of(path);
    if (!address) return std::nullopt;
    const auto fd = socket(AF_UNIX, kSocketType, 0);
    if (fd < 0) return std::nullopt;
    if (connect(fd, generic(*address), sizeof *address) == 0) return fd;
    evutil_closesocket(fd);
    return std::nullopt;
}

evutil_socket_t listen_on_unix_socket(const std::string& path) {
    const auto address = address_of(path);
    if (!address) throw SocketError("path is too long for a Unix socket: " + path);
    const auto fd = socket(AF_UNIX, kSocketType, 0);
    unlink(path.c_str());
    if (fd >= 0 && bind(fd, generic(*address), sizeof *address) == 0 && listen(fd, kListenBacklog) == 0)
        return fd;
    const SocketError error(std::strerror(errno));
    if (fd >= 0) evutil_closesocket(fd);
    throw error;
}

}  // namespace sloestack::hot_restart
