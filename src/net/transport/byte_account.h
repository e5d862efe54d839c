// Counts the bytes that connections hold for their peers: received and not consumed, written and not taken.
// Each connection has a limit of its own; the account tells when all of them together hold too much.
#pragma once

#include <cstddef>

namespace sloestack::net {

class ByteAccount {
public:
    explicit ByteAccount(std::size_t limit) : limit_(limit) {}
    ByteAccount(const ByteAccount&) = delete;
    ByteAccount& operator=(const ByteAccount&) = delete;

    void add(std::size_t bytes) { total_bytes_ += bytes; }
    void remove(std::size_t bytes) { total_bytes_ -= bytes; }
    void set_limit(std::size_t limit) { limit_ = limit; }
    bool is_exceeded() const { return total_bytes_ > limit_; }
    std::size_t total_bytes() const { return total_bytes_; }

private:
    std::size_t limit_;
    std::size_t total_bytes_ = 0;
};

}  // namespace sloestack::net
