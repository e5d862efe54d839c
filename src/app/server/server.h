// The whole proxy, put together from its packages; main and the network tests both run this.
#pragma once

#include <functional>

#include "bans/bans.h"
#include "clients/door.h"
#include "config/config.h"
#include "control/control.h"
#include "discovery/list.h"
#include "discovery/watch.h"
#include "net/loop.h"
#include "net/quota.h"
#include "numbers/numbers.h"
#include "proxy/proxy.h"
#include "succession/succession.h"
#include "upstream/pool.h"

namespace sloestack::server {

class Server final : private control::Operated, private succession::Estate {
public:
    // Throws config::BadConfig, or std::runtime_error where the address cannot be listened on. The clock
    // outlives it.
    explicit Server(const config::Config& config, const Clock& clock = system_clock());

    // Waits for something to happen, `at_most` that long, and deals with all that has.
    void turn(Micros at_most);
    // SIGTERM and SIGINT stop it; at SIGHUP it takes over what `load` says anew.
    void obey_signals(std::function<config::Config()> load);
    void stop() { door_->stop(succession_ && succession_->has_successor()); }
    bool over() const { return door_->over(); }
    // Whether a list is held and clients are accepted.
    bool ready() const override { return proxy_.able_to_serve() && door_ && door_->accepting(); }
    std::uint16_t port() const { return door_->port(); }
    std::uint16_t control_port() const { return control_->port(); }  // where there is such a door

private:
    static const Clock& system_clock();
    void reload(const config::Config& fresh);
    void report();

    // What operators call
    std::string figures() const override;
    bool ever_listed(const std::string& member) const override { return lists_.ever_listed(member); }
    void exclude(const std::string& member, Done done) override;
    void include(const std::string& member, Done done) override;
    void pass_on(bool out, const std::string& member, Done done);

    // What the processes of one proxy hand on and share
    const std::set<std::string>& banned() const override { return bans_.names(); }
    void heard(bool out, const std::string& member) override;
    void shared_by(int processes) override;
    bool fits() const override { return !clients_.over() && !members_.over(); }
    void begin() override;

    net::Loop loop_;
    Deadlines deadlines_;
    int sockets_;
    std::int64_t memory_mb_;
    net::Quota clients_, overflow_, lingering_, members_;
    net::Ledger ledger_;  // of what clients have sent and not had answered, or been sent and not taken
    net::Room room_;      // for large statements
    numbers::Numbers numbers_;
    proxy::Proxy proxy_;
    bans::Bans bans_{proxy_};
    upstream::Pool pool_;
    discovery::Reader lists_;
    discovery::List known_;  // until it begins
    std::unique_ptr<discovery::Watch> watch_;
    std::string discovery_;  // as the file named it last
    bool begun_ = false;
    bool waits_for_list_;  // clients are let in once discovery has been heard, or has failed to answer
    std::unique_ptr<clients::Door> door_;
    std::unique_ptr<control::Door> control_;
    std::unique_ptr<succession::Succession> succession_;
    Deadline report_;
    std::uint64_t told_ = 0;  // how much had been counted when the log last told the figures
};

}  // namespace sloestack::server
