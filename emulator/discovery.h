// Emulator of discovery: serves the endpoint list and watches on it, handles polls one after another at a
// fixed capacity, and rejects them when it is overloaded. Each proxy polls an address of its own, which
// identifies it.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "emulator/edge.h"
#include "emulator/event.h"

namespace emulator {

using sloestack::Deadline;
using sloestack::Deadlines;

// An endpoint as discovery lists it.
struct Listed {
    int member = 0;  // number of the endpoint in events
    int group = 0;
    std::string name, zone, phase = "in_service";
    std::uint16_t port = 0;
    Time up_since = 0;
    bool primary = false;
};

// What happens to a poll that waits in the queue for longer than the limit.
enum class Overload {
    reject,  // it gets status 503 at once, and costs nothing
    close,   // its connection is closed without a response when its turn comes
};

struct DiscoverySettings {
    std::vector<sockaddr_in> at;    // one address per proxy; port 0: any free port
    std::uint16_t second_port = 0;  // discovery listens there too, so that proxies can move; 0: it does not
    Micros call = 0, entry = 0;     // time to handle a poll, and for each entry in its response
    Micros longest_queue = 0;       // 0: no limit
    Overload overload = Overload::reject;
    double closed_poll_cost = 1;     // cost of a poll that is closed, relative to one that is answered
    std::vector<std::string> hosts;  // by proxy: the address of the endpoints, without a port
};

class Discovery {
public:
    enum class State { up, gone, empty, behind };

    // Throws std::runtime_error if it cannot listen on an address. All references must outlive this object.
    Discovery(sloestack::net::Loop& loop, Deadlines& deadlines, const DiscoverySettings& settings,
              std::vector<Listed> members, EventSink& event_sink);
    ~Discovery();

    // Adds or changes the entry of that name, and responds to the open long polls.
    void update(const Listed& member);
    // gone: open polls are reset and new ones refused; behind: serves the initial list under its revision;
    // empty: serves lists without endpoints.
    void set(State state);
    // Multiplies the time to handle a poll by `factor`.
    void slow(double factor) { slow_factor_ = factor; }
    // Never responds to the long polls that are open now; each is recorded as a poll that ended "silent".
    void fall_silent();
    // The proxies count as notified of a change this long after it, or after discovery can be reached again.
    static constexpr Micros kNotificationBound = 6'000'000;
    Edge& edge(int proxy) { return *edges_.at(static_cast<std::size_t>(proxy)); }
    void edge_changed(int proxy);
    // Closes the connections of the proxy.
    void reset(int proxy);

    // Returns the complete initial list for a proxy that reaches the endpoints at `host`.
    static nlohmann::json first_list(const std::vector<Listed>& members, const std::string& host);

    std::string address(int proxy = 0) const;
    // Returns the body of a response: the complete list, or the changes since revision `after`.
    std::string list(int proxy, bool complete, std::int64_t after) const;
    std::int64_t revision() const { return view().revision; }

private:
    class Poll;
    struct Entry {
        Listed listed;
        std::int64_t revision = 1;  // of its last change; 1 as in first_list()
    };
    struct View {
        std::int64_t revision = 1;
        std::map<std::string, Entry> members;
    };
    const View& view() const { return state_ == State::behind ? first_ : now_; }
    void listen();
    void record_notifications(int proxy, bool complete, std::int64_t after);
    void record_overdue_notifications(const std::string& name, std::int64_t revision, Time changed_at);
    void limit_notified_revision(int proxy, std::int64_t known);
    Time reachable_since(int proxy) const;
    Event notification(int proxy, const Listed& listed) const;
    std::size_t count_entries(bool complete, std::int64_t after) const;

    sloestack::net::Loop& loop_;
    Deadlines& deadlines_;
    DiscoverySettings settings_;
    EventSink& event_sink_;
    View now_, first_;
    State state_ = State::up;
    double slow_factor_ = 1;
    Time busy_until_ = 0;
    Random random_{1};
    std::vector<std::unique_ptr<Edge>> edges_;
    std::vector<std::vector<std::unique_ptr<Port>>> ports_;  // by proxy; empty while discovery is gone
    std::vector<std::unique_ptr<Poll>> polls_;
    std::map<int, std::int64_t> notified_revisions_;  // by proxy
    Time up_since_ = 0;
    std::map<int, Time> edge_clear_since_;  // by proxy
};

}  // namespace emulator
