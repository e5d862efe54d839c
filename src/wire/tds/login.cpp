#include "tds/login.h"

#include <algorithm>

#include "tds/fields.h"

namespace sloestack::tds {
namespace {

constexpr std::uint8_t kVersionOption = 0, kEncryptionOption = 1, kInstanceOption = 2, kMarsOption = 4,
                       kTerminator = 0xff;
constexpr std::size_t kOptionBytes = 5;  // token, and big-endian offset and length
// LOGIN7's fixed part: 36 bytes, nine pairs of offset and length, the client's ID, three more pairs, and a
// length of 32 bits.
constexpr std::size_t kFixedBytes = 94;
constexpr std::size_t kFirstFieldOffset = 36, kClientIdOffset = 72, kSspiOffset = 78;
constexpr std::uint8_t kIntegratedFlag = 0x80, kExtensionFlag = 0x10, kChangePasswordFlag = 0x01;
constexpr std::size_t kMaxTextUnits = 128;         // UTF-16 code units of a text field (MS-TDS 2.2.6.4)
constexpr std::size_t kMaxLoginBytes = 64 * 1024;  // offsets have 16 bits

std::uint16_t read_big_endian_16(std::string_view bytes, std::size_t at) {
    return static_cast<std::uint16_t>(static_cast<unsigned char>(bytes[at]) << 8 |
                                      static_cast<unsigned char>(bytes[at + 1]));
}

// Checks that the variable fields lie in the variable part of the message and do not overlap.
class VariableFields {
public:
    explicit VariableFields(std::string_view payload) : payload_(payload) {}
    std::string_view read(std::size_t offset, std::size_t size) {
        if (size == 0) return {};  // the offset of an empty field has no meaning
        if (offset < kFixedBytes) throw ProtocolError("a LOGIN7 field that lies in the fixed part");
        if (offset > payload_.size() || size > payload_.size() - offset)
            throw ProtocolError("a LOGIN7 field that lies outside the message");
        for (const auto& [from, to] : ranges_)
            if (offset < to && from < offset + size) throw ProtocolError("LOGIN7 fields that overlap");
        ranges_.emplace_back(offset, offset + size);
        return payload_.substr(offset, size);
    }

private:
    std::string_view payload_;
    std::vector<std::pair<std::size_t, std::size_t>> ranges_;
};

// Obfuscates a password as LOGIN7 requires, or reverses that: the nibbles of each byte are swapped, then the
// byte is XORed with 0xa5 (MS-TDS 2.2.6.4). This is not encryption.
std::string obfuscated(std::string bytes, bool obfuscate) {
    for (auto& character : bytes) {
        auto byte = static_cast<unsigned char>(character);
        if (!obfuscate) byte ^= 0xa5;
        byte = static_cast<unsigned char>(byte << 4 | byte >> 4);
        if (obfuscate) byte ^= 0xa5;
        character = static_cast<char>(byte);
    }
    return bytes;
}

std::map<std::uint8_t, std::string> read_features(std::string_view bytes) {
    std::map<std::uint8_t, std::string> out;
    FieldReader in(bytes);
    for (auto id = in.u8(); id != kTerminator; id = in.u8()) {
        const auto size = in.u32();
        if (!out.emplace(id, in.bytes(size)).second)
            throw ProtocolError("a LOGIN7 feature that is requested twice");
    }
    return out;
}

}  // namespace

Prelogin read_prelogin(std::string_view payload) {
    Prelogin out;
    bool has_version = false;
    for (std::size_t at = 0;; at += kOptionBytes) {
        if (at >= payload.size()) throw ProtocolError("a PRELOGIN option list without a terminator");
        const auto token = static_cast<std::uint8_t>(payload[at]);
        if (token == kTerminator) break;
        if (payload.size() - at < kOptionBytes)
            throw ProtocolError("a PRELOGIN option list without a terminator");
        const std::size_t offset = read_big_endian_16(payload, at + 1),
                          size = read_big_endian_16(payload, at + 3);
        if (offset > payload.size() || size > payload.size() - offset)
            throw ProtocolError("a PRELOGIN option that lies outside the message");
        // The version must be first (MS-TDS 2.2.6.5). This also rejects a TLS handshake.
        if (at == 0 && token != kVersionOption)
            throw ProtocolError("a PRELOGIN whose first option is not VERSION");
        const auto value = payload.substr(offset, size);
        const auto byte = [&] {
            if (value.size() != 1) throw ProtocolError("a PRELOGIN option of a wrong size");
            return static_cast<std::uint8_t>(value[0]);
        };
        if (token == kVersionOption) {
            if (has_version || size != 6) throw ProtocolError("a PRELOGIN option of a wrong size");
            has_version = true;
            out.version =
                static_cast<std::uint32_t>(read_big_endian_16(value, 0)) << 16 | read_big_endian_16(value, 2);
        } else if (token == kEncryptionOption) {
            const auto encryption = byte();
            if ((encryption & 0x7f) > 3)
                throw ProtocolError("a PRELOGIN with an unknown value of ENCRYPTION");
            out.encryption = encryption & 0x80 ? Encryption::required : static_cast<Encryption>(encryption);
        } else if (token == kInstanceOption) {
            out.instance = value.substr(0, value.find('\0'));
        } else if (token == kMarsOption) {
            out.mars = size > 0 && byte() != 0;
        } else {
            out.unknown_options.push_back(token);
        }
    }
    return out;
}

std::string build_prelogin(const Prelogin& prelogin) {
    const std::string version = {static_cast<char>(prelogin.version >> 24),
                                 static_cast<char>(prelogin.version >> 16),
                                 static_cast<char>(prelogin.version >> 8),
                                 static_cast<char>(prelogin.version),
                                 0,
                                 0};
    const std::pair<std::uint8_t, std::string> options[] = {
        {kVersionOption, version},
        {kEncryptionOption, std::string(1, static_cast<char>(prelogin.encryption))},
        {kInstanceOption, prelogin.instance + '\0'},
        {kMarsOption, std::string(1, prelogin.mars ? '\1' : '\0')}};
    std::string head, data;
    const auto head_size = std::size(options) * kOptionBytes + 1;
    for (const auto& [token, value] : options) {
        const auto offset = head_size + data.size();
        for (const auto byte : {std::size_t{token}, offset >> 8, offset, value.size() >> 8, value.size()})
            head.push_back(static_cast<char>(byte));
        data += value;
    }
    head.push_back(static_cast<char>(kTerminator));
    return head + data;
}

Login read_login(std::string_view payload) {
    if (payload.size() < kFixedBytes) throw ProtocolError("a LOGIN7 message shorter than its fixed part");
    FieldReader in(payload);
    if (in.u32() != payload.size()) throw ProtocolError("a LOGIN7 message whose length field is wrong");
    Login out;
    out.version = in.u32();
    const auto supported = {kVersion72, kVersion73a, kVersion73b, kVersion74};
    if (std::find(supported.begin(), supported.end(), out.version) == supported.end())
        throw ProtocolError("a LOGIN7 message with a TDS version other than 7.2 to 7.4");
    out.packet_size = in.u32();
    if (out.packet_size == 0)
        out.packet_size = kDefaultPacketBytes;  // the client leaves the choice to the server
    out.packet_size = std::clamp(out.packet_size, kMinPacketBytes, kMaxPacketBytes);
    in.bytes(12);  // ClientProgVer, ClientPID and ConnectionID
    in.u8();
    out.integrated = in.u8() & kIntegratedFlag;
    in.u8();
    const auto flags3 = in.u8();
    in.bytes(8);  // ClientTimeZone and ClientLCID
    VariableFields fields(payload);
    const auto field = [&](std::size_t at) {
        FieldReader in_field(payload.substr(at));
        const std::size_t offset = in_field.u16(), count = in_field.u16();
        return std::pair{offset, count};
    };
    const auto text = [&](std::size_t index) {
        const auto [offset, count] = field(kFirstFieldOffset + index * 4);
        if (count > kMaxTextUnits) throw ProtocolError("a LOGIN7 text of more than 128 characters");
        return from_utf16(fields.read(offset, count * 2));
    };
    out.host = text(0);
    out.user = text(1);
    {
        const auto [offset, count] = field(kFirstFieldOffset + 8);
        if (count > kMaxTextUnits) throw ProtocolError("a LOGIN7 password of more than 128 characters");
        out.password = from_utf16(obfuscated(std::string(fields.read(offset, count * 2)), false));
    }
    out.app = text(3);
    out.server = text(4);
    const auto [extension_at, extension_size] = field(kFirstFieldOffset + 20);
    out.library = text(6);
    out.language = text(7);
    out.database = text(8);
    const auto [sspi_at, sspi_size] = field(kSspiOffset);
    fields.read(sspi_at, sspi_size);
    const auto [file_at, file_count] = field(kSspiOffset + 4);
    out.attaches_file = file_count > 0;
    fields.read(file_at, file_count * 2);
    const auto [change_at, change_count] = field(kSspiOffset + 8);
    out.changes_password = change_count > 0 || (flags3 & kChangePasswordFlag);
    fields.read(change_at, change_count * 2);
    if ((flags3 & kExtensionFlag) && extension_size > 0) {
        if (extension_size < 4)
            throw ProtocolError("a LOGIN7 extension field shorter than the 4 bytes of its offset");
        const auto at = FieldReader(fields.read(extension_at, extension_size)).u32();
        if (at < kFixedBytes || at >= payload.size())
            throw ProtocolError("a LOGIN7 field that lies outside the message");
        out.features = read_features(payload.substr(at));
    }
    return out;
}

std::string build_login(const Login& login) {
    std::string data, fixed;
    const auto append_field = [&](std::string_view bytes, std::size_t count) {
        FieldWriter(fixed).u16(kFixedBytes + data.size()).u16(count);
        data.append(bytes);
    };
    const auto append_text = [&](const std::string& text) {
        const auto units = to_utf16(text);
        append_field(units, units.size() / 2);
    };
    FieldWriter(fixed).u32(0).u32(login.version).u32(login.packet_size).u32(0).u32(0).u32(0);
    FieldWriter(fixed)
        .u8(0)
        .u8(login.integrated ? kIntegratedFlag : 0)
        .u8(0)
        .u8(login.features.empty() ? 0 : kExtensionFlag);
    FieldWriter(fixed).u32(0).u32(0);
    append_text(login.host);
    append_text(login.user);
    const auto password = obfuscated(to_utf16(login.password), true);
    append_field(password, password.size() / 2);
    append_text(login.app);
    append_text(login.server);
    const auto extension = fixed.size();
    FieldWriter(fixed).u16(0).u16(0);
    append_text(login.library);
    append_text(login.language);
    append_text(login.database);
    fixed.append(kSspiOffset - kClientIdOffset, '\0');
    for (int i = 0; i < 3; ++i) FieldWriter(fixed).u16(kFixedBytes + data.size()).u16(0);
    FieldWriter(fixed).u32(0);
    if (!login.features.empty()) {
        std::string at;
        FieldWriter(at).u16(kFixedBytes + data.size()).u16(4);
        fixed.replace(extension, 4, at);
        FieldWriter(data).u32(kFixedBytes + data.size() + 4);
        for (const auto& [id, value] : login.features)
            FieldWriter(data).u8(id).u32(value.size()).bytes(value);
        FieldWriter(data).u8(kTerminator);
    }
    auto out = fixed + data;
    if (out.size() > kMaxLoginBytes)
        throw ProtocolError("a LOGIN7 message of more than 64 KiB, which its offsets cannot address");
    std::string size;
    FieldWriter(size).u32(out.size());
    out.replace(0, 4, size);
    return out;
}

}  // namespace sloestack::tds
