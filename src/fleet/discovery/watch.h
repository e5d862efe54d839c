// The watch on discovery's list: one call after the other for as long as they succeed.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "deadlines/deadlines.h"
#include "discovery/list.h"
#include "discovery_poll_schedule.h"
#include "http/response.h"
#include "transport/connection.h"

namespace sloestack::discovery {

class Watch final : public net::ConnectionEvents {
public:
    Watch(net::Loop& loop, Deadlines& deadlines, const sockaddr_in& at, std::string host, Reader& lists,
          std::optional<std::int64_t> revision, traffic::EndpointListListener& reader,
          const decision::PollTimeouts& times);

    // Starts the loop where it does not run. A failure ends it and is told to the reader, who decides when to
    // ask again.
    void start();
    // Discovery is at another address from now on. Its whole list is asked for at once: what the old one told
    // last says nothing of where the new one's changes begin.
    void move(const sockaddr_in& at, std::string host);
    // Whether a first call has had its answer or has failed.
    bool has_called() const { return called_; }

    void connected() override;
    void received() override;
    void ended(net::Ending how) override;

private:
    void call();
    void write_call();
    bool is_held() const { return revision_ && next_.hold_us > 0; }
    void on_list();
    void silent();
    // `refused`: an answer that is no list has come, so discovery is there.
    void failed(const std::string& why, bool refused = false);

    net::Loop& loop_;
    Deadlines& deadlines_;
    sockaddr_in at_;
    std::string host_;
    Reader& lists_;
    std::optional<std::int64_t> revision_;  // of the list held; 0 is one like any other
    traffic::EndpointListListener& reader_;
    std::unique_ptr<net::Connection> connection_;
    std::optional<http::ResponseParser> response_;  // there while a call is out
    decision::PollTimeouts times_;
    decision::PollTimeouts::Next next_ = {};  // the call that is out, or the last one
    Deadline patience_;
    Time begun_at_ = 0;  // the call, its connection included
    bool running_ = false, up_ = false, called_ = false;
    bool reused_ = false;  // the call went out on a connection that had served another
};

}  // namespace sloestack::discovery
