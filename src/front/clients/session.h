// One client's connection: reads its queries one after the other and answers each before the next is read,
// so that answers leave in the order of the questions.
#pragma once

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "deadlines/deadlines.h"
#include "net/connection.h"
#include "net/quota.h"
#include "numbers/numbers.h"
#include "pgwire/frame.h"
#include "traffic/traffic.h"

namespace sloestack::clients {

// What the sessions share.
struct Office {
    net::Loop& loop;
    Deadlines& deadlines;
    traffic::Desk& desk;
    net::Ledger& ledger;
    net::Room& room;  // for statements too large to be gathered in passing
    const net::Quota& quota;
    numbers::Numbers& numbers;
    std::vector<std::string> class_names;
    bool sessions_named = false;                    // some class reads what its session has written
    bool closing = false;                           // sessions end after their next answer
    std::unordered_set<std::string> open_ids = {};  // of the requests that wait for their answers
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
    bool has_asked() const { return asked_; }
    // The same, and its last answer has left as well: may be closed at once.
    bool rests() const;
    // Of no use to a client that asks: it has said nothing for a while since it came, or it is ending.
    bool idles_at_the_door() const;
    Time quiet_since() const { return std::max({came_at_, read_at_, answered_at_}); }
    // Answers at once that what was asked has failed, and ends.
    void abandon();
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
    void renew_limit();
    void out_of_time();
    int class_of(std::string_view statement) const;
    void give_back_id();
    void start_up(std::string_view body);
    bool read_large(std::size_t size);
    bool is_silent() const;  // nothing of the client's is here or in the kernel, and it may be spoken to
    void message(const pgwire::Message& m);
    void query(std::string statement, std::shared_ptr<void> room = {});
    void look_at_half_closed();
    void last_word_out();
    void last_words_stand();
    void reply(const std::string& bytes);
    void end_with(std::string_view sqlstate, std::string_view what);
    void answered(const std::string& bytes);
    void say_error(std::string_view sqlstate, std::string_view what);

    void served(const traffic::Value& value) override;
    void begun(const traffic::Value& head, std::size_t size, traffic::Source& source) override;
    void piece(std::string_view bytes) override;
    void finished(const std::string& tag) override;
    void cut_off() override;
    void refused(Micros retry_after) override;
    void failed() override;

    Office& office_;
    SessionOwner& owner_;
    net::Slot slot_;
    bool turned_away_;
    State state_ = State::startup;
    bool skip_to_sync_ = false, input_over_ = false, reading_ = false, lingers_ = false;
    // A statement too large to be gathered in passing, as far as it has come.
    struct Large {
        std::string text;
        std::size_t left;
        std::shared_ptr<void> room;
    };
    std::optional<Large> large_;
    bool waits_for_room_ = false;
    traffic::Source* source_ = nullptr;  // of the answer that is passed on in pieces
    std::uint64_t taken_ = 0;            // bytes the client had taken when the limit was set
    bool asked_ = false;                 // it has sent a query since it came
    traffic::RequestId request_ = 0;
    int klass_ = -1;  // of the request asked last
    std::string id_;  // the client's name for the open request
    Time came_at_, read_at_ = 0, begun_at_ = 0, answered_at_ = 0;
    // When the client must have gone on by: the limit that binds in the state at hand.
    Deadline limit_;
    Deadline look_, go_on_;
    std::unique_ptr<net::Connection> connection_;
};

}  // namespace sloestack::clients
