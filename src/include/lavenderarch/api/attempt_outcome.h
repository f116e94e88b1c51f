// How one attempt of a request ended.
#pragma once

#include "lavenderarch/core/status.h"
#include "lavenderarch/http/http_response.h"

namespace lavenderarch {

/// Answered: `response` is complete and verified. NotRun: it is proven that the attempt did not
/// run. Ambiguous: it may have run. `error` is set unless the kind is Answered.
struct AttemptOutcome
{
    enum class Kind { Answered, NotRun, Ambiguous };

    Kind kind = Kind::Ambiguous;
    HttpResponse response;
    Status error;

    friend bool operator==(const AttemptOutcome &, const AttemptOutcome &) = default;
};

} // namespace lavenderarch
