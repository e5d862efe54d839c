// The members that operators have taken out by hand, laid over discovery's list: whoever follows the list
// reads a banned member as draining, whatever discovery says of it.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "traffic/endpoint_list.h"

namespace sloestack::exclusions {

class Bans final : public traffic::EndpointListListener {
public:
    explicit Bans(traffic::EndpointListListener& next) : next_(next) {}

    void on_endpoint_list(decision::EndpointListKind kind,
                          std::vector<traffic::ListedEndpoint> entries) override;
    void on_poll_failed(const decision::FailedPoll& poll) override { next_.on_poll_failed(poll); }
    void ban(const std::string& name);
    // One call back ends the ban; what discovery says now, a restart included, is passed on with it.
    void lift(const std::string& name);
    bool is_banned(const std::string& name) const { return banned_.count(name) > 0; }

    const std::set<std::string>& names() const { return banned_; }
    std::size_t listed_members() const { return present_.size(); }
    std::size_t listed_and_banned() const;

private:
    traffic::ListedEndpoint laid_over(traffic::ListedEndpoint entry) const;
    void pass_on(const std::string& name);

    traffic::EndpointListListener& next_;
    std::set<std::string> banned_;
    std::map<std::string, traffic::ListedEndpoint> present_;  // discovery's word, of those it lists
};

}  // namespace sloestack::exclusions
