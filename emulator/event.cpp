#include "emulator/event.h"

#include <stdexcept>

namespace emulator {

NLOHMANN_JSON_SERIALIZE_ENUM(What, {{What::fault, "fault"},
                                    {What::asked, "asked"},
                                    {What::answered, "answered"},
                                    {What::left, "left"},
                                    {What::arrived, "arrived"},
                                    {What::ran, "ran"},
                                    {What::repeated, "repeated"},
                                    {What::turned, "turned"},
                                    {What::linked, "linked"},
                                    {What::probed, "probed"},
                                    {What::called, "called"},
                                    {What::drain, "drain"},
                                    {What::back, "back"},
                                    {What::fell, "fell"},
                                    {What::process, "process"},
                                    {What::busy, "busy"}})

std::string to_line(const Event& e) {
    nlohmann::json out = {{"at", e.at}, {"what", e.what}};
    const auto put_number = [&](const char* name, std::int64_t value, std::int64_t default_value) {
        if (value != default_value) out[name] = value;
    };
    const auto put_text = [&](const char* name, const std::string& value) {
        if (!value.empty()) out[name] = value;
    };
    put_number("proxy", e.proxy, -1);
    put_number("member", e.member, -1);
    put_number("class", e.request_class, -1);
    put_number("since", e.since, 0);
    put_number("until", e.until, 0);
    put_number("position", e.position, 0);
    put_text("id", e.id);
    put_text("key", e.key);
    put_text("word", e.word);
    if (e.value) out["value"] = e.value;
    if (e.last) out["last"] = true;
    if (e.deposed) out["deposed"] = true;
    return out.dump();
}

Event from_line(const std::string& line) {
    const auto json = nlohmann::json::parse(line, nullptr, false);
    if (!json.is_object() || !json.contains("at") || !json.contains("what"))
        throw std::invalid_argument("not an event: " + line);
    try {
        Event e;
        e.what = json["what"].get<What>();
        if (e.what == What::fault && json["what"] != "fault")
            throw std::invalid_argument("not an event: " + line);
        e.at = json["at"].get<Time>();
        e.proxy = json.value("proxy", -1);
        e.member = json.value("member", -1);
        e.request_class = json.value("class", -1);
        e.since = json.value("since", Time{0});
        e.until = json.value("until", Time{0});
        e.position = json.value("position", Time{0});
        e.id = json.value("id", "");
        e.key = json.value("key", "");
        e.word = json.value("word", "");
        e.value = json.value("value", std::uint64_t{0});
        e.last = json.value("last", false);
        e.deposed = json.value("deposed", false);
        return e;
    } catch (const nlohmann::json::exception& error) {
        throw std::invalid_argument(error.what());
    }
}

}  // namespace emulator
