// An agent's decision on whether to send a start to its minion.
#pragma once

#include "lavenderarch/core/resources.h"
#include "lavenderarch/dispatch/minion_incarnation.h"

namespace lavenderarch {

/// Value type. Holds what the decision is based on, for the log.
struct StartDecision
{
    enum class Verdict {
        Send,
        Wait,  ///< it is not known now which incarnation would carry it out
        Refuse ///< the run may not fit
    };

    Verdict verdict = Verdict::Wait;
    std::string reason; ///< of Wait and Refuse
    MinionIncarnation incarnation;
    Resources capacity;  ///< of the incarnation
    Resources committed; ///< demand of the other runs that are or may be on the minion
    Resources demand;    ///< of the run
};

} // namespace lavenderarch
