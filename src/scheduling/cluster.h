#pragma once

#include "slots.h"

#include <oleandercross/config/manifest.h>
#include <oleandercross/scheduling/action.h>
#include <oleandercross/scheduling/job.h>

#include <absl/container/flat_hash_map.h>

#include <array>
#include <optional>
#include <vector>

namespace oleandercross::scheduling::detail {

struct Job;

inline constexpr std::size_t LevelCount = 5;
using LevelCounts = std::array<int, LevelCount>;

// The requirements of a gang, independent of its account and team.
struct Shape
{
    int tasks = 1;
    core::Resources perTask;
    Adjacency adjacency = Adjacency::DataCentre;
    bool hardAdjacency = false;
    // The gang cannot be moved once it runs.
    bool immovable = false;

    friend bool operator==(const Shape &, const Shape &) = default;

    template <typename H>
    // NOLINTNEXTLINE(readability-identifier-naming): the name is Abseil's.
    friend H AbslHashValue(H state, const Shape &shape)
    {
        return H::combine(std::move(state), shape.tasks, shape.perTask.accelerators,
                          shape.perTask.cores, shape.perTask.memoryMb, shape.adjacency,
                          shape.hardAdjacency, shape.immovable);
    }
};

// The worker and slots of one task.
struct TaskAssignment
{
    int worker = -1;
    // Accelerators that the task uses.
    Slots accelerators = 0;
    // Slots that guaranteed or surplus work occupies: its accelerators, and further slots if its
    // cores or memory exceed their proportional share. The remaining slots then keep theirs.
    Slots slots = 0;
    // The cell that contains `slots`, -1 if there is none.
    int cell = -1;
};

using Layout = std::vector<TaskAssignment>;

struct WorkerState
{
    core::WorkerId id;
    core::RackId rackId;
    int rack = 0;
    core::Resources total;
    bool present = true;
    bool draining = false;
    HealthState healthState = HealthState::Healthy;
    Slots all = 0;
    // Slots used by started gangs, reserved for waiting ones, bound to cells, and occupied by
    // surplus work.
    Slots used = 0;
    Slots reserved = 0;
    Slots bound = 0;
    Slots surplus = 0;
    // Number of surplus tasks on each slot. A task that lost its cell may use a slot that another
    // task occupies only for its cores or memory.
    std::array<std::uint8_t, MaxSlots> surplusTasks{};
    // Slots used by gangs that cannot be moved.
    Slots immovable = 0;
    int freeCores = 0;
    std::int64_t freeMemory = 0;
    int reservedCores = 0;
    std::int64_t reservedMemory = 0;
    // Started gangs with a task on this worker, and waiting ones with a reservation on it.
    std::vector<Job *> gangs;
    std::vector<Job *> reservations;

    bool usable() const { return present && !draining && healthState == HealthState::Healthy; }
    void addSurplus(Slots slots);
    void dropSurplus(Slots slots);
    // Returns the slots on which cells can be placed.
    Slots available() const { return usable() ? all & ~bound & ~surplus : 0; }
};

// The part of a cell that lies on one worker.
struct CellPart
{
    int worker = -1;
    Slots slots = 0;
    Slots claimed = 0;
};

// A virtual cell of an account. Bound to physical accelerators while any part of it is claimed.
struct Cell
{
    int account = -1;
    config::Level level = config::Level::Accelerator;
    std::vector<CellPart> parts;

    bool bound() const { return !parts.empty(); }
};

// The capacity that a placement may use, one element per worker.
struct CapacityView
{
    std::vector<Slots> slots;
    std::vector<int> cores;
    std::vector<std::int64_t> memory;
};

// The workers and cells of one data centre.
class Cluster
{
public:
    std::vector<WorkerState> &workers() { return m_workers; }
    const std::vector<WorkerState> &workers() const { return m_workers; }
    const std::vector<Cell> &cells() const { return m_cells; }
    const std::vector<core::AccountId> &accounts() const { return m_accounts; }
    int rackCount() const { return static_cast<int>(m_racks.size()); }
    int accountIndex(const core::AccountId &account) const;
    int workerIndex(const core::WorkerId &worker) const;
    int plannedAccelerators() const { return m_planned.perWorker.accelerators; }
    const config::PlannedDataCentre &planned() const { return m_planned; }

    // Adds the worker, or changes its rack and size, and returns its index.
    int setWorker(const core::WorkerId &id, const core::RackId &rack,
                  const core::Resources &resources);
    // Returns the cells that exceed the guarantees of a manifest; bound cells are kept before
    // unbound ones. Their claims have to be released before setGuarantees() removes the cells.
    std::vector<int> excessCells(const config::Manifest &manifest,
                                 const core::DataCentreId &dataCentre) const;
    void setGuarantees(const config::Manifest &manifest, const core::DataCentreId &dataCentre,
                       const std::vector<int> &removed);

    // Returns the unclaimed cells that cannot be placed, per account. Exact if all workers have the
    // same size.
    std::vector<LevelCounts> missing() const;
    // Returns the accepted shortfall. Binding cells and placing surplus work never increase it.
    const std::vector<LevelCounts> &shortfall() const { return m_shortfall; }
    void refreshShortfall() { m_shortfall = missing(); }

    // Returns the number of slots that a task occupies as guaranteed or surplus work, MaxSlots + 1
    // if it never fits.
    int slotWidth(int worker, const core::Resources &perTask) const;

    // Claims slots of the account's cells that contain the accelerators of the layout, and binds
    // cells as needed. Changes nothing on failure. With `requireHalfFilled`, only cells of which
    // the gang fills at least half are bound.
    bool claimInPlace(int account, const core::Resources &perTask, Layout &layout,
                      bool requireHalfFilled);
    // Finds and claims a layout in the account's cells, whether or not borrowers use them.
    std::optional<Layout> claimAnywhere(int account, const Shape &shape,
                                        const std::vector<int> &excludedWorkers);
    // Occupies slots outside of all cells, unless unclaimed cells could then no longer be placed.
    bool takeSurplus(const core::Resources &perTask, Layout &layout);
    // Occupies slots for a running gang that cannot be stopped, without that check.
    void forceSurplus(const core::Resources &perTask, Layout &layout);
    // Releases the layout's claims and surplus slots. A cell without claims becomes unbound.
    void release(Layout &layout);
    void unbind(int cell);

    CapacityView freeCapacity() const;
    CapacityView emptyCapacity() const;

private:
    friend class ClaimSearch;

    int rackIndex(const core::RackId &rack);
    void addCell(int account, config::Level level);
    bool increasesShortfall() const;
    bool claimTask(int account, int slotWidth, TaskAssignment &assignment);
    bool bindAround(int account, config::Level level, int worker, Slots slots);
    bool bindIfSafe(int cell, std::vector<CellPart> parts);
    void bind(int cell, std::vector<CellPart> parts);
    int unboundCell(int account, config::Level level) const;
    std::vector<CellPart> rackParts(int worker) const;
    bool isWholeAndFree(const WorkerState &worker) const;
    int cellSize(config::Level level) const;
    int unclaimedAccelerators(int account) const;
    LevelCounts unplacedCells(LevelCounts wanted) const;

    std::vector<WorkerState> m_workers;
    absl::flat_hash_map<core::WorkerId, int> m_workerIndex;
    absl::flat_hash_map<core::RackId, int> m_racks;
    std::vector<Cell> m_cells;
    std::vector<core::AccountId> m_accounts;
    config::PlannedDataCentre m_planned;
    std::vector<LevelCounts> m_shortfall;
    std::vector<LevelCounts> m_unbound;
};

} // namespace oleandercross::scheduling::detail
