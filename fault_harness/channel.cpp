#include "fault_harness/channel.h"

#include <event2/util.h>

namespace fault_harness {
namespace {

constexpr std::size_t kMaxUnreadBytes = 1 << 20;

}  // namespace

Channel::Channel(sloestack::net::Loop& loop, int fd, std::function<void(const std::string&)> on_line,
                 std::function<void()> on_ended)
    : on_line_(std::move(on_line)), on_ended_(std::move(on_ended)) {
    evutil_make_socket_nonblocking(fd);
    connection_ = sloestack::net::Connection::from_socket(loop, fd, kMaxUnreadBytes, *this);
}

void Channel::received() {
    while (connection_) {
        const auto bytes = connection_->peek();
        const auto end = bytes.find('\n');
        if (end == std::string_view::npos) return;
        const std::string line(bytes.substr(0, end));
        connection_->consume(end + 1);
        on_line_(line);
    }
}

void Channel::ended(sloestack::net::ConnectionEnd) {
    connection_.reset();
    on_ended_();
}

}  // namespace fault_harness
