#include <oleandercross/control/leader.h>

#include "leaderlimits.h"

#include <oleandercross/core/resultcode.h>
#include <oleandercross/telemetry/eventlog.h>

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

namespace oleandercross::control {

namespace {

// The part of the bound after which the set of closed data centres is too old for new starts.
constexpr double MaxAgeFraction = 0.5;
// An agent's two attempts to start a run take up to 550 ms, and begin this long before the bound.
constexpr absl::Duration StartMargin = absl::Milliseconds(600);

} // namespace

bool Leader::loadClosures()
{
    while (!m_stopping && m_closures->enabled()) {
        const core::Instant askedAt = m_clock.now();
        if (const auto page = m_store.table(m_options.configTable, StoreTimeout)) {
            m_closures->apply({true, page->rows, page->version, askedAt});
            break;
        }
        telemetry::Event("leader_load_retried").with("reason", core::lastReason().message);
        absl::SleepFor(LoadRetryPause);
    }
    return !m_stopping;
}

bool Leader::mayOrderStarts(core::Instant now) const
{
    return !m_closures->enabled()
        || now - m_closures->confirmedAt() <= m_options.closureBound * MaxAgeFraction;
}

core::Instant Leader::startsUntil() const
{
    if (!m_closures->enabled() || m_options.closureBound == absl::InfiniteDuration())
        return absl::InfiniteFuture();
    return m_closures->confirmedAt() + m_options.closureBound - StartMargin;
}

void Leader::applyClosures(core::Instant now)
{
    const std::shared_ptr<const ClosedDataCentres> closed = m_closures->current();
    if (closed != m_appliedClosures) {
        m_planner.setClosedDataCentres(closed->names());
        m_appliedClosures = closed;
    }
    const bool suspended = !mayOrderStarts(now);
    m_planner.setStartsSuspended(suspended);
    if (std::exchange(m_startsSuspended, suspended) == suspended)
        return;
    telemetry::Event(suspended ? "starts_suspended" : "starts_resumed")
        .with("closures_age_ms", absl::ToInt64Milliseconds(now - m_closures->confirmedAt()));
}

void Leader::logRefusedStart(const planning::Order &order, OrderResult result)
{
    constexpr core::ResultCode Closed = core::ResultCode::DataCentreClosed;
    // Agents report no code with other refusals.
    const std::string reason = result == OrderResult::DataCentreClosed
        ? absl::StrCat(static_cast<int>(Closed), " ", std::string(core::name(Closed)))
        : toString(result);
    telemetry::Event("start_refused")
        .with("task", toString(order.run.task))
        .with("run", order.run.run)
        .with("worker", order.worker)
        .with("reason", reason);
}

} // namespace oleandercross::control
