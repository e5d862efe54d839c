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

constexpr std::size_t kMostUnread = 8 * 1024 * 1024;
constexpr Micros kNoticeSpread = 4;  // a front notices between a quarter of the time and all of it
constexpr std::int64_t kLeastBackoff = 12'000, kMostBackoff = 100'000;
constexpr std::int64_t kCodes = 100'000;

}  // namespace

// A session has one row of its own, in one group.
void Drawing::draw_session(Question& q) {
    const auto number = static_cast<std::uint64_t>(random_.between(0, sessions_.each - 1));
    q.session = true;
    q.request_class = random_.unit() < sessions_.writes ? kWrite : kSessionRead;
    q.code = hex16(mixed(first_session_ + number, "session"));
    q.group = static_cast<int>(number % static_cast<std::uint64_t>(groups_));
}

Question Drawing::next() {
    Question q;
    double at = random_.unit();
    while (q.request_class + 1 < kRosterClasses && at >= kClasses[q.request_class].share)
        at -= kClasses[q.request_class++].share;
    q.id = hex16(random_.next());
    q.code = hex16(static_cast<std::uint64_t>(random_.between(0, codes_ - 1)) * 0x9e3779b97f4a7c15u);
    q.group = static_cast<int>(random_.between(0, groups_ - 1));
    if (sessions_.share > 0 && random_.unit() < sessions_.share) draw_session(q);
    q.left_ms = kClasses[q.request_class].patience_us / 1000;
    if (!kClasses[q.request_class].write) return q;
    q.key = hex16(random_.next());
    q.data.resize(static_cast<std::size_t>(random_.between(8, 200)));
    for (auto& c : q.data) c = static_cast<char>(random_.next());
    return q;
}

class Load::Client final : public sloestack::net::ConnectionEvents, private conversation::Listener {
public:
    Client(Load& of, int proxy) : of_(of), proxy_(proxy) {}
    bool free() const { return !asked_; }
    Line* line() { return line_.get(); }
    void ask(Asked asked) {
        asked_ = std::move(asked);
        until_ = of_.deadlines_.now() + asked_->question.left_ms * 1000;
        limit_.set(of_.deadlines_, until_ + of_.settings_.grace,
                   [this] { ended(sloestack::net::ConnectionEnd::error); });
        again_ = false;
        begin();
    }
    void begin() {
        if (!line_) {
            kept_ = false;
            dialect_ = conversation::postgres().begin(1, of_.memory_, *this);
            sent_ = up_ = false;
            auto& to = *of_.proxies_[static_cast<std::size_t>(proxy_)];
            line_ = std::make_unique<Line>(Line::Host{of_.loop_, of_.deadlines_, of_.random_}, *to.edge,
                                           to.at, kMostUnread, *this);
        } else if (dialect_->greeted()) {
            send();
        }
    }
    void connected() override {
        up_ = true;
        std::string out;
        pgwire::Builder(out).startup_message("portal", "crm");
        dialect_->read(conversation::Side::client, out, of_.deadlines_.now());
        line_->write(out);
    }
    void received() override {
        const std::string bytes(line_->unread());
        dialect_->read(conversation::Side::server, bytes, of_.deadlines_.now());
        if (line_) line_->consume(bytes.size());
        of_.reached(proxy_);
        heard_ = true;
        finish();
    }
    void ended(sloestack::net::ConnectionEnd) override {
        const bool was_up = up_;
        line_.reset();
        up_ = false;
        // A connection that was closed between requests may have crossed this one: it is sent again, once.
        if (asked_ && sent_ && !got_ && kept_ && !heard_ && !again_ && of_.deadlines_.now() < until_) {
            again_ = true;
            return begin();
        }
        limit_.clear();
        if (!was_up) of_.unreachable(proxy_);
        if (!asked_) return;
        // Never written: it has not been taken. Written: what became of it is unknown.
        if (!sent_) {
            conversation::ResponseEvent none;
            none.kind = Kind::refused;
            got_ = none;
        } else if (!got_) {
            dialect_->over(of_.deadlines_.now());
            if (!got_) got_.emplace();
        }
        finish();
    }

private:
    void greeted(conversation::ConnectionId, conversation::Time, const conversation::Digest&) override {
        if (asked_) send();
    }
    void asked(const conversation::RequestEvent&) override {}
    void answered(const conversation::ResponseEvent& a) override { got_ = a; }
    // The time that a connection took to come up is the request's own; where it took all of it, nothing is
    // sent.
    void send() {
        const auto left = until_ - of_.deadlines_.now();
        if (left < 1000)  // not at once: this may be the dialect's own call
            return limit_.set(of_.deadlines_, of_.deadlines_.now(),
                              [this] { ended(sloestack::net::ConnectionEnd::error); });
        auto& question = asked_->question;
        question.left_ms = left / 1000;
        if (question.request_class == kSessionRead && of_.settings_.sessions.brought) {
            const auto last = of_.committed_.find(question.code);
            if (last != of_.committed_.end()) question.after_ms = (last->second + 999) / 1000;
        }
        std::string out;
        pgwire::Builder(out).query(statement_of(asked_->question));
        sent_ = true;
        heard_ = false;
        Event e;
        e.what = What::asked;
        if (again_) e.word = "again";
        e.at = of_.deadlines_.now();
        e.proxy = proxy_;
        e.request_class = asked_->question.request_class;
        e.id = asked_->question.id;
        if (question.session) e.key = question.code;
        e.since = asked_->first_at;
        e.until = until_;
        of_.witness_.saw(e);
        dialect_->read(conversation::Side::client, out, of_.deadlines_.now());
        line_->write(out);
    }
    void finish() {
        if (!got_ || !asked_) return;
        limit_.clear();
        kept_ = line_ != nullptr;
        const auto asked = *std::exchange(asked_, std::nullopt);
        const auto got = *std::exchange(got_, std::nullopt);
        of_.answered(proxy_, asked, got, sent_);
    }
    Load& of_;
    int proxy_;
    std::optional<Asked> asked_;
    std::optional<conversation::ResponseEvent> got_;
    bool sent_ = false, up_ = false;
    bool kept_ = false;   // the connection has answered before
    bool heard_ = false;  // something has come since the request was sent
    bool again_ = false;  // it is sent a second time
    Time until_ = 0;      // when it gives up what it asks
    std::unique_ptr<conversation::Dialect> dialect_;
    std::unique_ptr<Line> line_;
    sloestack::Deadline limit_;
};

Load::Load(sloestack::net::Loop& loop, sloestack::Deadlines& deadlines, const LoadSettings& settings,
           Witness& witness)
    : loop_(loop),
      deadlines_(deadlines),
      settings_(settings),
      witness_(witness),
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
        // Each proxy's clients are drawn by its number, whoever else is played in this process.
        const auto seed = mixed(settings.seed, "clients " + std::to_string(proxy));
        auto home = std::make_unique<Home>(proxy, settings.rate,
                                           Drawing(seed, settings.groups, kCodes, settings.sessions), start_);
        if (settings.uneven > 1) {
            // Even in the logarithm, with the mean kept: (u - 1/u) / (2 ln u) is the mean of u^[-1, 1].
            const double u = settings.uneven;
            const double mean = (u - 1 / u) / (2 * std::log(u));
            home->rate *= std::pow(u, 2 * home->drawing.random().unit() - 1) / mean;
        }
        homes_.push_back(std::move(home));
    }
    for (auto& home : homes_) arrive(*home);
}

Load::~Load() = default;

void Load::arrive(Home& home) {
    const auto now = deadlines_.now();
    while (home.next_at <= now) {
        if (home.next_at - start_ >= settings_.length_us) {
            ++over_;
            return;
        }
        Asked asked;
        asked.question = home.drawing.next();
        asked.first_at = home.next_at;
        asked.home = home.proxy;
        home.next_at += std::max<std::int64_t>(
            1, static_cast<std::int64_t>(home.drawing.random().exponential(1e6 / home.rate)));
        ++open_;
        ++counts_[asked.question.request_class].asked;
        ask(std::move(asked));
    }
    home.arrivals.set(deadlines_, home.next_at, [this, &home] { arrive(home); });
}

void Load::ask(Asked asked) {
    int to = asked.home;
    // What a proxy keeps of a session no other knows: such clients wait for theirs.
    const bool bound = asked.question.session && !settings_.sessions.brought;
    if (!bound && !proxies_[static_cast<std::size_t>(to)]->up) {
        std::vector<int> others;
        for (std::size_t i = 0; i < proxies_.size(); ++i)
            if (proxies_[i]->up) others.push_back(static_cast<int>(i));
        if (!others.empty())
            to = others[static_cast<std::size_t>(
                random_.between(0, static_cast<std::int64_t>(others.size()) - 1))];
    }
    go(to, std::move(asked));
}

void Load::go(int proxy, Asked asked) {
    auto& to = *proxies_[static_cast<std::size_t>(proxy)];
    const auto free = std::find_if(to.clients.begin(), to.clients.end(), [](auto& c) { return c->free(); });
    if (free != to.clients.end()) return (*free)->ask(std::move(asked));
    if (to.clients.size() >= settings_.most_connections) return void(to.waiting.push_back(std::move(asked)));
    to.clients.push_back(std::make_unique<Client>(*this, proxy));
    to.clients.back()->ask(std::move(asked));
}

// The front notices late, and takes a proxy in again only once it has answered an empty query.
void Load::unreachable(int proxy) {
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

void Load::reached(int proxy) {
    auto& p = *proxies_[static_cast<std::size_t>(proxy)];
    if (p.up) p.failed_at = 0;
}

// What is done to one client can bring a new one about, or send a free one off again.
void Load::edge_changed(int proxy) {
    auto& clients = proxies_.at(static_cast<std::size_t>(proxy))->clients;
    for (std::size_t i = 0, all = clients.size(); i < all; ++i)
        if (auto* line = clients[i]->line()) line->changed();
}

void Load::reset(int proxy) {
    auto& clients = proxies_.at(static_cast<std::size_t>(proxy))->clients;
    for (std::size_t i = 0, all = clients.size(); i < all; ++i)
        if (clients[i]->line()) clients[i]->ended(sloestack::net::ConnectionEnd::error);
}

void Load::answered(int proxy, const Asked& asked, const conversation::ResponseEvent& a, bool sent) {
    auto& count = counts_[asked.question.request_class];
    const auto now = deadlines_.now();
    const auto& model = kClasses[asked.question.request_class];
    const bool safe = !model.write || a.kind == Kind::refused;
    const auto left = asked.first_at + model.patience_us - now;
    const bool again = a.kind != Kind::served && safe && !asked.is_retry && left > kMostBackoff;
    Event e;
    e.what = What::answered;
    e.at = now;
    e.proxy = proxy;
    e.request_class = asked.question.request_class;
    e.id = asked.question.id;
    e.since = asked.first_at;
    e.last = !again;
    e.word = !sent                     ? "unsent"
             : a.kind == Kind::served  ? "served"
             : a.kind == Kind::refused ? "refused"
             : a.kind == Kind::failed  ? "failed"
                                       : "none";
    if (a.kind == Kind::served) e.value = a.digest.low;
    if (a.kind == Kind::served && model.write && asked.question.session)
        committed_[asked.question.code] = now;
    witness_.saw(e);
    if (again) {
        ++count.retries;
        auto next = asked;
        next.is_retry = next.question.repeat = true;
        next.question.id = hex16(random_.next());
        next.question.left_ms = left / 1000;
        const auto wait = std::max<std::int64_t>(random_.between(kLeastBackoff, kMostBackoff),
                                                 std::min<std::int64_t>(a.advice.value_or(0), left / 2));
        retries_.erase(std::remove_if(retries_.begin(), retries_.end(), [](auto& d) { return !d->is_set(); }),
                       retries_.end());
        retries_.push_back(std::make_unique<sloestack::Deadline>());
        retries_.back()->set(deadlines_, now + wait, [this, next] { ask(next); });
    } else {
        --open_;
        if (a.kind == Kind::served) {
            ++count.served;
            count.latency_us.add(now - asked.first_at);
            if (now - asked.first_at <= model.aim_us) ++count.in_aim;
        }
        if (a.kind == Kind::refused) ++count.refused;
        if (a.kind == Kind::failed) ++count.failed;
        if (a.kind == Kind::none) ++count.none;
    }
    auto& waiting = proxies_[static_cast<std::size_t>(proxy)]->waiting;
    if (waiting.empty()) return;
    auto next = std::move(waiting.front());
    waiting.pop_front();
    go(proxy, std::move(next));
}

}  // namespace emulator
