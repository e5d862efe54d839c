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
    throw std::invalid_argument("\"" + name + "\" is no dialect; there are postgres and tds");
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

// A refusal or a failure on either side is the word of a proxy; an answer that never came, or another value,
// is nobody's decision.
Verdict compare(const ResponseEvent& before, const ResponseEvent& after) {
    if (before.kind == after.kind && before.digest == after.digest && before.kind != Kind::none) return {};
    // How much of an answer had come when its client called it off is chance.
    if (before.kind == after.kind && (before.kind == Kind::none || before.kind == Kind::called_off))
        return {};
    const auto said = [](const ResponseEvent& a) {
        return std::string(to_text(a.kind)) + (a.code.empty() ? "" : " " + a.code);
    };
    if (after.kind == Kind::none) return {false, Cause::none, said(before) + " before, no answer after"};
    if (before.kind == Kind::none) return {false, Cause::none, "no answer before, " + said(after) + " after"};
    const auto what = said(before) + " before, " + said(after) + " after";
    for (const auto& one : {after, before}) {
        if (one.kind == Kind::refused) return {false, Cause::refused, what};
        if (one.kind == Kind::failed) return {false, Cause::failed, what};
    }
    if (before.kind != after.kind) return {false, Cause::none, what};
    return {false, Cause::none,
            "other bytes, " + std::to_string(before.digest.size) + " before and " +
                std::to_string(after.digest.size) + " after"};
}

}  // namespace sloestack::conversation
