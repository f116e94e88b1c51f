// Conversion of task names to and from text.
#include "lavenderarch/dispatch/task_name.h"

#include <array>
#include <charconv>

namespace lavenderarch {

std::string TaskName::text() const
{
    return job + "." + std::to_string(occurrence) + "." + std::to_string(step) + "." +
           std::to_string(index);
}

std::optional<TaskName> TaskName::parse(std::string_view text)
{
    std::array<int, 3> numbers{};
    for (auto number = numbers.rbegin(); number != numbers.rend(); ++number) {
        const auto dot = text.rfind('.');
        if (dot == std::string_view::npos)
            return std::nullopt;
        const std::string_view digits = text.substr(dot + 1);
        const char *end = digits.data() + digits.size();
        const auto result = std::from_chars(digits.data(), end, *number);
        if (result.ec != std::errc() || result.ptr != end)
            return std::nullopt;
        text = text.substr(0, dot);
    }
    if (text.empty())
        return std::nullopt;
    return TaskName{std::string(text), numbers[0], numbers[1], numbers[2]};
}

} // namespace lavenderarch
