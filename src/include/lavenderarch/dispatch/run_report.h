// An agent's report on one run that its minion executes or is about to start.
#pragma once

#include "lavenderarch/dispatch/run_key.h"

namespace lavenderarch {

/// Encoded as a JSON array to keep messages small: one report is sent per run and second.
struct RunReport
{
    RunKey run;
    int progressPercent = 0;
    int pacePercent = 100;
    std::string checkpoint;   ///< newest checkpoint; empty if none
    bool starting = false;    ///< start ordered, but not yet in the minion's list
    int load = 0;             ///< tail latency in ms of a serving task, else millicores in use
    bool undescribed = false; ///< the agent does not know whether the run is best-effort or serving

    friend bool operator==(const RunReport &, const RunReport &) = default;
    friend void to_json(Json &out, const RunReport &report)
    {
        out = Json::array({report.run.task, report.run.number, report.progressPercent,
                           report.pacePercent, report.checkpoint, report.starting,
                           report.undescribed, report.load});
    }
    friend void from_json(const Json &in, RunReport &report)
    {
        report.run = {in.at(0).get<std::string>(), in.at(1).get<int>()};
        report.progressPercent = in.at(2).get<int>();
        report.pacePercent = in.at(3).get<int>();
        report.checkpoint = in.at(4).get<std::string>();
        report.starting = in.at(5).get<bool>();
        report.undescribed = in.at(6).get<bool>();
        report.load = in.at(7).get<int>();
    }
};

} // namespace lavenderarch
