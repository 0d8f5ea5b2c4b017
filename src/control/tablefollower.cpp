#include <oleandercross/control/tablefollower.h>

#include <oleandercross/telemetry/eventlog.h>

#include <absl/time/clock.h>

namespace oleandercross::control {

namespace {

// The delay after a failed call, which limits the rate of retries during an outage.
constexpr absl::Duration RetryDelay = absl::Milliseconds(150);

} // namespace

TableFollower::TableFollower(RowStore &store, std::string table, absl::Duration wait,
                             Callbacks callbacks)
    : m_store(store)
    , m_table(std::move(table))
    , m_wait(wait)
    , m_callbacks(std::move(callbacks))
{ }

TableFollower::~TableFollower()
{
    stop();
}

void TableFollower::start()
{
    m_thread = std::thread([this] { run(); });
}

void TableFollower::stop()
{
    beginStop();
    if (m_thread.joinable())
        m_thread.join();
}

void TableFollower::run()
{
    std::optional<std::int64_t> version;
    while (!m_stopping) {
        reportPause();
        const bool answered = version ? followOnce(version) : readOnce(version);
        if (answered || m_stopping)
            continue;
        if (m_callbacks.onFailure)
            m_callbacks.onFailure();
        absl::SleepFor(RetryDelay);
    }
}

void TableFollower::reportPause()
{
    if (m_callbacks.onCall && m_callEndedAt != absl::InfinitePast())
        m_callbacks.onCall(m_clock.now() - m_callEndedAt);
}

bool TableFollower::readOnce(std::optional<std::int64_t> &version)
{
    const core::Instant askedAt = m_clock.now();
    const std::optional<RowPage> page = m_store.table(m_table, StoreTimeout);
    m_callEndedAt = m_clock.now();
    if (!page)
        return false;
    if (m_callbacks.onTable)
        m_callbacks.onTable(page->rows);
    if (m_callbacks.onUpdate)
        m_callbacks.onUpdate({true, page->rows, page->version, askedAt});
    version = page->version;
    return true;
}

bool TableFollower::followOnce(std::optional<std::int64_t> &version)
{
    const core::Instant askedAt = m_clock.now();
    const std::optional<RowFeed> feed = m_store.changes(m_table, *version, m_wait);
    m_callEndedAt = m_clock.now();
    if (!feed)
        return false;
    if (feed->historyLost) {
        logLostHistory(*version);
        version.reset();
        return true;
    }
    logRestoredHistory();
    if (m_callbacks.onChanges && !feed->rows.empty())
        m_callbacks.onChanges(feed->rows);
    version = std::max(*version, feed->version);
    if (m_callbacks.onUpdate)
        m_callbacks.onUpdate({false, feed->rows, *version, askedAt});
    return true;
}

void TableFollower::logLostHistory(std::int64_t version)
{
    if (m_repeatedReads++ == 0)
        telemetry::Event("table_history_lost").with("table", m_table).with("version", version);
}

void TableFollower::logRestoredHistory()
{
    if (m_repeatedReads > 0)
        telemetry::Event("table_changes_received_again")
            .with("table", m_table)
            .with("reads", m_repeatedReads);
    m_repeatedReads = 0;
}

} // namespace oleandercross::control
