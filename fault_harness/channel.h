// Text lines exchanged between the conductor and its child processes over a socket pair.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "transport/connection.h"

namespace fault_harness {

class Channel final : public sloestack::net::ConnectionEvents {
public:
    // Takes ownership of socket `fd`. Calls `on_line` for each received line, without its line feed, and
    // `on_ended` once when the peer closes the connection.
    Channel(sloestack::net::Loop& loop, int fd, std::function<void(const std::string&)> on_line,
            std::function<void()> on_ended);
    void send_line(const std::string& line) {
        if (connection_) connection_->write(line + "\n");
    }
    void close() { connection_.reset(); }

    void received() override;
    void ended(sloestack::net::ConnectionEnd) override;

private:
    std::function<void(const std::string&)> on_line_;
    std::function<void()> on_ended_;
    std::unique_ptr<sloestack::net::Connection> connection_;
};

}  // namespace fault_harness
