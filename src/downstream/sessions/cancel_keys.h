// The keys with which clients cancel a query from another connection (PostgreSQL's CancelRequest). A key is
// sent in the BackendKeyData message of the greeting. Its secret comes from a generator with a seed of its
// own in each process: other clients cannot guess it, and it is not a key of another process by accident.
#pragma once

#include <cstdint>
#include <random>
#include <unordered_map>

namespace sloestack::downstream {

class ClientSession;

struct CancelKey {
    std::uint32_t process = 0;
    std::uint32_t secret = 0;
};

class CancelKeys {
public:
    explicit CancelKeys(std::uint64_t seed) : random_(seed) {}

    // Issues a key for `session`, which must remove it before it is destroyed.
    CancelKey add(ClientSession& session);
    void remove(const CancelKey& key) { sessions_.erase(key.process); }
    // Cancels the query of the session that the key was issued for. Returns false if there is none or the
    // secret is wrong.
    bool cancel(const CancelKey& key) const;

private:
    struct KeyHolder {
        std::uint32_t secret;
        ClientSession* session;
    };
    std::mt19937_64 random_;
    std::uint32_t last_process_ = 0;
    std::unordered_map<std::uint32_t, KeyHolder> sessions_;  // by CancelKey::process
};

}  // namespace sloestack::downstream
