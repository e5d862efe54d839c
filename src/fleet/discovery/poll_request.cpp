#include "discovery/poll_request.h"

namespace sloestack::discovery {
namespace {

constexpr const char* kPath = "/registry/instances";
constexpr decision::Micros kMicrosPerMs = 1'000;

std::string get_request(const std::string& host, const std::string& target) {
    return "GET " + target + " HTTP/1.1\r\nHost: " + host + "\r\nAccept: application/json\r\n\r\n";
}

}  // namespace

std::string complete_list_request(const std::string& host) { return get_request(host, kPath); }

std::string changes_request(const std::string& host, std::int64_t revision, decision::Micros hold_us) {
    const auto hold_ms = hold_us / kMicrosPerMs;
    return get_request(host, std::string(kPath) + "?after=" + std::to_string(revision) +
                                 "&wait_ms=" + std::to_string(hold_ms));
}

}  // namespace sloestack::discovery
