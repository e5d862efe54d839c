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
constexpr Micros kRoleCheckInterval = 50'000;
constexpr Micros kDeposedPeriod =
    6'000'000;  // after it, proxies count as notified that the endpoint is no longer the primary
constexpr Micros kMinCopyAge = 2'100'000,
                 kMaxCopyAge = 8'000'000;  // age of the copy that a replacement starts from
constexpr double kWriteWorkFactor = 1.7;
constexpr double kSlowApplyFactor = 10;

sockaddr_in address(const std::string& host, int port) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    if (inet_pton(AF_INET, host.c_str(), &at.sin_addr) != 1)
        throw std::runtime_error("emulator: not an IPv4 address: " + host);
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    return at;
}

std::string endpoint_name(int number) {
    char name[24];
    std::snprintf(name, sizeof name, "s-%08x", static_cast<unsigned>(number + 1));
    return name;
}

int find_class(std::string_view name) {
    for (int i = 0; i < kClassCount; ++i)
        if (name == kClasses[i].name) return i;
    return -1;
}

}  // namespace

struct Fleet::Job {
    std::uint64_t number = 0;
    ProxyConnection* connection =
        nullptr;  // nullptr once the connection has closed; the statement still completes
    bool handshake = false;
    std::string id, key, statement;
    int request_class = 0, proxy = 0;
    Micros work_us = 0;  // on a warm core
    Time first_byte = 0, last_byte = 0, deadline_at = 0;
    Time position = 0;
    Time after = 0;  // its session's last commit; 0 if the statement has none
    Deadline ready;
    // Returns the position that the data must have reached at least; 0: any.
    Time required_position(Time now) const {
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
    std::vector<std::unique_ptr<ProxyConnection>> open_connections;
    std::map<std::uint64_t, std::unique_ptr<Job>> running;
    std::deque<std::unique_ptr<Job>> queue;
    std::map<std::uint64_t, std::unique_ptr<Job>> held;  // reads that wait until the endpoint has caught up
    Capacity capacity;
    Time stalled_until = 0, up_since = 0, deposed_at = 0;
    bool silent = false, spoils = false, draining = false, was_primary = false;
    std::string phase = "in_service";
    bool primary_listed = false;
    std::string report;
    Time report_at = 0;
    Deadline listing;
};

// A connection of a proxy to an endpoint.
class Fleet::ProxyConnection final : public net::ConnectionEvents {
public:
    ProxyConnection(Fleet& fleet, Member& member, int proxy, evutil_socket_t fd)
        : fleet_(fleet), member_(member), proxy_(proxy) {
        line_ = std::make_unique<Line>(Line::Host{fleet.loop_, fleet.deadlines_, fleet.random_},
                                       *member.edges[static_cast<std::size_t>(proxy)], fd, kMaxUnreadBytes,
                                       *this);
    }
    int proxy() const { return proxy_; }
    Line* line() { return line_.get(); }
    void received() override {
        if (member_.silent) return line_->consume(line_->unread_bytes());
        if (!first_byte_) first_byte_ = fleet_.deadlines_.now();
        try {
            while (line_) {
                const auto bytes = line_->unread();
                const auto m = started_ ? pgwire::next_message(bytes) : pgwire::next_startup(bytes);
                if (!m) return;
                const auto began = std::exchange(first_byte_, fleet_.deadlines_.now());
                const auto size = m->size;
                if (!started_) {
                    started_ = true;
                    fleet_.on_startup(member_, *this);
                } else if (m->type == 'Q') {
                    fleet_.on_statement(member_, *this, std::string(pgwire::FieldReader(m->body).text()),
                                        began);
                } else {
                    return disconnect();
                }
                if (!line_) return;
                line_->consume(size);
                if (line_->unread_bytes() == 0) first_byte_ = 0;
            }
        } catch (const pgwire::ProtocolError&) {
            disconnect();
        }
    }
    void ended(net::ConnectionEnd) override { disconnect(); }
    void write(const std::string& bytes) {
        if (line_) line_->write(bytes);
    }
    void close() { line_.reset(); }
    // Closes the connection and drops its waiting statements. Destroys this object later.
    void disconnect() {
        for (auto& [number, job] : member_.running)
            if (job->connection == this) job->connection = nullptr;
        // Statements that have not started are dropped.
        for (auto it = member_.held.begin(); it != member_.held.end();)
            it = it->second->connection == this ? member_.held.erase(it) : std::next(it);
        auto& queue = member_.queue;
        queue.erase(
            std::remove_if(queue.begin(), queue.end(), [&](auto& job) { return job->connection == this; }),
            queue.end());
        close();
        const auto self = std::find_if(member_.open_connections.begin(), member_.open_connections.end(),
                                       [&](auto& p) { return p.get() == this; });
        if (self == member_.open_connections.end()) return;
        auto kept = std::move(*self);
        member_.open_connections.erase(self);
        fleet_.loop_.delete_later(std::move(kept));
    }

private:
    Fleet& fleet_;
    Member& member_;
    int proxy_;
    bool started_ = false;
    Time first_byte_ = 0;
    std::unique_ptr<Line> line_;
};

Fleet::Fleet(net::Loop& loop, Deadlines& deadlines, const FleetSettings& settings, EventSink& event_sink,
             std::function<void(const Listed&)> listed, std::function<void(Micros)> restart)
    : loop_(loop),
      deadlines_(deadlines),
      settings_(settings),
      event_sink_(event_sink),
      listed_(std::move(listed)),
      restart_(std::move(restart)),
      started_at_(deadlines.now()),
      random_(settings.seed),
      new_primary_at_(static_cast<std::size_t>(settings.banks)),
      listed_primary_(static_cast<std::size_t>(settings.banks)),
      seen_primary_(static_cast<std::size_t>(settings.banks)) {
    for (int b = 0; b < settings.banks; ++b) {
        auto model = settings.bank;
        model.members = settings.members;
        groups_.push_back(std::make_unique<ReplicaGroupModel>(model, started_at_));
        for (int i = 0; i < settings.members; ++i) {
            auto& m = *members_.emplace_back(std::make_unique<Member>(settings.cold, settings.cores));
            m.bank = b;
            m.index = i;
            m.primary_listed = i == 0;
            m.name = endpoint_name(number_of(m));
            for (std::size_t p = 0; p < settings.hosts.size(); ++p) {
                m.edges.push_back(std::make_unique<Edge>());
                m.port.push_back(
                    static_cast<std::uint16_t>(settings.first_port ? settings.first_port + number_of(m) : 0));
            }
            if (owns(b)) start(m);
        }
    }
    for (const auto& fault : settings_.script) {
        script_.push_back(std::make_unique<Deadline>());
        script_.back()->set(deadlines_, started_at_ + fault.at_us, [this, fault] { begin(fault); });
        if (fault.trouble == Trouble::restart) continue;
        script_.push_back(std::make_unique<Deadline>());
        script_.back()->set(deadlines_, started_at_ + fault.at_us + fault.for_us,
                            [this, fault] { end(fault); });
    }
    update_listed_primaries();
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
    const int index = groups_.at(static_cast<std::size_t>(bank))->primary(deadlines_.now());
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
    l.name = endpoint_name(member);
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
        if (owns(l.group)) {
            l.port = members_[static_cast<std::size_t>(l.member)]->port[0];
            out.push_back(std::move(l));
        }
    return out;
}

Event Fleet::make_event(What what, const Member& m, int proxy) const {
    Event e;
    e.what = what;
    e.at = deadlines_.now();
    e.member = number_of(m);
    e.proxy = proxy;
    return e;
}

void Fleet::set_phase(Member& m, const char* phase) {
    m.phase = phase;
    update_listing(m);
}

void Fleet::update_listing(const Member& m) {
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
            [this, &m, p](evutil_socket_t fd) { on_connection(m, static_cast<int>(p), fd); }));
        m.port[p] = m.ports.back()->port();
        m.ports.back()->cut(m.edges[p]->cut());
    }
}

void Fleet::on_connection(Member& m, int proxy, evutil_socket_t fd) {
    auto e = make_event(What::linked, m, proxy);
    if (m.open_connections.size() >= settings_.connections) {
        e.word = "refused";
        evutil_closesocket(fd);
    } else {
        m.open_connections.push_back(std::make_unique<ProxyConnection>(*this, m, proxy, fd));
    }
    event_sink_.saw(e);
}

Edge& Fleet::edge(int proxy, int member) {
    return *members_.at(static_cast<std::size_t>(member))->edges.at(static_cast<std::size_t>(proxy));
}

void Fleet::edge_changed(int proxy, int member) {
    auto& m = *members_.at(static_cast<std::size_t>(member));
    if (!m.ports.empty())
        m.ports[static_cast<std::size_t>(proxy)]->cut(m.edges[static_cast<std::size_t>(proxy)]->cut());
    std::vector<ProxyConnection*> connections_of_proxy;  // delivered bytes may close some of them
    for (auto& p : m.open_connections)
        if (p->proxy() == proxy) connections_of_proxy.push_back(p.get());
    for (auto* p : connections_of_proxy)
        if (p->line()) p->line()->on_edge_changed();
}

void Fleet::reset(int proxy, int member) {
    auto& m = *members_.at(static_cast<std::size_t>(member));
    std::vector<ProxyConnection*> connections_of_proxy;
    for (auto& p : m.open_connections)
        if (p->proxy() == proxy) connections_of_proxy.push_back(p.get());
    for (auto* p : connections_of_proxy) p->disconnect();
}

void Fleet::crash(Member& m) {
    m.ports.clear();
    for (auto& p : m.open_connections) {
        p->close();
        loop_.delete_later(std::move(p));
    }
    m.open_connections.clear();
    m.running.clear();
    m.queue.clear();
    m.held.clear();
    m.stalled_until = 0;
}

void Fleet::begin(const Fault& f) {
    if (f.trouble == Trouble::restart) return restart_ ? restart_(f.for_us) : void();
    if (f.member < 0 || !owns(f.bank)) return;
    const Time now = deadlines_.now();
    auto& m = at(f.bank, f.member);
    auto& group = *groups_[static_cast<std::size_t>(f.bank)];
    m.was_primary = group.primary(now) == f.member;
    switch (f.trouble) {
        case Trouble::crash:
            group.mark_down(f.member, now);
            crash(m);
            m.listing.set(deadlines_, now + settings_.list_late, [this, &m] { set_phase(m, "terminated"); });
            return;
        case Trouble::replace:
            group.replace(f.member, now - random_.between(kMinCopyAge, kMaxCopyAge), now);
            crash(m);
            set_phase(m, "terminated");
            return;
        case Trouble::silent:
            group.mark_down(f.member, now);
            m.silent = true;
            return;
        case Trouble::stall:
            m.stalled_until = now + f.for_us;
            return;
        case Trouble::drain:
            if (m.was_primary) m.deposed_at = now;
            m.draining = true;
            group.drain(f.member, now);
            return set_phase(m, "terminating");
        case Trouble::slow:
            return group.slow_apply(f.member, kSlowApplyFactor, now + f.for_us, now);
        case Trouble::spoil:
            m.spoils = true;
            return;
        default:
            return;
    }
}

void Fleet::end(const Fault& f) {
    if (f.member < 0 || !owns(f.bank)) return;
    const Time now = deadlines_.now();
    auto& m = at(f.bank, f.member);
    auto& group = *groups_[static_cast<std::size_t>(f.bank)];
    // Proxies that have not been notified yet still take this endpoint for the primary.
    if (m.was_primary) m.deposed_at = now;
    if (f.trouble == Trouble::crash) {
        group.mark_up(f.member, now);
        m.up_since = now;
        m.capacity.start(now);
        start(m);
        m.listing.set(deadlines_, now + settings_.list_late, [this, &m] { set_phase(m, "in_service"); });
    } else if (f.trouble == Trouble::replace) {
        // A new machine in the same place of the replica group: new name, new address, older copy of the
        // data.
        ++m.generation;
        m.name = endpoint_name(number_of(m));
        m.primary_listed = false;
        if (settings_.first_port)
            for (auto& port : m.port) port = static_cast<std::uint16_t>(settings_.first_port + number_of(m));
        m.up_since = now;
        m.capacity.start(now);
        start(m);
        set_phase(m, "in_service");
    } else if (f.trouble == Trouble::silent) {
        group.mark_up(f.member, now);
        m.silent = false;
        // Open connections are reset when the machine returns.
        crash(m);
        start(m);
    } else if (f.trouble == Trouble::drain) {
        crash(m);
        m.draining = false;
        m.up_since = now;
        m.capacity.start(now);
        group.end_drain(f.member);
        start(m);
        set_phase(m, "in_service");
    } else if (f.trouble == Trouble::spoil) {
        m.spoils = false;
    }
}

// Updates the listed primaries, `role_late` after a change.
void Fleet::update_listed_primaries() {
    const Time now = deadlines_.now();
    for (std::size_t b = 0; b < groups_.size(); ++b) {
        if (!owns(static_cast<int>(b))) continue;
        const int primary = groups_[b]->primary(now);
        if (primary >= 0 && primary != seen_primary_[b]) {
            seen_primary_[b] = primary;
            new_primary_at_[b] = now;
        }
        if (seen_primary_[b] == listed_primary_[b] || now < new_primary_at_[b] + settings_.role_late)
            continue;
        for (const int i : {listed_primary_[b], seen_primary_[b]}) {
            auto& m = at(static_cast<int>(b), i);
            m.primary_listed = i == seen_primary_[b];
            update_listing(m);
        }
        listed_primary_[b] = seen_primary_[b];
    }
    role_timer_.set(deadlines_, now + kRoleCheckInterval, [this] { update_listed_primaries(); });
}

std::string Fleet::load_report(Member& m) {
    const Time now = deadlines_.now();
    if (m.report.empty() || now - m.report_at >= settings_.report_every) {
        auto& group = *groups_[static_cast<std::size_t>(m.bank)];
        char text[96];
        std::snprintf(text, sizeof text, "x0=%.6f,x1=%d,inflight=%zu",
                      static_cast<double>(group.position(m.index, now)) / 1e6,
                      group.primary(now) == m.index ? 1 : 0, m.running.size() + m.queue.size());
        m.report = text;
        m.report_at = now;
    }
    return m.report;
}

std::string Fleet::build_status(Member& m, Time position) {
    std::string out;
    const bool primary = groups_[static_cast<std::size_t>(m.bank)]->primary(deadlines_.now()) == m.index;
    // Rounded down to a millisecond: a response must never state a position beyond the true one.
    pgwire::Builder(out)
        .parameter_status("role", primary ? "primary" : "replica")
        .parameter_status("applied_ms", std::to_string(position / 1000))
        .parameter_status("load", load_report(m));
    return out;
}

void Fleet::reject(Member& m, ProxyConnection& connection, const std::string& id, std::string_view code,
                   const char* why) {
    auto e = make_event(What::turned, m, connection.proxy());
    e.id = id;
    e.word = code;
    event_sink_.saw(e);
    auto out =
        build_status(m, groups_[static_cast<std::size_t>(m.bank)]->position(m.index, deadlines_.now()));
    pgwire::Builder(out).error_response("ERROR", code, why).ready_for_query();
    connection.write(out);
}

// Sets a new connection up, which takes core time before it can be used.
void Fleet::on_startup(Member& m, ProxyConnection& connection) {
    std::string out;
    pgwire::Builder(out).startup_response();
    if (settings_.connect_work == 0) return connection.write(out);
    if (m.queue.size() >= settings_.queue) return connection.disconnect();
    auto job = std::make_unique<Job>();
    job->handshake = true;
    job->connection = &connection;
    job->work_us = settings_.connect_work;
    job->statement = std::move(out);
    job->deadline_at = deadlines_.now() + 60'000'000;
    enqueue(m, std::move(job));
}

void Fleet::on_statement(Member& m, ProxyConnection& connection, const std::string& statement,
                         Time first_byte) {
    const Time now = deadlines_.now();
    auto& group = *groups_[static_cast<std::size_t>(m.bank)];
    auto job = std::make_unique<Job>();
    if (statement == "SHOW load" || statement == "SELECT 1") {
        ++probes_;
        event_sink_.saw(make_event(What::probed, m, connection.proxy()));
        auto out = build_status(m, group.position(m.index, now));
        pgwire::Builder(out)
            .row_description("load", 25, false)
            .data_row(statement == "SELECT 1" ? "1" : load_report(m))
            .command_complete("SHOW")
            .ready_for_query();
        return connection.write(out);
    }
    try {
        const auto tags = pgwire::read_tags(statement);
        job->id = tags.id;
        job->key = tags.key;
        job->request_class = find_class(tags.request_class);
        job->deadline_at = now + tags.time_left_ms * 1000;
        job->after = tags.after_ms.value_or(0) * 1000;
    } catch (const pgwire::ProtocolError& error) {
        return reject(m, connection, job->id, pgwire::code::kProtocolViolation, error.what());
    }
    if (job->request_class < 0)
        return reject(m, connection, job->id, pgwire::code::kProtocolViolation, "a class that nobody knows");
    ++attempts_;
    auto e = make_event(What::arrived, m, connection.proxy());
    e.id = job->id;
    e.request_class = job->request_class;
    e.since = first_byte;
    e.until = first_byte + job->deadline_at - now;
    event_sink_.saw(e);
    if (kClasses[job->request_class].write && group.primary(now) != m.index)
        return reject(m, connection, job->id, pgwire::code::kReadOnly, "no primary");
    if (m.draining) return reject(m, connection, job->id, pgwire::code::kTooManyConnections, "draining");
    if (m.queue.size() >= settings_.queue)
        return reject(m, connection, job->id, pgwire::code::kTooManyConnections, "queue full");
    Random random(mixed(settings_.seed, job->id));
    auto takes = static_cast<double>(random.between(settings_.least_work, settings_.most_work));
    if (kClasses[job->request_class].write) takes *= kWriteWorkFactor;
    job->work_us = static_cast<Micros>(takes);
    job->connection = &connection;
    job->proxy = connection.proxy();
    job->statement = statement;
    job->first_byte = first_byte;
    job->last_byte = now;
    if (!m.capacity.accept(takes / 1e6, now)) {
        event_sink_.saw(make_event(What::fell, m, connection.proxy()));
        group.mark_down(m.index, now);
        crash(m);
        return m.listing.set(deadlines_, now + settings_.list_late,
                             [this, &m] { set_phase(m, "terminated"); });
    }
    if (settings_.checks && group.position(m.index, now) < job->required_position(now))
        return wait_until_caught_up(m, std::move(job));
    enqueue(m, std::move(job));
}

void Fleet::wait_until_caught_up(Member& m, std::unique_ptr<Job> job) {
    const auto number = ++last_job_;
    job->ready.set(deadlines_, deadlines_.now() + settings_.patience, [this, &m, number] {
        const auto found = m.held.find(number);
        auto kept = std::move(found->second);
        m.held.erase(found);
        const Time now = deadlines_.now();
        const auto position = groups_[static_cast<std::size_t>(m.bank)]->position(m.index, now);
        if (position >= kept->required_position(now)) return enqueue(m, std::move(kept));
        reject(m, *kept->connection, kept->id, pgwire::code::kTooFarBehind, "too far behind");
    });
    m.held.emplace(number, std::move(job));
}

void Fleet::enqueue(Member& m, std::unique_ptr<Job> job) {
    job->number = ++last_job_;
    m.queue.push_back(std::move(job));
    start_queued_jobs(m);
}

void Fleet::start_queued_jobs(Member& m) {
    const Time now = deadlines_.now();
    auto& group = *groups_[static_cast<std::size_t>(m.bank)];
    while (!m.queue.empty() && m.running.size() < static_cast<std::size_t>(settings_.cores)) {
        auto job = std::move(m.queue.front());
        m.queue.pop_front();
        if (now > job->deadline_at) {
            std::string out = build_status(m, group.position(m.index, now));
            pgwire::Builder(out)
                .error_response("ERROR", pgwire::code::kTooManyConnections, "over already")
                .ready_for_query();
            if (job->connection) job->connection->write(out);
            continue;
        }
        job->position = group.position(m.index, now);
        const auto takes = static_cast<double>(job->work_us) / m.capacity.share(now);
        const auto number = job->number;
        job->ready.set(deadlines_, now + static_cast<Micros>(takes),
                       [this, &m, number] { on_job_done(m, number); });
        m.running.emplace(number, std::move(job));
    }
}

void Fleet::on_job_done(Member& m, std::uint64_t number) {
    const auto found = m.running.find(number);
    const Time now = deadlines_.now();
    if (now < m.stalled_until)
        return found->second->ready.set(deadlines_, m.stalled_until,
                                        [this, &m, number] { on_job_done(m, number); });
    const auto job = std::move(found->second);
    m.running.erase(found);
    if (!m.silent && job->handshake && job->connection)
        job->connection->write(job->statement);
    else if (!m.silent && !job->handshake)
        respond(m, *job);
    start_queued_jobs(m);
}

void Fleet::respond(Member& m, Job& job) {
    const Time now = deadlines_.now();
    auto& group = *groups_[static_cast<std::size_t>(m.bank)];
    const bool write = kClasses[job.request_class].write;
    auto e = make_event(What::ran, m, job.proxy);
    e.id = job.id;
    e.key = job.key;
    e.request_class = job.request_class;
    e.since = job.first_byte;
    e.until = job.last_byte;
    e.position = job.position;
    e.deposed = now - m.deposed_at < kDeposedPeriod;
    std::string value;
    auto position = job.position;
    if (write) {
        if (group.primary(now) != m.index) {
            // The endpoint lost the role of primary while it executed the write; nothing was committed.
            auto out = build_status(m, group.position(m.index, now));
            pgwire::Builder(out)
                .error_response("ERROR", pgwire::code::kReadOnly, "no primary any more")
                .ready_for_query();
            if (job.connection) job.connection->write(out);
            return;
        }
        const auto written = group.write(job.key, parse_data(job.statement), now);
        if (!written.ran) e.what = What::repeated;
        value = written.value;
        e.position = position = written.commit;
    } else {
        value = stored_value(parse_code(job.statement));
    }
    const auto row = build_row_response(value, write);
    e.value = digest_of(row).low;
    event_sink_.saw(e);
    if (!job.connection) return;
    if (m.spoils) {
        job.connection->write(row.substr(0, row.size() * 2 / 3));
        return job.connection->disconnect();
    }
    job.connection->write(build_status(m, position) + row);
}

}  // namespace emulator
