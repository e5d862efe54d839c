#include "conversation/reading.h"

#include <stdexcept>

#include "pgwire/statement.h"

namespace sloestack::conversation {

void Reading::read(Side from, std::string_view bytes, Time at) {
    auto& of = half(from);
    if (over_) return;
    while (!bytes.empty() && !of.cut) {
        if (of.passing > 0) {
            const auto part = bytes.substr(0, of.passing);
            hash(part);
            of.passing -= part.size();
            of.offset += part.size();
            bytes.remove_prefix(part.size());
            continue;
        }
        const bool gathered = !of.rest.empty();
        if (gathered) {
            if (!gather(of, bytes)) return cut(from, "more is not whole yet than may be held");
            bytes = {};
        }
        // What is whole is read where it stands; only the beginning of the next message is kept.
        const auto left = gathered ? std::string_view(of.rest) : bytes;
        std::size_t done = 0;
        try {
            while (!of.cut && of.passing == 0) {
                const auto size = one(from, left.substr(done), at);
                if (size == 0) break;
                done += size;
                of.offset += size;
            }
        } catch (const std::runtime_error& error) {
            read_up(from);
            return cut(from, std::string("not of the protocol: ") + error.what());
        }
        if (of.cut) return;
        read_up(from);
        if (gathered) {
            // What is behind a message that passes by belongs to it.
            const std::string behind = of.passing > 0 ? of.rest.substr(done) : std::string();
            drop(of, of.passing > 0 ? of.rest.size() : done);
            if (!behind.empty()) read(from, behind, at);
            return;
        }
        bytes.remove_prefix(done);
        if (of.passing > 0 || bytes.empty()) continue;
        if (!gather(of, bytes)) cut(from, "more is not whole yet than may be held");
        return;
    }
}

void Reading::answer(Time at, bool whole) {
    const auto found = digest();
    auto said = std::exchange(said_, {});
    ResponseEvent out;
    out.connection = connection_;
    out.number = open_.front();
    open_.pop_front();
    out.at = at;
    if (whole || said.kind == Kind::refused || said.kind == Kind::failed) {
        out.kind = said.kind;
        out.code = std::move(said.code);
        out.advice = said.advice;
        out.digest = found;
    }
    to_.answered(out);
}

void Reading::over(Time at) {
    if (over_) return;
    for (const auto side : {Side::client, Side::server}) {
        const auto part = unfinished(side);
        if (!half(side).cut && !part.empty()) cut(side, part + ": the stream ends");
    }
    bool first = greeted_ && !server_.cut;
    while (!open_.empty()) {
        if (!first) said_ = {};
        answer(at, false);
        first = false;
    }
    over_ = true;
    to_.closed(connection_, at);
}

void read_comment(std::string_view statement, RequestEvent& out) {
    try {
        const auto tags = pgwire::read_tags(statement);
        out.id = tags.id, out.request_class = tags.request_class, out.key = tags.key;
        out.left = tags.time_left_ms * 1000;
        out.group = tags.cluster;
        out.repeat = tags.is_retry;
    } catch (const pgwire::ProtocolError&) {
    }
}

std::string renamed_statement(std::string_view statement, std::string_view id, std::string_view key) {
    try {
        const auto tags = pgwire::read_tags(statement);
        std::string text(statement);
        const auto put = [&](std::string_view old, std::string_view fresh) {
            text.replace(static_cast<std::size_t>(old.data() - statement.data()), old.size(), fresh);
        };
        // The later one first: the places are those in the old text.
        const bool key_later = tags.key.data() > tags.id.data();
        if (!tags.key.empty() && key_later) put(tags.key, key);
        put(tags.id, id);
        if (!tags.key.empty() && !key_later) put(tags.key, key);
        return text;
    } catch (const pgwire::ProtocolError& error) {
        throw std::invalid_argument(error.what());
    }
}

}  // namespace sloestack::conversation
