// One client's connection: reads its queries and answers them in their order. Reads that stand behind reads
// are begun while those before them are open; their answers wait for their turn.
#pragma once

#include <algorithm>
#include <deque>
#include <limits>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "deadlines/deadlines.h"
#include "metrics/metrics.h"
#include "pgwire/frame.h"
#include "sessions/arrival_times.h"
#include "traffic/request.h"
#include "transport/connection.h"
#include "transport/quota.h"

namespace sloestack::downstream {

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
    metrics::RequestMetrics& numbers;
    std::vector<std::string> class_names;
    std::vector<bool> class_overlaps;  // a read, safe to repeat: may run beside other such of its connection
    bool sessions_named = false;       // some class reads what its session has written
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

class Session final : public net::ConnectionEvents {
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

    // What the client has asked and has no answer to yet. The answer of the first one passes straight to the
    // client; that of another is kept until those before it have had theirs.
    struct Query final : traffic::ResponseSink {
        explicit Query(Session& of) : session(of) {}
        void on_value(const traffic::ResultValue& value) override { session.served(*this, value); }
        void on_value_started(const traffic::ResultValue& head, std::size_t size,
                              traffic::ResponseSource& from) override {
            session.begun(*this, head, size, from);
        }
        void on_value_chunk(std::string_view bytes) override { session.piece(*this, bytes); }
        void on_value_completed(const std::string& command_tag) override {
            session.finished(*this, command_tag);
        }
        void on_value_aborted() override { session.cut_off(*this); }
        void on_rejected(Micros retry_after) override { session.refused(*this, retry_after); }
        void on_failed() override { session.failed(*this); }
        bool client_disconnected() override { return session.has_left(); }

        Session& session;
        traffic::RequestId request = 0;  // 0 once it is answered
        int request_class = -1;
        std::string id;                             // the client's name for it
        std::string kept;                           // the answer, or its head, that waits for those before
        traffic::ResponseSource* source = nullptr;  // of an answer that is passed on in pieces
    };

    void read_all();
    bool read_one();  // false where there is nothing more to read now
    bool next_overlaps();
    void renew_limit();
    void out_of_time();
    int class_of(std::string_view statement) const;
    traffic::RequestId let_go(Query& query);
    void withdraw(Query& query);
    void withdraw_all();
    void keep(Query& query, std::string bytes);
    std::string take_kept(Query& query);
    bool is_first(const Query& query) const { return queries_.front().get() == &query; }
    bool passes_on() const { return !queries_.empty() && queries_.front()->source; }
    void start_up(std::string_view body);
    bool read_large(std::size_t size);
    bool is_silent() const;  // nothing of the client's is here or in the kernel, and it may be spoken to
    void message(const pgwire::Message& m);
    void query(std::string statement, std::shared_ptr<void> room = {});
    bool input_is_held() const;
    void look_whether_left(Micros from_now);
    void linger();
    void last_words_stand();
    void reply(std::string bytes);  // behind the answers to what was asked before
    void end_with(std::string_view sqlstate, std::string_view what);
    void answered(Query& query, std::string bytes);
    void next_answer();
    void say_error(std::string_view sqlstate, std::string_view what);

    void served(Query& query, const traffic::ResultValue& value);
    void begun(Query& query, const traffic::ResultValue& head, std::size_t size,
               traffic::ResponseSource& source);
    void piece(Query& query, std::string_view bytes);
    void finished(Query& query, const std::string& tag);
    void cut_off(Query& query);
    void refused(Query& query, Micros retry_after);
    void refuse(int request_class, Micros retry_after);  // what was never handed in
    void failed(Query& query);
    bool has_left();

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
    std::deque<std::unique_ptr<Query>> queries_;  // in their order, kMostOpen at most
    std::uint64_t taken_ = 0;                     // bytes the client had taken when the limit was set
    bool asked_ = false;                          // it has sent a query since it came
    Time came_at_, read_at_ = 0, begun_at_ = 0, answered_at_ = 0;
    ArrivalTimes arrivals_;
    Time asked_at_ = 0;  // when the last byte came of the message read last
    // When the client must have gone on by: the limit that binds in the state at hand.
    Deadline limit_;
    Deadline look_, go_on_;
    std::unique_ptr<net::Connection> connection_;
};

}  // namespace sloestack::downstream
