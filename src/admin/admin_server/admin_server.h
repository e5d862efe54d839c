// The operators' door: HTTP/1.1, one call a connection. It knows what the calls are and how they are
// answered; what they do is the Operated's.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "deadlines/deadlines.h"
#include "http/request.h"
#include "transport/connection.h"

namespace sloestack::admin {

class Operated {  // what the calls reach
public:
    // Told at once or later, and once; the one who asked may have gone by then.
    using Done = std::function<void()>;

    virtual bool ready() const = 0;
    virtual std::string figures() const = 0;  // JSON
    virtual bool ever_listed(const std::string& member) const = 0;
    virtual void exclude(const std::string& member, Done done) = 0;
    virtual void include(const std::string& member, Done done) = 0;

protected:
    ~Operated() = default;
};

class Door {
public:
    Door(net::Loop& loop, Deadlines& deadlines, const sockaddr_in& at, Operated& operated);
    ~Door();
    std::uint16_t port() const { return listener_->port(); }

private:
    class Call;

    void accepted(evutil_socket_t fd);
    void handle(std::uint64_t number, const http::RequestParser& request);
    void answer(std::uint64_t number, int status, const std::string& body, const char* allowed = nullptr);
    void over(std::uint64_t number);

    net::Loop& loop_;
    Deadlines& deadlines_;
    Operated& operated_;
    std::map<std::uint64_t, std::unique_ptr<Call>> calls_;  // the oldest first
    std::uint64_t last_ = 0;
    Deadline resume_;
    std::unique_ptr<net::Listener> listener_;
};

}  // namespace sloestack::admin
