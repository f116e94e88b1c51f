// A minion's answer to an order.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace lavenderarch {

enum class OrderAnswer {
    Accepted,         ///< carried out, now or before
    Ended,            ///< that run, or a later one, has already ended or been stopped there
    Refused,          ///< not carried out; `reason` says why
    Fenced,           ///< the minion knows a newer epoch
    OtherIncarnation, ///< another life of the minion answered
    Unknown           ///< no answer: it may be carried out, even later
};

/// Name for log lines and metric labels.
std::string_view answerName(OrderAnswer answer);

/// Value type.
struct MinionAnswer
{
    OrderAnswer answer = OrderAnswer::Unknown;
    std::string reason;
    std::int64_t clockMs = 0; ///< the minion's clock; 0 when unknown

    friend bool operator==(const MinionAnswer &, const MinionAnswer &) = default;
};

} // namespace lavenderarch
