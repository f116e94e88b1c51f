// A minion's answer to an order.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace lavenderarch {

enum class OrderAnswer {
    Accepted,         ///< executed, now or earlier
    Ended,            ///< that run or a later one has already ended or been stopped on the minion
    Refused,          ///< not executed; `reason` says why
    Fenced,           ///< rejected because the minion has seen a newer epoch
    OtherIncarnation, ///< another incarnation of the minion answered
    Unknown           ///< no answer; the order may have been executed or may still be
};

/// Name of the answer in log lines and metric labels.
std::string_view answerName(OrderAnswer answer);

/// Value type.
struct MinionAnswer
{
    OrderAnswer answer = OrderAnswer::Unknown;
    std::string reason;
    std::int64_t clockMs = 0; ///< the minion's steady clock; 0 if unknown

    friend bool operator==(const MinionAnswer &, const MinionAnswer &) = default;
};

} // namespace lavenderarch
