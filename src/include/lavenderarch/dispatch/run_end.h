// The end of one run, as reported by the minion or its agent.
#pragma once

#include "lavenderarch/core/json_enum.h"
#include "lavenderarch/dispatch/run_key.h"

namespace lavenderarch {

enum class RunOutcome {
    Done,
    Failed,  ///< the task or the minion failed
    Stopped, ///< stopped by an order
    Lapsed,  ///< the lease of the minion expired
    Broken,  ///< another member of the gang ended
    Alone,   ///< the other members of the gang did not start in time
    /// Reported by the agent: the run is not on the minion and cannot start there any more. The
    /// minion confirmed a stop of that run number or refused the start, or it left or its lease
    /// expired.
    Absent
};

/// Reason of an Absent end: the run might not have fitted into the minion's capacity.
inline constexpr const char *noRoomReason = "no room on the minion";

LAVENDER_JSON_ENUM(RunOutcome, {{RunOutcome::Done, "done"},
                                {RunOutcome::Failed, "failed"},
                                {RunOutcome::Stopped, "stopped"},
                                {RunOutcome::Lapsed, "lapsed"},
                                {RunOutcome::Broken, "broken"},
                                {RunOutcome::Alone, "alone"},
                                {RunOutcome::Absent, "absent"}})

/// Value type. `number` orders the ends of one incarnation of the minion, from 1. It is 0 for
/// Absent, which the agent reports instead of the minion.
struct RunEnd
{
    std::int64_t number = 0;
    RunKey run;
    RunOutcome outcome = RunOutcome::Done;
    std::string checkpoint;
    std::string reason; ///< of Absent: why the run is not on the minion

    friend bool operator==(const RunEnd &, const RunEnd &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(RunEnd, number, run, outcome, checkpoint, reason)
};

} // namespace lavenderarch
