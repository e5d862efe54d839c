// The JSON bodies of the admin server's responses.
#pragma once

#include <string>

namespace sloestack::admin {

// Neither escapes: the texts are the program's own.
inline std::string done_json(const std::string& what) { return "{\"done\":\"" + what + "\"}"; }
inline std::string error_json(const std::string& reason) { return "{\"error\":\"" + reason + "\"}"; }

}  // namespace sloestack::admin
