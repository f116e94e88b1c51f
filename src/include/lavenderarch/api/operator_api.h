// HTTP API of an entry for operators: manifests, data centres, endpoints and the audit trail.
#pragma once

#include "lavenderarch/api/config_watcher.h"
#include "lavenderarch/api/endpoint_directory.h"
#include "lavenderarch/http/http_request.h"
#include "lavenderarch/http/http_response.h"

#include <optional>

namespace lavenderarch {

/// Thread-safe. Every change names its operator (header Lavender-Operator) and may name a cause
/// (header Lavender-Cause); both go into the audit trail. See docs/API.md.
class OperatorApi
{
public:
    OperatorApi(HttpTable &table, ManifestHolder &holder, ConfigWatcher &config,
                EndpointDirectory &directory);

    /// Returns the response, or std::nullopt when the path does not belong to this API.
    std::optional<HttpResponse> handle(const HttpRequest &request);

private:
    HttpResponse showManifest(const HttpRequest &request);
    HttpResponse acceptManifest(const HttpRequest &request);
    HttpResponse validateManifest(const HttpRequest &request);
    HttpResponse manifestHistory();
    HttpResponse listDataCentres();
    HttpResponse changeDataCentre(const HttpRequest &request, const std::string &rest);
    HttpResponse listEndpoints();
    HttpResponse listAudit();

    HttpTable &m_table;
    ManifestStore<HttpTable> m_manifests;
    DataCentreStore<HttpTable> m_dataCentres;
    ManifestHolder &m_holder;
    ConfigWatcher &m_config;
    EndpointDirectory &m_directory;
};

/// The operator who sent `request`, for the audit trail; InvalidRequest when the header
/// Lavender-Operator is missing.
StatusOr<ChangeAuthor> authorOf(const HttpRequest &request);

} // namespace lavenderarch
