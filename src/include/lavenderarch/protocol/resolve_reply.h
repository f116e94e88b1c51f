// Reply to a ResolveRequest.
#pragma once

#include "lavenderarch/core/json.h"

#include <string>

namespace lavenderarch {

/// NotRun is final: the agent has recorded that the request must not start there.
enum class RequestFate { NotRun, Running, Done, Unknown };

NLOHMANN_JSON_SERIALIZE_ENUM(RequestFate, {{RequestFate::Unknown, "unknown"},
                                           {RequestFate::NotRun, "not-run"},
                                           {RequestFate::Running, "running"},
                                           {RequestFate::Done, "done"}})

/// `httpStatus`, `contentType` and `body` are set when `fate` is Done and the agent still has the
/// response (`hasAnswer`).
struct ResolveReply
{
    RequestFate fate = RequestFate::Unknown;
    bool hasAnswer = false;
    int httpStatus = 0;
    std::string contentType;
    std::string body;

    friend bool operator==(const ResolveReply &, const ResolveReply &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(ResolveReply, fate, hasAnswer, httpStatus, contentType, body)
};

} // namespace lavenderarch
