// Row keys and snapshot names.
#include "lavenderarch/scheduling/cell_keys.h"

#include <array>
#include <cstdio>

namespace lavenderarch {
namespace {

/// Fixed width, so that a scan in key order returns log rows in order of their numbers.
std::string zeroPadded(std::int64_t number)
{
    std::array<char, 24> digits{};
    std::snprintf(digits.data(), digits.size(), "%012lld", static_cast<long long>(number));
    return digits.data();
}

} // namespace

std::string cellHeadKey(const CellId &cell)
{
    return cellPrefix + cell.text() + "/head";
}

std::string cellLogPrefix(const CellId &cell)
{
    return "celllog/" + cell.text() + "/";
}

std::string cellLogKey(const CellId &cell, std::int64_t sequence)
{
    return cellLogPrefix(cell) + zeroPadded(sequence);
}

std::string cellSnapshotName(const CellId &cell, std::int64_t sequence)
{
    return "cell-" + cell.text() + "-" + zeroPadded(sequence);
}

std::string inboxPrefix(const CellId &cell)
{
    return "inbox/" + cell.text() + "/";
}

std::string jobRowKey(const JobKey &job)
{
    return jobPrefix + job.text();
}

std::string jobPartPrefix(const JobKey &job)
{
    return "jobpart/" + job.text() + "/";
}

std::string jobPartKey(const JobKey &job, const CellId &cell)
{
    return jobPartPrefix(job) + cell.text();
}

std::string voucherKey(const CustomerName &customer)
{
    return voucherPrefix + customer.text();
}

} // namespace lavenderarch
