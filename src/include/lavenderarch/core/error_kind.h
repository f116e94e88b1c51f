// The closed list of error kinds used by error responses, log lines and metric labels.
#pragma once

namespace lavenderarch {

/// What went wrong. How each kind is reported to callers is in error_descriptor.h.
enum class ErrorKind {
    InvalidRequest,   ///< the caller's input is malformed; the message names the field
    NotFound,         ///< the named object does not exist
    UnknownService,   ///< no service of that name in the manifest
    Conflict,         ///< another writer changed the data first; the message names that writer
    PayloadTooLarge,  ///< the body exceeds the configured limit
    VoucherExhausted, ///< the customer's prepaid balance does not cover the work
    QuotaExceeded,    ///< the customer's quota does not cover the work
    NeverFits,        ///< the task exceeds the capacity of every VM
    DeadlineExceeded, ///< the deadline passed before the work was dispatched
    Overloaded,       ///< admission control rejected the work
    Draining,         ///< the process or endpoint is draining and accepts no new work
    NoEndpoint,       ///< no endpoint of the service can be reached
    NotReady,         ///< the process has no confirmed manifest yet
    StoreUnavailable, ///< the table service is unavailable; nothing was written
    KeyMismatch,      ///< the idempotency key was used with a different request
    InProgress,       ///< the first request with this idempotency key is still running
    StaleCommand,     ///< epoch, incarnation or start-by deadline is out of date
    OutcomeUnknown,   ///< the work may or may not have run
    CorruptedAnswer,  ///< the response failed its length or digest check
    Unreachable,      ///< the peer could not be reached; nothing was sent
    Internal          ///< a defect in this program
};

} // namespace lavenderarch
