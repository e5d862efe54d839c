#include "discovery/endpoint_list_codec.h"

#include "discovery/endpoint_list_error.h"

namespace sloestack::discovery {
namespace {

using decision::EndpointState;
using nlohmann::json;

// JSON keys of the list ...
constexpr const char* kRevision = "revision";
constexpr const char* kComplete = "complete";
constexpr const char* kEntries = "members";
// ... of an entry ...
constexpr const char* kName = "id";
constexpr const char* kState = "phase";
constexpr const char* kAddress = "host_port";
constexpr const char* kReplicaGroup = "cell";
constexpr const char* kSize = "size";
constexpr const char* kStartedAtMs = "up_since_ms";
constexpr const char* kRole = "role";
constexpr const char* kZone = "locality";
// ... and the values of an entry's "role" and "phase".
constexpr const char* kPrimaryRole = "primary";
struct StateName {
    const char* wire_name;
    EndpointState state;
};
constexpr StateName kStateNames[] = {{"in_service", EndpointState::ready},
                                     {"terminating", EndpointState::draining},
                                     {"terminated", EndpointState::removed}};

constexpr decision::Micros kMicrosPerMs = 1'000;

std::string quoted(const std::string& text) { return "\"" + text + "\""; }

}  // namespace

EndpointEntryDecoder::EndpointEntryDecoder(const json& entry, std::size_t position)
    : entry_(entry), position_(position) {
    if (!entry.is_object()) throw EndpointListError(position, "not a JSON object");
}

template <class T>
T EndpointEntryDecoder::convert(const json& value, const char* field) const {
    try {
        return value.get<T>();
    } catch (const json::exception&) {
        throw EndpointListError(position_, quoted(field) + " is of the wrong type");
    }
}

template <class T>
T EndpointEntryDecoder::required(const char* field) const {
    const auto found = entry_.find(field);
    if (found == entry_.end()) throw EndpointListError(position_, quoted(field) + " is missing");
    return convert<T>(*found, field);
}

template <class T>
T EndpointEntryDecoder::optional(const char* field, T fallback) const {
    const auto found = entry_.find(field);
    return found == entry_.end() ? fallback : convert<T>(*found, field);
}

std::string EndpointEntryDecoder::name() const { return required<std::string>(kName); }

EndpointState EndpointEntryDecoder::state() const {
    const auto wire_name = required<std::string>(kState);
    for (const auto& known : kStateNames)
        if (wire_name == known.wire_name) return known.state;
    throw EndpointListError(position_, std::string(kState) + " " + quoted(wire_name) + " is unknown");
}

std::string EndpointEntryDecoder::address() const { return optional<std::string>(kAddress, ""); }
int EndpointEntryDecoder::replica_group() const { return optional<int>(kReplicaGroup, 0); }
double EndpointEntryDecoder::size() const { return optional<double>(kSize, 1.0); }
decision::Time EndpointEntryDecoder::started_at() const {
    return optional<std::int64_t>(kStartedAtMs, 0) * kMicrosPerMs;
}
bool EndpointEntryDecoder::listed_as_primary() const {
    return optional<std::string>(kRole, "") == kPrimaryRole;
}
std::string EndpointEntryDecoder::zone_name() const { return optional<std::string>(kZone, ""); }

EndpointListDecoder::EndpointListDecoder(const json& list) : list_(list) {
    if (!list.is_object()) throw EndpointListError("discovery list: not a JSON object");
}

const json& EndpointListDecoder::field(const char* name) const {
    const auto found = list_.find(name);
    if (found == list_.end()) throw EndpointListError("discovery list: " + quoted(name) + " is missing");
    return *found;
}

template <class T>
T EndpointListDecoder::required(const char* name) const {
    try {
        return field(name).get<T>();
    } catch (const json::exception&) {
        throw EndpointListError("discovery list: " + quoted(name) + " is of the wrong type");
    }
}

std::int64_t EndpointListDecoder::revision() const { return required<std::int64_t>(kRevision); }
bool EndpointListDecoder::is_complete() const { return required<bool>(kComplete); }
const json& EndpointListDecoder::entries() const { return field(kEntries); }

}  // namespace sloestack::discovery
