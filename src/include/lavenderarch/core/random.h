// Random numbers. Scheduling logic takes an engine as an argument, so that a run can be reproduced
// from its seed.
#pragma once

#include <random>
#include <string>

namespace lavenderarch {

using RandomEngine = std::mt19937_64;

/// Engine seeded from std::random_device.
RandomEngine makeEntropyEngine();

/// Random 128-bit identifier as 32 hexadecimal digits. Thread-safe.
std::string makeUniqueId();

} // namespace lavenderarch
