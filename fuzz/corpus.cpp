// Makes the corpus of the targets and plays it, with mutations that are the same each time: what CI runs.
// With a folder's name the corpus is written there, one folder a target, for a fuzzer to begin with.
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <string>
#include <vector>

#include "emulator/make.h"
#include "emulator/values.h"
#include "pgwire/build.h"
#include "targets.h"
#include "tds/login.h"
#include "tds/request.h"
#include "tds/token.h"

namespace {

using namespace sloestack;
using Corpus = std::vector<std::string>;

constexpr std::size_t kPlayed = 4000;  // inputs a target, its corpus and mutations of it

Corpus captures() {
    Corpus out;
    const auto path = std::filesystem::temp_directory_path() /
                      ("sloestack-corpus-" + std::to_string(std::random_device()()));
    for (int d = -1; d <= static_cast<int>(emulator::Damage::vlans); ++d) {
        emulator::MakeSettings settings;
        settings.length_us = 400'000;
        settings.rate = 60;
        settings.clients = 3;
        if (d >= 0) settings.damage = {static_cast<emulator::Damage>(d)};
        {
            pcap::File file(path.string());
            emulator::make(settings, file);
            file.close();
        }
        std::ifstream in(path, std::ios::binary);
        out.emplace_back(std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>());
    }
    std::filesystem::remove(path);
    return out;
}

Corpus segment_lists() {
    Corpus out;
    emulator::Random random(3);
    for (int i = 0; i < 40; ++i) {
        std::string bytes;
        std::uint32_t seq = 0;
        bytes += std::string("\1\2\2\0\0\0\0\0\0\0\0\0", 12) + std::string("\2\1\x12\0\0\0\0\0\0\1\0\0", 12);
        for (int k = 0; k < 30; ++k) {
            const auto length = static_cast<std::uint8_t>(random.between(0, 200));
            const char s[] = {1,
                              2,
                              static_cast<char>(random.next() % 40 ? 16 : 17),
                              0,
                              0,
                              0,
                              static_cast<char>((seq + 1) >> 8),
                              static_cast<char>(seq + 1),
                              0,
                              1,
                              static_cast<char>(length),
                              static_cast<char>(length)};
            bytes.append(s, sizeof s);
            if (random.next() % 6) seq += length;
        }
        out.push_back(bytes);
    }
    return out;
}

Corpus talks() {
    std::string up, greeting, query;
    pgwire::Builder(up).startup_message("portal", "crm");
    pgwire::Builder(greeting).startup_response();
    pgwire::Builder(query).query(
        "SELECT data FROM facts WHERE code = 'a' /* id=1,c=roster-view,d=600,cluster=0 */");
    const std::pair<int, std::string> parts[] = {
        {0, up}, {1, greeting}, {0, query}, {1, emulator::answer_of("value", false)}};
    Corpus out;
    for (const std::size_t step : {1u, 5u, 50u, 127u}) {
        std::string bytes;
        for (const auto& [side, part] : parts)
            for (std::size_t at = 0; at < part.size(); at += step) {
                const auto piece = part.substr(at, step);
                bytes += static_cast<char>(piece.size() << 1 | static_cast<std::size_t>(side));
                bytes += piece;
            }
        out.push_back(bytes);
    }
    return out;
}

Corpus tds_sessions() {
    const auto as = [](tds::PacketType type, const std::string& payload, std::size_t packet = 512) {
        std::string out;
        tds::PacketWriter writer(out);
        writer.set_packet_size(packet);
        writer.message(type, payload);
        return out;
    };
    tds::Login login;
    login.user = "portal";
    login.password = "x";
    login.features[1] = "f";
    std::string answer;
    tds::Column number, data;
    number.type.id = tds::TypeId::intn;
    number.type.size = 4;
    data.type.id = tds::TypeId::varbinary;
    data.type.size = tds::kMaxLength;
    data.type.max = true;
    tds::TokenBuilder build(answer);
    build.login_ack({tds::kVersion74, "s", 1}).env_change({tds::EnvChange::packet_size, "512", "4096"});
    build.columns({number, data}).row();
    tds::put_value(answer, number.type, std::string_view("1234"));
    tds::put_chunks(answer, std::string(3000, 'v'));
    build.row_with_nulls({true, true}).error({50001, 1, 16, "not now", "", "", 1}).done({});
    return {as(tds::PacketType::prelogin, tds::build_prelogin({})) +
                as(tds::PacketType::login, tds::build_login(login)),
            as(tds::PacketType::batch, tds::build_batch("SELECT 1 /* id=1 */")) +
                as(tds::PacketType::attention, ""),
            as(tds::PacketType::rpc, tds::build_rpc({std::string(5000, 's'), 0, {}})),
            as(tds::PacketType::result, answer)};
}

std::string mutated(std::string bytes, emulator::Random& random) {
    for (auto n = random.between(1, 8); n > 0 && !bytes.empty(); --n) {
        const auto at = random.next() % bytes.size();
        switch (random.next() % 4) {
            case 0:
                bytes[at] = static_cast<char>(random.next());
                break;
            case 1:
                bytes.erase(at, random.next() % 40);
                break;
            case 2:
                bytes.insert(at, bytes.substr(random.next() % bytes.size(), random.next() % 80));
                break;
            default:
                bytes[at] = static_cast<char>(random.next() % 2 ? 0xff : 0);
        }
    }
    return bytes;
}

}  // namespace

int main(int argc, char** argv) {
    struct Target {
        const char* name;
        void (*play)(const std::uint8_t*, std::size_t);
        Corpus corpus;
    };
    const Target targets[] = {{"capture", fuzz::capture, captures()},
                              {"segments", fuzz::segments, segment_lists()},
                              {"conversation", fuzz::conversation, talks()},
                              {"tds_messages", fuzz::tds_messages, tds_sessions()}};
    emulator::Random random(1);
    std::size_t played = 0;
    for (const auto& t : targets) {
        std::size_t number = 0;
        for (const auto& entry : t.corpus) {
            if (argc > 1) {
                const auto folder = std::filesystem::path(argv[1]) / t.name;
                std::filesystem::create_directories(folder);
                std::ofstream(folder / std::to_string(number++), std::ios::binary) << entry;
                continue;
            }
            for (std::size_t i = 0; i <= kPlayed / t.corpus.size(); ++i) {
                const auto bytes = i == 0 ? entry : mutated(entry, random);
                t.play(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
                ++played;
            }
        }
    }
    if (argc == 1) std::printf("%zu inputs played\n", played);
    return 0;
}
