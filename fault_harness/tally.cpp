#include "fault_harness/tally.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "emulator/fleet.h"

namespace fault_harness {
namespace {

using emulator::What;

constexpr std::size_t kMinWindowBins = 10;  // bins: one second
constexpr double kMaxShareLoss =
    0.01;  // full service: the share in time is at least 99 % of the share before the fault ...
constexpr double kMaxLatencyRatio =
    1.25;  // ... and the p99 latency is at most this multiple of the p99 before
constexpr std::uint64_t kMinWindowRequests =
    1000;  // a window with fewer requests cannot show a change of 1 %
constexpr std::size_t kMaxWindowBins = 100;
constexpr double kChanceStdErrors = 2;  // tolerated deviation, in standard errors of the window's share

}  // namespace

Bin& Bin::operator+=(const Bin& o) {
    requests += o.requests, in_objective += o.in_objective, responses += o.responses, rejected += o.rejected;
    failed += o.failed, unanswered += o.unanswered, unsent += o.unsent, attempts += o.attempts,
        rejected_by_endpoint += o.rejected_by_endpoint;
    connections += o.connections, connections_rejected += o.connections_rejected,
        health_checks += o.health_checks;
    connections_needed += o.connections_needed;
    polls += o.polls, polls_failed += o.polls_failed, up += o.up;
    return *this;
}

Tally::Tally(int proxies, Time start_time, Micros length, int group_size, Micros idle_timeout)
    : start_time_(start_time),
      group_size_(group_size),
      idle_timeout_(idle_timeout),
      group_last_sent_(static_cast<std::size_t>(proxies)),
      bins_(static_cast<std::size_t>(proxies),
            std::vector<Bin>(static_cast<std::size_t>((length + kBinUs - 1) / kBinUs))),
      latencies_(bins_.front().size()) {}

Bin* Tally::bin(int proxy, Time at) {
    if (proxy < 0 || static_cast<std::size_t>(proxy) >= bins_.size() || at < start_time_) return nullptr;
    auto& bins = bins_[static_cast<std::size_t>(proxy)];
    const auto i = static_cast<std::size_t>((at - start_time_) / kBinUs);
    return i < bins.size() ? &bins[i] : nullptr;
}

bool Tally::needs_connection(const emulator::Event& e) {
    auto& last =
        group_last_sent_[static_cast<std::size_t>(e.proxy)][e.member % emulator::kGeneration / group_size_];
    return std::exchange(last, e.at) + idle_timeout_ < e.at;
}

void Tally::add(const emulator::Event& e) {
    if (e.what == What::process) {
        const bool up = e.word == "ready" || e.word == "continued";
        const bool down =
            e.word == "killed" || e.word == "ended" || e.word == "crashed" || e.word == "stopped";
        if (e.proxy < 0 || static_cast<std::size_t>(e.proxy) >= bins_.size()) return;
        if (e.word == "started") group_last_sent_[static_cast<std::size_t>(e.proxy)].clear();
        if (!(up || down)) return;
        auto& bins = bins_[static_cast<std::size_t>(e.proxy)];
        const auto from = static_cast<std::size_t>(std::max<Time>(0, e.at - start_time_) / kBinUs);
        for (std::size_t i = from; i < bins.size(); ++i) bins[i].up = up;
        if (up && e.at > start_time_) last_up_ = e.at;
        return;
    }
    if (e.what == What::busy && e.at >= start_time_) timer_delays_.push_back(static_cast<Micros>(e.value));
    auto* b = bin(e.proxy, e.at);
    if (e.what == What::answered && e.last) {
        ++outcomes_[{e.request_class, e.word}];
        if (auto* first = bin(e.proxy, e.since)) {
            ++first->requests;
            if (e.word == "served") {
                const auto latency = e.at - e.since;
                if (latency <= emulator::kClasses[e.request_class].latency_objective_us)
                    ++first->in_objective;
                latencies_[static_cast<std::size_t>((e.since - start_time_) / kBinUs)].push_back(
                    static_cast<std::int32_t>(latency));
            }
        }
    }
    if (!b) return;
    switch (e.what) {
        case What::answered:
            ++b->responses;
            if (e.word == "refused") ++b->rejected;
            if (e.word == "failed") ++b->failed;
            if (e.word == "none") ++b->unanswered;
            if (e.word == "unsent") ++b->unsent;
            return;
        case What::arrived:
            ++b->attempts;
            if (needs_connection(e)) ++b->connections_needed;
            return;
        case What::turned:
            ++b->rejected_by_endpoint;
            return;
        case What::linked:
            ++b->connections;
            if (!e.word.empty()) ++b->connections_rejected;
            return;
        case What::probed:
            ++b->health_checks;
            return;
        case What::called:
            ++b->polls;
            if (e.word != "whole" && e.word != "changes") ++b->polls_failed;
            return;
        default:
            return;
    }
}

std::vector<Bin> Tally::total() const {
    std::vector<Bin> out(bins_.front().size());
    for (const auto& bins : bins_)
        for (std::size_t i = 0; i < out.size(); ++i) out[i] += bins[i];
    return out;
}

std::vector<Micros> Tally::timer_delays() const {
    auto out = timer_delays_;
    std::sort(out.begin(), out.end());
    return out;
}

Micros Tally::quantile(double share, Micros from, Micros to) const {
    std::vector<std::int32_t> all;
    for (auto i = static_cast<std::size_t>(from / kBinUs);
         i < std::min(latencies_.size(), static_cast<std::size_t>(to / kBinUs)); ++i)
        all.insert(all.end(), latencies_[i].begin(), latencies_[i].end());
    if (all.empty()) return 0;
    const auto at = static_cast<std::size_t>(std::ceil(share * static_cast<double>(all.size()))) - 1;
    std::nth_element(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(at), all.end());
    return all[at];
}

Recovery Tally::recovery(Micros steady_from, Micros fault) const {
    Recovery out;
    const auto all = total();
    const auto first = static_cast<std::size_t>(steady_from / kBinUs);
    const auto fault_bin = std::min(all.size(), static_cast<std::size_t>(fault / kBinUs));
    if (fault_bin >= all.size() || fault_bin < first + kMinWindowBins) return out;
    out.measured = true;
    Bin before;
    for (auto i = first; i < fault_bin; ++i) before += all[i];
    const auto seconds = static_cast<double>(fault_bin - first) * kBinUs / 1e6;
    out.share_before =
        before.requests ? static_cast<double>(before.in_objective) / static_cast<double>(before.requests) : 0;
    out.p99_before = quantile(0.99, steady_from, fault);

    // A window of one second, or longer if kMinWindowRequests requests take longer.
    const auto requests_per_bin =
        static_cast<double>(before.requests) / static_cast<double>(fault_bin - first);
    const auto wanted =
        requests_per_bin > 0
            ? static_cast<std::size_t>(std::ceil(static_cast<double>(kMinWindowRequests) / requests_per_bin))
            : 0;
    const auto window = std::clamp(wanted, kMinWindowBins, kMaxWindowBins);
    const auto is_full = [&](std::size_t from) {
        Bin sum;
        for (auto i = from; i < from + window; ++i) sum += all[i];
        if (sum.requests == 0) return false;
        const auto count = static_cast<double>(sum.requests);
        const auto share = static_cast<double>(sum.in_objective) / count;
        // A deviation that chance explains for this number of requests is not a loss of service.
        const auto chance = kChanceStdErrors * std::sqrt(out.share_before * (1 - out.share_before) / count);
        const auto p99 =
            quantile(0.99, static_cast<Micros>(from) * kBinUs, static_cast<Micros>(from + window) * kBinUs);
        return share >= out.share_before * (1 - kMaxShareLoss) - chance &&
               static_cast<double>(p99) <= kMaxLatencyRatio * static_cast<double>(out.p99_before);
    };
    // Service is full again when it is not lost any more for longer than chance alone lost it before the
    // fault.
    std::size_t max_run_before = 0, degraded_run = 0;
    for (auto i = first; i + window <= fault_bin; ++i) {
        degraded_run = is_full(i) ? 0 : degraded_run + 1;
        max_run_before = std::max(max_run_before, degraded_run);
    }
    const auto up_at = last_up_ > start_time_ + fault ? last_up_ : start_time_ + fault;
    out.last_up = last_up_ > start_time_ + fault ? last_up_ : 0;
    std::size_t full_from = fault_bin;
    degraded_run = 0;
    for (auto i = fault_bin; i + window <= all.size(); ++i) {
        const bool ok = is_full(i);
        degraded_run = ok ? 0 : degraded_run + 1;
        if (!ok) ++out.degraded_bins;
        if (degraded_run > max_run_before) full_from = i + 1;
    }
    if (full_from + window <= all.size())
        out.full_after = std::max<Micros>(0, start_time_ + static_cast<Time>(full_from) * kBinUs - up_at);

    const auto rate_of = [&](auto count) {
        Recovery::Rate result;
        result.steady = static_cast<double>(count(before)) / seconds;
        for (auto i = fault_bin; i + kMinWindowBins <= all.size(); ++i) {
            Bin sum;
            for (auto j = i; j < i + kMinWindowBins; ++j) sum += all[j];
            result.highest = std::max(result.highest, static_cast<double>(count(sum)));
        }
        return result;
    };
    out.attempts = rate_of([](const Bin& b) { return b.attempts; });
    out.connections = rate_of([](const Bin& b) { return b.connections; });
    out.connections_needed = rate_of([](const Bin& b) { return b.connections_needed; });
    out.polls = rate_of([](const Bin& b) { return b.polls; });
    out.health_checks = rate_of([](const Bin& b) { return b.health_checks; });
    Bin after;
    for (auto i = fault_bin; i < all.size(); ++i) after += all[i];
    out.requests = after.requests, out.in_objective = after.in_objective, out.rejected = after.rejected;
    out.failed = after.failed, out.unanswered = after.unanswered, out.unsent = after.unsent;
    return out;
}

}  // namespace fault_harness
