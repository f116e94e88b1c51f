// Start, outcome and removal of attempt records.
#include "lavenderarch/routing/attempt_table.h"

namespace lavenderarch {
namespace {

constexpr Milliseconds retention{120'000};
constexpr std::size_t maxStoredBodyBytes = std::size_t{16} * 1024;

} // namespace

void AttemptTable::scheduleRemoval(const RequestId &request, TimePoint removeAt)
{
    m_records[request].removeAt = removeAt;
    m_removals.push({removeAt, request});
}

AttemptTable::Begin AttemptTable::begin(const RequestId &request, TimePoint deadline)
{
    const auto [position, inserted] = m_records.try_emplace(request);
    if (!inserted)
        return position->second.forbidden ? Begin::Forbidden : Begin::Duplicate;
    position->second.outcome.fate = RequestFate::Running;
    scheduleRemoval(request, deadline + maxClockSkew + retention);
    return Begin::Started;
}

void AttemptTable::cancel(const RequestId &request)
{
    Record &record = m_records[request];
    record.forbidden = true;
    record.outcome = ResolveReply{RequestFate::NotRun, false, 0, "", ""};
}

void AttemptTable::finish(const RequestId &request, const ResolveReply &outcome, TimePoint now)
{
    Record &record = m_records[request];
    record.outcome = outcome;
    if (outcome.body.size() > maxStoredBodyBytes) {
        record.outcome.body.clear();
        record.outcome.hasAnswer = false;
    }
    const TimePoint keepUntil = now + retention;
    if (keepUntil > record.removeAt)
        scheduleRemoval(request, keepUntil);
}

ResolveReply AttemptTable::resolve(const RequestId &request, TimePoint deadline)
{
    const auto [position, inserted] = m_records.try_emplace(request);
    if (inserted) {
        position->second.forbidden = true;
        position->second.outcome.fate = RequestFate::NotRun;
        scheduleRemoval(request, deadline + maxClockSkew + retention);
    }
    return position->second.outcome;
}

void AttemptTable::prune(TimePoint now)
{
    while (!m_removals.empty() && m_removals.top().at <= now) {
        const RequestId request = m_removals.top().request;
        m_removals.pop();
        const auto found = m_records.find(request);
        const bool running =
            found != m_records.end() && found->second.outcome.fate == RequestFate::Running;
        if (running)
            scheduleRemoval(request, now + retention);
        else if (found != m_records.end() && found->second.removeAt <= now)
            m_records.erase(found);
    }
}

} // namespace lavenderarch
