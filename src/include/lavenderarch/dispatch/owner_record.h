// The row that says who owns a cell.
#pragma once

#include "lavenderarch/core/json_types.h"

namespace lavenderarch {

/// Value type. Each write of the row has a `mark` of its own, by which a writer whose answer was
/// lost recognises its write.
struct OwnerRecord
{
    std::string owner;   ///< one lifetime of an entry's process
    std::string address; ///< where agents reach it, as IP number and port
    std::int64_t epoch = 0;
    std::int64_t sequence = 0; ///< writes in this epoch
    std::string mark;
    bool released = false; ///< the owner has stopped: the cell may be taken over at once

    friend bool operator==(const OwnerRecord &, const OwnerRecord &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(OwnerRecord, owner, address, epoch, sequence, mark,
                                                released)
};

} // namespace lavenderarch
