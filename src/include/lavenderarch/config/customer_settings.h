// Settings of a customer (team) in the manifest.
#pragma once

#include "lavenderarch/core/identifiers.h"
#include "lavenderarch/core/json_types.h"

namespace lavenderarch {

/// `maxRunningTasks` is the quota; `share` is the weight when customers compete for VMs.
struct CustomerSettings
{
    CustomerName name;
    int maxRunningTasks = 1000;
    double share = 1;

    friend bool operator==(const CustomerSettings &, const CustomerSettings &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(CustomerSettings, name, maxRunningTasks, share)
};

} // namespace lavenderarch
