// Connections to the members, and the attempts and probes that travel on them. The pool turns what happens on
// sockets into outcomes; which member an attempt goes to is not its business, nor is the protocol on a link.
#pragma once

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "connection_pool/link.h"
#include "deadlines/deadlines.h"
#include "metrics/metrics.h"
#include "traffic/attempt.h"
#include "traffic/endpoint_list.h"
#include "transport/quota.h"

namespace sloestack::upstream {

struct PoolSettings {
    LinkMaker link;  // of the protocol that these members speak
    Micros connect_timeout_us = 250'000;
    Micros idle_limit_us = 15'000'000;  // the members'; ours are closed before
    bool removal_is_advisory = false;
};

class Pool final : public traffic::AttemptSender, private LinkEvents {
public:
    Pool(net::Loop& loop, Deadlines& deadlines, net::Quota& quota, PoolSettings settings,
         traffic::AttemptListener& results, metrics::RequestMetrics& numbers);
    ~Pool() override;

    void listed(decision::EndpointListKind kind, const std::vector<traffic::ListedEndpoint>& entries);
    void send(const traffic::Attempt& attempt) override;
    void cancel_attempt(traffic::RequestId request, int number) override;
    void start_health_check(traffic::EndpointId endpoint) override;

    // Closes idle links for as long as the share is exceeded; those in use end after their answers.
    void fit();
    std::size_t links() const { return by_link_.size(); }

private:
    struct Member;
    struct Job;
    using Links = std::list<std::unique_ptr<Link>>;

    void enqueue(std::unique_ptr<Job> job);
    void serve_waiting(Member& member);
    bool open_link(Member& member);
    bool close_an_idle_link();
    bool may_begin(const Job& job);
    bool begin(Link& link, Job& job);
    void rest(Member& member, Link& link);
    void became_idle(Member& member, Link& link);
    void give_up(Job& job, decision::Outcome outcome);
    void end(Job& job, decision::Outcome outcome, Answer* answer = nullptr);
    void drop(Link& link);
    void take_back(Member& member);

    void link_ready(Link& link) override;
    void link_sent(Link& link) override;
    bool link_value_begins(Link& link, const traffic::ResultValue& head, std::size_t size) override;
    void link_piece(Link& link, std::string_view bytes) override;
    void link_answering(Link& link) override;
    void link_answered(Link& link, Answer& answer) override;
    void link_broken(Link& link, Answer& answer, bool turned_away) override;

    net::Loop& loop_;
    Deadlines& deadlines_;
    net::Quota& quota_;
    PoolSettings settings_;
    traffic::AttemptListener& results_;
    metrics::RequestMetrics& numbers_;
    std::map<traffic::EndpointId, std::unique_ptr<Member>> members_;
    std::map<std::pair<traffic::RequestId, int>, std::unique_ptr<Job>> jobs_;
    struct Place {
        Member* member;
        Links::iterator at;
        Job* job;       // the query it carries
        bool resting;   // after an answer
        bool outdated;  // it leads to an address the member no longer has
    };
    std::map<const Link*, Place> by_link_;
    int probes_ = 0;
};

}  // namespace sloestack::upstream
