#include "socket_flow.h"

#include <linux/sockios.h>
#include <linux/tcp.h>  // netinet/tcp.h's tcp_info ends before the byte counts
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <cstddef>
#include <utility>

#include "check.h"

namespace {

using Address = std::pair<in_addr_t, in_port_t>;

Address address(int fd, decltype(getsockname)* get_name) {
    sockaddr_in at{};
    socklen_t size = sizeof at;
    if (get_name(fd, reinterpret_cast<sockaddr*>(&at), &size) != 0 || at.sin_family != AF_INET) return {};
    return {at.sin_addr.s_addr, at.sin_port};
}

}  // namespace

SocketFlow flow_at(int fd) {
    int unacked = 0, unread = 0;
    tcp_info info{};
    socklen_t size = sizeof info;
    CHECK(ioctl(fd, SIOCOUTQ, &unacked) == 0);
    CHECK(getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) == 0);
    CHECK(size >= offsetof(tcp_info, tcpi_bytes_received) + sizeof info.tcpi_bytes_received);
    CHECK(ioctl(fd, SIOCINQ, &unread) == 0);
    const auto unread_bytes = static_cast<std::uint64_t>(unread);
    const auto received = static_cast<std::uint64_t>(info.tcpi_bytes_received);
    return {received > unread_bytes ? received - unread_bytes : 0, unread_bytes,
            info.tcpi_bytes_acked + static_cast<std::uint64_t>(unacked)};
}

int other_end(int fd) {
    const auto here = address(fd, getsockname), there = address(fd, getpeername);
    rlimit limit{};
    CHECK(getrlimit(RLIMIT_NOFILE, &limit) == 0);
    for (int other = 0; other < static_cast<int>(limit.rlim_cur); ++other)
        if (other != fd && address(other, getsockname) == there && address(other, getpeername) == here)
            return other;
    return -1;
}
