// Decision of admission control about one request.
#pragma once

#include "lavenderarch/core/error_kind.h"
#include "lavenderarch/core/identifiers.h"
#include <optional>

namespace lavenderarch {

/// Start: the request holds a slot. Wait: the request is queued and a later decision follows.
/// Refuse: the request did not run and will not run; `refusal` is set.
struct AdmissionDecision
{
    enum class Action { Start, Wait, Refuse };

    RequestId request;
    Action action = Action::Wait;
    std::optional<ErrorKind> refusal;

    friend bool operator==(const AdmissionDecision &, const AdmissionDecision &) = default;
};

} // namespace lavenderarch
