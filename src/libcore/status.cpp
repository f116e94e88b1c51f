// Error kinds stored as a payload of absl::Status.
#include "lavenderarch/core/status.h"

#include "lavenderarch/core/error_descriptor.h"

#include <absl/strings/cord.h>

namespace lavenderarch {
namespace {

constexpr const char *kindPayload = "lavenderarch/kind";

} // namespace

Status makeError(ErrorKind kind, std::string_view message)
{
    Status status(absl::StatusCode::kUnknown, absl::string_view(message.data(), message.size()));
    const std::string_view name = errorDescriptor(kind).name;
    status.SetPayload(kindPayload, absl::Cord(absl::string_view(name.data(), name.size())));
    return status;
}

ErrorKind kindOf(const Status &status)
{
    const auto payload = status.GetPayload(kindPayload);
    if (!payload)
        return ErrorKind::Internal;
    return errorKindFromName(std::string(*payload)).value_or(ErrorKind::Internal);
}

std::string messageOf(const Status &status)
{
    const auto message = status.message();
    return std::string(message.data(), message.size());
}

} // namespace lavenderarch
