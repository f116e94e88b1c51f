// HTTP interface and fault injection of the simulated table service and object store.
#include "simulated_store.h"

#include <thread>

namespace lavenderarch {
namespace {

const TimePoint noDeadline{};

HttpResponse dropConnection()
{
    return {dropConnectionStatus, {}, ""};
}

} // namespace

HttpResponse SimulatedStore::handleTable(const HttpRequest &request)
{
    std::this_thread::sleep_for(Milliseconds(m_delayMs.load()));
    if (m_down)
        return errorResponse(makeError(ErrorKind::StoreUnavailable, "table service is down"));
    m_bytes += static_cast<std::int64_t>(request.body.size());
    if (request.path == "/v1/table/row")
        return jsonResponse(200, *m_table.read(queryParameter(request, "key"), noDeadline));
    if (request.path == "/v1/table/rows")
        return jsonResponse(200, *m_table.scan(queryParameter(request, "prefix"), noDeadline));
    const auto body = parseJson(request.body, "transaction");
    if (!body.ok())
        return errorResponse(body.status());
    const auto change = fromJson<TableTransaction>(*body, "transaction");
    if (!change.ok())
        return errorResponse(change.status());
    const auto result = m_table.commit(*change, noDeadline);
    const std::int64_t commitNumber = ++m_commits;
    const int loseEvery = m_loseEvery;
    if (loseEvery > 0 && commitNumber % loseEvery == 0)
        return dropConnection();
    return jsonResponse(200, *result);
}

HttpResponse SimulatedStore::handleObject(const HttpRequest &request)
{
    if (m_down)
        return errorResponse(makeError(ErrorKind::StoreUnavailable, "object store is down"));
    const std::string name = request.path;
    if (request.method == "PUT") {
        m_bytes += static_cast<std::int64_t>(request.body.size());
        const Status stored = m_objects.put(name, request.body, noDeadline);
        return stored.ok() ? jsonResponse(200, Json::object()) : errorResponse(stored);
    }
    if (request.method == "DELETE") {
        const Status removed = m_objects.remove(name, noDeadline);
        return removed.ok() ? jsonResponse(200, Json::object()) : errorResponse(removed);
    }
    auto object = m_objects.get(name, noDeadline);
    return object.ok() ? HttpResponse{200, {}, *std::move(object)} : errorResponse(object.status());
}

HttpResponse SimulatedStore::setFaults(const Json &body)
{
    m_down = body.value("down", m_down.load());
    m_delayMs = body.value("delayMs", m_delayMs.load());
    m_loseEvery = body.value("loseEvery", m_loseEvery.load());
    return jsonResponse(200, {{"down", m_down.load()},
                              {"delayMs", m_delayMs.load()},
                              {"loseEvery", m_loseEvery.load()}});
}

Json SimulatedStore::counters() const
{
    return {{"commits", m_table.commits()}, {"reads", m_table.reads()}, {"bytes", m_bytes.load()}};
}

} // namespace lavenderarch
