#include "emulator/checker.h"

#include <algorithm>

#include "emulator/values.h"

namespace emulator {
namespace {

constexpr std::size_t kMostSentences = 100;  // a program that breaks one rule breaks it often

std::string of_proxy(int proxy) { return proxy < 0 ? "" : " by proxy " + std::to_string(proxy); }

}  // namespace

void Checker::breaks(const std::string& what) {
    broken_.size() < kMostSentences ? broken_.push_back(what) : void(++untold_);
}

void Checker::saw(const Event& e) {
    switch (e.what) {
        case What::asked: {
            auto& client = clients_[e.id];
            // A close that crosses a request is no fault; of a request that had been taken it is one.
            if (e.word == "again") {
                client.dropped = client.dropped || client.attempts > 0;
                return;
            }
            if (client.asked++ == 0) client.first_at = e.at;
            client.proxy = e.proxy;
            client.until = std::max(client.until, e.until);
            if (e.key.empty()) return;
            client.session = e.key;
            // Read again with the same id: what it had to see by then, at least.
            if (kClasses[e.request_class].session && client.asked == 1) client.required = sessions_[e.key];
            return;
        }
        case What::answered:
            return answered(e);
        case What::arrived:
            return arrived(e);
        case What::ran:
        case What::repeated:
            return ran(e);
        case What::drain:
            drains_.emplace(std::pair(e.proxy, e.member), e.at);
            return;
        case What::back:
            drains_.erase({e.proxy, e.member});
            return;
        case What::fell:
            return breaks("the cold member " + std::to_string(e.member) + " was pushed over");
        case What::process:
            return process(e);
        default:
            return;
    }
}

// A process that starts has been told nothing.
void Checker::process(const Event& e) {
    auto& outages = outages_[e.proxy];
    for (auto& o : outages)
        if (o.to == 0 && e.word == o.until) o.to = e.at;
    if (e.word == "killed") outages.push_back({e.at, 0, "started"});
    if (e.word == "stopped") outages.push_back({e.at, 0, "continued"});
    if (e.word == "cut off") outages.push_back({e.at, 0, "reached"});
    if (e.word == "started")
        drains_.erase(drains_.lower_bound({e.proxy, -1}), drains_.lower_bound({e.proxy + 1, -1}));
    if (e.word == "crashed") breaks("proxy " + std::to_string(e.proxy) + " crashed");
}

void Checker::arrived(const Event& e) {
    const auto client = clients_.find(e.id);
    if (client != clients_.end() && ++client->second.attempts > rules_.most_attempts)
        breaks("request " + e.id + " was sent " + std::to_string(client->second.attempts) + " times");
    // Who sent it is known by the event, or else by whom its client had asked.
    const int proxy = e.proxy < 0 && client != clients_.end() ? client->second.proxy : e.proxy;
    const auto drains = drains_.find({proxy, e.member});
    if (drains != drains_.end() && e.since > drains->second + rules_.drain_grace)
        breaks("request " + e.id + " was sent" + of_proxy(proxy) + " to member " + std::to_string(e.member) +
               " " + std::to_string((e.since - drains->second) / 1000) + " ms after its drain was told");
}

void Checker::ran(const Event& e) {
    const bool first = e.what == What::ran;
    first ? ++ran_ : ++repeats_;
    auto& values = values_[e.id];
    // Reads of one request give one value however often they run.
    if (std::find(values.begin(), values.end(), e.value) == values.end()) values.push_back(e.value);
    if (first && !e.key.empty() && ++keys_[e.key] == 2)
        breaks("the write with key " + e.key + " ran twice, the second time as request " + e.id);
    const auto bound = kClasses[e.request_class].bound_us;
    // A bound is counted from the last byte of the send.
    if (bound > 0 && !e.deposed && e.position + bound + rules_.slack < e.until)
        breaks("request " + e.id + " was answered" + of_proxy(e.proxy) + " from data " +
               std::to_string((e.until - e.position) / 1000) + " ms old by member " +
               std::to_string(e.member));
    const auto found = clients_.find(e.id);
    if (found == clients_.end()) return;
    auto& client = found->second;
    if (kClasses[e.request_class].write) client.commit = std::max(client.commit, e.position);
    if (kClasses[e.request_class].session && !e.deposed && e.position < client.required)
        breaks("request " + e.id + " of session " + client.session + " was answered" + of_proxy(e.proxy) +
               " from data " + std::to_string((client.required - e.position) / 1000) +
               " ms older than its last write by member " + std::to_string(e.member));
}

void Checker::answered(const Event& e) {
    if (e.word == "unsent") {
        // It never left its client, or a close crossed it and there was nobody to send it to again: nobody
        // has taken it, unless it had been sent on.
        const auto asked = clients_.find(e.id);
        if (asked == clients_.end()) return;
        asked->second.attempts > 0 ? void(asked->second.dropped = true) : void(--asked->second.asked);
        return;
    }
    auto& client = clients_[e.id];
    const bool lost = e.word == "none";
    if (rules_.late && e.at > client.until + rules_.late && client.until) client.late = true;
    if (lost) return;
    if (++client.answers > std::max(1, client.asked)) breaks("request " + e.id + " was answered twice");
    if (e.word != "served") return;
    const auto made = values_.find(e.id);
    if (made == values_.end() ||
        std::find(made->second.begin(), made->second.end(), e.value) == made->second.end())
        breaks("request " + e.id + " was answered" + of_proxy(e.proxy) +
               " with a value that no member made for it");
    if (!client.session.empty() && kClasses[e.request_class].write) {
        auto& last = sessions_[client.session];
        last = std::max(last, client.commit);
    }
}

// Whether its proxy was killed, stood still or was cut off while the request was out.
bool Checker::away(const Client& client) const {
    const auto found = outages_.find(client.proxy);
    if (found == outages_.end()) return false;
    return std::any_of(found->second.begin(), found->second.end(), [&](const Outage& o) {
        return o.from <= client.until + rules_.late && (o.to == 0 || o.to >= client.first_at);
    });
}

std::uint64_t Checker::excused() const {
    return static_cast<std::uint64_t>(std::count_if(clients_.begin(), clients_.end(), [this](auto& c) {
        return (c.second.answers < c.second.asked || c.second.late) && away(c.second);
    }));
}

std::vector<std::string> Checker::broken() const {
    auto out = broken_;
    std::uint64_t more = untold_;
    const auto add = [&](const std::string& sentence) {
        out.size() < kMostSentences ? out.push_back(sentence) : void(++more);
    };
    for (const auto& [id, client] : clients_) {
        if (away(client)) continue;
        if (client.answers < client.asked)
            add("request " + id + " was never answered" + of_proxy(client.proxy));
        else if (client.dropped)
            add("request " + id + " was taken and its connection closed" + of_proxy(client.proxy));
        else if (client.late)
            add("request " + id + " was answered too late" + of_proxy(client.proxy));
    }
    if (more) out.push_back(std::to_string(more) + " more");
    return out;
}

}  // namespace emulator
