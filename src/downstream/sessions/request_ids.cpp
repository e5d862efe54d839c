#include "sessions/request_ids.h"

namespace sloestack::downstream {

std::uint64_t hash_name(std::string_view name) {
    constexpr std::uint64_t kOffsetBasis = 14695981039346656037u;
    constexpr std::uint64_t kPrime = 1099511628211u;
    std::uint64_t hash = kOffsetBasis;
    for (const unsigned char byte : name) hash = (hash ^ byte) * kPrime;
    return hash ? hash : 1;
}

bool RequestIds::open(std::string_view id, Time now) {
    forget_expired(now);
    return entries_.try_emplace(hash_name(id), Entry{true, 0}).second;
}

std::vector<std::uint64_t> RequestIds::hashes() const {
    std::vector<std::uint64_t> out;
    out.reserve(entries_.size());
    for (const auto& [hash, entry] : entries_) out.push_back(hash);
    return out;
}

void RequestIds::retain(std::string_view id, Time now) {
    entries_.erase(hash_name(id));
    retain_hash(hash_name(id), now);
}

void RequestIds::retain_hash(std::uint64_t hash, Time now) {
    forget_expired(now);
    const Time until = now + kRetentionUs;
    auto& entry = entries_[hash];
    if (entry.is_open) return;
    entry.retained_until = until;
    retained_.push_back({hash, until});
}

void RequestIds::forget_expired(Time now) {
    while (!retained_.empty() && (retained_.front().until <= now || retained_.size() > kMaxRetained)) {
        const auto [hash, until] = retained_.front();
        retained_.pop_front();
        const auto found = entries_.find(hash);
        // The id may have been opened or retained again since.
        if (found != entries_.end() && !found->second.is_open && found->second.retained_until == until)
            entries_.erase(found);
    }
}

}  // namespace sloestack::downstream
