// The JSON of discovery's endpoint lists: the one place that knows its field names. Each field is read when
// it is asked for; what cannot be read throws EndpointListError with the entry and the field.
#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "sloestack/router.h"

namespace sloestack::discovery {

// One entry of a list. Refers to the JSON, which outlives it.
class EndpointEntryDecoder {
public:
    // `position` is the entry's in the list, from 0.
    EndpointEntryDecoder(const nlohmann::json& entry, std::size_t position);

    std::string name() const;
    decision::EndpointState state() const;
    // The optional fields and what they are where they are missing:
    std::string address() const;        // "10.1.0.18:5433"; empty
    int replica_group() const;          // 0
    double size() const;                // 1
    decision::Time started_at() const;  // us; 0
    bool listed_as_primary() const;     // false
    std::string zone_name() const;      // empty

private:
    template <class T>
    T required(const char* field) const;
    template <class T>
    T optional(const char* field, T fallback) const;
    template <class T>
    T convert(const nlohmann::json& value, const char* field) const;

    const nlohmann::json& entry_;
    std::size_t position_;
};

// A whole list. Refers to the JSON, which outlives it.
class EndpointListDecoder {
public:
    explicit EndpointListDecoder(const nlohmann::json& list);

    std::int64_t revision() const;
    // Whether the list names all endpoints; otherwise only those that have changed.
    bool is_complete() const;
    // The entries, to be decoded one by one.
    const nlohmann::json& entries() const;

private:
    const nlohmann::json& field(const char* name) const;
    template <class T>
    T required(const char* name) const;

    const nlohmann::json& list_;
};

}  // namespace sloestack::discovery
