// Adapter for the HTTP interface of the table service.
#pragma once

#include "lavenderarch/core/address.h"
#include "lavenderarch/storage/table_service.h"

namespace lavenderarch {

class HttpClient;

/// Thread-safe; does not own the client. Reads are resent when a pooled connection turns out
/// to be closed; commits are not.
class HttpTable
{
public:
    HttpTable(HttpClient &client, Address address);

    StatusOr<TableRow> read(const std::string &key, TimePoint deadline);
    StatusOr<std::vector<TableRow>> scan(const std::string &prefix, TimePoint deadline);
    StatusOr<CommitResult> commit(const TableTransaction &change, TimePoint deadline);

private:
    HttpClient &m_client;
    Address m_address;
};

static_assert(TableService<HttpTable>);

} // namespace lavenderarch
