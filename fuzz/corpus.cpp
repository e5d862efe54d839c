// Builds the seed corpus of the fuzz targets and runs each target on it and on mutations of it, the same ones
// in each run. CI runs this. With a folder as argument it writes the corpus there instead, one folder a
// target, for libFuzzer.
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

constexpr std::size_t kInputsPerTarget = 4000;  // entries of its corpus and mutations of them

Corpus capture_corpus() {
    Corpus out;
    const auto path = std::filesystem::temp_directory_path() /
                      ("sloestack-corpus-" + std::to_string(std::random_device()()));
    for (int damage = -1; damage <= static_cast<int>(emulator::Damage::vlans); ++damage) {  // -1: undamaged
        emulator::MakeSettings settings;
        settings.length_us = 400'000;
        settings.rate = 60;
        settings.clients = 3;
        if (damage >= 0) settings.damage = {static_cast<emulator::Damage>(damage)};
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

Corpus segments_corpus() {
    Corpus out;
    emulator::Random random(3);
    for (int list = 0; list < 40; ++list) {
        std::string bytes;
        std::uint32_t seq = 0;
        bytes += std::string("\1\2\2\0\0\0\0\0\0\0\0\0", 12) + std::string("\2\1\x12\0\0\0\0\0\0\1\0\0", 12);
        for (int segment = 0; segment < 30; ++segment) {
            const auto length = static_cast<std::uint8_t>(random.between(0, 200));
            const char encoded[] = {1,
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
            bytes.append(encoded, sizeof encoded);
            if (random.next() % 6) seq += length;
        }
        out.push_back(bytes);
    }
    return out;
}

Corpus conversation_corpus() {
    std::string startup, startup_response, query;
    pgwire::Builder(startup).startup_message("portal", "crm");
    pgwire::Builder(startup_response).startup_response();
    pgwire::Builder(query).query(
        "SELECT data FROM facts WHERE code = 'a' /* id=1,c=roster-view,d=600,cluster=0 */");
    const std::pair<int, std::string> messages[] = {
        {0, startup}, {1, startup_response}, {0, query}, {1, emulator::build_row_response("value", false)}};
    Corpus out;
    for (const std::size_t step : {1u, 5u, 50u, 127u}) {
        std::string bytes;
        for (const auto& [side, message] : messages)
            for (std::size_t at = 0; at < message.size(); at += step) {
                const auto chunk = message.substr(at, step);
                bytes += static_cast<char>(chunk.size() << 1 | static_cast<std::size_t>(side));
                bytes += chunk;
            }
        out.push_back(bytes);
    }
    return out;
}

Corpus tds_messages_corpus() {
    const auto packets_of = [](tds::PacketType type, const std::string& payload,
                               std::size_t packet_size = 512) {
        std::string out;
        tds::PacketWriter writer(out);
        writer.set_packet_size(packet_size);
        writer.message(type, payload);
        return out;
    };
    tds::Login login;
    login.user = "portal";
    login.password = "x";
    login.features[1] = "f";
    std::string response;
    tds::Column number, data;
    number.type.id = tds::TypeId::intn;
    number.type.size = 4;
    data.type.id = tds::TypeId::varbinary;
    data.type.size = tds::kMaxLength;
    data.type.max = true;
    tds::TokenBuilder build(response);
    build.login_ack({tds::kVersion74, "s", 1}).env_change({tds::EnvChange::packet_size, "512", "4096"});
    build.columns({number, data}).row();
    tds::put_value(response, number.type, std::string_view("1234"));
    tds::put_chunks(response, std::string(3000, 'v'));
    build.row_with_nulls({true, true}).error({50001, 1, 16, "not now", "", "", 1}).done({});
    return {packets_of(tds::PacketType::prelogin, tds::build_prelogin({})) +
                packets_of(tds::PacketType::login, tds::build_login(login)),
            packets_of(tds::PacketType::batch, tds::build_batch("SELECT 1 /* id=1 */")) +
                packets_of(tds::PacketType::attention, ""),
            packets_of(tds::PacketType::rpc, tds::build_rpc({std::string(5000, 's'), 0, {}})),
            packets_of(tds::PacketType::result, response)};
}

std::string mutated(std::string bytes, emulator::Random& random) {
    for (auto changes = random.between(1, 8); changes > 0 && !bytes.empty(); --changes) {
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
        void (*run)(const std::uint8_t*, std::size_t);
        Corpus corpus;
    };
    const Target targets[] = {{"capture", fuzz::capture, capture_corpus()},
                              {"segments", fuzz::segments, segments_corpus()},
                              {"conversation", fuzz::conversation, conversation_corpus()},
                              {"tds_messages", fuzz::tds_messages, tds_messages_corpus()}};
    emulator::Random random(1);
    std::size_t inputs = 0;
    for (const auto& target : targets) {
        std::size_t number = 0;
        for (const auto& entry : target.corpus) {
            if (argc > 1) {
                const auto folder = std::filesystem::path(argv[1]) / target.name;
                std::filesystem::create_directories(folder);
                std::ofstream(folder / std::to_string(number++), std::ios::binary) << entry;
                continue;
            }
            for (std::size_t round = 0; round <= kInputsPerTarget / target.corpus.size(); ++round) {
                const auto bytes = round == 0 ? entry : mutated(entry, random);
                target.run(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
                ++inputs;
            }
        }
    }
    if (argc == 1) std::printf("%zu inputs run\n", inputs);
    return 0;
}
