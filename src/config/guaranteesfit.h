#pragma once

#include <oleandercross/config/manifest.h>

#include <vector>

namespace oleandercross::config::detail {

// True if all guarantees of all accounts can be placed at the same time on the planned capacity.
// Fails with ConfigGuaranteesTooLarge and the first data centre whose guarantees do not fit.
bool guaranteesFit(const std::vector<PlannedDataCentre> &dataCentres,
                   const std::vector<Account> &accounts);

} // namespace oleandercross::config::detail
