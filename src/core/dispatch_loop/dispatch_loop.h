// The turn: gathers what has happened, has the decision module decide once, and carries its decisions out.
// It decides nothing itself, and knows clients and members only by the interfaces in traffic.
#pragma once

#include <functional>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "deadlines/deadlines.h"
#include "metrics/metrics.h"
#include "sloestack/router.h"
#include "traffic/attempt.h"
#include "traffic/endpoint_list.h"
#include "traffic/request.h"

namespace sloestack::dispatch {

// What the proxy can act on; named once all of it stands.
struct Hands {
    traffic::AttemptSender& members;
    std::function<void()> watch_list;
    std::function<void(decision::EndpointListKind, const std::vector<traffic::ListedEndpoint>&)> list_changed;
};

class Proxy final : public traffic::RequestDispatcher,
                    public traffic::AttemptListener,
                    public traffic::EndpointListListener {
public:
    Proxy(Deadlines& deadlines, const decision::Settings& settings, std::uint64_t seed,
          metrics::Numbers& numbers);

    void attach(Hands hands);
    // Sweeps the deadlines and lets the module decide until nothing new has happened.
    void turn();
    std::size_t open_requests() const { return open_.size() - closed_.size(); }
    std::size_t members_avoided() const {
        return router_.ejected_endpoint_count();
    }  // by the module's choice

    // RequestDispatcher
    traffic::RequestId submit(traffic::Request request, traffic::ResponseSink& sink) override;
    void cancel_request(traffic::RequestId request) override;
    bool has_ready_endpoints() const override { return !ready_.empty(); }
    bool knows_replica_group(int replica_group) const override { return groups_.count(replica_group) > 0; }
    // AttemptListener
    bool on_answer_started(const decision::AnswerStarted& start, const traffic::ResultValue& head,
                           std::size_t size, traffic::ResponseSource& source) override;
    void on_value_chunk(traffic::RequestId request, std::string_view bytes) override;
    void on_attempt_ended(const decision::AttemptEnded& end,
                          std::optional<traffic::ResultValue> value) override;
    void on_health_check_ended(const decision::HealthCheckEnded& end) override;
    bool is_request_active(traffic::RequestId request) override;
    // EndpointListListener
    void on_endpoint_list(decision::EndpointListKind kind,
                          std::vector<traffic::ListedEndpoint> entries) override;
    void on_poll_failed(const decision::FailedPoll& call) override;

private:
    struct Open {
        traffic::ResponseSink* sink = nullptr;  // none once it is answered or its client has gone
        std::shared_ptr<const traffic::Statement> statement = {};
        int request_class = 0;
        Time deadline = 0;
        int attempts = 0;
        int started = -1;  // the attempt whose answer is being passed on
        Deadline overdue = {};
    };

    void step();
    void act(const decision::Forward& a);
    void act(const decision::Reject& a);
    void act(const decision::Fail& a);
    void act(const decision::Cancel& a);
    void act(const decision::SetTimer& a);
    void act(const decision::StartHealthCheck& a);
    void act(const decision::PollDiscovery& a);
    void act(const decision::Log& a);
    // Takes the request's sink, which is answered next; nothing where that has happened.
    traffic::ResponseSink* close(traffic::RequestId request);
    // The same, for a request that the module gives up.
    traffic::ResponseSink* give_up(traffic::RequestId request, decision::RejectionReason cause);
    void overdue(traffic::RequestId request);

    Deadlines& deadlines_;
    metrics::Numbers& numbers_;
    decision::Router router_;
    std::optional<Hands> hands_;
    std::vector<decision::Event> events_, stepping_;
    std::vector<decision::Action> actions_;
    std::unordered_map<traffic::RequestId, Open> open_;
    std::vector<traffic::RequestId> closed_;  // kept until the module has been told
    traffic::RequestId last_ = 0;
    std::unordered_set<int> groups_;
    std::unordered_set<traffic::EndpointId> ready_;
};

}  // namespace sloestack::dispatch
