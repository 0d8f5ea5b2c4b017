#include <oleandercross/planning/placement.h>

#include <algorithm>
#include <limits>
#include <tuple>

namespace oleandercross::planning {

namespace {

// Places the tasks of one request on the workers of one domain, a rack or all workers.
class DomainPlacer
{
public:
    DomainPlacer(const PlacementRequest &request, const Workers &workers, FreeCapacity freeCapacity,
                 const std::vector<VictimGroup> &victims)
        : m_request(request)
        , m_workers(workers)
        , m_freeCapacity(std::move(freeCapacity))
        , m_victims(victims)
    { }

    std::optional<Placement> placeTasks(const std::vector<std::string> &domain)
    {
        int remainingTasks = m_request.tasks;
        while (remainingTasks > 0) {
            const int placed = placeOnBestWorker(domain, remainingTasks);
            if (placed > 0) {
                remainingTasks -= placed;
                continue;
            }
            if (!preemptForOneTask(domain))
                return std::nullopt;
        }
        return m_result;
    }

private:
    int placeableTasks(const std::string &worker) const
    {
        const int fitting = fittingTaskCount(m_request.perTask, m_freeCapacity.at(worker));
        const auto placed = m_result.tasks.find(worker);
        const int used = placed == m_result.tasks.end() ? 0 : placed->second;
        return std::min(fitting, m_request.taskLimits.at(worker) - used);
    }

    int penalty(const std::string &worker) const
    {
        const auto found = m_request.penalties.find(worker);
        return found == m_request.penalties.end() ? 0 : found->second;
    }

    // Smaller is better: the lowest penalty, then the preferred rack, then the fastest class, then
    // the fullest worker that takes all remaining tasks, or the emptiest one if none does.
    std::tuple<int, bool, int, bool, std::int64_t, std::int64_t> rank(const std::string &worker,
                                                                      int remainingTasks) const
    {
        const Worker &info = m_workers.at(worker);
        const bool offPreferredRack =
            !m_request.preferredRack.empty() && info.rack != m_request.preferredRack;
        const bool takesAll = placeableTasks(worker) >= remainingTasks;
        const workload::Demand &free = m_freeCapacity.at(worker);
        const std::int64_t sign = takesAll ? 1 : -1;
        const auto speedClass = m_request.speedClasses.find(worker);
        return {penalty(worker),
                offPreferredRack,
                speedClass == m_request.speedClasses.end() ? 0 : speedClass->second,
                !takesAll,
                sign * free.accelerators,
                sign * free.milliCores};
    }

    int placeOnBestWorker(const std::vector<std::string> &domain, int remainingTasks)
    {
        const std::string *best = nullptr;
        for (const std::string &worker : domain) {
            if (placeableTasks(worker) > 0
                && (!best || rank(worker, remainingTasks) < rank(*best, remainingTasks)))
                best = &worker;
        }
        if (!best)
            return 0;
        const int count = std::min(remainingTasks, placeableTasks(*best));
        m_result.tasks[*best] += count;
        for (int i = 0; i < count; ++i)
            m_freeCapacity[*best] = m_freeCapacity[*best] - m_request.perTask;
        return count;
    }

    // Pre-empts a cheap set of victims, found greedily, that lets one more task fit on some worker.
    // Returns false if there is none.
    bool preemptForOneTask(const std::vector<std::string> &domain)
    {
        std::optional<std::vector<std::size_t>> best;
        double bestCost = std::numeric_limits<double>::infinity();
        for (const std::string &worker : domain) {
            const auto chosen = chooseVictims(worker);
            if (!chosen)
                continue;
            // A penalty counts as much as this many core seconds of lost work.
            double cost = penalty(worker);
            for (const std::size_t index : *chosen)
                cost += m_victims[index].cost;
            if (cost < bestCost) {
                bestCost = cost;
                best = chosen;
            }
        }
        if (!best)
            return false;
        for (const std::size_t index : *best) {
            m_result.victims.insert(index);
            m_result.cost += m_victims[index].cost;
            for (const auto &[worker, demand] : m_victims[index].freedCapacity) {
                const auto found = m_freeCapacity.find(worker);
                if (found != m_freeCapacity.end())
                    found->second = found->second + demand;
            }
        }
        return true;
    }

    // Returns victims, chosen from the cheapest on, whose pre-emption lets one more task fit on the
    // worker.
    std::optional<std::vector<std::size_t>> chooseVictims(const std::string &worker) const
    {
        const auto placed = m_result.tasks.find(worker);
        const int used = placed == m_result.tasks.end() ? 0 : placed->second;
        if (used >= m_request.taskLimits.at(worker))
            return std::nullopt;
        std::vector<std::size_t> candidates;
        for (std::size_t i = 0; i < m_victims.size(); ++i) {
            if (m_victims[i].freedCapacity.contains(worker) && !m_result.victims.contains(i))
                candidates.push_back(i);
        }
        std::sort(candidates.begin(), candidates.end(), [this](std::size_t a, std::size_t b) {
            return m_victims[a].cost < m_victims[b].cost;
        });
        std::vector<std::size_t> chosen;
        workload::Demand free = m_freeCapacity.at(worker);
        for (const std::size_t index : candidates) {
            if (fits(m_request.perTask, free))
                break;
            free = free + m_victims[index].freedCapacity.at(worker);
            chosen.push_back(index);
        }
        if (!fits(m_request.perTask, free) || chosen.empty())
            return std::nullopt;
        return dropUnneededVictims(worker, chosen);
    }

    // Removes victims that are not needed, most expensive first.
    std::vector<std::size_t> dropUnneededVictims(const std::string &worker,
                                                 std::vector<std::size_t> chosen) const
    {
        for (std::size_t i = chosen.size(); i-- > 0;) {
            workload::Demand free = m_freeCapacity.at(worker);
            for (std::size_t j = 0; j < chosen.size(); ++j) {
                if (j != i)
                    free = free + m_victims[chosen[j]].freedCapacity.at(worker);
            }
            if (fits(m_request.perTask, free))
                chosen.erase(chosen.begin() + static_cast<std::ptrdiff_t>(i));
        }
        return chosen;
    }

    const PlacementRequest &m_request;
    const Workers &m_workers;
    FreeCapacity m_freeCapacity;
    const std::vector<VictimGroup> &m_victims;
    Placement m_result;
};

std::map<std::string, std::vector<std::string>> workersByRack(const PlacementRequest &request,
                                                              const Workers &workers)
{
    std::map<std::string, std::vector<std::string>> racks;
    for (const auto &[worker, limit] : request.taskLimits)
        racks[workers.at(worker).rack].push_back(worker);
    return racks;
}

// Returns the accelerators of the domain that are free before the placement, minus those that it
// uses; capacity freed by victims does not count. The smaller, the better the fit.
std::int64_t leftoverAccelerators(const Placement &placed, const PlacementRequest &request,
                                  const FreeCapacity &freeCapacity,
                                  const std::vector<std::string> &domain)
{
    std::int64_t freeAccelerators = 0;
    for (const std::string &worker : domain) {
        const auto found = placed.tasks.find(worker);
        const int used = found == placed.tasks.end() ? 0 : found->second;
        freeAccelerators +=
            freeCapacity.at(worker).accelerators - used * request.perTask.accelerators;
    }
    return freeAccelerators;
}

int totalPenalty(const Placement &placed, const PlacementRequest &request)
{
    int total = 0;
    for (const auto &[worker, count] : placed.tasks) {
        const auto found = request.penalties.find(worker);
        total += found == request.penalties.end() ? 0 : found->second;
    }
    return total;
}

} // namespace

std::optional<Placement> place(const PlacementRequest &request, const Workers &workers,
                               const FreeCapacity &freeCapacity,
                               const std::vector<VictimGroup> &victims)
{
    if (!request.singleRack) {
        std::vector<std::string> all;
        for (const auto &[worker, limit] : request.taskLimits)
            all.push_back(worker);
        return DomainPlacer(request, workers, freeCapacity, victims).placeTasks(all);
    }
    std::optional<Placement> best;
    std::tuple<double, int, bool, std::int64_t> bestRank;
    for (const auto &[rack, domain] : workersByRack(request, workers)) {
        std::optional<Placement> placed =
            DomainPlacer(request, workers, freeCapacity, victims).placeTasks(domain);
        if (!placed)
            continue;
        const bool offPreferredRack =
            !request.preferredRack.empty() && rack != request.preferredRack;
        const std::tuple<double, int, bool, std::int64_t> rank = {
            placed->cost, totalPenalty(*placed, request), offPreferredRack,
            leftoverAccelerators(*placed, request, freeCapacity, domain)};
        if (!best || rank < bestRank) {
            best = std::move(placed);
            bestRank = rank;
        }
    }
    return best;
}

bool fitsOnSingleRack(const PlacementRequest &request, const Workers &workers)
{
    for (const auto &[rack, domain] : workersByRack(request, workers)) {
        int fitting = 0;
        for (const std::string &worker : domain)
            fitting += std::min(request.taskLimits.at(worker),
                                fittingTaskCount(request.perTask, workers.at(worker).capacity));
        if (fitting >= request.tasks)
            return true;
    }
    return false;
}

} // namespace oleandercross::planning
