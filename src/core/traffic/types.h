// The identifier and time types that the decision module shares with the packages around it.
#pragma once

#include "sloestack/router.h"

namespace sloestack::traffic {

using decision::EndpointId;
using decision::Micros;
using decision::RequestId;
using decision::Time;

}  // namespace sloestack::traffic
