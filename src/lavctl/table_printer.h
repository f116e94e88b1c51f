// Formats JSON responses as text tables.
#pragma once

#include "lavenderarch/core/json.h"

#include <string>
#include <vector>

namespace lavenderarch {

/// Formats `response` (an object or an array of objects) as a table with one column per JSON
/// pointer. Fields that an object lacks are shown as "-".
std::string formatTable(const Json &response, const std::vector<std::string> &columns);

} // namespace lavenderarch
