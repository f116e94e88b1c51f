// The owner's view of a run with a tail target.
#pragma once

#include "lavenderarch/dispatch/tail_headroom.h"

#include <string>

namespace lavenderarch {

/// A run with a tail target.
struct ServingRun
{
    std::string image;
    TailHeadroom headroom;
    double averageHeadroom = 0; ///< own headroom, averaged over some seconds; 0: not known yet
};

} // namespace lavenderarch
