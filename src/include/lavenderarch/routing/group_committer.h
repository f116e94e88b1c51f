// Commits small independent transactions of many threads as few large ones.
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

/// Thread-safe. commit() blocks until the change is decided. One thread sends groups; while one
/// group is on its way the next one gathers, so the number of writes is bounded by the store's
/// answer time, not by the number of callers. Changes that conflict drop out of their group, the
/// rest is sent again.
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
        m_wake.notify_all();
        m_thread.join();
    }
    GroupCommitter(const GroupCommitter &) = delete;
    GroupCommitter &operator=(const GroupCommitter &) = delete;

    /// Commits `change`; result and errors as commitOnce. The witness row belongs to this change.
    StatusOr<CommitResult> commit(const TableTransaction &change, const CommitMarker &witness,
                                  TimePoint deadline)
    {
        auto pending =
            std::make_shared<Pending>(Pending{change, witness, deadline, CommitResult{}, false});
        std::unique_lock lock(m_mutex);
        m_waiting.push_back(pending);
        m_wake.notify_all();
        m_decided.wait(lock, [&] { return pending->decided; });
        return pending->result;
    }

    /// Queues `change` without waiting for its outcome.
    void commitLater(const TableTransaction &change, const CommitMarker &witness,
                     TimePoint deadline)
    {
        const std::scoped_lock lock(m_mutex);
        m_waiting.push_back(
            std::make_shared<Pending>(Pending{change, witness, deadline, CommitResult{}, false}));
        m_wake.notify_all();
    }

    /// Groups sent so far.
    std::int64_t groups() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_groups;
    }

private:
    struct Pending
    {
        TableTransaction change;
        CommitMarker witness;
        TimePoint deadline;
        StatusOr<CommitResult> result;
        bool decided = false;
    };
    using Group = std::vector<std::shared_ptr<Pending>>;

    void run()
    {
        while (true) {
            Group group;
            {
                std::unique_lock lock(m_mutex);
                m_wake.wait(lock, [this] { return m_stopping || !m_waiting.empty(); });
                if (m_waiting.empty())
                    return;
                group = takeGroup();
                ++m_groups;
            }
            commitGroup(group);
        }
    }

    /// Takes changes that touch different rows; the others wait for the next group.
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

    /// Sends the group; a conflict is decided change by change.
    void commitGroup(const Group &group)
    {
        if (group.size() > 1) {
            TableTransaction merged;
            TimePoint deadline = group.front()->deadline;
            for (const auto &pending : group) {
                append(merged, pending->change);
                deadline = std::min(deadline, pending->deadline);
            }
            const auto result = commitOnce(m_table, merged, group.front()->witness, deadline);
            if (result.ok() && result->committed) {
                decideAll(group, result);
                return;
            }
            if (!result.ok() && kindOf(result.status()) == ErrorKind::StoreUnavailable) {
                decideAll(group, result);
                return;
            }
        }
        for (const auto &pending : group)
            decideOne(*pending);
    }

    void decideOne(Pending &pending)
    {
        // The merged attempt may have taken effect although it was reported otherwise, so a
        // conflict is checked against the witness before it is believed.
        auto result = commitOnce(m_table, pending.change, pending.witness, pending.deadline);
        if (result.ok() && !result->committed) {
            const auto row = m_table.read(pending.witness.key, pending.deadline);
            if (row.ok() && row->value == pending.witness.value)
                result = CommitResult{true, {}};
        }
        const std::scoped_lock lock(m_mutex);
        pending.result = std::move(result);
        pending.decided = true;
        m_decided.notify_all();
    }

    void decideAll(const Group &group, const StatusOr<CommitResult> &result)
    {
        const std::scoped_lock lock(m_mutex);
        for (const auto &pending : group) {
            pending->result = result;
            pending->decided = true;
        }
        m_decided.notify_all();
    }

    static void append(TableTransaction &merged, const TableTransaction &change)
    {
        merged.conditions.insert(merged.conditions.end(), change.conditions.begin(),
                                 change.conditions.end());
        merged.writes.insert(merged.writes.end(), change.writes.begin(), change.writes.end());
    }

    Table &m_table;
    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    std::condition_variable m_decided;
    Group m_waiting;           // guarded by m_mutex
    std::int64_t m_groups = 0; // guarded by m_mutex
    bool m_stopping = false;   // guarded by m_mutex
    std::thread m_thread;
};

} // namespace lavenderarch
