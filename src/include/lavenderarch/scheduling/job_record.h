// An accepted job.
#pragma once

#include "lavenderarch/scheduling/task_spec.h"

namespace lavenderarch {

/// Row `job/<key>`. `submission` is a unique id of the accepted request. `digest` identifies the
/// content: a request with the same key and another digest is refused. `cells`: the cells to which
/// the tasks were first sent.
struct JobRecord
{
    TaskSpec spec;
    std::int64_t tasks = 0;
    std::string digest;
    std::string submission;
    TimePoint acceptedAt;
    std::vector<CellId> cells;
    bool cancelled = false;

    friend bool operator==(const JobRecord &, const JobRecord &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(JobRecord, spec, tasks, digest, submission, acceptedAt, cells,
                                   cancelled)
};

} // namespace lavenderarch
