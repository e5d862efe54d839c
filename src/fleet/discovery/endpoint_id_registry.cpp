#include "discovery/endpoint_id_registry.h"

#include <utility>

namespace sloestack::discovery {
namespace {

using decision::EndpointId;

constexpr std::size_t kSuffixDigits = 8;
constexpr int kHexadecimal = 16;
constexpr std::uint32_t kFnv1aOffset = 2166136261u;
constexpr std::uint32_t kFnv1aPrime = 16777619u;

EndpointId fnv1a(const std::string& text) {
    std::uint32_t hash = kFnv1aOffset;
    for (const unsigned char byte : text) hash = (hash ^ byte) * kFnv1aPrime;
    return hash;
}

// Returns the id that the name gets unless another name has it. Generated names end in eight hexadecimal
// digits; these become the id, which makes it easy to recognise in logs. Other names are hashed.
EndpointId preferred_id(const std::string& name) {
    if (name.size() < kSuffixDigits) return fnv1a(name);
    const auto suffix = name.substr(name.size() - kSuffixDigits);
    if (suffix.find_first_not_of("0123456789abcdef") != std::string::npos) return fnv1a(name);
    return static_cast<EndpointId>(std::stoul(suffix, nullptr, kHexadecimal));
}

}  // namespace

EndpointId EndpointIdRegistry::id_of(const std::string& name) {
    if (const auto known = by_name_.find(name); known != by_name_.end()) {
        const auto removal = std::exchange(known->second.removal_sequence, 0);
        if (removal != 0) removed_.erase(removal);
        return known->second.id;
    }
    auto id = preferred_id(name);
    while (!by_id_.emplace(id, name).second) ++id;
    by_name_[name] = {id};
    return id;
}

void EndpointIdRegistry::on_removed(const std::string& name) {
    const auto known = by_name_.find(name);
    if (known == by_name_.end() || known->second.removal_sequence != 0) return;
    known->second.removal_sequence = ++last_removal_sequence_;
    removed_.emplace(last_removal_sequence_, name);
    if (removed_.size() <= kMaxRetainedNames) return;
    const auto oldest = by_name_.find(removed_.begin()->second);
    by_id_.erase(oldest->second.id);
    by_name_.erase(oldest);
    removed_.erase(removed_.begin());
}

}  // namespace sloestack::discovery
