// Header fields, query parameters and the conversion between errors and HTTP responses.
#include "lavenderarch/core/error_descriptor.h"
#include "lavenderarch/http/header_names.h"
#include "lavenderarch/http/http_request.h"
#include "lavenderarch/http/http_response.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <civetweb.h>

namespace lavenderarch {
namespace {

bool equalIgnoringCase(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
        return std::tolower(static_cast<unsigned char>(a)) ==
               std::tolower(static_cast<unsigned char>(b));
    });
}

std::string_view outcomeName(RequestOutcome outcome)
{
    return outcome == RequestOutcome::NotRun ? "not-run" : "unknown";
}

} // namespace

void HttpHeaders::set(std::string name, std::string value)
{
    for (Field &field : m_fields) {
        if (equalIgnoringCase(field.first, name)) {
            field.second = std::move(value);
            return;
        }
    }
    m_fields.emplace_back(std::move(name), std::move(value));
}

std::optional<std::string> HttpHeaders::find(std::string_view name) const
{
    for (const Field &field : m_fields) {
        if (equalIgnoringCase(field.first, name))
            return field.second;
    }
    return std::nullopt;
}

std::string queryParameter(const HttpRequest &request, std::string_view name)
{
    std::array<char, 1024> buffer{};
    const int length = mg_get_var(request.query.data(), request.query.size(),
                                  std::string(name).c_str(), buffer.data(), buffer.size());
    return length > 0 ? std::string(buffer.data(), static_cast<std::size_t>(length))
                      : std::string();
}

HttpResponse jsonResponse(int status, const Json &body)
{
    return {status, {{header::contentType, "application/json"}}, jsonText(body) + "\n"};
}

HttpResponse errorResponse(const Status &error)
{
    const ErrorDescriptor &descriptor = errorDescriptor(kindOf(error));
    HttpResponse response =
        jsonResponse(descriptor.httpStatus,
                     {{"error", {{"kind", descriptor.name}, {"message", messageOf(error)}}}});
    response.headers.set(header::errorKind, std::string(descriptor.name));
    response.headers.set(header::outcome, std::string(outcomeName(descriptor.outcome)));
    if (descriptor.retryAfterSeconds > 0)
        response.headers.set(header::retryAfter, std::to_string(descriptor.retryAfterSeconds));
    return response;
}

Status errorFromResponse(const HttpResponse &response)
{
    const auto name = response.headers.find(header::errorKind);
    if (!name)
        return absl::OkStatus();
    const ErrorKind kind = errorKindFromName(*name).value_or(ErrorKind::Internal);
    const auto body = parseJson(response.body, "error response");
    const Json::json_pointer message("/error/message");
    if (body.ok() && body->contains(message) && body->at(message).is_string())
        return makeError(kind, body->at(message).get<std::string>());
    return makeError(kind, *name);
}

} // namespace lavenderarch
