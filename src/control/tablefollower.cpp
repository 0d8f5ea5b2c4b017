#include <oleandercross/control/tablefollower.h>

#include <oleandercross/core/clock.h>

#include <absl/time/clock.h>

namespace oleandercross::control {

namespace {

constexpr int RowsPerPage = 500;
// Pause after a failed call, so that an outage is not answered by a storm of calls.
constexpr absl::Duration RetryPause = absl::Milliseconds(150);

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
    m_stopping = true;
    if (m_thread.joinable())
        m_thread.join();
}

absl::Time TableFollower::lastAnswer() const
{
    return absl::FromUnixMillis(m_lastAnswerMs);
}

std::optional<std::int64_t> TableFollower::readTable()
{
    std::vector<StoredRow> rows;
    std::optional<std::int64_t> version;
    std::string from;
    while (true) {
        const std::optional<RowPage> page = m_store.range(m_table, from, RowsPerPage, StoreTimeout);
        if (!page)
            return std::nullopt;
        // Changes made while later pages are read are seen again in the feed.
        if (!version)
            version = page->version;
        rows.insert(rows.end(), page->rows.begin(), page->rows.end());
        if (!page->more || page->rows.empty())
            break;
        from = page->rows.back().key + '\0';
    }
    m_callbacks.onTable(rows);
    return version;
}

void TableFollower::run()
{
    const core::BootClock clock;
    std::optional<std::int64_t> version;
    while (!m_stopping) {
        const bool answered = version ? followOnce(version) : readOnce(version);
        if (answered) {
            m_lastAnswerMs = absl::ToUnixMillis(clock.now());
            continue;
        }
        if (m_callbacks.onFailure)
            m_callbacks.onFailure();
        absl::SleepFor(RetryPause);
    }
}

bool TableFollower::readOnce(std::optional<std::int64_t> &version)
{
    version = readTable();
    return version.has_value();
}

bool TableFollower::followOnce(std::optional<std::int64_t> &version)
{
    const std::optional<RowFeed> feed = m_store.changes(m_table, *version, m_wait);
    if (!feed)
        return false;
    if (feed->historyLost) {
        version.reset();
        return true;
    }
    if (!feed->rows.empty())
        m_callbacks.onChanges(feed->rows);
    version = std::max(*version, feed->version);
    return true;
}

} // namespace oleandercross::control
