// The JSON bodies of the admin server's responses.
#pragma once

#include <string>

namespace sloestack::admin {

// The texts are not escaped: callers must pass texts without characters that JSON escapes.
inline std::string done_json(const std::string& what) { return "{\"done\":\"" + what + "\"}"; }
inline std::string error_json(const std::string& reason) { return "{\"error\":\"" + reason + "\"}"; }

}  // namespace sloestack::admin
