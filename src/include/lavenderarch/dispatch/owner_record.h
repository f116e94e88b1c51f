// Content of the row that names the owner of a cell.
#pragma once

#include "lavenderarch/core/json_types.h"

namespace lavenderarch {

/// Value type. Each write of the row has a unique `mark`, by which a writer that got no answer from
/// the store recognises its own write.
struct OwnerRecord
{
    std::string owner;   ///< identifies one lifetime of an entry's process
    std::string address; ///< address for agents, as IP address and port
    std::int64_t epoch = 0;
    std::int64_t sequence = 0; ///< number of writes in this epoch
    std::string mark;
    bool released = false; ///< the owner has stopped, so the cell may be taken over at once
    bool leaving = false;  ///< the owner will release the cell soon; its rows may be read ahead
    /// Processors of the largest VM that has owned the cell, in thousandths of a core.
    std::int64_t largestMilliCores = 0;

    friend bool operator==(const OwnerRecord &, const OwnerRecord &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(OwnerRecord, owner, address, epoch, sequence, mark,
                                                released, leaving, largestMilliCores)
};

} // namespace lavenderarch
