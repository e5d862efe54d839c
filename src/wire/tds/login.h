// The beginning of a session: PRELOGIN and LOGIN7. Source: MS-TDS 2.2.6.4 and 2.2.6.5.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "tds/packet.h"

namespace sloestack::tds {

// Versions as LOGIN7 names them.
constexpr std::uint32_t kVersion72 = 0x72090002, kVersion73a = 0x730a0003, kVersion73b = 0x730b0003,
                        kVersion74 = 0x74000004;

enum class Encryption : std::uint8_t { off = 0, on = 1, not_supported = 2, required = 3 };

struct Prelogin {
    std::uint32_t version = 0;  // of the sender's product: major, minor, build
    Encryption encryption = Encryption::off;
    bool mars = false;  // several requests at once on one connection: not spoken here
    std::string instance;
    // Options that are not read here, by their token; a server ignores those it does not know.
    std::vector<std::uint8_t> others;
};
// Throws ProtocolError where an option lies outside the message, or the list has no end.
Prelogin read_prelogin(std::string_view payload);
std::string build_prelogin(const Prelogin& prelogin);

struct Login {
    std::uint32_t version = kVersion74;
    std::size_t packet_size = kDefaultPacketBytes;
    std::string host, user, app, server, library, language, database;
    // Held no longer than needed and never part of a message or a log.
    std::string password;
    bool integrated = false;  // asks for SSPI, which is not spoken here
    bool changes_password = false, attaches_file = false;
    std::map<std::uint8_t, std::string> features;  // FEATUREEXT, by id
};
// Throws ProtocolError where a field lies outside the message, lies within the fixed part, or two overlap;
// where the version is none of 7.2 to 7.4; and where a text is no UTF-16.
Login read_login(std::string_view payload);
std::string build_login(const Login& login);

}  // namespace sloestack::tds
