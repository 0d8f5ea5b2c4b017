#include <oleandercross/planning/placement.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <numeric>
#include <random>
#include <tuple>

using namespace oleandercross;
using namespace oleandercross::planning;

namespace {

// The same greedy search as place(), written without bounds, indexes or incremental sums: each
// decision looks at all workers and all victims.
class NaivePlacer
{
public:
    NaivePlacer(const PlacementRequest &request, const std::vector<int> &rackOfWorker,
                FreeCapacity freeCapacity, const std::vector<VictimGroup> &victims)
        : m_request(request)
        , m_rackOfWorker(rackOfWorker)
        , m_freeCapacity(std::move(freeCapacity))
        , m_victims(victims)
    { }

    std::optional<Placement> place(const std::vector<int> &domain)
    {
        for (int remaining = m_request.tasks; remaining > 0;) {
            std::vector<int> candidates;
            std::copy_if(domain.begin(), domain.end(), std::back_inserter(candidates),
                         [this](int worker) { return placeable(worker) > 0; });
            if (candidates.empty()) {
                if (!preempt(domain))
                    return std::nullopt;
                continue;
            }
            const int best =
                *std::min_element(candidates.begin(), candidates.end(), [&](int a, int b) {
                    return rank(a, remaining) < rank(b, remaining);
                });
            for (int count = std::min(remaining, placeable(best)); count > 0;
                 --count, --remaining) {
                ++m_result.tasks[best];
                free(best) = free(best) - m_request.perTask;
            }
        }
        return m_result;
    }

private:
    workload::Demand &free(int worker) { return m_freeCapacity[static_cast<std::size_t>(worker)]; }
    std::tuple<int, bool, int, bool, std::int64_t, std::int64_t> rank(int worker, int remaining)
    {
        const auto index = static_cast<std::size_t>(worker);
        const bool takesAll = placeable(worker) >= remaining;
        const std::int64_t sign = takesAll ? 1 : -1;
        return {m_request.penalties[index],
                m_request.preferredRack != RackIndex::NoRack
                    && m_rackOfWorker[index] != m_request.preferredRack,
                m_request.speedClasses[index],
                !takesAll,
                sign * free(worker).accelerators,
                sign * free(worker).milliCores};
    }
    int limit(int worker) const
    {
        const auto used = m_result.tasks.find(worker);
        return m_request.taskLimits[static_cast<std::size_t>(worker)]
            - (used == m_result.tasks.end() ? 0 : used->second);
    }
    int placeable(int worker)
    {
        int count = 0;
        workload::Demand left = free(worker);
        while (count < limit(worker) && workload::fits(m_request.perTask, left)) {
            left = left - m_request.perTask;
            ++count;
        }
        return count;
    }
    workload::Demand freed(std::size_t victim, int worker) const
    {
        workload::Demand sum;
        for (const auto &[other, demand] : m_victims[victim].freedCapacity) {
            if (other == worker)
                sum = sum + demand;
        }
        return sum;
    }
    bool fitsWith(const std::vector<std::size_t> &victims, int worker)
    {
        workload::Demand available = free(worker);
        for (const std::size_t victim : victims)
            available = available + freed(victim, worker);
        return workload::fits(m_request.perTask, available);
    }
    std::vector<std::size_t> chooseVictims(int worker)
    {
        std::vector<std::size_t> candidates;
        for (std::size_t i = 0; i < m_victims.size(); ++i) {
            if (freed(i, worker) != workload::Demand{} && !m_result.victims.contains(i))
                candidates.push_back(i);
        }
        std::stable_sort(candidates.begin(), candidates.end(),
                         [this](auto a, auto b) { return m_victims[a].cost < m_victims[b].cost; });
        std::vector<std::size_t> chosen;
        for (const std::size_t candidate : candidates) {
            if (fitsWith(chosen, worker))
                break;
            chosen.push_back(candidate);
        }
        if (!fitsWith(chosen, worker))
            return {};
        for (std::size_t i = chosen.size(); i-- > 0;) {
            std::vector<std::size_t> without = chosen;
            without.erase(without.begin() + static_cast<std::ptrdiff_t>(i));
            if (fitsWith(without, worker))
                chosen = without;
        }
        return chosen;
    }
    bool preempt(const std::vector<int> &domain)
    {
        std::vector<std::size_t> best;
        double bestCost = 0;
        for (const int worker : domain) {
            const std::vector<std::size_t> chosen =
                limit(worker) > 0 ? chooseVictims(worker) : std::vector<std::size_t>();
            double cost = m_request.penalties[static_cast<std::size_t>(worker)];
            for (const std::size_t victim : chosen)
                cost += m_victims[victim].cost;
            if (!chosen.empty() && (best.empty() || cost < bestCost)) {
                best = chosen;
                bestCost = cost;
            }
        }
        for (const std::size_t victim : best) {
            m_result.victims.insert(victim);
            m_result.cost += m_victims[victim].cost;
            for (const auto &[worker, demand] : m_victims[victim].freedCapacity)
                free(worker) = free(worker) + demand;
        }
        return !best.empty();
    }

    const PlacementRequest &m_request;
    const std::vector<int> &m_rackOfWorker;
    FreeCapacity m_freeCapacity;
    const std::vector<VictimGroup> &m_victims;
    Placement m_result;
};

// A random cluster with partly used workers, victims and one request.
struct RandomCase
{
    explicit RandomCase(unsigned seed, int workers, double load)
        : random(seed)
    {
        std::vector<std::string> rackNames;
        for (int i = 0; i < workers; ++i) {
            rackOfWorker.push_back(i / 3);
            rackNames.push_back(std::string("r") + static_cast<char>('a' + i / 3));
            freeCapacity.push_back({32000, 64000, 8});
            request.taskLimits.push_back(chance(0.15) ? 0 : below(4) + 1);
            request.penalties.push_back(chance(0.2) ? below(4) : 0);
            request.speedClasses.push_back(below(3));
        }
        racks = RackIndex(rackNames);
        while (chance(load))
            addVictim(workers);
        request.tasks = 1 + below(6);
        request.perTask = {1000 * (1 + below(16)), 1000 * (1 + below(16)), 1 << below(4)};
        request.preferredRack = chance(0.3) ? below((workers + 2) / 3) : RackIndex::NoRack;
    }

    int below(int limit) { return std::uniform_int_distribution<>(0, limit - 1)(random); }
    bool chance(double p) { return std::uniform_real_distribution<>(0, 1)(random) < p; }

    void addVictim(int workers)
    {
        VictimGroup group;
        // Some victims cost nothing, as runs that are already being stopped do.
        group.cost = chance(0.2) ? 0 : std::uniform_real_distribution<>(0, 100)(random);
        for (int members = chance(0.3) ? 1 + below(4) : 1; members > 0; --members) {
            const int worker = below(workers);
            const workload::Demand demand{1000 * (1 + below(8)), 1000 * (1 + below(8)), below(5)};
            auto &free = freeCapacity[static_cast<std::size_t>(worker)];
            if (!workload::fits(demand, free))
                continue;
            free = free - demand;
            group.free(worker, demand);
        }
        if (!group.freedCapacity.empty())
            victims.push_back(group);
    }

    std::mt19937 random;
    PlacementRequest request;
    std::vector<int> rackOfWorker;
    RackIndex racks;
    FreeCapacity freeCapacity;
    std::vector<VictimGroup> victims;
};

} // namespace

// Guards against a bound or an index of place() that changes what it decides: the bounds skip
// workers and racks, so that one that is too strict would leave jobs waiting on a full cluster.
TEST_CASE("placement with indexes decides like an exhaustive scan", "[planning]")
{
    struct Row
    {
        const char *pattern;
        int workers;
        // The probability of each further victim, which sets how full the cluster is.
        double load;
        int cases;
    };
    const Row row = GENERATE(Row{"empty cluster", 6, 0.1, 300}, Row{"half full", 9, 0.93, 300},
                             Row{"full, backlog needs pre-emption", 6, 0.985, 400},
                             Row{"single worker", 1, 0.8, 200});
    INFO(row.pattern);
    int placedCount = 0;
    int preemptingCount = 0;
    for (int i = 0; i < row.cases; ++i) {
        const auto seed = static_cast<unsigned>(7000 + i);
        CAPTURE(seed);
        RandomCase input(seed, row.workers, row.load);
        std::vector<int> all(static_cast<std::size_t>(row.workers));
        std::iota(all.begin(), all.end(), 0);
        const VictimIndex index(input.victims, all.size());
        for (const bool preempt : {false, true}) {
            const std::vector<VictimGroup> victims =
                preempt ? input.victims : std::vector<VictimGroup>();
            const auto expected =
                NaivePlacer(input.request, input.rackOfWorker, input.freeCapacity, victims)
                    .place(all);
            const auto placed =
                place(input.request, input.racks, input.freeCapacity, preempt ? &index : nullptr);
            REQUIRE(placed == expected);
            placedCount += placed ? 1 : 0;
            preemptingCount += placed && !placed->victims.empty() ? 1 : 0;
        }
    }
    CHECK(placedCount > 0);
    if (row.load > 0.95)
        CHECK(preemptingCount > 0);
}

TEST_CASE("a placement on a single rack does not use others", "[planning]")
{
    const RackIndex racks({"b", "a", "b", "a"});
    PlacementRequest request;
    request.tasks = 2;
    request.perTask = {1000, 1000, 8};
    request.taskLimits = {1, 1, 1, 1};
    request.penalties = {0, 0, 0, 0};
    request.speedClasses = {0, 0, 0, 0};
    request.singleRack = true;
    const workload::Demand idle{32000, 64000, 8};
    const workload::Demand full{0, 0, 0};

    struct Row
    {
        FreeCapacity freeCapacity;
        std::optional<std::map<int, int>> expected;
    };
    const Row row = GENERATE_COPY(Row{{idle, full, idle, idle}, std::map<int, int>{{0, 1}, {2, 1}}},
                                  Row{{idle, idle, full, idle}, std::map<int, int>{{1, 1}, {3, 1}}},
                                  // Each rack has one idle worker only.
                                  Row{{idle, idle, full, full}, std::nullopt});
    const auto placed = place(request, racks, row.freeCapacity, nullptr);
    REQUIRE(placed.has_value() == row.expected.has_value());
    if (placed)
        CHECK(placed->tasks == *row.expected);
    CHECK(fitsOnSingleRack(request, racks, row.freeCapacity) == row.expected.has_value());
}
