// Takes data centres out of service and back through the table service.
#pragma once

#include "lavenderarch/audit/audit_record.h"
#include "lavenderarch/config/data_centre_state.h"
#include "lavenderarch/core/random.h"
#include "lavenderarch/storage/commit_once.h"
#include "lavenderarch/storage/parse_row.h"

#include <map>

namespace lavenderarch {

inline constexpr const char *dataCentrePrefix = "dc/";

/// Row key of a data centre. Every placement transaction has a condition on this row.
inline std::string dataCentreKey(const DataCentreName &name)
{
    return dataCentrePrefix + name.text();
}

using DataCentreStates = std::map<DataCentreName, DataCentreState>;

/// Thread-safe when the table is. Concurrent changes are serialised by the version of the row.
template <TableService Table>
class DataCentreStore
{
public:
    explicit DataCentreStore(Table &table)
        : m_table(table)
    {
    }

    /// States of all data centres that have a row.
    StatusOr<DataCentreStates> states(TimePoint deadline)
    {
        const auto rows = m_table.scan(dataCentrePrefix, deadline);
        if (!rows.ok())
            return rows.status();
        DataCentreStates states;
        for (const TableRow &row : *rows) {
            const auto state = parse(row);
            if (!state.ok())
                return state.status();
            states[state->name] = *state;
        }
        return states;
    }

    /// Changes the state of `name`. Once this returned OK with out = true, no placement in the data
    /// centre can commit. Conflict when the data centre already has the state, naming the operator
    /// who set it, or when another operator changes it at the same time.
    StatusOr<DataCentreState> change(const DataCentreName &name, bool out,
                                     const ChangeAuthor &author, TimePoint deadline)
    {
        const std::string key = dataCentreKey(name);
        const auto row = m_table.read(key, deadline);
        if (!row.ok())
            return row.status();
        DataCentreState before{name, false, 0, {}, 0};
        if (row->version != 0) {
            const auto parsed = parse(*row);
            if (!parsed.ok())
                return parsed.status();
            before = *parsed;
        }
        if (before.out == out)
            return makeError(ErrorKind::Conflict, name.text() + " is already " + stateText(out) +
                                                      " (by " + before.author.operatorName + ")");
        const DataCentreState after{name, out, before.change + 1, author, 0};
        const AuditRecord audit{makeUniqueId(), author.at,   author.operatorName,
                                "data-centre",  name.text(), stateText(before.out),
                                stateText(out), author.cause};
        const std::string auditKey = audit.key();
        const std::string auditValue = jsonText(audit);
        const TableTransaction transaction{{{key, row->version}, {auditKey, 0}},
                                           {{key, jsonText(after)}, {auditKey, auditValue}}};
        const auto result = commitOnce(m_table, transaction, {auditKey, auditValue}, deadline);
        if (!result.ok())
            return result.status();
        if (!result->committed)
            return makeError(ErrorKind::Conflict,
                             "another operator changed " + name.text() + " at the same time");
        return after;
    }

private:
    static std::string stateText(bool out) { return out ? "out" : "in"; }

    static StatusOr<DataCentreState> parse(const TableRow &row)
    {
        auto state = parseRow<DataCentreState>(row);
        if (state.ok())
            state->rowVersion = row.version;
        return state;
    }

    Table &m_table;
};

} // namespace lavenderarch
