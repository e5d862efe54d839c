// The common part of the dialects: incomplete messages of both directions, the digest of the current
// response, the requests without a response, and the cutting of a direction.
#pragma once

#include <xxhash.h>

#include <deque>
#include <memory>
#include <string>
#include <utility>

#include "conversation/conversation.h"

namespace sloestack::conversation {

class DialectBase : public Dialect {
public:
    DialectBase(ConnectionId connection, Memory& memory, Listener& listener)
        : connection_(connection), memory_(memory), listener_(listener), hash_(XXH3_createState()) {
        XXH3_128bits_reset(hash_.get());
    }
    ~DialectBase() override {
        release(client_);
        release(server_);
    }
    void read(Side from, std::string_view bytes, Time at) override;
    bool greeted() const override { return greeted_; }
    std::size_t unanswered() const override { return unanswered_.size(); }
    void lost(Side from, Time, const std::string& reason) override {
        const auto place = place_in_message(from);
        cut(from, place.empty() ? reason : place + ": " + reason);
    }
    void over(Time at) override;

protected:
    struct Direction {
        std::string buffered;      // beginning of an incomplete message
        std::uint64_t offset = 0;  // of the next message
        std::size_t streamed_bytes =
            0;  // remaining bytes of a message too large to buffer; they are only hashed
        bool cut = false;
    };
    // The current response, which may be incomplete.
    struct Response {
        Kind kind = Kind::none;
        std::string code;
        std::optional<Micros> advice;
    };

    // Parses one message at the front of `bytes` and returns its size; returns 0 if the message is incomplete
    // or if `streamed_bytes` was set for it. Throws std::runtime_error if the message is malformed.
    virtual std::size_t read_message(Side from, std::string_view bytes, Time at) = 0;
    virtual void finish_read(Side) {}    // all complete messages are parsed; their bytes become invalid
    virtual void direction_cut(Side) {}  // the direction was cut
    // Returns a phrase that says where in a message the direction ended; empty if between two messages.
    virtual std::string place_in_message(Side side) const = 0;

    Direction& direction_of(Side side) { return side == Side::client ? client_ : server_; }
    // Buffers the beginning of a message. Returns false if that exceeds the memory budget.
    bool buffer(Direction& direction, std::string_view bytes) {
        if (memory_.held + bytes.size() > memory_.most) return false;
        direction.buffered.append(bytes);
        memory_.held += bytes.size();
        return true;
    }
    void discard(Direction& direction, std::size_t bytes) {
        direction.buffered.erase(0, bytes);
        memory_.held -= bytes;
    }
    void release(Direction& direction) { discard(direction, direction.buffered.size()); }
    void cut(Side side, const std::string& reason) {
        auto& direction = direction_of(side);
        if (direction.cut) return;
        direction.cut = true;
        direction.streamed_bytes = 0;
        release(direction);
        direction_cut(side);
        listener_.cut({connection_, side, direction.offset, reason});
    }

    void hash(std::string_view bytes) {
        if (bytes.empty()) return;
        XXH3_128bits_update(hash_.get(), bytes.data(), bytes.size());
        hashed_bytes_ += bytes.size();
    }
    virtual Digest digest() {
        const auto hash = XXH3_128bits_digest(hash_.get());
        const Digest out{hash.low64, hash.high64, hashed_bytes_};
        XXH3_128bits_reset(hash_.get());
        hashed_bytes_ = 0;
        return out;
    }
    // Records a request as unanswered and returns its number. Responses arrive in the order of the requests.
    std::uint32_t add_request() {
        unanswered_.push_back(next_number_);
        return next_number_++;
    }
    // Reports the response to the oldest request. An incomplete response is reported only if it is an error,
    // and as Kind::none otherwise.
    void report_response(Time at, bool is_complete);
    Response response_;

    ConnectionId connection_;
    Memory& memory_;
    Listener& listener_;
    Direction client_, server_;
    bool greeted_ = false, closed_ = false;
    std::deque<std::uint32_t> unanswered_;
    std::uint64_t hashed_bytes_ = 0;  // bytes of the current response

private:
    struct FreeState {
        void operator()(XXH3_state_t* s) const { XXH3_freeState(s); }
    };
    std::unique_ptr<XXH3_state_t, FreeState> hash_;
    std::uint32_t next_number_ = 0;
};

// Fills in the fields that the statement's comment has. A statement without a valid comment leaves them
// unset.
void read_comment(std::string_view statement, RequestEvent& request);
// Returns the statement with another id, and with another key if it has one. Throws std::invalid_argument if
// it has no valid comment.
std::string renamed_statement(std::string_view statement, std::string_view id, std::string_view key);

}  // namespace sloestack::conversation
