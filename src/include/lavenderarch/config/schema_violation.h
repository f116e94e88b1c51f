// One violation of a JSON schema.
#pragma once

#include <string>

namespace lavenderarch {

/// `pointer` is the JSON pointer of the offending value; `message` says what is wrong with it.
struct SchemaViolation
{
    std::string pointer;
    std::string message;

    friend bool operator==(const SchemaViolation &, const SchemaViolation &) = default;
};

} // namespace lavenderarch
