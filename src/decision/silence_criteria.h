// When silence is evidence of a failure, of an endpoint or of a whole zone: the times without an answer, each
// over the latency that was expected and summed, and one attempt at least that has waited for long.
#pragma once

#include "sloestack/router.h"

namespace sloestack::decision {

constexpr double kSilenceEvidence = 10;  // summed expected latencies: e^-10 by chance
constexpr double kSilenceLatencyFactor =
    4;                                     // times the expected latency: one attempt has waited that long ...
constexpr Micros kMinSilenceUs = 120'000;  // ... and this

}  // namespace sloestack::decision
