// Polls the table service for the manifest and the data centre states.
#include "lavenderarch/api/config_watcher.h"

#include "lavenderarch/core/clock.h"
#include "lavenderarch/telemetry/log.h"

namespace lavenderarch {
namespace {

constexpr Milliseconds storeTimeout{400};
/// The manifest counts as confirmed for this long after the start of a refresh.
constexpr Milliseconds maxConfirmationAge{1200};

} // namespace

ConfigWatcher::ConfigWatcher(HttpTable &table, ManifestHolder &holder,
                             std::function<void()> askPeers)
    : m_manifests(table)
    , m_dataCentreStore(table)
    , m_holder(holder)
    , m_askPeers(std::move(askPeers))
{
}

bool ConfigWatcher::readStore()
{
    const TimePoint deadline = SystemClock().now() + storeTimeout;
    const auto version = m_manifests.latestVersion(deadline);
    if (!version.ok())
        return false;
    if (*version > m_holder.version()) {
        const auto manifest = m_manifests.version(*version, deadline);
        if (!manifest.ok())
            return false;
        m_holder.adopt(*manifest);
        logEvent(LogLevel::Info, "config", "manifest applied",
                 {{"version", std::to_string(*version)}});
    }
    const auto states = m_dataCentreStore.states(deadline);
    if (!states.ok())
        return false;
    for (const auto &[name, state] : *states)
        noteDataCentre(state);
    return true;
}

bool ConfigWatcher::refresh()
{
    const std::scoped_lock lock(m_refreshMutex);
    const TimePoint startedAt = SystemClock().now();
    m_storeIsUp = readStore();
    if (!m_storeIsUp)
        m_askPeers();
    m_confirmedAtMs = toEpochMs(startedAt);
    return m_storeIsUp;
}

bool ConfigWatcher::isFresh() const
{
    const TimePoint confirmedAt = fromEpochMs(m_confirmedAtMs.load());
    return SystemClock().now() < confirmedAt + maxConfirmationAge;
}

void ConfigWatcher::ensureFresh()
{
    if (!isFresh())
        refresh();
}

void ConfigWatcher::noteDataCentre(const DataCentreState &state)
{
    const std::scoped_lock lock(m_stateMutex);
    DataCentreState &known = m_dataCentres[state.name];
    if (state.change > known.change)
        known = state;
}

DataCentreStates ConfigWatcher::dataCentres() const
{
    const std::scoped_lock lock(m_stateMutex);
    return m_dataCentres;
}

std::set<DataCentreName> ConfigWatcher::dataCentresOut() const
{
    std::set<DataCentreName> names;
    for (const auto &[name, state] : dataCentres()) {
        if (state.out)
            names.insert(name);
    }
    return names;
}

} // namespace lavenderarch
