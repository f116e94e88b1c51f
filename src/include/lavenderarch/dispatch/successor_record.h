// Content of the row that names the process which is going to take over a cell.
#pragma once

#include "lavenderarch/core/json_types.h"

namespace lavenderarch {

/// Value type. It only says who reads the cell ahead: the owner row alone decides the ownership.
struct SuccessorRecord
{
    std::string process;    ///< identifies one lifetime of an entry's process
    std::int64_t epoch = 0; ///< of the owner that is leaving

    friend bool operator==(const SuccessorRecord &, const SuccessorRecord &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(SuccessorRecord, process, epoch)
};

} // namespace lavenderarch
