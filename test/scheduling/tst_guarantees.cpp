#include <oleandercross/scheduling/guarantees.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <random>

using namespace oleandercross;
using config::Level;

namespace {

const core::DataCentreId Here("here");

// Returns true if an exhaustive search finds a placement for all cells.
bool fitsExhaustively(const config::PlannedDataCentre &plan, std::vector<Level> cells)
{
    const int acceleratorsPerWorker = plan.perWorker.accelerators;
    std::vector<bool> used(
        static_cast<std::size_t>(plan.racks * plan.workersPerRack * acceleratorsPerWorker));
    const std::function<bool(std::size_t)> placeFrom = [&](std::size_t next) {
        if (next == cells.size())
            return true;
        // Indexed by Level.
        const int sizes[] = {1, 2, 4, acceleratorsPerWorker,
                             acceleratorsPerWorker * plan.workersPerRack};
        const int size = sizes[static_cast<int>(cells[next])];
        const int containerSize = cells[next] == Level::Rack ? size : acceleratorsPerWorker;
        // A cell lies within one worker, or within one rack if it is a rack.
        for (int containerBegin = 0; containerBegin < static_cast<int>(used.size());
             containerBegin += containerSize) {
            for (int cellBegin = containerBegin; cellBegin + size <= containerBegin + containerSize;
                 cellBegin += size) {
                bool free = true;
                for (int i = cellBegin; i < cellBegin + size; ++i)
                    free = free && !used[static_cast<std::size_t>(i)];
                if (!free)
                    continue;
                for (int i = cellBegin; i < cellBegin + size; ++i)
                    used[static_cast<std::size_t>(i)] = true;
                const bool restFits = placeFrom(next + 1);
                for (int i = cellBegin; i < cellBegin + size; ++i)
                    used[static_cast<std::size_t>(i)] = false;
                if (restFits)
                    return true;
            }
        }
        return false;
    };
    return placeFrom(0);
}

} // namespace

TEST_CASE("guarantees are admitted if they can be placed at the same time")
{
    struct Row
    {
        std::vector<config::Guarantee> guarantees;
        bool fits;
    };
    const config::PlannedDataCentre plan{Here, 3, 3, {8, 32, 65536}};
    const core::DataCentreId elsewhere("elsewhere");
    const auto row = GENERATE_COPY(
        Row{{}, true}, Row{{{Here, Level::Rack, 3}}, true}, Row{{{Here, Level::Rack, 4}}, false},
        Row{{{elsewhere, Level::Rack, 4}}, true},
        Row{{{Here, Level::Rack, 2}, {Here, Level::Worker, 3}}, true},
        Row{{{Here, Level::Rack, 2}, {Here, Level::Worker, 3}, {Here, Level::Accelerator, 1}},
            false},
        Row{{{Here, Level::Accelerator, 72}}, true}, Row{{{Here, Level::Accelerator, 73}}, false},
        Row{{{Here, Level::Worker, -1}}, false});
    CHECK(scheduling::guaranteesFit(plan, row.guarantees) == row.fits);
}

TEST_CASE("admission agrees with exhaustive placement on small data centres")
{
    std::mt19937 random(20260101);
    for (int trial = 0; trial < 2000; ++trial) {
        const config::PlannedDataCentre plan{Here,
                                             1 + static_cast<int>(random() % 2),
                                             1 + static_cast<int>(random() % 2),
                                             {1 + static_cast<int>(random() % 6), 8, 8}};
        std::vector<config::Guarantee> guarantees;
        std::vector<Level> cells;
        for (int i = 0; i < 4; ++i) {
            const auto level = static_cast<Level>(random() % 5);
            guarantees.push_back({Here, level, 1});
            cells.push_back(level);
        }
        std::sort(cells.begin(), cells.end(), std::greater<>());
        CAPTURE(trial);
        REQUIRE(scheduling::guaranteesFit(plan, guarantees) == fitsExhaustively(plan, cells));
    }
}
