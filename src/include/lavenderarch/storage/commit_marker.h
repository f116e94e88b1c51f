// Marker row of a transaction, for commitOnce.
#pragma once

#include <string>

namespace lavenderarch {

/// Row by which commitOnce recognises its own write after a lost response.
/// The transaction writes exactly `value` to the row `key`; the value contains an identifier that
/// no other write uses. The transaction must have a condition on that row, and no other writer may
/// change the row before the deadline: use a row that is written only once, such as a manifest
/// version, an audit record or a job key.
struct CommitMarker
{
    std::string key;
    std::string value;

    friend bool operator==(const CommitMarker &, const CommitMarker &) = default;
};

} // namespace lavenderarch
