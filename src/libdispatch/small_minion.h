// A cell's owner with one small minion, for tests.
#pragma once

#include "lavenderarch/dispatch/cell_dispatcher.h"
#include "lavenderarch/dispatch/cell_tables.h"
#include "lavenderarch/dispatch/queue_catalog.h"

namespace lavenderarch::testing {

inline JobSpec smallJob(const std::string &id)
{
    JobSpec job;
    job.id = id;
    job.service = "svc";
    job.queue = "q";
    job.steps.emplace_back();
    job.steps[0].demand = Resources(800, 200, 0);
    return job;
}

/// A dispatcher with one minion, which has room for one task of smallJob().
struct SmallMinion
{
    CellDispatcher owner{"svc", {}, 1};
    ExchangeRequest request;

    SmallMinion()
    {
        auto catalog = std::make_shared<QueueCatalog>();
        catalog->queues.push_back({"q", "h", "/q/", "svc", 0, 2, 1.5, 400, 3000, false});
        catalog->services.insert("svc");
        owner.setCatalog(catalog);
        request.agent = "agent";
        request.session = "s";
        request.epoch = 1;
        request.registered = request.reachable = request.listed = true;
        request.facts = {{"m", 1}, "svc", "dc", {}, Resources(1000, 1000, 0), false, 0};
    }
    void report(BootTime now)
    {
        ++request.number;
        owner.handleRequest(request, now, true);
        owner.tick(now, 0);
    }
    void submit(const JobSpec &job, BootTime now)
    {
        const RowWrite write = cells::jobWrite("svc", job);
        owner.applyJobRow({write.key, write.value, 1, false}, now);
        store(now);
    }
    void store(BootTime now)
    {
        while (owner.prepareCommit(now))
            owner.commitApplied(now);
    }
    /// Number of the newest run of the job's first task; 0 also if the owner rejects the job.
    int run(const std::string &job) const
    {
        const auto found = owner.jobs().find(job);
        return found == owner.jobs().end() ? 0 : found->second.occurrences().at(0)[0][0].run;
    }
};

} // namespace lavenderarch::testing
