#include <oleandercross/scheduling/guarantees.h>

#include <array>
#include <cstdint>

namespace oleandercross::scheduling {

namespace {

using Counts = std::array<std::int64_t, 5>;

Counts countByLevel(const core::DataCentreId &dataCentre,
                    const std::vector<config::Guarantee> &guarantees)
{
    Counts counts{};
    for (const config::Guarantee &guarantee : guarantees) {
        if (guarantee.dataCentre == dataCentre)
            counts.at(static_cast<std::size_t>(guarantee.level)) += guarantee.count;
    }
    return counts;
}

std::int64_t at(const Counts &counts, config::Level level)
{
    return counts.at(static_cast<std::size_t>(level));
}

} // namespace

// Placing the widest cells first is exact, because cells nest and all planned workers are equal.
bool guaranteesFit(const config::PlannedDataCentre &dataCentre,
                   const std::vector<config::Guarantee> &guarantees)
{
    using config::Level;
    const Counts counts = countByLevel(dataCentre.name, guarantees);
    for (const std::int64_t count : counts) {
        if (count < 0)
            return false;
    }
    const std::int64_t perWorker = dataCentre.perWorker.accelerators;
    if (perWorker <= 0)
        return counts == Counts{};
    const std::int64_t racks = dataCentre.racks - at(counts, Level::Rack);
    const std::int64_t workers = racks * dataCentre.workersPerRack - at(counts, Level::Worker);
    const std::int64_t quads = at(counts, Level::Quad);
    const std::int64_t pairs = at(counts, Level::Pair) + 2 * quads;
    const std::int64_t accelerators =
        at(counts, Level::Accelerator) + 2 * at(counts, Level::Pair) + 4 * quads;
    return racks >= 0 && workers >= 0 && quads <= workers * (perWorker / 4)
        && pairs <= workers * (perWorker / 2) && accelerators <= workers * perWorker;
}

} // namespace oleandercross::scheduling
