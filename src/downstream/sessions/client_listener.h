// Where clients come in: the listener and all the sessions.
#pragma once

#include <list>
#include <map>
#include <memory>
#include <optional>

#include "sessions/session.h"
#include "transport/quota.h"

namespace sloestack::downstream {

// Where clients connect: at an address, or on a socket that the platform holds and that listens already.
struct Entrance {
    sockaddr_in address{};
    std::optional<int> passed_socket = {};
};

class ClientListener final : private SessionOwner {
public:
    // The shares of descriptors that clients' connections have, by what state these are in.
    struct Quotas {
        net::Quota& clients;
        net::Quota& overflow;   // of those that are only told to come again
        net::Quota& lingering;  // of those that have ended on this side
    };
    // `class_overlaps` has a word for each of `class_names`. `seed` is for the keys that clients cancel by.
    ClientListener(net::Loop& loop, Deadlines& deadlines, const Quotas& quotas, net::ByteAccount& account,
                   net::Room& room, metrics::RequestMetrics& numbers, const Entrance& at,
                   traffic::RequestDispatcher& dispatcher, std::vector<std::string> class_names,
                   std::vector<bool> class_overlaps, bool sessions_named, Micros longest_wait,
                   std::uint64_t seed);
    ~ClientListener();

    // Begins to accept. Throws std::runtime_error where the address cannot be listened on.
    void open();
    bool accepting() const { return listener_ && !stopping_since_; }
    // Closes down in order: clients are still served for a while, each connection is closed between its
    // requests, and over() holds once the last answer has left. `longest_wait`, of any client for an answer,
    // bounds all of it. Where a successor accepts clients this listener closes at once.
    void stop(bool succeeded);
    // Closes idle clients for as long as the share is exceeded; those that are busy end after their answers.
    void fit();
    bool over() const { return stopping_since_ && !listener_ && sessions_.empty(); }
    std::uint16_t port() const { return listener_->port(); }
    std::size_t sessions() const { return sessions_.size(); }

private:
    using Sessions = std::list<std::unique_ptr<Session>>;

    void accepted(evutil_socket_t fd);
    void out_of_descriptors();
    bool make_room();
    void tidy();
    void wind_down();
    void stop_listening();
    void used(Session& session) override;
    void over(Session& session) override;

    net::Loop& loop_;
    Deadlines& deadlines_;
    net::Quota& quota_;
    net::Quota& overflow_;
    net::Quota& lingering_;
    Entrance at_;
    Office office_;
    Sessions sessions_;  // the one used last at the back
    std::map<const Session*, Sessions::iterator> places_;
    std::unique_ptr<net::Listener> listener_;
    Deadline resume_, stop_, tidy_;
    Micros longest_wait_;
    bool succeeded_ = false;
    Time accepted_at_ = 0, complained_at_ = 0, stopping_since_ = 0;
};

}  // namespace sloestack::downstream
