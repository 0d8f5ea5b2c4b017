#pragma once

#include "cluster.h"

#include <optional>
#include <vector>

namespace oleandercross::scheduling::detail {

// Places a gang into the view, at its preferred adjacency if possible, so that the fewest
// accelerators are left over next to it. Workers in `avoid` are not used. The holds have no slots.
std::optional<Layout> place(const Cluster &cluster, const View &view, const Shape &shape,
                            const std::vector<int> &avoid);

} // namespace oleandercross::scheduling::detail
