#include "guaranteesfit.h"

#include <oleandercross/core/resultcode.h>
#include <oleandercross/scheduling/guarantees.h>

namespace oleandercross::config::detail {

bool guaranteesFit(const std::vector<PlannedDataCentre> &dataCentres,
                   const std::vector<Account> &accounts)
{
    std::vector<Guarantee> guarantees;
    for (const Account &account : accounts)
        guarantees.insert(guarantees.end(), account.guarantees.begin(), account.guarantees.end());
    for (const PlannedDataCentre &dataCentre : dataCentres) {
        if (scheduling::guaranteesFit(dataCentre, guarantees))
            continue;
        core::fail(core::ResultCode::ConfigGuaranteesTooLarge,
                   "the guarantees in " + dataCentre.name.str()
                       + " cannot all be placed at the same time");
        return false;
    }
    return true;
}

} // namespace oleandercross::config::detail
