// A job as a customer submits it.
#pragma once

#include "lavenderarch/scheduling/task_spec.h"

namespace lavenderarch {

/// Value type. `digest` identifies the content. It distinguishes a repeated submission from a
/// different job with the same key.
struct JobSubmission
{
    TaskSpec spec;
    std::int64_t tasks = 1;
    std::string digest;

    /// Parses `text` and validates it against the job schema; the error lists every violation.
    static StatusOr<JobSubmission> parse(const std::string &text);

    friend bool operator==(const JobSubmission &, const JobSubmission &) = default;
};

} // namespace lavenderarch
