// Follows the changes of one table of the store on a thread of its own.
#pragma once

#include "lavenderarch/runtime/reloaded_table.h"
#include "lavenderarch/storage/row_store.h"
#include "lavenderarch/telemetry/log.h"

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <thread>

namespace lavenderarch {

/// Time for which one call waits for changes. A dead connection is noticed soon after it.
inline constexpr Milliseconds followWait{1000};
/// Time beyond followWait in which the answer must arrive.
inline constexpr Milliseconds followSlack{700};
/// Timeout of a call that reads changes without waiting for new ones, after an answer that could
/// not be transferred within followSlack. The store's largest answer takes four seconds at 2
/// Mbit/s.
inline constexpr Milliseconds catchUpTimeout{5000};
/// Delay before the next attempt after a failed call.
inline constexpr Milliseconds followRetryPause{150};
/// A follower that need not hear of each change at once leaves at least this time between its
/// calls, so that their number does not grow with the rate of changes.
inline constexpr Milliseconds batchedFollowInterval{150};

/// Runs from construction to destruction. `reload` reads all rows; `change` handles one changed
/// row; `current` learns that all changes stored by a time have been handled. They are called on
/// the follower's thread. A reload that fails is tried again. Thread-safe. Does not own the store,
/// which must outlive it.
template <RowStore Store>
class RowFollower
{
public:
    using Reload = std::function<StatusOr<ReloadedTable>()>;
    using Change = std::function<void(const Row &)>;
    using Current = std::function<void(BootTime asOf)>;

    /// Consecutive calls begin at least `interval` apart; changes in between come together. With
    /// `loadedVersion`, the caller has read the rows as of that version, and following starts
    /// from there.
    RowFollower(
        Store &store, std::string table, Reload reload, Change change,
        Current current = [](BootTime) {}, std::optional<std::int64_t> loadedVersion = std::nullopt,
        Milliseconds interval = Milliseconds(0))
        : m_store(store)
        , m_table(std::move(table))
        , m_reload(std::move(reload))
        , m_change(std::move(change))
        , m_current(std::move(current))
        , m_version(loadedVersion.value_or(0))
        , m_interval(interval)
        , m_loaded(loadedVersion.has_value())
        , m_thread([this](const std::stop_token &stop) { run(stop); })
    {
    }

    /// Time of the store's last answer; the clock's epoch before the first one.
    BootTime lastAnswer() const { return m_lastAnswer.load(); }
    /// True once all rows have been read.
    bool loaded() const { return m_loaded.load(); }
    /// Reloads all rows before the next follow call.
    void requestReload() { m_reloadRequested = true; }

private:
    void run(const std::stop_token &stop)
    {
        bool reachable = true;
        while (!stop.stop_requested()) {
            const Status done = followGuarded();
            if (done.ok() != reachable) {
                reachable = done.ok();
                if (reachable)
                    logEvent(LogLevel::Info, "follower", "following the table again",
                             {{"table", m_table}});
                else
                    logFailure("follower", "cannot follow the table; retrying", done,
                               {{"table", m_table}});
            }
            if (!done.ok())
                std::this_thread::sleep_for(followRetryPause);
        }
    }

    /// An exception of a callback, such as one for want of a thread, calls for a reload.
    Status followGuarded()
    {
        try {
            return followOnce();
        } catch (const std::exception &error) {
            m_reloadRequested = true;
            return makeError(ErrorKind::Internal, error.what());
        }
    }

    Status followOnce()
    {
        // The first reload also serves the requests made before it.
        const bool requested = m_reloadRequested.exchange(false);
        if (!m_loaded || requested) {
            Status reloaded = reload();
            if (!reloaded.ok()) {
                m_reloadRequested = true;
                return reloaded;
            }
        }
        std::this_thread::sleep_until(m_nextCall);
        // An answer may be read long after the store has sent it, so that it proves nothing about
        // changes stored after the call.
        const BootTime sentAt = BootClock::now();
        m_nextCall = sentAt + m_interval;
        const auto changes =
            m_answerCut ? m_store.changes(m_table, m_version, sentAt + catchUpTimeout)
                        : m_store.follow(m_table, m_version, sentAt + followWait + followSlack);
        m_answerCut = !changes.ok() && kindOf(changes.status()) == ErrorKind::CorruptedAnswer;
        if (!changes.ok() && kindOf(changes.status()) == ErrorKind::NotFound) {
            logEvent(LogLevel::Info, "follower",
                     "change history no longer available; reloading the table",
                     {{"table", m_table}, {"version", std::to_string(m_version)}});
            m_historyLost = true;
            m_reloadRequested = true;
            return absl::OkStatus();
        }
        if (!changes.ok())
            return changes.status();
        m_lastAnswer = BootClock::now();
        for (const Row &row : changes->rows)
            m_change(row);
        m_version = std::max(m_version, changes->version);
        m_current(sentAt);
        return absl::OkStatus();
    }

    Status reload()
    {
        const BootTime began = BootClock::now();
        const auto table = m_reload();
        if (!table.ok())
            return table.status();
        const char *reason = m_historyLost ? "history lost" : "requested";
        logEvent(LogLevel::Info, "follower", "table reloaded",
                 {{"table", m_table},
                  {"reason", m_loaded ? reason : "start"},
                  {"rows", std::to_string(table->rows)},
                  {"version", std::to_string(table->version)},
                  {"formerVersion", std::to_string(m_version)},
                  {"tookMs", std::to_string((BootClock::now() - began).count())}});
        m_version = table->version;
        m_historyLost = false;
        m_loaded = true;
        m_lastAnswer = BootClock::now();
        m_current(began);
        return absl::OkStatus();
    }

    Store &m_store;
    const std::string m_table;
    const Reload m_reload;
    const Change m_change;
    const Current m_current;
    std::int64_t m_version; // used by the thread only
    const Milliseconds m_interval;
    BootTime m_nextCall{};      // earliest time of the next call; used by the thread only
    bool m_historyLost = false; // since the last reload; used by the thread only
    bool m_answerCut = false;   // only a part of the last answer came; used by the thread only
    std::atomic<bool> m_loaded;
    std::atomic<bool> m_reloadRequested{false};
    std::atomic<BootTime> m_lastAnswer{BootTime{}};
    std::jthread m_thread; // declared last, so joined first
};

} // namespace lavenderarch
