// Whether a data centre accepts work, as set by operators.
#pragma once

#include "lavenderarch/config/change_author.h"
#include "lavenderarch/core/identifiers.h"

namespace lavenderarch {

/// Value of the row `dc/<name>`. `change` counts the changes of this data centre. A data centre
/// without a row accepts work. `rowVersion` is the row's version in the table service, 0 without a
/// row.
struct DataCentreState
{
    DataCentreName name;
    bool out = false;
    std::int64_t change = 0;
    ChangeAuthor author;
    std::int64_t rowVersion = 0;

    friend bool operator==(const DataCentreState &, const DataCentreState &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(DataCentreState, name, out, change, author, rowVersion)
};

} // namespace lavenderarch
