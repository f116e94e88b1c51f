// Detection of a cell owner that no longer renews its owner row.
#include "lavenderarch/dispatch/ownership_watch.h"

#include <algorithm>
#include <utility>

namespace lavenderarch {
namespace {

/// A process whose fastest read takes longer than nearStoreReadTime is in another region than the
/// store. It waits for remoteTakeoverDelay more, so that a process closer to the store takes over
/// first.
constexpr Milliseconds nearStoreReadTime{16};
constexpr Milliseconds remoteTakeoverDelay{800};
/// A process on a smaller VM than the largest that has owned the cell waits for this time more.
constexpr Milliseconds smallVmDelay{400};
/// Before the first takeover the sizes of the other VMs are not known: one without any processor
/// would wait for this time.
constexpr Milliseconds firstTakeoverSpread{1200};
constexpr std::int64_t wholeCore = 1000;
/// Minimum number of consecutive reads that must have returned the same version.
constexpr int minReads = 3;

} // namespace

OwnershipWatch::OwnershipWatch(std::string process, std::int64_t milliCores)
    : m_process(std::move(process))
    , m_milliCores(milliCores)
{
}

bool OwnershipWatch::isPreviousProcess(const OwnerRecord &record) const
{
    const std::string vm = m_process.substr(0, m_process.rfind('-') + 1);
    return record.owner != m_process && record.owner.rfind(vm, 0) == 0 &&
           record.owner.find('-', vm.size()) == std::string::npos;
}

bool OwnershipWatch::observe(const OwnerRecord &record, std::int64_t version, BootTime sentAt,
                             BootTime now)
{
    m_fastestRead = std::min(m_fastestRead, now - sentAt);
    m_largestMilliCores = record.largestMilliCores;
    if (version != m_version) {
        m_version = version;
        m_since = now;
        m_reads = 0;
    }
    ++m_reads;
    if (!record.leaving)
        m_leavingEpoch = 0;
    else if (record.epoch != std::exchange(m_leavingEpoch, record.epoch))
        m_leavingSince = now;
    m_unchangedFor = std::max(sentAt - m_since, Milliseconds(0));
    m_reason = version == 0                ? Reason::NoOwner
               : record.released           ? Reason::Released
               : isPreviousProcess(record) ? Reason::Restarted
                                           : Reason::Unchanged;
    if (m_reason == Reason::Released)
        return now - m_since >= releasedDelay(record);
    if (m_reason != Reason::Unchanged)
        return now - m_since >= yieldTime();
    return m_reads >= minReads && sentAt - m_since >= ownerTakeoverTimeout + yieldTime();
}

Milliseconds OwnershipWatch::yieldTime() const
{
    Milliseconds time{0};
    if (m_fastestRead > nearStoreReadTime)
        time += remoteTakeoverDelay;
    if (m_reason == Reason::NoOwner)
        time += firstTakeoverSpread * (wholeCore - std::min(m_milliCores, wholeCore)) / wholeCore;
    else if (m_milliCores < m_largestMilliCores)
        time += smallVmDelay;
    return time;
}

Milliseconds OwnershipWatch::releasedDelay(const OwnerRecord &record) const
{
    if (m_successorEpoch != record.epoch)
        return yieldTime();
    return m_isSuccessor ? Milliseconds(0) : std::max(successorHeadStart, yieldTime());
}

std::int64_t OwnershipWatch::epochToReadAhead(BootTime now) const
{
    return now - m_leavingSince >= yieldTime() ? m_leavingEpoch : 0;
}

void OwnershipWatch::setSuccessor(std::int64_t epoch, bool thisProcess)
{
    m_successorEpoch = epoch;
    m_isSuccessor = thisProcess;
}

void OwnershipWatch::readFailed()
{
    m_version = -1;
}

std::string_view reasonName(OwnershipWatch::Reason reason)
{
    switch (reason) {
    case OwnershipWatch::Reason::NoOwner:
        return "no-owner";
    case OwnershipWatch::Reason::Released:
        return "released";
    case OwnershipWatch::Reason::Restarted:
        return "restarted";
    case OwnershipWatch::Reason::Unchanged:
        return "unchanged";
    }
    return "unknown";
}

} // namespace lavenderarch
