// JSON serialization of the types whose keys differ from their member names. A missing key takes
// the default of its member.
#include "lavenderarch/core/json_fields.h"
#include "lavenderarch/dispatch/exchange_reply.h"
#include "lavenderarch/dispatch/job_state_row.h"
#include "lavenderarch/dispatch/minion_facts.h"
#include "lavenderarch/dispatch/step_spec.h"

namespace lavenderarch {

void to_json(Json &out, const StepSpec &step)
{
    out["count"] = step.count;
    out["demand"] = step.demand;
    out["estimateMs"] = step.estimateMs;
    out["after"] = step.after;
    out["checkpointing"] = step.checkpointing;
    out["gang"] = step.gang;
    out["sameRack"] = step.sameRack;
    out["requiredLabel"] = step.requiredLabel;
    out["preferredRack"] = step.preferredRack;
    out["maxPerMinion"] = step.maxPerMinion;
    out["speculative"] = step.speculative;
    out["longRunning"] = step.longRunning;
    out["image"] = step.image;
    out["tailTargetMs"] = step.tailTargetMs;
    out["fills"] = step.bestEffort;
    out["maxUnavailable"] = step.maxUnavailable;
}

void from_json(const Json &in, StepSpec &step)
{
    const StepSpec defaults;
    step.count = in.value("count", defaults.count);
    step.demand = in.value("demand", defaults.demand);
    step.estimateMs = in.value("estimateMs", defaults.estimateMs);
    step.after = in.value("after", defaults.after);
    step.checkpointing = in.value("checkpointing", defaults.checkpointing);
    step.gang = in.value("gang", defaults.gang);
    step.sameRack = in.value("sameRack", defaults.sameRack);
    step.requiredLabel = in.value("requiredLabel", defaults.requiredLabel);
    step.preferredRack = in.value("preferredRack", defaults.preferredRack);
    step.maxPerMinion = in.value("maxPerMinion", defaults.maxPerMinion);
    step.speculative = in.value("speculative", defaults.speculative);
    step.longRunning = in.value("longRunning", defaults.longRunning);
    step.image = in.value("image", defaults.image);
    step.tailTargetMs = in.value("tailTargetMs", defaults.tailTargetMs);
    step.bestEffort = in.value("fills", defaults.bestEffort);
    step.maxUnavailable = in.value("maxUnavailable", defaults.maxUnavailable);
}

void to_json(Json &out, const JobStateRow &row)
{
    out["queue"] = row.queue;
    out["phase"] = row.phase;
    out["timed"] = row.timed;
    if (row.memoryKib != 0)
        out["kib"] = row.memoryKib;
}

void from_json(const Json &in, JobStateRow &row)
{
    const JobStateRow defaults;
    row.queue = in.value("queue", defaults.queue);
    row.phase = in.value("phase", defaults.phase);
    row.timed = in.value("timed", defaults.timed);
    row.memoryKib = integerOr(in, "kib", defaults.memoryKib, {0, maxExactInteger});
}

void to_json(Json &out, const RunOrder &order)
{
    out["sequence"] = order.sequence;
    out["kind"] = order.kind;
    out["run"] = order.run;
    out["payload"] = order.payload;
    out["checkpoint"] = order.checkpoint;
    out["ticket"] = order.ticket;
    out["fills"] = order.bestEffort;
    out["tailTargetMs"] = order.tailTargetMs;
    out["image"] = order.image;
    out["milliCores"] = order.milliCores;
    out["memoryMib"] = order.memoryMib;
    out["accelerators"] = order.accelerators;
    out["startWithinMs"] = order.startWithinMs;
}

void from_json(const Json &in, RunOrder &order)
{
    const RunOrder defaults;
    order.sequence = in.value("sequence", defaults.sequence);
    order.kind = in.value("kind", defaults.kind);
    order.run = in.value("run", defaults.run);
    order.payload = in.value("payload", defaults.payload);
    order.checkpoint = in.value("checkpoint", defaults.checkpoint);
    order.ticket = in.value("ticket", defaults.ticket);
    order.bestEffort = in.value("fills", defaults.bestEffort);
    order.tailTargetMs = in.value("tailTargetMs", defaults.tailTargetMs);
    order.image = in.value("image", defaults.image);
    order.milliCores = in.value("milliCores", defaults.milliCores);
    order.memoryMib = in.value("memoryMib", defaults.memoryMib);
    order.accelerators = in.value("accelerators", defaults.accelerators);
    order.startWithinMs = in.value("startWithinMs", defaults.startWithinMs);
}

void to_json(Json &out, const TailWeight &weight)
{
    out["filling"] = weight.bestEffort;
    out["serving"] = weight.serving;
    out["weight"] = weight.weight;
}

void from_json(const Json &in, TailWeight &weight)
{
    const TailWeight defaults;
    weight.bestEffort = in.value("filling", defaults.bestEffort);
    weight.serving = in.value("serving", defaults.serving);
    weight.weight = in.value("weight", defaults.weight);
}

void to_json(Json &out, const MinionFacts &facts)
{
    out["life"] = facts.incarnation;
    out["service"] = facts.service;
    out["dataCentre"] = facts.dataCentre;
    out["labels"] = facts.labels;
    out["capacity"] = facts.capacity;
    out["draining"] = facts.draining;
    out["remainingMs"] = facts.remainingMs;
}

void from_json(const Json &in, MinionFacts &facts)
{
    const MinionFacts defaults;
    facts.incarnation = in.value("life", defaults.incarnation);
    facts.service = in.value("service", defaults.service);
    facts.dataCentre = in.value("dataCentre", defaults.dataCentre);
    facts.labels = in.value("labels", defaults.labels);
    facts.capacity = in.value("capacity", defaults.capacity);
    facts.draining = in.value("draining", defaults.draining);
    facts.remainingMs = in.value("remainingMs", defaults.remainingMs);
}

Status validateFacts(const MinionFacts &facts)
{
    if (!facts.capacity.isWithin(maxResourceAmount))
        return makeError(ErrorKind::InvalidRequest, "capacity is out of range");
    const auto isTime = [](std::int64_t value) { return value >= 0 && value <= maxExactInteger; };
    if (!isTime(facts.remainingMs))
        return makeError(ErrorKind::InvalidRequest, "remainingMs is out of range");
    if (!isTime(facts.incarnation.bornMs))
        return makeError(ErrorKind::InvalidRequest, "bornMs is out of range");
    return absl::OkStatus();
}

void to_json(Json &out, const ExchangeReply &reply)
{
    out["epoch"] = reply.epoch;
    out["life"] = reply.incarnation;
    out["grantMs"] = reply.grantMs;
    out["endsSeen"] = reply.endsSeen;
    out["absentSeen"] = reply.absentSeen;
    out["orders"] = reply.orders;
    out["snapshotSeen"] = reply.snapshotSeen;
    out["weights"] = reply.weights;
}

void from_json(const Json &in, ExchangeReply &reply)
{
    const ExchangeReply defaults;
    reply.epoch = in.value("epoch", defaults.epoch);
    reply.incarnation = in.value("life", defaults.incarnation);
    reply.grantMs = in.value("grantMs", defaults.grantMs);
    reply.endsSeen = in.value("endsSeen", defaults.endsSeen);
    reply.absentSeen = in.value("absentSeen", defaults.absentSeen);
    reply.orders = in.value("orders", defaults.orders);
    reply.snapshotSeen = in.value("snapshotSeen", defaults.snapshotSeen);
    reply.weights = in.value("weights", defaults.weights);
}

} // namespace lavenderarch
