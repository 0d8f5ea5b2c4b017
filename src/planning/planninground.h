#pragma once

#include "schedulingunit.h"

#include <oleandercross/planning/planner.h>

#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace oleandercross::planning {

// A task that was active at the begin of a round.
struct ActiveRun
{
    JobRecord *record = nullptr;
    StepProgress *progress = nullptr;
    const workload::Step *spec = nullptr;
    Task *task = nullptr;
    int occurrence = 0;
    int step = 0;
    int index = 0;
    // The index of its worker, or Planner::Round::NoWorker.
    int worker = 0;

    workload::RunKey key() const
    {
        return {{record->job().id, occurrence, step, index}, task->run};
    }
};

// Speed classes, see PlacementRequest::speedClasses. The first is that of a worker of unknown speed
// for work that may measure it.
inline constexpr int UnmeasuredClass = -1;
inline constexpr int FastestClass = 0;
inline constexpr int AverageClass = 1;
inline constexpr int SlowestClass = 2;

// Workers of a service with the same capacity.
struct WorkerClass
{
    std::string_view service;
    workload::Demand capacity;
    // The number of workers outside closed data centres.
    int count = 0;
};

// The state of one call of plan(). Everything that is looked up for each task or for each pair of a
// task and a worker is computed once and stored by index, so that the cost of a round is the size
// of the cluster plus that of the placements, not their product with string lookups.
struct Planner::Round
{
    static constexpr int NoWorker = -1;
    // An agent must carry out the starts that wait for it before they are revoked. A job of many
    // tasks therefore waits for confirmations, and jobs that have no such starts do not wait for
    // it. Gangs start as a whole and are exempt.
    static constexpr int MaxUnconfirmedStarts = 64;
    static constexpr int MaxUnconfirmedStartsOfJob = 16;
    // Bounds the list of a worker's runs, which its agent sends with each change.
    static constexpr int MaxRunsOfJobOnWorker = 500;

    core::Instant now;
    Plan plan;
    // The members below that are vectors have one element for each worker, in the order of their
    // keys.
    std::vector<const Worker *> workers;
    std::vector<workload::Demand> capacities;
    FreeCapacity freeCapacity;
    // Workers of closed data centres.
    std::vector<bool> closed;
    std::vector<int> suspicionLevels;
    std::vector<int> speedClasses;
    std::vector<double> speeds;
    std::vector<double> speedConfidence;
    // Accepting workers, and those of them without active runs.
    std::size_t acceptingCount = 0;
    std::size_t idleCount = 0;
    // Some workers take much longer than others for the same work.
    bool unevenSpeeds = false;
    // Workers with active runs, with runs that started recently, and with such runs of suspected
    // tasks.
    std::vector<bool> busy;
    std::vector<bool> hasRecentStart;
    std::vector<bool> onProbation;
    // The number of starts that a worker has not confirmed.
    std::vector<int> unconfirmedStarts;

    // The active runs of one job on one worker.
    struct JobRuns
    {
        int active = 0;
        int unconfirmed = 0;
    };

    std::map<std::pair<int, const JobRecord *>, JobRuns> jobRuns;
    // Workers reserved for upcoming jobs of priority 0.
    std::vector<bool> inUrgentReserve;
    // The workers of the reserve that late work may use.
    std::vector<bool> openToLateWork;
    RackIndex racks;
    std::vector<WorkerClass> workerClasses;
    // The index of each worker's class.
    std::vector<int> classes;
    // In the order of their keys.
    std::vector<ActiveRun> activeRuns;

    // Which runs a unit may pre-empt, and whether it waits for runs that end soon.
    struct VictimKind
    {
        int priority = 0;
        bool guaranteed = false;
        bool waitsForEnds = false;

        friend auto operator<=>(const VictimKind &, const VictimKind &) = default;
    };

    // The victims for each kind of unit. Cleared when runs are pre-empted.
    std::map<VictimKind, VictimIndex> victims;

    int indexOf(const std::string &worker) const
    {
        const auto found = indices.find(worker);
        return found == indices.end() ? NoWorker : found->second;
    }
    const Worker &worker(int index) const { return *workers[static_cast<std::size_t>(index)]; }
    bool isClosed(int index) const { return closed[static_cast<std::size_t>(index)]; }
    // Returns true if new work may start on the worker.
    bool isOpen(int index) const { return worker(index).accepting && !isClosed(index); }
    workload::Demand &free(int index) { return freeCapacity[static_cast<std::size_t>(index)]; }
    void recordRun(int worker, bool recent, bool suspect);
    // Counts an active run of a job.
    void recordJobRun(int worker, const JobRecord *record, bool confirmed);
    // Returns true if the worker may get another start of the job.
    bool mayGetStart(int worker, const JobRecord *record) const;
    // Subtracts `count` tasks from, or with a negative count adds them to, the free capacity of a
    // worker if it is known.
    void deduct(const std::string &worker, const workload::Demand &perTask, int count);

    std::unordered_map<std::string_view, int> indices;
};

} // namespace oleandercross::planning
