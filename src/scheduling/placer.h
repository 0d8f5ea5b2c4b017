#pragma once

#include "cluster.h"

#include <optional>
#include <vector>

namespace oleandercross::scheduling::detail {

// Returns a best-fit layout for the gang, or nullopt if there is none. A preferred adjacency is
// widened if no placement has it; a hard one is required. `slots` and `cell` of the assignments are
// not set; Cluster::claimInPlace() and takeSurplus() set them.
std::optional<Layout> place(const Cluster &cluster, const CapacityView &view, const Shape &shape,
                            const std::vector<int> &excludedWorkers);

} // namespace oleandercross::scheduling::detail
