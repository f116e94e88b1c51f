// Keys and values of a cell's rows.
#include "lavenderarch/dispatch/cell_tables.h"

#include "lavenderarch/dispatch/job_state_row.h"

namespace lavenderarch::cells {
namespace {

/// Key prefix of the jobTable rows that request a job's cancellation.
const std::string cancelPrefix = "cancel/";
/// Value of the job row of a settled job.
const std::string settledValue = "{}";

} // namespace

std::string inbox(const std::string &cell)
{
    return cell + "-in";
}

RowKey jobKey(const std::string &cell, const std::string &job)
{
    return {jobTable, inbox(cell), job};
}

RowKey cancelKey(const std::string &cell, const std::string &job)
{
    return {jobTable, inbox(cell), cancelPrefix + job};
}

std::optional<std::string> cancelledJob(const RowKey &key)
{
    if (key.key.rfind(cancelPrefix, 0) != 0)
        return std::nullopt;
    return key.key.substr(cancelPrefix.size());
}

RowKey queuedKey(const std::string &cell, const std::string &job)
{
    return {stateTable, inbox(cell), job};
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

RowKey successorRowKey(const std::string &cell)
{
    return {ownerTable, cell, successorKey};
}

RowWrite jobWrite(const std::string &cell, const JobSpec &job)
{
    return {jobKey(cell, job.id), jsonText(job), false};
}

RowWrite settledJobWrite(const std::string &cell, const std::string &job)
{
    return {jobKey(cell, job), settledValue, false};
}

bool isSettledJob(const Row &row)
{
    return row.value == settledValue;
}

RowWrite queuedWrite(const std::string &cell, const JobSpec &job)
{
    const JobStateRow row{job.queue, JobPhase::Queued, job.occurrences > 0,
                          estimatedMemoryKib(job)};
    return {queuedKey(cell, job.id), jsonText(row), false};
}

RowWrite stateWrite(const std::string &cell, const JobSpec &job, JobPhase phase)
{
    const JobStateRow row{job.queue, phase, job.occurrences > 0,
                          isFinal(phase) ? 0 : estimatedMemoryKib(job)};
    return {stateKey(cell, job.id), jsonText(row), false};
}

std::string cellOfState(const RowKey &key)
{
    const std::string suffix = inbox("");
    const bool accepted = key.partition.ends_with(suffix);
    return key.partition.substr(0, key.partition.size() - (accepted ? suffix.size() : 0));
}

RowWrite removal(RowKey key)
{
    return {std::move(key), "", true};
}

} // namespace lavenderarch::cells
