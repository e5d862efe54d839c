#include "fault_harness/tally.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "emulator/fleet.h"

namespace fault_harness {
namespace {

using emulator::What;

constexpr std::size_t kWindow = 10;     // bins: one second
constexpr double kShareSlack = 0.01;    // of the share before: service within that is full ...
constexpr double kLatencyTimes = 1.25;  // ... where the p99 is at most so many times that before
constexpr std::uint64_t kLeastRequests =
    1000;  // a window of fewer says nothing of one in a hundred: it is longer
constexpr std::size_t kLongestWindow = 100;
constexpr double kChance = 2;  // standard errors of the window's share

}  // namespace

Bin& Bin::operator+=(const Bin& o) {
    requests += o.requests, in_aim += o.in_aim, answers += o.answers, refused += o.refused;
    failed += o.failed, none += o.none, unsent += o.unsent, attempts += o.attempts, turned += o.turned;
    links += o.links, links_refused += o.links_refused, probes += o.probes;
    links_needed += o.links_needed;
    calls += o.calls, calls_failed += o.calls_failed, up += o.up;
    return *this;
}

Tally::Tally(int proxies, Time begins, Micros length, int members, Micros idle)
    : begins_(begins),
      members_(members),
      idle_(idle),
      banks_(static_cast<std::size_t>(proxies)),
      bins_(static_cast<std::size_t>(proxies),
            std::vector<Bin>(static_cast<std::size_t>((length + kBin - 1) / kBin))),
      latencies_(bins_.front().size()) {}

Bin* Tally::bin(int proxy, Time at) {
    if (proxy < 0 || static_cast<std::size_t>(proxy) >= bins_.size() || at < begins_) return nullptr;
    auto& of = bins_[static_cast<std::size_t>(proxy)];
    const auto i = static_cast<std::size_t>((at - begins_) / kBin);
    return i < of.size() ? &of[i] : nullptr;
}

bool Tally::needs_link(const emulator::Event& e) {
    auto& last = banks_[static_cast<std::size_t>(e.proxy)][e.member % emulator::kGeneration / members_];
    return std::exchange(last, e.at) + idle_ < e.at;
}

void Tally::saw(const emulator::Event& e) {
    if (e.what == What::process) {
        const bool up = e.word == "ready" || e.word == "continued";
        const bool down =
            e.word == "killed" || e.word == "ended" || e.word == "crashed" || e.word == "stopped";
        if (e.proxy < 0 || static_cast<std::size_t>(e.proxy) >= bins_.size()) return;
        if (e.word == "started") banks_[static_cast<std::size_t>(e.proxy)].clear();
        if (!(up || down)) return;
        auto& of = bins_[static_cast<std::size_t>(e.proxy)];
        const auto from = static_cast<std::size_t>(std::max<Time>(0, e.at - begins_) / kBin);
        for (std::size_t i = from; i < of.size(); ++i) of[i].up = up;
        if (up && e.at > begins_) last_up_ = e.at;
        return;
    }
    if (e.what == What::busy && e.at >= begins_) busy_.push_back(static_cast<Micros>(e.value));
    auto* b = bin(e.proxy, e.at);
    if (e.what == What::answered && e.last) {
        ++ends_[{e.request_class, e.word}];
        if (auto* first = bin(e.proxy, e.since)) {
            ++first->requests;
            if (e.word == "served") {
                const auto latency = e.at - e.since;
                if (latency <= emulator::kClasses[e.request_class].latency_objective_us) ++first->in_aim;
                latencies_[static_cast<std::size_t>((e.since - begins_) / kBin)].push_back(
                    static_cast<std::int32_t>(latency));
            }
        }
    }
    if (!b) return;
    switch (e.what) {
        case What::answered:
            ++b->answers;
            if (e.word == "refused") ++b->refused;
            if (e.word == "failed") ++b->failed;
            if (e.word == "none") ++b->none;
            if (e.word == "unsent") ++b->unsent;
            return;
        case What::arrived:
            ++b->attempts;
            if (needs_link(e)) ++b->links_needed;
            return;
        case What::turned:
            ++b->turned;
            return;
        case What::linked:
            ++b->links;
            if (!e.word.empty()) ++b->links_refused;
            return;
        case What::probed:
            ++b->probes;
            return;
        case What::called:
            ++b->calls;
            if (e.word != "whole" && e.word != "changes") ++b->calls_failed;
            return;
        default:
            return;
    }
}

std::vector<Bin> Tally::total() const {
    std::vector<Bin> out(bins_.front().size());
    for (const auto& of : bins_)
        for (std::size_t i = 0; i < out.size(); ++i) out[i] += of[i];
    return out;
}

std::vector<Micros> Tally::busy() const {
    auto out = busy_;
    std::sort(out.begin(), out.end());
    return out;
}

Micros Tally::quantile(double share, Micros from, Micros to) const {
    std::vector<std::int32_t> all;
    for (auto i = static_cast<std::size_t>(from / kBin);
         i < std::min(latencies_.size(), static_cast<std::size_t>(to / kBin)); ++i)
        all.insert(all.end(), latencies_[i].begin(), latencies_[i].end());
    if (all.empty()) return 0;
    const auto at = static_cast<std::size_t>(std::ceil(share * static_cast<double>(all.size()))) - 1;
    std::nth_element(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(at), all.end());
    return all[at];
}

Return Tally::back_to_service(Micros steady_from, Micros fault) const {
    Return out;
    const auto all = total();
    const auto first = static_cast<std::size_t>(steady_from / kBin);
    const auto hit = std::min(all.size(), static_cast<std::size_t>(fault / kBin));
    if (hit >= all.size() || hit < first + kWindow) return out;
    out.measured = true;
    Bin before;
    for (auto i = first; i < hit; ++i) before += all[i];
    const auto seconds = static_cast<double>(hit - first) * kBin / 1e6;
    out.share_before =
        before.requests ? static_cast<double>(before.in_aim) / static_cast<double>(before.requests) : 0;
    out.p99_before = quantile(0.99, steady_from, fault);

    // A window of a second, or as long as so many requests take: fewer say nothing of one in a hundred.
    const auto rate = static_cast<double>(before.requests) / static_cast<double>(hit - first);
    const auto wanted =
        rate > 0 ? static_cast<std::size_t>(std::ceil(static_cast<double>(kLeastRequests) / rate)) : 0;
    const auto window = std::clamp(wanted, kWindow, kLongestWindow);
    const auto full = [&](std::size_t from) {
        Bin sum;
        for (auto i = from; i < from + window; ++i) sum += all[i];
        if (sum.requests == 0) return false;
        const auto count = static_cast<double>(sum.requests);
        const auto share = static_cast<double>(sum.in_aim) / count;
        // What chance alone makes of so many requests is no loss of service.
        const auto chance = kChance * std::sqrt(out.share_before * (1 - out.share_before) / count);
        const auto p99 =
            quantile(0.99, static_cast<Micros>(from) * kBin, static_cast<Micros>(from + window) * kBin);
        return share >= out.share_before * (1 - kShareSlack) - chance &&
               static_cast<double>(p99) <= kLatencyTimes * static_cast<double>(out.p99_before);
    };
    // For good: never again out of it for longer than chance had it out of it before the fault.
    std::size_t by_chance = 0, run = 0;
    for (auto i = first; i + window <= hit; ++i) {
        run = full(i) ? 0 : run + 1;
        by_chance = std::max(by_chance, run);
    }
    const auto up_at = last_up_ > begins_ + fault ? last_up_ : begins_ + fault;
    out.last_up = last_up_ > begins_ + fault ? last_up_ : 0;
    std::size_t good_from = hit;
    run = 0;
    for (auto i = hit; i + window <= all.size(); ++i) {
        const bool ok = full(i);
        run = ok ? 0 : run + 1;
        if (!ok) ++out.worst_bins;
        if (run > by_chance) good_from = i + 1;
    }
    if (good_from + window <= all.size())
        out.full_after = std::max<Micros>(0, begins_ + static_cast<Time>(good_from) * kBin - up_at);

    const auto kind = [&](auto count) {
        Return::Kind k;
        k.steady = static_cast<double>(count(before)) / seconds;
        for (auto i = hit; i + kWindow <= all.size(); ++i) {
            Bin sum;
            for (auto j = i; j < i + kWindow; ++j) sum += all[j];
            k.highest = std::max(k.highest, static_cast<double>(count(sum)));
        }
        return k;
    };
    out.attempts = kind([](const Bin& b) { return b.attempts; });
    out.links = kind([](const Bin& b) { return b.links; });
    out.links_needed = kind([](const Bin& b) { return b.links_needed; });
    out.calls = kind([](const Bin& b) { return b.calls; });
    out.probes = kind([](const Bin& b) { return b.probes; });
    Bin after;
    for (auto i = hit; i < all.size(); ++i) after += all[i];
    out.requests = after.requests, out.in_aim = after.in_aim, out.refused = after.refused;
    out.failed = after.failed, out.none = after.none, out.unsent = after.unsent;
    return out;
}

}  // namespace fault_harness
