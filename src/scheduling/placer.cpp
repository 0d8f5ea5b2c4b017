#include "placer.h"

#include <algorithm>
#include <tuple>

namespace oleandercross::scheduling::detail {

namespace {

class Placer
{
public:
    Placer(const Cluster &cluster, const CapacityView &view, const Shape &shape,
           const std::vector<int> &excludedWorkers)
        : m_workers(cluster.workers())
        , m_view(view)
        , m_shape(shape)
        , m_capacity(view.slots.size())
    {
        for (std::size_t i = 0; i < m_capacity.size(); ++i)
            m_capacity[i] = capacityOf(i);
        for (const int worker : excludedWorkers)
            m_capacity[static_cast<std::size_t>(worker)] = 0;
    }

    std::optional<Layout> onOneWorker() const
    {
        int best = -1;
        for (std::size_t i = 0; i < m_capacity.size(); ++i) {
            if (m_capacity[i] < m_shape.tasks)
                continue;
            if (best < 0 || tightness(i) < tightness(static_cast<std::size_t>(best)))
                best = static_cast<int>(i);
        }
        if (best < 0)
            return std::nullopt;
        Layout layout;
        fill(static_cast<std::size_t>(best), m_shape.tasks, layout);
        return layout;
    }

    std::optional<Layout> inOneRack(int racks) const
    {
        std::vector<int> capacity(static_cast<std::size_t>(racks));
        std::vector<int> spare(static_cast<std::size_t>(racks));
        for (std::size_t i = 0; i < m_capacity.size(); ++i) {
            const auto rack = static_cast<std::size_t>(m_workers[i].rack);
            capacity[rack] += m_capacity[i];
            spare[rack] += count(m_view.slots[i]);
        }
        int best = -1;
        for (int rack = 0; rack < racks; ++rack) {
            const auto at = static_cast<std::size_t>(rack);
            if (capacity[at] < m_shape.tasks)
                continue;
            if (best < 0 || spare[at] < spare[static_cast<std::size_t>(best)])
                best = rack;
        }
        if (best < 0)
            return std::nullopt;
        return spread(best, true);
    }

    std::optional<Layout> anywhere() const
    {
        int capacity = 0;
        for (const int here : m_capacity)
            capacity += here;
        if (capacity < m_shape.tasks)
            return std::nullopt;
        return spread(-1, m_shape.adjacency != Adjacency::DataCentre);
    }

private:
    int capacityOf(std::size_t worker) const
    {
        std::int64_t capacity = m_shape.tasks;
        const core::Resources &need = m_shape.perTask;
        if (need.accelerators > 0)
            capacity =
                std::min<std::int64_t>(capacity, count(m_view.slots[worker]) / need.accelerators);
        if (need.cores > 0)
            capacity = std::min<std::int64_t>(capacity, m_view.cores[worker] / need.cores);
        if (need.memoryMb > 0)
            capacity = std::min(capacity, m_view.memory[worker] / need.memoryMb);
        return static_cast<int>(capacity);
    }

    // The order of preference. Tasks without accelerators go to workers that have none. Gangs that
    // cannot be moved share workers, so that other workers can be cleared for large gangs. Other
    // gangs go where the fewest accelerators are free.
    std::tuple<int, int, int, int> tightness(std::size_t worker) const
    {
        const bool wasteful = m_shape.perTask.accelerators == 0 && m_workers[worker].all != 0;
        const int alike = m_shape.immovable ? count(m_workers[worker].immovable) : 0;
        return {wasteful ? 1 : 0, -alike, count(m_view.slots[worker]), m_view.cores[worker]};
    }

    void fill(std::size_t worker, int tasks, Layout &layout) const
    {
        Slots free = m_view.slots[worker];
        for (int i = 0; i < tasks; ++i) {
            TaskAssignment assignment;
            assignment.worker = static_cast<int>(worker);
            assignment.accelerators = pickSlots(free, m_shape.perTask.accelerators, ~Slots{0});
            free &= ~assignment.accelerators;
            layout.push_back(assignment);
        }
    }

    // Distributes the tasks over few workers, or else over the tightest workers first.
    Layout spread(int rack, bool fewWorkers) const
    {
        std::vector<std::size_t> order;
        for (std::size_t i = 0; i < m_capacity.size(); ++i) {
            if (m_capacity[i] > 0 && (rack < 0 || m_workers[i].rack == rack))
                order.push_back(i);
        }
        std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
            if (fewWorkers && m_capacity[a] != m_capacity[b])
                return m_capacity[a] > m_capacity[b];
            return tightness(a) < tightness(b);
        });
        Layout layout;
        int remaining = m_shape.tasks;
        for (std::size_t i = 0; i < order.size() && remaining > 0; ++i) {
            const std::size_t worker = fewWorkers ? bestFor(order, i, remaining) : order[i];
            const int here = std::min(remaining, m_capacity[worker]);
            fill(worker, here, layout);
            remaining -= here;
        }
        return layout;
    }

    // Returns the tightest unused worker that fits all remaining tasks, else the next in order.
    std::size_t bestFor(const std::vector<std::size_t> &order, std::size_t next,
                        int remaining) const
    {
        std::size_t best = order[next];
        for (std::size_t i = next; i < order.size(); ++i) {
            if (m_capacity[order[i]] >= remaining
                && (m_capacity[best] < remaining || tightness(order[i]) < tightness(best)))
                best = order[i];
        }
        return best;
    }

    const std::vector<WorkerState> &m_workers;
    const CapacityView &m_view;
    const Shape &m_shape;
    std::vector<int> m_capacity;
};

} // namespace

std::optional<Layout> place(const Cluster &cluster, const CapacityView &view, const Shape &shape,
                            const std::vector<int> &excludedWorkers)
{
    const Placer placer(cluster, view, shape, excludedWorkers);
    std::optional<Layout> layout;
    if (shape.adjacency == Adjacency::Worker) {
        layout = placer.onOneWorker();
        if (layout || shape.hardAdjacency)
            return layout;
    }
    if (shape.adjacency != Adjacency::DataCentre) {
        layout = placer.inOneRack(cluster.rackCount());
        if (layout || shape.hardAdjacency)
            return layout;
    }
    return placer.anywhere();
}

} // namespace oleandercross::scheduling::detail
