// JSON strings: most need no escaping and are copied as they are.
#include "lavenderarch/core/json_text.h"

#include "lavenderarch/core/json.h"

#include <algorithm>

namespace lavenderarch {

void appendQuoted(std::string &out, std::string_view text)
{
    const bool plain = std::all_of(text.begin(), text.end(), [](char letter) {
        return letter >= ' ' && letter <= '~' && letter != '"' && letter != '\\';
    });
    if (plain)
        out.append("\"").append(text).append("\"");
    else
        out += jsonText(text);
}

} // namespace lavenderarch
