// Invariants asserted in every build: a process with inconsistent state aborts.
#pragma once

namespace lavenderarch {

/// Reports the violated invariant on standard error and aborts.
[[noreturn]] void reportInvariantViolation(const char *condition, const char *explanation,
                                           const char *file, int line);

} // namespace lavenderarch

/// Aborts with `explanation` when `condition` is false. Also active in release builds.
#define LAVENDER_INVARIANT(condition, explanation)                                                 \
    do {                                                                                           \
        if (!(condition))                                                                          \
            ::lavenderarch::reportInvariantViolation(#condition, explanation, __FILE__, __LINE__); \
    } while (false)
