// Decides when a cell may be taken over from an owner that no longer renews its row.
#pragma once

#include "lavenderarch/core/boot_clock.h"
#include "lavenderarch/dispatch/owner_record.h"

#include <string_view>

namespace lavenderarch {

/// An owner that could not renew its row for this long stops granting leases and sending orders.
inline constexpr Milliseconds ownerRenewDeadline{2000};
/// A cell may be taken over if its owner row has not changed for this long while it was read
/// without interruption. Longer than ownerRenewDeadline, so that the previous owner has stopped
/// by then.
inline constexpr Milliseconds ownerTakeoverTimeout{2500};
/// Time between two renewals by an owner that has nothing else to store.
inline constexpr Milliseconds renewalInterval{600};
/// Time between two reads of a watched row.
inline constexpr Milliseconds watchInterval{400};
/// Time for which a released cell is left to the process that has read it ahead, which reads the
/// owner row more often than others.
inline constexpr Milliseconds successorHeadStart{500};

/// A state machine without sockets, threads or clocks. Not thread-safe.
class OwnershipWatch
{
public:
    /// Why the cell may be taken over.
    enum class Reason {
        NoOwner,   ///< the cell never had an owner
        Released,  ///< the owner has released it
        Restarted, ///< the owner is an earlier lifetime of this process
        Unchanged  ///< the owner has not renewed its row in time
    };

    /// `process` identifies this lifetime of the process and has the form VM-TEXT. An owner on the
    /// same VM with another text is an earlier lifetime of it, which has certainly ended.
    /// `milliCores` are the processors of the VM, in thousandths of a core: an owner needs more of
    /// them than other processes, so that smaller VMs let larger ones go first.
    explicit OwnershipWatch(std::string process, std::int64_t milliCores = 1000);

    /// Evaluates the owner row from a read sent at `sentAt` and answered at `now`; `version` is 0
    /// if the row does not exist. Returns true if this process should try to take the cell over.
    bool observe(const OwnerRecord &record, std::int64_t version, BootTime sentAt, BootTime now);
    /// Restarts the observation after a failed read, so that an outage of the store does not count
    /// as a failure of the owner.
    void readFailed();

    /// Epoch of the owner if it was leaving at the last call of observe(), for long enough that
    /// this process may register as its successor; otherwise 0.
    std::int64_t epochToReadAhead(BootTime now) const;
    /// The successor of the owner of `epoch` is this process, or another one.
    void setSuccessor(std::int64_t epoch, bool thisProcess);

    /// Reason and age of the owner row's version, as of the last call of observe() that returned
    /// true.
    Reason reason() const { return m_reason; }
    std::int64_t milliCores() const { return m_milliCores; }
    Milliseconds unchangedFor() const { return m_unchangedFor; }

private:
    bool isPreviousProcess(const OwnerRecord &record) const;
    /// Time for which this process lets others go first, since they are nearer or larger.
    Milliseconds yieldTime() const;
    Milliseconds releasedDelay(const OwnerRecord &record) const;

    std::string m_process;
    std::int64_t m_milliCores;
    std::int64_t m_largestMilliCores = 0; // of the VMs that have owned the cell, as last read
    std::int64_t m_version = -1;          // as last read; -1 before the first read
    BootTime m_since{};                   // when that version was first read
    int m_reads = 0;                      // consecutive reads of that version
    Milliseconds m_fastestRead{1'000'000};
    std::int64_t m_leavingEpoch = 0; // of an owner that is leaving; 0: it is not
    BootTime m_leavingSince{};       // when that was first read
    std::int64_t m_successorEpoch = 0;
    bool m_isSuccessor = false;
    Reason m_reason = Reason::NoOwner;
    Milliseconds m_unchangedFor{0};
};

/// Name of a reason in logs and metrics.
std::string_view reasonName(OwnershipWatch::Reason reason);

} // namespace lavenderarch
