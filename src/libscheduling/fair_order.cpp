// Weighted fair ordering of queued tasks.
#include "lavenderarch/scheduling/fair_order.h"

#include <algorithm>
#include <queue>

namespace lavenderarch {
namespace {

using Tasks = std::vector<const LedgerTask *>;

/// A customer's queued tasks, with what its position in the order depends on.
struct CustomerQueue
{
    Tasks tasks; // sorted; the next one is at `next`
    std::size_t next = 0;
    double running = 0;
    double share = 1;
    int quotaLeft = 0;

    double runningPerShare() const { return running / share; }
};

/// Smaller values go first.
int priorityOf(const LedgerTask &task)
{
    if (task.spec.urgent)
        return 0;
    return task.spec.service ? 1 : 2;
}

bool isBefore(const LedgerTask *left, const LedgerTask *right)
{
    if (priorityOf(*left) != priorityOf(*right))
        return priorityOf(*left) < priorityOf(*right);
    if (left->queuedAt != right->queuedAt)
        return left->queuedAt < right->queuedAt;
    return left->id < right->id;
}

std::map<CustomerName, CustomerQueue> customerQueues(const CellLedger &ledger,
                                                     const Manifest &manifest, int cells)
{
    std::map<CustomerName, CustomerQueue> customers;
    for (const TaskId &id : ledger.queued()) {
        const LedgerTask *task = ledger.findTask(id);
        customers[task->spec.customer].tasks.push_back(task);
    }
    for (auto &[name, customer] : customers) {
        std::sort(customer.tasks.begin(), customer.tasks.end(), isBefore);
        const CustomerSettings *settings = manifest.findCustomer(name);
        const CustomerSettings limits = settings != nullptr ? *settings : CustomerSettings();
        customer.running = ledger.runningTaskCount(name);
        customer.share = limits.share;
        const int cellQuota = (limits.maxRunningTasks + cells - 1) / std::max(1, cells);
        customer.quotaLeft = std::max(0, cellQuota - ledger.runningTaskCount(name));
    }
    return customers;
}

} // namespace

std::vector<const LedgerTask *> fairOrder(const CellLedger &ledger, const Manifest &manifest,
                                          int cells, std::size_t limit)
{
    auto customers = customerQueues(ledger, manifest, cells);
    const auto later = [](const CustomerQueue *left, const CustomerQueue *right) {
        const LedgerTask &leftTask = *left->tasks[left->next];
        const LedgerTask &rightTask = *right->tasks[right->next];
        if (priorityOf(leftTask) != priorityOf(rightTask))
            return priorityOf(leftTask) > priorityOf(rightTask);
        if (left->runningPerShare() != right->runningPerShare())
            return left->runningPerShare() > right->runningPerShare();
        return leftTask.queuedAt > rightTask.queuedAt;
    };
    std::priority_queue<CustomerQueue *, std::vector<CustomerQueue *>, decltype(later)> next(later);
    for (auto &[name, customer] : customers) {
        if (customer.quotaLeft > 0)
            next.push(&customer);
    }
    Tasks ordered;
    while (!next.empty() && ordered.size() < limit) {
        CustomerQueue *customer = next.top();
        next.pop();
        ordered.push_back(customer->tasks[customer->next]);
        ++customer->next;
        ++customer->running;
        --customer->quotaLeft;
        if (customer->next < customer->tasks.size() && customer->quotaLeft > 0)
            next.push(customer);
    }
    return ordered;
}

} // namespace lavenderarch
