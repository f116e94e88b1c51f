// Row keys of audit records.
#include "lavenderarch/audit/audit_record.h"

#include <array>
#include <cstdio>

namespace lavenderarch {

std::string AuditRecord::key() const
{
    std::array<char, 24> digits{};
    std::snprintf(digits.data(), digits.size(), "%015lld", static_cast<long long>(toEpochMs(at)));
    return auditPrefix + std::string(digits.data()) + "-" + id;
}

} // namespace lavenderarch
