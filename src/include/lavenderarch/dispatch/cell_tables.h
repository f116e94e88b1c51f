// Table names, keys and row encodings of a cell's stored state.
#pragma once

#include "lavenderarch/dispatch/job_phase.h"
#include "lavenderarch/dispatch/job_spec.h"
#include "lavenderarch/storage/row.h"
#include "lavenderarch/storage/row_write.h"

#include <optional>

namespace lavenderarch::cells {

inline constexpr const char *jobTable = "lav-job";
inline constexpr const char *stateTable = "lav-state";
inline constexpr const char *progressTable = "lav-prog";
inline constexpr const char *modelTable = "lav-model";
inline constexpr const char *tailsKey = "tails";
inline constexpr const char *ownerTable = "lav-owner";
inline constexpr const char *ownerKey = "owner";
inline constexpr const char *successorKey = "successor";

/// Partition that entries write to. It is separate from the cell's own partition, so that the
/// owner's commits never wait behind job acceptances.
std::string inbox(const std::string &cell);

RowKey jobKey(const std::string &cell, const std::string &job);
RowKey cancelKey(const std::string &cell, const std::string &job);
/// The job whose cancellation a row of jobTable requests; nothing for a job's own row.
std::optional<std::string> cancelledJob(const RowKey &key);
/// Key of the state at acceptance, which an entry writes. The owner writes later states under
/// stateKey().
RowKey queuedKey(const std::string &cell, const std::string &job);
RowKey stateKey(const std::string &cell, const std::string &job);
/// The cell of a row of stateTable.
std::string cellOfState(const RowKey &key);
RowKey progressKey(const std::string &cell, const std::string &job);
RowKey ownerRowKey(const std::string &cell);
RowKey successorRowKey(const std::string &cell);

RowWrite jobWrite(const std::string &cell, const JobSpec &job);
/// Replaces the specification of a settled job, whose row stays so that a repeated submission finds
/// the job.
RowWrite settledJobWrite(const std::string &cell, const std::string &job);
bool isSettledJob(const Row &row);
RowWrite queuedWrite(const std::string &cell, const JobSpec &job);
RowWrite stateWrite(const std::string &cell, const JobSpec &job, JobPhase phase);
RowWrite removal(RowKey key);

} // namespace lavenderarch::cells
