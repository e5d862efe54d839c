#include "admin_server/admin_server.h"

#include <utility>

#include "admin_server/admin_json.h"
#include "log/log.h"

namespace sloestack::admin {
namespace {

constexpr std::size_t kMaxConnections = 8;  // their descriptors are not part of the client quota
constexpr Micros kAcceptPauseUs = 20'000;   // before accepting again after running out of descriptors

}  // namespace

struct AdminServer::Route {
    const char* path;
    const char* method;
    void (AdminServer::*handle)(ConnectionId id, const http::RequestParser& request);
};

const AdminServer::Route AdminServer::kRoutes[] = {
    {"/api/ready", "GET", &AdminServer::handle_ready},
    {"/api/telemetry", "GET", &AdminServer::handle_metrics},
    {"/api/exclude", "POST", &AdminServer::handle_exclude},
    {"/api/include", "POST", &AdminServer::handle_include},
};

AdminServer::AdminServer(net::Loop& loop, Deadlines& deadlines, const sockaddr_in& address,
                         AdminHandler& handler)
    : loop_(loop), deadlines_(deadlines), handler_(handler) {
    const auto resume_later = [this] {
        resume_accepting_.set(deadlines_, deadlines_.now() + kAcceptPauseUs, [this] { listener_->resume(); });
    };
    listener_ = std::make_unique<net::Listener>(
        loop_, address, [this](evutil_socket_t fd) { on_accepted(fd); }, resume_later);
}

AdminServer::~AdminServer() = default;

// At the limit the oldest connection is closed, so that
// clients that never complete a request cannot block others.
void AdminServer::on_accepted(evutil_socket_t fd) {
    if (connections_.size() >= kMaxConnections) on_finished(connections_.begin()->first);
    const auto id = ++last_id_;
    auto connection = std::make_unique<AdminConnection>(loop_, deadlines_, fd, id,
                                                        static_cast<AdminConnectionEvents&>(*this));
    if (connection->is_open()) connections_[id] = std::move(connection);
}

void AdminServer::on_finished(ConnectionId id) {
    const auto found = connections_.find(id);
    if (found == connections_.end()) return;
    loop_.delete_later(std::move(found->second));
    connections_.erase(found);
}

void AdminServer::respond(ConnectionId id, const Response& response) {
    const auto found = connections_.find(id);
    if (found != connections_.end()) found->second->respond(response);
}

void AdminServer::on_request(ConnectionId id, const http::RequestParser& request) {
    for (const auto& route : kRoutes) {
        if (request.path() != route.path) continue;
        if (request.method() == route.method) return (this->*route.handle)(id, request);
        return respond(id, {405, error_json("method not allowed"), route.method});
    }
    respond(id, {404, error_json("unknown path")});
}

void AdminServer::handle_ready(ConnectionId id, const http::RequestParser&) {
    if (handler_.ready()) return respond(id, {200, done_json("ready")});
    respond(id, {503, error_json("not ready")});
}

void AdminServer::handle_metrics(ConnectionId id, const http::RequestParser&) {
    respond(id, {200, handler_.metrics_json()});
}

void AdminServer::handle_exclude(ConnectionId id, const http::RequestParser& request) {
    update_exclusion(id, request, true);
}

void AdminServer::handle_include(ConnectionId id, const http::RequestParser& request) {
    update_exclusion(id, request, false);
}

void AdminServer::update_exclusion(ConnectionId id, const http::RequestParser& request, bool excluded) {
    const auto endpoint = request.parameter("id");
    if (!endpoint || endpoint->empty())
        return respond(id, {400, error_json("query parameter id is missing or empty")});
    if (!handler_.was_ever_listed(*endpoint))
        return respond(id, {404, error_json("discovery has never listed an endpoint of this id")});
    const std::string update = excluded ? "excluded" : "included";
    log::line(update, *endpoint);
    const auto done = [this, id, update] { respond(id, {200, done_json(update)}); };
    excluded ? handler_.exclude(*endpoint, done) : handler_.include(*endpoint, done);
}

}  // namespace sloestack::admin
