#include "hot_restart/unix_socket.h"

#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <optional>

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

ConnectFailure failure_of(int error) {
    switch (error) {
        case ENOENT:
        case ENOTDIR:
        case EACCES:
            return ConnectFailure::no_socket;
        case ECONNREFUSED:
            return ConnectFailure::no_listener;
        default:
            return ConnectFailure::temporary;
    }
}

// Returns a path of this process in the same folder, no longer than that of the socket.
std::string temporary_path(const std::string& path) {
    return path.substr(0, path.rfind('/') + 1) + "." + std::to_string(getpid());
}

// Listens at `temporary` and renames it to `path`. Returns false, with errno set, if a step fails.
bool listen_and_rename(evutil_socket_t fd, const std::string& temporary, const std::string& path,
                       FileId& file) {
    const auto address = address_of(temporary);
    struct stat status {};
    unlink(temporary.c_str());
    if (bind(fd, generic(*address), sizeof *address) != 0 || listen(fd, kListenBacklog) != 0) return false;
    if (stat(temporary.c_str(), &status) != 0) return false;
    file = {status.st_dev, status.st_ino};
    return std::rename(temporary.c_str(), path.c_str()) == 0;
}

}  // namespace

ConnectResult connect_unix_socket(const std::string& path) {
    const auto address = address_of(path);
    if (!address) return ConnectFailure::no_socket;
    const auto fd = socket(AF_UNIX, kSocketType, 0);
    if (fd < 0) return ConnectFailure::temporary;
    if (connect(fd, generic(*address), sizeof *address) == 0) return fd;
    const auto failure = failure_of(errno);
    evutil_closesocket(fd);
    return failure;
}

UnixListener listen_on_unix_socket(const std::string& path) {
    const auto temporary = temporary_path(path);
    if (!address_of(path) || !address_of(temporary))
        throw SocketError("path is too long for a Unix socket: " + path);
    UnixListener out;
    out.socket = socket(AF_UNIX, kSocketType, 0);
    if (out.socket >= 0 && listen_and_rename(out.socket, temporary, path, out.file)) return out;
    const SocketError error(std::strerror(errno));
    if (out.socket >= 0) evutil_closesocket(out.socket);
    unlink(temporary.c_str());
    throw error;
}

bool is_file_replaced(const std::string& path, const FileId& file) {
    struct stat status {};
    if (stat(path.c_str(), &status) != 0) return errno == ENOENT;
    return status.st_dev != file.device || status.st_ino != file.inode;
}

}  // namespace sloestack::hot_restart
