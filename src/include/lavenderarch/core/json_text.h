// Writes parts of a JSON text without building a Json value first.
#pragma once

#include <string>
#include <string_view>

namespace lavenderarch {

/// Appends `text` as a JSON string. Bytes that are not UTF-8 become replacement characters.
void appendQuoted(std::string &out, std::string_view text);

} // namespace lavenderarch
