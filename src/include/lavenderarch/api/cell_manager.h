// Owns cells in one process: maintains the cell maps, takes over free cells, runs scheduling
// rounds.
#pragma once

#include "lavenderarch/api/cell_manager_dependencies.h"
#include "lavenderarch/api/peer_group.h"
#include "lavenderarch/api/periodic_task.h"
#include "lavenderarch/scheduling/adaptive_policy.h"
#include "lavenderarch/scheduling/cell_map.h"
#include "lavenderarch/scheduling/cell_owner.h"
#include "lavenderarch/storage/http_object_store.h"
#include "lavenderarch/storage/http_table.h"
#include "lavenderarch/storage/http_workers.h"

#include <map>
#include <memory>
#include <mutex>
#include <set>

namespace lavenderarch {

/// Thread-safe. One thread refreshes the cell maps and cell heads; one thread per cell runs its
/// rounds. Lock order: a cell's own mutex before m_mutex.
class CellManager
{
public:
    CellManager(CellManagerDependencies dependencies, ProcessId self, Address address,
                bool ownsCells);
    ~CellManager();
    CellManager(const CellManager &) = delete;
    CellManager &operator=(const CellManager &) = delete;

    /// Stops all threads and releases the ownership of all cells.
    void release();

    /// Heads of all cells as of the last refresh.
    std::vector<CellHead> heads() const;
    /// All workers of the platform as of the last refresh.
    std::vector<WorkerInfo> allWorkers() const;
    void setDataCentresOut(std::set<DataCentreName> names);
    /// Cells that have workers and whose data centre is in service, most free CPU first.
    std::vector<CellHead> openCells() const;
    /// All cells of the deployment according to the cell maps.
    std::vector<CellId> cells() const;

private:
    using Owner = CellOwner<HttpTable, HttpObjectStore, HttpWorkers, AdaptivePolicy>;
    struct Cell
    {
        DataCentreName dataCentre;
        std::mutex mutex;
        std::unique_ptr<Owner> owner; // guarded by mutex
        std::unique_ptr<PeriodicTask> task;
    };

    void refresh();
    void refreshMaps(TimePoint deadline);
    void refreshHeads(TimePoint deadline);
    void startCells();
    void runRound(const CellId &id, Cell &cell);
    CellEnvironment environmentOf(const CellId &id, TimePoint now) const;
    bool mayTakeOver(const CellId &id, TimePoint now) const;

    CellManagerDependencies m_dependencies;
    ProcessId m_self;
    Address m_address;
    bool m_ownsCells;
    mutable std::mutex m_mutex;
    std::vector<WorkerInfo> m_workers;               // guarded by m_mutex
    std::map<DataCentreName, CellMap> m_maps;        // guarded by m_mutex
    std::map<CellId, CellHead> m_heads;              // guarded by m_mutex
    std::set<DataCentreName> m_dataCentresOut;       // guarded by m_mutex
    std::map<CellId, std::unique_ptr<Cell>> m_cells; // used by the refresh thread only
    std::unique_ptr<PeriodicTask> m_refreshTask;
};

} // namespace lavenderarch
