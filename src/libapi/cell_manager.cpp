// Refreshes cell maps and heads, decides about takeovers and runs the rounds of the cells.
#include "lavenderarch/api/cell_manager.h"

#include "lavenderarch/core/clock.h"
#include "lavenderarch/core/digest.h"
#include "lavenderarch/storage/parse_row.h"
#include "lavenderarch/telemetry/log.h"
#include "lavenderarch/telemetry/metrics.h"

#include <algorithm>

namespace lavenderarch {
namespace {

constexpr Milliseconds refreshInterval{1000};
constexpr Milliseconds roundInterval{400};
constexpr Milliseconds refreshTimeout{1500};
/// Additional wait of each further entry in rendezvous order before it may take over a free cell.
constexpr Milliseconds takeoverStagger{1500};

} // namespace

CellManager::CellManager(CellManagerDependencies dependencies, ProcessId self, Address address,
                         bool ownsCells)
    : m_dependencies(dependencies)
    , m_self(std::move(self))
    , m_address(std::move(address))
    , m_ownsCells(ownsCells)
{
    m_refreshTask = std::make_unique<PeriodicTask>(refreshInterval, [this] { refresh(); });
}

CellManager::~CellManager()
{
    m_refreshTask.reset();
    for (auto &[id, cell] : m_cells)
        cell->task.reset();
}

void CellManager::release()
{
    m_refreshTask.reset();
    for (auto &[id, cell] : m_cells) {
        cell->task.reset();
        const std::scoped_lock lock(cell->mutex);
        cell->owner->release(SystemClock().now());
    }
}

void CellManager::refresh()
{
    const TimePoint deadline = SystemClock().now() + refreshTimeout;
    refreshMaps(deadline);
    refreshHeads(deadline);
    if (m_ownsCells)
        startCells();
}

/// Lists the workers and updates the cell map of each data centre.
void CellManager::refreshMaps(TimePoint deadline)
{
    const auto listed = m_dependencies.workers.list(deadline);
    if (!listed.ok())
        return;
    const auto manifest = m_dependencies.manifest.current();
    for (const DataCentreSettings &centre : manifest->dataCentres()) {
        std::vector<WorkerInfo> members;
        std::copy_if(listed->begin(), listed->end(), std::back_inserter(members),
                     [&](const WorkerInfo &worker) { return worker.dataCentre == centre.name; });
        const std::string key = cellMapPrefix + centre.name.text();
        const auto row = m_dependencies.table.read(key, deadline);
        if (!row.ok())
            return;
        CellMap map;
        map.dataCentre = centre.name;
        if (row->version != 0) {
            const auto stored = parseRow<CellMap>(*row);
            if (!stored.ok()) {
                logFailure("cells", "cannot parse the cell map", stored.status());
                continue;
            }
            map = *stored;
        }
        const CellMap adjusted = adjustCellMap(map, members);
        if (adjusted != map) {
            const auto result = m_dependencies.table.commit(
                {{{key, row->version}}, {{key, jsonText(adjusted)}}}, deadline);
            if (!result.ok() || !result->committed)
                continue; // the next refresh reads the row again
        }
        const std::scoped_lock lock(m_mutex);
        m_maps[centre.name] = adjusted;
    }
    const std::scoped_lock lock(m_mutex);
    m_workers = *listed;
}

void CellManager::refreshHeads(TimePoint deadline)
{
    const auto rows = m_dependencies.table.scan(cellPrefix, deadline);
    if (!rows.ok())
        return;
    std::map<CellId, CellHead> heads;
    for (const TableRow &row : *rows) {
        const auto head = parseRow<CellHead>(row);
        if (head.ok())
            heads[head->cell] = *head;
        else
            logFailure("cells", "cannot parse a cell head", head.status());
    }
    const std::scoped_lock lock(m_mutex);
    m_heads = std::move(heads);
}

void CellManager::startCells()
{
    std::map<DataCentreName, CellMap> maps;
    {
        const std::scoped_lock lock(m_mutex);
        maps = m_maps;
    }
    for (const auto &[centre, map] : maps) {
        for (const auto &[id, members] : map.cells) {
            auto &cell = m_cells[id];
            if (cell != nullptr)
                continue;
            cell = std::make_unique<Cell>();
            cell->dataCentre = centre;
            cell->owner = std::make_unique<Owner>(id, centre, m_self, m_dependencies.table,
                                                  m_dependencies.objects, m_dependencies.workers);
            Cell *started = cell.get();
            cell->task = std::make_unique<PeriodicTask>(
                roundInterval, [this, id = id, started] { runRound(id, *started); });
        }
    }
}

void CellManager::runRound(const CellId &id, Cell &cell)
{
    const std::scoped_lock lock(cell.mutex);
    const TimePoint now = SystemClock().now();
    cell.owner->round(environmentOf(id, now), now);
    const Metrics::Labels labels{{"cell", id.text()}};
    m_dependencies.metrics.setGauge("lavender_cell_owned", cell.owner->isOwner() ? 1 : 0, labels);
    if (!cell.owner->isOwner())
        return;
    const CellLedger &ledger = cell.owner->scheduler().ledger();
    const CellCounters &counters = cell.owner->scheduler().counters();
    m_dependencies.metrics.setGauge("lavender_cell_running",
                                    static_cast<double>(ledger.placedCount()), labels);
    m_dependencies.metrics.setGauge("lavender_cell_queued",
                                    static_cast<double>(ledger.queued().size()), labels);
    m_dependencies.metrics.setGauge("lavender_cell_evictions",
                                    static_cast<double>(counters.evictions), labels);
    m_dependencies.metrics.setGauge("lavender_cell_evacuated",
                                    static_cast<double>(counters.evacuated), labels);
}

/// Entries may take over a free cell in the order of rendezvous hashing, each one takeoverStagger
/// after the one before it. This spreads free cells over the entries and avoids races for a cell.
/// A cell without an owner lease is left to the first entry.
bool CellManager::mayTakeOver(const CellId &id, TimePoint now) const
{
    const auto weight = [&](const Address &address) {
        return stableHash(id.text() + "|" + address.text());
    };
    const std::uint64_t ownWeight = weight(m_address);
    const auto entries = m_dependencies.peers.entries();
    const auto ahead = std::count_if(entries.begin(), entries.end(), [&](const Address &address) {
        return weight(address) > ownWeight;
    });
    const std::scoped_lock lock(m_mutex);
    const auto head = m_heads.find(id);
    const TimePoint freeSince = head == m_heads.end() ? TimePoint() : head->second.ownerLease;
    if (freeSince == TimePoint())
        return ahead == 0 || entries.size() == 1;
    return now > freeSince + takeoverStagger * ahead;
}

CellEnvironment CellManager::environmentOf(const CellId &id, TimePoint now) const
{
    CellEnvironment environment;
    environment.manifest = m_dependencies.manifest.current();
    environment.mayTakeOver = mayTakeOver(id, now);
    for (const CellHead &head : openCells()) {
        if (head.cell != id)
            environment.transferTargets.push_back(head.cell);
    }
    const std::scoped_lock lock(m_mutex);
    environment.cells = std::max(1, static_cast<int>(m_heads.size()));
    for (const auto &[centre, map] : m_maps) {
        const auto cell = map.cells.find(id);
        if (cell != map.cells.end())
            environment.workers = cell->second;
    }
    return environment;
}

std::vector<CellHead> CellManager::heads() const
{
    const std::scoped_lock lock(m_mutex);
    std::vector<CellHead> heads;
    for (const auto &[id, head] : m_heads)
        heads.push_back(head);
    return heads;
}

std::vector<CellHead> CellManager::openCells() const
{
    std::vector<CellHead> open;
    {
        const std::scoped_lock lock(m_mutex);
        for (const auto &[id, head] : m_heads) {
            if (m_dataCentresOut.count(head.dataCentre) == 0 && head.workers > 0)
                open.push_back(head);
        }
    }
    const auto availableMilliCores = [](const CellHead &head) {
        return head.freeMilliCores - 1000 * static_cast<std::int64_t>(head.queued);
    };
    std::sort(open.begin(), open.end(), [&](const CellHead &left, const CellHead &right) {
        return availableMilliCores(left) > availableMilliCores(right);
    });
    return open;
}

std::vector<CellId> CellManager::cells() const
{
    const std::scoped_lock lock(m_mutex);
    std::vector<CellId> ids;
    for (const auto &[centre, map] : m_maps) {
        for (const auto &[id, members] : map.cells)
            ids.push_back(id);
    }
    return ids;
}

std::vector<WorkerInfo> CellManager::allWorkers() const
{
    const std::scoped_lock lock(m_mutex);
    return m_workers;
}

void CellManager::setDataCentresOut(std::set<DataCentreName> names)
{
    const std::scoped_lock lock(m_mutex);
    m_dataCentresOut = std::move(names);
}

} // namespace lavenderarch
