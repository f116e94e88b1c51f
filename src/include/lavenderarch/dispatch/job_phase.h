// Phase of a job as reported to callers.
#pragma once

#include "lavenderarch/core/json_enum.h"

namespace lavenderarch {

enum class JobPhase { Queued, Running, Done, Failed, Cancelled };

LAVENDER_JSON_ENUM(JobPhase, {{JobPhase::Queued, "queued"},
                              {JobPhase::Running, "running"},
                              {JobPhase::Done, "done"},
                              {JobPhase::Failed, "failed"},
                              {JobPhase::Cancelled, "cancelled"}})

/// True for a phase that a job never leaves.
constexpr bool isFinal(JobPhase phase)
{
    return phase != JobPhase::Queued && phase != JobPhase::Running;
}

} // namespace lavenderarch
