// The watch on discovery's list: one call after the other for as long as they succeed.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "deadlines/deadlines.h"
#include "discovery/list.h"
#include "http/response.h"
#include "net/connection.h"

namespace sloestack::discovery {

class Watch final : public net::ConnectionEvents {
public:
    // `seed` tells this proxy's watch from others': its first call is held back for a drawn part of the time,
    // so that watches which begin together do not end together ever after.
    Watch(net::Loop& loop, Deadlines& deadlines, const sockaddr_in& at, std::string host, Reader& lists,
          std::optional<std::int64_t> revision, traffic::ListReader& reader, std::uint64_t seed);

    // Starts the loop where it does not run. A failure ends it and is told to the reader, who decides when to
    // ask again.
    void start();
    // Discovery is at another address from now on. Its whole list is asked for at once: what the old one told
    // last says nothing of where the new one's changes begin.
    void move(const sockaddr_in& at, std::string host);

    void connected() override;
    void received() override;
    void ended(net::Ending how) override;

private:
    void call();
    void write_call();
    void answered();
    void silent();
    void failed(const std::string& why);

    net::Loop& loop_;
    Deadlines& deadlines_;
    sockaddr_in at_;
    std::string host_;
    Reader& lists_;
    std::optional<std::int64_t> revision_;  // of the list held; 0 is one like any other
    traffic::ListReader& reader_;
    std::unique_ptr<net::Connection> connection_;
    std::optional<http::ResponseParser> response_;  // there while a call is out
    Deadline patience_;
    Micros hold_;  // how long discovery is to hold the next call back
    bool running_ = false, up_ = false;
    bool reused_ = false;  // the call went out on a connection that had served another
};

}  // namespace sloestack::discovery
