// What an agent says of one run that its minion holds or is about to hold.
#pragma once

#include "lavenderarch/dispatch/run_key.h"

namespace lavenderarch {

/// Written as an array, since one goes out for each run and second.
struct RunReport
{
    RunKey run;
    int progressPercent = 0;
    int pacePercent = 100;
    std::string checkpoint; ///< newest saved progress, empty if none
    bool starting = false;  ///< ordered, but not yet seen in the minion's list
    int load = 0; ///< of a serving task its tail latency in ms, else thousandths of a core in use
    bool undescribed = false; ///< the agent does not know whether the run fills or serves

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
