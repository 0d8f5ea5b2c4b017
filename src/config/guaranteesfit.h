#pragma once

#include <oleandercross/config/manifest.h>

#include <vector>

namespace oleandercross::config::detail {

// Returns true if the guarantees of all accounts fit into the planned capacity at the same time.
// Otherwise fails with ConfigGuaranteesTooLarge and the name of the first data centre in which they
// do not fit.
bool guaranteesFit(const std::vector<PlannedDataCentre> &dataCentres,
                   const std::vector<Account> &accounts);

} // namespace oleandercross::config::detail
