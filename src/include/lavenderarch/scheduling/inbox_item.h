// A row of a cell's inbox: submitted or transferred tasks, or a cancellation.
#pragma once

#include "lavenderarch/core/json_enum.h"
#include "lavenderarch/scheduling/ledger_task.h"

namespace lavenderarch {

enum class InboxKind { Submit, Transfer, Cancel };

LAVENDER_JSON_ENUM(InboxKind, {{InboxKind::Submit, "submit"},
                               {InboxKind::Transfer, "transfer"},
                               {InboxKind::Cancel, "cancel"}})

/// Row `inbox/<cell>/...`. Submit: tasks firstTask .. firstTask + taskCount - 1 of `spec`.
/// Transfer: `tasks` in the state in which they left another cell. Cancel: all tasks of `spec.job`.
/// The row is removed in the transaction that adds its tasks to the ledger.
struct InboxItem
{
    InboxKind kind = InboxKind::Submit;
    TaskSpec spec;
    std::int64_t firstTask = 0;
    std::int64_t taskCount = 0;
    std::vector<LedgerTask> tasks;
    TimePoint acceptedAt;

    friend bool operator==(const InboxItem &, const InboxItem &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(InboxItem, kind, spec, firstTask, taskCount, tasks, acceptedAt)
};

/// The tasks that `item` adds to a ledger; none for a cancellation.
std::vector<LedgerTask> makeLedgerTasks(const InboxItem &item);

} // namespace lavenderarch
