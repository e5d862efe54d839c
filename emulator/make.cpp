#include "emulator/make.h"

#include <algorithm>
#include <charconv>
#include <cstring>
#include <deque>
#include <functional>
#include <iterator>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <stdexcept>
#include <utility>

#include "emulator/load.h"
#include "emulator/values.h"
#include "pgwire/build.h"
#include "tds/login.h"
#include "tds/request.h"
#include "tds/token.h"
#include "writer/writer.h"

namespace emulator {
namespace {

namespace pcap = sloestack::pcap;
namespace writer = sloestack::writer;
namespace pgwire = sloestack::pgwire;
namespace tds = sloestack::tds;
using Side = writer::Side;

constexpr std::pair<const char*, Damage> kNames[] = {{"cut_head", Damage::cut_head},
                                                     {"cut_tail", Damage::cut_tail},
                                                     {"cut_length", Damage::cut_length},
                                                     {"cut_answer", Damage::cut_answer},
                                                     {"cut_answer_length", Damage::cut_answer_length},
                                                     {"cut_value", Damage::cut_value},
                                                     {"hole", Damage::hole},
                                                     {"hole_answer", Damage::hole_answer},
                                                     {"retransmit", Damage::retransmit},
                                                     {"retransmit_other", Damage::retransmit_other},
                                                     {"overlap", Damage::overlap},
                                                     {"reorder", Damage::reorder},
                                                     {"backwards_1us", Damage::backwards_1us},
                                                     {"backwards_2s", Damage::backwards_2s},
                                                     {"backwards_stream", Damage::backwards_stream},
                                                     {"rst", Damage::rst},
                                                     {"lost_answer", Damage::lost_answer},
                                                     {"half_open", Damage::half_open},
                                                     {"port_reuse", Damage::port_reuse},
                                                     {"two_ids", Damage::two_ids},
                                                     {"wrap", Damage::wrap},
                                                     {"snap", Damage::snap},
                                                     {"vlans", Damage::vlans},
                                                     {"truncate", Damage::truncate}};
constexpr int kMaxDamageCount = 10'000;
constexpr std::uint32_t kDamagedRequest = 2;  // index of the damaged request of a connection
constexpr std::int64_t kClientIdleTimeoutUs =
    8'000'000;  // a client closes an idle connection; shorter than the proxy's 10 s
constexpr std::int64_t kTwoSecondsUs = 2'000'000;
constexpr int kEthernet = 1;  // link type of the recordings
constexpr std::uint16_t kFirstPort = 10'000, kLastPort = 60'000;
constexpr std::uint32_t kFirstSequenceNearWrap = 0xffffff00;  // 256 bytes before the sequence numbers wrap

// Passes frames from the writer to the file and applies the armed damage to those that carry payload.
class DamageSink final : public pcap::Sink {
public:
    DamageSink(pcap::Sink& out, std::uint16_t server_port) : out_(out), server_port_(server_port) {}
    void arm(std::optional<Damage> damage) {
        damage_ = damage;
        payloads_ = 0;
        delayed_frame_.reset();
    }
    void drop(std::uint16_t port) { dropped_ports_.insert(port); }
    void restore(std::uint16_t port) { dropped_ports_.erase(port); }
    void shift(std::uint16_t port, std::int64_t by_us) { time_shifts_us_[port] = by_us; }

    void frame(std::int64_t time_ns, std::string_view bytes, std::uint32_t) override {
        pcap::Segment s;
        pcap::decode(kEthernet, time_ns / 1000, bytes, s);
        const auto port = s.from.port == server_port_ ? s.to.port : s.from.port;
        if (dropped_ports_.count(port)) return;
        if (const auto by = time_shifts_us_.find(port); by != time_shifts_us_.end())
            time_ns += by->second * 1000;
        const auto before = std::exchange(last_ns_, time_ns);
        if (!damage_ || (s.payload.empty() && !delayed_frame_)) return out_.frame(time_ns, bytes, 0);
        last_ns_ = before;
        apply_damage(time_ns, bytes, s, port);
    }

private:
    void cut(std::int64_t time_ns, pcap::Segment s, std::uint16_t port, std::size_t keep) {
        s.payload = s.payload.substr(0, keep);
        if (!s.payload.empty()) out_.frame(time_ns, pcap::build(s), 0);
        drop(port);
    }
    void apply_damage(std::int64_t time_ns, std::string_view bytes, const pcap::Segment& s,
                      std::uint16_t port) {
        const int payload_index = payloads_++;
        const auto pass_on = [&] { out_.frame(time_ns, bytes, 0); };
        switch (*damage_) {
            case Damage::cut_tail:
            case Damage::cut_answer:
                return cut(time_ns, s, port, s.payload.size() / 2);
            case Damage::cut_length:
            case Damage::cut_answer_length:
                return cut(time_ns, s, port, 3);
            case Damage::cut_value:
                return payload_index == 1 ? cut(time_ns, s, port, s.payload.size() / 2) : pass_on();
            case Damage::hole:
            case Damage::hole_answer:
                return payload_index == 0 ? void() : pass_on();
            case Damage::retransmit:
                pass_on();
                return pass_on();
            case Damage::retransmit_other: {
                pass_on();
                std::string other(s.payload);
                other.back() = static_cast<char>(other.back() ^ 0x55);
                auto again = s;
                again.payload = other;
                return out_.frame(time_ns, pcap::build(again), 0);
            }
            case Damage::overlap: {
                pass_on();
                auto again = s;
                const auto half = s.payload.size() / 2;
                again.payload = s.payload.substr(half);
                again.seq += static_cast<std::uint32_t>(half);
                return out_.frame(time_ns, pcap::build(again), 0);
            }
            case Damage::reorder:
                if (!delayed_frame_ && payload_index == 0) {
                    delayed_frame_ = std::string(bytes);
                    return;
                }
                pass_on();
                if (delayed_frame_) out_.frame(time_ns, *delayed_frame_, 0);
                return delayed_frame_.reset();
            case Damage::backwards_1us:
                return out_.frame(payload_index == 0 ? last_ns_ - 1000 : time_ns, bytes, 0);
            case Damage::backwards_2s:
                return out_.frame(payload_index == 0 ? last_ns_ - kTwoSecondsUs * 1000 : time_ns, bytes, 0);
            case Damage::snap:
                if (payload_index > 0) return pass_on();
                return out_.frame(time_ns, bytes.substr(0, bytes.size() - s.payload.size() / 2),
                                  static_cast<std::uint32_t>(bytes.size()));
            default:
                return pass_on();
        }
    }
    pcap::Sink& out_;
    std::uint16_t server_port_;
    std::optional<Damage> damage_;
    int payloads_ = 0;
    std::int64_t last_ns_ = 0;  // time of the previous frame
    std::optional<std::string> delayed_frame_;
    std::set<std::uint16_t> dropped_ports_;
    std::map<std::uint16_t, std::int64_t> time_shifts_us_;
};

bool damages_response(Damage d) {
    return d == Damage::cut_answer || d == Damage::cut_answer_length || d == Damage::cut_value ||
           d == Damage::hole_answer || d == Damage::reorder || d == Damage::snap;
}
bool damages_file(Damage d) { return d == Damage::vlans || d == Damage::truncate; }
bool needs_large_value(Damage d) {
    return d == Damage::cut_value || d == Damage::reorder || d == Damage::snap;
}

// The messages of a dialect.
struct Protocol {
    std::uint16_t port = 0;  // server port
    std::vector<std::pair<Side, std::string>> opening;
    std::string (*request)(const Request&) = nullptr;
    std::string (*answer)(std::string_view value, bool write) = nullptr;
};

std::string tds_message(tds::PacketType type, const std::string& payload) {
    std::string out;
    tds::PacketWriter(out).message(type, payload);
    return out;
}

Protocol protocol_for(const std::string& dialect) {
    Protocol out;
    if (dialect == "postgres") {
        std::string up, greeting;
        pgwire::Builder(up).startup_message("portal", "crm");
        pgwire::Builder(greeting).startup_response();
        out.port = 5433;
        out.opening = {{Side::client, up}, {Side::server, greeting}};
        out.request = [](const Request& q) {
            std::string message;
            pgwire::Builder(message).query(build_statement(q));
            return message;
        };
        out.answer = build_row_response;
        return out;
    }
    if (dialect != "tds")
        throw std::invalid_argument("\"" + dialect + "\" is no dialect; there are postgres and tds");
    tds::Prelogin prelogin;
    prelogin.encryption = tds::Encryption::not_supported;
    tds::Login login;
    login.user = "portal";
    login.database = "crm";
    std::string welcome;
    tds::TokenBuilder(welcome)
        .env_change({tds::EnvChange::packet_size, "4096", "4096"})
        .login_ack({tds::kVersion74, "sloestack", 1})
        .done({});
    out.port = 1433;
    out.opening = {{Side::client, tds_message(tds::PacketType::prelogin, tds::build_prelogin(prelogin))},
                   {Side::server, tds_message(tds::PacketType::result, tds::build_prelogin(prelogin))},
                   {Side::client, tds_message(tds::PacketType::login, tds::build_login(login))},
                   {Side::server, tds_message(tds::PacketType::result, welcome)}};
    out.request = [](const Request& q) {
        return tds_message(tds::PacketType::batch, tds::build_batch(build_tds_statement(q)));
    };
    out.answer = [](std::string_view value, bool) {
        return tds_message(tds::PacketType::result, build_tds_row_response(value));
    };
    return out;
}

// Returns a code whose value is much larger than a packet.
const std::string& code_with_large_value() {
    static const std::string code = [] {
        for (std::uint64_t i = 1;; ++i)
            if (auto c = hex16(i); stored_value(c).size() > 50'000) return c;
    }();
    return code;
}

class RecordingMaker {
public:
    RecordingMaker(const MakeSettings& settings, pcap::Sink& out)
        : settings_(settings),
          protocol_(protocol_for(settings.dialect)),
          damage_sink_(out, protocol_.port),
          generator_(settings.seed, settings.groups),
          writer_(writer_settings(settings), damage_sink_) {
        for (const auto d : settings.damage)
            if (!damages_file(d)) pending_damage_.push_back(d);
    }
    RecordingReport run() {
        auto& random = generator_.random();
        double at = 0;
        const auto end = settings_.begins_us + settings_.length_us;
        for (;;) {
            at += random.exponential(1e6 / settings_.rate);
            const auto now = settings_.begins_us + static_cast<std::int64_t>(at);
            if (now >= end) break;
            run_events(now);
            add_request(now);
        }
        run_events(end + kTwoSecondsUs);
        for (auto& c : connections_)
            if (c.open) writer_.finish(c.number, Side::client, latest_us_);
        report_.unapplied_damage.assign(pending_damage_.begin(), pending_damage_.end());
        return report_;
    }

private:
    struct Connection {
        std::uint64_t number = 0;
        std::uint16_t port = 0;
        std::int64_t free_at = 0;
        std::uint32_t requests = 0;
        std::optional<Damage> planned_damage;
        bool open = true;
    };
    static writer::Settings writer_settings(const MakeSettings& s) {
        writer::Settings out;
        out.seed = s.seed;
        if (std::find(s.damage.begin(), s.damage.end(), Damage::vlans) != s.damage.end()) {
            out.vlan_client = 10;
            out.vlan_server = 20;
        }
        return out;
    }
    void schedule(std::int64_t when, std::function<void()> what) { events_.emplace(when, std::move(what)); }
    void run_events(std::int64_t until) {
        while (!events_.empty() && events_.begin()->first <= until) {
            auto node = events_.extract(events_.begin());
            latest_us_ = std::max(latest_us_, node.key());
            node.mapped()();
        }
        latest_us_ = std::max(latest_us_, until);
    }
    pcap::Endpoint address(std::uint8_t last, std::uint16_t port) const {
        pcap::Endpoint e;
        e.address = {10, 0, 0, last};
        e.port = port;
        return e;
    }
    Connection& open_connection(std::int64_t now) {
        auto& c = connections_.emplace_back();
        c.number = ++report_.connections;
        if (!pending_damage_.empty() && c.number > 1) {
            c.planned_damage = pending_damage_.front();
            pending_damage_.pop_front();
        }
        const bool again = c.planned_damage == Damage::port_reuse && closed_port_;
        c.port = again ? *closed_port_ : next_port();
        used_ports_.insert(c.port);
        if (c.planned_damage == Damage::port_reuse && !again) {
            pending_damage_.push_back(*c.planned_damage);  // no connection has closed yet
            c.planned_damage.reset();
        }
        damage_sink_.restore(c.port);
        if (c.planned_damage == Damage::backwards_stream) damage_sink_.shift(c.port, -kTwoSecondsUs);
        if (c.planned_damage == Damage::wrap)
            writer_.set_first_sequence(kFirstSequenceNearWrap, kFirstSequenceNearWrap);
        if (c.planned_damage == Damage::half_open) {
            pcap::Segment syn;
            syn.from = address(9, next_port());
            syn.to = address(4, protocol_.port);
            syn.flags = pcap::flag::syn;
            damage_sink_.frame(now * 1000, pcap::build(syn), 0);
        }
        if (c.planned_damage == Damage::cut_head) {
            damage_sink_.drop(c.port);
            connections_without_head_.insert(c.number);
        }
        writer_.open(c.number, address(2, c.port), address(4, protocol_.port), now);
        auto when = now;
        for (const auto& [side, bytes] : protocol_.opening) {
            schedule(when, [this, number = c.number, side = side, bytes = bytes, when] {
                writer_.data(number, side, bytes, when);
            });
            when += 50;
        }
        c.free_at = now + 200;
        return c;
    }
    std::uint16_t next_port() {
        do last_port_ = last_port_ >= kLastPort ? kFirstPort : static_cast<std::uint16_t>(last_port_ + 1);
        while (!used_ports_.insert(last_port_).second);
        return last_port_;
    }
    // Returns a free connection. Prefers the oldest one, so that others stay idle and close.
    Connection& free_connection(std::int64_t now) {
        if (connections_.size() < settings_.clients) return open_connection(now);
        // With a minimum of open connections, uses them in turn, so that none is idle for long.
        if (settings_.clients > 0)
            connections_.splice(connections_.end(), connections_, connections_.begin());
        for (auto& c : connections_) {
            if (!c.open || c.free_at > now) continue;
            if (now - c.free_at > kClientIdleTimeoutUs) {
                writer_.finish(c.number, Side::client, now);
                closed_port_ = c.port;
                used_ports_.erase(c.port);
                c.open = false;
                continue;
            }
            return c;
        }
        connections_.remove_if([](auto& c) { return !c.open; });
        return open_connection(now);
    }
    void add_request(std::int64_t now) {
        auto q = generator_.next();
        auto& c = free_connection(now);
        auto when = std::max(now, c.free_at);
        std::optional<Damage> damage;
        if (c.planned_damage && c.requests == kDamagedRequest)
            damage = std::exchange(c.planned_damage, std::nullopt);
        if (damage && (needs_large_value(*damage) || *damage == Damage::lost_answer)) {
            while ((q.request_class == 2) != (*damage == Damage::lost_answer)) q = generator_.next();
            if (needs_large_value(*damage)) q.code = code_with_large_value();
        }
        add_exchange(c, q, when, damage);
        if (damage != Damage::two_ids) return;
        auto& other = open_connection(when);
        // The same id on another connection, while the first request is still open.
        auto twin = q;
        if (!twin.key.empty()) twin.key = hex16(generator_.random().next());
        add_exchange(other, twin, when + 300, std::nullopt);
    }
    void add_exchange(Connection& c, const Request& q, std::int64_t when, std::optional<Damage> damage) {
        ++report_.requests;
        ++c.requests;
        auto& random = generator_.random();
        const auto takes =
            1000 + static_cast<std::int64_t>(random.exponential(q.request_class == 2 ? 25'000 : 9'000));
        const auto number = c.number;
        const auto port = c.port;
        c.free_at = when + takes + random.between(500, 4000);
        const auto request = protocol_.request(q);
        const bool write = kClasses[q.request_class].write;
        const auto answer = protocol_.answer(write ? q.data : stored_value(q.code), write);
        if (damage == Damage::cut_head) damage.reset();
        schedule(when, [this, number, port, request, damage, when] {
            const bool mine = damage && !damages_response(*damage);
            damage_sink_.arm(mine ? damage : std::nullopt);
            writer_.data(number, Side::client, request, when);
            damage_sink_.arm(std::nullopt);
            if (damage == Damage::lost_answer) damage_sink_.drop(port);
        });
        if (damage == Damage::rst) {
            c.open = false;
            used_ports_.erase(port);
            schedule(when + 200, [this, number, when] { writer_.reset(number, Side::server, when + 200); });
        }
        schedule(when + takes, [this, number, answer, damage, when, takes] {
            damage_sink_.arm(damage && damages_response(*damage) ? damage : std::nullopt);
            writer_.data(number, Side::server, answer, when + takes);
            damage_sink_.arm(std::nullopt);
        });
        // A connection without its head is captured from the end of its third response on.
        if (c.requests == kDamagedRequest + 1 && connections_without_head_.count(number))
            schedule(when + takes, [this, port] { damage_sink_.restore(port); });
    }

    MakeSettings settings_;
    Protocol protocol_;
    DamageSink damage_sink_;
    RequestGenerator generator_;
    writer::Writer writer_;
    std::deque<Damage> pending_damage_;
    std::list<Connection> connections_;
    std::multimap<std::int64_t, std::function<void()>> events_;
    std::set<std::uint64_t> connections_without_head_;
    std::set<std::uint16_t> used_ports_;  // ports of open connections
    std::optional<std::uint16_t> closed_port_;
    std::uint16_t last_port_ = kFirstPort;
    std::int64_t latest_us_ = 0;
    RecordingReport report_;
};

}  // namespace

std::vector<Damage> parse_damage(const std::string& text) {
    std::vector<Damage> out;
    for (std::size_t from = 0; from < text.size();) {
        const auto comma = std::min(text.find(',', from), text.size());
        const auto word = text.substr(from, comma - from);
        const auto star = word.find('*');
        const auto name = word.substr(0, star);
        const auto* found =
            std::find_if(std::begin(kNames), std::end(kNames), [&](auto& n) { return name == n.first; });
        if (found == std::end(kNames))
            throw std::invalid_argument("\"" + name + "\" is no damage; there are " + damage_names());
        int count = 1;
        if (star != std::string::npos) {
            const auto digits = word.substr(star + 1);
            const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), count);
            if (error != std::errc() || end != digits.data() + digits.size() || count < 1 ||
                count > kMaxDamageCount)
                throw std::invalid_argument("\"" + word + "\": the count must be between 1 and 10000");
        }
        out.insert(out.end(), static_cast<std::size_t>(count), found->second);
        from = comma + 1;
    }
    return out;
}

std::string damage_names() {
    std::string out;
    for (const auto& n : kNames) out += (out.empty() ? "" : ", ") + std::string(n.first);
    return out;
}

RecordingReport make(const MakeSettings& settings, sloestack::pcap::Sink& out) {
    return RecordingMaker(settings, out).run();
}

}  // namespace emulator
