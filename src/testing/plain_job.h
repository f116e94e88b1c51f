// A job of one task for tests in which its content does not matter.
#pragma once

#include "lavenderarch/dispatch/job_spec.h"

namespace lavenderarch::testing {

/// A job of queue "q" and service "svc".
inline JobSpec job(const std::string &id)
{
    JobSpec spec;
    spec.id = id;
    spec.queue = "q";
    spec.service = "svc";
    spec.steps.emplace_back();
    return spec;
}

} // namespace lavenderarch::testing
