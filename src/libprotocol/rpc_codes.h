// Mapping of error kinds to JSON-RPC error codes in the range reserved for servers.
#pragma once

#include "lavenderarch/core/error_descriptor.h"

namespace lavenderarch {

inline constexpr int firstRpcCode = -32000;

inline int rpcCodeOf(ErrorKind kind)
{
    return firstRpcCode - static_cast<int>(kind);
}

inline ErrorKind kindFromRpcCode(int code)
{
    const int index = firstRpcCode - code;
    const bool known = index >= 0 && index < static_cast<int>(errorDescriptors().size());
    return known ? static_cast<ErrorKind>(index) : ErrorKind::Internal;
}

} // namespace lavenderarch
