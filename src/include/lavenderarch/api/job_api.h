// HTTP API of an entry for jobs, cells and vouchers.
#pragma once

#include "lavenderarch/api/cell_manager.h"
#include "lavenderarch/api/job_submission.h"
#include "lavenderarch/config/change_author.h"
#include "lavenderarch/http/http_request.h"
#include "lavenderarch/http/http_response.h"
#include "lavenderarch/routing/group_committer.h"
#include "lavenderarch/scheduling/job_record.h"

#include <optional>

namespace lavenderarch {

/// Thread-safe. A job is accepted in one transaction that writes the job's row, the voucher balance
/// if the job costs vouchers, and an inbox row for each cell. A key is accepted at most once, also
/// when responses are lost or the submission is repeated. See docs/API.md.
class JobApi
{
public:
    JobApi(HttpTable &table, CellManager &cells, ManifestHolder &manifest);

    /// Returns the response, or std::nullopt when the path is not one of /v1/jobs, /v1/cells,
    /// /v1/vouchers.
    std::optional<HttpResponse> handle(const HttpRequest &request);

private:
    HttpResponse submit(const HttpRequest &request);
    HttpResponse list();
    HttpResponse show(const JobKey &key);
    HttpResponse cancel(const JobKey &key);
    HttpResponse listCells();
    HttpResponse listVouchers();
    HttpResponse grantVouchers(const HttpRequest &request);

    Status checkSubmission(const JobSubmission &job) const;
    StatusOr<JobRecord> accept(const JobSubmission &job, TimePoint deadline);
    StatusOr<JobRecord> findJob(const JobKey &key, TimePoint deadline, std::int64_t &rowVersion);
    StatusOr<std::vector<CellHead>> chooseCells(const JobSubmission &job) const;
    Status chargeVouchers(const JobSubmission &job, TimePoint deadline, TableTransaction &change);
    StatusOr<VoucherBalance> readBalance(const CustomerName &customer, TimePoint deadline,
                                         std::int64_t &rowVersion);
    StatusOr<Json> describe(const JobRecord &record, TimePoint deadline);

    HttpTable &m_table;
    CellManager &m_cells;
    ManifestHolder &m_manifest;
    GroupCommitter<HttpTable> m_committer;
};

} // namespace lavenderarch
