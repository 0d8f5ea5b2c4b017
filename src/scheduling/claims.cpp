#include "cluster.h"

#include <algorithm>

namespace oleandercross::scheduling::detail {

namespace {

constexpr std::array AllLevels = {config::Level::Accelerator, config::Level::Pair,
                                  config::Level::Quad, config::Level::Worker, config::Level::Rack};

// Returns the aligned block of `size` slots that contains all of `slots`, or 0 if they span
// several.
Slots blockAround(Slots slots, int size)
{
    if (slots == 0)
        return 0;
    const int base = std::countr_zero(slots) / size * size;
    const Slots block = lowest(size) << base;
    return (slots & ~block) == 0 ? block : 0;
}

} // namespace

void WorkerState::addSurplus(Slots slots)
{
    surplus |= slots;
    for (std::size_t i = 0; i < surplusTasks.size(); ++i)
        surplusTasks[i] += slots >> i & 1;
}

void WorkerState::dropSurplus(Slots slots)
{
    for (std::size_t i = 0; i < surplusTasks.size(); ++i) {
        surplusTasks[i] -= slots >> i & 1;
        if (surplusTasks[i] == 0)
            surplus &= ~(Slots{1} << i);
    }
}

int Cluster::unboundCell(int account, config::Level level) const
{
    if (m_unbound[static_cast<std::size_t>(account)][static_cast<std::size_t>(level)] == 0)
        return -1;
    for (std::size_t i = 0; i < m_cells.size(); ++i) {
        if (m_cells[i].account == account && m_cells[i].level == level && !m_cells[i].bound())
            return static_cast<int>(i);
    }
    return -1;
}

void Cluster::bind(int cell, std::vector<CellPart> parts)
{
    Cell &target = m_cells[static_cast<std::size_t>(cell)];
    target.parts = std::move(parts);
    for (const CellPart &part : target.parts)
        m_workers[static_cast<std::size_t>(part.worker)].bound |= part.slots;
    --m_unbound[static_cast<std::size_t>(target.account)][static_cast<std::size_t>(target.level)];
}

void Cluster::unbind(int cell)
{
    Cell &target = m_cells[static_cast<std::size_t>(cell)];
    if (!target.bound())
        return;
    for (const CellPart &part : target.parts)
        m_workers[static_cast<std::size_t>(part.worker)].bound &= ~part.slots;
    target.parts.clear();
    ++m_unbound[static_cast<std::size_t>(target.account)][static_cast<std::size_t>(target.level)];
}

bool Cluster::bindIfSafe(int cell, std::vector<CellPart> parts)
{
    bind(cell, std::move(parts));
    if (!increasesShortfall())
        return true;
    unbind(cell);
    return false;
}

std::vector<CellPart> Cluster::rackParts(int worker) const
{
    const int rack = m_workers[static_cast<std::size_t>(worker)].rack;
    const auto needed = static_cast<std::size_t>(std::max(0, m_planned.workersPerRack));
    std::vector<CellPart> parts;
    if (needed > 0)
        parts.push_back({worker, m_workers[static_cast<std::size_t>(worker)].all, 0});
    for (std::size_t i = 0; i < m_workers.size() && parts.size() < needed; ++i) {
        const WorkerState &other = m_workers[i];
        if (other.rack == rack && static_cast<int>(i) != worker && isWholeAndFree(other))
            parts.push_back({static_cast<int>(i), other.all, 0});
    }
    if (parts.size() < needed)
        parts.clear();
    return parts;
}

bool Cluster::bindAround(int account, config::Level level, int worker, Slots slots)
{
    const int cell = unboundCell(account, level);
    if (cell < 0)
        return false;
    const WorkerState &state = m_workers[static_cast<std::size_t>(worker)];
    if (cellSize(level) < MaxSlots) {
        const Slots block = blockAround(slots, cellSize(level));
        if (block == 0 || (block & ~state.available()) != 0)
            return false;
        return bindIfSafe(cell, {{worker, block, 0}});
    }
    if (!isWholeAndFree(state))
        return false;
    if (level == config::Level::Worker)
        return bindIfSafe(cell, {{worker, state.all, 0}});
    std::vector<CellPart> parts = rackParts(worker);
    return !parts.empty() && bindIfSafe(cell, std::move(parts));
}

bool Cluster::claimTask(int account, int slotWidth, TaskAssignment &assignment)
{
    const Slots needed = assignment.accelerators;
    for (std::size_t i = 0; i < m_cells.size(); ++i) {
        Cell &cell = m_cells[i];
        if (cell.account != account)
            continue;
        for (CellPart &part : cell.parts) {
            const Slots open = part.slots & ~part.claimed;
            if (part.worker != assignment.worker || (needed & ~open) != 0
                || count(open) < slotWidth)
                continue;
            assignment.slots = needed | takeLowest(open & ~needed, slotWidth - count(needed), 0);
            assignment.cell = static_cast<int>(i);
            part.claimed |= assignment.slots;
            return true;
        }
    }
    return false;
}

bool Cluster::claimInPlace(int account, const core::Resources &perTask, Layout &layout,
                           bool requireHalfFilled)
{
    if (account < 0)
        return false;
    absl::flat_hash_map<int, int> filled;
    for (const TaskAssignment &assignment : layout)
        filled[assignment.worker] += slotWidth(assignment.worker, perTask);
    for (TaskAssignment &assignment : layout) {
        const int needed = slotWidth(assignment.worker, perTask);
        const Slots around = assignment.accelerators != 0
            ? assignment.accelerators
            : pickSlots(m_workers[static_cast<std::size_t>(assignment.worker)].available(), 1,
                        ~Slots{0});
        bool claimed = needed > 0 && needed <= MaxSlots && claimTask(account, needed, assignment);
        for (const config::Level level : AllLevels) {
            if (claimed || needed <= 0 || cellSize(level) < needed || around == 0)
                continue;
            const int whole = count(m_workers[static_cast<std::size_t>(assignment.worker)].all);
            if (requireHalfFilled
                && 2 * filled[assignment.worker] < std::min(cellSize(level), whole))
                continue;
            claimed = bindAround(account, level, assignment.worker, around)
                && claimTask(account, needed, assignment);
        }
        if (!claimed) {
            release(layout);
            return false;
        }
    }
    return true;
}

void Cluster::release(Layout &layout)
{
    for (TaskAssignment &assignment : layout) {
        if (assignment.cell >= 0) {
            Cell &cell = m_cells[static_cast<std::size_t>(assignment.cell)];
            Slots claimed = 0;
            for (CellPart &part : cell.parts) {
                if (part.worker == assignment.worker)
                    part.claimed &= ~assignment.slots;
                claimed |= part.claimed;
            }
            if (claimed == 0)
                unbind(assignment.cell);
        } else if (assignment.slots != 0) {
            m_workers[static_cast<std::size_t>(assignment.worker)].dropSurplus(assignment.slots);
        }
        assignment.cell = -1;
        assignment.slots = 0;
    }
}

void Cluster::forceSurplus(const core::Resources &perTask, Layout &layout)
{
    for (TaskAssignment &assignment : layout) {
        WorkerState &worker = m_workers[static_cast<std::size_t>(assignment.worker)];
        const Slots open = worker.all & ~worker.bound & ~worker.surplus & ~assignment.accelerators;
        const int more = slotWidth(assignment.worker, perTask) - count(assignment.accelerators);
        assignment.slots =
            assignment.accelerators | takeLowest(open, std::clamp(more, 0, count(open)), 0);
        worker.addSurplus(assignment.slots);
    }
}

bool Cluster::takeSurplus(const core::Resources &perTask, Layout &layout)
{
    for (TaskAssignment &assignment : layout) {
        WorkerState &worker = m_workers[static_cast<std::size_t>(assignment.worker)];
        const int needed = slotWidth(assignment.worker, perTask);
        const Slots open = worker.available() & ~assignment.accelerators;
        const int more = needed - count(assignment.accelerators);
        if ((assignment.accelerators & ~worker.available()) != 0 || more > count(open)) {
            release(layout);
            return false;
        }
        assignment.slots = assignment.accelerators | takeLowest(open, more, 0);
        worker.addSurplus(assignment.slots);
    }
    if (!increasesShortfall())
        return true;
    release(layout);
    return false;
}

// Returns an upper bound of the accelerators that the account can still claim.
int Cluster::unclaimedAccelerators(int account) const
{
    int total = 0;
    for (const Cell &cell : m_cells) {
        if (cell.account != account)
            continue;
        if (!cell.bound())
            total += cell.level == config::Level::Rack ? MaxSlots * m_planned.workersPerRack
                                                       : cellSize(cell.level);
        for (const CellPart &part : cell.parts)
            total += count(part.slots & ~part.claimed);
    }
    return total;
}

// Searches the account's bound and unbound cells for a layout inside one domain.
class ClaimSearch
{
public:
    ClaimSearch(Cluster &cluster, int account, const Shape &shape,
                const std::vector<int> &excludedWorkers)
        : m_cluster(cluster)
        , m_account(account)
        , m_shape(shape)
        , m_excludedWorkers(excludedWorkers)
    { }

    // Tries the given workers, which must be in ascending order. Claims the layout on success.
    bool tryDomain(const std::vector<int> &workers, Layout &layout)
    {
        m_domain.clear();
        int capacity = 0;
        for (const int index : workers) {
            const bool isAvoided =
                std::find(m_excludedWorkers.begin(), m_excludedWorkers.end(), index)
                != m_excludedWorkers.end();
            const int slotWidth = m_cluster.slotWidth(index, m_shape.perTask);
            if (isAvoided || !state(index).usable() || slotWidth <= 0
                || slotWidth > count(state(index).all))
                continue;
            capacity += count(state(index).all) / slotWidth;
            m_domain.push_back(index);
        }
        if (capacity < m_shape.tasks)
            return false;
        layout.clear();
        for (int task = 0; task < m_shape.tasks; ++task) {
            TaskAssignment assignment;
            if (!claimBound(assignment) && !claimUnbound(m_shape.tasks - task, assignment)) {
                m_cluster.release(layout);
                return false;
            }
            layout.push_back(assignment);
        }
        return true;
    }

    // Returns the number of accelerators in the layout that other gangs use or have reserved.
    int occupied(const Layout &layout) const
    {
        int total = 0;
        for (const TaskAssignment &assignment : layout) {
            const WorkerState &worker = state(assignment.worker);
            total += count(assignment.accelerators & (worker.used | worker.reserved));
        }
        return total;
    }

private:
    struct Candidate
    {
        int occupied = 0;
        int spare = 0;
        int worker = -1;
        Slots block = 0;

        auto order() const { return std::tuple(occupied, spare, worker, block); }
    };

    const WorkerState &state(int worker) const
    {
        return m_cluster.m_workers[static_cast<std::size_t>(worker)];
    }

    Slots idle(int worker) const { return ~(state(worker).used | state(worker).reserved); }

    void claimPart(int cell, CellPart &part, int slotWidth, TaskAssignment &assignment)
    {
        const Slots open = part.slots & ~part.claimed;
        assignment.worker = part.worker;
        assignment.cell = cell;
        assignment.slots = pickSlots(open, slotWidth, idle(part.worker));
        assignment.accelerators =
            takeLowest(assignment.slots, m_shape.perTask.accelerators, idle(part.worker));
        part.claimed |= assignment.slots;
    }

    bool inDomain(int worker) const
    {
        return std::binary_search(m_domain.begin(), m_domain.end(), worker);
    }

    // Claims from the bound cell whose unclaimed part has the most idle accelerators.
    bool claimBound(TaskAssignment &assignment)
    {
        CellPart *best = nullptr;
        int bestCell = -1;
        int bestIdle = -1;
        for (std::size_t i = 0; i < m_cluster.m_cells.size(); ++i) {
            Cell &cell = m_cluster.m_cells[i];
            if (cell.account != m_account)
                continue;
            for (CellPart &part : cell.parts) {
                const Slots open = part.slots & ~part.claimed;
                const int slotWidth = m_cluster.slotWidth(part.worker, m_shape.perTask);
                const int idleHere = std::min(slotWidth, count(open & idle(part.worker)));
                if (!inDomain(part.worker) || count(open) < slotWidth || idleHere <= bestIdle)
                    continue;
                best = &part;
                bestCell = static_cast<int>(i);
                bestIdle = idleHere;
            }
        }
        if (best == nullptr)
            return false;
        claimPart(bestCell, *best, m_cluster.slotWidth(best->worker, m_shape.perTask), assignment);
        return true;
    }

    // Binds the narrowest cell that fits all remaining tasks, otherwise the widest that fits one.
    bool claimUnbound(int remaining, TaskAssignment &assignment)
    {
        for (const bool wholeGang : {true, false}) {
            for (std::size_t i = 0; i < AllLevels.size(); ++i) {
                const auto level = AllLevels.at(wholeGang ? i : AllLevels.size() - 1 - i);
                if (bindNew(level, wholeGang ? remaining : 1, assignment))
                    return true;
            }
        }
        return false;
    }

    bool bindNew(config::Level level, int tasks, TaskAssignment &assignment)
    {
        const int cell = m_cluster.unboundCell(m_account, level);
        if (cell < 0)
            return false;
        std::vector<Candidate> candidates = this->candidates(level, tasks);
        std::sort(candidates.begin(), candidates.end(),
                  [](const auto &a, const auto &b) { return a.order() < b.order(); });
        for (const Candidate &candidate : candidates) {
            std::vector<CellPart> parts{{candidate.worker, candidate.block, 0}};
            if (level == config::Level::Rack)
                parts = m_cluster.rackParts(candidate.worker);
            if (parts.empty() || !m_cluster.bindIfSafe(cell, std::move(parts)))
                continue;
            CellPart &part = m_cluster.m_cells[static_cast<std::size_t>(cell)].parts.front();
            claimPart(cell, part, m_cluster.slotWidth(candidate.worker, m_shape.perTask),
                      assignment);
            return true;
        }
        return false;
    }

    std::vector<Candidate> candidates(config::Level level, int tasks) const
    {
        std::vector<Candidate> result;
        for (const int index : m_domain) {
            const WorkerState &worker = state(index);
            const Slots available = worker.available();
            const int size = m_cluster.cellSize(level);
            const int slotWidth = m_cluster.slotWidth(index, m_shape.perTask);
            if (available == 0 || slotWidth > std::min(size, count(worker.all)))
                continue;
            // The tasks in a rack cell may use several workers, so only one task has to fit here.
            const int wanted = level == config::Level::Rack ? slotWidth : slotWidth * tasks;
            if (size == MaxSlots) {
                if (m_cluster.isWholeAndFree(worker) && wanted <= count(available))
                    result.push_back(candidate(index, available, wanted));
                continue;
            }
            if (wanted > size)
                continue;
            for (int base = 0; base + size <= MaxSlots; base += size) {
                const Slots block = lowest(size) << base;
                if ((block & ~available) == 0)
                    result.push_back(candidate(index, block, wanted));
            }
        }
        return result;
    }

    Candidate candidate(int worker, Slots block, int wanted) const
    {
        const Slots free = idle(worker) & state(worker).all;
        return {std::max(0, wanted - count(block & free)), count(free), worker, block};
    }

    Cluster &m_cluster;
    const int m_account;
    const Shape &m_shape;
    const std::vector<int> &m_excludedWorkers;
    std::vector<int> m_domain;
};

std::optional<Layout> Cluster::claimAnywhere(int account, const Shape &shape,
                                             const std::vector<int> &excludedWorkers)
{
    if (account < 0 || unclaimedAccelerators(account) < shape.tasks)
        return std::nullopt;
    ClaimSearch search(*this, account, shape, excludedWorkers);
    Layout layout;
    int best = -1;
    int bestOccupied = 0;
    // Finds a domain with few borrowers in most cases while bounding the time of a decision.
    constexpr int MaxCandidates = 8;
    const auto tryEach = [&](const std::vector<std::vector<int>> &domains) {
        int candidates = 0;
        for (std::size_t domain = 0; domain < domains.size(); ++domain) {
            if (!search.tryDomain(domains[domain], layout))
                continue;
            const int occupied = search.occupied(layout);
            release(layout);
            if (best < 0 || occupied < bestOccupied) {
                best = static_cast<int>(domain);
                bestOccupied = occupied;
            }
            if (occupied == 0 || ++candidates >= MaxCandidates)
                break;
        }
        return best >= 0 && search.tryDomain(domains[static_cast<std::size_t>(best)], layout);
    };
    std::vector<std::vector<int>> domains;
    if (shape.adjacency == Adjacency::Worker) {
        for (std::size_t i = 0; i < m_workers.size(); ++i)
            domains.push_back({static_cast<int>(i)});
        if (tryEach(domains))
            return layout;
        if (shape.hardAdjacency)
            return std::nullopt;
    }
    domains.assign(m_racks.size(), {});
    std::vector<int> everywhere;
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
        domains[static_cast<std::size_t>(m_workers[i].rack)].push_back(static_cast<int>(i));
        everywhere.push_back(static_cast<int>(i));
    }
    if (shape.adjacency != Adjacency::DataCentre) {
        if (tryEach(domains))
            return layout;
        if (shape.hardAdjacency)
            return std::nullopt;
    }
    if (tryEach({everywhere}))
        return layout;
    return std::nullopt;
}

} // namespace oleandercross::scheduling::detail
