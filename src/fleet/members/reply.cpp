#include "members/reply.h"

#include <charconv>
#include <cmath>

#include "pgwire/build.h"

namespace sloestack::members {
namespace {

using nettletrestle::Outcome;
using nettletrestle::Role;
using nettletrestle::Standing;

constexpr std::size_t kLongestAside = 8 * 1024;  // whatever is no value: names, reports, errors
constexpr std::size_t kReady = 5;

std::optional<double> number(std::string_view text) {
    double out = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
    if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(out)) return std::nullopt;
    return out;
}

// Positions are Unix times; none lies beyond the year 5000, and 0 says that there is none.
std::optional<nettletrestle::Time> position(double value, double unit_us) {
    if (value <= 0 || value * unit_us > 1e17) return std::nullopt;
    return static_cast<nettletrestle::Time>(std::llround(value * unit_us));
}

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

Standing read_load(std::string_view text) {
    Standing out;
    while (!text.empty()) {
        const auto comma = text.find(',');
        const auto pair = text.substr(0, comma);
        text = comma == std::string_view::npos ? std::string_view{} : text.substr(comma + 1);
        const auto equals = pair.find('=');
        // One pair that cannot be read spoils the report: guards against believing what is left of it.
        if (equals == std::string_view::npos) return {};
        const auto name = pair.substr(0, equals);
        const auto value = number(pair.substr(equals + 1));
        if (!value || *value < 0) return {};
        if (name == "x0") out.position = position(*value, 1e6);
        if (name != "x1") continue;
        if (*value != 0 && *value != 1) return {};
        out.role = *value == 1 ? Role::primary : Role::replica;
    }
    return out;
}

Outcome outcome_of(std::string_view sqlstate) {
    if (sqlstate == pgwire::code::kReadOnly || sqlstate == pgwire::code::kTooFarBehind) return Outcome::miss;
    if (sqlstate == pgwire::code::kTooManyConnections) return Outcome::full;
    return Outcome::error;
}

void Reply::parameter(std::string_view name, std::string_view value) {
    if (name == "role") {
        if (value == "primary") standing_.role = Role::primary;
        if (value == "replica") standing_.role = Role::replica;
    } else if (name == "applied_ms") {
        if (const auto milliseconds = number(value)) standing_.position = position(*milliseconds, 1e3);
    } else if (name == "load") {
        reported_ = read_load(value);
    }
}

std::size_t Reply::longest(char type) const {
    const bool begun = value_ || outcome_;
    switch (type) {
        case 'S':
        case 'N':
            return kLongestAside;
        case 'T':
        case 'I':
            return begun ? 0 : kLongestAside;
        case 'D':
            return value_ && !row_ && !outcome_ ? pgwire::kLargestValue + kRowHead - 1 : 0;
        case 'C':
        case 'E':
            return outcome_ ? 0 : kLongestAside;
        case 'Z':
            return outcome_ ? kReady : 0;
        default:
            return 0;
    }
}

std::size_t Reply::begin_row(std::string_view head, std::size_t size) {
    pgwire::Fields in(head);
    in.byte(), in.int32();
    if (!value_ || row_ || in.int16() != 1) throw pgwire::BadMessage("a row out of place");
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
            auto& v = value_.emplace();
            v.column = in.text();
            in.int32(), in.int16();
            v.type = in.int32();
            in.int16(), in.int32();
            const auto format = in.int16();
            if (format > 1) throw pgwire::BadMessage("a column of an unknown format");
            v.binary = format == 1;
            nothing_more(in);
            return false;
        }
        case 'D': {
            if (!value_ || row_ || in.int16() != 1) throw pgwire::BadMessage("a row out of place");
            const std::size_t size = in.int32();
            value_->null = size == 0xffffffff;
            if (!value_->null) value_->bytes = in.bytes(size);
            nothing_more(in);
            row_ = true;
            return false;
        }
        case 'C': {
            // Served is the row and the command's end; an end without a row tells that nothing was served.
            const auto tag = in.text();
            nothing_more(in);
            if (value_) value_->tag = tag;
            if (!outcome_) outcome_ = row_ ? Outcome::ok : Outcome::error;
            return false;
        }
        case 'E':
            outcome_ = outcome_of(sqlstate_of(message.body));
            return false;
        case 'I':
            outcome_ = Outcome::error;
            return false;
        case 'N':
            return false;
        case 'Z':
            if (!outcome_) throw pgwire::BadMessage("ready without an answer");
            if (in.byte() != 'I') throw pgwire::BadMessage("ready inside a transaction");
            nothing_more(in);
            return true;
        default:
            throw pgwire::BadMessage("an unknown message from a member");
    }
}

}  // namespace sloestack::members
