// One record of the audit trail: operator, time, changed object, old and new value, and cause.
#pragma once

#include "lavenderarch/core/json_types.h"

#include <string>

namespace lavenderarch {

/// Written in the same transaction as the change it describes; never modified.
struct AuditRecord
{
    std::string id;
    TimePoint at;
    std::string operatorName;
    std::string subject; ///< kind of object, such as "data-centre"
    std::string object;  ///< its name
    std::string before;
    std::string after;
    std::string cause;

    /// Row key; keys sort by time.
    std::string key() const;

    friend bool operator==(const AuditRecord &, const AuditRecord &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(AuditRecord, id, at, operatorName, subject, object, before,
                                   after, cause)
};

inline constexpr const char *auditPrefix = "audit/";

} // namespace lavenderarch
