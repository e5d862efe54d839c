#include "emulator/discovery.h"

#include <arpa/inet.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "http/request.h"

namespace emulator {
namespace {

namespace net = sloestack::net;
constexpr std::size_t kMaxUnreadBytes = 64 * 1024;
constexpr Micros kMaxPollWait = 60'000'000;

std::string ip_address(const sockaddr_in& at) {
    char text[INET_ADDRSTRLEN] = "";
    inet_ntop(AF_INET, &at.sin_addr, static_cast<char*>(text), sizeof text);
    return static_cast<char*>(text);
}

nlohmann::json build_entry(const Listed& m, const std::string& host) {
    return {{"id", m.name},
            {"host_port", host + ":" + std::to_string(m.port)},
            {"locality", m.zone},
            {"flavor", "std"},
            {"cell", m.group},
            {"phase", m.phase},
            {"size", 1.0},
            {"up_since_ms", m.up_since / 1000},
            {"role", m.primary ? "primary" : "replica"}};
}
constexpr std::int64_t kFirstRevision = 1;

}  // namespace

nlohmann::json Discovery::first_list(const std::vector<Listed>& members, const std::string& host) {
    nlohmann::json out = {
        {"revision", kFirstRevision}, {"complete", true}, {"members", nlohmann::json::array()}};
    for (const auto& m : members) out["members"].push_back(build_entry(m, host));
    return out;
}

class Discovery::Poll final : public net::ConnectionEvents {
public:
    Poll(Discovery& discovery, int proxy, evutil_socket_t fd) : discovery_(discovery), proxy_(proxy) {
        line_ = std::make_unique<Line>(Line::Host{discovery.loop_, discovery.deadlines_, discovery.random_},
                                       discovery.edge(proxy), fd, kMaxUnreadBytes, *this);
    }
    void received() override {
        try {
            request_->feed(line_->unread());
            line_->consume(line_->unread_bytes());
            if (!request_->done()) return;
            const auto request = std::exchange(request_, std::make_unique<sloestack::http::RequestParser>());
            arrived_at_ = discovery_.deadlines_.now();
            if (request->path() != "/registry/instances") return respond(404, "{}");
            const auto after = request->parameter("after"), wait = request->parameter("wait_ms");
            after_ = after ? std::stoll(*after) : -1;
            if (after_ >= 0) discovery_.limit_notified_revision(proxy_, after_);
            const auto newest = discovery_.view().revision;
            // A proxy with a newer revision gets the complete list: the changes since are unknown.
            if (after_ > newest) after_ = -1;
            if (after_ < 0 || after_ < newest || !wait || discovery_.state_ == State::empty) return serve();
            is_waiting_ = true;
            const auto max_wait = std::min<Micros>(std::stoll(*wait) * 1000, kMaxPollWait);
            timer_.set(discovery_.deadlines_, arrived_at_ + max_wait, [this] { serve(); });
        } catch (const std::exception&) {
            respond(400, "{}");
        }
    }
    void ended(net::ConnectionEnd) override { close(); }
    void close() {
        timer_.clear();
        line_.reset();
        is_closed = true;
    }
    bool is_waiting() const { return is_waiting_; }
    std::int64_t after() const { return after_; }
    void fall_silent() {
        timer_.clear();
        is_waiting_ = false;
        record("silent");
    }
    int proxy() const { return proxy_; }
    Line* line() { return line_.get(); }
    // Queues the poll behind those being handled and responds once its own cost has passed.
    void serve() {
        is_waiting_ = false;
        const auto now = discovery_.deadlines_.now();
        const bool complete = after_ < 0;
        const auto cost =
            static_cast<double>(discovery_.settings_.call +
                                discovery_.settings_.entry *
                                    static_cast<Micros>(discovery_.count_entries(complete, after_))) *
            discovery_.slow_factor_;
        const auto begins = std::max(now, discovery_.busy_until_);
        const auto limit = discovery_.settings_.longest_queue;
        const bool is_overloaded = limit > 0 && begins - now > limit;
        if (is_overloaded && discovery_.settings_.overload == Overload::reject) return respond(503, "{}");
        const double share = is_overloaded ? discovery_.settings_.closed_poll_cost : 1;
        discovery_.busy_until_ = begins + static_cast<Micros>(cost * share);
        if (is_overloaded)
            return timer_.set(discovery_.deadlines_, discovery_.busy_until_, [this] { close_unanswered(); });
        if (discovery_.busy_until_ <= now) return respond_with_list();
        timer_.set(discovery_.deadlines_, discovery_.busy_until_, [this] { respond_with_list(); });
    }
    bool is_closed = false;

private:
    void close_unanswered() {
        record("closed");
        close();
    }
    void respond_with_list() {
        const bool complete = after_ < 0 || discovery_.state_ == State::empty;
        if (line_) discovery_.record_notifications(proxy_, complete, after_);
        respond(200, discovery_.list(proxy_, complete, after_), complete ? "whole" : "changes");
    }
    void respond(int status, const std::string& body, std::string word = {}) {
        timer_.clear();
        is_waiting_ = false;
        record(word.empty() ? std::to_string(status) : std::move(word));
        if (line_)
            line_->write("HTTP/1.1 " + std::to_string(status) +
                         " Answer\r\nContent-Type: application/json\r\n" +
                         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    void record(std::string word) {
        Event e;
        e.what = What::called;
        e.at = discovery_.deadlines_.now();
        e.proxy = proxy_;
        e.since = arrived_at_;
        e.word = std::move(word);
        discovery_.event_sink_.saw(e);
    }
    Discovery& discovery_;
    int proxy_;
    std::int64_t after_ = -1;  // -1: the complete list is requested
    Time arrived_at_ = 0;
    bool is_waiting_ = false;
    std::unique_ptr<sloestack::http::RequestParser> request_ =
        std::make_unique<sloestack::http::RequestParser>();
    Deadline timer_;
    std::unique_ptr<Line> line_;
};

Discovery::Discovery(net::Loop& loop, Deadlines& deadlines, const DiscoverySettings& settings,
                     std::vector<Listed> members, EventSink& event_sink)
    : loop_(loop), deadlines_(deadlines), settings_(settings), event_sink_(event_sink) {
    for (auto& m : members) {
        const auto name = m.name;
        now_.members[name].listed = std::move(m);
    }
    first_ = now_;
    for (std::size_t i = 0; i < settings.at.size(); ++i) edges_.push_back(std::make_unique<Edge>());
    listen();
}

Discovery::~Discovery() = default;

void Discovery::listen() {
    for (std::size_t i = 0; i < settings_.at.size(); ++i) {
        auto& at = settings_.at[i];
        const auto accept = [this, i](evutil_socket_t fd) {
            polls_.erase(std::remove_if(polls_.begin(), polls_.end(), [](auto& c) { return c->is_closed; }),
                         polls_.end());
            polls_.push_back(std::make_unique<Poll>(*this, static_cast<int>(i), fd));
        };
        auto& ports = ports_.emplace_back();
        ports.push_back(std::make_unique<Port>(loop_, at, accept));
        at.sin_port = htons(ports.back()->port());
        if (settings_.second_port > 0) {
            auto second = at;
            second.sin_port = htons(settings_.second_port);
            ports.push_back(std::make_unique<Port>(loop_, second, accept));
        }
        for (auto& port : ports) port->cut(edges_[i]->cut());
    }
}

std::string Discovery::address(int proxy) const {
    const auto& at = settings_.at.at(static_cast<std::size_t>(proxy));
    return ip_address(at) + ":" + std::to_string(ntohs(at.sin_port));
}

std::size_t Discovery::count_entries(bool complete, std::int64_t after) const {
    if (complete) return view().members.size();
    return static_cast<std::size_t>(std::count_if(view().members.begin(), view().members.end(),
                                                  [&](auto& m) { return m.second.revision > after; }));
}

std::string Discovery::list(int proxy, bool complete, std::int64_t after) const {
    nlohmann::json out = {
        {"revision", view().revision}, {"complete", complete}, {"members", nlohmann::json::array()}};
    if (state_ == State::empty) return out.dump();
    for (const auto& [name, entry] : view().members) {
        const auto& m = entry.listed;
        if (complete ? m.phase == "terminated" : entry.revision <= after) continue;
        out["members"].push_back(build_entry(m, settings_.hosts.at(static_cast<std::size_t>(proxy))));
    }
    return out.dump();
}

// Records what the response tells the proxy; drain rules bind it from now on.
void Discovery::record_notifications(int proxy, bool complete, std::int64_t after) {
    // The served list is empty or outdated, so it notifies the proxy of no current phase.
    if (state_ == State::empty || state_ == State::behind) return;
    notified_revisions_[proxy] = view().revision;
    for (const auto& [name, entry] : view().members)
        if (complete || entry.revision > after) event_sink_.saw(notification(proxy, entry.listed));
}

// A process that has restarted knows less than its predecessor, as its polls tell.
void Discovery::limit_notified_revision(int proxy, std::int64_t known) {
    auto& notified = notified_revisions_[proxy];
    notified = std::min(notified, known);
}

Event Discovery::notification(int proxy, const Listed& listed) const {
    Event e;
    e.at = deadlines_.now();
    e.proxy = proxy;
    e.what = listed.phase == "in_service" ? What::back : What::drain;
    e.member = listed.member;
    return e;
}

Time Discovery::reachable_since(int proxy) const {
    const auto clear = edge_clear_since_.find(proxy);
    return std::max(up_since_, clear == edge_clear_since_.end() ? 0 : clear->second);
}

// Records the change `revision` of the endpoint `name` for the proxies that have had no response with it. A
// proxy that could not reach discovery since then is left out: the record claims no violation that depends on
// when it could.
void Discovery::record_overdue_notifications(const std::string& name, std::int64_t revision,
                                             Time changed_at) {
    const auto found = now_.members.find(name);
    if (found == now_.members.end() || found->second.revision != revision || state_ != State::up) return;
    for (int proxy = 0; proxy < static_cast<int>(edges_.size()); ++proxy) {
        const bool is_reachable =
            edge(proxy).in.clear() && edge(proxy).out.clear() && reachable_since(proxy) <= changed_at;
        if (!is_reachable || notified_revisions_[proxy] >= revision) continue;
        auto event = notification(proxy, found->second.listed);
        event.word = kOverdueNotification;
        event_sink_.saw(event);
    }
}

void Discovery::update(const Listed& member) {
    auto& entry = now_.members[member.name];
    entry.listed = member;
    entry.revision = ++now_.revision;
    const auto now = deadlines_.now();
    deadlines_.add(now + kNotificationBound, [this, name = member.name, revision = entry.revision, now] {
        record_overdue_notifications(name, revision, now);
    });
    if (state_ == State::behind) return;
    for (auto& poll : polls_)
        if (!poll->is_closed && poll->is_waiting()) poll->serve();
}

void Discovery::set(State state) {
    const bool was_gone = state_ == State::gone;
    state_ = state;
    if (state == State::up) up_since_ = deadlines_.now();
    if (state == State::gone) {
        for (auto& poll : polls_) poll->close();
        polls_.clear();
        ports_.clear();
        busy_until_ = 0;
    } else if (was_gone) {
        listen();
    } else {
        for (auto& poll : polls_)
            if (!poll->is_closed && poll->is_waiting()) poll->serve();
    }
}

void Discovery::fall_silent() {
    for (auto& poll : polls_)
        if (!poll->is_closed && poll->is_waiting()) poll->fall_silent();
}

void Discovery::reset(int proxy) {
    for (auto& poll : polls_)
        if (poll->proxy() == proxy) poll->close();
}

void Discovery::edge_changed(int proxy) {
    if (!ports_.empty())
        for (auto& port : ports_.at(static_cast<std::size_t>(proxy))) port->cut(edge(proxy).cut());
    edge_clear_since_[proxy] = deadlines_.now();
    for (auto& poll : polls_)
        if (poll->proxy() == proxy && poll->line()) poll->line()->on_edge_changed();
}

}  // namespace emulator
