// Assignment of workers to cells.
#include "lavenderarch/scheduling/cell_map.h"

#include <algorithm>
#include <set>

namespace lavenderarch {
namespace {

bool containsRack(const std::vector<WorkerInfo> &cell, const std::string &rack)
{
    return std::any_of(cell.begin(), cell.end(),
                       [&](const WorkerInfo &worker) { return worker.rack == rack; });
}

/// Selects the cell for a new worker; empty if none has room.
CellId cellWithRoom(const CellMap &map, const WorkerInfo &worker)
{
    CellId smallest;
    std::size_t smallestSize = maxCellWorkers;
    for (const auto &[id, members] : map.cells) {
        if (members.size() >= maxCellWorkers)
            continue;
        if (containsRack(members, worker.rack))
            return id;
        if (members.size() < smallestSize) {
            smallest = id;
            smallestSize = members.size();
        }
    }
    return smallest;
}

} // namespace

void to_json(Json &out, const CellMap &map)
{
    Json cells = Json::object();
    for (const auto &[id, members] : map.cells)
        cells[id.text()] = members;
    out = {{"dataCentre", map.dataCentre}, {"cells", cells}, {"nextCell", map.nextCell}};
}

void from_json(const Json &in, CellMap &map)
{
    map = CellMap();
    in.at("dataCentre").get_to(map.dataCentre);
    in.at("nextCell").get_to(map.nextCell);
    for (const auto &[id, members] : in.at("cells").items())
        map.cells[CellId(id)] = members.get<std::vector<WorkerInfo>>();
}

CellMap adjustCellMap(const CellMap &current, const std::vector<WorkerInfo> &workers)
{
    std::map<WorkerId, WorkerInfo> listed;
    for (const WorkerInfo &worker : workers)
        listed[worker.id] = worker;
    CellMap next = current;
    std::set<WorkerId> assigned;
    for (auto &[id, members] : next.cells) {
        std::vector<WorkerInfo> kept;
        for (const WorkerInfo &member : members) {
            const auto found = listed.find(member.id);
            if (found == listed.end())
                continue;
            kept.push_back(found->second);
            assigned.insert(member.id);
        }
        members = std::move(kept);
    }
    for (const auto &[id, worker] : listed) {
        if (assigned.count(id) != 0)
            continue;
        CellId cell = cellWithRoom(next, worker);
        if (cell.empty())
            cell = CellId(next.dataCentre.text() + "-" + std::to_string(next.nextCell++));
        next.cells[cell].push_back(worker);
    }
    return next;
}

} // namespace lavenderarch
