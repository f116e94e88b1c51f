// Decides when a cell may be taken over from an owner that has gone silent.
#pragma once

#include "lavenderarch/core/boot_clock.h"
#include "lavenderarch/dispatch/owner_record.h"

namespace lavenderarch {

/// An owner that could not renew for this long stops granting leases and giving orders.
inline constexpr Milliseconds ownerRenewDeadline{2000};
/// An owner row that has not changed for this long, under constant reading, may be taken over.
/// Longer than ownerRenewDeadline, so that the former owner has stopped before.
inline constexpr Milliseconds ownerTakeoverTimeout{2500};
/// Time between two renewals of an owner that has nothing else to store.
inline constexpr Milliseconds renewalInterval{600};
/// Time between two reads of a watched row.
inline constexpr Milliseconds watchInterval{400};

/// A state machine without sockets, threads or clocks. Not thread-safe.
class OwnershipWatch
{
public:
    /// `process` names this lifetime of the process, as VM-TEXT: an owner of the same VM with
    /// another text is a former lifetime, which has certainly ended.
    explicit OwnershipWatch(std::string process);

    /// Takes the row as read; `version` 0 when there is none. Returns true when this process
    /// should try to take the cell over.
    bool observe(const OwnerRecord &record, std::int64_t version, BootTime sentAt, BootTime now);
    /// The store did not answer: its silence must not count as the owner's.
    void readFailed();

private:
    bool isPreviousProcess(const OwnerRecord &record) const;

    std::string m_process;
    std::int64_t m_version = -1; // as last read; -1 before the first read
    BootTime m_since{};          // start of uninterrupted reading of that version
    int m_reads = 0;             // reads of that version
    Milliseconds m_fastestRead{1'000'000};
};

} // namespace lavenderarch
