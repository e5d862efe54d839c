#include "postgres/reply.h"

#include "pgwire/build.h"

namespace sloestack::postgres {
namespace {

using decision::Outcome;
using decision::Role;

constexpr std::size_t kLongestAside = 8 * 1024;  // whatever is no value: names, reports, errors
constexpr std::size_t kReady = 5;

void nothing_more(const pgwire::Fields& in) {
    if (!in.empty()) throw pgwire::BadMessage("a message longer than its fields");
}

std::string_view sqlstate_of(std::string_view body) {
    pgwire::Fields in(body);
    while (!in.empty()) {
        const char field = static_cast<char>(in.byte());
        if (field == '\0') break;
        const auto value = in.text();
        if (field == 'C') return value;
    }
    throw pgwire::BadMessage("an error without its code");
}

}  // namespace

Outcome outcome_of(std::string_view sqlstate) {
    if (sqlstate == pgwire::code::kReadOnly || sqlstate == pgwire::code::kTooFarBehind)
        return Outcome::not_eligible;
    if (sqlstate == pgwire::code::kTooManyConnections) return Outcome::overloaded;
    return Outcome::error;
}

void Reply::parameter(std::string_view name, std::string_view value) {
    if (name == "role") {
        if (value == "primary") answer_.status.role = Role::primary;
        if (value == "replica") answer_.status.role = Role::replica;
    } else if (name == "applied_ms") {
        if (const auto milliseconds = upstream::number(value))
            answer_.status.position = upstream::position(*milliseconds, 1e3);
    } else if (name == "load") {
        answer_.reported_status = upstream::read_load(value);
    }
}

std::size_t Reply::longest(char type) const {
    const bool begun = answer_.value || answer_.outcome;
    switch (type) {
        case 'S':
        case 'N':
            return kLongestAside;
        case 'T':
        case 'I':
            return begun ? 0 : kLongestAside;
        case 'D':
            return answer_.value && !row_ && !answer_.outcome ? pgwire::kLargestValue + kRowHead - 1 : 0;
        case 'C':
        case 'E':
            return answer_.outcome ? 0 : kLongestAside;
        case 'Z':
            return answer_.outcome ? kReady : 0;
        default:
            return 0;
    }
}

std::size_t Reply::begin_row(std::string_view head, std::size_t size) {
    pgwire::Fields in(head);
    in.byte(), in.int32();
    if (!answer_.value || row_ || in.int16() != 1) throw pgwire::BadMessage("a row out of place");
    const std::size_t bytes = in.int32();
    if (bytes != size - kRowHead) throw pgwire::BadMessage("a value that does not fill its row");
    row_ = true;
    return bytes;
}

bool Reply::take(const pgwire::Message& message) {
    pgwire::Fields in(message.body);
    switch (message.type) {
        case 'S': {
            const auto name = in.text(), value = in.text();
            nothing_more(in);
            parameter(name, value);
            return false;
        }
        case 'T': {
            if (in.int16() != 1) throw pgwire::BadMessage("a row of other than one column");
            auto& v = answer_.value.emplace();
            v.column = in.text();
            in.int32(), in.int16();
            v.type = in.int32();
            in.int16(), in.int32();
            const auto format = in.int16();
            if (format > 1) throw pgwire::BadMessage("a column of an unknown format");
            v.is_binary = format == 1;
            nothing_more(in);
            return false;
        }
        case 'D': {
            if (!answer_.value || row_ || in.int16() != 1) throw pgwire::BadMessage("a row out of place");
            const std::size_t size = in.int32();
            answer_.value->is_null = size == 0xffffffff;
            if (!answer_.value->is_null) answer_.value->bytes = in.bytes(size);
            nothing_more(in);
            row_ = true;
            return false;
        }
        case 'C': {
            // Served is the row and the command's end; an end without a row tells that nothing was served.
            const auto tag = in.text();
            nothing_more(in);
            if (answer_.value) answer_.value->command_tag = tag;
            if (!answer_.outcome) answer_.outcome = row_ ? Outcome::ok : Outcome::error;
            return false;
        }
        case 'E':
            answer_.outcome = outcome_of(sqlstate_of(message.body));
            return false;
        case 'I':
            answer_.outcome = Outcome::error;
            return false;
        case 'N':
            return false;
        case 'Z':
            if (!answer_.outcome) throw pgwire::BadMessage("ready without an answer");
            if (in.byte() != 'I') throw pgwire::BadMessage("ready inside a transaction");
            nothing_more(in);
            return true;
        default:
            throw pgwire::BadMessage("an unknown message from a member");
    }
}

}  // namespace sloestack::postgres
