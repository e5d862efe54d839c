#include "standin/load.h"

#include <algorithm>

#include "pgwire/build.h"

namespace standin {
namespace {

namespace pgwire = sloestack::pgwire;
namespace conversation = sloestack::conversation;
using conversation::Kind;

constexpr std::size_t kMostUnread = 8 * 1024 * 1024;
constexpr std::int64_t kGrace = 300'000;  // a client's patience beyond its deadline
constexpr std::int64_t kLeastBackoff = 12'000, kMostBackoff = 100'000;

}  // namespace

Question Drawing::next() {
    Question q;
    double at = random_.unit();
    while (q.klass + 1 < kClassCount && at >= kClasses[q.klass].share) at -= kClasses[q.klass++].share;
    q.id = hex16(random_.next());
    q.code = hex16(static_cast<std::uint64_t>(random_.between(0, codes_ - 1)) * 0x9e3779b97f4a7c15u);
    q.group = static_cast<int>(random_.between(0, groups_ - 1));
    q.left_ms = kClasses[q.klass].patience_us / 1000;
    if (!kClasses[q.klass].write) return q;
    q.key = hex16(random_.next());
    q.data.resize(static_cast<std::size_t>(random_.between(8, 200)));
    for (auto& c : q.data) c = static_cast<char>(random_.next());
    return q;
}

class Load::Client final : public sloestack::net::ConnectionEvents, private conversation::Listener {
public:
    explicit Client(Load& of) : of_(of) {}
    bool free() const { return !asked_; }
    void ask(Asked asked) {
        asked_ = std::move(asked);
        if (!link_) {
            dialect_ = conversation::postgres().begin(1, of_.memory_, *this);
            link_ = sloestack::net::Connection::open(of_.loop_, of_.to_, kMostUnread, *this);
            sent_ = false;
        } else if (dialect_->greeted()) {
            send();
        }
        const auto patience = asked_->question.left_ms * 1000 + kGrace;
        limit_.set(of_.deadlines_, of_.deadlines_.now() + patience,
                   [this] { ended(sloestack::net::Ending::broken); });
        if (!link_) ended(sloestack::net::Ending::broken);
    }
    void connected() override {
        std::string out;
        pgwire::Builder(out).startup("portal", "crm");
        dialect_->read(conversation::Side::client, out, of_.deadlines_.now());
        link_->write(out);
    }
    void received() override {
        const auto bytes = link_->unread();
        const auto size = bytes.size();
        dialect_->read(conversation::Side::server, bytes, of_.deadlines_.now());
        if (link_) link_->consume(size);
        finish();
    }
    void ended(sloestack::net::Ending) override {
        link_.reset();
        limit_.clear();
        if (!asked_) return;
        // Never written: it has not been taken. Written: what became of it is unknown.
        if (!sent_) {
            conversation::Answered none;
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
    void asked(const conversation::Asked&) override {}
    void answered(const conversation::Answered& a) override { got_ = a; }
    void send() {
        std::string out;
        pgwire::Builder(out).query(statement_of(asked_->question));
        sent_ = true;
        of_.checker_.asked(asked_->question.id);
        dialect_->read(conversation::Side::client, out, of_.deadlines_.now());
        link_->write(out);
    }
    void finish() {
        if (!got_ || !asked_) return;
        limit_.clear();
        const auto asked = *std::exchange(asked_, std::nullopt);
        const auto got = *std::exchange(got_, std::nullopt);
        // One that never left was not asked: its client's own trouble.
        if (sent_ && got.kind != Kind::none)
            of_.checker_.answered(asked.question.id, got.kind == Kind::served, got.digest.low);
        of_.answered(asked, got);
    }
    Load& of_;
    std::optional<Asked> asked_;
    std::optional<conversation::Answered> got_;
    bool sent_ = false;
    std::unique_ptr<conversation::Dialect> dialect_;
    std::unique_ptr<sloestack::net::Connection> link_;
    sloestack::Deadline limit_;
};

Load::Load(sloestack::net::Loop& loop, sloestack::Deadlines& deadlines, const sockaddr_in& to,
           const LoadSettings& settings, Checker& checker)
    : loop_(loop),
      deadlines_(deadlines),
      to_(to),
      settings_(settings),
      checker_(checker),
      drawing_(settings.seed, settings.groups),
      start_(deadlines.now()),
      next_at_(start_) {
    memory_.most = 256 * 1024 * 1024;
    arrive();
}

Load::~Load() = default;

void Load::arrive() {
    const auto now = deadlines_.now();
    while (next_at_ <= now) {
        if (next_at_ - start_ >= settings_.length_us) {
            drawn_over_ = true;
            return;
        }
        Asked asked;
        asked.question = drawing_.next();
        asked.first_at = next_at_;
        next_at_ += std::max<std::int64_t>(
            1, static_cast<std::int64_t>(drawing_.random().exponential(1e6 / settings_.rate)));
        ++open_;
        ++counts_[asked.question.klass].asked;
        ask(std::move(asked));
    }
    arrivals_.set(deadlines_, next_at_, [this] { arrive(); });
}

void Load::ask(Asked asked) {
    const auto free = std::find_if(clients_.begin(), clients_.end(), [](auto& c) { return c->free(); });
    if (free != clients_.end()) return (*free)->ask(std::move(asked));
    if (clients_.size() >= settings_.most_connections) return void(waiting_.push_back(std::move(asked)));
    clients_.push_back(std::make_unique<Client>(*this));
    clients_.back()->ask(std::move(asked));
}

void Load::answered(const Asked& asked, const conversation::Answered& a) {
    auto& count = counts_[asked.question.klass];
    const auto now = deadlines_.now();
    const auto& model = kClasses[asked.question.klass];
    const bool safe = !model.write || a.kind == Kind::refused;
    const auto left = asked.first_at + model.patience_us - now;
    if (a.kind != Kind::served && safe && !asked.is_retry && left > kMostBackoff) {
        ++count.retries;
        auto again = asked;
        again.is_retry = again.question.repeat = true;
        again.question.id = hex16(drawing_.random().next());
        again.question.left_ms = left / 1000;
        const auto wait = std::max<std::int64_t>(drawing_.random().between(kLeastBackoff, kMostBackoff),
                                                 std::min<std::int64_t>(a.advice.value_or(0), left / 2));
        retries_.erase(std::remove_if(retries_.begin(), retries_.end(), [](auto& d) { return !d->is_set(); }),
                       retries_.end());
        retries_.push_back(std::make_unique<sloestack::Deadline>());
        retries_.back()->set(deadlines_, now + wait, [this, again] { ask(again); });
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
    if (waiting_.empty()) return;
    auto next = std::move(waiting_.front());
    waiting_.pop_front();
    ask(std::move(next));
}

}  // namespace standin
