// Reporting of invariant violations.
#include "lavenderarch/core/invariant.h"

#include <cstdio>
#include <cstdlib>

namespace lavenderarch {

void reportInvariantViolation(const char *condition, const char *explanation, const char *file,
                              int line)
{
    std::fprintf(stderr, "%s:%d: invariant violated: %s (%s)\n", file, line, explanation,
                 condition);
    std::abort();
}

} // namespace lavenderarch
