// Claims of idempotency keys, stored in the table service.
#pragma once

#include "lavenderarch/core/digest.h"
#include "lavenderarch/routing/claim_record.h"
#include "lavenderarch/routing/group_committer.h"
#include "lavenderarch/routing/versioned_claim.h"
#include "lavenderarch/storage/parse_row.h"

namespace lavenderarch {

/// Thread-safe. A key has at most one attempt that may run. A caller that replaces the attempt in
/// the row needs proof that the previous attempt did not run and never will.
template <TableService Table>
class KeyClaims
{
public:
    KeyClaims(Table &table, GroupCommitter<Table> &committer)
        : m_table(table)
        , m_committer(committer)
    {
    }

    static std::string rowKey(const ServiceName &service, const std::string &key)
    {
        return "claim/" + service.text() + "/" + contentDigest(key);
    }

    /// The claim of `key`; row version 0 when there is none.
    StatusOr<VersionedClaim> find(const ServiceName &service, const std::string &key,
                                  TimePoint deadline)
    {
        const auto row = m_table.read(rowKey(service, key), deadline);
        if (!row.ok())
            return row.status();
        if (row->version == 0)
            return VersionedClaim{};
        const auto record = parseRow<ClaimRecord>(*row);
        if (!record.ok())
            return record.status();
        return VersionedClaim{*record, row->version};
    }

    /// Replaces the row at `rowVersion` (0: no row) by `record`. Errors: Conflict when the row has
    /// another version, StoreUnavailable, OutcomeUnknown.
    Status replace(const ServiceName &service, const ClaimRecord &record, std::int64_t rowVersion,
                   TimePoint deadline)
    {
        const Replacement change = replacement(service, record, rowVersion);
        const auto result = m_committer.commit(change.transaction, change.marker, deadline);
        if (!result.ok())
            return result.status();
        if (!result->committed)
            return makeError(ErrorKind::Conflict, "the key is claimed by another request");
        return absl::OkStatus();
    }

    /// Records the outcome without waiting. When the write is lost, the outcome can still be
    /// resolved from the agent's attempt table.
    void recordOutcome(const ServiceName &service, const ClaimRecord &record,
                       std::int64_t rowVersion, TimePoint deadline)
    {
        const Replacement change = replacement(service, record, rowVersion);
        m_committer.commitAsync(change.transaction, change.marker, deadline);
    }

private:
    struct Replacement
    {
        TableTransaction transaction;
        CommitMarker marker;
    };

    static Replacement replacement(const ServiceName &service, const ClaimRecord &record,
                                   std::int64_t rowVersion)
    {
        const std::string key = rowKey(service, record.key);
        const std::string value = jsonText(record);
        return {{{{key, rowVersion}}, {{key, value}}}, {key, value}};
    }

    Table &m_table;
    GroupCommitter<Table> &m_committer;
};

} // namespace lavenderarch
