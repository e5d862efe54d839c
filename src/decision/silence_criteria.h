// When missing responses count as a failure of an endpoint or of a whole zone. For each attempt, the time
// without a response is divided by the expected latency; the sum of these ratios is the evidence. In addition
// at least one attempt must have waited for long.
#pragma once

#include "sloestack/router.h"

namespace sloestack::decision {

// Sum of expected latencies without a response. If latencies are exponentially distributed, a healthy
// endpoint reaches it with probability e^-10.
constexpr double kSilenceEvidence = 10;
// One attempt must have waited longer than both kMinSilenceUs and this multiple of an expected latency: its
// own for the silence of a zone, the shortest of the attempts in flight for the silence of an endpoint.
constexpr double kSilenceLatencyFactor = 4;
constexpr Micros kMinSilenceUs = 120'000;

}  // namespace sloestack::decision
