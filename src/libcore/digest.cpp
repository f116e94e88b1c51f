// Digests by xxHash.
#include "lavenderarch/core/digest.h"

#include <array>
#include <cstdio>
#include <xxhash.h>

namespace lavenderarch {

std::string contentDigest(std::string_view bytes)
{
    const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
    std::array<char, 33> text{};
    std::snprintf(text.data(), text.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(hash.high64),
                  static_cast<unsigned long long>(hash.low64));
    return text.data();
}

std::uint64_t stableHash(std::string_view bytes)
{
    return XXH3_64bits(bytes.data(), bytes.size());
}

} // namespace lavenderarch
