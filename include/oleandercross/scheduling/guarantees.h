#pragma once

#include <oleandercross/config/manifest.h>

#include <vector>

namespace oleandercross::scheduling {

// Returns true if all guarantees that name the data centre can be placed in it at the same time by
// buddy allocation. A pair or quad is aligned inside one worker, a worker cell is a whole worker
// and a rack cell is all workers of a rack. A cell carries its proportional share of the worker's
// cores and memory, so only accelerators are counted. Guarantees of other data centres are ignored.
bool guaranteesFit(const config::PlannedDataCentre &dataCentre,
                   const std::vector<config::Guarantee> &guarantees);

} // namespace oleandercross::scheduling
