#include "emulator/discovery.h"

#include <arpa/inet.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "http/request.h"

namespace emulator {
namespace {

namespace net = sloestack::net;
constexpr std::size_t kMostUnread = 64 * 1024;
constexpr Micros kLongestWait = 60'000'000;

std::string host_of(const sockaddr_in& at) {
    char text[INET_ADDRSTRLEN] = "";
    inet_ntop(AF_INET, &at.sin_addr, static_cast<char*>(text), sizeof text);
    return static_cast<char*>(text);
}

nlohmann::json entry_of(const Listed& m, const std::string& host) {
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
    for (const auto& m : members) out["members"].push_back(entry_of(m, host));
    return out;
}

class Discovery::Call final : public net::ConnectionEvents {
public:
    Call(Discovery& of, int proxy, evutil_socket_t fd) : of_(of), proxy_(proxy) {
        line_ = std::make_unique<Line>(Line::Host{of.loop_, of.deadlines_, of.random_}, of.edge(proxy), fd,
                                       kMostUnread, *this);
    }
    void received() override {
        try {
            request_->feed(line_->unread());
            line_->consume(line_->held());
            if (!request_->done()) return;
            const auto request = std::exchange(request_, std::make_unique<sloestack::http::RequestParser>());
            came_ = of_.deadlines_.now();
            if (request->path() != "/registry/instances") return respond(404, "{}");
            const auto after = request->parameter("after"), wait = request->parameter("wait_ms");
            after_ = after ? std::stoll(*after) : -1;
            const auto newest = of_.view().revision;
            // Who holds a newer list than there is gets all of it: what changed since cannot be said.
            if (after_ > newest) after_ = -1;
            if (after_ < 0 || after_ < newest || !wait || of_.state_ == State::empty) return serve();
            waits_ = true;
            const auto patience = std::min<Micros>(std::stoll(*wait) * 1000, kLongestWait);
            limit_.set(of_.deadlines_, came_ + patience, [this] { serve(); });
        } catch (const std::exception&) {
            respond(400, "{}");
        }
    }
    void ended(net::ConnectionEnd) override { close(); }
    void close() {
        limit_.clear();
        line_.reset();
        gone = true;
    }
    bool waits() const { return waits_; }
    std::int64_t after() const { return after_; }
    void fall_silent() {
        limit_.clear();
        waits_ = false;
        record("silent");
    }
    int proxy() const { return proxy_; }
    Line* line() { return line_.get(); }
    // Takes its turn: one call after another, each with what it costs.
    void serve() {
        waits_ = false;
        const auto now = of_.deadlines_.now();
        const bool complete = after_ < 0;
        const auto cost =
            static_cast<double>(of_.settings_.call +
                                of_.settings_.entry * static_cast<Micros>(of_.entries(complete, after_))) *
            of_.slow_;
        const auto begins = std::max(now, of_.busy_until_);
        if (of_.settings_.longest_queue > 0 && begins - now > of_.settings_.longest_queue)
            return respond(503, "{}");
        of_.busy_until_ = begins + static_cast<Micros>(cost);
        if (of_.busy_until_ <= now) return tell();
        limit_.set(of_.deadlines_, of_.busy_until_, [this] { tell(); });
    }
    bool gone = false;

private:
    void tell() {
        const bool complete = after_ < 0 || of_.state_ == State::empty;
        of_.told(proxy_, complete, after_);
        respond(200, of_.list(proxy_, complete, after_), complete ? "whole" : "changes");
    }
    void respond(int status, const std::string& body, std::string word = {}) {
        limit_.clear();
        waits_ = false;
        if (status == 200) of_.answered_[proxy_] = of_.deadlines_.now();
        record(word.empty() ? std::to_string(status) : std::move(word));
        if (line_)
            line_->write("HTTP/1.1 " + std::to_string(status) +
                         " Answer\r\nContent-Type: application/json\r\n" +
                         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    void record(std::string word) {
        Event e;
        e.what = What::called;
        e.at = of_.deadlines_.now();
        e.proxy = proxy_;
        e.since = came_;
        e.word = std::move(word);
        of_.witness_.saw(e);
    }
    Discovery& of_;
    int proxy_;
    std::int64_t after_ = -1;  // -1: all of it
    Time came_ = 0;
    bool waits_ = false;
    std::unique_ptr<sloestack::http::RequestParser> request_ =
        std::make_unique<sloestack::http::RequestParser>();
    Deadline limit_;
    std::unique_ptr<Line> line_;
};

Discovery::Discovery(net::Loop& loop, Deadlines& deadlines, const DiscoverySettings& settings,
                     std::vector<Listed> members, EventSink& witness)
    : loop_(loop), deadlines_(deadlines), settings_(settings), witness_(witness) {
    for (auto& m : members) {
        const auto name = m.name;
        now_.members[name].listed = std::move(m);
    }
    first_ = now_;
    for (std::size_t i = 0; i < settings.at.size(); ++i) edges_.push_back(std::make_unique<Edge>());
    open();
}

Discovery::~Discovery() = default;

void Discovery::open() {
    for (std::size_t i = 0; i < settings_.at.size(); ++i) {
        auto& at = settings_.at[i];
        ports_.push_back(std::make_unique<Port>(loop_, at, [this, i](evutil_socket_t fd) {
            calls_.erase(std::remove_if(calls_.begin(), calls_.end(), [](auto& c) { return c->gone; }),
                         calls_.end());
            calls_.push_back(std::make_unique<Call>(*this, static_cast<int>(i), fd));
        }));
        at.sin_port = htons(ports_.back()->port());
        ports_.back()->cut(edges_[i]->cut());
    }
}

std::string Discovery::address(int proxy) const {
    const auto& at = settings_.at.at(static_cast<std::size_t>(proxy));
    return host_of(at) + ":" + std::to_string(ntohs(at.sin_port));
}

std::size_t Discovery::entries(bool complete, std::int64_t after) const {
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
        out["members"].push_back(entry_of(m, settings_.hosts.at(static_cast<std::size_t>(proxy))));
    }
    return out.dump();
}

// What the answer tells binds the proxy from now on.
void Discovery::told(int proxy, bool complete, std::int64_t after) {
    if (state_ == State::empty || state_ == State::behind) return;  // no true word on any member
    Event e;
    e.at = deadlines_.now();
    e.proxy = proxy;
    for (const auto& [name, entry] : view().members) {
        if (!complete && entry.revision <= after) continue;
        e.what = entry.listed.phase == "in_service" ? What::back : What::drain;
        e.member = entry.listed.member;
        witness_.saw(e);
    }
}

void Discovery::update(const Listed& member) {
    auto& entry = now_.members[member.name];
    entry.listed = member;
    entry.revision = ++now_.revision;
    if (state_ == State::behind) return;
    for (auto& call : calls_)
        if (!call->gone && call->waits()) call->serve();
}

void Discovery::set(State state) {
    const bool was_gone = state_ == State::gone;
    state_ = state;
    if (state == State::gone) {
        for (auto& call : calls_) call->close();
        calls_.clear();
        ports_.clear();
        busy_until_ = 0;
    } else if (was_gone) {
        open();
    } else {
        for (auto& call : calls_)
            if (!call->gone && call->waits()) call->serve();
    }
}

void Discovery::fall_silent() {
    const auto now = deadlines_.now();
    for (auto& call : calls_) {
        if (call->gone || !call->waits()) continue;
        call->fall_silent();
        missed_.push_back(std::make_unique<Deadline>());
        missed_.back()->set(deadlines_, now + kToldAfterSilence,
                            [this, now, proxy = call->proxy(), after = call->after()] {
                                if (answered_[proxy] < now) told(proxy, false, after);
                            });
    }
}

void Discovery::reset(int proxy) {
    for (auto& call : calls_)
        if (call->proxy() == proxy) call->close();
}

void Discovery::edge_changed(int proxy) {
    if (!ports_.empty()) ports_.at(static_cast<std::size_t>(proxy))->cut(edge(proxy).cut());
    for (auto& call : calls_)
        if (call->proxy() == proxy && call->line()) call->line()->changed();
}

}  // namespace emulator
