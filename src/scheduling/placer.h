#pragma once

#include "cluster.h"

#include <optional>
#include <vector>

namespace oleandercross::scheduling::detail {

// Places a gang into the view by best fit, with its preferred adjacency if possible. Workers in
// `avoid` are not used. The assignments have accelerators but no slots.
std::optional<Layout> place(const Cluster &cluster, const CapacityView &view, const Shape &shape,
                            const std::vector<int> &avoid);

} // namespace oleandercross::scheduling::detail
