// The operators' HTTP/1.1 interface, one request a connection: readiness, metrics, and the exclusion of
// endpoints. It knows the routes and their responses; what they do is up to the AdminHandler.
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

namespace sloestack::admin {

// What the requests act on; implemented by the server.
class AdminHandler {
public:
    // Called once, now or later, when an update is in force; the client may have gone by then.
    using Done = std::function<void()>;

    virtual bool ready() const = 0;
    virtual std::string metrics_json() const = 0;
    // Whether discovery has ever listed an endpoint of this name.
    virtual bool was_ever_listed(const std::string& endpoint) const = 0;
    virtual void exclude(const std::string& endpoint, Done done) = 0;
    virtual void include(const std::string& endpoint, Done done) = 0;

protected:
    ~AdminHandler() = default;
};

class AdminServer final : private AdminConnectionEvents {
public:
    // Listens at once; throws std::runtime_error where the address cannot be listened on. The references
    // outlive this.
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
    std::map<ConnectionId, std::unique_ptr<AdminConnection>> connections_;  // the oldest first
    ConnectionId last_id_ = 0;
    Deadline resume_accepting_;
    std::unique_ptr<net::Listener> listener_;
};

}  // namespace sloestack::admin
