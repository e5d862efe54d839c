// Counts the bytes that connections hold for their peers: received and not consumed, written and not taken.
// Each connection has a bound of its own; the account tells when all of them together hold too much.
#pragma once

#include <algorithm>
#include <cstddef>
#include <list>
#include <memory>

namespace sloestack::net {

class ByteAccount {
public:
    explicit ByteAccount(std::size_t most) : most_(most) {}
    ByteAccount(const ByteAccount&) = delete;
    ByteAccount& operator=(const ByteAccount&) = delete;

    void add(std::size_t bytes) { held_ += bytes; }
    void remove(std::size_t bytes) { held_ -= bytes; }
    void allow(std::size_t most) { most_ = most; }
    bool over() const { return held_ > most_; }
    std::size_t held() const { return held_; }

private:
    std::size_t most_, held_ = 0;
};

// One total for what is too large to be held without asking. Who asks while there is no room waits in order
// of coming; one alone always gets what it asks for.
class Room {
public:
    explicit Room(std::size_t most) : most_(most), taken_(std::make_shared<std::size_t>(0)) {}
    Room(const Room&) = delete;
    Room& operator=(const Room&) = delete;

    void allow(std::size_t most) { most_ = most; }
    std::size_t taken() const { return *taken_; }
    // What goes with the returned object; nothing where whoever asks must ask again later.
    std::shared_ptr<void> take(std::size_t bytes, const void* who) {
        const bool waits = std::find(waiting_.begin(), waiting_.end(), who) != waiting_.end();
        if (!waits) waiting_.push_back(who);
        if (waiting_.front() != who || (*taken_ > 0 && *taken_ + bytes > most_)) return nullptr;
        waiting_.pop_front();
        *taken_ += bytes;
        // Not null: whoever holds it asks it whether there was room.
        return {taken_.get(), [taken = taken_, bytes](void*) { *taken -= bytes; }};
    }
    void leave(const void* who) { waiting_.remove(who); }

private:
    std::size_t most_;
    std::shared_ptr<std::size_t> taken_;  // outlives what was taken of it
    std::list<const void*> waiting_;
};

}  // namespace sloestack::net
