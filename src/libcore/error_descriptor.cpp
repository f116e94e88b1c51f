// The table of error kinds.
#include "lavenderarch/core/error_descriptor.h"

#include <algorithm>

namespace lavenderarch {

const std::vector<ErrorDescriptor> &errorDescriptors()
{
    using enum ErrorKind;
    using enum RequestOutcome;
    static const std::vector<ErrorDescriptor> descriptors = {
        {InvalidRequest, "invalid-request", 400, NotRun, 0, 2},
        {NotFound, "not-found", 404, NotRun, 0, 3},
        {UnknownService, "unknown-service", 404, NotRun, 0, 3},
        {Conflict, "conflict", 409, NotRun, 0, 4},
        {PayloadTooLarge, "payload-too-large", 413, NotRun, 0, 2},
        {VoucherExhausted, "voucher-exhausted", 402, NotRun, 0, 5},
        {QuotaExceeded, "quota-exceeded", 429, NotRun, 30, 5},
        {NeverFits, "never-fits", 422, NotRun, 0, 5},
        {DeadlineExceeded, "deadline-exceeded", 504, NotRun, 0, 6},
        {Overloaded, "overloaded", 503, NotRun, 1, 7},
        {Draining, "draining", 503, NotRun, 1, 7},
        {NoEndpoint, "no-endpoint", 503, NotRun, 1, 7},
        {NotReady, "not-ready", 503, NotRun, 1, 7},
        {StoreUnavailable, "store-unavailable", 503, NotRun, 5, 7},
        {KeyMismatch, "key-mismatch", 422, NotRun, 0, 2},
        {InProgress, "in-progress", 409, Unknown, 1, 8},
        {StaleCommand, "stale-command", 409, NotRun, 0, 4},
        {OutcomeUnknown, "outcome-unknown", 502, Unknown, 0, 8},
        {CorruptedAnswer, "corrupted-answer", 502, Unknown, 0, 8},
        {Unreachable, "unreachable", 503, NotRun, 1, 7},
        {Internal, "internal", 500, Unknown, 0, 1},
    };
    return descriptors;
}

const ErrorDescriptor &errorDescriptor(ErrorKind kind)
{
    return errorDescriptors()[static_cast<std::size_t>(kind)];
}

std::optional<ErrorKind> errorKindFromName(std::string_view name)
{
    const auto &descriptors = errorDescriptors();
    const auto found =
        std::find_if(descriptors.begin(), descriptors.end(),
                     [name](const ErrorDescriptor &descriptor) { return descriptor.name == name; });
    if (found == descriptors.end())
        return std::nullopt;
    return found->kind;
}

} // namespace lavenderarch
