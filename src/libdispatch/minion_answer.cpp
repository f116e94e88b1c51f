// Names of the answers to orders.
#include "lavenderarch/dispatch/minion_answer.h"

namespace lavenderarch {

std::string_view answerName(OrderAnswer answer)
{
    switch (answer) {
    case OrderAnswer::Accepted:
        return "accepted";
    case OrderAnswer::Ended:
        return "ended";
    case OrderAnswer::Refused:
        return "refused";
    case OrderAnswer::Fenced:
        return "fenced";
    case OrderAnswer::OtherIncarnation:
        return "other-life";
    case OrderAnswer::Unknown:
        break;
    }
    return "unknown";
}

} // namespace lavenderarch
