// The seeds that tests of simulated cells play.
#pragma once

#include <cstdint>
#include <cstdlib>
#include <utility>

namespace lavenderarch::testing {

/// Seeds 1 to 12 by default; LAVENDER_SEEDS=FIRST-LAST or LAVENDER_SEEDS=SEED overrides them.
inline std::pair<std::uint64_t, std::uint64_t> seedRange()
{
    std::pair<std::uint64_t, std::uint64_t> range{1, 12};
    if (const char *text = std::getenv("LAVENDER_SEEDS")) {
        char *dash = nullptr;
        range.first = std::strtoull(text, &dash, 10);
        range.second = *dash == '-' ? std::strtoull(dash + 1, nullptr, 10) : range.first;
    }
    return range;
}

} // namespace lavenderarch::testing
