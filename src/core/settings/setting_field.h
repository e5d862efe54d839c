// Building blocks of the tables that map settings to typed fields.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <type_traits>
#include <vector>

#include "settings/setting_reader.h"

namespace sloestack::settings {

// A word that a setting may hold and the value it stands for.
template <class Value>
struct Word {
    const char* name;
    Value meaning;
};

// Looks up the text `value` in the table `words` and returns the meaning of the word. Throws SettingError if
// the table has no such word.
template <class Value, std::size_t kCount>
Value read_word(const std::string& key, const std::string& value, const Word<Value> (&words)[kCount]) {
    for (const auto& word : words)
        if (value == word.name) return word.meaning;
    throw SettingError(key, "unknown value " + value);
}

enum class Presence { required, optional };

// One row of a table: a key and the function that stores its value in the struct. `store` throws SettingError
// if the value is absent or cannot be read.
template <class Struct>
struct Field {
    const char* key;
    Presence presence;
    void (*store)(const SettingReader& reader, const std::string& key, Struct& out);
};

inline void read_value(const SettingReader& reader, const std::string& key, bool& out) {
    out = reader.flag(key);
}
inline void read_value(const SettingReader& reader, const std::string& key, int& out) {
    out = static_cast<int>(reader.number(key));
}
inline void read_value(const SettingReader& reader, const std::string& key, std::int64_t& out) {
    out = static_cast<std::int64_t>(reader.number(key));
}
inline void read_value(const SettingReader& reader, const std::string& key, double& out) {
    out = reader.number(key);
}
inline void read_value(const SettingReader& reader, const std::string& key, std::vector<std::string>& out) {
    out = reader.list(key);
}

// Stores a value of the data member's type.
template <auto kMember, class Struct>
void store(const SettingReader& reader, const std::string& key, Struct& out) {
    read_value(reader, key, out.*kMember);
}

// Stores the value that a word stands for.
template <auto kMember, const auto& kWords, class Struct>
void store_word(const SettingReader& reader, const std::string& key, Struct& out) {
    out.*kMember = read_word(key, reader.text(key), kWords);
}

// Reads the table's fields in order; each key is prefixed with `prefix`.
// An optional field that is absent keeps its default. Throws SettingError
// for the first field that is required and absent, or that cannot be read.
template <class Struct, std::size_t kCount>
void read_fields(const SettingReader& reader, const std::string& prefix, const Field<Struct> (&table)[kCount],
                 Struct& out) {
    for (const auto& field : table) {
        const std::string key = prefix + field.key;
        if (field.presence == Presence::required || reader.find(key)) field.store(reader, key, out);
    }
}

}  // namespace sloestack::settings
