// Properties of a job's tasks, as the job declares them.
#pragma once

#include "lavenderarch/core/identifiers.h"
#include "lavenderarch/core/json_types.h"

#include <vector>

namespace lavenderarch {

/// Value type, the same for all tasks of a job. `durationMs` is the declared run time of one task;
/// 0 for a service replica, which runs until it is cancelled. An empty `dataCentres` allows all.
struct TaskSpec
{
    JobKey job;
    CustomerName customer;
    std::string workClass;
    Resources resources;
    std::int64_t durationMs = 0;
    bool service = false;
    bool urgent = false;
    bool checkpointable = false;
    std::int64_t voucherCost = 0; ///< units of one task
    std::vector<DataCentreName> dataCentres;

    friend bool operator==(const TaskSpec &, const TaskSpec &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(TaskSpec, job, customer, workClass, resources, durationMs,
                                   service, urgent, checkpointable, voucherCost, dataCentres)
};

/// Whether the task may run in `dataCentre`.
bool allowsDataCentre(const TaskSpec &spec, const DataCentreName &dataCentre);

} // namespace lavenderarch
