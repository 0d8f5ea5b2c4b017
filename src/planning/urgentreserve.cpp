#include <oleandercross/planning/planner.h>

#include "planninground.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace oleandercross::planning {

namespace {

// Capacity is reserved for the urgent jobs expected within this time plus this multiple of the stop
// time, since pre-emption cannot free capacity for them sooner.
constexpr absl::Duration UrgentReactionTime = absl::Milliseconds(300);
constexpr double StopTimesInHorizon = 2;
// The largest fraction of the accepting workers that is reserved for urgent jobs.
constexpr double MaxUrgentReserveFraction = 0.25;

} // namespace

void Planner::chooseUrgentReserve(Round &round) const
{
    const std::size_t workerCount = round.workers.size();
    std::vector<std::int64_t> freeOfRack(round.racks.workersByRack().size());
    std::vector<int> accepting;
    std::int64_t largest = 0;
    for (std::size_t i = 0; i < workerCount; ++i) {
        const auto index = static_cast<int>(i);
        if (!round.isOpen(index))
            continue;
        freeOfRack[static_cast<std::size_t>(round.racks.rackOf(index))] +=
            round.freeCapacity[i].accelerators;
        largest = std::max(largest, round.workers[i]->capacity.accelerators);
        accepting.push_back(index);
    }
    const absl::Duration horizon = UrgentReactionTime + StopTimesInHorizon * m_options.stopTime;
    const double wanted = m_urgentDemand.forecastAccelerators(round.now, horizon)
        / static_cast<double>(std::max<std::int64_t>(1, largest));
    const auto count = static_cast<std::size_t>(std::lround(
        std::min(wanted, MaxUrgentReserveFraction * static_cast<double>(accepting.size()))));
    if (count == 0)
        return;
    using Rank = std::tuple<std::int64_t, int, std::int64_t, double, int>;
    std::vector<Rank> ranks;
    for (const int worker : accepting) {
        const int rack = round.racks.rackOf(worker);
        ranks.emplace_back(-freeOfRack[static_cast<std::size_t>(rack)], rack,
                           -round.free(worker).accelerators,
                           -m_speeds.speed(round.worker(worker).key), worker);
    }
    // On a contended service most waiting work is late. It gets half of the reserve, rounded up, so
    // that neither it nor urgent jobs are left without any.
    const std::size_t chosen = std::min(count, ranks.size());
    std::partial_sort(ranks.begin(), ranks.begin() + static_cast<std::ptrdiff_t>(chosen),
                      ranks.end());
    for (std::size_t i = 0; i < chosen; ++i) {
        const auto worker = static_cast<std::size_t>(std::get<4>(ranks[i]));
        round.inUrgentReserve[worker] = true;
        round.openToLateWork[worker] = i >= chosen / 2;
    }
}

std::map<std::string, std::int64_t> Planner::urgentNeeds() const
{
    std::map<std::string, std::int64_t> needs;
    for (const auto &[id, record] : m_openJobs) {
        const workload::Job &job = record->job();
        if (ended(record->state()) || job.terms.priority != 0)
            continue;
        std::int64_t peakAccelerators = 0;
        for (const workload::Step &step : job.steps)
            peakAccelerators = std::max(peakAccelerators, step.tasks * step.perTask.accelerators);
        needs[job.account] += peakAccelerators;
    }
    return needs;
}

bool Planner::withinGuarantee(const std::string &account) const
{
    const auto guarantee = m_guarantees.find(account);
    const auto need = m_urgentNeeds.find(account);
    return guarantee != m_guarantees.end()
        && (need == m_urgentNeeds.end() || need->second <= guarantee->second);
}

} // namespace oleandercross::planning
