// PRELOGIN and LOGIN7, the first messages of a client session. Source: MS-TDS 2.2.6.4 and 2.2.6.5.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "tds/packet.h"

namespace sloestack::tds {

// Values of the TDSVersion field of LOGIN7.
constexpr std::uint32_t kVersion72 = 0x72090002, kVersion73a = 0x730a0003, kVersion73b = 0x730b0003,
                        kVersion74 = 0x74000004;

enum class Encryption : std::uint8_t { off = 0, on = 1, not_supported = 2, required = 3 };

struct Prelogin {
    std::uint32_t version = 0;  // of the sender's product: major, minor, build
    Encryption encryption = Encryption::off;
    bool mars = false;  // several requests at once on one connection, which is not supported
    std::string instance;
    // Tokens of the options that are not parsed; a receiver ignores options it does not know.
    std::vector<std::uint8_t> unknown_options;
};
// Throws ProtocolError if an option lies outside the message or has a wrong size, or the list has no
// terminator.
Prelogin read_prelogin(std::string_view payload);
std::string build_prelogin(const Prelogin& prelogin);

struct Login {
    std::uint32_t version = kVersion74;
    std::size_t packet_size = kDefaultPacketBytes;
    std::string host, user, app, server, library, language, database;
    // Must be discarded as soon as it is not needed and must never appear in a message or a log line.
    std::string password;
    bool integrated = false;  // the client requests SSPI authentication, which is not supported
    bool changes_password = false, attaches_file = false;
    std::map<std::uint8_t, std::string> features;  // FEATUREEXT: data by feature ID
};
// Throws ProtocolError if a field lies outside the message or in its fixed part, if two fields overlap, if
// the version is not one of 7.2 to 7.4, and if a text is not valid UTF-16.
Login read_login(std::string_view payload);
std::string build_login(const Login& login);

}  // namespace sloestack::tds
