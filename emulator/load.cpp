#include "emulator/load.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "pgwire/build.h"

namespace emulator {
namespace {

namespace pgwire = sloestack::pgwire;
namespace conversation = sloestack::conversation;
using conversation::Kind;

constexpr std::size_t kMaxUnreadBytes = 8 * 1024 * 1024;
constexpr Micros kNoticeSpread = 4;  // the front stops using a proxy after a quarter to all of `notice`
constexpr std::int64_t kMinBackoff = 12'000, kMaxBackoff = 100'000;
constexpr std::int64_t kRowCodes = 100'000;

}  // namespace

// Each session has a row of its own, in one replica group.
void RequestGenerator::draw_session(Request& q) {
    const auto number = static_cast<std::uint64_t>(random_.between(0, sessions_.each - 1));
    q.session = true;
    q.request_class = random_.unit() < sessions_.writes ? kWrite : kSessionRead;
    q.code = hex16(mixed(first_session_ + number, "session"));
    q.group = static_cast<int>(number % static_cast<std::uint64_t>(groups_));
}

Request RequestGenerator::next() {
    Request q;
    double at = random_.unit();
    while (q.request_class + 1 < kRosterClasses && at >= kClasses[q.request_class].share)
        at -= kClasses[q.request_class++].share;
    q.id = hex16(random_.next());
    q.code = hex16(static_cast<std::uint64_t>(random_.between(0, codes_ - 1)) * 0x9e3779b97f4a7c15u);
    q.group = static_cast<int>(random_.between(0, groups_ - 1));
    if (sessions_.share > 0 && random_.unit() < sessions_.share) draw_session(q);
    q.left_ms = kClasses[q.request_class].timeout_us / 1000;
    if (!kClasses[q.request_class].write) return q;
    q.key = hex16(random_.next());
    q.data.resize(static_cast<std::size_t>(random_.between(8, 200)));
    for (auto& c : q.data) c = static_cast<char>(random_.next());
    return q;
}

class Load::Client final : public sloestack::net::ConnectionEvents, private conversation::Listener {
public:
    Client(Load& load, int proxy) : load_(load), proxy_(proxy) {}
    bool is_free() const { return !pending_; }
    Line* line() { return line_.get(); }
    void send_request(PendingRequest asked) {
        pending_ = std::move(asked);
        deadline_at_ = load_.deadlines_.now() + pending_->request.left_ms * 1000;
        if (load_.settings_.leave > 0 && load_.random_.unit() < load_.settings_.leave)
            set_time_to_leave();
        else
            timer_.set(load_.deadlines_, deadline_at_ + load_.settings_.grace,
                       [this] { ended(sloestack::net::ConnectionEnd::error); });
        is_resent_ = false;
        begin_attempt();
    }
    void begin_attempt() {
        if (!line_) {
            is_reused_ = false;
            dialect_ = conversation::postgres().begin(1, load_.memory_, *this);
            is_sent_ = is_connected_ = false;
            auto& to = *load_.proxies_[static_cast<std::size_t>(proxy_)];
            line_ = std::make_unique<Line>(Line::Host{load_.loop_, load_.deadlines_, load_.random_}, *to.edge,
                                           to.at, kMaxUnreadBytes, *this);
        } else if (dialect_->greeted()) {
            write_request();
        }
    }
    void connected() override {
        is_connected_ = true;
        std::string out;
        pgwire::Builder(out).startup_message("portal", "crm");
        dialect_->read(conversation::Side::client, out, load_.deadlines_.now());
        line_->write(out);
    }
    void received() override {
        const std::string bytes(line_->unread());
        dialect_->read(conversation::Side::server, bytes, load_.deadlines_.now());
        if (line_) line_->consume(bytes.size());
        load_.on_reachable(proxy_);
        has_received_ = true;
        finish_request();
    }
    void ended(sloestack::net::ConnectionEnd) override {
        const bool was_up = is_connected_;
        line_.reset();
        is_connected_ = false;
        // The proxy may have closed an idle connection while the request was on its way: resend it once.
        if (pending_ && is_sent_ && !response_ && is_reused_ && !has_received_ && !is_resent_ &&
            load_.deadlines_.now() < deadline_at_) {
            is_resent_ = true;
            return begin_attempt();
        }
        timer_.clear();
        if (!was_up && !(pending_ && pending_->has_left)) load_.on_unreachable(proxy_);
        if (!pending_) return;
        // A request that was never written was not accepted; the outcome of one that was written is unknown.
        if (!is_sent_) {
            conversation::ResponseEvent none;
            none.kind = Kind::refused;
            response_ = none;
        } else if (!response_) {
            dialect_->over(load_.deadlines_.now());
            if (!response_) response_.emplace();
        }
        finish_request();
    }

private:
    // The client leaves at a random time in the last nine tenths of its deadline, or at the deadline.
    void set_time_to_leave() {
        constexpr double kMinPatience = 0.1, kMaxPatience = 1.5;
        const double patience = kMinPatience + (kMaxPatience - kMinPatience) * load_.random_.unit();
        const auto left = static_cast<double>(pending_->request.left_ms * 1000) * std::min(1.0, patience);
        timer_.set(load_.deadlines_, load_.deadlines_.now() + static_cast<Micros>(left), [this] { leave(); });
    }
    void leave() {
        pending_->has_left = true;
        if (is_sent_) {
            Event e;
            e.what = What::left;
            e.at = load_.deadlines_.now();
            e.proxy = proxy_;
            e.id = pending_->request.id;
            load_.event_sink_.saw(e);
        }
        is_resent_ = true;
        ended(sloestack::net::ConnectionEnd::error);
    }
    void greeted(conversation::ConnectionId, conversation::Time, const conversation::Digest&) override {
        if (pending_) write_request();
    }
    void asked(const conversation::RequestEvent&) override {}
    void answered(const conversation::ResponseEvent& a) override { response_ = a; }
    // Writes the request. The time to establish the connection counts towards the deadline; if none is left,
    // nothing is written.
    void write_request() {
        const auto left = deadline_at_ - load_.deadlines_.now();
        if (left < 1000)  // deferred: the dialect may be the caller
            return timer_.set(load_.deadlines_, load_.deadlines_.now(),
                              [this] { ended(sloestack::net::ConnectionEnd::error); });
        auto& request = pending_->request;
        request.left_ms = left / 1000;
        if (request.request_class == kSessionRead && load_.settings_.sessions.brought) {
            const auto last = load_.last_commit_by_session_.find(request.code);
            if (last != load_.last_commit_by_session_.end()) request.after_ms = (last->second + 999) / 1000;
        }
        std::string out;
        pgwire::Builder(out).query(build_statement(pending_->request));
        is_sent_ = true;
        has_received_ = false;
        Event e;
        e.what = What::asked;
        if (is_resent_) e.word = "again";
        e.at = load_.deadlines_.now();
        e.proxy = proxy_;
        e.request_class = pending_->request.request_class;
        e.id = pending_->request.id;
        if (request.session) e.key = request.code;
        e.since = pending_->first_at;
        e.until = deadline_at_;
        load_.event_sink_.saw(e);
        dialect_->read(conversation::Side::client, out, load_.deadlines_.now());
        line_->write(out);
    }
    void finish_request() {
        if (!response_ || !pending_) return;
        timer_.clear();
        is_reused_ = line_ != nullptr;
        const auto asked = *std::exchange(pending_, std::nullopt);
        const auto got = *std::exchange(response_, std::nullopt);
        load_.answered(proxy_, asked, got, is_sent_);
    }
    Load& load_;
    int proxy_;
    std::optional<PendingRequest> pending_;
    std::optional<conversation::ResponseEvent> response_;
    bool is_sent_ = false, is_connected_ = false;
    bool is_reused_ = false;     // the connection has carried a response before
    bool has_received_ = false;  // bytes arrived after the request was written
    bool is_resent_ = false;     // the request was written a second time
    Time deadline_at_ = 0;       // deadline of the request
    std::unique_ptr<conversation::Dialect> dialect_;
    std::unique_ptr<Line> line_;
    sloestack::Deadline timer_;
};

Load::Load(sloestack::net::Loop& loop, sloestack::Deadlines& deadlines, const LoadSettings& settings,
           EventSink& event_sink)
    : loop_(loop),
      deadlines_(deadlines),
      settings_(settings),
      event_sink_(event_sink),
      random_(
          mixed(settings.seed, "front " + std::to_string(settings.homes.empty() ? 0 : settings.homes[0]))),
      start_(deadlines.now()) {
    memory_.most = 256 * 1024 * 1024;
    for (const auto& at : settings.proxies) {
        proxies_.push_back(std::make_unique<Proxy>());
        proxies_.back()->at = at;
        proxies_.back()->edge = std::make_unique<Edge>();
    }
    for (const int proxy : settings.homes) {
        // The seed depends on the proxy's number only, not on the other proxies whose clients run in this
        // process.
        const auto seed = mixed(settings.seed, "clients " + std::to_string(proxy));
        auto home = std::make_unique<Home>(
            proxy, settings.rate, RequestGenerator(seed, settings.groups, kRowCodes, settings.sessions),
            start_);
        if (settings.uneven > 1) {
            // Distributed uniformly in the logarithm, with the mean kept: (u - 1/u) / (2 ln u) is the mean of
            // u^[-1, 1].
            const double u = settings.uneven;
            const double mean = (u - 1 / u) / (2 * std::log(u));
            home->rate *= std::pow(u, 2 * home->generator.random().unit() - 1) / mean;
        }
        homes_.push_back(std::move(home));
    }
    for (auto& home : homes_) generate_arrivals(*home);
}

Load::~Load() = default;

void Load::generate_arrivals(Home& home) {
    const auto now = deadlines_.now();
    while (home.next_at <= now) {
        if (home.next_at - start_ >= settings_.length_us) {
            ++finished_homes_;
            return;
        }
        PendingRequest asked;
        asked.request = home.generator.next();
        asked.request.left_ms = timeout_us(asked.request.request_class) / 1000;
        asked.first_at = home.next_at;
        asked.home = home.proxy;
        home.next_at += std::max<std::int64_t>(
            1, static_cast<std::int64_t>(home.generator.random().exponential(1e6 / home.rate)));
        ++open_requests_;
        ++counts_[asked.request.request_class].asked;
        send_request(std::move(asked));
    }
    home.arrivals.set(deadlines_, home.next_at, [this, &home] { generate_arrivals(home); });
}

void Load::send_request(PendingRequest asked) {
    int to = asked.home;
    // Only its own proxy knows the last write of such a session, so its clients wait for that proxy.
    const bool bound = asked.request.session && !settings_.sessions.brought;
    if (!bound && !proxies_[static_cast<std::size_t>(to)]->up) {
        std::vector<int> others;
        for (std::size_t i = 0; i < proxies_.size(); ++i)
            if (proxies_[i]->up) others.push_back(static_cast<int>(i));
        if (!others.empty())
            to = others[static_cast<std::size_t>(
                random_.between(0, static_cast<std::int64_t>(others.size()) - 1))];
    }
    assign(to, std::move(asked));
}

Micros Load::timeout_us(int request_class) const {
    return static_cast<Micros>(static_cast<double>(kClasses[request_class].timeout_us) *
                               settings_.deadline_ratio);
}

void Load::assign(int proxy, PendingRequest asked) {
    auto& to = *proxies_[static_cast<std::size_t>(proxy)];
    const auto free =
        std::find_if(to.clients.begin(), to.clients.end(), [](auto& c) { return c->is_free(); });
    if (free != to.clients.end()) return (*free)->send_request(std::move(asked));
    if (to.clients.size() >= settings_.most_connections) return void(to.waiting.push_back(std::move(asked)));
    to.clients.push_back(std::make_unique<Client>(*this, proxy));
    to.clients.back()->send_request(std::move(asked));
}

// The front stops using a proxy with a delay, and uses it again only after a response to an empty query.
void Load::on_unreachable(int proxy) {
    auto& p = *proxies_[static_cast<std::size_t>(proxy)];
    const auto now = deadlines_.now();
    if (!p.failed_at)
        p.failed_at = now - random_.between(0, settings_.notice * (kNoticeSpread - 1) / kNoticeSpread);
    if (!p.up || now - p.failed_at < settings_.notice) return;
    p.up = false;
    p.readiness =
        std::make_unique<Readiness>(Line::Host{loop_, deadlines_, random_}, *p.edge, p.at, [this, proxy] {
            auto& again = *proxies_[static_cast<std::size_t>(proxy)];
            again.up = true;
            again.failed_at = 0;
        });
}

void Load::on_reachable(int proxy) {
    auto& p = *proxies_[static_cast<std::size_t>(proxy)];
    if (p.up) p.failed_at = 0;
}

// A change to one client can add a client or make a free one send again, so this iterates by index.
void Load::edge_changed(int proxy) {
    auto& clients = proxies_.at(static_cast<std::size_t>(proxy))->clients;
    for (std::size_t i = 0, all = clients.size(); i < all; ++i)
        if (auto* line = clients[i]->line()) line->on_edge_changed();
}

void Load::reset(int proxy) {
    auto& clients = proxies_.at(static_cast<std::size_t>(proxy))->clients;
    for (std::size_t i = 0, all = clients.size(); i < all; ++i)
        if (clients[i]->line()) clients[i]->ended(sloestack::net::ConnectionEnd::error);
}

void Load::answered(int proxy, const PendingRequest& asked, const conversation::ResponseEvent& a, bool sent) {
    auto& count = counts_[asked.request.request_class];
    const auto now = deadlines_.now();
    const auto& model = kClasses[asked.request.request_class];
    const bool safe = !model.write || a.kind == Kind::refused;
    const auto left = asked.first_at + timeout_us(asked.request.request_class) - now;
    const bool again =
        a.kind != Kind::served && safe && !asked.is_retry && !asked.has_left && left > kMaxBackoff;
    Event e;
    e.what = What::answered;
    e.at = now;
    e.proxy = proxy;
    e.request_class = asked.request.request_class;
    e.id = asked.request.id;
    e.since = asked.first_at;
    e.last = !again;
    e.word = !sent                     ? "unsent"
             : a.kind == Kind::served  ? "served"
             : a.kind == Kind::refused ? "refused"
             : a.kind == Kind::failed  ? "failed"
                                       : "none";
    if (a.kind == Kind::served) e.value = a.digest.low;
    if (a.kind == Kind::served && model.write && asked.request.session)
        last_commit_by_session_[asked.request.code] = now;
    event_sink_.saw(e);
    if (again) {
        ++count.retries;
        auto next = asked;
        next.is_retry = next.request.repeat = true;
        next.request.id = hex16(random_.next());
        next.request.left_ms = left / 1000;
        const auto wait = std::max<std::int64_t>(random_.between(kMinBackoff, kMaxBackoff),
                                                 std::min<std::int64_t>(a.advice.value_or(0), left / 2));
        retry_timers_.erase(
            std::remove_if(retry_timers_.begin(), retry_timers_.end(), [](auto& d) { return !d->is_set(); }),
            retry_timers_.end());
        retry_timers_.push_back(std::make_unique<sloestack::Deadline>());
        retry_timers_.back()->set(deadlines_, now + wait, [this, next] { send_request(next); });
    } else {
        --open_requests_;
        if (a.kind == Kind::served) {
            ++count.served;
            count.latency_us.add(now - asked.first_at);
            if (now - asked.first_at <= model.latency_objective_us) ++count.in_aim;
        }
        if (a.kind == Kind::refused) ++count.refused;
        if (a.kind == Kind::failed) ++count.failed;
        if (a.kind == Kind::none) ++count.none;
    }
    auto& waiting = proxies_[static_cast<std::size_t>(proxy)]->waiting;
    if (waiting.empty()) return;
    auto next = std::move(waiting.front());
    waiting.pop_front();
    assign(proxy, std::move(next));
}

}  // namespace emulator
