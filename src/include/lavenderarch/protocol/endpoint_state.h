// Lifecycle state of an endpoint as its agent announces it.
#pragma once

#include "lavenderarch/core/json_enum.h"

namespace lavenderarch {

/// The order of the values matters: within one incarnation the state only moves forward.
enum class EndpointState { Serving, Draining, Gone };

LAVENDER_JSON_ENUM(EndpointState, {{EndpointState::Serving, "serving"},
                                   {EndpointState::Draining, "draining"},
                                   {EndpointState::Gone, "gone"}})

} // namespace lavenderarch
