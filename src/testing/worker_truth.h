// How tasks really behave on played workers; the scheduler never sees this.
#pragma once

#include "lavenderarch/core/digest.h"
#include "lavenderarch/core/time.h"
#include "lavenderarch/storage/worker_command.h"

#include <cmath>
#include <map>
#include <string>
#include <utility>

namespace lavenderarch {

/// Sizes and run times differ from the declared ones by factors between 1/4 and 4. They are drawn
/// from the class (most of it) and from the task (some of it). `interference` is the slowdown per
/// share of processors of (victim, aggressor); during a wave the aggressors named in it are
/// `waveStrength` times as harmful.
struct WorkerTruth
{
    std::map<std::pair<std::string, std::string>, double> interference;
    std::string waveClass;
    Milliseconds wavePeriod{0}; ///< 0: no waves; the first half of each period is a wave
    double waveStrength = 3;
    Milliseconds loadTime{0}; ///< time after each start in which a task makes no progress

    /// 1/4 to 4.
    double sizeFactor(const WorkerCommand &command) const
    {
        return factor("size/" + command.workClass, command.task.text());
    }
    double timeFactor(const WorkerCommand &command) const
    {
        return factor("time/" + command.workClass, command.task.text());
    }
    double coefficient(const std::string &victim, const std::string &aggressor, TimePoint now) const
    {
        const auto found = interference.find({victim, aggressor});
        if (found == interference.end())
            return 0;
        const bool wave = wavePeriod.count() > 0 && aggressor == waveClass &&
                          toEpochMs(now) % wavePeriod.count() < wavePeriod.count() / 2;
        return found->second * (wave ? waveStrength : 1);
    }

private:
    static double unit(const std::string &text)
    {
        return static_cast<double>(stableHash(text) % 1000) / 999.0;
    }
    static double factor(const std::string &kind, const std::string &task)
    {
        return std::pow(4.0, 1.6 * unit(kind) - 0.8 + 0.4 * unit(task) - 0.2);
    }
};

} // namespace lavenderarch
