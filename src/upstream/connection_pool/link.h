// One connection to a member, whatever protocol it speaks. It carries one query at a time and is never used
// again while an answer to an earlier one may still come: whoever gives a query up destroys the link.
#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "connection_pool/answer.h"
#include "deadlines/deadlines.h"
#include "traffic/response.h"
#include "traffic/statement.h"
#include "transport/connection.h"
#include "transport/quota.h"

namespace sloestack::upstream {

class Link;

class LinkEvents {
public:
    virtual void link_ready(Link& link) = 0;  // up, and idle for the first time
    virtual void link_sent(Link& link) = 0;   // its query's last byte has been written
    // A value too large to be gathered: `size` bytes follow in pieces. False where nobody wants it; the link
    // is closed then.
    virtual bool link_value_begins(Link& link, const traffic::ResultValue& head, std::size_t size) = 0;
    virtual void link_piece(Link& link, std::string_view bytes) = 0;
    virtual void link_answering(Link& link) = 0;                 // a part of an answer has come
    virtual void link_answered(Link& link, Answer& answer) = 0;  // idle again
    // The link is of no more use. `turned_away`: the member has said that it takes no more connections. Where
    // the query had an outcome before the break, `answer` holds it; it is empty where what came was spoilt.
    virtual void link_broken(Link& link, Answer& answer, bool turned_away) = 0;

protected:
    ~LinkEvents() = default;
};

class Link : public traffic::ResponseSource {
public:
    virtual ~Link() = default;

    virtual bool opened() const = 0;  // false: no socket was to be had
    virtual bool kept() const = 0;    // has answered before
    virtual bool is_up() const = 0;   // idle, or a query is out
    // Idle, and nothing has come that belongs to no query: neither here nor, as yet, in the kernel.
    virtual bool reusable() const = 0;
    virtual void query(std::shared_ptr<const traffic::Statement> statement, Micros left) = 0;
    virtual void probe() = 0;            // asks for the load report
    virtual bool passes_on() const = 0;  // a value, piece by piece
    virtual bool held() const = 0;       // its taker has enough for now
    virtual void
    close() = 0;  // gives back socket and descriptor at once, though the object may still be on the stack
    virtual void spoilt() = 0;  // what came is no answer; ends the link
    // Whether the query's last byte has been written, so that it may run.
    virtual bool may_run() const = 0;

    Deadline deadline;  // its owner's: connecting, resting, standing idle, or answering
};

// Begins a connection to a member.
using LinkMaker =
    std::function<std::unique_ptr<Link>(const sockaddr_in& to, net::Slot slot, LinkEvents& events)>;

}  // namespace sloestack::upstream
