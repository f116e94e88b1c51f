// Row keys and snapshot names of cells, inboxes, jobs and vouchers.
#pragma once

#include "lavenderarch/core/identifiers.h"

#include <cstdint>
#include <string>

namespace lavenderarch {

inline constexpr const char *cellPrefix = "cell/";
inline constexpr const char *cellMapPrefix = "cellmap/";
inline constexpr const char *jobPrefix = "job/";
inline constexpr const char *voucherPrefix = "voucher/";

std::string cellHeadKey(const CellId &cell);
std::string cellLogKey(const CellId &cell, std::int64_t sequence);
std::string cellLogPrefix(const CellId &cell);
std::string cellSnapshotName(const CellId &cell, std::int64_t sequence);
std::string inboxPrefix(const CellId &cell);
std::string jobRowKey(const JobKey &job);
std::string jobPartKey(const JobKey &job, const CellId &cell);
std::string jobPartPrefix(const JobKey &job);
std::string voucherKey(const CustomerName &customer);

} // namespace lavenderarch
