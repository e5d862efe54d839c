// One client's connection: reads its queries one after the other and answers each before the next is read,
// so that answers leave in the order of the questions.
#pragma once

#include <algorithm>
#include <limits>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "clients/arrival_times.h"
#include "deadlines/deadlines.h"
#include "net/connection.h"
#include "net/quota.h"
#include "numbers/numbers.h"
#include "pgwire/frame.h"
#include "traffic/traffic.h"

namespace sloestack::clients {

class Session;

// The keys by which a client may cancel its request from another connection, handed out with the greeting.
// The secret is drawn from the process's seed: whoever has not been told it does not guess it.
struct CancelKey {
    std::uint32_t process = 0, secret = 0;
};
class CancelKeys {
public:
    explicit CancelKeys(std::uint64_t seed) : random_(seed) {}
    CancelKey add(Session& session);
    void remove(const CancelKey& key) { sessions_.erase(key.process); }
    Session* find(std::uint32_t process, std::uint32_t secret) const;

private:
    std::mt19937_64 random_;
    std::uint32_t last_ = 0;
    std::unordered_map<std::uint32_t, std::pair<std::uint32_t, Session*>> sessions_;
};

// What the sessions share.
struct Office {
    net::Loop& loop;
    Deadlines& deadlines;
    traffic::RequestDispatcher& dispatcher;
    net::ByteAccount& account;
    net::Room& room;  // for statements too large to be gathered in passing
    const net::Quota& quota;
    net::Quota& lingering;  // of connections that have ended on this side
    numbers::Numbers& numbers;
    std::vector<std::string> class_names;
    bool sessions_named = false;  // some class reads what its session has written
    CancelKeys keys{0};
    bool closing = false;                                  // sessions end after their next answer
    Time linger_until = std::numeric_limits<Time>::max();  // for a client to end as well
    std::unordered_set<std::string> open_ids = {};         // of the requests that wait for their answers
};

class SessionOwner {
public:
    virtual void used(Session& session) = 0;
    virtual void over(Session& session) = 0;

protected:
    ~SessionOwner() = default;
};

class Session final : public net::ConnectionEvents, private traffic::ResponseSink {
public:
    Session(Office& office, SessionOwner& owner, evutil_socket_t fd, net::Slot slot, bool turned_away);
    ~Session();

    bool opened() const { return connection_ != nullptr; }
    // Between requests, with nothing of the client's unread here: may be closed, the client will ask anew.
    bool between_requests() const;
    bool has_asked() const { return asked_; }
    // The same, and its last answer has left as well: may be closed at once.
    bool rests() const;
    // Of no use to a client that asks: it has said nothing for a while since it came.
    bool idles_at_the_door() const;
    Time quiet_since() const { return std::max({came_at_, read_at_, answered_at_}); }
    // Answers at once that what was asked has failed, and ends.
    void abandon();
    // Ends the session in order, by a lingering close.
    void finish();
    bool ends() const { return state_ == State::finishing || state_ == State::closed; }
    bool lingers() const { return lingers_; }
    // At once: of use after an error of the connection, or where a lingering one takes too long.
    void close();
    // The client's own word from another connection: what it waits for is answered as canceled, at once.
    void cancel();

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
    bool input_is_held() const;
    void look_whether_left(Micros from_now);
    void linger();
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
    bool has_left() override;

    Office& office_;
    SessionOwner& owner_;
    net::Slot slot_;
    bool turned_away_;
    State state_ = State::startup;
    bool skip_to_sync_ = false, input_over_ = false, reading_ = false;
    bool lingers_ = false;      // finishing, and all has left
    bool told_of_end_ = false;  // a notice has gone out by which a client that has left shows
    CancelKey key_;
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
    ArrivalTimes arrivals_;
    Time asked_at_ = 0;  // when the last byte came of the message read last
    // When the client must have gone on by: the limit that binds in the state at hand.
    Deadline limit_;
    Deadline look_, go_on_;
    std::unique_ptr<net::Connection> connection_;
};

}  // namespace sloestack::clients
