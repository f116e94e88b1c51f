// Keys and values of a cell's rows.
#include "lavenderarch/dispatch/cell_tables.h"

#include "lavenderarch/dispatch/job_state_row.h"

namespace lavenderarch::cells {

RowKey jobKey(const std::string &cell, const std::string &job)
{
    return {jobTable, cell, job};
}

RowKey cancelKey(const std::string &cell, const std::string &job)
{
    return {jobTable, cell, cancelPrefix + job};
}

RowKey stateKey(const std::string &cell, const std::string &job)
{
    return {stateTable, cell, job};
}

RowKey progressKey(const std::string &cell, const std::string &job)
{
    return {progressTable, cell, job};
}

RowKey ownerRowKey(const std::string &cell)
{
    return {ownerTable, cell, ownerKey};
}

RowWrite jobWrite(const std::string &cell, const JobSpec &job)
{
    return {jobKey(cell, job.id), Json(job).dump(), false};
}

RowWrite stateWrite(const std::string &cell, const JobSpec &job, JobPhase phase)
{
    const JobStateRow row{job.queue, phase, job.occurrences > 0};
    return {stateKey(cell, job.id), Json(row).dump(), false};
}

RowWrite removal(RowKey key)
{
    return {std::move(key), "", true};
}

} // namespace lavenderarch::cells
