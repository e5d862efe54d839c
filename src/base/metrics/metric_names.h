// The names of outcomes and rejection reasons in the metrics JSON. Operators' tools depend on them: they must
// not change when an enumerator is renamed.
#pragma once

#include "sloestack/router.h"

namespace sloestack::metrics {

const char* metric_name(decision::Outcome outcome);
const char* metric_name(decision::RejectionReason reason);

}  // namespace sloestack::metrics
