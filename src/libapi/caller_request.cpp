// Validation of a caller's path and headers.
#include "lavenderarch/api/caller_request.h"

#include "lavenderarch/core/random.h"
#include "lavenderarch/http/header_names.h"

#include <charconv>

namespace lavenderarch {
namespace {

constexpr std::string_view servicesPrefix = "/v1/services/";
constexpr std::int64_t maxTimeoutMs = 3'600'000;
constexpr std::size_t maxIdentifierBytes = 128;

StatusOr<std::optional<std::int64_t>> numberHeader(const HttpRequest &request, const char *name)
{
    const auto text = request.headers.find(name);
    if (!text)
        return std::optional<std::int64_t>();
    std::int64_t number = 0;
    const char *last = text->data() + text->size();
    const auto parsed = std::from_chars(text->data(), last, number);
    if (parsed.ec != std::errc() || parsed.ptr != last || number < 0)
        return makeError(ErrorKind::InvalidRequest,
                         std::string("header ") + name +
                             " is not a non-negative number of milliseconds");
    return std::optional<std::int64_t>(number);
}

StatusOr<TimePoint> deadlineOf(const HttpRequest &request, const ServiceSettings &service,
                               TimePoint now)
{
    const auto absolute = numberHeader(request, header::deadline);
    if (!absolute.ok())
        return absolute.status();
    const auto timeout = numberHeader(request, header::timeout);
    if (!timeout.ok())
        return timeout.status();
    TimePoint deadline = now + Milliseconds(service.timeoutMs);
    if (timeout->has_value())
        deadline = now + Milliseconds(std::min(**timeout, maxTimeoutMs));
    if (absolute->has_value())
        deadline = std::min(fromEpochMs(**absolute), now + Milliseconds(maxTimeoutMs));
    return deadline;
}

bool isSafeMethod(const std::string &method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

StatusOr<std::string> identifierHeader(const HttpRequest &request, const char *name)
{
    auto text = request.headers.find(name).value_or("");
    if (text.size() > maxIdentifierBytes)
        return makeError(ErrorKind::InvalidRequest,
                         std::string("header ") + name + " is longer than 128 bytes");
    return text;
}

} // namespace

StatusOr<CallerRequest> parseCallerRequest(const HttpRequest &request, const Manifest &manifest,
                                           TimePoint now)
{
    const std::string rest = request.path.substr(servicesPrefix.size());
    const auto slash = rest.find('/');
    const ServiceName name(rest.substr(0, slash));
    const ServiceSettings *service = manifest.findService(name);
    if (service == nullptr)
        return makeError(ErrorKind::UnknownService, "no service '" + name.text() +
                                                        "' in manifest version " +
                                                        std::to_string(manifest.version()));
    const auto id = identifierHeader(request, header::requestId);
    if (!id.ok())
        return id.status();
    const auto key = identifierHeader(request, header::idempotencyKey);
    if (!key.ok())
        return key.status();
    const auto deadline = deadlineOf(request, *service, now);
    if (!deadline.ok())
        return deadline.status();
    const std::string workClass =
        request.headers.find(header::workClass)
            .value_or(service->latencyCritical ? "latency-critical" : "batch");
    if (workClass != "latency-critical" && workClass != "batch")
        return makeError(ErrorKind::InvalidRequest, std::string("header ") + header::workClass +
                                                        " is neither latency-critical nor batch");
    CallerRequest parsed;
    parsed.id = RequestId(id->empty() ? makeUniqueId() : *id);
    parsed.service = name;
    parsed.idempotent = service->idempotent || isSafeMethod(request.method);
    parsed.latencyCritical = workClass == "latency-critical";
    parsed.maxAttempts = service->maxAttempts;
    parsed.key = *key;
    parsed.deadline = *deadline;
    parsed.manifestVersion = manifest.version();
    parsed.http = request;
    parsed.http.path = slash == std::string::npos ? "/" : rest.substr(slash);
    return parsed;
}

} // namespace lavenderarch
