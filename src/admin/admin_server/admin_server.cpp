#include "admin_server/admin_server.h"

#include <iterator>

#include "log/log.h"

namespace sloestack::admin {
namespace {

constexpr std::size_t kMostCalls = 8;  // open at once; their descriptors are the process's own
constexpr std::size_t kMostUnread = 16 * 1024;
constexpr Micros kWholeCall = 900'000;  // from connecting to the last byte: callers wait 1 s
constexpr Micros kPause = 20'000;       // of the listener, when there are no descriptors

const char* reason(int status) {
    switch (status) {
        case 200:
            return "OK";
        case 400:
            return "Bad Request";
        case 404:
            return "Not Found";
        case 405:
            return "Method Not Allowed";
        case 408:
            return "Request Timeout";
        default:
            return "Service Unavailable";
    }
}

std::string said(bool yes, const std::string& what) {
    return std::string("{\"") + (yes ? "done" : "error") + "\":\"" + what + "\"}";
}

}  // namespace

// One caller's connection: reads one call, is given its answer, and ends.
class Door::Call final : public net::ConnectionEvents {
public:
    Call(Door& door, std::uint64_t number, evutil_socket_t fd) : door_(door), number_(number) {
        connection_ = net::Connection::accepted(door.loop_, fd, kMostUnread, *this);
        limit_.set(door.deadlines_, door.deadlines_.now() + kWholeCall, [this] { out_of_time(); });
    }
    bool opened() const { return connection_ != nullptr; }

    void answer(int status, const std::string& body, const char* allowed) {
        if (answered_) return;
        answered_ = true;
        std::string head =
            "HTTP/1.1 " + std::to_string(status) + " " + reason(status) +
            "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
            "\r\nConnection: close\r\n";
        if (allowed) head += std::string("Allow: ") + allowed + "\r\n";
        connection_->write(head + "\r\n" + body);
    }
    void received() override {
        if (!request_.done() && !answered_) try {
                request_.feed(connection_->unread());
                connection_->consume(connection_->held());
                if (request_.done()) door_.handle(number_, request_);
                return;
            } catch (const http::BadRequest& error) {
                answer(400, said(false, error.what()), nullptr);
            }
        connection_->consume(connection_->held());
    }
    // The caller reads its answer before the end: to close with input unread could take the answer with it.
    void drained() override {
        if (!answered_) return;
        if (input_over_) return door_.over(number_);
        connection_->end_writing();
    }
    void ended(net::Ending how) override {
        input_over_ = true;
        if (how == net::Ending::broken || !request_.done() || (answered_ && connection_->unwritten() == 0))
            door_.over(number_);
    }

private:
    void out_of_time() {
        if (answered_) return door_.over(number_);
        answer(408, said(false, "no whole call in time"), nullptr);
        limit_.set(door_.deadlines_, door_.deadlines_.now() + kWholeCall, [this] { door_.over(number_); });
    }

    Door& door_;
    std::uint64_t number_;
    http::RequestParser request_;
    bool answered_ = false, input_over_ = false;
    Deadline limit_;
    std::unique_ptr<net::Connection> connection_;
};

Door::Door(net::Loop& loop, Deadlines& deadlines, const sockaddr_in& at, Operated& operated)
    : loop_(loop), deadlines_(deadlines), operated_(operated) {
    listener_ = std::make_unique<net::Listener>(
        loop_, at, [this](evutil_socket_t fd) { accepted(fd); },
        [this] { resume_.set(deadlines_, deadlines_.now() + kPause, [this] { listener_->resume(); }); });
}

Door::~Door() = default;

// Whoever finishes no call makes room for the next caller.
void Door::accepted(evutil_socket_t fd) {
    if (calls_.size() >= kMostCalls) over(calls_.begin()->first);
    const auto number = ++last_;
    auto call = std::make_unique<Call>(*this, number, fd);
    if (call->opened()) calls_[number] = std::move(call);
}

void Door::over(std::uint64_t number) {
    const auto found = calls_.find(number);
    if (found == calls_.end()) return;
    loop_.delete_later(std::move(found->second));
    calls_.erase(found);
}

void Door::answer(std::uint64_t number, int status, const std::string& body, const char* allowed) {
    const auto found = calls_.find(number);
    if (found != calls_.end()) found->second->answer(status, body, allowed);
}

void Door::handle(std::uint64_t number, const http::RequestParser& request) {
    const auto& path = request.path();
    const bool out = path == "/api/exclude", back = path == "/api/include";
    const bool ready = path == "/api/ready", figures = path == "/api/telemetry";
    if (!out && !back && !ready && !figures) return answer(number, 404, said(false, "no such call"));
    const char* method = out || back ? "POST" : "GET";
    if (request.method() != method) return answer(number, 405, said(false, "not this method"), method);
    if (figures) return answer(number, 200, operated_.figures());
    if (ready)
        return operated_.ready() ? answer(number, 200, said(true, "ready"))
                                 : answer(number, 503, said(false, "not ready"));
    const auto member = request.parameter("id");
    if (!member || member->empty()) return answer(number, 400, said(false, "no id"));
    if (!operated_.ever_listed(*member)) return answer(number, 404, said(false, "never listed"));
    log::line(out ? "excluded" : "included", *member);
    const auto done = [this, number, out] { answer(number, 200, said(true, out ? "excluded" : "included")); };
    out ? operated_.exclude(*member, done) : operated_.include(*member, done);
}

}  // namespace sloestack::admin
