// Content digests and stable hashes (xxHash).
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace lavenderarch {

/// 128-bit XXH3 digest of `bytes` as 32 hexadecimal digits. Detects corruption, not forgery.
std::string contentDigest(std::string_view bytes);

/// 64-bit XXH3 hash, stable across VMs and versions.
std::uint64_t stableHash(std::string_view bytes);

} // namespace lavenderarch
