// The words of a scenario as bytes on the wire, and what has arrived as words. scenario.h lists them.
#pragma once

#include <optional>
#include <string>

#include "scenario_peer.h"

/// The bytes that `send` puts on the wire for a word; nothing for a word that is unknown here. The words
/// `half`, `some` and `list` are the runner's, as they need more than the word.
std::optional<std::string> encode_word(const std::string& word);

/// An HTTP response with this body.
std::string http_response(const std::string& body);

/// Takes the next message that has arrived for the actor, as a word; nothing while it is incomplete.
std::optional<std::string> take_word(ScenarioPeer& peer, const std::string& actor);

/// Whether a word that has arrived is what a scenario expects.
bool matches(const std::string& expected, const std::string& arrived);
