// One client's connection: reads its queries one after the other and answers each before the next is read,
// so that answers leave in the order of the questions.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "deadlines/deadlines.h"
#include "net/connection.h"
#include "net/quota.h"
#include "pgwire/frame.h"
#include "traffic/traffic.h"

namespace sloestack::clients {

// What the sessions share.
struct Office {
    net::Loop& loop;
    Deadlines& deadlines;
    traffic::Desk& desk;
    std::vector<std::string> class_names;
    bool sessions_named = false;  // some class reads what its session has written
    bool closing = false;         // sessions end after their next answer
};

class Session;
class SessionOwner {
public:
    virtual void used(Session& session) = 0;
    virtual void over(Session& session) = 0;

protected:
    ~SessionOwner() = default;
};

class Session final : public net::ConnectionEvents, private traffic::Asker {
public:
    Session(Office& office, SessionOwner& owner, evutil_socket_t fd, net::Slot slot, bool turned_away);
    ~Session();

    bool opened() const { return connection_ != nullptr; }
    // Between requests, with nothing of the client's unread here: may be closed, the client will ask anew.
    bool between_requests() const;
    bool asked() const { return request_ != 0; }
    // Ends the session once what is written has left.
    void finish();
    void close();

    void received() override;
    void drained() override;
    void ended(net::Ending how) override;

private:
    enum class State { startup, open, finishing, closed };

    void read_all();
    bool read_one();  // false where there is nothing more to read now
    void start_up(std::string_view body);
    void message(const pgwire::Message& m);
    void query(std::string_view statement);
    void look_at_half_closed();
    void reply(const std::string& bytes);
    void end_with(std::string_view sqlstate, std::string_view what);
    void answered(const std::string& bytes);
    void say_error(std::string_view sqlstate, std::string_view what);

    void served(const traffic::Value& value) override;
    void refused(Micros retry_after) override;
    void failed() override;

    Office& office_;
    SessionOwner& owner_;
    net::Slot slot_;
    bool turned_away_;
    State state_ = State::startup;
    bool skip_to_sync_ = false, input_over_ = false, reading_ = false;
    traffic::RequestId request_ = 0;
    Time read_at_ = 0;
    Deadline deadline_;
    std::unique_ptr<net::Connection> connection_;
};

}  // namespace sloestack::clients
