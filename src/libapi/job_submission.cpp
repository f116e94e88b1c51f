// Parses and validates submitted jobs.
#include "lavenderarch/api/job_submission.h"

#include "lavenderarch/config/schema_check.h"
#include "lavenderarch/core/digest.h"

namespace lavenderarch {
namespace {

/// Most values of a job's document; a job has a dozen fields.
constexpr std::size_t maxJobValues = 10'000;

} // namespace

StatusOr<JobSubmission> JobSubmission::parse(const std::string &text)
{
    const auto document = parseJson(text, "job", maxJobValues);
    if (!document.ok())
        return document.status();
    const Status valid = requireSchema(jobSchemaText, *document, "job is not valid:");
    if (!valid.ok())
        return valid;
    JobSubmission job;
    job.spec.job = document->at("key").get<JobKey>();
    job.spec.customer = document->at("customer").get<CustomerName>();
    job.spec.service = document->at("kind") == "service";
    job.spec.workClass = document->value("workClass", job.spec.customer.text());
    job.spec.resources = document->at("resources").get<Resources>();
    job.spec.durationMs = document->value("durationMs", std::int64_t{0});
    job.spec.urgent = document->value("urgent", false);
    job.spec.checkpointable = document->value("checkpointable", false);
    job.spec.voucherCost = document->value("voucherCost", std::int64_t{0});
    job.spec.dataCentres = document->value("dataCentres", std::vector<DataCentreName>());
    job.tasks = document->at("tasks").get<std::int64_t>();
    if (!job.spec.service && job.spec.durationMs == 0)
        return makeError(ErrorKind::InvalidRequest,
                         "job is not valid:\n  /durationMs: required for a batch job");
    job.digest = contentDigest(document->dump());
    return job;
}

} // namespace lavenderarch
