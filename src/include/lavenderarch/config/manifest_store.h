// Accepts manifests and keeps their history in the table service.
#pragma once

#include "lavenderarch/audit/audit_record.h"
#include "lavenderarch/config/change_author.h"
#include "lavenderarch/config/manifest.h"
#include "lavenderarch/config/manifest_record.h"
#include "lavenderarch/core/random.h"
#include "lavenderarch/storage/commit_once.h"
#include "lavenderarch/storage/parse_row.h"

#include <array>
#include <cstdio>

namespace lavenderarch {

inline constexpr const char *manifestHeadKey = "manifest/head";
inline constexpr const char *manifestVersionPrefix = "manifest/version/";

/// Key of the row that holds manifest `version`; sorts by version. The row is written once.
inline std::string manifestVersionKey(std::int64_t version)
{
    std::array<char, 24> digits{};
    std::snprintf(digits.data(), digits.size(), "%015lld", static_cast<long long>(version));
    return manifestVersionPrefix + std::string(digits.data());
}

/// Rows: `manifest/head` holds the number of the manifest in force; `manifest/version/<n>` holds
/// each accepted one and is never changed. Thread-safe when the table is.
template <TableService Table>
class ManifestStore
{
public:
    explicit ManifestStore(Table &table)
        : m_table(table)
    {
    }

    /// The newest accepted manifest; version 0 when there is none.
    StatusOr<Manifest> latest(TimePoint deadline)
    {
        const auto head = m_table.read(manifestHeadKey, deadline);
        if (!head.ok())
            return head.status();
        if (head->version == 0)
            return Manifest();
        return version(std::stoll(head->value), deadline);
    }

    /// Number of the newest accepted manifest.
    StatusOr<std::int64_t> latestVersion(TimePoint deadline)
    {
        const auto head = m_table.read(manifestHeadKey, deadline);
        if (!head.ok())
            return head.status();
        return head->version == 0 ? 0 : std::stoll(head->value);
    }

    StatusOr<Manifest> version(std::int64_t number, TimePoint deadline)
    {
        const auto row = m_table.read(manifestVersionKey(number), deadline);
        if (!row.ok())
            return row.status();
        if (row->version == 0)
            return makeError(ErrorKind::NotFound, "no manifest version " + std::to_string(number));
        const auto record = parseRow<ManifestRecord>(*row);
        if (!record.ok())
            return record.status();
        auto manifest = Manifest::parse(jsonText(record->document));
        if (!manifest.ok())
            return manifest.status();
        return manifest->withVersion(number);
    }

    /// Accepts `manifest` as version `expected` + 1. Errors: Conflict, naming the version in
    /// force; StoreUnavailable (not accepted); OutcomeUnknown (read the history before retrying).
    StatusOr<Manifest> accept(const Manifest &manifest, std::int64_t expected,
                              const ChangeAuthor &author, TimePoint deadline)
    {
        const auto head = m_table.read(manifestHeadKey, deadline);
        if (!head.ok())
            return head.status();
        const std::int64_t current = head->version == 0 ? 0 : std::stoll(head->value);
        if (current != expected)
            return conflict(current);
        const std::int64_t next = expected + 1;
        const ManifestRecord record{next,         makeUniqueId(), author.operatorName,
                                    author.cause, author.at,      manifest.document()};
        const std::string value = jsonText(record);
        const std::string key = manifestVersionKey(next);
        const AuditRecord audit{record.writeId,        author.at,
                                author.operatorName,   "manifest",
                                manifest.deployment(), std::to_string(expected),
                                std::to_string(next),  author.cause};
        const TableTransaction change{{{manifestHeadKey, head->version}, {key, 0}},
                                      {{manifestHeadKey, std::to_string(next)},
                                       {key, value},
                                       {audit.key(), jsonText(audit)}}};
        const auto result = commitOnce(m_table, change, {key, value}, deadline);
        if (!result.ok())
            return result.status();
        if (!result->committed)
            return conflict(latestVersion(deadline).value_or(next));
        return manifest.withVersion(next);
    }

    /// All accepted manifests, oldest first.
    StatusOr<std::vector<ManifestRecord>> history(TimePoint deadline)
    {
        const auto rows = m_table.scan(manifestVersionPrefix, deadline);
        if (!rows.ok())
            return rows.status();
        std::vector<ManifestRecord> records;
        for (const TableRow &row : *rows) {
            auto record = parseRow<ManifestRecord>(row);
            if (!record.ok())
                return record.status();
            records.push_back(*std::move(record));
        }
        return records;
    }

private:
    static Status conflict(std::int64_t current)
    {
        return makeError(ErrorKind::Conflict,
                         "manifest version " + std::to_string(current) + " is in force");
    }

    Table &m_table;
};

} // namespace lavenderarch
