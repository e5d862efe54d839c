// Lines of text between the conductor and its parts, over a socket pair.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "transport/connection.h"

namespace fault_harness {

class Channel final : public sloestack::net::ConnectionEvents {
public:
    // `line` is called for each line without its end, `ended` once when the other side has gone.
    Channel(sloestack::net::Loop& loop, int fd, std::function<void(const std::string&)> line,
            std::function<void()> ended);
    void say(const std::string& line) {
        if (connection_) connection_->write(line + "\n");
    }
    void close() { connection_.reset(); }

    void received() override;
    void ended(sloestack::net::ConnectionEnd) override;

private:
    std::function<void(const std::string&)> line_;
    std::function<void()> ended_;
    std::unique_ptr<sloestack::net::Connection> connection_;
};

}  // namespace fault_harness
