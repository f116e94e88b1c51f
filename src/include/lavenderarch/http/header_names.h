// Names of the HTTP header fields used between callers and processes.
#pragma once

namespace lavenderarch::header {

inline constexpr const char *requestId = "Lavender-Request-Id";
inline constexpr const char *attempt = "Lavender-Attempt";
inline constexpr const char *idempotencyKey = "Idempotency-Key";
inline constexpr const char *deadline = "Lavender-Deadline-Ms"; ///< ms since the Unix epoch
inline constexpr const char *timeout = "Lavender-Timeout-Ms";   ///< ms from request arrival
inline constexpr const char *workClass = "Lavender-Class";
inline constexpr const char *customer = "Lavender-Customer";
inline constexpr const char *operatorName = "Lavender-Operator";
inline constexpr const char *cause = "Lavender-Cause";
inline constexpr const char *outcome = "Lavender-Outcome"; ///< not-run | unknown | ran
inline constexpr const char *errorKind = "Lavender-Error";
inline constexpr const char *digest = "Lavender-Digest";
inline constexpr const char *manifestVersion = "Lavender-Manifest-Version";
inline constexpr const char *incarnation = "Lavender-Incarnation";
inline constexpr const char *endpoint = "Lavender-Endpoint";
inline constexpr const char *load = "Lavender-Load";
inline constexpr const char *retryAfter = "Retry-After";
inline constexpr const char *contentType = "Content-Type";

} // namespace lavenderarch::header
