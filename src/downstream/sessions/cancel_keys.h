// The keys by which a client cancels its query from another connection (PostgreSQL's CancelRequest). A key is
// sent with the greeting; its secret is drawn from the process's seed, so that other clients cannot guess it.
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
    // The session that holds the key; null where none does or the secret is wrong.
    ClientSession* find(const CancelKey& key) const;

private:
    struct KeyHolder {
        std::uint32_t secret;
        ClientSession* session;
    };
    std::mt19937_64 random_;
    std::uint32_t last_process_ = 0;
    std::unordered_map<std::uint32_t, KeyHolder> sessions_;  // by the key's process number
};

}  // namespace sloestack::downstream
