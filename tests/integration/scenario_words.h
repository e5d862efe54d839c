// Translates the words of scenarios to bytes on the wire, and received messages to words. scenario.h lists
// the words.
#pragma once

#include <optional>
#include <string>

#include "scenario_peer.h"

/// Returns the bytes that `send` writes for a word; std::nullopt if the word is unknown. ScenarioRunner
/// handles `half_close`, `value_bytes` and `list` itself, as they need more than the word.
std::optional<std::string> encode_word(const std::string& word);

/// Returns an HTTP response with this body.
std::string http_response(const std::string& body);

/// Consumes the next message that the actor has received and returns it as a word; std::nullopt if none is
/// complete.
std::optional<std::string> take_word(ScenarioPeer& peer, const std::string& actor);

/// Returns whether a received message, as a word, is what a scenario expects.
bool matches(const std::string& expected, const std::string& received);
