#include "transport/send_progress.h"

// Not <netinet/tcp.h>, whose tcp_info ends before the fields that are needed here.
#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace sloestack::net {

std::optional<SendProgress> read_send_progress(int socket) {
    tcp_info info{};
    socklen_t size = sizeof info;
    if (getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return std::nullopt;
    if (size < offsetof(tcp_info, tcpi_snd_wnd) + sizeof info.tcpi_snd_wnd) return std::nullopt;
    if (info.tcpi_snd_mss == 0) return std::nullopt;
    int unacknowledged_bytes = 0;
    if (ioctl(socket, SIOCOUTQ, &unacknowledged_bytes) != 0) return std::nullopt;
    return SendProgress{static_cast<std::size_t>(unacknowledged_bytes), info.tcpi_notsent_bytes,
                        info.tcpi_snd_wnd};
}

}  // namespace sloestack::net
