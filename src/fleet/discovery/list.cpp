#include "discovery/list.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace sloestack::discovery {
namespace {

using decision::EndpointId;
using decision::EndpointState;

EndpointId first_choice(const std::string& name) {
    // Names end in eight hexadecimal digits where they are made by machine.
    if (name.size() >= 8) {
        const auto tail = name.substr(name.size() - 8);
        if (tail.find_first_not_of("0123456789abcdef") == std::string::npos)
            return static_cast<EndpointId>(std::stoul(tail, nullptr, 16));
    }
    std::uint32_t hash = 2166136261u;  // FNV-1a
    for (const unsigned char c : name) hash = (hash ^ c) * 16777619u;
    return hash;
}

EndpointState state_of(const std::string& phase) {
    if (phase == "in_service") return EndpointState::ready;
    if (phase == "terminating") return EndpointState::draining;
    if (phase == "terminated") return EndpointState::removed;
    throw std::runtime_error("unknown phase " + phase);
}

}  // namespace

EndpointId Numbers::of(const std::string& name) {
    if (const auto known = by_name_.find(name); known != by_name_.end()) {
        if (const auto at = std::exchange(known->second.gone_at, 0)) gone_.erase(at);
        return known->second.number;
    }
    auto number = first_choice(name);
    while (!by_number_.emplace(number, name).second) ++number;
    by_name_[name] = {number};
    return number;
}

void Numbers::gone(const std::string& name) {
    const auto known = by_name_.find(name);
    if (known == by_name_.end() || known->second.gone_at) return;
    known->second.gone_at = ++went_;
    gone_.emplace(went_, name);
    if (gone_.size() <= kMostGone) return;
    const auto oldest = by_name_.find(gone_.begin()->second);
    by_number_.erase(oldest->second.number);
    by_name_.erase(oldest);
    gone_.erase(gone_.begin());
}

traffic::ListedEndpoint Reader::entry(const nlohmann::json& json) {
    traffic::ListedEndpoint out;
    out.name = json.at("id").get<std::string>();
    out.endpoint.endpoint = numbers_.of(out.name);
    out.endpoint.state = state_of(json.at("phase").get<std::string>());
    out.address = json.value("host_port", "");
    out.endpoint.replica_group = json.value("cell", 0);
    out.endpoint.size = json.value("size", 1.0);
    out.endpoint.started_at = json.value("up_since_ms", std::int64_t{0}) * 1000;
    out.endpoint.listed_primary = json.value("role", "") == "primary";
    const auto zone = std::find(zones_.begin(), zones_.end(), json.value("locality", ""));
    out.endpoint.zone = zone == zones_.end() ? -1 : static_cast<int>(zone - zones_.begin());
    return out;
}

void Reader::keep_numbers(const nlohmann::json& members, bool complete) {
    std::set<std::string> named;
    for (const auto& member : members) {
        const auto& name = member.at("id").get_ref<const std::string&>();
        if (state_of(member.at("phase").get<std::string>()) != EndpointState::removed)
            named.insert(name);
        else
            listed_.erase(name), numbers_.gone(name);
    }
    if (complete)
        for (const auto& name : listed_)
            if (!named.count(name)) numbers_.gone(name);
    if (complete) listed_.clear();
    listed_.merge(named);
}

void Reader::keep_drains(List& list) {
    const bool older = list.complete && list.revision < older_than_;
    if (list.complete && !older) draining_.clear();
    for (auto& e : list.members) {
        const auto known = draining_.find(e.name);
        if (older && known != draining_.end() && known->second == e.endpoint.started_at)
            e.endpoint.state = EndpointState::draining;
        if (e.endpoint.state == EndpointState::draining)
            draining_[e.name] = e.endpoint.started_at;
        else
            draining_.erase(e.name);
    }
    newest_ = list.revision;
    if (list.revision >= older_than_) older_than_ = -1;
}

List Reader::read(const nlohmann::json& json, std::optional<std::int64_t> held) {
    try {
        List out;
        out.revision = json.at("revision").get<std::int64_t>();
        if (held && out.revision < *held)
            throw std::runtime_error("a list of revision " + std::to_string(out.revision) + ", older than " +
                                     std::to_string(*held));
        out.complete = json.at("complete").get<bool>();
        for (const auto& member : json.at("members")) out.members.push_back(entry(member));
        // Discovery that has lost what it knew would take the whole fleet out of service.
        if (out.complete && out.members.empty() && !listed_.empty())
            throw std::runtime_error("a whole list without a member");
        keep_numbers(json.at("members"), out.complete);
        keep_drains(out);
        return out;
    } catch (const nlohmann::json::exception& error) {
        throw std::runtime_error(error.what());
    }
}

List Reader::read(const std::string& text, std::optional<std::int64_t> held) {
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (json.is_discarded()) throw std::runtime_error("the list is not JSON");
    return read(json, held);
}

}  // namespace sloestack::discovery
