#include "emulator/checker.h"

#include <algorithm>

#include "emulator/values.h"

namespace emulator {
namespace {

constexpr std::size_t kMaxSentences = 100;  // one fault usually breaks the same rule many times

std::string by_proxy(int proxy) { return proxy < 0 ? "" : " by proxy " + std::to_string(proxy); }

}  // namespace

void Checker::add_violation(const std::string& sentence) {
    violations_.size() < kMaxSentences ? violations_.push_back(sentence) : void(++omitted_);
}

void Checker::saw(const Event& e) {
    switch (e.what) {
        case What::asked: {
            auto& client = clients_[e.id];
            // A proxy may close an idle connection while a request is on its way to it, but must not close a
            // connection after it has forwarded the request.
            if (e.word == "again") {
                client.dropped = client.dropped || client.attempts > 0;
                return;
            }
            if (client.asked++ == 0) client.first_at = e.at;
            client.proxy = e.proxy;
            client.until = std::max(client.until, e.until);
            if (e.key.empty()) return;
            client.session = e.key;
            // If the same id was asked before, the requirement at that time remains.
            if (kClasses[e.request_class].session && client.asked == 1) client.required = sessions_[e.key];
            return;
        }
        case What::left:
            clients_[e.id].left_at = e.at;
            return;
        case What::answered:
            return answered(e);
        case What::arrived:
            return arrived(e);
        case What::ran:
        case What::repeated:
            return ran(e);
        case What::drain:
            return on_drain(e);
        case What::back:
            drains_.erase({e.proxy, e.member});
            return;
        case What::fell:
            return add_violation("the cold member " + std::to_string(e.member) + " was pushed over");
        case What::process:
            return process(e);
        default:
            return;
    }
}

// A process that starts has received no drain notifications yet.
void Checker::process(const Event& e) {
    auto& outages = outages_[e.proxy];
    for (auto& o : outages)
        if (o.to == 0 && e.word == o.end_word) o.to = e.at;
    if (e.word == "killed") outages.push_back({e.at, 0, "started"});
    if (e.word == "stopped") outages.push_back({e.at, 0, "continued"});
    if (e.word == "cut off") outages.push_back({e.at, 0, "reached"});
    if (e.word == "upgraded") on_upgrade(e);
    if (e.word == "started") started_at_[e.proxy] = e.at;
    if (e.word == "started")
        drains_.erase(drains_.lower_bound({e.proxy, -1}), drains_.lower_bound({e.proxy + 1, -1}));
    if (e.word == "crashed") add_violation("proxy " + std::to_string(e.proxy) + " crashed");
}

// The second process of a hot restart has received no drain notifications yet; the first one remains bound by
// its own, but the attempts do not tell which of the two made them.
void Checker::on_upgrade(const Event& e) {
    notified_from_[e.proxy] = e.at + rules_.handover_excuse;
    for (auto it = drains_.lower_bound({e.proxy, -1}); it != drains_.lower_bound({e.proxy + 1, -1}); ++it)
        it->second = std::max(it->second, notified_from_[e.proxy]);
}

void Checker::on_drain(const Event& e) {
    const auto& outages = outages_[e.proxy];
    const Time excused_since = e.at - rules_.overdue_excuse;
    const bool stood_still = std::any_of(outages.begin(), outages.end(),
                                         [&](const Outage& o) { return o.to == 0 || o.to > excused_since; });
    const bool has_just_started = started_at_[e.proxy] > excused_since;
    if (e.word == kOverdueNotification && (stood_still || has_just_started)) return;
    drains_.emplace(std::pair(e.proxy, e.member), std::max(e.at, notified_from_[e.proxy]));
}

void Checker::arrived(const Event& e) {
    const auto client = clients_.find(e.id);
    if (client != clients_.end() && ++client->second.attempts > rules_.most_attempts)
        add_violation("request " + e.id + " was sent " + std::to_string(client->second.attempts) + " times");
    if (client != clients_.end()) check_client_waits(e, client->second);
    // If the event does not name the proxy, it is the one that the client sent the request to.
    const int proxy = e.proxy < 0 && client != clients_.end() ? client->second.proxy : e.proxy;
    const auto drains = drains_.find({proxy, e.member});
    if (drains != drains_.end() && e.since > drains->second + rules_.drain_grace)
        add_violation("request " + e.id + " was sent" + by_proxy(proxy) + " to member " +
                      std::to_string(e.member) + " " + std::to_string((e.since - drains->second) / 1000) +
                      " ms after its drain was told");
}

void Checker::check_client_waits(const Event& e, const Client& client) {
    if (client.left_at && e.since > client.left_at + rules_.leave_grace + rules_.slack)
        add_violation("request " + e.id + " was sent" + by_proxy(client.proxy) + " " +
                      std::to_string((e.since - client.left_at) / 1000) + " ms after its client had left");
    // A replayed client states no deadline.
    if (client.until && e.until > client.until + rules_.deadline_excess + rules_.slack)
        add_violation("request " + e.id + " was sent" + by_proxy(client.proxy) + " with " +
                      std::to_string((e.until - client.until) / 1000) + " ms more time than its client has");
}

void Checker::ran(const Event& e) {
    const bool first = e.what == What::ran;
    first ? ++ran_ : ++repeats_;
    auto& values = values_[e.id];
    // Stores each distinct value once, because all attempts of a read return the same value.
    if (std::find(values.begin(), values.end(), e.value) == values.end()) values.push_back(e.value);
    if (first && !e.key.empty() && ++executions_by_key_[e.key] == 2)
        add_violation("the write with key " + e.key + " ran twice, the second time as request " + e.id);
    const auto bound = kClasses[e.request_class].max_staleness_us;
    // Staleness is measured at the last byte of the attempt.
    if (bound > 0 && !e.deposed && e.position + bound + rules_.slack < e.until)
        add_violation("request " + e.id + " was answered" + by_proxy(e.proxy) + " from data " +
                      std::to_string((e.until - e.position) / 1000) + " ms old by member " +
                      std::to_string(e.member));
    const auto found = clients_.find(e.id);
    if (found == clients_.end()) return;
    auto& client = found->second;
    if (kClasses[e.request_class].write) client.commit = std::max(client.commit, e.position);
    if (kClasses[e.request_class].session && !e.deposed && e.position < client.required)
        add_violation("request " + e.id + " of session " + client.session + " was answered" +
                      by_proxy(e.proxy) + " from data " +
                      std::to_string((client.required - e.position) / 1000) +
                      " ms older than its last write by member " + std::to_string(e.member));
}

void Checker::answered(const Event& e) {
    if (e.word == "unsent") {
        // The client never wrote the request, or its connection closed and no time was left to write it to a
        // new one. No proxy accepted it, unless an attempt has arrived at an endpoint.
        const auto asked = clients_.find(e.id);
        if (asked == clients_.end()) return;
        asked->second.attempts > 0 ? void(asked->second.dropped = true) : void(--asked->second.asked);
        return;
    }
    auto& client = clients_[e.id];
    const bool lost = e.word == "none";
    if (rules_.late && e.at > client.until + rules_.late && client.until) client.late = true;
    if (lost) return;
    if (++client.answers > std::max(1, client.asked))
        add_violation("request " + e.id + " was answered twice");
    if (e.word != "served") return;
    const auto results = values_.find(e.id);
    if (results == values_.end() ||
        std::find(results->second.begin(), results->second.end(), e.value) == results->second.end())
        add_violation("request " + e.id + " was answered" + by_proxy(e.proxy) +
                      " with a value that no member made for it");
    if (!client.session.empty() && kClasses[e.request_class].write) {
        auto& last = sessions_[client.session];
        last = std::max(last, client.commit);
    }
}

// Returns whether the proxy was killed, stopped or cut off between the first write of the request and the
// time at which its response would be too late.
bool Checker::is_excused(const Client& client) const {
    const auto found = outages_.find(client.proxy);
    if (found == outages_.end()) return false;
    return std::any_of(found->second.begin(), found->second.end(), [&](const Outage& o) {
        return o.from <= client.until + rules_.late && (o.to == 0 || o.to >= client.first_at);
    });
}

std::uint64_t Checker::excused() const {
    return static_cast<std::uint64_t>(std::count_if(clients_.begin(), clients_.end(), [this](auto& c) {
        return (c.second.answers < c.second.asked || c.second.late) && is_excused(c.second);
    }));
}

std::vector<std::string> Checker::broken() const {
    auto out = violations_;
    std::uint64_t omitted = omitted_;
    const auto add = [&](const std::string& sentence) {
        out.size() < kMaxSentences ? out.push_back(sentence) : void(++omitted);
    };
    for (const auto& [id, client] : clients_) {
        if (is_excused(client) || client.left_at) continue;
        if (client.answers < client.asked)
            add("request " + id + " was never answered" + by_proxy(client.proxy));
        else if (client.dropped)
            add("request " + id + " was taken and its connection closed" + by_proxy(client.proxy));
        else if (client.late)
            add("request " + id + " was answered too late" + by_proxy(client.proxy));
    }
    if (omitted) out.push_back(std::to_string(omitted) + " more");
    return out;
}

}  // namespace emulator
