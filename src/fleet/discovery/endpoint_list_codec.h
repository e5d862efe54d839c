// Decodes the JSON of discovery's endpoint lists. No other file knows its field names. Each accessor reads
// its field and throws EndpointListError, which names the entry and the field, if the field cannot be read.
#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "sloestack/router.h"

namespace sloestack::discovery {

// Decodes one entry of a list. Holds a reference to the JSON, which must outlive the decoder.
class EndpointEntryDecoder {
public:
    // `position` is the entry's index in the list, from 0.
    EndpointEntryDecoder(const nlohmann::json& entry, std::size_t position);

    std::string name() const;
    decision::EndpointState state() const;
    // Optional fields, with the value that is returned if the field is missing:
    std::string address() const;        // for example "10.1.0.18:5433"; missing: empty
    int replica_group() const;          // missing: 0
    double size() const;                // relative to other endpoints; missing: 1
    decision::Time started_at() const;  // in microseconds; missing: 0
    bool listed_as_primary() const;     // missing: false
    std::string zone_name() const;      // missing: empty

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

// Decodes a list. Holds a reference to the JSON, which must outlive the decoder.
class EndpointListDecoder {
public:
    explicit EndpointListDecoder(const nlohmann::json& list);

    std::int64_t revision() const;
    // Returns whether the list names all endpoints, rather than only those that have changed.
    bool is_complete() const;
    // Returns the entries, each to be decoded by an EndpointEntryDecoder.
    const nlohmann::json& entries() const;

private:
    const nlohmann::json& field(const char* name) const;
    template <class T>
    T required(const char* name) const;

    const nlohmann::json& list_;
};

}  // namespace sloestack::discovery
