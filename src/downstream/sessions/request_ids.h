// The ids of requests that may be executing, so that no request runs twice. An id stays known for a while
// after its request has ended, because an attempt of it may still be running when its client has left. Does
// no input or output.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "deadlines/clock.h"

namespace sloestack::downstream {

// Hashes a name with 64-bit FNV-1a. Never returns 0.
std::uint64_t hash_name(std::string_view name);

class RequestIds {
public:
    // Longer than the windows in which endpoints drop repeats, and than clients take to send a request again.
    static constexpr Micros kRetentionUs = 10'000'000;
    // Beyond this number, the ids that were retained first are forgotten.
    static constexpr std::size_t kMaxRetained = 16'384;

    // Returns false if a request with this id is open or may still be executing.
    bool open(std::string_view id, Time now);
    // A request with this id may be executing at another process. Does nothing if one is open here.
    void retain_hash(std::uint64_t hash, Time now);
    // Returns the hashes of all known ids.
    std::vector<std::uint64_t> hashes() const;
    // The request has ended, and its id may be used again at once.
    void close(std::string_view id) { entries_.erase(hash_name(id)); }
    // The request has ended, and its id must not be used again for a while.
    void retain(std::string_view id, Time now);
    std::size_t size() const { return entries_.size(); }

private:
    struct Entry {
        bool is_open = false;
        Time retained_until = 0;
    };
    struct Retained {
        std::uint64_t hash;
        Time until;
    };

    void forget_expired(Time now);

    std::unordered_map<std::uint64_t, Entry> entries_;  // by the hash of the id
    std::deque<Retained> retained_;                     // in order of expiry
};

}  // namespace sloestack::downstream
