#include "standin/checker.h"

#include <algorithm>

#include "standin/values.h"

namespace standin {
namespace {

constexpr std::size_t kMostSentences = 100;  // a program that breaks one rule breaks it often

}  // namespace

void Checker::breaks(const std::string& what) {
    broken_.size() < kMostSentences ? broken_.push_back(what) : void(++untold_);
}

void Checker::arrived(int member, const std::string& id, Time first_byte) {
    const auto drains = drains_.find(member);
    if (drains != drains_.end() && first_byte > drains->second + rules_.drain_grace)
        breaks("request " + id + " was sent to member " + std::to_string(member) + " " +
               std::to_string((first_byte - drains->second) / 1000) + " ms after its drain was told");
}

void Checker::executed(const Executed& e) {
    e.ran ? ++ran_ : ++repeats_;
    auto& values = values_[e.id];
    // Reads of one request give one value however often they run.
    if (std::find(values.begin(), values.end(), e.value) == values.end()) values.push_back(e.value);
    if (e.ran && !e.key.empty() && ++keys_[e.key] == 2)
        breaks("the write with key " + e.key + " ran twice, the second time as request " + e.id);
    const auto bound = kClasses[e.klass].bound_us;
    // A bound is counted from the last byte of the send.
    if (bound > 0 && !e.deposed && e.position + bound + rules_.slack < e.last_byte)
        breaks("request " + e.id + " was answered from data " +
               std::to_string((e.last_byte - e.position) / 1000) + " ms old by member " +
               std::to_string(e.member));
}

void Checker::told_drain(int member, Time at) { drains_.emplace(member, at); }
void Checker::told_back(int member) { drains_.erase(member); }

void Checker::asked(const std::string& id) { ++clients_[id].asked; }

void Checker::answered(const std::string& id, bool served, std::uint64_t value) {
    auto& client = clients_[id];
    if (++client.answers > std::max(1, client.asked)) breaks("request " + id + " was answered twice");
    if (!served) return;
    const auto made = values_.find(id);
    if (made == values_.end() ||
        std::find(made->second.begin(), made->second.end(), value) == made->second.end())
        breaks("request " + id + " was answered with a value that no member made for it");
}

std::vector<std::string> Checker::broken() const {
    auto out = broken_;
    std::uint64_t more = untold_, never = 0;
    for (const auto& [id, client] : clients_)
        if (client.answers < client.asked) {
            ++never;
            out.size() < kMostSentences ? out.push_back("request " + id + " was never answered")
                                        : void(++more);
        }
    if (more) out.push_back(std::to_string(more) + " more");
    return out;
}

}  // namespace standin
