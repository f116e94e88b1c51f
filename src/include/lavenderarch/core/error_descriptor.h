// The table of error kinds: wire name, HTTP status, request outcome, Retry-After and exit code.
#pragma once

#include "lavenderarch/core/error_kind.h"

#include <optional>
#include <string_view>
#include <vector>

namespace lavenderarch {

/// What an error response of a kind says about whether the request was executed.
enum class RequestOutcome {
    NotRun, ///< guaranteed: the request has not run and never will
    Unknown ///< the request may have run
};

/// How errors of one kind are reported to callers.
struct ErrorDescriptor
{
    ErrorKind kind;
    std::string_view name; ///< stable name on the wire, in logs and in metric labels
    int httpStatus;
    RequestOutcome outcome;
    int retryAfterSeconds; ///< 0: no Retry-After header
    int exitCode;          ///< of lavctl

    friend bool operator==(const ErrorDescriptor &, const ErrorDescriptor &) = default;
};

/// Descriptor of `kind`; every kind has exactly one.
const ErrorDescriptor &errorDescriptor(ErrorKind kind);

/// Kind whose wire name is `name`; empty when there is none.
std::optional<ErrorKind> errorKindFromName(std::string_view name);

/// All descriptors, in the order of ErrorKind; index with the enum value.
const std::vector<ErrorDescriptor> &errorDescriptors();

} // namespace lavenderarch
