// A request as admission sees it.
#pragma once

#include "lavenderarch/core/identifiers.h"
#include "lavenderarch/core/time.h"

namespace lavenderarch {

/// A request as admission sees it.
struct AdmissionRequest
{
    RequestId request;
    bool latencyCritical = true;
    TimePoint deadline;

    friend bool operator==(const AdmissionRequest &, const AdmissionRequest &) = default;
};

} // namespace lavenderarch
