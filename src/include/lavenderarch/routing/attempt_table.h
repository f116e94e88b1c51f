// An agent's record of attempts: which started, how they ended and which must not start.
#pragma once

#include "lavenderarch/core/identifiers.h"
#include "lavenderarch/core/time.h"
#include "lavenderarch/protocol/resolve_reply.h"

#include <map>
#include <queue>

namespace lavenderarch {

/// Each attempt has its own id and starts at most once. Not thread-safe.
/// A record is kept until the deadline of the attempt plus the allowed clock skew and a retention
/// time. After that the attempt is refused because its deadline has passed, so a removed record
/// cannot lead to a second start, and memory stays bounded.
class AttemptTable
{
public:
    enum class Begin { Started, Duplicate, Forbidden };

    /// Records the start of `request`, unless it has started already or is forbidden.
    Begin begin(const RequestId &request, TimePoint deadline);
    /// Undoes the start of a request that was refused before it was sent to the minion. The request
    /// is forbidden afterwards.
    void cancel(const RequestId &request);
    /// Records the end. A response body above the size limit is not stored.
    void finish(const RequestId &request, const ResolveReply &outcome, TimePoint now);
    /// State of `request`. A request that has not started is forbidden from then on.
    ResolveReply resolve(const RequestId &request, TimePoint deadline);
    /// Removes records past their retention time; those of running attempts stay.
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
