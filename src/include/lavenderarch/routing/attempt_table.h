// An agent's memory of attempts: what started, what ended how, what must never start.
#pragma once

#include "lavenderarch/core/identifiers.h"
#include "lavenderarch/core/time.h"
#include "lavenderarch/protocol/resolve_reply.h"

#include <map>
#include <queue>

namespace lavenderarch {

/// Each attempt has its own id and starts at most once. Not thread-safe.
/// A record is kept until its deadline plus a retention; later the attempt is refused because its
/// deadline has passed, so nothing is forgotten too early and memory stays bounded.
class AttemptTable
{
public:
    enum class Begin { Started, Duplicate, Forbidden };

    /// Records the start of `request`, unless it started before or is forbidden.
    Begin begin(const RequestId &request, TimePoint deadline);
    /// Takes back a start that was refused before the request was handed to the minion.
    void cancel(const RequestId &request);
    /// Records the end. An answer above the size kept is remembered without its body.
    void finish(const RequestId &request, const ResolveReply &outcome, TimePoint now);
    /// Fate of `request`; one that never started is forbidden from now on.
    ResolveReply resolve(const RequestId &request, TimePoint deadline);
    /// Forgets records past their retention.
    void prune(TimePoint now);

    std::size_t size() const { return m_records.size(); }

private:
    struct Record
    {
        ResolveReply outcome;
        bool forbidden = false;
        TimePoint removeAt;
    };
    struct Removal
    {
        TimePoint at;
        RequestId request;
        friend bool operator>(const Removal &left, const Removal &right)
        {
            return left.at > right.at;
        }
    };

    void scheduleRemoval(const RequestId &request, TimePoint removeAt);

    std::map<RequestId, Record> m_records;
    std::priority_queue<Removal, std::vector<Removal>, std::greater<>> m_removals;
};

} // namespace lavenderarch
