// Input of admission control.
#pragma once

#include "lavenderarch/core/identifiers.h"
#include "lavenderarch/core/time.h"

namespace lavenderarch {

/// The properties of a request that admission control uses.
struct AdmissionRequest
{
    RequestId request;
    bool latencyCritical = true;
    TimePoint deadline;

    friend bool operator==(const AdmissionRequest &, const AdmissionRequest &) = default;
};

} // namespace lavenderarch
