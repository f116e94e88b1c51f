// Keeps the manifest and the states of the data centres of an entry up to date.
#pragma once

#include "lavenderarch/config/data_centre_store.h"
#include "lavenderarch/config/manifest_holder.h"
#include "lavenderarch/config/manifest_store.h"
#include "lavenderarch/storage/http_table.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <set>

namespace lavenderarch {

/// Thread-safe. refresh() reads the table service and, when that fails, calls `askPeers` to ask the
/// other entries. After a pause of the process the last confirmation is too old, and the process
/// must refresh before it serves: see ensureFresh(). Lock order: m_refreshMutex, then m_stateMutex,
/// then the holder's mutex.
class ConfigWatcher
{
public:
    ConfigWatcher(HttpTable &table, ManifestHolder &holder, std::function<void()> askPeers);

    /// Refreshes once; returns whether the table service answered.
    bool refresh();
    /// Refreshes on the calling thread unless the last refresh is recent enough.
    void ensureFresh();
    /// Applies `state` when it is newer than the known one.
    void noteDataCentre(const DataCentreState &state);

    DataCentreStates dataCentres() const;
    /// Names of the data centres that are out of service.
    std::set<DataCentreName> dataCentresOut() const;
    bool storeIsUp() const { return m_storeIsUp.load(); }

private:
    bool readStore();
    bool isFresh() const;

    ManifestStore<HttpTable> m_manifests;
    DataCentreStore<HttpTable> m_dataCentreStore;
    ManifestHolder &m_holder;
    std::function<void()> m_askPeers;
    std::mutex m_refreshMutex;
    mutable std::mutex m_stateMutex;
    DataCentreStates m_dataCentres; // guarded by m_stateMutex; `change` of each only increases
    std::atomic<std::int64_t> m_confirmedAtMs{0};
    std::atomic<bool> m_storeIsUp{false};
};

} // namespace lavenderarch
