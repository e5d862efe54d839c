// The members that operators have taken out by hand, laid over discovery's list: whoever follows the list
// reads a banned member as draining, whatever discovery says of it.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "traffic/traffic.h"

namespace sloestack::exclusions {

class Bans final : public traffic::ListReader {
public:
    explicit Bans(traffic::ListReader& next) : next_(next) {}

    void listed(decision::EndpointListKind kind, std::vector<traffic::Entry> entries) override;
    void call_failed(const decision::FailedPoll& call) override { next_.call_failed(call); }
    void ban(const std::string& name);
    // One call back ends the ban; what discovery says now, a restart included, is passed on with it.
    void lift(const std::string& name);
    bool is_banned(const std::string& name) const { return banned_.count(name) > 0; }

    const std::set<std::string>& names() const { return banned_; }
    std::size_t listed_members() const { return present_.size(); }
    std::size_t listed_and_banned() const;

private:
    traffic::Entry laid_over(traffic::Entry entry) const;
    void pass_on(const std::string& name);

    traffic::ListReader& next_;
    std::set<std::string> banned_;
    std::map<std::string, traffic::Entry> present_;  // discovery's word, of those it lists
};

}  // namespace sloestack::exclusions
