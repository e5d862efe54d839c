#include "tds/login.h"

#include <algorithm>

#include "tds/fields.h"

namespace sloestack::tds {
namespace {

constexpr std::uint8_t kVersion = 0, kEncryption = 1, kInstance = 2, kMars = 4, kTerminator = 0xff;
constexpr std::size_t kOption = 5;  // token, offset and length, both big-endian here as nowhere else
// LOGIN7's fixed part: 36 bytes, ten fields of offset and length, the client's id, three more, a long length.
constexpr std::size_t kFixed = 94;
constexpr std::size_t kFields = 36, kClientId = 72, kAfterId = 78;
constexpr std::uint8_t kIntegrated = 0x80, kExtension = 0x10, kChangePassword = 0x01;
constexpr std::size_t kLongestText = 128;      // characters of a name; MS-TDS 2.2.6.4 bounds each of them so
constexpr std::size_t kMostLogin = 64 * 1024;  // its offsets have 16 bits

std::uint16_t big16(std::string_view b, std::size_t at) {
    return static_cast<std::uint16_t>(static_cast<unsigned char>(b[at]) << 8 |
                                      static_cast<unsigned char>(b[at + 1]));
}

// Where the variable fields lie, so that none hides in another or in the fixed part.
class Places {
public:
    explicit Places(std::string_view whole) : whole_(whole) {}
    std::string_view take(std::size_t offset, std::size_t size) {
        if (size == 0) return {};  // an absent field's offset says nothing
        if (offset < kFixed) throw ProtocolError("a login whose field lies in its fixed part");
        if (offset > whole_.size() || size > whole_.size() - offset)
            throw ProtocolError("a login whose field lies outside of it");
        for (const auto& [from, to] : taken_)
            if (offset < to && from < offset + size) throw ProtocolError("a login whose fields overlap");
        taken_.emplace_back(offset, offset + size);
        return whole_.substr(offset, size);
    }

private:
    std::string_view whole_;
    std::vector<std::pair<std::size_t, std::size_t>> taken_;
};

// MS-TDS 2.2.6.4: the nibbles of each byte change places, and 0xa5 is laid over it. It hides nothing.
std::string veiled(std::string bytes, bool veil) {
    for (auto& c : bytes) {
        auto b = static_cast<unsigned char>(c);
        if (!veil) b ^= 0xa5;
        b = static_cast<unsigned char>(b << 4 | b >> 4);
        if (veil) b ^= 0xa5;
        c = static_cast<char>(b);
    }
    return bytes;
}

std::map<std::uint8_t, std::string> read_features(std::string_view bytes) {
    std::map<std::uint8_t, std::string> out;
    FieldReader in(bytes);
    for (auto id = in.u8(); id != kTerminator; id = in.u8()) {
        const auto size = in.u32();
        if (!out.emplace(id, in.bytes(size)).second)
            throw ProtocolError("a login that asks for a feature twice");
    }
    return out;
}

}  // namespace

Prelogin read_prelogin(std::string_view payload) {
    Prelogin out;
    bool has_version = false;
    for (std::size_t at = 0;; at += kOption) {
        if (at >= payload.size()) throw ProtocolError("a prelogin whose options have no end");
        const auto token = static_cast<std::uint8_t>(payload[at]);
        if (token == kTerminator) break;
        if (payload.size() - at < kOption) throw ProtocolError("a prelogin whose options have no end");
        const std::size_t offset = big16(payload, at + 1), size = big16(payload, at + 3);
        if (offset > payload.size() || size > payload.size() - offset)
            throw ProtocolError("a prelogin whose option lies outside of it");
        // The version comes first (MS-TDS 2.2.6.5), which also tells a prelogin from TLS bytes.
        if (at == 0 && token != kVersion)
            throw ProtocolError("a prelogin that does not begin with its version");
        const auto value = payload.substr(offset, size);
        const auto byte = [&] {
            if (value.size() != 1) throw ProtocolError("a prelogin option of a wrong size");
            return static_cast<std::uint8_t>(value[0]);
        };
        if (token == kVersion) {
            if (has_version || size != 6) throw ProtocolError("a prelogin option of a wrong size");
            has_version = true;
            out.version = static_cast<std::uint32_t>(big16(value, 0)) << 16 | big16(value, 2);
        } else if (token == kEncryption) {
            const auto said = byte();
            if ((said & 0x7f) > 3) throw ProtocolError("a prelogin with an unknown word on encryption");
            out.encryption = said & 0x80 ? Encryption::required : static_cast<Encryption>(said);
        } else if (token == kInstance) {
            out.instance = value.substr(0, value.find('\0'));
        } else if (token == kMars) {
            out.mars = size > 0 && byte() != 0;
        } else {
            out.others.push_back(token);
        }
    }
    return out;
}

std::string build_prelogin(const Prelogin& p) {
    const std::string version = {static_cast<char>(p.version >> 24),
                                 static_cast<char>(p.version >> 16),
                                 static_cast<char>(p.version >> 8),
                                 static_cast<char>(p.version),
                                 0,
                                 0};
    const std::pair<std::uint8_t, std::string> options[] = {
        {kVersion, version},
        {kEncryption, std::string(1, static_cast<char>(p.encryption))},
        {kInstance, p.instance + '\0'},
        {kMars, std::string(1, p.mars ? '\1' : '\0')}};
    std::string head, data;
    const auto head_size = std::size(options) * kOption + 1;
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
    if (payload.size() < kFixed) throw ProtocolError("a login shorter than its fixed part");
    FieldReader in(payload);
    if (in.u32() != payload.size()) throw ProtocolError("a login that is not as long as it says");
    Login out;
    out.version = in.u32();
    const auto known = {kVersion72, kVersion73a, kVersion73b, kVersion74};
    if (std::find(known.begin(), known.end(), out.version) == known.end())
        throw ProtocolError("a login of a version other than 7.2 to 7.4");
    out.packet_size = in.u32();
    if (out.packet_size == 0) out.packet_size = kDefaultPacketBytes;  // the server is to choose
    out.packet_size = std::clamp(out.packet_size, kMinPacketBytes, kMaxPacketBytes);
    in.bytes(12);  // program's version, process and connection
    in.u8();
    out.integrated = in.u8() & kIntegrated;
    in.u8();
    const auto flags3 = in.u8();
    in.bytes(8);  // time zone and locale
    Places places(payload);
    const auto field = [&](std::size_t at) {
        FieldReader c(payload.substr(at));
        const std::size_t offset = c.u16(), count = c.u16();
        return std::pair{offset, count};
    };
    const auto text = [&](std::size_t index) {
        const auto [offset, count] = field(kFields + index * 4);
        if (count > kLongestText) throw ProtocolError("a login with a name of more than 128 characters");
        return from_utf16(places.take(offset, count * 2));
    };
    out.host = text(0);
    out.user = text(1);
    {
        const auto [offset, count] = field(kFields + 8);
        if (count > kLongestText) throw ProtocolError("a login with a password of more than 128 characters");
        out.password = from_utf16(veiled(std::string(places.take(offset, count * 2)), false));
    }
    out.app = text(3);
    out.server = text(4);
    const auto [extension_at, extension_size] = field(kFields + 20);
    out.library = text(6);
    out.language = text(7);
    out.database = text(8);
    const auto [sspi_at, sspi_size] = field(kAfterId);
    places.take(sspi_at, sspi_size);
    const auto [file_at, file_count] = field(kAfterId + 4);
    out.attaches_file = file_count > 0;
    places.take(file_at, file_count * 2);
    const auto [change_at, change_count] = field(kAfterId + 8);
    out.changes_password = change_count > 0 || (flags3 & kChangePassword);
    places.take(change_at, change_count * 2);
    if ((flags3 & kExtension) && extension_size > 0) {
        if (extension_size < 4) throw ProtocolError("a login whose extension has no place");
        const auto at = FieldReader(places.take(extension_at, extension_size)).u32();
        if (at < kFixed || at >= payload.size())
            throw ProtocolError("a login whose field lies outside of it");
        out.features = read_features(payload.substr(at));
    }
    return out;
}

std::string build_login(const Login& login) {
    std::string data, fixed;
    const auto place = [&](std::string_view bytes, std::size_t count) {
        FieldWriter(fixed).u16(kFixed + data.size()).u16(count);
        data.append(bytes);
    };
    const auto text = [&](const std::string& t) {
        const auto units = to_utf16(t);
        place(units, units.size() / 2);
    };
    FieldWriter(fixed).u32(0).u32(login.version).u32(login.packet_size).u32(0).u32(0).u32(0);
    FieldWriter(fixed)
        .u8(0)
        .u8(login.integrated ? kIntegrated : 0)
        .u8(0)
        .u8(login.features.empty() ? 0 : kExtension);
    FieldWriter(fixed).u32(0).u32(0);
    text(login.host);
    text(login.user);
    const auto password = veiled(to_utf16(login.password), true);
    place(password, password.size() / 2);
    text(login.app);
    text(login.server);
    const auto extension = fixed.size();
    FieldWriter(fixed).u16(0).u16(0);
    text(login.library);
    text(login.language);
    text(login.database);
    fixed.append(kAfterId - kClientId, '\0');
    for (int i = 0; i < 3; ++i) FieldWriter(fixed).u16(kFixed + data.size()).u16(0);
    FieldWriter(fixed).u32(0);
    if (!login.features.empty()) {
        std::string at;
        FieldWriter(at).u16(kFixed + data.size()).u16(4);
        fixed.replace(extension, 4, at);
        FieldWriter(data).u32(kFixed + data.size() + 4);
        for (const auto& [id, value] : login.features)
            FieldWriter(data).u8(id).u32(value.size()).bytes(value);
        FieldWriter(data).u8(kTerminator);
    }
    auto out = fixed + data;
    if (out.size() > kMostLogin) throw ProtocolError("a login too long for its offsets");
    std::string size;
    FieldWriter(size).u32(out.size());
    out.replace(0, 4, size);
    return out;
}

}  // namespace sloestack::tds
