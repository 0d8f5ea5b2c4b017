#include "cluster.h"

#include <algorithm>

namespace oleandercross::scheduling::detail {

namespace {

std::size_t index(config::Level level)
{
    return static_cast<std::size_t>(level);
}

// The number of completely free workers by number of accelerators.
using SizeCounts = std::array<int, MaxSlots + 1>;

struct RemainingCapacity
{
    int quads = 0;
    int pairs = 0;
    int accelerators = 0;
};

void takeWorker(SizeCounts &sizes, int size, RemainingCapacity &remaining)
{
    --sizes.at(static_cast<std::size_t>(size));
    remaining.quads -= size / 4;
    remaining.pairs -= size / 2;
    remaining.accelerators -= size;
}

// Takes the smallest workers of at least the given size, which leaves the most for narrower cells.
// Returns how many could not be taken.
int takeWorkers(SizeCounts &sizes, int wanted, int atLeast, RemainingCapacity &remaining)
{
    for (int size = atLeast; size <= MaxSlots && wanted > 0; ++size) {
        while (wanted > 0 && sizes.at(static_cast<std::size_t>(size)) > 0) {
            takeWorker(sizes, size, remaining);
            --wanted;
        }
    }
    return wanted;
}

int divideRoundingUp(std::int64_t value, std::int64_t by)
{
    return static_cast<int>(std::min<std::int64_t>((value + by - 1) / by, MaxSlots + 1));
}

// Returns the number of slots whose proportional share of `total` covers `need`.
int equivalentSlots(std::int64_t need, std::int64_t total, int slots)
{
    if (need <= 0)
        return 0;
    return total <= 0 ? MaxSlots + 1 : divideRoundingUp(need * slots, total);
}

} // namespace

int Cluster::accountIndex(const core::AccountId &account) const
{
    const auto it = std::lower_bound(m_accounts.begin(), m_accounts.end(), account);
    return it != m_accounts.end() && *it == account ? static_cast<int>(it - m_accounts.begin())
                                                    : -1;
}

int Cluster::workerIndex(const core::WorkerId &worker) const
{
    const auto it = m_workerIndex.find(worker);
    return it == m_workerIndex.end() ? -1 : it->second;
}

int Cluster::rackIndex(const core::RackId &rack)
{
    return m_racks.try_emplace(rack, static_cast<int>(m_racks.size())).first->second;
}

int Cluster::setWorker(const core::WorkerId &id, const core::RackId &rack,
                       const core::Resources &resources)
{
    const auto [it, added] = m_workerIndex.try_emplace(id, static_cast<int>(m_workers.size()));
    if (added) {
        m_workers.emplace_back();
        m_workers.back().id = id;
    }
    WorkerState &worker = m_workers[static_cast<std::size_t>(it->second)];
    worker.rackId = rack;
    worker.rack = rackIndex(rack);
    worker.freeCores += resources.cores - worker.total.cores;
    worker.freeMemory += resources.memoryMb - worker.total.memoryMb;
    worker.total = resources;
    worker.all = lowest(std::clamp(resources.accelerators, 0, MaxSlots));
    return it->second;
}

std::vector<int> Cluster::excessCells(const config::Manifest &manifest,
                                      const core::DataCentreId &dataCentre) const
{
    absl::flat_hash_map<core::AccountId, LevelCounts> wanted;
    for (const config::Account &account : manifest.accounts) {
        for (const config::Guarantee &guarantee : account.guarantees) {
            if (guarantee.dataCentre == dataCentre)
                wanted[account.name].at(index(guarantee.level)) += guarantee.count;
        }
    }
    std::vector<int> excess;
    for (const bool bound : {true, false}) {
        for (std::size_t i = 0; i < m_cells.size(); ++i) {
            const Cell &cell = m_cells[i];
            if (cell.account < 0 || cell.bound() != bound)
                continue;
            const core::AccountId &name = m_accounts[static_cast<std::size_t>(cell.account)];
            if (--wanted[name].at(index(cell.level)) < 0)
                excess.push_back(static_cast<int>(i));
        }
    }
    return excess;
}

void Cluster::addCell(int account, config::Level level)
{
    ++m_unbound.at(static_cast<std::size_t>(account)).at(index(level));
    const auto unused = std::find_if(m_cells.begin(), m_cells.end(),
                                     [](const Cell &cell) { return cell.account < 0; });
    if (unused != m_cells.end())
        *unused = {account, level, {}};
    else
        m_cells.push_back({account, level, {}});
}

void Cluster::setGuarantees(const config::Manifest &manifest, const core::DataCentreId &dataCentre,
                            const std::vector<int> &removed)
{
    for (const int cell : removed)
        m_cells[static_cast<std::size_t>(cell)].account = -1;
    std::vector<core::AccountId> accounts;
    for (const config::Account &account : manifest.accounts)
        accounts.push_back(account.name);
    std::sort(accounts.begin(), accounts.end());
    const std::vector<core::AccountId> before = std::exchange(m_accounts, std::move(accounts));
    m_unbound.assign(m_accounts.size(), LevelCounts{});
    std::vector<LevelCounts> present(m_accounts.size());
    for (Cell &cell : m_cells) {
        if (cell.account < 0)
            continue;
        cell.account = accountIndex(before[static_cast<std::size_t>(cell.account)]);
        const auto account = static_cast<std::size_t>(cell.account);
        ++present.at(account).at(index(cell.level));
        if (!cell.bound())
            ++m_unbound.at(account).at(index(cell.level));
    }
    for (const config::Account &account : manifest.accounts) {
        const int owner = accountIndex(account.name);
        const auto at = static_cast<std::size_t>(owner);
        LevelCounts wanted{};
        for (const config::Guarantee &guarantee : account.guarantees) {
            if (guarantee.dataCentre == dataCentre)
                wanted.at(index(guarantee.level)) += guarantee.count;
        }
        for (std::size_t level = 0; level < LevelCount; ++level) {
            for (int i = present[at][level]; i < wanted[level]; ++i)
                addCell(owner, static_cast<config::Level>(level));
        }
    }
    m_planned = {};
    for (const config::PlannedDataCentre &planned : manifest.dataCentres) {
        if (planned.name == dataCentre)
            m_planned = planned;
    }
    m_shortfall.assign(m_accounts.size(), LevelCounts{});
    refreshShortfall();
}

int Cluster::cellSize(config::Level level) const
{
    switch (level) {
    case config::Level::Accelerator:
        return 1;
    case config::Level::Pair:
        return 2;
    case config::Level::Quad:
        return 4;
    default:
        return MaxSlots;
    }
}

bool Cluster::isWholeAndFree(const WorkerState &worker) const
{
    return worker.available() == worker.all
        && count(worker.all) >= std::max(1, plannedAccelerators());
}

// Places the widest cells first. This is exact if all workers have the same size, because cells
// nest.
LevelCounts Cluster::unplacedCells(LevelCounts wanted) const
{
    using config::Level;
    RemainingCapacity remaining;
    SizeCounts sizes{};
    std::vector<SizeCounts> racks(wanted[index(Level::Rack)] > 0 ? m_racks.size() : 0);
    for (const WorkerState &worker : m_workers) {
        const Slots available = worker.available();
        if (available == 0)
            continue;
        remaining.accelerators += count(available);
        remaining.pairs += count(wholePairs(available));
        remaining.quads += count(wholeQuads(available));
        if (!isWholeAndFree(worker))
            continue;
        const auto size = static_cast<std::size_t>(count(available));
        ++sizes.at(size);
        if (!racks.empty())
            ++racks[static_cast<std::size_t>(worker.rack)].at(size);
    }
    const int atLeast = std::max(1, plannedAccelerators());
    LevelCounts left = wanted;
    for (SizeCounts &rack : racks) {
        int whole = 0;
        for (const int n : rack)
            whole += n;
        while (left[index(Level::Rack)] > 0 && m_planned.workersPerRack > 0
               && whole >= m_planned.workersPerRack) {
            const SizeCounts before = rack;
            takeWorkers(rack, m_planned.workersPerRack, atLeast, remaining);
            for (std::size_t size = 0; size < sizes.size(); ++size)
                sizes.at(size) -= before.at(size) - rack.at(size);
            whole -= m_planned.workersPerRack;
            --left[index(Level::Rack)];
        }
    }
    left[index(Level::Worker)] = takeWorkers(sizes, left[index(Level::Worker)], atLeast, remaining);
    const int quads = std::clamp(remaining.quads, 0, wanted[index(Level::Quad)]);
    left[index(Level::Quad)] -= quads;
    const int pairs = std::clamp(remaining.pairs - 2 * quads, 0, wanted[index(Level::Pair)]);
    left[index(Level::Pair)] -= pairs;
    const int single = std::clamp(remaining.accelerators - 4 * quads - 2 * pairs, 0,
                                  wanted[index(Level::Accelerator)]);
    left[index(Level::Accelerator)] -= single;
    return left;
}

std::vector<LevelCounts> Cluster::missing() const
{
    LevelCounts wanted{};
    for (const LevelCounts &unbound : m_unbound) {
        for (std::size_t level = 0; level < LevelCount; ++level)
            wanted[level] += unbound[level];
    }
    std::vector<LevelCounts> result(m_unbound.size(), LevelCounts{});
    if (wanted == LevelCounts{})
        return result;
    LevelCounts left = unplacedCells(wanted);
    // The shortfall goes to the last accounts in order of name.
    for (std::size_t account = m_unbound.size(); account-- > 0;) {
        for (std::size_t level = 0; level < LevelCount; ++level) {
            const int here = std::min(left[level], m_unbound[account][level]);
            result[account][level] = here;
            left[level] -= here;
        }
    }
    return result;
}

bool Cluster::increasesShortfall() const
{
    const std::vector<LevelCounts> now = missing();
    for (std::size_t account = 0; account < now.size(); ++account) {
        for (std::size_t level = 0; level < LevelCount; ++level) {
            if (now[account][level] > m_shortfall[account][level])
                return true;
        }
    }
    return false;
}

int Cluster::slotWidth(int worker, const core::Resources &perTask) const
{
    const WorkerState &state = m_workers[static_cast<std::size_t>(worker)];
    const int slots = count(state.all);
    if (slots == 0)
        return perTask.accelerators > 0 ? MaxSlots + 1 : 0;
    return std::max({1, perTask.accelerators,
                     equivalentSlots(perTask.cores, state.total.cores, slots),
                     equivalentSlots(perTask.memoryMb, state.total.memoryMb, slots)});
}

CapacityView Cluster::freeCapacity() const
{
    CapacityView view;
    const std::size_t n = m_workers.size();
    view.slots.resize(n);
    view.cores.resize(n);
    view.memory.resize(n);
    for (std::size_t i = 0; i < n; ++i) {
        const WorkerState &worker = m_workers[i];
        if (!worker.usable())
            continue;
        view.slots[i] = worker.all & ~worker.used & ~worker.reserved;
        view.cores[i] = std::max(0, worker.freeCores - worker.reservedCores);
        view.memory[i] = std::max<std::int64_t>(0, worker.freeMemory - worker.reservedMemory);
    }
    return view;
}

CapacityView Cluster::emptyCapacity() const
{
    CapacityView view;
    for (const WorkerState &worker : m_workers) {
        view.slots.push_back(worker.all);
        view.cores.push_back(worker.total.cores);
        view.memory.push_back(worker.total.memoryMb);
    }
    return view;
}

} // namespace oleandercross::scheduling::detail
