#pragma once

#include <oleandercross/planning/cluster.h>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace oleandercross::planning {

// The free resources of each worker, by worker key.
using FreeCapacity = std::map<std::string, workload::Demand>;

// Runs that are pre-empted together: the active members of a gang, or a single run. Runs that are
// about to end anyway are left out, but the resources that they free are included.
struct VictimGroup
{
    std::vector<workload::RunKey> runs;
    // The resources that become free, by worker key.
    std::map<std::string, workload::Demand> freedCapacity;
    // The lost work in accelerator-weighted core seconds, times a weight that rises with the
    // urgency and the progress of the job.
    double cost = 0;
};

// Tasks of one step that are placed together.
struct PlacementRequest
{
    int tasks = 1;
    workload::Demand perTask;
    // The eligible workers and the maximum number of tasks on each.
    std::map<std::string, int> taskLimits;
    // Penalties by worker, 0 if absent. Workers with a lower penalty are preferred; when victims
    // are chosen, the penalty is added to their cost.
    std::map<std::string, int> penalties;
    // Speed classes by worker, 0 for the fastest; 0 is the default. Faster workers are preferred.
    std::map<std::string, int> speedClasses;
    // Workers on this rack are preferred; empty for no preference.
    std::string preferredRack;
    // All tasks must be on the same rack.
    bool singleRack = false;
};

struct Placement
{
    // The number of tasks by worker.
    std::map<std::string, int> tasks;
    // Indices of the victims that must be pre-empted first.
    std::set<std::size_t> victims;
    // The sum of the costs of the victims, without penalties.
    double cost = 0;
};

// Searches for a placement of all tasks that pre-empts little work and leaves little fragmented
// capacity. The search is greedy. Returns nothing if the tasks do not fit.
std::optional<Placement> place(const PlacementRequest &request, const Workers &workers,
                               const FreeCapacity &freeCapacity,
                               const std::vector<VictimGroup> &victims);

// Returns true if the tasks would fit on the workers of some rack if these were idle.
bool fitsOnSingleRack(const PlacementRequest &request, const Workers &workers);

} // namespace oleandercross::planning
