// Actual sizes, run times and interference of simulated tasks, unknown to the scheduler.
#pragma once

#include "lavenderarch/core/digest.h"
#include "lavenderarch/core/time.h"
#include "lavenderarch/storage/worker_command.h"

#include <cmath>
#include <map>
#include <string>
#include <utility>

namespace lavenderarch {

/// Actual sizes and run times differ from the declared ones by factors between 1/4 and 4. The
/// factors are hashes of the work class (4 to the power of -0.8 to 0.8) and of the task (4 to the
/// power of -0.2 to 0.2), so they are the same in every run. `interference` maps (victim,
/// aggressor) to the slowdown per share of the processors that the aggressor uses. During a burst,
/// tasks of class `burstClass` interfere `burstFactor` times as much.
struct WorkerGroundTruth
{
    std::map<std::pair<std::string, std::string>, double> interference;
    std::string burstClass;
    Milliseconds burstPeriod{0}; ///< 0: no bursts; a burst lasts the first half of each period
    double burstFactor = 3;
    Milliseconds loadTime{0}; ///< startup time of a task, in which it makes no progress

    /// Actual resource use divided by the declared resources, 1/4 to 4.
    double sizeFactor(const WorkerCommand &command) const
    {
        return factor("size/" + command.workClass, command.task.text());
    }
    /// Actual run time divided by the declared run time, 1/4 to 4.
    double timeFactor(const WorkerCommand &command) const
    {
        return factor("time/" + command.workClass, command.task.text());
    }
    /// Slowdown of `victim` per share of the processors used by `aggressor`; 0 for unknown pairs.
    double coefficient(const std::string &victim, const std::string &aggressor, TimePoint now) const
    {
        const auto found = interference.find({victim, aggressor});
        if (found == interference.end())
            return 0;
        const bool inBurst = burstPeriod.count() > 0 && aggressor == burstClass &&
                             toEpochMs(now) % burstPeriod.count() < burstPeriod.count() / 2;
        return found->second * (inBurst ? burstFactor : 1);
    }

private:
    static double hashToUnitInterval(const std::string &text)
    {
        return static_cast<double>(stableHash(text) % 1000) / 999.0;
    }
    static double factor(const std::string &kind, const std::string &task)
    {
        return std::pow(4.0, 1.6 * hashToUnitInterval(kind) - 0.8 + 0.4 * hashToUnitInterval(task) -
                                 0.2);
    }
};

} // namespace lavenderarch
