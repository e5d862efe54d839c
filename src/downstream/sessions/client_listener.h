// Accepts clients and owns their sessions: bounds their number, closes idle ones for others that wait, and
// winds all of them down when the proxy stops.
#pragma once

#include <list>
#include <map>
#include <memory>
#include <optional>

#include "sessions/client_session.h"
#include "transport/descriptor_quota.h"

namespace sloestack::downstream {

// Where clients connect: at an address, or on a listening socket that the process was started with.
struct ListenEndpoint {
    sockaddr_in address{};
    std::optional<int> inherited_socket = {};
};

class ClientListener final : private ClientSessionOwner {
public:
    // The shares of the process's descriptors that clients' connections have, by their state.
    struct Quotas {
        net::DescriptorQuota& clients;    // served
        net::DescriptorQuota& overflow;   // whose requests are only rejected
        net::DescriptorQuota& lingering;  // in a lingering close
    };
    // `class_may_overlap` has an element for each of `class_names`. `longest_wait`, of any client for a
    // response, bounds how long a stop takes. `seed` is for the keys that clients cancel by. All references
    // outlive the listener.
    ClientListener(net::Loop& loop, Deadlines& deadlines, const Quotas& quotas, net::ByteAccount& account,
                   net::MemoryBudget& large_statement_budget, metrics::RequestMetrics& metrics,
                   const ListenEndpoint& listen_endpoint, traffic::RequestDispatcher& dispatcher,
                   std::vector<std::string> class_names, std::vector<bool> class_may_overlap,
                   bool uses_sessions, Micros longest_wait, std::uint64_t seed);
    ~ClientListener();

    // Begins to accept. Throws std::runtime_error where the address cannot be listened on.
    void open();
    bool is_accepting() const { return listener_ && !stopping_since_; }
    // Stops in order: clients are still served for a while, each connection is closed between its requests,
    // and is_stopped() holds once the last response has left. Where another process accepts clients already
    // (`has_successor`), this one stops listening at once.
    void stop(bool has_successor);
    bool is_stopped() const { return stopping_since_ && !listener_ && sessions_.empty(); }
    // Closes idle sessions while there are more than the quota allows, as after it has been lowered; busy
    // ones close after their responses.
    void shrink_to_quota();
    std::uint16_t port() const { return listener_->port(); }
    std::size_t session_count() const { return sessions_.size(); }

private:
    using Sessions = std::list<std::unique_ptr<ClientSession>>;

    void on_accepted(evutil_socket_t fd);
    void pause_accepting();
    bool close_one_idle_session();
    bool release_lingering_slot();
    void close_long_idle_sessions();
    void continue_stop();
    void stop_listening();
    // Calls `visit` with each session, which may be closed by that, while it returns true.
    template <class Visit>
    void for_each_session(Visit visit);
    void session_used(ClientSession& session) override;
    void session_closed(ClientSession& session) override;

    net::Loop& loop_;
    Deadlines& deadlines_;
    net::DescriptorQuota& client_quota_;
    net::DescriptorQuota& overflow_quota_;
    net::DescriptorQuota& lingering_quota_;
    ListenEndpoint listen_endpoint_;
    SessionContext context_;
    Sessions sessions_;  // the one used last at the back
    std::map<const ClientSession*, Sessions::iterator> positions_;
    std::unique_ptr<net::Listener> listener_;
    Deadline resume_accepting_;
    Deadline continue_stop_;
    Deadline close_idle_;
    Micros longest_wait_;
    bool has_successor_ = false;
    Time last_accepted_at_ = 0;
    Time last_warning_at_ = 0;
    Time stopping_since_ = 0;  // 0 while it does not stop
};

}  // namespace sloestack::downstream
