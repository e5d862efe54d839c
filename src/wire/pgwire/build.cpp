#include "pgwire/build.h"

namespace sloestack::pgwire {
namespace {

constexpr std::uint32_t kProtocol30 = 3u << 16;

}  // namespace

template <class Body>
Builder& Builder::message(char type, Body body) {
    if (type) out_.push_back(type);
    const auto start = out_.size();
    int32(0);
    body();
    const auto length = static_cast<std::uint32_t>(out_.size() - start);
    for (std::size_t i = 0; i < 4; ++i) out_[start + i] = static_cast<char>(length >> (24 - 8 * i));
    return *this;
}
void Builder::int16(std::uint16_t value) {
    out_.push_back(static_cast<char>(value >> 8));
    out_.push_back(static_cast<char>(value));
}
void Builder::int32(std::uint32_t value) {
    int16(static_cast<std::uint16_t>(value >> 16));
    int16(static_cast<std::uint16_t>(value));
}
void Builder::text(std::string_view value) { out_.append(value).push_back('\0'); }

Builder& Builder::startup_message(std::string_view user, std::string_view database) {
    return message('\0', [&] {
        int32(kProtocol30);
        text("user"), text(user);
        text("database"), text(database);
        out_.push_back('\0');
    });
}
Builder& Builder::query(std::string_view statement) {
    return message('Q', [&] { text(statement); });
}
Builder& Builder::query_header(std::size_t size) {
    out_.push_back('Q');
    int32(static_cast<std::uint32_t>(4 + size + 1));
    return *this;
}
Builder& Builder::authentication_ok() {
    return message('R', [&] { int32(0); });
}
Builder& Builder::parameter_status(std::string_view name, std::string_view value) {
    return message('S', [&] { text(name), text(value); });
}
Builder& Builder::backend_key_data(std::uint32_t process, std::uint32_t secret) {
    return message('K', [&] { int32(process), int32(secret); });
}
Builder& Builder::negotiate_protocol_version() {
    return message('v', [&] { int32(kProtocol30), int32(0); });
}
Builder& Builder::startup_response(std::uint32_t process, std::uint32_t secret) {
    return authentication_ok()
        .parameter_status("server_version", "15.0 (sloestack)")
        .parameter_status("server_encoding", "UTF8")
        .parameter_status("client_encoding", "UTF8")
        .parameter_status("standard_conforming_strings", "on")
        .backend_key_data(process, secret)
        .ready_for_query();
}
Builder& Builder::ready_for_query() {
    return message('Z', [&] { out_.push_back('I'); });
}
Builder& Builder::empty_query_response() {
    return message('I', [] {});
}
Builder& Builder::row_description(std::string_view column, std::uint32_t type, bool binary) {
    return message('T', [&] {
        int16(1);
        text(column);
        int32(0), int16(0);          // no table's column
        int32(type), int16(0xffff);  // of no fixed size
        int32(0xffffffff);           // no modifier
        int16(binary ? 1 : 0);
    });
}
Builder& Builder::data_row(std::optional<std::string_view> value) {
    return message('D', [&] {
        int16(1);
        int32(value ? static_cast<std::uint32_t>(value->size()) : 0xffffffff);
        if (value) out_.append(*value);
    });
}
Builder& Builder::data_row_header(std::size_t size) {
    out_.push_back('D');
    int32(static_cast<std::uint32_t>(4 + 2 + 4 + size));
    int16(1);
    int32(static_cast<std::uint32_t>(size));
    return *this;
}
Builder& Builder::command_complete(std::string_view tag) {
    return message('C', [&] { text(tag); });
}
Builder& Builder::error_response(std::string_view severity, std::string_view sqlstate, std::string_view what,
                                 std::optional<std::int64_t> retry_after_ms) {
    return message('E', [&] {
        const auto field = [&](char name, std::string_view value) { out_.push_back(name), text(value); };
        field('S', severity);
        field('V', severity);
        field('C', sqlstate);
        field('M', what);
        if (retry_after_ms) field('D', std::to_string(*retry_after_ms));
        out_.push_back('\0');
    });
}
Builder& Builder::notice_response(std::string_view what) {
    return message('N', [&] {
        for (const auto& [name, value] :
             {std::pair<char, std::string_view>{'S', "NOTICE"}, {'V', "NOTICE"}, {'C', "00000"}, {'M', what}})
            out_.push_back(name), text(value);
        out_.push_back('\0');
    });
}

}  // namespace sloestack::pgwire
