#include <oleandercross/planning/placement.h>

#include <algorithm>
#include <limits>
#include <numeric>
#include <tuple>

namespace oleandercross::planning {

namespace {

template <typename T>
const T &valueAt(const std::vector<T> &values, int index)
{
    return values[static_cast<std::size_t>(index)];
}

// Places the tasks of one request on the workers of one domain, a rack or all workers.
class DomainPlacer
{
public:
    DomainPlacer(const PlacementRequest &request, const RackIndex &racks,
                 const FreeCapacity &freeCapacity, const VictimIndex *victims,
                 const std::vector<int> &domain)
        : m_request(request)
        , m_racks(racks)
        , m_victims(victims)
        , m_domain(domain)
        , m_freeCapacity(freeCapacity)
    { }

    std::optional<Placement> placeTasks()
    {
        int remainingTasks = m_request.tasks;
        while (remainingTasks > 0) {
            const int placed = placeOnBestWorker(remainingTasks);
            if (placed > 0) {
                remainingTasks -= placed;
                continue;
            }
            if (!m_victims || !preemptForOneTask())
                return std::nullopt;
        }
        return m_result;
    }

private:
    // Smaller is better: the lowest penalty, then the preferred rack, then the fastest class, then
    // the fullest worker that takes all remaining tasks, or the emptiest one if none does.
    using Rank = std::tuple<int, bool, int, bool, std::int64_t, std::int64_t>;

    int usedTasks(int worker) const
    {
        const auto placed = m_result.tasks.find(worker);
        return placed == m_result.tasks.end() ? 0 : placed->second;
    }

    int placeableTasks(int worker) const
    {
        const int limit = valueAt(m_request.taskLimits, worker);
        const workload::Demand &free = valueAt(m_freeCapacity, worker);
        if (limit <= 0 || !workload::fits(m_request.perTask, free))
            return 0;
        return std::min(workload::fittingTaskCount(m_request.perTask, free),
                        limit - usedTasks(worker));
    }

    Rank rank(int worker, bool takesAll) const
    {
        const bool offPreferredRack = m_request.preferredRack != RackIndex::NoRack
            && m_racks.rackOf(worker) != m_request.preferredRack;
        const workload::Demand &free = valueAt(m_freeCapacity, worker);
        const std::int64_t sign = takesAll ? 1 : -1;
        return {valueAt(m_request.penalties, worker),
                offPreferredRack,
                valueAt(m_request.speedClasses, worker),
                !takesAll,
                sign * free.accelerators,
                sign * free.milliCores};
    }

    int placeOnBestWorker(int remainingTasks)
    {
        std::optional<int> best;
        Rank bestRank;
        int bestCount = 0;
        for (const int worker : m_domain) {
            const int count = placeableTasks(worker);
            if (count <= 0)
                continue;
            const Rank workerRank = rank(worker, count >= remainingTasks);
            if (best && !(workerRank < bestRank))
                continue;
            best = worker;
            bestRank = workerRank;
            bestCount = std::min(count, remainingTasks);
        }
        if (!best)
            return 0;
        m_result.tasks[*best] += bestCount;
        workload::Demand &free = m_freeCapacity[static_cast<std::size_t>(*best)];
        for (int i = 0; i < bestCount; ++i)
            free = free - m_request.perTask;
        return bestCount;
    }

    // Pre-empts a cheap set of victims, found greedily, that lets one more task fit on some worker.
    // Returns false if there is none.
    bool preemptForOneTask()
    {
        std::optional<std::vector<std::size_t>> best;
        double bestCost = std::numeric_limits<double>::infinity();
        for (const int worker : m_domain) {
            if (!canReclaimForOneTask(worker))
                continue;
            auto chosen = chooseVictims(worker);
            if (!chosen)
                continue;
            // A penalty counts as much as this many core seconds of lost work.
            double cost = valueAt(m_request.penalties, worker);
            for (const std::size_t index : *chosen)
                cost += m_victims->group(index).cost;
            if (cost < bestCost) {
                bestCost = cost;
                best = std::move(chosen);
            }
        }
        if (!best)
            return false;
        for (const std::size_t index : *best) {
            const VictimGroup &group = m_victims->group(index);
            m_result.victims.insert(index);
            m_result.cost += group.cost;
            for (const auto &[worker, demand] : group.freedCapacity) {
                workload::Demand &free = m_freeCapacity[static_cast<std::size_t>(worker)];
                free = free + demand;
            }
        }
        return true;
    }

    // Returns false if no set of victims can make room for one more task on the worker.
    bool canReclaimForOneTask(int worker) const
    {
        return usedTasks(worker) < valueAt(m_request.taskLimits, worker)
            && workload::fits(m_request.perTask,
                              valueAt(m_freeCapacity, worker) + m_victims->reclaimable(worker));
    }

    // Returns victims, chosen from the cheapest on, whose pre-emption lets one more task fit on the
    // worker.
    std::optional<std::vector<std::size_t>> chooseVictims(int worker) const
    {
        std::vector<VictimIndex::Victim> chosen;
        workload::Demand free = valueAt(m_freeCapacity, worker);
        for (const VictimIndex::Victim &victim : m_victims->on(worker)) {
            if (workload::fits(m_request.perTask, free))
                break;
            if (m_result.victims.contains(victim.group))
                continue;
            free = free + victim.freed;
            chosen.push_back(victim);
        }
        if (!workload::fits(m_request.perTask, free) || chosen.empty())
            return std::nullopt;
        return dropUnneededVictims(free, chosen);
    }

    // Removes victims that are not needed, most expensive first. `free` is the capacity with all of
    // them.
    std::vector<std::size_t> dropUnneededVictims(
        workload::Demand free, const std::vector<VictimIndex::Victim> &chosen) const
    {
        std::vector<std::size_t> needed;
        for (std::size_t i = chosen.size(); i-- > 0;) {
            if (workload::fits(m_request.perTask, free - chosen[i].freed))
                free = free - chosen[i].freed;
            else
                needed.push_back(chosen[i].group);
        }
        std::reverse(needed.begin(), needed.end());
        return needed;
    }

    const PlacementRequest &m_request;
    const RackIndex &m_racks;
    const VictimIndex *m_victims;
    const std::vector<int> &m_domain;
    FreeCapacity m_freeCapacity;
    Placement m_result;
};

// Returns an upper bound of the tasks that fit on the workers of the domain if all victims were
// pre-empted. Saves the search where it cannot succeed, which is most often on a full cluster.
int maxPlaceableTasks(const PlacementRequest &request, const FreeCapacity &freeCapacity,
                      const VictimIndex *victims, const std::vector<int> &domain)
{
    int total = 0;
    for (const int worker : domain) {
        const int limit = valueAt(request.taskLimits, worker);
        if (limit <= 0)
            continue;
        workload::Demand available = valueAt(freeCapacity, worker);
        if (victims)
            available = available + victims->reclaimable(worker);
        if (!workload::fits(request.perTask, available))
            continue;
        total += std::min(limit, workload::fittingTaskCount(request.perTask, available));
        if (total >= request.tasks)
            break;
    }
    return total;
}

std::optional<Placement> placeInDomain(const PlacementRequest &request, const RackIndex &racks,
                                       const FreeCapacity &freeCapacity, const VictimIndex *victims,
                                       const std::vector<int> &domain)
{
    if (maxPlaceableTasks(request, freeCapacity, victims, domain) < request.tasks)
        return std::nullopt;
    return DomainPlacer(request, racks, freeCapacity, victims, domain).placeTasks();
}

std::vector<int> allWorkers(std::size_t count)
{
    std::vector<int> workers(count);
    std::iota(workers.begin(), workers.end(), 0);
    return workers;
}

// Returns the accelerators of the domain that are free before the placement, minus those that it
// uses; capacity freed by victims does not count. The smaller, the better the fit.
std::int64_t leftoverAccelerators(const Placement &placed, const PlacementRequest &request,
                                  const FreeCapacity &freeCapacity, const std::vector<int> &domain)
{
    std::int64_t freeAccelerators = 0;
    for (const int worker : domain) {
        if (valueAt(request.taskLimits, worker) <= 0)
            continue;
        const auto found = placed.tasks.find(worker);
        const int used = found == placed.tasks.end() ? 0 : found->second;
        freeAccelerators +=
            valueAt(freeCapacity, worker).accelerators - used * request.perTask.accelerators;
    }
    return freeAccelerators;
}

int totalPenalty(const Placement &placed, const PlacementRequest &request)
{
    return std::accumulate(placed.tasks.begin(), placed.tasks.end(), 0,
                           [&request](int total, const auto &entry) {
                               return total + valueAt(request.penalties, entry.first);
                           });
}

// Returns the class of the slowest worker, whose pace is that of a gang.
int slowestClass(const Placement &placed, const PlacementRequest &request)
{
    int slowest = std::numeric_limits<int>::min();
    for (const auto &[worker, count] : placed.tasks)
        slowest = std::max(slowest, valueAt(request.speedClasses, worker));
    return slowest;
}

} // namespace

RackIndex::RackIndex(const std::vector<std::string> &rackNames)
{
    for (const std::string &name : rackNames)
        m_indices.emplace(name, 0);
    int next = 0;
    for (auto &[name, index] : m_indices)
        index = next++;
    m_workersByRack.resize(m_indices.size());
    for (std::size_t worker = 0; worker < rackNames.size(); ++worker) {
        const int rack = m_indices.at(rackNames[worker]);
        m_rackOfWorker.push_back(rack);
        m_workersByRack[static_cast<std::size_t>(rack)].push_back(static_cast<int>(worker));
    }
}

int RackIndex::find(const std::string &name) const
{
    const auto found = m_indices.find(name);
    return name.empty() || found == m_indices.end() ? NoRack : found->second;
}

void VictimGroup::free(int worker, const workload::Demand &demand)
{
    const auto found = std::find_if(freedCapacity.begin(), freedCapacity.end(),
                                    [worker](const auto &entry) { return entry.first == worker; });
    if (found == freedCapacity.end())
        freedCapacity.emplace_back(worker, demand);
    else
        found->second = found->second + demand;
}

VictimIndex::VictimIndex(std::vector<VictimGroup> groups, std::size_t workerCount)
    : m_groups(std::move(groups))
    , m_victimsOnWorker(workerCount)
    , m_reclaimable(workerCount)
{
    for (std::size_t i = 0; i < m_groups.size(); ++i) {
        for (const auto &[worker, demand] : m_groups[i].freedCapacity) {
            const auto index = static_cast<std::size_t>(worker);
            m_victimsOnWorker[index].push_back({i, demand});
            m_reclaimable[index] = m_reclaimable[index] + demand;
        }
    }
    for (std::vector<Victim> &victims : m_victimsOnWorker) {
        std::stable_sort(victims.begin(), victims.end(), [this](const Victim &a, const Victim &b) {
            return m_groups[a.group].cost < m_groups[b.group].cost;
        });
    }
}

std::optional<Placement> place(const PlacementRequest &request, const RackIndex &racks,
                               const FreeCapacity &freeCapacity, const VictimIndex *victims)
{
    if (!request.singleRack) {
        return placeInDomain(request, racks, freeCapacity, victims,
                             allWorkers(racks.workerCount()));
    }
    std::optional<Placement> best;
    using Rank = std::tuple<double, int, bool, int, std::int64_t>;
    Rank bestRank;
    for (std::size_t rack = 0; rack < racks.workersByRack().size(); ++rack) {
        const std::vector<int> &domain = racks.workersByRack()[rack];
        std::optional<Placement> placed =
            placeInDomain(request, racks, freeCapacity, victims, domain);
        if (!placed)
            continue;
        const bool offPreferredRack = request.preferredRack != RackIndex::NoRack
            && static_cast<int>(rack) != request.preferredRack;
        const Rank rank = {placed->cost, totalPenalty(*placed, request), offPreferredRack,
                           request.preferFastRacks ? slowestClass(*placed, request) : 0,
                           leftoverAccelerators(*placed, request, freeCapacity, domain)};
        if (!best || rank < bestRank) {
            best = std::move(placed);
            bestRank = rank;
        }
    }
    return best;
}

bool fitsOnSingleRack(const PlacementRequest &request, const RackIndex &racks,
                      const std::vector<workload::Demand> &capacities)
{
    return std::any_of(racks.workersByRack().begin(), racks.workersByRack().end(),
                       [&](const std::vector<int> &domain) {
                           return maxPlaceableTasks(request, capacities, nullptr, domain)
                               >= request.tasks;
                       });
}

bool fitsOnAllRacks(const PlacementRequest &request,
                    const std::vector<workload::Demand> &capacities)
{
    return maxPlaceableTasks(request, capacities, nullptr, allWorkers(capacities.size()))
        >= request.tasks;
}

} // namespace oleandercross::planning
