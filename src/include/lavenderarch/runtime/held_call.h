// An agent's call that its cell's owner has not answered yet.
#pragma once

#include "lavenderarch/core/boot_clock.h"
#include "lavenderarch/core/status.h"
#include "lavenderarch/dispatch/exchange_reply.h"
#include "lavenderarch/dispatch/exchange_request.h"

#include <functional>

namespace lavenderarch {

/// Moves from stage to stage until it is answered.
struct HeldCall
{
    enum class Stage {
        Arrived,  ///< the message is not handled; waits while the cell is loaded
        Polling,  ///< the message is handled; waits for orders
        Rejected, ///< this process does not own the cell; waits until another one does
    };
    using Result = StatusOr<ExchangeReply>;
    using Answer = std::function<void(Result)>;

    ExchangeRequest request;
    BootTime arrived{};
    BootTime until{}; ///< latest time of the answer
    bool waitedForLoad = false;
    std::int64_t epoch = 0; ///< in which the message was handled
    Stage stage = Stage::Arrived;
    Answer answer;
};

} // namespace lavenderarch
