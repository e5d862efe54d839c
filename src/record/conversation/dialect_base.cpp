#include "conversation/dialect_base.h"

#include <stdexcept>

#include "pgwire/statement.h"

namespace sloestack::conversation {

void DialectBase::read(Side from, std::string_view bytes, Time at) {
    auto& direction = direction_of(from);
    if (closed_) return;
    while (!bytes.empty() && !direction.cut) {
        if (direction.streamed_bytes > 0) {
            const auto part = bytes.substr(0, direction.streamed_bytes);
            hash(part);
            direction.streamed_bytes -= part.size();
            direction.offset += part.size();
            bytes.remove_prefix(part.size());
            continue;
        }
        const bool is_buffered = !direction.buffered.empty();
        if (is_buffered) {
            if (!buffer(direction, bytes)) return cut(from, "incomplete messages exceed the memory limit");
            bytes = {};
        }
        // Complete messages are parsed in place; only the beginning of the next message is buffered.
        const auto input = is_buffered ? std::string_view(direction.buffered) : bytes;
        std::size_t parsed_bytes = 0;
        try {
            while (!direction.cut && direction.streamed_bytes == 0) {
                const auto size = read_message(from, input.substr(parsed_bytes), at);
                if (size == 0) break;
                parsed_bytes += size;
                direction.offset += size;
            }
        } catch (const std::runtime_error& error) {
            finish_read(from);
            return cut(from, std::string("not of the protocol: ") + error.what());
        }
        if (direction.cut) return;
        finish_read(from);
        if (is_buffered) {
            // Buffered bytes after the header of a streamed message are part of that message.
            const std::string streamed =
                direction.streamed_bytes > 0 ? direction.buffered.substr(parsed_bytes) : std::string();
            discard(direction, direction.streamed_bytes > 0 ? direction.buffered.size() : parsed_bytes);
            if (!streamed.empty()) read(from, streamed, at);
            return;
        }
        bytes.remove_prefix(parsed_bytes);
        if (direction.streamed_bytes > 0 || bytes.empty()) continue;
        if (!buffer(direction, bytes)) cut(from, "incomplete messages exceed the memory limit");
        return;
    }
}

void DialectBase::report_response(Time at, bool is_complete) {
    const auto response_digest = digest();
    auto response = std::exchange(response_, {});
    ResponseEvent out;
    out.connection = connection_;
    out.number = unanswered_.front();
    unanswered_.pop_front();
    out.at = at;
    if (is_complete || response.kind == Kind::refused || response.kind == Kind::failed) {
        out.kind = response.kind;
        out.code = std::move(response.code);
        out.advice = response.advice;
        out.digest = response_digest;
    }
    listener_.answered(out);
}

void DialectBase::over(Time at) {
    if (closed_) return;
    for (const auto side : {Side::client, Side::server}) {
        const auto place = place_in_message(side);
        if (!direction_of(side).cut && !place.empty()) cut(side, place + ": the stream ends");
    }
    bool is_first = greeted_ && !server_.cut;
    while (!unanswered_.empty()) {
        if (!is_first) response_ = {};
        report_response(at, false);
        is_first = false;
    }
    closed_ = true;
    listener_.closed(connection_, at);
}

void read_comment(std::string_view statement, RequestEvent& request) {
    try {
        const auto tags = pgwire::read_tags(statement);
        request.id = tags.id, request.request_class = tags.request_class, request.key = tags.key;
        request.left = tags.time_left_ms * 1000;
        request.group = tags.cluster;
        request.repeat = tags.is_retry;
    } catch (const pgwire::ProtocolError&) {
    }
}

std::string renamed_statement(std::string_view statement, std::string_view id, std::string_view key) {
    try {
        const auto tags = pgwire::read_tags(statement);
        std::string text(statement);
        const auto replace = [&](std::string_view old_value, std::string_view new_value) {
            text.replace(static_cast<std::size_t>(old_value.data() - statement.data()), old_value.size(),
                         new_value);
        };
        // Replaces the later value first, since both positions are those in the original text.
        const bool is_key_after_id = tags.key.data() > tags.id.data();
        if (!tags.key.empty() && is_key_after_id) replace(tags.key, key);
        replace(tags.id, id);
        if (!tags.key.empty() && !is_key_after_id) replace(tags.key, key);
        return text;
    } catch (const pgwire::ProtocolError& error) {
        throw std::invalid_argument(error.what());
    }
}

}  // namespace sloestack::conversation
