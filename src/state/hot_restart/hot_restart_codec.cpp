#include "hot_restart/hot_restart_codec.h"

#include <nlohmann/json.hpp>

namespace sloestack::hot_restart {
namespace {

using nlohmann::json;

// JSON keys and message types.
constexpr const char* kTypeKey = "do";
constexpr const char* kEndpointKey = "member";
constexpr const char* kSequenceKey = "number";
constexpr const char* kHandshakeRequest = "hello";
constexpr const char* kHandshakeComplete = "welcome";
constexpr const char* kExclude = "exclude";
constexpr const char* kInclude = "include";
constexpr const char* kAcknowledgement = "held";

struct ToJson {
    json operator()(const HandshakeRequest&) const { return {{kTypeKey, kHandshakeRequest}}; }
    json operator()(const HandshakeComplete&) const { return {{kTypeKey, kHandshakeComplete}}; }
    json operator()(const ExclusionUpdate& update) const {
        return {{kTypeKey, update.excluded ? kExclude : kInclude},
                {kEndpointKey, update.endpoint},
                {kSequenceKey, update.sequence}};
    }
    json operator()(const Acknowledgement& acknowledgement) const {
        return {{kTypeKey, kAcknowledgement}, {kSequenceKey, acknowledgement.sequence}};
    }
};

std::optional<std::string> text_at(const json& object, const char* key) {
    const auto found = object.find(key);
    if (found == object.end() || !found->is_string()) return std::nullopt;
    return found->get<std::string>();
}

std::optional<std::uint64_t> sequence_of(const json& object) {
    const auto found = object.find(kSequenceKey);
    if (found == object.end() || !found->is_number_unsigned()) return std::nullopt;
    return found->get<std::uint64_t>();
}

std::optional<Message> decode_exclusion_update(const json& object, bool excluded) {
    const auto endpoint = text_at(object, kEndpointKey);
    const auto sequence = sequence_of(object);
    if (!endpoint || !sequence) return std::nullopt;
    return ExclusionUpdate{excluded, *endpoint, *sequence};
}

std::optional<Message> decode_acknowledgement(const json& object) {
    const auto sequence = sequence_of(object);
    if (!sequence) return std::nullopt;
    return Acknowledgement{*sequence};
}

}  // namespace

std::string encode(const Message& message) { return std::visit(ToJson{}, message).dump() + "\n"; }

std::optional<Message> decode(std::string_view line) {
    const auto object = json::parse(line, nullptr, false);
    if (!object.is_object()) return std::nullopt;
    const auto type = text_at(object, kTypeKey);
    if (!type) return std::nullopt;
    if (*type == kHandshakeRequest) return HandshakeRequest{};
    if (*type == kHandshakeComplete) return HandshakeComplete{};
    if (*type == kExclude) return decode_exclusion_update(object, true);
    if (*type == kInclude) return decode_exclusion_update(object, false);
    if (*type == kAcknowledgement) return decode_acknowledgement(object);
    return std::nullopt;
}

}  // namespace sloestack::hot_restart
