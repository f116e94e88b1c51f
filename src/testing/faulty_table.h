// In-memory table service with injected faults: outages, lost requests and lost responses.
#pragma once

#include "lavenderarch/core/random.h"
#include "lavenderarch/storage/memory_table.h"

#include <mutex>
#include <optional>

namespace lavenderarch::testing {

/// Wraps a MemoryTable. Thread-safe. The seed determines which commits fail.
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
    /// Probability (0 to 1) that a commit takes effect but reports OutcomeUnknown.
    void setResponseLossRate(double rate)
    {
        locked([&] { m_responseLossRate = rate; });
    }
    /// Probability (0 to 1) that a commit has no effect and reports OutcomeUnknown.
    void setRequestLossRate(double rate)
    {
        locked([&] { m_requestLossRate = rate; });
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
        if (draw() < m_requestLossRate)
            return makeError(ErrorKind::OutcomeUnknown, "request lost");
        auto result = m_table.commit(change, deadline);
        if (draw() < m_responseLossRate)
            return makeError(ErrorKind::OutcomeUnknown, "response lost");
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
    double m_responseLossRate = 0;
    double m_requestLossRate = 0;
};

static_assert(TableService<FaultyTable>);

} // namespace lavenderarch::testing
