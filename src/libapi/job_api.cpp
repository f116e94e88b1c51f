// Handlers for jobs, cells and vouchers.
#include "lavenderarch/api/job_api.h"

#include "lavenderarch/api/operator_api.h"
#include "lavenderarch/core/clock.h"
#include "lavenderarch/scheduling/inbox_item.h"
#include "lavenderarch/storage/parse_row.h"

#include <algorithm>

namespace lavenderarch {
namespace {

constexpr Milliseconds jobTimeout{8000};
constexpr int maxCommitAttempts = 20;
constexpr std::int64_t tasksPerCell = 50;
constexpr std::string_view jobsPath = "/v1/jobs/";
constexpr std::string_view cancelSuffix = "/cancel";

TimePoint jobDeadline()
{
    return SystemClock().now() + jobTimeout;
}

/// Adds to `change` one inbox row for each of `cells`, with the job's tasks divided evenly.
void addInboxRows(const JobSubmission &job, const std::vector<CellHead> &cells, TimePoint now,
                  TableTransaction &change)
{
    const auto count = static_cast<std::int64_t>(cells.size());
    std::int64_t first = 0;
    for (std::int64_t index = 0; index < count; ++index) {
        InboxItem item;
        item.spec = job.spec;
        item.firstTask = first;
        item.taskCount = job.tasks / count + (index < job.tasks % count ? 1 : 0);
        item.acceptedAt = now;
        first += item.taskCount;
        const CellId &cell = cells[static_cast<std::size_t>(index)].cell;
        const std::string key = inboxPrefix(cell) + "submit-" + job.spec.job.text();
        change.conditions.push_back({key, 0});
        change.writes.push_back({key, jsonText(item)});
    }
}

const char *stateOf(const JobRecord &record, const JobProgress &total)
{
    if (total.done + total.failed + total.cancelled >= record.tasks)
        return total.failed > 0 ? "failed" : total.cancelled > 0 ? "cancelled" : "done";
    return record.cancelled ? "cancelling" : "accepted";
}

} // namespace

JobApi::JobApi(HttpTable &table, CellManager &cells, ManifestHolder &manifest)
    : m_table(table)
    , m_cells(cells)
    , m_manifest(manifest)
    , m_committer(table)
{
}

std::optional<HttpResponse> JobApi::handle(const HttpRequest &request)
{
    const std::string target = request.method + " " + request.path;
    if (target == "POST /v1/jobs")
        return submit(request);
    if (target == "GET /v1/jobs")
        return list();
    if (target == "GET /v1/cells")
        return listCells();
    if (target == "GET /v1/vouchers")
        return listVouchers();
    if (target == "POST /v1/vouchers")
        return grantVouchers(request);
    if (request.path.rfind(jobsPath, 0) != 0)
        return std::nullopt;
    const std::string rest = request.path.substr(jobsPath.size());
    if (request.method == "GET")
        return show(JobKey(rest));
    const bool isCancel =
        rest.size() > cancelSuffix.size() &&
        rest.compare(rest.size() - cancelSuffix.size(), cancelSuffix.size(), cancelSuffix) == 0;
    if (request.method == "POST" && isCancel)
        return cancel(JobKey(rest.substr(0, rest.size() - cancelSuffix.size())));
    return std::nullopt;
}

Status JobApi::checkSubmission(const JobSubmission &job) const
{
    const auto manifest = m_manifest.current();
    if (manifest->version() == 0)
        return makeError(ErrorKind::NotReady, "no manifest has been accepted yet");
    if (!manifest->customers().empty() && manifest->findCustomer(job.spec.customer) == nullptr)
        return makeError(ErrorKind::InvalidRequest, "/customer: no customer '" +
                                                        job.spec.customer.text() +
                                                        "' in the manifest");
    for (const DataCentreName &centre : job.spec.dataCentres) {
        if (manifest->findDataCentre(centre) == nullptr)
            return makeError(ErrorKind::InvalidRequest, "/dataCentres: no data centre '" +
                                                            centre.text() + "' in the manifest");
    }
    const auto workers = m_cells.allWorkers();
    const bool fits = std::any_of(workers.begin(), workers.end(), [&](const WorkerInfo &worker) {
        return allowsDataCentre(job.spec, worker.dataCentre) &&
               job.spec.resources.fitsInto(worker.capacity);
    });
    if (!workers.empty() && !fits)
        return makeError(ErrorKind::NeverFits, "/resources: no worker in the allowed data centres "
                                               "has the capacity for " +
                                                   job.spec.resources.text());
    return absl::OkStatus();
}

StatusOr<std::vector<CellHead>> JobApi::chooseCells(const JobSubmission &job) const
{
    std::vector<CellHead> allowed;
    for (const CellHead &head : m_cells.openCells()) {
        if (allowsDataCentre(job.spec, head.dataCentre))
            allowed.push_back(head);
    }
    if (allowed.empty())
        return makeError(ErrorKind::NotReady, "no cell in the allowed data centres accepts work");
    const std::int64_t maxCells = job.spec.service ? job.tasks : 1 + job.tasks / tasksPerCell;
    if (static_cast<std::int64_t>(allowed.size()) > maxCells)
        allowed.resize(static_cast<std::size_t>(maxCells));
    return allowed;
}

StatusOr<VoucherBalance> JobApi::readBalance(const CustomerName &customer, TimePoint deadline,
                                             std::int64_t &rowVersion)
{
    const auto row = m_table.read(voucherKey(customer), deadline);
    if (!row.ok())
        return row.status();
    rowVersion = row->version;
    if (row->version == 0)
        return VoucherBalance{customer, 0, 0, 0};
    return parseRow<VoucherBalance>(*row);
}

Status JobApi::chargeVouchers(const JobSubmission &job, TimePoint deadline,
                              TableTransaction &change)
{
    const std::int64_t cost = job.spec.voucherCost * job.tasks;
    if (cost == 0)
        return absl::OkStatus();
    std::int64_t version = 0;
    const auto balance = readBalance(job.spec.customer, deadline, version);
    if (!balance.ok())
        return balance.status();
    if (balance->balance < cost)
        return makeError(ErrorKind::VoucherExhausted,
                         "the job costs " + std::to_string(cost) + " units, " +
                             job.spec.customer.text() + " has " + std::to_string(balance->balance));
    VoucherBalance after = *balance;
    after.balance -= cost;
    after.spent += cost;
    const std::string key = voucherKey(job.spec.customer);
    change.conditions.push_back({key, version});
    change.writes.push_back({key, jsonText(after)});
    return absl::OkStatus();
}

StatusOr<JobRecord> JobApi::findJob(const JobKey &key, TimePoint deadline, std::int64_t &rowVersion)
{
    const auto row = m_table.read(jobRowKey(key), deadline);
    if (!row.ok())
        return row.status();
    rowVersion = row->version;
    if (row->version == 0)
        return makeError(ErrorKind::NotFound, "no job '" + key.text() + "'");
    return parseRow<JobRecord>(*row);
}

StatusOr<JobRecord> JobApi::accept(const JobSubmission &job, TimePoint deadline)
{
    for (int attempt = 0; attempt < maxCommitAttempts; ++attempt) {
        std::int64_t version = 0;
        auto existing = findJob(job.spec.job, deadline, version);
        if (existing.ok() && existing->digest != job.digest)
            return makeError(ErrorKind::KeyMismatch,
                             "/key: the job key is already used by a different job");
        if (existing.ok() || kindOf(existing.status()) != ErrorKind::NotFound)
            return existing;
        const auto cells = chooseCells(job);
        if (!cells.ok())
            return cells.status();
        JobRecord record{job.spec, job.tasks, job.digest, makeUniqueId(), SystemClock().now(),
                         {},       false};
        for (const CellHead &head : *cells)
            record.cells.push_back(head.cell);
        const std::string key = jobRowKey(job.spec.job);
        const std::string value = jsonText(record);
        TableTransaction change{{{key, 0}}, {{key, value}}};
        const Status charged = chargeVouchers(job, deadline, change);
        if (!charged.ok())
            return charged;
        addInboxRows(job, *cells, record.acceptedAt, change);
        const auto result = m_committer.commit(change, {key, value}, deadline);
        if (!result.ok())
            return result.status();
        if (result->committed)
            return record;
    }
    return makeError(ErrorKind::Conflict, "too many concurrent changes; try again");
}

HttpResponse JobApi::submit(const HttpRequest &request)
{
    const auto job = JobSubmission::parse(request.body);
    if (!job.ok())
        return errorResponse(job.status());
    const Status valid = checkSubmission(*job);
    if (!valid.ok())
        return errorResponse(valid);
    const auto record = accept(*job, jobDeadline());
    if (!record.ok())
        return errorResponse(record.status());
    return jsonResponse(200, {{"key", record->spec.job},
                              {"tasks", record->tasks},
                              {"cell", record->cells},
                              {"submission", record->submission}});
}

StatusOr<Json> JobApi::describe(const JobRecord &record, TimePoint deadline)
{
    const auto rows = m_table.scan(jobPartPrefix(record.spec.job), deadline);
    if (!rows.ok())
        return rows.status();
    JobProgress total;
    for (const TableRow &row : *rows) {
        const auto part = parseRow<JobProgress>(row);
        if (!part.ok())
            return part.status();
        total.done += part->done;
        total.failed += part->failed;
        total.cancelled += part->cancelled;
        total.refund += part->refund;
        if (!part->lastReason.empty())
            total.lastReason = part->lastReason;
    }
    return Json{{"key", record.spec.job},
                {"customer", record.spec.customer},
                {"kind", record.spec.service ? "service" : "batch"},
                {"tasks", record.tasks},
                {"state", stateOf(record, total)},
                {"done", total.done},
                {"failed", total.failed},
                {"cancelled", total.cancelled},
                {"refund", total.refund},
                {"reason", total.lastReason},
                {"acceptedAt", record.acceptedAt}};
}

HttpResponse JobApi::show(const JobKey &key)
{
    std::int64_t version = 0;
    const auto record = findJob(key, jobDeadline(), version);
    if (!record.ok())
        return errorResponse(record.status());
    const auto description = describe(*record, jobDeadline());
    return description.ok() ? jsonResponse(200, *description) : errorResponse(description.status());
}

HttpResponse JobApi::list()
{
    const auto rows = m_table.scan(jobPrefix, jobDeadline());
    if (!rows.ok())
        return errorResponse(rows.status());
    Json jobs = Json::array();
    for (const TableRow &row : *rows) {
        const auto record = parseRow<JobRecord>(row);
        if (!record.ok())
            return errorResponse(record.status());
        const auto description = describe(*record, jobDeadline());
        if (!description.ok())
            return errorResponse(description.status());
        jobs.push_back(*description);
    }
    return jsonResponse(200, jobs);
}

HttpResponse JobApi::cancel(const JobKey &key)
{
    for (int attempt = 0; attempt < maxCommitAttempts; ++attempt) {
        std::int64_t version = 0;
        auto record = findJob(key, jobDeadline(), version);
        if (!record.ok())
            return errorResponse(record.status());
        if (record->cancelled)
            return jsonResponse(200, {{"key", key}, {"state", "cancelling"}});
        record->cancelled = true;
        record->submission = makeUniqueId();
        const std::string rowKey = jobRowKey(key);
        const std::string value = jsonText(*record);
        TableTransaction change{{{rowKey, version}}, {{rowKey, value}}};
        InboxItem item;
        item.kind = InboxKind::Cancel;
        item.spec.job = key;
        item.acceptedAt = SystemClock().now();
        for (const CellId &cell : m_cells.cells())
            change.writes.push_back({inboxPrefix(cell) + "cancel-" + key.text(), jsonText(item)});
        const auto result = m_committer.commit(change, {rowKey, value}, jobDeadline());
        if (!result.ok())
            return errorResponse(result.status());
        if (result->committed)
            return jsonResponse(200, {{"key", key}, {"state", "cancelling"}});
    }
    return errorResponse(
        makeError(ErrorKind::Conflict, "the job is being changed concurrently; try again"));
}

HttpResponse JobApi::listCells()
{
    return jsonResponse(200, m_cells.heads());
}

HttpResponse JobApi::listVouchers()
{
    const auto rows = m_table.scan(voucherPrefix, jobDeadline());
    if (!rows.ok())
        return errorResponse(rows.status());
    Json balances = Json::array();
    for (const TableRow &row : *rows)
        balances.push_back(parseJson(row.value, row.key).value_or(Json()));
    return jsonResponse(200, balances);
}

HttpResponse JobApi::grantVouchers(const HttpRequest &request)
{
    const auto author = authorOf(request);
    if (!author.ok())
        return errorResponse(author.status());
    const Json body = parseJson(request.body, "request").value_or(Json());
    const bool valid = body.is_object() && body.contains("customer") &&
                       body["customer"].is_string() && body.contains("units") &&
                       body["units"].is_number_integer() && body["units"] > 0 &&
                       body["units"] <= maxExactInteger;
    if (!valid)
        return errorResponse(makeError(ErrorKind::InvalidRequest,
                                       "/customer must be a string, /units a positive integer"));
    const CustomerName customer = body["customer"].get<CustomerName>();
    for (int attempt = 0; attempt < maxCommitAttempts; ++attempt) {
        std::int64_t version = 0;
        const auto before = readBalance(customer, jobDeadline(), version);
        if (!before.ok())
            return errorResponse(before.status());
        VoucherBalance after = *before;
        after.granted += body["units"].get<std::int64_t>();
        after.balance += body["units"].get<std::int64_t>();
        const AuditRecord audit{makeUniqueId(),
                                author->at,
                                author->operatorName,
                                "voucher",
                                customer.text(),
                                std::to_string(before->granted),
                                std::to_string(after.granted),
                                author->cause};
        const std::string auditValue = jsonText(audit);
        const std::string key = voucherKey(customer);
        const TableTransaction change{{{key, version}, {audit.key(), 0}},
                                      {{key, jsonText(after)}, {audit.key(), auditValue}}};
        const auto result = m_committer.commit(change, {audit.key(), auditValue}, jobDeadline());
        if (!result.ok())
            return errorResponse(result.status());
        if (result->committed)
            return jsonResponse(200, after);
    }
    return errorResponse(
        makeError(ErrorKind::Conflict, "the balance is being changed concurrently; try again"));
}

} // namespace lavenderarch
