// The name of one task of a job.
#pragma once

#include <compare>
#include <optional>
#include <string>
#include <string_view>

namespace lavenderarch {

/// Value type. Its text form is JOB.OCCURRENCE.STEP.INDEX.
struct TaskName
{
    std::string job;
    int occurrence = 0;
    int step = 0;
    int index = 0;

    std::string text() const;
    /// Returns nullopt when `text` is not a task name. The job part may contain dots.
    static std::optional<TaskName> parse(std::string_view text);

    friend auto operator<=>(const TaskName &, const TaskName &) = default;
};

} // namespace lavenderarch
