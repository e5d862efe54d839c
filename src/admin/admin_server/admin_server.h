// The operators' HTTP/1.1 interface, with one request per connection: readiness, metrics, and the exclusion
// of endpoints. Maps requests to calls of the AdminHandler, and their results to responses.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "admin_server/admin_connection.h"
#include "deadlines/deadlines.h"
#include "http/request.h"
#include "transport/connection.h"
#include "transport/listener.h"

namespace sloestack::admin {

// Carries out the requests. Implemented by the server.
class AdminHandler {
public:
    // Called once when an update is in force, during the call of exclude or include or later. The client may
    // have disconnected by then.
    using Done = std::function<void()>;

    virtual bool ready() const = 0;
    virtual std::string metrics_json() const = 0;
    // Returns whether discovery has ever listed an endpoint of this name.
    virtual bool was_ever_listed(const std::string& endpoint) const = 0;
    virtual void exclude(const std::string& endpoint, Done done) = 0;
    virtual void include(const std::string& endpoint, Done done) = 0;

protected:
    ~AdminHandler() = default;
};

class AdminServer final : private AdminConnectionEvents {
public:
    // Starts to listen. Throws std::runtime_error if the address cannot be listened on. All referenced
    // objects must outlive the server.
    AdminServer(net::Loop& loop, Deadlines& deadlines, const sockaddr_in& address, AdminHandler& handler);
    ~AdminServer();
    std::uint16_t port() const { return listener_->port(); }

private:
    struct Route;
    static const Route kRoutes[];

    void on_request(ConnectionId id, const http::RequestParser& request) override;
    void on_finished(ConnectionId id) override;
    void on_accepted(evutil_socket_t fd);
    void respond(ConnectionId id, const Response& response);

    void handle_ready(ConnectionId id, const http::RequestParser& request);
    void handle_metrics(ConnectionId id, const http::RequestParser& request);
    void handle_exclude(ConnectionId id, const http::RequestParser& request);
    void handle_include(ConnectionId id, const http::RequestParser& request);
    void update_exclusion(ConnectionId id, const http::RequestParser& request, bool excluded);

    net::Loop& loop_;
    Deadlines& deadlines_;
    AdminHandler& handler_;
    std::map<ConnectionId, std::unique_ptr<AdminConnection>> connections_;  // oldest first
    ConnectionId last_id_ = 0;
    Deadline resume_accepting_;
    std::unique_ptr<net::Listener> listener_;
};

}  // namespace sloestack::admin
