#include "scenario_peer.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <utility>

#include "check.h"

ScenarioPeer::~ScenarioPeer() {
    if (fd >= 0) ::close(fd);
}

void ScenarioPeer::write() {
    while (!outgoing.empty()) {
        const auto sent = ::send(fd, outgoing.data(), outgoing.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent <= 0) return;
        outgoing.erase(0, static_cast<std::size_t>(sent));
    }
}

void ScenarioPeer::read() {
    std::array<char, 65536> bytes{};
    for (;;) {
        const auto received = fd < 0 ? 0 : recv(fd, bytes.data(), bytes.size(), MSG_DONTWAIT);
        if (received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
        if (received <= 0) {
            ended = true;
            return;
        }
        incoming.append(bytes.data(), static_cast<std::size_t>(received));
    }
}

void ScenarioPeer::close(bool reset) {
    if (reset) {
        const linger reset_on_close{1, 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
    }
    ::close(std::exchange(fd, -1));
}

int listen_on_loopback(std::uint16_t& port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    CHECK(bind(fd, reinterpret_cast<sockaddr*>(&address), size) == 0 && listen(fd, 64) == 0);
    CHECK(getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) == 0);
    port = ntohs(address.sin_port);
    return fd;
}

SplitText split(const std::string& text, char separator) {
    const auto at = text.find(separator);
    if (at == std::string::npos) return {text, ""};
    return {text.substr(0, at), text.substr(at + 1)};
}
