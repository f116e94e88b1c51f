// absl::Status with an ErrorKind attached as payload.
#pragma once

#include "lavenderarch/core/error_kind.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <string>
#include <string_view>

namespace lavenderarch {

using Status = absl::Status;
template <typename Value>
using StatusOr = absl::StatusOr<Value>;

/// Error status of `kind` with a readable message.
Status makeError(ErrorKind kind, std::string_view message);

/// Kind of an error status; Internal when it carries no kind. Requires !status.ok().
ErrorKind kindOf(const Status &status);

/// Message as std::string (absl's string_view is not std's in every build).
std::string messageOf(const Status &status);

} // namespace lavenderarch
