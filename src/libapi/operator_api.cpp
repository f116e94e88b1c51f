// Handlers for operators' requests.
#include "lavenderarch/api/operator_api.h"

#include "lavenderarch/core/clock.h"
#include "lavenderarch/http/header_names.h"
#include "lavenderarch/telemetry/log.h"

#include <charconv>

namespace lavenderarch {
namespace {

constexpr Milliseconds operatorTimeout{8000};
constexpr std::string_view dataCentresPath = "/v1/datacentres";

TimePoint operatorDeadline()
{
    return SystemClock().now() + operatorTimeout;
}

StatusOr<std::int64_t> expectedVersion(const HttpRequest &request)
{
    const std::string text = request.headers.find("If-Match").value_or("");
    std::int64_t version = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), version);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
        return makeError(ErrorKind::InvalidRequest,
                         "header If-Match must hold the manifest version to replace");
    return version;
}

Json toJson(const DataCentreState &state, const std::string &region)
{
    return {{"name", state.name},
            {"region", region},
            {"state", state.out ? "out" : "in"},
            {"change", state.change},
            {"author", state.author}};
}

} // namespace

StatusOr<ChangeAuthor> authorOf(const HttpRequest &request)
{
    const std::string name = request.headers.find(header::operatorName).value_or("");
    if (name.empty())
        return makeError(ErrorKind::InvalidRequest,
                         std::string("header ") + header::operatorName + " is missing");
    return ChangeAuthor{name, request.headers.find(header::cause).value_or(""),
                        SystemClock().now()};
}

OperatorApi::OperatorApi(HttpTable &table, ManifestHolder &holder, ConfigWatcher &config,
                         EndpointDirectory &directory)
    : m_table(table)
    , m_manifests(table)
    , m_dataCentres(table)
    , m_holder(holder)
    , m_config(config)
    , m_directory(directory)
{
}

std::optional<HttpResponse> OperatorApi::handle(const HttpRequest &request)
{
    const std::string target = request.method + " " + request.path;
    if (target == "GET /v1/manifest")
        return showManifest(request);
    if (target == "PUT /v1/manifest")
        return acceptManifest(request);
    if (target == "POST /v1/manifest/validate")
        return validateManifest(request);
    if (target == "GET /v1/manifest/history")
        return manifestHistory();
    if (target == "GET /v1/datacentres")
        return listDataCentres();
    if (request.method == "POST" && request.path.rfind("/v1/datacentres/", 0) == 0)
        return changeDataCentre(request, request.path.substr(dataCentresPath.size() + 1));
    if (target == "GET /v1/endpoints")
        return listEndpoints();
    if (target == "GET /v1/audit")
        return listAudit();
    return std::nullopt;
}

HttpResponse OperatorApi::showManifest(const HttpRequest &request)
{
    const std::string requestedVersion = queryParameter(request, "version");
    if (requestedVersion.empty()) {
        m_config.ensureFresh();
        const auto current = m_holder.current();
        return jsonResponse(200,
                            {{"version", current->version()}, {"document", current->document()}});
    }
    const auto manifest =
        m_manifests.version(std::atoll(requestedVersion.c_str()), operatorDeadline());
    if (!manifest.ok())
        return errorResponse(manifest.status());
    return jsonResponse(200,
                        {{"version", manifest->version()}, {"document", manifest->document()}});
}

HttpResponse OperatorApi::acceptManifest(const HttpRequest &request)
{
    const auto author = authorOf(request);
    if (!author.ok())
        return errorResponse(author.status());
    const auto expected = expectedVersion(request);
    if (!expected.ok())
        return errorResponse(expected.status());
    const auto manifest = Manifest::parse(request.body);
    if (!manifest.ok())
        return errorResponse(manifest.status());
    const auto accepted = m_manifests.accept(*manifest, *expected, *author, operatorDeadline());
    if (!accepted.ok())
        return errorResponse(accepted.status());
    m_holder.adopt(*accepted);
    logEvent(
        LogLevel::Info, "audit", "manifest accepted",
        {{"version", std::to_string(accepted->version())}, {"operator", author->operatorName}});
    return jsonResponse(200, {{"version", accepted->version()}});
}

HttpResponse OperatorApi::validateManifest(const HttpRequest &request)
{
    const auto manifest = Manifest::parse(request.body);
    return manifest.ok() ? jsonResponse(200, {{"valid", true}}) : errorResponse(manifest.status());
}

HttpResponse OperatorApi::manifestHistory()
{
    const auto records = m_manifests.history(operatorDeadline());
    return records.ok() ? jsonResponse(200, *records) : errorResponse(records.status());
}

HttpResponse OperatorApi::listDataCentres()
{
    m_config.ensureFresh();
    const DataCentreStates states = m_config.dataCentres();
    Json list = Json::array();
    const auto manifest = m_holder.current();
    for (const DataCentreSettings &settings : manifest->dataCentres()) {
        const auto found = states.find(settings.name);
        const DataCentreState state =
            found == states.end() ? DataCentreState{settings.name, false, 0, {}, 0} : found->second;
        list.push_back(toJson(state, settings.region));
    }
    return jsonResponse(200, list);
}

HttpResponse OperatorApi::changeDataCentre(const HttpRequest &request, const std::string &rest)
{
    const auto slash = rest.find('/');
    const DataCentreName name(rest.substr(0, slash));
    const std::string action = slash == std::string::npos ? "" : rest.substr(slash + 1);
    if (action != "out" && action != "back")
        return errorResponse(makeError(ErrorKind::InvalidRequest,
                                       "action '" + action + "' is neither out nor back"));
    const auto manifest = m_holder.current();
    const DataCentreSettings *settings = manifest->findDataCentre(name);
    if (settings == nullptr)
        return errorResponse(
            makeError(ErrorKind::NotFound, "no data centre '" + name.text() + "' in the manifest"));
    const auto author = authorOf(request);
    if (!author.ok())
        return errorResponse(author.status());
    const auto changed = m_dataCentres.change(name, action == "out", *author, operatorDeadline());
    if (!changed.ok())
        return errorResponse(changed.status());
    m_config.noteDataCentre(*changed);
    logEvent(LogLevel::Info, "audit", "data centre " + action,
             {{"dataCentre", name.text()}, {"operator", author->operatorName}});
    return jsonResponse(200, toJson(*changed, settings->region));
}

HttpResponse OperatorApi::listEndpoints()
{
    return jsonResponse(200, m_directory.all());
}

HttpResponse OperatorApi::listAudit()
{
    const auto rows = m_table.scan(auditPrefix, operatorDeadline());
    if (!rows.ok())
        return errorResponse(rows.status());
    Json list = Json::array();
    for (const TableRow &row : *rows)
        list.push_back(parseJson(row.value, row.key).value_or(Json()));
    return jsonResponse(200, list);
}

} // namespace lavenderarch
