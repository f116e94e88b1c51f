// Compact JSON form of ledger changes: fields with their default value are omitted.
#include "lavenderarch/scheduling/ledger_change.h"

#include <algorithm>

namespace lavenderarch {
namespace {

template <typename Value>
void writeUnlessDefault(Json &out, const char *name, const Value &value)
{
    if (value != Value())
        out[name] = value;
}

template <typename Value>
void readIfPresent(const Json &in, const char *name, Value &value)
{
    if (in.contains(name))
        in.at(name).get_to(value);
}

} // namespace

bool allowsDataCentre(const TaskSpec &spec, const DataCentreName &dataCentre)
{
    return spec.dataCentres.empty() || std::find(spec.dataCentres.begin(), spec.dataCentres.end(),
                                                 dataCentre) != spec.dataCentres.end();
}

void to_json(Json &out, const LedgerChange &change)
{
    out = Json::object();
    out["kind"] = change.kind;
    writeUnlessDefault(out, "task", change.task);
    writeUnlessDefault(out, "job", change.job);
    writeUnlessDefault(out, "incarnation", change.incarnation);
    writeUnlessDefault(out, "worker", change.worker);
    writeUnlessDefault(out, "reserved", change.reserved);
    writeUnlessDefault(out, "startBy", change.startBy);
    writeUnlessDefault(out, "at", change.at);
    writeUnlessDefault(out, "progress", change.progress);
    writeUnlessDefault(out, "failedHere", change.failedHere);
    writeUnlessDefault(out, "reason", change.reason);
    writeUnlessDefault(out, "tasks", change.tasks);
    writeUnlessDefault(out, "workers", change.workers);
}

void from_json(const Json &in, LedgerChange &change)
{
    change = LedgerChange();
    in.at("kind").get_to(change.kind);
    readIfPresent(in, "task", change.task);
    readIfPresent(in, "job", change.job);
    readIfPresent(in, "incarnation", change.incarnation);
    readIfPresent(in, "worker", change.worker);
    readIfPresent(in, "reserved", change.reserved);
    readIfPresent(in, "startBy", change.startBy);
    readIfPresent(in, "at", change.at);
    readIfPresent(in, "progress", change.progress);
    readIfPresent(in, "failedHere", change.failedHere);
    readIfPresent(in, "reason", change.reason);
    readIfPresent(in, "tasks", change.tasks);
    readIfPresent(in, "workers", change.workers);
}

} // namespace lavenderarch
