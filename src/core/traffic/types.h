// The identifiers and times that the packages round the decision module share with it.
#pragma once

#include "sloestack/router.h"

namespace sloestack::traffic {

using decision::EndpointId;
using decision::Micros;
using decision::RequestId;
using decision::Time;

}  // namespace sloestack::traffic
