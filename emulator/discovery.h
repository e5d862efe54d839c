// Stand-in for discovery: the list of members, watches on it, and a service of fixed capacity that handles
// calls one after another and turns them away when it is overrun. Each proxy has an address of its own here,
// by which it is told apart.
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

struct Listed {
    int member = 0;  // its number in events
    int group = 0;
    std::string name, zone, phase = "in_service";
    std::uint16_t port = 0;
    Time up_since = 0;
    bool primary = false;
};

struct DiscoverySettings {
    std::vector<sockaddr_in> at;     // one address a proxy; port 0: any that is free
    Micros call = 0, entry = 0;      // what a call costs, and each entry that it tells
    Micros longest_queue = 0;        // a call that would wait longer gets 503 at once; 0: none
    std::vector<std::string> hosts;  // where each proxy reaches members: an address without a port
};

class Discovery {
public:
    enum class State { up, gone, empty, behind };

    // Throws std::runtime_error where an address is not to be had.
    Discovery(sloestack::net::Loop& loop, Deadlines& deadlines, const DiscoverySettings& settings,
              std::vector<Listed> members, EventSink& witness);
    ~Discovery();

    void update(const Listed& member);  // a change, by its name; who watches is told
    void set(State state);  // gone: calls are reset and new ones refused; behind: it serves the list of its
                            // start, under that list's revision; empty: lists without a member
    void slow(double times) { slow_ = times; }
    // The watches that are open now are never answered, each recorded as a call that ended "silent". What
    // they miss counts as told so long after, however long they were to wait.
    void fall_silent();
    static constexpr Micros kToldAfterSilence = 6'000'000;
    Edge& edge(int proxy) { return *edges_.at(static_cast<std::size_t>(proxy)); }
    void edge_changed(int proxy);
    void reset(int proxy);  // its connections

    // The whole list as it begins, for a proxy that reaches members at `host`.
    static nlohmann::json first_list(const std::vector<Listed>& members, const std::string& host);

    std::string address(int proxy = 0) const;
    std::string list(int proxy, bool complete, std::int64_t after) const;  // as it is told
    std::int64_t revision() const { return view().revision; }

private:
    class Call;
    struct Entry {
        Listed listed;
        std::int64_t revision = 1;  // of its last change; the first is that of first_list
    };
    struct View {
        std::int64_t revision = 1;
        std::map<std::string, Entry> members;
    };
    const View& view() const { return state_ == State::behind ? first_ : now_; }
    void open();
    void told(int proxy, bool complete, std::int64_t after);
    std::size_t entries(bool complete, std::int64_t after) const;

    sloestack::net::Loop& loop_;
    Deadlines& deadlines_;
    DiscoverySettings settings_;
    EventSink& witness_;
    View now_, first_;
    State state_ = State::up;
    double slow_ = 1;
    Time busy_until_ = 0;
    Random random_{1};
    std::vector<std::unique_ptr<Edge>> edges_;
    std::vector<std::unique_ptr<Port>> ports_;
    std::vector<std::unique_ptr<Call>> calls_;
    std::map<int, Time> answered_;  // by proxy: its last call that was
    std::vector<std::unique_ptr<Deadline>> missed_;
};

}  // namespace emulator
