// The names by which the operators' JSON calls outcomes and reasons. They are the interface of the operators'
// tools and stay, whatever the enumerators are called.
#pragma once

#include "sloestack/router.h"

namespace sloestack::metrics {

const char* metric_name(decision::Outcome outcome);
const char* metric_name(decision::RejectionReason reason);

}  // namespace sloestack::metrics
