// What the dialects share: two directions with their bytes that are not whole yet, the digest of the answer
// that is coming, the requests without their answers, and how a direction is cut.
#pragma once

#include <xxhash.h>

#include <deque>
#include <memory>
#include <string>
#include <utility>

#include "conversation/conversation.h"

namespace sloestack::conversation {

class Reading : public Dialect {
public:
    Reading(ConnectionId connection, Memory& memory, Listener& to)
        : connection_(connection), memory_(memory), to_(to), hash_(XXH3_createState()) {
        XXH3_128bits_reset(hash_.get());
    }
    ~Reading() override {
        release(client_);
        release(server_);
    }
    void read(Side from, std::string_view bytes, Time at) override;
    bool greeted() const override { return greeted_; }
    std::size_t unanswered() const override { return open_.size(); }
    void lost(Side from, Time, const std::string& why) override {
        const auto part = unfinished(from);
        cut(from, part.empty() ? why : part + ": " + why);
    }
    void over(Time at) override;

protected:
    struct Half {
        std::string rest;          // the beginning of a message that is not whole yet
        std::uint64_t offset = 0;  // of the next message
        std::size_t passing =
            0;  // bytes still to come of a message too large to be gathered: hashed, not held
        bool cut = false;
    };
    // Of the answer that is coming, or has come.
    struct Said {
        Kind kind = Kind::none;
        std::string code;
        std::optional<Micros> advice;
    };

    // Takes one message off the front and says how many bytes it took; 0 where it is not whole, or where it
    // has set `passing`. Throws an exception of std::runtime_error where it is none.
    virtual std::size_t one(Side from, std::string_view bytes, Time at) = 0;
    virtual void read_up(Side) {}  // what was whole has been read; its bytes go
    virtual void dropped(Side) {}  // nothing more of that direction is read
    // Where in a message a direction stands, as a phrase; empty where it stands between two.
    virtual std::string unfinished(Side side) const = 0;

    Half& half(Side side) { return side == Side::client ? client_ : server_; }
    // Keeps the beginning of a message; false where more may not be held.
    bool gather(Half& half, std::string_view bytes) {
        if (memory_.held + bytes.size() > memory_.most) return false;
        half.rest.append(bytes);
        memory_.held += bytes.size();
        return true;
    }
    void drop(Half& half, std::size_t bytes) {
        half.rest.erase(0, bytes);
        memory_.held -= bytes;
    }
    void release(Half& half) { drop(half, half.rest.size()); }
    void cut(Side side, const std::string& why) {
        auto& of = half(side);
        if (of.cut) return;
        of.cut = true;
        of.passing = 0;
        release(of);
        dropped(side);
        to_.cut({connection_, side, of.offset, why});
    }

    void hash(std::string_view bytes) {
        if (bytes.empty()) return;
        XXH3_128bits_update(hash_.get(), bytes.data(), bytes.size());
        hashed_ += bytes.size();
    }
    virtual Digest digest() {
        const auto hash = XXH3_128bits_digest(hash_.get());
        const Digest out{hash.low64, hash.high64, hashed_};
        XXH3_128bits_reset(hash_.get());
        hashed_ = 0;
        return out;
    }
    // The number of a request that has come, to be answered in its turn.
    std::uint32_t ask() {
        open_.push_back(asked_);
        return asked_++;
    }
    // Tells the answer to the oldest request. One that is not whole tells nothing but an error that was its
    // last word.
    void answer(Time at, bool whole);
    Said said_;

    ConnectionId connection_;
    Memory& memory_;
    Listener& to_;
    Half client_, server_;
    bool greeted_ = false, over_ = false;
    std::deque<std::uint32_t> open_;
    std::uint64_t hashed_ = 0;  // bytes of the answer that is coming

private:
    struct FreeState {
        void operator()(XXH3_state_t* s) const { XXH3_freeState(s); }
    };
    std::unique_ptr<XXH3_state_t, FreeState> hash_;
    std::uint32_t asked_ = 0;
};

// Fills what a statement's comment tells of a request; one without the comment is a request all the same.
void read_comment(std::string_view statement, RequestEvent& out);
// The statement under another id, and key where it has one. Throws std::invalid_argument where it has no
// comment.
std::string renamed_statement(std::string_view statement, std::string_view id, std::string_view key);

}  // namespace sloestack::conversation
