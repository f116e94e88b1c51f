// How commitOnce tells its own write from another writer's.
#pragma once

#include <string>

namespace lavenderarch {

/// How commitOnce tells its own write from another writer's.
/// The row `witnessKey` is written by the transaction with exactly `witnessValue`, which contains
/// an identifier that no other write uses. The transaction must hold a condition on that row, and
/// no other writer may change the row before the deadline: take a row that is written once, such
/// as a manifest version, an audit entry or a job key.
struct CommitMarker
{
    std::string key;
    std::string value;

    friend bool operator==(const CommitMarker &, const CommitMarker &) = default;
};

} // namespace lavenderarch
