#pragma once

#include <oleandercross/workload/job.h>

#include <absl/container/inlined_vector.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace oleandercross::planning {

// Workers and racks are identified by their indices in one round of planning. Workers are ordered
// by key and racks by name.

// The free resources by worker index.
using FreeCapacity = std::vector<workload::Demand>;

// The racks of the workers and the workers of the racks, in both directions.
class RackIndex
{
public:
    RackIndex() = default;
    // Takes the name of the rack of each worker.
    explicit RackIndex(const std::vector<std::string> &rackNames);

    int rackOf(int worker) const { return m_rackOfWorker[static_cast<std::size_t>(worker)]; }
    // Returns the index of a rack, or NoRack if no worker is on it.
    int find(const std::string &name) const;
    const std::vector<std::vector<int>> &workersByRack() const { return m_workersByRack; }
    std::size_t workerCount() const { return m_rackOfWorker.size(); }

    static constexpr int NoRack = -1;

private:
    std::vector<int> m_rackOfWorker;
    std::vector<std::vector<int>> m_workersByRack;
    std::map<std::string, int> m_indices;
};

// Runs that are pre-empted together: the active members of a gang, or a single run. Runs that are
// about to end anyway are left out, but the resources that they free are included.
struct VictimGroup
{
    // Indices of the runs in the list of active runs of the round.
    absl::InlinedVector<std::size_t, 1> runs;
    // The resources that become free, by worker index; every worker occurs once.
    absl::InlinedVector<std::pair<int, workload::Demand>, 1> freedCapacity;
    // The lost work in accelerator-weighted core seconds, times a weight that rises with the
    // urgency and the progress of the job.
    double cost = 0;

    void free(int worker, const workload::Demand &demand);
};

// The possible victims and the workers on which each of them frees resources.
class VictimIndex
{
public:
    VictimIndex(std::vector<VictimGroup> groups, std::size_t workerCount);

    struct Victim
    {
        std::size_t group = 0;
        workload::Demand freed;
    };

    const VictimGroup &group(std::size_t index) const { return m_groups[index]; }
    std::size_t groupCount() const { return m_groups.size(); }
    // Returns the victims on a worker, cheapest first.
    const std::vector<Victim> &on(int worker) const
    {
        return m_victimsOnWorker[static_cast<std::size_t>(worker)];
    }
    // Returns the sum of what the victims free on a worker.
    const workload::Demand &reclaimable(int worker) const
    {
        return m_reclaimable[static_cast<std::size_t>(worker)];
    }

private:
    std::vector<VictimGroup> m_groups;
    std::vector<std::vector<Victim>> m_victimsOnWorker;
    std::vector<workload::Demand> m_reclaimable;
};

// Tasks of one step that are placed together.
struct PlacementRequest
{
    int tasks = 1;
    workload::Demand perTask;
    // The maximum number of tasks by worker index; 0 for workers that are not eligible.
    std::vector<int> taskLimits;
    // Penalties by worker index. Workers with a lower penalty are preferred; when victims are
    // chosen, the penalty is added to their cost.
    std::vector<int> penalties;
    // Speed classes by worker index, 0 for the fastest. Faster workers are preferred.
    std::vector<int> speedClasses;
    // A rack with faster workers is preferred to one that the tasks fill better.
    bool preferFastRacks = false;
    // Workers on this rack are preferred; RackIndex::NoRack for no preference.
    int preferredRack = RackIndex::NoRack;
    // All tasks must be on the same rack.
    bool singleRack = false;
};

struct Placement
{
    // The number of tasks by worker index.
    std::map<int, int> tasks;
    // Indices of the victim groups that must be pre-empted first.
    std::set<std::size_t> victims;
    // The sum of the costs of the victims, without penalties.
    double cost = 0;

    friend bool operator==(const Placement &, const Placement &) = default;
};

// Searches for a placement of all tasks that pre-empts little work and leaves little fragmented
// capacity. The search is greedy. Without victims, only free capacity is used. Returns nothing if
// the tasks do not fit.
std::optional<Placement> place(const PlacementRequest &request, const RackIndex &racks,
                               const FreeCapacity &freeCapacity, const VictimIndex *victims);

// Returns true if the tasks would fit on the workers of some rack if these were idle, with
// `capacities` by worker index.
bool fitsOnSingleRack(const PlacementRequest &request, const RackIndex &racks,
                      const std::vector<workload::Demand> &capacities);
// The same on the workers of all racks together.
bool fitsOnAllRacks(const PlacementRequest &request,
                    const std::vector<workload::Demand> &capacities);

} // namespace oleandercross::planning
