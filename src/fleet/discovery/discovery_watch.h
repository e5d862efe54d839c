// Follows discovery's endpoint list by HTTP long polling: one poll after the other for as long as they
// succeed. How long polls are held and waited for is said by decision::PollTimeouts; when to start again
// behind a failure is up to the listener.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "deadlines/deadlines.h"
#include "discovery/endpoint_list_parser.h"
#include "discovery_poll_schedule.h"
#include "http/response.h"
#include "traffic/endpoint_list.h"
#include "transport/connection.h"

namespace sloestack::discovery {

class DiscoveryWatch final : public net::ConnectionEvents {
public:
    // `host` is what requests name as such. `revision` is that of the list already held, if any. The
    // references outlive this.
    DiscoveryWatch(net::Loop& loop, Deadlines& deadlines, const sockaddr_in& address, std::string host,
                   EndpointListParser& parser, std::optional<std::int64_t> revision,
                   traffic::EndpointListListener& listener, const decision::PollTimeouts& timeouts);

    // Begins to poll where it does not. A failure stops it and is reported to the listener.
    void start();
    // Discovery is at another address from now on. The complete list is asked for at once: the revision held
    // means nothing there.
    void change_address(const sockaddr_in& address, std::string host);
    // Whether a first poll has succeeded or failed.
    bool has_completed_poll() const { return has_completed_poll_; }

    void connected() override;
    void received() override;
    void ended(net::ConnectionEnd how) override;

private:
    enum class State {
        stopped,
        connecting,
        awaiting_response,
        delivering_list,  // to the listener, behind which the next poll begins
    };
    enum class PollFailure {
        no_answer,  // none that is whole and a list
        rejected,   // by a status that is no success: discovery is there
    };

    void poll();
    void connect();
    void send_request();
    void on_response();
    void on_poll_timeout();
    void on_poll_failed(const std::string& reason, PollFailure failure = PollFailure::no_answer);
    void drop_connection();
    bool is_poll_pending() const { return state_ == State::connecting || state_ == State::awaiting_response; }
    bool is_held() const { return revision_ && current_poll_.hold_us > 0; }

    net::Loop& loop_;
    Deadlines& deadlines_;
    sockaddr_in address_;
    std::string host_;
    EndpointListParser& parser_;
    std::optional<std::int64_t> revision_;
    traffic::EndpointListListener& listener_;
    State state_ = State::stopped;
    std::unique_ptr<net::Connection> connection_;  // kept between polls
    bool connection_reused_ = false;               // by the current poll
    http::ResponseParser response_;
    decision::PollTimeouts timeouts_;
    decision::PollTimeouts::NextPoll current_poll_ = {};  // or the last one
    Time poll_started_at_ = 0;                            // its connection attempt included
    Deadline poll_timeout_;
    bool has_completed_poll_ = false;
};

}  // namespace sloestack::discovery
