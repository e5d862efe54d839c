#include "conversation/conversation.h"

#include <xxhash.h>

#include <stdexcept>

namespace sloestack::conversation {

Digest digest_of(std::string_view bytes) {
    const auto hash = XXH3_128bits(bytes.data(), bytes.size());
    return {hash.low64, hash.high64, bytes.size()};
}

const char* to_text(Kind kind) {
    switch (kind) {
        case Kind::served:
            return "served";
        case Kind::empty:
            return "empty";
        case Kind::refused:
            return "refused";
        case Kind::failed:
            return "failed";
        case Kind::called_off:
            return "called off";
        case Kind::none:
            return "none";
    }
    return "";
}

const Language& language(const std::string& name) {
    if (name == "postgres") return postgres();
    if (name == "tds") return tds();
    throw std::invalid_argument("\"" + name + "\" is no dialect; valid are postgres and tds");
}

const char* to_text(Cause cause) {
    switch (cause) {
        case Cause::none:
            return "none";
        case Cause::refused:
            return "refused";
        case Cause::failed:
            return "failed";
        case Cause::retried:
            return "retried";
    }
    return "";
}

// A rejection or failure in either response is a decision of a proxy and is the cause of the difference; a
// missing response or a different value has no such cause.
Verdict compare(const ResponseEvent& before, const ResponseEvent& after) {
    if (before.kind == after.kind && before.digest == after.digest && before.kind != Kind::none) return {};
    // The bytes of an incomplete or canceled response depend on timing, and are not compared.
    if (before.kind == after.kind && (before.kind == Kind::none || before.kind == Kind::called_off))
        return {};
    const auto outcome = [](const ResponseEvent& response) {
        return std::string(to_text(response.kind)) + (response.code.empty() ? "" : " " + response.code);
    };
    if (after.kind == Kind::none) return {false, Cause::none, outcome(before) + " before, no response after"};
    if (before.kind == Kind::none)
        return {false, Cause::none, "no response before, " + outcome(after) + " after"};
    const auto difference = outcome(before) + " before, " + outcome(after) + " after";
    for (const auto& response : {after, before}) {
        if (response.kind == Kind::refused) return {false, Cause::refused, difference};
        if (response.kind == Kind::failed) return {false, Cause::failed, difference};
    }
    if (before.kind != after.kind) return {false, Cause::none, difference};
    return {false, Cause::none,
            "different bytes, " + std::to_string(before.digest.size) + " before and " +
                std::to_string(after.digest.size) + " after"};
}

}  // namespace sloestack::conversation
