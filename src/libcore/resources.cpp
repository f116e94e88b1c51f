// Text form and component-wise maximum of resource vectors.
#include "lavenderarch/core/resources.h"

#include <algorithm>

namespace lavenderarch {

std::string Resources::text() const
{
    return std::to_string(m_milliCores) + " mcores, " + std::to_string(m_memoryMib) + " MiB, " +
           std::to_string(m_accelerators) + " accelerators";
}

Resources maximum(const Resources &left, const Resources &right)
{
    return {std::max(left.milliCores(), right.milliCores()),
            std::max(left.memoryMib(), right.memoryMib()),
            std::max(left.accelerators(), right.accelerators())};
}

} // namespace lavenderarch
