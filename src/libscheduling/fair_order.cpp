// Fair order of queued tasks.
#include "lavenderarch/scheduling/fair_order.h"

#include <algorithm>
#include <queue>

namespace lavenderarch {
namespace {

using Tasks = std::vector<const LedgerTask *>;

/// A customer's queued tasks and its claim on the next place.
struct CustomerTurn
{
    Tasks tasks; // sorted; the next one is at `next`
    std::size_t next = 0;
    double running = 0;
    double share = 1;
    int placesLeft = 0;

    double claim() const { return running / share; }
};

int rankOf(const LedgerTask &task)
{
    if (task.spec.urgent)
        return 0;
    return task.spec.service ? 1 : 2;
}

bool goesBefore(const LedgerTask *left, const LedgerTask *right)
{
    if (rankOf(*left) != rankOf(*right))
        return rankOf(*left) < rankOf(*right);
    if (left->queuedAt != right->queuedAt)
        return left->queuedAt < right->queuedAt;
    return left->id < right->id;
}

std::map<CustomerName, CustomerTurn> turnsOf(const CellLedger &ledger, const Manifest &manifest,
                                             int cells)
{
    std::map<CustomerName, CustomerTurn> turns;
    for (const TaskId &id : ledger.queued()) {
        const LedgerTask *task = ledger.findTask(id);
        turns[task->spec.customer].tasks.push_back(task);
    }
    for (auto &[name, turn] : turns) {
        std::sort(turn.tasks.begin(), turn.tasks.end(), goesBefore);
        const CustomerSettings *settings = manifest.findCustomer(name);
        const CustomerSettings limits = settings != nullptr ? *settings : CustomerSettings();
        turn.running = ledger.runningTaskCount(name);
        turn.share = limits.share;
        const int quotaHere = (limits.maxRunningTasks + cells - 1) / std::max(1, cells);
        turn.placesLeft = std::max(0, quotaHere - ledger.runningTaskCount(name));
    }
    return turns;
}

} // namespace

std::vector<const LedgerTask *> fairOrder(const CellLedger &ledger, const Manifest &manifest,
                                          int cells, std::size_t limit)
{
    auto turns = turnsOf(ledger, manifest, cells);
    const auto later = [](const CustomerTurn *left, const CustomerTurn *right) {
        const LedgerTask &leftTask = *left->tasks[left->next];
        const LedgerTask &rightTask = *right->tasks[right->next];
        if (rankOf(leftTask) != rankOf(rightTask))
            return rankOf(leftTask) > rankOf(rightTask);
        if (left->claim() != right->claim())
            return left->claim() > right->claim();
        return leftTask.queuedAt > rightTask.queuedAt;
    };
    std::priority_queue<CustomerTurn *, std::vector<CustomerTurn *>, decltype(later)> next(later);
    for (auto &[name, turn] : turns) {
        if (turn.placesLeft > 0)
            next.push(&turn);
    }
    Tasks ordered;
    while (!next.empty() && ordered.size() < limit) {
        CustomerTurn *turn = next.top();
        next.pop();
        ordered.push_back(turn->tasks[turn->next]);
        ++turn->next;
        ++turn->running;
        --turn->placesLeft;
        if (turn->next < turn->tasks.size() && turn->placesLeft > 0)
            next.push(turn);
    }
    return ordered;
}

} // namespace lavenderarch
