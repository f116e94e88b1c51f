// Group commit: merges small independent transactions of many threads into few large ones.
#pragma once

#include "lavenderarch/storage/commit_once.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

namespace lavenderarch {

inline constexpr std::size_t maxGroupSize = 200;

/// Thread-safe. commit() blocks until the outcome of the change is known. One thread sends groups;
/// while one group is in flight the next one accumulates, so the rate of writes is bounded by the
/// response time of the store and not by the number of callers. When a group does not commit as a
/// whole, its changes are committed one by one, unless the store is unavailable.
template <TableService Table>
class GroupCommitter
{
public:
    explicit GroupCommitter(Table &table)
        : m_table(table)
        , m_thread([this] { run(); })
    {
    }
    ~GroupCommitter()
    {
        {
            const std::scoped_lock lock(m_mutex);
            m_stopping = true;
        }
        m_workAvailable.notify_all();
        m_thread.join();
    }
    GroupCommitter(const GroupCommitter &) = delete;
    GroupCommitter &operator=(const GroupCommitter &) = delete;

    /// Commits `change`; result and errors as for commitOnce(). `change` writes the marker row.
    StatusOr<CommitResult> commit(const TableTransaction &change, const CommitMarker &marker,
                                  TimePoint deadline)
    {
        auto pending =
            std::make_shared<Pending>(Pending{change, marker, deadline, CommitResult{}, false});
        std::unique_lock lock(m_mutex);
        m_waiting.push_back(pending);
        m_workAvailable.notify_all();
        m_completed.wait(lock, [&] { return pending->completed; });
        return pending->result;
    }

    /// Queues `change` and returns at once; its outcome is not reported.
    void commitAsync(const TableTransaction &change, const CommitMarker &marker, TimePoint deadline)
    {
        const std::scoped_lock lock(m_mutex);
        m_waiting.push_back(
            std::make_shared<Pending>(Pending{change, marker, deadline, CommitResult{}, false}));
        m_workAvailable.notify_all();
    }

    /// Number of groups sent.
    std::int64_t groups() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_groups;
    }

private:
    struct Pending
    {
        TableTransaction change;
        CommitMarker marker;
        TimePoint deadline;
        StatusOr<CommitResult> result;
        bool completed = false;
    };
    using Group = std::vector<std::shared_ptr<Pending>>;

    void run()
    {
        while (true) {
            Group group;
            {
                std::unique_lock lock(m_mutex);
                m_workAvailable.wait(lock, [this] { return m_stopping || !m_waiting.empty(); });
                if (m_waiting.empty())
                    return;
                group = takeGroup();
                ++m_groups;
            }
            commitGroup(group);
        }
    }

    /// Takes changes that use no row written by an earlier change of the group; the others wait for
    /// the next group.
    Group takeGroup()
    {
        Group group;
        Group rest;
        std::set<std::string> keys;
        for (auto &pending : m_waiting) {
            const bool fits = group.size() < maxGroupSize && !touches(*pending, keys);
            (fits ? group : rest).push_back(pending);
            if (fits)
                addKeys(*pending, keys);
        }
        m_waiting = std::move(rest);
        return group;
    }

    static bool touches(const Pending &pending, const std::set<std::string> &keys)
    {
        for (const TableWrite &write : pending.change.writes) {
            if (keys.count(write.key) != 0)
                return true;
        }
        for (const TableCondition &condition : pending.change.conditions) {
            if (keys.count(condition.key) != 0)
                return true;
        }
        return false;
    }

    static void addKeys(const Pending &pending, std::set<std::string> &keys)
    {
        for (const TableWrite &write : pending.change.writes)
            keys.insert(write.key);
    }

    /// Sends the group as one transaction; after a conflict each change is committed alone.
    void commitGroup(const Group &group)
    {
        if (group.size() > 1) {
            TableTransaction merged;
            TimePoint deadline = group.front()->deadline;
            for (const auto &pending : group) {
                append(merged, pending->change);
                deadline = std::min(deadline, pending->deadline);
            }
            const auto result = commitOnce(m_table, merged, group.front()->marker, deadline);
            if (result.ok() && result->committed) {
                completeAll(group, result);
                return;
            }
            if (!result.ok() && kindOf(result.status()) == ErrorKind::StoreUnavailable) {
                completeAll(group, result);
                return;
            }
        }
        for (const auto &pending : group)
            commitSingle(*pending);
    }

    void commitSingle(Pending &pending)
    {
        // The merged transaction may have been applied although a failure was reported. A conflict
        // therefore counts as a success when the marker row holds the value of this change.
        auto result = commitOnce(m_table, pending.change, pending.marker, pending.deadline);
        if (result.ok() && !result->committed) {
            const auto row = m_table.read(pending.marker.key, pending.deadline);
            if (row.ok() && row->value == pending.marker.value)
                result = CommitResult{true, {}};
        }
        const std::scoped_lock lock(m_mutex);
        pending.result = std::move(result);
        pending.completed = true;
        m_completed.notify_all();
    }

    void completeAll(const Group &group, const StatusOr<CommitResult> &result)
    {
        const std::scoped_lock lock(m_mutex);
        for (const auto &pending : group) {
            pending->result = result;
            pending->completed = true;
        }
        m_completed.notify_all();
    }

    static void append(TableTransaction &merged, const TableTransaction &change)
    {
        merged.conditions.insert(merged.conditions.end(), change.conditions.begin(),
                                 change.conditions.end());
        merged.writes.insert(merged.writes.end(), change.writes.begin(), change.writes.end());
    }

    Table &m_table;
    mutable std::mutex m_mutex;
    std::condition_variable m_workAvailable;
    std::condition_variable m_completed;
    Group m_waiting;           // guarded by m_mutex
    std::int64_t m_groups = 0; // guarded by m_mutex
    bool m_stopping = false;   // guarded by m_mutex
    std::thread m_thread;
};

} // namespace lavenderarch
