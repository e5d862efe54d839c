// The tie between an old process and the one that is to follow it: a Unix socket on which the old one hands
// its bans on and both tell each other of later ones. A process may have a predecessor and a successor at
// once.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "deadlines/deadlines.h"
#include "transport/connection.h"

namespace sloestack::hot_restart {

class Estate {  // what is handed on and shared; kept by the server
public:
    virtual const std::set<std::string>& banned() const = 0;
    // Called by the other process; holds from then on.
    virtual void heard(bool out, const std::string& member) = 0;
    // How many processes share the limits from now on.
    virtual void shared_by(int processes) = 0;
    // Whether this process holds no more than its share.
    virtual bool fits() const = 0;
    // Nothing is left to wait for: serve. Told once.
    virtual void begin() = 0;

protected:
    ~Estate() = default;
};

class Succession {
public:
    // `path` is where the processes find each other.
    Succession(net::Loop& loop, Deadlines& deadlines, std::string path, Estate& estate);
    ~Succession();

    // Looks for a predecessor; the estate begins at once where there is none.
    void start();
    bool has_successor() const;
    // Passes a call on; `done` once all others hold it, or do not answer.
    void tell(bool out, const std::string& member, std::function<void()> done);

private:
    class Tie;
    struct Told {
        std::set<const Tie*> missing;
        std::function<void()> done;
        Deadline limit;
    };

    void listen();
    void begin();
    void accepted(evutil_socket_t fd);
    void heard(Tie& tie, const std::string& line);
    void welcome(Tie& tie);
    void over(Tie& tie);
    std::set<const Tie*> pass_on(bool out, const std::string& member, std::uint64_t number, const Tie* from);
    void held_by(const Tie& tie, std::uint64_t number);
    void count();

    net::Loop& loop_;
    Deadlines& deadlines_;
    std::string path_;
    Estate& estate_;
    std::vector<std::unique_ptr<Tie>> ties_;
    std::map<std::uint64_t, Told> told_;  // not yet held by all
    std::uint64_t last_ = 0;
    bool begun_ = false;
    Deadline patience_;
    std::unique_ptr<net::Listener> listener_;
};

}  // namespace sloestack::hot_restart
