// Formats JSON responses as text tables with aligned columns.
#include "table_printer.h"

#include <algorithm>

namespace lavenderarch {
namespace {

constexpr std::size_t columnGap = 2;

std::string cellText(const Json &row, const std::string &pointer)
{
    const Json::json_pointer path(pointer);
    if (!row.contains(path))
        return "-";
    const Json &value = row.at(path);
    return value.is_string() ? value.get<std::string>() : jsonText(value);
}

std::string columnHeading(const std::string &pointer)
{
    return pointer.substr(pointer.rfind('/') + 1);
}

} // namespace

std::string formatTable(const Json &response, const std::vector<std::string> &columns)
{
    const Json rows = response.is_array() ? response : Json::array({response});
    std::vector<std::vector<std::string>> cells(1);
    for (const std::string &column : columns)
        cells[0].push_back(columnHeading(column));
    for (const Json &row : rows) {
        std::vector<std::string> line;
        line.reserve(columns.size());
        for (const std::string &column : columns)
            line.push_back(cellText(row, column));
        cells.push_back(std::move(line));
    }
    std::vector<std::size_t> widths(columns.size(), 0);
    for (const auto &line : cells) {
        for (std::size_t index = 0; index < line.size(); ++index)
            widths[index] = std::max(widths[index], line[index].size() + columnGap);
    }
    std::string text;
    for (const auto &line : cells) {
        for (std::size_t index = 0; index < line.size(); ++index) {
            const bool last = index + 1 == line.size();
            text +=
                line[index] + (last ? "" : std::string(widths[index] - line[index].size(), ' '));
        }
        text += "\n";
    }
    return text;
}

} // namespace lavenderarch
