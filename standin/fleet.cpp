#include "standin/fleet.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cstdio>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>

#include "conversation/conversation.h"
#include "http/request.h"
#include "pgwire/build.h"
#include "pgwire/frame.h"
#include "pgwire/statement.h"
#include "standin/values.h"

namespace standin {
namespace {

namespace pgwire = sloestack::pgwire;
using sloestack::conversation::digest_of;

constexpr std::size_t kMostUnread = pgwire::kLargestStatement + 1024;
constexpr Micros kLookForRoles = 50'000;
constexpr Micros kLongestWait = 60'000'000;
constexpr Micros kExcused = 6'000'000;  // a deposed primary: until what discovery has to tell counts as told
constexpr double kWriteWork = 1.7;
constexpr double kSlowApply = 10;
constexpr int kClosedPort = 0;

sockaddr_in loopback(std::uint16_t port) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(port);
    return at;
}

int class_named(std::string_view name) {
    for (int i = 0; i < kClassCount; ++i)
        if (name == kClasses[i].name) return i;
    return -1;
}

}  // namespace

struct Fleet::Job {
    std::uint64_t number = 0;
    Peer* peer = nullptr;  // none where it has gone: running work goes on
    std::string id, key, statement;
    int klass = 0;
    Time first_byte = 0, last_byte = 0, not_after = 0;
    Time position = 0;
    Deadline ready;
};

struct Fleet::Member {
    int bank = 0, index = 0;
    std::string name;
    std::uint16_t port = kClosedPort;
    std::unique_ptr<net::Listener> listener;
    std::vector<std::unique_ptr<Peer>> peers;
    std::map<std::uint64_t, std::unique_ptr<Job>> running;
    std::deque<std::unique_ptr<Job>> queue;
    Time stalled_until = 0, up_since = 0, deposed_at = 0;
    bool silent = false, spoils = false, draining = false;
    std::string phase = "in_service";
    std::int64_t revision = 1;  // of its last change
    bool primary_listed = false;
    std::string report;
    Time report_at = 0;
    Deadline listing;
};

// ---- members' connections ----
class Fleet::Peer final : public net::ConnectionEvents {
public:
    Peer(Fleet& of, Member& at, evutil_socket_t fd) : of_(of), at_(at) {
        connection_ = net::Connection::accepted(of.loop_, fd, kMostUnread, *this);
    }
    void received() override {
        if (at_.silent) return connection_->consume(connection_->held());
        if (!first_byte_) first_byte_ = of_.deadlines_.now();
        try {
            while (connection_) {
                const auto bytes = connection_->unread();
                const auto m = started_ ? pgwire::next_message(bytes) : pgwire::next_startup(bytes);
                if (!m) return;
                const auto began = std::exchange(first_byte_, of_.deadlines_.now());
                const auto size = m->size;
                if (!started_) {
                    started_ = true;
                    std::string out;
                    pgwire::Builder(out).greeting();
                    connection_->write(out);
                } else if (m->type == 'Q') {
                    of_.asked(at_, *this, std::string(pgwire::Fields(m->body).text()), began);
                } else {
                    return gone();
                }
                if (!connection_) return;
                connection_->consume(size);
                if (connection_->held() == 0) first_byte_ = 0;
            }
        } catch (const pgwire::BadMessage&) {
            gone();
        }
    }
    void ended(net::Ending) override { gone(); }
    void write(const std::string& bytes) {
        if (connection_) connection_->write(bytes);
    }
    void close() { connection_.reset(); }
    // It has left, or is to.
    void gone() {
        for (auto& [number, job] : at_.running)
            if (job->peer == this) job->peer = nullptr;
        // What waits and nobody waits for is dropped.
        auto& queue = at_.queue;
        queue.erase(std::remove_if(queue.begin(), queue.end(), [&](auto& job) { return job->peer == this; }),
                    queue.end());
        close();
        const auto self =
            std::find_if(at_.peers.begin(), at_.peers.end(), [&](auto& p) { return p.get() == this; });
        if (self == at_.peers.end()) return;
        auto kept = std::move(*self);
        at_.peers.erase(self);
        of_.loop_.bury(std::move(kept));
    }

private:
    Fleet& of_;
    Member& at_;
    bool started_ = false;
    Time first_byte_ = 0;
    std::unique_ptr<net::Connection> connection_;
};

// ---- discovery's ----
class Fleet::Call final : public net::ConnectionEvents {
public:
    Call(Fleet& of, evutil_socket_t fd) : of_(of) {
        connection_ = net::Connection::accepted(of.loop_, fd, kMostUnread, *this);
    }
    void received() override {
        try {
            request_->feed(connection_->unread());
            connection_->consume(connection_->held());
            if (!request_->done()) return;
            const auto request = std::exchange(request_, std::make_unique<sloestack::http::RequestParser>());
            if (of_.lost_ || request->path() != "/registry/instances")
                return respond(of_.lost_ ? 503 : 404, "{}");
            const auto after = request->parameter("after"), wait = request->parameter("wait_ms");
            after_ = after ? std::stoll(*after) : 0;
            if (after_ == 0 || after_ < of_.revision_ || !wait) return tell();
            const auto patience = std::min<Micros>(std::stoll(*wait) * 1000, kLongestWait);
            wait_.set(of_.deadlines_, of_.deadlines_.now() + patience, [this] { tell(); });
        } catch (const std::exception&) {
            respond(400, "{}");
        }
    }
    void ended(net::Ending) override {
        wait_.clear();
        connection_.reset();
        gone = true;
    }
    bool waits() const { return wait_.is_set(); }
    void tell() {
        wait_.clear();
        of_.told(after_);
        respond(200, of_.list(after_ == 0, after_));
    }
    void respond(int status, const std::string& body) {
        wait_.clear();
        if (connection_)
            connection_->write("HTTP/1.1 " + std::to_string(status) +
                               " Answer\r\nContent-Type: application/json\r\n" +
                               "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    bool gone = false;

private:
    Fleet& of_;
    std::int64_t after_ = 0;
    std::unique_ptr<sloestack::http::RequestParser> request_ =
        std::make_unique<sloestack::http::RequestParser>();
    Deadline wait_;
    std::unique_ptr<net::Connection> connection_;
};

// ---- the fleet ----
Fleet::Fleet(net::Loop& loop, Deadlines& deadlines, const FleetSettings& settings, Checker& checker,
             std::function<void(Micros)> restart)
    : loop_(loop),
      deadlines_(deadlines),
      settings_(settings),
      checker_(checker),
      restart_(std::move(restart)),
      begun_(deadlines.now()),
      new_primary_at_(static_cast<std::size_t>(settings.banks)),
      listed_primary_(static_cast<std::size_t>(settings.banks)),
      seen_primary_(static_cast<std::size_t>(settings.banks)) {
    for (int b = 0; b < settings.banks; ++b) {
        auto model = settings.bank;
        model.members = settings.members;
        banks_.push_back(std::make_unique<Bank>(model, begun_));
        for (int i = 0; i < settings.members; ++i) {
            auto& m = *members_.emplace_back(std::make_unique<Member>());
            m.bank = b;
            m.index = i;
            m.primary_listed = i == 0;
            char name[24];
            std::snprintf(name, sizeof name, "s-%08x", static_cast<unsigned>(number_of(m) + 1));
            m.name = name;
            start(m);
        }
    }
    discovery_ = std::make_unique<net::Listener>(
        loop_, loopback(0),
        [this](evutil_socket_t fd) {
            calls_.erase(std::remove_if(calls_.begin(), calls_.end(), [](auto& c) { return c->gone; }),
                         calls_.end());
            calls_.push_back(std::make_unique<Call>(*this, fd));
        },
        [] {});
    for (const auto& fault : settings_.script) {
        script_.push_back(std::make_unique<Deadline>());
        script_.back()->set(deadlines_, begun_ + fault.at_us, [this, fault] { begin(fault); });
        if (fault.trouble == Trouble::restart) continue;
        script_.push_back(std::make_unique<Deadline>());
        script_.back()->set(deadlines_, begun_ + fault.at_us + fault.for_us, [this, fault] { end(fault); });
    }
    watch_roles();
}

Fleet::~Fleet() = default;

int Fleet::number_of(const Member& m) const { return m.bank * settings_.members + m.index; }
std::string Fleet::member(int number) const {
    return "127.0.0.1:" + std::to_string(members_.at(static_cast<std::size_t>(number))->port);
}
std::string Fleet::discovery() const { return "127.0.0.1:" + std::to_string(discovery_->port()); }

std::string Fleet::list(bool complete, std::int64_t after) const {
    nlohmann::json out = {
        {"revision", revision_}, {"complete", complete}, {"members", nlohmann::json::array()}};
    for (const auto& m : members_) {
        if (complete ? m->phase == "terminated" : m->revision <= after) continue;
        out["members"].push_back({{"id", m->name},
                                  {"host_port", "127.0.0.1:" + std::to_string(m->port)},
                                  {"locality", "walu-bay"},
                                  {"flavor", "std"},
                                  {"cell", m->bank},
                                  {"phase", m->phase},
                                  {"size", 1.0},
                                  {"up_since_ms", m->up_since / 1000},
                                  {"role", m->primary_listed ? "primary" : "replica"}});
    }
    return out.dump();
}

void Fleet::changed(Member& m, const char* phase) {
    m.phase = phase;
    m.revision = ++revision_;
    tell_watches();
}

void Fleet::tell_watches() {
    for (auto& call : calls_)
        if (call->waits()) call->tell();
}

void Fleet::told(std::int64_t after) {
    for (const auto& m : members_) {
        if (after > 0 && m->revision <= after) continue;
        if (m->phase == "in_service")
            checker_.told_back(number_of(*m));
        else
            checker_.told_drain(number_of(*m), deadlines_.now());
    }
}

void Fleet::start(Member& m) {
    m.listener = std::make_unique<net::Listener>(
        loop_, loopback(m.port),
        [this, &m](evutil_socket_t fd) { m.peers.push_back(std::make_unique<Peer>(*this, m, fd)); }, [] {});
    m.port = m.listener->port();
}

void Fleet::crash(Member& m) {
    m.listener.reset();
    for (auto& p : m.peers) {
        p->close();
        loop_.bury(std::move(p));
    }
    m.peers.clear();
    m.running.clear();
    m.queue.clear();
    m.stalled_until = 0;
}

void Fleet::begin(const Fault& f) {
    if (f.trouble == Trouble::restart) return restart_ ? restart_(f.for_us) : void();
    if (f.trouble == Trouble::lost) {
        lost_ = true;
        for (auto& call : calls_)
            if (call->waits()) call->respond(503, "{}");
        return;
    }
    const Time now = deadlines_.now();
    auto& m = *members_[static_cast<std::size_t>(f.bank * settings_.members + f.member)];
    auto& bank = *banks_[static_cast<std::size_t>(f.bank)];
    switch (f.trouble) {
        case Trouble::crash:
            bank.down(f.member, now);
            crash(m);
            m.listing.set(deadlines_, now + settings_.list_late, [this, &m] { changed(m, "terminated"); });
            return;
        case Trouble::silent:
            bank.down(f.member, now);
            m.silent = true;
            return;
        case Trouble::stall:
            m.stalled_until = now + f.for_us;
            return;
        case Trouble::drain:
            if (bank.primary(now) == f.member) m.deposed_at = now;
            m.draining = true;
            bank.drain(f.member, now);
            return changed(m, "terminating");
        case Trouble::slow:
            return bank.slow_apply(f.member, kSlowApply, now + f.for_us, now);
        case Trouble::spoil:
            m.spoils = true;
            return;
        default:
            return;
    }
}

void Fleet::end(const Fault& f) {
    const Time now = deadlines_.now();
    if (f.trouble == Trouble::lost) {
        lost_ = false;
        return;
    }
    auto& m = *members_[static_cast<std::size_t>(f.bank * settings_.members + f.member)];
    auto& bank = *banks_[static_cast<std::size_t>(f.bank)];
    if (f.trouble == Trouble::crash) {
        bank.up(f.member, now);
        m.up_since = now;
        start(m);
        m.listing.set(deadlines_, now + settings_.list_late, [this, &m] { changed(m, "in_service"); });
    } else if (f.trouble == Trouble::silent) {
        bank.up(f.member, now);
        m.silent = false;
        // What stood silent is reset when the machine is back.
        crash(m);
        start(m);
    } else if (f.trouble == Trouble::drain) {
        crash(m);
        m.draining = false;
        m.up_since = now;
        bank.back(f.member);
        start(m);
        changed(m, "in_service");
    } else if (f.trouble == Trouble::spoil) {
        m.spoils = false;
    }
}

// The list learns of a new primary late.
void Fleet::watch_roles() {
    const Time now = deadlines_.now();
    for (std::size_t b = 0; b < banks_.size(); ++b) {
        const int primary = banks_[b]->primary(now);
        if (primary >= 0 && primary != seen_primary_[b]) {
            seen_primary_[b] = primary;
            new_primary_at_[b] = now;
        }
        if (seen_primary_[b] == listed_primary_[b] || now < new_primary_at_[b] + settings_.role_late)
            continue;
        for (const int i : {listed_primary_[b], seen_primary_[b]}) {
            auto& m =
                *members_[b * static_cast<std::size_t>(settings_.members) + static_cast<std::size_t>(i)];
            m.primary_listed = i == seen_primary_[b];
            m.revision = ++revision_;
        }
        listed_primary_[b] = seen_primary_[b];
        tell_watches();
    }
    roles_.set(deadlines_, now + kLookForRoles, [this] { watch_roles(); });
}

// ---- what members answer ----
std::string Fleet::report(Member& m) {
    const Time now = deadlines_.now();
    if (m.report.empty() || now - m.report_at >= settings_.report_every) {
        auto& bank = *banks_[static_cast<std::size_t>(m.bank)];
        char text[96];
        std::snprintf(text, sizeof text, "x0=%.6f,x1=%d,inflight=%zu",
                      static_cast<double>(bank.position(m.index, now)) / 1e6,
                      bank.primary(now) == m.index ? 1 : 0, m.running.size() + m.queue.size());
        m.report = text;
        m.report_at = now;
    }
    return m.report;
}

std::string Fleet::parameters(Member& m, Time position) {
    std::string out;
    const bool primary = banks_[static_cast<std::size_t>(m.bank)]->primary(deadlines_.now()) == m.index;
    // Down to the millisecond: what an answer tells must never be more than is true.
    pgwire::Builder(out)
        .parameter("role", primary ? "primary" : "replica")
        .parameter("applied_ms", std::to_string(position / 1000))
        .parameter("load", report(m));
    return out;
}

void Fleet::asked(Member& m, Peer& peer, const std::string& statement, Time first_byte) {
    const Time now = deadlines_.now();
    auto& bank = *banks_[static_cast<std::size_t>(m.bank)];
    const auto turn_away = [&](std::string_view code, const char* why) {
        auto out = parameters(m, bank.position(m.index, now));
        pgwire::Builder(out).error("ERROR", code, why).ready();
        peer.write(out);
    };
    if (statement == "SHOW load" || statement == "SELECT 1") {
        ++probes_;
        auto out = parameters(m, bank.position(m.index, now));
        pgwire::Builder(out)
            .row_description("load", 25, false)
            .data_row(statement == "SELECT 1" ? "1" : report(m))
            .complete("SHOW")
            .ready();
        return peer.write(out);
    }
    auto job = std::make_unique<Job>();
    try {
        const auto tags = pgwire::read_tags(statement);
        job->id = tags.id;
        job->key = tags.key;
        job->klass = class_named(tags.klass);
        job->not_after = now + tags.left_ms * 1000;
    } catch (const pgwire::BadMessage& error) {
        return turn_away(pgwire::code::kProtocolViolation, error.what());
    }
    if (job->klass < 0) return turn_away(pgwire::code::kProtocolViolation, "a class that nobody knows");
    ++attempts_;
    checker_.arrived(number_of(m), job->id, first_byte);
    if (kClasses[job->klass].write && bank.primary(now) != m.index)
        return turn_away(pgwire::code::kReadOnly, "no primary");
    if (m.draining) return turn_away(pgwire::code::kTooManyConnections, "draining");
    if (m.queue.size() >= settings_.queue) return turn_away(pgwire::code::kTooManyConnections, "queue full");
    job->number = ++last_job_;
    job->peer = &peer;
    job->statement = statement;
    job->first_byte = first_byte;
    job->last_byte = now;
    m.queue.push_back(std::move(job));
    work(m);
}

void Fleet::work(Member& m) {
    const Time now = deadlines_.now();
    auto& bank = *banks_[static_cast<std::size_t>(m.bank)];
    while (!m.queue.empty() && m.running.size() < static_cast<std::size_t>(settings_.cores)) {
        auto job = std::move(m.queue.front());
        m.queue.pop_front();
        if (now > job->not_after) {
            std::string out = parameters(m, bank.position(m.index, now));
            pgwire::Builder(out).error("ERROR", pgwire::code::kTooManyConnections, "over already").ready();
            if (job->peer) job->peer->write(out);
            continue;
        }
        job->position = bank.position(m.index, now);
        Random random(mixed(settings_.seed, job->id));
        auto takes = static_cast<double>(random.between(settings_.least_work, settings_.most_work));
        if (kClasses[job->klass].write) takes *= kWriteWork;
        const auto number = job->number;
        job->ready.set(deadlines_, now + static_cast<Micros>(takes), [this, &m, number] { done(m, number); });
        m.running.emplace(number, std::move(job));
    }
}

void Fleet::done(Member& m, std::uint64_t number) {
    const auto found = m.running.find(number);
    const Time now = deadlines_.now();
    if (now < m.stalled_until)
        return found->second->ready.set(deadlines_, m.stalled_until, [this, &m, number] { done(m, number); });
    const auto job = std::move(found->second);
    m.running.erase(found);
    if (!m.silent) answer(m, *job);
    work(m);
}

void Fleet::answer(Member& m, Job& job) {
    const Time now = deadlines_.now();
    auto& bank = *banks_[static_cast<std::size_t>(m.bank)];
    const bool write = kClasses[job.klass].write;
    Executed e;
    e.id = job.id;
    e.key = job.key;
    e.member = number_of(m);
    e.klass = job.klass;
    e.first_byte = job.first_byte;
    e.last_byte = job.last_byte;
    e.at = now;
    e.position = job.position;
    e.deposed = now - m.deposed_at < kExcused;
    std::string value;
    auto position = job.position;
    if (write) {
        if (bank.primary(now) != m.index) {
            // It was deposed while the write was at work: nothing was committed.
            auto out = parameters(m, bank.position(m.index, now));
            pgwire::Builder(out).error("ERROR", pgwire::code::kReadOnly, "no primary any more").ready();
            if (job.peer) job.peer->write(out);
            return;
        }
        const auto written = bank.write(job.key, data_in(job.statement), now);
        e.ran = written.ran;
        value = written.value;
        position = written.commit;
    } else {
        value = value_of(code_in(job.statement));
    }
    const auto row = answer_of(value, write);
    e.value = digest_of(row).low;
    checker_.executed(e);
    if (!job.peer) return;
    if (m.spoils) {
        job.peer->write(row.substr(0, row.size() * 2 / 3));
        return job.peer->gone();
    }
    job.peer->write(parameters(m, position) + row);
}

}  // namespace standin
