// The identifier types of the project.
#pragma once

#include "lavenderarch/core/strong_id.h"

namespace lavenderarch {

using RequestId = StrongId<struct RequestIdTag>;
using EndpointId = StrongId<struct EndpointIdTag>;
using ServiceName = StrongId<struct ServiceNameTag>;
using DataCentreName = StrongId<struct DataCentreNameTag>;
using WorkerId = StrongId<struct WorkerIdTag>;
using CellId = StrongId<struct CellIdTag>;
using JobKey = StrongId<struct JobKeyTag>;
using TaskId = StrongId<struct TaskIdTag>;
using CustomerName = StrongId<struct CustomerNameTag>;
using ProcessId = StrongId<struct ProcessIdTag>;

} // namespace lavenderarch
