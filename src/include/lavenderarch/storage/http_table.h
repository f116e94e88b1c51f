// Adapter to the table service's HTTP interface.
#pragma once

#include "lavenderarch/core/address.h"
#include "lavenderarch/storage/table_service.h"

namespace lavenderarch {

class HttpClient;

/// Thread-safe; does not own the client. Reads are sent again on a closed connection, commits not.
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
