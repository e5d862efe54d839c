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
constexpr const char* kSessionWriteStatus = "session_writes";
constexpr const char* kSessionWriteStatusRequest = "session_writes?";
constexpr const char* kSessionWrite = "wrote";
constexpr const char* kCancelRequest = "cancel";
constexpr const char* kProcessKey = "process";
constexpr const char* kSecretKey = "secret";
constexpr const char* kKnowsSessionMessagesKey = "sessions";
constexpr const char* kRequestIdReport = "requests";
constexpr const char* kKnowsRequestIdsKey = "requests";
constexpr const char* kIdsKey = "ids";
constexpr const char* kOlderKey = "older";
constexpr const char* kCompleteKey = "complete";
constexpr const char* kReplicaGroupKey = "cell";
constexpr const char* kSessionKey = "session";
constexpr const char* kPositionKey = "position";

struct ToJson {
    json operator()(const HandshakeRequest& request) const {
        json out = {{kTypeKey, kHandshakeRequest}};
        if (request.knows_session_messages) out[kKnowsSessionMessagesKey] = true;
        if (request.is_older) out[kOlderKey] = true;
        if (request.knows_request_ids) out[kKnowsRequestIdsKey] = true;
        return out;
    }
    json operator()(const HandshakeComplete&) const { return {{kTypeKey, kHandshakeComplete}}; }
    json operator()(const ExclusionUpdate& update) const {
        return {{kTypeKey, update.excluded ? kExclude : kInclude},
                {kEndpointKey, update.endpoint},
                {kSequenceKey, update.sequence}};
    }
    json operator()(const Acknowledgement& acknowledgement) const {
        return {{kTypeKey, kAcknowledgement}, {kSequenceKey, acknowledgement.sequence}};
    }
    json operator()(const SessionWriteStatus& status) const {
        return {{kTypeKey, kSessionWriteStatus}, {kCompleteKey, status.is_complete}};
    }
    json operator()(const SessionWriteStatusRequest&) const {
        return {{kTypeKey, kSessionWriteStatusRequest}};
    }
    json operator()(const decision::SessionWrite& write) const {
        return {{kTypeKey, kSessionWrite},
                {kReplicaGroupKey, write.replica_group},
                {kSessionKey, write.session},
                {kPositionKey, write.position}};
    }
    json operator()(const CancelRequest& request) const {
        return {{kTypeKey, kCancelRequest}, {kProcessKey, request.process}, {kSecretKey, request.secret}};
    }
    json operator()(const RequestIdReport& report) const {
        return {{kTypeKey, kRequestIdReport}, {kIdsKey, report.hashes}};
    }
};

std::optional<std::string> text_at(const json& object, const char* key) {
    const auto found = object.find(key);
    if (found == object.end() || !found->is_string()) return std::nullopt;
    return found->get<std::string>();
}

std::optional<bool> flag_at(const json& object, const char* key) {
    const auto found = object.find(key);
    if (found == object.end() || !found->is_boolean()) return std::nullopt;
    return found->get<bool>();
}

template <class Integer>
std::optional<Integer> integer_at(const json& object, const char* key) {
    const auto found = object.find(key);
    if (found == object.end() || !found->is_number_integer()) return std::nullopt;
    return found->get<Integer>();
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

std::optional<Message> decode_session_write_status(const json& object) {
    const auto is_complete = flag_at(object, kCompleteKey);
    if (!is_complete) return std::nullopt;
    return SessionWriteStatus{*is_complete};
}

std::optional<Message> decode_session_write(const json& object) {
    const auto replica_group = integer_at<int>(object, kReplicaGroupKey);
    const auto session = integer_at<decision::SessionId>(object, kSessionKey);
    const auto position = integer_at<decision::Time>(object, kPositionKey);
    if (!replica_group || !session || !position) return std::nullopt;
    return decision::SessionWrite{*replica_group, *session, *position};
}

std::optional<Message> decode_cancel_request(const json& object) {
    const auto process = integer_at<std::uint32_t>(object, kProcessKey);
    const auto secret = integer_at<std::uint32_t>(object, kSecretKey);
    if (!process || !secret) return std::nullopt;
    return CancelRequest{*process, *secret};
}

std::optional<Message> decode_request_id_report(const json& object) {
    const auto ids = object.find(kIdsKey);
    if (ids == object.end() || !ids->is_array()) return std::nullopt;
    RequestIdReport report;
    for (const auto& id : *ids) {
        if (!id.is_number_unsigned()) return std::nullopt;
        report.hashes.push_back(id.get<std::uint64_t>());
    }
    return report;
}

}  // namespace

std::string encode(const Message& message) { return std::visit(ToJson{}, message).dump() + "\n"; }

std::optional<Message> decode(std::string_view line) {
    const auto object = json::parse(line, nullptr, false);
    if (!object.is_object()) return std::nullopt;
    const auto type = text_at(object, kTypeKey);
    if (!type) return std::nullopt;
    if (*type == kHandshakeRequest)
        return HandshakeRequest{flag_at(object, kKnowsSessionMessagesKey).value_or(false),
                                flag_at(object, kOlderKey).value_or(false),
                                flag_at(object, kKnowsRequestIdsKey).value_or(false)};
    if (*type == kHandshakeComplete) return HandshakeComplete{};
    if (*type == kExclude) return decode_exclusion_update(object, true);
    if (*type == kInclude) return decode_exclusion_update(object, false);
    if (*type == kAcknowledgement) return decode_acknowledgement(object);
    if (*type == kSessionWriteStatus) return decode_session_write_status(object);
    if (*type == kSessionWriteStatusRequest) return SessionWriteStatusRequest{};
    if (*type == kSessionWrite) return decode_session_write(object);
    if (*type == kCancelRequest) return decode_cancel_request(object);
    if (*type == kRequestIdReport) return decode_request_id_report(object);
    return std::nullopt;
}

}  // namespace sloestack::hot_restart
