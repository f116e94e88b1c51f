// Prepaid balance of a customer.
#pragma once

#include "lavenderarch/core/identifiers.h"
#include "lavenderarch/core/json_types.h"

namespace lavenderarch {

/// Row `voucher/<customer>`. Invariant: granted == balance + spent, and balance >= 0. The row
/// changes only in transactions that accept work, refund it, or grant units.
struct VoucherBalance
{
    CustomerName customer;
    std::int64_t granted = 0;
    std::int64_t balance = 0;
    std::int64_t spent = 0;

    friend bool operator==(const VoucherBalance &, const VoucherBalance &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(VoucherBalance, customer, granted, balance, spent)
};

} // namespace lavenderarch
