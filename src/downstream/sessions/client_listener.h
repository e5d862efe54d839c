// Accepts clients and owns their sessions: limits their number, closes idle sessions in favour of new
// clients, and closes all of them gracefully when the proxy stops.
#pragma once

#include <list>
#include <map>
#include <memory>
#include <optional>

#include "sessions/client_session.h"
#include "transport/descriptor_quota.h"
#include "transport/listener.h"

namespace sloestack::downstream {

// Where clients connect: an address, or a listening socket that the process inherited at start-up.
struct ListenEndpoint {
    sockaddr_in address{};
    std::optional<int> inherited_socket = {};
};

class ClientListener final : private ClientSessionOwner {
public:
    // The descriptor quotas of client connections, by the connection's state.
    struct Quotas {
        net::DescriptorQuota& clients;    // whose requests are served
        net::DescriptorQuota& overflow;   // whose requests are all rejected
        net::DescriptorQuota& lingering;  // in a lingering close
    };
    // `class_may_overlap` has one element for each of `class_names`. `longest_wait` is the longest time in
    // microseconds that a client waits for a response; it determines how long a stop takes.
    // `cancel_key_seed` seeds the secrets of cancel keys. All references must outlive the listener.
    ClientListener(net::Loop& loop, Deadlines& deadlines, const Quotas& quotas, net::ByteAccount& account,
                   net::MemoryBudget& large_statement_budget, metrics::RequestMetrics& metrics,
                   const ListenEndpoint& listen_endpoint, traffic::RequestDispatcher& dispatcher,
                   std::vector<std::string> class_names, std::vector<bool> class_may_overlap,
                   bool uses_sessions, Micros longest_wait, std::uint64_t cancel_key_seed);
    ~ClientListener();

    // Starts to accept clients. Throws std::runtime_error if it cannot listen.
    void open();
    bool is_accepting() const { return listener_ && !stopping_since_; }
    // Starts a graceful stop: clients are still accepted and served for a while, each connection is closed
    // between its requests, and is_stopped() returns true once all connections are closed. With
    // `has_successor`, another process already accepts clients, and this one stops listening at once.
    void stop(bool has_successor);
    bool is_stopped() const { return stopping_since_ && !listener_ && sessions_.empty(); }
    // Closes idle sessions while the quota is exceeded, as after it has been lowered. Busy sessions close
    // after their responses.
    void shrink_to_quota();
    std::uint16_t port() const { return listener_->port(); }
    std::size_t session_count() const { return sessions_.size(); }
    // Handles a CancelRequest that another process has received.
    void cancel(const CancelKey& key) { context_.cancel_keys.cancel(key); }
    void forward_cancel_requests_to(std::function<void(const CancelKey&)> receiver) {
        context_.forward_cancel_request = std::move(receiver);
    }
    // Sets the receiver of the id, as a hash, of each request that is opened.
    void report_request_ids_to(std::function<void(std::uint64_t)> receiver) {
        context_.report_request_id = std::move(receiver);
    }
    std::vector<std::uint64_t> request_ids() const { return context_.request_ids.hashes(); }
    void on_request_id(std::uint64_t hash) { context_.request_ids.retain_hash(hash, deadlines_.now()); }
    metrics::SessionMetrics& session_metrics() { return context_.session_metrics; }

private:
    using Sessions = std::list<std::unique_ptr<ClientSession>>;

    void on_accepted(evutil_socket_t fd);
    void pause_accepting();
    void resume_accepting();
    void log_descriptor_use();
    bool can_accept();
    bool close_one_idle_session();
    bool release_lingering_slot();
    void close_long_idle_sessions();
    void continue_stop();
    void try_to_stop_listening();
    void end_listening(Time now);
    // Calls `visit` with each session until it returns false. `visit` may close the session.
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
    Sessions sessions_;  // ordered by last use, the most recent at the back
    std::map<const ClientSession*, Sessions::iterator> positions_;
    std::unique_ptr<net::Listener> listener_;
    Deadline resume_accepting_;
    Deadline continue_stop_;
    Deadline close_idle_;
    Micros longest_wait_;
    bool has_successor_ = false;
    Time last_accepted_at_ = 0;
    Time last_warning_at_ = 0;
    Time accepting_paused_at_ = 0;  // 0 while accepting
    // Since when connections may have been waiting in the accept queue; 0 if it was empty when last polled.
    Time queue_waits_since_ = 0;
    Time stopping_since_ = 0;  // 0 until stop() is called
    Time failed_all_at_ = 0;   // 0 until the stop has failed all open requests
};

}  // namespace sloestack::downstream
