// Conversion of inbox items to ledger tasks.
#include "lavenderarch/scheduling/inbox_item.h"

namespace lavenderarch {

std::vector<LedgerTask> makeLedgerTasks(const InboxItem &item)
{
    if (item.kind == InboxKind::Transfer)
        return item.tasks;
    std::vector<LedgerTask> tasks;
    if (item.kind == InboxKind::Cancel)
        return tasks;
    for (std::int64_t index = 0; index < item.taskCount; ++index) {
        LedgerTask task;
        task.id = TaskId(item.spec.job.text() + "/" + std::to_string(item.firstTask + index));
        task.spec = item.spec;
        task.queuedAt = item.acceptedAt;
        tasks.push_back(std::move(task));
    }
    return tasks;
}

} // namespace lavenderarch
