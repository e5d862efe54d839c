#include "emulator/script.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <stdexcept>

#include "emulator/values.h"

namespace emulator {
namespace {

constexpr std::pair<const char*, Trouble> kNames[] = {
    {"crash", Trouble::crash},     {"stall", Trouble::stall},     {"silent", Trouble::silent},
    {"drain", Trouble::drain},     {"slow", Trouble::slow},       {"spoil", Trouble::spoil},
    {"restart", Trouble::restart}, {"replace", Trouble::replace}, {"lost", Trouble::lost}};
constexpr double kMaxSeconds = 86'400;

bool concerns_endpoint(Trouble t) { return t != Trouble::restart && t != Trouble::lost; }

std::int64_t parse_seconds_us(const std::string& text, const std::string& fault) {
    double seconds = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (error != std::errc() || end != text.data() + text.size() || !(seconds >= 0 && seconds <= kMaxSeconds))
        throw std::invalid_argument("\"" + fault + "\": \"" + text +
                                    "\" is not a number of seconds from 0 to 86400");
    return static_cast<std::int64_t>(seconds * 1e6);
}

int parse_number(const std::string& text, int max, const std::string& fault, const char* what) {
    int out = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
    if (error != std::errc() || end != text.data() + text.size() || out < 1 || out > max)
        throw std::invalid_argument("\"" + fault + "\": \"" + text + "\" is not the number of " + what);
    return out - 1;
}

Fault parse_fault(const std::string& text, int banks, int members) {
    const auto at = text.find('@');
    const auto name = text.substr(0, at);
    const auto* found =
        std::find_if(std::begin(kNames), std::end(kNames), [&](auto& n) { return name == n.first; });
    if (found == std::end(kNames))
        throw std::invalid_argument(
            "\"" + text +
            "\": the trouble must be crash, stall, silent, drain, slow, spoil, replace, restart or lost");
    if (at == std::string::npos)
        throw std::invalid_argument("\"" + text + "\": the start time is missing, as in stall@5:m1.1/1");
    Fault out;
    out.trouble = found->second;
    auto rest = text.substr(at + 1);
    const auto slash = rest.find('/');
    if (slash == std::string::npos)
        throw std::invalid_argument("\"" + text + "\": the duration is missing, as in stall@5:m1.1/1");
    out.for_us = parse_seconds_us(rest.substr(slash + 1), text);
    rest.resize(slash);
    const auto colon = rest.find(":m");
    out.at_us = parse_seconds_us(rest.substr(0, colon), text);
    if (concerns_endpoint(out.trouble) != (colon != std::string::npos))
        throw std::invalid_argument("\"" + text + "\": " +
                                    (concerns_endpoint(out.trouble) ? "the endpoint is missing, as in :m1.2"
                                                                    : "this trouble takes no endpoint"));
    out.bank = out.member = -1;
    if (colon == std::string::npos) return out;
    const auto endpoint = rest.substr(colon + 2);
    const auto dot = endpoint.find('.');
    out.bank = parse_number(endpoint.substr(0, dot), banks, text, "a replica group");
    out.member =
        parse_number(dot == std::string::npos ? "" : endpoint.substr(dot + 1), members, text, "an endpoint");
    return out;
}

}  // namespace

std::vector<Fault> parse_script(const std::string& text, int banks, int members) {
    std::vector<Fault> out;
    for (std::size_t from = 0; from < text.size();) {
        const auto comma = std::min(text.find(',', from), text.size());
        out.push_back(parse_fault(text.substr(from, comma - from), banks, members));
        from = comma + 1;
    }
    std::stable_sort(out.begin(), out.end(), [](auto& a, auto& b) { return a.at_us < b.at_us; });
    return out;
}

std::vector<Fault> draw_script(std::uint64_t seed, int count, std::int64_t length_us, int banks,
                               int members) {
    Random random(seed);
    std::vector<Fault> out;
    constexpr Trouble troubles[] = {Trouble::crash, Trouble::stall,  Trouble::drain,
                                    Trouble::slow,  Trouble::silent, Trouble::spoil};
    for (int i = 0; i < count; ++i) {
        Fault f;
        f.trouble = troubles[random.next() % std::size(troubles)];
        f.at_us = random.between(length_us / 10, length_us * 8 / 10);
        f.for_us = f.trouble == Trouble::stall ? random.between(60'000, 160'000)
                                               : random.between(length_us / 20, length_us / 5);
        f.bank = static_cast<int>(random.between(0, banks - 1));
        f.member = static_cast<int>(random.between(0, members - 1));
        out.push_back(f);
    }
    std::stable_sort(out.begin(), out.end(), [](auto& a, auto& b) { return a.at_us < b.at_us; });
    return out;
}

std::string to_text(const Fault& f) {
    const auto* name =
        std::find_if(std::begin(kNames), std::end(kNames), [&](auto& n) { return f.trouble == n.second; });
    char text[96];
    if (f.member < 0)
        std::snprintf(text, sizeof text, "%s@%g/%g", name->first, static_cast<double>(f.at_us) / 1e6,
                      static_cast<double>(f.for_us) / 1e6);
    else
        std::snprintf(text, sizeof text, "%s@%g:m%d.%d/%g", name->first, static_cast<double>(f.at_us) / 1e6,
                      f.bank + 1, f.member + 1, static_cast<double>(f.for_us) / 1e6);
    return text;
}

}  // namespace emulator
