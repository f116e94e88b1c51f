// The table from error kind to the answer a caller sees.
#pragma once

#include "lavenderarch/core/error_kind.h"

#include <optional>
#include <string_view>
#include <vector>

namespace lavenderarch {

/// What a refusal of a kind says about the caller's request.
enum class RequestOutcome {
    NotRun, ///< it is proven that the request did not run and never will
    Unknown ///< the request may have run
};

/// One row of the table: wire name, HTTP status, proof, suggested wait and process exit code.
struct ErrorDescriptor
{
    ErrorKind kind;
    std::string_view name;
    int httpStatus;
    RequestOutcome outcome;
    int retryAfterSeconds; ///< 0: no Retry-After header
    int exitCode;          ///< of lavctl

    friend bool operator==(const ErrorDescriptor &, const ErrorDescriptor &) = default;
};

/// Row of `kind`; every kind has exactly one.
const ErrorDescriptor &errorDescriptor(ErrorKind kind);

/// Kind with the wire name `name`, if there is one.
std::optional<ErrorKind> errorKindFromName(std::string_view name);

/// All rows, in the order of the enumeration.
const std::vector<ErrorDescriptor> &errorDescriptors();

} // namespace lavenderarch
