// Load of one class of work on a worker.
#pragma once

#include <string>

namespace lavenderarch {

/// Processors that tasks of one class use on a worker, as a share of the worker's capacity.
struct ClassLoad
{
    std::string workClass;
    double share = 0;

    friend bool operator==(const ClassLoad &, const ClassLoad &) = default;
};

} // namespace lavenderarch
