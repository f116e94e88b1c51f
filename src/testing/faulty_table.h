// Table service for tests that can be down, lose answers after the write, or delay writes.
#pragma once

#include "lavenderarch/core/random.h"
#include "lavenderarch/storage/memory_table.h"

#include <mutex>
#include <optional>

namespace lavenderarch::testing {

/// Wraps a MemoryTable. Thread-safe. Faults are drawn from the seed given.
class FaultyTable
{
public:
    explicit FaultyTable(std::uint64_t seed = 1)
        : m_random(seed)
    {
    }

    void setDown(bool down)
    {
        locked([&] { m_down = down; });
    }
    /// Share of commits whose answer is lost after the write took effect.
    void setLostAnswers(double share)
    {
        locked([&] { m_lostAnswers = share; });
    }
    /// Share of commits that fail without effect, reported as unknown.
    void setLostRequests(double share)
    {
        locked([&] { m_lostRequests = share; });
    }

    StatusOr<TableRow> read(const std::string &key, TimePoint deadline)
    {
        if (isDown())
            return unavailable();
        return m_table.read(key, deadline);
    }

    StatusOr<std::vector<TableRow>> scan(const std::string &prefix, TimePoint deadline)
    {
        if (isDown())
            return unavailable();
        return m_table.scan(prefix, deadline);
    }

    StatusOr<CommitResult> commit(const TableTransaction &change, TimePoint deadline)
    {
        if (isDown())
            return unavailable();
        if (draw() < m_lostRequests)
            return makeError(ErrorKind::OutcomeUnknown, "request lost");
        auto result = m_table.commit(change, deadline);
        if (draw() < m_lostAnswers)
            return makeError(ErrorKind::OutcomeUnknown, "answer lost");
        return result;
    }

    MemoryTable &inner() { return m_table; }

private:
    template <typename Function>
    void locked(Function function)
    {
        const std::scoped_lock lock(m_mutex);
        function();
    }
    bool isDown()
    {
        const std::scoped_lock lock(m_mutex);
        return m_down;
    }
    double draw()
    {
        const std::scoped_lock lock(m_mutex);
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    }
    static Status unavailable() { return makeError(ErrorKind::StoreUnavailable, "table is down"); }

    std::mutex m_mutex;
    RandomEngine m_random;
    MemoryTable m_table;
    bool m_down = false;
    double m_lostAnswers = 0;
    double m_lostRequests = 0;
};

static_assert(TableService<FaultyTable>);

} // namespace lavenderarch::testing
