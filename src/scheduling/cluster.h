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

// What a gang needs, without whose it is.
struct Shape
{
    int tasks = 1;
    core::Resources perTask;
    Adjacency adjacency = Adjacency::DataCentre;
    bool hard = false;
    // The job cannot be moved once it runs.
    bool fixed = false;

    friend bool operator==(const Shape &, const Shape &) = default;

    template <typename H>
    // NOLINTNEXTLINE(readability-identifier-naming): the name is Abseil's.
    friend H AbslHashValue(H state, const Shape &shape)
    {
        return H::combine(std::move(state), shape.tasks, shape.perTask.accelerators,
                          shape.perTask.cores, shape.perTask.memoryMb, shape.adjacency, shape.hard,
                          shape.fixed);
    }
};

// The place of one task.
struct TaskHold
{
    int worker = -1;
    // Accelerators that the task uses.
    Slots accelerators = 0;
    // Slots of guaranteed or surplus work: the accelerators and as many more as its cores and
    // memory are worth, so that the rest of the worker keeps its proportional share.
    Slots slots = 0;
    // Cell that contains `slots`, -1 for other work.
    int cell = -1;
};

using Layout = std::vector<TaskHold>;

struct WorkerState
{
    core::WorkerId id;
    core::RackId rackId;
    int rack = 0;
    core::Resources total;
    bool present = true;
    bool draining = false;
    Standing standing = Standing::Healthy;
    Slots all = 0;
    // Held by started gangs, reserved for waiting ones, bound to cells, occupied by surplus work.
    Slots used = 0;
    Slots reserved = 0;
    Slots bound = 0;
    Slots surplus = 0;
    // Surplus tasks on each slot: one that lost its cell can use a slot that another fills up with.
    std::array<std::uint8_t, MaxSlots> surplusTasks{};
    // Used by gangs that cannot be moved.
    Slots fixed = 0;
    int freeCores = 0;
    std::int64_t freeMemory = 0;
    int reservedCores = 0;
    std::int64_t reservedMemory = 0;
    // Started gangs with a task here, and waiting ones with a reservation here.
    std::vector<Job *> gangs;
    std::vector<Job *> reservations;

    bool usable() const { return present && !draining && standing == Standing::Healthy; }
    void addSurplus(Slots slots);
    void dropSurplus(Slots slots);
    // Accelerators on which cells can be placed.
    Slots available() const { return usable() ? all & ~bound & ~surplus : 0; }
};

// Part of a cell on one worker.
struct CellPart
{
    int worker = -1;
    Slots slots = 0;
    Slots claimed = 0;
};

// A virtual cell of an account, bound to physical accelerators while work claims any of it.
struct Cell
{
    int account = -1;
    config::Level level = config::Level::Accelerator;
    std::vector<CellPart> parts;

    bool bound() const { return !parts.empty(); }
};

// Capacity that a placement may use, one element per worker.
struct View
{
    std::vector<Slots> slots;
    std::vector<int> cores;
    std::vector<std::int64_t> memory;
};

// Workers and cells of one data centre.
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

    // Adds the worker or changes its rack and size; returns its index.
    int setWorker(const core::WorkerId &id, const core::RackId &rack,
                  const core::Resources &resources);
    // Cells that exceed the guarantees of a manifest, unbound ones first. Their claims have to be
    // released before setGuarantees removes them.
    std::vector<int> excessCells(const config::Manifest &manifest,
                                 const core::DataCentreId &dataCentre) const;
    void setGuarantees(const config::Manifest &manifest, const core::DataCentreId &dataCentre,
                       const std::vector<int> &removed);

    // Unclaimed cells that cannot be placed, per account. Exact for workers of one size.
    std::vector<LevelCounts> missing() const;
    // The accepted shortfall: binding cells and placing surplus work never adds to it.
    const std::vector<LevelCounts> &shortfall() const { return m_shortfall; }
    void refreshShortfall() { m_shortfall = missing(); }

    // Slots that a task occupies as guaranteed or surplus work, MaxSlots + 1 if it never fits.
    int width(int worker, const core::Resources &perTask) const;

    // Claims slots of the account's cells that contain the accelerators of the layout, binding
    // cells as needed. Changes nothing on failure.
    // A sparing claim binds only cells of which the gang fills at least half.
    bool claimInPlace(int account, const core::Resources &perTask, Layout &layout, bool sparing);
    // Finds and claims a layout in the account's cells regardless of borrowers.
    std::optional<Layout> claimAnywhere(int account, const Shape &shape,
                                        const std::vector<int> &avoid);
    // Occupies slots outside of all cells if the unclaimed cells can still be placed.
    bool takeSurplus(const core::Resources &perTask, Layout &layout);
    // Occupies slots for work that cannot be stopped and is already there.
    void forceSurplus(const core::Resources &perTask, Layout &layout);
    // Undoes the above; a cell without claims becomes unbound.
    void release(Layout &layout);
    void unbind(int cell);

    View freeView() const;
    View emptyView() const;

private:
    friend class ClaimSearch;

    int rackIndex(const core::RackId &rack);
    void addCell(int account, config::Level level);
    bool worse() const;
    bool claimTask(int account, int width, TaskHold &hold);
    bool bindAround(int account, config::Level level, int worker, Slots slots);
    bool bindIfSafe(int cell, std::vector<CellPart> parts);
    void bind(int cell, std::vector<CellPart> parts);
    int unboundCell(int account, config::Level level) const;
    std::vector<CellPart> rackParts(int worker) const;
    bool wholeAndFree(const WorkerState &worker) const;
    int cellSize(config::Level level) const;
    int unclaimed(int account) const;
    LevelCounts unplaced(LevelCounts wanted) const;

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
