#include <oleandercross/control/leader.h>

#include "leaderlimits.h"

#include <oleandercross/core/resultcode.h>
#include <oleandercross/telemetry/eventlog.h>

#include <absl/time/clock.h>

namespace oleandercross::control {

namespace {

// The learned state is worth little delay of a takeover.
constexpr int MaxLearnedStateReads = 3;
// The time after which the forecast is computed again.
constexpr absl::Duration ForecastPeriod = absl::Milliseconds(250);

} // namespace

void Leader::loadLearnedState()
{
    for (int reads = 0; reads < MaxLearnedStateReads && !m_stopping; ++reads) {
        if (const auto page = m_store.table(LearnedTable, StoreTimeout)) {
            const planning::LearnedState state = m_learnedRows.takeStored(page->rows);
            for (const auto &[key, reason] : m_planner.restoreLearnedState(state, m_clock.now()))
                telemetry::Event("learned_state_unreadable")
                    .with("key", key)
                    .with("reason", reason);
            return;
        }
        absl::SleepFor(LoadRetryPause);
    }
    telemetry::Event("learned_state_unreadable")
        .with("key", "")
        .with("reason", core::lastReason().message);
}

void Leader::addLearnedRows(std::vector<ProgressWrite> &writes, std::size_t rowCount,
                            std::size_t bytes, core::Instant now)
{
    if (!m_learnedRows.due(now))
        return;
    ProgressWrite write{NoJob, m_learnedRows.changes(m_planner.learnedState(now), now), {}};
    for (const StoredRow &row : write.puts)
        bytes += sentSize(row);
    rowCount += write.puts.size();
    if (write.puts.empty() || rowCount > LeaderLog::MaxRowsPerCommit
        || bytes > LeaderLog::MaxBytesPerCommit)
        return;
    m_metrics.add("learned_rows_stored", static_cast<std::int64_t>(write.puts.size()));
    writes.push_back(std::move(write));
}

void Leader::updateForecast(core::Instant now)
{
    if (now < m_nextForecast)
        return;
    m_nextForecast = now + ForecastPeriod;
    const core::Instant begin = m_clock.now();
    std::optional<planning::LoadForecast> forecast = m_forecaster.update(
        m_planner.openJobs(), m_planner.workersInOpenDataCentres(), m_planner.estimates(), now);
    m_metrics.observe("forecast_seconds", m_clock.now() - begin);
    absl::MutexLock lock(&m_mutex);
    m_forecast = {};
    if (forecast)
        m_forecast = {std::make_shared<const planning::LoadForecast>(*std::move(forecast)), now};
}

DatedForecast Leader::forecast() const
{
    absl::MutexLock lock(&m_mutex);
    return m_forecast;
}

void Leader::reportSpeeds(const planning::SpeedSummary &speeds)
{
    const planning::SpeedSummary last = std::exchange(m_reportedSpeeds, speeds);
    if (last == speeds)
        return;
    m_metrics.set("workers_measured", speeds.measuredWorkers);
    m_metrics.set("workers_slow", speeds.slowWorkers);
    m_metrics.set("speeds_uneven", speeds.uneven ? 1 : 0);
    if (last.uneven != speeds.uneven)
        telemetry::Event("worker_speeds")
            .with("uneven", speeds.uneven)
            .with("measured", speeds.measuredWorkers)
            .with("slow", speeds.slowWorkers);
}

} // namespace oleandercross::control
