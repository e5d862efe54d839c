#include "emulator/fleet.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cstdio>
#include <deque>
#include <map>

#include "conversation/conversation.h"
#include "emulator/values.h"
#include "pgwire/build.h"
#include "pgwire/frame.h"
#include "pgwire/statement.h"

namespace emulator {
namespace {

namespace pgwire = sloestack::pgwire;
using sloestack::conversation::digest_of;

constexpr std::size_t kMaxUnreadBytes = pgwire::kMaxStatementBytes + 1024;
constexpr Micros kLookForRoles = 50'000;
constexpr Micros kExcused = 6'000'000;  // a deposed primary: until what discovery has to tell counts as told
constexpr Micros kLeastCopied = 2'100'000,
                 kMostCopied = 8'000'000;  // age of the copy a new member starts from
constexpr double kWriteWork = 1.7;
constexpr double kSlowApply = 10;

sockaddr_in address(const std::string& host, int port) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    if (inet_pton(AF_INET, host.c_str(), &at.sin_addr) != 1) throw std::runtime_error("no address: " + host);
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    return at;
}

std::string name_of(int number) {
    char name[24];
    std::snprintf(name, sizeof name, "s-%08x", static_cast<unsigned>(number + 1));
    return name;
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
    bool handshake = false;
    std::string id, key, statement;
    int request_class = 0, proxy = 0;
    Micros takes = 0;  // of a warm core
    Time first_byte = 0, last_byte = 0, not_after = 0;
    Time position = 0;
    Time after = 0;  // its session's last commit; 0: none is told
    Deadline ready;
    // What the data must be new enough for, as far as the statement tells.
    Time wants(Time now) const {
        const auto bound = kClasses[request_class].max_staleness_us;
        return bound > 0 ? now - bound : after;
    }
};

struct Fleet::Member {
    Member(const ColdSettings& cold, int cores) : capacity(cold, cores) {}
    int bank = 0, index = 0, generation = 0;
    std::string name;
    std::vector<std::uint16_t> port;  // by proxy; 0: any
    std::vector<std::unique_ptr<Port>> ports;
    std::vector<std::unique_ptr<Edge>> edges;
    std::vector<std::unique_ptr<Peer>> peers;
    std::map<std::uint64_t, std::unique_ptr<Job>> running;
    std::deque<std::unique_ptr<Job>> queue;
    std::map<std::uint64_t, std::unique_ptr<Job>> held;  // reads that it is too far behind for
    Capacity capacity;
    Time stalled_until = 0, up_since = 0, deposed_at = 0;
    bool silent = false, spoils = false, draining = false, was_primary = false;
    std::string phase = "in_service";
    bool primary_listed = false;
    std::string report;
    Time report_at = 0;
    Deadline listing;
};

// ---- members' connections ----
class Fleet::Peer final : public net::ConnectionEvents {
public:
    Peer(Fleet& of, Member& at, int proxy, evutil_socket_t fd) : of_(of), at_(at), proxy_(proxy) {
        line_ =
            std::make_unique<Line>(Line::Host{of.loop_, of.deadlines_, of.random_},
                                   *at.edges[static_cast<std::size_t>(proxy)], fd, kMaxUnreadBytes, *this);
    }
    int proxy() const { return proxy_; }
    Line* line() { return line_.get(); }
    void received() override {
        if (at_.silent) return line_->consume(line_->unread_bytes());
        if (!first_byte_) first_byte_ = of_.deadlines_.now();
        try {
            while (line_) {
                const auto bytes = line_->unread();
                const auto m = started_ ? pgwire::next_message(bytes) : pgwire::next_startup(bytes);
                if (!m) return;
                const auto began = std::exchange(first_byte_, of_.deadlines_.now());
                const auto size = m->size;
                if (!started_) {
                    started_ = true;
                    of_.greet(at_, *this);
                } else if (m->type == 'Q') {
                    of_.asked(at_, *this, std::string(pgwire::FieldReader(m->body).text()), began);
                } else {
                    return gone();
                }
                if (!line_) return;
                line_->consume(size);
                if (line_->unread_bytes() == 0) first_byte_ = 0;
            }
        } catch (const pgwire::ProtocolError&) {
            gone();
        }
    }
    void ended(net::ConnectionEnd) override { gone(); }
    void write(const std::string& bytes) {
        if (line_) line_->write(bytes);
    }
    void close() { line_.reset(); }
    // It has left, or is to.
    void gone() {
        for (auto& [number, job] : at_.running)
            if (job->peer == this) job->peer = nullptr;
        // What waits and nobody waits for is dropped.
        for (auto it = at_.held.begin(); it != at_.held.end();)
            it = it->second->peer == this ? at_.held.erase(it) : std::next(it);
        auto& queue = at_.queue;
        queue.erase(std::remove_if(queue.begin(), queue.end(), [&](auto& job) { return job->peer == this; }),
                    queue.end());
        close();
        const auto self =
            std::find_if(at_.peers.begin(), at_.peers.end(), [&](auto& p) { return p.get() == this; });
        if (self == at_.peers.end()) return;
        auto kept = std::move(*self);
        at_.peers.erase(self);
        of_.loop_.delete_later(std::move(kept));
    }

private:
    Fleet& of_;
    Member& at_;
    int proxy_;
    bool started_ = false;
    Time first_byte_ = 0;
    std::unique_ptr<Line> line_;
};

// ---- the fleet ----
Fleet::Fleet(net::Loop& loop, Deadlines& deadlines, const FleetSettings& settings, EventSink& witness,
             std::function<void(const Listed&)> listed, std::function<void(Micros)> restart)
    : loop_(loop),
      deadlines_(deadlines),
      settings_(settings),
      witness_(witness),
      listed_(std::move(listed)),
      restart_(std::move(restart)),
      begun_(deadlines.now()),
      random_(settings.seed),
      new_primary_at_(static_cast<std::size_t>(settings.banks)),
      listed_primary_(static_cast<std::size_t>(settings.banks)),
      seen_primary_(static_cast<std::size_t>(settings.banks)) {
    for (int b = 0; b < settings.banks; ++b) {
        auto model = settings.bank;
        model.members = settings.members;
        banks_.push_back(std::make_unique<ReplicaGroupModel>(model, begun_));
        for (int i = 0; i < settings.members; ++i) {
            auto& m = *members_.emplace_back(std::make_unique<Member>(settings.cold, settings.cores));
            m.bank = b;
            m.index = i;
            m.primary_listed = i == 0;
            m.name = name_of(number_of(m));
            for (std::size_t p = 0; p < settings.hosts.size(); ++p) {
                m.edges.push_back(std::make_unique<Edge>());
                m.port.push_back(
                    static_cast<std::uint16_t>(settings.first_port ? settings.first_port + number_of(m) : 0));
            }
            if (mine(b)) start(m);
        }
    }
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

int Fleet::number_of(const Member& m) const {
    return m.bank * settings_.members + m.index + m.generation * kGeneration;
}
Fleet::Member& Fleet::at(int bank, int member) {
    return *members_.at(static_cast<std::size_t>(bank * settings_.members + member));
}
std::string Fleet::member(int number) const {
    return settings_.hosts[0] + ":" + std::to_string(members_.at(static_cast<std::size_t>(number))->port[0]);
}
int Fleet::primary(int bank) {
    const int index = banks_.at(static_cast<std::size_t>(bank))->primary(deadlines_.now());
    return index < 0 ? -1 : bank * settings_.members + index;
}

int Fleet::zone_of(const FleetSettings& settings, int member) {
    return (member % settings.members + member / settings.members) % static_cast<int>(settings.zones.size());
}

Listed Fleet::first_listed(const FleetSettings& settings, int member) {
    Listed l;
    l.member = member;
    l.group = member / settings.members;
    l.primary = member % settings.members == 0;
    l.name = name_of(member);
    l.zone = settings.zones[static_cast<std::size_t>(zone_of(settings, member))];
    l.port = static_cast<std::uint16_t>(settings.first_port ? settings.first_port + member : 0);
    return l;
}

std::vector<Listed> Fleet::first_list(const FleetSettings& settings) {
    std::vector<Listed> out;
    for (int member = 0; member < settings.banks * settings.members; ++member)
        out.push_back(first_listed(settings, member));
    return out;
}

std::vector<Listed> Fleet::list() const {
    std::vector<Listed> out;
    for (auto& l : first_list(settings_))
        if (mine(l.group)) {
            l.port = members_[static_cast<std::size_t>(l.member)]->port[0];
            out.push_back(std::move(l));
        }
    return out;
}

Event Fleet::event(What what, const Member& m, int proxy) const {
    Event e;
    e.what = what;
    e.at = deadlines_.now();
    e.member = number_of(m);
    e.proxy = proxy;
    return e;
}

void Fleet::changed(Member& m, const char* phase) {
    m.phase = phase;
    tell(m);
}

void Fleet::tell(const Member& m) {
    auto l = first_listed(settings_, m.bank * settings_.members + m.index);
    l.member = number_of(m);
    l.name = m.name;
    l.phase = m.phase;
    l.port = m.port[0];
    l.up_since = m.up_since;
    l.primary = m.primary_listed;
    listed_(l);
}

void Fleet::start(Member& m) {
    for (std::size_t p = 0; p < m.port.size(); ++p) {
        m.ports.push_back(std::make_unique<Port>(
            loop_, address(settings_.hosts[p], m.port[p]),
            [this, &m, p](evutil_socket_t fd) { accepted(m, static_cast<int>(p), fd); }));
        m.port[p] = m.ports.back()->port();
        m.ports.back()->cut(m.edges[p]->cut());
    }
}

void Fleet::accepted(Member& m, int proxy, evutil_socket_t fd) {
    auto e = event(What::linked, m, proxy);
    if (m.peers.size() >= settings_.connections) {
        e.word = "refused";
        evutil_closesocket(fd);
    } else {
        m.peers.push_back(std::make_unique<Peer>(*this, m, proxy, fd));
    }
    witness_.saw(e);
}

Edge& Fleet::edge(int proxy, int member) {
    return *members_.at(static_cast<std::size_t>(member))->edges.at(static_cast<std::size_t>(proxy));
}

void Fleet::edge_changed(int proxy, int member) {
    auto& m = *members_.at(static_cast<std::size_t>(member));
    if (!m.ports.empty())
        m.ports[static_cast<std::size_t>(proxy)]->cut(m.edges[static_cast<std::size_t>(proxy)]->cut());
    std::vector<Peer*> of_it;  // what has been under way may close some
    for (auto& p : m.peers)
        if (p->proxy() == proxy) of_it.push_back(p.get());
    for (auto* p : of_it)
        if (p->line()) p->line()->on_edge_changed();
}

void Fleet::reset(int proxy, int member) {
    auto& m = *members_.at(static_cast<std::size_t>(member));
    std::vector<Peer*> of_it;
    for (auto& p : m.peers)
        if (p->proxy() == proxy) of_it.push_back(p.get());
    for (auto* p : of_it) p->gone();
}

void Fleet::crash(Member& m) {
    m.ports.clear();
    for (auto& p : m.peers) {
        p->close();
        loop_.delete_later(std::move(p));
    }
    m.peers.clear();
    m.running.clear();
    m.queue.clear();
    m.held.clear();
    m.stalled_until = 0;
}

void Fleet::begin(const Fault& f) {
    if (f.trouble == Trouble::restart) return restart_ ? restart_(f.for_us) : void();
    if (f.member < 0 || !mine(f.bank)) return;
    const Time now = deadlines_.now();
    auto& m = at(f.bank, f.member);
    auto& bank = *banks_[static_cast<std::size_t>(f.bank)];
    m.was_primary = bank.primary(now) == f.member;
    switch (f.trouble) {
        case Trouble::crash:
            bank.mark_down(f.member, now);
            crash(m);
            m.listing.set(deadlines_, now + settings_.list_late, [this, &m] { changed(m, "terminated"); });
            return;
        case Trouble::replace:
            bank.replace(f.member, now - random_.between(kLeastCopied, kMostCopied), now);
            crash(m);
            changed(m, "terminated");
            return;
        case Trouble::silent:
            bank.mark_down(f.member, now);
            m.silent = true;
            return;
        case Trouble::stall:
            m.stalled_until = now + f.for_us;
            return;
        case Trouble::drain:
            if (m.was_primary) m.deposed_at = now;
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
    if (f.member < 0 || !mine(f.bank)) return;
    const Time now = deadlines_.now();
    auto& m = at(f.bank, f.member);
    auto& bank = *banks_[static_cast<std::size_t>(f.bank)];
    // Who has not heard of it yet takes it for what it was.
    if (m.was_primary) m.deposed_at = now;
    if (f.trouble == Trouble::crash) {
        bank.mark_up(f.member, now);
        m.up_since = now;
        m.capacity.start(now);
        start(m);
        m.listing.set(deadlines_, now + settings_.list_late, [this, &m] { changed(m, "in_service"); });
    } else if (f.trouble == Trouble::replace) {
        // Another machine, in the same place of its bank: a new name, a new address, an old copy.
        ++m.generation;
        m.name = name_of(number_of(m));
        m.primary_listed = false;
        if (settings_.first_port)
            for (auto& port : m.port) port = static_cast<std::uint16_t>(settings_.first_port + number_of(m));
        m.up_since = now;
        m.capacity.start(now);
        start(m);
        changed(m, "in_service");
    } else if (f.trouble == Trouble::silent) {
        bank.mark_up(f.member, now);
        m.silent = false;
        // What stood silent is reset when the machine is back.
        crash(m);
        start(m);
    } else if (f.trouble == Trouble::drain) {
        crash(m);
        m.draining = false;
        m.up_since = now;
        m.capacity.start(now);
        bank.end_drain(f.member);
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
        if (!mine(static_cast<int>(b))) continue;
        const int primary = banks_[b]->primary(now);
        if (primary >= 0 && primary != seen_primary_[b]) {
            seen_primary_[b] = primary;
            new_primary_at_[b] = now;
        }
        if (seen_primary_[b] == listed_primary_[b] || now < new_primary_at_[b] + settings_.role_late)
            continue;
        for (const int i : {listed_primary_[b], seen_primary_[b]}) {
            auto& m = at(static_cast<int>(b), i);
            m.primary_listed = i == seen_primary_[b];
            tell(m);
        }
        listed_primary_[b] = seen_primary_[b];
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
        .parameter_status("role", primary ? "primary" : "replica")
        .parameter_status("applied_ms", std::to_string(position / 1000))
        .parameter_status("load", report(m));
    return out;
}

void Fleet::turn_away(Member& m, Peer& peer, const std::string& id, std::string_view code, const char* why) {
    auto e = event(What::turned, m, peer.proxy());
    e.id = id;
    e.word = code;
    witness_.saw(e);
    auto out = parameters(m, banks_[static_cast<std::size_t>(m.bank)]->position(m.index, deadlines_.now()));
    pgwire::Builder(out).error_response("ERROR", code, why).ready_for_query();
    peer.write(out);
}

// A new connection costs the member work before it can be used.
void Fleet::greet(Member& m, Peer& peer) {
    std::string out;
    pgwire::Builder(out).startup_response();
    if (settings_.connect_work == 0) return peer.write(out);
    if (m.queue.size() >= settings_.queue) return peer.gone();
    auto job = std::make_unique<Job>();
    job->handshake = true;
    job->peer = &peer;
    job->takes = settings_.connect_work;
    job->statement = std::move(out);
    job->not_after = deadlines_.now() + 60'000'000;
    enqueue(m, std::move(job));
}

void Fleet::asked(Member& m, Peer& peer, const std::string& statement, Time first_byte) {
    const Time now = deadlines_.now();
    auto& bank = *banks_[static_cast<std::size_t>(m.bank)];
    auto job = std::make_unique<Job>();
    if (statement == "SHOW load" || statement == "SELECT 1") {
        ++probes_;
        witness_.saw(event(What::probed, m, peer.proxy()));
        auto out = parameters(m, bank.position(m.index, now));
        pgwire::Builder(out)
            .row_description("load", 25, false)
            .data_row(statement == "SELECT 1" ? "1" : report(m))
            .command_complete("SHOW")
            .ready_for_query();
        return peer.write(out);
    }
    try {
        const auto tags = pgwire::read_tags(statement);
        job->id = tags.id;
        job->key = tags.key;
        job->request_class = class_named(tags.request_class);
        job->not_after = now + tags.time_left_ms * 1000;
        job->after = tags.after_ms.value_or(0) * 1000;
    } catch (const pgwire::ProtocolError& error) {
        return turn_away(m, peer, job->id, pgwire::code::kProtocolViolation, error.what());
    }
    if (job->request_class < 0)
        return turn_away(m, peer, job->id, pgwire::code::kProtocolViolation, "a class that nobody knows");
    ++attempts_;
    auto e = event(What::arrived, m, peer.proxy());
    e.id = job->id;
    e.request_class = job->request_class;
    e.since = first_byte;
    witness_.saw(e);
    if (kClasses[job->request_class].write && bank.primary(now) != m.index)
        return turn_away(m, peer, job->id, pgwire::code::kReadOnly, "no primary");
    if (m.draining) return turn_away(m, peer, job->id, pgwire::code::kTooManyConnections, "draining");
    if (m.queue.size() >= settings_.queue)
        return turn_away(m, peer, job->id, pgwire::code::kTooManyConnections, "queue full");
    Random random(mixed(settings_.seed, job->id));
    auto takes = static_cast<double>(random.between(settings_.least_work, settings_.most_work));
    if (kClasses[job->request_class].write) takes *= kWriteWork;
    job->takes = static_cast<Micros>(takes);
    job->peer = &peer;
    job->proxy = peer.proxy();
    job->statement = statement;
    job->first_byte = first_byte;
    job->last_byte = now;
    if (!m.capacity.accept(takes / 1e6, now)) {
        witness_.saw(event(What::fell, m, peer.proxy()));
        bank.mark_down(m.index, now);
        crash(m);
        return m.listing.set(deadlines_, now + settings_.list_late, [this, &m] { changed(m, "terminated"); });
    }
    if (settings_.checks && bank.position(m.index, now) < job->wants(now))
        return hold_back(m, std::move(job));
    enqueue(m, std::move(job));
}

void Fleet::hold_back(Member& m, std::unique_ptr<Job> job) {
    const auto number = ++last_job_;
    job->ready.set(deadlines_, deadlines_.now() + settings_.patience, [this, &m, number] {
        const auto found = m.held.find(number);
        auto kept = std::move(found->second);
        m.held.erase(found);
        const Time now = deadlines_.now();
        const auto position = banks_[static_cast<std::size_t>(m.bank)]->position(m.index, now);
        if (position >= kept->wants(now)) return enqueue(m, std::move(kept));
        turn_away(m, *kept->peer, kept->id, pgwire::code::kTooFarBehind, "too far behind");
    });
    m.held.emplace(number, std::move(job));
}

void Fleet::enqueue(Member& m, std::unique_ptr<Job> job) {
    job->number = ++last_job_;
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
            pgwire::Builder(out)
                .error_response("ERROR", pgwire::code::kTooManyConnections, "over already")
                .ready_for_query();
            if (job->peer) job->peer->write(out);
            continue;
        }
        job->position = bank.position(m.index, now);
        const auto takes = static_cast<double>(job->takes) / m.capacity.share(now);
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
    if (!m.silent && job->handshake && job->peer)
        job->peer->write(job->statement);
    else if (!m.silent && !job->handshake)
        answer(m, *job);
    work(m);
}

void Fleet::answer(Member& m, Job& job) {
    const Time now = deadlines_.now();
    auto& bank = *banks_[static_cast<std::size_t>(m.bank)];
    const bool write = kClasses[job.request_class].write;
    auto e = event(What::ran, m, job.proxy);
    e.id = job.id;
    e.key = job.key;
    e.request_class = job.request_class;
    e.since = job.first_byte;
    e.until = job.last_byte;
    e.position = job.position;
    e.deposed = now - m.deposed_at < kExcused;
    std::string value;
    auto position = job.position;
    if (write) {
        if (bank.primary(now) != m.index) {
            // It was deposed while the write was at work: nothing was committed.
            auto out = parameters(m, bank.position(m.index, now));
            pgwire::Builder(out)
                .error_response("ERROR", pgwire::code::kReadOnly, "no primary any more")
                .ready_for_query();
            if (job.peer) job.peer->write(out);
            return;
        }
        const auto written = bank.write(job.key, parse_data(job.statement), now);
        if (!written.ran) e.what = What::repeated;
        value = written.value;
        e.position = position = written.commit;
    } else {
        value = stored_value(parse_code(job.statement));
    }
    const auto row = build_row_response(value, write);
    e.value = digest_of(row).low;
    witness_.saw(e);
    if (!job.peer) return;
    if (m.spoils) {
        job.peer->write(row.substr(0, row.size() * 2 / 3));
        return job.peer->gone();
    }
    job.peer->write(parameters(m, position) + row);
}

}  // namespace emulator
