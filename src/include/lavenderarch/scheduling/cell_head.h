// The head row of a cell: its owner and the extent of its log.
#pragma once

#include "lavenderarch/core/identifiers.h"
#include "lavenderarch/core/json_types.h"

namespace lavenderarch {

/// Row `cell/<id>/head`. Every commit of an owner replaces the row under a condition on its
/// version, so a former owner cannot commit. `epoch` increases with each change of owner. Leases on
/// workers end at `horizon` at the latest. `writeId` is new in each commit; when a commit gets no
/// response, it tells a lost response from a lost request.
struct CellHead
{
    CellId cell;
    DataCentreName dataCentre;
    std::int64_t epoch = 0;
    ProcessId owner;
    TimePoint ownerLease; ///< another process may take the cell over after this time
    TimePoint horizon;
    std::int64_t sequence = 0;         ///< number of the newest log row
    std::int64_t snapshotSequence = 0; ///< log rows up to this one are in the snapshot
    std::string writeId;
    int workers = 0;
    int running = 0;
    int queued = 0;
    std::int64_t freeMilliCores = 0;

    friend bool operator==(const CellHead &, const CellHead &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(CellHead, cell, dataCentre, epoch, owner, ownerLease, horizon,
                                   sequence, snapshotSequence, writeId, workers, running, queued,
                                   freeMilliCores)
};

} // namespace lavenderarch
