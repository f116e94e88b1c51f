// How one run ended, as the minion lists it.
#pragma once

#include "lavenderarch/dispatch/run_key.h"

namespace lavenderarch {

enum class RunOutcome {
    Done,
    Failed,  ///< by the task's own fault or the minion's
    Stopped, ///< on an order
    Lapsed,  ///< the lease ran out
    Broken,  ///< another member of the gang ended
    Alone,   ///< the other members of the gang did not come in time
    Absent   ///< never ran, and will not: the minion confirmed a stop of that run number
};

NLOHMANN_JSON_SERIALIZE_ENUM(RunOutcome, {{RunOutcome::Done, "done"},
                                          {RunOutcome::Failed, "failed"},
                                          {RunOutcome::Stopped, "stopped"},
                                          {RunOutcome::Lapsed, "lapsed"},
                                          {RunOutcome::Broken, "broken"},
                                          {RunOutcome::Alone, "alone"},
                                          {RunOutcome::Absent, "absent"}})

/// Value type. `number` orders the ends of one life of the minion, from 1; 0 for Absent, which
/// the agent and not the minion reports.
struct RunEnd
{
    std::int64_t number = 0;
    RunKey run;
    RunOutcome outcome = RunOutcome::Done;
    std::string checkpoint;
    std::string reason; ///< of Absent: why the start did not take place

    friend bool operator==(const RunEnd &, const RunEnd &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(RunEnd, number, run, outcome, checkpoint, reason)
};

} // namespace lavenderarch
